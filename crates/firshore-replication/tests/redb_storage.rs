//! The storage keeps what it acknowledged, and names what is broken.

use firshore_replication::checked;
use firshore_replication::error::StorageError;
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::storage::{HardState, Storage, StoredState, WriteBatch};
use firshore_replication::types::{
    DiskId, Entry, EntryContent, LogIndex, Membership, Position, ReferencedCommand, Snapshot,
    SnapshotHeader,
};
use redb::{Database, ReadableDatabase, TableDefinition};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");

const CACHE_BYTES: usize = 1024 * 1024;

fn entry(index: LogIndex) -> Entry {
    Entry {
        index,
        term: 2,
        content: EntryContent::Command(vec![index as u8; 100].into()),
    }
}

fn filled(folder: &Path) -> (PathBuf, RedbStorage) {
    let path = folder.join("journal.redb");
    let mut storage = RedbStorage::open(&path, DiskId(7), CACHE_BYTES).expect("a new file opens");
    let batch = WriteBatch {
        hard_state: Some(HardState {
            term: 2,
            vote: Some(DiskId(9)),
            ..HardState::default()
        }),
        append: (1..=10).map(entry).collect(),
        ..WriteBatch::default()
    };
    storage.write(&batch).expect("the batch is written");
    (path, storage)
}

#[test]
fn what_was_written_is_read_back_under_the_same_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, mut storage) = filled(folder.path());
    let snapshot = Snapshot {
        header: SnapshotHeader {
            position: Position { index: 6, term: 2 },
            membership: Membership::default(),
        },
        data: vec![3; 3_000_000].into(),
    };
    let batch = WriteBatch {
        snapshot: Some(snapshot.clone()),
        discard_through: Some(Position { index: 4, term: 2 }),
        truncate_from: Some(9),
        append: vec![entry(9)],
        ..WriteBatch::default()
    };
    storage.write(&batch).expect("the batch is written");
    drop(storage);
    let storage = RedbStorage::open(&path, DiskId(8), CACHE_BYTES).expect("the file opens again");
    assert_eq!(storage.disk(), DiskId(7));
    let stored = storage.load().expect("it is whole");
    assert_eq!(stored.hard_state.term, 2);
    assert_eq!(stored.base, Position { index: 4, term: 2 });
    assert_eq!(stored.entries, (5..=9).map(entry).collect::<Vec<_>>());
    assert_eq!(stored.snapshot, Some(snapshot));
}

#[test]
fn a_file_that_is_gone_gives_a_new_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = filled(folder.path());
    drop(storage);
    std::fs::remove_file(&path).expect("the file is removed");
    let storage = RedbStorage::open(&path, DiskId(8), CACHE_BYTES).expect("a new file opens");
    assert_eq!(storage.disk(), DiskId(8));
    assert_eq!(storage.load().expect("it is empty"), StoredState::default());
}

fn damage(path: &Path, work: impl FnOnce(&redb::WriteTransaction)) {
    let database = Database::open(path).expect("the file opens");
    let write = database.begin_write().expect("a transaction");
    work(&write);
    write.commit().expect("it commits");
}

#[test]
fn damage_is_named_with_its_remedy() {
    type Damage = fn(&redb::WriteTransaction);
    let cases: [(&str, Damage); 4] = [
        ("Entry 10", |write| {
            let mut table = write.open_table(ENTRIES).expect("a table");
            let mut bytes = checked::encode(&entry(10));
            let last = bytes.len() - 1;
            bytes[last] ^= 1;
            table.insert(10, bytes.as_slice()).expect("a row");
        }),
        ("Entry 4", |write| {
            let mut table = write.open_table(ENTRIES).expect("a table");
            table.remove(4).expect("a row");
        }),
        ("term and vote", |write| {
            let mut table = write.open_table(RECORDS).expect("a table");
            table.remove("hard_state").expect("a row");
        }),
        ("identity of the disk", |write| {
            let mut table = write.open_table(RECORDS).expect("a table");
            table.remove("disk").expect("a row");
        }),
    ];
    for (named, work) in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let (path, storage) = filled(folder.path());
        drop(storage);
        damage(&path, work);
        let result =
            RedbStorage::open(&path, DiskId(8), CACHE_BYTES).and_then(|storage| storage.load());
        let message = result.expect_err("damage is noticed").to_string();
        assert!(message.contains(named), "{message}");
        assert!(message.contains("new replica"), "{message}");
    }
}

#[test]
fn a_cut_off_file_is_refused_or_whole() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = filled(folder.path());
    drop(storage);
    let whole = std::fs::read(&path).expect("the file reads");
    for share in [1, 2, 3, 5, 7, 9] {
        let cut = &whole[..whole.len() * share / 10];
        std::fs::write(&path, cut).expect("the file is cut");
        match RedbStorage::open(&path, DiskId(8), CACHE_BYTES).and_then(|storage| storage.load()) {
            Ok(stored) => assert_eq!(stored.entries.len(), 10, "{share} tenths"),
            Err(StorageError::Database(_, _)) => {}
            Err(other) => panic!("{share} tenths: {other}"),
        }
    }
}

#[test]
fn an_unfinished_transaction_leaves_nothing() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = filled(folder.path());
    drop(storage);
    let database = Database::open(&path).expect("the file opens");
    let write = database.begin_write().expect("a transaction");
    write
        .open_table(ENTRIES)
        .expect("a table")
        .insert(11, checked::encode(&entry(11)).as_slice())
        .expect("a row");
    drop(write);
    assert!(database.begin_read().is_ok());
    drop(database);
    let storage = RedbStorage::open(&path, DiskId(8), CACHE_BYTES).expect("the file opens");
    assert_eq!(storage.load().expect("it is whole").entries.len(), 10);
}

#[test]
fn commands_that_a_snapshot_refers_to_outlive_their_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, mut storage) = filled(folder.path());
    let discard = |index, referenced: &[LogIndex]| WriteBatch {
        discard_through: Some(Position { index, term: 2 }),
        referenced: Some(referenced.iter().copied().collect::<BTreeSet<_>>()),
        ..WriteBatch::default()
    };
    storage.write(&discard(4, &[2, 3])).expect("written");
    let received = WriteBatch {
        received: vec![ReferencedCommand {
            index: 40,
            command: vec![40; 10].into(),
        }],
        ..WriteBatch::default()
    };
    storage.write(&received).expect("written");
    storage.write(&discard(6, &[3, 6])).expect("written");
    drop(storage);
    let storage = RedbStorage::open(&path, DiskId(8), CACHE_BYTES).expect("the file opens again");
    let held = |index| {
        storage
            .command(index)
            .expect("readable")
            .map(|one| one.0.len())
    };
    assert_eq!(held(1), None, "never referred to");
    assert_eq!(held(2), None, "not referred to any more");
    assert_eq!(held(3), Some(100), "referred to by both snapshots");
    assert_eq!(held(6), Some(100), "left the log just now");
    assert_eq!(held(8), Some(100), "still in the log");
    assert_eq!(held(40), Some(10), "received for a snapshot to come");
    assert_eq!(held(11), None, "never there");
}
