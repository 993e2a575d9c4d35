//! Passes an engine's stream on to the caller, and resumes it where it breaks.
//!
//! A stream that cannot go on ends with an error event and without the proper end of its body,
//! so that no caller takes it for whole.

use crate::engine::cancellation::{EngineRun, REQUEST_ID_HEADER};
use crate::engine::liveness;
use crate::gateway::classify::{self, Verdict};
use crate::gateway::connection::CallerConnection;
use crate::gateway::deadline::Deadline;
use crate::gateway::dispatch::{self, Answer, AnswerBody, Dispatch};
use crate::gateway::event_stream::EventStream;
use crate::gateway::response;
use crate::routing::{self, RunningRequest};
use crate::shared::Shared;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use firshore_exchange::exchange::{self, ExchangeBody, Reuse};
use firshore_routing::endpoint::Outcome;
use firshore_types::error::{ApiError, ErrorCode, Execution};
use futures_util::Stream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Header by which an engine is asked to go on at a token.
const RESUME_HEADER: HeaderName = HeaderName::from_static("engine-resume-from");

/// Most times that one stream is resumed.
const MAXIMUM_RESUMES: u32 = 3;

/// Pause before a resume, multiplied by its number.
const RESUME_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for the first bytes of a resumed stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time without a byte from the engine before its stream counts as broken.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Time in which a silent stream shows whether a caller that finished sending is still there.
const QUIET_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for the end of the body after the terminal event.
const END_TIMEOUT: Duration = Duration::from_millis(200);

/// A comment, which every reader of an event stream passes over.
const COMMENT: Bytes = Bytes::from_static(b": \n\n");

/// A stream under way.
pub struct Relay {
    shared: Arc<Shared>,
    request: Dispatch,
    caller: Option<Rc<CallerConnection>>,
    events: EventStream,
    body: ExchangeBody,
    run: Option<EngineRun>,
    running: Option<RunningRequest>,
    resumes: u32,
    /// By when the body has to end, once the terminal event has passed.
    end_by: Option<Instant>,
}

enum State {
    Open(Box<Relay>),
    Failed(ApiError),
    Ended,
}

enum Step {
    Pass(Bytes),
    Ended,
    Failed(ApiError),
}

enum Arrival {
    Bytes(Bytes),
    End,
    Broken,
    Quiet,
    DeadlineExceeded,
}

impl Relay {
    /// Relays an answer that was dispatched to be streamed.
    pub fn new(
        shared: &Arc<Shared>,
        request: Dispatch,
        caller: Option<Rc<CallerConnection>>,
        answer: Answer,
    ) -> Option<Self> {
        let AnswerBody::Streamed(body) = answer.body else {
            return None;
        };
        Some(Self {
            shared: shared.clone(),
            request,
            caller,
            events: EventStream::default(),
            body: *body,
            run: answer.run,
            running: Some(answer.running),
            resumes: 0,
            end_by: None,
        })
    }

    /// The body that the caller gets.
    pub fn stream(self) -> impl Stream<Item = Result<Bytes, ApiError>> {
        futures_util::stream::unfold(State::Open(Box::new(self)), |state| async move {
            match state {
                State::Ended => None,
                State::Failed(error) => {
                    response::flush().await;
                    Some((Err(error), State::Ended))
                }
                State::Open(mut relay) => match relay.step().await {
                    Step::Pass(bytes) => Some((Ok(bytes), State::Open(relay))),
                    Step::Ended => None,
                    Step::Failed(error) => {
                        relay.shared.metrics.count_error(&error);
                        let event = format!("event: error\ndata: {}\n\n", error.body());
                        Some((Ok(Bytes::from(event)), State::Failed(error)))
                    }
                },
            }
        })
    }

    async fn step(&mut self) -> Step {
        loop {
            let input = if self.events.holds_fault() {
                Arrival::Bytes(Bytes::new())
            } else {
                self.arrival().await
            };
            match input {
                Arrival::Bytes(bytes) => match self.events.feed(&bytes) {
                    Ok(passed) if passed.is_empty() => continue,
                    Ok(passed) => {
                        self.count_chunk();
                        return Step::Pass(passed);
                    }
                    Err(_) => {}
                },
                Arrival::Quiet => return Step::Pass(COMMENT),
                Arrival::DeadlineExceeded => {
                    return Step::Failed(Deadline::exceeded(Execution::Unknown));
                }
                Arrival::End | Arrival::Broken => {}
            }
            if self.events.is_finished() {
                self.end();
                return Step::Ended;
            }
            if let Err(error) = self.resume().await {
                self.fail();
                return Step::Failed(error);
            }
        }
    }

