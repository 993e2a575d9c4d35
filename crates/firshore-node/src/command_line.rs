//! The command line: `serve` runs a node, `check` reads its settings and says what is wrong.

use crate::node;
use crate::settings::Settings;
use argh::FromArgs;
use firshore_adapter::Adapter;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit status for unusable settings or arguments.
const UNUSABLE: u8 = 2;

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
}

/// Run a node until it is told to stop.
#[derive(FromArgs)]
#[argh(subcommand, name = "serve")]
struct Serve {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Read a settings file and say what is wrong with it.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
struct Check {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

/// Runs the program. `adapter` meets the environment, whose store of objects listens at the
/// address given.
pub fn run(adapter: impl FnOnce(SocketAddr) -> Adapter) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let path = match &arguments.command {
        Command::Serve(serve) => &serve.settings,
        Command::Check(check) => &check.settings,
    };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(UNUSABLE);
        }
    };
    match arguments.command {
        Command::Check(_) => {
            println!("The settings can be used.");
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
