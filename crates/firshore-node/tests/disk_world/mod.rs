//! Machines with disks that lose them, are emptied, taken away and replaced while callers go on.

pub mod ledger;

use crate::cluster::{CATCH_UP, Cluster};
use firshore_node::journal::Journal;
use firshore_node::journal::registry::KIND;
use firshore_stand_in::adapter::{CONFIGURATION, RETIREMENTS};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::store::Fault;
use ledger::NodeLedger;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a shared machine may add to any bound.
pub const MARGIN: Duration = Duration::from_millis(1_500);

/// Time in which two disks hold everything again: wide, as the machine that runs this is shared. A group that
/// stays behind needs no clock to show.
pub const WHOLE_WITHIN: Duration = Duration::from_secs(12);

/// Time in which a machine is emptied that others can replace, beyond the margin: others may have to catch
/// up first, and a silent disk to be given up.
const EMPTIED_WITHIN: Duration = Duration::from_secs(20);

/// Time in which a group that was whole accepts a job.
const ACCEPTED_WITHIN: Duration = Duration::from_secs(15);

/// How often machines are looked after.
const TICK: Duration = Duration::from_millis(5);

/// Copies without which a promise is kept by one disk alone.
const LEAST_COPIES: usize = 2;

/// Name of the object in which the voters are recorded.
const VOTERS: &str = "voters.0";

/// A machine that is to come back.
#[derive(Clone, Copy, Debug)]
struct PendingReturn {
    at: Instant,
    machine: usize,
}

/// The machines of a run.
pub struct DiskWorld {
    /// What callers know.
    pub ledger: Rc<NodeLedger>,
    /// What the run draws from.
    pub random: StdRng,
    cluster: Cluster,
    /// Machines that are to be emptied and are there.
    leaving: BTreeSet<usize>,
    /// Machines that were taken away.
    gone: BTreeSet<usize>,
    returns: Vec<PendingReturn>,
    /// Kills of any process that are due, the latest first.
    kills: Vec<Instant>,
    versions: u64,
    backend: Rc<ScriptedBackend>,
    /// Name of the play.
    name: String,
    seed: u64,
    began: Instant,
}

impl DiskWorld {
    /// Starts machines and callers.
    pub async fn start(name: &str, seed: u64) -> Self {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        let mut random = StdRng::seed_from_u64(seed);
        let ledger = Rc::new(NodeLedger::default());
        for _ in 0..2 {
            let (client, known) = (cluster.client.clone(), ledger.clone());
            let random = StdRng::seed_from_u64(random.random());
            actix_rt::spawn(ledger::read_jobs(client, known, random));
        }
        let (client, known) = (cluster.client.clone(), ledger.clone());
        let callers = StdRng::seed_from_u64(random.random());
        actix_rt::spawn(ledger::submit_jobs(client, known, callers));
        // In half of the runs items wait until the end.
        if random.random_bool(0.5) {
            cluster.put_backend(&backend, false);
        }
        let mut world = Self {
            ledger,
            random,
            cluster,
            leaving: BTreeSet::new(),
            gone: BTreeSet::new(),
            returns: Vec::new(),
            kills: Vec::new(),
            versions: 1,
            backend,
            name: name.to_owned(),
            seed,
            began: Instant::now(),
        };
        world.cluster.whole().await;
        // Jobs that are older than any fault.
        world.pass(Duration::from_millis(500)).await;
        world
    }

    /// Tells what happens.
    pub fn tell(&self, text: &str) {
        let (seed, at) = (self.seed, self.began.elapsed());
        let name = &self.name;
        eprintln!("{name} seed {seed}: {at:.2?} {text}");
    }

