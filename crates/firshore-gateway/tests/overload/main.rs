//! Admission under overload, simulated without a network: 70 gateways, each with its own view of the others, and 90
//! back ends with bounded queues.

mod engine;
mod world;

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;
use world::{CAPACITY, Knowledge, OBJECTIVE, Outcome, Request, Scenario, simulate};

/// Fraction of the admitted requests that must begin in time.
const MIN_IN_TIME: f64 = 0.95;

/// Fraction of the capacity that must be admitted under overload, or of the demand if it is below the capacity.
const MIN_SERVED: f64 = 0.8;

/// Fraction of the demand that must begin in time in a wave slightly above the capacity, which is 0.95 of it.
const MIN_OF_WAVE: f64 = 0.85;

/// Fraction of the capacity that must be served in time within 2 s after a sudden increase of the demand.
const MIN_AFTER_JUMP: f64 = 0.6;

/// Fraction of the objective within which, plus one view interval, a request must be refused.
const MAX_REFUSAL_DELAY: f64 = 0.2;

/// View intervals, in seconds, in a large fleet or with slow relays.
const LONG_INTERVALS: Range<f64> = 0.015..0.25;

/// View intervals, in seconds, with fast relays.
const SHORT_INTERVALS: Range<f64> = 0.015..0.035;

const SEEDS: Range<u64> = 1..3;

fn scenario(seed: u64, demand: fn(f64) -> f64) -> Scenario {
    Scenario {
        seed,
        length: Duration::from_secs(5),
        demand,
        isolated: 0.0,
        leftover: 0,
        initial_arrivals: 0,
        first_view: Duration::ZERO,
        view_interval: LONG_INTERVALS,
    }
}

/// Numbers of requests that arrived in a time span.
#[derive(Debug)]
struct Sums {
    /// New callers; the retry of a refused caller is not counted again.
    callers: f64,
    admitted: f64,
    in_time: f64,
}

impl Sums {
    fn of(requests: &[Request], span: Range<f64>) -> Self {
        let in_span = |request: &&Request| span.contains(&request.arrived.as_secs_f64());
        let requests: Vec<&Request> = requests.iter().filter(in_span).collect();
        let count = |test: fn(Outcome) -> bool| {
            let matching = requests.iter().filter(|request| test(request.outcome));
            matching.count() as f64
        };
        Self {
            callers: requests.iter().filter(|request| request.is_new()).count() as f64,
            admitted: count(|outcome| matches!(outcome, Outcome::Began(_))),
            in_time: count(|outcome| matches!(outcome, Outcome::Began(age) if age <= OBJECTIVE)),
        }
    }
}

/// Returns the numbers of requests in a time span that began, and of those that were late, by what their gateways knew.
fn by_knowledge(requests: &[Request], span: Range<f64>) -> BTreeMap<Knowledge, (usize, usize)> {
    let mut numbers = BTreeMap::new();
    for request in requests {
        let Outcome::Began(age) = request.outcome else {
            continue;
        };
        if span.contains(&request.arrived.as_secs_f64()) {
            let (began, late): &mut (usize, usize) = numbers.entry(request.knowledge).or_default();
            *began += 1;
            *late += usize::from(age > OBJECTIVE);
        }
    }
    numbers
}

/// Returns up to three requests that got no response or were refused too late.
fn violations(requests: &[Request]) -> Vec<String> {
    let violation = |request: &Request| match request.outcome {
        Outcome::Pending => Some("a request got no response".to_owned()),
        Outcome::Refused(age)
            if age > OBJECTIVE.mul_f64(MAX_REFUSAL_DELAY) + request.view_interval =>
        {
            Some(format!("refused after {age:?}"))
        }
        _ => None,
    };
    requests.iter().filter_map(violation).take(3).collect()
}

/// Adds a violation if `sum` is below `min`.
fn require_at_least(violations: &mut Vec<String>, what: &str, sum: f64, min: f64) {
    if sum < min {
        violations.push(format!("{what}: {sum} of at least {min:.0}"));
    }
}

/// Prints the sums of a scenario.
///
/// # Panics
///
/// Panics if there are violations.
fn conclude(name: &str, sums: &[Sums], violations: &[String]) {
    println!("{name}: {sums:?}");
    assert!(violations.is_empty(), "{name}: {violations:#?}");
}

