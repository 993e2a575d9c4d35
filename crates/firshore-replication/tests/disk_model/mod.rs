//! A disk in memory: what was synced stays; of later writes each is kept, torn or lost with the power.

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
    /// What a reader sees.
    written: Vec<u8>,
    pending: Vec<PendingChange>,
    /// Writes and syncs until power is lost; `None`: it stays.
    steps_left: Option<u64>,
    dark: bool,
}

impl FileModel {
    fn step(&mut self) -> io::Result<()> {
        if let Some(left) = &mut self.steps_left {
            self.dark |= *left == 0;
            *left = left.saturating_sub(1);
        }
        match self.dark {
            true => Err(io::Error::other("no power")),
            false => Ok(()),
        }
    }

    fn change(&mut self, change: PendingChange) -> io::Result<()> {
        if self.dark {
            return Err(io::Error::other("no power"));
        }
        // What is under way when power is lost may still arrive.
        self.pending.push(change.clone());
        self.step()?;
        change.apply(&mut self.written);
        Ok(())
    }
}

/// One file on a disk of its own; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct DiskModel(Arc<Mutex<FileModel>>);

impl DiskModel {
    fn file(&self) -> MutexGuard<'_, FileModel> {
        self.0.lock().expect("the model does not panic")
    }

    /// Power is lost at the write or sync after this many.
    pub fn lose_power_after(&self, steps: u64) {
        self.file().steps_left = Some(steps);
    }

    /// Whether power was lost.
    pub fn is_dark(&self) -> bool {
        self.file().dark
    }

    /// What a reader sees.
    pub fn bytes(&self) -> Vec<u8> {
        self.file().written.clone()
    }

    /// The disk once power is back.
    pub fn after_power_loss(&self, random: &mut ChaCha8Rng) -> Self {
        let file = self.file();
        let mut left = file.synced.clone();
        let all_gone = random.random_bool(0.2);
        for change in file.pending.iter().filter(|_| !all_gone) {
            let mut change = change.clone();
            match random.random_range(0..3) {
                0 => continue,
                1 => tear(&mut change, random),
                _ => {}
            }
            change.apply(&mut left);
        }
        let file = FileModel {
            synced: left.clone(),
            written: left,
            ..FileModel::default()
        };
        Self(Arc::new(Mutex::new(file)))
    }
}

/// Leaves the first part of a write, or the last.
fn tear(change: &mut PendingChange, random: &mut ChaCha8Rng) {
    let PendingChange::Bytes { offset, bytes } = change else {
        return;
    };
    let at = random.random_range(0..=bytes.len());
    if random.random_bool(0.5) {
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
        file.synced = file.written.clone();
        file.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let bytes = data.to_vec();
        self.file().change(PendingChange::Bytes { offset, bytes })
    }
}
