//! Scheduling pass: selects the items that start, and their back ends.

use super::backlog::DeadlineRisk;
use super::expiry::GiveUpReason;
use super::give_up::GivenUpItem;
use super::handover::TextId;
use super::item::{self, ItemRun};
use super::progress::{ItemProgress, RunEnd};
use super::urgency::{DueTime, ItemUrgency};
use super::waits::WaitReason;
use super::{ItemKey, MAX_AT_RISK_ITEM_LOAD, MAX_ITEM_LOAD, Run, Runner, Work};
use crate::task::Task;
use firshore_adapter::backend::Backend;
use firshore_adapter::jobs::caller_id;
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Route;
use firshore_adapter::text_origin::TextOrigin;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::choice::affinity_key;
use firshore_gateway::fleet::BackendRequirements;
use firshore_jobs::command::JobHeader;
use firshore_jobs::table::OpenItem;
use firshore_types::ids::{ServiceName, SoftwareVersion, TenantName};
use rand::RngExt;
use slog::info;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum number of items started in one pass: each costs processor time, and its load is observed only later.
const MAX_STARTS: usize = 32;

/// Number of items without a free slot after which a pass ends.
const MAX_REFUSALS: usize = 64;

/// A job that is not finished.
struct OpenJob<'a> {
    header: &'a JobHeader,
    urgency: ItemUrgency,
    due: DueTime,
    items: &'a [OpenItem<'a>],
}

/// An open item that is not running.
pub(super) struct WaitingItem<'a> {
    pub(super) due: DueTime,
    /// Number of held events.
    pub(super) produced: usize,
    pub(super) key: ItemKey,
    pub(super) item: &'a OpenItem<'a>,
}

/// State of a service in one pass.
#[derive(Clone, Copy, Default)]
struct ServicePass {
    /// Slots of its back ends.
    slots: u32,
    /// Running items.
    running: usize,
    /// Open items that are at least as urgent as those being examined.
    backlog: usize,
}

/// A service without a free slot for some items.
#[derive(Clone, PartialEq, Eq, Hash)]
struct FullService {
    service: ServiceName,
    /// Whether the items are at risk.
    at_risk: bool,
    /// Software version that began the items; `None` for items that begin.
    software: Option<SoftwareVersion>,
}

/// State of one pass over the waiting items.
#[derive(Default)]
pub(super) struct Pass {
    /// Whether items wait.
    waiting: bool,
    /// Number of started items.
    started: usize,
    /// Number of items without a free slot.
    refused: usize,
    /// Whether the memory for events is used up, so that only items that already have events may start.
    memory_full: bool,
    /// Services without a free slot.
    full: HashSet<FullService>,
    /// Services of the examined items.
    services: HashMap<ServiceName, ServicePass>,
    /// Items that are given up.
    pub(super) given_up: Vec<GivenUpItem>,
    /// Maximum number of items that are given up.
    pub(super) max_give_ups: usize,
    /// Why the last examined item did not start; `None` if it did.
    pub(super) wait_reason: Option<WaitReason>,
}

impl Pass {
    fn is_over(&self) -> bool {
        self.started >= MAX_STARTS || self.refused >= MAX_REFUSALS
    }
}

impl Runner {
    /// Starts items in free slots. Returns whether items are waiting.
    pub(super) fn schedule(self: &Rc<Self>) -> bool {
        let state = self.replica.applied_state();
        self.stop_closed(|key| state.read().is_open(&key.0, key.1));
        let now = Instant::now();
        let state = state.read();
        self.due_times
            .borrow_mut()
            .retain(|job| state.is_job_open(job));
        self.waits.borrow_mut().retain(|job| state.is_job_open(job));
        let items = state.open_items();
        let budget = self.journal.budget;
        let mut pass = Pass {
            memory_full: !budget.admits_new_run(self.progress_bytes()),
            max_give_ups: self.max_give_ups(),
            ..Pass::default()
        };
        let jobs = self.open_jobs(now, &items).into_iter();
        let clock = firshore_clock::now().into_std();
        let (over, jobs): (Vec<OpenJob>, Vec<OpenJob>) =
            jobs.partition(|job| self.time_left(clock, job.header).is_zero());
        for job in &over {
            self.end_items(job, &mut pass);
        }
        let examined_all = self.start_items(now, &jobs, &mut pass);
        self.absences.borrow_mut().end_pass(examined_all);
        self.give_up(std::mem::take(&mut pass.given_up));
        pass.waiting
    }

