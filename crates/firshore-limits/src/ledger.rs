//! Counts what all tenants were admitted recently, on the node that all others report to, directly or
//! through relays.

use crate::demand::DemandTable;
use crate::report::{Quota, TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse};
use crate::window::AdmittedWindow;
use crate::{SHARE_RESERVATION, STALE_GROWTH};
use firshore_adapter::tenant::RateLimit;
use firshore_types::ids::NodeName;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Fraction of a tenant's quota that a new ledger without a predecessor assumes was admitted evenly
/// over the span before it. All processes have just started, which takes more than a second without
/// admissions, and 10 % may be admitted beyond the limit.
const ASSUMED_FRACTION: f64 = 0.6;

/// Time in which nodes report to a new ledger what they have admitted, and the fraction of the quota
/// that counts as left until then.
const COLLECTION_TIME: Duration = Duration::from_millis(300);
const COLLECTION_LEFT_FRACTION: f64 = 0.1;

/// Time after which a ledger has received reports on all active tenants: nodes report several times
/// per second.
const COMPLETE_AFTER: Duration = Duration::from_secs(1);

/// Time for which the list of tenants near their limit is cached.
const NEAR_LIST_LIFETIME: Duration = Duration::from_millis(50);

/// Fraction of all demand up to which stale demand does not change how the limit is shared.
const NEGLIGIBLE_STALE_FRACTION: f32 = 0.05;

/// Maximum time between two reports for which stale nodes are assumed to continue. A tenant without
/// reports for longer has no requests, or has them where this ledger receives no reports.
const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a report after which a tenant is removed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// State of one tenant.
#[derive(Debug)]
struct TenantAccount {
    /// Version of the configuration that the limits are from.
    version: u64,
    limit: RateLimit,
    quota: Quota,
    admitted: AdmittedWindow,
    counted_at: Instant,
    reported_at: Instant,
    demand: DemandTable,
    /// Demand of all nodes when hardly any report was stale, in requests per second. The fraction of
    /// it at the stale nodes is the fraction of the limit that these continue to use, however the
    /// demand at the others changes.
    fresh_demand: f32,
    /// Demand that nodes knew of from the previous ledger, in requests per second. Some of it may be
    /// at nodes that do not reach this ledger.
    inherited_demand: f32,
    /// Requests that nodes admitted before the ledger started, as reported by themselves and by
    /// relays.
    recent: RecentUse,
    /// Whether possible admissions before the ledger started, at nodes that have not reported, are
    /// counted.
    is_takeover_counted: bool,
}

/// Requests admitted before a ledger started. Nodes that reach no relay report to the ledger what
/// relays report of them too, so the greater of both sums counts.
#[derive(Debug, Default)]
struct RecentUse {
    by_nodes: f64,
    by_relays: f64,
}

impl RecentUse {
    fn counted(&self) -> f64 {
        self.by_nodes.max(self.by_relays)
    }

    /// Adds a report of a node or relay. Returns by how much the counted sum grows.
    fn add(&mut self, relayed: bool, recent: f64) -> f64 {
        let before = self.counted();
        match relayed {
            true => self.by_relays += recent,
            false => self.by_nodes += recent,
        }
        self.counted() - before
    }
}

/// Counts what all tenants were admitted recently.
#[derive(Debug)]
pub struct UsageLedger {
    /// Distinguishes this ledger from its predecessors.
    id: u64,
    began_at: Instant,
    /// Whether a reporting node has received a response from an earlier ledger.
    has_predecessor: bool,
    /// Nodes and relays that have reported what they admitted before.
    reporters: HashSet<NodeName>,
    /// Span over which rates are counted.
    span: Duration,
    tenants: HashMap<TenantDigest, TenantAccount>,
    /// Tenants near their limit, cached.
    near: Vec<TenantDigest>,
    near_at: Option<Instant>,
}

fn limit(usage: &TenantUsage) -> RateLimit {
    RateLimit {
        per_second: usage.rate.into(),
        burst: usage.burst.into(),
    }
}

impl TenantAccount {
    /// Returns the account of a tenant that is reported for the first time. `assumed` is the fraction
    /// of its quota that was admitted before the ledger started.
    fn new(
        began_at: Instant,
        now: Instant,
        span: Duration,
        usage: &TenantUsage,
        assumed: f64,
    ) -> Self {
        let limit = limit(usage);
        let quota = Quota::new(&limit, span);
        let free = quota.requests.min(1.0);
        let assumed = (quota.requests * assumed).min(quota.requests - free);
        let mut admitted = AdmittedWindow::new(began_at, span, assumed);
        admitted.advance(now);
        Self {
            version: 0,
            limit,
            quota,
            admitted,
            counted_at: now,
            reported_at: now,
            demand: DemandTable::default(),
            fresh_demand: 0.0,
            inherited_demand: 0.0,
            recent: RecentUse::default(),
            is_takeover_counted: false,
        }
    }

