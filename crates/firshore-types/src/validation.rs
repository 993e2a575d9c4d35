//! Parses declarations from YAML and validates them and their references.

use crate::configuration::Configuration;
use crate::declaration::{Declaration, DeclarationKey, Kind, MAXIMUM_PRIORITY, Priority, Protocol};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_norway::Value;
use std::fmt;

/// One fault in a declaration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// File, or the declaration's kind and name where no file is known.
    pub place: String,
    /// Field at fault, as a path such as `spec.pool`.
    pub field: String,
    /// What is wrong.
    pub problem: String,
    /// What to do.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}: {} {}",
            self.place, self.field, self.problem, self.remedy
        )
    }
}

/// Remedy for a document that does not match the schema of its kind.
const SHAPE_REMEDY: &str = "Write it as docs/REFERENCE.md gives for its kind.";

/// A document with a parsed kind and unparsed content.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    kind: Kind,
    metadata: Value,
    spec: Value,
}

/// A fault before its place is added.
struct ShapeFault {
    field: String,
    problem: String,
}

/// Parses every YAML document in `text`; `place` names the file in faults.
///
/// # Errors
///
/// Returns one fault for each invalid document.
pub fn parse_declarations(place: &str, text: &str) -> Result<Vec<Declaration>, Vec<Fault>> {
    let mut declarations = Vec::new();
    let mut faults = Vec::new();
    for (number, document) in serde_norway::Deserializer::from_str(text).enumerate() {
        let document = Value::deserialize(document);
        let invalid_yaml = document.is_err();
        match parse_document(document) {
            Ok(Some(declaration)) => declarations.push(declaration),
            Ok(None) => {}
            Err(fault) => faults.push(Fault {
                place: format!("{place}: document {}", number + 1),
                field: fault.field,
                problem: format!("{}.", fault.problem),
                remedy: SHAPE_REMEDY.to_owned(),
            }),
        }
        if invalid_yaml {
            break;
        }
    }
    if faults.is_empty() {
        Ok(declarations)
    } else {
        Err(faults)
    }
}

fn parse_document(
    document: Result<Value, serde_norway::Error>,
) -> Result<Option<Declaration>, ShapeFault> {
    let document = document.map_err(|error| ShapeFault {
        field: "YAML".to_owned(),
        problem: error.to_string(),
    })?;
    if document.is_null() {
        return Ok(None);
    }
    let envelope: Envelope = parse_section("", document)?;
    let metadata = parse_section("metadata", envelope.metadata)?;
    let spec = envelope.spec;
    let declaration = match envelope.kind {
        Kind::Service => Declaration::Service {
            metadata,
            spec: parse_section("spec", spec)?,
        },
        Kind::EnginePool => Declaration::EnginePool {
            metadata,
            spec: parse_section("spec", spec)?,
        },
        Kind::Policy => Declaration::Policy {
            metadata,
            spec: parse_section("spec", spec)?,
        },
        Kind::Tenant => Declaration::Tenant {
            metadata,
            spec: parse_section("spec", spec)?,
        },
    };
    Ok(Some(declaration))
}

/// Parses the section of a document under `prefix`; a fault gives the full path of the field.
fn parse_section<T: DeserializeOwned>(prefix: &str, value: Value) -> Result<T, ShapeFault> {
    serde_path_to_error::deserialize(value).map_err(|error| {
        let path = error.path().to_string();
        let inner = if path == "." { "" } else { path.as_str() };
        let dot = if prefix.is_empty() || inner.is_empty() {
            ""
        } else {
            "."
        };
        let field = format!("{prefix}{dot}{inner}");
        ShapeFault {
            field: if field.is_empty() {
                "document".to_owned()
            } else {
                field
            },
            problem: error.inner().to_string(),
        }
    })
}

/// Validates all declarations and the references between them; returns the faults.
pub fn validate(configuration: &Configuration) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (key, declaration) in configuration.declarations.iter() {
        check_name(key, &mut faults);
        check_content(configuration, key, declaration, &mut faults);
    }
    check_unique_models(configuration, &mut faults);
    faults
}

fn fault(key: &DeclarationKey, field: &str, problem: String, remedy: &str) -> Fault {
    Fault {
        place: key.to_string(),
        field: field.to_owned(),
        problem,
        remedy: remedy.to_owned(),
    }
}