    /// Returns a drawn time.
    pub fn drawn(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    /// Returns machines that were not taken away, in an order that is drawn.
    pub fn machines(&mut self) -> Vec<usize> {
        let all = 0..self.cluster.nodes.len();
        let mut machines: Vec<usize> = all.filter(|number| !self.gone.contains(number)).collect();
        for idx in (1..machines.len()).rev() {
            machines.swap(idx, self.random.random_range(0..=idx));
        }
        machines
    }

    /// Whether a machine was taken away.
    pub fn is_gone(&self, machine: usize) -> bool {
        self.gone.contains(&machine)
    }

    /// Asks for a machine to be emptied; it goes with its disk as soon as that is done.
    pub fn retire(&mut self, machine: usize) {
        self.tell(&format!("n{machine} is to be emptied"));
        self.cluster
            .store
            .put(RETIREMENTS, &format!("n{machine}"), json!({}));
        self.leaving.insert(machine);
    }

    /// Kills a process, if it runs; the disk stays.
    pub fn kill(&mut self, machine: usize) {
        if self.cluster.nodes[machine].is_some() {
            self.tell(&format!("n{machine} is killed"));
            self.cluster.kill(machine);
        }
    }

    /// Kills a process, if it runs, and empties its folder.
    pub fn lose_disk(&mut self, machine: usize) {
        self.kill(machine);
        self.tell(&format!("n{machine} loses its disk"));
        self.cluster.folders[machine] = tempfile::tempdir().expect("a folder for a disk");
    }

    /// Lets a machine come back `away` from now, unless it is taken away first.
    pub fn bring_back(&mut self, machine: usize, away: Duration) {
        let at = Instant::now() + away;
        self.returns.push(PendingReturn { at, machine });
    }

    /// Draws kills of single processes that overlap, over `span` from now on.
    pub fn draw_kills(&mut self, span: Duration) {
        let count = self.random.random_range(0..4);
        let now = Instant::now();
        for _ in 0..count {
            let at = self.random.random_range(Duration::ZERO..span);
            self.kills.push(now + at);
        }
        self.kills.sort_by_key(|at| std::cmp::Reverse(*at));
    }

    /// Adds a machine with an empty disk.
    pub async fn join(&mut self) {
        let number = self.cluster.nodes.len();
        self.tell(&format!("n{number} joins"));
        self.cluster.add().await;
    }

    /// Lets the store fail, or ends its fault.
    pub fn set_store_fault(&self, fault: Fault) {
        self.tell(&format!("the store: {fault:?}"));
        self.cluster.store.set_fault(fault);
    }

    /// Hands a job in and returns as soon as it is accepted.
    pub async fn submit_now(&mut self) {
        let job = format!("last{}", self.random.random_range(0..u32::MAX));
        let client = self.cluster.client.clone();
        let submitted = ledger::submit(&client, &self.ledger, &job);
        let accepted = tokio::time::timeout(ACCEPTED_WITHIN, submitted).await;
        self.tell(&format!("{job} is accepted: {}", accepted.is_ok()));
        if accepted.is_err() {
            self.tell_groups();
            let text = format!("{job} was not accepted within {ACCEPTED_WITHIN:?}");
            self.ledger.report(text);
        }
    }

    /// Lets time pass, and does what is due meanwhile.
    pub async fn pass(&mut self, span: Duration) {
        let end = Instant::now() + span;
        loop {
            self.tick().await;
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            actix_rt::time::sleep(TICK.min(left)).await;
        }
    }

    /// Lets time pass until a machine was taken away, `limit` at most.
    pub async fn pass_until_gone(&mut self, machine: usize, limit: Duration) {
        let begin = Instant::now();
        while !self.is_gone(machine) && begin.elapsed() < limit {
            self.pass(TICK).await;
        }
    }

    async fn tick(&mut self) {
        self.take_emptied_away();
        let now = Instant::now();
        while self.kills.pop_if(|at| *at <= now).is_some() {
            let machines = self.machines();
            let running = |machine: &&usize| self.cluster.nodes[**machine].is_some();
            if let Some(machine) = machines.iter().find(running).copied() {
                self.kill(machine);
                let away = self.drawn(30..600);
                self.bring_back(machine, away);
            }
        }
        let due: Vec<PendingReturn> = self.returns.extract_if(.., |one| one.at <= now).collect();
        for one in due {
            let runs = self.cluster.nodes[one.machine].is_some();
            if !runs && !self.is_gone(one.machine) {
                self.tell(&format!("n{} starts", one.machine));
                self.cluster.restart(one.machine).await;
            }
        }
    }

    /// A machine goes as soon as it is told that it is emptied, with its disk and for good.
    fn take_emptied_away(&mut self) {
        let leaving = self.leaving.iter().copied();
        let emptied: Vec<usize> = leaving.filter(|number| self.is_done(*number)).collect();
        for machine in emptied {
            self.tell(&format!("n{machine} is done and goes"));
            self.lose_disk(machine);
            self.leaving.remove(&machine);
            self.gone.insert(machine);
        }
    }

    fn is_done(&self, machine: usize) -> bool {
        let object = self
            .cluster
            .store
            .object(RETIREMENTS, &format!("n{machine}"));
        object.is_some_and(|object| object.status == json!("done"))
    }

    /// Writes another version of the configuration.
    pub fn change_configuration(&mut self) {
        self.versions += 1;
        let route = json!({"prefix": "/items/", "service": "s", "repetition": "job",
            "timeout": 30_000 + self.versions, "attempts": 3});
        let spec = json!({"version": self.versions, "routes": [route]});
        self.cluster.store.put(CONFIGURATION, "newest", spec);
    }

    fn leader(&self) -> Option<&Journal> {
        let journals = self
            .cluster
            .nodes
            .iter()
            .flatten()
            .map(|node| &node.journal);
        let mut leaders = journals.filter(|journal| journal.replica.status().leads);
        leaders.next().map(Rc::as_ref)
    }

    /// Returns how many disks of machines that are there hold everything, as the leader knows it.
    fn copies(&self) -> usize {
        let Some(leader) = self.leader() else {
            return 0;
        };
        let status = leader.replica.status();
        let holds = |journal: &Rc<Journal>| {
            let disk = journal.replica.status().disk;
            let current = disk == status.disk || status.caught_up.contains(&disk);
            current && status.membership.is_voter(disk)
        };
        let nodes = self.cluster.nodes.iter().flatten();
        nodes.filter(|node| holds(&node.journal)).count()
    }

    /// Machines that are there.
    fn present(&self) -> usize {
        self.cluster.nodes.iter().flatten().count()
    }

    /// Tells how each node sees its group, and what the store records of it.
    fn tell_groups(&self) {
        for (number, node) in self.cluster.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let status = node.journal.replica.status();
            let (disk, leads, leader, term) =
                (status.disk, status.leads, &status.leader, status.term);
            let (replicas, committed) = (&status.membership, status.membership_committed);
            self.tell(&format!(
                "n{number}: {disk:?} holds log: {}, leads: {leads}, knows {leader:?}, {term:?}, \
                 {replicas:?} committed: {committed}, stopped: {:?}",
                status.holds_log, status.stopped
            ));
        }
        let record = self.cluster.store.object(KIND, VOTERS);
        self.tell(&format!("recorded: {:?}", record.map(|record| record.spec)));
    }

