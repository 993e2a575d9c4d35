//! Simulation of machines with disks in virtual time. Replicas and group maintenance are the production code; the
//! object store, the network and the clients are simulated.

mod invariant;
pub mod machine;
mod readers;
pub mod recovery;
pub mod scene;
mod store;

use firshore_log::placement::{self, Candidate, is_durable};
use firshore_node::journal::group_manager::{GroupAction, GroupPolicy};
use firshore_replication::message::Envelope;
use firshore_replication::replica::{Output, ReadToken, Replica};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, MembershipChange};
use firshore_types::ids::NodeName;
use invariant::WayOnCheck;
use machine::{AcceptedCommand, Disk, Machine, ProcessState};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use readers::Readers;
use recovery::RecoveryMeter;
use scene::{Deployment, Event};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};
use store::Store;

/// Time in which a new disk must hold all entries, in milliseconds.
pub const CATCH_UP_MS: u64 = 5_000;

/// Time after the last event in which the group must have recovered, in milliseconds.
const RECOVERY_MS: u64 = 25_000;

/// Interval of a node's group maintenance, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 250;

/// Interval at which a leader reads the store, in milliseconds.
const REFRESH_INTERVAL_MS: u64 = 500;

/// Step of the simulation, in milliseconds.
const TICK_MS: u64 = 10;
/// Interval of the clients' commands and reads, in milliseconds.
const CLIENT_INTERVAL_MS: u64 = 50;

/// A message in flight.
struct InFlight {
    at: u64,
    number: u64,
    to: usize,
    from: usize,
    envelope: Envelope,
}

/// A disk that counts as lost until its replacement had time to catch up.
#[derive(Clone, Copy, Debug)]
struct Loss {
    number: usize,
    /// Machine that replaces it, once there is one.
    machine: Option<usize>,
    /// Time of the last disruption of that machine, the others or the store, in milliseconds.
    settled_since: u64,
}

/// A broken guarantee and its time in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    pub at: u64,
    pub description: String,
}

/// Counts of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunCounts {
    pub accepted: usize,
    pub read: usize,
    pub wiped: usize,
    pub drained: usize,
}

/// A simulated deployment.
pub struct World {
    deployment: Deployment,
    policy: GroupPolicy,
    random: ChaCha8Rng,
    start: Instant,
    now: u64,
    machines: Vec<Machine>,
    store: Store,
    network: BinaryHeap<Reverse<(u64, u64, usize)>>,
    messages: BTreeMap<usize, InFlight>,
    sent: u64,
    losses: Vec<Loss>,
    lost: usize,
    /// Times in milliseconds at which a replacement machine is added, and the number of the loss.
    replacements_due: Vec<(u64, usize)>,
    /// Times in milliseconds at which another machine loses its disk.
    wipes_due: Vec<u64>,
    /// Nodes after whose retirement another disk is lost.
    wipe_after: BTreeSet<NodeName>,
    /// Time in milliseconds at which the last disruption ends.
    disrupted_until: u64,
    /// The latest accepted command.
    accepted: Option<AcceptedCommand>,
    counts: RunCounts,
    /// Clients that read from leaders, in scenarios with readers.
    readers: Option<Readers>,
    /// Voters that founded the group.
    founders: BTreeSet<DiskId>,
    /// The invariant, in scenarios that check it after every step.
    way_on: Option<WayOnCheck>,
    /// The recovery times, where they are measured.
    meter: Option<RecoveryMeter>,
    /// Trace lines, printed after a failure.
    pub trace: Vec<String>,
}

impl World {
    /// Creates a deployment whose group is founded on the first machines.
    pub fn new(deployment: Deployment, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let policy = GroupPolicy {
            target_voters: placement::voters_for(deployment.losses),
            min_disks: deployment.losses as usize + 1,
            catch_up: Duration::from_millis(CATCH_UP_MS),
        };
        let disks: Vec<DiskId> = (0..deployment.machines)
            .map(|_| DiskId(random.next_u64()))
            .collect();
        let mut machines: Vec<Machine> = Vec::new();
        for (number, disk) in disks.iter().enumerate() {
            let zone = number % deployment.zones;
            machines.push(Machine::new(number, zone, Disk::empty(*disk), policy, 0));
        }
        let mut world = Self {
            deployment,
            policy,
            random,
            start: Instant::now(),
            now: 0,
            machines,
            store: Store::default(),
            network: BinaryHeap::new(),
            messages: BTreeMap::new(),
            sent: 0,
            losses: Vec::new(),
            lost: 0,
            replacements_due: Vec::new(),
            wipes_due: Vec::new(),
            wipe_after: BTreeSet::new(),
            disrupted_until: 0,
            accepted: None,
            counts: RunCounts::default(),
            readers: None,
            founders: BTreeSet::new(),
            way_on: None,
            meter: None,
            trace: Vec::new(),
        };
        world.found_group();
        world
    }

