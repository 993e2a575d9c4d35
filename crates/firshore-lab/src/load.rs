//! Callers and batch jobs of a topology, and what they saw.

use crate::http::{Answer, Call};
use crate::judge::{CallOutcome, CallRecord, ItemRecord, JobEnd, JobRecord};
use crate::topology::{BatchShape, CallerShape};
use firshore_server::clock::unix_milliseconds;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two looks at a job.
const JOB_POLL: Duration = Duration::from_millis(100);

/// Last line of a whole stream.
const TERMINAL_DATA: &str = "[DONE]";

/// A prompt of so many words, the first of which is the marker.
pub fn prompt(marker: &str, tokens: usize) -> String {
    let mut words = vec![marker.to_owned()];
    words.extend((1..tokens).map(|number| format!("w{number}")));
    words.join(" ")
}

/// The answer that an engine stand-in gives to [`prompt`].
pub fn expected_answer(marker: &str, prompt_tokens: usize, output_tokens: usize) -> String {
    let prompt = prompt(marker, prompt_tokens);
    let words = prompt.split(' ').cycle().take(output_tokens);
    words.map(|word| format!("{word} ")).collect()
}

/// One online request and its times.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Caller's name.
    pub caller: String,
    /// What it asked and saw.
    pub record: CallRecord,
    /// Time to the first token of a stream.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub duration: Duration,
}

/// What has been seen so far.
#[derive(Default)]
pub struct Tally {
    /// Requests sent.
    pub sent: u64,
    /// Requests that ended.
    pub samples: Vec<Sample>,
    /// Tokens received.
    pub tokens: u64,
    /// Jobs that ended.
    pub jobs: Vec<JobRecord>,
    /// Items accepted.
    pub items_accepted: u64,
    /// Items with a result, of jobs that go on too.
    pub items_done: u64,
    /// Jobs that were not accepted.
    pub jobs_refused: Vec<String>,
}

/// A tally shared by the tasks of one thread.
pub type SharedTally = Rc<RefCell<Tally>>;

