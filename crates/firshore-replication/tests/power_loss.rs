//! Acknowledged writes must survive a power loss, with the directory entry of the file. A file whose creation was
//! interrupted must not prevent the replica from starting.

mod disk_model;

use disk_model::DiskModel;
use firshore_replication::error::StorageError;
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::storage::{HardState, Storage, StoredState, WriteBatch};
use firshore_replication::types::{
    DiskId, Entry, EntryContent, LogIndex, Membership, Payload, Position, ReferencedCommand,
    Snapshot, SnapshotHeader,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

const CACHE_BYTES: usize = 256 * 1024;
const SEEDS: u64 = 60;
const CREATION_SEEDS: u64 = 2 * CREATION_STEPS;
/// Approximate number of writes and syncs that create a new file.
const CREATION_STEPS: u64 = 40;
const POWER_LOSSES: usize = 4;
const TERM: u64 = 3;

/// Expected content of a storage.
#[derive(Clone, Debug, Default, PartialEq)]
struct ExpectedState {
    stored: StoredState,
    /// Commands of log entries and referenced commands.
    commands: BTreeMap<LogIndex, Payload>,
    /// Indexes of commands received outside the log.
    received: BTreeSet<LogIndex>,
}

impl ExpectedState {
    fn last(&self) -> LogIndex {
        let last = self.stored.entries.last();
        last.map_or(self.stored.base.index, |entry| entry.index)
    }

    fn snapshot_index(&self) -> LogIndex {
        let snapshot = self.stored.snapshot.as_ref();
        snapshot.map_or(0, |snapshot| snapshot.header.position.index)
    }

    fn apply(&mut self, batch: &WriteBatch) {
        if let Some(from) = batch.truncate_from {
            let received = &self.received;
            self.commands
                .retain(|index, _| *index < from || received.contains(index));
        }
        self.stored.apply(batch);
        for received_command in &batch.received {
            self.commands
                .insert(received_command.index, received_command.command.clone());
            self.received.insert(received_command.index);
        }
        for entry in &batch.append {
            if let EntryContent::Command(command) = &entry.content {
                self.commands.insert(entry.index, command.clone());
            }
        }
        if let (Some(referenced), Some(base)) = (&batch.referenced, batch.discard_through) {
            self.commands
                .retain(|index, _| *index > base.index || referenced.contains(index));
        }
    }
}

fn payload(rng: &mut ChaCha8Rng) -> Payload {
    let max_len = if rng.random_bool(0.05) {
        100_000
    } else {
        3_000
    };
    let len = rng.random_range(0..max_len);
    vec![rng.random::<u8>(); len].into()
}

/// Returns the command at `index`: received commands equal those in the leader's log.
fn command(index: LogIndex) -> Payload {
    payload(&mut ChaCha8Rng::seed_from_u64(index))
}

fn snapshot(rng: &mut ChaCha8Rng, index: LogIndex) -> Snapshot {
    Snapshot {
        header: SnapshotHeader {
            position: Position { index, term: TERM },
            membership: Membership::default(),
        },
        data: payload(rng),
    }
}

fn entries(rng: &mut ChaCha8Rng, after: LogIndex) -> Vec<Entry> {
    let count = rng.random_range(1..6);
    let entries = (after + 1..=after + count).map(|index| Entry {
        index,
        term: rng.random_range(1..=TERM),
        content: EntryContent::Command(command(index)),
    });
    entries.collect()
}

/// Returns a random batch as a leader or a follower would write it.
fn batch(rng: &mut ChaCha8Rng, expected: &ExpectedState) -> WriteBatch {
    let last = expected.last();
    let mut batch = WriteBatch::default();
    match rng.random_range(0..10) {
        0 => {
            batch.hard_state = Some(HardState {
                term: TERM,
                vote: Some(DiskId(rng.random())),
                ..HardState::default()
            });
        }
        1 if last > expected.snapshot_index() => {
            let from = rng.random_range(expected.snapshot_index() + 1..=last);
            batch.truncate_from = Some(from);
            batch.append = entries(rng, from - 1);
        }
        2 | 3 if last > expected.snapshot_index() => {
            let through = rng.random_range(expected.snapshot_index() + 1..=last);
            let base = rng.random_range(expected.stored.base.index..=through);
            let indexes = expected.commands.range(..=through).map(|(index, _)| *index);
            let kept = indexes.filter(|_| rng.random_bool(0.8)).collect();
            batch.snapshot = Some(snapshot(rng, through));
            batch.discard_through = Some(Position {
                index: base,
                term: TERM,
            });
            batch.referenced = Some(kept);
        }
        4 => {
            let received = (last + 1..=last + 3).map(|index| ReferencedCommand {
                index,
                command: command(index),
            });
            batch.received = received.collect();
        }
        _ => batch.append = entries(rng, last),
    }
    batch
}

fn open(disk: &DiskModel, new_disk: u64) -> Option<RedbStorage> {
    let path = Path::new("journal");
    match RedbStorage::open_on(disk.clone(), path, DiskId(new_disk), CACHE_BYTES) {
        Ok(storage) => Some(storage),
        Err(_) if disk.has_lost_power() => None,
        Err(error) => panic!("the storage does not open: {error}"),
    }
}

/// Asserts that the storage holds the acknowledged state, or the state after the write in progress.
fn check(
    seed: u64,
    storage: &RedbStorage,
    acknowledged: &ExpectedState,
    with_pending_write: &ExpectedState,
) {
    let stored = storage.load().expect("the storage is intact");
    let is_next = stored != acknowledged.stored;
    let expected = if is_next {
        with_pending_write
    } else {
        acknowledged
    };
    assert_eq!(stored, expected.stored, "seed {seed}");
    // If the write in progress changes commands only, those in both states must be kept.
    for (index, command) in &expected.commands {
        if with_pending_write.commands.get(index) != Some(command) {
            continue;
        }
        let read = storage.command(*index).expect("the command is readable");
        assert!(read.as_ref() == Some(command), "seed {seed}, entry {index}");
    }
}

/// Writes until power is lost. Returns the acknowledged state, and that state with the write in progress.
fn write_until_power_loss(
    rng: &mut ChaCha8Rng,
    disk: &DiskModel,
    storage: &mut RedbStorage,
    mut expected: ExpectedState,
) -> (ExpectedState, ExpectedState) {
    loop {
        let batch = batch(rng, &expected);
        let mut next = expected.clone();
        next.apply(&batch);
        match storage.write(&batch) {
            Ok(()) => expected = next,
            Err(_) if disk.has_lost_power() => return (expected, next),
            Err(error) => panic!("the write fails: {error}"),
        }
    }
}

#[test]
fn acknowledged_writes_survive_power_losses() {
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut disk = DiskModel::default();
        let mut storage = open(&disk, 7).expect("a new disk opens");
        let founding = StoredState::founding(Membership::default());
        storage.write(&founding).expect("the batch is written");
        let mut expected = ExpectedState::default();
        expected.apply(&founding);
        for _ in 0..POWER_LOSSES {
            disk.lose_power_after(rng.random_range(0..60));
            let (acknowledged, with_pending_write) =
                write_until_power_loss(&mut rng, &disk, &mut storage, expected);
            drop(storage);
            disk = disk.after_power_loss(&mut rng);
            if rng.random_bool(0.3) {
                // A second power loss while the disk is opened.
                disk.lose_power_after(rng.random_range(0..8));
                drop(open(&disk, 8));
                disk = disk.after_power_loss(&mut rng);
            }
            storage = open(&disk, 8).expect("the disk opens again");
            assert_eq!(storage.disk(), DiskId(7), "seed {seed}: the same disk");
            check(seed, &storage, &acknowledged, &with_pending_write);
            let stored = storage.load().expect("the storage is intact");
            expected = match stored == acknowledged.stored {
                true => acknowledged,
                false => with_pending_write,
            };
            expected.commands.retain(|index, command| {
                storage.command(*index).ok().flatten().as_ref() == Some(command)
            });
        }
    }
}

