//! What the table of jobs promises, whatever order commands come in.

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

/// The log that a table is applied from: entry 1 is its first command.
#[derive(Default)]
struct Applied {
    table: JobTable,
    commands: BTreeMap<LogIndex, Command>,
}

impl Applied {
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

fn applied(actions: Vec<Action>) -> Applied {
    let mut applied = Applied::default();
    for action in actions {
        applied.apply(Command { at: 1_000, action });
    }
    applied
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
    assert_eq!(table.listed("job"), expected);
    assert!(table.table.open_items().is_empty());
}

#[test]
fn a_job_submitted_again_stays_as_it_is() {
    let table = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 0, done("a")),
        submit("job", &["c"]),
    ]);
    let page = table.table.results("job", 0, PAGE_BYTES).unwrap();
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
    assert_eq!(table.listed("job"), vec![("a".to_owned(), done("a"))]);
    assert!(!table.table.is_open("job", 1));
    assert_eq!(table.table.body("job", "b"), None);
}

#[test]
fn bodies_are_read_until_the_result_is_listed() {
    let mut table = applied(vec![submit("job", &["a"])]);
    let body = table.table.body("job", "a").unwrap();
    assert_eq!(&*body.0, b"body of a");
    assert_eq!(table.table.body("job", "b"), None);
    table.apply(complete("job", 0, done("a")).into());
    assert_eq!(table.table.body("job", "a"), None);
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
                .table
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
    let mut table = Applied::default();
    table.apply(complete("job", 0, done("a")).into());
    let end = Action::End {
        job: "job".to_owned(),
    };
    assert_eq!(table.apply(end.into()), Outcome::UnknownJob);
    assert!(table.table.is_empty());
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
        table.table.without_effect(&forget(1_000), 0),
        Some(Outcome::Done),
        "nothing is older"
    );
    assert_eq!(table.table.without_effect(&forget(1_001), 0), None);
    table.apply(forget(1_001));
    assert!(table.table.results("open", 0, PAGE_BYTES).is_some());
    assert!(table.table.results("whole", 0, PAGE_BYTES).is_none());
}

#[test]
fn a_snapshot_restores_the_same_table() {
    let applied = applied(vec![
        submit("job", &["a", "b"]),
        complete("job", 1, done("b")),
    ]);
    let mut bytes = Vec::new();
    ciborium::into_writer(&applied.table, &mut bytes).unwrap();
    let restored = Applied {
        table: ciborium::from_reader(bytes.as_slice()).unwrap(),
        commands: applied.commands.clone(),
    };
    assert_eq!(restored.listed("job"), applied.listed("job"));
    assert_eq!(restored.table.open_items().len(), 1);
    let body = restored.table.body("job", "a");
    assert_eq!(body, applied.table.body("job", "a"));
}

#[test]
fn texts_stay_in_the_log_and_out_of_the_table() {
    const ITEMS: u32 = 200;
    const TEXT_BYTES: usize = 10_000;
    let ids: Vec<String> = (0..ITEMS).map(|number| format!("item-{number}")).collect();
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    let mut applied = applied(vec![submit("job", &ids)]);
    let text = "x".repeat(TEXT_BYTES);
    for item in 0..ITEMS {
        applied.apply(complete("job", item, done(&text)).into());
    }
    let mut snapshot = Vec::new();
    ciborium::into_writer(&applied.table, &mut snapshot).unwrap();
    let per_item = snapshot.len() / ITEMS as usize;
    assert!(
        per_item < 250,
        "{per_item} bytes of the table for each item"
    );
    let referenced = applied.table.referenced();
    assert_eq!(referenced.len(), ITEMS as usize);
    let forget = Action::Forget { before: u64::MAX };
    applied.apply(forget.into());
    assert!(applied.table.referenced().is_empty());
}

#[test]
fn a_result_whose_entry_is_missing_is_not_shown_as_absent() {
    let applied = applied(vec![submit("job", &["a"]), complete("job", 0, done("a"))]);
    let page = applied.table.results("job", 0, PAGE_BYTES).unwrap();
    assert_eq!(page.entries(), BTreeSet::from([2]));
    assert_eq!(page.into_result_page(BTreeMap::new()), None);
}

