//! `firshore check`, `diff`, `apply` and `get`.

use super::{Failure, client};
use crate::admin::Accepted;
use argh::FromArgs;
use awc::http::Method;
use firshore_config::proposal::Proposal;
use firshore_types::configuration::Configuration;
use firshore_types::declaration::Declaration;
use firshore_types::ids::ChangeId;
use firshore_types::validation::{Fault, parse_declarations, validate};
use rand::RngExt;
use std::path::{Path, PathBuf};

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

fn files_below(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        let yaml = path
            .extension()
            .is_some_and(|extension| extension == "yaml");
        if yaml && path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn describe(faults: &[Fault]) -> Failure {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Failure::Invalid(lines.join("\n"))
}

fn read(paths: &[PathBuf]) -> Result<Vec<Declaration>, Failure> {
    let mut declarations = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        let files = files_below(path).map_err(|error| unreadable(path, &error))?;
        for file in files {
            let text = std::fs::read_to_string(&file).map_err(|error| unreadable(&file, &error))?;
            match parse_declarations(&file.display().to_string(), &text) {
                Ok(found) => declarations.extend(found),
                Err(found) => faults.extend(found),
            }
        }
    }
    if faults.is_empty() {
        Ok(declarations)
    } else {
        Err(describe(&faults))
    }
}

fn unreadable(path: &Path, error: &std::io::Error) -> Failure {
    Failure::Invalid(format!(
        "{} cannot be read: {error}. Check the path.",
        path.display()
    ))
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
        let declarations = read(&self.paths)?;
        let count = declarations.len();
        let declarations = declarations
            .into_iter()
            .map(|one| (one.key(), one))
            .collect();
        let faults = validate(&Configuration {
            declarations,
            ..Configuration::default()
        });
        if !faults.is_empty() {
            return Err(describe(&faults));
        }
        println!("{count} declarations are valid.");
        Ok(())
    }
}

impl Diff {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let current = configuration(&self.node)?;
        let upserts = changed(&current, read(&self.paths)?);
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
        let declarations = read(&self.paths)?;
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
