//! Shares of tenants in the capacity of a full service.
//!
//! If one tenant sends several times its typical demand, still within its limit, its neighbors must
//! not be refused or late because of it. While a service is full, its capacity is divided between
//! tenants: by rank first, and evenly within a rank, where what one tenant does not use goes to the
//! others. Of a tenant whose demand is at most that level, all requests are within its share; of any
//! other, the fraction of the level in its demand over all nodes. Each node decides this by itself:
//! as every node admits the same fraction of a tenant's requests, none needs to know what the others
//! admit.
//!
//! The demand over all nodes comes with the exchange of limits. An isolated node continues with the
//! demand that it received last, and scales it by the change of a tenant's arrivals at this node.

use crate::admission::ShareStatus;
use firshore_limits::SHARE_LIFETIME;
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which arrivals are counted: long enough to observe each larger tenant at one node of
/// seventy, short enough to follow a tenant whose demand jumps.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Age up to which the reported demand is used unscaled: nodes receive it several times per second.
const FRESH_AGE: Duration = Duration::from_secs(1);

/// Arrivals of a tenant at one node that may be chance: with fewer, a change of the tenant's demand
/// is hardly visible here.
const PRIOR_ARRIVALS: f64 = 3.0;

/// Weight, in arrivals of a tenant at one node, of all tenants' distribution over services.
const PRIOR_SERVICE_ARRIVALS: f64 = 1.0;

/// Maximum factor by which an isolated node scales a tenant's reported demand up or down.
const MAX_CHANGE: f64 = 10.0;

/// Fraction of the capacity that is reserved for lower ranks, so that none is starved.
const RESERVED_BELOW: f64 = 0.1;

/// Time for which computed levels are cached.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);

/// Maximum number of tenants that are tracked. The others' demand is so small that they are within
/// their share anyway.
const MAX_TENANTS: usize = 512;

/// Arrivals below which a tenant is removed: its last request is half a minute old.
const MIN_ARRIVALS: f64 = 1e-6;

/// Rank of a request; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerRank {
    first: u32,
    route: u32,
}

impl CallerRank {
    /// Returns the rank of a request. A tenant's priority comes before that of the route.
    pub fn new(tenant: Option<u32>, route: u32) -> Self {
        Self {
            first: tenant.unwrap_or(route),
            route,
        }
    }
}

/// A tenant's request to a service.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest<'a> {
    /// Service that is to run it.
    pub service: &'a ServiceName,
    /// Tenant that sent it.
    pub tenant: TenantDigest,
    /// Its rank.
    pub rank: CallerRank,
}

impl ShareRequest<'_> {
    fn key(&self) -> AccountKey {
        AccountKey {
            tenant: self.tenant,
            rank: self.rank,
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct AccountKey {
    tenant: TenantDigest,
    rank: CallerRank,
}

/// A count that decays exponentially.
#[derive(Clone, Copy, Debug)]
struct DecayedCount {
    value: f64,
    at: Instant,
}

impl DecayedCount {
    fn new(now: Instant) -> Self {
        Self {
            value: 0.0,
            at: now,
        }
    }

    fn at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.at);
        self.value * (-elapsed.as_secs_f64() / ARRIVAL_TIME.as_secs_f64()).exp()
    }

    fn add_one(&mut self, now: Instant) {
        self.value = self.at(now) + 1.0;
        self.at = now;
    }
}

/// A tenant's requests of one rank to one service.
#[derive(Debug)]
struct ShareAccount {
    arrivals: DecayedCount,
    /// Fraction of a request that is within the share and was not admitted yet, below 1. It starts at
    /// random, so that the first requests at many nodes are neither all admitted nor all refused.
    saved: f64,
}

/// Requests to one service.
#[derive(Debug, Default)]
struct ServiceShares {
    accounts: HashMap<AccountKey, ShareAccount>,
    ranks: HashMap<CallerRank, DecayedCount>,
    levels: Option<ShareLevels>,
}

