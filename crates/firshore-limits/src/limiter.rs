//! A node's decision on each request of a tenant with a limit.

use crate::report::{
    Quota, TenantDemand, TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse,
};
use crate::window::AdmittedWindow;
use crate::{SHARE_LIFETIME, STALE_GROWTH, is_report_urgent};
use firshore_adapter::tenant::{RateLimit, Tenant};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age up to which a view's remaining quota decides about requests. Nodes receive it tens of times
/// per second; a change of the leader takes longer.
const VIEW_LIFETIME: Duration = Duration::from_millis(1_000);

/// Age up to which a view's release rate holds: as many requests become free as were admitted one
/// span earlier, possibly all at once.
const RELEASE_RATE_LIFETIME: Duration = Duration::from_millis(200);

/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(400);

/// Minimum time over which arrivals are counted.
const MIN_DEMAND_INTERVAL: Duration = Duration::from_millis(50);

/// Time of its share that a node may save up.
const MAX_SAVED_TIME: Duration = Duration::from_millis(250);

/// Time over which shares are lowered to pay back what was admitted beyond the limit.
const PAYBACK_TIME: Duration = Duration::from_secs(2);

/// Minimum fraction of a share during payback.
const MIN_PAYBACK_FRACTION: f64 = 0.3;

/// Standard deviations by which a node's admissions in a span may exceed those before by chance.
const CHANCE_DEVIATIONS: f64 = 0.7;

/// Fraction of its share that a node continues to use once the share has expired. All such fractions
/// together stay within the 10 % that may be admitted beyond a limit.
const EXPIRED_SHARE_FRACTION: f64 = 0.1;

/// Requests at one node since its last report from which on a surge is not the chance of a single
/// caller.
const MIN_SURGE_REQUESTS: f64 = 3.0;

/// Maximum factor of a surge.
const MAX_SURGE_FACTOR: f64 = 10.0;

/// Requests that a node admits of an unknown tenant, plus the time of the tenant's whole rate: covers
/// what one of fifty nodes receives until its first response.
const FIRST_REQUESTS: f64 = 2.0;
const FIRST_TIME: Duration = Duration::from_millis(100);

/// Time after which these may be admitted again.
const FIRST_INTERVAL: Duration = Duration::from_secs(10);

/// Time since the last request after which a tenant is no longer reported.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Demand below which nothing is reported, in requests per second.
const MIN_DEMAND: f32 = 0.01;

/// Maximum wait that a refused caller is given.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Minimum wait that a refused caller is given.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Time over which the mean demand is averaged: as long as a refused caller can wait, as demand that
/// has lasted so long is likely to continue.
const MEAN_DEMAND_TIME: Duration = Duration::from_secs(1);

/// Time for which admissions of other nodes may not be included in the view: one report of the other
/// node and one of this node.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Fraction of a share that is planned for returning callers and new arrivals. Shares vary between
/// nodes, and a caller that returns when all is used is refused for good.
const PLANNED_FRACTION: f64 = 0.8;

/// What a decision was based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// What all nodes have admitted recently.
    Left,
    /// The node's share of the rate.
    Share,
    /// The node's fraction of what all nodes had admitted, from a stale view.
    OldShare,
    /// No view.
    Nothing,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// Time after which there is capacity for it, beyond new arrivals and callers that were given a
    /// time before.
    pub wait: Duration,
    /// What the decision was based on.
    pub basis: Basis,
    /// Requests per second that the node admits by itself.
    pub share: f64,
    /// Estimated requests that all nodes may still admit.
    pub left: f64,
    /// Age of the node's view.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct LimitView {
    left: f64,
    /// Requests per second that become free.
    release_rate: f64,
    /// Demand of all nodes, in requests per second.
    demand: f64,
    at: Instant,
}

