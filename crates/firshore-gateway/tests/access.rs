//! Authentication by key, public routes, jobs of tenants, and the headers that back ends receive.

mod support;

use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::residency::ResidencyPermit;
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
use support::{fixture, fixture_with_jobs, send};
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

async fn status(address: SocketAddr, path: &str, headers: &str) -> u16 {
    let mut stream = send(address, path, headers).await;
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    let status = response.split(' ').nth(1);
    status.map_or(0, |status| status.parse().unwrap())
}

fn key(key: &str) -> String {
    format!("{KEY}: {key}\r\n")
}

#[test]
fn the_key_determines_the_tenant() {
    // Path, headers, status, and the tenant header at the back end if the request reaches it.
    type Case = (&'static str, String, u16, Option<Option<&'static str>>);
    let both = format!("{}{}", key("key-a"), key("key-c"));
    let same = format!("{}{}", key("key-a"), key("key-a"));
    let spoofed = format!("{}{TENANT}: bob\r\nX-TENANT: eve\r\n", key("key-a"));
    let hop_by_hop = format!("{}connection: {TENANT}, {KEY}\r\n", key("key-a"));
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
        ("/own/", spoofed.clone(), 200, Some(Some("ann"))),
        ("/own/", hop_by_hop, 200, Some(Some("ann"))),
        ("/open/", String::new(), 200, Some(None)),
        ("/open/", format!("{TENANT}: bob\r\n"), 200, Some(None)),
        ("/open/", key("key-c"), 200, Some(Some("bob"))),
        ("/open/", key("key-x"), 401, None),
        ("/none/", key("key-a"), 404, None),
        ("/none/", String::new(), 401, None),
    ];
    actix_rt::System::new().block_on(async {
        let fixture = fixture(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut seen_before = 0;
        for (path, headers, expected, forwarded) in cases {
            let got = status(fixture.address, path, &headers).await;
            assert_eq!(got, expected, "{path} {headers:?}");
            let seen = fixture.seen();
            let reached = seen.len() - seen_before;
            seen_before = seen.len();
            assert_eq!(
                reached,
                usize::from(forwarded.is_some()),
                "{path} {headers:?}"
            );
            if let (Some(forwarded), Some(last)) = (forwarded, seen.last()) {
                let tenant = last.headers.get(TENANT).map(String::as_str);
                assert_eq!(tenant, forwarded, "{path} {headers:?}");
                assert_eq!(last.headers.get(KEY), None, "{path}: the key was forwarded");
            }
        }
    });
}

#[test]
fn without_tenants_no_key_is_required_or_forwarded() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(configuration(1, &json!([])), &[&[]], Play::Whole).await;
        let spoofed = format!("{}{TENANT}: bob\r\n", key("key-x"));
        for headers in ["", spoofed.as_str()] {
            assert_eq!(status(fixture.address, "/own/", headers).await, 200);
            let seen = fixture.seen().pop().unwrap();
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
    let mut response = Vec::new();
    while !response.ends_with(b"b0") && !response.ends_with(b"}}") {
        assert_ne!(stream.read_buf(&mut response).await.unwrap(), 0, "closed");
    }
    let response = String::from_utf8(response).unwrap();
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn a_revoked_key_is_refused_on_open_connections_and_stays_revoked() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut stream = TcpStream::connect(fixture.address).await.unwrap();
        assert_eq!(next_status(&mut stream, "key-a").await, 200);
        let remaining =
            json!([{"name": "ann", "keys": ["key-b"]}, {"name": "bob", "keys": ["key-c"]}]);
        fixture.configure(configuration(2, &remaining));
        assert_eq!(next_status(&mut stream, "key-a").await, 401);
        assert_eq!(next_status(&mut stream, "key-b").await, 200);
        // An older configuration that arrives late, from a disk or another node, must not be applied.
        fixture.configure(configuration(1, &tenants()));
        assert_eq!(next_status(&mut stream, "key-a").await, 401);
    });
}

#[test]
fn a_revoked_key_does_not_end_a_running_stream() {
    actix_rt::System::new().block_on(async {
        let mut spec = configuration(1, &tenants());
        spec["routes"][0]["repetition"] = json!("stream");
        let fixture = fixture(spec, &[&[]], Play::Events).await;
        let mut stream = send(fixture.address, "/own/", &key("key-a")).await;
        let mut response = vec![0; 16];
        let read = stream.read(&mut response).await.unwrap();
        response.truncate(read);
        fixture.configure(configuration(
            2,
            &json!([{"name": "bob", "keys": ["key-c"]}]),
        ));
        stream.read_to_end(&mut response).await.unwrap();
        assert!(response.ends_with(b"0\r\n\r\n"), "the stream was truncated");
    });
}

/// Records the jobs of all calls.
#[derive(Default)]
struct RecordingJobs {
    calls: RefCell<Vec<JobId>>,
}

impl RecordingJobs {
    fn record<'a, T: 'a>(&'a self, job: JobId, response: T) -> JobFuture<'a, T> {
        self.calls.borrow_mut().push(job);
        std::future::ready(Ok(response)).boxed_local()
    }
}

impl JobService for RecordingJobs {
    fn is_reachable(&self) -> bool {
        true
    }

