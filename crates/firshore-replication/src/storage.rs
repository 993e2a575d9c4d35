//! What a replica keeps on disk, and the trait of the storage that keeps it.

use crate::error::StorageError;
use crate::types::{
    DiskId, Entry, LogIndex, Membership, Payload, Position, ReferencedCommand, Snapshot, Term,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Term and vote: must be durable before any message that follows from them is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Latest term seen.
    pub term: Term,
    /// Disk that got this replica's vote in the term.
    pub vote: Option<DiskId>,
    /// Which of the group's histories the log is part of: a disk that goes on where another one had gone on
    /// without it begins a later one. A replica leaves an earlier one for a later one, never back, and takes
    /// no message of the earlier one afterwards.
    #[serde(default)]
    pub history: u64,
}

/// Changes to make durable together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// New term and vote.
    pub hard_state: Option<HardState>,
    /// New snapshot, in place of the former.
    pub snapshot: Option<Snapshot>,
    /// Remove entries up to this position, and remember it.
    pub discard_through: Option<Position>,
    /// With [`Self::discard_through`]: commands up to that position that the snapshot refers to.
    /// They stay readable, all others up to there go.
    pub referenced: Option<BTreeSet<LogIndex>>,
    /// Commands received from the leader, to which a later snapshot of its refers.
    pub received: Vec<ReferencedCommand>,
    /// Remove entries from this index on, before appending.
    pub truncate_from: Option<LogIndex>,
    /// Entries to append.
    pub append: Vec<Entry>,
}

impl WriteBatch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// Everything read back at start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredState {
    /// Term and vote.
    pub hard_state: HardState,
    /// Position before the first entry kept.
    pub base: Position,
    /// Entries kept.
    pub entries: Vec<Entry>,
    /// Latest snapshot.
    pub snapshot: Option<Snapshot>,
}

impl StoredState {
    /// State of a founding replica: the agreed first membership is entry 1 of term 1 on each.
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

    /// Takes in a batch as a storage does that keeps all of it or nothing; for storages in memory.
    /// Referenced commands are not kept.
    pub fn take(&mut self, batch: &WriteBatch) {
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

    /// Whether nothing of a group's log was ever stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// Storage of one replica.
pub trait Storage {
    /// Identity, drawn when the storage was created empty.
    fn disk(&self) -> DiskId;

    /// Reads everything and checks it.
    fn load(&self) -> Result<StoredState, StorageError>;

    /// The command of a committed entry, if it is kept in the log or referred to by the snapshot.
    ///
    /// # Errors
    ///
    /// When the storage cannot be read or the command is damaged.
    fn command(&self, index: LogIndex) -> Result<Option<Payload>, StorageError>;

    /// Makes a batch durable, all of it or nothing.
    fn write(&mut self, batch: &WriteBatch) -> Result<(), StorageError>;
}
