//! Every log line of the node is a short sentence behind the fixed prefix of its part, and names
//! no value that may be secret.

use std::path::{Path, PathBuf};

const LEVELS: [&str; 6] = [
    "trace!(", "debug!(", "info!(", "warn!(", "error!(", "crit!(",
];

/// Longest sentence of a log line, in bytes.
const MAXIMUM_SENTENCE_BYTES: usize = 80;

/// Words that name what must not reach a log.
const FORBIDDEN: [&str; 6] = [
    "bearer",
    "authorization",
    "secret",
    "prompt",
    "body",
    "headers",
];

struct Line {
    place: String,
    call: String,
}

impl Line {
    /// The first text literal of the call.
    fn sentence(&self) -> &str {
        self.call.split('"').nth(1).unwrap_or("")
    }

    /// What is wrong with the line, if anything.
    fn fault(&self) -> Option<String> {
        let sentence = self.sentence();
        let (prefix, rest) = sentence.split_once(": ").unwrap_or(("", sentence));
        let part = !prefix.is_empty()
            && prefix
                .chars()
                .all(|letter| letter.is_ascii_lowercase() || letter == ' ');
        let begins = rest.starts_with(|letter: char| letter.is_ascii_uppercase());
        if !part || !begins || !sentence.ends_with('.') {
            return Some(format!(
                "{}: '{sentence}' is not 'part: Sentence.'",
                self.place
            ));
        }
        if sentence.len() > MAXIMUM_SENTENCE_BYTES {
            return Some(format!("{}: '{sentence}' is too long", self.place));
        }
        let call = self.call.to_lowercase();
        FORBIDDEN
            .iter()
            .find(|word| call.contains(*word))
            .map(|word| format!("{}: '{word}' may tell a secret", self.place))
    }
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else {
            found.push(path);
        }
    }
}

/// The text from a call's opening bracket to the bracket that closes it.
fn whole_call(text: &str) -> String {
    let mut depth = 0;
    for (position, letter) in text.char_indices() {
        match letter {
            '(' => depth += 1,
            ')' => depth -= 1,
            _ => {}
        }
        if depth == 0 {
            return text[..position].to_owned();
        }
    }
    text.to_owned()
}

fn lines(path: &Path, text: &str) -> Vec<Line> {
    let mut lines = Vec::new();
    for level in LEVELS {
        for (position, _) in text.match_indices(level) {
            let bracket = position + level.len() - 1;
            let before = text[..position].chars().next_back();
            if before.is_some_and(|letter| letter.is_alphanumeric() || letter == '_') {
                continue;
            }
            let number = text[..position].matches('\n').count() + 1;
            lines.push(Line {
                place: format!("{}:{number}", path.display()),
                call: whole_call(&text[bracket..]),
            });
        }
    }
    lines
}

#[test]
fn every_line_is_a_sentence_behind_its_part() {
    let mut paths = Vec::new();
    sources(
        &Path::new(env!("CARGO_MANIFEST_DIR")).join("src"),
        &mut paths,
    );
    let mut checked = 0;
    let mut faults = Vec::new();
    for path in paths {
        let text = std::fs::read_to_string(&path).unwrap();
        for line in lines(&path, &text) {
            checked += 1;
            faults.extend(line.fault());
        }
    }
    assert!(checked > 0, "no log line was found");
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn faulty_lines_are_noticed() {
    let text = r#"
        info!(log, "Serving.");
        warn!(log, "peers: refused");
        error!(log, "gateway: Refused."; "prompt" => %prompt);
        info!(log, "node: Serving."; "name" => %name);
    "#;
    let found = lines(Path::new("sample.rs"), text);
    let faults: Vec<bool> = found.iter().map(|line| line.fault().is_some()).collect();
    assert_eq!(found.len(), 4);
    assert_eq!(faults.iter().filter(|fault| **fault).count(), 3);
}
