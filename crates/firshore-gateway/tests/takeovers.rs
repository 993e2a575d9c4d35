//! Simulated streams that callers take up at other gateways, while back ends of several software versions come and go,
//! news of them is late, records get lost, and gateways and holders end.

mod takeover_world;

use takeover_world::{Rollout, TakeoverTally, TakeoverWorld};

/// Simulated time of one seed, in milliseconds.
const DURATION_MS: u64 = 100_000;

const SEEDS: std::ops::Range<u64> = 0..3;

/// Versions that stay side by side.
const SLOW: Rollout = Rollout {
    lasts: 12_000,
    longest_life: 40_000,
};

/// Rollouts that end within the life of streams.
const FAST: Rollout = Rollout {
    lasts: 1_000,
    longest_life: 3_000,
};

/// Minimum share of the streams that could go on which do.
const MIN_SHARE: f64 = 0.95;

fn play(rollout: Rollout) -> TakeoverTally {
    let mut all = TakeoverTally::default();
    for seed in SEEDS {
        let mut world = TakeoverWorld::new(seed, rollout);
        world.run(DURATION_MS);
        let tally = &world.tally;
        eprintln!("seed {seed}: {tally:?}");
        assert_eq!(tally.joined, 0, "seed {seed}: two versions in one text");
        all.add(tally);
    }
    all
}

#[test]
fn streams_taken_up_elsewhere_were_joined_or_refused_without_need() {
    let all = play(SLOW);
    assert!(all.eligible > 1_000, "{all:?}");
    let share = all.continued as f64 / all.eligible as f64;
    assert!(share >= MIN_SHARE, "{share}: {all:?}");
}

#[test]
fn streams_taken_up_after_a_rollout_were_joined() {
    let all = play(FAST);
    assert!(all.continued > 1_000, "{all:?}");
}
