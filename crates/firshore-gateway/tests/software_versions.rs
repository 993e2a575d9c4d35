//! Streams while back ends of several software versions serve side by side.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_gateway::gateway::OriginStore;
use firshore_gateway::stream_origin::{OriginAnswers, OriginKnowledge, OriginQuery, OriginRecord};
use firshore_stand_in::adapter::{RESUME_AFTER, RESUMES};
use firshore_stand_in::backend::Play;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use support::{Fixture, send};
use tokio::io::AsyncReadExt;

fn configuration() -> Value {
    let route = json!({"prefix": "/resumable/", "service": "s", "repetition": "resumable",
        "timeout": 2_000, "attempts": 3});
    json!({"version": 1, "routes": [route]})
}

/// Another node that keeps records.
#[derive(Default)]
struct Holder {
    records: RefCell<Vec<OriginRecord>>,
    is_silent: Cell<bool>,
}

impl OriginStore for Holder {
    fn record(&self, records: Vec<OriginRecord>) -> LocalBoxFuture<'_, bool> {
        if self.is_silent.get() {
            return std::future::pending().boxed_local();
        }
        self.records.borrow_mut().extend(records);
        std::future::ready(true).boxed_local()
    }

    fn query(&self, query: OriginQuery) -> LocalBoxFuture<'_, OriginAnswers> {
        let records = self.records.borrow();
        let mut records = records.iter();
        let record = records.find(|record| Some(record.key) == query.key);
        let knowledge = OriginKnowledge {
            record: record.cloned(),
            ..OriginKnowledge::default()
        };
        let answers = OriginAnswers {
            known: vec![knowledge],
            has_holders: true,
            holder_answered: true,
        };
        std::future::ready(answers).boxed_local()
    }
}

/// Starts back ends with these scripts and software versions. The first one is chosen first.
async fn fixture(scripts: &[&[Play]], versions: &[&str]) -> Fixture {
    fixture_with_holder(scripts, versions, &Rc::default()).await
}

/// Like [`fixture`], with another node that keeps records.
async fn fixture_with_holder(
    scripts: &[&[Play]],
    versions: &[&str],
    holder: &Rc<Holder>,
) -> Fixture {
    let gateway = support::gateway(None).with_origin_store(holder.clone());
    let fixture = support::fixture_of(gateway, configuration(), scripts, Play::Events).await;
    fixture.list_software(versions);
    let mut fleet = fixture.gateway.fleet.borrow_mut();
    for backend in &fixture.backends[1..] {
        let incarnation = Incarnation::named(backend.name.clone());
        fleet.record_start(Instant::now(), &incarnation);
    }
    drop(fleet);
    fixture
}

/// Sends a request and returns the whole response, as far as it came.
async fn request(fixture: &Fixture, headers: &str) -> String {
    let mut stream = send(fixture.address, "/resumable/", headers).await;
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).unwrap()
}

/// Returns the data of the events in a response.
fn events(response: &str) -> Vec<&str> {
    let lines = response.lines();
    lines
        .filter_map(|line| line.strip_prefix("data: "))
        .collect()
}

#[test]
fn stream_went_on_at_another_software_version() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[Play::Breaks(2)], &[]], &["v1", "v2"]).await;
        let response = request(&fixture, "").await;
        assert_eq!(events(&response), ["v1-1", "v1-2"]);
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
        assert_eq!(fixture.backends[1].seen().len(), 0, "nothing runs there");
    });
}

#[test]
fn stream_goes_on_at_another_back_end_of_its_software_version() {
    actix_rt::System::new().block_on(async {
        let scripts: [&[Play]; 3] = [&[Play::Breaks(2)], &[], &[]];
        let fixture = fixture(&scripts, &["v1", "v2", "v1"]).await;
        let response = request(&fixture, "").await;
        assert_eq!(events(&response), ["v1-1", "v1-2", "v1-3", "v1-4"]);
        assert!(response.ends_with("0\r\n\r\n"), "{response}");
    });
}

