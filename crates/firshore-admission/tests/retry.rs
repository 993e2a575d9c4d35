//! Refused callers come back when there is room for them: many nodes, each with its own plan, before one
//! shared room.

mod support;

use firshore_admission::retry::{RetryPlan, RetryRequest, RetryTime};
use std::time::{Duration, Instant};
use support::{Played, ROOM, ReturnWay, Scene, highest_tenth, play, served_part};

/// Part of those told that there is room who have to find it.
const LEAST_SERVED: f64 = 0.9;

/// Most that may be told to come back in one tenth of a second, in times of its room.
const MOST_IN_TENTH: f64 = 1.5;

/// Time of refusals after which a node knows its room, in seconds: until then nothing tells how many are
/// too many to come back.
const ROOM_KNOWN_AFTER: f64 = 0.5;

/// Mean demand of the waves.
const MEAN: f64 = 838.0;

/// Time that callers have, and the longest wait that one can spend.
const TIME: Duration = Duration::from_secs(5);
const REACH: f64 = 5.0 / 3.0;

/// A load's name, and requests a second at a moment.
type NamedShape = (&'static str, fn(f64) -> f64);

/// Waves of 2.4 s in each six seconds.
fn waves(seconds: f64) -> f64 {
    match seconds % 6.0 {
        within if within < 3.6 => 0.39 * MEAN,
        _ => 1.91 * MEAN,
    }
}

fn jump(seconds: f64) -> f64 {
    match seconds < 4.0 {
        true => 0.5 * ROOM,
        false => 1.5 * ROOM,
    }
}

/// Everyone at once, for a fifth of a second, twice in an otherwise calm time.
fn crowd(seconds: f64) -> f64 {
    match (4.0..4.2).contains(&seconds) || (15.0..15.2).contains(&seconds) {
        true => 9.0 * ROOM,
        false => 0.3 * ROOM,
    }
}

fn scene(shape: fn(f64) -> f64, way: ReturnWay) -> Scene {
    Scene {
        seed: 3,
        nodes: 70,
        length: Duration::from_secs(30),
        shape,
        way,
    }
}

/// Prints a line of the table in the design pages.
fn print(name: &str, way: ReturnWay, played: &Played) {
    let callers = &played.callers;
    println!(
        "{name} {way:?}: asked {} at once {} refused {} back {} lost {} free {} ({:.3}) tenth {:.2}",
        played.asked,
        played.served_at_once,
        callers.len(),
        played.served_back(),
        played.lost(),
        played.free().count(),
        served_part(played.free()),
        highest_tenth(callers.iter()),
    );
}

fn play_ways(name: &str, shape: fn(f64) -> f64) -> [Played; 4] {
    let ways = [
        ReturnWay::Planned,
        ReturnWay::Spread,
        ReturnWay::Late,
        ReturnWay::Constant,
    ];
    ways.map(|way| {
        let played = play(&scene(shape, way));
        print(name, way, &played);
        played
    })
}

fn assert_planned(played: &Played) {
    let part = served_part(played.free());
    assert!(part >= LEAST_SERVED, "{part}");
    let is_told = |one: &&support::RefusedCaller| !matches!(one.told, RetryTime::Beyond(_));
    let highest = highest_tenth(played.callers.iter().filter(is_told));
    assert!(highest <= MOST_IN_TENTH, "{highest}");
}

#[test]
fn those_refused_in_a_wave_come_back_into_the_trough() {
    let [planned, spread, late, constant] = play_ways("waves", waves);
    assert_planned(&planned);
    for other in [spread, late, constant] {
        assert!(planned.lost() <= other.lost());
        assert!(planned.served_at_once >= other.served_at_once);
    }
    // Once the wave is known, all whose reach ends in the trough find room there.
    let known = planned.callers.iter().filter(|one| one.refused_at > 18.0);
    let reaching = known.filter(|one| (one.refused_at + REACH) % 6.0 < 3.6);
    let part = served_part(reaching);
    assert!(part >= LEAST_SERVED, "{part}");
}

#[test]
fn waves_that_hardly_fit_lose_fewer() {
    let [planned, others @ ..] = play_ways("high waves", |at| 1.15 * waves(at));
    assert_planned(&planned);
    for other in others {
        assert!(planned.lost() <= other.lost());
    }
}

#[test]
fn who_was_refused_earlier_comes_back_earlier() {
    // Few nodes, each asked so much that its forecast is good: what is left of disorder is the plan's.
    let planned = play(&Scene {
        nodes: 7,
        ..scene(waves, ReturnWay::Planned)
    });
    let known: Vec<_> = planned.free().filter(|one| one.refused_at > 18.0).collect();
    let (mut in_order, mut pairs) = (0, 0);
    for one in &known {
        let later = known.iter().filter(|other| {
            let apart = other.refused_at - one.refused_at;
            other.node == one.node && apart > 0.0 && apart < REACH
        });
        for other in later {
            pairs += 1;
            in_order += u32::from(one.back_at < other.back_at + 0.1);
        }
    }
    let part = f64::from(in_order) / f64::from(pairs);
    println!("in order {part:.3} of {pairs}");
    assert!(pairs > 1_000 && part >= LEAST_SERVED, "{part} of {pairs}");
}

#[test]
fn a_steady_overload_promises_nobody_room() {
    let shapes: [NamedShape; 3] = [
        ("steady 1.5", |_| 1.5 * ROOM),
        ("steady 3", |_| 3.0 * ROOM),
        ("steady 10", |_| 10.0 * ROOM),
    ];
    for (name, shape) in shapes {
        let [planned, spread, ..] = play_ways(name, shape);
        let free = planned.free().filter(|one| one.refused_at > 2.0).count();
        let refused = planned.callers.len();
        assert!(free as f64 <= 0.02 * refused as f64, "{free} of {refused}");
        let is_told = |one: &&support::RefusedCaller| {
            one.refused_at > ROOM_KNOWN_AFTER && !matches!(one.told, RetryTime::Beyond(_))
        };
        let highest = highest_tenth(planned.callers.iter().filter(is_told));
        assert!(highest <= MOST_IN_TENTH, "{name}: {highest}");
        // No more are lost than where they come back at any time.
        let all = |played: &Played| played.served_at_once as usize + played.served_back();
        assert!(all(&planned) as f64 >= 0.99 * all(&spread) as f64);
    }
}

#[test]
fn a_jump_that_lasts_is_not_taken_for_a_wave() {
    let [planned, spread, ..] = play_ways("jump", jump);
    let free = planned.free().filter(|one| one.refused_at > 6.0).count();
    let refused = planned.callers.len();
    assert!(free as f64 <= 0.02 * refused as f64, "{free} of {refused}");
    let all = |played: &Played| played.served_at_once as usize + played.served_back();
    assert!(all(&planned) as f64 >= 0.99 * all(&spread) as f64);
}

#[test]
fn a_crowd_is_not_told_the_same_moment() {
    let [planned, spread, _, constant] = play_ways("crowd", crowd);
    assert!(planned.lost() < constant.lost());
    // A tenth of a second of the room: nobody could tell that the crowd would not go on.
    assert!(planned.lost() as f64 <= spread.lost() as f64 + ROOM / 10.0);
    let is_told = |one: &&support::RefusedCaller| !matches!(one.told, RetryTime::Beyond(_));
    let highest = highest_tenth(planned.callers.iter().filter(is_told));
    assert!(highest <= MOST_IN_TENTH, "{highest}");
}

#[test]
fn a_plan_gives_each_bucket_away_once() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.5);
    let ask = RetryRequest {
        time_left: TIME,
        capacity: Some(20.0),
    };
    // Eight of eighteen a second are free: about thirteen within the reach.
    let told = (0..40).map(|idx| plan.plan(now, &ask, |_| 10.0, f64::from(idx) / 40.0));
    let told: Vec<RetryTime> = told.collect();
    let is_free = |one: &&RetryTime| matches!(one, RetryTime::Free(_));
    let free: Vec<Duration> = told.iter().filter(is_free).map(RetryTime::wait).collect();
    assert!((11..=14).contains(&free.len()), "{}", free.len());
    assert!(free.is_sorted(), "{free:?}");
    assert!(free.iter().all(|wait| wait.as_secs_f64() <= REACH));
    let beyond = told.last().expect("all are told");
    assert!(matches!(beyond, RetryTime::Beyond(wait) if wait.as_secs_f64() > REACH));
}

#[test]
fn without_anything_known_callers_are_spread() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.0);
    let ask = RetryRequest {
        time_left: TIME,
        capacity: None,
    };
    let waits = (0..100).map(|idx| plan.plan(now, &ask, |_| 0.0, f64::from(idx) / 100.0).wait());
    let waits: Vec<f64> = waits.map(|wait| wait.as_secs_f64()).collect();
    let early = waits.iter().filter(|wait| **wait < REACH / 2.0).count();
    assert!((40..60).contains(&early), "{early}");
    assert!(waits.iter().all(|wait| (0.05..=REACH).contains(wait)));
}

#[test]
fn a_caller_with_little_time_is_told_no_more_than_it_can_spend() {
    let now = Instant::now();
    let mut plan = RetryPlan::new(now, 0.0);
    let ask = RetryRequest {
        time_left: Duration::from_millis(450),
        capacity: Some(100.0),
    };
    let told = plan.plan(now, &ask, |_| 10.0, 0.999);
    assert!(
        matches!(told, RetryTime::Free(wait) if wait <= Duration::from_millis(150)),
        "{told:?}"
    );
}
