//! Machines with disks in virtual time: the product's own replicas and upkeep, a store, a network, and
//! clients that have commands accepted.

pub mod machine;
mod readers;
pub mod scene;
mod store;

use firshore_log::placement::{self, Candidate, keeps_promises};
use firshore_node::journal::group_manager::{GroupAction, GroupPolicy};
use firshore_replication::message::Envelope;
use firshore_replication::replica::{Output, ReadToken};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, MembershipChange};
use firshore_types::ids::NodeName;
use machine::{Accepted, Condition, Disk, Machine};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use readers::Readers;
use scene::{Event, Sheet};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::{Duration, Instant};
use store::Store;

/// Time in which a new disk has to hold everything, in milliseconds.
pub const CATCH_UP: u64 = 5_000;

/// Time after the last event in which the group has to be whole again, in milliseconds.
const RECOVERY: u64 = 25_000;

/// Time between looks of a node's upkeep, in milliseconds.
const LOOK: u64 = 250;

/// Time between a leader's readings of the store, in milliseconds.
const REFRESH: u64 = 500;

const TICK: u64 = 10;
const CLIENT: u64 = 50;

/// A message on its way.
struct InFlight {
    at: u64,
    number: u64,
    to: usize,
    from: usize,
    envelope: Envelope,
}

/// A disk that counts as lost for a while.
#[derive(Clone, Copy, Debug)]
struct Loss {
    number: usize,
    /// Machine that takes its place, once there is one.
    machine: Option<usize>,
    /// Since when nothing has troubled that machine, the others or the store, in milliseconds.
    calm_since: u64,
}

/// What was broken, and when in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    pub at: u64,
    pub what: String,
}

/// What was played.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub accepted: usize,
    pub read: usize,
    pub wiped: usize,
    pub emptied: usize,
}

/// A played deployment.
pub struct World {
    sheet: Sheet,
    terms: GroupPolicy,
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
    /// Losses for which a machine comes at that time.
    successors: Vec<(u64, usize)>,
    /// Another machine loses its disk at that time.
    wipes_due: Vec<u64>,
    /// Nodes after whose emptying another disk is lost.
    wipe_after: BTreeSet<NodeName>,
    /// Until when something is in trouble.
    trouble_until: u64,
    /// The last command that was accepted.
    accepted: Option<Accepted>,
    tally: Tally,
    /// Clients that read at whoever leads, where there are any.
    readers: Option<Readers>,
    /// Lines for a reader of a failure.
    pub lines: Vec<String>,
}

impl World {
    /// A group founded on the first machines.
    pub fn new(sheet: Sheet, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let terms = GroupPolicy {
            target_voters: placement::voters_for(sheet.losses),
            min_disks: sheet.losses as usize + 1,
            catch_up: Duration::from_millis(CATCH_UP),
        };
        let disks: Vec<DiskId> = (0..sheet.machines)
            .map(|_| DiskId(random.next_u64()))
            .collect();
        let mut machines: Vec<Machine> = Vec::new();
        for (number, disk) in disks.iter().enumerate() {
            let zone = number % sheet.zones;
            machines.push(Machine::new(number, zone, Disk::empty(*disk), terms, 0));
        }
        let mut world = Self {
            sheet,
            terms,
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
            successors: Vec::new(),
            wipes_due: Vec::new(),
            wipe_after: BTreeSet::new(),
            trouble_until: 0,
            accepted: None,
            tally: Tally::default(),
            readers: None,
            lines: Vec::new(),
        };
        world.found();
        world
    }

    fn found(&mut self) {
        let all: Vec<Candidate> = self.machines.iter().map(candidate).collect();
        let membership = placement::founders(&all, &all[0], self.terms.target_voters);
        for machine in &mut self.machines {
            self.store
                .nodes
                .insert(machine.name.clone(), candidate(machine));
            if membership.is_voter(machine.disk.id) {
                let founding = StoredState::founding(membership.clone());
                machine.disk.stored.take(&founding);
            }
            machine.start(0, machine.disk.id.0);
        }
    }

