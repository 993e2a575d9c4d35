//! Reports this node's requests in flight at back ends to a relay of its zone, and receives the counts of all
//! other nodes in response. Without a usable relay, the node reports to the journal's leader.

use crate::journal::client::{JournalClient, LoadResponse};
use crate::load_table::{BackendCount, NodeLoadReport, as_counts};
use crate::pace_table::{paces_from_wire, paces_to_wire};
use crate::relay::ranking;
use firshore_gateway::gateway::Gateway;
use firshore_limits::report::UsageReport;
use firshore_types::ids::{NodeName, ZoneName};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum interval between exchanges while requests are in flight, whatever interval the leader requests: reports
/// expire soon after it.
const MAX_BUSY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Minimum interval between exchanges while requests are in flight.
const MIN_BUSY_INTERVAL: Duration = Duration::from_millis(15);

/// Fraction of the interval after which a node may report again when its requests find no free slot: they wait
/// until batch items are preempted.
const URGENT_FRACTION: f64 = 0.2;

/// Interval between exchanges while no requests are in flight.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a relay is excluded after it returned no counts.
const RELAY_EXCLUSION: Duration = Duration::from_millis(1_000);

/// Exchanges loads on behalf of a node that serves callers.
pub struct LoadExchange {
    gateway: Rc<Gateway>,
    journal: Rc<JournalClient>,
    node: NodeName,
    zone: ZoneName,
    /// Whether the leader requested an interval above the minimum, because many nodes report to it.
    crowded_leader: Cell<bool>,
    /// Recipient of the last report.
    last_recipient: RefCell<Option<NodeName>>,
    /// Relays that returned no counts, and the end of their exclusion.
    excluded_relays: RefCell<HashMap<NodeName, Instant>>,
}

impl LoadExchange {
    /// Creates the exchange for `gateway`, which runs on `node` in `zone`.
    pub fn new(
        gateway: Rc<Gateway>,
        journal: Rc<JournalClient>,
        node: NodeName,
        zone: ZoneName,
    ) -> Self {
        Self {
            gateway,
            journal,
            node,
            zone,
            crowded_leader: Cell::new(false),
            last_recipient: RefCell::default(),
            excluded_relays: RefCell::default(),
        }
    }

    /// Runs until the node stops.
    pub async fn run(self) {
        let mut was_busy = false;
        let mut busy_interval = MIN_BUSY_INTERVAL;
        let mut urgent = false;
        loop {
            let counts = as_counts(self.gateway.fleet.borrow().in_flight());
            let busy = !counts.is_empty();
            // An idle node reports that once, then stops. Isolated nodes and nodes with tenant limits continue.
            let isolated = self.journal.is_isolated();
            let limits = self.gateway.has_limits();
            let reports =
                busy || was_busy || self.gateway.requests_open() > 0 || isolated || limits;
            let asked_at = Instant::now();
            if reports && let Some(others) = self.report(counts, urgent).await {
                busy_interval = others.interval.clamp(MIN_BUSY_INTERVAL, MAX_BUSY_INTERVAL);
                let view_interval = busy_interval + others.age;
                let paces = paces_from_wire(others.paces);
                let mut fleet = self.gateway.fleet.borrow_mut();
                fleet.apply_remote_paces(Instant::now(), paces);
                let permits = others.permits.into_iter();
                fleet.add_permits(permits.map(|grant| grant.accept(asked_at)));
                drop(fleet);
                self.gateway
                    .apply_remote_load(&others.counts, view_interval);
            }
            was_busy = busy;
            let interval = match busy {
                true => busy_interval,
                false => IDLE_INTERVAL,
            };
            let min_wait = busy_interval.mul_f64(URGENT_FRACTION);
            actix_rt::time::sleep(min_wait).await;
            urgent = self.wait_for_event(interval - min_wait).await;
        }
    }

    /// Waits until the next report is due. Returns whether requests found no free slot.
    async fn wait_for_event(&self, interval: Duration) -> bool {
        tokio::select! {
            () = self.gateway.crowded.notified() => true,
            () = self.gateway.limits_pressing.notified() => false,
            () = actix_rt::time::sleep(interval) => false,
        }
    }

    /// Reports requests in flight and use of tenants' limits, and applies the limits in the response.
    async fn report(&self, counts: Vec<BackendCount>, urgent: bool) -> Option<LoadResponse> {
        let sent_at = firshore_clock::now().into_std();
        let report = NodeLoadReport {
            counts,
            urgent,
            pressures: self.gateway.pressure.borrow_mut().take(),
            uses: self.gateway.take_usage_report(sent_at),
            paces: paces_to_wire(self.gateway.fleet.borrow_mut().take_unreported_paces()),
        };
        let others = self.exchange(report).await;
        let usage = others.as_ref().and_then(|others| {
            let at = sent_at.checked_sub(others.age).unwrap_or(sent_at);
            others.usage.as_ref().map(|usage| (at, usage))
        });
        self.gateway.apply_usage_report(usage);
        others
    }

    async fn exchange(&self, report: NodeLoadReport) -> Option<LoadResponse> {
        let relay = self.relay().filter(|_| self.crowded_leader.get());
        if let Some(relay) = relay {
            if let Some(others) = self.journal.report_to_relay(&relay, report.clone()).await {
                self.set_recipient(Some(relay), &report);
                return Some(others);
            }
            info!(self.gateway.log, "load: Relay excluded."; "relay" => %relay,
                "pause_ms" => RELAY_EXCLUSION.as_millis() as u64);
            let until = Instant::now() + RELAY_EXCLUSION;
            self.excluded_relays.borrow_mut().insert(relay, until);
        }
        let others = self.journal.report_to_leader(report.clone(), false).await?;
        self.set_recipient(self.journal.leader(), &report);
        // With few nodes, the leader's counts are fresher than those through a relay.
        self.crowded_leader.set(others.interval > MIN_BUSY_INTERVAL);
        Some(others)
    }

    /// Sets the recipient of the last report, and retracts the report from a former recipient: this node would be
    /// counted twice otherwise.
    fn set_recipient(&self, recipient: Option<NodeName>, report: &NodeLoadReport) {
        let former = self.last_recipient.replace(recipient.clone());
        let Some(former) = former.filter(|former| Some(former) != recipient.as_ref()) else {
            return;
        };
        let retraction = NodeLoadReport {
            uses: report.uses.as_ref().map(UsageReport::retraction),
            ..NodeLoadReport::default()
        };
        let journal = self.journal.clone();
        actix_rt::spawn(async move { journal.retract(&former, retraction).await });
    }

    /// Returns the first relay of this zone that is not excluded.
    fn relay(&self) -> Option<NodeName> {
        let now = Instant::now();
        let mut excluded_relays = self.excluded_relays.borrow_mut();
        excluded_relays.retain(|_, until| now < *until);
        let candidates = self.journal.candidates();
        let relays = ranking::local_relays(&candidates, &self.zone, &self.node);
        let mut relays = relays.into_iter();
        relays.find(|relay| !excluded_relays.contains_key(relay))
    }
}
