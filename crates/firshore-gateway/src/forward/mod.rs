//! Forwards one online request to a back end and returns the response.
//!
//! Small responses are read completely before they are returned, streams event by event. If a response breaks off
//! after a part of it was returned, the caller's connection is closed.

mod admit;
mod continuation;
mod give_up;
mod headers;
mod relay;
mod stop;

use crate::answer_end::CompleteAnswer;
use crate::attempts::{Attempts, NextStep, SendEnd};
use crate::caller_connection::{CallerConnection, CallerRequest};
use crate::choice::affinity_key;
use crate::crash_monitor::ActiveQuarantine;
use crate::events::EventStream;
use crate::fleet::endpoint;
use crate::fleet::{BackendOutcome, BackendRequirements};
use crate::gateway::Gateway;
use crate::metrics::RequestEnd;
use crate::prompt_parts::shared_parts;
use actix_http::header::HOST;
use actix_http::{RequestHead, ResponseHead};
use admit::Selection;
use bytes::Bytes;
use firshore_adapter::backend::{AnswerHead, Backend, Ran, SendTerms};
use firshore_adapter::caller::RequestTerms;
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Route;
use firshore_adapter::tenant::Tenant;
use firshore_adapter::text_origin::TextOrigin;
use firshore_admission::admission::ShareStatus;
use firshore_crashes::fingerprint::{FingerprintInput, PartFingerprint, RequestFingerprint};
use firshore_crashes::report::LostRun;
use firshore_exchange::exchange::{self, Exchange, ExchangeError, Reuse};
use firshore_types::ids::ServiceName;
use headers::end_to_end;
use slog::{info, warn};
use std::cell::{Cell, OnceCell};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum remaining time for a send.
const MIN_REMAINING: Duration = Duration::from_millis(5);

/// Number of occasions on which back ends crashed under a request from which on it is not sent again.
const CRASH_OCCASIONS_TO_STOP: usize = 2;

/// Next state of the caller's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handled {
    /// The connection may carry another request.
    KeepOpen,
    /// The connection is closed.
    Close,
}

/// Why a request was interrupted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    CallerLeft,
    TimedOut,
}

/// Progress of the response to the caller.
#[derive(Debug, Default)]
struct Progress {
    head_sent: bool,
    /// Bytes of response bodies that have arrived.
    received: u64,
    events: EventStream,
    /// Whether a complete event of the last send has arrived.
    run_has_event: bool,
    /// What produced the first event; set together with its position.
    origin: Option<TextOrigin>,
    /// When the request was sent that produced the first event, if known.
    begun_at: Option<Instant>,
}

/// Failure reported by a back end, returned to the caller if no later send succeeds.
struct BackendFailure {
    head: ResponseHead,
    body: Bytes,
    complete: CompleteAnswer,
}

/// Result of a send.
enum SendResult {
    /// A response was returned, or the caller has disconnected.
    Handled(Handled),
    /// There is no response to return.
    Ended(SendEnd),
}

/// Last send of a request, with the estimates at that time.
struct LastSend {
    backend: Incarnation,
    at: Instant,
    /// Estimated load of the back end in requests per slot.
    load: f32,
    /// Estimated pace of the back end.
    pace: Option<f32>,
    /// Expected wait at the back end.
    expected_wait: Duration,
    /// Time until the head of the response arrived.
    began_after: Option<Duration>,
}

/// Request that is being forwarded.
struct Forwarding<'a> {
    gateway: &'a Gateway,
    route: Arc<Route>,
    service: ServiceName,
    tenant: Option<Arc<Tenant>>,
    /// Zones in which it may be processed.
    residency: ResidencyPermit,
    request: CallerRequest,
    terms: RequestTerms,
    /// When the caller must have the complete response, or the node stops.
    deadline: Instant,
    attempts: Attempts,
    progress: Progress,
    failure: Option<BackendFailure>,
    last_send: Option<LastSend>,
    /// Fingerprint, computed at first use.
    fingerprint: OnceCell<RequestFingerprint>,
    /// Fingerprints of the shared parts of its prompt, computed at first use.
    parts: OnceCell<Vec<PartFingerprint>>,
    /// Whether the request is within its tenant's fair share; `None` until the service is full.
    share_status: Cell<Option<ShareStatus>>,
    /// How the request ended for the caller.
    end: RequestEnd,
}

