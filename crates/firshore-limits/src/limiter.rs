//! A node's decision on each request of a tenant with a limit.

use crate::report::{
    Quota, TenantDemand, TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse,
};
use crate::window::AdmittedWindow;
use crate::{SHARE_LIFETIME, SILENT_GROWTH, is_pressing};
use firshore_adapter::tenant::{RateLimit, Tenant};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age up to which what is left says whether a request may be admitted. Nodes learn it some
/// tens of times a second; a change of the leader takes longer.
const PICTURE_LIFETIME: Duration = Duration::from_millis(1_000);

/// Age up to which a picture says how many requests become free: as many as were admitted a span before,
/// at once perhaps.
const NEXT_LIFETIME: Duration = Duration::from_millis(200);

/// Time over which the demand is averaged.
const DEMAND_TIME: Duration = Duration::from_millis(400);

/// Shortest time over which arrivals are counted.
const LEAST_DEMAND_INTERVAL: Duration = Duration::from_millis(50);

/// Time of its share that a node may save up.
const SAVING_TIME: Duration = Duration::from_millis(250);

/// Time over which shares are lowered to pay back what was admitted beyond the limit.
const PAYBACK_TIME: Duration = Duration::from_secs(2);

/// Least part of a share while that is so.
const LEAST_PAYBACK_SHARE: f64 = 0.3;

/// Standard deviations by which what a node admits in a span may be more than before by chance.
const CHANCE: f64 = 0.7;

/// Part of its share with which a node goes on that has heard nothing for longer than it may keep it: all
/// of them together stay within the tenth that may be admitted beyond a limit.
const LOST_SHARE: f64 = 0.1;

/// Requests at one node since it was told, from which on more than before are no chance of one caller.
const LEAST_SURGE: f64 = 3.0;

/// Most that is believed of a jump.
const MOST_SURGE: f64 = 10.0;

/// Requests that a node admits of a tenant that it knows nothing of, and time of the tenant's whole rate
/// beyond that: what fifty nodes are asked of one until they are told.
const FIRST_REQUESTS: f64 = 2.0;
const FIRST_TIME: Duration = Duration::from_millis(100);

/// Time after which these may be admitted once more.
const FIRST_PAUSE: Duration = Duration::from_secs(10);

/// Time without a request for which a tenant is told on.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Demand below which nothing is told any more, in requests a second.
const LEAST_DEMAND: f32 = 0.01;

/// Longest wait that a refused caller is told.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Shortest wait that a refused caller is told.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// Time over which it is averaged what is asked anyway: as long as what a caller that is told to come back
/// can wait, as what was asked for so long is likely to go on.
const USUAL_TIME: Duration = Duration::from_secs(1);

/// Time for which others' admissions may not be told yet: two reports, of the node that admits and of the one
/// that is told.
const UNTOLD_TIME: Duration = Duration::from_millis(200);

/// Part of a share that is given away to those told to come back and those who ask anyway: nodes do not get
/// their shares evenly, and whoever comes when all is given away is refused for good.
const PLANNED_PART: f64 = 0.8;

/// What a decision was made on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// What all nodes have admitted of late.
    Left,
    /// The node's share of the rate.
    Share,
    /// The node's part of what all nodes had admitted, from a picture that is old.
    OldShare,
    /// Nothing was known.
    Nothing,
}

/// Why a request is not admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverLimit {
    /// Time after which there is room for it, beyond what is asked anyway and those told to come back before.
    pub wait: Duration,
    /// What it was decided on.
    pub basis: Basis,
    /// Requests a second that the node admits by itself.
    pub share: f64,
    /// Requests that all nodes may still admit, as believed.
    pub left: f64,
    /// Age of what the node was told.
    pub age: Option<Duration>,
}

#[derive(Clone, Copy, Debug)]
struct KnownPicture {
    left: f64,
    /// Requests a second that become free.
    next: f64,
    /// Demand of all nodes.
    demand: f64,
    at: Instant,
}

/// One tenant, as this node sees it.
#[derive(Debug)]
struct TenantState {
    limit: RateLimit,
    /// Admitted, and not told yet.
    untold: i32,
    /// Told just now, and not answered yet.
    telling: i32,
    /// Admitted in the last span.
    recent: AdmittedWindow,
    /// Requests since the demand was averaged last.
    arrivals: u32,
    averaged_at: Instant,
    demand: f32,
    /// Demand as it was told last: the part of all demand that is counted as this node's.
    told_demand: f32,
    picture: Option<KnownPicture>,
    /// Admitted by this node in the span before that picture.
    told_recent: f64,
    /// What all nodes are asked anyway, in requests a second, no more than the limit.
    usual: f64,
    /// Until when all that becomes free is given away to callers told to come back.
    told_until: Instant,
    /// Requests of its share that are saved up; while cut off, what rounds its part.
    saved: f64,
    saved_at: Instant,
    basis: Basis,
    seen_at: Instant,
}

