//! Every command that a group's state refers to must be readable on each replica that has applied it; a
//! replica without one would refuse reads of that job forever. Three nodes with real replicas and storages
//! lose power between writes, lose disks, change leaders and receive snapshots.

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
use std::ops::Range;
use std::path::Path;

const NODES: usize = 3;
/// Number of seeds without `FIRSHORE_REFERENCED_SEEDS`; `FIRSHORE_REFERENCED_FIRST` sets the first one (default 0).
const SEEDS: u64 = 3;
const CACHE_BYTES: usize = 128 * 1024;
/// Simulated time of a run, in milliseconds.
const RUN_MS: u64 = 8_000;
/// Number of entries between snapshots.
const SNAPSHOT_INTERVAL: u64 = 12;
/// Maximum number of commands in one message.
const MAX_MESSAGE_COMMANDS: usize = 3;

const TIMING: Timing = Timing {
    election_timeout: 300,
    heartbeat_interval: 60,
    append_bytes: 2_000,
    snapshot_chunk_bytes: 64,
    trailing_bytes: 600,
};

/// Contents of commands: add a reference to the entry of the command, or drop the oldest reference.
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

fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value.map_or(default, |value| value.parse().expect("a number"))
}

fn seeds() -> Range<u64> {
    let first = variable("FIRSHORE_REFERENCED_FIRST", 0);
    first..first + variable("FIRSHORE_REFERENCED_SEEDS", SEEDS)
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
    acknowledgements: Vec<Envelope>,
    /// Applied entries after a multiple of [`SNAPSHOT_INTERVAL`] at which this node takes its snapshots.
    snapshot_offset: u64,
    /// Time that a snapshot takes to encode, in milliseconds.
    encoding_time: u64,
    encoding: Option<EncodedSnapshot>,
}

/// A snapshot that is recorded once it is encoded, which takes until `due` (milliseconds).
struct EncodedSnapshot {
    due: u64,
    index: LogIndex,
    data: Vec<u8>,
    referenced: BTreeSet<LogIndex>,
}

impl NodeModel {
    fn open(now: u64, disk: DiskModel, fresh: DiskId) -> Self {
        let path = Path::new("journal");
        let storage = RedbStorage::open_on(disk.clone(), path, fresh, CACHE_BYTES);
        let storage = storage.expect("the storage opens");
        let stored = storage.load().expect("the storage loads");
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
            acknowledgements: Vec::new(),
            snapshot_offset: 0,
            encoding_time: 0,
            encoding: None,
        }
    }

    fn receive(&mut self, now: u64, envelope: Envelope, sent: &mut Vec<Envelope>) {
        if envelope.to != self.id {
            return;
        }
        match envelope.message {
            Message::ReferencedCommands(commands) => {
                let through = commands.last().expect("the message has commands").index;
                self.acknowledgements.push(Envelope {
                    from: self.id,
                    to: envelope.from,
                    term: envelope.term,
                    history: envelope.history,
                    message: Message::ReferencedAnswer { through },
                });
                self.received.extend(commands);
            }
            Message::ReferencedAnswer { through } => {
                let pending_chunk = self.transfers.acknowledge(envelope.from, through);
                if let Some(first_chunk) = pending_chunk.filter(|_| self.replica.leads()) {
                    self.send(now, first_chunk, sent);
                }
            }
            _ => self.replica.receive(now, envelope),
        }
    }

    fn send(&mut self, now: u64, envelope: Envelope, sent: &mut Vec<Envelope>) {
        let (state, storage) = (&self.state, &self.storage);
        let missing = |held, through| {
            let indexes = state.range(held + 1..).take_while(|one| **one <= through);
            let commands = indexes.take(MAX_MESSAGE_COMMANDS).map(|index| {
                let command = storage.command(*index).ok().flatten()?;
                Some(ReferencedCommand {
                    index: *index,
                    command,
                })
            });
            commands.collect()
        };
        match self.transfers.next_step(now, envelope, missing) {
            TransferStep::Wait => {}
            TransferStep::Forward(envelope) | TransferStep::Commands { envelope, .. } => {
                sent.push(envelope);
            }
        }
    }

    /// Processes outputs of the replica. Returns `false` after a power loss.
    fn process_outputs(&mut self, now: u64, sent: &mut Vec<Envelope>) -> bool {
        loop {
            let mut output = self.replica.take_output();
            output.writes.received = std::mem::take(&mut self.received);
            output.messages.append(&mut self.acknowledgements);
            if output.is_empty() {
                return true;
            }
            for envelope in output.early_messages {
                self.send(now, envelope, sent);
            }
            if !output.writes.is_empty() && self.storage.write(&output.writes).is_err() {
                assert!(
                    self.disk.has_lost_power(),
                    "a write fails only after a power loss"
                );
                return false;
            }
            self.replica.written();
            for envelope in output.messages {
                self.send(now, envelope, sent);
            }
            if let Some(snapshot) = output.install {
                self.state =
                    ciborium::from_reader(&*snapshot.data.0).expect("the state is readable");
                self.applied = snapshot.header.position.index;
                self.encoding = None;
            }
            for entry in output.committed {
                apply(&mut self.state, &entry);
                self.applied = entry.index;
            }
            self.compact(now);
        }
    }

    fn compact(&mut self, now: u64) {
        let due = self.applied % SNAPSHOT_INTERVAL == self.snapshot_offset;
        if due && self.encoding.is_none() && self.replica.is_after_snapshot(self.applied) {
            let mut data = Vec::new();
            ciborium::into_writer(&self.state, &mut data).expect("the state serialises");
            self.encoding = Some(EncodedSnapshot {
                due: now + self.encoding_time,
                index: self.applied,
                data,
                referenced: self.state.clone(),
            });
        }
        if let Some(encoded) = self.encoding.take_if(|encoded| encoded.due <= now) {
            let EncodedSnapshot {
                index,
                data,
                referenced,
                ..
            } = encoded;
            self.replica.compact(index, data, referenced);
        }
    }
}

