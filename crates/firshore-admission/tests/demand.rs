//! What a node makes of the requests it has seen: waves, jumps, and nothing but chance.

use firshore_admission::demand::{ArrivalKind, BUCKET, DemandHistory};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// How far a period may be off, in seconds: a fifth of the longest time that a caller with five seconds
/// left can wait.
const OFF_PERIOD: f64 = 0.33;

/// A load's name, and requests a second at a moment.
type NamedShape<'a> = (&'static str, &'a dyn Fn(f64) -> f64);

/// Part of all looks in which a period may be seen where there is none: a forecast by it is as good as any
/// there, and one caller in a hundred may be told worse than the rest.
const MOST_FALSE: f64 = 0.01;

/// A history of callers that come by chance, `shape` a second.
fn history(seed: u64, seconds: u32, shape: impl Fn(f64) -> f64) -> (DemandHistory, Instant) {
    watched(seed, seconds, shape, |_| {})
}

/// The same, and the period that is seen at each half second.
fn watched(
    seed: u64,
    seconds: u32,
    shape: impl Fn(f64) -> f64,
    mut watch: impl FnMut(Option<Duration>),
) -> (DemandHistory, Instant) {
    let start = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut history = DemandHistory::new(start);
    let mut now = start;
    for step in 0..seconds * 1_000 {
        now = start + Duration::from_millis(u64::from(step));
        let expected = shape(f64::from(step) / 1_000.0) / 1_000.0;
        if random.random::<f64>() < expected {
            history.record_arrival(now, ArrivalKind::New);
        }
        if step % 500 == 0 {
            watch(history.period(now));
        }
    }
    (history, now)
}

fn wave(seconds: f64) -> f64 {
    match seconds % 6.0 {
        within if within < 2.4 => 1.91,
        _ => 0.39,
    }
}

#[test]
fn the_period_is_found_after_it_was_seen_twice() {
    for seed in 0..20 {
        // A node that is asked little has to see one wave more.
        for (mean, seconds) in [(12.0, 20), (100.0, 14)] {
            let (mut history, now) = history(seed, seconds, |at| mean * wave(at));
            let period = history.period(now).map(|one| one.as_secs_f64());
            assert!(
                period.is_some_and(|one| (one - 6.0).abs() <= OFF_PERIOD),
                "{period:?} of {mean} a second, seed {seed}"
            );
        }
    }
}

#[test]
fn the_trough_is_known_in_the_wave() {
    for seed in 0..20 {
        // One second into the fourth wave: the trough begins in 1.4 s.
        let (mut history, now) = history(seed, 19, |at| 100.0 * wave(at));
        let soon = history.forecast(now, Duration::from_millis(700));
        let later = history.forecast(now, Duration::from_millis(1_700));
        assert!((140.0..250.0).contains(&soon), "{soon}, seed {seed}");
        assert!((10.0..80.0).contains(&later), "{later}, seed {seed}");
    }
}

#[test]
fn nothing_is_seen_in_chance_in_a_jump_or_in_a_single_wave() {
    for rate in [1.0, 12.0, 100.0] {
        let jump = |at: f64| rate * if at < 13.0 { 0.3 } else { 2.0 };
        let early = |at: f64| rate * if at < 6.0 { wave(at) } else { 1.0 };
        let shapes: [NamedShape; 3] = [("calm", &|_| rate), ("jump", &jump), ("one wave", &early)];
        for (name, shape) in shapes {
            let (mut seen, mut looked) = (0, 0);
            for seed in 0..30 {
                watched(seed, 31, shape, |period| {
                    looked += 1;
                    seen += u32::from(period.is_some());
                });
            }
            let part = f64::from(seen) / f64::from(looked);
            println!("chance {name} {rate}: {part:.4}");
            assert!(part < MOST_FALSE, "{name}: {part} at {rate} a second");
        }
    }
}

#[test]
fn without_a_pattern_the_last_second_goes_on() {
    let (mut history, now) = history(1, 8, |at| if at < 4.0 { 10.0 } else { 200.0 });
    let forecast = history.forecast(now, Duration::from_secs(1));
    assert!((160.0..240.0).contains(&forecast), "{forecast}");
}

#[test]
fn a_higher_wave_is_forecast_higher() {
    let (mut history, now) = history(1, 20, |at| wave(at) * if at < 18.0 { 100.0 } else { 200.0 });
    let soon = history.forecast(now, Duration::from_millis(200));
    assert!((300.0..450.0).contains(&soon), "{soon}");
}

#[test]
fn room_is_what_began_while_others_were_refused() {
    let start = Instant::now();
    let mut history = DemandHistory::new(start);
    assert_eq!(history.capacity(start), None);
    let mut now = start;
    for tenth in 0..100 {
        now = start + BUCKET * tenth;
        // Half as much is asked in the first five seconds, and nobody refused.
        for _ in 0..if tenth < 50 { 5 } else { 10 } {
            history.record_start(now);
        }
        if tenth >= 50 {
            history.record_refusal(now);
        }
    }
    assert_eq!(history.capacity(now), Some(100.0));
    // It stays known in the trough.
    assert_eq!(history.capacity(now + Duration::from_secs(4)), Some(100.0));
}

#[test]
fn those_who_came_back_are_told_apart() {
    let start = Instant::now();
    let mut history = DemandHistory::new(start);
    for tenth in 0..20 {
        let now = start + BUCKET * tenth;
        for _ in 0..3 {
            history.record_arrival(now, ArrivalKind::New);
        }
        history.record_arrival(now, ArrivalKind::Retry);
    }
    let now = start + BUCKET * 20;
    assert_eq!(history.returned_part(now), 0.25);
    assert_eq!(history.forecast(now, BUCKET), 30.0);
}

#[test]
fn a_long_silence_is_forgotten_in_bounded_steps() {
    let (mut history, now) = history(1, 14, |at| 100.0 * wave(at));
    let later = now + Duration::from_secs(86_400);
    assert_eq!(history.forecast(later, BUCKET), 0.0);
    assert_eq!(history.period(later), None);
}
