//! Carries one online request to a back end and its answer back.
//!
//! An answer is passed on as it is or not at all: small answers are read whole first, streams event
//! by event; what breaks off after a part was passed on ends the caller's connection.

mod admit;
mod give_up;
mod headers;
mod relay;

use crate::attempts::{Attempts, Next, SendEnd};
use crate::caller_connection::{CallerConnection, CallerRequest};
use crate::choice::affinity_key;
use crate::events::EventStream;
use crate::fleet::endpoint;
use crate::fleet::{BackendOutcome, BackendRequirements};
use crate::gateway::Gateway;
use crate::metrics::RequestEnd;
use actix_http::header::HOST;
use actix_http::{RequestHead, ResponseHead};
use admit::Found;
use bytes::Bytes;
use firshore_adapter::backend::{AnswerHead, Backend, Ran, SendTerms};
use firshore_adapter::caller::RequestTerms;
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::route::Route;
use firshore_adapter::tenant::Tenant;
use firshore_admission::admission::ShareStatus;
use firshore_crashes::fingerprint::{FingerprintInput, RequestFingerprint};
use firshore_crashes::report::LostRun;
use firshore_exchange::exchange::{self, Exchange, ExchangeError, Reuse};
use firshore_types::ids::ServiceName;
use headers::end_to_end;
use slog::{info, warn};
use std::cell::{Cell, OnceCell};
use std::future::Future;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time left under which a request is not sent any more.
const LEAST_REMAINING: Duration = Duration::from_millis(5);

/// Occasions on which back ends ended under a request from which on a try of it ends with the next one.
const OCCASIONS_TO_SPARE: usize = 2;

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
    /// Bytes of answers that have arrived.
    received: u64,
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

/// Where and when a request was sent last, and what was believed then.
struct LastSend {
    backend: Incarnation,
    at: Instant,
    /// Requests per slot that the back end was believed to hold.
    load: f32,
    /// How many times the usual time work was believed to take there.
    pace: Option<f32>,
    /// Time for which it was expected to wait there.
    expected_wait: Duration,
    /// Time until the head of its answer came.
    began_after: Option<Duration>,
}

/// One request under way.
struct Forwarding<'a> {
    gateway: &'a Gateway,
    route: Arc<Route>,
    service: ServiceName,
    tenant: Option<Arc<Tenant>>,
    request: CallerRequest,
    terms: RequestTerms,
    /// When the caller must have its answer.
    deadline: Instant,
    attempts: Attempts,
    progress: Progress,
    failure: Option<KeptFailure>,
    /// The last send.
    last_send: Option<LastSend>,
    /// What it asks, once somebody wanted to know.
    print: OnceCell<RequestFingerprint>,
    /// Whether its tenant is within its share, once the service was full.
    standing: Cell<Option<ShareStatus>>,
    /// How it ended for the caller.
    end: RequestEnd,
}

