//! Progress of items survives a restart of the process and never mixes two runs.

use firshore_node::runner::ItemKey;
use firshore_node::runner::handover::{ProgressDelta, TextId};
use firshore_node::runner::progress_store::{Leadership, ProgressStore};
use std::fs::{File, OpenOptions};
use std::io::{ErrorKind, Write};
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

const FILE: &str = "progress";

/// Timeout for the writer thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

fn key(index: u32) -> ItemKey {
    ("job".to_owned(), index)
}

fn delta(index: u32, offset: usize, events: &[&str]) -> ProgressDelta {
    ProgressDelta {
        job: "job".to_owned(),
        index,
        offset,
        events: events.iter().map(|event| (*event).to_owned()).collect(),
        last: Some((offset + events.len()) as u64),
        origin: None,
        text: Some(TextId(1)),
    }
}

fn leadership(term: u64, turn: u64) -> Leadership {
    Leadership { term, turn }
}

fn events(store: &ProgressStore, index: u32) -> Vec<String> {
    let held = store.held();
    held.get(&key(index))
        .map_or(Vec::new(), |one| one.events.clone())
}

/// Returns the events in the file, read from a copy: opening the folder itself truncates the file after the
/// last whole frame, which must not happen while the writer thread of an earlier store is still running.
fn stored_events(folder: &Path, index: u32) -> Vec<String> {
    let copy = tempfile::tempdir().unwrap();
    if let Err(error) = std::fs::copy(folder.join(FILE), copy.path().join(FILE)) {
        assert_eq!(error.kind(), ErrorKind::NotFound, "{error}");
    }
    events(&ProgressStore::open(copy.path()).unwrap(), index)
}

