//! Sends a request to a chosen back end, and again where the retry policy allows it.

use crate::engine::cancellation::{EngineRun, REQUEST_ID_HEADER};
use crate::engine::liveness;
use crate::gateway::classify::{self, BackendKind, Verdict};
use crate::gateway::deadline::Deadline;
use crate::gateway::terms::Terms;
use crate::online_arrivals;
use crate::routing::{self, RunningRequest, Target};
use crate::shared::Shared;
use actix_http::header::HeaderMap;
use actix_http::{Method, RequestHead, ResponseHead};
use bytes::Bytes;
use firshore_exchange::exchange::{self, Exchange, ExchangeBody, ExchangeError, Reuse};
use firshore_exchange::framing::BodyEnd;
use firshore_routing::endpoint::Outcome;
use firshore_routing::retry::{AttemptEnd, Attempts, Decision};
use firshore_types::error::{ApiError, ErrorCode, Execution};
use rand::RngExt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest pause before a request that may have run is sent again. The pause is random, so that
/// the requests of a failed back end do not arrive at another at once.
const RETRY_PAUSE_MILLISECONDS: u64 = 50;

/// Longest part of an engine's own message that is passed on, in bytes.
const MESSAGE_BYTES: usize = 2048;

/// Seconds after which a refused caller should come back.
const RETRY_AFTER_SECONDS: u32 = 1;

/// A request on its way to a back end.
#[derive(Clone)]
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers beyond those of the hop.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// How the answer is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// As it comes.
    Streamed,
    /// Read to its end first, up to so many bytes. An answer that is cut off counts as none.
    Whole(usize),
}

/// Everything that one request needs on its way.
#[derive(Clone)]
pub struct Dispatch {
    /// Which back ends may run it.
    pub target: Target,
    /// What they get.
    pub outbound: Outbound,
    /// What they are.
    pub kind: BackendKind,
    /// What the caller asked for.
    pub terms: Terms,
    /// How the answer is taken.
    pub delivery: Delivery,
}

/// Body of an [`Answer`].
pub enum AnswerBody {
    /// All of it.
    Whole(Bytes),
    /// Yet to be read.
    Streamed(Box<ExchangeBody>),
}

/// A back end's answer.
pub struct Answer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: AnswerBody,
    /// The run at the engine, for model services.
    pub run: Option<EngineRun>,
    /// The request as the router counts it.
    pub running: RunningRequest,
}

enum Attempt {
    Answered(Box<Answer>),
    Ended(AttemptEnd, String),
    /// To be answered now.
    Final(ApiError),
}

/// The head of the request to `address`.
pub fn request_head(outbound: &Outbound, address: SocketAddr) -> Result<RequestHead, ApiError> {
    let head = exchange::request_head(outbound.method.clone(), &outbound.path, address);
    let mut head = head.map_err(|error| {
        ApiError::not_run(
            ErrorCode::InvalidRequest,
            format!("The path is unusable: {error}."),
        )
    })?;
    for (name, value) in &outbound.headers {
        head.headers.append(name.clone(), value.clone());
    }
    Ok(head)
}

/// Sends a request and waits for the head of its answer, or for all of it.
pub async fn send(shared: &Arc<Shared>, request: &Dispatch) -> Result<Answer, ApiError> {
    let mut attempts = Attempts::new(request.terms.repeatable);
    let mut tried = Vec::new();
    let mut last = (AttemptEnd::NotSent, String::new());
    loop {
        let Some(running) = routing::choose(shared, &request.target, &tried) else {
            return Err(given_up(attempts.execution(), last));
        };
        tried.push(running.endpoint());
        if request.kind == BackendKind::Engine {
            online_arrivals::sending(shared, running.name());
        }
        match attempt(shared, request, running, attempts.execution()).await {
            Attempt::Answered(answer) => return Ok(*answer),
            Attempt::Final(error) => return Err(error),
            Attempt::Ended(end, reason) => last = (end, reason),
        }
        match attempts.after(last.0) {
            Decision::Retry => {}
            Decision::RetryWithinBudget if routing::may_retry(shared) => {
                if request.terms.deadline.bound(pause()).await.is_none() {
                    return Err(Deadline::exceeded(attempts.execution()));
                }
            }
            Decision::RetryWithinBudget => return Err(given_up(attempts.execution(), last)),
            Decision::GiveUp(execution) => return Err(given_up(execution, last)),
        }
        shared.metrics.retries.inc();
    }
}

async fn pause() {
    let milliseconds = rand::rng().random_range(0..=RETRY_PAUSE_MILLISECONDS);
    actix_rt::time::sleep(Duration::from_millis(milliseconds)).await;
}

