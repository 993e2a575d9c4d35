//! Requests under way at back ends, gathered by a relay: nodes of its zone tell it, it tells the
//! journal's leader their sums, and tells each node what all others have.
//!
//! So what the leader does grows with the number of relays, not with the number of nodes, and a node's
//! picture is as old as two short exchanges.

use crate::journal::client::{JournalClient, LoadResponse};
use crate::load_table::{BackendCount, LoadTable, NodeLoadReport, as_counts};
use crate::pace_table::{BackendPace, PaceSource, PaceTable};
use firshore_adapter::incarnation::BackendName;
use firshore_gateway::pressure::PressureCounter;
use firshore_limits::relay::UsageRelay;
use firshore_limits::report::UsageResponse;
use firshore_types::ids::NodeName;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Time between two exchanges with the leader.
const LEADER_INTERVAL: Duration = Duration::from_millis(15);

/// The same where nodes find no free slot, or the last exchange failed.
const URGENT_INTERVAL: Duration = Duration::from_millis(10);

/// Age at which what the leader told is not passed on any more: nodes ask the leader themselves.
const LONGEST_AGE: Duration = Duration::from_millis(800);

/// What a relay tells a node.
#[derive(Debug)]
pub struct RelayedLoad {
    /// Requests that all others have under way at each back end.
    pub others: Vec<BackendCount>,
    /// Age of what the leader told.
    pub age: Duration,
    /// Nodes that tell this relay.
    pub nodes: usize,
    /// What tenants may still ask, for a node that told what they have.
    pub news: Option<UsageResponse>,
    /// What back ends told others of their pace since the node asked last.
    pub paces: Vec<BackendPace>,
}

/// What the leader told last.
struct FleetPicture {
    /// Requests of all nodes that do not tell this relay.
    counts: HashMap<BackendName, u32>,
    at: Instant,
}

/// Loads of the nodes that tell this one.
pub struct LoadRelay {
    table: RefCell<LoadTable>,
    picture: RefCell<Option<FleetPicture>>,
    /// What back ends told these nodes, and all others, of their pace.
    paces: RefCell<PaceTable>,
    /// How online requests of these nodes pressed, until the leader is told.
    pressure: RefCell<PressureCounter>,
    /// What tenants have asked these nodes, and may still ask.
    uses: RefCell<UsageRelay>,
    /// Whether a node told that tenants have limits.
    limits: Cell<bool>,
    told: Notify,
    crowded: Notify,
    /// Woken when what tenants have asked has to be told at once.
    limits_pressing: Notify,
}

impl LoadRelay {
    /// Nothing was told yet. Rates of tenants are counted over `rate_span`.
    pub fn new(rate_span: Duration) -> Self {
        Self {
            table: RefCell::default(),
            picture: RefCell::default(),
            paces: RefCell::default(),
            pressure: RefCell::default(),
            uses: UsageRelay::new(rate_span).into(),
            limits: Cell::default(),
            told: Notify::new(),
            crowded: Notify::new(),
            limits_pressing: Notify::new(),
        }
    }

    /// Takes in what a node has under way. Returns what all others have; `None` while the leader's
    /// picture is missing or old.
    pub fn exchange(
        &self,
        now: Instant,
        node: NodeName,
        told: NodeLoadReport,
    ) -> Option<RelayedLoad> {
        let mut table = self.table.borrow_mut();
        table.record(now, node.clone(), told.counts);
        let asker = PaceSource::Node(node.clone());
        let mut paces = self.paces.borrow_mut();
        paces.record(now, &asker, told.paces);
        self.told.notify_one();
        if told.urgent {
            self.crowded.notify_one();
        }
        let picture = self.picture.borrow();
        let picture = picture.as_ref()?;
        let age = now.saturating_duration_since(picture.at);
        if age > LONGEST_AGE {
            // The node tells the leader itself: what its tenants have asked counts once.
            return None;
        }
        self.pressure.borrow_mut().add_reported(&told.pressures);
        let news = told.uses.map(|uses| {
            self.limits.set(true);
            let mut relayed = self.uses.borrow_mut();
            let news = relayed.apply_report(now, &node, &uses);
            if relayed.is_report_due() {
                self.limits_pressing.notify_one();
            }
            news
        });
        let mut others = table.others(&node);
        for (backend, count) in &picture.counts {
            *others.entry(backend.clone()).or_default() += count;
        }
        Some(RelayedLoad {
            others: as_counts(others),
            age,
            nodes: table.nodes(),
            news,
            paces: paces.take_updates(now, &asker),
        })
    }

    /// Returns what is to be told to the leader, if any node told a moment ago. How requests press is not told
    /// again.
    pub fn sums_to_report(&self, now: Instant, urgent: bool) -> Option<NodeLoadReport> {
        let counts = self.sums(now);
        let mut uses = self.uses.borrow_mut();
        // Shares of nodes that tell no more are told until nothing of them is left.
        if counts.is_none() && uses.is_empty() {
            return None;
        }
        Some(NodeLoadReport {
            counts: counts.unwrap_or_default(),
            urgent,
            pressures: self.pressure.borrow_mut().take(),
            uses: self.limits.get().then(|| uses.report(now)),
            paces: self
                .paces
                .borrow_mut()
                .take_updates(now, &PaceSource::Leader),
        })
    }

    /// Takes in the leader's answer to what was told at a moment, or that there was none.
    fn answered(&self, asked_at: Instant, told: Option<LoadResponse>) {
        let mut uses = self.uses.borrow_mut();
        let Some(others) = told else {
            uses.report_failed();
            return;
        };
        match &others.usage {
            Some(news) => uses.apply_response(news),
            None => uses.report_failed(),
        }
        drop(uses);
        let mut paces = self.paces.borrow_mut();
        paces.record(asked_at, &PaceSource::Leader, others.paces);
        drop(paces);
        self.record_leader_report(asked_at, others.counts);
    }

    /// Takes in what the leader told at a moment.
    pub fn record_leader_report(&self, at: Instant, counts: HashMap<BackendName, u32>) {
        *self.picture.borrow_mut() = Some(FleetPicture { counts, at });
    }

    /// Returns the sums of what nodes told a moment ago; `None` if none did.
    pub fn sums(&self, now: Instant) -> Option<Vec<BackendCount>> {
        let mut table = self.table.borrow_mut();
        table.forget_old(now);
        (table.nodes() > 0).then(|| as_counts(table.sums().clone()))
    }

    /// Exchanges sums with the leader for as long as nodes tell theirs, until the node ends. A node that
    /// `leads` is told by the others itself.
    pub async fn run(self: Rc<Self>, journal: Rc<JournalClient>, leads: impl Fn() -> bool) {
        let mut urgent = false;
        loop {
            let asked_at = firshore_clock::now().into_std();
            let sums = match leads() {
                true => None,
                false => self.sums_to_report(asked_at, urgent),
            };
            let Some(sums) = sums else {
                self.told.notified().await;
                continue;
            };
            let told = journal.report_to_leader(sums, true).await;
            let interval = match told {
                Some(_) => LEADER_INTERVAL,
                None => URGENT_INTERVAL,
            };
            self.answered(asked_at, told);
            actix_rt::time::sleep(URGENT_INTERVAL).await;
            let rest = interval - URGENT_INTERVAL;
            urgent = tokio::select! {
                () = self.crowded.notified() => true,
                () = self.limits_pressing.notified() => false,
                () = actix_rt::time::sleep(rest) => false,
            };
        }
    }
}
