//! Sends the online load and records what its callers see.

use super::schedule::Arrival;
use crate::topology::{CallerShape, Topology};
use actix_http::Method;
use actix_http::header::{AUTHORIZATION, HeaderValue};
use bytes::Bytes;
use firshore_exchange::exchange;
use firshore_server::clock::unix_milliseconds;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What the caller of one request saw.
#[derive(Clone, Debug)]
pub(super) struct OnlineRecord {
    pub(super) marker: String,
    pub(super) sent_unix_ms: u64,
    /// Time to the first token, or to the whole answer of an application service.
    pub(super) first: Duration,
    pub(super) gaps: Vec<Duration>,
    pub(super) streamed: bool,
    pub(super) failure: Option<String>,
}

/// A prompt of `tokens` words that begins with its marker.
pub(super) fn prompt(marker: &str, tokens: usize) -> String {
    let mut words = vec![marker.to_owned()];
    words.extend((1..tokens).map(|number| format!("w{number}")));
    words.join(" ")
}

/// Sends every request at its time, spread over the nodes, and waits for all answers.
pub(super) async fn drive(
    nodes: &[SocketAddr],
    topology: &Topology,
    schedule: &[Arrival],
    start: Instant,
) -> Vec<OnlineRecord> {
    let mut tasks = Vec::new();
    for (number, arrival) in schedule.iter().enumerate() {
        let until = tokio::time::Instant::from_std(start + arrival.at);
        tokio::time::sleep_until(until).await;
        let node = nodes[number % nodes.len()];
        let caller = topology.callers[arrival.caller].clone();
        tasks.push(actix_rt::spawn(one(node, caller, arrival.marker.clone())));
    }
    let mut records = Vec::new();
    for task in tasks {
        records.extend(task.await);
    }
    records
}

async fn one(node: SocketAddr, caller: CallerShape, marker: String) -> OnlineRecord {
    let mut record = OnlineRecord {
        marker,
        sent_unix_ms: unix_milliseconds(),
        first: Duration::ZERO,
        gaps: Vec::new(),
        streamed: caller.stream,
        failure: None,
    };
    record.failure = send(node, &caller, &mut record).await.err();
    record
}

async fn send(
    node: SocketAddr,
    caller: &CallerShape,
    record: &mut OnlineRecord,
) -> Result<(), String> {
    let (method, path, body) = if caller.stream {
        let body = json!({
            "model": caller.service, "prompt": prompt(&record.marker, caller.prompt_tokens),
            "max_tokens": caller.output_tokens, "stream": true,
        });
        (Method::POST, "/v1/completions".to_owned(), body.to_string())
    } else {
        let path = format!("/services/{}/item/{}", caller.service, record.marker);
        (Method::GET, path, String::new())
    };
    let mut head =
        exchange::request_head(method, &path, node).map_err(|error| error.to_string())?;
    let key = format!("Bearer {}", caller.key);
    let key = HeaderValue::from_str(&key).map_err(|error| error.to_string())?;
    head.headers.insert(AUTHORIZATION, key);
    let start = Instant::now();
    let exchange = exchange::send(node, head, Bytes::from(body)).await;
    let mut exchange = exchange.map_err(|error| error.to_string())?;
    let mut text = String::new();
    let mut last = None;
    while let Some(chunk) = exchange
        .body
        .next()
        .await
        .map_err(|error| error.to_string())?
    {
        let now = Instant::now();
        let chunk = String::from_utf8_lossy(&chunk);
        match last {
            None => record.first = now - start,
            Some(last) if chunk.contains("\nid: ") || chunk.starts_with("id: ") => {
                record.gaps.push(now - last);
            }
            Some(_) => {}
        }
        last = Some(now);
        text.push_str(&chunk);
    }
    let whole = !caller.stream || text.contains("[DONE]");
    if !exchange.head.status.is_success() || !whole || !text.contains(&record.marker) {
        return Err(format!("{}: {text}", exchange.head.status));
    }
    Ok(())
}
