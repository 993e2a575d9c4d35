//! Each promise, kept and broken, as the judge sees it.

use firshore_lab::engine_model::Outcome;
use firshore_lab::judge::{
    Allowances, BackendLog, BrokenPromise, CallOutcome, CallRecord, Evidence, ItemRecord, JobEnd,
    JobRecord, judge,
};
use firshore_lab::stand_in::engine::ExecutionLine;

fn line(marker: &str, priority: u16, times: (u64, u64, u64)) -> ExecutionLine {
    ExecutionLine {
        request_id: marker.to_owned(),
        marker: marker.to_owned(),
        priority,
        queued_unix_ms: times.0,
        started_unix_ms: times.1,
        ended_unix_ms: Some(times.2),
        outcome: Outcome::Completed,
        resumed_from: None,
        tokens: 1,
    }
}

fn refused(mut line: ExecutionLine) -> ExecutionLine {
    line.outcome = Outcome::Refused;
    line
}

fn resumed(mut line: ExecutionLine) -> ExecutionLine {
    line.resumed_from = Some(3);
    line
}

fn call(outcome: CallOutcome, repeatable: bool) -> CallRecord {
    CallRecord {
        marker: "a".to_owned(),
        repeatable,
        outcome,
    }
}

fn verdict(
    calls: Vec<CallRecord>,
    jobs: Vec<JobRecord>,
    lines: Vec<ExecutionLine>,
    leaving: Option<u64>,
) -> Vec<BrokenPromise> {
    let evidence = Evidence {
        calls,
        jobs,
        backends: vec![BackendLog {
            backend: "engine".to_owned(),
            lines,
            leaving_since_unix_ms: leaving,
        }],
    };
    judge(&evidence, &Allowances::default())
}

#[test]
fn calls() {
    let ran = || line("a", 200, (0, 0, 9));
    let refusal = || CallOutcome::Refused("full".to_owned());
    let failure = || CallOutcome::Failed("gone".to_owned());
    let twice = || vec![ran(), ran()];
    let marker = || "a".to_owned();
    let cases = [
        (call(CallOutcome::Whole, true), vec![ran()], vec![]),
        (call(CallOutcome::Whole, true), twice(), vec![]),
        (call(failure(), false), vec![ran()], vec![]),
        (call(failure(), false), vec![ran(), resumed(ran())], vec![]),
        (call(refusal(), true), vec![refused(ran())], vec![]),
        (
            call(CallOutcome::Wrong("other".to_owned()), true),
            vec![ran()],
            vec![BrokenPromise::AnswerNotOwn(marker(), "other".to_owned())],
        ),
        (
            call(refusal(), true),
            vec![ran()],
            vec![BrokenPromise::RefusedButRan(marker())],
        ),
        (
            call(failure(), false),
            twice(),
            vec![BrokenPromise::RanTwice(marker(), 2)],
        ),
        (
            call(CallOutcome::Whole, true),
            vec![refused(ran())],
            vec![BrokenPromise::AnsweredButNotRun(marker())],
        ),
    ];
    for (call, lines, expected) in cases {
        assert_eq!(
            verdict(vec![call.clone()], vec![], lines, None),
            expected,
            "{call:?}"
        );
    }
}

#[test]
fn jobs() {
    let job = |results: &[(&str, bool)], end| JobRecord {
        id: "j".to_owned(),
        items: vec!["i".to_owned(), "k".to_owned()],
        results: results
            .iter()
            .map(|(custom_id, own)| ItemRecord {
                custom_id: (*custom_id).to_owned(),
                own: *own,
            })
            .collect(),
        end,
    };
    let (j, i, k) = (|| "j".to_owned(), || "i".to_owned(), || "k".to_owned());
    let cancelled = JobEnd::Cancelled { at_unix_ms: 100 };
    let cases = [
        (
            job(&[("i", true), ("k", true)], JobEnd::Completed),
            50,
            vec![],
        ),
        (
            job(&[("i", true), ("i", true), ("k", false)], JobEnd::Completed),
            50,
            vec![
                BrokenPromise::ResultNotOwn(j(), k()),
                BrokenPromise::NotExactlyOnce(j(), i(), 2),
            ],
        ),
        (
            job(&[("i", true)], JobEnd::Completed),
            50,
            vec![BrokenPromise::NotExactlyOnce(j(), k(), 0)],
        ),
        (
            job(&[("i", true)], JobEnd::Unfinished),
            50,
            vec![BrokenPromise::JobUnfinished(j(), 1)],
        ),
        (job(&[], cancelled), 99, vec![]),
        (
            job(&[], cancelled),
            101,
            vec![BrokenPromise::RanAfterCancel(j(), i())],
        ),
    ];
    for (job, started, expected) in cases {
        let lines = vec![line("i", 3, (started, started, started + 20))];
        assert_eq!(
            verdict(vec![], vec![job.clone()], lines, None),
            expected,
            "{job:?}"
        );
    }
}

#[test]
fn online_must_not_wait_beside_batch() {
    let question = line("q", 128, (1000, 1400, 1500));
    let waited = BrokenPromise::WaitedBehindBatch("engine".to_owned(), "q".to_owned(), 400);
    let cases = [
        (line("i", 127, (0, 0, 1300)), vec![waited]),
        (line("i", 127, (0, 0, 1100)), vec![]),
        (line("i", 127, (1400, 1400, 1600)), vec![]),
        (line("o", 128, (0, 0, 1300)), vec![]),
        (refused(line("i", 127, (0, 0, 1300))), vec![]),
    ];
    for (other, expected) in cases {
        let lines = vec![question.clone(), other.clone()];
        assert_eq!(verdict(vec![], vec![], lines, None), expected, "{other:?}");
    }
}

#[test]
fn a_leaving_back_end_gets_nothing_new() {
    let late = line("q", 200, (4001, 4001, 4002));
    let broken = BrokenPromise::WorkWhileLeaving("engine".to_owned(), "q".to_owned(), 3001);
    let cases = [
        (late.clone(), Some(1000), vec![broken]),
        (late.clone(), Some(1001), vec![]),
        (resumed(late.clone()), Some(0), vec![]),
        (late, None, vec![]),
    ];
    for (line, since, expected) in cases {
        assert_eq!(verdict(vec![], vec![], vec![line], since), expected);
    }
}
