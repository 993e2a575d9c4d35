//! Experiments: each measures in one run what it compares, and writes a report.

mod colocation;
pub mod configuration_size;
mod convergence;
pub mod durability;
mod failures;
pub mod fleet_size;
pub mod journal;
pub mod limits;
pub mod node_cost;
mod overhead;
pub mod retry_budget;
pub mod routing;

use argh::FromArgs;
use std::path::PathBuf;

/// Run an experiment and write its report; exit 1 if a figure misses its limit.
#[derive(FromArgs)]
#[argh(subcommand, name = "experiment")]
pub struct Experiment {
    /// name of the experiment
    #[argh(positional)]
    pub name: String,
    /// folder for the report
    #[argh(option)]
    pub out: PathBuf,
    /// seed of everything random
    #[argh(option, default = "1")]
    pub seed: u64,
    /// hollow nodes, where the experiment has them
    #[argh(option)]
    pub nodes: Option<usize>,
    /// folder of the topology, where the experiment has one
    #[argh(option)]
    pub topology: Option<PathBuf>,
    /// seconds of load a step, where the experiment has load
    #[argh(option)]
    pub seconds: Option<u64>,
}

/// One experiment that can be run.
pub struct Entry {
    /// Name on the command line.
    pub name: &'static str,
    /// What it measures.
    pub measures: &'static str,
    run: fn(&Experiment) -> Result<bool, String>,
}

/// Every experiment.
pub const ALL: &[Entry] = &[
    Entry {
        name: "colocation",
        measures: "what batch work gets of idle capacity, and what it does to the online tail",
        run: colocation::run,
    },
    Entry {
        name: "configuration-size",
        measures: "memory, bytes and processor time of the configuration as tenants grow",
        run: configuration_size::run,
    },
    Entry {
        name: "convergence",
        measures: "time until a change is in force everywhere, and what control costs a node, with hollow nodes",
        run: convergence::run,
    },
    Entry {
        name: "durability",
        measures: "accepted items kept by real processes with killed leaders, wiped disks and torn files",
        run: durability::run,
    },
    Entry {
        name: "failures",
        measures: "promises kept by real processes under planned stops and failures",
        run: failures::run,
    },
    Entry {
        name: "fleet-size",
        measures: "memory and processor time of one gateway and one relay as the back ends grow",
        run: fleet_size::run,
    },
    Entry {
        name: "journal",
        measures: "rates, bytes on disk for each item and recovery of one journal group",
        run: journal::run,
    },
    Entry {
        name: "node-cost",
        measures: "processor time of one node for each request and each streamed token",
        run: node_cost::run,
    },
    Entry {
        name: "limits",
        measures: "how far limits shared among nodes are missed, and the memory of their tables",
        run: limits::run,
    },
    Entry {
        name: "retry-budget",
        measures: "load on the fleet while a third of the engines fail, in simulated time",
        run: retry_budget::run,
    },
    Entry {
        name: "overhead",
        measures: "time that one node adds to a short and a streamed request, and requests a second it reaches",
        run: overhead::run,
    },
    Entry {
        name: "routing",
        measures: "time to first token and between tokens of four ways to choose an engine, in simulated time",
        run: routing::run,
    },
];

impl Experiment {
    /// Runs it; `Ok(true)` when every limit is kept.
    pub fn run(&self) -> Result<bool, String> {
        let entry = ALL.iter().find(|entry| entry.name == self.name);
        let entry = entry.ok_or_else(|| {
            let names: Vec<&str> = ALL.iter().map(|entry| entry.name).collect();
            format!(
                "No experiment '{}'. Name one of: {}.",
                self.name,
                names.join(", ")
            )
        })?;
        (entry.run)(self)
    }
}
