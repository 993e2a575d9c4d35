//! Command line: `serve` runs a node, `check` validates its settings, `explain` searches logs for a request,
//! job or item.

use crate::explain::{self, Explanation};
use crate::node;
use crate::settings::Settings;
use argh::FromArgs;
use firshore_adapter::Adapter;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for invalid settings or unreadable files.
const EXIT_INVALID: u8 = 2;

/// A firshore node.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Serve(Serve),
    Check(Check),
    Explain(Explain),
}

/// Run a node until it receives a stop signal.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Check a settings file for errors.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Show the log lines of a request, job or item, in order of time.
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
struct Explain {
    /// identifier of the request, job or item
    #[argh(positional)]
    id: String,
    /// log files of the nodes; standard input if there are none
    #[argh(positional)]
    logs: Vec<PathBuf>,
}

impl Explain {
    fn run(&self) -> ExitCode {
        let opened: io::Result<Vec<Box<dyn BufRead>>> = match self.logs.is_empty() {
            true => Ok(vec![Box::new(io::stdin().lock())]),
            false => self.logs.iter().map(open_log).collect(),
        };
        let explained = opened.and_then(|logs| explain::explain(&self.id, logs));
        match explained {
            Ok(explanation) => self.print(&explanation),
            Err(error) => {
                eprintln!("The logs cannot be read: {error}. Check the paths.");
                ExitCode::from(EXIT_INVALID)
            }
        }
    }

    fn print(&self, explanation: &Explanation) -> ExitCode {
        for line in &explanation.lines {
            println!("{line}");
        }
        if explanation.skipped > 0 {
            eprintln!(
                "Skipped {} lines that are not log lines.",
                explanation.skipped
            );
        }
        if !explanation.lines.is_empty() {
            return ExitCode::SUCCESS;
        }
        let nodes: Vec<&str> = explanation.nodes.iter().map(String::as_str).collect();
        eprintln!(
            "No log line refers to '{}'. A request that succeeded at its first attempt writes none, nor \
             does one that was in flight when its node stopped. Logs of these nodes were read: {}.",
            self.id,
            nodes.join(", ")
        );
        ExitCode::FAILURE
    }
}

fn open_log(path: &PathBuf) -> io::Result<Box<dyn BufRead>> {
    let file = File::open(path)?;
    Ok(Box::new(BufReader::new(file)))
}

/// Runs the program and returns its exit status. `adapter` creates the adapter to the environment from the
/// address of its object store.
pub fn run(adapter: impl FnOnce(SocketAddr) -> Adapter) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let path = match &arguments.command {
        Command::Explain(explain) => return explain.run(),
        Command::Serve(serve) => &serve.settings,
        Command::Check(check) => &check.settings,
    };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    match arguments.command {
        Command::Check(_) | Command::Explain(_) => {
            println!("The settings are valid.");
            ExitCode::SUCCESS
        }
        Command::Serve(serve) => match node::run(settings, serve.settings, adapter) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("The node cannot run: {error}. Check its addresses and data folder.");
                ExitCode::FAILURE
            }
        },
    }
}
