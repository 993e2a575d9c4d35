//! What callers get for everything that back ends do, and what back ends get to see.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_gateway::serve;
use firshore_stand_in::adapter::{DEADLINE, REQUEST_ID};
use firshore_stand_in::backend::{EVENTS, Play};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use support::{Place, gateway, send};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Got {
    /// A whole answer: status and body.
    Whole(u16, String),
    /// A stream that came to its end: its events.
    Events(Vec<String>),
    /// A stream that broke off after these events.
    Broken(Vec<String>),
    /// Nothing.
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

async fn place(scripts: &[&[Play]], afterwards: Play) -> Place {
    support::place(configuration(), scripts, afterwards).await
}

async fn ask(callers: SocketAddr, path: &str, more: &str) -> Got {
    let mut stream = send(callers, path, more).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    understand(&String::from_utf8(answer).unwrap())
}

fn understand(answer: &str) -> Got {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return Got::Closed;
    };
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    if !head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked")
    {
        return Got::Whole(status, body.to_owned());
    }
    let events = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = events.map(str::to_owned).collect();
    match body.ends_with("0\r\n\r\n") {
        true => Got::Events(events),
        false => Got::Broken(events),
    }
}

fn events(last: u64) -> Vec<String> {
    (1..=last).map(|number| format!("e{number}")).collect()
}

/// Compares an answer with what is expected; errors by their status alone.
fn matches(got: &Got, expected: &Got) -> bool {
    match (got, expected) {
        (Got::Whole(status, _), Got::Whole(wanted, text)) if text.is_empty() => status == wanted,
        _ => got == expected,
    }
}

fn status(status: u16) -> Got {
    Got::Whole(status, String::new())
}

#[test]
fn callers_get_whole_answers_or_none() {
    let of = |number: u32| Got::Whole(200, format!("answer of b{number}"));
    let failed = |number: u32| Got::Whole(500, format!("answer of b{number}"));
    let whole = Got::Events(events(EVENTS));
    // The first back end that is asked plays the script; the other answers afterwards.
    let cases: Vec<(&str, Play, Got, usize)> = vec![
        ("/idempotent/", Play::Whole, of(0), 1),
        ("/idempotent/", Play::ByClose, of(0), 1),
        ("/idempotent/", Play::Surplus, of(0), 1),
        ("/idempotent/", Play::Half, of(1), 2),
        ("/idempotent/", Play::Garbage, of(1), 2),
        ("/idempotent/", Play::Closed, of(1), 2),
        ("/idempotent/", Play::Unvouched, of(1), 2),
        ("/idempotent/", Play::FalsePromise, of(1), 2),
        ("/idempotent/", Play::Fails, of(1), 2),
        ("/idempotent/", Play::NotRun, of(1), 2),
        ("/idempotent/", Play::Misdirected, of(1), 2),
        (
            "/idempotent/",
            Play::Impossible,
            Got::Whole(422, "answer of b0".into()),
            1,
        ),
        ("/idempotent/", Play::Hangs, status(504), 1),
        ("/once/", Play::Whole, of(0), 1),
        ("/once/", Play::Half, status(502), 1),
        ("/once/", Play::Garbage, status(502), 1),
        ("/once/", Play::Closed, status(502), 1),
        ("/once/", Play::Unvouched, status(502), 1),
        ("/once/", Play::FalsePromise, status(502), 1),
        ("/once/", Play::Fails, failed(0), 1),
        ("/once/", Play::NotRun, of(1), 2),
        ("/once/", Play::Misdirected, of(1), 2),
        ("/once/", Play::Hangs, status(504), 1),
        ("/stream/", Play::Events, whole.clone(), 1),
        ("/stream/", Play::Breaks(2), Got::Broken(events(2)), 1),
        ("/stream/", Play::Stalls(2), Got::Broken(events(2)), 1),
        ("/stream/", Play::Closed, status(502), 1),
        ("/stream/", Play::NotRun, whole.clone(), 2),
        ("/resumable/", Play::Events, whole.clone(), 1),
        ("/resumable/", Play::Breaks(2), whole.clone(), 2),
        ("/resumable/", Play::Closed, whole.clone(), 2),
        ("/resumable/", Play::Stalls(2), Got::Broken(events(2)), 1),
    ];
    for (path, play, expected, sends) in cases {
        let streams = matches!(path, "/stream/" | "/resumable/");
        let afterwards = if streams { Play::Events } else { Play::Whole };
        actix_rt::System::new().block_on(async {
            // Only the first back end is there until it has been asked.
            let place = place(&[&[play], &[]], afterwards).await;
            let first = place.backends[1].name.clone();
            place
                .gateway
                .fleet
                .borrow_mut()
                .started(std::time::Instant::now(), &Incarnation::named(first));
            let got = ask(place.callers, path, "").await;
            assert!(matches(&got, &expected), "{path} {play:?}: {got:?}");
            assert_eq!(place.seen().len(), sends, "{path} {play:?}: sends");
        });
    }
}

