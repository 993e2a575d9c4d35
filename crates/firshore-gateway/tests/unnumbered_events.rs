//! Streams whose events have no numbers, though their route may resume them.

mod support;

use firshore_adapter::incarnation::Incarnation;
use firshore_stand_in::adapter::SIGNATURE;
use firshore_stand_in::backend::Play;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Instant;
use support::answers::{Asking, Received, ask};
use support::{fixture, listed};

/// Starts a back end that sends `events` on each connection and then closes it.
fn start_backend(events: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 4 * 1024]);
            let head =
                format!("HTTP/1.1 200 OK\r\n{SIGNATURE}: a\r\ntransfer-encoding: chunked\r\n\r\n");
            let len = events.len();
            let _ = stream.write_all(format!("{head}{len:x}\r\n{events}\r\n").as_bytes());
        }
    });
    address
}

/// Returns what a caller receives if the first back end sends `events` and breaks off.
fn received_after(events: &'static str) -> Received {
    actix_rt::System::new().block_on(async {
        let route = json!({"prefix": "/resumable/", "service": "s", "repetition": "resumable",
            "timeout": 2_000, "attempts": 2});
        let configuration = json!({"version": 1, "routes": [route]});
        let fixture = fixture(configuration, &[&[], &[]], Play::Events).await;
        let mut entries: Vec<_> = fixture
            .backends
            .iter()
            .map(|one| listed(one, Some("v1")))
            .collect();
        entries[0].address = start_backend(events);
        fixture.gateway.replace_backends(entries);
        // Load on the second back end, so that the first one is chosen first.
        let second = Incarnation::named(fixture.backends[1].name.clone());
        let fleet = &fixture.gateway.fleet;
        fleet.borrow_mut().record_start(Instant::now(), &second);
        let asking = Asking {
            version: "1.1",
            connection: "close",
        };
        ask(fixture.address, "/resumable/", asking).await
    })
}

/// Nothing can continue such a stream.
#[test]
fn events_without_numbers_were_followed_by_those_of_another_run() {
    for events in ["data: a\n\n", "id: 1\ndata: e1\n\ndata: a\n\n"] {
        assert_eq!(received_after(events), Received::Broken, "{events}");
    }
}

#[test]
fn comments_without_numbers_are_followed_by_another_run() {
    for events in [": comment\n\n", "id: 1\ndata: e1\n\n: comment\n\n"] {
        let received = received_after(events);
        let is_whole = matches!(&received, Received::Complete(200, text) if text.ends_with("id: 4\ndata: e4\n\n"));
        assert!(is_whole, "{received:?}");
    }
}
