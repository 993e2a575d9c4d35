//! Many nodes, each with its own plan, with one shared capacity: refused callers retry when there is
//! capacity for them.

mod support;

use firshore_admission::retry::{RetryPlan, RetryRequest, RetryTime};
use std::time::{Duration, Instant};
use support::{CAPACITY, Outcome, RetryPolicy, Scenario, highest_tenth, run, served_fraction};

/// Minimum fraction of the callers with planned capacity that have to be served.
const MIN_SERVED: f64 = 0.9;

/// Maximum number of retries in one tenth of a second, as a multiple of its capacity.
const MAX_IN_TENTH: f64 = 1.5;

/// Time of refusals after which a node knows its capacity, in seconds: until then it cannot plan how
/// many retries fit.
const CAPACITY_KNOWN_AFTER: f64 = 0.5;

/// Mean demand of the waves, in requests per second.
const MEAN: f64 = 838.0;

/// Timeout of callers, and their maximum wait in seconds.
const TIMEOUT: Duration = Duration::from_secs(5);
const MAX_WAIT: f64 = 5.0 / 3.0;

/// Name of a load, and its requests per second over time.
type NamedShape = (&'static str, fn(f64) -> f64);

/// Waves of 2.4 s every six seconds.
fn waves(seconds: f64) -> f64 {
    match seconds % 6.0 {
        within if within < 3.6 => 0.39 * MEAN,
        _ => 1.91 * MEAN,
    }
}

fn jump(seconds: f64) -> f64 {
    match seconds < 4.0 {
        true => 0.5 * CAPACITY,
        false => 1.5 * CAPACITY,
    }
}

/// Two crowds of a fifth of a second each, with little demand otherwise.
fn crowd(seconds: f64) -> f64 {
    match (4.0..4.2).contains(&seconds) || (15.0..15.2).contains(&seconds) {
        true => 9.0 * CAPACITY,
        false => 0.3 * CAPACITY,
    }
}

fn scenario(shape: fn(f64) -> f64, policy: RetryPolicy) -> Scenario {
    Scenario {
        seed: 3,
        nodes: 70,
        length: Duration::from_secs(30),
        shape,
        policy,
    }
}

/// Prints one line of the table in the design pages.
fn print(name: &str, policy: RetryPolicy, outcome: &Outcome) {
    let callers = &outcome.callers;
    println!(
        "{name} {policy:?}: requested {} at once {} refused {} back {} lost {} free {} ({:.3}) tenth {:.2}",
        outcome.requested,
        outcome.served_at_once,
        callers.len(),
        outcome.served_on_retry(),
        outcome.lost(),
        outcome.free().count(),
        served_fraction(outcome.free()),
        highest_tenth(callers.iter()),
    );
}

fn run_policies(name: &str, shape: fn(f64) -> f64) -> [Outcome; 4] {
    let policies = [
        RetryPolicy::Planned,
        RetryPolicy::Spread,
        RetryPolicy::Late,
        RetryPolicy::Constant,
    ];
    policies.map(|policy| {
        let outcome = run(&scenario(shape, policy));
        print(name, policy, &outcome);
        outcome
    })
}

fn assert_planned(outcome: &Outcome) {
    let fraction = served_fraction(outcome.free());
    assert!(fraction >= MIN_SERVED, "{fraction}");
    let has_capacity =
        |one: &&support::RefusedCaller| !matches!(one.retry_time, RetryTime::Beyond(_));
    let highest = highest_tenth(outcome.callers.iter().filter(has_capacity));
    assert!(highest <= MAX_IN_TENTH, "{highest}");
}

#[test]
fn callers_refused_in_a_wave_retry_in_the_trough() {
    let [planned, spread, late, constant] = run_policies("waves", waves);
    assert_planned(&planned);
    for other in [spread, late, constant] {
        assert!(planned.lost() <= other.lost());
        assert!(planned.served_at_once >= other.served_at_once);
    }
    // Once the wave is known, all callers whose maximum wait ends in the trough find capacity there.
    let known = planned.callers.iter().filter(|one| one.refused_at > 18.0);
    let reaching = known.filter(|one| (one.refused_at + MAX_WAIT) % 6.0 < 3.6);
    let fraction = served_fraction(reaching);
    assert!(fraction >= MIN_SERVED, "{fraction}");
}

#[test]
fn plan_loses_fewest_callers_in_high_waves() {
    let [planned, others @ ..] = run_policies("high waves", |at| 1.15 * waves(at));
    assert_planned(&planned);
    for other in others {
        assert!(planned.lost() <= other.lost());
    }
}

#[test]
fn callers_retry_in_the_order_of_refusal() {
    // Few nodes with much demand each, and so a good forecast: remaining disorder is caused by the
    // plan.
    let planned = run(&Scenario {
        nodes: 7,
        ..scenario(waves, RetryPolicy::Planned)
    });
    let known: Vec<_> = planned.free().filter(|one| one.refused_at > 18.0).collect();
    let (mut in_order, mut pairs) = (0, 0);
    for one in &known {
        let later = known.iter().filter(|other| {
            let apart = other.refused_at - one.refused_at;
            other.node == one.node && apart > 0.0 && apart < MAX_WAIT
        });
        for other in later {
            pairs += 1;
            in_order += u32::from(one.retry_at < other.retry_at + 0.1);
        }
    }
    let fraction = f64::from(in_order) / f64::from(pairs);
    println!("in order {fraction:.3} of {pairs}");
    assert!(
        pairs > 1_000 && fraction >= MIN_SERVED,
        "{fraction} of {pairs}"
    );
}

#[test]
fn no_capacity_is_planned_in_a_steady_overload() {
    let shapes: [NamedShape; 3] = [
        ("steady 1.5", |_| 1.5 * CAPACITY),
        ("steady 3", |_| 3.0 * CAPACITY),
        ("steady 10", |_| 10.0 * CAPACITY),
    ];
    for (name, shape) in shapes {
        let [planned, spread, ..] = run_policies(name, shape);
        let free = planned.free().filter(|one| one.refused_at > 2.0).count();
        let refused = planned.callers.len();
        assert!(free as f64 <= 0.02 * refused as f64, "{free} of {refused}");
        let has_capacity = |one: &&support::RefusedCaller| {
            one.refused_at > CAPACITY_KNOWN_AFTER && !matches!(one.retry_time, RetryTime::Beyond(_))
        };
        let highest = highest_tenth(planned.callers.iter().filter(has_capacity));
        assert!(highest <= MAX_IN_TENTH, "{name}: {highest}");
        // No more callers are lost than with retries at random times.
        let all = |outcome: &Outcome| outcome.served_at_once as usize + outcome.served_on_retry();
        assert!(all(&planned) as f64 >= 0.99 * all(&spread) as f64);
    }
}

#[test]
fn lasting_jump_is_not_taken_for_a_wave() {
    let [planned, spread, ..] = run_policies("jump", jump);
    let free = planned.free().filter(|one| one.refused_at > 6.0).count();
    let refused = planned.callers.len();
    assert!(free as f64 <= 0.02 * refused as f64, "{free} of {refused}");
    let all = |outcome: &Outcome| outcome.served_at_once as usize + outcome.served_on_retry();
    assert!(all(&planned) as f64 >= 0.99 * all(&spread) as f64);
}

#[test]
fn retries_of_a_crowd_are_spread() {
    let [planned, spread, _, constant] = run_policies("crowd", crowd);
    assert!(planned.lost() < constant.lost());
    // The capacity of a tenth of a second, as a node cannot know that the crowd will end.
    assert!(planned.lost() as f64 <= spread.lost() as f64 + CAPACITY / 10.0);
    let has_capacity =
        |one: &&support::RefusedCaller| !matches!(one.retry_time, RetryTime::Beyond(_));
    let highest = highest_tenth(planned.callers.iter().filter(has_capacity));
    assert!(highest <= MAX_IN_TENTH, "{highest}");
}

#[test]
fn each_bucket_is_booked_once() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.5);
    let request = RetryRequest {
        time_left: TIMEOUT,
        capacity: Some(20.0),
    };
    // Eight of eighteen per second are free: about thirteen within the maximum wait.
    let retry_times = (0..40).map(|idx| plan.plan(now, &request, |_| 10.0, f64::from(idx) / 40.0));
    let retry_times: Vec<RetryTime> = retry_times.collect();
    let is_free = |one: &&RetryTime| matches!(one, RetryTime::Free(_));
    let free: Vec<Duration> = retry_times
        .iter()
        .filter(is_free)
        .map(RetryTime::wait)
        .collect();
    assert!((11..=14).contains(&free.len()), "{}", free.len());
    assert!(free.is_sorted(), "{free:?}");
    assert!(free.iter().all(|wait| wait.as_secs_f64() <= MAX_WAIT));
    let beyond = retry_times.last().expect("each caller gets a time");
    assert!(matches!(beyond, RetryTime::Beyond(wait) if wait.as_secs_f64() > MAX_WAIT));
}

#[test]
fn retries_are_spread_without_known_capacity() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.0);
    let request = RetryRequest {
        time_left: TIMEOUT,
        capacity: None,
    };
    let waits = (0..100).map(|idx| {
        plan.plan(now, &request, |_| 0.0, f64::from(idx) / 100.0)
            .wait()
    });
    let waits: Vec<f64> = waits.map(|wait| wait.as_secs_f64()).collect();
    let early = waits.iter().filter(|wait| **wait < MAX_WAIT / 2.0).count();
    assert!((40..60).contains(&early), "{early}");
    assert!(waits.iter().all(|wait| (0.05..=MAX_WAIT).contains(wait)));
}

#[test]
fn wait_is_within_the_callers_time_left() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.0);
    let request = RetryRequest {
        time_left: Duration::from_millis(450),
        capacity: Some(100.0),
    };
    let retry_time = plan.plan(now, &request, |_| 10.0, 0.999);
    assert!(
        matches!(retry_time, RetryTime::Free(wait) if wait <= Duration::from_millis(150)),
        "{retry_time:?}"
    );
}
