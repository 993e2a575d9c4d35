//! The replicated log under faults: three founding replicas and spare hosts, clients that write and
//! read, an operator's rule that replaces silent replicas, and a network that loses, doubles,
//! delays and reorders.

use super::checker::Checker;
use super::faults::Faults;
use super::host::{Condition, Disk, Host};
use firshore_replication::message::Envelope;
use firshore_replication::replica::Output;
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, LogIndex, Membership, MembershipChange, Position, ReplicaInfo, ReplicaRole,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::fmt;

const HOSTS: usize = 5;
const FOUNDERS: usize = 3;
const TICK: u64 = 25;
const CLIENT_INTERVAL: u64 = 40;
const RECONCILE_INTERVAL: u64 = 500;

/// Silence after which a replica is replaced.
const REPLACE_AFTER: u64 = 4_000;

/// What happened, for the figures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Commands acknowledged.
    pub acknowledged: u64,
    /// Reads answered.
    pub reads: u64,
    /// Elections won.
    pub elections: u64,
    /// Crashes.
    pub crashes: u64,
    /// Pauses.
    pub pauses: u64,
    /// Disks wiped.
    pub wipes: u64,
    /// Partitions.
    pub partitions: u64,
    /// Membership changes committed.
    pub changes: u64,
    /// Snapshots installed from a leader.
    pub installs: u64,
}

impl Tally {
    /// Adds another run's counts.
    pub fn add(&mut self, other: &Self) {
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.elections += other.elections;
        self.crashes += other.crashes;
        self.pauses += other.pauses;
        self.wipes += other.wipes;
        self.partitions += other.partitions;
        self.changes += other.changes;
        self.installs += other.installs;
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "acknowledged {}  reads {}  elections {}  crashes {}  pauses {}  wipes {}  partitions {}  membership changes {}  snapshots installed {}",
            self.acknowledged,
            self.reads,
            self.elections,
            self.crashes,
            self.pauses,
            self.wipes,
            self.partitions,
            self.changes,
            self.installs
        )
    }
}

struct InFlight {
    arrives_at: u64,
    number: u64,
    envelope: Envelope,
}

impl PartialEq for InFlight {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for InFlight {}

impl PartialOrd for InFlight {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for InFlight {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap gives the greatest first: the earliest must be the greatest.
        (other.arrives_at, other.number).cmp(&(self.arrives_at, self.number))
    }
}

struct OpenRead {
    host: usize,
    expected: LogIndex,
    ready_at: Option<LogIndex>,
}

/// One run.
pub struct Simulation {
    faults: Faults,
    random: ChaCha8Rng,
    now: u64,
    hosts: Vec<Host>,
    network: BinaryHeap<InFlight>,
    sent: u64,
    cut_off: BTreeSet<usize>,
    healed_at: u64,
    checker: Checker,
    open_writes: BTreeMap<LogIndex, Vec<(usize, Position)>>,
    open_reads: BTreeMap<u64, OpenRead>,
    next_token: u64,
    next_fault: u64,
    tally: Tally,
}

fn info(host: usize) -> ReplicaInfo {
    ReplicaInfo {
        node: format!("host-{host}").as_str().into(),
        zone: format!("zone-{host}").as_str().into(),
        role: ReplicaRole::Voter,
    }
}

impl Simulation {
    /// A group of founders and empty spare hosts.
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let ids: Vec<DiskId> = (0..HOSTS).map(|_| DiskId(random.next_u64())).collect();
        let membership = Membership {
            replicas: (0..FOUNDERS).map(|host| (ids[host], info(host))).collect(),
            ..Membership::default()
        };
        let hosts = (0..HOSTS)
            .map(|host| {
                let mut disk = Disk {
                    id: ids[host],
                    stored: StoredState::default(),
                };
                if host < FOUNDERS {
                    disk.write(&StoredState::founding(membership.clone()));
                }
                Host::start(0, disk, random.next_u64())
            })
            .collect();
        Self {
            faults,
            random,
            now: 0,
            hosts,
            network: BinaryHeap::new(),
            sent: 0,
            cut_off: BTreeSet::new(),
            healed_at: 0,
            checker: Checker::new(membership),
            open_writes: BTreeMap::new(),
            open_reads: BTreeMap::new(),
            next_token: 0,
            next_fault: faults.fault_interval,
            tally: Tally::default(),
        }
    }