    /// Plays events until all is calm and recovered.
    ///
    /// # Errors
    ///
    /// When something accepted is on too few disks, or the group does not recover.
    pub fn play(&mut self, events: &[(u64, Event)]) -> Result<Tally, Broken> {
        let last = events.last().map_or(0, |(at, _)| *at);
        let mut events = events.iter().peekable();
        loop {
            self.now += TICK;
            while let Some((_, event)) = events.next_if(|(at, _)| *at <= self.now) {
                self.happen(*event);
            }
            self.machines_come_back();
            self.store.tick(self.now);
            self.deliver();
            self.run_replicas();
            self.look_all();
            if self.now.is_multiple_of(CLIENT) {
                self.ask();
                self.ask_to_read();
            }
            self.empty_machines();
            self.forget_losses();
            self.check_copies()?;
            self.check_reads()?;
            if self.now > last.max(self.trouble_until) + RECOVERY {
                self.check_recovered()?;
                return Ok(self.tally);
            }
        }
    }

    fn line(&mut self, text: String) {
        self.lines.push(format!("{:>6} {text}", self.now));
    }

    fn broken(&self, what: String) -> Broken {
        Broken { at: self.now, what }
    }

    // What happens to machines.

    fn happen(&mut self, event: Event) {
        let for_ms = self.random.random_range(300..6_000);
        match event {
            Event::Wipe => self.wipe(false),
            Event::WipeVoter => self.wipe(true),
            Event::Retire => self.retire(false),
            Event::RetireThenWipe => self.retire(true),
            Event::Cut(from_store) => self.cut(from_store, for_ms),
            Event::Split => self.split(for_ms),
            Event::Freeze => self.freeze(for_ms),
            Event::Kill => {
                if let Some(machine) = self.draw(|one| one.runs()) {
                    let until = self.now + self.random.random_range(200..2_000);
                    self.line(format!("{} is killed", self.machines[machine].name));
                    self.machines[machine].stop(Condition::DownUntil(until));
                    self.in_trouble(until);
                }
            }
            Event::PowerLoss => self.lose_power(),
            Event::PowerLossThenWipe => {
                self.wipe(true);
                self.lose_power();
            }
            Event::Replace => self.replace(),
            Event::Add => {
                let number = self.machines.len();
                self.add(number);
            }
            Event::StoreDown => {
                self.line(format!("the store is down for {for_ms} ms"));
                self.store.down_until = self.now + for_ms;
                self.in_trouble(self.now + for_ms);
            }
        }
    }

    fn draw(&mut self, fits: impl Fn(&Machine) -> bool) -> Option<usize> {
        let fitting: Vec<usize> = (0..self.machines.len())
            .filter(|machine| fits(&self.machines[*machine]))
            .collect();
        let drawn = self.random.random_range(0..fitting.len().max(1));
        fitting.get(drawn).copied()
    }

    fn in_trouble(&mut self, until: u64) {
        self.trouble_until = self.trouble_until.max(until);
        for loss in &mut self.losses {
            loss.calm_since = loss.calm_since.max(until);
        }
    }

    /// Counts a disk as lost from now on, until a machine in its place has had time to catch up.
    fn lose(&mut self, machine: Option<usize>, until: u64) -> usize {
        self.lost += 1;
        self.losses
            .retain(|loss| machine.is_none() || loss.machine != machine);
        self.losses.push(Loss {
            number: self.lost,
            machine,
            calm_since: until.max(self.trouble_until),
        });
        self.lost
    }

    fn forget_losses(&mut self) {
        let now = self.now;
        self.losses
            .retain(|loss| loss.machine.is_none() || now < loss.calm_since + CATCH_UP);
    }

    fn may_lose(&self) -> bool {
        self.losses.len() < self.sheet.losses as usize
    }