/// Forwards a request to a back end and writes the response.
pub async fn forward(
    gateway: &Gateway,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    request: CallerRequest,
    connection: &mut CallerConnection,
) -> Handled {
    let terms = gateway.adapter.caller.read_terms(&request.headers);
    let deadline = caller_deadline(&request, &terms, &route);
    let service = gateway.split.borrow_mut().next(&route);
    let mut forwarding = Forwarding {
        gateway,
        service,
        residency: gateway.residency(&route, tenant.as_deref()),
        tenant,
        deadline,
        attempts: Attempts::new(route.repetition, route.attempts),
        progress: Progress {
            // Other responses have no positions.
            events: EventStream::after(terms.resume_after.filter(|_| route.streams)),
            ..Progress::default()
        },
        route,
        request,
        terms,
        failure: None,
        last_send: None,
        fingerprint: OnceCell::new(),
        parts: OnceCell::new(),
        share_status: Cell::default(),
        end: RequestEnd::Answered,
    };
    let handled = match forwarding.run(connection).await {
        Ok(handled) => handled,
        Err(interrupted) => forwarding.interrupted(interrupted, connection).await,
    };
    if forwarding.end == RequestEnd::Refused
        && let Some(tenant) = &forwarding.tenant
    {
        gateway.return_admission(tenant);
    }
    let age = forwarding.request.arrived.elapsed();
    gateway
        .metrics
        .request_ended(&forwarding.service, forwarding.end, age);
    handled
}

/// Returns when the caller must have the complete response.
fn caller_deadline(request: &CallerRequest, terms: &RequestTerms, route: &Route) -> Instant {
    request.arrived + terms.deadline.unwrap_or(route.timeout).min(route.timeout)
}