    /// Runs to the end; an error names the rule that was broken.
    pub fn run(mut self) -> Result<Tally, String> {
        let end = self.faults.turmoil + self.faults.calm;
        while self.now < end {
            self.now += 1;
            self.deliver()?;
            if self.now.is_multiple_of(TICK) {
                self.tick()?;
            }
            if self.now.is_multiple_of(CLIENT_INTERVAL) {
                self.write()?;
                self.read()?;
            }
            if self.now.is_multiple_of(RECONCILE_INTERVAL) {
                self.reconcile()?;
            }
            if self.now < self.faults.turmoil && self.now >= self.next_fault {
                self.fault();
            }
            if self.now == self.faults.turmoil {
                self.calm_down();
            }
        }
        self.finish()
    }

    fn turmoil(&self) -> bool {
        self.now < self.faults.turmoil
    }

    fn chance(&mut self, share: f64) -> bool {
        self.turmoil() && self.random.random_bool(share)
    }

    fn host_of(&self, disk: DiskId) -> Option<usize> {
        self.hosts.iter().position(|host| host.disk.id == disk)
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let Some(to) = self.host_of(envelope.to) else {
            return;
        };
        let severed = self.cut_off.contains(&from) != self.cut_off.contains(&to);
        if severed || self.chance(self.faults.loss) {
            return;
        }
        if self.chance(self.faults.duplication) {
            self.enqueue(envelope.clone());
        }
        self.enqueue(envelope);
    }

    fn enqueue(&mut self, envelope: Envelope) {
        self.sent += 1;
        let delay = self.random.random_range(1..=self.faults.longest_delay);
        self.network.push(InFlight {
            arrives_at: self.now + delay,
            number: self.sent,
            envelope,
        });
    }

