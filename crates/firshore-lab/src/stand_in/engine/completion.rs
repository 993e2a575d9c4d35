//! Completions: the request's form, and the streamed or whole answer.

use crate::engine_model::{Event, Refusal, Submission};
use crate::stand_in::engine::driver::{Answer, Driver};
use crate::stand_in::engine::{EXECUTION_HEADER, REFUSAL_HEADER};
use crate::stand_in::server::{BrokenOff, ConnectionWatch, broken_off, json, read_json};
use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpMessage, Request, Response, StatusCode};
use bytes::Bytes;
use firshore_types::hash::prompt_block_hashes;
use futures_util::Stream;
use serde::Deserialize;
use serde_json::json;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

const DEFAULT_TOKENS: u32 = 16;
const DEFAULT_PRIORITY: u16 = crate::engine_model::FIRST_ONLINE_PRIORITY;

static UNNAMED_REQUESTS: AtomicU64 = AtomicU64::new(0);

/// Form of requests and answers.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    model: String,
    #[serde(default)]
    prompt: String,
    #[serde(default)]
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Deserialize)]
struct Message {
    content: String,
}

/// Words of an answer: those of the prompt, over and over.
struct Words {
    shape: Shape,
    words: Vec<String>,
}

impl Words {
    fn of(shape: Shape, prompt: &str) -> Self {
        let mut words: Vec<String> = prompt.split_whitespace().map(str::to_owned).collect();
        if words.is_empty() {
            words.push("empty".to_owned());
        }
        Self { shape, words }
    }

    fn at(&self, offset: u32) -> &str {
        &self.words[offset as usize % self.words.len()]
    }

    fn text(&self, from: u32, to: u32) -> String {
        (from..to)
            .map(|offset| format!("{} ", self.at(offset)))
            .collect()
    }

