//! What a group's log is applied to, and how its replicas reach each other.

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

/// A deterministic machine: the same commands in the same order give the same state everywhere.
pub trait StateMachine: Default + Serialize + DeserializeOwned + Send + Sync + 'static {
    /// What is committed.
    type Command: Serialize + DeserializeOwned + Send + 'static;

    /// What applying a command gives.
    type Outcome: Send + 'static;

    /// The outcome of a command that would change nothing, so that it need not enter the log.
    /// `now` is the leader's clock in Unix milliseconds.
    fn without_effect(&self, command: &Self::Command, now: u64) -> Option<Self::Outcome>;

    /// Stamps the leader's clock on a command that is about to enter the log, so that every
    /// replica applies the same time.
    fn stamp(command: &mut Self::Command, now: u64);

    /// Whether a command takes new work in; results and ends of accepted work may use the reserve
    /// of the disk.
    fn needs_space(command: &Self::Command) -> bool;

    /// Applies the committed command of the entry at `at`.
    fn apply(&mut self, at: LogIndex, command: Self::Command) -> Self::Outcome;

    /// Entries whose commands hold what the state only refers to by their index, so that it need
    /// not stay in memory or travel in snapshots. They can be read until a command is applied after
    /// which they are not named any more; an entry that was not named at once never is.
    fn referenced(&self) -> BTreeSet<LogIndex> {
        BTreeSet::new()
    }
}

/// State of a machine, as readers share it.
pub type SharedState<M> = Arc<RwLock<M>>;

/// Carries messages between replicas. Messages may be lost; nothing here waits.
pub trait Transport: Send + 'static {
    /// Looks up again where nodes are; called a few times a second.
    fn refresh(&mut self);

    /// Sends a message to the replica on a node.
    fn send(&self, group: GroupId, node: &NodeName, envelope: Envelope);
}

/// What a replica is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaSettings {
    /// Elections, heartbeats, sizes of messages.
    pub timing: Timing,
    /// Silence of a replica after which another disk takes its place.
    pub replace_after: Duration,
    /// Disks that have to hold what is proposed; a group of fewer refuses it.
    pub least: usize,
    /// Free space of the data folder below which new work is refused, in bytes.
    pub reserve_bytes: u64,
    /// Log in memory at which a snapshot is taken, in bytes, unless the last one was larger.
    pub snapshot_after_bytes: usize,
    /// Memory for pages of the database, in bytes.
    pub cache_bytes: usize,
}
