//! The seeded online load: Poisson arrivals that burst to three times the mean within a second.

use crate::topology::Topology;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Online load against the topology's, so that the tails have enough samples.
pub(super) const RATE_FACTOR: f64 = 2.0;

/// Time from one burst to the next, in seconds.
const CYCLE_SECONDS: f64 = 7.0;

/// Length of a burst, in seconds.
const BURST_SECONDS: f64 = 1.4;

/// Rate in a burst against the mean.
const BURST_FACTOR: f64 = 3.0;

/// One online request to come.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    pub(super) at: Duration,
    pub(super) caller: usize,
    pub(super) marker: String,
}

/// Rate at `seconds` against the mean; over a cycle its mean is 1.
fn rate_factor(seconds: f64) -> f64 {
    if seconds % CYCLE_SECONDS >= CYCLE_SECONDS - BURST_SECONDS {
        return BURST_FACTOR;
    }
    (CYCLE_SECONDS - BURST_SECONDS * BURST_FACTOR) / (CYCLE_SECONDS - BURST_SECONDS)
}

/// All online requests of one variant, in order of time.
pub(super) fn schedule(topology: &Topology, duration: Duration, seed: u64) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (caller, shape) in topology.callers.iter().enumerate() {
        let mean = shape.requests_per_second * RATE_FACTOR;
        let peak = mean * BURST_FACTOR;
        let mut at = 0.0;
        // Thinning: candidates at the peak rate, kept in proportion to the rate in force.
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / peak;
            if at >= duration.as_secs_f64() {
                break;
            }
            if random.random::<f64>() * BURST_FACTOR < rate_factor(at) {
                arrivals.push(Arrival {
                    at: Duration::from_secs_f64(at),
                    caller,
                    marker: format!("online-{caller}-{}", arrivals.len()),
                });
            }
        }
    }
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}
