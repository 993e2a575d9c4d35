//! Storage of a replica in one `redb` database. Each batch is one transaction and durable when the call
//! returns. After a crash `redb` rolls back an incomplete transaction; nothing in it was acknowledged, so no
//! committed entry is lost. Every record also has a checksum.

use crate::checked;
use crate::error::StorageError;
use crate::storage::{HardState, Storage, StoredState, WriteBatch};
use crate::types::{
    DiskId, Entry, EntryContent, LogIndex, Payload, Position, Snapshot, SnapshotHeader,
};
use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend,
    TableDefinition,
};
use std::fs::File;
use std::io;
use std::panic::AssertUnwindSafe;
use std::path::{Path, PathBuf};

const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");
/// Commands that the local snapshot refers to and whose entries were discarded, and commands received from the
/// leader for its next snapshot.
const REFERENCED: TableDefinition<u64, &[u8]> = TableDefinition::new("referenced");
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");

const DISK: &str = "disk";
const HARD_STATE: &str = "hard_state";
const BASE: &str = "base";
const SNAPSHOT_HEADER: &str = "snapshot_header";

/// Bytes by which the file is lengthened where it can't double.
const EXTENSION_BYTES: u64 = 8 * 1024 * 1024;

/// Free space that an extension leaves to the node's other files, in bytes.
const MIN_FREE_BYTES: u64 = 8 * 1024 * 1024;

/// Bytes of a snapshot per row.
const SNAPSHOT_ROW_BYTES: usize = 1024 * 1024;

/// Storage of one replica in a `redb` database.
pub struct RedbStorage {
    path: PathBuf,
    database: Database,
    disk: DiskId,
}

impl RedbStorage {
    /// Opens the database at `path`, or creates one with the identity `new_disk`, which must be random. The page
    /// cache takes about `cache_bytes` of memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or is damaged.
    pub fn open(path: &Path, new_disk: DiskId, cache_bytes: usize) -> Result<Self, StorageError> {
        let sync_folder = |folder: &Path| File::open(folder)?.sync_all();
        Self::open_synced(path, new_disk, cache_bytes, sync_folder)
    }

    /// Like [`Self::open`]; `sync_folder` makes the directory entries of a folder durable.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or is damaged.
    pub fn open_synced(
        path: &Path,
        new_disk: DiskId,
        cache_bytes: usize,
        sync_folder: impl FnOnce(&Path) -> io::Result<()>,
    ) -> Result<Self, StorageError> {
        let io_error = |error| to_storage_error(path, redb::Error::Io(error));
        if !path.exists() {
            let temporary_path = Self::creation_path(path);
            remove_if_exists(&temporary_path).map_err(io_error)?;
            drop(Self::open_file(&temporary_path, new_disk, cache_bytes)?);
            std::fs::rename(&temporary_path, path).map_err(io_error)?;
        }
        // At each start, because the process may have exited between creating the file and syncing its
        // folder. A power loss may remove an unsynced directory entry, and all acknowledged data with it.
        let folder = path.parent().filter(|folder| *folder != Path::new(""));
        sync_folder(folder.unwrap_or(Path::new("."))).map_err(io_error)?;
        Self::open_file(path, new_disk, cache_bytes)
    }

    fn open_file(path: &Path, new_disk: DiskId, cache_bytes: usize) -> Result<Self, StorageError> {
        let existed = path.exists();
        Self::open_database(path, existed, new_disk, || {
            Database::builder().set_cache_size(cache_bytes).create(path)
        })
    }

    /// Returns by how many bytes a file is to be lengthened that could not grow on a disk with this free space, in bytes;
    /// `None` if the disk is nearly full.
    ///
    /// A file without free pages doubles, which a small disk refuses while much of it is free. The next
    /// [`Self::open`] uses what was added.
    pub fn extension(free_bytes: u64) -> Option<u64> {
        let is_free = free_bytes >= EXTENSION_BYTES + MIN_FREE_BYTES;
        is_free.then_some(EXTENSION_BYTES)
    }