    /// Waits until two disks hold everything; a group of two machines or more that is not so far within
    /// [`WHOLE_WITHIN`] breaks its promise.
    pub async fn wait_until_whole(&mut self, occasion: &str) {
        let (begin, limit) = (Instant::now(), WHOLE_WITHIN);
        while self.present() >= LEAST_COPIES && self.copies() < LEAST_COPIES {
            if begin.elapsed() > limit {
                self.tell(&format!("not whole {limit:?} after {occasion}"));
                self.tell_groups();
                let text = format!("the group was not whole {limit:?} after {occasion}");
                return self.ledger.report(text);
            }
            self.pass(TICK).await;
        }
    }

    /// Lets machines have the time after which another disk may be lost, and holds the group to it.
    pub async fn catch_up(&mut self, occasion: &str) {
        let begin = Instant::now();
        self.wait_until_whole(occasion).await;
        self.pass(CATCH_UP.saturating_sub(begin.elapsed())).await;
    }

    /// Waits until nothing is to be emptied any more, once others can take over.
    pub async fn wait_until_emptied(&mut self) {
        let begin = Instant::now();
        while !self.leaving.is_empty() {
            if begin.elapsed() > EMPTIED_WITHIN + MARGIN {
                let text = format!("{:?} were not emptied in time", self.leaving);
                return self.ledger.report(text);
            }
            self.pass(TICK).await;
        }
    }

    /// Ends all faults, and reads everything that was accepted.
    pub async fn finish(mut self) -> Rc<NodeLedger> {
        self.cluster.store.set_fault(Fault::None);
        self.kills.clear();
        let down = 0..self.cluster.nodes.len();
        for machine in down.filter(|number| self.cluster.nodes[*number].is_none()) {
            self.returns.push(PendingReturn {
                at: Instant::now(),
                machine,
            });
        }
        self.pass(TICK).await;
        self.tell("all faults are over");
        self.cluster.put_backend(&self.backend, false);
        self.ledger.close();
        ledger::read_all(&self.cluster.client, &self.ledger).await;
        for node in self.cluster.nodes.iter_mut() {
            if let Some(node) = node.take() {
                node.kill();
            }
        }
        self.ledger
    }
}