/// Waits for `work`.
///
/// # Errors
///
/// Fails if the caller disconnects or the deadline passes first.
async fn unless_interrupted<T>(
    connection: &mut CallerConnection,
    deadline: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Interrupted> {
    tokio::select! {
        biased;
        result = work => Ok(result),
        () = connection.disconnected() => Err(Interrupted::CallerLeft),
        () = actix_rt::time::sleep_until(deadline.into()) => Err(Interrupted::TimedOut),
    }
}

impl Forwarding<'_> {
    async fn run(&mut self, connection: &mut CallerConnection) -> Result<Handled, Interrupted> {
        if let Some(refused) = self.take_up(connection).await? {
            return Ok(refused);
        }
        loop {
            if self.remaining() < MIN_REMAINING {
                return Err(Interrupted::TimedOut);
            }
            if let Some(quarantine) = self.quarantine() {
                return Ok(self.refuse_quarantined(&quarantine, connection).await);
            }
            if self.has_doubtful_origin() {
                let next = self.attempts.give_up();
                return Ok(self.give_up(next, "origin in doubt", connection).await);
            }
            let backend = match self.find_backend(connection).await? {
                Selection::Backend(backend) => backend,
                Selection::NoBackend => {
                    let next = self.attempts.give_up();
                    return Ok(self.give_up(next, "no back end", connection).await);
                }
                Selection::NoCapacity(outlook) => {
                    return Ok(self.refuse_without_capacity(outlook, connection).await);
                }
                Selection::NodeStops(late) => {
                    return Ok(self.refuse_before_stop(late, connection).await);
                }
            };
            self.log_continuation(&backend);
            self.end_before_stop();
            let end = match self.send(&backend, connection).await? {
                SendResult::Handled(handled) => return Ok(handled),
                SendResult::Ended(end) => end,
            };
            self.gateway.metrics.send_ended(end);
            let next = match self.progress.events.is_continuable() {
                true => self.attempts.ended(&backend.incarnation, end),
                false => self.attempts.give_up(),
            };
            let next = self.limit_crashes(&backend, next, connection).await?;
            info!(self.gateway.log, "forward: Send ended.";
                "request" => &self.terms.id, "route" => &self.route.name,
                "backend" => %backend.incarnation, "end" => ?end, "next" => ?next,
                "sends" => self.attempts.sends(), "age_ms" => self.age_ms(),
                "backends_age_ms" => self.gateway.freshness.backends.age_ms());
            if next != NextStep::SendAgain {
                return Ok(self.give_up(next, "attempts exhausted", connection).await);
            }
        }
    }

    /// Stops a request under which back ends have crashed on [`CRASH_OCCASIONS_TO_STOP`] occasions. Otherwise a
    /// request that crashes back ends would crash as many as its route allows attempts.
    async fn limit_crashes(
        &self,
        backend: &Backend,
        next: NextStep,
        connection: &mut CallerConnection,
    ) -> Result<NextStep, Interrupted> {
        if next != NextStep::SendAgain || !self.attempts.may_have_run() {
            return Ok(next);
        }
        let crashes = &self.gateway.crashes;
        let settled = crashes.settled(&backend.incarnation);
        unless_interrupted(connection, self.deadline, settled).await?;
        match crashes.suspects_requests()
            && crashes.suspicion(&self.fingerprint()).occasions >= CRASH_OCCASIONS_TO_STOP
        {
            true => Ok(NextStep::FailMaybeRun),
            false => Ok(next),
        }
    }

    /// Returns the age of the request in milliseconds.
    fn age_ms(&self) -> u64 {
        self.request.arrived.elapsed().as_millis() as u64
    }

    fn host(&self) -> &str {
        let host = self.request.headers.get(HOST);
        host.and_then(|host| host.to_str().ok()).unwrap_or_default()
    }

    /// Returns the fingerprints of the parts of the prompt that other requests may share.
    fn parts(&self) -> &[PartFingerprint] {
        let tenant = self.tenant.as_deref().map(|tenant| &tenant.name);
        let key = &self.gateway.fingerprint_key;
        let compute = || shared_parts(key, tenant, self.host(), &self.terms.prompt);
        self.parts.get_or_init(compute)
    }

    /// Returns the fingerprint of the request, which is the same at all nodes and doesn't depend on its identifier.
    fn fingerprint(&self) -> RequestFingerprint {
        let compute = || {
            let host = self.host();
            let target = self.request.uri.path_and_query();
            self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
                tenant: self.tenant.as_deref().map(|tenant| &tenant.name),
                host,
                method: self.request.method.as_str(),
                target: target.map_or("", |target| target.as_str()),
                body: &self.request.body,
            })
        };
        *self.fingerprint.get_or_init(compute)
    }

    fn quarantine(&self) -> Option<ActiveQuarantine> {
        self.gateway
            .quarantine(|| self.fingerprint(), || self.parts().to_vec())
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn choose(&self, begin_within: Option<Duration>) -> Option<Backend> {
        let affinity = match self.route.prefix_affinity {
            true => affinity_key(&self.terms.prompt),
            false => None,
        };
        let requirements = BackendRequirements {
            service: &self.service,
            attempts: &self.attempts,
            residency: &self.residency,
            origin: self.required_origin(),
            affinity,
            load_limit: f32::INFINITY,
            begin_objective: Some(self.route.objective),
            begin_within,
        };
        let mut random = self.gateway.random.borrow_mut();
        let fleet = self.gateway.fleet.borrow();
        fleet.choose(Instant::now(), &requirements, &mut *random)
    }

    fn request_head(&self, backend: &Backend) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.request.method.clone();
        head.uri = self.request.uri.clone();
        head.headers = end_to_end(&self.request.headers);
        let terms = SendTerms {
            incarnation: &backend.incarnation,
            remaining: self.remaining(),
            resume: self.resume_permit(backend),
            tenant: self.tenant.as_deref().map(|tenant| &tenant.name),
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
    ) -> Result<SendResult, Interrupted> {
        self.attempts.sending(&backend.incarnation);
        self.progress.run_has_event = false;
        let now = Instant::now();
        self.last_send = Some(self.new_send(now, backend));
        let _in_flight = self.gateway.begin_send(&backend.incarnation);
        let _run = self.gateway.begin_run(&self.route);
        self.record_waiting(now, backend);
        let connecting = exchange::connect(endpoint(backend), Reuse::Idle);
        let to_backend = match unless_interrupted(connection, self.deadline, connecting).await? {
            Ok(to_backend) => to_backend,
            Err(_) => {
                self.gateway
                    .record_outcome(&backend.incarnation, BackendOutcome::Unreachable);
                return Ok(SendResult::Ended(SendEnd::NotSent));
            }
        };
        let head = self.request_head(backend);
        let dialect = self.gateway.adapter.backend.clone();
        let is_expected = |answer: &ResponseHead| dialect.answers(&self.request.headers, answer);
        let sending = to_backend.send_expecting(head, self.request.body.clone(), is_expected);
        match unless_interrupted(connection, self.deadline, sending).await? {
            Ok(exchange) => self.handle_response(backend, exchange, connection).await,
            Err(error) => Ok(self.lost(backend, &error)),
        }
    }

    /// Returns the record of a send that is about to begin, with the current estimates for the back end.
    fn new_send(&self, now: Instant, backend: &Backend) -> LastSend {
        let fleet = self.gateway.fleet.borrow();
        let incarnation = &backend.incarnation;
        LastSend {
            backend: incarnation.clone(),
            at: now,
            load: fleet.load(now, incarnation).unwrap_or(0.0),
            pace: fleet.pace(now, incarnation),
            expected_wait: fleet.begin_delay(now, incarnation),
            began_after: None,
        }
    }

    /// Records that a response was lost, and returns the result of the send.
    fn lost(&self, backend: &Backend, error: &ExchangeError) -> SendResult {
        self.gateway
            .record_outcome(&backend.incarnation, BackendOutcome::Broke);
        warn!(self.gateway.log, "forward: Answer lost."; "request" => &self.terms.id,
            "backend" => %backend.incarnation, "reason" => %error, "print" => %self.fingerprint(),
            "parts" => self.parts().iter().map(ToString::to_string).collect::<Vec<_>>().join(" "),
            "received_bytes" => self.progress.received, "age_ms" => self.age_ms());
        let run = LostRun {
            fingerprint: self.fingerprint(),
            reached: self.progress.received,
            parts: match self.progress.run_has_event {
                true => Vec::new(),
                false => self.parts().to_vec(),
            },
        };
        self.gateway.crashes.record_lost_run(backend, run);
        let started = self.progress.events.last().is_some();
        SendResult::Ended(match started {
            true => SendEnd::BrokenOff,
            false => SendEnd::Lost,
        })
    }

    async fn handle_response(
        &mut self,
        backend: &Backend,
        exchange: Exchange,
        connection: &mut CallerConnection,
    ) -> Result<SendResult, Interrupted> {
        self.gateway.record_activity(&backend.incarnation);
        if let Some(send) = &mut self.last_send {
            let began_after = send.at.elapsed();
            send.began_after = Some(began_after);
        }
        let answer = self.gateway.adapter.backend.read_answer(&exchange.head);
        self.record_response(backend, &answer);
        if answer.misdirected || answer.ran == Ran::No {
            return Ok(SendResult::Ended(SendEnd::NotRun));
        }
        let success = exchange.head.status.is_success();
        if success && answer.ran == Ran::Yes {
            self.record_wait();
        }
        if success && answer.ran == Ran::Yes && self.route.streams {
            return self.relay_stream(backend, exchange, connection).await;
        }
        if self.progress.head_sent {
            // The response to a resumed stream is not a stream.
            return Ok(SendResult::Ended(SendEnd::BrokenOff));
        }
        self.relay_whole(backend, exchange, answer.ran, connection)
            .await
    }

    /// Counts a request at a back end without a free slot as waiting there, so that batch items of the service are
    /// preempted even without a view of other gateways' requests.
    fn record_waiting(&self, now: Instant, backend: &Backend) {
        let fleet = self.gateway.fleet.borrow();
        if fleet.is_crowded(now, &backend.incarnation) {
            self.gateway.pressure.borrow_mut().waited(&self.service);
        }
    }

    /// Records the wait of a request whose successful response has begun, as evidence of the service's load. Requests
    /// that were not run return immediately and don't count.
    fn record_wait(&self) {
        let Some(send) = &self.last_send else {
            return;
        };
        let Some(began_after) = send.began_after else {
            return;
        };
        let mut fleet = self.gateway.fleet.borrow_mut();
        let now = Instant::now();
        fleet.record_begin(now, &self.service, send.expected_wait, began_after);
    }

    /// Records that the response to the caller is about to begin, and logs it if it is late.
    fn response_begins(&self) {
        let age = self.request.arrived.elapsed();
        self.gateway.metrics.response_began(age);
        let Some(send) = self
            .last_send
            .as_ref()
            .filter(|_| age > self.route.objective)
        else {
            return;
        };
        self.gateway.pressure.borrow_mut().late(&self.service);
        info!(self.gateway.log, "forward: Answer late."; "request" => &self.terms.id,
            "route" => &self.route.name, "backend" => %send.backend,
            "age_ms" => age.as_millis() as u64,
            "objective_ms" => self.route.objective.as_millis() as u64,
            "at_backend_ms" => send.at.elapsed().as_millis() as u64,
            "load_when_sent" => send.load, "pace_when_sent" => send.pace, "sends" => self.attempts.sends());
    }

    /// Records the load report and the refusal, if any, in a response.
    fn record_response(&self, backend: &Backend, answer: &AnswerHead) {
        if let Some(load) = answer.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(Instant::now(), &backend.incarnation, load);
        }
        let outcome = match (answer.misdirected, answer.ran) {
            (true, _) => BackendOutcome::Unreachable,
            (false, Ran::No) => BackendOutcome::Full,
            (false, _) => return,
        };
        self.gateway.record_outcome(&backend.incarnation, outcome);
    }
}
