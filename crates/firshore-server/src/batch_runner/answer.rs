//! What an engine's answer to a batch item means.

use actix_http::header::HeaderMap;
use firshore_batch::job::ItemResult;
use firshore_exchange::framing::BodyEnd;

/// Header by which an engine says what became of a request that it did not answer in full.
const EXECUTION_HEADER: &str = "engine-execution";

/// What became of one run of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// It has its result.
    Done(ItemResult),
    /// The engine put it out of its slot for an online request; its generation is kept.
    Preempted,
    /// It was stopped by this node; its generation is kept.
    Stopped,
    /// It certainly was not run.
    NotRun,
    /// It may have run, and left no result.
    Lost,
}

/// Reads an answer whose body was read to its end. What only the close of the connection ended is no result: it may have
/// broken off.
pub fn interpret(status: u16, headers: &HeaderMap, end: BodyEnd, body: &[u8]) -> RunEnd {
    let execution = headers.get(EXECUTION_HEADER);
    match (status, execution.and_then(|value| value.to_str().ok())) {
        (_, Some("none")) if status != 400 => RunEnd::NotRun,
        (_, Some("preempted")) => RunEnd::Preempted,
        (_, Some("cancelled")) => RunEnd::Stopped,
        (500.., _) | (429, _) => RunEnd::Lost,
        _ if end == BodyEnd::ByClose => RunEnd::Lost,
        _ => RunEnd::Done(ItemResult {
            status,
            body: json_text(body),
        }),
    }
}

/// The body as JSON text; one of another kind becomes a JSON string.
fn json_text(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body);
    if serde_json::from_str::<serde::de::IgnoredAny>(&text).is_ok() {
        return text.into_owned();
    }
    serde_json::Value::from(text).to_string()
}