    fn submit<'a>(
        &'a self,
        _route: Arc<Route>,
        _residency: ResidencyPermit,
        job: JobId,
        _items: Vec<JobItem>,
    ) -> JobFuture<'a, ()> {
        self.record(job, ())
    }

    fn results<'a>(
        &'a self,
        job: JobId,
        _from: u64,
        _wait: Duration,
    ) -> JobFuture<'a, Option<ResultPage>> {
        self.record(job, None)
    }

    fn body<'a>(&'a self, job: JobId, _item: String) -> JobFuture<'a, Option<Payload>> {
        self.record(job, None)
    }

    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool> {
        self.record(job, true)
    }
}

async fn call(address: SocketAddr, method: &str, path: &str, headers: &str, body: &str) -> u16 {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-request-id: j1\r\n{headers}\
         content-length: {}\r\nconnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    let _ = stream.read_to_string(&mut response).await;
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

#[test]
fn job_calls_need_a_key_and_are_scoped_to_its_tenant() {
    let cases = [
        ("POST", "/jobs-in/x", "[]", 202),
        ("GET", "/jobs/j1", "", 404),
        ("DELETE", "/jobs/j1", "", 200),
    ];
    let own_job = JobId {
        tenant: Some("ann".into()),
        id: "j1".to_owned(),
    };
    actix_rt::System::new().block_on(async {
        let jobs = Rc::<RecordingJobs>::default();
        let spec = configuration(1, &tenants());
        let fixture = fixture_with_jobs(spec, &[], Play::Whole, Some(jobs.clone())).await;
        for (method, path, body, expected) in cases {
            for refused in ["", "x-key: key-x\r\n"] {
                let got = call(fixture.address, method, path, refused, body).await;
                assert_eq!(got, 401, "{method} {path} {refused:?}");
            }
            assert_eq!(
                jobs.calls.take(),
                [],
                "{method} {path}: passed to the job service"
            );
            for key in ["x-key: key-a\r\n", "x-key: key-b\r\n"] {
                let got = call(fixture.address, method, path, key, body).await;
                assert_eq!(got, expected, "{method} {path} {key:?}");
            }
            assert_eq!(
                jobs.calls.take(),
                [own_job.clone(), own_job.clone()],
                "{method} {path}"
            );
        }
    });
}

/// Header lines from which requests are composed that try to bypass authentication.
const HEADER_LINES: [&str; 16] = [
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
fn crafted_headers_never_change_the_tenant_at_the_back_end() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let mut random = ChaCha8Rng::seed_from_u64(27);
        let mut served = 0;
        for round in 0..300 {
            let count = random.random_range(0..6);
            let lines: Vec<&str> = (0..count)
                .map(|_| HEADER_LINES[random.random_range(0..HEADER_LINES.len())])
                .collect();
            let headers = lines.concat();
            let before = fixture.seen().len();
            let mut stream = TcpStream::connect(fixture.address).await.unwrap();
            let smuggled =
                "0\r\n\r\nPOST /own/y HTTP/1.1\r\nhost: a.example\r\nx-tenant: eve\r\n\r\n";
            let request =
                format!("POST /own/x HTTP/1.1\r\nhost: a.example\r\nx-request-id: r1\r\n{headers}\r\n{smuggled}");
            stream.write_all(request.as_bytes()).await.unwrap();
            // Incomplete requests get no response, hence the timeout.
            let mut response = Vec::new();
            let reading = stream.read_to_end(&mut response);
            let _ = tokio::time::timeout(Duration::from_millis(30), reading).await;
            drop(stream);
            for seen in &fixture.seen()[before..] {
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
        assert!(served > 20, "too few requests were served: {served}");
    });
}

/// Routes and keys may have been added since the configuration was last confirmed. Because callers treat 404 and
/// 401 as final, unknown ones get 503; known ones are still served.
#[test]
fn unknown_routes_and_keys_get_503_while_the_configuration_is_stale() {
    actix_rt::System::new().block_on(async {
        let fixture = fixture(configuration(1, &tenants()), &[&[]], Play::Whole).await;
        let freshness = &fixture.gateway.freshness.configuration;
        let unknown = [("/none/", key("key-a")), ("/own/", key("key-x"))];
        let [unknown_route, unknown_key] = unknown.each_ref();
        assert_eq!(
            status(fixture.address, unknown_route.0, &unknown_route.1).await,
            404
        );
        freshness.limit_age(Duration::from_millis(500));
        freshness.confirm(Instant::now(), FreshnessSource::Store);
        assert_eq!(
            status(fixture.address, unknown_route.0, &unknown_route.1).await,
            404
        );
        assert_eq!(
            status(fixture.address, unknown_key.0, &unknown_key.1).await,
            401
        );
        actix_rt::time::sleep(Duration::from_millis(600)).await;
        for (path, headers) in &unknown {
            assert_eq!(status(fixture.address, path, headers).await, 503, "{path}");
        }
        assert_eq!(status(fixture.address, "/own/", &key("key-a")).await, 200);
        freshness.confirm(Instant::now(), FreshnessSource::Store);
        assert_eq!(
            status(fixture.address, unknown_route.0, &unknown_route.1).await,
            404
        );
    });
}
