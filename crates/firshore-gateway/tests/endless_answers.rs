//! Back ends and callers that send bytes without end, as fast as they are read.
//!
//! Guards against a request that never ends, and against a loop that keeps its thread from all other work.

mod support;

use firshore_stand_in::adapter::{REQUEST_ID, SIGNATURE};
use firshore_stand_in::backend::Play;
use firshore_stand_in::endless::EndlessServer;
use firshore_stand_in::watchdog::HANGS_AFTER;
use serde_json::json;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use support::answers::{Asking, Received, ask};
use support::endless::{endless_entry, is_ordinary, run_watched};
use support::{Fixture, fixture_of, gateway, listed};
use tokio::time::timeout;

/// Timeout of the routes to endless back ends, in milliseconds.
const ROUTE_TIMEOUT_MS: u64 = 600;

const PATHS: [&str; 4] = ["/idempotent/", "/once/", "/stream/", "/resumable/"];

const ASKING: Asking = Asking {
    version: "1.1",
    connection: "close",
};

/// Starts a gateway with this back end and an ordinary one.
async fn start(endless: &EndlessServer) -> Fixture {
    let route = |prefix: &str, repetition: &str, service: &str, timeout: u64| {
        json!({"prefix": prefix, "service": service, "repetition": repetition, "timeout": timeout,
            "attempts": 2})
    };
    let routes = [
        route("/idempotent/", "idempotent", "endless", ROUTE_TIMEOUT_MS),
        route("/once/", "once", "endless", ROUTE_TIMEOUT_MS),
        route("/stream/", "stream", "endless", ROUTE_TIMEOUT_MS),
        route("/resumable/", "resumable", "endless", ROUTE_TIMEOUT_MS),
        route("/ordinary/", "idempotent", "s", 10_000),
    ];
    let configuration = json!({"version": 1, "routes": routes});
    let fixture = fixture_of(gateway(None), configuration, &[&[]], Play::Whole).await;
    let entries = vec![listed(&fixture.backends[0], None), endless_entry(endless)];
    fixture.gateway.replace_backends(entries);
    fixture
}

/// Asks for an endless answer on each route. Checks that each request ends without looking complete, that ordinary
/// requests at the same worker are answered meanwhile, and that the connections to the back end are closed.
fn check(start_bytes: &str, piece: &str) {
    let endless = EndlessServer::start(start_bytes, piece);
    run_watched(move || async move {
        let fixture = start(&endless).await;
        let address = fixture.address;
        let asking = PATHS.map(|path| {
            let asking =
                async move { (path, timeout(HANGS_AFTER, ask(address, path, ASKING)).await) };
            actix_rt::spawn(asking)
        });
        let first = ask(address, "/ordinary/", ASKING).await;
        assert!(is_ordinary(&first), "{first:?}");
        for asked in asking {
            while !asked.is_finished() {
                let ordinary = ask(address, "/ordinary/", ASKING).await;
                assert!(is_ordinary(&ordinary), "{ordinary:?}");
            }
            let (path, received) = asked.await.unwrap();
            let received = received.unwrap_or(Received::Pending);
            let is_allowed = match &received {
                Received::Complete(status, _) => *status >= 500,
                Received::Broken => true,
                Received::Pending => false,
            };
            assert!(is_allowed, "{path}: {received:?}");
        }
        let end = Instant::now() + HANGS_AFTER;
        while endless.open.load(Ordering::SeqCst) > 0 {
            assert!(Instant::now() < end, "connections are kept");
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    });
}

/// Returns a head with the mark of the back end and this field.
fn head(field: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{SIGNATURE}: a\r\n{field}\r\n")
}

#[test]
fn answers_to_other_requests_without_end_kept_the_thread() {
    let other = head(&format!("{REQUEST_ID}: other\r\ncontent-length: 2\r\n"));
    check("", &format!("{other}ab"));
}

#[test]
fn empty_answer_to_another_request_is_refused() {
    check(
        "",
        &head(&format!("{REQUEST_ID}: other\r\ncontent-length: 0\r\n")),
    );
}

#[test]
fn interim_answers_without_end_kept_the_thread() {
    check("", "HTTP/1.1 100 Continue\r\n\r\n");
}

#[test]
fn extension_of_a_chunk_without_end_kept_the_thread() {
    check(
        &format!("{}5;", head("transfer-encoding: chunked\r\n")),
        "extension",
    );
}

#[test]
fn trailers_without_end_kept_the_thread() {
    let start = format!(
        "{}5\r\nhello\r\n0\r\n",
        head("transfer-encoding: chunked\r\n")
    );
    check(&start, "x: trailer\r\n");
    check(&start, "trailer");
}

#[test]
fn body_until_close_without_end_was_passed_on() {
    check(&head(""), "body");
}

#[test]
fn chunks_without_end_were_passed_on() {
    let chunk = format!("400\r\n{}\r\n", "c".repeat(1_024));
    check(&head("transfer-encoding: chunked\r\n"), &chunk);
}

#[test]
fn tiny_chunks_without_end_were_passed_on() {
    check(&head("transfer-encoding: chunked\r\n"), "1\r\nc\r\n");
}

#[test]
fn comments_between_events_without_end_were_passed_on() {
    check(&head(""), ": comment\n\n");
}

#[test]
fn head_without_end_is_refused() {
    check("HTTP/1.1 200 OK\r\n", "x: field\r\n");
    check("HTTP/1.1 200 OK\r\nx: ", "value");
    check("", "\r\n");
    check("", "garbage");
}

#[test]
fn body_of_a_refusal_without_end_is_not_awaited() {
    check("HTTP/1.1 503 Odd\r\nx-not-run: 1\r\n\r\n", "body");
    check("HTTP/1.1 503 Odd\r\n\r\n", "body");
    check("HTTP/1.1 500 Odd\r\nx-signature: a\r\n\r\n", "body");
}