/// What was told last of all tenants.
#[derive(Debug)]
struct ToldTenants {
    named: HashMap<TenantDigest, TenantView>,
    /// Whether one that is not named is known not to be near its limit.
    complete: bool,
    /// Ledger that told it.
    ledger: u64,
    at: Instant,
}

impl ToldTenants {
    /// What is known of a tenant with this limit, if it is not too old.
    fn picture(
        &self,
        now: Instant,
        span: Duration,
        tenant: TenantDigest,
        limit: &RateLimit,
    ) -> Option<KnownPicture> {
        if now.saturating_duration_since(self.at) > PICTURE_LIFETIME {
            return None;
        }
        if let Some(named) = self.named.get(&tenant) {
            return Some(KnownPicture {
                left: named.left.into(),
                next: named.next.into(),
                demand: named.demand.into(),
                at: self.at,
            });
        }
        let quota = Quota::new(limit, span);
        self.complete.then(|| KnownPicture {
            left: quota.least_left(),
            next: 0.0,
            demand: quota.most_demand(),
            at: self.at,
        })
    }
}

/// Limits of all tenants, at one node.
#[derive(Debug)]
pub struct TenantLimiter {
    tenants: HashMap<TenantDigest, TenantState>,
    told: Option<ToldTenants>,
    /// Span over which rates are counted.
    span: Duration,
    /// Draws where in its first interval a node's share begins, so that the first requests of many nodes
    /// do not come together.
    phase: u64,
}

/// Requests that a node admits of a tenant that it knows nothing of.
fn first_requests(limit: &RateLimit) -> f64 {
    FIRST_REQUESTS + limit.per_second * FIRST_TIME.as_secs_f64()
}

impl TenantState {
    /// A tenant that asks this node for the first time. Of one that asks more than it may, as far as is
    /// known, a first request is admitted as likely as any other.
    fn new(
        now: Instant,
        span: Duration,
        limit: RateLimit,
        picture: Option<KnownPicture>,
        phase: f64,
    ) -> Self {
        let (basis, saved) = match picture {
            None => (Basis::Nothing, first_requests(&limit)),
            Some(picture) if phase * picture.demand < limit.per_second => (Basis::Share, 1.0),
            Some(_) => (Basis::Share, 0.0),
        };
        Self {
            limit,
            untold: 0,
            telling: 0,
            recent: AdmittedWindow::new(now, span, 0.0),
            arrivals: 0,
            averaged_at: now,
            demand: 0.0,
            told_demand: 0.0,
            picture,
            told_recent: 0.0,
            usual: picture.map_or(0.0, |picture| picture.demand.min(limit.per_second)),
            told_until: now,
            saved,
            saved_at: now,
            basis,
            seen_at: now,
        }
    }

    fn age(&self, now: Instant) -> Option<Duration> {
        let picture = self.picture?;
        Some(now.saturating_duration_since(picture.at))
    }

    /// Part of all demand that is this node's.
    fn part(&self) -> f64 {
        let all = self.demand_of_all();
        match all > 0.0 {
            true => (f64::from(self.told_demand) / all).min(1.0),
            false => 0.0,
        }
    }

    /// What all nodes may still admit: what was told, and became free since, less what this node has
    /// admitted since, and what the others are likely to have.
    fn left(&self, now: Instant) -> f64 {
        let Some(picture) = self.picture else {
            return 0.0;
        };
        let age = now.saturating_duration_since(picture.at).as_secs_f64();
        let free = picture.left + self.freed(&picture, age);
        let own = f64::from(self.untold + self.telling);
        let others = picture.demand * (1.0 - self.part()) * age;
        free - others * self.surge(own, age) - own
    }

    /// Requests that became free since a picture: at the pace that was told for a moment, and no faster
    /// than the rate from then on.
    fn freed(&self, picture: &KnownPicture, age: f64) -> f64 {
        let told = age.min(NEXT_LIFETIME.as_secs_f64());
        picture.next * told + picture.next.min(self.limit.per_second) * (age - told)
    }

    /// How many times as much as was told the tenant asks now, as far as what this node has admitted since
    /// cannot be chance: what comes to one node at once comes to the others too.
    fn surge(&self, own: f64, age: f64) -> f64 {
        let expected = f64::from(self.told_demand) * age;
        if own < LEAST_SURGE || expected <= 0.0 {
            return 1.0;
        }
        let least = own - own.sqrt();
        (least / expected).clamp(1.0, MOST_SURGE)
    }

