//! A node's copy of all items' events, for the case that it becomes leader: in memory, and on its disk for the
//! case that all processes stop.

use super::ItemKey;
use super::handover::{HeldItems, HeldProgress, ProgressDelta};
use super::progress_file::{ProgressFile, SyncFile};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::path::Path;

/// One uninterrupted period of leadership. Later periods compare greater.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Leadership {
    /// Term of the journal.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number of times that the process became leader.
    #[serde(rename = "n")]
    pub turn: u64,
}

/// Events reported by leaders, including this node.
pub struct ProgressStore {
    held: HeldItems,
    file: ProgressFile,
    latest: Leadership,
}

impl ProgressStore {
    /// Opens the progress file in the data folder and reads it.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<Self> {
        Self::open_with(folder, Box::new(File::sync_data))
    }

    /// Like [`Self::open`], but awaits the disk with `sync`.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open_with(folder: &Path, sync: SyncFile) -> io::Result<Self> {
        let (file, frames) = ProgressFile::open(folder, sync)?;
        let mut held = HeldItems::default();
        for deltas in frames {
            held.apply(deltas);
        }
        Ok(Self {
            held,
            file,
            latest: Leadership::default(),
        })
    }

    /// Applies a leader's deltas. Returns the items of which earlier events are missing. Late deltas of a former
    /// leadership are ignored, so that events of two runs of an item are not mixed.
    pub fn apply(&mut self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> Vec<ItemKey> {
        if leadership < self.latest {
            return deltas.iter().map(|delta| delta.end().key).collect();
        }
        self.latest = leadership;
        let held = &mut self.held;
        if !deltas.is_empty() {
            self.file.append(&deltas, || {
                let mut all = held.clone();
                all.apply(deltas.clone());
                all.deltas()
            });
        }
        self.held.apply(deltas)
    }

    /// Removes items that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.held.retain(is_open);
    }

    /// Returns the approximate memory of the held events in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held.held_bytes()
    }

    /// Returns a copy of all items' events, for a node that becomes leader.
    pub fn held(&self) -> HashMap<ItemKey, HeldProgress> {
        self.held.all()
    }
}
