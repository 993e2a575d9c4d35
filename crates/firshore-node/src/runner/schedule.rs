//! Which items start, and where.

use super::backlog::DeadlineRisk;
use super::item::{self, ItemRun};
use super::progress::{ItemProgress, RunEnd};
use super::urgency::{DueTime, ItemUrgency};
use super::{ITEM_LOAD, ItemKey, PRESSED_ITEM_LOAD, Run, Runner, Work};
use crate::task::Task;
use firshore_adapter::backend::Backend;
use firshore_adapter::jobs::caller_id;
use firshore_adapter::route::Route;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::choice::affinity_key;
use firshore_gateway::fleet::BackendRequirements;
use firshore_jobs::table::OpenItem;
use firshore_types::ids::ServiceName;
use slog::info;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Items started in one look: each costs processor time, and shows its load only a moment later.
const MOST_STARTS: usize = 32;

/// Items without room after which a look ends.
const MOST_REFUSALS: usize = 64;

/// A job that is not finished.
struct OpenJob<'a> {
    urgency: ItemUrgency,
    due: DueTime,
    items: &'a [OpenItem<'a>],
}

/// An item that does not run.
pub(super) struct WaitingItem<'a> {
    pub(super) due: DueTime,
    /// Events that are held.
    pub(super) produced: usize,
    key: ItemKey,
    one: &'a OpenItem<'a>,
}

/// A service in one look.
#[derive(Clone, Copy, Default)]
struct ServiceLook {
    /// Requests that its back ends work on at once.
    slots: u32,
    /// Items of it that run.
    running: usize,
    /// Its items that are wanted no later than those looked at now.
    ahead: usize,
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
    /// Whether there is no memory for what further items produce.
    no_memory: bool,
    /// Services without room, for items in danger of being late and for others.
    full: HashSet<(ServiceName, bool)>,
    /// Services of items looked at.
    services: HashMap<ServiceName, ServiceLook>,
}

impl Pass {
    fn is_over(&self) -> bool {
        self.started >= MOST_STARTS || self.refused >= MOST_REFUSALS
    }
}

impl Runner {
    /// Starts what there is room for; tells whether items wait for room.
    pub(super) fn schedule(self: &Rc<Self>) -> bool {
        let state = self.replica.applied_state();
        self.stop_closed(|key| state.read().is_open(&key.0, key.1));
        let now = Instant::now();
        let state = state.read();
        self.dues.borrow_mut().keep(|job| state.is_job_open(job));
        let items = state.open_items();
        let budget = self.journal.budget;
        let mut pass = Pass {
            no_memory: !budget.admits_new_run(self.progress_bytes()),
            ..Pass::default()
        };
        for job in self.open_jobs(now, &items) {
            self.look_ahead(now, &job, &mut pass);
            for waiting in self.waiting(&job) {
                pass.waiting = true;
                let all_run = self.running() >= self.most_runs;
                if all_run || pass.is_over() {
                    return true;
                }
                self.try_start(now, &waiting, &mut pass);
            }
        }
        pass.waiting
    }

    /// Counts the items of a job, which are wanted no sooner than those before, to what lies ahead of its
    /// service.
    fn look_ahead(&self, now: Instant, job: &OpenJob<'_>, pass: &mut Pass) {
        let Some(route) = job.items.first().and_then(|one| self.route(one)) else {
            return;
        };
        let Some(service) = route.services.first().map(|one| &one.service) else {
            return;
        };
        self.look_at(now, service, pass).ahead += job.items.len();
    }

