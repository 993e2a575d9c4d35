//! Runs the items of batch jobs, on the node whose replica leads the journal.
//!
//! Items go only into room that online requests leave: a back end gets one while its load, as all
//! nodes told a moment ago, is below a limit; where online requests need the room, the runs
//! that have produced least are stopped. What an item has produced is kept here and told to the other replicas' nodes, so
//! that a run that breaks off or is stopped goes on after its last event, also under a new leader.

pub mod handover;
mod item;
pub mod progress;

use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::service::Loads;
use crate::journal::{Journal, Replica};
use crate::metrics::RunnerMetrics;
use crate::task::Task;
use firshore_adapter::backend::{Backend, Incarnation};
use firshore_adapter::jobs::JobItem;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::choice::affinity_key;
use firshore_gateway::fleet::Wanted;
use firshore_gateway::gateway::Gateway;
use firshore_jobs::command::{ItemIndex, JobHeader};
use firshore_jobs::table::OpenItem;
use firshore_types::ids::{NodeName, ServiceName};
use futures_util::future::join_all;
use handover::{ProgressDelta, Told, ToldThrough};
use item::ItemRun;
use progress::ItemProgress;
use slog::info;
use std::cell::{Ref, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Load in requests per slot from which on a back end gets no item.
const LOAD_LIMIT: f32 = 0.75;

/// Load in requests per slot above which runs are stopped.
const PREEMPTION_LOAD: f32 = 0.9;

/// Time between looks for room while items wait.
const ROOM_INTERVAL: Duration = Duration::from_millis(40);

/// Items started in one look: each costs processor time, and shows its load only a moment later.
const MOST_STARTS: usize = 32;

/// Items without room after which a look ends.
const MOST_REFUSALS: usize = 64;

/// Time between looks while nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two rounds in which other nodes are told what items have produced.
const TELL_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes of events in one message, about.
const TELL_BYTES: usize = 128 * 1024;

/// Messages to one node in a round.
const MOST_TELLS: usize = 8;

/// Longest wait for a node that is told.
const TELL_TIMEOUT: Duration = Duration::from_millis(800);

/// An item's job and its position there.
pub type ItemKey = (String, ItemIndex);

/// An item that is to be run.
#[derive(Clone)]
pub(crate) struct Work {
    pub(crate) header: JobHeader,
    pub(crate) index: ItemIndex,
    pub(crate) item: JobItem,
}

/// One look at the items that wait.
#[derive(Default)]
struct Pass {
    /// Whether items wait.
    waiting: bool,
    /// Items that were started.
    started: usize,
    /// Items for which there was no room.
    refused: usize,
    /// Services without room.
    full: HashSet<ServiceName>,
}

impl Pass {
    fn is_over(&self) -> bool {
        self.started >= MOST_STARTS || self.refused >= MOST_REFUSALS
    }
}

struct Run {
    _task: Task,
    backend: Incarnation,
}

/// The items that this node runs.
pub struct Runner {
    gateway: Rc<Gateway>,
    replica: Rc<Replica>,
    journal: Rc<Journal>,
    loads: Rc<Loads>,
    metrics: RunnerMetrics,
    most_runs: usize,
    running: RefCell<HashMap<ItemKey, Run>>,
    progress: RefCell<HashMap<ItemKey, Rc<RefCell<ItemProgress>>>>,
    /// Wakes the scheduler when a run has ended.
    ended: Notify,
}

impl Runner {
    /// Runs items of this journal while its replica leads, `most_runs` at once at most.
    pub fn new(
        gateway: Rc<Gateway>,
        journal: Rc<Journal>,
        most_runs: usize,
        metrics: RunnerMetrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            metrics,
            most_runs,
            gateway,
            replica: journal.replica.clone(),
            loads: journal.loads.clone(),
            journal,
            running: RefCell::default(),
            progress: RefCell::default(),
            ended: Notify::new(),
        })
    }

    /// Runs until the node ends.
    pub async fn run(self: Rc<Self>) {
        let _telling = Task::spawn(self.clone().tell_others());
        let mut changes = self.replica.changes();
        let mut leads_since_term = None;
        loop {
            let waiting = match self.leads(&mut leads_since_term).await {
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
            actix_rt::time::sleep(ROOM_INTERVAL).await;
            if waiting {
                continue;
            }
            let _ = timeout(IDLE_INTERVAL, async {
                tokio::select! {
                    _ = changes.changed() => {}
                    () = self.ended.notified() => {}
                    () = self.loads.told.notified() => {}
                }
            })
            .await;
        }
    }

    /// Whether this replica leads and has applied what was committed before it did.
    async fn leads(&self, confirmed_term: &mut Option<u64>) -> bool {
        let status = self.replica.status();
        if !status.leads || !self.journal.may_promise() {
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
        let held = self.journal.held_items.borrow_mut().take();
        let mut progress = self.progress.borrow_mut();
        for (key, held) in held {
            let begun = Rc::new(RefCell::new(ItemProgress::begun(now, held)));
            progress.insert(key, begun);
        }
    }

    /// Tells the nodes of the other replicas what items have produced, while this node leads.
    async fn tell_others(self: Rc<Self>) {
        let mut told: HashMap<NodeName, Told> = HashMap::new();
        loop {
            actix_rt::time::sleep(TELL_INTERVAL).await;
            let status = self.replica.status();
            if !status.leads {
                told.clear();
                continue;
            }
            let replicas = status.membership.replicas.iter();
            let others = replicas.filter(|(disk, _)| **disk != status.disk);
            let others: Vec<NodeName> = others.map(|(_, replica)| replica.node.clone()).collect();
            told.retain(|node, _| others.contains(node));
            let telling = others.into_iter().map(|node| {
                let told = told.remove(&node).unwrap_or_default();
                self.tell(node, told)
            });
            told = join_all(telling).await.into_iter().collect();
        }
    }

    /// Tells one node what it does not know yet, in messages of limited size: a node that is told
    /// for the first time lacks everything.
    async fn tell(&self, node: NodeName, mut told: Told) -> (NodeName, Told) {
        for _ in 0..MOST_TELLS {
            let deltas = self.untold(&mut told);
            if deltas.is_empty() {
                break;
            }
            let sent: Vec<ToldThrough> = deltas.iter().map(ProgressDelta::through).collect();
            let call = self.journal.ask(&node, PeerRequest::Progress(deltas));
            match timeout(TELL_TIMEOUT, call).await {
                Ok(Some(PeerResponse::Gaps(gaps))) => told.answered(sent, gaps),
                _ => {
                    // It may hold anything: it is told from the start.
                    told = Told::default();
                    break;
                }
            }
        }
        (node, told)
    }

    /// What a node has not been told, as much as fits one message.
    fn untold(&self, told: &mut Told) -> Vec<ProgressDelta> {
        let progress = self.progress.borrow();
        told.keep(|key| progress.contains_key(key));
        let items = progress.iter().map(|(key, one)| (key, one.borrow()));
        let items: Vec<(&ItemKey, Ref<'_, ItemProgress>)> = items.collect();
        let items = items
            .iter()
            .map(|(key, one)| (*key, one.produced(), one.last_event()));
        told.deltas(items, TELL_BYTES)
    }

    /// Returns how many items run.
    pub fn running(&self) -> usize {
        self.running.borrow().len()
    }

    /// Ends every run; what was produced is kept only while this node leads.
    pub fn stop_all(&self) {
        let stopped = self.running.borrow().len();
        if stopped > 0 {
            info!(self.gateway.log, "runner: Runs stopped."; "count" => stopped);
        }
        self.running.borrow_mut().clear();
        self.progress.borrow_mut().clear();
    }

    /// Takes in what nodes have under way, and stops runs where it is too much.
    fn give_way(&self) {
        let now = Instant::now();
        let mut table = self.loads.table.borrow_mut();
        table.forget_old(now);
        let online = table.sums();
        let mut fleet = self.gateway.fleet.borrow_mut();
        fleet.learned_others(now, online);
        *self.loads.own.borrow_mut() = fleet.in_flight().filter(|(_, count)| *count > 0).collect();
        let excess: HashMap<Incarnation, usize> = online
            .keys()
            .filter_map(|backend| {
                let excess = fleet.excess(now, backend, PREEMPTION_LOAD)?;
                Some((backend.clone(), excess))
            })
            .collect();
        drop(fleet);
        drop(table);
        for (backend, count) in excess {
            self.stop_least_advanced(&backend, count);
        }
    }

    /// Stops the runs at a back end that have produced least: one that is nearly done would be
    /// finished by a back end that notices the close late, and then be run in vain.
    fn stop_least_advanced(&self, backend: &Incarnation, count: usize) {
        let progress = self.progress.borrow();
        let produced = |key: &ItemKey| {
            let progress = progress.get(key);
            progress.map_or(0, |progress| progress.borrow().produced().len())
        };
        let mut running = self.running.borrow_mut();
        let at_backend = running.iter().filter(|(_, run)| run.backend == *backend);
        let mut keys: Vec<ItemKey> = at_backend.map(|(key, _)| key.clone()).collect();
        keys.sort_by_key(produced);
        for key in keys.into_iter().take(count) {
            info!(self.gateway.log, "runner: Run stopped."; "job" => &key.0, "item" => key.1,
                "backend" => %backend, "produced" => produced(&key),
                "reason" => "online requests");
            running.remove(&key);
            self.metrics.preemptions.inc();
        }
    }

    /// Starts what there is room for; tells whether items wait for room.
    fn schedule(self: &Rc<Self>) -> bool {
        let state = self.replica.applied_state();
        self.stop_closed(|key| state.read().is_open(&key.0, key.1));
        let now = Instant::now();
        let state = state.read();
        let mut pass = Pass::default();
        for one in state.open_items() {
            let key = (one.header.job.clone(), one.index);
            if self.running.borrow().contains_key(&key) {
                continue;
            }
            pass.waiting = true;
            let all_run = self.running() >= self.most_runs;
            if all_run || pass.is_over() {
                break;
            }
            self.try_start(now, key, &one, &mut pass);
        }
        pass.waiting
    }

    /// Stops runs of items that are not wanted any more.
    fn stop_closed(&self, is_open: impl Fn(&ItemKey) -> bool) {
        let mut running = self.running.borrow_mut();
        running.retain(|key, _| {
            let open = is_open(key);
            if !open {
                info!(self.gateway.log, "runner: Run ended."; "job" => &key.0, "item" => key.1,
                    "reason" => "not open");
            }
            open
        });
        self.progress.borrow_mut().retain(|key, _| is_open(key));
    }

    /// Starts an item if it may run now and there is room.
    fn try_start(self: &Rc<Self>, now: Instant, key: ItemKey, one: &OpenItem<'_>, pass: &mut Pass) {
        let known = self.progress.borrow().get(&key).cloned();
        if known
            .as_ref()
            .is_some_and(|one| one.borrow().is_paused(now))
        {
            return;
        }
        let Some(backend) = self.choose(now, one, pass) else {
            pass.refused += 1;
            return;
        };
        pass.started += 1;
        let progress = known.unwrap_or_else(|| Rc::new(RefCell::new(ItemProgress::new(now))));
        let held = progress.clone();
        self.progress.borrow_mut().insert(key.clone(), held);
        progress.borrow_mut().starts();
        let work = Work {
            header: one.header.clone(),
            index: one.index,
            item: one.item.clone(),
        };
        let chosen = backend.incarnation.clone();
        let run = ItemRun {
            gateway: self.gateway.clone(),
            replica: self.replica.clone(),
            work,
            progress,
            // Counted from now on, so that the next item sees it.
            in_flight: self.gateway.in_flight(&backend.incarnation),
            backend,
        };
        let runner = self.clone();
        let ended = key.clone();
        let task = Task::spawn(async move {
            let end = run.run().await;
            runner.metrics.run_ended(end);
            // The entry is this task's own handle: it is let go, not aborted.
            runner.running.borrow_mut().remove(&ended);
            runner.ended.notify_one();
        });
        let run = Run {
            _task: task,
            backend: chosen,
        };
        self.running.borrow_mut().insert(key, run);
    }

    /// A back end with room, of the service that the item's route names now.
    fn choose(&self, now: Instant, one: &OpenItem<'_>, pass: &mut Pass) -> Option<Backend> {
        let configuration = self.gateway.configuration()?;
        let path = one.item.path.split('?').next().unwrap_or_default();
        let route = configuration.routes.find(&one.header.host, path)?;
        let route = Arc::clone(route);
        let service = self.gateway.split.borrow_mut().next(&route);
        if pass.full.contains(&service) {
            return None;
        }
        let headers = item::headers(one.item);
        let terms = self.gateway.adapter.caller.read_terms(&headers);
        let attempts = Attempts::new(route.repetition, u32::MAX);
        let wanted = Wanted {
            service: &service,
            attempts: &attempts,
            affinity: affinity_key(&terms.prompt),
            load_limit: LOAD_LIMIT,
        };
        let mut random = self.gateway.random.borrow_mut();
        let fleet = self.gateway.fleet.borrow();
        let chosen = fleet.choose(now, &wanted, &mut *random);
        if chosen.is_none() {
            pass.full.insert(service);
        }
        chosen
    }
}
