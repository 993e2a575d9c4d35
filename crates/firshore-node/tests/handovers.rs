//! Simulated handovers of items' events, with runs from the beginning at the process that ran before.

mod handover_world;

use handover_world::{HandoverTally, HandoverWorld};

/// Steps of one seed.
const STEPS: usize = 600;

const SEEDS: std::ops::Range<u64> = 0..150;

/// Minimum number of each kind of event in all seeds: a play without them shows nothing.
const MIN_EVENTS: usize = 500;

fn play(is_earlier: bool) {
    let mut all = HandoverTally::default();
    for seed in SEEDS {
        let mut world = HandoverWorld::new(seed, is_earlier);
        world.run(STEPS);
        all.add(&world.tally);
    }
    eprintln!("{all:?}");
    let least = [all.begun_anew, all.taken_over, all.late, all.gaps];
    assert!(least.iter().all(|count| *count >= MIN_EVENTS), "{all:?}");
}

/// An item that began anew at one process was joined of two runs by the nodes that hold its events.
#[test]
fn two_runs_at_one_process_were_joined_by_handovers() {
    play(false);
}

/// The same under a first leader of a version that names no texts.
#[test]
fn two_runs_were_joined_by_handovers_from_a_leader_of_an_earlier_version() {
    play(true);
}
