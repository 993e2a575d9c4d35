//! Tests which attempts are retried and what is reported to the caller after the last.

use firshore_routing::retry::{AttemptEnd, AttemptHistory, RetryDecision};
use firshore_types::error::Execution;

use AttemptEnd::{MaybeRun, NotSent, RefusedUnrun};
use RetryDecision::{GiveUp, Retry, RetryWithinBudget};

#[test]
fn decision_depends_on_what_may_have_run() {
    let none = GiveUp(Execution::None);
    let unknown = GiveUp(Execution::Unknown);
    let rows: [(bool, &[AttemptEnd], RetryDecision); 10] = [
        (true, &[NotSent], Retry),
        (false, &[NotSent], Retry),
        (true, &[RefusedUnrun], RetryWithinBudget),
        (false, &[RefusedUnrun], RetryWithinBudget),
        (false, &[NotSent, RefusedUnrun, NotSent, NotSent], none),
        (true, &[MaybeRun], RetryWithinBudget),
        (false, &[MaybeRun], unknown),
        (false, &[NotSent, MaybeRun], unknown),
        (true, &[MaybeRun, MaybeRun], unknown),
        (
            true,
            &[MaybeRun, NotSent, NotSent, NotSent, NotSent],
            unknown,
        ),
    ];
    for (repeatable, ends, expected) in rows {
        let mut attempts = AttemptHistory::new(repeatable);
        let decisions: Vec<RetryDecision> =
            ends.iter().map(|end| attempts.decide_after(*end)).collect();
        let last = decisions.last().copied();
        assert_eq!(last, Some(expected), "repeatable {repeatable}, {ends:?}");
    }
}

#[test]
fn non_repeatable_request_that_may_have_run_is_not_retried() {
    let ends = [NotSent, RefusedUnrun, MaybeRun];
    for number in 0..81 {
        let mut attempts = AttemptHistory::new(false);
        let mut may_have_run = false;
        let mut remaining = number;
        for _ in 0..4 {
            let end = ends[remaining % 3];
            remaining /= 3;
            may_have_run |= end == MaybeRun;
            let decision = attempts.decide_after(end);
            if !may_have_run {
                continue;
            }
            assert_eq!(attempts.execution(), Execution::Unknown);
            if end == MaybeRun {
                assert_eq!(decision, GiveUp(Execution::Unknown));
                break;
            }
        }
    }
}