/// Opens the folder once its file holds `count` events of an item.
fn reopen_with(folder: &Path, index: u32, count: usize) -> ProgressStore {
    let started = Instant::now();
    loop {
        let held = stored_events(folder, index);
        if held.len() == count {
            return ProgressStore::open(folder).unwrap();
        }
        assert!(started.elapsed() < WRITE_TIMEOUT, "{held:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn progress_survives_a_restart() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = ProgressStore::open(folder.path()).unwrap();
    store.apply(leadership(1, 1), vec![delta(0, 0, &["a", "b"])]);
    store.apply(
        leadership(1, 1),
        vec![delta(0, 2, &["c"]), delta(1, 0, &["x"])],
    );
    drop(store);
    let store = reopen_with(folder.path(), 1, 1);
    assert_eq!(events(&store, 0), ["a", "b", "c"]);
    assert_eq!(store.held()[&key(0)].last, Some(3));
}

/// Frames of two runs of an item at one process stood one behind the other; after a restart their events were joined.
#[test]
fn frames_of_two_texts_were_joined_after_a_restart() {
    let of_text = |text, delta| ProgressDelta { text, ..delta };
    let (first, second) = (Some(TextId(1)), Some(TextId(2)));
    let folder = tempfile::tempdir().unwrap();
    let mut store = ProgressStore::open(folder.path()).unwrap();
    let appended = [
        of_text(first, delta(0, 0, &["a1", "a2"])),
        of_text(second, delta(0, 2, &["b3"])),
        // Of an earlier version, which names no text.
        of_text(None, delta(1, 0, &["a1"])),
        of_text(None, delta(1, 1, &["b2"])),
        of_text(first, delta(2, 0, &["x"])),
    ];
    for one in appended {
        store.apply(leadership(1, 1), vec![one]);
    }
    drop(store);
    let store = reopen_with(folder.path(), 2, 1);
    assert_eq!(events(&store, 0), ["a1", "a2"]);
    assert_eq!(events(&store, 1), ["a1"]);
    assert_eq!(store.held()[&key(0)].text, first);
}

#[test]
fn torn_last_frame_is_dropped() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = ProgressStore::open(folder.path()).unwrap();
    store.apply(leadership(1, 1), vec![delta(0, 0, &["a"])]);
    drop(store);
    drop(reopen_with(folder.path(), 0, 1));
    let path = folder.path().join(FILE);
    let whole = std::fs::read(&path).unwrap();
    for torn in 1..whole.len() {
        std::fs::write(&path, &whole).unwrap();
        let mut file = OpenOptions::new().append(true).open(&path).unwrap();
        file.write_all(&whole[..torn]).unwrap();
        let store = ProgressStore::open(folder.path()).unwrap();
        assert_eq!(events(&store, 0), ["a"], "{torn} bytes of the next frame");
        assert_eq!(std::fs::read(&path).unwrap(), whole, "{torn} bytes");
    }
}

#[test]
fn invalid_bytes_yield_no_progress() {
    let folder = tempfile::tempdir().unwrap();
    for bytes in [
        &b"garbage that is longer than a header"[..],
        &[0xff; 64],
        &[0; 40],
    ] {
        std::fs::write(folder.path().join(FILE), bytes).unwrap();
        let store = ProgressStore::open(folder.path()).unwrap();
        assert!(store.held().is_empty(), "{bytes:?}");
    }
}

#[test]
fn late_progress_of_an_earlier_leader_is_ignored() {
    let folder = tempfile::tempdir().unwrap();
    let mut store = ProgressStore::open(folder.path()).unwrap();
    store.apply(leadership(2, 1), vec![delta(0, 0, &["b1", "b2", "b3"])]);
    let late = vec![delta(0, 1, &["a2", "a3", "a4"])];
    let gaps = store.apply(leadership(1, 9), late);
    assert_eq!(gaps, [key(0)]);
    assert_eq!(events(&store, 0), ["b1", "b2", "b3"]);
    // A later leadership of the same process replaces the progress.
    store.apply(leadership(2, 2), vec![delta(0, 0, &["b1"])]);
    store.apply(leadership(2, 1), vec![delta(0, 3, &["b4"])]);
    assert_eq!(events(&store, 0), ["b1"]);
    drop(store);
    assert_eq!(events(&reopen_with(folder.path(), 0, 1), 0), ["b1"]);
}

/// While the disk was slow, events were left out of the file until some item had further ones; if none had, for good.
#[test]
fn last_events_behind_a_slow_disk_were_never_written() {
    const ITEMS: u32 = 200;
    let folder = tempfile::tempdir().unwrap();
    let (resume, stalled) = channel::<()>();
    // The disk takes nothing more until `resume` is dropped.
    let sync = move |file: &File| {
        let _ = stalled.recv();
        file.sync_data()
    };
    let mut store = ProgressStore::open_with(folder.path(), Box::new(sync)).unwrap();
    for index in 0..ITEMS {
        store.apply(leadership(1, 1), vec![delta(index, 0, &["event"])]);
    }
    drop(store);
    drop(resume);
    let store = reopen_with(folder.path(), ITEMS - 1, 1);
    assert_eq!(store.held().len(), ITEMS as usize);
}

#[test]
fn file_is_bounded_and_keeps_live_items() {
    const EVENT: usize = 16 * 1024;
    const ROUNDS: usize = 600;
    let folder = tempfile::tempdir().unwrap();
    let mut store = ProgressStore::open(folder.path()).unwrap();
    let event = "e".repeat(EVENT);
    for round in 0..ROUNDS {
        let deltas = vec![delta(round as u32, 0, &[event.as_str()])];
        store.apply(leadership(1, 1), deltas);
        store.retain(|key| key.1 + 4 > round as u32);
        // Slow enough for the writer thread to keep up, so that no write is dropped.
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(store);
    let store = reopen_with(folder.path(), ROUNDS as u32 - 1, 1);
    assert_eq!(events(&store, ROUNDS as u32 - 2), [event]);
    let bytes = std::fs::metadata(folder.path().join(FILE)).unwrap().len();
    assert!(bytes < 4 * 1024 * 1024, "{bytes} bytes");
}