    fn found_group(&mut self) {
        let all: Vec<Candidate> = self.machines.iter().map(candidate).collect();
        let (voters, disks) = (self.policy.target_voters, self.policy.min_disks);
        let membership = placement::founding_membership(&all, &all[0], voters, disks);
        self.founders = membership.voters().collect();
        for machine in &mut self.machines {
            self.store
                .nodes
                .insert(machine.name.clone(), candidate(machine));
            if membership.is_voter(machine.disk.id) {
                let founding = StoredState::founding(membership.clone());
                machine.disk.stored.apply(&founding);
            }
            machine.start(0, machine.disk.id.0);
        }
    }

    /// Applies events, and runs until the group had time to recover from the last one.
    ///
    /// # Errors
    ///
    /// Returns an error if an accepted command is on too few disks, or the group does not recover.
    pub fn run(&mut self, events: &[(u64, Event)]) -> Result<RunCounts, Violation> {
        let last = events.last().map_or(0, |(at, _)| *at);
        let mut events = events.iter().peekable();
        loop {
            self.now += TICK_MS;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= self.now) {
                self.apply_event(*event);
            }
            self.restart_due_machines();
            self.store.tick(self.now);
            self.deliver();
            self.run_replicas();
            self.run_maintenance();
            if self.now.is_multiple_of(CLIENT_INTERVAL_MS) {
                self.propose_commands();
                self.start_reads();
            }
            self.remove_drained();
            self.expire_losses();
            self.check_way_on()?;
            self.check_copies()?;
            self.check_reads()?;
            self.measure_recovery();
            if self.now > last.max(self.disrupted_until) + RECOVERY_MS {
                self.check_recovered()?;
                return Ok(self.counts);
            }
        }
    }

    fn trace_event(&mut self, text: String) {
        self.trace.push(format!("{:>6} {text}", self.now));
    }

    fn violation(&self, description: String) -> Violation {
        Violation {
            at: self.now,
            description,
        }
    }

    // Events.

    fn apply_event(&mut self, event: Event) {
        let for_ms = self.random.random_range(300..6_000);
        match event {
            Event::Wipe => self.wipe(false),
            Event::WipeVoter => self.wipe(true),
            Event::Retire => self.retire(false),
            Event::RetireThenWipe => self.retire(true),
            Event::Isolate(from_store) => self.isolate(from_store, for_ms),
            Event::Split => self.split(for_ms),
            Event::Freeze => {
                self.freeze(Machine::is_running, for_ms);
            }
            Event::SuspendLeader(for_ms, isolated_ms) => {
                if let Some(machine) = self.freeze(Machine::is_running_leader, for_ms) {
                    let until = self.now + isolated_ms;
                    self.machines[machine].isolated_until = until;
                    self.extend_disruption(until);
                }
            }
            Event::WipeLeader => self.wipe_where(Machine::is_running_leader),
            Event::WipeNewest => {
                let newest = self.machines.last().map(|machine| machine.name.clone());
                self.wipe_where(|machine| {
                    machine.is_running() && Some(&machine.name) == newest.as_ref()
                });
            }
            Event::KillLeader(for_ms) => {
                if let Some(machine) = self.pick_machine(Machine::is_running_leader) {
                    self.kill(machine, for_ms);
                }
            }
            Event::ReplaceFollower(after_ms) => {
                let voters = self.voters();
                let is_follower = |machine: &Machine| {
                    machine.is_running()
                        && !machine.status.leads
                        && voters.contains(&machine.disk.id)
                };
                self.replace_where(is_follower, Some(after_ms));
            }
            Event::Kill => {
                if let Some(machine) = self.pick_machine(|machine| machine.is_running()) {
                    let for_ms = self.random.random_range(200..2_000);
                    self.kill(machine, for_ms);
                }
            }
            Event::PowerLoss => self.lose_power(),
            Event::PowerLossThenWipe => {
                self.wipe(true);
                self.lose_power();
            }
            Event::Replace => self.replace_where(Machine::is_present, None),
            Event::Add => {
                let number = self.machines.len();
                self.add(number);
            }
            Event::StoreDown => {
                self.trace_event(format!("the store is down for {for_ms} ms"));
                self.store.down_until = self.now + for_ms;
                self.extend_disruption(self.now + for_ms);
            }
        }
    }

    fn pick_machine(&mut self, fits: impl Fn(&Machine) -> bool) -> Option<usize> {
        let fitting: Vec<usize> = (0..self.machines.len())
            .filter(|machine| fits(&self.machines[*machine]))
            .collect();
        let pick = self.random.random_range(0..fitting.len().max(1));
        fitting.get(pick).copied()
    }

    fn extend_disruption(&mut self, until: u64) {
        self.disrupted_until = self.disrupted_until.max(until);
        for loss in &mut self.losses {
            loss.settled_since = loss.settled_since.max(until);
        }
    }

    /// Counts a disk as lost until its replacement had time to catch up, and returns the number of the loss.
    fn record_loss(&mut self, machine: Option<usize>, until: u64) -> usize {
        self.lost += 1;
        self.losses
            .retain(|loss| machine.is_none() || loss.machine != machine);
        self.losses.push(Loss {
            number: self.lost,
            machine,
            settled_since: until.max(self.disrupted_until),
        });
        self.lost
    }

    fn expire_losses(&mut self) {
        let now = self.now;
        self.losses
            .retain(|loss| loss.machine.is_none() || now < loss.settled_since + CATCH_UP_MS);
    }

    fn can_lose_disk(&self) -> bool {
        self.losses.len() < self.deployment.losses as usize
    }

    fn wipe(&mut self, voter: bool) {
        let voters = self.voters();
        self.wipe_where(|machine| {
            machine.is_present()
                && !matches!(machine.state, ProcessState::DownUntil(_))
                && (!voter || voters.contains(&machine.disk.id))
        });
    }

    fn wipe_where(&mut self, fits: impl Fn(&Machine) -> bool) {
        if !self.can_lose_disk() {
            return;
        }
        let machine = self.pick_machine(fits);
        let Some(machine) = machine else { return };
        let until = self.now + self.random.random_range(300..2_500);
        let disk = DiskId(self.random.next_u64());
        self.trace_event(format!("{} loses its disk", self.machines[machine].name));
        self.machines[machine].stop(ProcessState::DownUntil(until));
        self.machines[machine].disk = Disk::empty(disk);
        self.counts.wiped += 1;
        self.extend_disruption(until);
        self.record_loss(Some(machine), until);
    }

    /// Returns the disks of the voters according to the leader with the highest term.
    fn voters(&self) -> BTreeSet<DiskId> {
        let leaders = self.machines.iter().filter(|machine| machine.status.leads);
        let latest = leaders.max_by_key(|machine| machine.status.term);
        latest.map_or_else(BTreeSet::new, |machine| {
            machine.status.membership.voters().collect()
        })
    }

    fn retire(&mut self, then_wipe: bool) {
        let retirements = self.store.retirements.clone();
        let remaining =
            |machine: &Machine| machine.is_present() && !retirements.contains_key(&machine.name);
        let count = self
            .machines
            .iter()
            .filter(|machine| remaining(machine))
            .count();
        // Operators don't retire the last machine.
        if count < 2 {
            return;
        }
        if let Some(machine) = self.pick_machine(remaining) {
            let name = self.machines[machine].name.clone();
            self.trace_event(format!("{name} is being retired"));
            if then_wipe {
                self.wipe_after.insert(name.clone());
            }
            self.store.retirements.insert(name, false);
        }
    }

    fn isolate(&mut self, from_store: bool, for_ms: u64) {
        if let Some(machine) = self.pick_machine(Machine::is_present) {
            let until = self.now + for_ms;
            self.trace_event(format!(
                "{} is isolated for {for_ms} ms",
                self.machines[machine].name
            ));
            self.machines[machine].isolated_until = until;
            if from_store {
                self.machines[machine].store_isolated_until = until;
            }
            self.extend_disruption(until);
        }
    }

    fn split(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        self.trace_event(format!(
            "about half of the machines are isolated for {for_ms} ms"
        ));
        for machine in &mut self.machines {
            if self.random.random_bool(0.5) {
                machine.isolated_until = until;
            }
        }
        self.extend_disruption(until);
    }

    /// Suspends a machine's process, and returns the machine.
    fn freeze(&mut self, fits: impl Fn(&Machine) -> bool, for_ms: u64) -> Option<usize> {
        let machine = self.pick_machine(fits)?;
        let until = self.now + for_ms;
        self.trace_event(format!(
            "{} freezes for {for_ms} ms",
            self.machines[machine].name
        ));
        self.machines[machine].state = ProcessState::FrozenUntil(until);
        self.extend_disruption(until);
        Some(machine)
    }

    fn lose_power(&mut self) {
        self.trace_event("all machines lose power".to_owned());
        let until = self.now + self.random.random_range(300..1_500);
        for machine in &mut self.machines {
            if machine.is_present() && !matches!(machine.state, ProcessState::DownUntil(_)) {
                machine.stop(ProcessState::DownUntil(until));
            }
        }
        self.extend_disruption(until);
    }

    fn kill(&mut self, machine: usize, for_ms: u64) {
        let until = self.now + for_ms;
        self.trace_event(format!("{} is killed", self.machines[machine].name));
        self.machines[machine].stop(ProcessState::DownUntil(until));
        self.extend_disruption(until);
    }

    /// Removes a machine permanently. Another one replaces it after `after_ms`, or after a random time.
    fn replace_where(&mut self, fits: impl Fn(&Machine) -> bool, after_ms: Option<u64>) {
        if !self.can_lose_disk() {
            return;
        }
        let Some(machine) = self.pick_machine(fits) else {
            return;
        };
        self.trace_event(format!(
            "{} is removed permanently",
            self.machines[machine].name
        ));
        self.machines[machine].stop(ProcessState::Removed);
        let after_ms = after_ms.unwrap_or_else(|| self.random.random_range(300..2_500));
        let at = self.now + after_ms;
        let loss = self.record_loss(None, at);
        self.replacements_due.push((at, loss));
        self.extend_disruption(at);
    }

    fn add(&mut self, number: usize) -> usize {
        let disk = Disk::empty(DiskId(self.random.next_u64()));
        let zone = self.random.random_range(0..self.deployment.zones);
        let mut machine = Machine::new(number, zone, disk, self.policy, self.now);
        machine.start(self.now, self.random.next_u64());
        self.trace_event(format!("{} is added", machine.name));
        self.machines.push(machine);
        self.machines.len() - 1
    }

    fn restart_due_machines(&mut self) {
        let now = self.now;
        let due = self.replacements_due.extract_if(.., |(at, _)| *at <= now);
        for (_, loss) in due.collect::<Vec<_>>() {
            let number = self.machines.len();
            let machine = self.add(number);
            let mut losses = self.losses.iter_mut();
            if let Some(loss) = losses.find(|entry| entry.number == loss) {
                loss.machine = Some(machine);
            }
        }
        let due = self.wipes_due.extract_if(.., |at| *at <= now);
        for _ in 0..due.count() {
            self.wipe(true);
        }
        for index in 0..self.machines.len() {
            let seed = self.random.next_u64();
            let machine = &mut self.machines[index];
            match machine.state {
                ProcessState::DownUntil(until) if until <= now => machine.start(now, seed),
                ProcessState::FrozenUntil(until) if until <= now => {
                    machine.state = ProcessState::Running;
                    for envelope in std::mem::take(&mut machine.backlog) {
                        if let Some(replica) = &mut machine.replica {
                            replica.receive(now, envelope);
                        }
                    }
                    self.process_output(index);
                }
                _ => {}
            }
        }
    }

    /// Removes machines with their disks as soon as they are reported as drained.
    fn remove_drained(&mut self) {
        let mut removed = Vec::new();
        for machine in &mut self.machines {
            if machine.is_present() && self.store.retirements.get(&machine.name) == Some(&true) {
                machine.stop(ProcessState::Removed);
                removed.push(machine.name.clone());
            }
        }
        for name in removed {
            self.counts.drained += 1;
            self.trace_event(format!("{name} is reported as drained and removed"));
            if self.wipe_after.remove(&name) {
                let at = self.now + self.random.random_range(0..300);
                self.wipes_due.push(at);
            }
        }
    }

    // Network and replicas.

    fn can_reach(&self, from: usize, to: usize) -> bool {
        let is_isolated = |machine: usize| self.now < self.machines[machine].isolated_until;
        !is_isolated(from) && !is_isolated(to)
    }

    fn can_reach_store(&self, machine: usize) -> bool {
        self.now >= self.store.down_until && self.now >= self.machines[machine].store_isolated_until
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let Some(to) = self
            .machines
            .iter()
            .position(|machine| machine.disk.id == envelope.to)
        else {
            return;
        };
        // A node can reach the replicas of its group and those that sent it a message.
        let sender = &self.machines[from];
        let replica = sender.replica.as_ref();
        let is_member = replica.is_some_and(|replica| replica.node_of(envelope.to).is_some());
        if !self.can_reach(from, to) || !(is_member || sender.senders.contains(&envelope.to)) {
            return;
        }
        self.sent += 1;
        let at = self.now + self.random.random_range(1..=2 * TICK_MS);
        let number = self.sent;
        self.network.push(Reverse((at, number, number as usize)));
        let message = InFlight {
            at,
            number,
            to,
            from,
            envelope,
        };
        self.messages.insert(number as usize, message);
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, _, number))) = self.network.peek().copied()
            && at <= self.now
        {
            self.network.pop();
            let Some(message) = self.messages.remove(&number) else {
                continue;
            };
            debug_assert!(message.at <= self.now && message.number > 0);
            if !self.can_reach(message.from, message.to) {
                continue;
            }
            let now = self.now;
            let machine = &mut self.machines[message.to];
            match machine.state {
                ProcessState::Running => {
                    machine.senders.insert(message.envelope.from);
                    if let Some(replica) = &mut machine.replica {
                        replica.receive(now, message.envelope);
                    }
                    self.process_output(message.to);
                }
                ProcessState::FrozenUntil(_) => machine.backlog.push(message.envelope),
                ProcessState::DownUntil(_) | ProcessState::Removed => {}
            }
        }
    }

    fn run_replicas(&mut self) {
        for index in 0..self.machines.len() {
            if !self.machines[index].is_running() {
                continue;
            }
            let now = self.now;
            if let Some(replica) = &mut self.machines[index].replica {
                replica.tick(now);
            }
            self.process_output(index);
        }
    }

    /// Processes a replica's output, as a node's thread does.
    fn process_output(&mut self, index: usize) {
        loop {
            let Some(replica) = &mut self.machines[index].replica else {
                return;
            };
            let output = replica.take_output();
            if output.is_empty() {
                break;
            }
            self.apply_output(index, output);
        }
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.compact_if_long();
        let is_leader = machine
            .replica
            .as_ref()
            .is_some_and(|replica| replica.leads());
        if is_leader != machine.status.leads || now >= machine.next_publish {
            if !is_leader {
                machine.cached.retirements = None;
            }
            machine.publish(now);
        }
    }

    fn apply_output(&mut self, index: usize, output: Output) {
        for envelope in output.early_messages {
            self.send(index, envelope);
        }
        let machine = &mut self.machines[index];
        machine.disk.stored.apply(&output.writes);
        if let Some(replica) = &mut machine.replica {
            replica.written();
        }
        for envelope in output.messages {
            self.send(index, envelope);
        }
        let machine = &mut self.machines[index];
        if output.restart {
            let disk = machine.disk.id;
            return machine.restore(self.now, disk.0 ^ self.now);
        }
        let is_report = |token: &ReadToken| !readers::is_client_read(*token);
        let confirmed =
            output.reads.iter().any(|(token, _)| is_report(token)) && machine.report_pending;
        let failed = output.failed_reads.iter().any(is_report);
        if confirmed || failed {
            machine.report_pending = false;
        }
        if let Some(snapshot) = &output.install {
            machine.applied = snapshot.header.position.index;
            machine.open.clear();
        }
        // A node answers no proposals from before its group shrank.
        let required = machine.policy.min_disks;
        let shrunk = |replica: &Replica| !is_durable(&replica.status().membership, required);
        if !output.committed.is_empty() && machine.replica.as_ref().is_some_and(shrunk) {
            machine.open.clear();
        }
        for entry in output.committed {
            machine.applied = entry.index;
            let proposed = machine.open.remove(&entry.index);
            if let Some(position) = proposed.filter(|proposed| proposed.term == entry.term) {
                let accepted = AcceptedCommand {
                    position,
                    history: machine.disk.stored.hard_state.history,
                    content: entry.content,
                };
                self.counts.accepted += 1;
                let latest = self.accepted.as_ref();
                if latest.is_none_or(|latest| latest.position.index < position.index) {
                    self.accepted = Some(accepted);
                }
            }
        }
        if confirmed {
            self.machines[index].publish(self.now);
            self.report_drained(index);
        }
        self.record_reads(index, &output.reads);
    }

    /// Proposes a command on each machine that considers itself leader and can guarantee durability.
    fn propose_commands(&mut self) {
        for index in 0..self.machines.len() {
            let command = self.random.next_u64().to_be_bytes().to_vec();
            let machine = &mut self.machines[index];
            let is_durable = is_durable(&machine.status.membership, self.policy.min_disks);
            if !machine.is_running() || !machine.status.leads || !is_durable {
                continue;
            }
            if let Some(replica) = &mut machine.replica
                && let Ok(position) = replica.propose(command)
            {
                machine.open.insert(position.index, position);
            }
            self.process_output(index);
        }
    }

    // Group maintenance.

    fn run_maintenance(&mut self) {
        for index in 0..self.machines.len() {
            if self.machines[index].is_running()
                && self.now >= self.machines[index].next_maintenance
            {
                self.machines[index].next_maintenance = self.now + MAINTENANCE_INTERVAL_MS;
                self.maintain(index);
            }
        }
    }

    fn maintain(&mut self, index: usize) {
        self.refresh(index);
        if !self.ensure_registered(index) {
            return;
        }
        let knows_retirements = self.machines[index].status.leads;
        let action = self.next_action(index, knows_retirements);
        let action = match action {
            GroupAction::ListLeaving if self.can_reach_store(index) => {
                self.machines[index].cached.retirements = Some(self.store.retirements.clone());
                self.next_action(index, true)
            }
            action => action,
        };
        self.carry_out_action(index, action);
        let machine = &mut self.machines[index];
        let any_open = self.store.retirements.values().any(|done| !done);
        if machine.status.leads
            && any_open
            && let Some(replica) = &mut machine.replica
        {
            machine.report_pending = replica.read(self.now).is_ok();
            self.process_output(index);
        }
    }

    /// Reads the store: on a leader at each interval, on other nodes while they know no leader or await a write.
    fn refresh(&mut self, index: usize) {
        let can_reach = self.can_reach_store(index);
        let machine = &mut self.machines[index];
        let status = &machine.status;
        if !can_reach {
            return;
        }
        if status.leads && self.now >= machine.next_refresh {
            machine.next_refresh = self.now + REFRESH_INTERVAL_MS;
            machine.cached.read_at = Some(self.now);
            self.store.read(&mut machine.cached);
            machine.cached.retirements = Some(self.store.retirements.clone());
        } else if (!status.leads && status.leader.is_none()) || machine.cached.write_pending {
            machine.cached.read_at = Some(self.now);
            self.store.read(&mut machine.cached);
        }
    }

    /// Returns whether the node has read the store; writes the node's record where it is missing or differs.
    fn ensure_registered(&mut self, index: usize) -> bool {
        let local = candidate(&self.machines[index]);
        let candidates = &self.machines[index].cached.candidates;
        if candidates.is_empty() {
            return false;
        }
        if !candidates.contains(&local) && self.can_reach_store(index) {
            self.store.nodes.insert(local.node.clone(), local);
            self.machines[index].cached.write_pending = true;
        }
        true
    }

    fn next_action(&mut self, index: usize, knows_retirements: bool) -> GroupAction {
        let now = self.start + Duration::from_millis(self.now);
        let machine = &mut self.machines[index];
        let leaving = machine.leaving().filter(|_| knows_retirements);
        let mut manager = std::mem::replace(
            &mut machine.manager,
            firshore_node::journal::group_manager::GroupManager::new(machine.policy),
        );
        let action = manager.step(now, &machine.input(self.start, leaving.as_ref()));
        machine.manager = manager;
        action
    }

    fn carry_out_action(&mut self, index: usize, action: GroupAction) {
        let name = self.machines[index].name.clone();
        if action != GroupAction::Idle {
            self.trace_event(format!("{name}: {action:?}"));
        }
        let is_delayed = self.random.random_bool(0.05);
        let now = self.now;
        let can_reach = self.can_reach_store(index);
        let machine = &mut self.machines[index];
        let Some(replica) = &mut machine.replica else {
            return;
        };
        match action {
            GroupAction::Idle | GroupAction::ListLeaving => {}
            GroupAction::StepAside(successor) => {
                let _ = replica.transfer_leadership(successor);
            }
            GroupAction::Record(record) => {
                if machine.cached.write_pending || !can_reach {
                    return;
                }
                machine.cached.write_pending = true;
                let expected = machine.cached.revision();
                if is_delayed {
                    machine.cached.unconfirmed = Some(expected);
                    let at = now + self.random.random_range(1_000..6_000);
                    self.store.record_late(at, expected, record);
                } else {
                    self.store.record(expected, record);
                }
            }
            GroupAction::Change(change) => {
                let _ = replica.change_membership(&change);
            }
            GroupAction::PassOver(disk, _) => {
                let _ = replica.change_membership(&MembershipChange::Remove(disk));
            }
            GroupAction::ContinueWith(survivors) => {
                if replica.continue_with(&survivors).is_ok() {
                    machine.open.clear();
                }
            }
            GroupAction::JoinHistory(history) => replica.join_history(history),
            GroupAction::AdoptTerm(term) => replica.adopt_term(term),
        }
        self.process_output(index);
    }

    fn report_drained(&mut self, index: usize) {
        let machine = &self.machines[index];
        if !self.can_reach_store(index) || !machine.status.leads {
            return;
        }
        let Some(leaving) = machine.leaving() else {
            return;
        };
        let now = self.start + Duration::from_millis(self.now);
        let input = machine.input(self.start, Some(&leaving));
        let drained: Vec<NodeName> = leaving
            .open
            .iter()
            .filter(|node| machine.manager.is_drained(now, &input, node))
            .cloned()
            .collect();
        for node in drained {
            self.store.retirements.insert(node, true);
        }
    }

    // Checks.

    fn copies(&self, accepted: &AcceptedCommand) -> usize {
        let present = self.machines.iter().filter(|machine| machine.is_present());
        present
            .filter(|machine| machine.disk.holds(accepted))
            .count()
    }

    /// Checks that the latest accepted command is on one disk more than may still be lost. As a log that holds an
    /// entry holds all entries before it, the same follows for earlier commands.
    fn check_copies(&self) -> Result<(), Violation> {
        let Some(accepted) = &self.accepted else {
            return Ok(());
        };
        let copies = self.copies(accepted);
        let required = self.policy.min_disks - self.losses.len();
        if copies >= required {
            return Ok(());
        }
        Err(self.violation(format!(
            "entry {} of term {} is on {copies} disks, {required} are required",
            accepted.position.index, accepted.position.term
        )))
    }

    /// Checks the state after recovery: one leader holds everything accepted, commands are accepted if there are
    /// enough disks, and machines that can be drained are.
    fn check_recovered(&self) -> Result<(), Violation> {
        let leaders: Vec<&Machine> = self
            .machines
            .iter()
            .filter(|machine| machine.is_running() && machine.status.leads)
            .collect();
        let [leader] = leaders[..] else {
            let states: Vec<_> = self
                .machines
                .iter()
                .filter(|machine| machine.is_present())
                .map(|machine| (&machine.name, &machine.status, &machine.cached.voters))
                .collect();
            return Err(self.violation(format!(
                "{} leaders after recovery: {states:#?}",
                leaders.len()
            )));
        };
        if let Some(accepted) = &self.accepted
            && (leader.applied < accepted.position.index || !leader.disk.holds(accepted))
        {
            let missing = accepted.position.index;
            return Err(self.violation(format!("the leader lacks entry {missing}")));
        }
        self.check_returned(leader)?;
        let present = self.machines.iter().filter(|machine| machine.is_present());
        let retirements = &self.store.retirements;
        let (leaving, remaining): (Vec<&Machine>, Vec<&Machine>) =
            present.partition(|machine| retirements.contains_key(&machine.name));
        let voters = leader.status.membership.voters().count();
        let enough = leaving.len() + remaining.len() >= self.policy.min_disks;
        if enough && !is_durable(&leader.status.membership, self.policy.min_disks) {
            return Err(self.violation(format!(
                "{voters} voters after recovery, durability is not guaranteed"
            )));
        }
        if remaining.len() >= self.policy.target_voters && !leaving.is_empty() {
            return Err(self.violation(format!("{} is not drained", leaving[0].name)));
        }
        Ok(())
    }
}

fn candidate(machine: &Machine) -> Candidate {
    Candidate {
        disk: machine.disk.id,
        node: machine.name.clone(),
        zone: machine.zone.clone(),
    }
}
