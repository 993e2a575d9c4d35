//! Requests under which back ends end: tells an end from a broken connection, and keeps what all nodes saw.

use crate::fleet::Fleet;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::Incarnation;
use firshore_crashes::fingerprint::RequestFingerprint;
use firshore_crashes::report::{LostRun, TableCursor};
use firshore_crashes::sync::{self, CrashSync, CrashSyncRequest, CrashSyncResponse};
use firshore_crashes::table::{CrashTable, Suspicion, TableChange};
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

/// Time for which an end is kept, unless the settings say otherwise.
const REMEMBER: Duration = Duration::from_secs(3_600);

/// Time within which a back end that broke off must be seen to have ended: its entry goes after some
/// heartbeats, and it is back after some seconds.
const CONFIRM_TIME: Duration = Duration::from_secs(10);

/// Time between looks at the listing meanwhile.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait of a request for whether its back end has ended, before it goes to another one: a refused
/// connection shows it within a round trip.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(50);

/// Requests lost at one back end that wait until it is seen to have ended; more tell nothing new.
const MOST_WAITING: usize = 64;

/// What a monitor counts.
#[derive(Clone, Debug, Default)]
pub struct CrashCounters {
    /// Back ends that ended while they ran requests of this node.
    pub ended: Counter,
    /// Requests that are not suspected any more, as they ran to a good end here.
    pub cleared: Counter,
}

/// Tells whether connections to an address are refused at once.
pub type RefusalProbe = Rc<dyn Fn(SocketAddr) -> LocalBoxFuture<'static, bool>>;

/// What this node knows of requests under which back ends end.
pub struct CrashMonitor {
    log: Logger,
    is_refused: RefusalProbe,
    fleet: Rc<RefCell<Fleet>>,
    table: RefCell<CrashTable>,
    /// Requests lost at back ends of which it is not known whether they have ended.
    waiting: RefCell<HashMap<Incarnation, Vec<LostRun>>>,
    /// Woken when it is known of some back end.
    settled: Notify,
    /// Woken when this node knows what it may have to tell others.
    pub table_changed: Notify,
    counters: CrashCounters,
}

impl CrashMonitor {
    /// A monitor that knows nothing, of back ends that `fleet` lists. `epoch` is drawn at each start.
    pub fn new(
        log: Logger,
        fleet: Rc<RefCell<Fleet>>,
        epoch: u64,
        counters: CrashCounters,
    ) -> Self {
        let is_refused = Rc::new(|address| exchange::is_refused(address).boxed_local());
        Self::with_probe(log, fleet, epoch, counters, is_refused)
    }

