//! An in-memory disk. On a power loss synced data is kept; each later write is kept, torn or lost.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Clone, Debug)]
enum PendingChange {
    Length(u64),
    Bytes { offset: u64, bytes: Vec<u8> },
}

impl PendingChange {
    fn apply(&self, file: &mut Vec<u8>) {
        match self {
            Self::Length(length) => file.resize(*length as usize, 0),
            Self::Bytes { offset, bytes } => {
                let end = *offset as usize + bytes.len();
                if file.len() < end {
                    file.resize(end, 0);
                }
                file[*offset as usize..end].copy_from_slice(bytes);
            }
        }
    }
}

#[derive(Debug, Default)]
struct FileModel {
    synced: Vec<u8>,
    /// Content seen by reads.
    written: Vec<u8>,
    pending: Vec<PendingChange>,
    /// Writes and syncs until the power loss; `None` if there is none.
    steps_left: Option<u64>,
    lost_power: bool,
}

impl FileModel {
    fn step(&mut self) -> io::Result<()> {
        if let Some(steps) = &mut self.steps_left {
            self.lost_power |= *steps == 0;
            *steps = steps.saturating_sub(1);
        }
        match self.lost_power {
            true => Err(io::Error::other("no power")),
            false => Ok(()),
        }
    }

    fn change(&mut self, change: PendingChange) -> io::Result<()> {
        if self.lost_power {
            return Err(io::Error::other("no power"));
        }
        // A write in progress during the power loss may still reach the disk.
        self.pending.push(change.clone());
        self.step()?;
        change.apply(&mut self.written);
        Ok(())
    }
}

/// A disk with one file; clones share the disk.
#[derive(Clone, Debug, Default)]
pub struct DiskModel(Arc<Mutex<FileModel>>);

impl DiskModel {
    fn file(&self) -> MutexGuard<'_, FileModel> {
        self.0
            .lock()
            .expect("no thread panics while it holds the lock")
    }

    /// Schedules a power loss at the write or sync after `steps` others.
    pub fn lose_power_after(&self, steps: u64) {
        self.file().steps_left = Some(steps);
    }

    /// Returns whether power was lost.
    pub fn has_lost_power(&self) -> bool {
        self.file().lost_power
    }

    /// Returns the disk as it is once power is restored.
    pub fn after_power_loss(&self, rng: &mut ChaCha8Rng) -> Self {
        let file = self.file();
        let mut content = file.synced.clone();
        let lose_all = rng.random_bool(0.2);
        for change in file.pending.iter().filter(|_| !lose_all) {
            let mut change = change.clone();
            match rng.random_range(0..3) {
                0 => continue,
                1 => tear(&mut change, rng),
                _ => {}
            }
            change.apply(&mut content);
        }
        let file = FileModel {
            synced: content.clone(),
            written: content,
            ..FileModel::default()
        };
        Self(Arc::new(Mutex::new(file)))
    }
}

/// Reduces a write to its beginning or its end.
fn tear(change: &mut PendingChange, rng: &mut ChaCha8Rng) {
    let PendingChange::Bytes { offset, bytes } = change else {
        return;
    };
    let at = rng.random_range(0..=bytes.len());
    if rng.random_bool(0.5) {
        bytes.truncate(at);
    } else {
        *offset += at as u64;
        bytes.drain(..at);
    }
}

impl StorageBackend for DiskModel {
    fn len(&self) -> io::Result<u64> {
        Ok(self.file().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let file = self.file();
        let start = offset as usize;
        let bytes = file.written.get(start..start + out.len());
        let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file().change(PendingChange::Length(len))
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut file = self.file();
        file.step()?;
        for change in std::mem::take(&mut file.pending) {
            change.apply(&mut file.synced);
        }
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let bytes = data.to_vec();
        self.file().change(PendingChange::Bytes { offset, bytes })
    }
}