fn check_name(key: &DeclarationKey, faults: &mut Vec<Fault>) {
    let allowed = |character: char| character.is_ascii_alphanumeric() || "-_.".contains(character);
    if key.name.is_empty() || !key.name.chars().all(allowed) {
        faults.push(fault(
            key,
            "metadata.name",
            format!("'{}' is not a name.", key.name),
            "Use letters, digits, '-', '_' and '.'.",
        ));
    }
}

fn check_content(
    configuration: &Configuration,
    key: &DeclarationKey,
    declaration: &Declaration,
    faults: &mut Vec<Fault>,
) {
    match declaration {
        Declaration::Service { spec, .. } => {
            let pool = DeclarationKey {
                kind: Kind::EnginePool,
                name: spec.pool.0.clone(),
            };
            if !configuration.declarations.contains_key(&pool) {
                faults.push(fault(
                    key,
                    "spec.pool",
                    format!("No EnginePool is named '{}'.", spec.pool),
                    "Declare the pool or name one that exists.",
                ));
            }
            if spec.protocol == Protocol::Model && spec.model.is_none() {
                faults.push(fault(
                    key,
                    "spec.model",
                    "A model service needs a model.".to_owned(),
                    "Set the model's name as requests give it.",
                ));
            }
        }
        Declaration::EnginePool { spec, .. } => {
            if spec.slots == 0 {
                faults.push(fault(
                    key,
                    "spec.slots",
                    "0 slots can run nothing.".to_owned(),
                    "Set at least 1.",
                ));
            }
        }
        Declaration::Policy { spec, .. } => {
            let sum: u32 = spec
                .role_shares
                .values()
                .map(|share| u32::from(*share))
                .sum();
            if !spec.role_shares.is_empty() && sum != 100 {
                faults.push(fault(
                    key,
                    "spec.roleShares",
                    format!("The shares add up to {sum}."),
                    "Make them add up to 100.",
                ));
            }
            if let Some(priority) = spec.priority {
                check_priority(key, priority, faults);
            }
            if let Some(limits) = &spec.limits {
                check_limits(key, "spec.limits.requestsPerSecond", limits, faults);
            }
        }
        Declaration::Tenant { spec, .. } => {
            for digest in &spec.key_digests {
                if digest.len() != 64 || !digest.chars().all(|digit| digit.is_ascii_hexdigit()) {
                    faults.push(fault(
                        key,
                        "spec.keyDigests",
                        "An entry is not a SHA-256 digest in hexadecimal.".to_owned(),
                        "Write the 64 digits that 'printf %s KEY | sha256sum' prints.",
                    ));
                }
            }
            check_priority(key, spec.priority, faults);
            check_limits(key, "spec.limits.requestsPerSecond", &spec.limits, faults);
        }
    }
}

fn check_priority(key: &DeclarationKey, priority: Priority, faults: &mut Vec<Fault>) {
    if priority > MAXIMUM_PRIORITY {
        faults.push(fault(
            key,
            "spec.priority",
            format!("{priority} is above the highest priority."),
            "Set 0 to 127; a larger number goes first.",
        ));
    }
}

fn check_limits(
    key: &DeclarationKey,
    field: &str,
    limits: &crate::declaration::Limits,
    faults: &mut Vec<Fault>,
) {
    if limits
        .requests_per_second
        .is_some_and(|rate| !rate.is_finite() || rate <= 0.0)
    {
        faults.push(fault(
            key,
            field,
            "The rate must be a positive number.".to_owned(),
            "Set a positive rate, or leave it out for no limit.",
        ));
    }
}

fn check_unique_models(configuration: &Configuration, faults: &mut Vec<Fault>) {
    let mut seen = std::collections::BTreeMap::new();
    for (metadata, spec) in configuration.services() {
        let Some(model) = &spec.model else { continue };
        if let Some(other) = seen.insert(model.clone(), metadata.name.clone()) {
            let key = DeclarationKey {
                kind: Kind::Service,
                name: metadata.name.clone(),
            };
            faults.push(fault(
                &key,
                "spec.model",
                format!("Service '{other}' already serves model '{model}'."),
                "Give each model to one service.",
            ));
        }
    }
}