    /// Lengthens the closed file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the disk refuses it.
    pub fn extend(path: &Path, bytes: u64) -> io::Result<()> {
        let file = File::options().write(true).open(path)?;
        file.set_len(file.metadata()?.len() + bytes)?;
        // The layout that covers the added bytes must not become durable before they are.
        file.sync_all()
    }

    /// Returns the temporary path at which the file for `path` is created.
    pub fn creation_path(path: &Path) -> PathBuf {
        // A file left incomplete at the final path would fail every later start.
        path.with_added_extension("new")
    }

    /// Like [`Self::open`], on the given backend. `path` is used in error messages only.
    ///
    /// # Errors
    ///
    /// Returns an error if the content of the backend cannot be read or is damaged.
    pub fn open_on(
        backend: impl StorageBackend,
        path: &Path,
        new_disk: DiskId,
        cache_bytes: usize,
    ) -> Result<Self, StorageError> {
        let length = backend.len();
        let length = length.map_err(|error| to_storage_error(path, redb::Error::Io(error)))?;
        Self::open_database(path, length > 0, new_disk, || {
            Database::builder()
                .set_cache_size(cache_bytes)
                .create_with_backend(backend)
        })
    }

    fn open_database(
        path: &Path,
        existed: bool,
        new_disk: DiskId,
        open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<Self, StorageError> {
        let result = std::panic::catch_unwind(AssertUnwindSafe(open));
        let database = match result {
            Ok(Ok(database)) => database,
            Ok(Err(error)) => return Err(to_storage_error(path, error.into())),
            Err(_) => {
                let reason = "its pages are damaged".to_owned();
                return Err(StorageError::Database(path.to_owned(), reason));
            }
        };
        let mut storage = Self {
            path: path.to_owned(),
            database,
            disk: new_disk,
        };
        match storage.stored_disk()? {
            Some(disk) => storage.disk = disk,
            None if existed && storage.has_entries()? => {
                return Err(storage.corrupt("identity of the disk"));
            }
            None => storage.store_disk()?,
        }
        Ok(storage)
    }

    /// Returns the size of the database file in bytes, or 0 if it cannot be read.
    pub fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.path).map_or(0, |metadata| metadata.len())
    }

    fn corrupt(&self, record: &'static str) -> StorageError {
        StorageError::CorruptRecord(self.path.clone(), record)
    }

    /// Runs `work`; a panic of `redb` on damaged pages becomes an error.
    fn catch_panics<T>(
        &self,
        work: impl FnOnce() -> Result<T, redb::Error>,
    ) -> Result<T, StorageError> {
        match std::panic::catch_unwind(AssertUnwindSafe(work)) {
            Ok(result) => result.map_err(|error| to_storage_error(&self.path, error)),
            Err(_) => {
                let reason = "its pages are damaged".to_owned();
                Err(StorageError::Database(self.path.clone(), reason))
            }
        }
    }

    /// Returns the row under `key`, if the table and the row exist.
    fn row<'k, K: redb::Key + 'static>(
        &self,
        table: TableDefinition<K, &'static [u8]>,
        key: impl std::borrow::Borrow<K::SelfType<'k>>,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.catch_panics(|| {
            let read = self.database.begin_read()?;
            let table = match read.open_table(table) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(error) => return Err(error.into()),
            };
            Ok(table.get(key)?.map(|row| row.value().to_vec()))
        })
    }

    fn load_record<T: serde::de::DeserializeOwned>(
        &self,
        name: &'static str,
        record_name: &'static str,
    ) -> Result<Option<T>, StorageError> {
        match self.row(RECORDS, name)? {
            None => Ok(None),
            Some(bytes) => checked::decode(&bytes)
                .map(Some)
                .ok_or_else(|| self.corrupt(record_name)),
        }
    }

    fn stored_disk(&self) -> Result<Option<DiskId>, StorageError> {
        self.load_record(DISK, "identity of the disk")
    }

    fn has_entries(&self) -> Result<bool, StorageError> {
        self.catch_panics(|| {
            let read = self.database.begin_read()?;
            match read.open_table(ENTRIES) {
                Ok(table) => Ok(!table.is_empty()?),
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(false),
                Err(error) => Err(error.into()),
            }
        })
    }

    fn store_disk(&self) -> Result<(), StorageError> {
        self.catch_panics(|| {
            let write = self.database.begin_write()?;
            write
                .open_table(RECORDS)?
                .insert(DISK, checked::encode(&self.disk).as_slice())?;
            write.open_table(ENTRIES)?;
            write.open_table(REFERENCED)?;
            write.open_table(SNAPSHOT)?;
            write.commit()?;
            Ok(())
        })
    }

    fn rows(
        &self,
        table: TableDefinition<u64, &[u8]>,
    ) -> Result<Vec<(u64, Vec<u8>)>, StorageError> {
        self.catch_panics(|| {
            let read = self.database.begin_read()?;
            let table = read.open_table(table)?;
            let mut rows = Vec::new();
            for row in table.iter()? {
                let (key, value) = row?;
                rows.push((key.value(), value.value().to_vec()));
            }
            Ok(rows)
        })
    }

    fn load_entries(&self, base: Position) -> Result<Vec<Entry>, StorageError> {
        let mut entries = Vec::new();
        for (index, bytes) in self.rows(ENTRIES)? {
            let expected = base.index + 1 + entries.len() as LogIndex;
            if index != expected {
                return Err(StorageError::MissingEntry(self.path.clone(), expected));
            }
            let entry: Entry = checked::decode(&bytes)
                .filter(|entry: &Entry| entry.index == index)
                .ok_or_else(|| StorageError::CorruptEntry(self.path.clone(), index))?;
            entries.push(entry);
        }
        Ok(entries)
    }

    fn load_snapshot(&self) -> Result<Option<Snapshot>, StorageError> {
        let record_name = "snapshot";
        let Some(stored) =
            self.load_record::<StoredSnapshotHeader>(SNAPSHOT_HEADER, record_name)?
        else {
            return Ok(None);
        };
        let mut data = Vec::with_capacity(stored.bytes as usize);
        for (_, row) in self.rows(SNAPSHOT)? {
            data.extend_from_slice(&row);
        }
        if data.len() as u64 != stored.bytes || crc32fast::hash(&data) != stored.checksum {
            return Err(self.corrupt(record_name));
        }
        Ok(Some(Snapshot {
            header: stored.header,
            data: data.into(),
        }))
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
struct StoredSnapshotHeader {
    header: SnapshotHeader,
    bytes: u64,
    checksum: u32,
}

fn remove_if_exists(path: &Path) -> io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn to_storage_error(path: &Path, error: redb::Error) -> StorageError {
    match &error {
        redb::Error::Io(cause)
            if matches!(
                cause.kind(),
                std::io::ErrorKind::StorageFull | std::io::ErrorKind::QuotaExceeded
            ) =>
        {
            StorageError::Full(path.to_owned())
        }
        _ => StorageError::Database(path.to_owned(), error.to_string()),
    }
}

impl Storage for RedbStorage {
    fn disk(&self) -> DiskId {
        self.disk
    }

    fn load(&self) -> Result<StoredState, StorageError> {
        let hard_state: Option<HardState> = self.load_record(HARD_STATE, "term and vote")?;
        let base: Position = self
            .load_record(BASE, "first position of the log")?
            .unwrap_or_default();
        let entries = self.load_entries(base)?;
        let snapshot = self.load_snapshot()?;
        let snapshot_index = snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.header.position.index);
        if base.index > snapshot_index {
            return Err(self.corrupt("snapshot"));
        }
        if hard_state.is_none() && !(entries.is_empty() && snapshot.is_none()) {
            return Err(self.corrupt("term and vote"));
        }
        Ok(StoredState {
            hard_state: hard_state.unwrap_or_default(),
            base,
            entries,
            snapshot,
        })
    }

    fn command(&self, index: LogIndex) -> Result<Option<Payload>, StorageError> {
        if let Some(bytes) = self.row(REFERENCED, index)? {
            let command: Option<Payload> = checked::decode(&bytes);
            let corrupt = || StorageError::CorruptEntry(self.path.clone(), index);
            return command.ok_or_else(corrupt).map(Some);
        }
        let Some(bytes) = self.row(ENTRIES, index)? else {
            return Ok(None);
        };
        let entry: Entry = checked::decode(&bytes)
            .ok_or_else(|| StorageError::CorruptEntry(self.path.clone(), index))?;
        Ok(match entry.content {
            EntryContent::Command(command) => Some(command),
            EntryContent::Blank | EntryContent::Membership(_) => None,
        })
    }

    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError> {
        self.catch_panics(|| {
            let write = self.database.begin_write()?;
            write_referenced(&write, batch)?;
            write_entries(&write, batch)?;
            write_records(&write, batch)?;
            if let Some(snapshot) = &batch.snapshot {
                write_snapshot(&write, snapshot)?;
            }
            write.commit()?;
            Ok(())
        })
    }
}

