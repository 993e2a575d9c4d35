//! Every relative link in the pages leads to a file, and every anchor to a heading.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages outside `docs/` that are checked too.
const ROOT_PAGES: [&str; 3] = ["README.md", "CONTRIBUTING.md", "CHANGELOG.md"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn pages_below(folder: &Path, pages: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            pages_below(&path, pages);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            pages.push(path);
        }
    }
}

fn pages() -> Vec<PathBuf> {
    let mut pages: Vec<PathBuf> = ROOT_PAGES.iter().map(|page| root().join(page)).collect();
    pages_below(&root().join("docs"), &mut pages);
    pages
}

/// The text without fenced blocks and code spans, which may hold what only looks like a link.
fn prose(text: &str) -> String {
    let mut fenced = false;
    let mut prose = String::new();
    for line in text.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        } else if !fenced {
            let spans = line.split('`').step_by(2);
            prose.push_str(&spans.collect::<Vec<_>>().join(" "));
            prose.push('\n');
        }
    }
    prose
}

fn links(text: &str) -> Vec<String> {
    let prose = prose(text);
    let targets = prose.split("](").skip(1);
    targets
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target.to_owned())
        .collect()
}

/// Anchors of a page's headings, formed as the usual renderers do.
fn anchors(text: &str) -> BTreeSet<String> {
    let mut fenced = false;
    let mut anchors = BTreeSet::new();
    for line in text.lines() {
        if line.trim_start().starts_with("```") {
            fenced = !fenced;
        }
        let title = line.trim_start_matches('#');
        if fenced || title.len() == line.len() || !title.starts_with(' ') {
            continue;
        }
        let kept = title.trim().to_lowercase();
        let kept = kept.chars().filter(|character| {
            character.is_alphanumeric() || matches!(character, ' ' | '-' | '_')
        });
        anchors.insert(kept.collect::<String>().replace(' ', "-"));
    }
    anchors
}

fn fault(page: &Path, link: &str) -> Option<String> {
    if link.contains("://") || link.starts_with("mailto:") {
        return None;
    }
    let (file, anchor) = link.split_once('#').unwrap_or((link, ""));
    let target = if file.is_empty() {
        page.to_owned()
    } else {
        page.parent()?.join(file)
    };
    if !target.exists() {
        return Some(format!("{}: no file '{file}'", page.display()));
    }
    if anchor.is_empty() {
        return None;
    }
    let text = std::fs::read_to_string(&target).ok()?;
    let known = anchors(&text).contains(anchor);
    (!known).then(|| format!("{}: no heading for '{link}'", page.display()))
}

#[test]
fn every_relative_link_leads_somewhere() {
    let mut faults = Vec::new();
    let mut checked = 0;
    for page in pages() {
        let text = std::fs::read_to_string(&page).unwrap();
        for link in links(&text) {
            checked += 1;
            faults.extend(fault(&page, &link));
        }
    }
    assert!(checked > 0, "no link was found in any page");
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

#[test]
fn a_broken_link_is_found() {
    let page = root().join("README.md");
    assert!(fault(&page, "docs/NO-SUCH-PAGE.md").is_some());
    assert!(fault(&page, "docs/REFERENCE.md#no-such-heading").is_some());
    assert!(fault(&page, "docs/REFERENCE.md#error-codes").is_none());
}
