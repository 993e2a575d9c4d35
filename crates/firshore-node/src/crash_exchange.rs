//! Exchanges reports of crashed back ends: a node exchanges with one relay, and relays with each other.
//!
//! No call is made while there are no crashes. Otherwise a relay's responses to other queries carry the cursor
//! of its crash table, from which a node detects that it lacks entries, or that a restarted relay lacks some.

use crate::journal::PeerClient;
use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::registry::Registry;
use crate::relay::ranking;
use firshore_crashes::report::TableCursor;
use firshore_crashes::sync::CrashSync;
use firshore_gateway::crash_monitor::CrashMonitor;
use firshore_types::ids::{NodeName, ZoneName};
use futures_util::future::join_all;
use slog::{Logger, info};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Timeout of a relay's response; the next relay is queried after it.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Minimum interval between rounds, which combines the requests that one back end loses at the same time.
const MIN_INTERVAL: Duration = Duration::from_millis(20);

/// Interval after which a report that got no response is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between removals of expired entries.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(10);

/// Maximum queries to one relay in a row: one report holds only a section of a large table.
const MAX_QUERIES: usize = 16;

/// Exchanges a node's crash table with relays.
pub struct CrashExchange {
    node: NodeName,
    zone: ZoneName,
    crashes: Rc<CrashMonitor>,
    registry: Rc<Registry>,
    peers: PeerClient,
    log: Logger,
    sync: RefCell<CrashSync>,
    /// Relays whose tables differ from this node's copy of them.
    differing_relays: RefCell<BTreeSet<NodeName>>,
    /// Notified when a differing relay was added.
    relay_differs: Notify,
    /// Position of the local table up to which a relay has received it.
    sent_position: Cell<u64>,
    /// Whether the nodes were listed since the first crash: relays may have started since an earlier listing.
    nodes_listed: Cell<bool>,
    /// Whether the failure to reach any relay was logged; it is logged once until a relay responds.
    failure_logged: Cell<bool>,
}

impl CrashExchange {
    /// Creates the exchange for `node` in `zone`.
    pub fn new(
        node: NodeName,
        zone: ZoneName,
        crashes: Rc<CrashMonitor>,
        registry: Rc<Registry>,
        peers: PeerClient,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            zone,
            crashes,
            registry,
            peers,
            log,
            sync: RefCell::default(),
            differing_relays: RefCell::default(),
            relay_differs: Notify::new(),
            sent_position: Cell::new(0),
            nodes_listed: Cell::new(false),
            failure_logged: Cell::new(false),
        })
    }

    /// Updates the cursor of a relay's table from one of its responses.
    pub fn update_cursor(&self, relay: &NodeName, cursor: Option<TableCursor>) {
        let table = self.crashes.table();
        if self.sync.borrow().differs(relay, cursor, &table) {
            self.differing_relays.borrow_mut().insert(relay.clone());
            self.relay_differs.notify_one();
        }
    }

    /// Runs until the node stops.
    pub async fn run(self: Rc<Self>) {
        loop {
            let is_idle =
                self.crashes.table().is_empty() && self.differing_relays.borrow().is_empty();
            let wait = match (is_idle, self.has_unsent()) {
                (_, true) => RETRY_INTERVAL,
                (true, false) => Duration::MAX,
                (false, false) => CLEANUP_INTERVAL,
            };
            tokio::select! {
                () = self.crashes.table_changed.notified() => {}
                () = self.relay_differs.notified() => {}
                () = actix_rt::time::sleep(wait) => {}
            }
            self.crashes.forget_old();
            self.exchange().await;
            actix_rt::time::sleep(MIN_INTERVAL).await;
        }
    }

    /// Returns the other relays if this node is a relay, none otherwise.
    fn other_relays(&self) -> Vec<NodeName> {
        let relays = ranking::relays(&self.registry.candidates());
        let relays: Vec<NodeName> = relays.into_values().flatten().collect();
        match relays.contains(&self.node) {
            true => relays
                .into_iter()
                .filter(|relay| *relay != self.node)
                .collect(),
            false => Vec::new(),
        }
    }

    /// Returns whether the nodes have to be listed: a relay needs all other relays, another node at least one.
    /// Listing queries the object store, which not every node should do whenever a back end crashes.
    fn needs_listing(&self) -> bool {
        let candidates = self.registry.candidates();
        let has_disk = candidates
            .iter()
            .any(|candidate| candidate.node == self.node);
        !self.nodes_listed.get() && (has_disk || candidates.is_empty())
    }

    /// Returns whether another relay, or any relay if this node is none, lacks entries of the local table.
    fn has_unsent(&self) -> bool {
        let table = self.crashes.table();
        let relays = self.other_relays();
        if relays.is_empty() {
            return self.sent_position.get() < table.cursor().position;
        }
        let sync = self.sync.borrow();
        let mut relays = relays.iter();
        relays.any(|relay| sync.has_unreported(relay, &table))
    }

    /// Exchanges with relays whose tables differ and with those that lack entries.
    async fn exchange(&self) {
        if !self.crashes.table().is_empty() && self.needs_listing() {
            self.nodes_listed.set(self.registry.refresh().await);
        }
        let differing = std::mem::take(&mut *self.differing_relays.borrow_mut());
        let mut relays: Vec<NodeName> = differing.into_iter().collect();
        relays.extend(self.lagging_relays());
        relays.sort();
        relays.dedup();
        join_all(relays.iter().map(|relay| self.sync_with(relay))).await;
        if self.other_relays().is_empty() && self.has_unsent() {
            self.sync_with_any().await;
        }
    }

    /// Returns the other relays that lack entries of the local table.
    fn lagging_relays(&self) -> Vec<NodeName> {
        let table = self.crashes.table();
        let sync = self.sync.borrow();
        let relays = self.other_relays().into_iter();
        relays
            .filter(|relay| sync.has_unreported(relay, &table))
            .collect()
    }

    /// Exchanges with the first relay that responds.
    async fn sync_with_any(&self) {
        let candidates = self.registry.candidates();
        for relay in ranking::order(&candidates, &self.zone, &self.node) {
            if self.sync_with(&relay).await {
                self.failure_logged.set(false);
                return;
            }
        }
        if !self.failure_logged.replace(true) {
            info!(self.log, "crash: No relay responded.");
        }
    }

    /// Exchanges entries with a relay until neither side has more, at most [`MAX_QUERIES`] times. Returns
    /// whether the relay responded to all queries.
    async fn sync_with(&self, relay: &NodeName) -> bool {
        for _ in 0..MAX_QUERIES {
            let Some(is_synced) = self.query(relay).await else {
                return false;
            };
            if is_synced {
                break;
            }
        }
        true
    }

    /// Sends one query. Returns whether neither side has more entries, or `None` if there was no response.
    async fn query(&self, relay: &NodeName) -> Option<bool> {
        let address = self.registry.address(relay)?;
        let now = firshore_clock::now().into_std();
        let query = self
            .sync
            .borrow()
            .request(now, relay, &self.crashes.table());
        let position = query.report.position;
        let call = self.peers.call(address, PeerRequest::Crashes(query));
        let Ok(Ok(PeerResponse::Crashes(response))) = timeout(RESPONSE_TIMEOUT, call).await else {
            return None;
        };
        let mut sync = self.sync.borrow_mut();
        self.crashes
            .apply_response(&mut sync, relay, position, &response);
        let table = self.crashes.table();
        let is_sent = !sync.has_unreported(relay, &table);
        if is_sent {
            self.sent_position.set(table.cursor().position);
        }
        Some(is_sent && response.report.ends.is_empty())
    }
}