    fn look_at<'a>(
        &self,
        now: Instant,
        service: &ServiceName,
        pass: &'a mut Pass,
    ) -> &'a mut ServiceLook {
        let looks = &mut pass.services;
        if !looks.contains_key(service) {
            let look = ServiceLook {
                slots: self.gateway.fleet.borrow().occupancy(now, service).slots,
                running: self.running_of(service),
                ahead: 0,
            };
            looks.insert(service.clone(), look);
        }
        looks.get_mut(service).expect("a look that was put there")
    }

    /// Whether an item may start as far as online requests go, and whether it may take the last slots.
    fn permit(
        &self,
        now: Instant,
        service: &ServiceName,
        waiting: &WaitingItem<'_>,
        pass: &mut Pass,
    ) -> Option<bool> {
        let look = *self.look_at(now, service, pass);
        let time = waiting
            .due
            .deadline
            .map(|wanted| wanted.saturating_duration_since(now));
        let behind = time.filter(|time| !time.is_zero()).is_some_and(|time| {
            let work = self.work.borrow();
            work.exceeds_capacity(service, look.ahead, time)
        });
        let outlook = self.outlook(now, service, waiting, behind);
        let way = self.way.borrow();
        let may_start = way.may_start(service, look.slots, look.running, outlook);
        may_start.then_some(outlook > DeadlineRisk::Low)
    }

    /// Jobs by urgency.
    fn open_jobs<'a>(&self, now: Instant, items: &'a [OpenItem<'a>]) -> Vec<OpenJob<'a>> {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH);
        let clock = clock.unwrap_or_default();
        let mut dues = self.dues.borrow_mut();
        let of_jobs = items.chunk_by(|one, other| one.header.job == other.header.job);
        let mut jobs: Vec<OpenJob> = of_jobs
            .map(|items| {
                let first = &items[0];
                let age = clock.saturating_sub(Duration::from_millis(first.submitted_at));
                let due_after = first.header.due_after.map(Duration::from_millis);
                let due = dues.due(now, &first.header.job, age, due_after);
                OpenJob {
                    urgency: due.urgency(now),
                    due,
                    items,
                }
            })
            .collect();
        jobs.sort_by_key(|job| job.urgency);
        jobs
    }

    /// Items of a job that do not run, the most advanced first.
    fn waiting<'a>(&self, job: &OpenJob<'a>) -> Vec<WaitingItem<'a>> {
        let running = self.running.borrow();
        let items = job.items.iter().map(|one| {
            let key = (one.header.job.clone(), one.index);
            WaitingItem {
                due: job.due,
                produced: self.produced(&key),
                key,
                one,
            }
        });
        let waiting = items.filter(|item| !running.contains_key(&item.key));
        let mut waiting: Vec<WaitingItem> = waiting.collect();
        waiting.sort_by_key(|item| Reverse(item.produced));
        waiting
    }

    /// The route that an item's path and host name now.
    fn route(&self, one: &OpenItem<'_>) -> Option<Arc<Route>> {
        let configuration = self.gateway.configuration()?;
        let path = one.item.path.split('?').next().unwrap_or_default();
        configuration.routes.find(&one.header.host, path).cloned()
    }

    /// Starts an item if it may run now and there is room.
    fn try_start(self: &Rc<Self>, now: Instant, waiting: &WaitingItem<'_>, pass: &mut Pass) {
        let (key, one) = (waiting.key.clone(), waiting.one);
        if pass.no_memory && waiting.produced == 0 {
            return;
        }
        let known = self.progress.borrow().get(&key).cloned();
        if known
            .as_ref()
            .is_some_and(|one| one.borrow().is_backing_off(now))
        {
            return;
        }
        let Some(backend) = self.choose(now, waiting, pass) else {
            return;
        };
        pass.started += 1;
        let progress = known.unwrap_or_else(|| Rc::new(RefCell::new(ItemProgress::new(now))));
        let held = progress.clone();
        self.progress.borrow_mut().insert(key.clone(), held);
        progress.borrow_mut().start_run();
        let work = Work {
            header: one.header.clone(),
            index: one.index,
            item: one.item.clone(),
        };
        let chosen = backend.incarnation.clone();
        let service = backend.service.clone();
        info!(self.gateway.log, "runner: Run started."; "job" => caller_id(&key.0), "item" => key.1,
            "backend" => %backend.incarnation, "produced" => waiting.produced,
            "urgency" => ?waiting.due.urgency(now));
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
            let service = run.backend.service.clone();
            let summary = run.run().await;
            runner.metrics.run_ended(summary.end);
            if summary.end == RunEnd::Whole {
                let mut work = runner.work.borrow_mut();
                work.record_finished(&service, summary.events, summary.made, summary.took);
            }
            // The entry is this task's own handle: it is let go, not aborted.
            runner.running.borrow_mut().remove(&ended);
            runner.ended.notify_one();
        });
        let run = Run {
            _task: task,
            backend: chosen,
            service,
            due: waiting.due,
        };
        self.running.borrow_mut().insert(key, run);
    }

    /// A back end with room, of the service that the item's route names now.
    fn choose(&self, now: Instant, waiting: &WaitingItem<'_>, pass: &mut Pass) -> Option<Backend> {
        let one = waiting.one;
        let route = self.route(one)?;
        let service = self.gateway.split.borrow_mut().next(&route);
        // Items of a pressed service are passed over: those of others behind them have their turn.
        let pressed = self.permit(now, &service, waiting, pass)?;
        if pass.full.contains(&(service.clone(), pressed)) {
            pass.refused += 1;
            return None;
        }
        let headers = item::headers(one.item);
        let terms = self.gateway.adapter.caller.read_terms(&headers);
        let attempts = Attempts::new(route.repetition, u32::MAX);
        let limit = match pressed {
            true => PRESSED_ITEM_LOAD,
            false => ITEM_LOAD,
        };
        let fleet = self.gateway.fleet.borrow();
        let wanted = BackendRequirements {
            service: &service,
            attempts: &attempts,
            affinity: affinity_key(&terms.prompt),
            // What nodes sent that are cut off is in no count, but in back ends' reports on items.
            load_limit: limit - fleet.unseen(now, &service),
            begin_within: None,
            answer_within: None,
        };
        let mut random = self.gateway.random.borrow_mut();
        let chosen = fleet.choose(now, &wanted, &mut *random);
        match chosen {
            Some(_) => self.look_at(now, &service, pass).running += 1,
            None => {
                pass.full.insert((service, pressed));
            }
        }
        chosen
    }
}
