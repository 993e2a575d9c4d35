//! One run of one item on one engine.

use super::Context;
use super::answer::{RunEnd, interpret};
use super::leases::HeldLease;
use crate::journal;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use firshore_batch::command::{Action, Outcome};
use firshore_exchange::exchange::{self, Connection, ExchangeError, Reuse};
use std::net::SocketAddr;

/// Longest answer taken as a result, in bytes.
const MAXIMUM_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Priority of repeatable items at the engine; online requests have at least 128.
const ITEM_PRIORITY: u16 = 64;

/// Priority of non-repeatable items, which an engine preempts last: a preempted one cannot be run
/// again.
const NON_REPEATABLE_PRIORITY: u16 = 127;

const PRIORITY_HEADER: HeaderName = HeaderName::from_static("engine-priority");
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("engine-request-id");
const RESUME_HEADER: HeaderName = HeaderName::from_static("engine-resume-from");

/// One run to be made.
pub(super) struct Run<'a> {
    pub(super) lease: &'a HeldLease,
    pub(super) address: SocketAddr,
    /// The item ran before under this lease on this engine, which keeps what it generated.
    pub(super) resumes: bool,
}

/// What a run ended with, and the headers of the engine's answer if there was one.
pub(super) struct RunReport {
    pub(super) end: RunEnd,
    pub(super) headers: Option<HeaderMap>,
}

impl From<RunEnd> for RunReport {
    fn from(end: RunEnd) -> Self {
        let headers = None;
        Self { end, headers }
    }
}

impl Run<'_> {
    /// Runs the item until its end or until it must stop. Dropping the exchange closes its
    /// connection, which stops the engine's work.
    pub(super) async fn run(&self, context: &Context) -> RunReport {
        if !self.lease.granted.item.repeatable && !self.start(context).await {
            return RunEnd::NotRun.into();
        }
        let Ok(connection) = exchange::connect(self.address, Reuse::Idle).await else {
            return RunEnd::NotRun.into();
        };
        let Some(head) = self.head() else {
            return RunEnd::NotRun.into();
        };
        // The last step before sending: the node may have been paused in any of those before.
        if !self.lease.is_valid() {
            return RunEnd::NotRun.into();
        }
        tokio::select! {
            report = self.exchange(connection, head) => report,
            _ = self.lease.stopped() => RunEnd::Stopped.into(),
        }
    }

    /// Commits that a non-repeatable item is about to be sent.
    async fn start(&self, context: &Context) -> bool {
        let action = Action::Start(self.lease.reference().clone());
        let outcome = journal::propose(&context.shared, action).await;
        matches!(outcome, Ok(Outcome::Start { allowed: true }))
    }

    fn head(&self) -> Option<RequestHead> {
        let granted = &self.lease.granted;
        let path = &granted.endpoint;
        let mut head = exchange::request_head(Method::POST, path, self.address).ok()?;
        let json = HeaderValue::from_static("application/json");
        let priority = match granted.item.repeatable {
            true => ITEM_PRIORITY,
            false => NON_REPEATABLE_PRIORITY,
        };
        let lease = &granted.lease;
        let request_id = format!("{}-{}-{}", lease.job, lease.index, lease.token.0);
        let request_id = HeaderValue::from_str(&request_id).ok()?;
        head.headers.insert(CONTENT_TYPE, json);
        head.headers.insert(PRIORITY_HEADER, priority.into());
        head.headers.insert(REQUEST_ID_HEADER, request_id);
        if self.resumes {
            // From the first token on, as the answer must be whole; the engine repeats what it
            // kept without computing it again.
            head.headers.insert(RESUME_HEADER, 0.into());
        }
        Some(head)
    }

    async fn exchange(&self, connection: Connection, head: RequestHead) -> RunReport {
        let body = Bytes::from(self.lease.granted.item.body.clone());
        let Ok(mut exchange) = connection.send(head, body).await else {
            return RunEnd::Lost.into();
        };
        let status = exchange.head.status.as_u16();
        let headers = Some(exchange.head.headers.clone());
        let end = match exchange.body.read_whole(MAXIMUM_ANSWER_BYTES).await {
            Ok(body) => {
                let marked = exchange.body.end();
                interpret(status, &exchange.head.headers, marked, &body)
            }
            Err(ExchangeError::TooLong(limit)) => too_long(limit),
            Err(_) => RunEnd::Lost,
        };
        RunReport { end, headers }
    }
}

/// An answer beyond the limit would be so again: it is the item's result.
fn too_long(limit: usize) -> RunEnd {
    use firshore_batch::job::ItemResult;
    use firshore_types::error::{ApiError, ErrorCode, Execution};
    let message = format!("The answer exceeds {limit} bytes.");
    let mut error = ApiError::maybe_run(ErrorCode::BackendFailed, message);
    error.execution = Execution::Complete;
    RunEnd::Done(ItemResult {
        status: error.code.status(),
        body: error.body(),
    })
}
