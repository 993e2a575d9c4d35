//! A simulated machine: its disk, its replica, and whether it is up, paused or down.

use firshore_replication::message::Envelope;
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::{StoredState, WriteBatch};
use firshore_replication::types::{DiskId, LogIndex};
use std::collections::BTreeSet;

/// Small sizes, so that a short run meets snapshots, windows and lagging followers.
pub const TIMING: Timing = Timing {
    election_timeout: 500,
    heartbeat_interval: 100,
    append_bytes: 256,
    snapshot_chunk_bytes: 40,
    trailing_bytes: 400,
};

/// Log size at which a host takes a snapshot, in bytes.
const SNAPSHOT_AFTER_BYTES: usize = 1_500;

/// A disk whose writes are whole or not at all, like a transaction.
#[derive(Clone, Debug)]
pub struct Disk {
    /// Identity.
    pub id: DiskId,
    /// Content.
    pub stored: StoredState,
}

impl Disk {
    /// Makes a batch durable.
    pub fn write(&mut self, batch: &WriteBatch) {
        self.stored.apply(batch);
    }
}

/// Condition of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Runs.
    Up,
    /// Does nothing until then, unaware of it; messages wait.
    PausedUntil(u64),
    /// Down until then; messages are lost.
    DownUntil(u64),
}

/// One machine.
pub struct Host {
    /// Its disk.
    pub disk: Disk,
    /// Its replica, while it is up or paused.
    pub replica: Option<Replica>,
    /// Condition.
    pub condition: Condition,
    /// Last index applied by its machine.
    pub applied: LogIndex,
    /// Messages that arrived while it was paused.
    pub backlog: Vec<Envelope>,
    /// Whether its replica led when last looked at, and in which term.
    pub led_in: Option<u64>,
}

impl Host {
    /// A host that starts with what `disk` holds.
    pub fn start(now: u64, disk: Disk, seed: u64) -> Self {
        let mut host = Self {
            disk,
            replica: None,
            condition: Condition::Up,
            applied: 0,
            backlog: Vec::new(),
            led_in: None,
        };
        host.restart(now, seed);
        host
    }

    /// Starts the replica from the disk.
    pub fn restart(&mut self, now: u64, seed: u64) {
        let stored = self.disk.stored.clone();
        let snapshot = stored.snapshot.as_ref();
        self.applied = snapshot.map_or(0, |snapshot| snapshot.header.position.index);
        self.replica = Some(Replica::restore(now, self.disk.id, TIMING, stored, seed));
        self.condition = Condition::Up;
        self.backlog.clear();
        self.led_in = None;
    }

    /// Ends the replica; what was not written is gone.
    pub fn crash(&mut self, until: u64) {
        self.replica = None;
        self.backlog.clear();
        self.led_in = None;
        self.condition = Condition::DownUntil(until);
    }

    /// Takes a snapshot when the log is long.
    pub fn compact_if_long(&mut self) {
        let applied = self.applied;
        if let Some(replica) = &mut self.replica
            && replica.log_bytes() > SNAPSHOT_AFTER_BYTES
        {
            // The machine's state is the index it has applied, padded to several parts.
            let mut data = applied.to_be_bytes().to_vec();
            data.resize(100, 0);
            replica.compact(applied, data, BTreeSet::new());
        }
    }
}
