//! How long work takes at a back end: what is told, what fades, what streams and failures show.

use firshore_adapter::backend::Pace;
use firshore_gateway::pace::{PaceEstimate, ResponseQuality, TypicalPause};
use std::time::{Duration, Instant};

const NOISE: Duration = Duration::from_millis(600);

fn told(hundredths: u32) -> Pace {
    Pace::from_hundredths(hundredths).unwrap()
}

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

/// Tells the same figure each 50 ms for some time, and returns when that was over.
fn tell_for(
    estimate: &mut PaceEstimate,
    start: Instant,
    length: Duration,
    hundredths: u32,
) -> Instant {
    let mut now = start;
    while now < start + length {
        estimate.record_report(now, told(hundredths));
        now = after(now, 50);
    }
    now
}

fn assert_near(found: f32, expected: f32) {
    assert!((found / expected - 1.0).abs() < 0.1, "{found}, {expected}");
}

#[test]
fn where_nothing_is_known_all_are_alike() {
    let now = Instant::now();
    let mut estimate = PaceEstimate::default();
    assert_eq!((estimate.pace(now), estimate.factor(now)), (None, 1.0));
    estimate.record_response(now, ResponseQuality::Failed);
    assert_eq!(estimate.factor(now), 1.0, "its pace is not known");
}

#[test]
fn what_is_told_counts_at_once() {
    let now = Instant::now();
    for hundredths in [60, 100, 160, 400] {
        let mut estimate = PaceEstimate::default();
        estimate.record_report(now, told(hundredths));
        assert_eq!(estimate.factor(now), hundredths as f32 / 100.0);
    }
}

#[test]
fn a_slow_moment_is_forgotten_and_a_slow_engine_is_not() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = tell_for(&mut estimate, start, Duration::from_secs(5), 160);
    assert_near(estimate.factor(after(now, 10_000)), 1.6);
    let now = tell_for(&mut estimate, now, NOISE, 400);
    assert_near(estimate.factor(now), 4.0);
    let later = estimate.factor(now + NOISE);
    assert!((1.6..2.1).contains(&later), "{later}");
}

#[test]
fn what_has_lasted_is_believed_for_longer() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = tell_for(&mut estimate, start, Duration::from_secs(5), 100);
    let now = tell_for(&mut estimate, now, Duration::from_secs(3), 500);
    let later = estimate.factor(after(now, 1_500));
    assert!(later > 3.0, "{later}");
    // Its recovery counts with the first answer that tells it.
    estimate.record_report(after(now, 1_500), told(100));
    assert_near(estimate.factor(after(now, 1_500)), 1.0);
}

#[test]
fn one_outlier_changes_little() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = tell_for(&mut estimate, start, Duration::from_secs(5), 100);
    estimate.record_report(now, told(90_000));
    assert!(estimate.factor(now) <= 10.0);
    assert_near(estimate.factor(after(now, 400)), 1.0);
    let mut first = PaceEstimate::default();
    first.record_report(now, told(90_000));
    let later = first.factor(after(now, 400));
    assert!(later <= 1.5, "nothing else is known of it: {later}");
}

#[test]
fn figures_from_a_distant_past_do_not_make_up_the_present() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    let now = tell_for(&mut estimate, start, Duration::from_secs(5), 60);
    // One figure after a minute: the time in between is not its own.
    estimate.record_report(after(now, 60_000), told(150));
    let later = estimate.factor(after(now, 61_000));
    assert!((0.6..0.75).contains(&later), "{later}");
}

#[test]
fn failing_fast_is_not_fast() {
    let start = Instant::now();
    let mut estimate = PaceEstimate::default();
    estimate.record_report(start, told(60));
    for _ in 0..20 {
        estimate.record_response(start, ResponseQuality::Failed);
    }
    assert!(estimate.factor(start) > 2.0);
    assert_near(estimate.pace(start).unwrap(), 0.6);
    let mut now = start;
    for _ in 0..40 {
        now = after(now, 20);
        estimate.record_report(now, told(60));
        estimate.record_response(now, ResponseQuality::Good);
    }
    assert_near(estimate.factor(now), 0.6);
    // Without requests it is tried again after some seconds.
    estimate.record_response(now, ResponseQuality::Failed);
    let later = after(now, 5_000);
    assert_eq!(Some(estimate.factor(later)), estimate.pace(later));
}

#[test]
fn pauses_of_streams_show_a_slow_engine_that_tells_nothing() {
    let start = Instant::now();
    let mut usual = TypicalPause::default();
    let mut estimates = [PaceEstimate::default(); 4];
    let pauses = [40, 40, 40, 100].map(Duration::from_millis);
    for round in 0..200 {
        let now = after(start, round * 100);
        for (estimate, pause) in estimates.iter_mut().zip(pauses) {
            estimate.record_pause(now, usual.record(pause));
        }
    }
    let now = after(start, 20_000);
    let [usual_pace, .., slow] = estimates.map(|estimate| estimate.factor(now));
    assert!(
        (1.5..3.0).contains(&(slow / usual_pace)),
        "{slow}, {usual_pace}"
    );
    assert_eq!(
        estimates[3].factor(after(now, 10_000)),
        1.0,
        "it is tried again"
    );
    // What the engine tells itself goes first.
    estimates[3].record_report(now, told(100));
    assert_eq!(estimates[3].factor(now), 1.0);
}

#[test]
fn a_few_pauses_or_one_stall_show_nothing() {
    let now = Instant::now();
    let mut usual = TypicalPause::default();
    let mut estimate = PaceEstimate::default();
    for _ in 0..10 {
        estimate.record_pause(now, usual.record(Duration::from_millis(40)));
    }
    assert_eq!(estimate.pace(now), None);
    for _ in 0..10 {
        estimate.record_pause(now, usual.record(Duration::from_millis(40)));
    }
    estimate.record_pause(now, usual.record(Duration::from_secs(2)));
    assert_near(estimate.factor(now), 1.05);
    let next = usual.record(Duration::from_millis(40));
    assert_near(next, 1.0);
}