    fn wipe(&mut self, voter: bool) {
        if !self.may_lose() {
            return;
        }
        let voters = self.voters();
        let drawn = self.draw(|one| {
            one.is_there()
                && !matches!(one.condition, Condition::DownUntil(_))
                && (!voter || voters.contains(&one.disk.id))
        });
        let Some(machine) = drawn else { return };
        let until = self.now + self.random.random_range(300..2_500);
        let disk = DiskId(self.random.next_u64());
        self.line(format!("{} loses its disk", self.machines[machine].name));
        self.machines[machine].stop(Condition::DownUntil(until));
        self.machines[machine].disk = Disk::empty(disk);
        self.tally.wiped += 1;
        self.in_trouble(until);
        self.lose(Some(machine), until);
    }

    /// Disks of those that vote, as a leader knows them.
    fn voters(&self) -> BTreeSet<DiskId> {
        let leaders = self.machines.iter().filter(|one| one.status.leads);
        let latest = leaders.max_by_key(|one| one.status.term);
        latest.map_or_else(BTreeSet::new, |one| {
            one.status.membership.voters().collect()
        })
    }

    fn retire(&mut self, then_wipe: bool) {
        let wishes = self.store.wishes.clone();
        let staying = |one: &Machine| one.is_there() && !wishes.contains_key(&one.name);
        let count = self.machines.iter().filter(|one| staying(one)).count();
        // Operators leave at least one.
        if count < 2 {
            return;
        }
        if let Some(machine) = self.draw(staying) {
            let name = self.machines[machine].name.clone();
            self.line(format!("{name} is to be emptied"));
            if then_wipe {
                self.wipe_after.insert(name.clone());
            }
            self.store.wishes.insert(name, false);
        }
    }

    fn cut(&mut self, from_store: bool, for_ms: u64) {
        if let Some(machine) = self.draw(Machine::is_there) {
            let until = self.now + for_ms;
            self.line(format!(
                "{} is cut for {for_ms} ms",
                self.machines[machine].name
            ));
            self.machines[machine].cut_until = until;
            if from_store {
                self.machines[machine].store_cut_until = until;
            }
            self.in_trouble(until);
        }
    }

    fn split(&mut self, for_ms: u64) {
        let until = self.now + for_ms;
        self.line(format!("every other machine is cut for {for_ms} ms"));
        for machine in &mut self.machines {
            if self.random.random_bool(0.5) {
                machine.cut_until = until;
            }
        }
        self.in_trouble(until);
    }

    fn freeze(&mut self, for_ms: u64) {
        if let Some(machine) = self.draw(Machine::runs) {
            let until = self.now + for_ms;
            self.line(format!(
                "{} freezes for {for_ms} ms",
                self.machines[machine].name
            ));
            self.machines[machine].condition = Condition::FrozenUntil(until);
            self.in_trouble(until);
        }
    }

    fn lose_power(&mut self) {
        self.line("all lose power".to_owned());
        let until = self.now + self.random.random_range(300..1_500);
        for machine in &mut self.machines {
            if machine.is_there() && !matches!(machine.condition, Condition::DownUntil(_)) {
                machine.stop(Condition::DownUntil(until));
            }
        }
        self.in_trouble(until);
    }

    fn replace(&mut self) {
        if !self.may_lose() {
            return;
        }
        let Some(machine) = self.draw(Machine::is_there) else {
            return;
        };
        self.line(format!("{} goes for good", self.machines[machine].name));
        self.machines[machine].stop(Condition::Gone);
        let at = self.now + self.random.random_range(300..2_500);
        let loss = self.lose(None, at);
        self.successors.push((at, loss));
        self.in_trouble(at);
    }

    fn add(&mut self, number: usize) -> usize {
        let disk = Disk::empty(DiskId(self.random.next_u64()));
        let zone = self.random.random_range(0..self.sheet.zones);
        let mut machine = Machine::new(number, zone, disk, self.terms, self.now);
        machine.start(self.now, self.random.next_u64());
        self.line(format!("{} is added", machine.name));
        self.machines.push(machine);
        self.machines.len() - 1
    }