#[test]
fn failures_of_back_ends_are_counted_for_each_item() {
    let failed = |item, run| Action::Failed {
        job: "job".to_owned(),
        item,
        run,
    };
    let applied = applied(vec![
        submit("job", &["a", "b"]),
        failed(1, 11),
        failed(1, 12),
        failed(1, 12),
        failed(7, 13),
    ]);
    let failures = |item| applied.table.failures("job", item);
    assert_eq!((failures(0), failures(1), failures(7)), (0, 2, 0));
}

fn owned(tenant: Option<&str>, id: &str, most: Option<u64>) -> JobHeader {
    let job = JobId {
        tenant: tenant.map(TenantName::from),
        id: id.to_owned(),
    };
    JobHeader {
        job: job.journal_key(),
        tenant: job.tenant,
        most_waiting_tokens: most,
        ..header(id)
    }
}

fn key(tenant: &str, id: &str) -> String {
    owned(Some(tenant), id, None).job
}

fn taken(table: &mut JobTable, header: JobHeader, items: &[&str]) -> Outcome {
    let items = items.iter().map(|id| item(id)).collect();
    let command: Command = Action::Submit { header, items }.into();
    if let Some(outcome) = table.without_effect(&command, 0) {
        return outcome;
    }
    table.apply(1, command)
}

#[test]
fn jobs_of_one_tenant_do_not_exist_for_another() {
    let mut table = JobTable::default();
    taken(&mut table, owned(Some("ann"), "j", None), &["a", "b"]);
    taken(&mut table, owned(Some("bob"), "j", None), &["c"]);
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

#[test]
fn a_job_of_nobody_stays_known_once_there_are_tenants() {
    let mut table = JobTable::default();
    taken(&mut table, owned(None, "old", None), &["a"]);
    let asked = key("ann", "old");
    assert!(table.results(&asked, 0, PAGE_BYTES).is_some());
    assert!(table.body(&asked, "a").is_some());
    // Sent once more, it is the same job.
    assert_eq!(
        taken(&mut table, owned(Some("ann"), "old", None), &["a"]),
        Outcome::Done
    );
    assert_eq!(table.len(), 1);
    let end = Action::End { job: asked };
    assert_eq!(table.apply(2, end.into()), Outcome::Done);
    assert!(!table.is_job_open("old"));
}

#[test]
fn a_job_that_does_not_fit_among_what_its_tenant_has_waiting_is_not_taken_in() {
    // Each item has 10 tokens.
    let most = Some(30);
    let mut table = JobTable::default();
    let ann = |id: &str| owned(Some("ann"), id, most);
    assert_eq!(taken(&mut table, ann("1"), &["a", "b"]), Outcome::Done);
    assert_eq!(
        taken(&mut table, ann("2"), &["c", "d"]),
        Outcome::TooMuchWaiting
    );
    assert!(!table.contains(&key("ann", "2")));
    assert_eq!(
        taken(&mut table, ann("1"), &["a", "b"]),
        Outcome::Done,
        "sent again"
    );
    assert_eq!(
        taken(&mut table, owned(Some("bob"), "2", most), &["c", "d"]),
        Outcome::Done
    );
    assert_eq!(
        taken(&mut table, owned(Some("eve"), "3", None), &["c"; 9]),
        Outcome::Done
    );
    // Applied without having been looked at alone: two were proposed together.
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
        taken(&mut table, ann("2"), &["c", "d"]),
        Outcome::Done,
        "there is room now"
    );
}

/// What was known of a job before there were tenants.
#[derive(serde::Serialize)]
struct FormerHeader {
    job: &'static str,
    host: &'static str,
    attempts: u32,
    give_up_after: u64,
    due_after: Option<u64>,
}

#[test]
fn what_was_written_before_there_were_tenants_is_read() {
    let former = FormerHeader {
        job: "j",
        host: "batch.example",
        attempts: 3,
        give_up_after: 60_000,
        due_after: Some(20_000),
    };
    let mut written = Vec::new();
    ciborium::into_writer(&former, &mut written).unwrap();
    let read: JobHeader = ciborium::from_reader(written.as_slice()).unwrap();
    let expected = JobHeader {
        route: String::new(),
        ..header("j")
    };
    assert_eq!(read, expected);
}