/// State of one tenant at this node.
#[derive(Debug)]
struct TenantState {
    limit: RateLimit,
    /// Admitted, and not reported yet.
    unreported: i32,
    /// Reported, and not confirmed yet.
    in_flight: i32,
    /// Admitted in the last span.
    recent: AdmittedWindow,
    /// Requests since the demand was averaged last.
    arrivals: u32,
    averaged_at: Instant,
    demand: f32,
    /// Demand as last reported: the fraction of all demand that counts as this node's.
    sent_demand: f32,
    view: Option<LimitView>,
    /// Admitted by this node in the span before that view.
    sent_recent: f64,
    /// Mean demand of all nodes, in requests per second, at most the limit.
    mean_demand: f64,
    /// Until when all that becomes free is planned for returning callers.
    booked_until: Instant,
    /// Requests of its share that are saved up; on an isolated node, rounds its quota.
    saved: f64,
    saved_at: Instant,
    basis: Basis,
    seen_at: Instant,
}

/// The last response, on all tenants.
#[derive(Debug)]
struct ReceivedViews {
    named: HashMap<TenantDigest, TenantView>,
    /// Whether tenants that are not named are known not to be near their limit.
    complete: bool,
    /// Ledger that the response comes from.
    ledger: u64,
    at: Instant,
}

impl ReceivedViews {
    /// Returns the view of a tenant with this limit, unless it is too old.
    fn view(
        &self,
        now: Instant,
        span: Duration,
        tenant: TenantDigest,
        limit: &RateLimit,
    ) -> Option<LimitView> {
        if now.saturating_duration_since(self.at) > VIEW_LIFETIME {
            return None;
        }
        if let Some(named) = self.named.get(&tenant) {
            return Some(LimitView {
                left: named.left.into(),
                release_rate: named.next.into(),
                demand: named.demand.into(),
                at: self.at,
            });
        }
        let quota = Quota::new(limit, span);
        self.complete.then(|| LimitView {
            left: quota.min_left(),
            release_rate: 0.0,
            demand: quota.max_demand(),
            at: self.at,
        })
    }
}

/// Limits of all tenants, at one node.
#[derive(Debug)]
pub struct TenantLimiter {
    tenants: HashMap<TenantDigest, TenantState>,
    received: Option<ReceivedViews>,
    /// Span over which rates are counted.
    span: Duration,
    /// Random offset of the first interval of a node's share, so that the first requests of many
    /// nodes do not coincide.
    phase: u64,
}

/// Returns the requests that a node admits of an unknown tenant.
fn first_requests(limit: &RateLimit) -> f64 {
    FIRST_REQUESTS + limit.per_second * FIRST_TIME.as_secs_f64()
}

impl TenantState {
    /// Returns the state of a tenant at its first request here. Where the tenant is known to exceed
    /// its limit, a first request is admitted with the same probability as any other.
    fn new(
        now: Instant,
        span: Duration,
        limit: RateLimit,
        view: Option<LimitView>,
        phase: f64,
    ) -> Self {
        let (basis, saved) = match view {
            None => (Basis::Nothing, first_requests(&limit)),
            Some(view) if phase * view.demand < limit.per_second => (Basis::Share, 1.0),
            Some(_) => (Basis::Share, 0.0),
        };
        Self {
            limit,
            unreported: 0,
            in_flight: 0,
            recent: AdmittedWindow::new(now, span, 0.0),
            arrivals: 0,
            averaged_at: now,
            demand: 0.0,
            sent_demand: 0.0,
            view,
            sent_recent: 0.0,
            mean_demand: view.map_or(0.0, |view| view.demand.min(limit.per_second)),
            booked_until: now,
            saved,
            saved_at: now,
            basis,
            seen_at: now,
        }
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let view = self.view?;
        Some(now.saturating_duration_since(view.at))
    }

    /// Returns the fraction of all demand that arrives at this node.
    fn demand_fraction(&self) -> f64 {
        let all = self.total_demand();
        match all > 0.0 {
            true => (f64::from(self.sent_demand) / all).min(1.0),
            false => 0.0,
        }
    }

