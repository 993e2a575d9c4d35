//! Back ends that send without end. What is no part of an answer ends the exchange by itself, without a timeout; what is one
//! leaves the thread to other tasks.

use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeError, Reuse};
use firshore_stand_in::endless::EndlessServer;
use firshore_stand_in::watchdog::run_watched;
use std::cell::Cell;
use std::rc::Rc;

/// Maximum length of a body that is read, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Chunks that are read in a row at most, until other tasks of the thread get a turn.
const MAX_CHUNKS_IN_TURN: usize = 64;

/// Chunks that are read where other tasks wait for a turn.
const CHUNKS: usize = 100_000;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Returns the most chunks that were read in a row from an endless body, without a turn of another task.
async fn longest_turn(start: &str, piece: &str) -> usize {
    let address = EndlessServer::start(start, piece).address;
    let head = exchange::request_head(Method::GET, "/", address).unwrap();
    let connection = exchange::connect(address, Reuse::Never).await.unwrap();
    let mut exchange = connection.send(head, Bytes::new()).await.unwrap();
    let chunks_in_turn = Rc::<Cell<usize>>::default();
    let counter = chunks_in_turn.clone();
    actix_rt::spawn(async move {
        loop {
            counter.set(0);
            tokio::task::yield_now().await;
        }
    });
    let mut longest = 0;
    for _ in 0..CHUNKS {
        exchange.body.next().await.unwrap().unwrap();
        chunks_in_turn.set(chunks_in_turn.get() + 1);
        longest = longest.max(chunks_in_turn.get());
    }
    longest
}

/// Returns the bytes of a body that begins with `start`, and goes on with `piece` without end.
async fn receive(start: &str, piece: &str) -> Result<Bytes, ExchangeError> {
    let address = EndlessServer::start(start, piece).address;
    let head = exchange::request_head(Method::GET, "/", address).unwrap();
    let connection = exchange::connect(address, Reuse::Never).await?;
    let is_expected = |head: &actix_http::ResponseHead| !head.headers.contains_key("other");
    let mut exchange = connection
        .send_expecting(head, Bytes::new(), is_expected)
        .await?;
    exchange.body.read_whole(MAX_BODY_BYTES).await
}

/// Checks that the exchange fails, on a thread of its own: one that never gets free can't detect that.
fn assert_ends(start: &'static str, piece: &'static str) {
    println!("{start:?}, {piece:?}");
    let received = run_watched(|| actix_rt::System::new().block_on(receive(start, piece)));
    assert!(received.is_err(), "{start:?}, {piece:?}: {received:?}");
}

#[test]
fn interim_answers_without_end_were_skipped_for_ever() {
    assert_ends("", "HTTP/1.1 100 Continue\r\n\r\n");
    assert_ends("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n");
}

#[test]
fn answers_to_other_requests_without_end_were_skipped_for_ever() {
    assert_ends(
        "",
        "HTTP/1.1 200 OK\r\nother: 1\r\ncontent-length: 2\r\n\r\nab",
    );
    assert_ends(
        "",
        "HTTP/1.1 200 OK\r\nother: 1\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
    );
}

#[test]
fn chunk_extension_without_end_was_skipped_for_ever() {
    assert_ends(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5;",
        "extension",
    );
    assert_ends(
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5",
        " ",
    );
}

#[test]
fn trailers_without_end_were_skipped_for_ever() {
    let start = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n";
    assert_ends(start, "x: trailer\r\n");
    assert_ends(start, "trailer");
}

#[test]
fn size_of_a_chunk_without_end_was_read_for_ever() {
    assert_ends(CHUNKED, "0");
    assert_ends(CHUNKED, "f");
}

#[test]
fn head_without_end_is_refused() {
    assert_ends("", "\r\n");
    assert_ends("", "garbage");
    assert_ends("HTTP/1.1 200 OK\r\n", "x: field\r\n");
    assert_ends("HTTP/1.1 200 OK\r\nx: ", "value");
    assert_ends("HTTP/1.1 200 ", "reason");
}

#[test]
fn tiny_chunks_without_end_kept_other_tasks_waiting() {
    let longest = run_watched(|| {
        let turns = longest_turn(CHUNKED, "1\r\nc\r\n");
        actix_rt::System::new().block_on(turns)
    });
    assert!(longest <= MAX_CHUNKS_IN_TURN, "{longest} chunks in a row");
}
