//! Callers that mark their requests and judge each answer on its own.

use crate::experiment::failures::fleet::{KEY, MODEL, NodeAddresses};
use crate::judge::{CallOutcome, CallRecord};
use actix_http::Method;
use actix_http::header::{AUTHORIZATION, HeaderName, HeaderValue};
use bytes::Bytes;
use firshore_exchange::exchange::{self, Exchange, ExchangeError, Reuse};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time that a caller gives a request.
const TIMEOUT_SECONDS: u64 = 30;

/// Time after which a caller gives up on a node that does not even refuse.
const PATIENCE: Duration = Duration::from_secs(40);

const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// Sends of one request with an `Idempotency-Key`, at most.
const RESENDS: u32 = 6;

const RESEND_PAUSE: Duration = Duration::from_millis(400);

const THINK_MILLISECONDS: u64 = 60;

/// What kind of request a caller sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Repeatable,
    /// Must run at most once; sent once.
    Once,
    /// Must run at most once; sent again under its key until its outcome is known.
    Keyed,
}

/// Part of the run in which a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing but planned stops.
    Planned,
    /// Every failure.
    Chaos,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// For the judge.
    pub record: CallRecord,
    /// Kind.
    pub kind: Kind,
    /// When it ended.
    pub phase: Phase,
    /// Whether any of its sendings was accepted and then broken off.
    pub cut_off: bool,
}

/// Statuses of refusals from before anything was sent to an engine. Those of requests with a key
/// say `unknown` all the same: an earlier sending may have run.
const REFUSAL_STATUSES: [&str; 4] = ["409 ", "429 ", "503 ", "507 "];

fn is_cut_off(outcome: Option<&CallOutcome>) -> bool {
    match outcome {
        Some(CallOutcome::Lost(_)) => true,
        Some(CallOutcome::Failed(reason)) => !REFUSAL_STATUSES
            .iter()
            .any(|status| reason.starts_with(status)),
        _ => false,
    }
}

/// What the callers share.
pub struct Load {
    nodes: RefCell<Vec<NodeAddresses>>,
    /// The part of the run.
    pub phase: Cell<Phase>,
    stop: Cell<bool>,
    seen: RefCell<Vec<Seen>>,
}

struct Request {
    marker: String,
    kind: Kind,
    streamed: bool,
    words: Vec<String>,
    tokens: usize,
}

impl Load {
    /// Callers of these nodes.
    pub fn new(nodes: Vec<NodeAddresses>) -> Rc<Self> {
        Rc::new(Self {
            nodes: RefCell::new(nodes),
            phase: Cell::new(Phase::Planned),
            stop: Cell::new(false),
            seen: RefCell::default(),
        })
    }

    /// Lets the callers end after their present request.
    pub fn stop(&self) {
        self.stop.set(true);
    }

    /// Everything seen.
    pub fn take(&self) -> Vec<Seen> {
        self.seen.take()
    }

