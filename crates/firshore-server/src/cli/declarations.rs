//! `firshore check`, `diff`, `apply` and `get`.

use super::difference::{Difference, parse_key, yaml};
use super::sources::Sources;
use super::{Failure, client};
use crate::admin::{Accepted, Settled};
use argh::FromArgs;
use awc::http::Method;
use firshore_config::proposal::Proposal;
use firshore_types::configuration::Configuration;
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::validate;
use rand::RngExt;
use std::path::PathBuf;

/// Check declarations without a node.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct Check {
    /// files or folders of declarations
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

/// Show what applying declarations would change.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct Diff {
    /// admin address of any node
    #[argh(option)]
    node: String,
    /// also remove what is in force but not in the files
    #[argh(switch)]
    prune: bool,
    /// declaration to remove, as KIND/NAME; may be repeated
    #[argh(option)]
    remove: Vec<String>,
    /// files or folders of declarations
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

/// Put declarations into force, all or none.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// admin address of any node
    #[argh(option)]
    node: String,
    /// identifier of the change; give the same one to send a change again
    #[argh(option)]
    change: Option<String>,
    /// who applies it
    #[argh(option, default = "String::from(\"operator\")")]
    author: String,
    /// also remove what is in force but not in the files
    #[argh(switch)]
    prune: bool,
    /// declaration to remove, as KIND/NAME; may be repeated
    #[argh(option)]
    remove: Vec<String>,
    /// files or folders of declarations
    #[argh(positional)]
    paths: Vec<PathBuf>,
}

/// Print the declarations in force as YAML.
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// admin address of any node
    #[argh(option)]
    node: String,
    /// only this KIND or KIND/NAME
    #[argh(positional)]
    what: Option<String>,
}

fn configuration(node: &str) -> Result<Configuration, Failure> {
    client::call(node, Method::GET, "/configuration", String::new())
}

impl Check {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let sources = Sources::read(&self.paths)?;
        let declarations = sources.to_set();
        let count = declarations.len();
        let faults = validate(&Configuration {
            declarations,
            ..Configuration::default()
        });
        if !faults.is_empty() {
            return Err(sources.failure(faults));
        }
        println!("{count} declarations are valid.");
        Ok(())
    }
}

impl Diff {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let declarations = Sources::read(&self.paths)?.declarations();
        let current = configuration(&self.node)?;
        let difference = Difference::between(&current, declarations, self.prune, &self.remove)?;
        print!("{}", difference.describe(&current));
        println!(
            "{} changes and {} removals on revision {}.",
            difference.upserts.len(),
            difference.removals.len(),
            current.revision
        );
        Ok(())
    }
}

impl Apply {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let declarations = Sources::read(&self.paths)?.declarations();
        if let Some(id) = &self.change
            && let Some(revision) = settled(&self.node, id)?
        {
            println!("Change '{id}' was accepted as revision {revision}.");
            return Ok(());
        }
        let current = configuration(&self.node)?;
        let difference = Difference::between(&current, declarations, self.prune, &self.remove)?;
        print!("{}", difference.describe(&current));
        if difference.is_empty() {
            println!("Nothing to change on revision {}.", current.revision);
            return Ok(());
        }
        let random = format!("{:016x}", rand::rng().random::<u64>());
        let proposal = Proposal {
            change_id: ChangeId(self.change.unwrap_or(random)),
            author: self.author,
            base: current.revision,
            upserts: difference.upserts,
            removals: difference.removals,
        };
        println!("Change '{}'.", proposal.change_id);
        let body = serde_json::to_string(&proposal).expect("proposals serialise");
        let answer: Result<Accepted, Failure> =
            client::call(&self.node, Method::POST, "/configuration", body);
        let accepted = answer.map_err(|failure| failure.hinting(&proposal.change_id))?;
        println!("Accepted as revision {}.", accepted.revision);
        Ok(())
    }
}

impl Failure {
    /// Says how to settle a change whose answer was lost.
    fn hinting(self, change: &ChangeId) -> Self {
        match self {
            Self::Failed(message) => Self::Failed(format!(
                "{message}\nTo settle or repeat this change: firshore apply --change {change}"
            )),
            invalid => invalid,
        }
    }
}

/// The revision that a change became, if it was accepted before.
fn settled(node: &str, change: &str) -> Result<Option<Revision>, Failure> {
    let path = format!("/configuration/changes/{change}");
    let found: Settled = client::call(node, Method::GET, &path, String::new())?;
    Ok(found.revision)
}

impl Get {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let wanted = self.what.as_deref().map(parse_key).transpose()?;
        let current = configuration(&self.node)?;
        let mut found = 0;
        for (key, declaration) in current.declarations.iter() {
            let matches = wanted.as_ref().is_none_or(|(kind, name)| {
                key.kind == *kind && name.as_ref().is_none_or(|name| key.name == *name)
            });
            if matches {
                found += 1;
                print!("---\n{}", yaml(Some(declaration)));
            }
        }
        match self.what {
            Some(what) if found == 0 => Err(Failure::Failed(format!(
                "No declaration '{what}' is in force on revision {}. See 'firshore get'.",
                current.revision
            ))),
            _ => Ok(()),
        }
    }
}
