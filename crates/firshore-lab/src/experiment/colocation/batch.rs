//! The batch load: a heap of items every ten seconds, large enough that items always wait.

use super::online::prompt;
use crate::http::Call;
use crate::topology::BatchShape;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two heaps.
const HEAP_INTERVAL: Duration = Duration::from_secs(10);

/// Jobs in a heap.
const JOBS_IN_HEAP: usize = 4;

/// First part of every item's marker.
pub(super) const MARKER_PREFIX: &str = "item-";

/// Which batch load a variant gets.
#[derive(Clone, Debug)]
pub(super) struct BatchLoad {
    pub(super) shape: BatchShape,
    /// Items in a heap.
    pub(super) items: usize,
    /// Time at which the last heap may come.
    pub(super) duration: Duration,
}

fn item_body(shape: &BatchShape, marker: &str) -> serde_json::Value {
    json!({"model": shape.service, "max_tokens": shape.output_tokens,
        "prompt": prompt(marker, shape.prompt_tokens)})
}

/// Submits the heaps as batch jobs.
pub(super) async fn submit_jobs(node: SocketAddr, load: &BatchLoad) -> Result<(), String> {
    let start = Instant::now();
    for heap in 0.. {
        for job in 0..JOBS_IN_HEAP {
            submit_job(node, load, &format!("{heap}-{job}")).await?;
        }
        let next = HEAP_INTERVAL * (heap + 1);
        if next >= load.duration {
            return Ok(());
        }
        tokio::time::sleep_until(tokio::time::Instant::from_std(start + next)).await;
    }
    Ok(())
}

async fn submit_job(node: SocketAddr, load: &BatchLoad, name: &str) -> Result<(), String> {
    let lines: Vec<String> = (0..load.items / JOBS_IN_HEAP)
        .map(|number| {
            let marker = format!("{MARKER_PREFIX}{name}-{number}");
            let body = item_body(&load.shape, &marker);
            json!({"custom_id": marker, "body": body}).to_string()
        })
        .collect();
    let call = Call::post(node, "/v1/batches", lines.join("\n"))
        .key(&load.shape.key)
        .header("idempotency-key", name);
    let answer = call.send().await.map_err(|error| error.to_string())?;
    match answer.status() {
        200 => Ok(()),
        _ => Err(format!("a job was refused: {}", answer.text())),
    }
}

/// Sends items as ordinary requests, `workers` at once, until the time is over.
pub(super) async fn send_as_requests(nodes: &[SocketAddr], load: &BatchLoad, workers: usize) {
    let until = Instant::now() + load.duration;
    let next = Rc::new(Cell::new(0_u64));
    let tasks: Vec<_> = (0..workers)
        .map(|worker| {
            let node = nodes[worker % nodes.len()];
            actix_rt::spawn(worker_loop(node, load.clone(), next.clone(), until))
        })
        .collect();
    for task in tasks {
        let _ = task.await;
    }
}

async fn worker_loop(node: SocketAddr, load: BatchLoad, next: Rc<Cell<u64>>, until: Instant) {
    while Instant::now() < until {
        let number = next.get();
        next.set(number + 1);
        let body = item_body(&load.shape, &format!("{MARKER_PREFIX}{number}"));
        let call = Call::post(node, "/v1/completions", body.to_string()).key(&load.shape.key);
        let answer = call.send().await;
        if !answer.is_ok_and(|answer| answer.status() == 200) {
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