/// Runs a request of a tenant, if it is known, and answers it.
pub async fn forward(
    gateway: &Gateway,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
    request: CallerRequest,
    connection: &mut CallerConnection,
) -> Handled {
    let terms = gateway.adapter.caller.read_terms(&request.headers);
    let wait = terms.deadline.unwrap_or(route.timeout).min(route.timeout);
    let service = gateway.split.borrow_mut().next(&route);
    let mut forwarding = Forwarding {
        gateway,
        service,
        tenant,
        deadline: request.arrived + wait,
        attempts: Attempts::new(route.repetition, route.attempts),
        progress: Progress {
            head_sent: false,
            received: 0,
            events: EventStream::after(terms.resume_after),
        },
        route,
        request,
        terms,
        failure: None,
        last_send: None,
        print: OnceCell::new(),
        standing: Cell::default(),
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

/// Waits for `work`, unless the caller leaves or the time is up.
async fn guarded<T>(
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
        loop {
            if self.remaining() < LEAST_REMAINING {
                return Err(Interrupted::TimedOut);
            }
            if let Some(wait) = self.gateway.quarantined_for(|| self.print()) {
                return Ok(self.hold_back(wait, connection).await);
            }
            let backend = match self.find_backend(connection).await? {
                Found::Backend(backend) => backend,
                Found::Nobody => {
                    let next = self.attempts.give_up();
                    return Ok(self.give_up(next, "no back end", connection).await);
                }
                Found::NoRoom(outlook) => {
                    return Ok(self.refuse_without_room(outlook, connection).await);
                }
            };
            let end = match self.send(&backend, connection).await? {
                Sent::Handled(handled) => return Ok(handled),
                Sent::Ended(end) => end,
            };
            self.gateway.metrics.send_ended(end);
            let next = self.attempts.ended(&backend.incarnation, end);
            let next = self.spare_backends(&backend, next, connection).await?;
            info!(self.gateway.log, "forward: Send ended.";
                "request" => &self.terms.id, "route" => &self.route.name,
                "backend" => %backend.incarnation, "end" => ?end, "next" => ?next,
                "sends" => self.attempts.sends(), "age_ms" => self.age(),
                "backends_age_ms" => self.gateway.freshness.backends.age_ms());
            if next != Next::SendAgain {
                return Ok(self.give_up(next, "sends used up", connection).await);
            }
        }
    }

    /// A request under which back ends have ended on two occasions takes no other one along in the same try: one
    /// that crashes them would end as many in each try as its route allows.
    async fn spare_backends(
        &self,
        backend: &Backend,
        next: Next,
        connection: &mut CallerConnection,
    ) -> Result<Next, Interrupted> {
        if next != Next::SendAgain || !self.attempts.may_have_run() {
            return Ok(next);
        }
        let crashes = &self.gateway.crashes;
        let settled = crashes.settled(&backend.incarnation);
        guarded(connection, self.deadline, settled).await?;
        match crashes.suspects_any()
            && crashes.suspicion(&self.print()).occasions >= OCCASIONS_TO_SPARE
        {
            true => Ok(Next::FailMaybeRun),
            false => Ok(next),
        }
    }

    fn age(&self) -> u64 {
        self.request.arrived.elapsed().as_millis() as u64
    }

    /// What stands for the request at all nodes, whatever identifier it came with.
    fn print(&self) -> RequestFingerprint {
        let make = || {
            let host = self.request.headers.get(HOST);
            let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
            let target = self.request.uri.path_and_query();
            self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
                tenant: self.tenant.as_deref().map(|tenant| &tenant.name),
                host,
                method: self.request.method.as_str(),
                target: target.map_or("", |target| target.as_str()),
                body: &self.request.body,
            })
        };
        *self.print.get_or_init(make)
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn choose(&self, begin_within: Option<Duration>) -> Option<Backend> {
        let affinity = match self.route.prefix_affinity {
            true => affinity_key(&self.terms.prompt),
            false => None,
        };
        let wanted = BackendRequirements {
            service: &self.service,
            attempts: &self.attempts,
            affinity,
            load_limit: f32::INFINITY,
            answer_within: Some(self.route.objective),
            begin_within,
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
    ) -> Result<Sent, Interrupted> {
        self.attempts.sending(&backend.incarnation);
        let now = Instant::now();
        self.last_send = Some(self.new_send(now, backend));
        let _in_flight = self.gateway.in_flight(&backend.incarnation);
        self.note_waiting(now, backend);
        let connecting = exchange::connect(endpoint(backend), Reuse::Idle);
        let to_backend = match guarded(connection, self.deadline, connecting).await? {
            Ok(to_backend) => to_backend,
            Err(_) => {
                self.gateway
                    .record_outcome(&backend.incarnation, BackendOutcome::Unreachable);
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

    /// What is believed of a back end to which the request is about to be sent.
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

    fn lost(&self, backend: &Backend, error: &ExchangeError) -> Sent {
        self.gateway
            .record_outcome(&backend.incarnation, BackendOutcome::Broke);
        warn!(self.gateway.log, "forward: Answer lost."; "request" => &self.terms.id,
            "backend" => %backend.incarnation, "reason" => %error, "print" => %self.print(),
            "age_ms" => self.age());
        let run = LostRun {
            fingerprint: self.print(),
            reached: self.progress.received,
        };
        self.gateway.crashes.record_lost_run(backend, run);
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
        self.gateway.record_activity(&backend.incarnation);
        if let Some(send) = &mut self.last_send {
            let began_after = send.at.elapsed();
            send.began_after = Some(began_after);
        }
        let answer = self.gateway.adapter.backend.read_answer(&exchange.head);
        self.note_answer(backend, &answer);
        if answer.misdirected || answer.ran == Ran::No {
            return Ok(Sent::Ended(SendEnd::NotRun));
        }
        let success = exchange.head.status.is_success();
        if success && answer.ran == Ran::Yes {
            self.note_wait();
        }
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

    /// A request at a back end without a free slot waits there: items of the service give way to it, also where
    /// nothing shows how many others have sent there.
    fn note_waiting(&self, now: Instant, backend: &Backend) {
        let fleet = self.gateway.fleet.borrow();
        if fleet.is_crowded(now, &backend.incarnation) {
            self.gateway.pressure.borrow_mut().waited(&self.service);
        }
    }

    /// A good answer has begun: how long its request waited tells how full back ends are. One that was not run
    /// comes back at once, and says nothing of lines.
    fn note_wait(&self) {
        let Some(send) = &self.last_send else {
            return;
        };
        let Some(began_after) = send.began_after else {
            return;
        };
        let mut fleet = self.gateway.fleet.borrow_mut();
        let now = Instant::now();
        fleet.began(now, &self.service, send.expected_wait, began_after);
    }

    /// The caller's answer is about to begin: one that comes late is told in the log.
    fn answer_begins(&self) {
        let age = self.request.arrived.elapsed();
        self.gateway.metrics.answer_began(age);
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

    fn note_answer(&self, backend: &Backend, answer: &AnswerHead) {
        if let Some(load) = answer.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(Instant::now(), &backend.incarnation, load);
        }
        let seen = match (answer.misdirected, answer.ran) {
            (true, _) => BackendOutcome::Unreachable,
            (false, Ran::No) => BackendOutcome::Full,
            (false, _) => return,
        };
        self.gateway.record_outcome(&backend.incarnation, seen);
    }
}
