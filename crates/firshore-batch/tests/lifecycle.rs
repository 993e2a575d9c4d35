//! The job table step by step: submission, leases, results, cancellation, deadlines.

mod common;

use common::{DAY, Driver, LEASE, items, submission, success};
use firshore_batch::command::{
    Action, Completion, HandbackReason, LeaseReference, LeaseToken, Outcome, UploadId,
};
use firshore_batch::job::{Governance, JobStatus};
use firshore_batch::table::{LEASE_MARGIN_MILLISECONDS, UPLOAD_IDLE_MILLISECONDS};
use firshore_types::ids::{JobId, Revision};
use firshore_types::labels::Selector;

const EXPIRY: u64 = LEASE + LEASE_MARGIN_MILLISECONDS + 1;

fn upload(attempt: u64) -> UploadId {
    UploadId {
        job: JobId::from("job"),
        attempt,
    }
}

fn open(driver: &mut Driver, attempt: u64) -> Outcome {
    driver.apply(Action::Open {
        upload: upload(attempt),
        submission: Box::new(submission("job", "tenant")),
    })
}

fn append(driver: &mut Driver, attempt: u64, sequence: u32, count: u32) -> Outcome {
    driver.apply(Action::Append {
        upload: upload(attempt),
        sequence,
        items: items(count, true),
    })
}

fn seal(driver: &mut Driver, attempt: u64, digest: &str, total: u32) -> Outcome {
    driver.apply(Action::Seal {
        upload: upload(attempt),
        body_digest: digest.to_owned(),
        total,
    })
}

#[test]
fn nothing_is_accepted_before_the_seal() {
    let mut driver = Driver::default();
    open(&mut driver, 1);
    append(&mut driver, 1, 0, 3);
    assert!(driver.table.summaries().is_empty());
    assert!(driver.lease(10).is_empty());
    assert_eq!(seal(&mut driver, 1, "d", 4), Outcome::UnknownUpload);
    assert!(matches!(seal(&mut driver, 1, "d", 3), Outcome::Job(_)));
    assert_eq!(driver.lease(10).len(), 3);
}

#[test]
fn chunks_proposed_again_count_once_and_gaps_are_refused() {
    let mut driver = Driver::default();
    open(&mut driver, 1);
    open(&mut driver, 1);
    assert_eq!(append(&mut driver, 1, 0, 3), Outcome::Done);
    assert_eq!(append(&mut driver, 1, 0, 3), Outcome::Done);
    assert_eq!(append(&mut driver, 1, 2, 3), Outcome::UnknownUpload);
    assert!(matches!(seal(&mut driver, 1, "d", 3), Outcome::Job(_)));
}

#[test]
fn racing_submissions_with_one_key_make_one_job() {
    for (second_digest, expected_conflict) in [("d", false), ("other", true)] {
        let mut driver = Driver::default();
        open(&mut driver, 1);
        append(&mut driver, 1, 0, 3);
        open(&mut driver, 2);
        append(&mut driver, 2, 0, 3);
        assert!(matches!(seal(&mut driver, 2, "d", 3), Outcome::Job(_)));
        let late = seal(&mut driver, 1, second_digest, 3);
        assert_eq!(late == Outcome::Conflict, expected_conflict);
        // A repeated seal returns its job.
        assert!(matches!(seal(&mut driver, 2, "d", 3), Outcome::Job(_)));
        assert_eq!(open(&mut driver, 3), Outcome::Opened { exists: true });
        assert_eq!(driver.table.summaries().len(), 1);
        assert_eq!(driver.lease(100).len(), 3);
    }
}

#[test]
fn idle_uploads_are_dropped() {
    let mut driver = Driver::default();
    open(&mut driver, 1);
    driver.tick_after(UPLOAD_IDLE_MILLISECONDS + 1);
    assert_eq!(append(&mut driver, 1, 0, 3), Outcome::UnknownUpload);
}

#[test]
fn a_lease_request_proposed_again_gets_the_same_leases() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(10, true));
    let request = driver.request(4);
    let first = driver.apply(Action::Lease(request.clone()));
    let second = driver.apply(Action::Lease(request));
    assert_eq!(first, second);
    assert_eq!(driver.summary("job").leased, 4);
}

#[test]
fn the_first_result_wins() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1, true));
    let first = driver.lease(1).remove(0).lease;
    driver.tick_after(EXPIRY);
    let second = driver.lease(1).remove(0).lease;
    assert_ne!(first.token, second.token);
    driver.complete(&second, "second");
    driver.complete(&first, "first");
    driver.complete(&second, "again");
    let output = driver.table.output(&JobId::from("job"), 0, 10, 1000);
    assert_eq!(output.len(), 1);
    assert_eq!(output[0].result, success("second"));
    assert_eq!(driver.status("job"), JobStatus::Completed);
}

#[test]
fn leases_expire_only_after_the_margin() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1, true));
    driver.lease(1);
    driver.tick_after(LEASE + 1);
    assert!(driver.lease(1).is_empty());
    driver.tick_after(LEASE_MARGIN_MILLISECONDS);
    assert_eq!(driver.lease(1).len(), 1);
}