    /// Returns what all nodes may still admit: what the view had left plus what became free since,
    /// less what this node and, as estimated, the others have admitted since.
    fn left(&self, now: Instant) -> f64 {
        let Some(view) = self.view else {
            return 0.0;
        };
        let age = now.saturating_duration_since(view.at).as_secs_f64();
        let free = view.left + self.freed(&view, age);
        let local = f64::from(self.unreported + self.in_flight);
        let others = view.demand * (1.0 - self.demand_fraction()) * age;
        free - others * self.surge(local, age) - local
    }

    /// Returns the requests that became free since a view: at its release rate while that holds, then
    /// at most at the limit's rate.
    fn freed(&self, view: &LimitView, age: f64) -> f64 {
        let fresh = age.min(RELEASE_RATE_LIFETIME.as_secs_f64());
        view.release_rate * fresh + view.release_rate.min(self.limit.per_second) * (age - fresh)
    }

    /// Returns the factor by which the demand exceeds the view's, as far as this node's admissions
    /// since cannot be chance: what surges at one node surges at the others too.
    fn surge(&self, local: f64, age: f64) -> f64 {
        let expected = f64::from(self.sent_demand) * age;
        if local < MIN_SURGE_REQUESTS || expected <= 0.0 {
            return 1.0;
        }
        let least = local - local.sqrt();
        (least / expected).clamp(1.0, MAX_SURGE_FACTOR)
    }

    /// Returns the requests per second that the node may admit by itself.
    fn share(&self, now: Instant, basis: Basis) -> f64 {
        let age = self.age(now).unwrap_or_default();
        let rate = self.limit.per_second;
        match (basis, self.view) {
            (Basis::Left | Basis::Share, Some(view)) => {
                let debt = view.left / (rate * PAYBACK_TIME.as_secs_f64());
                let payback = (1.0 + debt).clamp(MIN_PAYBACK_FRACTION, 1.0);
                let release_rate = match age > RELEASE_RATE_LIFETIME {
                    true => view.release_rate.min(rate),
                    false => view.release_rate,
                };
                release_rate * self.demand_fraction() * payback
            }
            (Basis::OldShare | Basis::Nothing, Some(_)) => {
                let first = first_requests(&self.limit) / FIRST_INTERVAL.as_secs_f64();
                first.min(rate * self.demand_fraction() * EXPIRED_SHARE_FRACTION)
            }
            (_, None) => first_requests(&self.limit) / FIRST_INTERVAL.as_secs_f64(),
        }
    }

    fn max_saved(&self, basis: Basis, share: f64) -> f64 {
        match basis {
            Basis::Nothing if self.view.is_none() => first_requests(&self.limit),
            _ => (share * MAX_SAVED_TIME.as_secs_f64()).max(1.0),
        }
    }

    fn basis(&self, now: Instant) -> Basis {
        match self.age(now) {
            None => Basis::Nothing,
            Some(age) if age > SHARE_LIFETIME => Basis::Nothing,
            Some(age) if age > VIEW_LIFETIME => Basis::OldShare,
            Some(_) if self.left(now) > 0.0 => Basis::Left,
            Some(_) => Basis::Share,
        }
    }

    /// Accrues the share since the last request. Where the node has just switched to its share, that
    /// starts at a random point of its first interval.
    fn accrue(&mut self, now: Instant, basis: Basis, phase: f64) -> f64 {
        let share = self.share(now, basis);
        let max = self.max_saved(basis, share);
        let elapsed = now.saturating_duration_since(self.saved_at);
        self.saved_at = now;
        self.saved = match (self.basis, basis) {
            (Basis::Left, Basis::Share) => phase,
            _ => (self.saved + share * elapsed.as_secs_f64()).min(max),
        };
        self.basis = basis;
        share
    }

