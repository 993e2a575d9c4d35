//! Callers that send bytes without end behind a request, as fast as they are read.
//!
//! Guards against a loop that keeps its thread from all other work.

mod support;

use firshore_stand_in::adapter::{REQUEST_ID, SIGNATURE};
use firshore_stand_in::backend::Play;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::time::Duration;
use support::answers::{Asking, ask};
use support::endless::{EndlessBackend, is_ordinary, run_watched};
use support::{fixture_of, gateway, listed};

/// Bytes that are written at once.
const BLOCK_BYTES: usize = 256 * 1024;

/// Blocks after which the caller certainly sends behind its request.
const BLOCKS_FLOWING: usize = 40;

/// Ordinary requests beside the endless caller.
const ORDINARY_REQUESTS: usize = 20;

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
        let request = format!(
            "GET /endless/x HTTP/1.1\r\nhost: a.example\r\n{REQUEST_ID}: r1\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
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
    let endless = EndlessBackend::start(start, piece);
    run_watched(move || async move {
        let route = |prefix: &str, service: &str| {
            json!({"prefix": prefix, "service": service, "repetition": "idempotent",
                "timeout": 10_000, "attempts": 1})
        };
        let routes = [route("/endless/", "endless"), route("/ordinary/", "s")];
        let configuration = json!({"version": 1, "routes": routes});
        let fixture = fixture_of(gateway(None), configuration, &[&[]], Play::Whole).await;
        let entries = vec![listed(&fixture.backends[0], None), endless.entry()];
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
