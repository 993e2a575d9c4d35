//! How long one decision takes at the size of a zone.

use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{EndpointIndex, Locality, Outcome};
use firshore_routing::load::LoadReport;
use firshore_routing::router::Router;
use firshore_types::labels::{Labels, Selector};
use firshore_types::machine::{Machine, MachineState};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Instant;

/// Engines that the decision is among.
pub const ENGINES: usize = 250;

const DECISIONS: u64 = 200_000;

const PROMPT_BLOCKS: u64 = 64;

const PROMPTS: u64 = 2_000;

/// Requests left running while decisions are timed.
const RUNNING: usize = 2_000;

/// Time of one decision in nanoseconds.
pub struct DecisionTime {
    /// Mean.
    pub mean: f64,
    /// 99th percentile.
    pub p99: u64,
}

fn machine(number: usize) -> Machine {
    Machine {
        name: format!("engine-{number}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        region: "region".into(),
        zone: "zone".into(),
        labels: Labels::from_pairs([("pool", "engines"), ("model", "a")]),
        state: MachineState::Live,
    }
}

/// Times decisions at [`ENGINES`] engines with prompts that share prefixes.
pub fn measure(seed: u64) -> DecisionTime {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let machines: Vec<Machine> = (0..ENGINES).map(machine).collect();
    let mut router = Router::new(Locality {
        region: "region".into(),
        zone: "zone".into(),
    });
    router.update(0, &machines);
    let selectors = [
        Selector::matching([("pool", "engines")]),
        Selector::matching([("model", "a")]),
    ];
    let selectors: Vec<&Selector> = selectors.iter().collect();
    let mut times = Histogram::<u64>::new(3).expect("three digits are valid");
    let mut running = std::collections::VecDeque::new();
    let mut blocks = vec![0; PROMPT_BLOCKS as usize];
    for decision in 0..DECISIONS {
        let prompt = random.random_range(0..PROMPTS);
        for (place, block) in blocks.iter_mut().enumerate() {
            *block = (prompt << 16 | place as u64).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        }
        let now = decision / 4;
        let features = RequestFeatures {
            prompt_tokens: 1_100,
            blocks: &blocks,
            tried: &[],
        };
        let start = Instant::now();
        let sent = router.choose(now, &selectors, features, &mut random);
        times.saturating_record(start.elapsed().as_nanos() as u64);
        running.extend(sent);
        if running.len() > RUNNING {
            let mut sent = running.pop_front().expect("it is not empty");
            router.record_first_token(now, &mut sent);
            router.record_end(now, &sent, Outcome::Completed);
        }
        let engine = EndpointIndex(random.random_range(0..ENGINES as u16));
        let report = LoadReport {
            running: random.random_range(0..16),
            waiting: 0,
            slots: 16,
        };
        router.record_report(engine, now, report);
    }
    DecisionTime {
        mean: times.mean(),
        p99: times.value_at_quantile(0.99),
    }
}
