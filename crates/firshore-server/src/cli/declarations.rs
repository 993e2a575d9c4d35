//! `firshore check`, `diff`, `apply` and `get`.

use super::{Failure, client};
use crate::admin::{Accepted, Settled};
use argh::FromArgs;
use awc::http::Method;
use firshore_config::proposal::Proposal;
use firshore_types::configuration::Configuration;
use firshore_types::declaration::{Declaration, DeclarationKey, Kind};
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::{Fault, parse_declarations, validate};
use rand::RngExt;
use std::collections::BTreeSet;
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

/// What applying would change.
struct Difference {
    upserts: Vec<Declaration>,
    removals: Vec<DeclarationKey>,
}

impl Difference {
    fn between(
        current: &Configuration,
        declarations: Vec<Declaration>,
        prune: bool,
        remove: &[String],
    ) -> Result<Self, Failure> {
        let mut removals = Vec::new();
        for text in remove {
            let (kind, name) = parse_key(text)?;
            let name = name.ok_or_else(|| not_a_key(text))?;
            removals.push(DeclarationKey { kind, name });
        }
        if prune {
            let declared: BTreeSet<DeclarationKey> =
                declarations.iter().map(Declaration::key).collect();
            let undeclared = current.declarations.keys();
            removals.extend(undeclared.filter(|key| !declared.contains(key)).cloned());
        }
        removals.sort();
        removals.dedup();
        let differs = |declaration: &Declaration| {
            current.declarations.get(&declaration.key()) != Some(declaration)
        };
        let upserts = declarations.into_iter().filter(differs).collect();
        Ok(Self { upserts, removals })
    }

    fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    fn describe(&self, current: &Configuration) -> String {
        let mut text = String::new();
        for declaration in &self.upserts {
            let key = declaration.key();
            let before = current.declarations.get(&key);
            let sign = if before.is_some() { '~' } else { '+' };
            text += &format!("{sign} {key}\n");
            text += &lines_changed(before, Some(declaration));
        }
        for key in &self.removals {
            text += &format!("- {key}\n");
            text += &lines_changed(current.declarations.get(key), None);
        }
        text
    }
}

fn yaml(declaration: Option<&Declaration>) -> String {
    declaration.map_or(String::new(), |declaration| {
        serde_norway::to_string(declaration).expect("declarations serialise")
    })
}

/// Changed lines with one line of their surroundings.
fn lines_changed(before: Option<&Declaration>, after: Option<&Declaration>) -> String {
    let (before, after) = (yaml(before), yaml(after));
    let difference = similar::TextDiff::from_lines(&before, &after);
    let mut text = String::new();
    for change in difference
        .grouped_ops(1)
        .iter()
        .flatten()
        .flat_map(|op| difference.iter_changes(op))
    {
        text += &format!("    {}{change}", change.tag());
    }
    text
}

fn not_a_key(text: &str) -> Failure {
    let kinds = "Service, EnginePool, Policy or Tenant";
    Failure::Invalid(format!(
        "'{text}' names no declaration. Write KIND/NAME, where KIND is {kinds}."
    ))
}

fn parse_key(text: &str) -> Result<(Kind, Option<String>), Failure> {
    let (kind, name) = match text.split_once('/') {
        Some((kind, name)) => (kind, Some(name.to_owned())),
        None => (text, None),
    };
    let kind = match kind.to_ascii_lowercase().as_str() {
        "service" | "services" => Kind::Service,
        "enginepool" | "enginepools" => Kind::EnginePool,
        "policy" | "policies" => Kind::Policy,
        "tenant" | "tenants" => Kind::Tenant,
        _ => return Err(not_a_key(text)),
    };
    Ok((kind, name))
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
        let declarations = read(&self.paths)?;
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
        let declarations = read(&self.paths)?;
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
        for (key, declaration) in &current.declarations {
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