    /// Requests a second that the node may admit by itself.
    fn share(&self, now: Instant, basis: Basis) -> f64 {
        let age = self.age(now).unwrap_or_default();
        let rate = self.limit.per_second;
        match (basis, self.picture) {
            (Basis::Left | Basis::Share, Some(picture)) => {
                let debt = picture.left / (rate * PAYBACK_TIME.as_secs_f64());
                let payback = (1.0 + debt).clamp(LEAST_PAYBACK_SHARE, 1.0);
                let next = match age > NEXT_LIFETIME {
                    true => picture.next.min(rate),
                    false => picture.next,
                };
                next * self.part() * payback
            }
            (Basis::OldShare | Basis::Nothing, Some(_)) => {
                let first = first_requests(&self.limit) / FIRST_PAUSE.as_secs_f64();
                first.min(rate * self.part() * LOST_SHARE)
            }
            (_, None) => first_requests(&self.limit) / FIRST_PAUSE.as_secs_f64(),
        }
    }

    fn most_saved(&self, basis: Basis, share: f64) -> f64 {
        match basis {
            Basis::Nothing if self.picture.is_none() => first_requests(&self.limit),
            _ => (share * SAVING_TIME.as_secs_f64()).max(1.0),
        }
    }

    fn basis(&self, now: Instant) -> Basis {
        match self.age(now) {
            None => Basis::Nothing,
            Some(age) if age > SHARE_LIFETIME => Basis::Nothing,
            Some(age) if age > PICTURE_LIFETIME => Basis::OldShare,
            Some(_) if self.left(now) > 0.0 => Basis::Left,
            Some(_) => Basis::Share,
        }
    }

    /// Saves up the share since the last request. Where the node has just gone over to its share, it
    /// begins anywhere in its first interval.
    fn save(&mut self, now: Instant, basis: Basis, phase: f64) -> f64 {
        let share = self.share(now, basis);
        let most = self.most_saved(basis, share);
        let elapsed = now.saturating_duration_since(self.saved_at);
        self.saved_at = now;
        self.saved = match (self.basis, basis) {
            (Basis::Left, Basis::Share) => phase,
            _ => (self.saved + share * elapsed.as_secs_f64()).min(most),
        };
        self.basis = basis;
        share
    }

    /// Requests that a node that is cut off may admit in each span: its part of what all admitted in the span
    /// before. As that is divided, so is the limit, and what nodes admit by it stays within the limit in sum,
    /// however many are cut off. What the others keep free for it is no more than a growth by a half.
    fn own_part(&self, quota: &Quota, span: Duration) -> f64 {
        let Some(picture) = self.picture else {
            return 0.0;
        };
        let own = self.told_recent.max(0.0);
        let all = (quota.requests - picture.left).max(own).max(1.0);
        let part = own / all;
        if quota.is_near(picture.left, picture.demand) {
            let most = own * SILENT_GROWTH + own.sqrt() * CHANCE;
            return (quota.requests * part).min(most);
        }
        // A tenant that has begun to ask a moment ago has asked little in the span, and elsewhere perhaps: the mean
        // of both parts, as either sums up to the whole over all nodes.
        let asked = f64::from(self.told_demand) * span.as_secs_f64();
        let usual = own.max(asked);
        let most = usual * SILENT_GROWTH + usual.sqrt() * CHANCE;
        let part = (part + self.part()) / 2.0;
        (quota.requests * part).min(most)
    }

    /// Decides by what this node itself has admitted in the last span, and did before it was cut off: a share by
    /// what it was asked in its last half second is none where it was asked nothing just then.
    fn admit_cut_off(&mut self, now: Instant, span: Duration, phase: f64) -> Result<(), OverLimit> {
        if self.basis != Basis::OldShare {
            // Rounds its part up or down for as long as it is cut off, so that all of them keep to the sum.
            self.saved = phase;
        }
        self.basis = Basis::OldShare;
        self.saved_at = now;
        self.recent.advance(now);
        let part = self.own_part(&Quota::new(&self.limit, span), span);
        let most = part + self.saved - 1.0;
        if self.recent.sum() <= most {
            self.count(now, 1);
            return Ok(());
        }
        let wait = self.recent.wait_for(now, most).unwrap_or(LONGEST_WAIT);
        Err(OverLimit {
            wait: wait.clamp(SHORTEST_WAIT, LONGEST_WAIT),
            basis: Basis::OldShare,
            share: part / span.as_secs_f64(),
            left: self.left(now),
            age: self.age(now),
        })
    }

