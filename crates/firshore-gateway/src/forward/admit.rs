//! Admission control: a request is sent if its service has capacity for it in time, and otherwise waits briefly
//! or is refused.

use super::{Forwarding, Handled, Interrupted, unless_interrupted};
use crate::caller_connection::CallerConnection;
use crate::fleet::BackendRequirements;
use crate::metrics::AdmissionEnd;
use crate::overload::QueueGuard;
use crate::refusal::Refusal;
use firshore_adapter::backend::Backend;
use firshore_admission::admission::{
    self, Admission, AdmissionRequest, CapacityOutlook, ShareStatus,
};
use firshore_admission::retry::RetryTime;
use firshore_admission::shares::{CallerRank, ShareRequest};
use firshore_admission::stop::LateRequest;
use firshore_limits::report::TenantDigest;
use firshore_types::error::ErrorCode;
use slog::info;
use std::time::{Duration, Instant};

/// Fraction of a caller's remaining time after which it is asked to retry.
const RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Time after which a caller should retry at another node that would send its request now. Bounds the retries of callers
/// that reach the stopping node again.
pub(super) const ELSEWHERE_RETRY: Duration = Duration::from_millis(50);

/// Result of the selection of a back end.
pub(super) enum Selection {
    /// The request is sent to this back end.
    Backend(Backend),
    /// No back end may run the request.
    NoBackend,
    /// The request would begin too late, or may outlive the node while slots are scarce.
    NoCapacity(NoCapacity),
    /// The request may outlive the node.
    NodeStops(LateRequest),
}

/// Why a request is refused by admission control.
pub(super) struct NoCapacity {
    outlook: CapacityOutlook,
    /// What a node that doesn't stop would do with it; `None` if it would refuse it too.
    elsewhere: Option<Admission>,
}

