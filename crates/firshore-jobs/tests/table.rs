//! What the table of jobs promises, whatever order commands come in.

use firshore_adapter::jobs::{ItemOutcome, JobItem};
use firshore_jobs::command::{Action, Command, Completion, JobHeader, Outcome};
use firshore_jobs::table::JobTable;
use firshore_log::machine::StateMachine;

const PAGE_BYTES: usize = 1_000;

fn header(job: &str) -> JobHeader {
    JobHeader {
        job: job.to_owned(),
        host: "batch.example".to_owned(),
        attempts: 3,
        give_up_after: 60_000,
    }
}

fn item(id: &str) -> JobItem {
    JobItem {
        id: id.to_owned(),
        path: format!("/batch/{id}"),
        headers: vec![("x-model".to_owned(), "m".to_owned())],
        body: format!("body of {id}").into_bytes().into(),
        tokens: 10,
    }
}

fn submit(job: &str, items: &[&str]) -> Action {
    Action::Submit {
        header: header(job),
        items: items.iter().map(|id| item(id)).collect(),
    }
}

fn done(text: &str) -> ItemOutcome {
    ItemOutcome::Done(vec![text.to_owned()])
}

fn complete(job: &str, item: u32, outcome: ItemOutcome) -> Action {
    Action::Complete(vec![Completion {
        job: job.to_owned(),
        item,
        outcome,
    }])
}

fn applied(actions: Vec<Action>) -> JobTable {
    let mut table = JobTable::default();
    for action in actions {
        table.apply(Command { at: 1_000, action });
    }
    table
}

fn listed(table: &JobTable, job: &str) -> Vec<(String, ItemOutcome)> {
    let page = table.results(job, 0, PAGE_BYTES).unwrap();
    let results = page.results.into_iter();
    results.map(|one| (one.item, one.outcome)).collect()
}

#[test]
fn a_position_keeps_its_first_result() {
    let table = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 1, done("first of b")),
        complete("job", 1, done("second of b")),
        complete("job", 0, ItemOutcome::GivenUp),
        complete("job", 0, done("too late")),
    ]);
    let expected = vec![
        ("b".to_owned(), done("first of b")),
        ("a".to_owned(), ItemOutcome::GivenUp),
    ];
    assert_eq!(listed(&table, "job"), expected);
    assert!(table.open_items().is_empty());
}

#[test]
fn a_job_submitted_again_stays_as_it_is() {
    let table = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 0, done("a")),
        submit("job", &["c"]),
    ]);
    let page = table.results("job", 0, PAGE_BYTES).unwrap();
    assert_eq!((page.total, page.results.len()), (2, 1));
}

#[test]
fn an_ended_job_keeps_its_results_and_owes_no_more() {
    let table = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 0, done("a")),
        Action::End {
            job: "job".to_owned(),
        },
        complete("job", 1, done("b")),
    ]);
    assert_eq!(listed(&table, "job"), vec![("a".to_owned(), done("a"))]);
    assert!(!table.is_open("job", 1));
    assert_eq!(table.body("job", "b"), None);
}

#[test]
fn bodies_are_read_until_the_result_is_listed() {
    let mut table = applied(vec![submit("job", &["a"])]);
    let body = table.body("job", "a").unwrap();
    assert_eq!(&*body.0, b"body of a");
    assert_eq!(table.body("job", "b"), None);
    table.apply(complete("job", 0, done("a")).into());
    assert_eq!(table.body("job", "a"), None);
}

#[test]
fn a_page_holds_one_result_however_long() {
    let long = "x".repeat(3 * PAGE_BYTES);
    let table = applied(vec![
        submit("job", &["a", "b", "c"]),
        complete("job", 0, done(&long)),
        complete("job", 1, done("b")),
        complete("job", 2, done("c")),
    ]);
    let counts: Vec<usize> = (0..4)
        .map(|from| {
            table
                .results("job", from, PAGE_BYTES)
                .unwrap()
                .results
                .len()
        })
        .collect();
    assert_eq!(counts, [1, 2, 1, 0]);
}

#[test]
fn commands_about_unknown_jobs_change_nothing() {
    let mut table = JobTable::default();
    table.apply(complete("job", 0, done("a")).into());
    let end = Action::End {
        job: "job".to_owned(),
    };
    assert_eq!(table.apply(end.into()), Outcome::UnknownJob);
    assert!(table.is_empty());
}

#[test]
fn only_jobs_with_nothing_left_to_run_are_forgotten() {
    let mut table = applied(vec![
        submit("open", &["a"]),
        submit("whole", &["a"]),
        complete("whole", 0, done("a")),
    ]);
    let forget = |before| Command::from(Action::Forget { before });
    assert_eq!(
        table.without_effect(&forget(1_000), 0),
        Some(Outcome::Done),
        "nothing is older"
    );
    assert_eq!(table.without_effect(&forget(1_001), 0), None);
    table.apply(forget(1_001));
    assert!(table.results("open", 0, PAGE_BYTES).is_some());
    assert!(table.results("whole", 0, PAGE_BYTES).is_none());
}

#[test]
fn a_snapshot_restores_the_same_table() {
    let table = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 1, done("b")),
    ]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&table, &mut bytes).unwrap();
    let restored: JobTable = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!(listed(&restored, "job"), listed(&table, "job"));
    assert_eq!(restored.open_items().len(), 1);
    assert_eq!(restored.body("job", "a"), table.body("job", "a"));
}
