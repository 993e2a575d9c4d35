//! A simulated machine with a disk. Its replica and group manager are the production code.

use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, is_committed_durable};
use firshore_node::journal::SILENCE_FRACTION;
use firshore_node::journal::group_manager::{GroupInput, GroupManager, GroupPolicy, LeavingNodes};
use firshore_node::journal::registry::VoterRecord;
use firshore_replication::message::Envelope;
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, EntryContent, LogIndex, Position};
use firshore_types::ids::{NodeName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Production times, with sizes so small that short runs cover snapshots and lagging followers.
pub const TIMING: Timing = Timing {
    election_timeout: 300,
    heartbeat_interval: 60,
    append_bytes: 2_000,
    snapshot_chunk_bytes: 40,
    trailing_bytes: 600,
};

/// Size of the log in memory above which a snapshot is taken, in bytes.
const SNAPSHOT_AFTER_BYTES: usize = 2_500;

/// A disk with atomic writes.
#[derive(Clone, Debug)]
pub struct Disk {
    pub id: DiskId,
    pub stored: StoredState,
}

impl Disk {
    pub fn empty(id: DiskId) -> Self {
        Self {
            id,
            stored: StoredState::default(),
        }
    }

    /// Returns whether the disk holds an accepted command. A snapshot of an older history does not hold it.
    pub fn holds(&self, accepted: &AcceptedCommand) -> bool {
        let index = accepted.position.index;
        let snapshot = self.stored.snapshot.as_ref();
        if snapshot.is_some_and(|snapshot| snapshot.header.position.index >= index) {
            return self.stored.hard_state.history >= accepted.history;
        }
        let mut entries = self.stored.entries.iter();
        let held = entries.find(|entry| entry.index == index);
        held.is_some_and(|entry| entry.content == accepted.content)
    }
}

/// An accepted command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedCommand {
    pub position: Position,
    /// History of the log that accepted it.
    pub history: u64,
    pub content: EntryContent,
}

/// State of a machine's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    Running,
    /// Suspended until this time in milliseconds; messages are queued.
    FrozenUntil(u64),
    /// Stopped; restarts at this time in milliseconds.
    DownUntil(u64),
    /// Removed permanently, with its disk.
    Removed,
}

/// A node's copy of the store, as of its last read.
#[derive(Clone, Debug, Default)]
pub struct CachedStore {
    pub candidates: Vec<Candidate>,
    pub voters: Option<(u64, VoterRecord)>,
    /// Whether a write has not appeared in a listing yet.
    pub write_pending: bool,
    /// Expected revision of the last conditional write without a response.
    pub unconfirmed: Option<u64>,
    /// Time of the last read, in milliseconds.
    pub read_at: Option<u64>,
    /// Retiring nodes, and whether they are drained; `None` before the first listing.
    pub retirements: Option<BTreeMap<NodeName, bool>>,
}

impl CachedStore {
    /// Returns the revision of the recorded voters, 0 without a record.
    pub fn revision(&self) -> u64 {
        self.voters.as_ref().map_or(0, |(revision, _)| *revision)
    }
}

/// A simulated machine.
pub struct Machine {
    pub name: NodeName,
    pub zone: ZoneName,
    pub state: ProcessState,
    pub disk: Disk,
    /// The replica, while the process runs or is frozen.
    pub replica: Option<Replica>,
    pub manager: GroupManager,
    pub policy: GroupPolicy,
    /// Status that the replica published last.
    pub status: GroupStatus,
    pub cached: CachedStore,
    /// Times in milliseconds until which it is isolated from the other machines, and from the store.
    pub isolated_until: u64,
    pub store_isolated_until: u64,
    pub applied: LogIndex,
    pub backlog: Vec<Envelope>,
    /// Replicas that sent messages to this process.
    pub senders: BTreeSet<DiskId>,
    /// Proposed entries whose clients await a response, by index.
    pub open: BTreeMap<LogIndex, Position>,
    /// Whether a report of drained nodes awaits the quorum's confirmation that this machine leads.
    pub report_pending: bool,
    pub next_maintenance: u64,
    pub next_publish: u64,
    /// Time of a leader's next read of the store, in milliseconds.
    pub next_refresh: u64,
}

