//! Decisions under load, played without a network: 70 gateways, each with its own picture of the others,
//! before 90 back ends that let wait what they cannot begin.

mod engine;
mod world;

use std::ops::Range;
use std::time::Duration;
use world::{Fate, OBJECTIVE, ROOM, Request, Scene, play};

/// Part of what is let in that must be in time.
const IN_TIME: f64 = 0.95;

/// Part of the room that must be let in while more is asked; of what is asked, while there is room.
const LEAST_SERVED: f64 = 0.8;

/// Part of the room that must be served in time in two seconds after a jump.
const LEAST_IN_JUMP: f64 = 0.6;

/// Part of the objective within which, and a picture, the refused must be told so.
const PROMPT: f64 = 0.2;

const SEEDS: Range<u64> = 1..3;

fn scene(seed: u64, demand: fn(f64) -> f64) -> Scene {
    Scene {
        seed,
        length: Duration::from_secs(5),
        demand,
        cut_off: 0.0,
        left_over: 0,
        back_at_once: 0,
        first_pictures: Duration::ZERO,
    }
}

/// What became of the tries that arrived in a span of seconds.
#[derive(Debug)]
struct Sums {
    /// Callers that came; one that was refused and comes back is the same caller.
    asked: f64,
    let_in: f64,
    in_time: f64,
}

impl Sums {
    fn of(requests: &[Request], span: Range<f64>) -> Self {
        let in_span = |one: &&Request| span.contains(&one.arrived.as_secs_f64());
        let requests: Vec<&Request> = requests.iter().filter(in_span).collect();
        let count = |test: fn(Fate) -> bool| {
            let fitting = requests.iter().filter(|one| test(one.fate));
            fitting.count() as f64
        };
        Self {
            asked: requests.iter().filter(|one| one.is_new()).count() as f64,
            let_in: count(|fate| matches!(fate, Fate::Began(_))),
            in_time: count(|fate| matches!(fate, Fate::Began(age) if age <= OBJECTIVE)),
        }
    }
}

/// Returns what is missed in any scene: everybody hears in the end, and a refusal comes while its caller can
/// still make use of it.
fn misses(requests: &[Request]) -> Vec<String> {
    let of = |one: &Request| match one.fate {
        Fate::Open => Some("a request has no end".to_owned()),
        Fate::Refused(age) if age > OBJECTIVE.mul_f64(PROMPT) + one.picture_interval => {
            Some(format!("refused after {age:?}"))
        }
        _ => None,
    };
    requests.iter().filter_map(of).take(3).collect()
}

/// Adds a miss unless a sum is at least as large as it must be.
fn at_least(misses: &mut Vec<String>, what: &str, sum: f64, least: f64) {
    if sum < least {
        misses.push(format!("{what}: {sum} of at least {least:.0}"));
    }
}

/// Shows what came of a scene.
///
/// # Panics
///
/// If anything was missed.
fn conclude(name: &str, sums: &[Sums], misses: &[String]) {
    println!("{name}: {sums:?}");
    assert!(misses.is_empty(), "{name}: {misses:#?}");
}

fn steady_overload(demand: fn(f64) -> f64) {
    for seed in SEEDS {
        let requests = play(scene(seed, demand));
        let sums = Sums::of(&requests, 2.0..5.0);
        let mut misses = misses(&requests);
        let room = ROOM * 3.0;
        at_least(&mut misses, "in time", sums.in_time, sums.let_in * IN_TIME);
        at_least(&mut misses, "let in", sums.let_in, room * LEAST_SERVED);
        at_least(&mut misses, "room", room, sums.let_in * IN_TIME);
        conclude(&format!("seed {seed}"), &[sums], &misses);
    }
}

#[test]
fn overload_of_half_the_room_lets_in_what_is_in_time() {
    steady_overload(|at| if at < 1.0 { 0.5 } else { 1.5 });
}

#[test]
fn overload_of_three_times_the_room_lets_in_what_is_in_time() {
    steady_overload(|at| if at < 1.0 { 0.5 } else { 3.0 });
}

#[test]
fn overload_of_ten_times_the_room_lets_in_what_is_in_time() {
    steady_overload(|at| if at < 1.0 { 0.5 } else { 10.0 });
}

#[test]
fn a_hot_tenant_in_a_wave_leaves_most_of_the_room_in_time() {
    for seed in SEEDS {
        let mut scene = scene(seed, |at| if (1.0..3.4).contains(&at) { 2.7 } else { 0.4 });
        scene.cut_off = 0.35;
        let requests = play(scene);
        let mut misses = misses(&requests);
        let sums = [1.0, 1.4].map(|from| Sums::of(&requests, from..from + 2.0));
        for sums in &sums {
            let least = ROOM * 2.0 * LEAST_IN_JUMP;
            at_least(&mut misses, "in time", sums.in_time, least);
        }
        conclude(&format!("seed {seed}"), &sums, &misses);
    }
}

#[test]
fn everyone_returns_after_all_gateways_were_lost() {
    for seed in SEEDS {
        let mut scene = scene(seed, |_| 1.0);
        scene.length = Duration::from_secs(3);
        scene.left_over = 10;
        scene.back_at_once = 600;
        scene.first_pictures = Duration::from_millis(500);
        let room = ROOM * 2.0 - scene.left_over_requests();
        let requests = play(scene);
        let mut misses = misses(&requests);
        let sums = Sums::of(&requests, 0.0..2.0);
        at_least(&mut misses, "in time", sums.in_time, room * LEAST_IN_JUMP);
        conclude(&format!("seed {seed}"), &[sums], &misses);
    }
}

#[test]
fn waves_that_fill_the_room_are_served() {
    for seed in SEEDS {
        let mut scene = scene(seed, |at| if at % 6.0 < 2.4 { 1.0 } else { 0.2 });
        scene.length = Duration::from_secs(9);
        let requests = play(scene);
        let mut misses = misses(&requests);
        let sums = [0.4, 2.4, 6.4].map(|from| Sums::of(&requests, from..from + 2.0));
        for sums in &sums {
            at_least(&mut misses, "in time", sums.in_time, sums.let_in * IN_TIME);
            at_least(
                &mut misses,
                "of all",
                sums.in_time,
                sums.asked * LEAST_SERVED,
            );
        }
        conclude(&format!("seed {seed}"), &sums, &misses);
    }
}