/// Returns the content of a file whose creation was interrupted by a power loss.
fn interrupted_creation(seed: u64) -> Vec<u8> {
    let disk = DiskModel::default();
    disk.lose_power_after(seed % CREATION_STEPS);
    drop(open(&disk, 7));
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let restored = disk.after_power_loss(&mut rng);
    let mut bytes = vec![0; restored.len().expect("the disk has power") as usize];
    restored.read(0, &mut bytes).expect("the disk has power");
    bytes
}

#[test]
fn an_interrupted_creation_does_not_prevent_opening() {
    for seed in 0..CREATION_SEEDS {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("journal.redb");
        let temporary_path = RedbStorage::creation_path(&path);
        std::fs::write(&temporary_path, interrupted_creation(seed)).expect("a file");
        let opened = RedbStorage::open(&path, DiskId(8), CACHE_BYTES);
        let storage = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(storage.load().expect("the storage is intact").is_empty());
    }
}

#[test]
fn the_folder_is_synced_after_a_new_file_is_complete() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("journal.redb");
    let copies = folder.path().join("copies");
    std::fs::create_dir(&copies).expect("a folder");
    let synced = Cell::new(0);
    let sync_folder = |synced_folder: &Path| {
        assert_eq!(synced_folder, folder.path());
        let copy = copies.join(synced.get().to_string());
        synced.set(synced.get() + 1);
        std::fs::copy(&path, &copy)?;
        let storage =
            RedbStorage::open(&copy, DiskId(8), CACHE_BYTES).expect("the storage is intact");
        assert_eq!(storage.disk(), DiskId(7), "the file contains the identity");
        Ok(())
    };
    let open = || RedbStorage::open_synced(&path, DiskId(7), CACHE_BYTES, sync_folder);
    drop(open().expect("a new file opens"));
    assert_eq!(synced.get(), 1);
    // The process may have exited before the folder was synced.
    drop(open().expect("the disk opens again"));
    assert_eq!(synced.get(), 2);
}

#[test]
fn opening_fails_if_the_folder_cannot_be_synced() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("journal.redb");
    let refuse = |_: &Path| Err(std::io::Error::other("the disk hangs"));
    let opened = RedbStorage::open_synced(&path, DiskId(7), CACHE_BYTES, refuse);
    assert!(matches!(opened, Err(StorageError::Database(_, _))));
}
