//! Tests of a node's metrics, readiness and status listener.

use actix_http::StatusCode;
use firshore_gateway::attempts::SendEnd;
use firshore_gateway::gateway::Gateway;
use firshore_gateway::metrics::RequestEnd;
use firshore_metrics::Builder;
use firshore_node::metrics::{JournalMetrics, NodeMetrics, RunnerMetrics};
use firshore_node::readiness;
use firshore_node::runner::progress::RunEnd;
use firshore_node::status_listener::{self, StatusResponse};
use firshore_stand_in::adapter::adapter;
use firshore_stand_in::store::MemoryStore;
use rand::SeedableRng;
use rand::rngs::StdRng;
use slog::{Discard, Logger, o};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn gateway(builder: &mut Builder) -> Rc<Gateway> {
    Rc::new(Gateway::new(
        Logger::root(Discard, o!()),
        adapter(MemoryStore::new()),
        "here".into(),
        None,
        Duration::from_secs(5),
        StdRng::seed_from_u64(1),
        builder,
    ))
}

/// Parses the metrics text format and returns the samples. Checks that each sample follows its `TYPE`, that no sample
/// is repeated and that each value is a number.
fn samples(text: &str) -> Vec<(String, f64)> {
    let mut typed = BTreeSet::new();
    let mut seen = BTreeSet::new();
    let mut samples = Vec::new();
    assert!(text.ends_with("# EOF\n"), "the end marker is missing");
    for line in text.lines() {
        if let Some(comment) = line.strip_prefix("# ") {
            let words: Vec<&str> = comment.split(' ').collect();
            assert!(["HELP", "TYPE", "EOF"].contains(&words[0]), "{line}");
            if words[0] == "TYPE" {
                assert!(
                    ["counter", "gauge", "histogram"].contains(&words[2]),
                    "{line}"
                );
                assert!(typed.insert(words[1].to_owned()), "{line} is repeated");
            }
            continue;
        }
        let (name, value) = line.rsplit_once(' ').expect("a name and a value");
        let family = name.split('{').next().unwrap();
        let of_type = |suffix: &str| {
            family
                .strip_suffix(suffix)
                .is_some_and(|family| typed.contains(family))
        };
        let suffixes = ["_total", "_bucket", "_sum", "_count"];
        let has_type = typed.contains(family) || suffixes.into_iter().any(of_type);
        assert!(has_type, "{line} has no type");
        assert!(seen.insert(name.to_owned()), "{name} is repeated");
        samples.push((name.to_owned(), value.parse().expect("a number")));
    }
    samples
}

fn value(samples: &[(String, f64)], name: &str) -> Option<f64> {
    let found = samples.iter().find(|(sample, _)| sample == name);
    found.map(|(_, value)| *value)
}

#[test]
fn metrics_contain_recorded_counts() {
    let mut builder = Builder::default();
    let gateway = gateway(&mut builder);
    let runner = RunnerMetrics::new(&mut builder);
    let metrics = NodeMetrics::new(builder, gateway.clone(), None);
    let recorded = &gateway.metrics;
    recorded.request_ended(
        &"llm".into(),
        RequestEnd::Answered,
        Duration::from_millis(40),
    );
    recorded.request_ended(
        &"llm".into(),
        RequestEnd::Refused,
        Duration::from_millis(400),
    );
    recorded.response_began(Duration::from_millis(30));
    recorded.send_ended(SendEnd::Lost);
    recorded.job_submitted(true);
    runner.run_ended(RunEnd::Whole);
    runner.preemptions.inc();
    let text = metrics.response().text;
    let samples = samples(&text);
    let expected = [
        (
            "firshore_requests_total{service=\"llm\",end=\"answered\"}",
            1.0,
        ),
        (
            "firshore_requests_total{service=\"llm\",end=\"refused\"}",
            1.0,
        ),
        ("firshore_request_seconds_count", 2.0),
        ("firshore_request_seconds_bucket{le=\"0.05\"}", 1.0),
        ("firshore_first_byte_seconds_count", 1.0),
        ("firshore_failed_sends_total{end=\"lost\"}", 1.0),
        ("firshore_jobs_total{end=\"accepted\"}", 1.0),
        ("firshore_runs_total{end=\"whole\"}", 1.0),
        ("firshore_preemptions_total", 1.0),
        ("firshore_configuration_version", 0.0),
    ];
    for (name, count) in expected {
        assert_eq!(value(&samples, name), Some(count), "{name} in\n{text}");
    }
}

async fn get(address: std::net::SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

#[test]
fn the_listener_responds_with_the_current_state() {
    actix_rt::System::new().block_on(async {
        let gateway = gateway(&mut Builder::default());
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let readiness_gateway = gateway.clone();
        actix_rt::spawn(status_listener::accept(listener, move || {
            readiness::response(&readiness_gateway)
        }));
        let unready_response = get(address, "/v1/readyz").await;
        assert!(
            unready_response.starts_with("HTTP/1.1 503"),
            "{unready_response}"
        );
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        actix_rt::spawn(status_listener::accept(listener, || StatusResponse {
            status: StatusCode::OK,
            text: "counted 1\n".to_owned(),
        }));
        let metrics_response = get(address, "/metrics").await;
        assert!(
            metrics_response.starts_with("HTTP/1.1 200"),
            "{metrics_response}"
        );
        assert!(
            metrics_response.ends_with("counted 1\n"),
            "{metrics_response}"
        );
    });
}

#[test]
fn the_operations_page_lists_every_metric() {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../docs/operations/on-a-platform.md"
    );
    let page = std::fs::read_to_string(path).unwrap();
    let mut builder = Builder::default();
    let gateway = gateway(&mut builder);
    RunnerMetrics::new(&mut builder);
    JournalMetrics::new(&mut builder);
    let metrics = NodeMetrics::new(builder, gateway, None);
    let described: BTreeSet<&str> = metrics
        .descriptions()
        .iter()
        .map(|description| description.name.as_str())
        .collect();
    let rows = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `firshore_"));
    let named: BTreeSet<String> = rows
        .map(|row| format!("firshore_{}", row.split('`').next().unwrap()))
        .collect();
    let named: BTreeSet<&str> = named.iter().map(String::as_str).collect();
    assert_eq!(
        named, described,
        "docs/operations/on-a-platform.md, Metrics"
    );
}