impl Forwarding<'_> {
    /// Selects a back end; under admission control, waits until there is one that begins the request in time.
    pub(super) async fn find_backend(
        &self,
        connection: &mut CallerConnection,
    ) -> Result<Selection, Interrupted> {
        if !self.uses_admission_control() {
            let Some(backend) = self.choose(None) else {
                return Ok(Selection::NoBackend);
            };
            return Ok(match self.late_request(None) {
                Some(late) => Selection::NodeStops(late),
                None => Selection::Backend(backend),
            });
        }
        let control = &self.gateway.overload;
        if self.attempts.sends() == 0 {
            let is_retry = self.admission_request(false).is_retry();
            let mut random = self.gateway.random.borrow_mut();
            control.record_arrival(Instant::now(), &self.service, is_retry, &mut *random);
            self.record_arrival();
        }
        let rank = control.rank(self.priority(), self.admission_request(false).is_retry());
        let mut queued: Option<QueueGuard<'_>> = None;
        loop {
            let changed = control.changed();
            let now = Instant::now();
            let behind_others = control.is_behind_others(&self.service, rank);
            let Some(outlook) = self.outlook(now, &self.admission_request(behind_others)) else {
                return Ok(Selection::NoBackend);
            };
            if outlook.is_scarce {
                self.determine_share_status(now);
            }
            let request = self.admission_request(behind_others);
            let decision = admission::decide(&request, &outlook);
            if decision == Admission::Send
                && let Some(late) = self.late_request(Some(&outlook))
            {
                self.count_refusal();
                return Ok(Selection::NodeStops(late));
            }
            let wait = match decision {
                Admission::Send => match self.choose(Some(request.begin_within())) {
                    Some(backend) => {
                        self.count_admission(queued.is_some());
                        control.record_start(now, &self.service);
                        return Ok(Selection::Backend(backend));
                    }
                    None => return Ok(Selection::NoBackend),
                },
                Admission::Wait(wait) => wait,
                Admission::Refuse => {
                    let elsewhere = admission::decision_elsewhere(&request, &outlook);
                    return Ok(Selection::NoCapacity(NoCapacity { outlook, elsewhere }));
                }
            };
            if queued.is_none() {
                self.gateway.pressure.borrow_mut().waited(&self.service);
                queued = Some(control.wait(&self.service, rank));
            }
            let waiting = tokio::time::timeout(wait, changed);
            // After a change or the timeout, the decision is made again.
            let _ = unless_interrupted(connection, self.deadline, waiting).await?;
        }
    }

    /// Returns whether admission control applies. It doesn't after the request may have run, because a refusal
    /// guarantees that it did not.
    fn uses_admission_control(&self) -> bool {
        self.gateway.overload.is_enabled() && !self.attempts.may_have_run()
    }

    /// Returns the priority of the tenant, or else of the route.
    fn priority(&self) -> u32 {
        let tenant = self.tenant.as_deref();
        let priority = tenant.and_then(|tenant| tenant.priority);
        priority.unwrap_or(self.route.priority)
    }

    pub(super) fn admission_request(&self, behind_others: bool) -> AdmissionRequest {
        let timeout = self.route.timeout;
        AdmissionRequest {
            objective: self.route.objective,
            timeout,
            time_left: self.terms.deadline.unwrap_or(timeout),
            age: self.request.arrived.elapsed(),
            share_status: self.share_status.get().unwrap_or(ShareStatus::Within),
            behind_others,
            node_stops_in: self.gateway.leaving.stops_in(Instant::now()),
        }
    }

    fn share_request(&self) -> Option<ShareRequest<'_>> {
        let tenant = self.tenant.as_deref()?;
        Some(ShareRequest {
            service: &self.service,
            tenant: TenantDigest::from(&tenant.name),
            rank: CallerRank::new(tenant.priority, self.route.priority),
        })
    }

    fn record_arrival(&self) {
        if let Some(request) = self.share_request() {
            let mut shares = self.gateway.shares.borrow_mut();
            shares.record_arrival(Instant::now(), &request);
        }
    }

    /// Determines once whether the request is within its tenant's share of the full service, since each query counts
    /// it. A request that was sent before counts as within.
    fn determine_share_status(&self, now: Instant) {
        if self.share_status.get().is_some() || self.attempts.sends() > 0 {
            return;
        }
        let Some(request) = self.share_request() else {
            return;
        };
        let capacity = self
            .gateway
            .fleet
            .borrow()
            .begin_rate(now, &self.requirements());
        let mut shares = self.gateway.shares.borrow_mut();
        self.share_status
            .set(Some(shares.status(now, &request, capacity)));
    }

    fn requirements(&self) -> BackendRequirements<'_> {
        BackendRequirements {
            service: &self.service,
            attempts: &self.attempts,
            residency: &self.residency,
            origin: self.required_origin(),
            affinity: None,
            load_limit: f32::INFINITY,
            begin_objective: Some(self.route.objective),
            begin_within: None,
        }
    }

    pub(super) fn outlook(
        &self,
        now: Instant,
        request: &AdmissionRequest,
    ) -> Option<CapacityOutlook> {
        let fleet = self.gateway.fleet.borrow();
        fleet.outlook(now, &self.requirements(), request.begin_within())
    }

    fn count_admission(&self, waited: bool) {
        let end = match waited {
            true => AdmissionEnd::AdmittedAfterWait,
            false => AdmissionEnd::Admitted,
        };
        self.gateway.metrics.admission_ended(&self.service, end);
    }

    fn count_refusal(&self) {
        let end = AdmissionEnd::Refused;
        self.gateway.metrics.admission_ended(&self.service, end);
    }

    /// Refuses a request that would begin too late or may outlive the node, with the time to retry.
    pub(super) async fn refuse_without_capacity(
        &mut self,
        NoCapacity { outlook, elsewhere }: NoCapacity,
        connection: &mut CallerConnection,
    ) -> Handled {
        self.count_refusal();
        self.gateway.pressure.borrow_mut().refused(&self.service);
        let request = self.admission_request(false);
        let retry = self.retry_time(elsewhere);
        let wait = retry.wait();
        info!(self.gateway.log, "forward: No capacity in time."; "request" => &self.terms.id,
            "service" => %self.service, "begin_delay_ms" => outlook.begin_delay.as_millis() as u64,
            "begin_within_ms" => request.begin_within().as_millis() as u64,
            "picture_age_ms" => outlook.age.map(|age| age.as_millis() as u64),
            "returned" => request.is_retry(), "standing" => ?request.share_status,
            "told" => ?retry, "wait_ms" => wait.as_millis() as u64, "elsewhere" => ?elsewhere,
            "node_stops_in_ms" => request.node_stops_in.map(|left| left.as_millis() as u64));
        let message = match elsewhere {
            Some(_) => "The node may stop before the request has ended.".to_owned(),
            None => format!("'{}' has no room for the request in time.", self.service),
        };
        let refusal = Refusal::not_run(ErrorCode::Overloaded, message, wait);
        self.answer_refusal(&refusal, "no capacity in time", connection)
            .await
    }

    /// Returns when the caller should retry. The plan has no slot for a caller that has retried already, because it
    /// rarely retries again.
    fn retry_time(&self, elsewhere: Option<Admission>) -> RetryTime {
        if elsewhere == Some(Admission::Send) {
            return RetryTime::Free(ELSEWHERE_RETRY);
        }
        let (now, time_left) = (Instant::now(), self.remaining());
        let unplanned = RetryTime::Beyond(time_left.mul_f64(RETRY_FRACTION));
        if self.admission_request(false).is_retry() {
            return unplanned;
        }
        let control = &self.gateway.overload;
        let mut random = self.gateway.random.borrow_mut();
        if !self.gateway.leaving.is_leaving() {
            // A stopping node begins few requests, whatever the service's capacity is.
            control.record_refusal(now, &self.service);
        }
        let planned = control.plan_retry(now, &self.service, time_left, &mut *random);
        planned.unwrap_or(unplanned)
    }
}
