//! Detection of exits under lost runs, and use of exits reported by other nodes.

mod support;

use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::Incarnation;
use firshore_crashes::fingerprint::{FingerprintInput, RequestFingerprint};
use firshore_crashes::report::{CrashReport, LostRun, ReportedExit};
use firshore_crashes::sync::CrashSyncRequest;
use firshore_stand_in::adapter::HOST;
use firshore_stand_in::backend::Play;
use serde_json::{Value, json};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use support::{Fixture, fixture, listed, send};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

fn configuration() -> Value {
    let route = |prefix: &str, repetition: &str| {
        json!({"prefix": prefix, "service": "s", "repetition": repetition, "timeout": 2_000,
            "attempts": 3})
    };
    let routes = [route("/safe/", "idempotent"), route("/once/", "once")];
    json!({"version": 1, "routes": routes})
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(Duration::from_secs(30), test).await;
        ended.expect("the test hangs");
    });
}

async fn request(address: SocketAddr, path: &str) -> String {
    let mut stream = send(address, path, "").await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response
}

fn status(response: &str) -> u16 {
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

impl Fixture {
    /// Returns the fingerprint of a request as written by [`send`].
    fn fingerprint(&self, path: &str) -> RequestFingerprint {
        self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
            tenant: None,
            host: HOST,
            method: "POST",
            target: &format!("{path}x?q=1"),
            body: b"body",
        })
    }

    /// Merges a report of another node about exits under a request, 1 s apart.
    fn report_exits(&self, path: &str, backends: &[&str]) {
        let fingerprint = self.fingerprint(path);
        let exits = backends.iter().enumerate().map(|(idx, name)| ReportedExit {
            backend: (*name).to_owned(),
            started: None,
            age: 1_000 * idx as u64,
            lost: vec![LostRun {
                fingerprint,
                reached: 0,
                parts: Vec::new(),
            }],
        });
        let report = CrashReport {
            ends: exits.collect(),
            ..CrashReport::default()
        };
        let request = CrashSyncRequest {
            known: None,
            report,
        };
        self.gateway.crashes.handle_request(&request);
    }

    fn suspect_count(&self) -> usize {
        self.gateway.crashes.table().suspect_count()
    }
}

/// Starts a back end that exits under its first request, after listing itself as leaving if `leaving` is set.
async fn start_exiting_backend(fixture: &Fixture, name: &str, leaving: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let backend = Backend {
        incarnation: Incarnation::named(name),
        service: "s".into(),
        address: listener.local_addr().unwrap(),
        zone: "here".into(),
        slots: 10,
        leaving: false,
        warm_up: None,
        software: None,
    };
    fixture
        .gateway
        .fleet
        .borrow_mut()
        .upsert(Instant::now(), backend.clone());
    let gateway = fixture.gateway.clone();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).await;
        if leaving {
            let backend = Backend { leaving, ..backend };
            gateway.fleet.borrow_mut().upsert(Instant::now(), backend);
        }
        drop((listener, stream));
    });
}

/// Several back ends crash while they run items, among them three with one part of their prompts. They are known to have
/// exited, and nothing is suspected.
#[test]
fn items_were_suspected_of_crashing_back_ends() {
    run(async {
        let fixture = fixture(configuration(), &[&[]], Play::Whole).await;
        for number in 0..4 {
            let closed = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut backend = listed(&fixture.backends[0], None);
            backend.incarnation = Incarnation::named(format!("exited{number}"));
            backend.address = closed.local_addr().unwrap();
            drop(closed);
            let now = Instant::now();
            let fleet = &fixture.gateway.fleet;
            fleet.borrow_mut().upsert(now, backend.clone());
            let monitor = &fixture.gateway.crashes;
            monitor.record_lost_item(&backend);
            monitor.settled(&backend.incarnation).await;
        }
        assert!(!fixture.gateway.crashes.table().is_empty());
        assert_eq!(fixture.suspect_count(), 0);
    });
}

#[test]
fn a_request_with_three_reported_exits_is_refused_at_once() {
    run(async {
        let fixture = fixture(configuration(), &[&[], &[]], Play::Whole).await;
        fixture.report_exits("/safe/", &["lost1", "lost2", "lost3"]);
        let refused = request(fixture.address, "/safe/").await;
        assert_eq!(status(&refused), 503, "{refused}");
        assert!(refused.contains("crashes_back_ends"), "{refused}");
        assert!(refused.contains(r#""execution":"none""#), "{refused}");
        assert!(
            refused.to_ascii_lowercase().contains("retry-after: 3600"),
            "{refused}"
        );
        assert!(fixture.seen().is_empty());
        assert_eq!(status(&request(fixture.address, "/once/").await), 200);
    });
}

#[test]
fn an_exit_makes_the_running_request_a_suspect() {
    run(async {
        let fixture = fixture(configuration(), &[], Play::Whole).await;
        start_exiting_backend(&fixture, "ends", false).await;
        assert_eq!(status(&request(fixture.address, "/once/").await), 502);
        while fixture.suspect_count() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            fixture
                .gateway
                .crashes
                .suspicion(&fixture.fingerprint("/once/"))
                .exits,
            1
        );
    });
}

#[test]
fn the_exit_of_a_leaving_back_end_is_no_evidence() {
    run(async {
        let fixture = fixture(configuration(), &[], Play::Whole).await;
        start_exiting_backend(&fixture, "leaves", true).await;
        assert_eq!(status(&request(fixture.address, "/once/").await), 502);
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fixture.suspect_count(), 0);
    });
}

#[test]
fn broken_connections_of_a_live_back_end_are_no_evidence() {
    run(async {
        let script = [Play::Closed, Play::Half, Play::Garbage, Play::Closed];
        let fixture = fixture(configuration(), &[&script, &script], Play::Whole).await;
        for _ in 0..6 {
            request(fixture.address, "/once/").await;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(fixture.suspect_count(), 0);
    });
}

#[test]
fn a_completed_request_is_cleared() {
    run(async {
        let fixture = fixture(configuration(), &[&[]], Play::Whole).await;
        fixture.report_exits("/safe/", &["lost1", "lost2"]);
        assert_eq!(fixture.suspect_count(), 1);
        assert_eq!(status(&request(fixture.address, "/safe/").await), 200);
        assert_eq!(fixture.suspect_count(), 0);
        fixture.report_exits("/safe/", &["lost3", "lost4", "lost5"]);
        assert_eq!(status(&request(fixture.address, "/safe/").await), 200);
    });
}

#[test]
fn a_suspected_request_is_lost_at_one_back_end_at_most_per_call() {
    run(async {
        let fixture = fixture(configuration(), &[], Play::Whole).await;
        fixture.report_exits("/safe/", &["lost1"]);
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        for name in ["one", "two", "three"] {
            start_exiting_backend(&fixture, name, false).await;
        }
        assert_eq!(status(&request(fixture.address, "/safe/").await), 502);
        let suspicion = fixture
            .gateway
            .crashes
            .suspicion(&fixture.fingerprint("/safe/"));
        assert_eq!((suspicion.exits, suspicion.occasions), (2, 2));
    });
}

#[test]
fn a_back_end_reported_as_exited_gets_no_request() {
    run(async {
        let fixture = fixture(configuration(), &[&[], &[]], Play::Whole).await;
        fixture.report_exits("/other/", &["b0"]);
        for _ in 0..20 {
            assert_eq!(status(&request(fixture.address, "/once/").await), 200);
        }
        assert!(fixture.backends[0].seen().is_empty());
    });
}
