//! `firshore status` and `drain`.

use super::{Failure, client};
use crate::admin;
use crate::configuration::status::MemberStatus;
use argh::FromArgs;
use awc::http::Method;
use firshore_types::ids::Revision;

/// Show members and the revision in force on each.
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
        print!("{}", describe(&status));
        Ok(())
    }
}

/// The status as text: one line for each member, then the laggards.
fn describe(status: &admin::Status) -> String {
    let revisions = status.members.iter().filter_map(revision_of);
    let newest = revisions.max().unwrap_or(status.revision);
    let mut text = format!(
        "revision {}  floor {}  newest {newest}  machines {}\n",
        status.revision, status.floor, status.machines
    );
    text += &format!(
        "{:<20} {:<16} {:<10} {:<5} {:>10}  NOTE\n",
        "NODE", "ZONE", "STATE", "DISK", "REVISION"
    );
    let mut laggards = 0;
    for one in &status.members {
        let note = note_on(one, newest);
        laggards += usize::from(note.is_some());
        let revision = revision_of(one).map_or("-".to_owned(), |revision| revision.to_string());
        let state = format!("{:?}", one.member.state);
        let disk = if one.member.has_disk { "yes" } else { "no" };
        text += &format!(
            "{:<20} {:<16} {state:<10} {disk:<5} {revision:>10}  {}\n",
            one.member.name.0,
            one.member.zone.0,
            note.unwrap_or_default()
        );
    }
    text += &format!("{laggards} of {} nodes lag.\n", status.members.len());
    text
}

fn revision_of(status: &MemberStatus) -> Option<Revision> {
    let configuration = status.configuration.as_ref()?;
    Some(configuration.advertisement.revision)
}

fn note_on(status: &MemberStatus, newest: Revision) -> Option<String> {
    let Some(configuration) = &status.configuration else {
        return Some("no answer".to_owned());
    };
    if let Some(reason) = &configuration.not_serving {
        return Some(format!("not serving: {reason}"));
    }
    let behind = newest.0 - configuration.advertisement.revision.0;
    if behind == 0 {
        return None;
    }
    let refused = configuration.refused.as_deref().unwrap_or("catching up");
    Some(format!("{behind} behind: {refused}"))
}

impl Drain {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let answer = client::call_text(&self.node, Method::POST, "/drain", String::new())?;
        print!("{answer}");
        Ok(())
    }
}