fn given_up(execution: Execution, last: (AttemptEnd, String)) -> ApiError {
    let (end, reason) = last;
    let (code, message) = match end {
        AttemptEnd::RefusedUnrun => (
            ErrorCode::Overloaded,
            "Every back end tried refused the request.".to_owned(),
        ),
        AttemptEnd::NotSent if execution == Execution::None => (
            ErrorCode::NoBackend,
            "No eligible back end could be reached.".to_owned(),
        ),
        AttemptEnd::NotSent | AttemptEnd::MaybeRun => (ErrorCode::BackendFailed, reason),
    };
    let error = ApiError {
        execution,
        ..ApiError::not_run(code, message)
    };
    error.retry_after(RETRY_AFTER_SECONDS)
}

async fn attempt(
    shared: &Arc<Shared>,
    request: &Dispatch,
    running: RunningRequest,
    before: Execution,
) -> Attempt {
    let address = running.address();
    let deadline = request.terms.deadline;
    let head = match request_head(&request.outbound, address) {
        Ok(head) => head,
        Err(error) => return Attempt::Final(error),
    };
    let reuse = if request.terms.repeatable {
        Reuse::Idle
    } else {
        // A pooled connection may close with the request on it, which leaves it in doubt.
        Reuse::Never
    };
    let connection = match deadline.bound(exchange::connect(address, reuse)).await {
        Some(Ok(connection)) => connection,
        Some(Err(error)) => return ended(running, &error),
        None => return Attempt::Final(Deadline::exceeded(before)),
    };
    let run =
        (request.kind == BackendKind::Engine).then(|| EngineRun::new(&shared.canceller, address));
    let work = async {
        tokio::select! {
            biased;
            answer = answered(request, connection, head, run.as_ref()) => answer,
            () = stopped_answering(request, address) => {
                let reason = "it stopped answering";
                Err(ExchangeError::Lost(reason.to_owned()))
            }
        }
    };
    match deadline.bound(work).await {
        Some(Ok((head, body))) => judge(request, head, body, run, running),
        Some(Err(error)) => ended(running, &error),
        None => Attempt::Final(Deadline::exceeded(Execution::Unknown)),
    }
}

/// Resolves once the back end is to be given up. A request that cannot be sent elsewhere waits
/// on: its answer may still come.
async fn stopped_answering(request: &Dispatch, address: SocketAddr) {
    if request.terms.repeatable {
        liveness::lost(address).await;
    } else {
        std::future::pending().await
    }
}

async fn answered(
    request: &Dispatch,
    connection: exchange::Connection,
    mut head: RequestHead,
    run: Option<&EngineRun>,
) -> Result<(ResponseHead, AnswerBody), ExchangeError> {
    if let Some(run) = run {
        head.headers.insert(REQUEST_ID_HEADER, run.header_value());
    }
    let Exchange { head, mut body } = connection.send(head, request.outbound.body.clone()).await?;
    let refused = classify::head(request.kind, &head) != Verdict::Answer;
    let limit = match request.delivery {
        Delivery::Whole(limit) => limit,
        Delivery::Streamed if refused => MESSAGE_BYTES,
        Delivery::Streamed => return Ok((head, AnswerBody::Streamed(Box::new(body)))),
    };
    let whole = match body.read_whole(limit).await {
        // Only the status of a refusal matters.
        Err(_) if refused => Bytes::new(),
        whole => whole?,
    };
    if body.end() == BodyEnd::ByClose && request.kind == BackendKind::Engine && !refused {
        return Err(ExchangeError::Truncated);
    }
    Ok((head, AnswerBody::Whole(whole)))
}

fn judge(
    request: &Dispatch,
    head: ResponseHead,
    body: AnswerBody,
    run: Option<EngineRun>,
    running: RunningRequest,
) -> Attempt {
    running.answered(&head.headers);
    let verdict = classify::head(request.kind, &head);
    if verdict == Verdict::Answer {
        return Attempt::Answered(Box::new(Answer {
            head,
            body,
            run,
            running,
        }));
    }
    if let Some(run) = run {
        run.ended();
    }
    match verdict {
        Verdict::Ended(end) => {
            running.ended(classify::outcome(end));
            Attempt::Ended(end, format!("The back end answered {}.", head.status))
        }
        Verdict::Invalid(execution) => {
            running.ended(Outcome::Completed);
            let error = ApiError::not_run(ErrorCode::InvalidRequest, message(&body));
            Attempt::Final(ApiError { execution, ..error })
        }
        Verdict::Answer => unreachable!("returned above"),
    }
}

/// An engine's own words on what is wrong with a request.
fn message(body: &AnswerBody) -> String {
    let text = match body {
        AnswerBody::Whole(bytes) => String::from_utf8_lossy(bytes).into_owned(),
        AnswerBody::Streamed(_) => String::new(),
    };
    format!("The engine refused the request: {text}")
}

fn ended(running: RunningRequest, error: &ExchangeError) -> Attempt {
    if let ExchangeError::TooLong(_) = error {
        running.ended(Outcome::Completed);
        let error = ApiError::maybe_run(ErrorCode::BackendFailed, error.to_string());
        return Attempt::Final(error);
    }
    let end = classify::failure(error);
    running.ended(classify::outcome(end));
    Attempt::Ended(end, error.to_string())
}
