//! Runs the items of batch jobs, on the node whose replica leads the journal.
//!
//! Items go only into room that online requests leave: a back end gets one while its load, as all
//! nodes told a moment ago, is below a limit; where online requests need the room, the least urgent
//! runs are stopped. What an item has produced is kept here and on disk and told to the other
//! replicas' nodes, so that a run that breaks off or is stopped goes on after its last event, also
//! under a new leader and after the end of all processes.

pub mod backlog;
pub mod handover;
mod item;
pub mod preemption;
pub mod progress;
pub mod progress_file;
pub mod progress_store;
mod schedule;
mod stepping_aside;
mod telling;
pub mod urgency;

use crate::journal::service::ClusterLoad;
use crate::journal::status::{JournalStatus, StatusFacts, StatusReport};
use crate::journal::{Journal, Replica};
use crate::memory::{self, MemoryUse};
use crate::metrics::RunnerMetrics;
use crate::task::Task;
use backlog::BacklogEstimate;
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::jobs::{JobItem, caller_id};
use firshore_gateway::gateway::Gateway;
use firshore_jobs::command::{ItemIndex, JobHeader};
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

/// Load in requests per slot up to which items start: it leaves one slot in ten to online requests.
const ITEM_LOAD: f32 = 0.9;

/// The same for items in danger of being late.
const PRESSED_ITEM_LOAD: f32 = 1.0;

/// Load above which runs are stopped: where a request waits. Stopped as soon as they could not start any
/// more, twice as many items had their prompt read again and were late (0.876 of their worth in place of
/// 0.958 on a day with trouble), for 1 in 100 streams more in time.
const STOP_LOAD: f32 = 1.0;

/// Time between looks for room while items wait.
const ROOM_INTERVAL: Duration = Duration::from_millis(40);

/// Shortest time between two rounds in which runs give way, however many nodes find no free slot: a slot
/// turns over in some tens of milliseconds.
const GIVE_WAY_INTERVAL: Duration = Duration::from_millis(10);

/// Time between looks while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two lines in the log about memory, while items run.
const MEMORY_INTERVAL: Duration = Duration::from_secs(2);

/// Time between looks at the journal's standing: a hold of work that lasts longer is seen.
const STANDING_INTERVAL: Duration = Duration::from_millis(200);

/// An item's job and its position there.
pub type ItemKey = (String, ItemIndex);

/// An item that is to be run.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) header: JobHeader,
    pub(crate) index: ItemIndex,
    pub(crate) item: JobItem,
}

/// A run that may be stopped: the least urgent and least advanced is the greatest.
type StoppableRun = (ItemUrgency, Reverse<usize>, ItemKey);

struct Run {
    _task: Task,
    backend: Incarnation,
    service: ServiceName,
    due: DueTime,
}

/// The items that this node runs.
pub struct Runner {
    gateway: Rc<Gateway>,
    replica: Rc<Replica>,
    journal: Rc<Journal>,
    loads: Rc<ClusterLoad>,
    metrics: RunnerMetrics,
    most_runs: usize,
    running: RefCell<HashMap<ItemKey, Run>>,
    progress: RefCell<HashMap<ItemKey, Rc<RefCell<ItemProgress>>>>,
    /// How often this process began to lead.
    turn: Cell<u64>,
    /// Whether it leads now and has taken over.
    leading: Cell<bool>,
    dues: RefCell<DueTable>,
    /// Which services are pressed.
    way: RefCell<PreemptionPolicy>,
    /// What items need, and the room for them.
    work: RefCell<BacklogEstimate>,
    /// Wakes the scheduler when a run has ended.
    ended: Notify,
}

