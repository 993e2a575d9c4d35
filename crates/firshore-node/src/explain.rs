//! Tells from log files what happened to one request, job or item, in order.

use serde_json::{Map, Value};
use std::collections::BTreeSet;
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

#[derive(Debug, Default)]
struct Reading {
    found: Vec<(String, String)>,
    nodes: BTreeSet<String>,
    skipped: usize,
}

/// Reads logs and picks what concerns `id`: lines in which a field has it as its value.
pub fn explain(id: &str, logs: impl IntoIterator<Item = impl BufRead>) -> io::Result<Explanation> {
    let mut reading = Reading::default();
    for log in logs {
        for line in log.lines() {
            reading.take(id, &line?);
        }
    }
    reading.found.sort();
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
        if concerns {
            let time = text(&object, "ts");
            self.found.push((time, describe(&object)));
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