fn write_entries(write: &redb::WriteTransaction, batch: &WriteBatch) -> Result<(), redb::Error> {
    let mut entries = write.open_table(ENTRIES)?;
    if let Some(index) = batch.truncate_from {
        entries.retain_in(index.., |_, _| false)?;
    }
    for entry in &batch.append {
        entries.insert(entry.index, checked::encode(entry).as_slice())?;
    }
    if let Some(base) = batch.discard_through {
        entries.retain_in(..=base.index, |_, _| false)?;
    }
    Ok(())
}

/// Copies commands that the snapshot refers to from the discarded entries, and removes those that it no longer
/// refers to. Received commands after the discarded position are kept for a later snapshot.
fn write_referenced(write: &redb::WriteTransaction, batch: &WriteBatch) -> Result<(), redb::Error> {
    if batch.referenced.is_none() && batch.received.is_empty() {
        return Ok(());
    }
    let mut table = write.open_table(REFERENCED)?;
    for received in &batch.received {
        table.insert(
            received.index,
            checked::encode(&received.command).as_slice(),
        )?;
    }
    let (Some(referenced), Some(base)) = (&batch.referenced, &batch.discard_through) else {
        return Ok(());
    };
    table.retain_in(..=base.index, |index, _| referenced.contains(&index))?;
    let entries = write.open_table(ENTRIES)?;
    for row in entries.range(..=base.index)? {
        let (index, bytes) = row?;
        let entry: Option<Entry> = checked::decode(bytes.value());
        let is_referenced = referenced.contains(&index.value());
        if let (true, Some(EntryContent::Command(command))) =
            (is_referenced, entry.map(|entry| entry.content))
        {
            table.insert(index.value(), checked::encode(&command).as_slice())?;
        }
    }
    Ok(())
}

fn write_records(write: &redb::WriteTransaction, batch: &WriteBatch) -> Result<(), redb::Error> {
    let mut records = write.open_table(RECORDS)?;
    if let Some(hard_state) = &batch.hard_state {
        records.insert(HARD_STATE, checked::encode(hard_state).as_slice())?;
    }
    if let Some(base) = &batch.discard_through {
        records.insert(BASE, checked::encode(base).as_slice())?;
    }
    if let Some(snapshot) = &batch.snapshot {
        let stored = StoredSnapshotHeader {
            header: snapshot.header.clone(),
            bytes: snapshot.data.0.len() as u64,
            checksum: crc32fast::hash(&snapshot.data.0),
        };
        records.insert(SNAPSHOT_HEADER, checked::encode(&stored).as_slice())?;
    }
    Ok(())
}

fn write_snapshot(write: &redb::WriteTransaction, snapshot: &Snapshot) -> Result<(), redb::Error> {
    let mut table = write.open_table(SNAPSHOT)?;
    table.retain(|_, _| false)?;
    for (number, row) in snapshot.data.0.chunks(SNAPSHOT_ROW_BYTES).enumerate() {
        table.insert(number as u64, row)?;
    }
    Ok(())
}
