//! Detects requests, and parts of prompts, that crash back ends: distinguishes a process exit from a broken connection,
//! and keeps the crash table that nodes exchange.

use crate::fleet::Fleet;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::Incarnation;
use firshore_crashes::fingerprint::{PartFingerprint, RequestFingerprint};
use firshore_crashes::report::{LostRun, TableCursor};
use firshore_crashes::suspect::Suspect;
use firshore_crashes::sync::{self, CrashSync, CrashSyncRequest, CrashSyncResponse};
use firshore_crashes::table::{CrashTable, Quarantine, Suspicion, TableChange};
use firshore_exchange::exchange;
use firshore_metrics::Counter;
use firshore_types::ids::NodeName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use std::cell::{Ref, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

/// Default time for which the exit of a back end is kept.
const DEFAULT_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum time after a lost run within which the listing must show that the back end has exited.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between checks of the listing.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum time that a request waits for the check of its back end before it is sent to another one. A refused
/// connection shows a crash within a round trip.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of lost runs kept for one back end while it is being checked.
const MAX_PENDING_RUNS: usize = 64;

/// Counters of a monitor.
#[derive(Clone, Debug, Default)]
pub struct CrashCounters {
    /// Back ends that crashed while they ran requests of this node.
    pub ended: Counter,
    /// Suspected requests that were cleared because they completed here.
    pub cleared: Counter,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveQuarantine {
    /// The request, or a part of its prompt.
    pub suspect: Suspect,
    /// Time until the quarantine expires.
    pub time_left: Duration,
}

/// Returns whether connections to an address are refused immediately.
pub type RefusalProbe = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, bool>>;

/// Crash table of this node, and the checks of back ends that lost a run.
pub struct CrashMonitor {
    log: Logger,
    is_refused: RefusalProbe,
    fleet: Rc<RefCell<Fleet>>,
    table: RefCell<CrashTable>,
    /// Lost runs by back end, while it is not known whether the back end has exited.
    pending_runs: RefCell<HashMap<Incarnation, Vec<LostRun>>>,
    /// Notified when the first or the final check of a back end is done.
    settled: Notify,
    /// Notified when the table has changed and should be sent to other nodes.
    pub table_changed: Notify,
    counters: CrashCounters,
}

impl CrashMonitor {
    /// Creates a monitor with an empty table for the back ends in `fleet`. `epoch` is drawn at each start.
    pub fn new(
        log: Logger,
        fleet: Rc<RefCell<Fleet>>,
        epoch: u64,
        counters: CrashCounters,
    ) -> Self {
        let is_refused = Rc::new(|address| exchange::is_refused(address).boxed_local());
        Self::with_probe(log, fleet, epoch, counters, is_refused)
    }

    /// Creates a monitor with another probe for refused connections.
    pub fn with_probe(
        log: Logger,
        fleet: Rc<RefCell<Fleet>>,
        epoch: u64,
        counters: CrashCounters,
        is_refused: RefusalProbe,
    ) -> Self {
        Self {
            log,
            is_refused,
            fleet,
            table: CrashTable::new(epoch, DEFAULT_RETENTION).into(),
            pending_runs: RefCell::default(),
            settled: Notify::new(),
            table_changed: Notify::new(),
            counters,
        }
    }

    /// Sets the time for which the exit of a back end is kept.
    pub fn set_retention(&self, retention: Duration) {
        self.table.borrow_mut().set_retention(retention);
    }

    /// Returns the crash table.
    pub fn table(&self) -> Ref<'_, CrashTable> {
        self.table.borrow()
    }

    /// Returns the position of this node's table; `None` while the table is empty.
    pub fn cursor(&self) -> Option<TableCursor> {
        let table = self.table.borrow();
        (!table.is_empty()).then(|| table.cursor())
    }

    /// Records a run that broke off at a back end, and starts the check whether the back end has exited. Ignores back
    /// ends that have announced that they leave or are no longer listed: these exit as planned.
    pub fn record_lost_run(self: &Rc<Self>, backend: &Backend, run: LostRun) {
        self.check_backend(backend, Some(run));
    }

    /// Like [`Self::record_lost_run`], for a run of a batch item. Items are never what crashes a back end, so that the run
    /// is no evidence against anything; the exit of the back end counts.
    pub fn record_lost_item(self: &Rc<Self>, backend: &Backend) {
        self.check_backend(backend, None);
    }

    fn check_backend(self: &Rc<Self>, backend: &Backend, run: Option<LostRun>) {
        if !self.fleet.borrow().is_staying(&backend.incarnation) {
            return;
        }
        let mut pending_runs = self.pending_runs.borrow_mut();
        let is_new = !pending_runs.contains_key(&backend.incarnation);
        let runs = pending_runs.entry(backend.incarnation.clone()).or_default();
        if runs.len() < MAX_PENDING_RUNS {
            runs.extend(run);
        }
        if is_new {
            let (monitor, backend) = (self.clone(), backend.clone());
            actix_rt::spawn(async move { monitor.confirm_crash(&backend).await });
        }
    }

    /// Checks whether a back end has exited and records it. A broken connection is no evidence: links fail and
    /// connections are reset while the back end runs.
    async fn confirm_crash(&self, backend: &Backend) {
        let evidence = self.find_evidence(backend).await;
        let runs = self.pending_runs.borrow_mut().remove(&backend.incarnation);
        if let Some(evidence) = evidence {
            self.record_crash(backend, evidence, &runs.unwrap_or_default());
        }
        self.settled.notify_waiters();
    }

    /// Returns the evidence that a back end has exited; `None` if there is none within [`CONFIRM_TIMEOUT`].
    async fn find_evidence(&self, backend: &Backend) -> Option<&'static str> {
        if (self.is_refused)(backend.address).await {
            return Some("connection refused");
        }
        self.settled.notify_waiters();
        let until = Instant::now() + CONFIRM_TIMEOUT;
        while Instant::now() < until {
            if self.fleet.borrow().has_started_again(&backend.incarnation) {
                return Some("restarted");
            }
            if self.fleet.borrow().has_successor(backend) {
                return Some("address taken over");
            }
            actix_rt::time::sleep(CONFIRM_INTERVAL).await;
        }
        None
    }

    fn record_crash(&self, backend: &Backend, evidence: &'static str, runs: &[LostRun]) {
        self.counters.ended.inc();
        warn!(self.log, "crash: Back end crashed."; "backend" => %backend.incarnation,
            "evidence" => evidence, "lost" => runs.len());
        let now = firshore_clock::now().into_std();
        let changes = self
            .table
            .borrow_mut()
            .record_exit(now, &backend.incarnation, runs);
        self.apply_changes(&changes);
        for run in runs {
            let Suspicion { exits, occasions } = self.suspicion(&run.fingerprint);
            let parts = run
                .parts
                .iter()
                .filter(|part| self.suspicion(*part).exits > 0);
            let parts: Vec<String> = parts
                .map(|part| format!("{part}:{}", self.suspicion(part).exits))
                .collect();
            info!(self.log, "crash: Request suspected."; "print" => %run.fingerprint,
                "backend" => %backend.incarnation, "reached_bytes" => run.reached, "ends" => exits,
                "occasions" => occasions, "parts_and_ends" => parts.join(" "));
        }
        self.table_changed.notify_one();
    }

    /// Waits, for a limited time, until a check of the back end is done.
    pub async fn settled(&self, backend: &Incarnation) {
        let settled = self.settled.notified();
        if self.pending_runs.borrow().contains_key(backend) {
            let _ = timeout(SETTLE_TIMEOUT, settled).await;
        }
    }

    /// Returns whether any request is suspected as a whole. Fingerprints are needed only then.
    pub fn suspects_requests(&self) -> bool {
        self.table.borrow().suspects_requests()
    }

    /// Returns the position of the table if any part of prompts is suspected. Fingerprints of parts are needed only
    /// then, and again only when it has changed.
    pub fn suspected_parts(&self) -> Option<u64> {
        let table = self.table.borrow();
        table.suspects_parts().then(|| table.cursor().position)
    }

    /// Returns whether any request is quarantined as a whole.
    pub fn has_quarantined_requests(&self) -> bool {
        self.table.borrow().has_quarantined_requests()
    }

    /// Returns whether any part of prompts is quarantined.
    pub fn has_quarantined_parts(&self) -> bool {
        self.table.borrow().has_quarantined_parts()
    }

    /// Returns the quarantine of a request or part; `None` if it is not quarantined.
    pub fn quarantine(&self, suspect: Suspect) -> Option<ActiveQuarantine> {
        let now = firshore_clock::now().into_std();
        let table = self.table.borrow();
        let quarantine = table.quarantine(&suspect)?;
        Some(ActiveQuarantine {
            suspect,
            time_left: table.time_left(now, quarantine),
        })
    }

    /// Returns the exits of back ends that are attributed to a request or part.
    pub fn suspicion<S: Copy + Into<Suspect>>(&self, suspect: &S) -> Suspicion {
        self.table.borrow().suspicion(suspect)
    }

    /// Records that a request has completed, which clears it of suspicion.
    pub fn record_completion(&self, fingerprint: RequestFingerprint) {
        self.clear([fingerprint.into()]);
    }

    /// Records that a run with these parts in its prompt got past its first event, which clears them of suspicion.
    pub fn record_begun(&self, parts: &[PartFingerprint]) {
        self.clear(parts.iter().map(Suspect::from));
    }

    fn clear(&self, cleared: impl IntoIterator<Item = Suspect>) {
        let suspected = cleared.into_iter();
        let suspected = suspected.filter(|suspect| self.suspicion(suspect).exits > 0);
        let suspected: Vec<Suspect> = suspected.collect();
        if suspected.is_empty() {
            return;
        }
        for suspect in &suspected {
            self.counters.cleared.inc();
            match suspect {
                Suspect::Request(_) => {
                    info!(self.log, "crash: Request cleared."; "print" => %suspect)
                }
                Suspect::Part(_) => info!(self.log, "crash: Part cleared."; "print" => %suspect),
            }
        }
        let now = firshore_clock::now().into_std();
        let changes = self.table.borrow_mut().clear(now, suspected);
        self.apply_changes(&changes);
        self.table_changed.notify_one();
    }

    /// Applies a peer's request to exchange tables and returns the response.
    pub fn handle_request(&self, request: &CrashSyncRequest) -> CrashSyncResponse {
        let now = firshore_clock::now().into_std();
        let before = self.table.borrow().cursor();
        let (response, changes) = sync::respond(&mut self.table.borrow_mut(), now, request);
        self.apply_changes(&changes);
        if self.table.borrow().cursor() != before {
            self.table_changed.notify_one();
        }
        response
    }

    /// Applies a peer's response to a request that contained this node's table up to `sent_through`.
    pub fn apply_response(
        &self,
        sync: &mut CrashSync,
        peer: &NodeName,
        sent_through: u64,
        response: &CrashSyncResponse,
    ) {
        let now = firshore_clock::now().into_std();
        let mut table = self.table.borrow_mut();
        let changes = sync.apply_response(now, peer, sent_through, response, &mut table);
        drop(table);
        self.apply_changes(&changes);
    }

    /// Removes expired entries from the table.
    pub fn forget_old(&self) {
        let now = firshore_clock::now().into_std();
        let changes = self.table.borrow_mut().remove_expired(now);
        self.apply_changes(&changes);
    }

    fn exclude(&self, backend: &Incarnation) {
        let now = std::time::Instant::now();
        self.fleet.borrow_mut().record_exit(now, backend);
    }

    fn apply_changes(&self, changes: &[TableChange]) {
        let now = firshore_clock::now().into_std();
        for change in changes {
            match change {
                TableChange::Quarantined(suspect, quarantine) => {
                    self.log_quarantine(now, suspect, quarantine);
                }
                // The entry of an exited back end stays for some seconds. Without this, every node would send
                // requests there until its own requests fail.
                TableChange::BackendExited(backend) => {
                    self.exclude(backend);
                }
                TableChange::Released(Suspect::Request(request)) => {
                    info!(self.log, "crash: Request released from quarantine."; "print" => %request);
                }
                TableChange::Released(Suspect::Part(part)) => {
                    info!(self.log, "crash: Part released from quarantine."; "print" => %part);
                }
            }
        }
    }

    fn log_quarantine(&self, now: std::time::Instant, suspect: &Suspect, quarantine: &Quarantine) {
        let backends = quarantine.backends.iter().map(ToString::to_string);
        let backends = backends.collect::<Vec<String>>().join(" ");
        let age = now.saturating_duration_since(quarantine.last_exit);
        let age = age.as_millis() as u64;
        match suspect {
            Suspect::Request(request) => {
                warn!(self.log, "crash: Request quarantined."; "print" => %request,
                    "backends" => backends, "last_end_age_ms" => age);
            }
            Suspect::Part(part) => {
                warn!(self.log, "crash: Part quarantined."; "print" => %part,
                    "backends" => backends, "last_end_age_ms" => age);
            }
        }
    }
}
