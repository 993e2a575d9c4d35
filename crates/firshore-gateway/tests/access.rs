//! Who is served: keys, public routes, jobs of tenants, and what back ends are told of all that.

mod support;

use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::route::Route;
use firshore_gateway::freshness::FreshnessSource;
use firshore_gateway::gateway::{JobFuture, JobService};
use firshore_stand_in::adapter::{KEY, TENANT};
use firshore_stand_in::backend::Play;
use firshore_types::payload::Payload;
use futures_util::FutureExt;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use support::{place, place_with_jobs, send};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Two tenants, one of them with two keys.
fn tenants() -> Value {
    json!([{"name": "ann", "keys": ["key-a", "key-b"]}, {"name": "bob", "keys": ["key-c"]}])
}

fn configuration(version: u64, tenants: &Value) -> Value {
    let route = |prefix: &str, repetition: &str, public: bool| {
        json!({"prefix": prefix, "service": "s", "repetition": repetition, "timeout": 400,
            "attempts": 2, "public": public})
    };
    let routes = [
        route("/own/", "once", false),
        route("/open/", "once", true),
        route("/jobs-in/", "job", false),
    ];
    json!({"version": version, "routes": routes, "tenants": tenants})
}

async fn status(callers: SocketAddr, path: &str, more: &str) -> u16 {
    let mut stream = send(callers, path, more).await;
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    let status = answer.split(' ').nth(1);
    status.map_or(0, |status| status.parse().unwrap())
}

fn key(key: &str) -> String {
    format!("{KEY}: {key}\r\n")
}

