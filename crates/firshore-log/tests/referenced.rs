//! The state of a group refers to commands by the index of their entry. A replica that lacks one answers
//! "ask again" for good to whoever reads it: a single job could not be read while others could. Here
//! three nodes with real replicas and storages lose power between writes, lose whole disks, lead in
//! turn and get snapshots; whatever the state refers to must be readable on each that has applied it.

#[path = "../../firshore-replication/tests/disk_model/mod.rs"]
mod disk_model;

use disk_model::DiskModel;
use firshore_log::reference_transfer::{ReferenceTransfers, TransferStep};
use firshore_replication::message::{Envelope, Message};
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::{Storage, StoredState};
use firshore_replication::types::{
    DiskId, Entry, EntryContent, LogIndex, Membership, MembershipChange, ReferencedCommand,
    ReplicaInfo, ReplicaRole,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::path::Path;

const NODES: usize = 3;
const SEEDS: u64 = 3;
const CACHE_BYTES: usize = 128 * 1024;
/// Simulated time of a play, in milliseconds.
const LENGTH: u64 = 8_000;
/// Entries after which a state is taken down.
const SNAPSHOT_AFTER: u64 = 12;
/// Commands in one message.
const COMMANDS_IN_MESSAGE: usize = 3;

const TIMING: Timing = Timing {
    election_timeout: 300,
    heartbeat_interval: 60,
    append_bytes: 2_000,
    snapshot_chunk_bytes: 64,
    trailing_bytes: 600,
};

/// What commands say: one adds a reference to its own entry, another ends the oldest.
const ADD: u8 = 1;
const DROP_OLDEST: u8 = 2;

fn apply(state: &mut BTreeSet<LogIndex>, entry: &Entry) {
    let EntryContent::Command(command) = &entry.content else {
        return;
    };
    if command.0[0] == ADD {
        state.insert(entry.index);
    } else {
        state.pop_first();
    }
}

fn info(node: usize) -> ReplicaInfo {
    ReplicaInfo {
        node: format!("node-{node}").as_str().into(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    }
}

struct NodeModel {
    disk: DiskModel,
    id: DiskId,
    storage: RedbStorage,
    replica: Replica,
    transfers: ReferenceTransfers,
    state: BTreeSet<LogIndex>,
    applied: LogIndex,
    received: Vec<ReferencedCommand>,
    receipts: Vec<Envelope>,
}

impl NodeModel {
    fn open(now: u64, disk: DiskModel, fresh: DiskId) -> Self {
        let path = Path::new("journal");
        let storage = RedbStorage::open_on(disk.clone(), path, fresh, CACHE_BYTES);
        let storage = storage.expect("it opens");
        let stored = storage.load().expect("it is whole");
        let state = stored.snapshot.as_ref().map(|snapshot| {
            ciborium::from_reader(&*snapshot.data.0).expect("the state is readable")
        });
        let id = storage.disk();
        let replica = Replica::restore(now, id, TIMING, stored, id.0 ^ now);
        Self {
            disk,
            id,
            storage,
            applied: replica.status().commit,
            replica,
            transfers: ReferenceTransfers::default(),
            state: state.unwrap_or_default(),
            received: Vec::new(),
            receipts: Vec::new(),
        }
    }

    fn receive(&mut self, now: u64, envelope: Envelope, sent: &mut Vec<Envelope>) {
        if envelope.to != self.id {
            return;
        }
        match envelope.message {
            Message::ReferencedCommands(commands) => {
                let through = commands.last().expect("some are sent").index;
                self.receipts.push(Envelope {
                    from: self.id,
                    to: envelope.from,
                    term: envelope.term,
                    history: envelope.history,
                    message: Message::ReferencedAnswer { through },
                });
                self.received.extend(commands);
            }
            Message::ReferencedAnswer { through } => {
                let waiting = self.transfers.answered(envelope.from, through);
                if let Some(first) = waiting.filter(|_| self.replica.leads()) {
                    self.send(now, first, sent);
                }
            }
            _ => self.replica.receive(now, envelope),
        }
    }

    fn send(&mut self, now: u64, envelope: Envelope, sent: &mut Vec<Envelope>) {
        let (state, storage) = (&self.state, &self.storage);
        let lacking = |held, through| {
            let indexes = state.range(held + 1..).take_while(|one| **one <= through);
            let commands = indexes.take(COMMANDS_IN_MESSAGE).map(|index| {
                let command = storage.command(*index).ok().flatten()?;
                Some(ReferencedCommand {
                    index: *index,
                    command,
                })
            });
            commands.collect()
        };
        match self.transfers.before(now, envelope, lacking) {
            TransferStep::Wait => {}
            TransferStep::Pass(envelope) | TransferStep::Commands { envelope, .. } => {
                sent.push(envelope);
            }
        }
    }

    /// Carries out what the replica asks for. Returns whether power is still there.
    fn settle(&mut self, now: u64, sent: &mut Vec<Envelope>) -> bool {
        loop {
            let mut output = self.replica.take_output();
            output.writes.received = std::mem::take(&mut self.received);
            output.messages.append(&mut self.receipts);
            if output.is_empty() {
                return true;
            }
            for envelope in output.early_messages {
                self.send(now, envelope, sent);
            }
            if !output.writes.is_empty() && self.storage.write(&output.writes).is_err() {
                assert!(
                    self.disk.has_lost_power(),
                    "a write fails with the power only"
                );
                return false;
            }
            self.replica.written();
            for envelope in output.messages {
                self.send(now, envelope, sent);
            }
            if let Some(snapshot) = output.install {
                self.state = ciborium::from_reader(&*snapshot.data.0).expect("it is readable");
                self.applied = snapshot.header.position.index;
            }
            for entry in output.committed {
                apply(&mut self.state, &entry);
                self.applied = entry.index;
            }
            self.compact();
        }
    }

    fn compact(&mut self) {
        let due = self.applied.is_multiple_of(SNAPSHOT_AFTER);
        if !due || !self.replica.is_after_snapshot(self.applied) {
            return;
        }
        let mut data = Vec::new();
        ciborium::into_writer(&self.state, &mut data).expect("it serialises");
        self.replica.compact(self.applied, data, self.state.clone());
    }
}

struct GroupModel {
    seed: u64,
    random: ChaCha8Rng,
    now: u64,
    nodes: Vec<Option<NodeModel>>,
    /// Disks of nodes without power, and when they have it again.
    dark: Vec<Option<(u64, DiskModel, DiskId)>>,
    under_way: Vec<(u64, Envelope)>,
    next_disk: u64,
    /// What the state refers to, once all that was ever committed is applied, as far as seen.
    newest: (LogIndex, BTreeSet<LogIndex>),
    snapshots_received: u64,
}

impl GroupModel {
    fn new(seed: u64) -> Self {
        let ids = (0..NODES).map(|node| DiskId(node as u64 + 1));
        let membership = Membership {
            replicas: ids
                .enumerate()
                .map(|(node, disk)| (disk, info(node)))
                .collect(),
        };
        let nodes = (0..NODES).map(|node| {
            let disk = DiskModel::default();
            let id = DiskId(node as u64 + 1);
            let mut founder = NodeModel::open(0, disk.clone(), id);
            let founding = StoredState::founding(membership.clone());
            founder.storage.write(&founding).expect("it is written");
            drop(founder);
            Some(NodeModel::open(0, disk, id))
        });
        Self {
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: nodes.collect(),
            dark: vec![None, None, None],
            under_way: Vec::new(),
            next_disk: 100,
            newest: (0, BTreeSet::new()),
            snapshots_received: 0,
        }
    }

    fn step(&mut self) {
        self.now += 5;
        self.deliver();
        self.keep_group();
        self.propose();
        for node in 0..NODES {
            self.run(node);
        }
        self.disturb();
        self.check();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.under_way);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.under_way = later;
        let mut sent = Vec::new();
        for (_, envelope) in due {
            let mut nodes = self.nodes.iter_mut().flatten();
            if let Some(node) = nodes.find(|node| node.id == envelope.to) {
                self.snapshots_received +=
                    u64::from(matches!(envelope.message, Message::SnapshotChunk { .. }));
                node.receive(now, envelope, &mut sent);
            }
        }
        self.send(sent);
    }

    fn send(&mut self, sent: Vec<Envelope>) {
        for envelope in sent {
            if self.random.random_bool(0.03) {
                continue;
            }
            let delay = self.random.random_range(1..30);
            self.under_way.push((self.now + delay, envelope));
        }
    }

    fn leader(&mut self) -> Option<&mut NodeModel> {
        let nodes = self.nodes.iter_mut().flatten();
        nodes
            .filter(|node| node.replica.leads())
            .max_by_key(|node| node.replica.status().term)
    }

    fn propose(&mut self) {
        if !self.random.random_bool(0.4) {
            return;
        }
        let kind = if self.random.random_bool(0.6) {
            ADD
        } else {
            DROP_OLDEST
        };
        let len = self.random.random_range(1..200);
        if let Some(leader) = self.leader() {
            let _ = leader.replica.propose(vec![kind; len]);
        }
    }

    /// Puts new disks in the place of those that are gone.
    fn keep_group(&mut self) {
        let present: Vec<(usize, DiskId)> = self
            .nodes
            .iter()
            .enumerate()
            .filter_map(|(node, model)| Some((node, model.as_ref()?.id)))
            .collect();
        let Some(leader) = self.leader() else {
            return;
        };
        let replicas = leader.replica.status().membership.replicas;
        let learner = replicas
            .iter()
            .find(|(_, replica)| replica.role == ReplicaRole::Learner);
        let gone = replicas.iter().find(|(disk, replica)| {
            let of_node =
                |(node, id): &(usize, DiskId)| info(*node).node == replica.node && id != *disk;
            present.iter().any(of_node)
        });
        let new = present.iter().find(|(_, id)| !replicas.contains_key(id));
        let change = match (learner, gone, new) {
            (Some((disk, _)), _, _) if gone.is_some_and(|(lost, _)| lost == disk) => {
                MembershipChange::Remove(*disk)
            }
            (Some((disk, _)), _, _) => MembershipChange::Promote(*disk),
            (None, Some((disk, _)), None) => MembershipChange::Remove(*disk),
            (None, _, Some((node, id))) => MembershipChange::AddLearner(*id, info(*node)),
            (None, None, None) => return,
        };
        let _ = leader.replica.change_membership(&change);
    }

    fn run(&mut self, node: usize) {
        let now = self.now;
        if let Some((_, disk, id)) = self.dark[node].take_if(|(until, _, _)| *until <= now) {
            self.nodes[node] = Some(NodeModel::open(now, disk, id));
        }
        let Some(model) = &mut self.nodes[node] else {
            return;
        };
        model.replica.tick(now);
        let mut sent = Vec::new();
        let has_power = model.settle(now, &mut sent);
        self.send(sent);
        if !has_power {
            self.go_dark(node);
        }
    }

    /// The node comes back later with what power left on its disk.
    fn go_dark(&mut self, node: usize) {
        let Some(model) = self.nodes[node].take() else {
            return;
        };
        let left = model.disk.after_power_loss(&mut self.random);
        let until = self.now + self.random.random_range(50..3_000);
        self.dark[node] = Some((until, left, model.id));
    }

    /// Whether all nodes are voters on the disks that they have: one of them may be lost then.
    fn is_whole(&mut self) -> bool {
        let ids: BTreeSet<DiskId> = self.nodes.iter().flatten().map(|node| node.id).collect();
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = leader.replica.status();
        let voters: BTreeSet<DiskId> = status.membership.voters().collect();
        let follow = |disk: &DiskId| *disk == leader.id || leader.replica.has_caught_up(*disk);
        status.membership_committed && ids.len() == NODES && voters == ids && ids.iter().all(follow)
    }

    fn disturb(&mut self) {
        if !self.random.random_bool(0.004) || !self.is_whole() {
            return;
        }
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..4) {
            // The disk is lost.
            0 | 1 => {
                self.nodes[node] = None;
                self.next_disk += 1;
                let until = self.now + self.random.random_range(50..3_000);
                let fresh = DiskId(self.next_disk);
                self.dark[node] = Some((until, DiskModel::default(), fresh));
            }
            // Power goes between two writes.
            2 => {
                let steps = self.random.random_range(0..12);
                if let Some(model) = &self.nodes[node] {
                    model.disk.lose_power_after(steps);
                }
            }
            // Power goes everywhere.
            _ => (0..NODES).for_each(|node| self.go_dark(node)),
        }
    }

    fn check(&mut self) {
        for node in self.nodes.iter().flatten() {
            if node.applied > self.newest.0 {
                self.newest = (node.applied, node.state.clone());
            }
        }
        // What a later command ended is not shown by a leader, which has applied that command before.
        for node in self.nodes.iter().flatten() {
            for index in node.state.intersection(&self.newest.1) {
                let read = node.storage.command(*index).expect("it is readable");
                let is_there = read.is_some_and(|command| command.0[0] == ADD);
                assert!(
                    is_there,
                    "seed {}, {} ms: disk {} lacks {index}",
                    self.seed, self.now, node.id
                );
            }
        }
    }
}

#[test]
fn whatever_the_state_refers_to_is_readable_on_each_replica() {
    for seed in 0..SEEDS {
        let mut group = GroupModel::new(seed);
        while group.now < LENGTH {
            group.step();
        }
        assert!(group.newest.0 > 100, "seed {seed}: {}", group.newest.0);
        assert!(group.snapshots_received > 0, "seed {seed}: no snapshot");
    }
}
