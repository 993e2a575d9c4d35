//! Carries one online request to a back end and its answer back.
//!
//! An answer is passed on as it is or not at all: small answers are read whole first, streams event
//! by event; what breaks off after a part was passed on ends the caller's connection.

use crate::attempts::{Attempts, Next, SendEnd};
use crate::caller_connection::{CallerConnection, CallerGone, CallerRequest};
use crate::choice::affinity_key;
use crate::events::EventStream;
use crate::fleet::{Impression, Wanted};
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use actix_http::body::BodySize;
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName};
use actix_http::{RequestHead, ResponseHead};
use bytes::{Bytes, BytesMut};
use firshore_adapter::backend::{AnswerHead, Backend, Incarnation, Ran, SendTerms};
use firshore_adapter::caller::RequestTerms;
use firshore_adapter::route::{Repetition, Route};
use firshore_exchange::exchange::{self, Exchange, ExchangeBody, ExchangeError, Reuse};
use firshore_types::error::ErrorCode;
use firshore_types::ids::ServiceName;
use slog::{info, warn};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest answer that is read whole before it is passed on, in bytes.
const BUFFERED_BYTES: usize = 1024 * 1024;

/// Time left under which a request is not sent any more.
const LEAST_REMAINING: Duration = Duration::from_millis(5);

/// Time after which a refused caller should come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the codec
/// writes itself.
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// What becomes of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handled {
    /// It may carry another request.
    KeepOpen,
    /// It ends.
    Close,
}

/// Why work for a caller was stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    CallerLeft,
    TimedOut,
}

/// How far the answer to the caller is.
#[derive(Debug, Default)]
struct Progress {
    head_sent: bool,
    events: EventStream,
}

/// A back end's failure, kept to be passed on if nothing better comes.
struct KeptFailure {
    head: ResponseHead,
    body: Bytes,
}

/// What a send came to.
enum Sent {
    /// The caller has its answer, or is gone.
    Handled(Handled),
    /// The back end gave nothing to pass on.
    Ended(SendEnd),
}

/// One request under way.
struct Forwarding<'a> {
    gateway: &'a Gateway,
    route: Arc<Route>,
    service: ServiceName,
    request: CallerRequest,
    terms: RequestTerms,
    /// When the caller must have its answer.
    deadline: Instant,
    attempts: Attempts,
    progress: Progress,
    failure: Option<KeptFailure>,
    /// Where it was sent last.
    sent_to: Option<Incarnation>,
}

/// Runs a request and answers it.
pub async fn forward(
    gateway: &Gateway,
    route: Arc<Route>,
    request: CallerRequest,
    connection: &mut CallerConnection,
) -> Handled {
    let terms = gateway.adapter.caller.read_terms(&request.headers);
    let wait = terms.deadline.unwrap_or(route.timeout).min(route.timeout);
    let service = gateway.split.borrow_mut().next(&route);
    let mut forwarding = Forwarding {
        gateway,
        service,
        deadline: request.arrived + wait,
        attempts: Attempts::new(route.repetition, route.attempts),
        progress: Progress {
            head_sent: false,
            events: EventStream::after(terms.resume_after),
        },
        route,
        request,
        terms,
        failure: None,
        sent_to: None,
    };
    match forwarding.run(connection).await {
        Ok(handled) => handled,
        Err(interrupted) => forwarding.interrupted(interrupted, connection).await,
    }
}

/// Waits for `work`, unless the caller leaves or the time is up.
async fn guarded<T>(
    connection: &mut CallerConnection,
    deadline: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Interrupted> {
    tokio::select! {
        biased;
        result = work => Ok(result),
        () = connection.left() => Err(Interrupted::CallerLeft),
        () = actix_rt::time::sleep_until(deadline.into()) => Err(Interrupted::TimedOut),
    }
}

/// Whether a back end's status is a promise that only its own mark may give.
fn promises_not_run(head: &ResponseHead) -> bool {
    matches!(head.status.as_u16(), 408 | 421 | 429 | 503)
}

/// Headers without those that concern one connection only.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    for name in named {
        kept.remove(name);
    }
    for name in CONNECTION_HEADERS {
        kept.remove(name);
    }
    kept
}