#[test]
fn back_ends_see_the_request_unchanged_with_the_time_left() {
    actix_rt::System::new().block_on(async {
        let place = place(&[&[]], Play::Whole).await;
        let more = format!("{DEADLINE}: 5000\r\nx-own: kept\r\n");
        ask(place.callers, "/once/", &more).await;
        let seen = place.seen().remove(0);
        assert_eq!(seen.path, "/once/x?q=1");
        assert_eq!(seen.body, b"body");
        assert_eq!(seen.meant_for(), "b0");
        let header = |name: &str| seen.headers.get(name).cloned().unwrap_or_default();
        assert_eq!(header("x-own"), "kept");
        assert_eq!(header(REQUEST_ID), "r1");
        let left: u64 = header(DEADLINE).parse().unwrap();
        assert!(left <= 400, "the route's time is shorter: {left}");
    });
}

#[test]
fn a_resumed_stream_starts_after_the_last_whole_event() {
    actix_rt::System::new().block_on(async {
        let place = place(&[&[Play::Breaks(3)], &[Play::Breaks(3)]], Play::Events).await;
        let got = ask(place.callers, "/resumable/", "").await;
        assert_eq!(got, Got::Events(events(EVENTS)));
        let resumed: Vec<_> = place
            .seen()
            .iter()
            .map(|seen| seen.headers.get("x-resume-after").cloned())
            .collect();
        assert!(resumed.contains(&None) && resumed.contains(&Some("3".to_owned())));
    });
}

#[test]
fn a_caller_that_leaves_stops_the_back_end() {
    for (path, play) in [("/once/", Play::Hangs), ("/stream/", Play::Stalls(1))] {
        actix_rt::System::new().block_on(async {
            let place = place(&[&[play]], play).await;
            let mut stream = send(place.callers, path, "").await;
            while place.seen().is_empty() {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
            if path == "/stream/" {
                let _ = stream.read(&mut [0; 16]).await;
            }
            drop(stream);
            while place.backends[0].left() == 0 {
                actix_rt::time::sleep(Duration::from_millis(1)).await;
            }
        });
    }
}

#[test]
fn nothing_is_promised_that_is_not_so() {
    actix_rt::System::new().block_on(async {
        let place = place(&[&[]], Play::NotRun).await;
        let got = ask(place.callers, "/once/", "").await;
        assert!(matches(&got, &status(503)), "refused by all: {got:?}");
        let got = ask(place.callers, "/unknown/", "").await;
        assert!(matches(&got, &status(404)), "no route: {got:?}");
        place.gateway.fleet.borrow_mut().replace(Vec::new());
        let got = ask(place.callers, "/once/", "").await;
        assert!(matches(&got, &status(503)), "no back end: {got:?}");
    });
}

#[test]
fn a_node_that_knows_no_configuration_says_when_to_come_back() {
    actix_rt::System::new().block_on(async {
        let gateway = Rc::new(gateway(None));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let callers = listener.local_addr().unwrap();
        actix_rt::spawn(serve::accept(gateway, listener));
        let mut stream = send(callers, "/once/", "").await;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.unwrap();
        assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
        assert!(
            answer.to_ascii_lowercase().contains("retry-after: 0.5"),
            "{answer}"
        );
    });
}

#[test]
fn a_surplus_answer_reaches_no_other_request() {
    actix_rt::System::new().block_on(async {
        let place = place(&[&[Play::Surplus]], Play::Whole).await;
        for _ in 0..3 {
            let got = ask(place.callers, "/once/", "").await;
            assert_eq!(got, Got::Whole(200, "answer of b0".to_owned()));
        }
    });
}
