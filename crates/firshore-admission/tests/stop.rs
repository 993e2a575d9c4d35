//! Which requests a stopping node still sends.

use firshore_admission::stop::{LateRequest, RunTimes};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

fn request() -> LateRequest {
    LateRequest {
        node_stops_in: SECOND * 7,
        time_left: SECOND * 20,
        is_repeatable: true,
        expected: None,
    }
}

/// Records a run of route `r` that ends at `now`.
fn run(times: &mut RunTimes, now: Instant, length: Duration) {
    let start = times.begin(now - length, "r");
    times.record_answer(now, "r");
    times.end(now, "r", start);
}

#[test]
fn request_that_ends_by_its_deadline_before_the_stop_is_sent() {
    for is_repeatable in [true, false] {
        let short = LateRequest {
            time_left: SECOND * 7,
            is_repeatable,
            ..request()
        };
        assert!(short.may_be_sent());
    }
}

/// A planned stop would cut it off.
#[test]
fn request_that_may_outlive_the_node_is_sent_only_if_expected_to_end_in_time() {
    let expecting = |expected| LateRequest {
        expected,
        ..request()
    };
    assert!(!expecting(None).may_be_sent());
    assert!(!expecting(Some(SECOND * 7)).may_be_sent());
    assert!(expecting(Some(SECOND * 6)).may_be_sent());
}

/// It can't be made good after a cut.
#[test]
fn request_that_may_not_be_repeated_is_not_sent_by_an_expectation() {
    let once = LateRequest {
        is_repeatable: false,
        expected: Some(SECOND),
        ..request()
    };
    assert!(!once.may_be_sent());
}

#[test]
fn expectation_follows_the_longest_run_of_the_last_minute() {
    let mut times = RunTimes::default();
    let begin = Instant::now() + SECOND * 100;
    assert_eq!(times.expected(begin, "r", SECOND), None);
    run(&mut times, begin, SECOND * 3);
    run(&mut times, begin + SECOND * 30, SECOND);
    let expected = |at| times.expected(begin + at, "r", SECOND);
    assert_eq!(expected(SECOND * 31), Some(SECOND * 7));
    assert_eq!(expected(SECOND * 61), Some(SECOND * 3));
    assert_eq!(expected(SECOND * 91), None);
    assert_eq!(times.expected(begin, "other", SECOND), None);
}

/// Guards against back ends that have become slow, as no run ends that would show it.
#[test]
fn runs_that_are_still_open_count() {
    let mut times = RunTimes::default();
    let begin = Instant::now();
    run(&mut times, begin, Duration::ZERO);
    let start = times.begin(begin, "r");
    times.begin(begin + SECOND, "r");
    let later = begin + SECOND * 4;
    assert_eq!(times.expected(later, "r", Duration::ZERO), Some(SECOND * 8));
    times.end(later, "r", start);
    assert_eq!(
        times.expected(later + SECOND, "r", Duration::ZERO),
        Some(SECOND * 8)
    );
}

/// Refusals by back ends and lost connections take a millisecond.
#[test]
fn runs_without_an_answer_are_no_evidence() {
    let mut times = RunTimes::default();
    let now = Instant::now();
    let start = times.begin(now, "r");
    times.end(now + SECOND, "r", start);
    assert_eq!(times.expected(now + SECOND, "r", Duration::ZERO), None);
}