    /// Returns the requests that an isolated node may admit in each span: its fraction of what all
    /// nodes admitted in the span before. These fractions add up to 1, so all isolated nodes together
    /// keep to the limit. The other nodes reserve at most a growth by half.
    fn isolated_quota(&self, quota: &Quota, span: Duration) -> f64 {
        let Some(view) = self.view else {
            return 0.0;
        };
        let local = self.sent_recent.max(0.0);
        let all = (quota.requests - view.left).max(local).max(1.0);
        let fraction = local / all;
        if quota.is_near(view.left, view.demand) {
            let max = local * STALE_GROWTH + local.sqrt() * CHANCE_DEVIATIONS;
            return (quota.requests * fraction).min(max);
        }
        // A tenant that has just started has admitted little in the span, and perhaps at other nodes:
        // takes the mean of both fractions, as each adds up to 1 over all nodes.
        let expected = f64::from(self.sent_demand) * span.as_secs_f64();
        let typical = local.max(expected);
        let max = typical * STALE_GROWTH + typical.sqrt() * CHANCE_DEVIATIONS;
        let fraction = (fraction + self.demand_fraction()) / 2.0;
        (quota.requests * fraction).min(max)
    }

    /// Decides by what this node itself has admitted in the last span and before it was isolated. The
    /// demand of the last half second is no basis, as it may have been 0 just then.
    fn admit_isolated(
        &mut self,
        now: Instant,
        span: Duration,
        phase: f64,
    ) -> Result<(), OverLimit> {
        if self.basis != Basis::OldShare {
            // Rounds the quota up or down for the whole isolation, so that all nodes keep to the sum.
            self.saved = phase;
        }
        self.basis = Basis::OldShare;
        self.saved_at = now;
        self.recent.advance(now);
        let quota = self.isolated_quota(&Quota::new(&self.limit, span), span);
        let max = quota + self.saved - 1.0;
        if self.recent.sum() <= max {
            self.count(now, 1);
            return Ok(());
        }
        let wait = self.recent.wait_until_at_most(now, max).unwrap_or(MAX_WAIT);
        Err(OverLimit {
            wait: wait.clamp(MIN_WAIT, MAX_WAIT),
            basis: Basis::OldShare,
            share: quota / span.as_secs_f64(),
            left: self.left(now),
            age: self.age(now),
        })
    }

