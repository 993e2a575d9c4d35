//! Experiments: each measures in one run what it compares, and writes a report.

mod convergence;

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

impl Experiment {
    /// Runs it; `Ok(true)` when every limit is kept.
    pub fn run(&self) -> Result<bool, String> {
        match self.name.as_str() {
            "convergence" => convergence::run(self),
            _ => Err(format!(
                "No experiment '{}'. See docs/REFERENCE.md for their names.",
                self.name
            )),
        }
    }
}
