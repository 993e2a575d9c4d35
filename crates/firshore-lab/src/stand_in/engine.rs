//! A model engine and a small application service, emulated.
//!
//! The answer repeats the words of the prompt, so that a caller can tell its own answer from
//! another's. Prefill takes a fixed time a token; each decode step takes longer the more
//! requests run.

use crate::stand_in::server::Server;
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use parking_lot::Mutex;
use serde::Deserialize;
use serde_json::json;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

const PREFILL_MICROSECONDS_PER_TOKEN: u64 = 50;
const STEP_BASE_MICROSECONDS: u64 = 8_000;
const STEP_MICROSECONDS_PER_REQUEST: u64 = 400;

struct State {
    name: String,
    slots: u32,
    running: AtomicU32,
    executions: Mutex<Vec<String>>,
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    #[serde(default = "default_tokens")]
    max_tokens: usize,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

fn default_tokens() -> usize {
    16
}

/// Starts an engine that runs `slots` requests at once.
pub fn start(address: SocketAddr, name: &str, slots: u32) -> io::Result<Server> {
    let state = Arc::new(State {
        name: name.to_owned(),
        slots,
        running: AtomicU32::new(0),
        executions: Mutex::default(),
    });
    Server::start(address, move |request| handle(state.clone(), request))
}

async fn handle(state: Arc<State>, mut request: Request) -> Result<Response<BoxBody>, Infallible> {
    let path = request.path().to_owned();
    let response = match (request.method().clone(), path.as_str()) {
        (Method::GET, "/load") => {
            let running = state.running.load(Ordering::Relaxed);
            answer(&json!({"running": running, "waiting": 0, "slots": state.slots}))
        }
        (Method::GET, "/executions") => answer(&json!(*state.executions.lock())),
        (Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            complete(state, &mut request).await
        }
        _ => answer(&json!({"served_by": state.name, "path": path})),
    };
    Ok(response)
}

fn answer(value: &serde_json::Value) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(value.to_string())
        .map_into_boxed_body()
}

struct Running(Arc<State>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn complete(state: Arc<State>, request: &mut Request) -> Response<BoxBody> {
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    let Ok(completion) = serde_json::from_slice::<Completion>(&body) else {
        return Response::new(StatusCode::BAD_REQUEST);
    };
    let mut prompt = completion.prompt;
    for message in completion.messages {
        prompt.push_str(&message.content);
    }
    let words: Vec<String> = prompt.split_whitespace().map(str::to_owned).collect();
    state
        .executions
        .lock()
        .push(words.first().cloned().unwrap_or_default());
    state.running.fetch_add(1, Ordering::Relaxed);
    let running = Running(state);
    let prefill = PREFILL_MICROSECONDS_PER_TOKEN * words.len() as u64;
    actix_rt::time::sleep(Duration::from_micros(prefill)).await;
    let tokens: Vec<String> = words
        .iter()
        .cycle()
        .take(completion.max_tokens)
        .map(|word| format!("{word} "))
        .collect();
    if completion.stream {
        return Response::build(StatusCode::OK)
            .insert_header((CONTENT_TYPE, "text/event-stream"))
            .body(BodyStream::new(stream(running, tokens)))
            .map_into_boxed_body();
    }
    for _ in &tokens {
        step(&running.0).await;
    }
    answer(
        &json!({"choices": [{"text": tokens.concat()}], "usage": {"completion_tokens": tokens.len()}}),
    )
}

async fn step(state: &State) {
    let running = u64::from(state.running.load(Ordering::Relaxed));
    let micros = STEP_BASE_MICROSECONDS + STEP_MICROSECONDS_PER_REQUEST * running;
    actix_rt::time::sleep(Duration::from_micros(micros)).await;
}

fn stream(
    running: Running,
    tokens: Vec<String>,
) -> impl futures_util::Stream<Item = Result<Bytes, Infallible>> {
    futures_util::stream::unfold(
        (running, tokens, 0),
        |(running, tokens, position)| async move {
            if position > tokens.len() {
                return None;
            }
            if position == tokens.len() {
                return Some((
                    Ok(Bytes::from_static(b"data: [DONE]\n\n")),
                    (running, tokens, position + 1),
                ));
            }
            step(&running.0).await;
            let event = format!(
                "data: {}\n\n",
                json!({"choices": [{"text": tokens[position]}]})
            );
            Some((Ok(Bytes::from(event)), (running, tokens, position + 1)))
        },
    )
}