    fn event(&self, offset: u32) -> Bytes {
        let word = serde_json::to_string(&format!("{} ", self.at(offset))).expect("text");
        let choice = match self.shape {
            Shape::Text => format!(r#""text":{word}"#),
            Shape::Chat => format!(r#""delta":{{"content":{word}}}"#),
        };
        let event = format!("id: {offset}\ndata: {{\"choices\":[{{\"index\":0,{choice}}}]}}\n\n");
        Bytes::from(event)
    }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

fn submission(request: &Request, completion: &Completion, prompt: &str) -> Submission {
    let request_id = match header(request, "engine-request-id") {
        Some(request_id) => request_id.to_owned(),
        None => {
            let number = UNNAMED_REQUESTS.fetch_add(1, Ordering::Relaxed);
            format!("unnamed-{number}")
        }
    };
    let priority = header(request, "engine-priority").and_then(|text| text.parse().ok());
    let resume_from = header(request, "engine-resume-from").and_then(|text| text.parse().ok());
    Submission {
        request_id,
        marker: prompt.split_whitespace().next().unwrap_or("").to_owned(),
        priority: priority.unwrap_or(DEFAULT_PRIORITY),
        model: completion.model.clone(),
        prompt_tokens: prompt.split_whitespace().count() as u32,
        prompt_blocks: prompt_block_hashes(prompt),
        maximum_tokens: completion.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1),
        resume_from,
    }
}

/// Answers one completion. Until its first token nothing is sent, so that a refusal or preemption
/// in the queue still has a status of its own.
pub(super) async fn handle(
    driver: &Arc<Driver>,
    request: &mut Request,
    shape: Shape,
) -> Result<Response<BoxBody>, Response<BoxBody>> {
    let completion: Completion = read_json(request).await?;
    let mut prompt = completion.prompt.clone();
    for message in &completion.messages {
        prompt.push_str(&message.content);
        prompt.push(' ');
    }
    if driver.lock().engine.faults().hang {
        ConnectionWatch::closed(request).await;
        return Ok(Response::new(StatusCode::SERVICE_UNAVAILABLE));
    }
    let submission = submission(request, &completion, &prompt);
    let start = submission.resume_from.unwrap_or(0);
    let answer = driver.submit(submission).map_err(|error| refused(&error))?;
    let words = Words::of(shape, &prompt);
    let result = if completion.stream {
        streamed(driver, request, answer, words).await
    } else {
        whole(request, answer, words, start).await
    };
    if driver.lock().engine.take_lost_answer() {
        return Ok(broken_off());
    }
    Ok(result)
}

fn with_execution(
    status: StatusCode,
    execution: &'static str,
    body: &serde_json::Value,
) -> Response<BoxBody> {
    let mut response = json(status, body);
    let value = HeaderValue::from_static(execution);
    response.headers_mut().insert(EXECUTION_HEADER, value);
    response
}

fn refused(refusal: &Refusal) -> Response<BoxBody> {
    let status = match refusal {
        Refusal::TooLong => StatusCode::BAD_REQUEST,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = json!({"error": refusal.to_string()});
    let mut response = with_execution(status, "none", &body);
    let code = HeaderValue::from_static(refusal.code());
    response.headers_mut().insert(REFUSAL_HEADER, code);
    response
}

/// The answer to a run that ended without its last token.
fn ended(event: Option<Event>) -> Response<BoxBody> {
    match event {
        Some(Event::Refused { refusal, .. }) => refused(&refusal),
        Some(Event::Preempted { offset, .. }) => with_execution(
            StatusCode::SERVICE_UNAVAILABLE,
            "preempted",
            &json!({"resume_from": offset}),
        ),
        _ => with_execution(
            StatusCode::CONFLICT,
            "cancelled",
            &json!({"error": "The request was cancelled."}),
        ),
    }
}

async fn whole(
    request: &Request,
    mut answer: Answer,
    words: Words,
    start: u32,
) -> Response<BoxBody> {
    let mut generated = start;
    let closed = ConnectionWatch::closed(request);
    tokio::pin!(closed);
    loop {
        let event = tokio::select! {
            event = answer.next() => event,
            () = &mut closed => None,
        };
        match event {
            Some(Event::Token { offset, .. }) => generated = offset + 1,
            Some(Event::Completed { .. }) => break,
            other => return ended(other),
        }
    }
    let text = words.text(start, generated);
    let choice = match words.shape {
        Shape::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
        Shape::Chat => json!({"index": 0, "finish_reason": "length",
            "message": {"role": "assistant", "content": text}}),
    };
    let usage = json!({"prompt_tokens": words.words.len(), "completion_tokens": generated});
    json(
        StatusCode::OK,
        &json!({"choices": [choice], "usage": usage}),
    )
}

async fn streamed(
    driver: &Driver,
    request: &Request,
    mut answer: Answer,
    words: Words,
) -> Response<BoxBody> {
    let first = tokio::select! {
        event = answer.next() => event,
        () = ConnectionWatch::closed(request) => None,
    };
    match &first {
        Some(Event::Token { .. } | Event::Completed { .. }) => {}
        _ => return ended(first),
    }
    let relay = Relay {
        answer,
        words,
        pending: first,
        break_after: driver.lock().engine.take_break(),
        sent: 0,
    };
    Response::build(StatusCode::OK)
        .insert_header((CONTENT_TYPE, "text/event-stream"))
        .body(BodyStream::new(events(relay)))
        .map_into_boxed_body()
}

struct Relay {
    answer: Answer,
    words: Words,
    pending: Option<Event>,
    break_after: Option<u32>,
    sent: u32,
}

impl Relay {
    /// Next piece of the body, and whether it is the last.
    async fn next(&mut self) -> (Result<Bytes, BrokenOff>, bool) {
        if self.break_after.is_some_and(|limit| self.sent >= limit) {
            return (Err(BrokenOff::Ordered), true);
        }
        let event = match self.pending.take() {
            Some(event) => Some(event),
            None => self.answer.next().await,
        };
        match event {
            Some(Event::Token { offset, .. }) => {
                self.sent += 1;
                (Ok(self.words.event(offset)), false)
            }
            Some(Event::Completed { .. }) => (Ok(Bytes::from_static(b"data: [DONE]\n\n")), true),
            Some(Event::Preempted { offset, .. }) => {
                let text = format!("event: preempted\ndata: {{\"offset\":{offset}}}\n\n");
                (Ok(Bytes::from(text)), true)
            }
            _ => (
                Ok(Bytes::from_static(b"event: cancelled\ndata: {}\n\n")),
                true,
            ),
        }
    }
}

fn events(relay: Relay) -> impl Stream<Item = Result<Bytes, BrokenOff>> {
    futures_util::stream::unfold(Some(relay), |state| async move {
        let mut relay = state?;
        let (piece, last) = relay.next().await;
        Some((piece, (!last).then_some(relay)))
    })
}
