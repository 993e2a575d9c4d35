//! What items have produced, as a node keeps it for the case that it leads next: in memory, and on its
//! disk for the case that all processes end.

use super::ItemKey;
use super::handover::{HeldItems, HeldProgress, ProgressDelta};
use super::progress_file::ProgressFile;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io;
use std::path::Path;

/// One time of leading without a break: of the journal's term, and of the leader's own process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Leadership {
    /// Term.
    #[serde(rename = "t")]
    pub term: u64,
    /// How often the process began to lead in that term.
    #[serde(rename = "n")]
    pub turn: u64,
}

/// Progress that leaders told, this node among them.
pub struct ProgressStore {
    held: HeldItems,
    file: ProgressFile,
    newest: Leadership,
}

impl ProgressStore {
    /// Opens what the data folder holds.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be read or written.
    pub fn open(folder: &Path) -> io::Result<Self> {
        let (file, told) = ProgressFile::open(folder)?;
        let mut held = HeldItems::default();
        for deltas in told {
            held.apply(deltas);
        }
        Ok(Self {
            held,
            file,
            newest: Leadership::default(),
        })
    }

    /// Takes in what a leader told. Returns the items of which something before is missing. What an
    /// earlier leader told late counts for nothing: two runs of an item must not be joined.
    pub fn apply(&mut self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> Vec<ItemKey> {
        if leadership < self.newest {
            return deltas.iter().map(|delta| delta.end().key).collect();
        }
        self.newest = leadership;
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

    /// Forgets items that are not to be run any more.
    pub fn keep(&mut self, is_open: impl Fn(&ItemKey) -> bool) {
        self.held.keep(is_open);
    }

    /// Memory that the held events take in bytes, about.
    pub fn held_bytes(&self) -> usize {
        self.held.held_bytes()
    }

    /// Everything, for a node that leads now.
    pub fn held(&self) -> HashMap<ItemKey, HeldProgress> {
        self.held.all()
    }
}
