//! Lets a request in where a service has room for it in time; otherwise it waits for a moment or is refused.

use super::{Forwarding, Handled, Interrupted, guarded};
use crate::caller_connection::CallerConnection;
use crate::fleet::BackendRequirements;
use crate::metrics::AdmissionEnd;
use crate::overload::LinePlace;
use crate::refusal::Refusal;
use firshore_adapter::backend::Backend;
use firshore_admission::admission::{
    self, Admission, AdmissionRequest, CapacityOutlook, ShareStatus,
};
use firshore_admission::retry::RetryTime;
use firshore_admission::shares::{CallerRank, ShareRequest};
use firshore_limits::report::TenantDigest;
use firshore_types::error::ErrorCode;
use slog::info;
use std::time::Instant;

/// Part of the time that a caller has left which it can spend on waiting until it comes back.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// Where a request goes.
pub(super) enum Found {
    /// To a back end.
    Backend(Backend),
    /// To none: none may take it.
    Nobody,
    /// To none: it would begin too late.
    NoRoom(CapacityOutlook),
}

impl Forwarding<'_> {
    /// Finds the back end that takes the request, once there is one that begins it in time.
    pub(super) async fn find_backend(
        &self,
        connection: &mut CallerConnection,
    ) -> Result<Found, Interrupted> {
        if !self.is_governed() {
            let chosen = self.choose(None);
            return Ok(chosen.map_or(Found::Nobody, Found::Backend));
        }
        let control = &self.gateway.overload;
        if self.attempts.sends() == 0 {
            let is_retry = self.ask(false).is_retry();
            let mut random = self.gateway.random.borrow_mut();
            control.asked(Instant::now(), &self.service, is_retry, &mut *random);
            self.note_arrival();
        }
        let rank = control.rank(self.priority(), self.ask(false).is_retry());
        let mut place: Option<LinePlace<'_>> = None;
        loop {
            let changed = control.changed();
            let now = Instant::now();
            let behind_others = control.is_behind_others(&self.service, rank);
            let Some(outlook) = self.outlook(now, &self.ask(behind_others)) else {
                return Ok(Found::Nobody);
            };
            if outlook.is_scarce {
                self.find_standing(now);
            }
            let ask = self.ask(behind_others);
            let wait = match admission::decide(&ask, &outlook) {
                Admission::Send => match self.choose(Some(ask.begin_within())) {
                    Some(backend) => {
                        self.note_let_in(place.is_some());
                        control.begun(now, &self.service);
                        return Ok(Found::Backend(backend));
                    }
                    None => return Ok(Found::Nobody),
                },
                Admission::Wait(wait) => wait,
                Admission::Refuse => return Ok(Found::NoRoom(outlook)),
            };
            if place.is_none() {
                self.gateway.pressure.borrow_mut().waited(&self.service);
                place = Some(control.wait(&self.service, rank));
            }
            let waiting = tokio::time::timeout(wait, changed);
            // Whatever ends the wait, what follows is decided anew.
            let _ = guarded(connection, self.deadline, waiting).await?;
        }
    }

    /// Whether it is decided when the request is let in. One that may have run is no longer refused for want
    /// of room: that would be no true promise.
    fn is_governed(&self) -> bool {
        self.gateway.overload.is_enabled() && !self.attempts.may_have_run()
    }

    /// Rank of the caller as it is bought: the tenant's goes before the route's.
    fn priority(&self) -> u32 {
        let tenant = self.tenant.as_deref();
        let bought = tenant.and_then(|tenant| tenant.priority);
        bought.unwrap_or(self.route.priority)
    }

    fn ask(&self, behind_others: bool) -> AdmissionRequest {
        let timeout = self.route.timeout;
        AdmissionRequest {
            objective: self.route.objective,
            timeout,
            time_left: self.terms.deadline.unwrap_or(timeout),
            age: self.request.arrived.elapsed(),
            share_status: self.standing.get().unwrap_or(ShareStatus::Within),
            behind_others,
            node_is_draining: self.gateway.leaving.is_leaving(),
        }
    }

    fn share_ask(&self) -> Option<ShareRequest<'_>> {
        let tenant = self.tenant.as_deref()?;
        Some(ShareRequest {
            service: &self.service,
            tenant: TenantDigest::from(&tenant.name),
            rank: CallerRank::new(tenant.priority, self.route.priority),
        })
    }

    fn note_arrival(&self) {
        if let Some(ask) = self.share_ask() {
            let mut shares = self.gateway.shares.borrow_mut();
            shares.record_arrival(Instant::now(), &ask);
        }
    }

    /// Finds out once whose share of the full service the request is: asked again, it would count again. One that
    /// was let in before stays within.
    fn find_standing(&self, now: Instant) {
        if self.standing.get().is_some() || self.attempts.sends() > 0 {
            return;
        }
        let Some(ask) = self.share_ask() else {
            return;
        };
        let room = self.gateway.fleet.borrow().begin_rate(now, &self.wanted());
        let mut shares = self.gateway.shares.borrow_mut();
        self.standing.set(Some(shares.status(now, &ask, room)));
    }

    fn wanted(&self) -> BackendRequirements<'_> {
        BackendRequirements {
            service: &self.service,
            attempts: &self.attempts,
            affinity: None,
            load_limit: f32::INFINITY,
            answer_within: Some(self.route.objective),
            begin_within: None,
        }
    }

    fn outlook(&self, now: Instant, ask: &AdmissionRequest) -> Option<CapacityOutlook> {
        let fleet = self.gateway.fleet.borrow();
        fleet.outlook(now, &self.wanted(), ask.begin_within())
    }

    fn note_let_in(&self, waited: bool) {
        let end = match waited {
            true => AdmissionEnd::LetInLater,
            false => AdmissionEnd::LetIn,
        };
        self.gateway.metrics.admission_ended(&self.service, end);
    }

    /// Refuses a request that would begin too late: its caller is told when to come back.
    pub(super) async fn refuse_without_room(
        &mut self,
        outlook: CapacityOutlook,
        connection: &mut CallerConnection,
    ) -> Handled {
        let end = AdmissionEnd::Refused;
        self.gateway.metrics.admission_ended(&self.service, end);
        self.gateway.pressure.borrow_mut().refused(&self.service);
        let ask = self.ask(false);
        let told = self.return_time();
        let wait = told.wait();
        info!(self.gateway.log, "forward: No room in time."; "request" => &self.terms.id,
            "service" => %self.service, "begin_delay_ms" => outlook.begin_delay.as_millis() as u64,
            "begin_within_ms" => ask.begin_within().as_millis() as u64,
            "picture_age_ms" => outlook.age.map(|age| age.as_millis() as u64),
            "returned" => ask.is_retry(), "standing" => ?ask.share_status,
            "told" => ?told, "wait_ms" => wait.as_millis() as u64);
        let message = format!("'{}' has no room for the request in time.", self.service);
        let refusal = Refusal::not_run(ErrorCode::Overloaded, message, wait);
        self.answer_refusal(&refusal, "no room in time", connection)
            .await
    }

    /// When the caller is to come back. One that has come back already hardly comes again, and takes no place of
    /// others.
    fn return_time(&self) -> RetryTime {
        let (now, time_left) = (Instant::now(), self.remaining());
        let last = RetryTime::Beyond(time_left.mul_f64(RETURN_SHARE));
        if self.ask(false).is_retry() {
            return last;
        }
        let control = &self.gateway.overload;
        let mut random = self.gateway.random.borrow_mut();
        let told = control.refused(now, &self.service, time_left, &mut *random);
        told.unwrap_or(last)
    }
}