#[test]
fn renewal_extends_leases_and_refuses_items_that_must_stop() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(2, true));
    let lease = driver.lease(1).remove(0).lease;
    let renew = |lease: &LeaseReference| Action::Renew {
        leases: vec![lease.clone()],
        duration_milliseconds: LEASE,
    };
    driver.now += LEASE;
    assert_eq!(
        driver.apply(renew(&lease)),
        Outcome::Renewed { refused: vec![] }
    );
    driver.tick_after(LEASE);
    assert_eq!(driver.summary("job").leased, 1);
    driver.apply(Action::Cancel(JobId::from("job")));
    let refused = vec![lease.clone()];
    assert_eq!(driver.apply(renew(&lease)), Outcome::Renewed { refused });
}

#[test]
fn returned_leases_requeue_items_that_may_run_again() {
    struct Case {
        repeatable: bool,
        reason: HandbackReason,
        runs_again: bool,
    }
    let case = |repeatable, reason, runs_again| Case {
        repeatable,
        reason,
        runs_again,
    };
    for case in [
        case(true, HandbackReason::NotRun, true),
        case(true, HandbackReason::Interrupted, true),
        case(true, HandbackReason::Lost, true),
        case(false, HandbackReason::NotRun, true),
        case(false, HandbackReason::Interrupted, false),
        case(false, HandbackReason::Lost, false),
    ] {
        let mut driver = Driver::default();
        driver.submit(submission("job", "tenant"), items(1, case.repeatable));
        let lease = driver.lease(1).remove(0).lease;
        driver.apply(Action::Start(lease.clone()));
        driver.hand_back(&lease, case.reason);
        let again = driver.lease(1);
        let label = format!("repeatable {} {:?}", case.repeatable, case.reason);
        assert_eq!(again.len() == 1, case.runs_again, "{label}");
        if !case.runs_again {
            assert_eq!(driver.output("job"), vec![(0, 502)], "{label}");
            assert!(driver.summary("job").request_counts.failed == 1, "{label}");
        }
        // Returning an old lease again doesn't release the new one.
        driver.hand_back(&lease, case.reason);
        assert!(driver.lease(1).is_empty(), "{label}");
    }
}

#[test]
fn expired_non_repeatable_items_run_again_only_if_not_started() {
    for started in [false, true] {
        let mut driver = Driver::default();
        driver.submit(submission("job", "tenant"), items(1, false));
        let lease = driver.lease(1).remove(0).lease;
        if started {
            let outcome = driver.apply(Action::Start(lease.clone()));
            assert_eq!(outcome, Outcome::Start { allowed: true });
        }
        driver.tick_after(EXPIRY);
        let outcome = driver.apply(Action::Start(lease.clone()));
        assert_eq!(outcome, Outcome::Start { allowed: false });
        assert_eq!(driver.lease(1).is_empty(), started);
        driver.complete(&lease, "late");
        assert_eq!(
            driver.output("job"),
            if started { vec![(0, 502)] } else { vec![] }
        );
    }
}

#[test]
fn lost_runs_of_a_repeatable_item_are_bounded() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1, true));
    let mut runs = 0;
    while let Some(lease) = driver.lease(1).pop() {
        runs += 1;
        driver.hand_back(&lease.lease, HandbackReason::Lost);
    }
    assert_eq!(runs, 8);
    assert_eq!(driver.output("job"), vec![(0, 502)]);
    assert_eq!(driver.status("job"), JobStatus::Completed);
}

#[test]
fn a_job_is_cancelled_only_after_all_leases_end() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(5, true));
    let leases = driver.lease(3);
    driver.apply(Action::Cancel(JobId::from("job")));
    assert_eq!(driver.status("job"), JobStatus::Cancelling);
    assert!(driver.lease(5).is_empty());
    let start = driver.apply(Action::Start(leases[0].lease.clone()));
    assert_eq!(start, Outcome::Start { allowed: false });
    driver.hand_back(&leases[0].lease, HandbackReason::Interrupted);
    driver.complete(&leases[1].lease, "done");
    assert_eq!(driver.status("job"), JobStatus::Cancelling);
    driver.tick_after(EXPIRY);
    assert_eq!(driver.status("job"), JobStatus::Cancelled);
    driver.complete(&leases[2].lease, "too late");
    assert_eq!(driver.output("job"), vec![(1, 200)]);
    assert!(driver.lease(5).is_empty());
}

