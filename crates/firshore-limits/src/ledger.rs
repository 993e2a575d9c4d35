//! What all tenants were admitted of late, on the node that all others tell, directly or through relays.

use crate::demand::DemandTable;
use crate::report::{Quota, TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse};
use crate::window::AdmittedWindow;
use crate::{SHARE_RESERVATION, SILENT_GROWTH};
use firshore_adapter::tenant::RateLimit;
use firshore_types::ids::NodeName;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Part of what a tenant may ask that a new ledger takes to have been admitted evenly over the span before
/// it, where nobody knows: all processes have just begun, which takes more than a second in which nothing
/// is admitted, and a tenth may be admitted beyond.
const ASSUMED_SHARE: f64 = 0.6;

/// Time in which nodes tell a new ledger what they have admitted; until then little is taken to be left.
const HEARING_TIME: Duration = Duration::from_millis(300);
const LEFT_MEANWHILE: f64 = 0.1;

/// Time after which a ledger has heard of all tenants that ask anything: nodes tell some times a second.
const COMPLETE_AFTER: Duration = Duration::from_secs(1);

/// Time for which the list of tenants near their limit is used.
const NEAR_LIST_LIFETIME: Duration = Duration::from_millis(50);

/// Part of all demand up to which that of silent nodes changes nothing of how the limit is shared.
const FEW_SILENT: f32 = 0.05;

/// Longest pause between two reports over which silent nodes are taken to go on: a tenant of which nobody
/// tells for longer asks nothing, or asks where this ledger is not heard.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time without news after which a tenant is forgotten.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// One tenant.
#[derive(Debug)]
struct TenantAccount {
    /// Version of the configuration that the limits stand in.
    version: u64,
    limit: RateLimit,
    quota: Quota,
    admitted: AdmittedWindow,
    counted_at: Instant,
    told_at: Instant,
    demand: DemandTable,
    /// Demand of all nodes when hardly any was silent, in requests a second. The part of it that was asked of
    /// silent nodes is the part of the limit that they go on with, whatever is asked of the others since.
    demand_in_touch: f32,
    /// Demand that nodes knew of from the ledger before, in requests a second: some of it may be of nodes
    /// that do not reach this one.
    known_before: f32,
    /// What nodes have admitted before the ledger began, as they tell it themselves and as relays tell it of
    /// them.
    recent: RecentUse,
    /// Whether what such nodes may have admitted before the ledger began is counted.
    settled: bool,
}

/// Requests admitted before a ledger began. Nodes that find no relay tell the ledger what relays tell of
/// them too, so the greater of both sums counts.
#[derive(Debug, Default)]
struct RecentUse {
    by_nodes: f64,
    by_relays: f64,
}

impl RecentUse {
    fn counted(&self) -> f64 {
        self.by_nodes.max(self.by_relays)
    }

    /// Takes in what a node or relay tells. Returns by how much more counts by that.
    fn take_in(&mut self, relayed: bool, recent: f64) -> f64 {
        let before = self.counted();
        match relayed {
            true => self.by_relays += recent,
            false => self.by_nodes += recent,
        }
        self.counted() - before
    }
}

/// What all tenants were admitted of late.
#[derive(Debug)]
pub struct UsageLedger {
    /// Tells it from those before it.
    id: u64,
    began_at: Instant,
    /// Whether a node has told that it knew of a ledger before this one.
    heard_of_former: bool,
    /// Nodes and relays that have told what they admitted before.
    heard: HashSet<NodeName>,
    /// Span over which rates are counted.
    span: Duration,
    tenants: HashMap<TenantDigest, TenantAccount>,
    /// Tenants near their limit, as of a moment ago.
    near: Vec<TenantDigest>,
    near_at: Option<Instant>,
}

fn limit(told: &TenantUsage) -> RateLimit {
    RateLimit {
        per_second: told.rate.into(),
        burst: told.burst.into(),
    }
}

