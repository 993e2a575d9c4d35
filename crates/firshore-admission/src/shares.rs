//! Whose share of a full service's room a request is.
//!
//! The load it answers: one tenant asks several times its usual, within its limit, and its neighbours are
//! refused and late with it. While a service is full, its room is divided between tenants: by rank first, as
//! callers bought it, and within a rank evenly, where what one does not ask for goes to the others. A tenant that
//! asks no more than that level is within its share with every request; of one that asks more, as large a part
//! of its requests is as the level is of what it asks of all nodes. Each node decides so by itself: as the same
//! part is let in wherever a tenant's requests arrive, no node has to know what the others let in.
//!
//! What all nodes are asked is told with the exchange of limits. A node that is cut off goes on with what it was
//! told last, and takes a tenant to ask more or less of all nodes by as much as it does here.

use crate::admission::ShareStatus;
use firshore_limits::SHARE_LIFETIME;
use firshore_limits::report::{TenantDemand, TenantDigest};
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time over which arrivals are counted: long enough to see some of each larger tenant's at one node of seventy,
/// short enough to follow a tenant that begins to ask many times its usual.
const ARRIVAL_TIME: Duration = Duration::from_secs(2);

/// Age up to which what all nodes are asked is taken as it was told: nodes hear of it some times a second.
const FRESH_AGE: Duration = Duration::from_secs(1);

/// Arrivals of a tenant at one node that may be chance: with no more than that, it says little about whether the
/// tenant's requests have become more.
const PRIOR_ARRIVALS: f64 = 3.0;

/// Arrivals of a tenant at one node that say as much about where its requests go as everybody's do.
const PRIOR_PLACES: f64 = 1.0;

/// Most by which a cut-off node takes a tenant to ask more or less than it was told.
const MOST_CHANGE: f64 = 10.0;

/// Part of the room that lower ranks keep, so that nobody is starved.
const KEPT_BELOW: f64 = 0.1;

/// Time for which levels are used before they are worked out anew.
const LEVEL_LIFETIME: Duration = Duration::from_millis(100);

/// Tenants that are told apart. The others ask so little that they are within their share anyway.
const MOST_TENANTS: usize = 512;

/// Arrivals below which a tenant is forgotten: its last request is half a minute old.
const LEAST_ARRIVALS: f64 = 1e-6;

/// Rank of a request; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerRank {
    first: u32,
    route: u32,
}

impl CallerRank {
    /// The priority of a tenant comes before that of the route.
    pub fn new(tenant: Option<u32>, route: u32) -> Self {
        Self {
            first: tenant.unwrap_or(route),
            route,
        }
    }
}

/// A request of a tenant.
#[derive(Clone, Copy, Debug)]
pub struct ShareRequest<'a> {
    /// Service that is to run it.
    pub service: &'a ServiceName,
    /// Who asks.
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

/// A count of which each part is forgotten by and by.
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
    /// Part of a request that is within the share and was not let in yet, below 1. It begins anywhere, so that
    /// the first requests at many nodes are not all let in, nor all kept out.
    saved: f64,
}

/// Requests to one service.
#[derive(Debug, Default)]
struct ServiceShares {
    accounts: HashMap<AccountKey, ShareAccount>,
    ranks: HashMap<CallerRank, DecayedCount>,
    levels: Option<ShareLevels>,
}

