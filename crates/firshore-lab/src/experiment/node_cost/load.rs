//! Open-loop load: requests start at their times whether or not earlier ones have ended.

use crate::http::Call;
use serde_json::json;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What one kind of request looks like.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Tokens of the answer.
    pub tokens: usize,
    /// Whether it is streamed.
    pub stream: bool,
}

/// What the load has got so far.
#[derive(Default)]
pub struct Tally {
    /// Whole answers.
    pub answers: Cell<u64>,
    /// Events of streams.
    pub events: Cell<u64>,
    /// Bytes of answers' bodies.
    pub bytes: Cell<u64>,
    /// Failures.
    pub failures: Cell<u64>,
}

fn add(cell: &Cell<u64>, count: u64) {
    cell.set(cell.get() + count);
}

/// Number of words in a prompt.
const PROMPT_WORDS: usize = 32;

fn call(address: SocketAddr, key: &str, model: &str, shape: Shape, number: u64) -> Call {
    let mut words = vec![format!("m{number}")];
    words.extend((1..PROMPT_WORDS).map(|word| format!("w{word}")));
    let body = json!({
        "model": model, "prompt": words.join(" "),
        "max_tokens": shape.tokens, "stream": shape.stream,
    });
    Call::post(address, "/v1/completions", body.to_string()).key(key)
}

async fn run_one(call: Call, tally: &Tally) {
    let Ok(mut exchange) = call.open().await else {
        add(&tally.failures, 1);
        return;
    };
    if !exchange.head.status.is_success() {
        add(&tally.failures, 1);
        return;
    }
    loop {
        match exchange.body.next().await {
            Ok(Some(chunk)) => {
                let events = chunk.windows(2).filter(|pair| pair == b"\n\n").count();
                add(&tally.events, events as u64);
                add(&tally.bytes, chunk.len() as u64);
            }
            Ok(None) => {
                add(&tally.answers, 1);
                return;
            }
            Err(_) => {
                add(&tally.failures, 1);
                return;
            }
        }
    }
}

/// Starts `rate` requests a second until `until`, each on a task of its own.
pub async fn drive(
    address: SocketAddr,
    key: &str,
    model: &str,
    shape: Shape,
    rate: f64,
    until: Instant,
    tally: Rc<Tally>,
) {
    let start = Instant::now();
    let mut number = 0;
    while Instant::now() < until {
        let due = start + Duration::from_secs_f64(number as f64 / rate);
        actix_rt::time::sleep_until(due.into()).await;
        let call = call(address, key, model, shape, number);
        let tally = tally.clone();
        actix_rt::spawn(async move { run_one(call, &tally).await });
        number += 1;
    }
}