    /// The same, with another way to find out whether connections are refused.
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
            table: CrashTable::new(epoch, REMEMBER).into(),
            waiting: RefCell::default(),
            settled: Notify::new(),
            table_changed: Notify::new(),
            counters,
        }
    }

    /// Sets for how long an end is kept.
    pub fn remember_for(&self, remember: Duration) {
        self.table.borrow_mut().set_retention(remember);
    }

    /// Returns what is known.
    pub fn table(&self) -> Ref<'_, CrashTable> {
        self.table.borrow()
    }

    /// Returns how far this node's table is; nothing while nothing stands in it, as on a calm day.
    pub fn cursor(&self) -> Option<TableCursor> {
        let table = self.table.borrow();
        (!table.is_empty()).then(|| table.cursor())
    }

    /// A run of a request broke off at a back end, which may have ended. One that has said that it leaves, or
    /// is not listed any more, ends by its own plan.
    pub fn record_lost_run(self: &Rc<Self>, backend: &Backend, run: LostRun) {
        if !self.fleet.borrow().is_staying(&backend.incarnation) {
            return;
        }
        let mut waiting = self.waiting.borrow_mut();
        let is_new = !waiting.contains_key(&backend.incarnation);
        let runs = waiting.entry(backend.incarnation.clone()).or_default();
        if runs.len() < MOST_WAITING {
            runs.push(run);
        }
        if is_new {
            let (monitor, backend) = (self.clone(), backend.clone());
            actix_rt::spawn(async move { monitor.settle(&backend).await });
        }
    }

    /// Finds out whether a back end has ended. A connection that broke shows it no more than an answer that
    /// is late: links are cut and connections reset while the back end lives.
    async fn settle(&self, backend: &Backend) {
        let evidence = self.find_end(backend).await;
        let runs = self.waiting.borrow_mut().remove(&backend.incarnation);
        if let Some(evidence) = evidence {
            self.ended(backend, evidence, &runs.unwrap_or_default());
        }
        self.settled.notify_waiters();
    }

    /// What shows that a back end has ended, if anything does.
    async fn find_end(&self, backend: &Backend) -> Option<&'static str> {
        if (self.is_refused)(backend.address).await {
            return Some("connection refused");
        }
        self.settled.notify_waiters();
        let until = Instant::now() + CONFIRM_TIME;
        while Instant::now() < until {
            if self.fleet.borrow().has_started_again(&backend.incarnation) {
                return Some("started again");
            }
            if self.fleet.borrow().has_successor(backend) {
                return Some("another at its address");
            }
            actix_rt::time::sleep(CONFIRM_INTERVAL).await;
        }
        None
    }

    fn ended(&self, backend: &Backend, evidence: &'static str, runs: &[LostRun]) {
        self.counters.ended.inc();
        warn!(self.log, "crash: Back end ended."; "backend" => %backend.incarnation,
            "evidence" => evidence, "lost" => runs.len());
        let now = firshore_clock::now().into_std();
        let changes = self
            .table
            .borrow_mut()
            .record_exit(now, &backend.incarnation, runs);
        self.learned(&changes);
        for run in runs {
            let Suspicion { exits, occasions } = self.suspicion(&run.fingerprint);
            info!(self.log, "crash: Request suspected."; "print" => %run.fingerprint,
                "backend" => %backend.incarnation, "reached_bytes" => run.reached, "ends" => exits,
                "occasions" => occasions);
        }
        self.table_changed.notify_one();
    }

    /// Waits until it is known whether a back end has ended, but not for long.
    pub async fn settled(&self, backend: &Incarnation) {
        let settled = self.settled.notified();
        if self.waiting.borrow().contains_key(backend) {
            let _ = timeout(CONFIRM_PATIENCE, settled).await;
        }
    }

    /// Whether any request is suspected: only then it matters what a request asks.
    pub fn suspects_any(&self) -> bool {
        self.table.borrow().suspect_count() > 0
    }

    /// Whether any request is held back.
    pub fn has_quarantined(&self) -> bool {
        self.table.borrow().has_quarantined()
    }

    /// Returns for how long a request is still held back, if it is.
    pub fn quarantined_for(&self, print: &RequestFingerprint) -> Option<Duration> {
        let now = firshore_clock::now().into_std();
        let table = self.table.borrow();
        let verdict = table.quarantine(print)?;
        Some(table.time_left(now, verdict))
    }

    /// Returns what is known against a request.
    pub fn suspicion(&self, print: &RequestFingerprint) -> Suspicion {
        self.table.borrow().suspicion(print)
    }

    /// A request has run to a good end.
    pub fn completed(&self, print: RequestFingerprint) {
        if self.suspicion(&print).exits == 0 {
            return;
        }
        let now = firshore_clock::now().into_std();
        let changes = self.table.borrow_mut().record_completion(now, print);
        self.counters.cleared.inc();
        info!(self.log, "crash: Request cleared."; "print" => %print);
        self.learned(&changes);
        self.table_changed.notify_one();
    }

    /// Answers a node that tells what it knows.
    pub fn handle_request(&self, question: &CrashSyncRequest) -> CrashSyncResponse {
        let now = firshore_clock::now().into_std();
        let before = self.table.borrow().cursor();
        let (answer, changes) = sync::respond(&mut self.table.borrow_mut(), now, question);
        self.learned(&changes);
        if self.table.borrow().cursor() != before {
            self.table_changed.notify_one();
        }
        answer
    }

    /// Takes in a peer's answer to a question that told this node's table up to `told`.
    pub fn apply_response(
        &self,
        sync: &mut CrashSync,
        peer: &NodeName,
        told: u64,
        answer: &CrashSyncResponse,
    ) {
        let now = firshore_clock::now().into_std();
        let mut table = self.table.borrow_mut();
        let changes = sync.apply_response(now, peer, told, answer, &mut table);
        drop(table);
        self.learned(&changes);
    }

    /// Forgets what is older than it is to be kept.
    pub fn forget_old(&self) {
        let now = firshore_clock::now().into_std();
        let changes = self.table.borrow_mut().remove_expired(now);
        self.learned(&changes);
    }

    fn pass_over(&self, backend: &Incarnation) {
        let now = std::time::Instant::now();
        self.fleet.borrow_mut().record_exit(now, backend);
    }

    fn learned(&self, changes: &[TableChange]) {
        let now = firshore_clock::now().into_std();
        for change in changes {
            match change {
                TableChange::Quarantined(print, verdict) => {
                    let backends: Vec<String> =
                        verdict.backends.iter().map(ToString::to_string).collect();
                    warn!(self.log, "crash: Request held back."; "print" => %print,
                        "backends" => backends.join(" "),
                        "last_end_age_ms" => now.saturating_duration_since(verdict.last_end).as_millis() as u64);
                }
                // Without this, every node sent requests to a back end that had ended until it had failed there
                // itself; its entry stays for some seconds.
                TableChange::BackendExited(backend) => {
                    self.pass_over(backend);
                }
                TableChange::Released(print) => {
                    info!(self.log, "crash: Request not held back any more."; "print" => %print);
                }
            }
        }
    }
}
