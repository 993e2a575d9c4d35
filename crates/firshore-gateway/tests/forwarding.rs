//! Forwarding: the responses that callers get for each behaviour of back ends, and the requests back ends see.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_gateway::serve;
use firshore_stand_in::adapter::{DEADLINE, REQUEST_ID};
use firshore_stand_in::backend::{EVENTS, Play};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{Fixture, gateway, send};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// What a caller receives.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Received {
    /// A complete response: status and body.
    Whole(u16, String),
    /// The events of a complete stream.
    Events(Vec<String>),
    /// The events of a truncated stream.
    Truncated(Vec<String>),
    /// No response: the connection was closed.
    Closed,
}

fn configuration() -> Value {
    let route = |prefix: &str, repetition: &str, attempts: u32| {
        json!({"prefix": prefix, "service": "s", "repetition": repetition, "timeout": 400,
            "attempts": attempts})
    };
    let routes = [
        route("/idempotent/", "idempotent", 2),
        route("/once/", "once", 2),
        route("/stream/", "stream", 1),
        route("/resumable/", "resumable", 2),
    ];
    json!({"version": 1, "routes": routes})
}

async fn fixture(scripts: &[&[Play]], afterwards: Play) -> Fixture {
    support::fixture(configuration(), scripts, afterwards).await
}

async fn request(address: SocketAddr, path: &str, headers: &str) -> Received {
    let mut stream = send(address, path, headers).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    parse(&String::from_utf8(response).unwrap())
}

fn parse(response: &str) -> Received {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return Received::Closed;
    };
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    if !head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return Received::Whole(status, body.to_owned());
    }
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.map(str::to_owned).collect();
    match body.ends_with("0\r\n\r\n") {
        true => Received::Events(events),
        false => Received::Truncated(events),
    }
}

fn events(last: u64) -> Vec<String> {
    (1..=last).map(|number| format!("e{number}")).collect()
}

/// Returns whether a response is as expected. If the expected text is empty, only the status is compared.
fn matches(received: &Received, expected: &Received) -> bool {
    match (received, expected) {
        (Received::Whole(status, _), Received::Whole(expected_status, text)) if text.is_empty() => {
            status == expected_status
        }
        _ => received == expected,
    }
}

fn status(status: u16) -> Received {
    Received::Whole(status, String::new())
}

#[test]
fn callers_never_get_a_truncated_response_as_a_complete_one() {
    let success = |number: u32| Received::Whole(200, format!("answer of b{number}"));
    let failure = |number: u32| Received::Whole(500, format!("answer of b{number}"));
    let all_events = Received::Events(events(EVENTS));
    // The first back end plays the script, the second one responds as `afterwards`.
    let cases: Vec<(&str, Play, Received, usize)> = vec![
        ("/idempotent/", Play::Whole, success(0), 1),
        ("/idempotent/", Play::ByClose, success(0), 1),
        ("/idempotent/", Play::Surplus, success(0), 1),
        ("/idempotent/", Play::Half, success(1), 2),
        ("/idempotent/", Play::Garbage, success(1), 2),
        ("/idempotent/", Play::Closed, success(1), 2),
        ("/idempotent/", Play::Unvouched, success(1), 2),
        ("/idempotent/", Play::FalsePromise, success(1), 2),
        ("/idempotent/", Play::Fails, success(1), 2),
        ("/idempotent/", Play::NotRun, success(1), 2),
        ("/idempotent/", Play::Misdirected, success(1), 2),
        (
            "/idempotent/",
            Play::Impossible,
            Received::Whole(422, "answer of b0".into()),
            1,
        ),
        ("/idempotent/", Play::Hangs, status(504), 1),
        ("/once/", Play::Whole, success(0), 1),
        ("/once/", Play::Half, status(502), 1),
        ("/once/", Play::Garbage, status(502), 1),
        ("/once/", Play::Closed, status(502), 1),
        ("/once/", Play::Unvouched, status(502), 1),
        ("/once/", Play::FalsePromise, status(502), 1),
        ("/once/", Play::Fails, failure(0), 1),
        ("/once/", Play::NotRun, success(1), 2),
        ("/once/", Play::Misdirected, success(1), 2),
        ("/once/", Play::Hangs, status(504), 1),
        ("/stream/", Play::Events, all_events.clone(), 1),
        (
            "/stream/",
            Play::Breaks(2),
            Received::Truncated(events(2)),
            1,
        ),
        (
            "/stream/",
            Play::Stalls(2),
            Received::Truncated(events(2)),
            1,
        ),
        ("/stream/", Play::Closed, status(502), 1),
        ("/stream/", Play::NotRun, all_events.clone(), 2),
        ("/resumable/", Play::Events, all_events.clone(), 1),
        ("/resumable/", Play::Breaks(2), all_events.clone(), 2),
        ("/resumable/", Play::Closed, all_events.clone(), 2),
        (
            "/resumable/",
            Play::Stalls(2),
            Received::Truncated(events(2)),
            1,
        ),
    ];
    for (path, play, expected, sends) in cases {
        let is_stream = matches!(path, "/stream/" | "/resumable/");
        let afterwards = if is_stream { Play::Events } else { Play::Whole };
        actix_rt::System::new().block_on(async {
            // Load on the second back end, so that the first one is chosen first.
            let fixture = fixture(&[&[play], &[]], afterwards).await;
            let second = fixture.backends[1].name.clone();
            fixture
                .gateway
                .fleet
                .borrow_mut()
                .record_start(std::time::Instant::now(), &Incarnation::named(second));
            let received = request(fixture.address, path, "").await;
            assert!(
                matches(&received, &expected),
                "{path} {play:?}: {received:?}"
            );
            assert_eq!(fixture.seen().len(), sends, "{path} {play:?}: sends");
        });
    }
}

