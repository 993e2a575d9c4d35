//! Declarations read from files and folders, each with the file it came from.

use super::Failure;
use firshore_types::declaration::{Declaration, DeclarationKey};
use firshore_types::declaration_set::DeclarationSet;
use firshore_types::validation::{Fault, parse_declarations};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Extensions of the files that are read from a folder.
const EXTENSIONS: [&str; 2] = ["yaml", "yml"];

/// Declarations by kind and name, with their files.
#[derive(Default)]
pub(crate) struct Sources {
    found: BTreeMap<DeclarationKey, Source>,
}

struct Source {
    file: String,
    declaration: Declaration,
}

impl Sources {
    /// Reads files, and the YAML files directly in folders; fails with every fault found.
    pub(crate) fn read(paths: &[PathBuf]) -> Result<Self, Failure> {
        if paths.is_empty() {
            let message = "Name at least one file or folder of declarations.";
            return Err(Failure::Invalid(message.to_owned()));
        }
        let mut sources = Self::default();
        let mut faults = Vec::new();
        for path in paths {
            let files = files_below(path).map_err(|error| unreadable(path, &error))?;
            for file in files {
                let text =
                    std::fs::read_to_string(&file).map_err(|error| unreadable(&file, &error))?;
                sources.add(&file.display().to_string(), &text, &mut faults);
            }
        }
        if faults.is_empty() {
            Ok(sources)
        } else {
            Err(describe(&faults))
        }
    }

    fn add(&mut self, file: &str, text: &str, faults: &mut Vec<Fault>) {
        let declarations = match parse_declarations(file, text) {
            Ok(declarations) => declarations,
            Err(found) => {
                faults.extend(found);
                return;
            }
        };
        for declaration in declarations {
            let key = declaration.key();
            if let Some(earlier) = self.found.get(&key) {
                faults.push(Fault {
                    place: format!("{file}: {key}"),
                    field: "metadata.name".to_owned(),
                    problem: format!("{} declares it too.", earlier.file),
                    remedy: "Take one of the two away or rename it.".to_owned(),
                });
                continue;
            }
            let file = file.to_owned();
            self.found.insert(key, Source { file, declaration });
        }
    }

    /// The declarations, in order of kind and name.
    pub(crate) fn declarations(self) -> Vec<Declaration> {
        self.found
            .into_values()
            .map(|source| source.declaration)
            .collect()
    }

    /// Copies of the declarations as a set.
    pub(crate) fn to_set(&self) -> DeclarationSet {
        let declarations = self.found.values();
        declarations
            .map(|source| source.declaration.clone())
            .collect()
    }

    /// The failure that reports `faults`, each behind the file of its declaration.
    pub(crate) fn failure(&self, faults: Vec<Fault>) -> Failure {
        let named: Vec<Fault> = faults
            .into_iter()
            .map(|mut fault| {
                let source = self
                    .found
                    .iter()
                    .find(|(key, _)| key.to_string() == fault.place);
                if let Some((key, source)) = source {
                    fault.place = format!("{}: {key}", source.file);
                }
                fault
            })
            .collect();
        describe(&named)
    }
}

fn describe(faults: &[Fault]) -> Failure {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Failure::Invalid(lines.join("\n"))
}

fn unreadable(path: &Path, error: &std::io::Error) -> Failure {
    Failure::Invalid(format!(
        "{} cannot be read: {error}. Check the path.",
        path.display()
    ))
}

fn files_below(path: &Path) -> std::io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.to_owned()]);
    }
    let mut files = Vec::new();
    for entry in std::fs::read_dir(path)? {
        let path = entry?.path();
        let extension = path.extension().and_then(|extension| extension.to_str());
        let yaml = extension.is_some_and(|extension| EXTENSIONS.contains(&extension));
        if yaml && path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}