    fn machines_come_back(&mut self) {
        let now = self.now;
        let due = self.successors.extract_if(.., |(at, _)| *at <= now);
        for (_, loss) in due.collect::<Vec<_>>() {
            let number = self.machines.len();
            let machine = self.add(number);
            let mut losses = self.losses.iter_mut();
            if let Some(loss) = losses.find(|one| one.number == loss) {
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
            match machine.condition {
                Condition::DownUntil(until) if until <= now => machine.start(now, seed),
                Condition::FrozenUntil(until) if until <= now => {
                    machine.condition = Condition::Runs;
                    for envelope in std::mem::take(&mut machine.backlog) {
                        if let Some(replica) = &mut machine.replica {
                            replica.receive(now, envelope);
                        }
                    }
                    self.settle(index);
                }
                _ => {}
            }
        }
    }

    /// What was reported as empty goes at once, with its disk.
    fn empty_machines(&mut self) {
        let mut gone = Vec::new();
        for machine in &mut self.machines {
            if machine.is_there() && self.store.wishes.get(&machine.name) == Some(&true) {
                machine.stop(Condition::Gone);
                gone.push(machine.name.clone());
            }
        }
        for name in gone {
            self.tally.emptied += 1;
            self.line(format!("{name} is reported as empty, and goes"));
            if self.wipe_after.remove(&name) {
                let at = self.now + self.random.random_range(0..300);
                self.wipes_due.push(at);
            }
        }
    }

    // Network and replicas.

    fn reaches(&self, from: usize, to: usize) -> bool {
        let cut = |machine: usize| self.now < self.machines[machine].cut_until;
        !cut(from) && !cut(to)
    }

    fn reaches_store(&self, machine: usize) -> bool {
        self.now >= self.store.down_until && self.now >= self.machines[machine].store_cut_until
    }

    fn send(&mut self, from: usize, envelope: Envelope) {
        let Some(to) = self
            .machines
            .iter()
            .position(|one| one.disk.id == envelope.to)
        else {
            return;
        };
        // A node knows where the replicas of its group are, and who wrote to it.
        let sender = &self.machines[from];
        let replica = sender.replica.as_ref();
        let placed = replica.is_some_and(|one| one.node_of(envelope.to).is_some());
        if !self.reaches(from, to) || !(placed || sender.senders.contains(&envelope.to)) {
            return;
        }
        self.sent += 1;
        let at = self.now + self.random.random_range(1..=2 * TICK);
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
            if !self.reaches(message.from, message.to) {
                continue;
            }
            let now = self.now;
            let machine = &mut self.machines[message.to];
            match machine.condition {
                Condition::Runs => {
                    machine.senders.insert(message.envelope.from);
                    if let Some(replica) = &mut machine.replica {
                        replica.receive(now, message.envelope);
                    }
                    self.settle(message.to);
                }
                Condition::FrozenUntil(_) => machine.backlog.push(message.envelope),
                Condition::DownUntil(_) | Condition::Gone => {}
            }
        }
    }

    fn run_replicas(&mut self) {
        for index in 0..self.machines.len() {
            if !self.machines[index].runs() {
                continue;
            }
            let now = self.now;
            if let Some(replica) = &mut self.machines[index].replica {
                replica.tick(now);
            }
            self.settle(index);
        }
    }

    /// Carries out what a replica asks for, as a node's thread does.
    fn settle(&mut self, index: usize) {
        loop {
            let Some(replica) = &mut self.machines[index].replica else {
                return;
            };
            let output = replica.take_output();
            if output.is_empty() {
                break;
            }
            self.carry_out(index, output);
        }
        let now = self.now;
        let machine = &mut self.machines[index];
        machine.compact_if_long();
        let leads = machine.replica.as_ref().is_some_and(|one| one.leads());
        if leads != machine.status.leads || now >= machine.next_publish {
            if !leads {
                machine.known.wishes = None;
            }
            machine.publish(now);
        }
    }

