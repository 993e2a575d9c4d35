//! The command line of the lab.

use crate::demo;
use crate::experiment::Experiment;
use crate::simulation::command::Simulate;
use crate::stand_in::engine;
use crate::stand_in::platform::Platform;
use argh::FromArgs;
use firshore_types::machine::Machine;
use std::net::SocketAddr;
use std::path::PathBuf;
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
    Experiment(Experiment),
    Simulate(Simulate),
}

/// Run a whole fleet in this process for a bounded time.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
struct Demo {
    /// folder of the topology and its declarations
    #[argh(option, default = "PathBuf::from(\"examples/fieldline\")")]
    topology: PathBuf,
    /// seconds of load
    #[argh(option, default = "10")]
    seconds: u64,
    /// stay up until interrupted
    #[argh(switch)]
    keep: bool,
}

/// Run one stand-in as a process.
#[derive(FromArgs)]
#[argh(subcommand, name = "stand-in")]
struct StandIn {
    #[argh(subcommand)]
    kind: StandInKind,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum StandInKind {
    Engine(EngineArguments),
    Platform(PlatformArguments),
}

/// An engine, or an application service's back end.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// name
    #[argh(option)]
    name: String,
    /// requests run at once
    #[argh(option, default = "16")]
    slots: u32,
}

/// Object API and machine list.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArguments {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file of the machine list
    #[argh(option)]
    machines: Option<PathBuf>,
}

/// Runs the program.
pub fn run() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let result = match arguments.command {
        Command::Demo(demo) => {
            actix_rt::System::new().block_on(demo::run(&demo.topology, demo.seconds, demo.keep))
        }
        Command::StandIn(stand_in) => run_stand_in(stand_in).map(|()| true),
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

fn run_stand_in(stand_in: StandIn) -> Result<(), String> {
    match stand_in.kind {
        StandInKind::Engine(arguments) => {
            let server = engine::start(arguments.listen, &arguments.name, arguments.slots)
                .map_err(|error| error.to_string())?;
            println!("engine {}", server.address);
            server.join();
        }
        StandInKind::Platform(arguments) => {
            let platform = Platform::start(arguments.listen).map_err(|error| error.to_string())?;
            if let Some(path) = arguments.machines {
                let text = std::fs::read_to_string(&path).map_err(|error| error.to_string())?;
                let machines: Vec<Machine> =
                    serde_json::from_str(&text).map_err(|error| error.to_string())?;
                platform.set_machines(machines);
            }
            println!("platform {}", platform.server.address);
            platform.server.join();
        }
    }
    Ok(())
}