#[test]
fn back_ends_get_the_request_unchanged_with_the_remaining_time() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[]], Play::Whole).await;
        let headers = format!("{DEADLINE}: 5000\r\nx-own: kept\r\n");
        request(fixture.address, "/once/", &headers).await;
        let seen = fixture.seen().remove(0);
        assert_eq!(seen.path, "/once/x?q=1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.meant_for(), "b0");
        let header = |name: &str| seen.headers.get(name).cloned().unwrap_or_default();
        assert_eq!(header("x-own"), "kept");
        assert_eq!(header(REQUEST_ID), "r1");
        let left: u64 = header(DEADLINE).parse().unwrap();
        assert!(left <= 400, "the timeout of the route is shorter: {left}");
    });
}

#[test]
fn a_resumed_stream_starts_after_the_last_whole_event() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[Play::Breaks(3)], &[Play::Breaks(3)]], Play::Events).await;
        let received = request(fixture.address, "/resumable/", "").await;
        assert_eq!(received, Received::Events(events(EVENTS)));
        let resumed: Vec<_> = fixture
            .seen()
            .iter()
            .map(|seen| seen.headers.get("x-resume-after").cloned())
            .collect();
        assert!(resumed.contains(&None) && resumed.contains(&Some("3".to_owned())));
    });
}

#[test]
fn a_disconnect_of_the_caller_cancels_the_request() {
    for (path, play) in [("/once/", Play::Hangs), ("/stream/", Play::Stalls(1))] {
        actix_rt::System::new().block_on(async {
            let fixture = fixture(&[&[play]], play).await;
            let mut stream = send(fixture.address, path, "").await;
            while fixture.seen().is_empty() {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
            if path == "/stream/" {
                let _ = stream.read(&mut [0; 16]).await;
            }
            drop(stream);
            while fixture.backends[0].left() == 0 {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        });
    }
}

#[test]
fn a_request_that_cannot_be_sent_gets_the_right_status() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[]], Play::NotRun).await;
        let received = request(fixture.address, "/once/", "").await;
        assert!(
            matches(&received, &status(503)),
            "refused by all: {received:?}"
        );
        let received = request(fixture.address, "/unknown/", "").await;
        assert!(matches(&received, &status(404)), "no route: {received:?}");
        fixture
            .gateway
            .fleet
            .borrow_mut()
            .replace(Instant::now(), Vec::new());
        let received = request(fixture.address, "/once/", "").await;
        assert!(
            matches(&received, &status(503)),
            "no back end: {received:?}"
        );
    });
}

#[test]
fn without_a_configuration_callers_get_a_retry_time() {
    actix_rt::System::new().block_on(async {
        let gateway = Rc::new(gateway(None));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(serve::accept(gateway, listener));
        let mut stream = send(address, "/once/", "").await;
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(
            response.to_ascii_lowercase().contains("retry-after: 0.5"),
            "{response}"
        );
    });
}

#[test]
fn a_surplus_response_reaches_no_other_request() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[Play::Surplus]], Play::Whole).await;
        for _ in 0..3 {
            let received = request(fixture.address, "/once/", "").await;
            assert_eq!(received, Received::Whole(200, "answer of b0".to_owned()));
        }
    });
}
