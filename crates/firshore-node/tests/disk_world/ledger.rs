//! What callers were promised and shown, and what they do to learn it.

use crate::cluster::{items, pause, route, whole};
use firshore_adapter::jobs::{ItemOutcome, JobId, ResultPage};
use firshore_gateway::gateway::JobService;
use firshore_node::journal::client::JournalClient;
use firshore_stand_in::job_ledger::{JobLedger, ReadEnd, ShownResult};
use rand::RngExt;
use rand::rngs::StdRng;
use std::rc::Rc;
use std::time::Duration;

/// Items of a job.
pub const ITEMS: usize = 4;

/// Time in which everything accepted is read whole once all faults are over.
const READ_WITHIN: Duration = Duration::from_secs(20);

/// Milliseconds between two jobs of a caller.
const JOB_GAP_MS: std::ops::Range<u64> = 30..500;

/// Milliseconds between two reads of a caller.
const READ_GAP_MS: std::ops::Range<u64> = 10..150;

/// What callers know.
pub type NodeLedger = JobLedger<ItemOutcome>;

fn note_page(ledger: &NodeLedger, job: &str, from: u64, page: ResultPage) {
    for (position, result) in (from..).zip(page.results) {
        let (item, outcome) = (result.item, result.outcome);
        if outcome != whole() {
            ledger.report(format!("{job} position {position} holds {outcome:?}"));
        }
        ledger.note(job, position, ShownResult { item, outcome });
    }
}

/// Hands a job in, again and again until it is accepted; tells whether it was before callers ended.
pub async fn submit(client: &JournalClient, ledger: &NodeLedger, job: &str) -> bool {
    while !ledger.is_closed() {
        ledger.count_request();
        let answer = client.submit(route(), JobId::of_nobody(job), items(ITEMS));
        if answer.await.is_ok() {
            ledger.accept(job);
            return true;
        }
        pause().await;
    }
    false
}

/// Hands in one job after the other.
pub async fn submit_jobs(client: Rc<JournalClient>, ledger: Rc<NodeLedger>, mut random: StdRng) {
    let mut count = 0;
    while submit(&client, &ledger, &format!("job{count}")).await {
        count += 1;
        let gap = random.random_range(JOB_GAP_MS);
        actix_rt::time::sleep(Duration::from_millis(gap)).await;
    }
}

/// Reads accepted jobs from any position, and compares with what was shown before.
pub async fn read_jobs(client: Rc<JournalClient>, ledger: Rc<NodeLedger>, mut random: StdRng) {
    while !ledger.is_closed() {
        let gap = random.random_range(READ_GAP_MS);
        actix_rt::time::sleep(Duration::from_millis(gap)).await;
        let accepted = ledger.accepted();
        if accepted.is_empty() {
            continue;
        }
        let job = &accepted[random.random_range(0..accepted.len())];
        read(&client, &ledger, job, random.random_range(0..ITEMS as u64)).await;
    }
}

async fn read(client: &JournalClient, ledger: &NodeLedger, job: &str, from: u64) -> ReadEnd {
    ledger.count_request();
    let page = client.results(JobId::of_nobody(job), from, Duration::ZERO);
    match page.await {
        Ok(Some(page)) => {
            let count = page.results.len();
            note_page(ledger, job, from, page);
            ReadEnd::Shown(count)
        }
        Ok(None) => {
            ledger.note_gone(job);
            ReadEnd::Gone
        }
        Err(_) => ReadEnd::Refused,
    }
}

/// Reads everything accepted, from the start and whole.
pub async fn read_all(client: &JournalClient, ledger: &NodeLedger) {
    let read_whole = async |job: &str| read(client, ledger, job, 0).await;
    ledger.read_all(ITEMS, READ_WITHIN, read_whole).await;
}