    /// Runs one caller until the load stops.
    pub async fn caller(self: Rc<Self>, seed: u64, number: usize) {
        let mut random = ChaCha8Rng::seed_from_u64(seed ^ (number as u64) << 32);
        let mut count = 0;
        while !self.stop.get() {
            count += 1;
            let request = draw(&mut random, format!("c{number}-{count}"));
            let mut cut_off = false;
            let outcome = self.outcome(&mut random, &request, &mut cut_off).await;
            if let Some(outcome) = outcome {
                self.seen.borrow_mut().push(Seen {
                    record: CallRecord {
                        marker: request.marker.clone(),
                        repeatable: request.kind == Kind::Repeatable,
                        outcome,
                    },
                    kind: request.kind,
                    phase: self.phase.get(),
                    cut_off,
                });
            }
            let pause = random.random_range(0..THINK_MILLISECONDS);
            actix_rt::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    /// The outcome, or `None` if no node took the request.
    async fn outcome(
        &self,
        random: &mut ChaCha8Rng,
        request: &Request,
        cut_off: &mut bool,
    ) -> Option<CallOutcome> {
        let mut outcome = self.send(random, request).await;
        *cut_off |= is_cut_off(outcome.as_ref());
        for _ in 1..RESENDS {
            let settled = matches!(
                outcome,
                Some(CallOutcome::Whole | CallOutcome::Wrong(_) | CallOutcome::Refused(_))
            );
            if request.kind != Kind::Keyed || settled {
                break;
            }
            actix_rt::time::sleep(RESEND_PAUSE).await;
            let again = self.send(random, request).await;
            *cut_off |= is_cut_off(again.as_ref());
            outcome = again.or(outcome);
        }
        outcome
    }

    /// Sends once, to the first node that accepts a connection.
    async fn send(&self, random: &mut ChaCha8Rng, request: &Request) -> Option<CallOutcome> {
        let mut nodes = self.nodes.borrow().clone();
        nodes.shuffle(random);
        let reuse = if request.kind == Kind::Repeatable {
            Reuse::Idle
        } else {
            Reuse::Never
        };
        for node in nodes {
            let Ok(connection) = exchange::connect(node.callers, reuse).await else {
                continue;
            };
            let work = exchange_outcome(connection, node.callers, request);
            let outcome = tokio::time::timeout(PATIENCE, work).await;
            let late = || CallOutcome::Lost("no answer in time".to_owned());
            return Some(outcome.unwrap_or_else(|_| late()));
        }
        None
    }
}

fn draw(random: &mut ChaCha8Rng, marker: String) -> Request {
    let kind = match random.random_range(0..10) {
        0..6 => Kind::Repeatable,
        6..8 => Kind::Once,
        _ => Kind::Keyed,
    };
    let length = random.random_range(3..40);
    let mut words = vec![marker.clone()];
    words.extend((1..length).map(|number| format!("{marker}.{number}")));
    // Some answers outlast the grace of a planned stop.
    let tokens = if random.random_bool(0.05) {
        random.random_range(400..800)
    } else {
        random.random_range(4..80)
    };
    Request {
        marker,
        kind,
        streamed: random.random_bool(0.6),
        words,
        tokens,
    }
}

impl Request {
    fn expected(&self) -> String {
        let words = self.words.iter().cycle().take(self.tokens);
        words.map(|word| format!("{word} ")).collect()
    }

    fn body(&self) -> String {
        json!({"model": MODEL, "prompt": self.words.join(" "), "max_tokens": self.tokens,
            "stream": self.streamed})
        .to_string()
    }
}

async fn exchange_outcome(
    connection: exchange::Connection,
    address: SocketAddr,
    request: &Request,
) -> CallOutcome {
    let lost = |error: ExchangeError| CallOutcome::Lost(error.to_string());
    let mut head = exchange::request_head(Method::POST, "/v1/completions", address)
        .expect("the path is valid");
    let mut add = |name: HeaderName, value: &str| {
        let value = HeaderValue::from_str(value).expect("printable ASCII");
        head.headers.insert(name, value);
    };
    add(AUTHORIZATION, &format!("Bearer {KEY}"));
    let timeout = HeaderName::from_static("firshore-timeout-seconds");
    add(timeout, &TIMEOUT_SECONDS.to_string());
    if request.kind != Kind::Repeatable {
        add(HeaderName::from_static("firshore-repeatable"), "no");
    }
    if request.kind == Kind::Keyed {
        add(HeaderName::from_static("idempotency-key"), &request.marker);
    }
    let exchange = match connection.send(head, Bytes::from(request.body())).await {
        Ok(exchange) => exchange,
        Err(error) => return lost(error),
    };
    let status = exchange.head.status.as_u16();
    let execution = exchange.head.headers.get("firshore-execution").cloned();
    let (text, broken) = read(exchange).await;
    if status != 200 {
        let reason = format!("{status} {text}");
        return match execution.as_ref().map(HeaderValue::as_bytes) {
            Some(b"none") => CallOutcome::Refused(reason),
            _ => CallOutcome::Failed(reason),
        };
    }
    if let Some(error) = broken {
        return if text.contains("event: error") {
            CallOutcome::Failed(error.to_string())
        } else {
            lost(error)
        };
    }
    judge_text(request, &text)
}

async fn read(mut exchange: Exchange) -> (String, Option<ExchangeError>) {
    let mut bytes = Vec::new();
    let broken = loop {
        match exchange.body.next().await {
            Ok(Some(chunk)) if bytes.len() < ANSWER_LIMIT => bytes.extend_from_slice(&chunk),
            Ok(Some(_)) => break Some(ExchangeError::TooLong(ANSWER_LIMIT)),
            Ok(None) => break None,
            Err(error) => break Some(error),
        }
    };
    (String::from_utf8_lossy(&bytes).into_owned(), broken)
}

/// Judges an answer with a proper end.
fn judge_text(request: &Request, text: &str) -> CallOutcome {
    let found = if request.streamed {
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let tokens = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        let tokens = tokens.map(|value| word_of(&value));
        tokens.collect::<String>()
    } else {
        word_of(&serde_json::from_str(text).unwrap_or_default())
    };
    let whole = !request.streamed || text.contains("data: [DONE]");
    if found == request.expected() && whole {
        CallOutcome::Whole
    } else {
        let short: String = text.chars().take(200).collect();
        CallOutcome::Wrong(format!("expected {} tokens, got '{short}'", request.tokens))
    }
}

fn word_of(value: &Value) -> String {
    value["choices"][0]["text"]
        .as_str()
        .unwrap_or("")
        .to_owned()
}
