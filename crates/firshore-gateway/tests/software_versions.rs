//! Streams while back ends of several software versions serve side by side.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_stand_in::adapter::{RESUME_AFTER, RESUMES};
use firshore_stand_in::backend::Play;
use serde_json::{Value, json};
use std::time::Instant;
use support::{Fixture, send};
use tokio::io::AsyncReadExt;

fn configuration() -> Value {
    let route = json!({"prefix": "/resumable/", "service": "s", "repetition": "resumable",
        "timeout": 2_000, "attempts": 3});
    json!({"version": 1, "routes": [route]})
}

/// Starts back ends with these scripts and software versions. The first one is chosen first.
async fn fixture(scripts: &[&[Play]], versions: &[&str]) -> Fixture {
    let fixture = support::fixture(configuration(), scripts, Play::Events).await;
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
