//! Origin of a stream: recorded when the stream begins, and required of each back end that continues it.
//!
//! The record reaches another node before the first event reaches the caller. If this node ends in between, the caller
//! has no event and begins anew; if it ends later, the record is there. Without an answer of those nodes the stream goes
//! on after [`RECORD_TIMEOUT`]; if it is taken up elsewhere, that may be refused.

use super::{Forwarding, Handled, Interrupted, unless_interrupted};
use crate::caller_connection::CallerConnection;
use crate::metrics::{ContinuationEnd, RecordEnd};
use crate::refusal::Refusal;
use crate::stream_origin::{
    self, OriginAnswers, OriginDecision, OriginKnowledge, OriginQuery, OriginRecord, StreamKey,
};
use firshore_adapter::backend::Backend;
use firshore_adapter::route::Repetition;
use firshore_adapter::text_origin::{ResumePermit, TextOrigin};
use firshore_crashes::fingerprint::FingerprintInput;
use firshore_types::error::ErrorCode;
use firshore_types::ids::ServiceName;
use slog::info;
use std::time::{Duration, Instant};
use tokio::time::{timeout, timeout_at};

/// Maximum time for which the first event of a stream waits for its record at another node.
const RECORD_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum time for which a stream that is taken up waits until this node's copy of the back ends is current, as a
/// fraction of the copy's bound: in normal operation it is at most 0.53 of the bound old (`budget.rs` of the node).
const CONFIRMATION_FRACTION: f64 = 0.6;

/// The same without a bound.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after which a caller should take the stream up again, or begin anew.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of characters of a caller's header in a log line.
const MAX_LOGGED_CHARS: usize = 64;

/// Distinguishes the digests of streams from those of requests.
const STREAM_METHOD: &str = "stream";

/// What began a stream, and what the decision rests on.
struct FoundOrigin {
    decision: OriginDecision,
    /// Whether this node's copy of the back ends is current as of the moment at which the stream was taken up.
    own_is_current: bool,
    /// Number of other nodes that answered.
    answers: usize,
    /// Whether one of these was current and knew a single version.
    other_is_current: bool,
}

