//! `firshore-lab simulate`.

use super::faults::Faults;
use super::replication::{Simulation, Tally};
use argh::FromArgs;

/// Simulate the replicated log under faults, one group a seed; exit 1 if a rule is broken.
#[derive(FromArgs)]
#[argh(subcommand, name = "simulate")]
pub struct Simulate {
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
