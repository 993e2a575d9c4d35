//! Batch jobs through real sockets: submission, resubmission, output, cancellation.

use actix_http::Method;
use firshore_lab::fleet::{Fleet, FleetOptions, read_declarations};
use firshore_lab::http::Call;
use firshore_lab::stand_in::engine::ExecutionLine;
use firshore_lab::topology::Topology;
use firshore_server::clock::unix_milliseconds;
use firshore_server::settings::JournalSettings;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

const KEY: &str = "co-op-key";
const TIMEOUT: Duration = Duration::from_secs(60);

/// Two nodes, two engines, two journal groups.
fn fleet() -> (Fleet, std::path::PathBuf) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/fieldline");
    let mut topology = Topology::read(&folder).unwrap();
    topology.zones.truncate(2);
    topology.services.truncate(1);
    topology.services[0].engines = 2;
    let journal = JournalSettings {
        groups: 2,
        ..JournalSettings::default()
    };
    let options = FleetOptions {
        journal,
        delays: false,
        ..FleetOptions::default()
    };
    (Fleet::start(&topology, &options).unwrap(), folder)
}

fn lines(count: usize, tokens: usize) -> String {
    let line = |number: usize| {
        let body = json!({"model": "boundary-llm", "max_tokens": tokens,
            "prompt": format!("item-{number} of a job")});
        json!({"custom_id": format!("item-{number}"), "body": body}).to_string()
    };
    (0..count).map(line).collect::<Vec<_>>().join("\n")
}

async fn ask(node: SocketAddr, method: Method, path: &str, key: &str, body: &str) -> (u16, String) {
    let call = Call::new(node, method, path)
        .key(KEY)
        .header("idempotency-key", key)
        .body(body.to_owned());
    let answer = call.send().await.unwrap();
    (answer.status(), answer.text())
}

async fn submit(node: SocketAddr, key: &str, body: &str) -> (u16, Value) {
    let (status, text) = ask(node, Method::POST, "/v1/batches", key, body).await;
    (status, serde_json::from_str(&text).unwrap())
}

async fn wait_for(node: SocketAddr, id: &str, status: &str) -> Value {
    let start = Instant::now();
    loop {
        let path = format!("/v1/batches/{id}");
        let (_, text) = ask(node, Method::GET, &path, "", "").await;
        let job: Value = serde_json::from_str(&text).unwrap();
        if job["status"] == status {
            return job;
        }
        assert!(start.elapsed() < TIMEOUT, "not {status}: {text}");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn executions(fleet: &Fleet) -> Vec<ExecutionLine> {
    let mut all = Vec::new();
    for engine in fleet.engines() {
        let answer = Call::get(engine.server.address, "/executions").send().await;
        let lines: Vec<ExecutionLine> = answer.unwrap().json().unwrap();
        all.extend(lines);
    }
    all
}

async fn resubmission_makes_one_job(nodes: &[SocketAddr]) {
    let body = lines(300, 2);
    let submissions: Vec<_> = (0..4)
        .map(|number| {
            let (node, body) = (nodes[number % nodes.len()], body.clone());
            actix_rt::spawn(async move { submit(node, "racing", &body).await })
        })
        .collect();
    let mut ids = BTreeSet::new();
    for submission in submissions {
        let (status, job) = submission.await.unwrap();
        assert_eq!(status, 200, "{job}");
        ids.insert(job["id"].as_str().unwrap().to_owned());
    }
    assert_eq!(ids.len(), 1);
    let (status, error) = submit(nodes[0], "racing", &lines(299, 2)).await;
    assert_eq!((status, &error["error"]["code"]), (409, &json!("conflict")));
    let id = ids.pop_first().unwrap();
    let job = wait_for(nodes[1], &id, "completed").await;
    assert_eq!(
        job["request_counts"],
        json!({"total": 300, "completed": 300, "failed": 0})
    );
    output_is_whole_and_resumable(nodes, &id).await;
}

async fn output_is_whole_and_resumable(nodes: &[SocketAddr], id: &str) {
    let mut names = BTreeSet::new();
    let mut from = 0;
    loop {
        let path = format!("/v1/batches/{id}/output?from={from}&limit=70");
        let node = nodes[from % nodes.len()];
        let (status, text) = ask(node, Method::GET, &path, "", "").await;
        assert_eq!(status, 200);
        if text.is_empty() {
            break;
        }
        for line in text.lines() {
            let line: Value = serde_json::from_str(line).unwrap();
            assert_eq!(line["position"], from);
            let name = line["custom_id"].as_str().unwrap().to_owned();
            let answer = line["response"]["body"].to_string();
            assert!(answer.contains(&format!("{name} ")), "{name}: {answer}");
            assert!(names.insert(name), "each item once");
            from += 1;
        }
    }
    assert_eq!(names.len(), 300);
}

async fn an_invalid_line_accepts_nothing(nodes: &[SocketAddr]) {
    let body = format!("{}\nnonsense", lines(3_000, 2));
    let (status, error) = submit(nodes[0], "invalid", &body).await;
    assert_eq!(
        (status, &error["error"]["code"]),
        (400, &json!("invalid_item"))
    );
    let message = error["error"]["message"].as_str().unwrap();
    assert!(message.starts_with("Line 3001:"), "{message}");
    // The key is free for the corrected job.
    let (status, job) = submit(nodes[1], "invalid", &lines(5, 2)).await;
    assert_eq!(status, 200, "{job}");
    assert_eq!(job["request_counts"]["total"], 5);
}

async fn nothing_starts_after_cancelled(nodes: &[SocketAddr], fleet: &Fleet) {
    let (_, job) = submit(nodes[0], "cancelled", &lines(600, 40)).await;
    let id = job["id"].as_str().unwrap().to_owned();
    let start = Instant::now();
    while executions(fleet).await.iter().all(|line| line.tokens < 3) {
        assert!(start.elapsed() < TIMEOUT, "nothing ran");
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    let path = format!("/v1/batches/{id}/cancel");
    let (status, _) = ask(nodes[1], Method::POST, &path, "", "").await;
    assert_eq!(status, 200);
    let job = wait_for(nodes[0], &id, "cancelled").await;
    let cancelled_at = unix_milliseconds();
    actix_rt::time::sleep(Duration::from_millis(1500)).await;
    let late: Vec<ExecutionLine> = executions(fleet)
        .await
        .into_iter()
        .filter(|line| line.request_id.starts_with(&id) && line.started_unix_ms > cancelled_at)
        .collect();
    assert!(late.is_empty(), "{late:?}");
    let (_, text) = ask(nodes[0], Method::GET, &format!("/v1/batches/{id}"), "", "").await;
    assert_eq!(serde_json::from_str::<Value>(&text).unwrap(), job);
}

#[test]
fn jobs_over_two_nodes_and_two_journal_groups() {
    let (fleet, folder) = fleet();
    actix_rt::System::new().block_on(async {
        let declarations = read_declarations(&folder).unwrap();
        fleet.apply(declarations).await.unwrap();
        let nodes: Vec<SocketAddr> = fleet.nodes.iter().map(|one| one.entrance).collect();
        resubmission_makes_one_job(&nodes).await;
        an_invalid_line_accepts_nothing(&nodes).await;
        nothing_starts_after_cancelled(&nodes, &fleet).await;
    });
    fleet.stop();
}