    fn deliver(&mut self) -> Result<(), String> {
        while self
            .network
            .peek()
            .is_some_and(|next| next.arrives_at <= self.now)
        {
            let Some(InFlight { envelope, .. }) = self.network.pop() else {
                break;
            };
            let Some(to) = self.host_of(envelope.to) else {
                continue;
            };
            match self.hosts[to].condition {
                Condition::Up => {
                    let now = self.now;
                    if let Some(replica) = &mut self.hosts[to].replica {
                        replica.receive(now, envelope);
                    }
                    self.settle(to)?;
                }
                Condition::PausedUntil(_) => self.hosts[to].backlog.push(envelope),
                Condition::DownUntil(_) => {}
            }
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), String> {
        for host in 0..HOSTS {
            self.wake(host)?;
            let now = self.now;
            if self.hosts[host].condition == Condition::Up
                && let Some(replica) = &mut self.hosts[host].replica
            {
                replica.tick(now);
                self.settle(host)?;
            }
        }
        if self.now >= self.healed_at {
            self.cut_off.clear();
        }
        Ok(())
    }

    fn wake(&mut self, host: usize) -> Result<(), String> {
        let now = self.now;
        match self.hosts[host].condition {
            Condition::PausedUntil(until) if now >= until => {
                self.hosts[host].condition = Condition::Up;
                // What waited is handled before the clock is looked at, as in a real process.
                for envelope in std::mem::take(&mut self.hosts[host].backlog) {
                    if let Some(replica) = &mut self.hosts[host].replica {
                        replica.receive(now, envelope);
                    }
                    self.settle(host)?;
                }
            }
            Condition::DownUntil(until) if now >= until => {
                let seed = self.random.next_u64();
                self.hosts[host].restart(now, seed);
            }
            _ => {}
        }
        Ok(())
    }

    /// Carries out what the replica asks for, as the node's thread does.
    fn settle(&mut self, host: usize) -> Result<(), String> {
        loop {
            let Some(replica) = &mut self.hosts[host].replica else {
                return Ok(());
            };
            let output = replica.take_output();
            if output.is_empty() {
                return self.observe(host);
            }
            self.carry_out(host, output)?;
        }
    }

    fn carry_out(&mut self, host: usize, output: Output) -> Result<(), String> {
        for envelope in output.early_messages {
            self.send(host, envelope);
        }
        if !output.writes.is_empty() {
            let crash = self.chance(self.faults.crash_at_write);
            if crash && self.random.random_bool(0.5) {
                self.crash(host);
                return Ok(());
            }
            self.hosts[host].disk.write(&output.writes);
            if crash {
                self.crash(host);
                return Ok(());
            }
        }
        if let Some(replica) = &mut self.hosts[host].replica {
            replica.written();
        }
        for envelope in output.messages {
            self.send(host, envelope);
        }
        if let Some(snapshot) = output.install {
            self.tally.installs += 1;
            self.hosts[host].applied = snapshot.header.position.index;
        }
        for entry in output.committed {
            if entry.index != self.hosts[host].applied + 1 {
                return Err(format!("entry {} is applied out of order", entry.index));
            }
            self.checker.applied(self.hosts[host].disk.id, &entry)?;
            self.hosts[host].applied = entry.index;
            self.acknowledge(host, entry.index, entry.term);
        }
        self.hosts[host].compact_if_long();
        for token in output.failed_reads {
            self.open_reads.remove(&token);
        }
        for (token, index) in output.reads {
            if let Some(read) = self.open_reads.get_mut(&token) {
                read.ready_at = Some(index);
            }
        }
        self.answer_reads(host)
    }

    fn acknowledge(&mut self, host: usize, index: LogIndex, term: u64) {
        let waiting = self.open_writes.get_mut(&index);
        let Some(waiting) = waiting else { return };
        let matching = waiting
            .iter()
            .any(|(at, position)| *at == host && position.term == term);
        waiting.retain(|(at, _)| *at != host);
        if matching {
            self.checker.acknowledged(Position { index, term });
        }
    }

    fn answer_reads(&mut self, host: usize) -> Result<(), String> {
        let applied = self.hosts[host].applied;
        let ready: Vec<u64> = self
            .open_reads
            .iter()
            .filter(|(_, read)| {
                read.host == host && read.ready_at.is_some_and(|index| index <= applied)
            })
            .map(|(token, _)| *token)
            .collect();
        for token in ready {
            if let Some(read) = self.open_reads.remove(&token) {
                self.checker.read_answered(read.expected, applied)?;
                self.tally.reads += 1;
            }
        }
        Ok(())
    }

    fn observe(&mut self, host: usize) -> Result<(), String> {
        let Some(replica) = &self.hosts[host].replica else {
            return Ok(());
        };
        if !replica.leads() {
            self.hosts[host].led_in = None;
            return Ok(());
        }
        let term = replica.status().term;
        self.checker.leads(replica)?;
        if self.hosts[host].led_in != Some(term) {
            self.checker.elected(replica)?;
            self.hosts[host].led_in = Some(term);
            self.tally.elections += 1;
        }
        Ok(())
    }

    /// Every host that believes it leads gets a write: a deposed one must not acknowledge it.
    fn write(&mut self) -> Result<(), String> {
        for host in self.leaders() {
            let command = self.random.next_u64().to_be_bytes().to_vec();
            if let Some(replica) = &mut self.hosts[host].replica
                && let Ok(position) = replica.propose(command)
            {
                let open = self.open_writes.entry(position.index).or_default();
                open.push((host, position));
            }
            self.settle(host)?;
        }
        Ok(())
    }

    fn read(&mut self) -> Result<(), String> {
        for host in self.leaders() {
            self.next_token += 1;
            let token = self.next_token;
            if let Some(replica) = &mut self.hosts[host].replica
                && replica.read(token).is_ok()
            {
                let read = OpenRead {
                    host,
                    expected: self.checker.read_starts(),
                    ready_at: None,
                };
                self.open_reads.insert(token, read);
            }
            self.settle(host)?;
        }
        Ok(())
    }

    fn leaders(&self) -> Vec<usize> {
        (0..HOSTS)
            .filter(|host| self.hosts[*host].condition == Condition::Up)
            .filter(|host| {
                let replica = self.hosts[*host].replica.as_ref();
                replica.is_some_and(|replica| replica.leads())
            })
            .collect()
    }

    /// The rule of the node's maintenance: promote learners that caught up, remove silent replicas
    /// when enough others vote, add an empty disk where replicas lack.
    fn reconcile(&mut self) -> Result<(), String> {
        for host in self.leaders() {
            let held: BTreeSet<DiskId> = self.hosts.iter().map(|host| host.disk.id).collect();
            let spare = self.spare(host);
            let Some(replica) = &mut self.hosts[host].replica else {
                continue;
            };
            let membership = replica.status().membership;
            let silent = replica.unresponsive(REPLACE_AFTER);
            let learner = membership
                .replicas
                .iter()
                .find(|(_, info)| info.role == ReplicaRole::Learner)
                .map(|(disk, _)| *disk);
            let voters = membership.voters().count();
            let change = if let Some(learner) = learner {
                if silent.contains(&learner) || !held.contains(&learner) {
                    Some(MembershipChange::Remove(learner))
                } else {
                    Some(MembershipChange::Promote(learner))
                }
            } else if voters > FOUNDERS {
                silent.first().map(|disk| MembershipChange::Remove(*disk))
            } else if !silent.is_empty() {
                spare.map(|(disk, info)| MembershipChange::AddLearner(disk, info))
            } else if self.random.random_bool(0.02) && self.now < self.faults.turmoil {
                let target = replica.transfer_target();
                if let Some(target) = target {
                    let _ = replica.transfer_leadership(target);
                }
                None
            } else {
                None
            };
            if let Some(change) = change
                && replica.change_membership(&change).is_ok()
            {
                self.tally.changes += 1;
            }
            self.settle(host)?;
        }
        Ok(())
    }

    fn spare(&mut self, leader: usize) -> Option<(DiskId, ReplicaInfo)> {
        let membership = self.hosts[leader].replica.as_ref()?.status().membership;
        (0..HOSTS)
            .filter(|host| self.hosts[*host].condition == Condition::Up)
            .map(|host| (self.hosts[host].disk.id, info(host)))
            .find(|(disk, _)| !membership.replicas.contains_key(disk))
    }

    fn crash(&mut self, host: usize) {
        self.tally.crashes += 1;
        let outage = self.random.random_range(1..=self.faults.longest_outage);
        self.hosts[host].crash(self.now + outage);
        self.open_reads.retain(|_, read| read.host != host);
        for waiting in self.open_writes.values_mut() {
            waiting.retain(|(at, _)| *at != host);
        }
    }

    fn fault(&mut self) {
        let pause = self.random.random_range(1..=2 * self.faults.fault_interval);
        self.next_fault = self.now + pause;
        let host = self.random.random_range(0..HOSTS);
        match self.random.random_range(0..10) {
            0..=2 => self.crash(host),
            3..=5 => {
                if self.hosts[host].condition == Condition::Up {
                    self.tally.pauses += 1;
                    let length = self.random.random_range(1..=self.faults.longest_pause);
                    self.hosts[host].condition = Condition::PausedUntil(self.now + length);
                }
            }
            6..=7 => {
                self.tally.partitions += 1;
                let length = self.random.random_range(1..=self.faults.longest_partition);
                self.cut_off = (0..HOSTS)
                    .filter(|_| self.random.random_bool(0.4))
                    .collect();
                self.healed_at = self.now + length;
            }
            _ => self.wipe(host),
        }
    }

    /// Loses a disk, one at a time: two lost copies of three are more than a majority survives.
    fn wipe(&mut self, host: usize) {
        let held: BTreeSet<DiskId> = self.hosts.iter().map(|host| host.disk.id).collect();
        let membership = self.checker.membership();
        let whole = membership.replicas.keys().all(|disk| held.contains(disk));
        if !whole {
            return;
        }
        self.tally.wipes += 1;
        self.crash(host);
        self.hosts[host].disk = Disk {
            id: DiskId(self.random.next_u64()),
            stored: StoredState::default(),
        };
    }

    fn calm_down(&mut self) {
        self.cut_off.clear();
        for host in &mut self.hosts {
            match &mut host.condition {
                Condition::PausedUntil(until) | Condition::DownUntil(until) => *until = self.now,
                Condition::Up => {}
            }
        }
    }

    fn finish(mut self) -> Result<Tally, String> {
        let membership = self.checker.membership();
        let leaders = self.leaders();
        let [leader] = leaders.as_slice() else {
            return Err(format!("recovery: {} leaders after calm", leaders.len()));
        };
        let applied = self.hosts[*leader].applied;
        self.checker.finish(applied)?;
        let open_since = self.open_reads.values().filter(|read| read.host == *leader);
        if open_since.count() > 100 {
            return Err("recovery: reads are not answered".to_owned());
        }
        for disk in membership.replicas.keys() {
            let host = self.host_of(*disk).map(|host| &self.hosts[host]);
            if host.is_none_or(|host| host.applied + 100 < applied) {
                let held = host.map_or(0, |host| host.applied);
                return Err(format!(
                    "recovery: replica {disk} did not catch up: {held} of {applied}"
                ));
            }
        }
        self.tally.acknowledged = self.checker.acknowledged_count();
        Ok(self.tally)
    }
}
