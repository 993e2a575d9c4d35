//! Soak test with random faults: nodes are killed, wiped and restarted, the store fails and back ends misbehave while
//! jobs are submitted. Within the tolerated faults, no accepted job is lost, no position changes its result, and every
//! item gets exactly one result.
//!
//! `FIRSHORE_SOAK_SEEDS` sets the number of seeds, `FIRSHORE_SOAK_FIRST_SEED` the first one (default 1). Without a
//! first seed, seeds that failed before are run too.

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

/// Seeds without `FIRSHORE_SOAK_SEEDS`.
const SEEDS: u64 = 3;

/// Seeds that failed before and are not among the first [`SEEDS`].
const REGRESSION_SEEDS: [u64; 0] = [];

/// Number of steps of one run.
const STEPS: usize = 14;

/// Number of items of a job.
const ITEMS: usize = 4;

/// Number of nodes of the cluster.
const NODES: usize = 3;

/// One step: a submission, a fault or a read.
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

fn random_step(random: &mut StdRng) -> Step {
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

/// A cluster, the accepted jobs and the results shown.
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
                // One disk may be lost at a time, and the next only once all disks hold all entries.
                self.cluster.store.set_fault(Fault::None);
                self.cluster.whole().await;
                self.cluster.wipe(node).await;
                self.cluster.wait_until_voter(node).await;
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
        self.read_random_job().await;
    }

    async fn kill_and_restart(&mut self, node: usize) {
        self.cluster.kill(node);
        // A starting node reads the others' addresses from the store.
        self.cluster.store.set_fault(Fault::None);
        self.cluster.restart(node).await;
    }

    /// Reads a random accepted job from the start, and compares its results with those shown before.
    async fn read_random_job(&mut self) {
        if self.accepted.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.accepted.len());
        let job = self.accepted[index].clone();
        let page = self
            .cluster
            .client
            .results(JobId::of_nobody(job.as_str()), 0, Duration::ZERO);
        let Ok(page) = page.await else {
            return;
        };
        let page = page.unwrap_or_else(|| panic!("{job} was accepted and is lost"));
        for (position, result) in page.results.into_iter().enumerate() {
            let found = (result.item, result.outcome);
            let earlier = self
                .shown
                .entry((job.clone(), position))
                .or_insert_with(|| found.clone());
            assert_eq!(*earlier, found, "{job} position {position}");
        }
    }

    /// Checks that each item of every accepted job gets exactly one result.
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
                if let Some(earlier) = self.shown.get(&(job.clone(), position)) {
                    assert_eq!(earlier, result, "{job} position {position}");
                }
            }
        }
    }
}

fn run_seed(seed: u64) {
    run(async move {
        let mut soak = Soak::start(seed).await;
        let mut steps = vec![Step::Submit];
        steps.extend((1..STEPS).map(|_| random_step(&mut soak.random)));
        for step in steps {
            eprintln!("seed {seed}: {step:?}");
            soak.step(step).await;
        }
        soak.finish().await;
    });
}

#[test]
fn accepted_jobs_survive_random_faults() {
    for seed in seeds(SEEDS, &REGRESSION_SEEDS) {
        eprintln!("seed {seed}");
        run_seed(seed);
    }
}