/// What a tenant may take of a service's room, by rank.
#[derive(Debug)]
struct ShareLevels {
    ranks: Vec<RankLevel>,
    /// Requests a second at all nodes for each arrival that counts here.
    scale: f64,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RankLevel {
    rank: CallerRank,
    /// Part of all requests here that are of it.
    usual: f64,
    /// Requests a second that each tenant may take.
    level: f64,
}

/// What is asked of a service by requests of one rank, in requests a second.
#[derive(Debug)]
struct RankDemand {
    rank: CallerRank,
    usual: f64,
    tenants: Vec<f64>,
    /// Of tenants that are not told apart.
    others: f64,
}

impl RankDemand {
    fn sum(&self) -> f64 {
        self.others + self.tenants.iter().sum::<f64>()
    }
}

/// What one tenant asks of all nodes, as told.
#[derive(Clone, Copy, Debug)]
struct ToldDemand {
    per_second: f64,
    /// Its arrivals at this node then.
    arrivals: f64,
}

/// What all nodes are asked, as told.
#[derive(Debug)]
struct DemandPicture {
    tenants: HashMap<TenantDigest, ToldDemand>,
    /// Requests a second of tenants that are not told apart.
    others: f64,
    at: Instant,
}

/// Shares of all services' room, at one node.
#[derive(Debug)]
pub struct ShareTable {
    tenants: HashMap<TenantDigest, DecayedCount>,
    services: HashMap<ServiceName, ServiceShares>,
    picture: Option<DemandPicture>,
    /// Draws where accounts begin.
    phase: u64,
}

/// Returns what each of several tenants may take at most, so that all together take no more than the room, and
/// no room is left while one of them asks for more.
fn water_level(mut demands: Vec<f64>, room: f64) -> f64 {
    demands.sort_by(f64::total_cmp);
    let mut left = room;
    for (served, demand) in demands.iter().enumerate() {
        let each = left / (demands.len() - served) as f64;
        if *demand > each {
            return each.max(0.0);
        }
        left -= demand;
    }
    f64::INFINITY
}

/// Divides room among ranks, and within each.
fn rank_levels(mut ranks: Vec<RankDemand>, room: f64) -> Vec<RankLevel> {
    ranks.sort_by_key(|demand| demand.rank);
    let mut below: f64 = ranks.iter().map(RankDemand::sum).sum();
    let mut left = room;
    let mut levels = Vec::new();
    for demand in ranks {
        let sum = demand.sum();
        below = (below - sum).max(0.0);
        let room = left - below.min(left * KEPT_BELOW);
        left -= sum.min(room);
        levels.push(RankLevel {
            rank: demand.rank,
            usual: demand.usual,
            level: water_level(demand.tenants, room - demand.others),
        });
    }
    levels
}

impl ShareTable {
    /// Nothing is known yet. Draws begin at `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            tenants: HashMap::new(),
            services: HashMap::new(),
            picture: None,
            phase: seed,
        }
    }

    /// A number from 0 to 1, another each time (a Weyl sequence).
    fn next_phase(&mut self) -> f64 {
        const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
        self.phase = self.phase.wrapping_add(GOLDEN_RATIO);
        (self.phase >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Takes in what all nodes are asked, as of a moment.
    pub fn update_demand(&mut self, at: Instant, demands: impl IntoIterator<Item = TenantDemand>) {
        let mut demands: Vec<TenantDemand> = demands.into_iter().collect();
        let mut others = 0.0;
        if demands.len() > MOST_TENANTS {
            demands.sort_by(|one, other| other.per_second.total_cmp(&one.per_second));
            others = demands
                .drain(MOST_TENANTS..)
                .map(|one| one.per_second)
                .sum();
        }
        let told = demands.into_iter().map(|one| {
            let arrivals = self.tenants.get(&one.tenant);
            let told = ToldDemand {
                per_second: one.per_second,
                arrivals: arrivals.map_or(0.0, |arrivals| arrivals.at(at)),
            };
            (one.tenant, told)
        });
        self.picture = Some(DemandPicture {
            tenants: told.collect(),
            others,
            at,
        });
    }

    /// A request has arrived and is within its tenant's limit.
    pub fn record_arrival(&mut self, now: Instant, ask: &ShareRequest<'_>) {
        let saved = self.next_phase();
        let new = || DecayedCount::new(now);
        self.tenants
            .entry(ask.tenant)
            .or_insert_with(new)
            .add_one(now);
        if !self.services.contains_key(ask.service) {
            self.services
                .insert(ask.service.clone(), ServiceShares::default());
        }
        if let Some(shares) = self.services.get_mut(ask.service) {
            shares
                .ranks
                .entry(ask.rank)
                .or_insert_with(new)
                .add_one(now);
            let account = shares.accounts.entry(ask.key());
            let account = account.or_insert_with(|| ShareAccount {
                arrivals: new(),
                saved,
            });
            account.arrivals.add_one(now);
        }
        if self.tenants.len() > MOST_TENANTS {
            self.forget_smallest(now);
        }
    }

    /// Returns whether a request that has arrived is within its tenant's share of a full service, of which `room`
    /// requests begin each second. Called once for a request.
    ///
    /// Where nothing was told for long, everybody is within its share.
    pub fn status(&mut self, now: Instant, ask: &ShareRequest<'_>, room: f64) -> ShareStatus {
        let Some(part) = self.part_within(now, ask, room) else {
            return ShareStatus::Within;
        };
        let shares = self.services.get_mut(ask.service);
        let account = shares.and_then(|shares| shares.accounts.get_mut(&ask.key()));
        let Some(account) = account else {
            return ShareStatus::Within;
        };
        account.saved += part;
        if account.saved < 1.0 {
            return ShareStatus::Beyond;
        }
        account.saved -= 1.0;
        ShareStatus::Within
    }

    /// Part of a tenant's requests that is within its share; `None`: all are.
    fn part_within(&mut self, now: Instant, ask: &ShareRequest<'_>, room: f64) -> Option<f64> {
        self.find_levels(now, ask.service, room);
        let shares = self.services.get(ask.service)?;
        let levels = shares.levels.as_ref()?;
        let level = levels.ranks.iter().find(|level| level.rank == ask.rank)?;
        let demand = self.demand(now, ask.tenant, levels.scale)?;
        let demand = demand * self.part_asked(now, shares, ask.key(), level.usual);
        (demand > level.level).then(|| level.level / demand)
    }

    /// Brings the levels of a service up to date.
    fn find_levels(&mut self, now: Instant, service: &ServiceName, room: f64) {
        let Some(shares) = self.services.get(service) else {
            return;
        };
        let is_fresh =
            |levels: &ShareLevels| now.saturating_duration_since(levels.at) < LEVEL_LIFETIME;
        if shares.levels.as_ref().is_some_and(is_fresh) {
            return;
        }
        let levels = self.levels(now, shares, room);
        if let Some(shares) = self.services.get_mut(service) {
            shares.levels = levels;
        }
    }

    fn levels(&self, now: Instant, shares: &ServiceShares, room: f64) -> Option<ShareLevels> {
        let picture = self.fresh_picture(now)?;
        let scale = self.scale(now, picture);
        let untold = self.tenants.keys();
        let untold = untold.filter(|tenant| !picture.tenants.contains_key(tenant));
        let tenants: Vec<TenantDigest> = picture.tenants.keys().chain(untold).copied().collect();
        let all = self.all_arrivals(now);
        let demands = shares.ranks.iter().map(|(rank, count)| {
            let usual = count.at(now) / all;
            let of_tenant = |tenant: &TenantDigest| {
                let key = AccountKey {
                    tenant: *tenant,
                    rank: *rank,
                };
                Some(self.demand(now, *tenant, scale)? * self.part_asked(now, shares, key, usual))
            };
            RankDemand {
                rank: *rank,
                usual,
                tenants: tenants.iter().filter_map(of_tenant).collect(),
                others: picture.others * usual,
            }
        });
        Some(ShareLevels {
            ranks: rank_levels(demands.collect(), room),
            scale,
            at: now,
        })
    }

    fn fresh_picture(&self, now: Instant) -> Option<&DemandPicture> {
        let picture = self.picture.as_ref()?;
        let age = now.saturating_duration_since(picture.at);
        (age <= SHARE_LIFETIME).then_some(picture)
    }

    fn arrivals(&self, now: Instant, tenant: TenantDigest) -> f64 {
        let arrivals = self.tenants.get(&tenant);
        arrivals.map_or(0.0, |arrivals| arrivals.at(now))
    }

    /// Arrivals of all requests that have been counted; never 0.
    fn all_arrivals(&self, now: Instant) -> f64 {
        let ranks = self
            .services
            .values()
            .flat_map(|shares| shares.ranks.values());
        let all: f64 = ranks.map(|count| count.at(now)).sum();
        all.max(f64::MIN_POSITIVE)
    }

    /// Requests a second that a tenant asks of all nodes.
    fn demand(&self, now: Instant, tenant: TenantDigest, scale: f64) -> Option<f64> {
        let picture = self.fresh_picture(now)?;
        let arrivals = self.arrivals(now, tenant);
        let Some(told) = picture.tenants.get(&tenant) else {
            // Nothing is told of tenants without a limit. A few requests say little about all nodes.
            return Some((arrivals - PRIOR_ARRIVALS).max(0.0) * scale);
        };
        if now.saturating_duration_since(picture.at) <= FRESH_AGE {
            return Some(told.per_second);
        }
        let change = (arrivals + PRIOR_ARRIVALS) / (told.arrivals + PRIOR_ARRIVALS);
        Some(told.per_second * change.clamp(1.0 / MOST_CHANGE, MOST_CHANGE))
    }

    /// Requests a second at all nodes for each arrival that counts here.
    fn scale(&self, now: Instant, picture: &DemandPicture) -> f64 {
        let mut all = 0.0;
        let mut here = 0.0;
        for (tenant, told) in &picture.tenants {
            all += told.per_second;
            here += self.arrivals(now, *tenant);
        }
        all / here.max(PRIOR_ARRIVALS)
    }

    /// Part of a tenant's requests that go to a service with this rank: as its own did here, and as everybody's
    /// where it has sent few.
    fn part_asked(&self, now: Instant, shares: &ServiceShares, key: AccountKey, usual: f64) -> f64 {
        let account = shares.accounts.get(&key);
        let asked = account.map_or(0.0, |account| account.arrivals.at(now));
        let all = self.arrivals(now, key.tenant);
        (asked + PRIOR_PLACES * usual) / (all + PRIOR_PLACES)
    }

    /// Number of tenants that are told apart.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether none has asked.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Forgets the half of the tenants that has asked least, and who has not asked for long.
    fn forget_smallest(&mut self, now: Instant) {
        let tenants = self.tenants.iter();
        let mut counts: Vec<f64> = tenants.map(|(_, arrivals)| arrivals.at(now)).collect();
        let middle = counts.len() / 2;
        let (_, median, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let least = median.max(LEAST_ARRIVALS);
        self.tenants.retain(|_, arrivals| arrivals.at(now) > least);
        let known = &self.tenants;
        for shares in self.services.values_mut() {
            shares
                .accounts
                .retain(|key, _| known.contains_key(&key.tenant));
            shares
                .ranks
                .retain(|_, count| count.at(now) > LEAST_ARRIVALS);
        }
        self.services.retain(|_, shares| !shares.ranks.is_empty());
    }
}
