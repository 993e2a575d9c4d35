//! Tests of the table of jobs, for any order of commands.

use firshore_adapter::jobs::{ItemOutcome, JobId, JobItem};
use firshore_jobs::command::{Action, Command, Completion, JobHeader, Outcome};
use firshore_jobs::table::JobTable;
use firshore_log::machine::StateMachine;
use firshore_replication::types::LogIndex;
use firshore_types::ids::TenantName;
use std::collections::{BTreeMap, BTreeSet};

const PAGE_BYTES: usize = 1_000;

fn header(job: &str) -> JobHeader {
    JobHeader {
        job: job.to_owned(),
        tenant: None,
        route: "batch".to_owned(),
        host: "batch.example".to_owned(),
        attempts: 3,
        give_up_after: 60_000,
        due_after: Some(20_000),
        most_waiting_tokens: None,
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

/// A table with the log that it was applied from: entry 1 is its first command.
#[derive(Default)]
struct TableLog {
    table: JobTable,
    commands: BTreeMap<LogIndex, Command>,
}

impl TableLog {
    fn apply(&mut self, command: Command) -> Outcome {
        let at = self.commands.len() as LogIndex + 1;
        self.commands.insert(at, command.clone());
        self.table.apply(at, command)
    }

    fn listed(&self, job: &str) -> Vec<(String, ItemOutcome)> {
        let page = self.table.results(job, 0, PAGE_BYTES).unwrap();
        let page = page.into_result_page(self.commands.clone()).unwrap();
        let results = page.results.into_iter();
        results.map(|one| (one.item, one.outcome)).collect()
    }
}

fn table_log(actions: Vec<Action>) -> TableLog {
    let mut log = TableLog::default();
    for action in actions {
        log.apply(Command { at: 1_000, action });
    }
    log
}

#[test]
fn position_keeps_its_first_result() {
    let log = table_log(vec![
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
    assert_eq!(log.listed("job"), expected);
    assert!(log.table.open_items().is_empty());
}

#[test]
fn job_submitted_again_is_unchanged() {
    let log = table_log(vec![
        submit("job", &["a", "b"]),
        complete("job", 0, done("a")),
        submit("job", &["c"]),
    ]);
    let page = log.table.results("job", 0, PAGE_BYTES).unwrap();
    assert_eq!((page.total, page.results.len()), (2, 1));
}

#[test]
fn ended_job_keeps_its_results_and_gets_no_more() {
    let log = table_log(vec![
        submit("job", &["a", "b"]),
        complete("job", 0, done("a")),
        Action::End {
            job: "job".to_owned(),
        },
        complete("job", 1, done("b")),
    ]);
    assert_eq!(log.listed("job"), vec![("a".to_owned(), done("a"))]);
    assert!(!log.table.is_open("job", 1));
    assert_eq!(log.table.body("job", "b"), None);
}

#[test]
fn bodies_are_readable_until_the_result_is_listed() {
    let mut log = table_log(vec![submit("job", &["a"])]);
    let body = log.table.body("job", "a").unwrap();
    assert_eq!(&*body.0, b"body of a");
    assert_eq!(log.table.body("job", "b"), None);
    log.apply(complete("job", 0, done("a")).into());
    assert_eq!(log.table.body("job", "a"), None);
}

#[test]
fn page_holds_at_least_one_result() {
    let long = "x".repeat(3 * PAGE_BYTES);
    let log = table_log(vec![
        submit("job", &["a", "b", "c"]),
        complete("job", 0, done(&long)),
        complete("job", 1, done("b")),
        complete("job", 2, done("c")),
    ]);
    let counts: Vec<usize> = (0..4)
        .map(|from| {
            log.table
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
    let mut log = TableLog::default();
    log.apply(complete("job", 0, done("a")).into());
    let end = Action::End {
        job: "job".to_owned(),
    };
    assert_eq!(log.apply(end.into()), Outcome::UnknownJob);
    assert!(log.table.is_empty());
}

#[test]
fn only_finished_jobs_are_removed() {
    let mut log = table_log(vec![
        submit("open", &["a"]),
        submit("whole", &["a"]),
        complete("whole", 0, done("a")),
    ]);
    let forget = |before| Command::from(Action::Forget { before });
    assert_eq!(
        log.table.without_effect(&forget(1_000), 0),
        Some(Outcome::Done),
        "nothing is older"
    );
    assert_eq!(log.table.without_effect(&forget(1_001), 0), None);
    log.apply(forget(1_001));
    assert!(log.table.results("open", 0, PAGE_BYTES).is_some());
    assert!(log.table.results("whole", 0, PAGE_BYTES).is_none());
}

#[test]
fn snapshot_restores_the_same_table() {
    let log = table_log(vec![
        submit("job", &["a", "b"]),
        complete("job", 1, done("b")),
    ]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&log.table, &mut bytes).unwrap();
    let restored = TableLog {
        table: ciborium::from_reader(bytes.as_slice()).unwrap(),
        commands: log.commands.clone(),
    };
    assert_eq!(restored.listed("job"), log.listed("job"));
    assert_eq!(restored.table.open_items().len(), 1);
    let body = restored.table.body("job", "a");
    assert_eq!(body, log.table.body("job", "a"));
}

#[test]
fn texts_are_stored_in_the_log_only() {
    const ITEMS: u32 = 200;
    const TEXT_BYTES: usize = 10_000;
    let ids: Vec<String> = (0..ITEMS).map(|number| format!("item-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut log = table_log(vec![submit("job", &ids)]);
    let text = "x".repeat(TEXT_BYTES);
    for item in 0..ITEMS {
        log.apply(complete("job", item, done(&text)).into());
    }
    let mut snapshot = Vec::new();
    ciborium::into_writer(&log.table, &mut snapshot).unwrap();
    let per_item = snapshot.len() / ITEMS as usize;
    assert!(
        per_item < 250,
        "{per_item} bytes of the table for each item"
    );
    let referenced = log.table.referenced();
    assert_eq!(referenced.len(), ITEMS as usize);
    let forget = Action::Forget { before: u64::MAX };
    log.apply(forget.into());
    assert!(log.table.referenced().is_empty());
}

#[test]
fn page_with_a_missing_entry_is_not_returned() {
    let log = table_log(vec![submit("job", &["a"]), complete("job", 0, done("a"))]);
    let page = log.table.results("job", 0, PAGE_BYTES).unwrap();
    assert_eq!(page.entries(), BTreeSet::from([2]));
    assert_eq!(page.into_result_page(BTreeMap::new()), None);
}

#[test]
fn failures_are_counted_per_item() {
    let failed = |item, run| Action::Failed {
        job: "job".to_owned(),
        item,
        run,
    };
    let log = table_log(vec![
        submit("job", &["a", "b"]),
        failed(1, 11),
        failed(1, 12),
        failed(1, 12),
        failed(7, 13),
    ]);
    let failures = |item| log.table.failures("job", item);
    assert_eq!((failures(0), failures(1), failures(7)), (0, 2, 0));
}

fn tenant_header(tenant: Option<&str>, id: &str, max_tokens: Option<u64>) -> JobHeader {
    let job = JobId {
        tenant: tenant.map(TenantName::from),
        id: id.to_owned(),
    };
    JobHeader {
        job: job.journal_key(),
        tenant: job.tenant,
        most_waiting_tokens: max_tokens,
        ..header(id)
    }
}

fn key(tenant: &str, id: &str) -> String {
    tenant_header(Some(tenant), id, None).job
}

fn submit_checked(table: &mut JobTable, header: JobHeader, items: &[&str]) -> Outcome {
    let items = items.iter().map(|id| item(id)).collect();
    let command: Command = Action::Submit { header, items }.into();
    if let Some(outcome) = table.without_effect(&command, 0) {
        return outcome;
    }
    table.apply(1, command)
}

#[test]
fn tenants_cannot_access_each_others_jobs() {
    let mut table = JobTable::default();
    submit_checked(
        &mut table,
        tenant_header(Some("ann"), "j", None),
        &["a", "b"],
    );
    submit_checked(&mut table, tenant_header(Some("bob"), "j", None), &["c"]);
    let total =
        |table: &JobTable, key: &str| table.results(key, 0, PAGE_BYTES).map(|page| page.total);
    assert_eq!(total(&table, &key("ann", "j")), Some(2));
    assert_eq!(total(&table, &key("bob", "j")), Some(1));
    assert_eq!(total(&table, &key("eve", "j")), None);
    assert_eq!(total(&table, "j"), None, "nor for a caller without a key");
    assert_eq!(table.body(&key("bob", "j"), "a"), None);
    assert!(table.body(&key("ann", "j"), "a").is_some());
    let end = |job: &str| Action::End {
        job: job.to_owned(),
    };
    assert_eq!(
        table.apply(2, end(&key("eve", "j")).into()),
        Outcome::UnknownJob
    );
    assert_eq!(table.apply(3, end(&key("bob", "j")).into()), Outcome::Done);
    assert!(table.is_job_open(&key("ann", "j")));
    assert!(!table.is_job_open(&key("bob", "j")));
    let ended = end(&key("bob", "j")).into();
    assert_eq!(
        table.without_effect(&ended, 0),
        Some(Outcome::Done),
        "ended again"
    );
}

/// A leader may be asked to end an accepted job before it has applied the job's entry.
#[test]
fn job_that_was_not_applied_yet_was_reported_as_unknown() {
    let mut table = JobTable::default();
    let end: Command = Action::End {
        job: "j".to_owned(),
    }
    .into();
    assert_eq!(
        table.without_effect(&end, 0),
        None,
        "settled only by the log"
    );
    table.apply(1, submit("j", &["a"]).into());
    assert_eq!(table.apply(2, end), Outcome::Done);
}

#[test]
fn job_without_tenant_remains_accessible() {
    let mut table = JobTable::default();
    submit_checked(&mut table, tenant_header(None, "old", None), &["a"]);
    let key_of_ann = key("ann", "old");
    assert!(table.results(&key_of_ann, 0, PAGE_BYTES).is_some());
    assert!(table.body(&key_of_ann, "a").is_some());
    // Submitted again, it is the same job.
    assert_eq!(
        submit_checked(&mut table, tenant_header(Some("ann"), "old", None), &["a"]),
        Outcome::Done
    );
    assert_eq!(table.len(), 1);
    let end = Action::End { job: key_of_ann };
    assert_eq!(table.apply(2, end.into()), Outcome::Done);
    assert!(!table.is_job_open("old"));
}

#[test]
fn job_beyond_its_tenants_waiting_tokens_is_refused() {
    // Each item has 10 tokens.
    let max_tokens = Some(30);
    let mut table = JobTable::default();
    let ann = |id: &str| tenant_header(Some("ann"), id, max_tokens);
    assert_eq!(
        submit_checked(&mut table, ann("1"), &["a", "b"]),
        Outcome::Done
    );
    assert_eq!(
        submit_checked(&mut table, ann("2"), &["c", "d"]),
        Outcome::TooMuchWaiting
    );
    assert!(!table.contains(&key("ann", "2")));
    assert_eq!(
        submit_checked(&mut table, ann("1"), &["a", "b"]),
        Outcome::Done,
        "submitted again"
    );
    assert_eq!(
        submit_checked(
            &mut table,
            tenant_header(Some("bob"), "2", max_tokens),
            &["c", "d"]
        ),
        Outcome::Done
    );
    assert_eq!(
        submit_checked(&mut table, tenant_header(Some("eve"), "3", None), &["c"; 9]),
        Outcome::Done
    );
    // Applied without a check before, as two jobs may be proposed together.
    let items = vec![item("c"), item("d")];
    let command: Command = Action::Submit {
        header: ann("2"),
        items,
    }
    .into();
    assert_eq!(table.apply(5, command), Outcome::TooMuchWaiting);
    let completion = Completion {
        job: key("ann", "1"),
        item: 0,
        outcome: done("t"),
    };
    table.apply(6, Action::Complete(vec![completion]).into());
    assert_eq!(
        submit_checked(&mut table, ann("2"), &["c", "d"]),
        Outcome::Done,
        "enough tokens are free now"
    );
}

/// Job header as stored before there were tenants.
#[derive(serde::Serialize)]
struct LegacyHeader {
    job: &'static str,
    host: &'static str,
    attempts: u32,
    give_up_after: u64,
    due_after: Option<u64>,
}

#[test]
fn header_stored_before_tenants_is_readable() {
    let legacy = LegacyHeader {
        job: "j",
        host: "batch.example",
        attempts: 3,
        give_up_after: 60_000,
        due_after: Some(20_000),
    };
    let mut written = Vec::new();
    ciborium::into_writer(&legacy, &mut written).unwrap();
    let read: JobHeader = ciborium::from_reader(written.as_slice()).unwrap();
    let expected = JobHeader {
        route: String::new(),
        ..header("j")
    };
    assert_eq!(read, expected);
}
