//! Which requests a stopping node still sends.

use firshore_admission::stop::{ExpectedEnd, LateRequest, RunTimes};
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Number of answers that are enough for a request that must not run again.
const ENOUGH: usize = 10;

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

fn expected(within: Duration, answers: usize) -> Option<ExpectedEnd> {
    Some(ExpectedEnd { within, answers })
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
    for answers in [1, ENOUGH] {
        assert!(!expecting(expected(SECOND * 7, answers)).may_be_sent());
        assert!(expecting(expected(SECOND * 6, answers)).may_be_sent());
    }
}

/// It can't be made good after a cut.
#[test]
fn request_that_may_not_be_repeated_is_not_sent_by_an_expectation_from_few_answers() {
    let expecting = |expected| LateRequest {
        is_repeatable: false,
        expected,
        ..request()
    };
    assert!(!expecting(None).may_be_sent());
    assert!(!expecting(expected(SECOND, ENOUGH - 1)).may_be_sent());
    assert!(!expecting(expected(SECOND * 7, ENOUGH)).may_be_sent());
    assert!(expecting(expected(SECOND * 6, ENOUGH)).may_be_sent());
}

/// Guards against refusals of what a stopping node would have served, because one run in hundreds was long.
#[test]
fn expectation_is_closer_to_the_longest_run_after_more_answers() {
    let mut times = RunTimes::default();
    let begin = Instant::now() + SECOND * 100;
    run(&mut times, begin, SECOND * 4);
    for answers in 1..=ENOUGH {
        let end = times.expected(begin, "r", SECOND);
        assert_eq!(end, expected(SECOND * 9, answers));
        run(&mut times, begin, SECOND);
    }
    for _ in ENOUGH + 1..ENOUGH * 4 {
        run(&mut times, begin, SECOND);
    }
    let end = |at| times.expected(begin + at, "r", SECOND);
    assert_eq!(end(SECOND * 59), expected(SECOND * 6, ENOUGH * 4));
    assert_eq!(end(SECOND * 60), None);
}

/// Guards against a node that was idle and counts answers from before.
#[test]
fn answers_of_more_than_a_minute_ago_are_not_counted() {
    let mut times = RunTimes::default();
    let begin = Instant::now() + SECOND * 100;
    for _ in 0..ENOUGH {
        run(&mut times, begin, SECOND);
    }
    let later = begin + SECOND * 60;
    run(&mut times, later, SECOND);
    assert_eq!(times.expected(later, "r", SECOND), expected(SECOND * 3, 1));
}

#[test]
fn expectation_follows_the_longest_run_of_the_last_minute() {
    let mut times = RunTimes::default();
    let begin = Instant::now() + SECOND * 100;
    assert_eq!(times.expected(begin, "r", SECOND), None);
    run(&mut times, begin, SECOND * 3);
    run(&mut times, begin + SECOND * 30, SECOND);
    let end = |at| times.expected(begin + at, "r", SECOND);
    assert_eq!(end(SECOND * 31), expected(SECOND * 7, 2));
    assert_eq!(end(SECOND * 61), expected(SECOND * 3, 1));
    assert_eq!(end(SECOND * 91), None);
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
    assert_eq!(
        times.expected(later, "r", Duration::ZERO),
        expected(SECOND * 8, 1)
    );
    times.end(later, "r", start);
    assert_eq!(
        times.expected(later + SECOND, "r", Duration::ZERO),
        expected(SECOND * 8, 1)
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
