//! Items at a back end that sends bytes without end.
//!
//! Guards against a run that never ends, and against one that takes the leader's memory or thread.

mod cluster;

use cluster::*;
use firshore_stand_in::adapter::{BACKENDS, SIGNATURE};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc;

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// Items of the job.
const ITEMS: usize = 4;

/// Starts a back end that sends `start`, and then `piece` without end. Returns its address and the number of requests
/// that it received.
fn start_endless(start: String, piece: &str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::<AtomicUsize>::default();
    let counter = received.clone();
    let block = piece.repeat(BLOCK_BYTES.div_ceil(piece.len()));
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let (start, block, counter) = (start.clone(), block.clone(), counter.clone());
            std::thread::spawn(move || {
                let mut request = [0; 4 * 1024];
                if stream.read(&mut request).is_ok_and(|len| len > 0) {
                    counter.fetch_add(1, Ordering::SeqCst);
                }
                let mut sent = stream.write_all(start.as_bytes());
                while sent.is_ok() {
                    sent = stream.write_all(block.as_bytes());
                }
            });
        }
    });
    (address, received)
}

/// Runs items at an endless back end until each was there, and at an ordinary one from then on. Checks that they get
/// their results.
async fn run_items(start: String, piece: String) {
    let cluster = Cluster::start().await;
    cluster.configure();
    let (address, received) = start_endless(start, &piece);
    let entry = json!({"service": "s", "address": address, "slots": 10, "leaving": false,
        "software": "v1"});
    cluster.store.put(BACKENDS, "endless", entry);
    cluster.submit("job", ITEMS).await;
    while received.load(Ordering::SeqCst) < ITEMS {
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
    let (done, ended) = mpsc::channel();
    let (start, piece) = (start.to_owned(), piece.to_owned());
    std::thread::spawn(move || {
        run(run_items(start, piece));
        let _ = done.send(());
    });
    let end = ended.recv_timeout(HANGS_AFTER);
    assert!(end.is_ok(), "the test failed or its thread hung");
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
