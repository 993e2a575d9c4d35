//! The storage must keep acknowledged writes, and its errors must identify damaged records.

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

fn storage_with_entries(folder: &Path) -> (PathBuf, RedbStorage) {
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
fn written_state_and_identity_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, mut storage) = storage_with_entries(folder.path());
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
    let stored = storage.load().expect("the storage is intact");
    assert_eq!(stored.hard_state.term, 2);
    assert_eq!(stored.base, Position { index: 4, term: 2 });
    assert_eq!(stored.entries, (5..=9).map(entry).collect::<Vec<_>>());
    assert_eq!(stored.snapshot, Some(snapshot));
}

#[test]
fn a_new_file_gets_a_new_identity() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = storage_with_entries(folder.path());
    drop(storage);
    std::fs::remove_file(&path).expect("the file is removed");
    let storage = RedbStorage::open(&path, DiskId(8), CACHE_BYTES).expect("a new file opens");
    assert_eq!(storage.disk(), DiskId(8));
    assert_eq!(
        storage.load().expect("the storage is empty"),
        StoredState::default()
    );
}

fn damage_file(path: &Path, work: impl FnOnce(&redb::WriteTransaction)) {
    let database = Database::open(path).expect("the file opens");
    let write = database.begin_write().expect("a transaction");
    work(&write);
    write.commit().expect("the transaction commits");
}

#[test]
fn errors_name_the_damaged_record_and_the_remedy() {
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
    for (expected, work) in cases {
        let folder = tempfile::tempdir().expect("a folder");
        let (path, storage) = storage_with_entries(folder.path());
        drop(storage);
        damage_file(&path, work);
        let result =
            RedbStorage::open(&path, DiskId(8), CACHE_BYTES).and_then(|storage| storage.load());
        let message = result.expect_err("damage is detected").to_string();
        assert!(message.contains(expected), "{message}");
        assert!(message.contains("new replica"), "{message}");
    }
}

#[test]
fn a_truncated_file_is_refused_or_complete() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = storage_with_entries(folder.path());
    drop(storage);
    let whole = std::fs::read(&path).expect("the file reads");
    for tenths in [1, 2, 3, 5, 7, 9] {
        let cut = &whole[..whole.len() * tenths / 10];
        std::fs::write(&path, cut).expect("the file is cut");
        match RedbStorage::open(&path, DiskId(8), CACHE_BYTES).and_then(|storage| storage.load()) {
            Ok(stored) => assert_eq!(stored.entries.len(), 10, "{tenths} tenths"),
            Err(StorageError::Database(_, _)) => {}
            Err(other) => panic!("{tenths} tenths: {other}"),
        }
    }
}

#[test]
fn an_aborted_transaction_has_no_effect() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, storage) = storage_with_entries(folder.path());
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
    assert_eq!(
        storage.load().expect("the storage is intact").entries.len(),
        10
    );
}

#[test]
fn commands_that_a_snapshot_refers_to_are_kept_without_their_entries() {
    let folder = tempfile::tempdir().expect("a folder");
    let (path, mut storage) = storage_with_entries(folder.path());
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
    let command_len = |index| {
        storage
            .command(index)
            .expect("readable")
            .map(|one| one.0.len())
    };
    assert_eq!(command_len(1), None, "never referred to");
    assert_eq!(command_len(2), None, "no longer referred to");
    assert_eq!(command_len(3), Some(100), "referred to by both snapshots");
    assert_eq!(
        command_len(6),
        Some(100),
        "entry discarded by the last batch"
    );
    assert_eq!(command_len(8), Some(100), "still in the log");
    assert_eq!(command_len(40), Some(10), "received for a later snapshot");
    assert_eq!(command_len(11), None, "never stored");
}
