//! A stream that a caller takes up, without naming the attempt that began it, at a node whose copy of the back ends is
//! older than the request: a back end of another software version may have joined and begun the stream meanwhile.

mod support;

use firshore_gateway::freshness::{Freshness, FreshnessSource};
use firshore_gateway::gateway::OriginStore;
use firshore_gateway::stream_origin::{OriginAnswers, OriginKnowledge, OriginQuery, OriginRecord};
use firshore_stand_in::adapter::RESUME_AFTER;
use firshore_stand_in::backend::Play;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{Fixture, send};
use tokio::io::AsyncReadExt;

/// Bound on the age of the back ends, for decisions about back ends that leave.
const BOUND: Duration = Duration::from_secs(2);

/// Age of the node's copy when the stream is taken up.
const AGE: Duration = Duration::from_secs(1);

/// Time until the node hears of the store again.
const NEWS_DELAY: Duration = Duration::from_millis(100);

/// Other nodes, which answer queries with these.
#[derive(Default)]
struct Others(RefCell<Vec<OriginKnowledge>>);

impl OriginStore for Others {
    fn record(&self, _: Vec<OriginRecord>) -> LocalBoxFuture<'_, bool> {
        std::future::ready(true).boxed_local()
    }

    fn query(&self, _: OriginQuery) -> LocalBoxFuture<'_, OriginAnswers> {
        let answers = OriginAnswers {
            known: self.0.borrow().clone(),
            has_holders: true,
            holder_answered: false,
        };
        std::future::ready(answers).boxed_local()
    }
}

fn knows(versions: &[&str], complete: bool) -> OriginKnowledge {
    OriginKnowledge {
        record: None,
        versions: versions.iter().map(|version| (*version).into()).collect(),
        complete,
    }
}

/// Records that the copy was current for 30 s without a gap, last `age` ago.
fn observe_until(freshness: &Freshness, age: Duration) {
    freshness.limit_age(BOUND);
    for seconds in (0..=30).rev().step_by(5) {
        let as_of = firshore_clock::now() - age - Duration::from_secs(seconds);
        freshness.confirm(as_of, FreshnessSource::Store);
    }
}

/// Starts a node whose copy, [`AGE`] old, lists back ends of one version; the other nodes answer with `known`.
async fn node_out_of_step(known: &[OriginKnowledge]) -> Fixture {
    let others = Others(RefCell::new(known.to_vec()));
    let gateway = support::gateway(None).with_origin_store(Rc::new(others));
    let route = json!({"prefix": "/resumable/", "service": "s", "repetition": "resumable",
        "timeout": 4_000, "attempts": 3});
    let configuration = json!({"version": 1, "routes": [route]});
    let fixture = support::fixture_of(gateway, configuration, &[&[], &[]], Play::Events).await;
    fixture.list_software(&["v1", "v1"]);
    observe_until(&fixture.gateway.freshness.backends, AGE);
    fixture
}

/// Takes a stream up without naming the attempt that began it, and returns the response and its time.
async fn take_up(fixture: &Fixture) -> (String, Duration) {
    let sent_at = Instant::now();
    let headers = format!("{RESUME_AFTER}: 2\r\n");
    let mut stream = send(fixture.address, "/resumable/", &headers).await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    (response, sent_at.elapsed())
}

/// Applies what happened in the store, after a while: a back end now has `version`.
fn hear_of_the_store_later(fixture: &Fixture, version: &'static str) {
    let gateway = fixture.gateway.clone();
    let backends = fixture.backends.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(NEWS_DELAY).await;
        let listed = vec![
            support::listed(&backends[0], Some("v1")),
            support::listed(&backends[1], Some(version)),
        ];
        gateway.replace_backends(listed);
        let backends = &gateway.freshness.backends;
        backends.confirm(firshore_clock::now(), FreshnessSource::Store);
    });
}

fn assert_refused(fixture: &Fixture, response: &str) {
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("origin_unknown"), "{response}");
    assert_eq!(fixture.seen().len(), 0, "nothing runs");
}

#[test]
fn stream_taken_up_at_a_node_out_of_step_went_on_at_another_version() {
    actix_rt::System::new().block_on(async {
        let fixture = node_out_of_step(&[]).await;
        hear_of_the_store_later(&fixture, "v2");
        let (response, _) = take_up(&fixture).await;
        assert_refused(&fixture, &response);
    });
}

#[test]
fn stream_taken_up_at_a_node_that_was_cut_off_went_on_at_another_version() {
    actix_rt::System::new().block_on(async {
        let fixture = node_out_of_step(&[]).await;
        let (response, time) = take_up(&fixture).await;
        assert_refused(&fixture, &response);
        assert!(time < BOUND, "refused after {time:?}");
    });
}

#[test]
fn stream_went_on_although_another_node_knew_of_a_second_version() {
    actix_rt::System::new().block_on(async {
        for complete in [false, true] {
            let fixture = node_out_of_step(&[knows(&["v1", "v2"], complete)]).await;
            hear_of_the_store_later(&fixture, "v1");
            let (response, _) = take_up(&fixture).await;
            assert_refused(&fixture, &response);
        }
    });
}

#[test]
fn stream_goes_on_once_the_node_has_heard_of_the_store() {
    actix_rt::System::new().block_on(async {
        for known in [&[][..], &[knows(&["v1"], false)], &[knows(&[], false)]] {
            let fixture = node_out_of_step(known).await;
            hear_of_the_store_later(&fixture, "v1");
            let (response, time) = take_up(&fixture).await;
            assert!(response.contains("data: v1-3\n"), "{response}");
            assert!(response.ends_with("0\r\n\r\n"), "{response}");
            assert!(time < 2 * AGE, "it went on after {time:?}");
        }
    });
}

#[test]
fn stream_goes_on_if_another_node_has_seen_all_versions() {
    actix_rt::System::new().block_on(async {
        let fixture = node_out_of_step(&[knows(&["v1"], true)]).await;
        let (response, _) = take_up(&fixture).await;
        assert!(response.contains("data: v1-3\n"), "{response}");
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

/// Waits that end with the same news end together.
#[test]
fn streams_taken_up_together_wait_for_the_same_news() {
    actix_rt::System::new().block_on(async {
        let fixture = node_out_of_step(&[]).await;
        hear_of_the_store_later(&fixture, "v1");
        let all = futures_util::future::join_all((0..8).map(|_| take_up(&fixture))).await;
        for (response, time) in all {
            assert!(response.contains("data: v1-3\n"), "{response}");
            assert!(time < AGE, "it went on after {time:?}");
        }
    });
}