    fn carry_out(&mut self, index: usize, output: Output) {
        for envelope in output.early_messages {
            self.send(index, envelope);
        }
        let machine = &mut self.machines[index];
        machine.disk.stored.take(&output.writes);
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
        let reports = |token: &ReadToken| !readers::is_of_reader(*token);
        let confirmed = output.reads.iter().any(|(token, _)| reports(token)) && machine.reports;
        let failed = output.failed_reads.iter().any(reports);
        if confirmed || failed {
            machine.reports = false;
        }
        if let Some(snapshot) = &output.install {
            machine.applied = snapshot.header.position.index;
            machine.open.clear();
        }
        for entry in output.committed {
            machine.applied = entry.index;
            let asked = machine.open.remove(&entry.index);
            if let Some(position) = asked.filter(|asked| asked.term == entry.term) {
                let accepted = Accepted {
                    position,
                    history: machine.disk.stored.hard_state.history,
                    content: entry.content,
                };
                self.tally.accepted += 1;
                let known = self.accepted.as_ref();
                if known.is_none_or(|one| one.position.index < position.index) {
                    self.accepted = Some(accepted);
                }
            }
        }
        if confirmed {
            self.machines[index].publish(self.now);
            self.report(index);
        }
        self.take_reads(index, &output.reads);
    }

    /// Clients ask every machine that says it leads and may promise.
    fn ask(&mut self) {
        for index in 0..self.machines.len() {
            let command = self.random.next_u64().to_be_bytes().to_vec();
            let machine = &mut self.machines[index];
            let promises = keeps_promises(&machine.status.membership, self.terms.min_disks);
            if !machine.runs() || !machine.status.leads || !promises {
                continue;
            }
            if let Some(replica) = &mut machine.replica
                && let Ok(position) = replica.propose(command)
            {
                machine.open.insert(position.index, position);
            }
            self.settle(index);
        }
    }

    // Upkeep.

    fn look_all(&mut self) {
        for index in 0..self.machines.len() {
            if self.machines[index].runs() && self.now >= self.machines[index].next_look {
                self.machines[index].next_look = self.now + LOOK;
                self.look(index);
            }
        }
    }

    fn look(&mut self, index: usize) {
        self.refresh(index);
        if !self.registered(index) {
            return;
        }
        let knows_wishes = self.machines[index].status.leads;
        let step = self.step(index, knows_wishes);
        let step = match step {
            GroupAction::ListLeaving if self.reaches_store(index) => {
                self.machines[index].known.wishes = Some(self.store.wishes.clone());
                self.step(index, true)
            }
            step => step,
        };
        self.carry_out_step(index, step);
        let machine = &mut self.machines[index];
        let open = self.store.wishes.values().any(|done| !done);
        if machine.status.leads
            && open
            && let Some(replica) = &mut machine.replica
        {
            machine.reports = replica.read(self.now).is_ok();
            self.settle(index);
        }
    }

    /// A leader watches the store, another node reads it while it knows no leader.
    fn refresh(&mut self, index: usize) {
        let reaches = self.reaches_store(index);
        let machine = &mut self.machines[index];
        let status = &machine.status;
        if !reaches {
            return;
        }
        if status.leads && self.now >= machine.next_refresh {
            machine.next_refresh = self.now + REFRESH;
            machine.known.read_at = Some(self.now);
            self.store.read(&mut machine.known);
            machine.known.wishes = Some(self.store.wishes.clone());
        } else if (!status.leads && status.leader.is_none()) || machine.known.unsettled {
            machine.known.read_at = Some(self.now);
            self.store.read(&mut machine.known);
        }
    }

    /// Whether the node has read the store, where it writes itself if it is not listed as it is.
    fn registered(&mut self, index: usize) -> bool {
        let own = candidate(&self.machines[index]);
        let known = &self.machines[index].known.candidates;
        if known.is_empty() {
            return false;
        }
        if !known.contains(&own) && self.reaches_store(index) {
            self.store.nodes.insert(own.node.clone(), own);
            self.machines[index].known.unsettled = true;
        }
        true
    }

    fn step(&mut self, index: usize, knows_wishes: bool) -> GroupAction {
        let now = self.start + Duration::from_millis(self.now);
        let machine = &mut self.machines[index];
        let leaving = machine.leaving().filter(|_| knows_wishes);
        let mut keeper = std::mem::replace(
            &mut machine.keeper,
            firshore_node::journal::group_manager::GroupManager::new(machine.terms),
        );
        let step = keeper.step(now, &machine.view(self.start, leaving.as_ref()));
        machine.keeper = keeper;
        step
    }

