//! Storage of a replica in one `redb` database: each batch is one transaction, durable when the
//! call returns. A transaction cut short by a crash is undone by `redb` as a whole; as nothing of
//! it was acknowledged, nothing committed is lost. Every record carries a checksum besides.

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
/// Commands of entries that left the log, to which the snapshot refers, and such of the leader's.
const REFERENCED: TableDefinition<u64, &[u8]> = TableDefinition::new("referenced");
const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const SNAPSHOT: TableDefinition<u64, &[u8]> = TableDefinition::new("snapshot");

const DISK: &str = "disk";
const HARD_STATE: &str = "hard_state";
const BASE: &str = "base";
const SNAPSHOT_HEADER: &str = "snapshot_header";

/// Bytes of a snapshot in one row.
const SNAPSHOT_ROW_BYTES: usize = 1024 * 1024;

/// Storage of one replica on disk.
pub struct RedbStorage {
    path: PathBuf,
    database: Database,
    disk: DiskId,
}

impl RedbStorage {
    /// Opens the database at `path`. If there is none, creates one with the identity `fresh`,
    /// which must be random. Its pages take about `cache_bytes` of memory.
    ///
    /// # Errors
    ///
    /// When the file cannot be opened or is damaged.
    pub fn open(path: &Path, fresh: DiskId, cache_bytes: usize) -> Result<Self, StorageError> {
        let sync_folder = |folder: &Path| File::open(folder)?.sync_all();
        Self::open_synced(path, fresh, cache_bytes, sync_folder)
    }

    /// As [`Self::open`]; `sync_folder` makes the names in a folder last.
    ///
    /// # Errors
    ///
    /// When the file cannot be opened or is damaged.
    pub fn open_synced(
        path: &Path,
        fresh: DiskId,
        cache_bytes: usize,
        sync_folder: impl FnOnce(&Path) -> io::Result<()>,
    ) -> Result<Self, StorageError> {
        let failed = |error| translate(path, redb::Error::Io(error));
        if !path.exists() {
            let made_at = Self::creation_path(path);
            remove_if_there(&made_at).map_err(failed)?;
            drop(Self::open_file(&made_at, fresh, cache_bytes)?);
            std::fs::rename(&made_at, path).map_err(failed)?;
        }
        // At each start: the process may have ended before it synced the name of a file it had made, and
        // a name that is not synced may go with the power, with all that was acknowledged in the file.
        let folder = path.parent().filter(|folder| *folder != Path::new(""));
        sync_folder(folder.unwrap_or(Path::new("."))).map_err(failed)?;
        Self::open_file(path, fresh, cache_bytes)
    }

    fn open_file(path: &Path, fresh: DiskId, cache_bytes: usize) -> Result<Self, StorageError> {
        let existed = path.exists();
        Self::opened(path, existed, fresh, || {
            Database::builder().set_cache_size(cache_bytes).create(path)
        })
    }

    /// Where the file that is to lie at `path` is made.
    pub fn creation_path(path: &Path) -> PathBuf {
        // Under its own name a file that was cut short would be refused at every start.
        path.with_added_extension("new")
    }

    /// As [`Self::open`], on a disk that is given. `path` only names it.
    ///
    /// # Errors
    ///
    /// When what the disk holds cannot be read or is damaged.
    pub fn open_on(
        backend: impl StorageBackend,
        path: &Path,
        fresh: DiskId,
        cache_bytes: usize,
    ) -> Result<Self, StorageError> {
        let length = backend.len();
        let length = length.map_err(|error| translate(path, redb::Error::Io(error)))?;
        Self::opened(path, length > 0, fresh, || {
            Database::builder()
                .set_cache_size(cache_bytes)
                .create_with_backend(backend)
        })
    }

    fn opened(
        path: &Path,
        existed: bool,
        fresh: DiskId,
        open: impl FnOnce() -> Result<Database, redb::DatabaseError>,
    ) -> Result<Self, StorageError> {
        let opened = std::panic::catch_unwind(AssertUnwindSafe(open));
        let database = match opened {
            Ok(Ok(database)) => database,
            Ok(Err(error)) => return Err(translate(path, error.into())),
            Err(_) => {
                let reason = "its pages are damaged".to_owned();
                return Err(StorageError::Database(path.to_owned(), reason));
            }
        };
        let mut storage = Self {
            path: path.to_owned(),
            database,
            disk: fresh,
        };
        match storage.stored_disk()? {
            Some(disk) => storage.disk = disk,
            None if existed && storage.holds_anything()? => {
                return Err(storage.corrupt("identity of the disk"));
            }
            None => storage.store_disk()?,
        }
        Ok(storage)
    }