    fn admit(&mut self, now: Instant, span: Duration, phase: f64) -> Result<(), OverLimit> {
        self.arrivals += 1;
        self.seen_at = now;
        let basis = self.basis(now);
        if basis == Basis::OldShare {
            return self.admit_isolated(now, span, phase);
        }
        if basis == Basis::Left {
            self.basis = basis;
            self.saved_at = now;
            self.count(now, 1);
            return Ok(());
        }
        let share = self.accrue(now, basis, phase);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            self.count(now, 1);
            return Ok(());
        }
        Err(OverLimit {
            wait: self.book_wait(now, share, phase),
            basis,
            share,
            left: self.left(now),
            age: self.age(now),
        })
    }

    /// Returns the time after which there is capacity for one more request, beyond new arrivals and
    /// callers that were given a time before, and books it. The first caller gets a random point of
    /// the interval, so that those of many nodes do not coincide.
    fn book_wait(&mut self, now: Instant, share: f64, phase: f64) -> Duration {
        let free = share * PLANNED_FRACTION - self.mean_demand * self.demand_fraction();
        let ahead = self.booked_until.saturating_duration_since(now);
        let intervals = match ahead.is_zero() {
            true => self.debt(now) + phase,
            false => 1.0,
        };
        let seconds = ahead.as_secs_f64() + intervals / free.max(f64::MIN_POSITIVE);
        if seconds >= MAX_WAIT.as_secs_f64() {
            return self.overbooked_wait();
        }
        let wait = Duration::from_secs_f64(seconds).max(MIN_WAIT);
        self.booked_until = now + wait;
        wait
    }

    /// Returns this node's fraction of what was admitted beyond the limit, which is paid back before
    /// there is capacity, and of what others are likely to have admitted that is not in the view yet.
    fn debt(&self, now: Instant) -> f64 {
        let excess = (self.total_demand() - self.limit.per_second).max(0.0);
        let beyond = excess * REPORT_DELAY.as_secs_f64();
        ((-self.left(now)).max(0.0) + beyond) * self.demand_fraction()
    }

    /// Returns the wait where all capacity is booked up to the maximum wait: in proportion to the
    /// refused fraction of the mean demand. Where hardly any request is refused, a caller that
    /// returns soon is admitted as likely as later.
    fn overbooked_wait(&self) -> Duration {
        let release_rate = self.view.map_or(0.0, |view| view.release_rate);
        let rate = self.limit.per_second;
        let demand = self.total_demand();
        let admitted = match demand > rate {
            true => rate / demand,
            false => release_rate / demand.max(self.mean_demand).max(f64::MIN_POSITIVE),
        };
        MAX_WAIT.mul_f64((1.0 - admitted).max(0.0)).max(MIN_WAIT)
    }

    fn total_demand(&self) -> f64 {
        self.view.map_or(0.0, |view| view.demand)
    }

    /// Applies a new view.
    fn apply_view(&mut self, view: LimitView) {
        let elapsed = self.view.map_or(MEAN_DEMAND_TIME, |last| {
            view.at.saturating_duration_since(last.at)
        });
        let weight = 1.0 - (-elapsed.as_secs_f64() / MEAN_DEMAND_TIME.as_secs_f64()).exp();
        let demand = view.demand.min(self.limit.per_second);
        self.mean_demand += weight * (demand - self.mean_demand);
        self.sent_demand = self.demand;
        self.view = Some(view);
    }

    fn count(&mut self, now: Instant, admitted: i32) {
        self.unreported += admitted;
        self.recent.advance(now);
        self.recent.add(admitted.into());
    }

    fn average(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.averaged_at);
        if elapsed < MIN_DEMAND_INTERVAL {
            return;
        }
        let rate = self.arrivals as f32 / elapsed.as_secs_f32();
        let weight = 1.0 - (-elapsed.as_secs_f32() / DEMAND_TIME.as_secs_f32()).exp();
        self.demand += weight * (rate - self.demand);
        if self.demand < MIN_DEMAND {
            self.demand = 0.0;
        }
        self.arrivals = 0;
        self.averaged_at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.seen_at) > IDLE_TIMEOUT;
        idle && self.unreported == 0 && self.sent_demand == 0.0
    }
}

impl TenantLimiter {
    /// Returns a limiter that counts over `span`, with random offsets drawn from `seed`.
    pub fn new(seed: u64, span: Duration) -> Self {
        Self {
            span,
            tenants: HashMap::new(),
            received: None,
            phase: seed,
        }
    }