impl Forwarding<'_> {
    async fn run(&mut self, connection: &mut CallerConnection) -> Result<Handled, Interrupted> {
        loop {
            if self.remaining() < LEAST_REMAINING {
                return Err(Interrupted::TimedOut);
            }
            let Some(backend) = self.choose() else {
                let next = self.attempts.give_up();
                return Ok(self.give_up(next, "no back end", connection).await);
            };
            let end = match self.send(&backend, connection).await? {
                Sent::Handled(handled) => return Ok(handled),
                Sent::Ended(end) => end,
            };
            let next = self.attempts.ended(&backend.incarnation, end);
            info!(self.gateway.log, "forward: Send ended.";
                "request" => &self.terms.id, "route" => &self.route.name,
                "backend" => %backend.incarnation, "end" => ?end, "next" => ?next,
                "sends" => self.attempts.sends(), "age_ms" => self.age());
            if next != Next::SendAgain {
                return Ok(self.give_up(next, "sends used up", connection).await);
            }
        }
    }

    fn age(&self) -> u64 {
        self.request.arrived.elapsed().as_millis() as u64
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn choose(&self) -> Option<Backend> {
        let affinity = match self.route.prefix_affinity {
            true => affinity_key(&self.terms.prompt),
            false => None,
        };
        let wanted = Wanted {
            service: &self.service,
            attempts: &self.attempts,
            affinity,
            load_limit: f32::INFINITY,
        };
        let mut random = self.gateway.random.borrow_mut();
        let fleet = self.gateway.fleet.borrow();
        fleet.choose(Instant::now(), &wanted, &mut *random)
    }

    fn request_head(&self, backend: &Backend) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.request.method.clone();
        head.uri = self.request.uri.clone();
        head.headers = end_to_end(&self.request.headers);
        let terms = SendTerms {
            incarnation: &backend.incarnation,
            remaining: self.remaining(),
            resume_after: self.progress.events.last(),
        };
        self.gateway
            .adapter
            .backend
            .write_terms(&mut head.headers, &terms);
        head
    }

    async fn send(
        &mut self,
        backend: &Backend,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        self.attempts.sending(&backend.incarnation);
        self.sent_to = Some(backend.incarnation.clone());
        let _in_flight = self.gateway.in_flight(&backend.incarnation);
        let connecting = exchange::connect(backend.address, Reuse::Idle);
        let to_backend = match guarded(connection, self.deadline, connecting).await? {
            Ok(to_backend) => to_backend,
            Err(_) => {
                self.gateway
                    .observed(&backend.incarnation, Impression::Unreachable);
                return Ok(Sent::Ended(SendEnd::NotSent));
            }
        };
        let head = self.request_head(backend);
        let dialect = self.gateway.adapter.backend.clone();
        let is_expected = |answer: &ResponseHead| dialect.answers(&self.request.headers, answer);
        let sending = to_backend.send_expecting(head, self.request.body.clone(), is_expected);
        match guarded(connection, self.deadline, sending).await? {
            Ok(exchange) => self.take_answer(backend, exchange, connection).await,
            Err(error) => Ok(self.lost(backend, &error)),
        }
    }

    fn lost(&self, backend: &Backend, error: &ExchangeError) -> Sent {
        self.gateway
            .observed(&backend.incarnation, Impression::Broke);
        warn!(self.gateway.log, "forward: Answer lost."; "request" => &self.terms.id,
            "backend" => %backend.incarnation, "reason" => %error, "age_ms" => self.age());
        let started = self.progress.events.last().is_some();
        Sent::Ended(match started {
            true => SendEnd::BrokenOff,
            false => SendEnd::Lost,
        })
    }

    async fn take_answer(
        &mut self,
        backend: &Backend,
        exchange: Exchange,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        self.gateway.heard(&backend.incarnation);
        let answer = self.gateway.adapter.backend.read_answer(&exchange.head);
        self.note_answer(backend, &answer);
        if answer.misdirected || answer.ran == Ran::No {
            return Ok(Sent::Ended(SendEnd::NotRun));
        }
        let success = exchange.head.status.is_success();
        if success && answer.ran == Ran::Yes && self.route.streams {
            return self.relay_stream(backend, exchange, connection).await;
        }
        if self.progress.head_sent {
            // A stream was to go on and got something else.
            return Ok(Sent::Ended(SendEnd::BrokenOff));
        }
        self.relay_whole(backend, exchange, answer.ran, connection)
            .await
    }

    fn note_answer(&self, backend: &Backend, answer: &AnswerHead) {
        if let Some(load) = answer.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.reported(Instant::now(), &backend.incarnation, load);
        }
        let seen = match (answer.misdirected, answer.ran) {
            (true, _) => Impression::Unreachable,
            (false, Ran::No) => Impression::Full,
            (false, _) => return,
        };
        self.gateway.observed(&backend.incarnation, seen);
    }

    /// Reads an answer whole, then passes it on.
    async fn relay_whole(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        ran: Ran,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        let reading = read_up_to(&mut exchange.body, BUFFERED_BYTES);
        let (body, whole) = match guarded(connection, self.deadline, reading).await? {
            Ok(read) => read,
            Err(error) => return Ok(self.lost(backend, &error)),
        };
        let head = exchange.head;
        if head.status.is_success() && ran != Ran::Yes {
            let error =
                ExchangeError::Lost("a success that the back end does not vouch for".into());
            return Ok(self.lost(backend, &error));
        }
        self.gateway
            .observed(&backend.incarnation, Impression::Answered);
        if promises_not_run(&head) {
            return Ok(Sent::Ended(SendEnd::Lost));
        }
        if head.status.is_server_error() && whole {
            self.failure = Some(KeptFailure { head, body });
            return Ok(Sent::Ended(SendEnd::Failed));
        }
        if whole {
            return Ok(Sent::Handled(self.pass_on(&head, body, connection).await));
        }
        let handled = self
            .relay_rest(backend, &head, body, exchange.body, connection)
            .await?;
        Ok(Sent::Handled(handled))
    }

    /// Passes on an answer that was read whole.
    async fn pass_on(
        &self,
        head: &ResponseHead,
        body: Bytes,
        connection: &mut CallerConnection,
    ) -> Handled {
        let size = BodySize::Sized(body.len() as u64);
        let close = self.gateway.leaving.is_leaving();
        connection.put_head(head.status, end_to_end(&head.headers), size, close);
        connection.put_chunk(body);
        connection.put_end();
        self.flushed(connection).await
    }

    async fn flushed(&self, connection: &mut CallerConnection) -> Handled {
        let limit = self.remaining() + Duration::from_secs(1);
        let flushed = tokio::time::timeout(limit, connection.flush()).await;
        match flushed {
            Ok(Ok(())) if connection.keeps_open() => Handled::KeepOpen,
            _ => Handled::Close,
        }
    }

    /// Passes on an answer that is too long to be read whole first.
    async fn relay_rest(
        &mut self,
        backend: &Backend,
        head: &ResponseHead,
        start: Bytes,
        mut body: ExchangeBody,
        connection: &mut CallerConnection,
    ) -> Result<Handled, Interrupted> {
        self.put_stream_head(head, connection);
        connection.put_chunk(start);
        loop {
            if connection.flush().await.is_err() {
                return Err(Interrupted::CallerLeft);
            }
            match guarded(connection, self.deadline, body.next()).await? {
                Ok(Some(chunk)) => connection.put_chunk(chunk),
                Ok(None) => break,
                Err(error) => {
                    self.lost(backend, &error);
                    return Ok(Handled::Close);
                }
            }
        }
        connection.put_end();
        Ok(self.flushed(connection).await)
    }

    fn put_stream_head(&mut self, head: &ResponseHead, connection: &mut CallerConnection) {
        let mut headers = end_to_end(&head.headers);
        headers.remove(CONTENT_LENGTH);
        let close = self.gateway.leaving.is_leaving();
        connection.put_head(head.status, headers, BodySize::Stream, close);
        self.progress.head_sent = true;
    }

    /// Passes events on as they come.
    async fn relay_stream(
        &mut self,
        backend: &Backend,
        mut exchange: Exchange,
        connection: &mut CallerConnection,
    ) -> Result<Sent, Interrupted> {
        loop {
            let chunk = match guarded(connection, self.deadline, exchange.body.next()).await? {
                Ok(Some(chunk)) => chunk,
                Ok(None) => break,
                Err(error) => return Ok(self.stream_broke(backend, &error)),
            };
            self.gateway.heard(&backend.incarnation);
            let events = match self.events_in(chunk) {
                Ok(events) => events,
                Err(error) => return Ok(self.stream_broke(backend, &error)),
            };
            if events.is_empty() {
                continue;
            }
            if !self.progress.head_sent {
                self.put_stream_head(&exchange.head, connection);
            }
            connection.put_chunk(events);
            self.flush_stream(connection).await?;
        }
        if self.progress.events.holds_part() {
            let error = ExchangeError::CutOff;
            return Ok(self.stream_broke(backend, &error));
        }
        self.gateway
            .observed(&backend.incarnation, Impression::Answered);
        if !self.progress.head_sent {
            self.put_stream_head(&exchange.head, connection);
        }
        connection.put_end();
        Ok(Sent::Handled(self.flushed(connection).await))
    }

    async fn flush_stream(&self, connection: &mut CallerConnection) -> Result<(), Interrupted> {
        let deadline = tokio::time::Instant::from_std(self.deadline);
        match tokio::time::timeout_at(deadline, connection.flush()).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(CallerGone)) => Err(Interrupted::CallerLeft),
            Err(_) => Err(Interrupted::TimedOut),
        }
    }

    /// What may be passed on of a chunk: whole events, where the stream may go on elsewhere.
    fn events_in(&mut self, chunk: Bytes) -> Result<Bytes, ExchangeError> {
        if self.route.repetition != Repetition::Resumable {
            return Ok(chunk);
        }
        let events = self.progress.events.feed(&chunk);
        events.map_err(|fault| ExchangeError::Lost(fault.to_string()))
    }

    fn stream_broke(&mut self, backend: &Backend, error: &ExchangeError) -> Sent {
        self.progress.events.broken_off();
        self.lost(backend, error)
    }

    async fn give_up(
        &mut self,
        next: Next,
        reason: &'static str,
        connection: &mut CallerConnection,
    ) -> Handled {
        if self.progress.head_sent {
            self.log_given_up(None, reason);
            return Handled::Close;
        }
        let refusal = match next {
            Next::PassOn | Next::SendAgain => match self.failure.take() {
                Some(failure) => {
                    return self.pass_on(&failure.head, failure.body, connection).await;
                }
                None => self.failed(),
            },
            Next::FailMaybeRun => self.failed(),
            Next::RefuseNotRun => Refusal::not_run(
                ErrorCode::NoBackend,
                format!("No back end of '{}' took the request.", self.service),
                RETRY_AFTER,
            ),
        };
        self.answer_refusal(&refusal, reason, connection).await
    }

    fn failed(&self) -> Refusal {
        let message = format!("The back end of '{}' gave no usable answer.", self.service);
        Refusal::maybe_run(ErrorCode::BackendFailed, message)
    }

    async fn answer_refusal(
        &self,
        refusal: &Refusal,
        reason: &'static str,
        connection: &mut CallerConnection,
    ) -> Handled {
        self.log_given_up(Some(refusal), reason);
        let close = self.gateway.leaving.is_leaving();
        match refusal.write(connection, close).await {
            Ok(()) if connection.keeps_open() => Handled::KeepOpen,
            _ => Handled::Close,
        }
    }

    fn log_given_up(&self, refusal: Option<&Refusal>, reason: &'static str) {
        let status = refusal.map_or(0, |refusal| refusal.status().as_u16());
        let sent_to = self.sent_to.as_ref().map(|backend| backend.0.as_str());
        info!(self.gateway.log, "forward: Given up."; "request" => &self.terms.id,
            "route" => &self.route.name, "service" => %self.service, "reason" => reason,
            "backend" => sent_to, "status" => status, "sends" => self.attempts.sends(),
            "may_have_run" => self.attempts.may_have_run(), "age_ms" => self.age());
    }

    async fn interrupted(
        &mut self,
        interrupted: Interrupted,
        connection: &mut CallerConnection,
    ) -> Handled {
        if interrupted == Interrupted::CallerLeft {
            self.log_given_up(None, "caller left");
            return Handled::Close;
        }
        if self.progress.head_sent {
            self.log_given_up(None, "time is up");
            return Handled::Close;
        }
        let message = "The time for the request is up.";
        let refusal = match self.attempts.may_have_run() {
            true => Refusal::maybe_run(ErrorCode::DeadlineExceeded, message),
            false => Refusal::not_run(ErrorCode::NoBackend, message, RETRY_AFTER),
        };
        self.answer_refusal(&refusal, "time is up", connection)
            .await
    }
}

/// Reads up to `limit` bytes; tells whether that is the whole body.
async fn read_up_to(body: &mut ExchangeBody, limit: usize) -> Result<(Bytes, bool), ExchangeError> {
    let Some(first) = body.next().await? else {
        return Ok((Bytes::new(), true));
    };
    let mut read = BytesMut::from(&first[..]);
    while let Some(chunk) = body.next().await? {
        read.extend_from_slice(&chunk);
        if read.len() > limit {
            return Ok((read.freeze(), false));
        }
    }
    Ok((read.freeze(), true))
}
