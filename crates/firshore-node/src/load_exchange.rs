//! Tells a relay what this node has under way at back ends, and learns from its answer what all others
//! have; the journal's leader itself where no relay of its zone is of use.

use crate::journal::client::{JournalClient, LoadResponse};
use crate::load_table::{BackendCount, NodeLoadReport, as_counts};
use crate::pace_table::{as_named, as_paces};
use crate::relay::ranking;
use firshore_gateway::gateway::Gateway;
use firshore_limits::report::UsageReport;
use firshore_types::ids::{NodeName, ZoneName};
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time between exchanges while requests are under way, whatever the leader says: what was
/// told counts for nothing soon after.
const LONGEST_BUSY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Shortest time between exchanges while requests are under way.
const BUSY_INTERVAL: Duration = Duration::from_millis(15);

/// Part of the time between exchanges after which a node may tell again when its requests find no
/// free slot: online requests wait until items have made room.
const URGENT_SHARE: f64 = 0.2;

/// Time between exchanges otherwise.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a relay is passed over that gave no picture.
const RELAY_PAUSE: Duration = Duration::from_millis(1_000);

/// Tells loads on behalf of a node that serves callers.
pub struct LoadExchange {
    gateway: Rc<Gateway>,
    journal: Rc<JournalClient>,
    node: NodeName,
    zone: ZoneName,
    /// Whether the leader has too many nodes to hear each as often as it could tell.
    crowded_leader: Cell<bool>,
    /// Who was told last.
    told_to: RefCell<Option<NodeName>>,
    /// Relays that gave no picture, and until when they are passed over.
    passed_over: RefCell<HashMap<NodeName, Instant>>,
}

impl LoadExchange {
    /// Tells what `gateway` has under way, as `node` in `zone`.
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
            told_to: RefCell::default(),
            passed_over: RefCell::default(),
        }
    }

    /// Runs until the node ends.
    pub async fn run(self) {
        let mut was_busy = false;
        let mut busy_interval = BUSY_INTERVAL;
        let mut urgent = false;
        loop {
            let own = as_counts(self.gateway.fleet.borrow().in_flight());
            let busy = !own.is_empty();
            // An idle node tells so once, then looks from time to time; one that is cut off asks on.
            let cut_off = self.journal.is_isolated();
            let limits = self.gateway.has_limits();
            let tells = busy || was_busy || self.gateway.requests_open() > 0 || cut_off || limits;
            if tells && let Some(others) = self.tell(own, urgent).await {
                busy_interval = others.interval.clamp(BUSY_INTERVAL, LONGEST_BUSY_INTERVAL);
                let apart = busy_interval + others.age;
                let paces = as_named(others.paces);
                let mut fleet = self.gateway.fleet.borrow_mut();
                fleet.apply_remote_paces(Instant::now(), paces);
                drop(fleet);
                self.gateway.apply_remote_load(&others.counts, apart);
            }
            was_busy = busy;
            let interval = match busy {
                true => busy_interval,
                false => IDLE_INTERVAL,
            };
            let least = busy_interval.mul_f64(URGENT_SHARE);
            actix_rt::time::sleep(least).await;
            urgent = self.rest(interval - least).await;
        }
    }

    /// Waits until it is time to tell again. Returns whether requests have found no free slot.
    async fn rest(&self, interval: Duration) -> bool {
        tokio::select! {
            () = self.gateway.crowded.notified() => true,
            () = self.gateway.limits_pressing.notified() => false,
            () = actix_rt::time::sleep(interval) => false,
        }
    }

    /// Tells what is under way and what tenants have asked, and takes in what these may still ask.
    async fn tell(&self, counts: Vec<BackendCount>, urgent: bool) -> Option<LoadResponse> {
        let asked_at = firshore_clock::now().into_std();
        let told = NodeLoadReport {
            counts,
            urgent,
            pressures: self.gateway.pressure.borrow_mut().take(),
            uses: self.gateway.take_usage_report(asked_at),
            paces: as_paces(self.gateway.fleet.borrow_mut().take_unreported_paces()),
        };
        let others = self.exchange(told).await;
        let news = others.as_ref().and_then(|others| {
            let at = asked_at.checked_sub(others.age).unwrap_or(asked_at);
            others.usage.as_ref().map(|news| (at, news))
        });
        self.gateway.apply_usage_report(news);
        others
    }

    async fn exchange(&self, told: NodeLoadReport) -> Option<LoadResponse> {
        let relay = self.relay().filter(|_| self.crowded_leader.get());
        if let Some(relay) = relay {
            if let Some(others) = self.journal.report_to_relay(&relay, told.clone()).await {
                self.note_told(Some(relay), &told);
                return Some(others);
            }
            info!(self.gateway.log, "load: Relay passed over."; "relay" => %relay,
                "pause_ms" => RELAY_PAUSE.as_millis() as u64);
            let until = Instant::now() + RELAY_PAUSE;
            self.passed_over.borrow_mut().insert(relay, until);
        }
        let others = self.journal.report_to_leader(told.clone(), false).await?;
        self.note_told(self.journal.leader(), &told);
        // A few nodes get younger pictures from the leader than through relays.
        self.crowded_leader.set(others.interval > BUSY_INTERVAL);
        Some(others)
    }

    /// Notes who was told. Who was told before and is told no more would count this node twice.
    fn note_told(&self, now_told: Option<NodeName>, told: &NodeLoadReport) {
        let former = self.told_to.replace(now_told.clone());
        let Some(former) = former.filter(|former| Some(former) != now_told.as_ref()) else {
            return;
        };
        let taken_back = NodeLoadReport {
            uses: told.uses.as_ref().map(UsageReport::retraction),
            ..NodeLoadReport::default()
        };
        let journal = self.journal.clone();
        actix_rt::spawn(async move { journal.retract(&former, taken_back).await });
    }

    /// The relay to tell: of this zone, and not passed over.
    fn relay(&self) -> Option<NodeName> {
        let now = Instant::now();
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.retain(|_, until| now < *until);
        let candidates = self.journal.candidates();
        let relays = ranking::local_relays(&candidates, &self.zone, &self.node);
        let mut usable = relays.into_iter();
        usable.find(|relay| !passed_over.contains_key(relay))
    }
}