    fn carry_out_step(&mut self, index: usize, step: GroupAction) {
        let name = self.machines[index].name.clone();
        if step != GroupAction::Idle {
            self.line(format!("{name}: {step:?}"));
        }
        let late = self.random.random_bool(0.05);
        let now = self.now;
        let reaches = self.reaches_store(index);
        let machine = &mut self.machines[index];
        let Some(replica) = &mut machine.replica else {
            return;
        };
        match step {
            GroupAction::Idle | GroupAction::ListLeaving => {}
            GroupAction::StepAside(heir) => {
                let _ = replica.transfer_leadership(heir);
            }
            GroupAction::Record(record) => {
                if machine.known.unsettled || !reaches {
                    return;
                }
                machine.known.unsettled = true;
                let known = machine.known.revision();
                if late {
                    machine.known.doubtful = Some(known);
                    let at = now + self.random.random_range(1_000..6_000);
                    self.store.record_late(at, known, record);
                } else {
                    self.store.record(known, record);
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
        }
        self.settle(index);
    }

    fn report(&mut self, index: usize) {
        let machine = &self.machines[index];
        if !self.reaches_store(index) || !machine.status.leads {
            return;
        }
        let Some(leaving) = machine.leaving() else {
            return;
        };
        let view = machine.view(self.start, Some(&leaving));
        let emptied: Vec<NodeName> = leaving
            .open
            .iter()
            .filter(|node| machine.keeper.is_drained(&view, node))
            .cloned()
            .collect();
        for node in emptied {
            self.store.wishes.insert(node, true);
        }
    }

    // What has to hold.

    fn copies(&self, accepted: &Accepted) -> usize {
        let there = self.machines.iter().filter(|one| one.is_there());
        there.filter(|one| one.disk.holds(accepted)).count()
    }

    /// What was accepted last lies on as many disks as may be lost beside those that are, and one more:
    /// so does all that was accepted before, as a log that holds an entry holds all before it.
    fn check_copies(&self) -> Result<(), Broken> {
        let Some(accepted) = &self.accepted else {
            return Ok(());
        };
        let copies = self.copies(accepted);
        let wanted = self.terms.min_disks - self.losses.len();
        if copies >= wanted {
            return Ok(());
        }
        Err(self.broken(format!(
            "entry {} of term {} is on {copies} disks, {wanted} are wanted",
            accepted.position.index, accepted.position.term
        )))
    }

    /// Once all is calm, a leader holds everything that was accepted, more is accepted where there are
    /// enough disks, and nodes that can be emptied are.
    fn check_recovered(&self) -> Result<(), Broken> {
        let leaders: Vec<&Machine> = self
            .machines
            .iter()
            .filter(|one| one.runs() && one.status.leads)
            .collect();
        let [leader] = leaders[..] else {
            let told: Vec<_> = self
                .machines
                .iter()
                .filter(|one| one.is_there())
                .map(|one| (&one.name, &one.status, &one.known.voters))
                .collect();
            return Err(self.broken(format!("{} leaders after calm: {told:#?}", leaders.len())));
        };
        if let Some(accepted) = &self.accepted
            && (leader.applied < accepted.position.index || !leader.disk.holds(accepted))
        {
            let lacks = accepted.position.index;
            return Err(self.broken(format!("the leader lacks entry {lacks}")));
        }
        self.check_shown(leader)?;
        let there = self.machines.iter().filter(|one| one.is_there());
        let wishes = &self.store.wishes;
        let (leaving, staying): (Vec<&Machine>, Vec<&Machine>) =
            there.partition(|one| wishes.contains_key(&one.name));
        let voters = leader.status.membership.voters().count();
        let enough = leaving.len() + staying.len() >= self.terms.min_disks;
        if enough && !keeps_promises(&leader.status.membership, self.terms.min_disks) {
            return Err(self.broken(format!("{voters} voters after calm, nothing is promised")));
        }
        if staying.len() >= self.terms.target_voters && !leaving.is_empty() {
            return Err(self.broken(format!("{} is not emptied", leaving[0].name)));
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
