//! A cluster whose machines lose their disks, are retired, removed and replaced while clients submit and read jobs.

pub mod ledger;

use crate::cluster::{CATCH_UP, Cluster};
use firshore_node::journal::Journal;
use firshore_node::journal::registry::KIND;
use firshore_stand_in::adapter::{CONFIGURATION, RETIREMENTS};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::store::Fault;
use ledger::ClientLedger;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Scheduling delay that a shared test machine may add to any limit.
pub const SCHEDULING_MARGIN: Duration = Duration::from_millis(1_500);

/// Time in which two disks must hold all entries again; long enough for a shared test machine.
pub const REPLICATION_LIMIT: Duration = Duration::from_secs(12);

/// Time in which a machine must be drained once others can replace it, without the margin. Others may have to catch up
/// first, and an unresponsive disk may have to be excluded.
const DRAIN_LIMIT: Duration = Duration::from_secs(20);

/// Time in which a fully replicated group must accept a job.
const ACCEPT_LIMIT: Duration = Duration::from_secs(15);

/// Interval at which due kills, restarts and removals are carried out.
const TICK: Duration = Duration::from_millis(5);

/// Number of disks that must hold all entries.
const MIN_COPIES: usize = 2;

/// Name of the object that records the voters.
const VOTERS_OBJECT: &str = "voters.0";

/// A scheduled restart of a machine.
#[derive(Clone, Copy, Debug)]
struct PendingRestart {
    at: Instant,
    machine: usize,
}

/// Machines, clients and scheduled faults of a run.
pub struct DiskWorld {
    /// Accepted jobs and the results shown to clients.
    pub ledger: Rc<ClientLedger>,
    /// Source of the run's random choices.
    pub random: StdRng,
    cluster: Cluster,
    /// Machines that are being retired.
    retiring: BTreeSet<usize>,
    /// Machines that were removed.
    removed: BTreeSet<usize>,
    restarts: Vec<PendingRestart>,
    /// Times of scheduled kills of random processes, the latest first.
    kills: Vec<Instant>,
    versions: u64,
    backend: Rc<ScriptedBackend>,
    /// Name of the scenario.
    name: String,
    seed: u64,
    started: Instant,
}

impl DiskWorld {
    /// Starts machines and clients, and waits until the cluster is fully replicated.
    pub async fn start(name: &str, seed: u64) -> Self {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        let mut random = StdRng::seed_from_u64(seed);
        let ledger = Rc::new(ClientLedger::default());
        for _ in 0..2 {
            let (client, shared) = (cluster.client.clone(), ledger.clone());
            let random = StdRng::seed_from_u64(random.random());
            actix_rt::spawn(ledger::read_jobs(client, shared, random));
        }
        let (client, shared) = (cluster.client.clone(), ledger.clone());
        let client_random = StdRng::seed_from_u64(random.random());
        actix_rt::spawn(ledger::submit_jobs(client, shared, client_random));
        // In half of the runs, items have no back end until the end.
        if random.random_bool(0.5) {
            cluster.put_backend(&backend, false);
        }
        let mut world = Self {
            ledger,
            random,
            cluster,
            retiring: BTreeSet::new(),
            removed: BTreeSet::new(),
            restarts: Vec::new(),
            kills: Vec::new(),
            versions: 1,
            backend,
            name: name.to_owned(),
            seed,
            started: Instant::now(),
        };
        world.cluster.whole().await;
        // Some jobs are accepted before the first fault.
        world.run_for(Duration::from_millis(500)).await;
        world
    }

    /// Prints an event of the run, with its time.
    pub fn log_event(&self, text: &str) {
        let (seed, at) = (self.seed, self.started.elapsed());
        let name = &self.name;
        eprintln!("{name} seed {seed}: {at:.2?} {text}");
    }