#[test]
fn a_passed_deadline_ends_the_job_with_a_line_for_every_item() {
    let mut driver = Driver::default();
    let mut with_deadline = submission("job", "tenant");
    with_deadline.deadline_milliseconds = Some(5_000);
    driver.submit(with_deadline, items(4, true));
    let leases = driver.lease(2);
    driver.complete(&leases[1].lease, "in time");
    driver.tick_after(5_000);
    assert_eq!(driver.status("job"), JobStatus::Finalizing);
    assert!(driver.lease(5).is_empty());
    driver.hand_back(&leases[0].lease, HandbackReason::Interrupted);
    assert_eq!(driver.status("job"), JobStatus::Expired);
    let output = vec![(1, 200), (0, 504), (2, 504), (3, 504)];
    assert_eq!(driver.output("job"), output);
    let page = driver.table.output(&JobId::from("job"), 2, 1, 1000);
    assert_eq!((page[0].position, page[0].index), (2, 2));
    let is_not_run = |text: &str| text.contains(r#""execution":"none""#);
    assert!(is_not_run(&page[0].result.body), "item 2 was never sent");
    let counts = driver.summary("job").request_counts;
    assert_eq!((counts.completed, counts.failed), (1, 3));
}

#[test]
fn ended_jobs_are_kept_for_their_retention() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(0, true));
    assert_eq!(driver.status("job"), JobStatus::Completed);
    driver.tick_after(DAY - 1);
    assert_eq!(driver.table.summaries().len(), 1);
    driver.tick_after(1);
    assert!(driver.table.summaries().is_empty());
}

#[test]
fn only_ended_jobs_can_be_deleted() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1, true));
    let delete = Action::Delete(JobId::from("job"));
    assert_eq!(driver.apply(delete.clone()), Outcome::NotEnded);
    driver.apply(Action::Cancel(JobId::from("job")));
    assert_eq!(driver.apply(delete.clone()), Outcome::Done);
    assert_eq!(driver.apply(delete), Outcome::UnknownJob);
}

#[test]
fn policies_pause_jobs_and_choose_engines() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(9, true));
    let govern = |revision, paused, zone| Action::Govern {
        job: JobId::from("job"),
        governance: Governance {
            revision: Revision(revision),
            priority: 10,
            paused,
            backends: Selector::matching([("zone", zone)]),
        },
    };
    driver.apply(govern(5, true, "a"));
    assert!(driver.lease(1).is_empty(), "paused");
    driver.apply(govern(4, false, "a"));
    assert!(driver.lease(1).is_empty(), "an older revision is ignored");
    driver.apply(govern(6, false, "b"));
    assert!(driver.lease(1).is_empty(), "the engine is in zone a");
    driver.apply(govern(7, false, "a"));
    assert_eq!(driver.lease(1).len(), 1);
}

#[test]
fn rate_and_estimate_follow_completions() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1000, true));
    for _ in 0..20 {
        for lease in driver.lease(10) {
            driver.complete(&lease.lease, "done");
        }
        driver.tick_after(1_000);
    }
    let summary = driver.summary("job");
    assert!((9_000..=11_000).contains(&summary.items_per_kilosecond));
    let end = summary
        .estimated_end_at
        .expect("the job has a completion rate");
    assert!((driver.now + 70_000..driver.now + 90_000).contains(&end));
}

#[test]
fn time_is_monotonic() {
    let mut driver = Driver::default();
    driver.submit(submission("job", "tenant"), items(1, true));
    driver.now = 1_000_000;
    driver.apply(Action::Tick);
    driver.now = 10;
    driver.lease(1);
    driver.tick_after(LEASE);
    assert_eq!(driver.summary("job").leased, 1);
}

#[test]
fn commands_for_unknown_jobs_change_nothing() {
    let mut driver = Driver::default();
    let lease = LeaseReference {
        job: JobId::from("none"),
        index: 7,
        token: LeaseToken(3),
    };
    let result = success("x");
    let completion = Completion {
        lease: lease.clone(),
        result,
    };
    assert_eq!(
        driver.apply(Action::Complete(vec![completion])),
        Outcome::Done
    );
    driver.hand_back(&lease, HandbackReason::Lost);
    let start = driver.apply(Action::Start(lease));
    assert_eq!(start, Outcome::Start { allowed: false });
    let cancel = driver.apply(Action::Cancel(JobId::from("none")));
    assert_eq!(cancel, Outcome::UnknownJob);
    assert!(driver.table.summaries().is_empty());
}

#[test]
fn lease_requests_and_ticks_without_work_have_no_effect() {
    let mut driver = Driver::default();
    let has_no_effect = |driver: &mut Driver, action: &Action| {
        let outcome = driver.table.without_effect(action, driver.now);
        if let Some(outcome) = &outcome {
            assert_eq!(
                driver.apply(action.clone()),
                *outcome,
                "applying the action gives the same outcome"
            );
        }
        outcome.is_some()
    };
    let request = Action::Lease(driver.request(2));
    assert!(has_no_effect(&mut driver, &request));
    assert!(has_no_effect(&mut driver, &Action::Tick));
    driver.submit(submission("job", "tenant"), items(1, true));
    assert!(!has_no_effect(&mut driver, &Action::Tick), "a job runs");
    assert!(!has_no_effect(&mut driver, &request), "an item is pending");
    let lease = driver.lease(1).remove(0).lease;
    let request = Action::Lease(driver.request(2));
    assert!(has_no_effect(&mut driver, &request), "the item is leased");
    driver.complete(&lease, "done");
    driver.tick_after(EXPIRY);
    assert!(
        has_no_effect(&mut driver, &Action::Tick),
        "the job has ended"
    );
    driver.now += DAY;
    assert!(
        !has_no_effect(&mut driver, &Action::Tick),
        "the retention has ended"
    );
}
