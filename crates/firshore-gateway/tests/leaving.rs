//! What a stopping node tells the callers that it can't serve any more.

mod support;

use firshore_adapter::incarnation::BackendName;
use firshore_stand_in::adapter::REQUEST_ID;
use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place, Play, ScriptedBackend};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::Fixture;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that each caller has.
const TIMEOUT: Duration = Duration::from_millis(3_000);

/// Time until the node stops: less than its callers have.
const STOPS_IN: Duration = Duration::from_millis(2_500);

/// Number of callers; they arrive for longer than it takes to estimate this node's capacity from its refusals.
const CALLERS: usize = 50;

/// Time between two callers.
const GAP: Duration = Duration::from_millis(20);

/// Maximum wait before a retry at another node that has a slot now.
const MAX_WAIT_FOR_SLOT: Duration = Duration::from_millis(100);

/// Age of a view from which on it may not tell the load any more; only a stalled test reaches it.
const MAX_VIEW_AGE: Duration = Duration::from_millis(100);

/// Number of answers from which on run times are evidence for requests that may not be repeated.
const ENOUGH_ANSWERS: usize = 10;

/// A refusal as the caller reads it.
#[derive(Debug)]
struct Refused {
    retry_after: Duration,
    closes_connection: bool,
}

async fn fixture() -> Fixture {
    let fixture = fixture_with("idempotent", &[], Play::Whole).await;
    fixture.gateway.overload.enable(true);
    fixture
}

/// Returns a gateway without admission control, whose back end plays `script` and then `afterwards`.
async fn fixture_with(repetition: &str, script: &[Play], afterwards: Play) -> Fixture {
    let route = json!({"prefix": "/", "service": "s", "repetition": repetition,
        "timeout": TIMEOUT.as_millis() as u64, "attempts": 2});
    let configuration = json!({"version": 1, "routes": [route]});
    support::fixture(configuration, &[script], afterwards).await
}

/// Gives the node a new view, in which other nodes have `held` requests at the back end with its 10 slots.
fn view(fixture: &Fixture, held: u32) {
    let name: BackendName = fixture.backends[0].name.as_str().into();
    let mut random = StdRng::seed_from_u64(1);
    let mut fleet = fixture.gateway.fleet.borrow_mut();
    fleet.set_view_interval(GAP);
    fleet.apply_remote_load(Instant::now(), &HashMap::from([(name, held)]), &mut random);
}

/// Sends a request that allows to keep the connection open.
async fn request(address: SocketAddr) -> Result<(), Refused> {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "POST /x HTTP/1.1\r\nhost: a.example\r\n{REQUEST_ID}: r1\r\ncontent-length: 4\r\n\r\nbody"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let reading = stream.read_to_string(&mut response);
    let closed = tokio::time::timeout(Duration::from_secs(1), reading).await;
    if response.starts_with("HTTP/1.1 200") {
        return Ok(());
    }
    assert!(response.starts_with("HTTP/1.1 429"), "{response}");
    let head = response.to_ascii_lowercase();
    let wait = head
        .lines()
        .find_map(|line| line.strip_prefix("retry-after: "));
    Err(Refused {
        retry_after: Duration::from_secs_f64(wait.unwrap().parse().unwrap()),
        closes_connection: closed.is_ok() && head.contains("\r\nconnection: close"),
    })
}

/// Lets callers arrive at a stopping node, while other nodes have `held` requests at the back end.
async fn refusals(held: u32) -> Vec<Refused> {
    let fixture = fixture().await;
    view(&fixture, held);
    fixture
        .gateway
        .leaving
        .begin_until(Instant::now() + STOPS_IN);
    let mut refusals = Vec::new();
    for _ in 0..CALLERS {
        let viewed = Instant::now();
        view(&fixture, held);
        let refused = request(fixture.address).await.err();
        refusals.extend(refused.filter(|_| viewed.elapsed() < MAX_VIEW_AGE));
        actix_rt::time::sleep(GAP).await;
    }
    assert!(refusals.len() >= CALLERS / 2, "{refusals:?}");
    assert!(
        refusals.iter().all(|one| one.closes_connection),
        "{refusals:?}"
    );
    refusals
}

/// Guards against callers of a stopping node that give up, as they are told to wait for capacity that it lacks only
/// because it refuses all, though another node has a slot for them.
#[test]
fn callers_of_a_stopping_node_are_sent_to_a_slot_at_another_node() {
    actix_rt::System::new().block_on(async {
        let refusals = refusals(11).await;
        let waits: Vec<Duration> = refusals.iter().map(|one| one.retry_after).collect();
        assert!(
            waits.iter().all(|wait| *wait <= MAX_WAIT_FOR_SLOT),
            "{waits:?}"
        );
    });
}

/// Guards against callers of a stopping node that give up while the service is full: its own refusals are no sign that
/// the service has no capacity within their time.
#[test]
fn callers_of_a_stopping_node_of_a_full_service_retry_within_their_time() {
    actix_rt::System::new().block_on(async {
        let refusals = refusals(60).await;
        let waits: Vec<Duration> = refusals.iter().map(|one| one.retry_after).collect();
        assert!(waits.iter().all(|wait| *wait <= TIMEOUT / 3), "{waits:?}");
    });
}

