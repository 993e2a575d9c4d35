//! Tells from log files what happened to one request, job or item, in order.

use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

/// Fields that every line carries and that are printed apart.
const COMMON: [&str; 5] = ["msg", "level", "ts", "node", "version"];

/// What was found.
#[derive(Debug, Default)]
pub struct Explanation {
    /// Lines that concern the identifier, in order of time.
    pub lines: Vec<String>,
    /// Nodes whose lines were read.
    pub nodes: BTreeSet<String>,
    /// Lines that are no JSON objects.
    pub skipped: usize,
}

/// Field that stands for what a request asks, whatever its identifier.
const PRINT: &str = "print";

#[derive(Debug, Default)]
struct Reading {
    found: Vec<(String, String)>,
    /// Lines that name a print, by print: those of other requests that asked the same.
    printed: BTreeMap<String, Vec<(String, String)>>,
    /// Prints in what was found.
    prints: BTreeSet<String>,
    nodes: BTreeSet<String>,
    skipped: usize,
}

/// Reads logs and picks what concerns `id`: lines in which a field has it as its value, and those of
/// requests that asked the same, where one of them names what was asked.
pub fn explain(id: &str, logs: impl IntoIterator<Item = impl BufRead>) -> io::Result<Explanation> {
    let mut reading = Reading::default();
    for log in logs {
        for line in log.lines() {
            reading.take(id, &line?);
        }
    }
    for print in std::mem::take(&mut reading.prints) {
        reading
            .found
            .extend(reading.printed.remove(&print).unwrap_or_default());
    }
    reading.found.sort();
    reading.found.dedup();
    Ok(Explanation {
        lines: reading.found.into_iter().map(|(_, line)| line).collect(),
        nodes: reading.nodes,
        skipped: reading.skipped,
    })
}

impl Reading {
    /// Takes in a line; what stands before the object, as some collectors write it, is passed over.
    fn take(&mut self, id: &str, line: &str) {
        if line.trim().is_empty() {
            return;
        }
        let object = line.find('{').and_then(|start| {
            let parsed: Result<Map<String, Value>, _> = serde_json::from_str(&line[start..]);
            parsed.ok()
        });
        let Some(object) = object else {
            self.skipped += 1;
            return;
        };
        if let Some(node) = object.get("node").and_then(Value::as_str) {
            self.nodes.insert(node.to_owned());
        }
        let concerns = object.values().any(|value| value.as_str() == Some(id));
        let print = object.get(PRINT).and_then(Value::as_str);
        if !concerns && print.is_none() {
            return;
        }
        let line = (text(&object, "ts"), describe(&object));
        if concerns {
            self.found.push(line.clone());
            self.prints.extend(print.map(str::to_owned));
        }
        if let Some(print) = print {
            let lines = self.printed.entry(print.to_owned()).or_default();
            lines.push(line);
        }
    }
}

fn text(object: &Map<String, Value>, name: &str) -> String {
    let value = object.get(name).and_then(Value::as_str);
    value.unwrap_or("?").to_owned()
}

/// `TIME NODE MESSAGE field=value …`, fields in order of name.
fn describe(object: &Map<String, Value>) -> String {
    let mut line = format!(
        "{} {} {}",
        text(object, "ts"),
        text(object, "node"),
        text(object, "msg")
    );
    let mut fields: Vec<(&String, &Value)> = object
        .iter()
        .filter(|(name, _)| !COMMON.contains(&name.as_str()))
        .collect();
    fields.sort_by_key(|(name, _)| *name);
    for (name, value) in fields {
        match value.as_str() {
            Some(text) => line.push_str(&format!(" {name}={text}")),
            None => line.push_str(&format!(" {name}={value}")),
        }
    }
    line
}
