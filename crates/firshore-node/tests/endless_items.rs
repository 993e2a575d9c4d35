//! Items at a back end that sends bytes without end.
//!
//! Guards against a run that never ends, and against one that takes the leader's memory or thread.

mod cluster;

use cluster::*;
use firshore_stand_in::adapter::{BACKENDS, SIGNATURE};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::endless::EndlessServer;
use firshore_stand_in::watchdog::run_within;
use serde_json::json;
use std::sync::atomic::Ordering;

/// Items of the job.
const ITEMS: usize = 4;

/// Runs items at an endless back end until each was there, and at an ordinary one from then on. Checks that they get
/// their results.
async fn run_items(start: String, piece: String) {
    let cluster = Cluster::start().await;
    cluster.configure();
    let endless = EndlessServer::start(&start, &piece);
    let entry = json!({"service": "s", "address": endless.address, "slots": 10, "leaving": false,
        "software": "v1"});
    cluster.store.put(BACKENDS, "endless", entry);
    cluster.submit("job", ITEMS).await;
    while endless.requests.load(Ordering::SeqCst) < ITEMS {
        pause().await;
    }
    let ordinary = ScriptedBackend::start("ordinary", &[], Play::Events).await;
    cluster.put_backend(&ordinary, false);
    for (item, outcome) in cluster.results("job", ITEMS).await {
        assert_eq!(outcome, whole(), "{item}");
    }
}

/// Runs the test on a thread of its own: one whose thread never gets free could not detect that itself.
fn check(start: &str, piece: &str) {
    let (start, piece) = (start.to_owned(), piece.to_owned());
    run_within(HANGS_AFTER, || run(run_items(start, piece)));
}

fn head() -> String {
    format!("HTTP/1.1 200 OK\r\n{SIGNATURE}: a\r\n\r\n")
}

#[test]
fn item_at_a_back_end_that_sends_interim_answers_without_end_kept_the_thread() {
    check("", "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn item_whose_stream_had_comments_without_end_never_ended() {
    check(&head(), ": comment\n\n");
}

#[test]
fn item_whose_stream_had_events_without_end_took_the_memory() {
    check(&head(), "data: event\n\n");
}

#[test]
fn event_of_an_item_without_end_is_refused() {
    check(&head(), "data");
}
