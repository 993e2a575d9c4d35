//! Durable state of a replica, and the trait of its storage.

use crate::error::StorageError;
use crate::types::{
    DiskId, Entry, LogIndex, Membership, Payload, Position, ReferencedCommand, Snapshot, Term,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Term, vote and history. Must be durable before any message that depends on them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest known term.
    pub term: Term,
    /// Disk that received this replica's vote in the term.
    pub vote: Option<DiskId>,
    /// Number of the history that the log belongs to. A disk that takes over where a lone voter had continued
    /// without it starts the next history. A replica only moves to later histories, and then ignores messages
    /// of earlier ones.
    #[serde(default)]
    pub history: u64,
}

/// Changes to make durable atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot, which replaces the previous one.
    pub snapshot: Option<Snapshot>,
    /// Remove entries up to this position, which becomes the base of the log.
    pub discard_through: Option<Position>,
    /// With [`Self::discard_through`]: commands up to that position that the snapshot refers to.
    /// They stay readable; all others up to there are removed.
    pub referenced: Option<BTreeSet<LogIndex>>,
    /// Commands received from the leader that its next snapshot refers to.
    pub received: Vec<ReferencedCommand>,
    /// Remove entries from this index on, before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub append: Vec<Entry>,
}

impl WriteBatch {
    /// Returns whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// State read from the storage at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Term, vote and history.
    pub hard_state: HardState,
    /// Position before the first entry.
    pub base: Position,
    /// Log entries after the base.
    pub entries: Vec<Entry>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
}

impl StoredState {
    /// Returns the first batch of a founding replica: each has the agreed membership as entry 1 of term 1.
    pub fn founding(membership: Membership) -> WriteBatch {
        let first = Entry {
            index: 1,
            term: 1,
            content: crate::types::EntryContent::Membership(membership),
        };
        WriteBatch {
            hard_state: Some(HardState {
                term: 1,
                ..HardState::default()
            }),
            append: vec![first],
            ..WriteBatch::default()
        }
    }

    /// Applies a batch, for storages in memory. Referenced and received commands are ignored.
    pub fn apply(&mut self, batch: &WriteBatch) {
        if let Some(hard_state) = batch.hard_state {
            self.hard_state = hard_state;
        }
        if let Some(index) = batch.truncate_from {
            self.entries.retain(|entry| entry.index < index);
        }
        self.entries.extend(batch.append.iter().cloned());
        if let Some(base) = batch.discard_through {
            self.entries.retain(|entry| entry.index > base.index);
            self.base = base;
        }
        if let Some(snapshot) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
        }
    }

    /// Returns whether there is neither an entry nor a snapshot.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// Storage of one replica.
pub trait Storage {
    /// Returns the identity, drawn when the storage was created empty.
    fn disk(&self) -> DiskId;

    /// Reads and verifies the stored state.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be read or is damaged.
    fn load(&self) -> Result<StoredState, StorageError>;

    /// Returns the command of a committed entry, if it is in the log or stored as a referenced command.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be read or the command is damaged.
    fn command(&self, index: LogIndex) -> Result<Option<Payload>, StorageError>;

    /// Makes a batch durable atomically.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch cannot be written.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError>;
}