#[test]
fn requests_are_served_by_whom_the_key_names() {
    // Path, headers, status, and the tenant that the back end is told, if it is asked at all.
    type Case = (&'static str, String, u16, Option<Option<&'static str>>);
    let both = format!("{}{}", key("key-a"), key("key-c"));
    let same = format!("{}{}", key("key-a"), key("key-a"));
    let posing = format!("{}{TENANT}: bob\r\nX-TENANT: eve\r\n", key("key-a"));
    let unnamed = format!("{}connection: {TENANT}, {KEY}\r\n", key("key-a"));
    let cases: Vec<Case> = vec![
        ("/own/", key("key-a"), 200, Some(Some("ann"))),
        ("/own/", key("key-b"), 200, Some(Some("ann"))),
        ("/own/", key("  key-c  "), 200, Some(Some("bob"))),
        (
            "/own/",
            "X-Key: key-c\r\n".to_owned(),
            200,
            Some(Some("bob")),
        ),
        ("/own/", String::new(), 401, None),
        ("/own/", key(""), 401, None),
        ("/own/", key("key-x"), 401, None),
        ("/own/", key("KEY-A"), 401, None),
        ("/own/", key("key-a, key-c"), 401, None),
        ("/own/", key("key-\u{e9}"), 401, None),
        ("/own/", both, 401, None),
        ("/own/", same, 401, None),
        ("/own/", posing.clone(), 200, Some(Some("ann"))),
        ("/own/", unnamed, 200, Some(Some("ann"))),
        ("/open/", String::new(), 200, Some(None)),
        ("/open/", format!("{TENANT}: bob\r\n"), 200, Some(None)),
        ("/open/", key("key-c"), 200, Some(Some("bob"))),
        ("/open/", key("key-x"), 401, None),
        ("/none/", key("key-a"), 404, None),
        ("/none/", String::new(), 401, None),
    ];
    actix_rt::System::new().block_on(async {
        let place = place(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut asked = 0;
        for (path, headers, expected, told) in cases {
            let got = status(place.callers, path, &headers).await;
            assert_eq!(got, expected, "{path} {headers:?}");
            let seen = place.seen();
            let reached = seen.len() - asked;
            asked = seen.len();
            assert_eq!(reached, usize::from(told.is_some()), "{path} {headers:?}");
            if let (Some(told), Some(last)) = (told, seen.last()) {
                let tenant = last.headers.get(TENANT).map(String::as_str);
                assert_eq!(tenant, told, "{path} {headers:?}");
                assert_eq!(last.headers.get(KEY), None, "{path}: the key was passed on");
            }
        }
    });
}

#[test]
fn without_tenants_nobody_needs_a_key_and_none_is_passed_on() {
    actix_rt::System::new().block_on(async {
        let place = place(configuration(1, &json!([])), &[&[]], Play::Whole).await;
        let posing = format!("{}{TENANT}: bob\r\n", key("key-x"));
        for headers in ["", posing.as_str()] {
            assert_eq!(status(place.callers, "/own/", headers).await, 200);
            let seen = place.seen().pop().unwrap();
            assert_eq!(seen.headers.get(TENANT), None);
            assert_eq!(seen.headers.get(KEY), None);
        }
    });
}

async fn next_status(stream: &mut TcpStream, key: &str) -> u16 {
    let request = format!(
        "POST /own/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n{KEY}: {key}\r\n\
         content-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.ends_with(b"b0") && !answer.ends_with(b"}}") {
        assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0, "closed");
    }
    let answer = String::from_utf8(answer).unwrap();
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_key_that_is_taken_away_is_refused_on_kept_connections_too_and_never_comes_back() {
    actix_rt::System::new().block_on(async {
        let place = place(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut kept = TcpStream::connect(place.callers).await.unwrap();
        assert_eq!(next_status(&mut kept, "key-a").await, 200);
        let rest = json!([{"name": "ann", "keys": ["key-b"]}, {"name": "bob", "keys": ["key-c"]}]);
        place.configure(configuration(2, &rest));
        assert_eq!(next_status(&mut kept, "key-a").await, 401);
        assert_eq!(next_status(&mut kept, "key-b").await, 200);
        // An older configuration that arrives late, from a disk or another node.
        place.configure(configuration(1, &tenants()));
        assert_eq!(next_status(&mut kept, "key-a").await, 401);
    });
}

#[test]
fn a_key_that_is_taken_away_ends_no_stream_that_has_begun() {
    actix_rt::System::new().block_on(async {
        let mut spec = configuration(1, &tenants());
        spec["routes"][0]["repetition"] = json!("stream");
        let place = place(spec, &[&[]], Play::Events).await;
        let mut stream = send(place.callers, "/own/", &key("key-a")).await;
        let mut answer = vec![0; 16];
        let read = stream.read(&mut answer).await.unwrap();
        answer.truncate(read);
        place.configure(configuration(
            2,
            &json!([{"name": "bob", "keys": ["key-c"]}]),
        ));
        stream.read_to_end(&mut answer).await.unwrap();
        assert!(
            answer.ends_with(b"0\r\n\r\n"),
            "the stream did not end whole"
        );
    });
}

/// Notes which jobs it is asked for.
#[derive(Default)]
struct NotedJobs {
    asked: RefCell<Vec<JobId>>,
}

impl NotedJobs {
    fn note<'a, T: 'a>(&'a self, job: JobId, answer: T) -> JobFuture<'a, T> {
        self.asked.borrow_mut().push(job);
        std::future::ready(Ok(answer)).boxed_local()
    }
}

impl JobService for NotedJobs {
    fn is_reachable(&self) -> bool {
        true
    }

    fn submit<'a>(
        &'a self,
        _route: Arc<Route>,
        job: JobId,
        _items: Vec<JobItem>,
    ) -> JobFuture<'a, ()> {
        self.note(job, ())
    }

    fn results<'a>(
        &'a self,
        job: JobId,
        _from: u64,
        _wait: Duration,
    ) -> JobFuture<'a, Option<ResultPage>> {
        self.note(job, None)
    }

    fn body<'a>(&'a self, job: JobId, _item: String) -> JobFuture<'a, Option<Payload>> {
        self.note(job, None)
    }

    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool> {
        self.note(job, true)
    }
}

async fn call(callers: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(callers).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: j1\r\n{headers}\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer).await;
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn calls_about_jobs_need_a_key_and_name_jobs_of_its_tenant() {
    let cases = [
        ("POST", "/jobs-in/x", "[]", 202),
        ("GET", "/jobs/j1", "", 404),
        ("DELETE", "/jobs/j1", "", 200),
    ];
    let mine = JobId {
        tenant: Some("ann".into()),
        id: "j1".to_owned(),
    };
    actix_rt::System::new().block_on(async {
        let jobs = Rc::<NotedJobs>::default();
        let spec = configuration(1, &tenants());
        let place = place_with_jobs(spec, &[], Play::Whole, Some(jobs.clone())).await;
        for (method, path, body, expected) in cases {
            for refused in ["", "x-key: key-x\r\n"] {
                let got = call(place.callers, method, path, refused, body).await;
                assert_eq!(got, 401, "{method} {path} {refused:?}");
            }
            assert_eq!(jobs.asked.take(), [], "{method} {path}: passed on");
            for key in ["x-key: key-a\r\n", "x-key: key-b\r\n"] {
                let got = call(place.callers, method, path, key, body).await;
                assert_eq!(got, expected, "{method} {path} {key:?}");
            }
            assert_eq!(
                jobs.asked.take(),
                [mine.clone(), mine.clone()],
                "{method} {path}"
            );
        }
    });
}