#[test]
fn stream_of_an_unknown_software_version_was_taken_up() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[], &[]], &["v1", "v2"]).await;
        for resumes in ["", "x-other: 1\r\n", &format!("{RESUMES}: r0\r\n")] {
            let headers = format!("{RESUME_AFTER}: 2\r\n{resumes}");
            let response = request(&fixture, &headers).await;
            assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        }
        assert_eq!(fixture.seen().len(), 0, "nothing runs");
    });
}

#[test]
fn a_stream_is_taken_up_at_another_node_with_its_software_version() {
    actix_rt::System::new().block_on(async {
        let holder = Rc::<Holder>::default();
        let first = fixture_with_holder(&[&[Play::Breaks(2)], &[]], &["v1", "v2"], &holder).await;
        let response = request(&first, "").await;
        assert_eq!(events(&response), ["v1-1", "v1-2"]);
        let scripts: [&[Play]; 2] = [&[], &[]];
        let other = fixture_with_holder(&scripts, &["v1", "v2"], &holder).await;
        // The back end of the other version is the less loaded one.
        for _ in 0..3 {
            let loaded = Incarnation::named(other.backends[0].name.clone());
            let mut fleet = other.gateway.fleet.borrow_mut();
            fleet.record_start(Instant::now(), &loaded);
        }
        let take_up = |attempt: &str| format!("{RESUME_AFTER}: 2\r\n{RESUMES}: {attempt}\r\n");
        let response = request(&other, &take_up("r1")).await;
        assert_eq!(events(&response), ["v1-3", "v1-4"]);
        let response = request(&other, &take_up("r9")).await;
        assert!(response.contains("origin_unknown"), "{response}");
        let only = other.backends[0].name.as_str().into();
        other.gateway.remove_backend(&only);
        let response = request(&other, &take_up("r1")).await;
        assert!(response.starts_with("HTTP/1.1 503"), "{response}");
        assert!(response.contains("software_unavailable"), "{response}");
        assert_eq!(other.backends[1].seen().len(), 0, "nothing runs there");
    });
}

#[test]
fn a_stream_taken_up_at_the_node_that_began_it_needs_no_record() {
    actix_rt::System::new().block_on(async {
        let holder = Rc::<Holder>::default();
        holder.is_silent.set(true);
        let scripts: [&[Play]; 3] = [&[Play::Breaks(2)], &[], &[Play::Breaks(2), Play::Events]];
        let fixture = fixture_with_holder(&scripts, &["v1", "v2", "v1"], &holder).await;
        let begun = Instant::now();
        let response = request(&fixture, "").await;
        assert_eq!(
            events(&response),
            ["v1-1", "v1-2"],
            "it went on without an event"
        );
        assert!(
            begun.elapsed() >= Duration::from_millis(50),
            "it waited for the record"
        );
        let headers = format!("{RESUME_AFTER}: 2\r\n{RESUMES}: r1\r\n");
        let response = request(&fixture, &headers).await;
        assert_eq!(events(&response), ["v1-3", "v1-4"]);
    });
}

#[test]
fn the_record_of_a_stream_precedes_its_first_event() {
    actix_rt::System::new().block_on(async {
        let holder = Rc::<Holder>::default();
        let fixture = fixture_with_holder(&[&[Play::Stalls(1)]], &["v1"], &holder).await;
        let mut stream = send(fixture.address, "/resumable/", "").await;
        let mut received = Vec::new();
        while !received.ends_with(b"v1-1\n\n\r\n") {
            assert!(stream.read_buf(&mut received).await.unwrap() > 0);
        }
        let records = holder.records.borrow();
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].origin.software(), Some(&"v1".into()));
    });
}

#[test]
fn back_end_without_a_version_continued_the_stream_of_another() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(&[&[Play::Breaks(2)], &[]], &["v1", "v1"]).await;
        fixture.list_without_software();
        let response = request(&fixture, "").await;
        assert_eq!(events(&response).len(), 2);
        assert!(!response.ends_with("0\r\n\r\n"), "{response}");
    });
}
