//! Runs the items of batch jobs on the node whose replica leads the journal.
//!
//! Items use only the slots that online requests leave free: a back end gets an item while its load, from the
//! recent reports of all nodes, is below a limit. If online requests need the slots, the least urgent runs are
//! preempted. The events of items are held in memory and on disk and sent to the nodes of the other replicas,
//! so that an interrupted item resumes after its last event, also under a new leader or after a stop of all
//! processes.

pub mod backlog;
pub mod expiry;
mod give_up;
pub mod handover;
mod item;
pub mod preemption;
mod pressure;
pub mod progress;
pub mod progress_file;
mod progress_sender;
pub mod progress_store;
mod schedule;
mod slow_start;
pub mod urgency;
pub mod waits;
mod write_queue;

use crate::journal::service::ClusterLoad;
use crate::journal::status::{JournalStatus, StatusFacts, StatusReport};
use crate::journal::{Journal, Replica};
use crate::memory::{self, MemoryUse};
use crate::metrics::RunnerMetrics;
use crate::task::Task;
use backlog::BacklogEstimate;
use expiry::{JobAges, RouteAbsences};
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::jobs::{JobItem, caller_id};
use firshore_gateway::gateway::Gateway;
use firshore_jobs::command::{ItemIndex, JobHeader};
use firshore_limits::slow_start::PermitIssuer;
use firshore_types::ids::ServiceName;
use preemption::PreemptionPolicy;
use progress::ItemProgress;
use slog::{info, warn};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout, timeout_at};
use urgency::{DueTable, DueTime, ItemUrgency};
use waits::JobWaits;

/// Load in requests per slot below which items start: it leaves one slot in ten free for online requests.
const MAX_ITEM_LOAD: f32 = 0.9;

/// The same for items that are at risk of missing their deadline.
const MAX_AT_RISK_ITEM_LOAD: f32 = 1.0;

/// Load in requests per slot above which runs are preempted: a request is queued. A limit as low as that for
/// starts would preempt more items, whose prompts have to be processed again, so that they are late: measured on a
/// day with trouble, twice as many were processed again, and items earned 0.876 instead of 0.958 of their worth, for
/// 1 in 100 more streams in time.
const PREEMPTION_LOAD: f32 = 1.0;

/// Interval between scheduling passes while items wait.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(40);

/// Minimum interval between preemption rounds, however many nodes find no free slot. A slot becomes free within
/// some tens of milliseconds.
const PREEMPTION_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between scheduling passes while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between log lines on memory use while this node runs items.
const MEMORY_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks of the journal's status. A shorter block of work may stay undetected.
const STATUS_INTERVAL: Duration = Duration::from_millis(200);

/// Identifier of a job, and the position of an item in it.
pub type ItemKey = (String, ItemIndex);

/// An item to run, with the header of its job.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) header: JobHeader,
    pub(crate) index: ItemIndex,
    pub(crate) item: JobItem,
}

/// Sort key of a run; the least urgent run with the fewest events is the greatest.
type PreemptionKey = (ItemUrgency, Reverse<usize>, ItemKey);

struct Run {
    _task: Task,
    backend: Incarnation,
    service: ServiceName,
    due: DueTime,
}

/// Scheduler of the items that this node runs.
pub struct Runner {
    gateway: Rc<Gateway>,
    replica: Rc<Replica>,
    journal: Rc<Journal>,
    loads: Rc<ClusterLoad>,
    metrics: RunnerMetrics,
    max_runs: usize,
    running: RefCell<HashMap<ItemKey, Run>>,
    progress: RefCell<HashMap<ItemKey, Rc<RefCell<ItemProgress>>>>,
    /// Number of times that this process became leader.
    turn: Cell<u64>,
    /// Whether this process leads and has taken over the items of the former leader.
    leading: Cell<bool>,
    due_times: RefCell<DueTable>,
    /// Services under pressure of online requests.
    preemption: RefCell<PreemptionPolicy>,
    /// Remaining work of items, and the free slots for it.
    backlog: RefCell<BacklogEstimate>,
    /// Issues permits for cold back ends while this node leads.
    permits: RefCell<Option<PermitIssuer>>,
    /// Wakes the scheduler when a run ended.
    run_ended: Notify,
    ages: RefCell<JobAges>,
    /// Jobs without a route, while this node leads.
    absences: RefCell<RouteAbsences>,
    waits: RefCell<JobWaits>,
    /// Commits that items are given up.
    giving_up: RefCell<Option<Task>>,
}