/// Sends a request that is answered.
async fn request_before_stop(fixture: &Fixture) {
    let mut stream = support::send(fixture.address, "/", "").await;
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

/// Sends a request to a stopping node of an idle service whose back end answers `script` and then runs until the node has
/// stopped. Returns the refusal and the number of requests that reached the back end.
async fn late_request(
    repetition: &str,
    script: &[Play],
    admission_control: bool,
) -> (Refused, usize) {
    let fixture = fixture_with(repetition, script, Play::Hangs).await;
    fixture.gateway.overload.enable(admission_control);
    view(&fixture, 0);
    for _ in script {
        request_before_stop(&fixture).await;
    }
    let stops_at = Instant::now() + STOPS_IN;
    fixture.gateway.leaving.begin_until(stops_at);
    let refused = request(fixture.address).await.unwrap_err();
    (refused, fixture.seen().len())
}

/// Asserts that a caller was sent to another node, and that its request has not run.
fn assert_sent_elsewhere((refused, seen): (Refused, usize), seen_before: usize) {
    assert_eq!(seen, seen_before, "{refused:?}");
    assert!(refused.retry_after <= MAX_WAIT_FOR_SLOT, "{refused:?}");
    assert!(refused.closes_connection, "{refused:?}");
}

/// A cut of such a request can't be made good, so that the run time of one other is no reason to send it.
#[test]
fn stop_cuts_off_no_late_request_that_may_not_be_repeated() {
    actix_rt::System::new().block_on(async {
        for control in [true, false] {
            let answered = [Play::Whole];
            let late = late_request("once", &answered, control).await;
            assert_sent_elsewhere(late, answered.len());
        }
    });
}

/// Without a run of the route, nothing says that the request ends in time.
#[test]
fn stop_cuts_off_no_late_request_of_unknown_run_time() {
    actix_rt::System::new().block_on(async {
        for control in [true, false] {
            assert_sent_elsewhere(late_request("idempotent", &[], control).await, 0);
        }
    });
}

/// Asserts that a stopping node serves all late requests after `answered` ones.
async fn assert_serves_late_requests(repetition: &str, answered: usize) {
    for control in [true, false] {
        let fixture = fixture_with(repetition, &[], Play::Whole).await;
        fixture.gateway.overload.enable(control);
        view(&fixture, 0);
        for _ in 0..answered {
            request_before_stop(&fixture).await;
        }
        let stops_at = Instant::now() + STOPS_IN;
        fixture.gateway.leaving.begin_until(stops_at);
        for _ in 0..CALLERS {
            view(&fixture, 0);
            request(fixture.address).await.unwrap();
        }
    }
}

/// Guards against refusals of requests that the stopping node would have served in time.
#[test]
fn stopping_node_serves_repeatable_requests_with_short_runs() {
    actix_rt::System::new().block_on(assert_serves_late_requests("idempotent", 1));
}

/// Callers that were refused came back to a stopping node and were never served, though all runs of their route were short.
#[test]
fn short_requests_that_may_not_be_repeated_were_refused_by_a_stopping_node() {
    actix_rt::System::new().block_on(assert_serves_late_requests("once", ENOUGH_ANSWERS));
}

/// A send after a failed one is as late as a late request.
#[test]
fn stop_cuts_off_no_request_that_is_sent_again_late() {
    actix_rt::System::new().block_on(async {
        let breaks_off = Play::Cut(Cut {
            marking: Marking::Length,
            place: Place::Inside,
            closing: Closing::Orderly,
            content: Content::Text(0),
        });
        let fixture = fixture_with("idempotent", &[breaks_off], Play::Hangs).await;
        let first = &fixture.backends[0];
        first.hold_ends();
        let mut stream = support::send(fixture.address, "/", "").await;
        while first.seen().is_empty() {
            actix_rt::time::sleep(GAP).await;
        }
        let second = ScriptedBackend::start("b1", &[], Play::Hangs).await;
        let listed = [first, &second].map(|backend| support::listed(backend, Some("v1")));
        fixture.gateway.replace_backends(listed.to_vec());
        let stops_at = Instant::now() + STOPS_IN;
        fixture.gateway.leaving.begin_until(stops_at);
        first.release_ends();
        let mut response = String::new();
        let reading = stream.read_to_string(&mut response);
        let answered = tokio::time::timeout_at(stops_at.into(), reading).await;
        let runs = fixture.seen().len() + second.seen().len();
        assert!(answered.is_ok(), "{runs} runs and no answer");
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(runs, 1);
    });
}

/// An expected time may not be kept: the caller must get an answer all the same.
#[test]
fn stop_left_a_late_request_that_ran_longer_than_expected_without_an_answer() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture_with("idempotent", &[Play::Whole], Play::Hangs).await;
        request_before_stop(&fixture).await;
        let stops_at = Instant::now() + STOPS_IN;
        fixture.gateway.leaving.begin_until(stops_at);
        let mut stream = support::send(fixture.address, "/", "").await;
        let mut response = String::new();
        let reading = stream.read_to_string(&mut response);
        let answered = tokio::time::timeout_at(stops_at.into(), reading).await;
        assert!(answered.is_ok(), "no answer");
        assert!(response.starts_with("HTTP/1.1 502"), "{response}");
        assert_eq!(fixture.seen().len(), 2);
    });
}
