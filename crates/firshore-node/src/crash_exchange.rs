//! Spreads what nodes saw of back ends that ended: a node tells a relay and asks it, relays tell each other.
//!
//! On a calm day there is nothing to tell: no call is made. While anything is known, a relay's answers to
//! other questions tell how far its table is, so that a node that lacks something, or knows more than a relay
//! that has started again, notices with the next answer.

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

/// Longest wait for a relay's answer: another one is asked then.
const ANSWER_TIME: Duration = Duration::from_millis(400);

/// Shortest time between two rounds: several requests are lost at the same moment at one back end.
const SPACING: Duration = Duration::from_millis(20);

/// Time after which a relay is told again that gave no answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// Time between looks for what is too old to be kept.
const TIDY_INTERVAL: Duration = Duration::from_secs(10);

/// Questions to one relay in a row: a report holds a part of a large table.
const MOST_QUESTIONS: usize = 16;

/// Who tells and asks, and whom.
pub struct CrashExchange {
    node: NodeName,
    zone: ZoneName,
    crashes: Rc<CrashMonitor>,
    registry: Rc<Registry>,
    peers: PeerClient,
    log: Logger,
    sync: RefCell<CrashSync>,
    /// Relays whose tables differ from what is known of them.
    differing: RefCell<BTreeSet<NodeName>>,
    /// Woken when there is one more.
    differs: Notify,
    /// Position of the own table up to which some relay was told.
    told: Cell<u64>,
    /// Whether the nodes were listed since there was something to tell: relays may have started later.
    listed: Cell<bool>,
    /// Whether no relay has answered since the last one did: that is logged once.
    unheard: Cell<bool>,
}

impl CrashExchange {
    /// Tells on behalf of `node` in `zone`.
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
            differing: RefCell::default(),
            differs: Notify::new(),
            told: Cell::new(0),
            listed: Cell::new(false),
            unheard: Cell::new(false),
        })
    }

    /// Takes in how far a relay's table is, as an answer of it told.
    pub fn update_cursor(&self, relay: &NodeName, cursor: Option<TableCursor>) {
        let table = self.crashes.table();
        if self.sync.borrow().differs(relay, cursor, &table) {
            self.differing.borrow_mut().insert(relay.clone());
            self.differs.notify_one();
        }
    }

    /// Runs until the node ends.
    pub async fn run(self: Rc<Self>) {
        loop {
            let is_calm = self.crashes.table().is_empty() && self.differing.borrow().is_empty();
            let wait = match (is_calm, self.has_to_tell()) {
                (_, true) => RETRY_INTERVAL,
                (true, false) => Duration::MAX,
                (false, false) => TIDY_INTERVAL,
            };
            tokio::select! {
                () = self.crashes.table_changed.notified() => {}
                () = self.differs.notified() => {}
                () = actix_rt::time::sleep(wait) => {}
            }
            self.crashes.forget_old();
            self.exchange().await;
            actix_rt::time::sleep(SPACING).await;
        }
    }

    /// Relays to which this one passes on what it knows; none where this node is no relay.
    fn fellows(&self) -> Vec<NodeName> {
        let relays = ranking::relays(&self.registry.candidates());
        let relays: Vec<NodeName> = relays.into_values().flatten().collect();
        match relays.contains(&self.node) {
            true => relays.into_iter().filter(|one| *one != self.node).collect(),
            false => Vec::new(),
        }
    }

    /// Relays have to know all others, and other nodes some relay. A listing is a call of the store, which not
    /// every node is to make whenever a back end ends.
    fn has_to_list(&self) -> bool {
        let candidates = self.registry.candidates();
        let has_disk = candidates.iter().any(|one| one.node == self.node);
        !self.listed.get() && (has_disk || candidates.is_empty())
    }

    fn has_to_tell(&self) -> bool {
        let table = self.crashes.table();
        let fellows = self.fellows();
        if fellows.is_empty() {
            return self.told.get() < table.cursor().position;
        }
        let sync = self.sync.borrow();
        let mut fellows = fellows.iter();
        fellows.any(|fellow| sync.has_unreported(fellow, &table))
    }

    /// Asks relays whose tables differ, and tells what was not told yet.
    async fn exchange(&self) {
        if !self.crashes.table().is_empty() && self.has_to_list() {
            self.listed.set(self.registry.refresh().await);
        }
        let differing = std::mem::take(&mut *self.differing.borrow_mut());
        let mut asked: Vec<NodeName> = differing.into_iter().collect();
        asked.extend(self.untold_fellows());
        asked.sort();
        asked.dedup();
        join_all(asked.iter().map(|relay| self.ask(relay))).await;
        if self.fellows().is_empty() && self.has_to_tell() {
            self.tell_any().await;
        }
    }

    fn untold_fellows(&self) -> Vec<NodeName> {
        let table = self.crashes.table();
        let sync = self.sync.borrow();
        let fellows = self.fellows().into_iter();
        fellows
            .filter(|one| sync.has_unreported(one, &table))
            .collect()
    }

    /// Tells the first relay that answers.
    async fn tell_any(&self) {
        let candidates = self.registry.candidates();
        for relay in ranking::order(&candidates, &self.zone, &self.node) {
            if self.ask(&relay).await {
                self.unheard.set(false);
                return;
            }
        }
        if !self.unheard.replace(true) {
            info!(self.log, "crash: No relay was told.");
        }
    }

    /// Tells a relay what it was not told, and asks for what it knows, until neither has more. Returns whether
    /// it has answered.
    async fn ask(&self, relay: &NodeName) -> bool {
        for _ in 0..MOST_QUESTIONS {
            let Some(is_even) = self.ask_once(relay).await else {
                return false;
            };
            if is_even {
                break;
            }
        }
        true
    }

    /// Returns whether neither has more to tell; nothing where there was no answer.
    async fn ask_once(&self, relay: &NodeName) -> Option<bool> {
        let address = self.registry.address(relay)?;
        let now = firshore_clock::now().into_std();
        let question = self
            .sync
            .borrow()
            .request(now, relay, &self.crashes.table());
        let told = question.report.position;
        let call = self.peers.call(address, PeerRequest::Crashes(question));
        let Ok(Ok(PeerResponse::Crashes(answer))) = timeout(ANSWER_TIME, call).await else {
            return None;
        };
        let mut sync = self.sync.borrow_mut();
        self.crashes.apply_response(&mut sync, relay, told, &answer);
        let table = self.crashes.table();
        let is_told = !sync.has_unreported(relay, &table);
        if is_told {
            self.told.set(table.cursor().position);
        }
        Some(is_told && answer.report.ends.is_empty())
    }
}