impl Forwarding<'_> {
    /// Returns what a back end must match to continue the stream; `None` if the stream has no event yet.
    pub(super) fn required_origin(&self) -> Option<&TextOrigin> {
        self.progress.events.last()?;
        self.progress.origin.as_ref()
    }

    /// Returns the permit to continue the stream at a back end.
    pub(super) fn resume_permit(&self, backend: &Backend) -> Option<ResumePermit> {
        let after = self.progress.events.last()?;
        self.progress.origin.as_ref()?.permit(backend, after)
    }

    /// Returns whether the stream may have begun at another software version than the one recorded.
    pub(super) fn has_doubtful_origin(&self) -> bool {
        let (Some(origin), Some(begun_at)) = (self.required_origin(), self.progress.begun_at)
        else {
            return false;
        };
        let fleet = self.gateway.fleet.borrow();
        fleet.software().is_doubtful(origin, begun_at)
    }

    fn stream_key(&self, attempt: &str) -> StreamKey {
        let key = &self.gateway.fingerprint_key;
        StreamKey(key.fingerprint(&FingerprintInput {
            tenant: self.tenant.as_deref().map(|tenant| &tenant.name),
            host: &self.route.host,
            method: STREAM_METHOD,
            target: &self.route.name,
            body: attempt.as_bytes(),
        }))
    }

    /// Records what began the stream, before its first event is passed on.
    pub(super) async fn record_origin(
        &mut self,
        backend: &Backend,
        connection: &mut CallerConnection,
    ) -> Result<(), Interrupted> {
        if self.route.repetition != Repetition::Resumable || self.progress.origin.is_some() {
            return Ok(());
        }
        let now = Instant::now();
        let begun_at = self.last_send.as_ref().map_or(now, |send| send.at);
        let origin = TextOrigin::at(backend);
        self.progress.origin = Some(origin.clone());
        self.progress.begun_at = Some(begun_at);
        if self.terms.id.is_empty() {
            return Ok(());
        }
        let key = self.stream_key(&self.terms.id);
        let gateway = self.gateway;
        gateway
            .origins
            .borrow_mut()
            .insert(now, key, origin.clone(), begun_at);
        let knowledge = gateway.origin_knowledge(&self.service);
        let Some(store) = &gateway.origin_store else {
            return Ok(());
        };
        if knowledge.only_version().is_some() {
            return Ok(());
        }
        let record = OriginRecord {
            key,
            origin,
            age: now.saturating_duration_since(begun_at).as_millis() as u64,
        };
        let recording = timeout(RECORD_TIMEOUT, store.record(vec![record]));
        let recorded = unless_interrupted(connection, self.deadline, recording).await?;
        let end = match recorded {
            Ok(true) => RecordEnd::Recorded,
            _ => RecordEnd::Unanswered,
        };
        if end == RecordEnd::Recorded {
            gateway.origins.borrow_mut().mark_reported(&key);
        }
        gateway.metrics.origin_recorded(end);
        info!(gateway.log, "forward: Stream recorded."; "request" => &self.terms.id,
            "route" => &self.route.name, "backend" => %backend.incarnation,
            "software" => backend.software.as_ref().map(ToString::to_string),
            "end" => ?end, "recorded_ms" => now.elapsed().as_millis() as u64,
            "versions" => knowledge.versions.len(), "complete" => knowledge.complete);
        Ok(())
    }

    /// Forgets a stream that was returned completely: nobody takes it up.
    pub(super) fn forget_origin(&self) {
        if self.progress.origin.is_some() && self.terms.resume_after.is_none() {
            let key = self.stream_key(&self.terms.id);
            self.gateway.origins.borrow_mut().remove(&key);
        }
    }

    /// Determines what began a stream that the caller takes up. Refuses it if that is unknown.
    pub(super) async fn take_up(
        &mut self,
        connection: &mut CallerConnection,
    ) -> Result<Option<Handled>, Interrupted> {
        let Some(after) = self.progress.events.last() else {
            return Ok(None);
        };
        let attempt = self.terms.resumes.as_deref();
        let attempt = attempt.filter(|attempt| !attempt.is_empty());
        let query = OriginQuery {
            key: attempt.map(|attempt| self.stream_key(attempt)),
            service: self.service.clone(),
        };
        let began = Instant::now();
        let found = self.find_origin(&query, connection).await?;
        let backends = &self.gateway.freshness.backends;
        info!(self.gateway.log, "forward: Stream taken up."; "request" => &self.terms.id,
            "route" => &self.route.name, "after" => after,
            "resumes" => attempt.map(|attempt| attempt.chars().take(MAX_LOGGED_CHARS).collect::<String>()),
            "decision" => ?found.decision, "asked_ms" => began.elapsed().as_millis() as u64,
            "backends_age_ms" => backends.age_ms(), "confirmed_by" => backends.source(),
            "current" => found.own_is_current, "answers" => found.answers,
            "other_current" => found.other_is_current);
        let decision = found.decision;
        let OriginDecision::Known { origin, age, .. } = decision else {
            return Ok(Some(self.refuse_unknown_origin(connection).await));
        };
        self.progress.begun_at = age.and_then(|age| began.checked_sub(age));
        if self.has_service(&origin) {
            self.service = origin.service().clone();
        }
        self.progress.origin = Some(origin);
        match self.has_doubtful_origin() {
            true => Ok(Some(self.refuse_unknown_origin(connection).await)),
            false => Ok(None),
        }
    }

    /// Returns whether the route still leads to the service that began a stream.
    fn has_service(&self, origin: &TextOrigin) -> bool {
        let mut services = self.route.services.iter();
        services.any(|weighted| weighted.service == *origin.service())
    }

    /// Determines what began a stream that is taken up now.
    ///
    /// That only one version was listed counts as of now or later: a back end of another version may have joined and
    /// begun the stream since this node's copy was confirmed, whatever kept news from it.
    async fn find_origin(
        &self,
        query: &OriginQuery,
        connection: &mut CallerConnection,
    ) -> Result<FoundOrigin, Interrupted> {
        let taken_up_at = firshore_clock::now();
        let local = query.key.and_then(|key| {
            let origins = self.gateway.origins.borrow();
            origins.find(Instant::now(), &key)
        });
        let answers = match &local {
            Some(_) => OriginAnswers::default(),
            None => {
                let asking = self.ask_about_origin(query, taken_up_at);
                unless_interrupted(connection, self.deadline, asking).await?
            }
        };
        let own = self
            .gateway
            .origin_knowledge_as_of(&query.service, taken_up_at);
        Ok(FoundOrigin {
            decision: stream_origin::decide(query, local, &own, &answers),
            own_is_current: self.gateway.freshness.backends.covers(taken_up_at),
            answers: answers.known.len(),
            other_is_current: answers.has_only_version(),
        })
    }

    /// Asks other nodes about a stream. Unless they know what began it, waits until this node's copy of the back ends is
    /// current as of `taken_up_at`.
    async fn ask_about_origin(
        &self,
        query: &OriginQuery,
        taken_up_at: tokio::time::Instant,
    ) -> OriginAnswers {
        let backends = &self.gateway.freshness.backends;
        let limit = match backends.max_age() {
            Some(max_age) => max_age.mul_f64(CONFIRMATION_FRACTION),
            None => CONFIRMATION_TIMEOUT,
        };
        let until = tokio::time::Instant::now() + limit;
        let answers = match &self.gateway.origin_store {
            Some(store) => {
                let asking = timeout_at(until, store.query(query.clone()));
                asking.await.unwrap_or_else(|_| OriginAnswers::unanswered())
            }
            None => OriginAnswers::default(),
        };
        let is_settled = answers.has_record() || answers.has_only_version();
        if !is_settled && self.awaits_news(&query.service) {
            // At the timeout the copy is not current, and the stream is refused.
            let _ = timeout_at(until, backends.reach(taken_up_at)).await;
        }
        answers
    }

    /// Returns whether only the age of this node's copy keeps it from knowing that there is a single version.
    fn awaits_news(&self, service: &ServiceName) -> bool {
        let unbroken = self.gateway.freshness.backends.unbroken_for();
        let fleet = self.gateway.fleet.borrow();
        let now = Instant::now();
        let knowledge = OriginKnowledge::of(fleet.software(), now, service, unbroken);
        knowledge.only_version().is_some()
    }

    async fn refuse_unknown_origin(&mut self, connection: &mut CallerConnection) -> Handled {
        let metrics = &self.gateway.metrics;
        metrics.continuation_ended(ContinuationEnd::UnknownOrigin);
        let message = "Nothing tells which software version began the stream.";
        let refusal = Refusal::not_run(ErrorCode::OriginUnknown, message, RETRY_AFTER);
        self.answer_refusal(&refusal, "origin unknown", connection)
            .await
    }

    /// Returns the refusal of a stream that no listed back end may continue; `None` if one may.
    pub(super) fn refusal_without_software(&self) -> Option<Refusal> {
        let origin = self.required_origin()?;
        let fleet = self.gateway.fleet.borrow();
        if fleet.can_continue(origin, &self.residency) {
            return None;
        }
        let message = format!(
            "'{}' has no back end left of the software version that began the stream.",
            origin.service()
        );
        Some(Refusal::not_run(
            ErrorCode::SoftwareUnavailable,
            message,
            RETRY_AFTER,
        ))
    }

    /// Counts and logs that a back end continues the stream.
    pub(super) fn log_continuation(&self, backend: &Backend) {
        let (Some(after), Some(origin)) = (self.progress.events.last(), self.required_origin())
        else {
            return;
        };
        let metrics = &self.gateway.metrics;
        metrics.continuation_ended(ContinuationEnd::Continued);
        info!(self.gateway.log, "forward: Stream continues."; "request" => &self.terms.id,
            "route" => &self.route.name, "after" => after,
            "by_caller" => self.terms.resume_after.is_some(), "sends" => self.attempts.sends(),
            "former" => origin.process().map(ToString::to_string),
            "former_software" => origin.software().map(ToString::to_string),
            "backend" => %backend.incarnation,
            "software" => backend.software.as_ref().map(ToString::to_string));
    }
}
