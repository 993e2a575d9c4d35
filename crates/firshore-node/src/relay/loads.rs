//! Aggregates reports of requests in flight at back ends: nodes of a zone report to a relay, the
//! relay reports the sums to the journal's leader and returns to each node the load of all others.
//!
//! The leader's work therefore grows with the number of relays, not of nodes, and a node's view is
//! as old as two short exchanges.

use crate::journal::client::{JournalClient, LoadResponse};
use crate::load_table::{BackendCount, LoadTable, NodeLoadReport, as_counts};
use crate::pace_table::{BackendPace, PaceSource, PaceTable};
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::pressure::PressureCounter;
use firshore_limits::relay::UsageRelay;
use firshore_limits::report::UsageResponse;
use firshore_limits::slow_start::{PermitGrant, PermitPool};
use firshore_types::ids::NodeName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval between two exchanges with the leader.
const LEADER_INTERVAL: Duration = Duration::from_millis(15);

/// Shorter interval for when nodes find no free slot, or the last exchange failed.
const URGENT_INTERVAL: Duration = Duration::from_millis(10);

/// Age above which the leader's report is no longer passed on; nodes then report to the leader
/// directly.
const MAX_VIEW_AGE: Duration = Duration::from_millis(800);

/// Maximum number of permits for cold back ends in one response: the nodes of the zone share them.
const MAX_GRANTS: usize = 1;

/// A relay's response to a load report.
#[derive(Debug)]
pub struct RelayedLoad {
    /// Requests in flight at each back end, of all other nodes.
    pub others: Vec<BackendCount>,
    /// Age of the leader's report that this rests on.
    pub age: Duration,
    /// Number of nodes that report to this relay.
    pub nodes: usize,
    /// Remaining limits of tenants, for a node that reported their use.
    pub usage: Option<UsageResponse>,
    /// Paces of back ends that others reported since this node's last report.
    pub paces: Vec<BackendPace>,
    /// Permits for requests to cold back ends.
    pub permits: Vec<PermitGrant>,
}

/// The load last received from the leader.
struct FleetView {
    /// Requests of all nodes that don't report to this relay.
    counts: HashMap<BackendName, u32>,
    at: Instant,
}

/// Aggregates the load reports of nodes and exchanges the sums with the leader.
pub struct LoadRelay {
    table: RefCell<LoadTable>,
    view: RefCell<Option<FleetView>>,
    /// Paces of back ends, reported by these nodes and by the leader.
    paces: RefCell<PaceTable>,
    /// Pressure of these nodes' online requests, not yet reported to the leader.
    pressure: RefCell<PressureCounter>,
    /// Use of limits by these nodes' tenants, and what remains.
    uses: RefCell<UsageRelay>,
    /// Permits for requests to cold back ends, from the leader.
    permits: RefCell<PermitPool>,
    /// Whether a node reported that tenants have limits.
    has_limits: Cell<bool>,
    reported: Notify,
    crowded: Notify,
    /// Notified when use of limits has to be reported at once.
    limits_urgent: Notify,
}

impl LoadRelay {
    /// Creates a relay without reports. Rates of tenants are counted over `rate_span`.
    pub fn new(rate_span: Duration) -> Self {
        Self {
            table: RefCell::default(),
            view: RefCell::default(),
            paces: RefCell::default(),
            pressure: RefCell::default(),
            uses: UsageRelay::new(rate_span).into(),
            permits: RefCell::default(),
            has_limits: Cell::default(),
            reported: Notify::new(),
            crowded: Notify::new(),
            limits_urgent: Notify::new(),
        }
    }

