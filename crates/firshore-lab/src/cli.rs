//! The command line of the lab.

use crate::demo::Demo;
use crate::experiment::Experiment;
use crate::fault_proxy::command::ProxyCommand;
use crate::simulation::command::Simulate;
use crate::stand_in::command::StandIn;
use argh::FromArgs;
use std::process::ExitCode;

/// Stand-ins, load and experiments for firshore.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    StandIn(StandIn),
    Proxy(ProxyCommand),
    Experiment(Experiment),
    Simulate(Simulate),
}

/// Runs the program: exit 0 when all went well, 1 when it failed, 2 on wrong use.
pub fn run() -> ExitCode {
    let arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    let result = match arguments.command {
        Command::Demo(demo) => demo.run(),
        Command::StandIn(stand_in) => stand_in.run().map(|()| true),
        Command::Proxy(proxy) => proxy.run().map(|()| true),
        Command::Experiment(experiment) => experiment.run(),
        Command::Simulate(simulate) => simulate.run(),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(message) => {
            eprintln!("firshore-lab: {message}");
            ExitCode::from(1)
        }
    }
}

fn parse() -> Result<Arguments, ExitCode> {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Arguments::from_args(&["firshore-lab"], &words).map_err(|exit| match exit.status {
        Ok(()) => {
            println!("{}", exit.output);
            ExitCode::SUCCESS
        }
        Err(()) => {
            eprintln!("{}", exit.output);
            ExitCode::from(2)
        }
    })
}