    fn admit(&mut self, now: Instant, span: Duration, phase: f64) -> Result<(), OverLimit> {
        self.arrivals += 1;
        self.seen_at = now;
        let basis = self.basis(now);
        if basis == Basis::OldShare {
            return self.admit_cut_off(now, span, phase);
        }
        if basis == Basis::Left {
            self.basis = basis;
            self.saved_at = now;
            self.count(now, 1);
            return Ok(());
        }
        let share = self.save(now, basis, phase);
        if self.saved >= 1.0 {
            self.saved -= 1.0;
            self.count(now, 1);
            return Ok(());
        }
        Err(OverLimit {
            wait: self.tell(now, share, phase),
            basis,
            share,
            left: self.left(now),
            age: self.age(now),
        })
    }

    /// Time after which there is room for one more, beyond what is asked anyway and those who were told to
    /// come back. The first that a node tells comes anywhere in its interval, so that those of many nodes
    /// do not come together.
    fn tell(&mut self, now: Instant, share: f64, phase: f64) -> Duration {
        let free = share * PLANNED_PART - self.usual * self.part();
        let ahead = self.told_until.saturating_duration_since(now);
        let intervals = match ahead.is_zero() {
            true => self.debt(now) + phase,
            false => 1.0,
        };
        let seconds = ahead.as_secs_f64() + intervals / free.max(f64::MIN_POSITIVE);
        if seconds >= LONGEST_WAIT.as_secs_f64() {
            return self.crowded_wait();
        }
        let wait = Duration::from_secs_f64(seconds).max(SHORTEST_WAIT);
        self.told_until = now + wait;
        wait
    }

    /// This node's part of what was admitted beyond the limit, which is paid back before there is room, and of
    /// what others are likely to have that was not told yet.
    fn debt(&self, now: Instant) -> f64 {
        let excess = (self.demand_of_all() - self.limit.per_second).max(0.0);
        let beyond = excess * UNTOLD_TIME.as_secs_f64();
        ((-self.left(now)).max(0.0) + beyond) * self.part()
    }

    /// Time to be told where all is given away for as long as may be told: as much of it as is refused of
    /// what is asked over a while. Where hardly anything is, whoever comes back soon is as likely admitted
    /// as later.
    fn crowded_wait(&self) -> Duration {
        let next = self.picture.map_or(0.0, |picture| picture.next);
        let rate = self.limit.per_second;
        let demand = self.demand_of_all();
        let admitted = match demand > rate {
            true => rate / demand,
            false => next / demand.max(self.usual).max(f64::MIN_POSITIVE),
        };
        LONGEST_WAIT
            .mul_f64((1.0 - admitted).max(0.0))
            .max(SHORTEST_WAIT)
    }

    fn demand_of_all(&self) -> f64 {
        self.picture.map_or(0.0, |picture| picture.demand)
    }

    /// Takes in what the node was told last.
    fn take_in(&mut self, picture: KnownPicture) {
        let elapsed = self.picture.map_or(USUAL_TIME, |last| {
            picture.at.saturating_duration_since(last.at)
        });
        let weight = 1.0 - (-elapsed.as_secs_f64() / USUAL_TIME.as_secs_f64()).exp();
        let asked = picture.demand.min(self.limit.per_second);
        self.usual += weight * (asked - self.usual);
        self.told_demand = self.demand;
        self.picture = Some(picture);
    }

    fn count(&mut self, now: Instant, admitted: i32) {
        self.untold += admitted;
        self.recent.advance(now);
        self.recent.add(admitted.into());
    }

    fn average(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.averaged_at);
        if elapsed < LEAST_DEMAND_INTERVAL {
            return;
        }
        let rate = self.arrivals as f32 / elapsed.as_secs_f32();
        let weight = 1.0 - (-elapsed.as_secs_f32() / DEMAND_TIME.as_secs_f32()).exp();
        self.demand += weight * (rate - self.demand);
        if self.demand < LEAST_DEMAND {
            self.demand = 0.0;
        }
        self.arrivals = 0;
        self.averaged_at = now;
    }

    fn is_idle(&self, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.seen_at) > IDLE_TIMEOUT;
        idle && self.untold == 0 && self.told_demand == 0.0
    }
}

impl TenantLimiter {
    /// Limits counted over `span`, whose draws begin at `seed`.
    pub fn new(seed: u64, span: Duration) -> Self {
        Self {
            span,
            tenants: HashMap::new(),
            told: None,
            phase: seed,
        }
    }

