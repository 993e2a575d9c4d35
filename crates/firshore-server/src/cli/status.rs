//! `firshore status` and `drain`.

use super::{Failure, client};
use crate::admin;
use argh::FromArgs;
use awc::http::Method;

/// Show members and the revision in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {
    /// admin address of any node
    #[argh(option)]
    node: String,
}

/// Ask a node to take no more work.
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub(crate) struct Drain {
    /// admin address of the node
    #[argh(option)]
    node: String,
}

impl Status {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let status: admin::Status =
            client::call(&self.node, Method::GET, "/status", String::new())?;
        println!("revision {}  machines {}", status.revision, status.machines);
        println!("{:<20} {:<16} {:<10} DISK", "NODE", "ZONE", "STATE");
        for member in status.members {
            let state = format!("{:?}", member.state);
            let disk = if member.has_disk { "yes" } else { "no" };
            println!(
                "{:<20} {:<16} {state:<10} {disk}",
                member.name.0, member.zone.0
            );
        }
        Ok(())
    }
}

impl Drain {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let answer = client::call_text(&self.node, Method::POST, "/drain", String::new())?;
        print!("{answer}");
        Ok(())
    }
}
