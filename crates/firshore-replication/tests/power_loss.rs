//! A replica answers once its storage has returned: from then on others count its disk as one that
//! holds the entry, the vote, the snapshot or the command. All machines may lose power at the moment
//! at which some disks are lost as a whole, so whatever an answer rests on must be synced: the bytes,
//! and the name of the file in its folder too. The folder was never synced. A file that was cut short
//! while it was made was refused at every start ("magic number mismatch"), and its machine stayed away
//! for good.

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
/// Writes and syncs in which a new file is made, about.
const CREATION_STEPS: u64 = 40;
const LOSSES: usize = 4;
const TERM: u64 = 3;

/// What a storage must hold.
#[derive(Clone, Debug, Default, PartialEq)]
struct HeldState {
    stored: StoredState,
    /// Commands that the state refers to, those of entries in the log included.
    commands: BTreeMap<LogIndex, Payload>,
    /// Those that were received beside the log.
    received: BTreeSet<LogIndex>,
}

impl HeldState {
    fn last(&self) -> LogIndex {
        let last = self.stored.entries.last();
        last.map_or(self.stored.base.index, |entry| entry.index)
    }

    fn snapshot_index(&self) -> LogIndex {
        let snapshot = self.stored.snapshot.as_ref();
        snapshot.map_or(0, |snapshot| snapshot.header.position.index)
    }

