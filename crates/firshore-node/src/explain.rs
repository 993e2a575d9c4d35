//! Searches log files for the lines of one request, job or item.

use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufRead};

/// Fields of every line, which are not listed among the others.
const COMMON_FIELDS: [&str; 5] = ["msg", "level", "ts", "node", "version"];

/// Result of a search.
#[derive(Debug, Default)]
pub struct Explanation {
    /// Lines that refer to the identifier, in order of time.
    pub lines: Vec<String>,
    /// Nodes whose logs were read.
    pub nodes: BTreeSet<String>,
    /// Number of lines that are not JSON objects.
    pub skipped: usize,
}

/// Field with the request's fingerprint, which is the same for repeated requests with other identifiers.
const FINGERPRINT_FIELD: &str = "print";

#[derive(Debug, Default)]
struct LogSearch {
    /// Matching lines, with their times.
    found: Vec<(String, String)>,
    /// Lines with a fingerprint, by fingerprint.
    by_fingerprint: BTreeMap<String, Vec<(String, String)>>,
    /// Fingerprints of matching lines.
    fingerprints: BTreeSet<String>,
    nodes: BTreeSet<String>,
    skipped: usize,
}

/// Returns the log lines that refer to `id`: those with a field of this value, and those with the same request
/// fingerprint as one of them.
///
/// # Errors
///
/// Fails if a log can't be read.
pub fn explain(id: &str, logs: impl IntoIterator<Item = impl BufRead>) -> io::Result<Explanation> {
    let mut search = LogSearch::default();
    for log in logs {
        for line in log.lines() {
            search.add_line(id, &line?);
        }
    }
    for fingerprint in std::mem::take(&mut search.fingerprints) {
        search.found.extend(
            search
                .by_fingerprint
                .remove(&fingerprint)
                .unwrap_or_default(),
        );
    }
    search.found.sort();
    search.found.dedup();
    Ok(Explanation {
        lines: search.found.into_iter().map(|(_, line)| line).collect(),
        nodes: search.nodes,
        skipped: search.skipped,
    })
}

impl LogSearch {
    /// Adds a line. Text before the JSON object, as some log collectors write it, is ignored.
    fn add_line(&mut self, id: &str, line: &str) {
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
        let is_match = object.values().any(|value| value.as_str() == Some(id));
        let fingerprint = object.get(FINGERPRINT_FIELD).and_then(Value::as_str);
        if !is_match && fingerprint.is_none() {
            return;
        }
        let line = (text(&object, "ts"), format_line(&object));
        if is_match {
            self.found.push(line.clone());
            self.fingerprints.extend(fingerprint.map(str::to_owned));
        }
        if let Some(fingerprint) = fingerprint {
            let lines = self
                .by_fingerprint
                .entry(fingerprint.to_owned())
                .or_default();
            lines.push(line);
        }
    }
}

/// Returns the value of a text field, or "?" if it is missing.
fn text(object: &Map<String, Value>, name: &str) -> String {
    let value = object.get(name).and_then(Value::as_str);
    value.unwrap_or("?").to_owned()
}

/// Formats a line as `TIME NODE MESSAGE field=value …`, with fields sorted by name.
fn format_line(object: &Map<String, Value>) -> String {
    let mut line = format!(
        "{} {} {}",
        text(object, "ts"),
        text(object, "node"),
        text(object, "msg")
    );
    let mut fields: Vec<(&String, &Value)> = object
        .iter()
        .filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()))
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
