//! `firshore check` as a process: exit codes and messages.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const POOL: &str = "kind: EnginePool\nmetadata: {name: engines}\nspec: {machines: {}}\n";

fn check(paths: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_firshore"))
        .arg("check")
        .args(paths)
        .output()
        .unwrap()
}

fn messages(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn write(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn the_examples_are_valid() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut checked = 0;
    for entry in std::fs::read_dir(examples).unwrap() {
        let declarations = entry.unwrap().path().join("declarations");
        if declarations.is_dir() {
            let output = check(&[&declarations]);
            assert_eq!(output.status.code(), Some(0), "{}", messages(&output));
            checked += 1;
        }
    }
    assert!(checked >= 2, "only {checked} examples have declarations");
}

#[test]
fn every_fault_of_a_folder_is_named_with_file_field_and_remedy() {
    let folder = tempfile::tempdir().unwrap();
    write(folder.path(), "a.yaml", POOL);
    write(
        folder.path(),
        "b.yaml",
        &POOL.replace("{machines", "{slots: 0, machines"),
    );
    write(
        folder.path(),
        "c.yml",
        "kind: Service\nmetadata: {name: x}\nspec: {protocl: model, pool: engines}\n",
    );
    write(folder.path(), "notes.txt", "not: [read");
    let output = check(&[folder.path()]);
    assert_eq!(output.status.code(), Some(2));
    let text = messages(&output);
    for part in [
        "b.yaml: EnginePool/engines: metadata.name:",
        "a.yaml declares it too. Take one of the two away",
        "c.yml: document 1: spec.protocl: unknown field",
        "docs/REFERENCE.md",
    ] {
        assert!(text.contains(part), "'{part}' is not in: {text}");
    }
    assert!(!text.contains("notes.txt"), "{text}");
}

#[test]
fn a_reference_to_nothing_is_named_with_its_file() {
    let folder = tempfile::tempdir().unwrap();
    let service = "kind: Service\nmetadata: {name: x}\nspec: {protocol: application, pool: p}\n";
    let path = write(folder.path(), "service.yaml", service);
    let output = check(&[&path]);
    assert_eq!(output.status.code(), Some(2));
    let text = messages(&output);
    assert!(text.contains("service.yaml: Service/x: spec.pool: No EnginePool is named 'p'."));
    assert!(text.contains("Declare the pool or name one that exists."));
}

#[test]
fn wrong_use_exits_with_2_and_says_what_to_do() {
    let missing = check(&[Path::new("no-such-folder")]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(messages(&missing).contains("Check the path."));
    let nothing = check(&[]);
    assert_eq!(nothing.status.code(), Some(2));
    assert!(messages(&nothing).contains("Name at least one file or folder"));
}
