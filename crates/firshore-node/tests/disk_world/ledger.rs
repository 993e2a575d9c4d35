//! Jobs that clients had accepted and the results they were shown; the clients' submissions and reads.

use crate::cluster::{items, pause, route, whole};
use firshore_adapter::jobs::{ItemOutcome, JobId, ResultPage};
use firshore_adapter::residency::ResidencyPermit;
use firshore_gateway::gateway::JobService;
use firshore_node::journal::client::JournalClient;
use firshore_stand_in::job_ledger::{JobLedger, ReadEnd, ShownResult};
use rand::RngExt;
use rand::rngs::StdRng;
use std::rc::Rc;
use std::time::Duration;

/// Number of items of a job.
pub const ITEMS: usize = 4;

/// Time after the last fault in which every accepted job must be readable completely.
const READ_LIMIT: Duration = Duration::from_secs(20);

/// Milliseconds between two submissions of a client.
const JOB_GAP_MS: std::ops::Range<u64> = 30..500;

/// Milliseconds between two reads of a client.
const READ_GAP_MS: std::ops::Range<u64> = 10..150;

/// Accepted jobs and the results shown to clients.
pub type ClientLedger = JobLedger<ItemOutcome>;

fn record_page(ledger: &ClientLedger, job: &str, from: u64, page: ResultPage) {
    for (position, result) in (from..).zip(page.results) {
        let (item, outcome) = (result.item, result.outcome);
        if outcome != whole() {
            ledger.report(format!("{job} position {position} holds {outcome:?}"));
        }
        ledger.note(job, position, ShownResult { item, outcome });
    }
}

/// Submits a job until it is accepted. Returns whether it was accepted before the ledger was closed.
pub async fn submit(client: &JournalClient, ledger: &ClientLedger, job: &str) -> bool {
    while !ledger.is_closed() {
        ledger.count_request();
        let response = client.submit(
            route(),
            ResidencyPermit::default(),
            JobId::of_nobody(job),
            items(ITEMS),
        );
        if response.await.is_ok() {
            ledger.accept(job);
            return true;
        }
        pause().await;
    }
    false
}

/// Submits jobs one after the other until the ledger is closed.
pub async fn submit_jobs(client: Rc<JournalClient>, ledger: Rc<ClientLedger>, mut random: StdRng) {
    let mut count = 0;
    while submit(&client, &ledger, &format!("job{count}")).await {
        count += 1;
        let gap = random.random_range(JOB_GAP_MS);
        actix_rt::time::sleep(Duration::from_millis(gap)).await;
    }
}

/// Reads random accepted jobs from random positions, and compares the results with those shown before.
pub async fn read_jobs(client: Rc<JournalClient>, ledger: Rc<ClientLedger>, mut random: StdRng) {
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

async fn read(client: &JournalClient, ledger: &ClientLedger, job: &str, from: u64) -> ReadEnd {
    ledger.count_request();
    let page = client.results(JobId::of_nobody(job), from, Duration::ZERO);
    match page.await {
        Ok(Some(page)) => {
            let count = page.results.len();
            record_page(ledger, job, from, page);
            ReadEnd::Shown(count)
        }
        Ok(None) => {
            ledger.note_gone(job);
            ReadEnd::Gone
        }
        Err(_) => ReadEnd::Refused,
    }
}

/// Reads all accepted jobs completely, from the start.
pub async fn read_all(client: &JournalClient, ledger: &ClientLedger) {
    let read_whole = async |job: &str| read(client, ledger, job, 0).await;
    ledger.read_all(ITEMS, READ_LIMIT, read_whole).await;
}