impl Machine {
    pub fn new(number: usize, zone: usize, disk: Disk, policy: GroupPolicy, now: u64) -> Self {
        let replica = Replica::restore(now, disk.id, TIMING, disk.stored.clone(), disk.id.0);
        Self {
            name: format!("node-{number:02}").as_str().into(),
            zone: format!("zone-{zone}").as_str().into(),
            state: ProcessState::Running,
            status: GroupStatus::of(&replica, replace_after(&policy)),
            disk,
            replica: Some(replica),
            manager: GroupManager::new(policy),
            policy,
            cached: CachedStore::default(),
            isolated_until: 0,
            store_isolated_until: 0,
            applied: 0,
            backlog: Vec::new(),
            senders: BTreeSet::new(),
            open: BTreeMap::new(),
            report_pending: false,
            next_maintenance: now + 10 * number as u64,
            next_publish: now,
            next_refresh: now,
        }
    }

    pub fn is_running(&self) -> bool {
        self.state == ProcessState::Running
    }

    pub fn is_running_leader(&self) -> bool {
        self.is_running() && self.status.leads
    }

    pub fn is_present(&self) -> bool {
        self.state != ProcessState::Removed
    }

    /// Restores the replica from the disk.
    pub fn restore(&mut self, now: u64, seed: u64) {
        let stored = self.disk.stored.clone();
        let snapshot = stored.snapshot.as_ref();
        self.applied = snapshot.map_or(0, |snapshot| snapshot.header.position.index);
        self.open.clear();
        self.report_pending = false;
        let replica = Replica::restore(now, self.disk.id, TIMING, stored, seed);
        self.replica = Some(replica);
        self.publish(now);
    }

    /// Starts the process, with the replica restored from the disk.
    pub fn start(&mut self, now: u64, seed: u64) {
        self.restore(now, seed);
        self.manager = GroupManager::new(self.policy);
        self.cached = CachedStore::default();
        self.state = ProcessState::Running;
        self.next_maintenance = now;
    }

    /// Stops the process.
    pub fn stop(&mut self, state: ProcessState) {
        self.replica = None;
        self.open.clear();
        self.backlog.clear();
        self.senders.clear();
        self.report_pending = false;
        self.state = state;
    }

    pub fn publish(&mut self, now: u64) {
        if let Some(replica) = &self.replica {
            self.status = GroupStatus::of(replica, replace_after(&self.policy));
            self.next_publish = now + 200;
        }
    }

    /// Returns the input of the group manager.
    pub fn input<'a>(
        &'a self,
        start: Instant,
        leaving: Option<&'a LeavingNodes>,
    ) -> GroupInput<'a> {
        let listed = self.cached.read_at.map(Duration::from_millis);
        GroupInput {
            listed_at: listed.map(|at| start + at),
            node: &self.name,
            status: &self.status,
            candidates: &self.cached.candidates,
            leaving,
            recorded: self.cached.voters.as_ref().map(|(_, record)| record),
            write_unconfirmed: self.cached.unconfirmed == Some(self.cached.revision()),
        }
    }

    pub fn leaving(&self) -> Option<LeavingNodes> {
        let retirements = self.cached.retirements.as_ref()?;
        let mut leaving = LeavingNodes::default();
        for (node, done) in retirements {
            match done {
                true => leaving.done.insert(node.clone()),
                false => leaving.open.insert(node.clone()),
            };
        }
        Some(leaving)
    }

    /// Returns whether the node may show, acknowledge or compact what it has committed.
    pub fn is_committed_durable(&self) -> bool {
        self.replica.as_ref().is_some_and(|replica| {
            let status = replica.status();
            let min_disks = self.policy.min_disks;
            is_committed_durable(&status.membership, &status.committed_membership, min_disks)
        })
    }

    pub fn compact_if_long(&mut self) {
        let applied = self.applied;
        let holds_enough = self.is_committed_durable();
        if let Some(replica) = &mut self.replica
            && replica.log_bytes() > SNAPSHOT_AFTER_BYTES
            && replica.has_committed_in_term()
            && holds_enough
        {
            // The applied index, padded so that the snapshot is sent in several chunks.
            let mut data = applied.to_be_bytes().to_vec();
            data.resize(100, 0);
            replica.compact(applied, data, BTreeSet::new());
        }
    }
}

fn replace_after(policy: &GroupPolicy) -> u64 {
    policy.catch_up.mul_f64(SILENCE_FRACTION).as_millis() as u64
}