    /// A number from 0 to 1, another each time (a Weyl sequence).
    fn next_phase(&mut self) -> f64 {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        self.phase = self.phase.wrapping_add(GOLDEN_RATIO);
        (self.phase >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Admits a request of a tenant.
    ///
    /// # Errors
    ///
    /// Where the tenant has used up what it may ask, as far as this node knows.
    pub fn admit(&mut self, now: Instant, tenant: &Tenant) -> Result<(), OverLimit> {
        let Some(limit) = tenant.limit else {
            return Ok(());
        };
        let phase = self.next_phase();
        let digest = TenantDigest::from(&tenant.name);
        let (told, span) = (self.told.as_ref(), self.span);
        let state = self.tenants.entry(digest).or_insert_with(|| {
            let picture = told.and_then(|told| told.picture(now, span, digest, &limit));
            TenantState::new(now, span, limit, picture, phase)
        });
        state.admit(now, span, phase)
    }

    /// Takes in a new configuration: limits hold at once, also for tenants that ask nothing just now.
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

    /// A request that was admitted has come to nothing: no back end ran it.
    pub fn refund(&mut self, now: Instant, tenant: &Tenant) {
        let digest = TenantDigest::from(&tenant.name);
        if let Some(state) = self.tenants.get_mut(&digest) {
            state.count(now, -1);
        }
    }

    /// Whether what this node knows of a tenant, or the others know of what it has admitted, is not enough
    /// to wait for the next report.
    pub fn is_report_due(&self, tenant: &Tenant) -> bool {
        let Some(state) = self.tenants.get(&TenantDigest::from(&tenant.name)) else {
            return false;
        };
        match state.picture {
            None => true,
            Some(picture) => state.basis == Basis::Left && is_pressing(state.untold, picture.left),
        }
    }

    /// What is to be told now, by a node with this version of the configuration. [`Self::apply_response`] or
    /// [`Self::report_failed`] follows.
    pub fn report(&mut self, now: Instant, version: u64) -> UsageReport {
        self.tenants.retain(|_, state| !state.is_idle(now));
        let tenants = self.tenants.iter_mut().map(|(tenant, state)| {
            state.average(now);
            state.recent.advance(now);
            state.telling += std::mem::take(&mut state.untold);
            // What is older than the span counts nowhere any more. Told as of now by a node that was cut off, it
            // would have all nodes refuse what is within the limit.
            let most = state.recent.sum().ceil() as i32;
            state.telling = state.telling.min(most);
            TenantUsage {
                tenant: *tenant,
                admitted: state.telling,
                demand: state.demand,
                silent: 0.0,
                recent: state.recent.sum() as f32,
                known: state.picture.map_or(0.0, |picture| picture.demand as f32),
                rate: state.limit.per_second as f32,
                burst: state.limit.burst as f32,
            }
        });
        UsageReport {
            version,
            ledger: self.told.as_ref().map_or(0, |told| told.ledger),
            relayed: false,
            tenants: tenants.collect(),
        }
    }

    /// Takes in the answer to the last report, of the moment `at`.
    pub fn apply_response(&mut self, at: Instant, news: &UsageResponse) {
        let named = news.pictures.iter().map(|one| (one.tenant, *one));
        let told = ToldTenants {
            named: named.collect(),
            complete: news.complete,
            ledger: news.ledger,
            at,
        };
        for (tenant, state) in &mut self.tenants {
            state.telling = 0;
            if let Some(picture) = told.picture(at, self.span, *tenant, &state.limit) {
                state.take_in(picture);
                state.recent.advance(at);
                state.told_recent = state.recent.sum();
            }
        }
        self.told = Some(told);
    }

    /// What tenants ask of all nodes, as it was told last, and as of when; `None`: nothing was told. What a tenant
    /// asks beyond its limit is left out where the tenant has asked this node.
    pub fn reported_demand(&self) -> Option<(Instant, impl Iterator<Item = TenantDemand> + '_)> {
        let told = self.told.as_ref()?;
        let demands = told.named.iter().map(|(tenant, picture)| {
            let state = self.tenants.get(tenant);
            let most = state.map_or(f64::INFINITY, |state| state.limit.per_second);
            TenantDemand {
                tenant: *tenant,
                per_second: f64::from(picture.demand).min(most),
            }
        });
        Some((told.at, demands))
    }

    /// The last report was not answered: it is told again, though it may have been taken in.
    pub fn report_failed(&mut self) {
        for state in self.tenants.values_mut() {
            state.untold += std::mem::take(&mut state.telling);
        }
    }

    /// Number of tenants that have asked this node a while ago.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether none has.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