/// Levels of a service's capacity that a tenant may use, by rank.
#[derive(Debug)]
struct ShareLevels {
    ranks: Vec<RankLevel>,
    /// Requests per second at all nodes for each counted arrival here.
    scale: f64,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RankLevel {
    rank: CallerRank,
    /// Fraction of all requests here that have this rank.
    rank_fraction: f64,
    /// Requests per second that each tenant may use.
    level: f64,
}

/// Demand for a service by requests of one rank, in requests per second.
#[derive(Debug)]
struct RankDemand {
    rank: CallerRank,
    rank_fraction: f64,
    tenants: Vec<f64>,
    /// Demand of tenants that are not tracked.
    others: f64,
}

impl RankDemand {
    fn sum(&self) -> f64 {
        self.others + self.tenants.iter().sum::<f64>()
    }
}

/// Demand of one tenant over all nodes, as reported.
#[derive(Clone, Copy, Debug)]
struct ReportedDemand {
    per_second: f64,
    /// Its arrivals at this node at that time.
    arrivals: f64,
}

/// Demand over all nodes, as reported.
#[derive(Debug)]
struct DemandView {
    tenants: HashMap<TenantDigest, ReportedDemand>,
    /// Requests per second of tenants that are not tracked.
    others: f64,
    at: Instant,
}

/// Shares of the capacity of all services, at one node.
#[derive(Debug)]
pub struct ShareTable {
    tenants: HashMap<TenantDigest, DecayedCount>,
    services: HashMap<ServiceName, ServiceShares>,
    view: Option<DemandView>,
    /// Random start of accounts.
    phase: u64,
}

/// Returns the maximum that each of several tenants may use, so that all together use at most the
/// capacity, and no capacity is left while one of them needs more.
fn water_level(mut demands: Vec<f64>, capacity: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (served, demand) in demands.iter().enumerate() {
        let each = left / (demands.len() - served) as f64;
        if *demand > each {
            return each.max(0.0);
        }
        left -= demand;
    }
    f64::INFINITY
}

/// Divides capacity among ranks, and within each.
fn rank_levels(mut ranks: Vec<RankDemand>, capacity: f64) -> Vec<RankLevel> {
    ranks.sort_by_key(|demand| demand.rank);
    let mut below: f64 = ranks.iter().map(RankDemand::sum).sum();
    let mut left = capacity;
    let mut levels = Vec::new();
    for demand in ranks {
        let sum = demand.sum();
        below = (below - sum).max(0.0);
        let capacity = left - below.min(left * RESERVED_BELOW);
        left -= sum.min(capacity);
        levels.push(RankLevel {
            rank: demand.rank,
            rank_fraction: demand.rank_fraction,
            level: water_level(demand.tenants, capacity - demand.others),
        });
    }
    levels
}

impl ShareTable {
    /// Returns an empty table. Draws start at `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            tenants: HashMap::new(),
            services: HashMap::new(),
            view: None,
            phase: seed,
        }
    }

    /// Returns a number from 0 to 1 of a Weyl sequence.
    fn next_phase(&mut self) -> f64 {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        self.phase = self.phase.wrapping_add(GOLDEN_RATIO);
        (self.phase >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Updates the demand over all nodes, as of `at`.
    pub fn update_demand(&mut self, at: Instant, demands: impl IntoIterator<Item = TenantDemand>) {
        let mut demands: Vec<TenantDemand> = demands.into_iter().collect();
        let mut others = 0.0;
        if demands.len() > MAX_TENANTS {
            demands.sort_by(|one, other| other.per_second.total_cmp(&one.per_second));
            others = demands.drain(MAX_TENANTS..).map(|one| one.per_second).sum();
        }
        let reported = demands.into_iter().map(|one| {
            let arrivals = self.tenants.get(&one.tenant);
            let reported = ReportedDemand {
                per_second: one.per_second,
                arrivals: arrivals.map_or(0.0, |arrivals| arrivals.at(at)),
            };
            (one.tenant, reported)
        });
        self.view = Some(DemandView {
            tenants: reported.collect(),
            others,
            at,
        });
    }

    /// Records the arrival of a request that is within its tenant's limit.
    pub fn record_arrival(&mut self, now: Instant, request: &ShareRequest<'_>) {
        let saved = self.next_phase();
        let new = || DecayedCount::new(now);
        self.tenants
            .entry(request.tenant)
            .or_insert_with(new)
            .add_one(now);
        if !self.services.contains_key(request.service) {
            self.services
                .insert(request.service.clone(), ServiceShares::default());
        }
        if let Some(shares) = self.services.get_mut(request.service) {
            shares
                .ranks
                .entry(request.rank)
                .or_insert_with(new)
                .add_one(now);
            let account = shares.accounts.entry(request.key());
            let account = account.or_insert_with(|| ShareAccount {
                arrivals: new(),
                saved,
            });
            account.arrivals.add_one(now);
        }
        if self.tenants.len() > MAX_TENANTS {
            self.remove_smallest(now);
        }
    }

    /// Returns whether a request that has arrived is within its tenant's share of a full service,
    /// which can begin `capacity` requests per second. Call it once for a request.
    ///
    /// Without a recent report of the demand, all requests are within their share.
    pub fn status(
        &mut self,
        now: Instant,
        request: &ShareRequest<'_>,
        capacity: f64,
    ) -> ShareStatus {
        let Some(fraction) = self.fraction_within(now, request, capacity) else {
            return ShareStatus::Within;
        };
        let shares = self.services.get_mut(request.service);
        let account = shares.and_then(|shares| shares.accounts.get_mut(&request.key()));
        let Some(account) = account else {
            return ShareStatus::Within;
        };
        account.saved += fraction;
        if account.saved < 1.0 {
            return ShareStatus::Beyond;
        }
        account.saved -= 1.0;
        ShareStatus::Within
    }

    /// Returns the fraction of a tenant's requests that is within its share; `None`: all are.
    fn fraction_within(
        &mut self,
        now: Instant,
        request: &ShareRequest<'_>,
        capacity: f64,
    ) -> Option<f64> {
        self.refresh_levels(now, request.service, capacity);
        let shares = self.services.get(request.service)?;
        let levels = shares.levels.as_ref()?;
        let level = levels
            .ranks
            .iter()
            .find(|level| level.rank == request.rank)?;
        let demand = self.demand(now, request.tenant, levels.scale)?;
        let demand =
            demand * self.service_fraction(now, shares, request.key(), level.rank_fraction);
        (demand > level.level).then(|| level.level / demand)
    }

    /// Refreshes the levels of a service.
    fn refresh_levels(&mut self, now: Instant, service: &ServiceName, capacity: f64) {
        let Some(shares) = self.services.get(service) else {
            return;
        };
        let is_fresh =
            |levels: &ShareLevels| now.saturating_duration_since(levels.at) < LEVEL_LIFETIME;
        if shares.levels.as_ref().is_some_and(is_fresh) {
            return;
        }
        let levels = self.levels(now, shares, capacity);
        if let Some(shares) = self.services.get_mut(service) {
            shares.levels = levels;
        }
    }

    fn levels(&self, now: Instant, shares: &ServiceShares, capacity: f64) -> Option<ShareLevels> {
        let view = self.fresh_view(now)?;
        let scale = self.scale(now, view);
        let unreported = self.tenants.keys();
        let unreported = unreported.filter(|tenant| !view.tenants.contains_key(tenant));
        let tenants: Vec<TenantDigest> = view.tenants.keys().chain(unreported).copied().collect();
        let all = self.all_arrivals(now);
        let demands = shares.ranks.iter().map(|(rank, count)| {
            let rank_fraction = count.at(now) / all;
            let of_tenant = |tenant: &TenantDigest| {
                let key = AccountKey {
                    tenant: *tenant,
                    rank: *rank,
                };
                Some(
                    self.demand(now, *tenant, scale)?
                        * self.service_fraction(now, shares, key, rank_fraction),
                )
            };
            RankDemand {
                rank: *rank,
                rank_fraction,
                tenants: tenants.iter().filter_map(of_tenant).collect(),
                others: view.others * rank_fraction,
            }
        });
        Some(ShareLevels {
            ranks: rank_levels(demands.collect(), capacity),
            scale,
            at: now,
        })
    }

    fn fresh_view(&self, now: Instant) -> Option<&DemandView> {
        let view = self.view.as_ref()?;
        let age = now.saturating_duration_since(view.at);
        (age <= SHARE_LIFETIME).then_some(view)
    }

    fn arrivals(&self, now: Instant, tenant: TenantDigest) -> f64 {
        let arrivals = self.tenants.get(&tenant);
        arrivals.map_or(0.0, |arrivals| arrivals.at(now))
    }

    /// Returns the counted arrivals of all requests; never 0.
    fn all_arrivals(&self, now: Instant) -> f64 {
        let ranks = self
            .services
            .values()
            .flat_map(|shares| shares.ranks.values());
        let all: f64 = ranks.map(|count| count.at(now)).sum();
        all.max(f64::MIN_POSITIVE)
    }

    /// Returns the demand of a tenant over all nodes, in requests per second.
    fn demand(&self, now: Instant, tenant: TenantDigest, scale: f64) -> Option<f64> {
        let view = self.fresh_view(now)?;
        let arrivals = self.arrivals(now, tenant);
        let Some(reported) = view.tenants.get(&tenant) else {
            // Tenants without a limit are not reported. A few requests here say little about all
            // nodes.
            return Some((arrivals - PRIOR_ARRIVALS).max(0.0) * scale);
        };
        if now.saturating_duration_since(view.at) <= FRESH_AGE {
            return Some(reported.per_second);
        }
        let change = (arrivals + PRIOR_ARRIVALS) / (reported.arrivals + PRIOR_ARRIVALS);
        Some(reported.per_second * change.clamp(1.0 / MAX_CHANGE, MAX_CHANGE))
    }

    /// Returns the requests per second at all nodes for each counted arrival here.
    fn scale(&self, now: Instant, view: &DemandView) -> f64 {
        let mut all = 0.0;
        let mut here = 0.0;
        for (tenant, reported) in &view.tenants {
            all += reported.per_second;
            here += self.arrivals(now, *tenant);
        }
        all / here.max(PRIOR_ARRIVALS)
    }

    /// Returns the fraction of a tenant's requests that go to a service with this rank: from its own
    /// arrivals here, and from all tenants' where it has few.
    fn service_fraction(
        &self,
        now: Instant,
        shares: &ServiceShares,
        key: AccountKey,
        rank_fraction: f64,
    ) -> f64 {
        let account = shares.accounts.get(&key);
        let sent = account.map_or(0.0, |account| account.arrivals.at(now));
        let all = self.arrivals(now, key.tenant);
        (sent + PRIOR_SERVICE_ARRIVALS * rank_fraction) / (all + PRIOR_SERVICE_ARRIVALS)
    }

    /// Returns the number of tracked tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant has sent a request.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Removes the half of the tenants with the fewest requests, and those without recent requests.
    fn remove_smallest(&mut self, now: Instant) {
        let tenants = self.tenants.iter();
        let mut counts: Vec<f64> = tenants.map(|(_, arrivals)| arrivals.at(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let min = median.max(MIN_ARRIVALS);
        self.tenants.retain(|_, arrivals| arrivals.at(now) > min);
        let known = &self.tenants;
        for shares in self.services.values_mut() {
            shares
                .accounts
                .retain(|key, _| known.contains_key(&key.tenant));
            shares.ranks.retain(|_, count| count.at(now) > MIN_ARRIVALS);
        }
        self.services.retain(|_, shares| !shares.ranks.is_empty());
    }
}
