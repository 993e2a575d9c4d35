//! A soak with random faults: jobs are handed in while nodes are killed, wiped and started again, the
//! store fails and back ends misbehave. Whatever happens within what the cluster tolerates, nothing
//! accepted is lost, no position changes what it showed, and every item has one result in the end.
//!
//! Each seed is one run; `FIRSHORE_SOAK_SEEDS` sets how many are played, from seed 1 or
//! `FIRSHORE_SOAK_FIRST_SEED` on. Without a first seed, those that failed once are played too.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::{ItemOutcome, JobId};
use firshore_gateway::gateway::JobService;
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::soak_seeds::seeds;
use firshore_stand_in::store::Fault;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Runs without `FIRSHORE_SOAK_SEEDS`.
const SEEDS: u64 = 3;

/// Seeds that failed once and are not among the first [`SEEDS`]: seeds 1 and 2 failed and are.
const FAILED_SEEDS: [u64; 0] = [];

/// Faults and jobs of one run.
const STEPS: usize = 14;

/// Items of a job.
const ITEMS: usize = 4;

/// Nodes of the cluster.
const NODES: usize = 3;

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Step {
    Submit,
    Kill,
    KillLeader,
    Wipe,
    KillAll,
    StoreFault(Fault),
    SpoiledBackend,
    Read,
}

fn draw(random: &mut StdRng) -> Step {
    match random.random_range(0..12) {
        0..=3 => Step::Submit,
        4 => Step::Kill,
        5 => Step::KillLeader,
        6 => Step::Wipe,
        7 => Step::KillAll,
        8 => Step::StoreFault(Fault::Refuses),
        9 => Step::StoreFault(Fault::LosesAnswers),
        10 => Step::SpoiledBackend,
        _ => Step::Read,
    }
}

/// What the soak knows of what it was promised and shown.
struct Soak {
    cluster: Cluster,
    random: StdRng,
    accepted: Vec<String>,
    shown: BTreeMap<(String, usize), (String, ItemOutcome)>,
    backends: Vec<Rc<ScriptedBackend>>,
}

impl Soak {
    async fn start(seed: u64) -> Self {
        let cluster = Cluster::start().await;
        cluster.configure();
        let mut soak = Self {
            cluster,
            random: StdRng::seed_from_u64(seed),
            accepted: Vec::new(),
            shown: BTreeMap::new(),
            backends: Vec::new(),
        };
        soak.add_backend(&[]).await;
        soak
    }

    async fn add_backend(&mut self, script: &[Play]) {
        let name = format!("b{}", self.backends.len());
        let backend = ScriptedBackend::start(&name, script, Play::Events).await;
        self.cluster.put_backend(&backend, false);
        self.backends.push(backend);
    }

    async fn step(&mut self, step: Step) {
        let node = self.random.random_range(0..NODES);
        match step {
            Step::Submit => {
                let job = format!("job{}", self.accepted.len());
                self.cluster.submit(&job, ITEMS).await;
                self.accepted.push(job);
            }
            Step::Kill => self.kill_and_restart(node).await,
            Step::KillLeader => {
                let leader = self.cluster.leader().await;
                self.kill_and_restart(leader).await;
            }
            Step::Wipe => {
                // One disk may be lost at a time, and the next only once all hold everything.
                self.cluster.store.set_fault(Fault::None);
                self.cluster.whole().await;
                self.cluster.wipe(node).await;
                self.cluster.votes(node).await;
                self.cluster.whole().await;
            }
            Step::KillAll => {
                (0..NODES).for_each(|node| self.cluster.kill(node));
                self.cluster.store.set_fault(Fault::None);
                for node in 0..NODES {
                    self.cluster.restart(node).await;
                }
            }
            Step::StoreFault(fault) => self.cluster.store.set_fault(fault),
            Step::SpoiledBackend => {
                let script = [Play::Breaks(1), Play::NotRun, Play::Fails, Play::Garbage];
                self.add_backend(&script).await;
            }
            Step::Read => {}
        }
        self.read_some().await;
    }

    async fn kill_and_restart(&mut self, node: usize) {
        self.cluster.kill(node);
        // A node that starts asks the store where the others are.
        self.cluster.store.set_fault(Fault::None);
        self.cluster.restart(node).await;
    }

    /// Reads a job from the start, and compares with what was shown before.
    async fn read_some(&mut self) {
        if self.accepted.is_empty() {
            return;
        }
        let drawn = self.random.random_range(0..self.accepted.len());
        let job = self.accepted[drawn].clone();
        let page = self
            .cluster
            .client
            .results(JobId::of_nobody(job.as_str()), 0, Duration::ZERO);
        let Ok(page) = page.await else {
            return;
        };
        let page = page.unwrap_or_else(|| panic!("{job} was accepted and is gone"));
        for (position, result) in page.results.into_iter().enumerate() {
            let found = (result.item, result.outcome);
            let before = self
                .shown
                .entry((job.clone(), position))
                .or_insert_with(|| found.clone());
            assert_eq!(*before, found, "{job} position {position}");
        }
    }

    /// Everything accepted comes to its end, each item once.
    async fn finish(mut self) {
        self.cluster.store.set_fault(Fault::None);
        self.add_backend(&[]).await;
        for job in &self.accepted {
            let results = self.cluster.results(job, ITEMS).await;
            let items: BTreeSet<&String> = results.iter().map(|(item, _)| item).collect();
            assert_eq!((results.len(), items.len()), (ITEMS, ITEMS), "{job}");
            for (position, result) in results.iter().enumerate() {
                let (item, outcome) = result;
                assert_eq!(*outcome, whole(), "{job} {item}");
                if let Some(before) = self.shown.get(&(job.clone(), position)) {
                    assert_eq!(before, result, "{job} position {position}");
                }
            }
        }
    }
}

fn play(seed: u64) {
    run(async move {
        let mut soak = Soak::start(seed).await;
        let mut steps = vec![Step::Submit];
        steps.extend((1..STEPS).map(|_| draw(&mut soak.random)));
        for step in steps {
            eprintln!("seed {seed}: {step:?}");
            soak.step(step).await;
        }
        soak.finish().await;
    });
}

#[test]
fn nothing_accepted_is_lost_whatever_fails() {
    for seed in seeds(SEEDS, &FAILED_SEEDS) {
        eprintln!("seed {seed}");
        play(seed);
    }
}
