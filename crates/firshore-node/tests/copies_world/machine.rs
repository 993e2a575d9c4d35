//! One machine with a disk: the product's own replica and the upkeep of its group, as a node runs them.

use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, keeps_promises};
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

/// Times as on a node, sizes so small that a short run meets snapshots and lagging followers.
pub const TIMING: Timing = Timing {
    election_timeout: 300,
    heartbeat_interval: 60,
    append_bytes: 2_000,
    snapshot_chunk_bytes: 40,
    trailing_bytes: 600,
};

/// Log in memory at which a snapshot is taken, in bytes.
const SNAPSHOT_AFTER_BYTES: usize = 2_500;

/// A disk whose writes are kept whole or not at all.
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

    /// Whether what was accepted can be read from it. A snapshot of another history holds something else.
    pub fn holds(&self, accepted: &Accepted) -> bool {
        let index = accepted.position.index;
        let snapshot = self.stored.snapshot.as_ref();
        if snapshot.is_some_and(|one| one.header.position.index >= index) {
            return self.stored.hard_state.history >= accepted.history;
        }
        let mut entries = self.stored.entries.iter();
        let held = entries.find(|entry| entry.index == index);
        held.is_some_and(|entry| entry.content == accepted.content)
    }
}

/// A command that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    pub position: Position,
    /// History of the log that took it in.
    pub history: u64,
    pub content: EntryContent,
}

/// What a process does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    Runs,
    /// It stands still until then, in milliseconds; messages wait.
    FrozenUntil(u64),
    /// It starts again then, in milliseconds.
    DownUntil(u64),
    /// It never comes back, nor does its disk.
    Gone,
}

/// What a node last read from the store.
#[derive(Clone, Debug, Default)]
pub struct KnownStore {
    pub candidates: Vec<Candidate>,
    pub voters: Option<(u64, VoterRecord)>,
    /// Something was written that no listing has shown yet.
    pub unsettled: bool,
    /// Revision on which a write was conditional that was not answered.
    pub doubtful: Option<u64>,
    /// Milliseconds at which it was read last.
    pub read_at: Option<u64>,
    /// Nodes that are to be emptied, and whether they are; `None` before they were listed.
    pub wishes: Option<BTreeMap<NodeName, bool>>,
}

impl KnownStore {
    /// Revision of the voters on record, 0 before there are any.
    pub fn revision(&self) -> u64 {
        self.voters.as_ref().map_or(0, |(revision, _)| *revision)
    }
}

/// One machine.
pub struct Machine {
    pub name: NodeName,
    pub zone: ZoneName,
    pub condition: Condition,
    pub disk: Disk,
    /// Its replica, while its process is there.
    pub replica: Option<Replica>,
    pub keeper: GroupManager,
    pub terms: GroupPolicy,
    /// What its replica told last.
    pub status: GroupStatus,
    pub known: KnownStore,
    /// Milliseconds until which it is cut from the other machines, and from the store.
    pub cut_until: u64,
    pub store_cut_until: u64,
    pub applied: LogIndex,
    pub backlog: Vec<Envelope>,
    /// Replicas that wrote to this process.
    pub senders: BTreeSet<DiskId>,
    /// Entries that clients wait for, by index.
    pub open: BTreeMap<LogIndex, Position>,
    /// A report waits for a quorum to confirm that this machine leads.
    pub reports: bool,
    pub next_look: u64,
    pub next_publish: u64,
    /// When a leader reads again what the store holds.
    pub next_refresh: u64,
}

impl Machine {
    pub fn new(number: usize, zone: usize, disk: Disk, terms: GroupPolicy, now: u64) -> Self {
        let replica = Replica::restore(now, disk.id, TIMING, disk.stored.clone(), disk.id.0);
        Self {
            name: format!("node-{number:02}").as_str().into(),
            zone: format!("zone-{zone}").as_str().into(),
            condition: Condition::Runs,
            status: GroupStatus::of(&replica, replace_after(&terms)),
            disk,
            replica: Some(replica),
            keeper: GroupManager::new(terms),
            terms,
            known: KnownStore::default(),
            cut_until: 0,
            store_cut_until: 0,
            applied: 0,
            backlog: Vec::new(),
            senders: BTreeSet::new(),
            open: BTreeMap::new(),
            reports: false,
            next_look: now + 10 * number as u64,
            next_publish: now,
            next_refresh: now,
        }
    }

    pub fn runs(&self) -> bool {
        self.condition == Condition::Runs
    }

    pub fn is_there(&self) -> bool {
        self.condition != Condition::Gone
    }

    /// Starts the replica with what the disk holds.
    pub fn restore(&mut self, now: u64, seed: u64) {
        let stored = self.disk.stored.clone();
        let snapshot = stored.snapshot.as_ref();
        self.applied = snapshot.map_or(0, |snapshot| snapshot.header.position.index);
        self.open.clear();
        self.reports = false;
        let replica = Replica::restore(now, self.disk.id, TIMING, stored, seed);
        self.replica = Some(replica);
        self.publish(now);
    }

    /// Starts the process with what the disk holds.
    pub fn start(&mut self, now: u64, seed: u64) {
        self.restore(now, seed);
        self.keeper = GroupManager::new(self.terms);
        self.known = KnownStore::default();
        self.condition = Condition::Runs;
        self.next_look = now;
    }

    /// Ends the process.
    pub fn stop(&mut self, condition: Condition) {
        self.replica = None;
        self.open.clear();
        self.backlog.clear();
        self.senders.clear();
        self.reports = false;
        self.condition = condition;
    }

    pub fn publish(&mut self, now: u64) {
        if let Some(replica) = &self.replica {
            self.status = GroupStatus::of(replica, replace_after(&self.terms));
            self.next_publish = now + 200;
        }
    }

    /// What the upkeep is shown.
    pub fn view<'a>(&'a self, start: Instant, leaving: Option<&'a LeavingNodes>) -> GroupInput<'a> {
        let listed = self.known.read_at.map(Duration::from_millis);
        GroupInput {
            listed_at: listed.map(|at| start + at),
            node: &self.name,
            status: &self.status,
            candidates: &self.known.candidates,
            leaving,
            recorded: self.known.voters.as_ref().map(|(_, record)| record),
            write_unconfirmed: self.known.doubtful == Some(self.known.revision()),
        }
    }

    pub fn leaving(&self) -> Option<LeavingNodes> {
        let wishes = self.known.wishes.as_ref()?;
        let mut leaving = LeavingNodes::default();
        for (node, done) in wishes {
            match done {
                true => leaving.done.insert(node.clone()),
                false => leaving.open.insert(node.clone()),
            };
        }
        Some(leaving)
    }

    pub fn compact_if_long(&mut self) {
        let applied = self.applied;
        if let Some(replica) = &mut self.replica
            && replica.log_bytes() > SNAPSHOT_AFTER_BYTES
            && keeps_promises(&replica.status().membership, self.terms.min_disks)
        {
            // The state is the index that was applied, padded to several parts.
            let mut data = applied.to_be_bytes().to_vec();
            data.resize(100, 0);
            replica.compact(applied, data, BTreeSet::new());
        }
    }
}

fn replace_after(terms: &GroupPolicy) -> u64 {
    terms.catch_up.mul_f64(SILENCE_FRACTION).as_millis() as u64
}