    /// Returns a random duration within a range of milliseconds.
    pub fn random_duration(&mut self, milliseconds: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(milliseconds))
    }

    /// Returns the machines that were not removed, in random order.
    pub fn machines(&mut self) -> Vec<usize> {
        let all = 0..self.cluster.nodes.len();
        let mut machines: Vec<usize> = all
            .filter(|number| !self.removed.contains(number))
            .collect();
        for idx in (1..machines.len()).rev() {
            machines.swap(idx, self.random.random_range(0..=idx));
        }
        machines
    }

    /// Returns whether a machine was removed.
    pub fn is_removed(&self, machine: usize) -> bool {
        self.removed.contains(&machine)
    }

    /// Requests a machine's retirement; it is removed with its disk once it is reported as drained.
    pub fn retire(&mut self, machine: usize) {
        self.log_event(&format!("n{machine} is being retired"));
        self.cluster
            .store
            .put(RETIREMENTS, &format!("n{machine}"), json!({}));
        self.retiring.insert(machine);
    }

    /// Kills a machine's process, if it runs; the disk stays.
    pub fn kill(&mut self, machine: usize) {
        if self.cluster.nodes[machine].is_some() {
            self.log_event(&format!("n{machine} is killed"));
            self.cluster.kill(machine);
        }
    }

    /// Kills a machine's process, if it runs, and replaces its disk by an empty one.
    pub fn lose_disk(&mut self, machine: usize) {
        self.kill(machine);
        self.log_event(&format!("n{machine} loses its disk"));
        self.cluster.folders[machine] = tempfile::tempdir().expect("creates a folder for a disk");
    }

    /// Schedules the restart of a machine after `downtime`, unless it is removed before.
    pub fn schedule_restart(&mut self, machine: usize, downtime: Duration) {
        let at = Instant::now() + downtime;
        self.restarts.push(PendingRestart { at, machine });
    }

    /// Schedules up to three kills of random processes within `span`; their downtimes may overlap.
    pub fn schedule_kills(&mut self, span: Duration) {
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
        self.log_event(&format!("n{number} joins"));
        self.cluster.add().await;
    }

    /// Sets the store's fault, or ends it.
    pub fn set_store_fault(&self, fault: Fault) {
        self.log_event(&format!("store fault: {fault:?}"));
        self.cluster.store.set_fault(fault);
    }

    /// Submits a job and returns as soon as it is accepted; reports a violation if that takes too long.
    pub async fn submit_now(&mut self) {
        let job = format!("last{}", self.random.random_range(0..u32::MAX));
        let client = self.cluster.client.clone();
        let submitted = ledger::submit(&client, &self.ledger, &job);
        let accepted = tokio::time::timeout(ACCEPT_LIMIT, submitted).await;
        self.log_event(&format!("{job} was accepted: {}", accepted.is_ok()));
        if accepted.is_err() {
            self.log_groups();
            let text = format!("{job} was not accepted within {ACCEPT_LIMIT:?}");
            self.ledger.report(text);
        }
    }

    /// Runs for `span`, and carries out the actions that become due.
    pub async fn run_for(&mut self, span: Duration) {
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

    /// Runs until a machine is removed, but at most for `limit`.
    pub async fn run_until_removed(&mut self, machine: usize, limit: Duration) {
        let started = Instant::now();
        while !self.is_removed(machine) && started.elapsed() < limit {
            self.run_for(TICK).await;
        }
    }

    async fn tick(&mut self) {
        self.remove_drained();
        let now = Instant::now();
        while self.kills.pop_if(|at| *at <= now).is_some() {
            let machines = self.machines();
            let running = |machine: &&usize| self.cluster.nodes[**machine].is_some();
            if let Some(machine) = machines.iter().find(running).copied() {
                self.kill(machine);
                let downtime = self.random_duration(30..600);
                self.schedule_restart(machine, downtime);
            }
        }
        let due: Vec<PendingRestart> = self
            .restarts
            .extract_if(.., |restart| restart.at <= now)
            .collect();
        for restart in due {
            let is_running = self.cluster.nodes[restart.machine].is_some();
            if !is_running && !self.is_removed(restart.machine) {
                self.log_event(&format!("n{} starts", restart.machine));
                self.cluster.restart(restart.machine).await;
            }
        }
    }

    /// Removes machines permanently, with their disks, as soon as they are reported as drained.
    fn remove_drained(&mut self) {
        let retiring = self.retiring.iter().copied();
        let drained: Vec<usize> = retiring.filter(|number| self.is_drained(*number)).collect();
        for machine in drained {
            self.log_event(&format!("n{machine} is drained and removed"));
            self.lose_disk(machine);
            self.retiring.remove(&machine);
            self.removed.insert(machine);
        }
    }

    fn is_drained(&self, machine: usize) -> bool {
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

    /// Returns the number of running voters that hold all entries, according to the leader.
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

    /// Returns the number of running machines.
    fn running_machines(&self) -> usize {
        self.cluster.nodes.iter().flatten().count()
    }

    /// Prints each node's status of the group, and the voters recorded in the store.
    fn log_groups(&self) {
        for (number, node) in self.cluster.nodes.iter().enumerate() {
            let Some(node) = node else { continue };
            let status = node.journal.replica.status();
            let (disk, leads, leader, term) =
                (status.disk, status.leads, &status.leader, status.term);
            let (replicas, committed) = (&status.membership, status.membership_committed);
            self.log_event(&format!(
                "n{number}: {disk:?} holds log: {}, leads: {leads}, leader: {leader:?}, term: {term:?}, \
                 {replicas:?} committed: {committed}, stopped: {:?}",
                status.holds_log, status.stopped
            ));
        }
        let record = self.cluster.store.object(KIND, VOTERS_OBJECT);
        self.log_event(&format!("recorded: {:?}", record.map(|record| record.spec)));
    }

    /// Waits until two disks hold all entries. Reports a violation if a group of two or more machines doesn't get there
    /// within [`REPLICATION_LIMIT`].
    pub async fn wait_until_replicated(&mut self, occasion: &str) {
        let (started, limit) = (Instant::now(), REPLICATION_LIMIT);
        while self.running_machines() >= MIN_COPIES && self.copies() < MIN_COPIES {
            if started.elapsed() > limit {
                self.log_event(&format!("not fully replicated {limit:?} after {occasion}"));
                self.log_groups();
                let text = format!("the group was not fully replicated {limit:?} after {occasion}");
                return self.ledger.report(text);
            }
            self.run_for(TICK).await;
        }
    }

    /// Runs for the catch-up time after which another disk may be lost, and checks that two disks hold all entries.
    pub async fn catch_up(&mut self, occasion: &str) {
        let started = Instant::now();
        self.wait_until_replicated(occasion).await;
        self.run_for(CATCH_UP.saturating_sub(started.elapsed()))
            .await;
    }

    /// Waits until all retiring machines are drained and removed; reports a violation if that takes too long.
    pub async fn wait_until_drained(&mut self) {
        let started = Instant::now();
        while !self.retiring.is_empty() {
            if started.elapsed() > DRAIN_LIMIT + SCHEDULING_MARGIN {
                let text = format!("{:?} were not drained in time", self.retiring);
                return self.ledger.report(text);
            }
            self.run_for(TICK).await;
        }
    }

    /// Ends all faults, reads all accepted jobs and stops the nodes.
    pub async fn finish(mut self) -> Rc<ClientLedger> {
        self.cluster.store.set_fault(Fault::None);
        self.kills.clear();
        let down = 0..self.cluster.nodes.len();
        for machine in down.filter(|number| self.cluster.nodes[*number].is_none()) {
            self.restarts.push(PendingRestart {
                at: Instant::now(),
                machine,
            });
        }
        self.run_for(TICK).await;
        self.log_event("all faults are over");
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
