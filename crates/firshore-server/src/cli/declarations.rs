//! `firshore check`, `diff`, `apply` and `get`.

use super::sources::Sources;
use super::{Failure, client};
use crate::admin::Accepted;
use argh::FromArgs;
use awc::http::Method;
use firshore_config::proposal::Proposal;
use firshore_types::configuration::Configuration;
use firshore_types::declaration::Declaration;
use firshore_types::ids::ChangeId;
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
}

fn configuration(node: &str) -> Result<Configuration, Failure> {
    client::call(node, Method::GET, "/configuration", String::new())
}

fn changed(current: &Configuration, declarations: Vec<Declaration>) -> Vec<Declaration> {
    let differs = |declaration: &Declaration| {
        current.declarations.get(&declaration.key()) != Some(declaration)
    };
    declarations.into_iter().filter(differs).collect()
}

fn print_diff(current: &Configuration, upserts: &[Declaration]) {
    for declaration in upserts {
        let key = declaration.key();
        let known = current.declarations.contains_key(&key);
        println!("{} {key}", if known { "~" } else { "+" });
    }
}

impl Check {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let sources = Sources::read(&self.paths)?;
        let declarations = sources.by_key();
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
        let current = configuration(&self.node)?;
        let upserts = changed(&current, Sources::read(&self.paths)?.declarations());
        print_diff(&current, &upserts);
        println!(
            "{} changes on revision {}.",
            upserts.len(),
            current.revision
        );
        Ok(())
    }
}

impl Apply {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let declarations = Sources::read(&self.paths)?.declarations();
        let current = configuration(&self.node)?;
        let upserts = changed(&current, declarations);
        print_diff(&current, &upserts);
        if upserts.is_empty() {
            println!("Nothing to change on revision {}.", current.revision);
            return Ok(());
        }
        let random = format!("{:016x}", rand::rng().random::<u64>());
        let proposal = Proposal {
            change_id: ChangeId(self.change.unwrap_or(random)),
            author: self.author,
            base: current.revision,
            upserts,
            removals: Vec::new(),
        };
        let body = serde_json::to_string(&proposal).expect("proposals serialise");
        let accepted: Accepted = client::call(&self.node, Method::POST, "/configuration", body)?;
        println!("Accepted as revision {}.", accepted.revision);
        Ok(())
    }
}

impl Get {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let current = configuration(&self.node)?;
        for declaration in current.declarations.values() {
            let text = serde_norway::to_string(declaration)
                .map_err(|error| Failure::Failed(error.to_string()))?;
            println!("---\n{text}");
        }
        Ok(())
    }
}
