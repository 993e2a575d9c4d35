//! Which attempts are followed by another, and what the caller is told in the end.

use firshore_routing::retry::{AttemptEnd, Attempts, Decision};
use firshore_types::error::Execution;

use AttemptEnd::{MaybeRun, NotSent, RefusedUnrun};
use Decision::{GiveUp, Retry, RetryWithinBudget};

#[test]
fn decisions_follow_from_what_may_have_run() {
    let none = GiveUp(Execution::None);
    let unknown = GiveUp(Execution::Unknown);
    let rows: [(bool, &[AttemptEnd], Decision); 10] = [
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
        let mut attempts = Attempts::new(repeatable);
        let decisions: Vec<Decision> = ends.iter().map(|end| attempts.after(*end)).collect();
        let last = decisions.last().copied();
        assert_eq!(last, Some(expected), "repeatable {repeatable}, {ends:?}");
    }
}

#[test]
fn a_non_repeatable_request_that_may_have_run_is_never_sent_again() {
    let ends = [NotSent, RefusedUnrun, MaybeRun];
    for number in 0..81 {
        let mut attempts = Attempts::new(false);
        let mut may_have_run = false;
        let mut left = number;
        for _ in 0..4 {
            let end = ends[left % 3];
            left /= 3;
            may_have_run |= end == MaybeRun;
            let decision = attempts.after(end);
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