    fn set_limit(&mut self, span: Duration, version: u64, usage: &TenantUsage) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.limit = limit(usage);
        self.quota = Quota::new(&self.limit, span);
    }

    /// Returns the demand of all nodes, and how much of it is at nodes whose use is not reported.
    fn demand(&self, now: Instant) -> (f32, f32) {
        let sum = self.demand.sum(now);
        let unreported = (self.inherited_demand - sum.all).max(0.0);
        (sum.all + unreported, sum.stale + unreported)
    }

    /// Returns the requests per second that stale nodes are likely to admit: their demand, and at
    /// most their fraction of the limit.
    fn stale_rate(&mut self, now: Instant) -> f64 {
        let (all, stale) = self.demand(now);
        if stale <= all * NEGLIGIBLE_STALE_FRACTION || self.fresh_demand <= 0.0 {
            self.fresh_demand = all;
        }
        if stale <= 0.0 {
            return 0.0;
        }
        // Demand at the other nodes may have jumped or dropped since.
        let before = self.fresh_demand.min(all).max(stale);
        let share = self.quota.mean() * f64::from(stale / before);
        share.min(f64::from(stale) * STALE_GROWTH)
    }

    /// Counts what stale nodes may have admitted since the last call.
    fn count_stale(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at);
        let elapsed = elapsed.min(MAX_REPORT_INTERVAL);
        self.counted_at = now;
        self.admitted.advance(now);
        let admitted = self.stale_rate(now) * elapsed.as_secs_f64();
        self.admitted.add(admitted);
    }

    /// Counts what nodes that have not reported may have admitted over a span.
    fn count_takeover(&mut self, now: Instant, span: Duration) {
        self.is_takeover_counted = true;
        let admitted = self.stale_rate(now) * span.as_secs_f64();
        self.admitted.add(admitted);
    }

    fn left(&self) -> f64 {
        self.quota.requests - self.admitted.sum()
    }

    /// Caps what is left, as not all nodes have reported yet what they have admitted.
    fn cap_left(&self, view: TenantView) -> TenantView {
        let max = (self.quota.requests * COLLECTION_LEFT_FRACTION).max(1.0) as f32;
        TenantView {
            left: view.left.min(max),
            ..view
        }
    }

    fn view(&self, now: Instant, tenant: TenantDigest) -> TenantView {
        TenantView {
            tenant,
            left: self.left() as f32,
            next: self.admitted.release_rate() as f32,
            demand: self.demand(now).0,
        }
    }

    fn is_near(&self, now: Instant) -> bool {
        let demand = self.demand(now).0;
        self.quota.is_near(self.left(), demand.into())
    }
}

impl UsageLedger {
    /// Returns an empty ledger. Rates are counted over `span`; `id` is unique among ledgers, and not
    /// 0.
    pub fn new(id: u64, now: Instant, span: Duration) -> Self {
        Self {
            id,
            span,
            began_at: now,
            has_predecessor: false,
            reporters: HashSet::new(),
            tenants: HashMap::new(),
            near: Vec::new(),
            near_at: None,
        }
    }

    /// Applies the report of a node or relay, and returns the response to it.
    pub fn apply_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
    ) -> UsageResponse {
        self.has_predecessor |= report.ledger != 0 && report.ledger != self.id;
        let is_first = report.ledger != self.id && self.reporters.insert(node.clone());
        let tenants = report.tenants.iter();
        let mut views: Vec<TenantView> = tenants
            .map(|usage| self.apply_usage(now, node, report, usage, is_first))
            .collect();
        let named: HashSet<TenantDigest> = views.iter().map(|one| one.tenant).collect();
        self.refresh_near(now);
        let others = self.near.iter().filter(|tenant| !named.contains(tenant));
        for tenant in others {
            if let Some(account) = self.tenants.get_mut(tenant) {
                account.count_stale(now);
                views.push(account.view(now, *tenant));
            }
        }
        UsageResponse {
            views,
            ledger: self.id,
            complete: now.saturating_duration_since(self.began_at) >= COMPLETE_AFTER,
        }
    }

    /// Refreshes the list of tenants near their limit.
    fn refresh_near(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < NEAR_LIST_LIFETIME;
        if self.near_at.is_some_and(fresh) {
            return;
        }
        self.near_at = Some(now);
        self.near.clear();
        for (tenant, account) in &mut self.tenants {
            account.count_stale(now);
            if account.is_near(now) {
                self.near.push(*tenant);
            }
        }
    }

    fn apply_usage(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
        usage: &TenantUsage,
        is_first: bool,
    ) -> TenantView {
        let span = self.span;
        let (began_at, id) = (self.began_at, self.id);
        let assumed = match self.has_predecessor {
            true => 0.0,
            false => ASSUMED_FRACTION,
        };
        let account = self
            .tenants
            .entry(usage.tenant)
            .or_insert_with(|| TenantAccount::new(began_at, now, span, usage, assumed));
        account.set_limit(span, report.version, usage);
        account.count_stale(now);
        account.admitted.add(usage.admitted.into());
        account.reported_at = now;
        account.demand.record(now, node, usage.demand, usage.stale);
        let is_new = now.saturating_duration_since(self.began_at) < SHARE_RESERVATION;
        if !is_new {
            account.inherited_demand = 0.0;
        } else if report.ledger != id {
            account.inherited_demand = account.inherited_demand.max(usage.known_demand);
        }
        if is_first {
            // The time within the span is not reported: counted as of now, it counts for longest.
            let recent = account.recent.add(report.relayed, usage.recent.into());
            account.admitted.add(recent);
        }
        if !self.has_predecessor {
            return account.view(now, usage.tenant);
        }
        if now.saturating_duration_since(began_at) < COLLECTION_TIME {
            let view = account.view(now, usage.tenant);
            return account.cap_left(view);
        }
        if !account.is_takeover_counted {
            account.count_takeover(now, span);
        }
        account.view(now, usage.tenant)
    }

    /// Removes nodes and tenants without recent reports.
    pub fn remove_stale(&mut self, now: Instant) {
        for account in self.tenants.values_mut() {
            account.demand.remove_expired(now);
        }
        self.tenants.retain(|_, account| {
            let idle = now.saturating_duration_since(account.reported_at) > IDLE_TIMEOUT;
            !(idle && account.demand.is_empty())
        });
        self.near_at = None;
    }

    /// Returns the number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Returns whether no tenant was reported.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
