//! Back ends that send without end what is no part of an answer. The exchange ends by itself, without a timeout.

use actix_http::Method;
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeError, Reuse};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc;
use std::time::Duration;

/// Fails a test that hangs.
const HANGS_AFTER: Duration = Duration::from_secs(20);

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 64 * 1024;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Starts a back end that sends `start`, and then `piece` without end.
fn start_backend(start: &str, piece: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let start = start.to_owned();
    let block = piece.repeat(BLOCK_BYTES.div_ceil(piece.len()));
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request);
        let mut sent = stream.write_all(start.as_bytes());
        while sent.is_ok() {
            sent = stream.write_all(block.as_bytes());
        }
    });
    address
}

/// Returns the bytes of a body that begins with `start`, and goes on with `piece` without end.
async fn receive(start: &str, piece: &str) -> Result<Bytes, ExchangeError> {
    let address = start_backend(start, piece);
    let head = exchange::request_head(Method::GET, "/", address).unwrap();
    let connection = exchange::connect(address, Reuse::Never).await?;
    let is_expected = |head: &actix_http::ResponseHead| !head.headers.contains_key("other");
    let mut exchange = connection
        .send_expecting(head, Bytes::new(), is_expected)
        .await?;
    exchange.body.read_whole(BLOCK_BYTES).await
}

/// Checks that the exchange fails, on a thread of its own: one that never gets free can't detect that.
fn assert_ends(start: &'static str, piece: &'static str) {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let received = actix_rt::System::new().block_on(receive(start, piece));
        let _ = done.send(received);
    });
    let received = ended.recv_timeout(HANGS_AFTER);
    let received = received.unwrap_or_else(|_| panic!("{start:?}, {piece:?}: no end"));
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
