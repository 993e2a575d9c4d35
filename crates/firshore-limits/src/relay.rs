//! What the nodes of a zone tell about tenants, passed on as sums by a node that is their relay.

use crate::demand::DemandTable;
use crate::is_pressing;
use crate::report::{TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse};
use crate::window::AdmittedWindow;
use firshore_types::ids::NodeName;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// What is known of one tenant.
#[derive(Debug)]
struct RelayedTenant {
    rate: f32,
    burst: f32,
    /// Admitted by nodes, and not told yet.
    pending: i32,
    /// Told just now, and not answered yet.
    telling: i32,
    /// What nodes have told in the last span.
    recent: AdmittedWindow,
    demand: DemandTable,
    /// What was told of it.
    picture: Option<TenantView>,
}

impl RelayedTenant {
    fn new(now: Instant, span: Duration, told: &TenantUsage) -> Self {
        Self {
            rate: told.rate,
            burst: told.burst,
            pending: 0,
            telling: 0,
            recent: AdmittedWindow::new(now, span, 0.0),
            demand: DemandTable::default(),
            picture: None,
        }
    }

    fn is_wanted(&self) -> bool {
        self.pending != 0 || !self.demand.is_empty() || self.recent.sum() >= 1.0
    }

    /// The last picture, less what is not in it yet.
    fn picture(&self) -> Option<TenantView> {
        let picture = self.picture?;
        Some(TenantView {
            left: picture.left - (self.pending + self.telling) as f32,
            ..picture
        })
    }
}

/// Sums of what nodes tell.
#[derive(Debug)]
pub struct UsageRelay {
    version: u64,
    /// Ledger that was heard of last; 0: none.
    ledger: u64,
    tenants: HashMap<TenantDigest, RelayedTenant>,
    /// What was told of tenants of which no node here has told anything.
    others: HashMap<TenantDigest, TenantView>,
    /// Nodes that have told this relay.
    met: HashSet<NodeName>,
    /// Span over which rates are counted.
    span: Duration,
    /// Whether a tenant of which nothing was told is known not to be near its limit.
    complete: bool,
}

impl UsageRelay {
    /// Nothing was told yet. Rates are counted over `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            version: 0,
            ledger: 0,
            tenants: HashMap::new(),
            others: HashMap::new(),
            met: HashSet::new(),
            span,
            complete: false,
        }
    }

    /// Takes in what a node tells. Returns what it is told.
    pub fn apply_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
    ) -> UsageResponse {
        self.take_in(now, node, report);
        let known = self.tenants.values().filter_map(RelayedTenant::picture);
        UsageResponse {
            pictures: known.chain(self.others.values().copied()).collect(),
            ledger: self.ledger,
            complete: self.complete,
        }
    }

    fn take_in(&mut self, now: Instant, node: &NodeName, report: &UsageReport) {
        // A relay that has just begun knows what its nodes know.
        if self.ledger == 0 {
            self.ledger = report.ledger;
        }
        let stranger = self.met.insert(node.clone());
        let span = self.span;
        let newest = report.version >= self.version;
        self.version = self.version.max(report.version);
        for told in &report.tenants {
            let tenant = self
                .tenants
                .entry(told.tenant)
                .or_insert_with(|| RelayedTenant::new(now, span, told));
            if newest {
                tenant.rate = told.rate;
                tenant.burst = told.burst;
            }
            tenant.pending += told.admitted;
            tenant.recent.advance(now);
            tenant.recent.add(told.admitted.into());
            if stranger {
                tenant.recent.add_spread(told.recent.into());
            }
            tenant.demand.told(now, node, told.demand, told.silent);
        }
    }

    /// Whether nodes have admitted so much of a tenant's requests that it has to be told at once.
    pub fn is_report_due(&self) -> bool {
        let mut tenants = self.tenants.values();
        tenants.any(|tenant| {
            let left = tenant.picture.map_or(0.0, |picture| picture.left.into());
            left > 0.0 && is_pressing(tenant.pending, left)
        })
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// What is to be told now. [`Self::apply_response`] or [`Self::report_failed`] follows.
    pub fn report(&mut self, now: Instant) -> UsageReport {
        let mut tenants = Vec::new();
        for (digest, tenant) in &mut self.tenants {
            tenant.demand.forget_old(now);
            tenant.recent.advance(now);
            let sum = tenant.demand.sum(now);
            tenant.telling += std::mem::take(&mut tenant.pending);
            tenants.push(TenantUsage {
                tenant: *digest,
                admitted: tenant.telling,
                demand: sum.all,
                silent: sum.silent,
                recent: tenant.recent.sum() as f32,
                known: tenant.picture.map_or(0.0, |picture| picture.demand),
                rate: tenant.rate,
                burst: tenant.burst,
            });
        }
        UsageReport {
            version: self.version,
            ledger: self.ledger,
            relayed: true,
            tenants,
        }
    }

    /// Takes in the answer to the last report. Tenants that nobody asks for any more are forgotten.
    pub fn apply_response(&mut self, news: &UsageResponse) {
        self.ledger = news.ledger;
        self.complete = news.complete;
        self.others.clear();
        for tenant in self.tenants.values_mut() {
            tenant.telling = 0;
        }
        for picture in &news.pictures {
            match self.tenants.get_mut(&picture.tenant) {
                Some(tenant) => tenant.picture = Some(*picture),
                None => {
                    self.others.insert(picture.tenant, *picture);
                }
            }
        }
        self.tenants.retain(|_, tenant| tenant.is_wanted());
    }

    /// The last report was not answered: it is told again, though it may have been taken in.
    pub fn report_failed(&mut self) {
        for tenant in self.tenants.values_mut() {
            tenant.pending += std::mem::take(&mut tenant.telling);
        }
    }
}
