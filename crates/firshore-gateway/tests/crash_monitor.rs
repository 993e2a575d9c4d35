//! What a gateway makes of runs that break off, and of what other nodes saw.

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
use std::time::Duration;
use support::{Place, place, send};
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

async fn answer(callers: SocketAddr, path: &str) -> String {
    let mut stream = send(callers, path, "").await;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer
}

fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

impl Place {
    /// What stands for a request as [`send`] writes it.
    fn print(&self, path: &str) -> RequestFingerprint {
        self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
            tenant: None,
            host: HOST,
            method: "POST",
            target: &format!("{path}x?q=1"),
            body: b"body",
        })
    }

    /// Another node tells that back ends have ended under a request, a second apart.
    fn told_of_ends(&self, path: &str, backends: &[&str]) {
        let fingerprint = self.print(path);
        let ends = backends.iter().enumerate().map(|(idx, name)| ReportedExit {
            backend: (*name).to_owned(),
            started: None,
            age: 1_000 * idx as u64,
            lost: vec![LostRun {
                fingerprint,
                reached: 0,
            }],
        });
        let report = CrashReport {
            ends: ends.collect(),
            ..CrashReport::default()
        };
        let question = CrashSyncRequest {
            known: None,
            report,
        };
        self.gateway.crashes.handle_request(&question);
    }

    fn suspects(&self) -> usize {
        self.gateway.crashes.table().suspect_count()
    }
}

/// A back end that takes one request and ends.
async fn ends_under_its_first_request(place: &Place, name: &str, leaving: bool) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let backend = Backend {
        incarnation: Incarnation::named(name),
        service: "s".into(),
        address: listener.local_addr().unwrap(),
        zone: "here".into(),
        slots: 10,
        leaving: false,
    };
    place.gateway.fleet.borrow_mut().upsert(backend.clone());
    let gateway = place.gateway.clone();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut bytes = [0; 1024];
        let _ = stream.read(&mut bytes).await;
        if leaving {
            let backend = Backend { leaving, ..backend };
            gateway.fleet.borrow_mut().upsert(backend);
        }
        drop((listener, stream));
    });
}

#[test]
fn a_request_under_which_back_ends_ended_elsewhere_is_refused_at_once() {
    run(async {
        let place = place(configuration(), &[&[], &[]], Play::Whole).await;
        place.told_of_ends("/safe/", &["gone1", "gone2", "gone3"]);
        let refused = answer(place.callers, "/safe/").await;
        assert_eq!(status(&refused), 503, "{refused}");
        assert!(refused.contains("crashes_back_ends"), "{refused}");
        assert!(refused.contains(r#""execution":"none""#), "{refused}");
        assert!(
            refused.to_ascii_lowercase().contains("retry-after: 3600"),
            "{refused}"
        );
        assert!(place.seen().is_empty());
        assert_eq!(status(&answer(place.callers, "/once/").await), 200);
    });
}

#[test]
fn a_back_end_that_ended_makes_its_request_a_suspect() {
    run(async {
        let place = place(configuration(), &[], Play::Whole).await;
        ends_under_its_first_request(&place, "ends", false).await;
        assert_eq!(status(&answer(place.callers, "/once/").await), 502);
        while place.suspects() == 0 {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(
            place
                .gateway
                .crashes
                .suspicion(&place.print("/once/"))
                .exits,
            1
        );
    });
}

#[test]
fn a_back_end_that_leaves_says_nothing_of_its_requests() {
    run(async {
        let place = place(configuration(), &[], Play::Whole).await;
        ends_under_its_first_request(&place, "leaves", true).await;
        assert_eq!(status(&answer(place.callers, "/once/").await), 502);
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(place.suspects(), 0);
    });
}

#[test]
fn connections_that_break_while_the_back_end_lives_say_nothing() {
    run(async {
        let script = [Play::Closed, Play::Half, Play::Garbage, Play::Closed];
        let place = place(configuration(), &[&script, &script], Play::Whole).await;
        for _ in 0..6 {
            answer(place.callers, "/once/").await;
        }
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        assert_eq!(place.suspects(), 0);
    });
}

#[test]
fn a_request_that_runs_to_a_good_end_is_cleared() {
    run(async {
        let place = place(configuration(), &[&[]], Play::Whole).await;
        place.told_of_ends("/safe/", &["gone1", "gone2"]);
        assert_eq!(place.suspects(), 1);
        assert_eq!(status(&answer(place.callers, "/safe/").await), 200);
        assert_eq!(place.suspects(), 0);
        place.told_of_ends("/safe/", &["gone3", "gone4", "gone5"]);
        assert_eq!(status(&answer(place.callers, "/safe/").await), 200);
    });
}

#[test]
fn a_request_under_which_back_ends_ended_before_takes_one_along_in_a_try() {
    run(async {
        let place = place(configuration(), &[], Play::Whole).await;
        place.told_of_ends("/safe/", &["gone1"]);
        actix_rt::time::sleep(Duration::from_millis(250)).await;
        for name in ["one", "two", "three"] {
            ends_under_its_first_request(&place, name, false).await;
        }
        assert_eq!(status(&answer(place.callers, "/safe/").await), 502);
        let suspicion = place.gateway.crashes.suspicion(&place.print("/safe/"));
        assert_eq!((suspicion.exits, suspicion.occasions), (2, 2));
    });
}

#[test]
fn a_back_end_that_others_saw_end_gets_no_request() {
    run(async {
        let place = place(configuration(), &[&[], &[]], Play::Whole).await;
        place.told_of_ends("/other/", &["b0"]);
        for _ in 0..20 {
            assert_eq!(status(&answer(place.callers, "/once/").await), 200);
        }
        assert!(place.backends[0].seen().is_empty());
    });
}
