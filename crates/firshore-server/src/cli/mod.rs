//! The command line. Exit codes: 0 done, 1 failed, 2 wrong use or invalid input.

mod client;
mod declarations;
mod difference;
mod help;
mod jobs;
mod reference;
mod serve;
mod sources;
mod status;

pub use help::{HelpText, help};

use argh::FromArgs;
use std::process::ExitCode;

/// Serve online and batch inference on one fleet.
#[derive(FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(serve::Serve),
    Check(declarations::Check),
    Diff(declarations::Diff),
    Apply(declarations::Apply),
    Get(declarations::Get),
    Status(status::Status),
    Jobs(jobs::Jobs),
    Drain(status::Drain),
    Reference(reference::Reference),
}

/// Why a command did not succeed.
pub(crate) enum Failure {
    /// It could not be done.
    Failed(String),
    /// It was asked wrongly.
    Invalid(String),
}

/// Runs the program.
pub fn run() -> ExitCode {
    let arguments: Arguments = match parse() {
        Ok(arguments) => arguments,
        Err(code) => return code,
    };
    if arguments.version {
        println!("firshore {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let result = match arguments.command {
        None => Err(Failure::Invalid(
            "Name a command; see 'firshore --help'.".to_owned(),
        )),
        Some(Command::Serve(command)) => command.run(),
        Some(Command::Check(command)) => command.run(),
        Some(Command::Diff(command)) => command.run(),
        Some(Command::Apply(command)) => command.run(),
        Some(Command::Get(command)) => command.run(),
        Some(Command::Status(command)) => command.run(),
        Some(Command::Jobs(command)) => command.run(),
        Some(Command::Drain(command)) => command.run(),
        Some(Command::Reference(command)) => command.run(),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure::Failed(message)) => {
            eprintln!("firshore: {message}");
            ExitCode::from(1)
        }
        Err(Failure::Invalid(message)) => {
            eprintln!("firshore: {message}");
            ExitCode::from(2)
        }
    }
}

fn parse() -> Result<Arguments, ExitCode> {
    let words: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    Arguments::from_args(&["firshore"], &words[1..]).map_err(|exit| match exit.status {
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