    fn take(&mut self, batch: &WriteBatch) {
        if let Some(from) = batch.truncate_from {
            let received = &self.received;
            self.commands
                .retain(|index, _| *index < from || received.contains(index));
        }
        self.stored.take(batch);
        for one in &batch.received {
            self.commands.insert(one.index, one.command.clone());
            self.received.insert(one.index);
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

fn payload(random: &mut ChaCha8Rng) -> Payload {
    let most = if random.random_bool(0.05) {
        100_000
    } else {
        3_000
    };
    let len = random.random_range(0..most);
    vec![random.random::<u8>(); len].into()
}

/// The command of an entry: what was received of a leader is what its log holds there.
fn command(index: LogIndex) -> Payload {
    payload(&mut ChaCha8Rng::seed_from_u64(index))
}

fn snapshot(random: &mut ChaCha8Rng, index: LogIndex) -> Snapshot {
    Snapshot {
        header: SnapshotHeader {
            position: Position { index, term: TERM },
            membership: Membership::default(),
        },
        data: payload(random),
    }
}

fn entries(random: &mut ChaCha8Rng, after: LogIndex) -> Vec<Entry> {
    let count = random.random_range(1..6);
    let entries = (after + 1..=after + count).map(|index| Entry {
        index,
        term: random.random_range(1..=TERM),
        content: EntryContent::Command(command(index)),
    });
    entries.collect()
}

/// A batch as a leader's or a follower's replica asks for it.
fn batch(random: &mut ChaCha8Rng, held: &HeldState) -> WriteBatch {
    let last = held.last();
    let mut batch = WriteBatch::default();
    match random.random_range(0..10) {
        0 => {
            batch.hard_state = Some(HardState {
                term: TERM,
                vote: Some(DiskId(random.random())),
                ..HardState::default()
            });
        }
        1 if last > held.snapshot_index() => {
            let from = random.random_range(held.snapshot_index() + 1..=last);
            batch.truncate_from = Some(from);
            batch.append = entries(random, from - 1);
        }
        2 | 3 if last > held.snapshot_index() => {
            let through = random.random_range(held.snapshot_index() + 1..=last);
            let base = random.random_range(held.stored.base.index..=through);
            let known = held.commands.range(..=through).map(|(index, _)| *index);
            let kept = known.filter(|_| random.random_bool(0.8)).collect();
            batch.snapshot = Some(snapshot(random, through));
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
        _ => batch.append = entries(random, last),
    }
    batch
}

fn open(disk: &DiskModel, fresh: u64) -> Option<RedbStorage> {
    let path = Path::new("journal");
    match RedbStorage::open_on(disk.clone(), path, DiskId(fresh), CACHE_BYTES) {
        Ok(storage) => Some(storage),
        Err(_) if disk.is_dark() => None,
        Err(error) => panic!("it opens: {error}"),
    }
}

/// What a storage holds of what it must hold, or may hold in its place.
fn check(seed: u64, storage: &RedbStorage, acknowledged: &HeldState, under_way: &HeldState) {
    let stored = storage.load().expect("it is whole");
    let is_next = stored != acknowledged.stored;
    let expected = if is_next { under_way } else { acknowledged };
    assert_eq!(stored, expected.stored, "seed {seed}");
    // Where the write under way changes commands only, those that both have stay.
    for (index, command) in &expected.commands {
        if under_way.commands.get(index) != Some(command) {
            continue;
        }
        let read = storage.command(*index).expect("it is readable");
        assert!(read.as_ref() == Some(command), "seed {seed}, entry {index}");
    }
}

/// Writes until power is lost. Returns what was acknowledged, and that with the write under way.
fn write_until_dark(
    random: &mut ChaCha8Rng,
    disk: &DiskModel,
    storage: &mut RedbStorage,
    mut held: HeldState,
) -> (HeldState, HeldState) {
    loop {
        let batch = batch(random, &held);
        let mut next = held.clone();
        next.take(&batch);
        match storage.write(&batch) {
            Ok(()) => held = next,
            Err(_) if disk.is_dark() => return (held, next),
            Err(error) => panic!("it writes: {error}"),
        }
    }
}

#[test]
fn what_was_acknowledged_outlives_losses_of_power() {
    for seed in 0..SEEDS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut disk = DiskModel::default();
        let mut storage = open(&disk, 7).expect("a new disk opens");
        let founding = StoredState::founding(Membership::default());
        storage.write(&founding).expect("it is written");
        let mut held = HeldState::default();
        held.take(&founding);
        for _ in 0..LOSSES {
            disk.lose_power_after(random.random_range(0..60));
            let (acknowledged, under_way) =
                write_until_dark(&mut random, &disk, &mut storage, held);
            drop(storage);
            disk = disk.after_power_loss(&mut random);
            if random.random_bool(0.3) {
                // Power is lost again while the disk is opened.
                disk.lose_power_after(random.random_range(0..8));
                drop(open(&disk, 8));
                disk = disk.after_power_loss(&mut random);
            }
            storage = open(&disk, 8).expect("it opens again");
            assert_eq!(storage.disk(), DiskId(7), "seed {seed}: the same disk");
            check(seed, &storage, &acknowledged, &under_way);
            let stored = storage.load().expect("it is whole");
            held = match stored == acknowledged.stored {
                true => acknowledged,
                false => under_way,
            };
            held.commands.retain(|index, command| {
                storage.command(*index).ok().flatten().as_ref() == Some(command)
            });
        }
    }
}

/// What a loss of power left of a file that was being made.
fn cut_creation(seed: u64) -> Vec<u8> {
    let disk = DiskModel::default();
    disk.lose_power_after(seed % CREATION_STEPS);
    drop(open(&disk, 7));
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let left = disk.after_power_loss(&mut random);
    let mut bytes = vec![0; left.len().expect("it is lit") as usize];
    left.read(0, &mut bytes).expect("it is lit");
    bytes
}

#[test]
fn a_disk_that_lost_power_while_it_was_new_opens_again() {
    for seed in 0..CREATION_SEEDS {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("journal.redb");
        let made_at = RedbStorage::creation_path(&path);
        std::fs::write(&made_at, cut_creation(seed)).expect("a file");
        let opened = RedbStorage::open(&path, DiskId(8), CACHE_BYTES);
        let storage = opened.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(storage.load().expect("it is whole").is_empty());
    }
}

#[test]
fn the_name_of_a_new_file_is_synced_once_the_file_is_whole() {
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
        let storage = RedbStorage::open(&copy, DiskId(8), CACHE_BYTES).expect("it is whole");
        assert_eq!(storage.disk(), DiskId(7), "its identity is in it");
        Ok(())
    };
    let open = || RedbStorage::open_synced(&path, DiskId(7), CACHE_BYTES, sync_folder);
    drop(open().expect("a new file opens"));
    assert_eq!(synced.get(), 1);
    // The process may have ended before its folder was synced.
    drop(open().expect("it opens again"));
    assert_eq!(synced.get(), 2);
}

#[test]
fn a_folder_that_cannot_be_synced_is_no_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("journal.redb");
    let refuse = |_: &Path| Err(std::io::Error::other("the disk hangs"));
    let opened = RedbStorage::open_synced(&path, DiskId(7), CACHE_BYTES, refuse);
    assert!(matches!(opened, Err(StorageError::Database(_, _))));
}