impl TenantAccount {
    /// A tenant that is told for the first time. `assumed`: part of its quota that was admitted before the
    /// ledger began.
    fn new(
        began_at: Instant,
        now: Instant,
        span: Duration,
        told: &TenantUsage,
        assumed: f64,
    ) -> Self {
        let limit = limit(told);
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
            told_at: now,
            demand: DemandTable::default(),
            demand_in_touch: 0.0,
            known_before: 0.0,
            recent: RecentUse::default(),
            settled: false,
        }
    }

    fn set_limit(&mut self, span: Duration, version: u64, told: &TenantUsage) {
        if version < self.version {
            return;
        }
        self.version = version;
        self.limit = limit(told);
        self.quota = Quota::new(&self.limit, span);
    }

    /// Demand of all nodes, and the part of it of nodes whose use is not told.
    fn demand(&self, now: Instant) -> (f32, f32) {
        let sum = self.demand.sum(now);
        let unseen = (self.known_before - sum.all).max(0.0);
        (sum.all + unseen, sum.silent + unseen)
    }

    /// Requests a second that silent nodes are likely to admit: what is asked of them, and their part of the
    /// limit at most.
    fn silent_rate(&mut self, now: Instant) -> f64 {
        let (all, silent) = self.demand(now);
        if silent <= all * FEW_SILENT || self.demand_in_touch <= 0.0 {
            self.demand_in_touch = all;
        }
        if silent <= 0.0 {
            return 0.0;
        }
        // What is asked of the others may have jumped, or gone, since.
        let before = self.demand_in_touch.min(all).max(silent);
        let share = self.quota.mean() * f64::from(silent / before);
        share.min(f64::from(silent) * SILENT_GROWTH)
    }

    /// Counts what silent nodes may admit meanwhile.
    fn count_silent(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at);
        let elapsed = elapsed.min(LONGEST_PAUSE);
        self.counted_at = now;
        self.admitted.advance(now);
        let admitted = self.silent_rate(now) * elapsed.as_secs_f64();
        self.admitted.add(admitted);
    }

    /// Counts what nodes may have admitted over a span that have not told.
    fn settle(&mut self, now: Instant, span: Duration) {
        self.settled = true;
        let admitted = self.silent_rate(now) * span.as_secs_f64();
        self.admitted.add(admitted);
    }

    fn left(&self) -> f64 {
        self.quota.requests - self.admitted.sum()
    }

    /// Little is left, as far as is known: not all nodes have told yet what they have admitted.
    fn cap_left(&self, picture: TenantView) -> TenantView {
        let most = (self.quota.requests * LEFT_MEANWHILE).max(1.0) as f32;
        TenantView {
            left: picture.left.min(most),
            ..picture
        }
    }

    fn picture(&self, now: Instant, tenant: TenantDigest) -> TenantView {
        TenantView {
            tenant,
            left: self.left() as f32,
            next: self.admitted.next() as f32,
            demand: self.demand(now).0,
        }
    }

    fn is_near(&self, now: Instant) -> bool {
        let demand = self.demand(now).0;
        self.quota.is_near(self.left(), demand.into())
    }
}

impl UsageLedger {
    /// Nothing was told yet. Rates are counted over `span`; `id` is that of no other ledger, and not 0.
    pub fn new(id: u64, now: Instant, span: Duration) -> Self {
        Self {
            id,
            span,
            began_at: now,
            heard_of_former: false,
            heard: HashSet::new(),
            tenants: HashMap::new(),
            near: Vec::new(),
            near_at: None,
        }
    }

    /// Takes in what a node or relay tells. Returns what it is told.
    pub fn apply_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
    ) -> UsageResponse {
        self.heard_of_former |= report.ledger != 0 && report.ledger != self.id;
        let is_first = report.ledger != self.id && self.heard.insert(node.clone());
        let tenants = report.tenants.iter();
        let mut pictures: Vec<TenantView> = tenants
            .map(|told| self.told_tenant(now, node, report, told, is_first))
            .collect();
        let named: HashSet<TenantDigest> = pictures.iter().map(|one| one.tenant).collect();
        self.find_near(now);
        let others = self.near.iter().filter(|tenant| !named.contains(tenant));
        for tenant in others {
            if let Some(account) = self.tenants.get_mut(tenant) {
                account.count_silent(now);
                pictures.push(account.picture(now, *tenant));
            }
        }
        UsageResponse {
            pictures,
            ledger: self.id,
            complete: now.saturating_duration_since(self.began_at) >= COMPLETE_AFTER,
        }
    }

    /// Brings the list of tenants near their limit up to date.
    fn find_near(&mut self, now: Instant) {
        let fresh = |at: Instant| now.saturating_duration_since(at) < NEAR_LIST_LIFETIME;
        if self.near_at.is_some_and(fresh) {
            return;
        }
        self.near_at = Some(now);
        self.near.clear();
        for (tenant, account) in &mut self.tenants {
            account.count_silent(now);
            if account.is_near(now) {
                self.near.push(*tenant);
            }
        }
    }

    fn told_tenant(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
        told: &TenantUsage,
        is_first: bool,
    ) -> TenantView {
        let span = self.span;
        let (began_at, id) = (self.began_at, self.id);
        let assumed = match self.heard_of_former {
            true => 0.0,
            false => ASSUMED_SHARE,
        };
        let account = self
            .tenants
            .entry(told.tenant)
            .or_insert_with(|| TenantAccount::new(began_at, now, span, told, assumed));
        account.set_limit(span, report.version, told);
        account.count_silent(now);
        account.admitted.add(told.admitted.into());
        account.told_at = now;
        account.demand.told(now, node, told.demand, told.silent);
        let is_new = now.saturating_duration_since(self.began_at) < SHARE_RESERVATION;
        if !is_new {
            account.known_before = 0.0;
        } else if report.ledger != id {
            account.known_before = account.known_before.max(told.known);
        }
        if is_first {
            // When within the span is not told: it is counted as of now, and so for longest.
            let recent = account.recent.take_in(report.relayed, told.recent.into());
            account.admitted.add(recent);
        }
        if !self.heard_of_former {
            return account.picture(now, told.tenant);
        }
        if now.saturating_duration_since(began_at) < HEARING_TIME {
            let picture = account.picture(now, told.tenant);
            return account.cap_left(picture);
        }
        if !account.settled {
            account.settle(now, span);
        }
        account.picture(now, told.tenant)
    }

    /// Forgets nodes and tenants that nobody has told of for long.
    pub fn remove_stale(&mut self, now: Instant) {
        for account in self.tenants.values_mut() {
            account.demand.forget_old(now);
        }
        self.tenants.retain(|_, account| {
            let idle = now.saturating_duration_since(account.told_at) > IDLE_TIMEOUT;
            !(idle && account.demand.is_empty())
        });
        self.near_at = None;
    }

    /// Number of tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether nobody has told anything.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }
}
