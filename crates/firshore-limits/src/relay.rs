//! Usage of tenants at the nodes of a zone, forwarded as sums by their relay.

use crate::demand::DemandTable;
use crate::is_report_urgent;
use crate::report::{TenantDigest, TenantUsage, TenantView, UsageReport, UsageResponse};
use crate::window::AdmittedWindow;
use firshore_types::ids::NodeName;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// State of one tenant.
#[derive(Debug)]
struct RelayedTenant {
    rate: f32,
    burst: f32,
    /// Admitted by nodes, and not reported yet.
    pending: i32,
    /// Reported, and not confirmed yet.
    in_flight: i32,
    /// Admissions that nodes have reported in the last span.
    recent: AdmittedWindow,
    demand: DemandTable,
    /// Last view from the ledger.
    view: Option<TenantView>,
}

impl RelayedTenant {
    fn new(now: Instant, span: Duration, usage: &TenantUsage) -> Self {
        Self {
            rate: usage.rate,
            burst: usage.burst,
            pending: 0,
            in_flight: 0,
            recent: AdmittedWindow::new(now, span, 0.0),
            demand: DemandTable::default(),
            view: None,
        }
    }

    fn is_active(&self) -> bool {
        self.pending != 0 || !self.demand.is_empty() || self.recent.sum() >= 1.0
    }

    /// Returns the last view, less the admissions that it does not include yet.
    fn view(&self) -> Option<TenantView> {
        let view = self.view?;
        Some(TenantView {
            left: view.left - (self.pending + self.in_flight) as f32,
            ..view
        })
    }
}

/// Sums of the nodes' reports.
#[derive(Debug)]
pub struct UsageRelay {
    version: u64,
    /// Ledger of the last response; 0: none.
    ledger: u64,
    tenants: HashMap<TenantDigest, RelayedTenant>,
    /// Views of tenants that no node here has reported.
    others: HashMap<TenantDigest, TenantView>,
    /// Nodes that have reported to this relay.
    seen_nodes: HashSet<NodeName>,
    /// Span over which rates are counted.
    span: Duration,
    /// Whether tenants without a view are known not to be near their limit.
    complete: bool,
}

impl UsageRelay {
    /// Returns an empty relay. Rates are counted over `span`.
    pub fn new(span: Duration) -> Self {
        Self {
            version: 0,
            ledger: 0,
            tenants: HashMap::new(),
            others: HashMap::new(),
            seen_nodes: HashSet::new(),
            span,
            complete: false,
        }
    }

    /// Applies the report of a node, and returns the response to it.
    pub fn apply_report(
        &mut self,
        now: Instant,
        node: &NodeName,
        report: &UsageReport,
    ) -> UsageResponse {
        self.add_report(now, node, report);
        let views = self.tenants.values().filter_map(RelayedTenant::view);
        UsageResponse {
            views: views.chain(self.others.values().copied()).collect(),
            ledger: self.ledger,
            complete: self.complete,
        }
    }

    fn add_report(&mut self, now: Instant, node: &NodeName, report: &UsageReport) {
        // A relay that has just started takes over what its nodes know.
        if self.ledger == 0 {
            self.ledger = report.ledger;
        }
        let is_new = self.seen_nodes.insert(node.clone());
        let span = self.span;
        let newest = report.version >= self.version;
        self.version = self.version.max(report.version);
        for usage in &report.tenants {
            let tenant = self
                .tenants
                .entry(usage.tenant)
                .or_insert_with(|| RelayedTenant::new(now, span, usage));
            if newest {
                tenant.rate = usage.rate;
                tenant.burst = usage.burst;
            }
            tenant.pending += usage.admitted;
            tenant.recent.advance(now);
            tenant.recent.add(usage.admitted.into());
            if is_new {
                tenant.recent.add_spread(usage.recent.into());
            }
            tenant.demand.record(now, node, usage.demand, usage.stale);
        }
    }

    /// Returns whether nodes have admitted so many requests of a tenant that a report must not wait
    /// for the next interval.
    pub fn is_report_due(&self) -> bool {
        let mut tenants = self.tenants.values();
        tenants.any(|tenant| {
            let left = tenant.view.map_or(0.0, |view| view.left.into());
            left > 0.0 && is_report_urgent(tenant.pending, left)
        })
    }

    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Returns the report to send now. [`Self::apply_response`] or [`Self::report_failed`] follows.
    pub fn report(&mut self, now: Instant) -> UsageReport {
        let mut tenants = Vec::new();
        for (digest, tenant) in &mut self.tenants {
            tenant.demand.remove_expired(now);
            tenant.recent.advance(now);
            let sum = tenant.demand.sum(now);
            tenant.in_flight += std::mem::take(&mut tenant.pending);
            tenants.push(TenantUsage {
                tenant: *digest,
                admitted: tenant.in_flight,
                demand: sum.all,
                stale: sum.stale,
                recent: tenant.recent.sum() as f32,
                known_demand: tenant.view.map_or(0.0, |view| view.demand),
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

    /// Applies the response to the last report, and removes tenants without recent requests.
    pub fn apply_response(&mut self, response: &UsageResponse) {
        self.ledger = response.ledger;
        self.complete = response.complete;
        self.others.clear();
        for tenant in self.tenants.values_mut() {
            tenant.in_flight = 0;
        }
        for view in &response.views {
            match self.tenants.get_mut(&view.tenant) {
                Some(tenant) => tenant.view = Some(*view),
                None => {
                    self.others.insert(view.tenant, *view);
                }
            }
        }
        self.tenants.retain(|_, tenant| tenant.is_active());
    }

    /// Restores the last report's admissions after a failed exchange. They are reported again, though
    /// they may have been applied.
    pub fn report_failed(&mut self) {
        for tenant in self.tenants.values_mut() {
            tenant.pending += std::mem::take(&mut tenant.in_flight);
        }
    }
}
