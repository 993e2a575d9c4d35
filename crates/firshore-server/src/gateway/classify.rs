//! What a back end's answer, or its absence, means for the request.

use actix_http::header::HeaderName;
use actix_http::{ResponseHead, StatusCode};
use firshore_exchange::exchange::ExchangeError;
use firshore_routing::endpoint::Outcome;
use firshore_routing::retry::AttemptEnd;
use firshore_types::error::Execution;

/// Header by which a back end says whether a request that it did not answer was run.
pub const ENGINE_EXECUTION_HEADER: HeaderName = HeaderName::from_static("engine-execution");

/// What kind of back end answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine, whose failures are known by their status.
    Engine,
    /// An application, whose answers are the caller's business, errors included.
    Application,
}

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer.
    Answer,
    /// The engine finds the request itself wrong: no engine will run it.
    Invalid(Execution),
    /// There is no answer.
    Ended(AttemptEnd),
}

/// Judges the head of an answer.
pub fn head(kind: BackendKind, head: &ResponseHead) -> Verdict {
    let execution = head.headers.get(ENGINE_EXECUTION_HEADER);
    let unrun = execution.is_some_and(|value| value.as_bytes() == b"none");
    let full = matches!(
        head.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    );
    if unrun && full {
        return Verdict::Ended(AttemptEnd::RefusedUnrun);
    }
    if kind == BackendKind::Application || head.status.is_success() {
        return Verdict::Answer;
    }
    if unrun {
        return Verdict::Invalid(Execution::None);
    }
    let about_the_request = head.status.is_client_error()
        && !matches!(
            head.status,
            StatusCode::REQUEST_TIMEOUT | StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS
        );
    if about_the_request {
        Verdict::Invalid(Execution::Unknown)
    } else {
        Verdict::Ended(AttemptEnd::MaybeRun)
    }
}

/// Judges a failure of the exchange.
pub fn failure(error: &ExchangeError) -> AttemptEnd {
    match error {
        ExchangeError::NotConnected(_) => AttemptEnd::NotSent,
        ExchangeError::Lost(_) | ExchangeError::Truncated | ExchangeError::TooLong(_) => {
            AttemptEnd::MaybeRun
        }
    }
}

/// What an attempt without an answer says about the back end.
pub fn outcome(end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::RefusedUnrun => Outcome::Refused,
        AttemptEnd::NotSent | AttemptEnd::MaybeRun => Outcome::Failed,
    }
}