    /// Returns a number from 0 to 1 of a Weyl sequence.
    fn next_phase(&mut self) -> f64 {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        self.phase = self.phase.wrapping_add(GOLDEN_RATIO);
        (self.phase >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Admits a request of a tenant.
    ///
    /// # Errors
    ///
    /// Returns [`OverLimit`] if the tenant has used up its limit, as far as this node knows.
    pub fn admit(&mut self, now: Instant, tenant: &Tenant) -> Result<(), OverLimit> {
        let Some(limit) = tenant.limit else {
            return Ok(());
        };
        let phase = self.next_phase();
        let digest = TenantDigest::from(&tenant.name);
        let (received, span) = (self.received.as_ref(), self.span);
        let state = self.tenants.entry(digest).or_insert_with(|| {
            let view = received.and_then(|received| received.view(now, span, digest, &limit));
            TenantState::new(now, span, limit, view, phase)
        });
        state.admit(now, span, phase)
    }

    /// Applies a new configuration. Limits hold at once, also for tenants without requests.
    pub fn configure<'a>(&mut self, tenants: impl IntoIterator<Item = &'a Tenant>) {
        let limits = tenants.into_iter().filter_map(|tenant| {
            let digest = TenantDigest::from(&tenant.name);
            tenant.limit.map(|limit| (digest, limit))
        });
        let limits: HashMap<TenantDigest, RateLimit> = limits.collect();
        self.tenants
            .retain(|tenant, state| match limits.get(tenant) {
                Some(limit) => {
                    state.limit = *limit;
                    true
                }
                None => false,
            });
    }

    /// Takes back the admission of a request that no back end ran.
    pub fn refund(&mut self, now: Instant, tenant: &Tenant) {
        let digest = TenantDigest::from(&tenant.name);
        if let Some(state) = self.tenants.get_mut(&digest) {
            state.count(now, -1);
        }
    }

    /// Returns whether a report must not wait for the next interval: this node has no view of the
    /// tenant, or has admitted too much that the others do not know of.
    pub fn is_report_due(&self, tenant: &Tenant) -> bool {
        let Some(state) = self.tenants.get(&TenantDigest::from(&tenant.name)) else {
            return false;
        };
        match state.view {
            None => true,
            Some(view) => {
                state.basis == Basis::Left && is_report_urgent(state.unreported, view.left)
            }
        }
    }

    /// Returns the report to send now, with the version of the node's configuration.
    /// [`Self::apply_response`] or [`Self::report_failed`] follows.
    pub fn report(&mut self, now: Instant, version: u64) -> UsageReport {
        self.tenants.retain(|_, state| !state.is_idle(now));
        let tenants = self.tenants.iter_mut().map(|(tenant, state)| {
            state.average(now);
            state.recent.advance(now);
            state.in_flight += std::mem::take(&mut state.unreported);
            // Admissions older than the span no longer count. Reported as of now by a node that was
            // isolated, they would make all nodes refuse requests that are within the limit.
            let max = state.recent.sum().ceil() as i32;
            state.in_flight = state.in_flight.min(max);
            TenantUsage {
                tenant: *tenant,
                admitted: state.in_flight,
                demand: state.demand,
                stale: 0.0,
                recent: state.recent.sum() as f32,
                known_demand: state.view.map_or(0.0, |view| view.demand as f32),
                rate: state.limit.per_second as f32,
                burst: state.limit.burst as f32,
            }
        });
        UsageReport {
            version,
            ledger: self.received.as_ref().map_or(0, |received| received.ledger),
            relayed: false,
            tenants: tenants.collect(),
        }
    }

    /// Applies the response to the last report, as of `at`.
    pub fn apply_response(&mut self, at: Instant, response: &UsageResponse) {
        let named = response.views.iter().map(|one| (one.tenant, *one));
        let received = ReceivedViews {
            named: named.collect(),
            complete: response.complete,
            ledger: response.ledger,
            at,
        };
        for (tenant, state) in &mut self.tenants {
            state.in_flight = 0;
            if let Some(view) = received.view(at, self.span, *tenant, &state.limit) {
                state.apply_view(view);
                state.recent.advance(at);
                state.sent_recent = state.recent.sum();
            }
        }
        self.received = Some(received);
    }

    /// Returns the last known demand of tenants over all nodes, and as of when; `None` without a
    /// response. Demand beyond the limit is left out for tenants with recent requests at this node.
    pub fn reported_demand(&self) -> Option<(Instant, impl Iterator<Item = TenantDemand> + '_)> {
        let received = self.received.as_ref()?;
        let demands = received.named.iter().map(|(tenant, view)| {
            let state = self.tenants.get(tenant);
            let max = state.map_or(f64::INFINITY, |state| state.limit.per_second);
            TenantDemand {
                tenant: *tenant,
                per_second: f64::from(view.demand).min(max),
            }
        });
        Some((received.at, demands))
    }

    /// Restores the last report's admissions after a failed exchange. They are reported again, though
    /// they may have been applied.
    pub fn report_failed(&mut self) {
        for state in self.tenants.values_mut() {
            state.unreported += std::mem::take(&mut state.in_flight);
        }
    }

    /// Returns the number of tenants with recent requests at this node.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant has recent requests at this node.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