    async fn arrival(&mut self) -> Arrival {
        if self.events.is_finished() {
            // Read to its end, the connection can be used again.
            let end_by = *self
                .end_by
                .get_or_insert_with(|| Instant::now() + END_TIMEOUT);
            return match timeout_at(end_by, self.body.next()).await {
                Ok(Ok(Some(bytes))) => Arrival::Bytes(bytes),
                _ => Arrival::End,
            };
        }
        let address = self.run.as_ref().map(EngineRun::address);
        let body = &mut self.body;
        let caller = self.caller.as_deref();
        let next = async {
            tokio::select! {
                biased;
                arrived = body.next() => match arrived {
                    Ok(Some(bytes)) => Arrival::Bytes(bytes),
                    Ok(None) => Arrival::End,
                    Err(_) => Arrival::Broken,
                },
                () = quiet(caller) => Arrival::Quiet,
                () = silent(address) => Arrival::Broken,
            }
        };
        let arrival = self.request.terms.deadline.bound(next).await;
        arrival.unwrap_or(Arrival::DeadlineExceeded)
    }

    fn count_chunk(&mut self) {
        if let Some(running) = &mut self.running {
            running.chunk();
        }
    }

    fn end(&mut self) {
        if let Some(run) = self.run.take() {
            run.ended();
        }
        if let Some(running) = self.running.take() {
            running.ended(Outcome::Completed);
        }
    }

    fn fail(&mut self) {
        self.run = None;
        if let Some(running) = self.running.take() {
            running.ended(Outcome::Failed);
        }
    }

    /// Brings the stream to where it broke, or says why it ends here.
    async fn resume(&mut self) -> Result<(), ApiError> {
        let broken = || {
            let message = "The engine broke off before the answer's end.";
            ApiError::maybe_run(ErrorCode::BackendFailed, message)
        };
        let from = self.events.resume_from().ok_or_else(broken)?;
        if !self.request.terms.repeatable {
            return Err(broken());
        }
        self.events.broken_off();
        if from == 0 {
            return self.start_again().await;
        }
        while self.resumes < MAXIMUM_RESUMES {
            self.resumes += 1;
            let pause = actix_rt::time::sleep(RESUME_PAUSE * self.resumes);
            let deadline = self.request.terms.deadline;
            let resumed = async {
                pause.await;
                timeout(RESUME_TIMEOUT, self.resume_at(from)).await
            };
            match deadline.bound(resumed).await {
                None => return Err(Deadline::exceeded(Execution::Unknown)),
                Some(Ok(Resumption::Resumed(body))) => {
                    self.body = *body;
                    self.shared.metrics.resumes.inc();
                    return Ok(());
                }
                Some(Ok(Resumption::Refused)) => return Err(broken()),
                Some(Ok(Resumption::Failed) | Err(_)) => {}
            }
        }
        Err(broken())
    }

    async fn resume_at(&self, token: u64) -> Resumption {
        let Some(run) = &self.run else {
            return Resumption::Refused;
        };
        let Ok(mut head) = dispatch::request_head(&self.request.outbound, run.address()) else {
            return Resumption::Refused;
        };
        head.headers.insert(REQUEST_ID_HEADER, run.header_value());
        head.headers.insert(RESUME_HEADER, HeaderValue::from(token));
        let Ok(connection) = exchange::connect(run.address(), Reuse::Never).await else {
            return Resumption::Failed;
        };
        let body = self.request.outbound.body.clone();
        match connection.send(head, body).await {
            Ok(exchange) => match classify::head(self.request.kind, &exchange.head) {
                Verdict::Answer => Resumption::Resumed(Box::new(exchange.body)),
                _ => Resumption::Refused,
            },
            Err(_) => Resumption::Failed,
        }
    }

    /// Runs the request anew: no token has reached the caller.
    async fn start_again(&mut self) -> Result<(), ApiError> {
        self.fail();
        if self.resumes > 0 || !routing::may_retry(&self.shared) {
            let message = "The engine broke off before the answer's first token.";
            return Err(ApiError::maybe_run(ErrorCode::BackendFailed, message));
        }
        self.resumes += 1;
        let answer = dispatch::send(&self.shared, &self.request)
            .await
            .map_err(|error| ApiError {
                // The first run may have gone further than its answer.
                execution: Execution::Unknown,
                ..error
            })?;
        let AnswerBody::Streamed(body) = answer.body else {
            let message = "The engine answered outside its protocol.";
            return Err(ApiError::maybe_run(ErrorCode::BackendFailed, message));
        };
        self.body = *body;
        self.run = answer.run;
        self.running = Some(answer.running);
        Ok(())
    }
}

/// Resolves when a caller that finished sending has to be asked whether it is still there.
async fn quiet(caller: Option<&CallerConnection>) {
    match caller {
        None => std::future::pending().await,
        Some(caller) => {
            caller.finished_sending().await;
            actix_rt::time::sleep(QUIET_INTERVAL).await;
        }
    }
}

/// Resolves once an engine has sent nothing for too long, or does not answer at all any more.
async fn silent(engine: Option<SocketAddr>) {
    let stalled = actix_rt::time::sleep(STALL_TIMEOUT);
    match engine {
        None => stalled.await,
        Some(address) => tokio::select! {
            () = stalled => {}
            () = liveness::lost(address) => {}
        },
    }
}

enum Resumption {
    Resumed(Box<ExchangeBody>),
    /// The engine does not hold the run any more.
    Refused,
    /// The engine could not be reached; it may be soon.
    Failed,
}