    /// Records a node's report and returns the load of all others; `None` while the leader's report
    /// is missing or too old.
    pub fn exchange(
        &self,
        now: Instant,
        node: NodeName,
        report: NodeLoadReport,
    ) -> Option<RelayedLoad> {
        let mut table = self.table.borrow_mut();
        table.record(now, node.clone(), report.counts);
        let client = PaceSource::Node(node.clone());
        let mut paces = self.paces.borrow_mut();
        paces.record(now, &client, report.paces);
        self.reported.notify_one();
        if report.urgent {
            self.crowded.notify_one();
        }
        let view = self.view.borrow();
        let view = view.as_ref()?;
        let age = now.saturating_duration_since(view.at);
        if age > MAX_VIEW_AGE {
            // The node now reports to the leader directly: counted here too, its pressure and its
            // tenants' use would count twice.
            return None;
        }
        self.pressure.borrow_mut().add_reported(&report.pressures);
        let usage = report.uses.map(|uses| {
            self.has_limits.set(true);
            let mut relayed = self.uses.borrow_mut();
            let usage = relayed.apply_report(now, &node, &uses);
            if relayed.is_report_due() {
                self.limits_urgent.notify_one();
            }
            usage
        });
        let mut others = table.others(&node);
        for (backend, count) in &view.counts {
            *others.entry(backend.clone()).or_default() += count;
        }
        Some(RelayedLoad {
            others: as_counts(others),
            age,
            nodes: table.nodes(),
            usage,
            paces: paces.take_updates(now, &client),
            permits: self.permits.borrow_mut().grant(now, MAX_GRANTS),
        })
    }

    /// Returns the report for the leader, if any node reported recently. Pressure is reported only
    /// once.
    pub fn sums_to_report(&self, now: Instant, urgent: bool) -> Option<NodeLoadReport> {
        let counts = self.sums(now);
        let mut uses = self.uses.borrow_mut();
        // Tenants' use by nodes that no longer report is still reported until it has expired.
        if counts.is_none() && uses.is_empty() {
            return None;
        }
        Some(NodeLoadReport {
            counts: counts.unwrap_or_default(),
            urgent,
            pressures: self.pressure.borrow_mut().take(),
            uses: self.has_limits.get().then(|| uses.report(now)),
            paces: self
                .paces
                .borrow_mut()
                .take_updates(now, &PaceSource::Leader),
        })
    }

    /// Applies the leader's response to a report sent at `queried_at`; `None` if there was no
    /// response.
    fn record_response(&self, queried_at: Instant, response: Option<LoadResponse>) {
        let mut uses = self.uses.borrow_mut();
        let Some(others) = response else {
            uses.report_failed();
            return;
        };
        match &others.usage {
            Some(usage) => uses.apply_response(usage),
            None => uses.report_failed(),
        }
        drop(uses);
        let mut paces = self.paces.borrow_mut();
        paces.record(queried_at, &PaceSource::Leader, others.paces);
        drop(paces);
        let mut permits = self.permits.borrow_mut();
        for grant in others.permits {
            permits.add(grant.accept(queried_at));
        }
        drop(permits);
        self.record_leader_report(queried_at, others.counts);
    }

    /// Records the load received from the leader at a time.
    pub fn record_leader_report(&self, at: Instant, counts: HashMap<BackendName, u32>) {
        *self.view.borrow_mut() = Some(FleetView { counts, at });
    }

    /// Returns the sums of recent reports; `None` if there are none.
    pub fn sums(&self, now: Instant) -> Option<Vec<BackendCount>> {
        let mut table = self.table.borrow_mut();
        table.remove_expired(now);
        (table.nodes() > 0).then(|| as_counts(table.sums().clone()))
    }

    /// Exchanges sums with the leader while nodes report, until the node ends. Pauses while this
    /// node is the leader (`leads`), as the others then report to it directly.
    pub async fn run(self: Rc<Self>, journal: Rc<JournalClient>, leads: impl Fn() -> bool) {
        let mut urgent = false;
        loop {
            let queried_at = firshore_clock::now().into_std();
            let sums = match leads() {
                true => None,
                false => self.sums_to_report(queried_at, urgent),
            };
            let Some(sums) = sums else {
                self.reported.notified().await;
                continue;
            };
            let response = journal.report_to_leader(sums, true).await;
            let interval = match response {
                Some(_) => LEADER_INTERVAL,
                None => URGENT_INTERVAL,
            };
            self.record_response(queried_at, response);
            actix_rt::time::sleep(URGENT_INTERVAL).await;
            let rest = interval - URGENT_INTERVAL;
            urgent = tokio::select! {
                () = self.crowded.notified() => true,
                () = self.limits_urgent.notified() => false,
                () = actix_rt::time::sleep(rest) => false,
            };
        }
    }
}