impl Runner {
    /// Creates the scheduler for the items of `journal`.
    pub fn new(gateway: Rc<Gateway>, journal: Rc<Journal>, metrics: RunnerMetrics) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            max_runs: journal.budget.max_runs(),
            gateway,
            replica: journal.replica.clone(),
            loads: journal.loads.clone(),
            journal,
            running: RefCell::default(),
            progress: RefCell::default(),
            turn: Cell::default(),
            leading: Cell::default(),
            due_times: RefCell::default(),
            preemption: RefCell::default(),
            backlog: RefCell::default(),
            permits: RefCell::default(),
            run_ended: Notify::new(),
            ages: RefCell::default(),
            absences: RefCell::default(),
            waits: RefCell::default(),
            giving_up: RefCell::default(),
        })
    }

    /// Runs items while the local replica leads, until the node stops.
    pub async fn run(self: Rc<Self>) {
        let _progress_task = Task::spawn(self.clone().send_progress());
        let _memory_task = Task::spawn(self.clone().log_memory());
        let _status_task = Task::spawn(self.clone().watch_status());
        let mut changes = self.replica.changes();
        let mut confirmed_term = None;
        loop {
            let leads = self.leads(&mut confirmed_term).await;
            self.leading.set(leads);
            self.observe_jobs();
            let waiting = match leads {
                true => {
                    self.preempt();
                    self.issue_permits();
                    self.schedule()
                }
                false => {
                    self.stop_all();
                    false
                }
            };
            // Limits the rate of passes: each one examines all waiting items.
            self.preempt_until(Instant::now() + SCHEDULE_INTERVAL, leads)
                .await;
            if waiting {
                continue;
            }
            let _ = timeout(IDLE_INTERVAL, async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = self.run_ended.notified() => {}
                    () = self.loads.reported.notified() => {}
                }
            })
            .await;
        }
    }

    /// Waits until the next pass. Meanwhile preempts runs as soon as online requests find no free slot.
    async fn preempt_until(&self, next_pass: Instant, leads: bool) {
        while timeout_at(next_pass.into(), self.loads.crowded.notified())
            .await
            .is_ok()
        {
            if leads {
                self.preempt();
            }
            let next_round = (Instant::now() + PREEMPTION_INTERVAL).min(next_pass);
            sleep_until(next_round.into()).await;
        }
    }

    /// Returns whether this replica leads and has applied all entries committed before its term.
    async fn leads(&self, confirmed_term: &mut Option<u64>) -> bool {
        let status = self.replica.status();
        if !status.leads || !self.journal.is_durable() {
            *confirmed_term = None;
            return false;
        }
        if *confirmed_term == Some(status.term) {
            return true;
        }
        // Leadership may have changed unnoticed in between, so that the runs belong to another term.
        self.stop_all();
        let confirmed = self.replica.read().await.is_ok();
        if confirmed {
            *confirmed_term = Some(status.term);
            self.take_over();
            info!(self.gateway.log, "runner: Started to run items."; "term" => status.term);
        }
        confirmed
    }

    /// Resumes items from the events that the former leader reported.
    fn take_over(&self) {
        let now = Instant::now();
        self.turn.set(self.turn.get() + 1);
        self.begin_slow_start(now);
        let held_items = self.journal.progress.borrow().held();
        let mut progress = self.progress.borrow_mut();
        for (key, held) in held_items {
            let text = self.draw_text();
            info!(self.gateway.log, "runner: Item taken over."; "job" => caller_id(&key.0), "item" => key.1,
                "events" => held.events.len(), "last" => held.last,
                "former_text" => held.text.map(|text| text.to_string()), "text" => %text);
            let resumed = Rc::new(RefCell::new(ItemProgress::resumed(now, held, text)));
            progress.insert(key, resumed);
        }
    }

    /// Returns the number of running items.
    pub fn running_count(&self) -> usize {
        self.running.borrow().len()
    }

    /// Logs the node's memory use while it runs items.
    async fn log_memory(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(MEMORY_LOG_INTERVAL).await;
            if !self.leading.get() {
                continue;
            }
            let used = self.memory_use();
            info!(self.gateway.log, "memory: Used."; "resident" => memory::resident_bytes(),
                "counted" => used.sum(), "jobs" => used.jobs, "submissions" => used.submissions,
                "progress" => used.progress, "handover" => used.handover, "runs" => self.running_count(),
                "results" => used.results, "log" => used.log);
        }
    }

    /// Logs changes of the journal's status. This is a separate task because the runner waits while a new leader
    /// catches up.
    async fn watch_status(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(STATUS_INTERVAL).await;
            let status = JournalStatus::of(&self.status_facts());
            let report = self
                .journal
                .status
                .borrow_mut()
                .step(Instant::now(), status);
            if let Some(report) = report {
                self.log_status(report);
            }
        }
    }

    fn status_facts(&self) -> StatusFacts {
        let facts = self.journal.status_facts();
        if !facts.leads {
            return facts;
        }
        let progress = self.progress_bytes();
        StatusFacts {
            caught_up: self.leading.get(),
            memory_full: facts.memory_full || !self.journal.budget.admits_new_run(progress),
            ..facts
        }
    }

    fn log_status(&self, report: StatusReport) {
        let status = self.replica.status();
        let (standing, lasted_ms) = (report.status.name(), report.duration.as_millis() as u64);
        let (term, voters) = (status.term, status.membership.voters().count());
        let log = &self.gateway.log;
        match report.status.blocks_work() {
            true => warn!(log, "journal: Work is blocked."; "standing" => standing,
                "lasted_ms" => lasted_ms, "term" => term, "voters" => voters),
            false => info!(log, "journal: Work resumed."; "standing" => standing,
                "lasted_ms" => lasted_ms, "term" => term, "voters" => voters),
        }
    }

    /// Returns the approximate memory of the items' events in bytes.
    fn progress_bytes(&self) -> usize {
        let progress = self.progress.borrow();
        let bytes = progress.values().map(|item| item.borrow().held_bytes());
        bytes.sum()
    }

    /// Returns the node's memory use by purpose.
    pub fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            progress: self.progress_bytes(),
            runs: self.journal.budget.run_bytes(self.running_count()),
            ..self.journal.memory_use()
        }
    }

    /// Stops all runs and drops their events, which the runner holds only while this node leads.
    pub fn stop_all(&self) {
        self.leading.set(false);
        let stopped = self.running.borrow().len();
        if stopped > 0 {
            info!(self.gateway.log, "runner: All runs stopped."; "count" => stopped);
        }
        self.running.borrow_mut().clear();
        self.progress.borrow_mut().clear();
        self.clear_give_ups();
        self.end_slow_start();
        self.clear_pressure();
    }

    /// Applies the counts of requests in flight, and preempts runs where online requests need their slots.
    fn preempt(&self) {
        let now = Instant::now();
        let mut table = self.loads.table.borrow_mut();
        table.remove_expired(firshore_clock::now().into_std());
        let online = table.sums();
        let mut fleet = self.gateway.fleet.borrow_mut();
        let mut random = self.gateway.random.borrow_mut();
        fleet.apply_remote_load(now, online, &mut *random);
        drop(random);
        *self.loads.local.borrow_mut() =
            fleet.in_flight().filter(|(_, count)| *count > 0).collect();
        let excess: HashMap<Incarnation, usize> = online
            .keys()
            .filter_map(|name| {
                let backend = fleet.incarnation(name)?;
                let excess = fleet.excess(now, backend, PREEMPTION_LOAD)?;
                Some((backend.clone(), excess))
            })
            .collect();
        drop(fleet);
        drop(table);
        self.stop_least_urgent(now, &excess);
        self.update_pressure(now);
        self.preempt_for_pressure(now);
    }

    /// Stops the least urgent runs at back ends with excess load, among equally urgent ones those with the
    /// fewest events. A back end notices the closed connection late and may complete an almost finished item,
    /// whose result would be lost.
    fn stop_least_urgent(&self, now: Instant, excess: &HashMap<Incarnation, usize>) {
        let mut running = self.running.borrow_mut();
        // Groups the runs by back end in one iteration.
        let mut at_backends: HashMap<&Incarnation, Vec<PreemptionKey>> = HashMap::new();
        for (key, run) in running.iter() {
            if excess.contains_key(&run.backend) {
                let produced = Reverse(self.produced(key));
                let sort_key = (run.due.urgency(now), produced, key.clone());
                at_backends.entry(&run.backend).or_default().push(sort_key);
            }
        }
        let mut stopped = Vec::new();
        for (backend, mut runs) in at_backends {
            runs.sort();
            stopped.extend(runs.into_iter().rev().take(excess[backend]));
        }
        for (urgency, produced, key) in stopped {
            if let Some(run) = running.remove(&key) {
                info!(self.gateway.log, "runner: Run stopped."; "job" => caller_id(&key.0), "item" => key.1,
                    "backend" => %run.backend, "produced" => produced.0, "urgency" => ?urgency,
                    "reason" => "online requests");
                self.metrics.preemptions.inc();
            }
        }
    }

    /// Returns the number of held events of an item.
    fn produced(&self, key: &ItemKey) -> usize {
        let progress = self.progress.borrow();
        let progress = progress.get(key);
        progress.map_or(0, |progress| progress.borrow().produced().len())
    }

    /// Stops runs of items that are no longer open, and drops their events.
    fn stop_closed(&self, is_open: impl Fn(&ItemKey) -> bool) {
        let mut running = self.running.borrow_mut();
        running.retain(|key, _| {
            let keeps = is_open(key);
            if !keeps {
                info!(self.gateway.log, "runner: Run ended."; "job" => caller_id(&key.0), "item" => key.1,
                    "reason" => "not open");
            }
            keeps
        });
        self.progress.borrow_mut().retain(|key, _| is_open(key));
    }
}
