//! What items have produced outlives the end of a process, and is never joined from two runs.

use firshore_node::runner::ItemKey;
use firshore_node::runner::handover::ProgressDelta;
use firshore_node::runner::progress_store::{Leadership, ProgressStore};
use std::fs::OpenOptions;
use std::io::{ErrorKind, Write};
use std::path::Path;
use std::time::{Duration, Instant};

const FILE: &str = "progress";

/// Longest wait for the thread that writes.
const WRITTEN_WITHIN: Duration = Duration::from_secs(10);

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
    }
}

fn leadership(term: u64, turn: u64) -> Leadership {
    Leadership { term, turn }
}

fn events(keeper: &ProgressStore, index: u32) -> Vec<String> {
    let held = keeper.held();
    held.get(&key(index))
        .map_or(Vec::new(), |one| one.events.clone())
}

/// What the file holds now, read from a copy: whoever opens a folder cuts its file off after the last
/// whole frame, which must not happen while the thread of a former keeper still writes there.
fn held_now(folder: &Path, index: u32) -> Vec<String> {
    let copy = tempfile::tempdir().unwrap();
    if let Err(error) = std::fs::copy(folder.join(FILE), copy.path().join(FILE)) {
        assert_eq!(error.kind(), ErrorKind::NotFound, "{error}");
    }
    events(&ProgressStore::open(copy.path()).unwrap(), index)
}

/// Opens the folder once its file holds as many events of an item.
fn reopened(folder: &Path, index: u32, count: usize) -> ProgressStore {
    let started = Instant::now();
    loop {
        let held = held_now(folder, index);
        if held.len() == count {
            return ProgressStore::open(folder).unwrap();
        }
        assert!(started.elapsed() < WRITTEN_WITHIN, "{held:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn what_was_told_is_there_after_the_end_of_a_process() {
    let folder = tempfile::tempdir().unwrap();
    let mut keeper = ProgressStore::open(folder.path()).unwrap();
    keeper.apply(leadership(1, 1), vec![delta(0, 0, &["a", "b"])]);
    keeper.apply(
        leadership(1, 1),
        vec![delta(0, 2, &["c"]), delta(1, 0, &["x"])],
    );
    drop(keeper);
    let keeper = reopened(folder.path(), 1, 1);
    assert_eq!(events(&keeper, 0), ["a", "b", "c"]);
    assert_eq!(keeper.held()[&key(0)].last, Some(3));
}

#[test]
fn a_torn_end_costs_only_itself() {
    let folder = tempfile::tempdir().unwrap();
    let mut keeper = ProgressStore::open(folder.path()).unwrap();
    keeper.apply(leadership(1, 1), vec![delta(0, 0, &["a"])]);
    drop(keeper);
    drop(reopened(folder.path(), 0, 1));
    let path = folder.path().join(FILE);
    let whole = std::fs::read(&path).unwrap();
    for torn in 1..whole.len() {
        std::fs::write(&path, &whole).unwrap();
        let mut file = OpenOptions::new().append(true).open(&path).unwrap();
        file.write_all(&whole[..torn]).unwrap();
        let keeper = ProgressStore::open(folder.path()).unwrap();
        assert_eq!(events(&keeper, 0), ["a"], "{torn} bytes of the next frame");
        assert_eq!(std::fs::read(&path).unwrap(), whole, "{torn} bytes");
    }
}

#[test]
fn bytes_that_are_no_frame_hold_nothing() {
    let folder = tempfile::tempdir().unwrap();
    for bytes in [
        &b"garbage that is longer than a header"[..],
        &[0xff; 64],
        &[0; 40],
    ] {
        std::fs::write(folder.path().join(FILE), bytes).unwrap();
        let keeper = ProgressStore::open(folder.path()).unwrap();
        assert!(keeper.held().is_empty(), "{bytes:?}");
    }
}

#[test]
fn what_an_earlier_leader_tells_late_counts_for_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let mut keeper = ProgressStore::open(folder.path()).unwrap();
    keeper.apply(leadership(2, 1), vec![delta(0, 0, &["b1", "b2", "b3"])]);
    let late = vec![delta(0, 1, &["a2", "a3", "a4"])];
    let gaps = keeper.apply(leadership(1, 9), late);
    assert_eq!(gaps, [key(0)]);
    assert_eq!(events(&keeper, 0), ["b1", "b2", "b3"]);
    // The same process, leading again after a break, begins anew.
    keeper.apply(leadership(2, 2), vec![delta(0, 0, &["b1"])]);
    keeper.apply(leadership(2, 1), vec![delta(0, 3, &["b4"])]);
    assert_eq!(events(&keeper, 0), ["b1"]);
    drop(keeper);
    assert_eq!(events(&reopened(folder.path(), 0, 1), 0), ["b1"]);
}

#[test]
fn the_file_stays_bounded_and_holds_what_is_live() {
    const EVENT: usize = 16 * 1024;
    const ROUNDS: usize = 600;
    let folder = tempfile::tempdir().unwrap();
    let mut keeper = ProgressStore::open(folder.path()).unwrap();
    let event = "e".repeat(EVENT);
    for round in 0..ROUNDS {
        let deltas = vec![delta(round as u32, 0, &[event.as_str()])];
        keeper.apply(leadership(1, 1), deltas);
        keeper.retain(|key| key.1 + 4 > round as u32);
        // Far slower than a disk, so that nothing has to be dropped.
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(keeper);
    let keeper = reopened(folder.path(), ROUNDS as u32 - 1, 1);
    assert_eq!(events(&keeper, ROUNDS as u32 - 2), [event]);
    let bytes = std::fs::metadata(folder.path().join(FILE)).unwrap().len();
    assert!(bytes < 4 * 1024 * 1024, "{bytes} bytes");
}
