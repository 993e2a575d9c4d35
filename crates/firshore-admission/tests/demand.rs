//! Detection of waves and jumps in the demand, without false detections in random arrivals.

use firshore_admission::demand::{ArrivalKind, BUCKET, DemandHistory};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::{Duration, Instant};

/// Maximum error of a period, in seconds: a fifth of the maximum wait of a caller with five seconds
/// left.
const MAX_PERIOD_ERROR: f64 = 0.33;

/// Name of a load, and its requests per second over time.
type NamedShape<'a> = (&'static str, &'a dyn Fn(f64) -> f64);

/// Maximum fraction of checks with a false period: the forecast from it is as good as any other
/// there, and one caller in a hundred may get a worse wait.
const MAX_FALSE: f64 = 0.01;

/// Returns a history of random arrivals at a rate of `shape` per second.
fn history(seed: u64, seconds: u32, shape: impl Fn(f64) -> f64) -> (DemandHistory, Instant) {
    watched(seed, seconds, shape, |_| {})
}

/// The same; calls `watch` with the period each half second.
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
fn period_is_found_after_two_waves() {
    for seed in 0..20 {
        // With little demand, a node has to observe one more wave.
        for (mean, seconds) in [(12.0, 20), (100.0, 14)] {
            let (mut history, now) = history(seed, seconds, |at| mean * wave(at));
            let period = history.period(now).map(|one| one.as_secs_f64());
            assert!(
                period.is_some_and(|one| (one - 6.0).abs() <= MAX_PERIOD_ERROR),
                "{period:?} of {mean} per second, seed {seed}"
            );
        }
    }
}

#[test]
fn trough_is_forecast_during_the_wave() {
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
fn no_period_is_found_in_random_arrivals_a_jump_or_a_single_wave() {
    for rate in [1.0, 12.0, 100.0] {
        let jump = |at: f64| rate * if at < 13.0 { 0.3 } else { 2.0 };
        let early = |at: f64| rate * if at < 6.0 { wave(at) } else { 1.0 };
        let shapes: [NamedShape; 3] = [("calm", &|_| rate), ("jump", &jump), ("one wave", &early)];
        for (name, shape) in shapes {
            let (mut found, mut checks) = (0, 0);
            for seed in 0..30 {
                watched(seed, 31, shape, |period| {
                    checks += 1;
                    found += u32::from(period.is_some());
                });
            }
            let fraction = f64::from(found) / f64::from(checks);
            println!("chance {name} {rate}: {fraction:.4}");
            assert!(
                fraction < MAX_FALSE,
                "{name}: {fraction} at {rate} per second"
            );
        }
    }
}

#[test]
fn forecast_without_period_is_the_last_second() {
    let (mut history, now) = history(1, 8, |at| if at < 4.0 { 10.0 } else { 200.0 });
    let forecast = history.forecast(now, Duration::from_secs(1));
    assert!((160.0..240.0).contains(&forecast), "{forecast}");
}

#[test]
fn higher_wave_is_forecast_higher() {
    let (mut history, now) = history(1, 20, |at| wave(at) * if at < 18.0 { 100.0 } else { 200.0 });
    let soon = history.forecast(now, Duration::from_millis(200));
    assert!((300.0..450.0).contains(&soon), "{soon}");
}

#[test]
fn capacity_is_the_rate_of_begun_requests_while_others_are_refused() {
    let start = Instant::now();
    let mut history = DemandHistory::new(start);
    assert_eq!(history.capacity(start), None);
    let mut now = start;
    for tenth in 0..100 {
        now = start + BUCKET * tenth;
        // In the first five seconds, demand is half as high and nothing is refused.
        for _ in 0..if tenth < 50 { 5 } else { 10 } {
            history.record_start(now);
        }
        if tenth >= 50 {
            history.record_refusal(now);
        }
    }
    assert_eq!(history.capacity(now), Some(100.0));
    // The capacity remains known in the trough.
    assert_eq!(history.capacity(now + Duration::from_secs(4)), Some(100.0));
}

#[test]
fn retries_are_counted_separately() {
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
    assert_eq!(history.retry_fraction(now), 0.25);
    assert_eq!(history.forecast(now, BUCKET), 30.0);
}

#[test]
fn history_after_a_long_idle_time_is_empty() {
    let (mut history, now) = history(1, 14, |at| 100.0 * wave(at));
    let later = now + Duration::from_secs(86_400);
    assert_eq!(history.forecast(later, BUCKET), 0.0);
    assert_eq!(history.period(later), None);
}