/// Pieces from which heads are put together that try to get past the key.
const PIECES: [&str; 16] = [
    "x-key: key-a\r\n",
    "X-KEY:key-c\r\n",
    "x-key : key-a\r\n",
    "x-key:\r\n",
    "x-key: key-x\r\n",
    " x-key: key-a\r\n",
    "x-tenant: bob\r\n",
    "X-Tenant: eve\r\n",
    "x-tenant : eve\r\n",
    "connection: x-tenant\r\n",
    "connection: x-key, keep-alive\r\n",
    "content-length: 0\r\n",
    "transfer-encoding: chunked\r\n",
    "transfer-encoding: identity\r\n",
    "x-key: key-a\n",
    "te: trailers\r\n",
];

#[test]
fn whatever_a_head_is_made_of_back_ends_are_told_the_key_s_tenant() {
    actix_rt::System::new().block_on(async {
        let place = place(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut random = ChaCha8Rng::seed_from_u64(27);
        let mut served = 0;
        for round in 0..300 {
            let count = random.random_range(0..6);
            let pieces: Vec<&str> = (0..count)
                .map(|_| PIECES[random.random_range(0..PIECES.len())])
                .collect();
            let headers = pieces.concat();
            let before = place.seen().len();
            let mut stream = TcpStream::connect(place.callers).await.unwrap();
            let smuggled =
                "0\r\n\r\nPOST /own/y HTTP/1.1\r\nhost: a.example\r\nx-tenant: eve\r\n\r\n";
            let request =
                format!("POST /own/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n{headers}\r\n{smuggled}");
            stream.write_all(request.as_bytes()).await.unwrap();
            // A head that waits for more of its body gets no answer; a caller that closes gets none either.
            let mut answer = Vec::new();
            let reading = stream.read_to_end(&mut answer);
            let _ = tokio::time::timeout(Duration::from_millis(30), reading).await;
            drop(stream);
            for seen in &place.seen()[before..] {
                served += 1;
                let tenant = seen.headers.get(TENANT).map(String::as_str);
                let named: Vec<&str> = [("key-a", "ann"), ("key-c", "bob")]
                    .into_iter()
                    .filter(|(key, _)| headers.contains(key))
                    .map(|(_, tenant)| tenant)
                    .collect();
                assert_eq!(named.len(), 1, "round {round}: served with {headers:?}");
                assert_eq!(tenant, Some(named[0]), "round {round}: {headers:?}");
                assert_eq!(seen.headers.get(KEY), None, "round {round}: {headers:?}");
                assert_eq!(seen.path, "/own/x", "round {round}: {headers:?}");
            }
        }
        assert!(served > 20, "the pieces make no request that is served: {served}");
    });
}

/// What a node does not know may have been added since it heard of the configuration last: callers take
/// 404 and 401 for final, so that neither is said then. What it knows is served on.
#[test]
fn nothing_is_refused_for_good_on_a_belief_that_is_overdue() {
    actix_rt::System::new().block_on(async {
        let place = place(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let belief = &place.gateway.freshness.configuration;
        let unknown = [("/none/", key("key-a")), ("/own/", key("key-x"))];
        let [no_route, no_key] = unknown.each_ref();
        assert_eq!(status(place.callers, no_route.0, &no_route.1).await, 404);
        belief.limit_age(Duration::from_millis(500));
        belief.confirm(Instant::now(), FreshnessSource::Store);
        assert_eq!(status(place.callers, no_route.0, &no_route.1).await, 404);
        assert_eq!(status(place.callers, no_key.0, &no_key.1).await, 401);
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        for (path, headers) in &unknown {
            assert_eq!(status(place.callers, path, headers).await, 503, "{path}");
        }
        assert_eq!(status(place.callers, "/own/", &key("key-a")).await, 200);
        belief.confirm(Instant::now(), FreshnessSource::Store);
        assert_eq!(status(place.callers, no_route.0, &no_route.1).await, 404);
    });
}
