//! The tables of the reference page that the code owns, generated from the types themselves.
//!
//! The page keeps each between two marker lines; `firshore reference --write docs/REFERENCE.md`
//! refreshes them, and a test compares the page with them.

mod schema_table;

use crate::cli;
use crate::metrics::Metrics;
use crate::settings::Settings;
use firshore_types::declaration::Declaration;
use firshore_types::error::ErrorCode;
use quick_error::quick_error;
use schemars::schema_for;

quick_error! {
    /// Why a page cannot be refreshed.
    #[derive(Debug, PartialEq, Eq)]
    pub enum ReferenceError {
        /// The page lacks a marker line.
        MarkerMissing(marker: String) {
            display("The page has no line '{marker}'. Put it back where the section belongs.")
        }
    }
}

/// One generated part of the page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Section {
    /// Name in the marker lines.
    pub name: &'static str,
    /// Content in Markdown, without the marker lines.
    pub text: String,
}

impl Section {
    fn start(&self) -> String {
        format!("<!-- generated: {} -->", self.name)
    }

    fn end(&self) -> String {
        format!("<!-- end: {} -->", self.name)
    }
}

/// Every generated section.
pub fn sections() -> Vec<Section> {
    vec![
        Section {
            name: "error-codes",
            text: error_codes(),
        },
        Section {
            name: "settings",
            text: schema_table::dotted(&schema_for!(Settings)),
        },
        Section {
            name: "declarations",
            text: schema_table::by_definition(&schema_for!(Declaration)),
        },
        Section {
            name: "metrics",
            text: metrics(),
        },
        Section {
            name: "commands",
            text: commands(),
        },
    ]
}

/// The page with every generated section replaced by its present text.
pub fn refresh(page: &str) -> Result<String, ReferenceError> {
    let mut page = page.to_owned();
    for section in sections() {
        let (start, end) = (section.start(), section.end());
        let from = page
            .find(&start)
            .ok_or_else(|| ReferenceError::MarkerMissing(start.clone()))?
            + start.len();
        let length = page[from..]
            .find(&end)
            .ok_or(ReferenceError::MarkerMissing(end))?;
        page.replace_range(from..from + length, &format!("\n\n{}\n", section.text));
    }
    Ok(page)
}

fn error_codes() -> String {
    let mut text = String::from("| code | status | remedy |\n|---|---:|---|\n");
    for code in ErrorCode::ALL {
        text.push_str(&format!(
            "| `{}` | {} | {} |\n",
            code.as_str(),
            code.status(),
            code.remedy()
        ));
    }
    text
}

fn metrics() -> String {
    let mut text = String::from("| metric | kind | labels | meaning |\n|---|---|---|---|\n");
    for metric in Metrics::default().descriptions() {
        text.push_str(&format!(
            "| `{}` | {} | {} | {} |\n",
            metric.name, metric.kind, metric.labels, metric.meaning
        ));
    }
    text
}

fn commands() -> String {
    let mut text = String::new();
    for help in cli::help() {
        text.push_str(&format!(
            "### `{}`\n\n```\n{}\n```\n\n",
            help.command,
            help.text.trim()
        ));
    }
    text.trim_end().to_owned() + "\n"
}