struct GroupModel {
    seed: u64,
    random: ChaCha8Rng,
    now: u64,
    nodes: Vec<Option<NodeModel>>,
    /// Disks of nodes without power, and when the power returns, in milliseconds.
    without_power: Vec<Option<(u64, DiskModel, DiskId)>>,
    in_flight: Vec<(u64, Envelope)>,
    next_disk: u64,
    /// Highest applied index of any node, and the state at that index.
    newest: (LogIndex, BTreeSet<LogIndex>),
    snapshots_received: u64,
    disturbances: Option<Disturbances>,
}

/// Events that the plain runs do not have: nodes are cut off with their disks whole, leadership is transferred, and nodes
/// take their snapshots at different entries and for some time. They have random numbers of their own.
struct Disturbances {
    random: ChaCha8Rng,
    /// Node that is cut off, and until when, in milliseconds.
    cut: Option<(usize, u64)>,
}

impl GroupModel {
    fn new(seed: u64) -> Self {
        let ids = (0..NODES).map(|node| DiskId(node as u64 + 1));
        let membership = Membership {
            replicas: ids
                .enumerate()
                .map(|(node, disk)| (disk, info(node)))
                .collect(),
            ..Membership::default()
        };
        let nodes = (0..NODES).map(|node| {
            let disk = DiskModel::default();
            let id = DiskId(node as u64 + 1);
            let mut founder = NodeModel::open(0, disk.clone(), id);
            let founding = StoredState::founding(membership.clone());
            founder
                .storage
                .write(&founding)
                .expect("the founding state is written");
            drop(founder);
            Some(NodeModel::open(0, disk, id))
        });
        Self {
            seed,
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            nodes: nodes.collect(),
            without_power: vec![None, None, None],
            in_flight: Vec::new(),
            next_disk: 100,
            newest: (0, BTreeSet::new()),
            snapshots_received: 0,
            disturbances: None,
        }
    }

    fn with_disturbances(mut self) -> Self {
        self.disturbances = Some(Disturbances {
            random: ChaCha8Rng::seed_from_u64(!self.seed),
            cut: None,
        });
        self
    }

    fn step(&mut self) {
        self.now += 5;
        self.disturb();
        self.deliver();
        self.maintain_group();
        self.propose();
        for node in 0..NODES {
            self.run(node);
        }
        self.inject_failure();
        self.check();
    }

    fn disturb(&mut self) {
        let now = self.now;
        let Some(mut disturbances) = self.disturbances.take() else {
            return;
        };
        let random = &mut disturbances.random;
        if disturbances.cut.is_some_and(|(_, until)| until <= now) {
            disturbances.cut = None;
        }
        if disturbances.cut.is_none() && random.random_bool(0.005) {
            let until = now + random.random_range(50..1_500);
            disturbances.cut = Some((random.random_range(0..NODES), until));
        }
        if random.random_bool(0.005)
            && let Some(leader) = self.leader()
            && let Some(target) = leader.replica.transfer_target()
        {
            let _ = leader.replica.transfer_leadership(target);
        }
        for model in self.nodes.iter_mut().flatten() {
            if random.random_bool(0.02) {
                model.snapshot_offset = random.random_range(0..SNAPSHOT_INTERVAL);
                model.encoding_time = random.random_range(0..400);
            }
        }
        self.disturbances = Some(disturbances);
    }

