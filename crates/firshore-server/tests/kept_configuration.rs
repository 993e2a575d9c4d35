//! The configuration kept on disk: read back whole, or not at all.

use firshore_config::message::Snapshot;
use firshore_server::configuration::disk::{load, store};
use firshore_types::configuration::Configuration;
use firshore_types::ids::Revision;
use std::fs;

fn snapshot(revision: u64) -> Snapshot {
    Snapshot {
        digest: Default::default(),
        configuration: Configuration {
            revision: Revision(revision),
            ..Configuration::default()
        },
    }
}

#[test]
fn the_newest_whole_configuration_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    assert_eq!(load(folder.path()).unwrap(), None);
    for revision in 1..=3 {
        store(folder.path(), &snapshot(revision)).unwrap();
        assert_eq!(load(folder.path()).unwrap(), Some(snapshot(revision)));
    }
}

#[test]
fn a_damaged_file_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    store(folder.path(), &snapshot(7)).unwrap();
    let path = folder.path().join("configuration.json");
    let text = fs::read_to_string(&path).unwrap();
    let cases = [
        ("torn", text[..text.len() / 2].to_owned()),
        ("empty", String::new()),
        ("changed", text.replace("\"revision\":7", "\"revision\":8")),
        ("another version", text.replace("\"digest\"", "\"digests\"")),
    ];
    for (name, text) in cases {
        fs::write(&path, text).unwrap();
        assert!(load(folder.path()).is_err(), "{name}");
    }
}
