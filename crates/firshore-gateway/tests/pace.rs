//! Estimate of a back end's pace from its reports, the pauses of streams, and failures.

use firshore_adapter::backend::Pace;
use firshore_gateway::pace::{PaceEstimate, ResponseQuality, TypicalPause};
use std::time::{Duration, Instant};

/// Length of a temporary slowdown.
const NOISE: Duration = Duration::from_millis(600);

fn pace(hundredths: u32) -> Pace {
    Pace::from_hundredths(hundredths).unwrap()
}

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Records the same report every 50 ms for `length`; returns the end.
fn report_for(
    estimate: &mut PaceEstimate,
    start: Instant,
    length: Duration,
    hundredths: u32,
) -> Instant {
    let mut now = start;
    while now < start + length {
        estimate.record_report(now, pace(hundredths));
        now = after(now, 50);
    }
    now
}

fn assert_near(actual: f32, expected: f32) {
    assert!(
        (actual / expected - 1.0).abs() < 0.1,
        "{actual}, {expected}"
    );
}

#[test]
fn without_reports_the_factor_is_one() {
    let now = Instant::now();
    let mut estimate = PaceEstimate::default();
    assert_eq!((estimate.pace(now), estimate.factor(now)), (None, 1.0));
    estimate.record_response(now, ResponseQuality::Failed);
    assert_eq!(estimate.factor(now), 1.0, "no pace was reported");
}

#[test]
fn the_first_report_counts_at_once() {
    let now = Instant::now();
    for hundredths in [60, 100, 160, 400] {
        let mut estimate = PaceEstimate::default();
        estimate.record_report(now, pace(hundredths));
        assert_eq!(estimate.factor(now), hundredths as f32 / 100.0);
    }
}

#[test]
fn a_short_slowdown_expires_and_a_lasting_one_does_not() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = report_for(&mut estimate, start, Duration::from_secs(5), 160);
    assert_near(estimate.factor(after(now, 10_000)), 1.6);
    let now = report_for(&mut estimate, now, NOISE, 400);
    assert_near(estimate.factor(now), 4.0);
    let later = estimate.factor(now + NOISE);
    assert!((1.6..2.1).contains(&later), "{later}");
}

#[test]
fn a_longer_slowdown_expires_later() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = report_for(&mut estimate, start, Duration::from_secs(5), 100);
    let now = report_for(&mut estimate, now, Duration::from_secs(3), 500);
    let later = estimate.factor(after(now, 1_500));
    assert!(later > 3.0, "{later}");
    // The first report of a recovery counts at once.
    estimate.record_report(after(now, 1_500), pace(100));
    assert_near(estimate.factor(after(now, 1_500)), 1.0);
}

#[test]
fn one_outlier_has_little_effect() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = report_for(&mut estimate, start, Duration::from_secs(5), 100);
    estimate.record_report(now, pace(90_000));
    assert!(estimate.factor(now) <= 10.0);
    assert_near(estimate.factor(after(now, 400)), 1.0);
    let mut first = PaceEstimate::default();
    first.record_report(now, pace(90_000));
    let later = first.factor(after(now, 400));
    assert!(later <= 1.5, "no other report: {later}");
}

#[test]
fn a_report_after_a_long_gap_has_limited_weight() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = report_for(&mut estimate, start, Duration::from_secs(5), 60);
    // A single report after a minute must not count for the whole minute.
    estimate.record_report(after(now, 60_000), pace(150));
    let later = estimate.factor(after(now, 61_000));
    assert!((0.6..0.75).contains(&later), "{later}");
}

#[test]
fn fast_failures_do_not_count_as_fast() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    estimate.record_report(start, pace(60));
    for _ in 0..20 {
        estimate.record_response(start, ResponseQuality::Failed);
    }
    assert!(estimate.factor(start) > 2.0);
    assert_near(estimate.pace(start).unwrap(), 0.6);
    let mut now = start;
    for _ in 0..40 {
        now = after(now, 20);
        estimate.record_report(now, pace(60));
        estimate.record_response(now, ResponseQuality::Good);
    }
    assert_near(estimate.factor(now), 0.6);
    // Without further failures the penalty expires after some seconds.
    estimate.record_response(now, ResponseQuality::Failed);
    let later = after(now, 5_000);
    assert_eq!(Some(estimate.factor(later)), estimate.pace(later));
}

#[test]
fn pauses_of_streams_reveal_a_slow_engine_without_reports() {
    let start = Instant::now();
    let mut typical = TypicalPause::default();
    let mut estimates = [PaceEstimate::default(); 4];
    let pauses = [40, 40, 40, 100].map(Duration::from_millis);
    for round in 0..200 {
        let now = after(start, round * 100);
        for (estimate, pause) in estimates.iter_mut().zip(pauses) {
            estimate.record_pause(now, typical.record(pause));
        }
    }
    let now = after(start, 20_000);
    let [typical_pace, .., slow] = estimates.map(|estimate| estimate.factor(now));
    assert!(
        (1.5..3.0).contains(&(slow / typical_pace)),
        "{slow}, {typical_pace}"
    );
    assert_eq!(
        estimates[3].factor(after(now, 10_000)),
        1.0,
        "the estimate expires"
    );
    // A reported pace has precedence over pauses.
    estimates[3].record_report(now, pace(100));
    assert_eq!(estimates[3].factor(now), 1.0);
}

#[test]
fn a_few_pauses_or_one_stall_have_no_effect() {
    let now = Instant::now();
    let mut typical = TypicalPause::default();
    let mut estimate = PaceEstimate::default();
    for _ in 0..10 {
        estimate.record_pause(now, typical.record(Duration::from_millis(40)));
    }
    assert_eq!(estimate.pace(now), None);
    for _ in 0..10 {
        estimate.record_pause(now, typical.record(Duration::from_millis(40)));
    }
    estimate.record_pause(now, typical.record(Duration::from_secs(2)));
    assert_near(estimate.factor(now), 1.05);
    let next = typical.record(Duration::from_millis(40));
    assert_near(next, 1.0);
}
