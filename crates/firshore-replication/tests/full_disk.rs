//! A storage on a small disk. While more than the reserve is free, writes must succeed: a replica whose storage refuses them
//! restarts, and a group of which all do neither elects a leader nor shows what it holds.

use firshore_replication::error::StorageError;
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::storage::{HardState, Storage, WriteBatch};
use firshore_replication::types::{DiskId, Entry, EntryContent, LogIndex};
use redb::StorageBackend;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard};

/// Size of the smallest disk that nodes are deployed with, in bytes.
const DISK_BYTES: u64 = 110 * 1024 * 1024;

/// Free space below which a node takes no new jobs, in bytes.
const RESERVE_BYTES: u64 = 32 * 1024 * 1024;

const ENTRY_BYTES: usize = 256 * 1024;
const CACHE_BYTES: usize = 1024 * 1024;

/// A file in memory that can't outgrow its disk.
#[derive(Clone, Debug, Default)]
struct SmallDisk(Arc<Mutex<Vec<u8>>>);

impl SmallDisk {
    fn file(&self) -> MutexGuard<'_, Vec<u8>> {
        self.0.lock().expect("no thread panicked")
    }

    fn free_bytes(&self) -> u64 {
        DISK_BYTES - self.file().len() as u64
    }
}

impl StorageBackend for SmallDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file().len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let start = offset as usize;
        out.copy_from_slice(&self.file()[start..start + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        if len > DISK_BYTES {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.file().resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let start = offset as usize;
        self.file()[start..start + data.len()].copy_from_slice(data);
        Ok(())
    }
}

fn batch(index: LogIndex) -> WriteBatch {
    WriteBatch {
        hard_state: Some(HardState {
            term: 1,
            ..HardState::default()
        }),
        append: vec![Entry {
            index,
            term: 1,
            content: EntryContent::Command(vec![7; ENTRY_BYTES].into()),
        }],
        ..WriteBatch::default()
    }
}

#[test]
fn storage_was_full_while_more_than_the_reserve_was_free() {
    let disk = SmallDisk::default();
    let path = Path::new("journal");
    let open = || RedbStorage::open_on(disk.clone(), path, DiskId(1), CACHE_BYTES).unwrap();
    let mut storage = open();
    for index in 1.. {
        if disk.free_bytes() < RESERVE_BYTES {
            break;
        }
        match storage.write(&batch(index)) {
            Ok(()) => {}
            Err(StorageError::Full(_)) => {
                // As a replica's thread does.
                drop(storage);
                let free = disk.free_bytes();
                let bytes = RedbStorage::extension(free);
                let bytes = bytes.unwrap_or_else(|| panic!("full with {free} bytes free"));
                disk.set_len(disk.len().unwrap() + bytes).unwrap();
                storage = open();
                let held = storage.load().unwrap().entries.len() as LogIndex;
                assert_eq!(held, index - 1, "an extension keeps what was written");
                let written = storage.write(&batch(index));
                assert!(written.is_ok(), "full with {free} bytes free");
            }
            Err(error) => panic!("{error}"),
        }
    }
}

#[test]
fn no_extension_fills_a_disk() {
    let mebibytes = [0, 8, 15, 16, 46].map(|free| RedbStorage::extension(free << 20));
    assert_eq!(mebibytes, [None, None, None, Some(8 << 20), Some(8 << 20)]);
}

#[test]
fn extended_file_keeps_what_was_written() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    let mut storage = RedbStorage::open(&path, DiskId(1), CACHE_BYTES).unwrap();
    storage.write(&batch(1)).unwrap();
    let before = storage.file_bytes();
    drop(storage);
    RedbStorage::extend(&path, 8 << 20).unwrap();
    let mut storage = RedbStorage::open(&path, DiskId(2), CACHE_BYTES).unwrap();
    assert_eq!(storage.disk(), DiskId(1));
    assert!(storage.file_bytes() >= before + (8 << 20));
    storage.write(&batch(2)).unwrap();
    assert_eq!(storage.load().unwrap().entries.len(), 2);
}
