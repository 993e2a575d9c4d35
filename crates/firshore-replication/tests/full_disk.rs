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
    let mut storage = RedbStorage::open_on(disk.clone(), path, DiskId(1), CACHE_BYTES).unwrap();
    for index in 1.. {
        match storage.write(&batch(index)) {
            Ok(()) if disk.free_bytes() < RESERVE_BYTES => return,
            Ok(()) => {}
            Err(StorageError::Full(_)) => break,
            Err(error) => panic!("{error}"),
        }
    }
    let free = disk.free_bytes();
    assert!(free < RESERVE_BYTES, "full with {free} bytes free");
}