    /// Size of the database file in bytes.
    pub fn file_bytes(&self) -> u64 {
        std::fs::metadata(&self.path).map_or(0, |metadata| metadata.len())
    }

    fn corrupt(&self, record: &'static str) -> StorageError {
        StorageError::CorruptRecord(self.path.clone(), record)
    }

    fn guarded<T>(&self, work: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StorageError> {
        match std::panic::catch_unwind(AssertUnwindSafe(work)) {
            Ok(result) => result.map_err(|error| translate(&self.path, error)),
            Err(_) => {
                let reason = "its pages are damaged".to_owned();
                Err(StorageError::Database(self.path.clone(), reason))
            }
        }
    }

    /// The row under `key`, if the table and the row are there.
    fn row<'k, K: redb::Key + 'static>(
        &self,
        table: TableDefinition<K, &'static [u8]>,
        key: impl std::borrow::Borrow<K::SelfType<'k>>,
    ) -> Result<Option<Vec<u8>>, StorageError> {
        self.guarded(|| {
            let read = self.database.begin_read()?;
            let table = match read.open_table(table) {
                Ok(table) => table,
                Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
                Err(error) => return Err(error.into()),
            };
            Ok(table.get(key)?.map(|row| row.value().to_vec()))
        })
    }

    fn decoded<T: serde::de::DeserializeOwned>(
        &self,
        name: &'static str,
        described: &'static str,
    ) -> Result<Option<T>, StorageError> {
        match self.row(RECORDS, name)? {
            None => Ok(None),
            Some(bytes) => checked::decode(&bytes)
                .map(Some)
                .ok_or_else(|| self.corrupt(described)),
        }
    }

    fn stored_disk(&self) -> Result<Option<DiskId>, StorageError> {
        self.decoded(DISK, "identity of the disk")
    }

    fn holds_anything(&self) -> Result<bool, StorageError> {
        self.guarded(|| {
            let read = self.database.begin_read()?;
            match read.open_table(ENTRIES) {
                Ok(table) => Ok(!table.is_empty()?),
                Err(redb::TableError::TableDoesNotExist(_)) => Ok(false),
                Err(error) => Err(error.into()),
            }
        })
    }

    fn store_disk(&self) -> Result<(), StorageError> {
        self.guarded(|| {
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
        self.guarded(|| {
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
        let described = "snapshot";
        let Some(stored) = self.decoded::<StoredHeader>(SNAPSHOT_HEADER, described)? else {
            return Ok(None);
        };
        let mut data = Vec::with_capacity(stored.bytes as usize);
        for (_, row) in self.rows(SNAPSHOT)? {
            data.extend_from_slice(&row);
        }
        if data.len() as u64 != stored.bytes || crc32fast::hash(&data) != stored.checksum {
            return Err(self.corrupt(described));
        }
        Ok(Some(Snapshot {
            header: stored.header,
            data: data.into(),
        }))
    }
}

#[derive(serde::Serialize, serde::Deserialize)]
struct StoredHeader {
    header: SnapshotHeader,
    bytes: u64,
    checksum: u32,
}

fn remove_if_there(path: &Path) -> io::Result<()> {
    match std::fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

fn translate(path: &Path, error: redb::Error) -> StorageError {
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
        let hard_state: Option<HardState> = self.decoded(HARD_STATE, "term and vote")?;
        let base: Position = self
            .decoded(BASE, "first position of the log")?
            .unwrap_or_default();
        let entries = self.load_entries(base)?;
        let snapshot = self.load_snapshot()?;
        let covered = snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.header.position.index);
        if base.index > covered {
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
        self.guarded(|| {
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

/// Moves commands that the snapshot refers to out of the log, and forgets those that it does not
/// refer to any more. Received ones beyond the position discarded stay for a snapshot to come.
fn write_referenced(write: &redb::WriteTransaction, batch: &WriteBatch) -> Result<(), redb::Error> {
    if batch.referenced.is_none() && batch.received.is_empty() {
        return Ok(());
    }
    let mut table = write.open_table(REFERENCED)?;
    for one in &batch.received {
        table.insert(one.index, checked::encode(&one.command).as_slice())?;
    }
    let (Some(referenced), Some(base)) = (&batch.referenced, &batch.discard_through) else {
        return Ok(());
    };
    table.retain_in(..=base.index, |index, _| referenced.contains(&index))?;
    let entries = write.open_table(ENTRIES)?;
    for row in entries.range(..=base.index)? {
        let (index, bytes) = row?;
        let entry: Option<Entry> = checked::decode(bytes.value());
        let wanted = referenced.contains(&index.value());
        if let (true, Some(EntryContent::Command(command))) =
            (wanted, entry.map(|entry| entry.content))
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
        let stored = StoredHeader {
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
