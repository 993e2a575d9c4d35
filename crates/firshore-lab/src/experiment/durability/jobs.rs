//! Owners of batch jobs: each submits to one node and again to another, cancels some jobs, and
//! reads results from any node.

use crate::experiment::failures::fleet::{KEY, MODEL, NodeAddresses};
use crate::http::{Answer, Call};
use crate::judge::{ItemRecord, JobEnd, JobRecord};
use actix_http::Method;
use firshore_server::clock::unix_milliseconds;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for one step of a job, all tries together.
const STEP_PATIENCE: Duration = Duration::from_secs(120);

/// Longest wait for one answer.
const ANSWER_PATIENCE: Duration = Duration::from_secs(20);

/// Jobs end within about a second, so that this meets every stage.
const CANCEL_WITHIN_MILLISECONDS: u64 = 400;

const RETRY_PAUSE: Duration = Duration::from_millis(300);
const POLL: Duration = Duration::from_millis(200);

/// A job as its owner saw it.
#[derive(Clone, Debug)]
pub struct SeenJob {
    /// For the judge.
    pub record: JobRecord,
    /// Whether its items may run again.
    pub repeatable: bool,
    /// Whether the second submission gave another job.
    pub split: bool,
}

/// What the owners share.
pub struct Owners {
    nodes: Vec<NodeAddresses>,
    stop: Cell<bool>,
    seen: RefCell<Vec<SeenJob>>,
    /// Submissions whose answer did not come or was an error.
    pub unanswered: Cell<u64>,
}

impl Owners {
    /// Owners before these nodes.
    pub fn new(nodes: Vec<NodeAddresses>) -> Rc<Self> {
        Rc::new(Self {
            nodes,
            stop: Cell::new(false),
            seen: RefCell::default(),
            unanswered: Cell::new(0),
        })
    }

    /// Lets the owners end after their present job.
    pub fn stop(&self) {
        self.stop.set(true);
    }

    /// Every accepted job.
    pub fn take(&self) -> Vec<SeenJob> {
        self.seen.take()
    }

    /// Runs one owner until the load stops.
    pub async fn owner(self: Rc<Self>, seed: u64, number: usize) -> Result<(), String> {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ ((number as u64) << 32));
        let mut count = 0;
        while !self.stop.get() {
            count += 1;
            self.job(&mut random, &format!("o{number}-{count}")).await?;
        }
        Ok(())
    }

    async fn job(&self, random: &mut ChaCha8Rng, key: &str) -> Result<(), String> {
        let repeatable = random.random_bool(0.7);
        let items: Vec<String> = (0..random.random_range(5..60))
            .map(|number| format!("{key}.{number}"))
            .collect();
        let lines: Vec<String> = items.iter().map(|item| line(item, repeatable)).collect();
        let body = lines.join("\n");
        let first = self.submit(random, key, &body).await?;
        let second = self.submit(random, key, &body).await?;
        let cancel_after = random
            .random_bool(0.25)
            .then(|| Duration::from_millis(random.random_range(0..CANCEL_WITHIN_MILLISECONDS)));
        if let Some(pause) = cancel_after {
            actix_rt::time::sleep(pause).await;
            let path = format!("/v1/batches/{first}/cancel");
            self.until(random, Method::POST, &path, "").await?;
        }
        let end = self.end(random, &first).await?;
        let path = format!("/v1/batches/{first}/output");
        let output = self.until(random, Method::GET, &path, "").await?;
        self.seen.borrow_mut().push(SeenJob {
            record: JobRecord {
                id: first.clone(),
                items,
                results: results(&output.text()),
                end,
            },
            repeatable,
            split: first != second,
        });
        Ok(())
    }

    async fn submit(
        &self,
        random: &mut ChaCha8Rng,
        key: &str,
        body: &str,
    ) -> Result<String, String> {
        let start = Instant::now();
        loop {
            let call = self
                .call(random, Method::POST, "/v1/batches")
                .header("idempotency-key", key)
                .body(body.to_owned());
            let reason = match answer(call).await {
                Ok(answer) if answer.status() == 200 => {
                    let job: Value = answer.json().map_err(|error| error.to_string())?;
                    return Ok(job["id"].as_str().unwrap_or_default().to_owned());
                }
                Ok(answer) => answer.text(),
                Err(reason) => reason,
            };
            self.unanswered.set(self.unanswered.get() + 1);
            if start.elapsed() > STEP_PATIENCE {
                return Err(format!("job {key} was not accepted: {reason}"));
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Waits until the job is over, asking any node.
    async fn end(&self, random: &mut ChaCha8Rng, id: &str) -> Result<JobEnd, String> {
        let start = Instant::now();
        let path = format!("/v1/batches/{id}");
        while start.elapsed() < STEP_PATIENCE {
            let answer = self.until(random, Method::GET, &path, "").await?;
            let job: Value = answer.json().map_err(|error| error.to_string())?;
            match job["status"].as_str() {
                Some("completed") => return Ok(JobEnd::Completed),
                Some("cancelled") => {
                    let at_unix_ms = unix_milliseconds();
                    return Ok(JobEnd::Cancelled { at_unix_ms });
                }
                _ => actix_rt::time::sleep(POLL).await,
            }
        }
        Ok(JobEnd::Unfinished)
    }

    /// Asks one node after another until one answers with 200.
    async fn until(
        &self,
        random: &mut ChaCha8Rng,
        method: Method,
        path: &str,
        body: &'static str,
    ) -> Result<Answer, String> {
        let start = Instant::now();
        loop {
            let call = self.call(random, method.clone(), path).body(body);
            let reason = match answer(call).await {
                Ok(answer) if answer.status() == 200 => return Ok(answer),
                Ok(answer) => answer.text(),
                Err(reason) => reason,
            };
            if start.elapsed() > STEP_PATIENCE {
                return Err(format!("{path} was not answered: {reason}"));
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn call(&self, random: &mut ChaCha8Rng, method: Method, path: &str) -> Call {
        let node = self.nodes[random.random_range(0..self.nodes.len())];
        Call::new(node.callers, method, path).key(KEY)
    }
}

async fn answer(call: Call) -> Result<Answer, String> {
    match tokio::time::timeout(ANSWER_PATIENCE, call.send()).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("no answer in time".to_owned()),
    }
}

fn line(item: &str, repeatable: bool) -> String {
    let body = json!({"model": MODEL, "prompt": format!("{item} a parcel by the river"),
        "max_tokens": 12});
    json!({"custom_id": item, "method": "POST", "url": "/v1/completions",
        "repeatable": repeatable, "body": body})
    .to_string()
}

/// A result is an item's own if its answer names the item, or if it is an error.
fn results(output: &str) -> Vec<ItemRecord> {
    let lines = output.lines().filter(|line| !line.is_empty());
    let parsed = lines.map(|line| serde_json::from_str::<Value>(line).unwrap_or_default());
    parsed
        .map(|line| {
            let custom_id = line["custom_id"].as_str().unwrap_or_default().to_owned();
            let status = line["response"]["status_code"].as_u64().unwrap_or(0);
            let answer = line["response"]["body"].to_string();
            // The word after the name ends it: item 1 is not item 12.
            let own = status != 200 || answer.contains(&format!("{custom_id} a"));
            ItemRecord { custom_id, own }
        })
        .collect()
}