/// Sends requests of one caller at random times (Poisson) until `until`, whatever their answers
/// take; returns when all have ended.
pub async fn drive(
    entrance: SocketAddr,
    caller: CallerShape,
    tally: SharedTally,
    until: Instant,
    seed: u64,
) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut tasks = Vec::new();
    let mut next = Instant::now();
    for number in 1.. {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next += Duration::from_secs_f64(-uniform.ln() / caller.requests_per_second);
        if next >= until {
            break;
        }
        actix_rt::time::sleep_until(next.into()).await;
        let marker = format!("{}-{number}", caller.name);
        let caller = caller.clone();
        let tally = tally.clone();
        tasks.push(actix_rt::spawn(async move {
            tally.borrow_mut().sent += 1;
            let sample = if caller.stream {
                completion(entrance, &caller, &marker, &tally).await
            } else {
                application(entrance, &caller, &marker).await
            };
            tally.borrow_mut().samples.push(sample);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Runs one streamed completion.
pub async fn completion(
    entrance: SocketAddr,
    caller: &CallerShape,
    marker: &str,
    tally: &SharedTally,
) -> Sample {
    let body = json!({
        "model": caller.service, "prompt": prompt(marker, caller.prompt_tokens),
        "max_tokens": caller.output_tokens, "stream": true,
    });
    let call = Call::post(entrance, "/v1/completions", body.to_string()).key(&caller.key);
    let start = Instant::now();
    let mut first_token = None;
    let expected = expected_answer(marker, caller.prompt_tokens, caller.output_tokens);
    let outcome = match call.open().await {
        Err(error) => CallOutcome::Lost(error.to_string()),
        Ok(mut exchange) => {
            let mut body = Vec::new();
            let end = loop {
                match exchange.body.next().await {
                    Ok(Some(chunk)) => {
                        first_token.get_or_insert_with(|| start.elapsed());
                        let text = String::from_utf8_lossy(&chunk);
                        tally.borrow_mut().tokens += text.matches("data: {").count() as u64;
                        body.extend_from_slice(&chunk);
                    }
                    Ok(None) => break Ok(()),
                    Err(error) => break Err(error.to_string()),
                }
            };
            let answer = Answer {
                head: exchange.head,
                body: body.into(),
            };
            if answer.head.status.is_success() {
                stream_outcome(&answer.text(), &expected, end)
            } else {
                error_outcome(&answer)
            }
        }
    };
    Sample {
        caller: caller.name.clone(),
        record: CallRecord {
            marker: marker.to_owned(),
            repeatable: caller.repeatable,
            outcome,
        },
        first_token,
        duration: start.elapsed(),
    }
}

/// Judges a stream's text and the way it ended.
pub fn stream_outcome(text: &str, expected: &str, end: Result<(), String>) -> CallOutcome {
    if text.contains("event: error") {
        return CallOutcome::Failed("the stream ended with an error event".to_owned());
    }
    if let Err(reason) = end {
        return CallOutcome::Lost(reason);
    }
    let mut answer = String::new();
    let mut last = "";
    for data in text.lines().filter_map(|line| line.strip_prefix("data: ")) {
        last = data;
        let event: Value = serde_json::from_str(data).unwrap_or_default();
        answer.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
    }
    if last != TERMINAL_DATA {
        return CallOutcome::Wrong("it ended properly without its terminal event".to_owned());
    }
    if answer != expected {
        let start: String = answer.chars().take(60).collect();
        return CallOutcome::Wrong(format!("the text begins with '{start}'"));
    }
    CallOutcome::Whole
}

/// What an answer that is not a success tells about the request's execution.
pub fn error_outcome(answer: &Answer) -> CallOutcome {
    let text: String = answer.text().chars().take(200).collect();
    let reason = format!("status {}: {text}", answer.status());
    match answer.header("firshore-execution") {
        "none" => CallOutcome::Refused(reason),
        "unknown" | "complete" => CallOutcome::Failed(reason),
        _ => CallOutcome::Lost(format!("no Firshore-Execution, {reason}")),
    }
}

/// Runs one request to an application service: a lookup, or an alarm when it is not repeatable.
pub async fn application(entrance: SocketAddr, caller: &CallerShape, marker: &str) -> Sample {
    let path = format!("/services/{}/{}/{marker}", caller.service, caller.name);
    let call = if caller.repeatable {
        Call::get(entrance, &path)
    } else {
        Call::post(entrance, &path, "{}")
            .header("firshore-repeatable", "no")
            .header("idempotency-key", marker)
    };
    let start = Instant::now();
    let outcome = match call.key(&caller.key).send().await {
        Err(error) => CallOutcome::Lost(error.to_string()),
        Ok(answer) if !answer.head.status.is_success() => error_outcome(&answer),
        Ok(answer) => match answer.json::<Value>() {
            Ok(body) if body["marker"] == marker => CallOutcome::Whole,
            _ => CallOutcome::Wrong(answer.text()),
        },
    };
    Sample {
        caller: caller.name.clone(),
        record: CallRecord {
            marker: marker.to_owned(),
            repeatable: caller.repeatable,
            outcome,
        },
        first_token: None,
        duration: start.elapsed(),
    }
}

/// When a job is to be cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cancellation {
    /// Never.
    Never,
    /// As soon as this many items have a result.
    AfterItems(u64),
}

/// One job of a topology's batch load.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name, unique in the run.
    pub name: String,
    /// Its shape.
    pub shape: BatchShape,
    /// When it is to be cancelled.
    pub cancellation: Cancellation,
}

impl Job {
    fn items(&self) -> Vec<String> {
        (0..self.shape.items)
            .map(|number| format!("{}-item-{number}", self.name))
            .collect()
    }

    fn body(&self) -> String {
        let line = |item: String| {
            let body = json!({"model": self.shape.service, "max_tokens": self.shape.output_tokens,
                "prompt": prompt(&item, self.shape.prompt_tokens)});
            json!({"custom_id": item, "body": body}).to_string() + "\n"
        };
        self.items().into_iter().map(line).collect()
    }

    fn call(&self, call: Call) -> Call {
        call.key(&self.shape.key)
            .header("idempotency-key", &self.name)
    }

    /// Submits the job and follows it to its end, at most until `until`.
    pub async fn run(self, entrance: SocketAddr, tally: SharedTally, until: Instant) {
        let submit = Call::post(entrance, "/v1/batches", self.body());
        let answer = self.call(submit).send().await;
        let id = match &answer {
            Ok(answer) if answer.head.status.is_success() => {
                let job: Value = answer.json().unwrap_or_default();
                job["id"].as_str().unwrap_or("").to_owned()
            }
            Ok(answer) => {
                tally.borrow_mut().jobs_refused.push(answer.text());
                return;
            }
            Err(error) => {
                tally.borrow_mut().jobs_refused.push(error.to_string());
                return;
            }
        };
        tally.borrow_mut().items_accepted += self.shape.items as u64;
        let end = self.follow(entrance, &id, &tally, until).await;
        let results = self.output(entrance, &id).await;
        tally.borrow_mut().jobs.push(JobRecord {
            id,
            items: self.items(),
            results,
            end,
        });
    }

    async fn follow(
        &self,
        entrance: SocketAddr,
        id: &str,
        tally: &SharedTally,
        until: Instant,
    ) -> JobEnd {
        let path = format!("/v1/batches/{id}");
        let mut done_before = 0;
        let mut cancelled = false;
        while Instant::now() < until {
            actix_rt::time::sleep(JOB_POLL).await;
            let Ok(answer) = self.call(Call::get(entrance, &path)).send().await else {
                continue;
            };
            let job: Value = answer.json().unwrap_or_default();
            let count = |name: &str| job["request_counts"][name].as_u64().unwrap_or(0);
            let done = count("completed") + count("failed");
            tally.borrow_mut().items_done += done.saturating_sub(done_before);
            done_before = done_before.max(done);
            match job["status"].as_str() {
                Some("completed") => return JobEnd::Completed,
                Some("cancelled") => {
                    return JobEnd::Cancelled {
                        at_unix_ms: unix_milliseconds(),
                    };
                }
                _ => {}
            }
            let due = matches!(self.cancellation, Cancellation::AfterItems(items) if done >= items);
            if due && !cancelled {
                let cancel = Call::post(entrance, &format!("{path}/cancel"), "");
                cancelled = self.call(cancel).send().await.is_ok();
            }
        }
        JobEnd::Unfinished
    }

    /// Reads the whole output, page by page.
    async fn output(&self, entrance: SocketAddr, id: &str) -> Vec<ItemRecord> {
        let mut records = Vec::new();
        let mut from = 0;
        loop {
            let path = format!("/v1/batches/{id}/output?from={from}");
            let Ok(answer) = self.call(Call::get(entrance, &path)).send().await else {
                return records;
            };
            let text = answer.text();
            let mut next = from;
            for line in text.lines() {
                let line: Value = serde_json::from_str(line).unwrap_or_default();
                next = line["position"].as_u64().map_or(next, |last| last + 1);
                records.push(self.item_record(&line));
            }
            if next == from {
                return records;
            }
            from = next;
        }
    }

    fn item_record(&self, line: &Value) -> ItemRecord {
        let custom_id = line["custom_id"].as_str().unwrap_or("").to_owned();
        let shape = &self.shape;
        let expected = expected_answer(&custom_id, shape.prompt_tokens, shape.output_tokens);
        let text = line["response"]["body"]["choices"][0]["text"].as_str();
        ItemRecord {
            own: text == Some(expected.as_str()),
            custom_id,
        }
    }
}