impl Runner {
    /// Runs items of this journal while its replica leads, as many as its memory allows.
    pub fn new(gateway: Rc<Gateway>, journal: Rc<Journal>, metrics: RunnerMetrics) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            most_runs: journal.budget.max_runs(),
            gateway,
            replica: journal.replica.clone(),
            loads: journal.loads.clone(),
            journal,
            running: RefCell::default(),
            progress: RefCell::default(),
            turn: Cell::default(),
            leading: Cell::default(),
            dues: RefCell::default(),
            way: RefCell::default(),
            work: RefCell::default(),
            ended: Notify::new(),
        })
    }

    /// Runs until the node ends.
    pub async fn run(self: Rc<Self>) {
        let _telling = Task::spawn(self.clone().tell_others());
        let _memory = Task::spawn(self.clone().log_memory());
        let _standing = Task::spawn(self.clone().watch_standing());
        let mut changes = self.replica.changes();
        let mut leads_since_term = None;
        loop {
            let leads = self.leads(&mut leads_since_term).await;
            self.leading.set(leads);
            let waiting = match leads {
                true => {
                    self.give_way();
                    self.schedule()
                }
                false => {
                    self.stop_all();
                    false
                }
            };
            // However often something changes: a pass looks at all items that wait.
            self.make_room(Instant::now() + ROOM_INTERVAL, leads).await;
            if waiting {
                continue;
            }
            let _ = timeout(IDLE_INTERVAL, async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = self.ended.notified() => {}
                    () = self.loads.reported.notified() => {}
                }
            })
            .await;
        }
    }

    /// Until the next look, gives way at once wherever online requests find no free slot.
    async fn make_room(&self, next_look: Instant, leads: bool) {
        while timeout_at(next_look.into(), self.loads.crowded.notified())
            .await
            .is_ok()
        {
            if leads {
                self.give_way();
            }
            let pause = (Instant::now() + GIVE_WAY_INTERVAL).min(next_look);
            sleep_until(pause.into()).await;
        }
    }

    /// Whether this replica leads and has applied what was committed before it did.
    async fn leads(&self, confirmed_term: &mut Option<u64>) -> bool {
        let status = self.replica.status();
        if !status.leads || !self.journal.is_durable() {
            *confirmed_term = None;
            return false;
        }
        if *confirmed_term == Some(status.term) {
            return true;
        }
        // It may have lost leadership in between, unnoticed: what runs is of another term.
        self.stop_all();
        let confirmed = self.replica.read().await.is_ok();
        if confirmed {
            *confirmed_term = Some(status.term);
            self.take_over();
            info!(self.gateway.log, "runner: Runs items."; "term" => status.term);
        }
        confirmed
    }

    /// Goes on with what the last leader told.
    fn take_over(&self) {
        let now = Instant::now();
        self.turn.set(self.turn.get() + 1);
        let held = self.journal.progress.borrow().held();
        let mut progress = self.progress.borrow_mut();
        for (key, held) in held {
            let begun = Rc::new(RefCell::new(ItemProgress::resumed(now, held)));
            progress.insert(key, begun);
        }
    }

    /// Returns how many items run.
    pub fn running(&self) -> usize {
        self.running.borrow().len()
    }

    /// Writes what the node's memory is used for into the log, while it runs items.
    async fn log_memory(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(MEMORY_INTERVAL).await;
            if !self.leading.get() {
                continue;
            }
            let used = self.memory_use();
            info!(self.gateway.log, "memory: Used."; "resident" => memory::resident_bytes(),
                "counted" => used.sum(), "jobs" => used.jobs, "submissions" => used.submissions,
                "progress" => used.progress, "handover" => used.handover, "runs" => self.running(),
                "results" => used.results, "log" => used.log);
        }
    }

    /// Says why nothing is promised or run, and since when. A task of its own: the runner itself
    /// waits while a new leader catches up.
    async fn watch_standing(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(STANDING_INTERVAL).await;
            let standing = JournalStatus::of(&self.status_facts());
            let report = self
                .journal
                .status
                .borrow_mut()
                .step(Instant::now(), standing);
            if let Some(report) = report {
                self.log_standing(report);
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

    fn log_standing(&self, report: StatusReport) {
        let status = self.replica.status();
        let (standing, lasted_ms) = (report.status.name(), report.duration.as_millis() as u64);
        let (term, voters) = (status.term, status.membership.voters().count());
        let log = &self.gateway.log;
        match report.status.blocks_work() {
            true => warn!(log, "journal: Work held back."; "standing" => standing,
                "lasted_ms" => lasted_ms, "term" => term, "voters" => voters),
            false => info!(log, "journal: Work goes on."; "standing" => standing,
                "lasted_ms" => lasted_ms, "term" => term, "voters" => voters),
        }
    }

    /// Memory that the events of items take in bytes.
    fn progress_bytes(&self) -> usize {
        let progress = self.progress.borrow();
        let produced = progress.values().map(|one| one.borrow().held_bytes());
        produced.sum()
    }

    /// Returns what the node's memory is used for.
    pub fn memory_use(&self) -> MemoryUse {
        MemoryUse {
            progress: self.progress_bytes(),
            runs: self.journal.budget.run_bytes(self.running()),
            ..self.journal.memory_use()
        }
    }

    /// Ends every run; what was produced is kept only while this node leads.
    pub fn stop_all(&self) {
        self.leading.set(false);
        let stopped = self.running.borrow().len();
        if stopped > 0 {
            info!(self.gateway.log, "runner: Runs stopped."; "count" => stopped);
        }
        self.running.borrow_mut().clear();
        self.progress.borrow_mut().clear();
        self.forget_pressure();
    }

    /// Takes in what nodes have under way, and stops runs where it is too much.
    fn give_way(&self) {
        let now = Instant::now();
        let mut table = self.loads.table.borrow_mut();
        table.forget_old(firshore_clock::now().into_std());
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
                let excess = fleet.excess(now, backend, STOP_LOAD)?;
                Some((backend.clone(), excess))
            })
            .collect();
        drop(fleet);
        drop(table);
        self.stop_least_urgent(now, &excess);
        self.learn_pressure(now);
        self.step_aside(now);
    }

    /// Stops the least urgent runs at back ends, of those alike the least advanced: one that is nearly
    /// done would be finished by a back end that notices the close late, and then be run in vain.
    fn stop_least_urgent(&self, now: Instant, excess: &HashMap<Incarnation, usize>) {
        let mut running = self.running.borrow_mut();
        // All runs are looked at once, however many back ends there are.
        let mut at_backends: HashMap<&Incarnation, Vec<StoppableRun>> = HashMap::new();
        for (key, run) in running.iter() {
            if excess.contains_key(&run.backend) {
                let produced = Reverse(self.produced(key));
                let stoppable = (run.due.urgency(now), produced, key.clone());
                at_backends.entry(&run.backend).or_default().push(stoppable);
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

    /// Events of an item that are held.
    fn produced(&self, key: &ItemKey) -> usize {
        let progress = self.progress.borrow();
        let progress = progress.get(key);
        progress.map_or(0, |progress| progress.borrow().produced().len())
    }

    /// Stops runs of items that are not wanted any more.
    fn stop_closed(&self, is_open: impl Fn(&ItemKey) -> bool) {
        let mut running = self.running.borrow_mut();
        running.retain(|key, _| {
            let open = is_open(key);
            if !open {
                info!(self.gateway.log, "runner: Run ended."; "job" => caller_id(&key.0), "item" => key.1,
                    "reason" => "not open");
            }
            open
        });
        self.progress.borrow_mut().retain(|key, _| is_open(key));
    }
}
