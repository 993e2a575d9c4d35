//! Interfaces that the user of a group provides: state machine, transport and settings.

use firshore_replication::message::Envelope;
use firshore_replication::replica::Timing;
use firshore_replication::types::{GroupId, LogIndex};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

/// Deterministic state machine: the same commands in the same order give the same state on every replica.
pub trait StateMachine: Default + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// Command that the log commits.
    type Command: Serialize + DeserializeOwned + Send + 'static;

    /// Result of applying a command.
    type Outcome: Send + 'static;

    /// Returns the outcome of a command that would change nothing, which then does not enter the log.
    /// `now` is the leader's clock in Unix milliseconds.
    fn without_effect(&self, command: &Self::Command, now: u64) -> Option<Self::Outcome>;

    /// Sets the time of a command before it enters the log, so that every replica applies the same time.
    /// `now` is the leader's clock in Unix milliseconds.
    fn stamp(command: &mut Self::Command, now: u64);

    /// Returns whether a command accepts new work. Such commands are refused when free disk space is below
    /// the reserve; commands that finish accepted work may use the reserve.
    fn needs_space(command: &Self::Command) -> bool;

    /// Applies the committed command of the entry with index `at`.
    fn apply(&mut self, at: LogIndex, command: Self::Command) -> Self::Outcome;

    /// Returns the indexes of entries whose commands the state refers to, so that their content need not
    /// be kept in memory or in snapshots. A command stays readable as long as its index is returned. An
    /// index must be returned as soon as its entry is applied; it cannot be added later.
    fn referenced(&self) -> BTreeSet<LogIndex> {
        BTreeSet::new()
    }
}

/// State of a machine, shared with readers.
pub type SharedState<M> = Arc<RwLock<M>>;

/// Sends messages between replicas without blocking. Messages may be lost.
pub trait Transport: Send + 'static {
    /// Updates the addresses of nodes. Called about every 200 milliseconds.
    fn refresh(&mut self);

    /// Sends a message to a group's replica on a node.
    fn send(&self, group: GroupId, node: &NodeName, envelope: Envelope);
}

/// Settings of a replica.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Timing of elections and heartbeats, and sizes of messages.
    pub timing: Timing,
    /// Time without a response after which a replica counts as unresponsive.
    pub replace_after: Duration,
    /// Number of disks that must hold a committed command; a group with a smaller quorum refuses proposals.
    pub min_disks: usize,
    /// Free disk space of the data folder below which new work is refused, in bytes.
    pub reserve_bytes: u64,
    /// Size of the log in memory above which a snapshot is taken, in bytes. The size of the last snapshot
    /// applies instead if it is larger.
    pub snapshot_after_bytes: usize,
    /// Size of the page cache of the database, in bytes.
    pub cache_bytes: usize,
}