fn steady_overload(demand: fn(f64) -> f64) {
    for seed in SEEDS {
        let requests = simulate(scenario(seed, demand));
        let sums = Sums::of(&requests, 2.0..5.0);
        let mut violations = violations(&requests);
        println!(
            "seed {seed}, began and late: {:?}",
            by_knowledge(&requests, 2.0..5.0)
        );
        let capacity = CAPACITY * 3.0;
        require_at_least(
            &mut violations,
            "in time",
            sums.in_time,
            sums.admitted * MIN_IN_TIME,
        );
        require_at_least(
            &mut violations,
            "admitted",
            sums.admitted,
            capacity * MIN_SERVED,
        );
        require_at_least(
            &mut violations,
            "capacity",
            capacity,
            sums.admitted * MIN_IN_TIME,
        );
        conclude(&format!("seed {seed}"), &[sums], &violations);
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

/// A small excess of the demand waits at back ends for a short time and still begins in time.
#[test]
fn waves_slightly_above_the_capacity_are_served_with_current_views() {
    for seed in SEEDS {
        let mut scenario = scenario(seed, |at| if at % 6.0 < 2.4 { 1.05 } else { 0.2 });
        scenario.length = Duration::from_secs(9);
        scenario.view_interval = SHORT_INTERVALS;
        let requests = simulate(scenario);
        let mut violations = violations(&requests);
        let sums = [0.4, 6.4].map(|from| Sums::of(&requests, from..from + 2.0));
        for sums in &sums {
            require_at_least(
                &mut violations,
                "of all callers",
                sums.in_time,
                sums.callers * MIN_OF_WAVE,
            );
        }
        conclude(&format!("seed {seed}"), &sums, &violations);
    }
}

#[test]
fn overload_of_three_times_the_capacity_is_admitted_in_time_with_current_views() {
    for seed in SEEDS {
        let mut scenario = scenario(seed, |at| if at < 1.0 { 0.5 } else { 3.0 });
        scenario.view_interval = SHORT_INTERVALS;
        let requests = simulate(scenario);
        let mut violations = violations(&requests);
        let sums = Sums::of(&requests, 2.0..5.0);
        require_at_least(
            &mut violations,
            "in time",
            sums.in_time,
            CAPACITY * 3.0 * MIN_SERVED,
        );
        conclude(&format!("seed {seed}"), &[sums], &violations);
    }
}

#[test]
fn most_of_the_capacity_is_used_in_time_in_a_wave_with_isolated_gateways() {
    for seed in SEEDS {
        let mut scenario = scenario(seed, |at| if (1.0..3.4).contains(&at) { 2.7 } else { 0.4 });
        scenario.isolated = 0.35;
        let requests = simulate(scenario);
        let mut violations = violations(&requests);
        let sums = [1.0, 1.4].map(|from| Sums::of(&requests, from..from + 2.0));
        for sums in &sums {
            let min = CAPACITY * 2.0 * MIN_AFTER_JUMP;
            require_at_least(&mut violations, "in time", sums.in_time, min);
        }
        conclude(&format!("seed {seed}"), &sums, &violations);
    }
}

#[test]
fn callers_are_served_after_all_gateways_restarted() {
    for seed in SEEDS {
        let mut scenario = scenario(seed, |_| 1.0);
        scenario.length = Duration::from_secs(3);
        scenario.leftover = 10;
        scenario.initial_arrivals = 600;
        scenario.first_view = Duration::from_millis(500);
        let capacity = CAPACITY * 2.0 - scenario.leftover_work();
        let requests = simulate(scenario);
        let mut violations = violations(&requests);
        let sums = Sums::of(&requests, 0.0..2.0);
        require_at_least(
            &mut violations,
            "in time",
            sums.in_time,
            capacity * MIN_AFTER_JUMP,
        );
        conclude(&format!("seed {seed}"), &[sums], &violations);
    }
}

#[test]
fn waves_up_to_the_capacity_are_served() {
    for seed in SEEDS {
        let mut scenario = scenario(seed, |at| if at % 6.0 < 2.4 { 1.0 } else { 0.2 });
        scenario.length = Duration::from_secs(9);
        let requests = simulate(scenario);
        let mut violations = violations(&requests);
        let sums = [0.4, 2.4, 6.4].map(|from| Sums::of(&requests, from..from + 2.0));
        for sums in &sums {
            require_at_least(
                &mut violations,
                "in time",
                sums.in_time,
                sums.admitted * MIN_IN_TIME,
            );
            require_at_least(
                &mut violations,
                "of all callers",
                sums.in_time,
                sums.callers * MIN_SERVED,
            );
        }
        conclude(&format!("seed {seed}"), &sums, &violations);
    }
}
