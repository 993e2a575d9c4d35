//! The reference page matches the code.

use firshore_server::reference::{self, ReferenceError};
use std::path::{Path, PathBuf};

const REMEDY: &str = "cargo run --bin firshore -- reference --write docs/REFERENCE.md";

fn page_path() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/REFERENCE.md")
}

#[test]
fn the_page_holds_the_present_tables() {
    let page = std::fs::read_to_string(page_path()).unwrap();
    let fresh = reference::refresh(&page).unwrap();
    let stale = page
        .lines()
        .zip(fresh.lines())
        .find(|(written, generated)| written != generated);
    assert!(
        page == fresh,
        "docs/REFERENCE.md is stale; refresh it with '{REMEDY}'. First difference: {stale:?}"
    );
}

#[test]
fn refreshing_twice_changes_nothing() {
    let page = std::fs::read_to_string(page_path()).unwrap();
    let once = reference::refresh(&page).unwrap();
    assert_eq!(once, reference::refresh(&once).unwrap());
}

#[test]
fn a_page_without_a_marker_is_refused() {
    let error = reference::refresh("# Reference\n").unwrap_err();
    let expected = "<!-- generated: error-codes -->".to_owned();
    assert_eq!(error, ReferenceError::MarkerMissing(expected));
}

#[test]
fn tables_have_a_row_for_each_thing_they_list() {
    let text: String = reference::sections()
        .into_iter()
        .map(|section| section.text)
        .collect();
    for part in [
        "| `too_large` | 413 |",
        "| `cluster.secret` | text | required |",
        "| `limits.workers` | integer, at least 0 | `2` |",
        "| `log.level` | `error` or `warning` or `info` or `debug` | `\"info\"` |",
        "### Kind `EnginePool`: `spec`",
        "| `machines` | [Selector](#selector) | required |",
        "### Metadata",
        "### `firshore serve`",
    ] {
        assert!(text.contains(part), "'{part}' is missing from:\n{text}");
    }
}
