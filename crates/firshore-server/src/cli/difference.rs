//! The difference between files of declarations and what is in force.

use super::Failure;
use firshore_types::configuration::Configuration;
use firshore_types::declaration::{Declaration, DeclarationKey, Kind};
use std::collections::BTreeSet;

/// What applying would change.
pub(super) struct Difference {
    /// Declarations added or replaced.
    pub(super) upserts: Vec<Declaration>,
    /// Declarations taken away.
    pub(super) removals: Vec<DeclarationKey>,
}

impl Difference {
    /// Compares files with what is in force; `prune` removes what the files lack.
    pub(super) fn between(
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

    /// Whether nothing would change.
    pub(super) fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removals.is_empty()
    }

    /// The difference as text, with the changed lines of each declaration.
    pub(super) fn describe(&self, current: &Configuration) -> String {
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

/// A declaration as YAML; empty for none.
pub(super) fn yaml(declaration: Option<&Declaration>) -> String {
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

/// Reads `KIND` or `KIND/NAME`.
pub(super) fn parse_key(text: &str) -> Result<(Kind, Option<String>), Failure> {
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