    /// Gives up the items of a job whose time is over. Those that run go on.
    fn end_items(&self, job: &OpenJob<'_>, pass: &mut Pass) {
        for waiting in self.waiting(job) {
            pass.waiting = true;
            pass.give_up(&waiting, GiveUpReason::TimeOver);
        }
    }

    /// Starts items in free slots, the most urgent first. Returns whether it examined all that wait.
    fn start_items(self: &Rc<Self>, now: Instant, jobs: &[OpenJob<'_>], pass: &mut Pass) -> bool {
        for job in jobs {
            self.add_backlog(now, job, pass);
            for (position, waiting) in self.waiting(job).iter().enumerate() {
                pass.waiting = true;
                let at_capacity = self.running_count() >= self.max_runs;
                if at_capacity || pass.is_over() {
                    return false;
                }
                pass.wait_reason = self.try_start(now, waiting, pass).err();
                if position == 0 {
                    self.log_wait(now, waiting, pass);
                }
            }
        }
        true
    }

    /// Adds the items of a job to the backlog of its service. Jobs are passed in the order of urgency.
    fn add_backlog(&self, now: Instant, job: &OpenJob<'_>, pass: &mut Pass) {
        let Some(route) = job.items.first().and_then(|item| self.route(item)) else {
            return;
        };
        let Some(service) = route.services.first().map(|split| &split.service) else {
            return;
        };
        self.service_pass(now, service, pass).backlog += job.items.len();
    }

    /// Returns the state of a service in this pass; creates it if needed.
    fn service_pass<'a>(
        &self,
        now: Instant,
        service: &ServiceName,
        pass: &'a mut Pass,
    ) -> &'a mut ServicePass {
        let services = &mut pass.services;
        if !services.contains_key(service) {
            let service_pass = ServicePass {
                slots: self.gateway.fleet.borrow().occupancy(now, service).slots,
                running: self.running_of(service),
                backlog: 0,
            };
            services.insert(service.clone(), service_pass);
        }
        services
            .get_mut(service)
            .expect("the service was inserted above")
    }

    /// Returns `None` if online requests prevent the start of an item, otherwise whether it is at risk and may
    /// use the last slots.
    fn start_permit(
        &self,
        now: Instant,
        service: &ServiceName,
        waiting: &WaitingItem<'_>,
        pass: &mut Pass,
    ) -> Option<bool> {
        let service_pass = *self.service_pass(now, service, pass);
        let time = waiting
            .due
            .deadline
            .map(|deadline| deadline.saturating_duration_since(now));
        let overloaded = time.filter(|time| !time.is_zero()).is_some_and(|time| {
            let backlog = self.backlog.borrow();
            backlog.exceeds_capacity(service, service_pass.backlog, time)
        });
        let risk = self.deadline_risk(now, service, waiting, overloaded);
        let preemption = self.preemption.borrow();
        let may_start =
            preemption.may_start(service, service_pass.slots, service_pass.running, risk);
        may_start.then_some(risk > DeadlineRisk::Low)
    }

    /// Returns the open jobs, the most urgent first.
    fn open_jobs<'a>(&self, now: Instant, items: &'a [OpenItem<'a>]) -> Vec<OpenJob<'a>> {
        let clock = SystemTime::now().duration_since(UNIX_EPOCH);
        let clock = clock.unwrap_or_default();
        let mut due_times = self.due_times.borrow_mut();
        let by_job = items.chunk_by(|first, second| first.header.job == second.header.job);
        let mut jobs: Vec<OpenJob> = by_job
            .map(|items| {
                let first = &items[0];
                let age = clock.saturating_sub(Duration::from_millis(first.submitted_at));
                let due_after = first.header.due_after.map(Duration::from_millis);
                let due = due_times.due(now, &first.header.job, age, due_after);
                OpenJob {
                    header: first.header,
                    urgency: due.urgency(now),
                    due,
                    items,
                }
            })
            .collect();
        jobs.sort_by_key(|job| job.urgency);
        jobs
    }

    /// Returns the items of a job that are not running, those with the most events first.
    fn waiting<'a>(&self, job: &OpenJob<'a>) -> Vec<WaitingItem<'a>> {
        let running = self.running.borrow();
        let items = job.items.iter().map(|item| {
            let key = (item.header.job.clone(), item.index);
            WaitingItem {
                due: job.due,
                produced: self.produced(&key),
                key,
                item,
            }
        });
        let waiting = items.filter(|waiting| !running.contains_key(&waiting.key));
        let mut waiting: Vec<WaitingItem> = waiting.collect();
        waiting.sort_by_key(|waiting| Reverse(waiting.produced));
        waiting
    }

    /// Returns the present route for an item's host and path.
    fn route(&self, item: &OpenItem<'_>) -> Option<Arc<Route>> {
        let configuration = self.gateway.configuration()?;
        let path = item.item.path.split('?').next().unwrap_or_default();
        configuration.routes.find(&item.header.host, path).cloned()
    }

    /// Returns the permit of an item for the zones in which it may run, by the present route and tenant.
    fn residency(&self, route: &Route, tenant: Option<&TenantName>) -> ResidencyPermit {
        let configuration = self.gateway.configuration();
        let tenants = configuration
            .as_ref()
            .and_then(|current| current.tenants.as_ref());
        let tenant = tenant.and_then(|name| tenants?.named(name));
        self.gateway.residency(route, tenant.map(Arc::as_ref))
    }

    /// Starts an item if it may run now and a back end has a free slot.
    fn try_start(
        self: &Rc<Self>,
        now: Instant,
        waiting: &WaitingItem<'_>,
        pass: &mut Pass,
    ) -> Result<(), WaitReason> {
        let (key, item) = (waiting.key.clone(), waiting.item);
        let Some(route) = self.route(item) else {
            self.record_absent_route(waiting, pass);
            return Err(WaitReason::NoRoute);
        };
        if pass.memory_full && waiting.produced == 0 {
            return Err(WaitReason::MemoryFull);
        }
        let former = self.progress.borrow().get(&key).cloned();
        if former
            .as_ref()
            .is_some_and(|progress| progress.borrow().is_backing_off(now))
        {
            return Err(WaitReason::BacksOff);
        }
        let progress = former.unwrap_or_else(|| Rc::new(RefCell::new(ItemProgress::new(now))));
        self.discard_stuck_progress(&key, item, &route, &mut progress.borrow_mut());
        let origin = progress.borrow().origin().cloned();
        let backend = self.choose(now, waiting, &route, origin.as_ref(), pass)?;
        pass.started += 1;
        let shared = progress.clone();
        self.progress.borrow_mut().insert(key.clone(), shared);
        progress
            .borrow_mut()
            .start_run(now, &backend, self.draw_text());
        let work = Work {
            header: item.header.clone(),
            index: item.index,
            item: item.item.clone(),
        };
        let chosen = backend.incarnation.clone();
        let service = backend.service.clone();
        info!(self.gateway.log, "runner: Run started."; "job" => caller_id(&key.0), "item" => key.1,
            "backend" => %backend.incarnation, "produced" => progress.borrow().produced().len(),
            "text" => progress.borrow().text().map(|text| text.to_string()),
            "software" => backend.software.as_ref().map(ToString::to_string),
            "urgency" => ?waiting.due.urgency(now));
        let run = ItemRun {
            gateway: self.gateway.clone(),
            replica: self.replica.clone(),
            work,
            progress,
            // Counted at once, so that the choice for the next item includes it.
            in_flight: self.gateway.begin_send(&backend.incarnation),
            backend,
        };
        let runner = self.clone();
        let run_key = key.clone();
        let task = Task::spawn(async move {
            let service = run.backend.service.clone();
            let summary = run.run().await;
            runner.metrics.run_ended(summary.end);
            if summary.end == RunEnd::Whole {
                let mut backlog = runner.backlog.borrow_mut();
                backlog.record_finished(
                    &service,
                    summary.events,
                    summary.new_events,
                    summary.duration,
                );
            }
            // Removing the entry drops the handle of this task, which ends here, so that nothing is aborted.
            runner.running.borrow_mut().remove(&run_key);
            runner.run_ended.notify_one();
        });
        let run = Run {
            _task: task,
            backend: chosen,
            service,
            due: waiting.due,
        };
        self.running.borrow_mut().insert(key, run);
        Ok(())
    }

    /// Draws the identifier of a text.
    pub(super) fn draw_text(&self) -> TextId {
        TextId(self.gateway.random.borrow_mut().random())
    }

    /// Discards the events of an item that no back end may continue. It then begins anew.
    fn discard_stuck_progress(
        &self,
        key: &ItemKey,
        item: &OpenItem<'_>,
        route: &Route,
        progress: &mut ItemProgress,
    ) {
        let residency = self.residency(route, item.header.tenant.as_ref());
        let fleet = self.gateway.fleet.borrow();
        let mut services = route.services.iter().map(|weighted| &weighted.service);
        let is_stuck = progress.is_stuck(|origin, begun_at| {
            services.any(|service| service == origin.service())
                && fleet.can_continue(origin, &residency)
                && !fleet.software().is_doubtful(origin, begun_at)
        });
        // Without a back end that may begin it, the events are kept: one that continues it may be listed later.
        let mut services = route.services.iter().map(|weighted| &weighted.service);
        let origin = progress.origin();
        if !is_stuck || !services.any(|one| fleet.can_begin_anew(one, origin, &residency)) {
            return;
        }
        info!(self.gateway.log, "runner: Item begins anew."; "job" => caller_id(&key.0), "item" => key.1,
            "discarded" => progress.produced().len(),
            "text" => progress.text().map(|text| text.to_string()),
            "software" => progress.origin().and_then(TextOrigin::software).map(ToString::to_string),
            "reason" => "no back end may continue it");
        progress.begin_anew();
    }

    /// Chooses a back end with a free slot for an item, from the present services of its route, or from those that may
    /// continue its events.
    fn choose(
        &self,
        now: Instant,
        waiting: &WaitingItem<'_>,
        route: &Route,
        origin: Option<&TextOrigin>,
        pass: &mut Pass,
    ) -> Result<Backend, WaitReason> {
        let item = waiting.item;
        let service = match origin {
            Some(origin) => origin.service().clone(),
            None => self.gateway.split.borrow_mut().next(route),
        };
        // Items of a service under pressure are skipped and don't count as refused, so that items of other
        // services behind them are examined.
        let permit = self.start_permit(now, &service, waiting, pass);
        let at_risk = permit.ok_or(WaitReason::OnlineRequests)?;
        let full = FullService {
            service: service.clone(),
            at_risk,
            software: origin.and_then(TextOrigin::software).cloned(),
        };
        if pass.full.contains(&full) {
            // Items of other versions behind them may find a free slot.
            pass.refused += usize::from(origin.is_none());
            return Err(WaitReason::NoFreeSlot);
        }
        let headers = item::headers(item.item);
        let terms = self.gateway.adapter.caller.read_terms(&headers);
        let attempts = Attempts::new(route.repetition, u32::MAX);
        let residency = self.residency(route, item.header.tenant.as_ref());
        let limit = match at_risk {
            true => MAX_AT_RISK_ITEM_LOAD,
            false => MAX_ITEM_LOAD,
        };
        let fleet = self.gateway.fleet.borrow();
        let requirements = BackendRequirements {
            origin,
            service: &service,
            attempts: &attempts,
            residency: &residency,
            affinity: affinity_key(&terms.prompt),
            // Requests of isolated nodes are in no node's count, but in the loads that back ends report with
            // items.
            load_limit: limit - fleet.unseen_load(now, &service),
            begin_within: None,
            begin_objective: None,
        };
        let mut random = self.gateway.random.borrow_mut();
        let chosen = fleet.choose(now, &requirements, &mut *random);
        let Some(backend) = chosen else {
            pass.full.insert(full);
            return Err(match fleet.has_any(&service, &residency) {
                true => WaitReason::NoFreeSlot,
                false => WaitReason::NoBackend,
            });
        };
        self.service_pass(now, &service, pass).running += 1;
        Ok(backend)
    }
}