    /// Returns whether a message to or from a node that is cut off is lost.
    fn is_cut(&self, envelope: &Envelope) -> bool {
        let cut = self.disturbances.as_ref().and_then(|one| one.cut);
        let node = cut.and_then(|(node, _)| self.nodes[node].as_ref());
        node.is_some_and(|node| [envelope.from, envelope.to].contains(&node.id))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let all = std::mem::take(&mut self.in_flight);
        let (due, later): (Vec<_>, Vec<_>) = all.into_iter().partition(|(at, _)| *at <= now);
        self.in_flight = later;
        let mut sent = Vec::new();
        for (_, envelope) in due {
            if self.is_cut(&envelope) {
                continue;
            }
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
            self.in_flight.push((self.now + delay, envelope));
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

    /// Proposes the membership change that replaces a lost disk with a new one.
    fn maintain_group(&mut self) {
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
        let lost = replicas.iter().find(|(disk, replica)| {
            let has_new_disk =
                |(node, id): &(usize, DiskId)| info(*node).node == replica.node && id != *disk;
            present.iter().any(has_new_disk)
        });
        let new = present.iter().find(|(_, id)| !replicas.contains_key(id));
        let change = match (learner, lost, new) {
            (Some((disk, _)), _, _) if lost.is_some_and(|(lost_disk, _)| lost_disk == disk) => {
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
        if let Some((_, disk, id)) = self.without_power[node].take_if(|(until, _, _)| *until <= now)
        {
            self.nodes[node] = Some(NodeModel::open(now, disk, id));
        }
        let Some(model) = &mut self.nodes[node] else {
            return;
        };
        model.replica.tick(now);
        model.compact(now);
        let mut sent = Vec::new();
        let has_power = model.process_outputs(now, &mut sent);
        self.send(sent);
        if !has_power {
            self.lose_power(node);
        }
    }

    /// Stops a node; it returns later with what its disk holds after the power loss.
    fn lose_power(&mut self, node: usize) {
        let Some(model) = self.nodes[node].take() else {
            return;
        };
        let disk = model.disk.after_power_loss(&mut self.random);
        let until = self.now + self.random.random_range(50..3_000);
        self.without_power[node] = Some((until, disk, model.id));
    }

    /// Returns whether all nodes are caught-up voters on their present disks, so that one may be lost.
    fn is_complete(&mut self) -> bool {
        let ids: BTreeSet<DiskId> = self.nodes.iter().flatten().map(|node| node.id).collect();
        let Some(leader) = self.leader() else {
            return false;
        };
        let status = leader.replica.status();
        let voters: BTreeSet<DiskId> = status.membership.voters().collect();
        let has_caught_up =
            |disk: &DiskId| *disk == leader.id || leader.replica.has_caught_up(*disk);
        status.membership_committed
            && ids.len() == NODES
            && voters == ids
            && ids.iter().all(has_caught_up)
    }

    fn inject_failure(&mut self) {
        if !self.random.random_bool(0.004) || !self.is_complete() {
            return;
        }
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..4) {
            // A node loses its disk.
            0 | 1 => {
                self.nodes[node] = None;
                self.next_disk += 1;
                let until = self.now + self.random.random_range(50..3_000);
                let fresh = DiskId(self.next_disk);
                self.without_power[node] = Some((until, DiskModel::default(), fresh));
            }
            // A node loses power between two writes.
            2 => {
                let steps = self.random.random_range(0..12);
                if let Some(model) = &self.nodes[node] {
                    model.disk.lose_power_after(steps);
                }
            }
            // All nodes lose power.
            _ => (0..NODES).for_each(|node| self.lose_power(node)),
        }
    }

    fn check(&mut self) {
        for node in self.nodes.iter().flatten() {
            if node.applied > self.newest.0 {
                self.newest = (node.applied, node.state.clone());
            }
        }
        // References that a later command dropped are not checked: a leader has applied that command.
        for node in self.nodes.iter().flatten() {
            for index in node.state.intersection(&self.newest.1) {
                let read = node
                    .storage
                    .command(*index)
                    .expect("the command is readable");
                let is_present = read.is_some_and(|command| command.0[0] == ADD);
                assert!(
                    is_present,
                    "seed {}, {} ms: disk {} is missing command {index}",
                    self.seed, self.now, node.id
                );
            }
        }
    }
}

/// Plays a seed and returns whether any node received a snapshot.
fn run(mut group: GroupModel) -> bool {
    let seed = group.seed;
    while group.now < RUN_MS {
        group.step();
    }
    assert!(group.newest.0 > 100, "seed {seed}: {}", group.newest.0);
    // The seeds that are played by default were chosen so that each has one.
    let has_snapshot = group.snapshots_received > 0;
    assert!(has_snapshot || seed >= SEEDS, "seed {seed}: no snapshot");
    has_snapshot
}

fn run_seeds(group: impl Fn(u64) -> GroupModel) {
    let without_snapshot = seeds().filter(|seed| !run(group(*seed)));
    let (count, of) = (without_snapshot.count(), seeds().count());
    assert!(4 * count <= of, "no snapshot in {count} of {of} seeds");
}

#[test]
fn referenced_commands_are_readable_on_each_replica() {
    run_seeds(GroupModel::new);
}

/// A leader that leads again goes on with the acknowledgements that it had; a follower that was cut off takes its own
/// snapshots between the commands that it receives and the snapshot that refers to them.
#[test]
fn referenced_commands_are_readable_after_cuts_and_changes_of_the_leader() {
    run_seeds(|seed| GroupModel::new(seed).with_disturbances());
}
