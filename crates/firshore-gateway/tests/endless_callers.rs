//! Callers that send bytes without end behind a request, as fast as they are read, or that read an endless answer slowly.
//!
//! Guards against a loop that keeps its thread from all other work, and against a request that outlives its time.

mod support;

use firshore_stand_in::adapter::SIGNATURE;
use firshore_stand_in::backend::Play;
use firshore_stand_in::endless::EndlessServer;
use serde_json::json;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::Ordering;
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;
use support::answers::{Asking, Received, ask};
use support::endless::{endless_entry, is_ordinary, run_watched};
use support::{fixture_of, gateway, listed};

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 256 * 1024;

/// Blocks after which the caller certainly sends behind its request.
const BLOCKS_FLOWING: usize = 40;

/// Ordinary requests beside the endless caller.
const ORDINARY_REQUESTS: usize = 20;

/// Receive buffer of a slow caller, and what it reads at once, in bytes; and the time between two reads.
const SLOW_READ_BYTES: usize = 4 * 1024;
const SLOW_READ_INTERVAL: Duration = Duration::from_secs(1);

const REQUEST: &str = "GET /endless/x HTTP/1.1\r\nhost: a.example\r\ncontent-length: 0\r\n\r\n";

const ASKING: Asking = Asking {
    version: "1.1",
    connection: "close",
};

/// What a caller does with its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// It reads it.
    Reads,
    /// It never reads.
    Ignores,
}

/// Sends a request, and bytes without end behind it, on a thread of its own. Returns a receiver that gets a message for
/// each block of them.
fn start_caller(address: SocketAddr, reading: Reading) -> Receiver<()> {
    let (block_sent, blocks) = mpsc::channel();
    std::thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST.as_bytes()).unwrap();
        if reading == Reading::Reads {
            let mut answer = stream.try_clone().unwrap();
            std::thread::spawn(move || {
                let mut bytes = [0; BLOCK_BYTES];
                while answer.read(&mut bytes).is_ok_and(|len| len > 0) {}
            });
        }
        let block = vec![b'x'; BLOCK_BYTES];
        while stream.write_all(&block).is_ok() {
            let _ = block_sent.send(());
        }
    });
    blocks
}

/// Checks that ordinary requests at the same thread are answered beside an endless caller, to whose request the back end
/// sends `start`, and then `piece` without end.
fn check(start: &str, piece: &str, reading: Reading) {
    let endless = EndlessServer::start(start, piece);
    run_watched(move || async move {
        let route = |prefix: &str, service: &str| {
            json!({"prefix": prefix, "service": service, "repetition": "idempotent",
                "timeout": 10_000, "attempts": 1})
        };
        let routes = [route("/endless/", "endless"), route("/ordinary/", "s")];
        let configuration = json!({"version": 1, "routes": routes});
        let fixture = fixture_of(gateway(None), configuration, &[&[]], Play::Whole).await;
        let entries = vec![listed(&fixture.backends[0], None), endless_entry(&endless)];
        fixture.gateway.replace_backends(entries);
        let blocks = start_caller(fixture.address, reading);
        for _ in 0..BLOCKS_FLOWING {
            while blocks.try_recv().is_err() {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        }
        for _ in 0..ORDINARY_REQUESTS {
            let received = ask(fixture.address, "/ordinary/", ASKING).await;
            assert!(is_ordinary(&received), "{received:?}");
        }
    });
}

fn endless_head() -> String {
    format!("HTTP/1.1 200 OK\r\n{SIGNATURE}: a\r\n\r\n")
}

#[test]
fn bytes_without_end_behind_a_pending_request_kept_the_thread() {
    // The back end sends half a head, and nothing more for a long time.
    check("HTTP/1.1 200 OK\r\n", "", Reading::Reads);
}

#[test]
fn bytes_without_end_behind_an_answer_kept_the_thread() {
    check(&endless_head(), "body", Reading::Reads);
}

#[test]
fn bytes_without_end_of_a_caller_that_never_reads_kept_the_thread() {
    check(&endless_head(), "body", Reading::Ignores);
}

/// Starts a caller that reads an answer slowly, but never stops.
fn start_slow_caller(address: SocketAddr) {
    std::thread::spawn(move || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(SLOW_READ_BYTES).unwrap();
        socket.connect(&address.into()).unwrap();
        let mut stream = TcpStream::from(socket);
        stream.write_all(REQUEST.as_bytes()).unwrap();
        let mut bytes = [0; SLOW_READ_BYTES];
        while stream.read(&mut bytes).is_ok_and(|len| len > 0) {
            std::thread::sleep(SLOW_READ_INTERVAL);
        }
    });
}

/// The time of a request was looked at only between two chunks of its answer. It ends before that of a request that began
/// later and has more time.
#[test]
fn answer_without_end_was_passed_on_to_a_slow_caller_past_its_time() {
    let endless = EndlessServer::start(&endless_head(), "body");
    run_watched(move || async move {
        let route = |prefix: &str, service: &str, timeout: u64| {
            json!({"prefix": prefix, "service": service, "repetition": "idempotent",
                "timeout": timeout, "attempts": 1})
        };
        let routes = [
            route("/endless/", "endless", 500),
            route("/hanging/", "s", 2_500),
        ];
        let configuration = json!({"version": 1, "routes": routes});
        let fixture = fixture_of(gateway(None), configuration, &[&[]], Play::Hangs).await;
        let entries = vec![listed(&fixture.backends[0], None), endless_entry(&endless)];
        fixture.gateway.replace_backends(entries);
        start_slow_caller(fixture.address);
        while endless.open.load(Ordering::SeqCst) == 0 {
            actix_rt::time::sleep(Duration::from_millis(1)).await;
        }
        let hanging = ask(fixture.address, "/hanging/", ASKING).await;
        assert!(matches!(hanging, Received::Complete(504, _)), "{hanging:?}");
        assert_eq!(endless.open.load(Ordering::SeqCst), 0);
    });
}
