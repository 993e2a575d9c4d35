//! `firshore-lab simulate`.

use super::faults::Faults;
use super::hollow::fleet::Simulation as HollowSimulation;
use super::hollow::scenario::Scenario;
use super::replication::{Simulation, Tally};
use argh::FromArgs;

/// Simulate state machines under faults, one run a seed; exit 1 if a rule is broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "simulate")]
pub struct Simulate {
    /// what to simulate: replication (a group of the replicated log) or membership (hollow nodes
    /// with membership and configuration)
    #[argh(option, default = "\"replication\".to_owned()")]
    pub what: String,
    /// hollow nodes, where there are any
    #[argh(option, default = "36")]
    pub nodes: usize,
    /// number of seeds to run
    #[argh(option, default = "1000")]
    pub seeds: u64,
    /// first seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// threads
    #[argh(option, default = "2")]
    pub threads: u64,
}

impl Simulate {
    /// Runs it; `Ok(true)` when every rule was kept.
    pub fn run(&self) -> Result<bool, String> {
        match self.what.as_str() {
            "replication" => self.run_replication(),
            "membership" => Ok(self.run_membership()),
            other => Err(format!(
                "No simulation '{other}'. Name replication or membership."
            )),
        }
    }

    fn run_membership(&self) -> bool {
        let mut broken = 0;
        for seed in self.seed..self.seed + self.seeds {
            let outcome = HollowSimulation::new(Scenario::dense(seed, self.nodes)).run();
            let rules = outcome.broken_rules();
            if !rules.is_empty() {
                broken += 1;
                println!("  seed {seed}: {}", rules.join(", "));
            }
        }
        println!("seeds {}  seeds with broken rules {broken}", self.seeds);
        broken == 0
    }

    fn run_replication(&self) -> Result<bool, String> {
        let threads = self.threads.max(1);
        let handles: Vec<_> = (0..threads)
            .map(|thread| {
                let (first, count) = (self.seed, self.seeds);
                std::thread::spawn(move || run_share(first, count, thread, threads))
            })
            .collect();
        let mut total = Tally::default();
        let mut broken = Vec::new();
        for handle in handles {
            let (tally, failures) = handle.join().map_err(|_| "a thread panicked".to_owned())?;
            total.add(&tally);
            broken.extend(failures);
        }
        println!("seeds {}  {total}", self.seeds);
        println!("rules broken {}", broken.len());
        for (seed, reason) in broken.iter().take(10) {
            println!("  seed {seed}: {reason}");
        }
        Ok(broken.is_empty())
    }
}

fn run_share(first: u64, count: u64, thread: u64, threads: u64) -> (Tally, Vec<(u64, String)>) {
    let mut tally = Tally::default();
    let mut broken = Vec::new();
    for seed in (first..first + count).filter(|seed| seed % threads == thread) {
        match Simulation::new(seed, Faults::default()).run() {
            Ok(counted) => tally.add(&counted),
            Err(reason) => broken.push((seed, reason)),
        }
    }
    (tally, broken)
}
