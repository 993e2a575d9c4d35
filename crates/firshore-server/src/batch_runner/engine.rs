//! One owned engine: its load, the items leased for it, and the decision how many may run.

use super::Context;
use super::answer::RunEnd;
use super::item::{Run, RunReport};
use super::leases::{HeldLease, LEASE_MILLISECONDS, Stop, boot_milliseconds};
use super::ownership::OwnedEngine;
use crate::journal;
use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use firshore_batch::command::{
    Action, HandbackReason, LeaseReference, LeaseRequest, LeaseRequestId, Outcome,
};
use firshore_batch::headroom::{EngineOccupancy, HeadroomController};
use firshore_exchange::exchange;
use firshore_types::declaration::EngineRole;
use firshore_types::machine::Machine;
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time between two looks at an engine's load while it matters: online requests are on it, or
/// were lately, and items wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two looks at an engine's load otherwise.
const CALM_INTERVAL: Duration = Duration::from_millis(100);

const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
const MAXIMUM_LOAD_BYTES: usize = 64 * 1024;
const LOAD_HEADER: &str = "engine-load";
const STATE_HEADER: &str = "engine-state";

/// Pause after the journal had nothing to lease, doubled each time up to the second value.
const SHORTEST_PULL_PAUSE_MILLISECONDS: u64 = 50;
const LONGEST_PULL_PAUSE_MILLISECONDS: u64 = 400;

/// Leased items are handed back when they cannot start for this long, in milliseconds.
const HOLD_MILLISECONDS: u64 = 1_500;

/// Nothing is sent to an engine for this long after it refused an item, in milliseconds.
const REFUSED_MILLISECONDS: u64 = 200;

/// An engine's load as it reports it, late.
#[derive(Clone, Debug, Deserialize)]
struct LoadReport {
    slots: u32,
    #[serde(default)]
    online_running: u32,
    #[serde(default)]
    batch_running: u32,
    #[serde(default)]
    role: Option<EngineRole>,
    #[serde(default)]
    draining: bool,
    #[serde(default)]
    step_milliseconds: f64,
}

/// Load as it rides on each answer, `RUNNING/WAITING/SLOTS`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FreshLoad {
    running: u32,
    waiting: u32,
    slots: u32,
}

impl FreshLoad {
    fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(LOAD_HEADER)?.to_str().ok()?;
        let mut parts = text.split('/').map(|part| part.trim().parse().ok());
        Some(Self {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
        })
    }
}

/// A leased item that waits for a slot.
struct ReadyItem {
    lease: Rc<HeldLease>,
    resumes: bool,
}

impl ReadyItem {
    fn hand_back(self, context: &Context) {
        let reason = match self.resumes {
            true => HandbackReason::Interrupted,
            false => HandbackReason::NotRun,
        };
        context.settlement.hand_back(self.lease, reason);
    }
}

#[derive(Default)]
struct State {
    models: Vec<String>,
    slots: u32,
    online: u32,
    takes_batch: bool,
    controller: HeadroomController,
    ready: VecDeque<ReadyItem>,
    running: HashMap<LeaseReference, Rc<HeldLease>>,
    /// When the first of `ready` began to wait in vain, in boot-time milliseconds.
    held_since: Option<u64>,
    pull_pause: u64,
    pull_after: u64,
    /// The engine refused an item; nothing is sent until then, in boot-time milliseconds.
    refused_until: u64,
}

/// An engine that this node owns.
pub(super) struct Engine {
    machine: Machine,
    state: RefCell<State>,
    wake: Notify,
    pulling: Cell<bool>,
    released: Cell<bool>,
}

impl Engine {
    pub(super) fn new(owned: OwnedEngine) -> Self {
        let state = State {
            models: owned.models,
            ..State::default()
        };
        Self {
            machine: owned.machine,
            state: state.into(),
            wake: Notify::new(),
            pulling: Cell::new(false),
            released: Cell::new(false),
        }
    }

    pub(super) fn runs_on(&self, machine: &Machine) -> bool {
        self.machine.address == machine.address && self.machine.labels == machine.labels
    }

    pub(super) fn set_models(&self, models: Vec<String>) {
        self.state.borrow_mut().models = models;
    }

    /// Hands back what waits and stops what runs, except items that cannot be run again.
    pub(super) fn release(&self, context: &Context) {
        self.released.set(true);
        let mut state = self.state.borrow_mut();
        for item in state.ready.drain(..) {
            item.hand_back(context);
        }
        for lease in state.running.values() {
            if lease.granted.item.repeatable {
                lease.stop(Stop::Revoked);
            }
        }
        self.wake.notify_one();
    }

    /// An online request is on its way here: items make room at once.
    pub(super) fn online_coming(&self, context: &Context) {
        let mut state = self.state.borrow_mut();
        state.controller.online_seen(boot_milliseconds());
        let allowed = state.allowed();
        state.yield_down_to(allowed);
        state.hand_back_what_waits_in_vain(context, allowed);
    }

    async fn look(&self) {
        let own_before = self.state.borrow().running.len() as u32;
        let answer = timeout(LOAD_TIMEOUT, self.load()).await.ok().flatten();
        let mut state = self.state.borrow_mut();
        let Some((report, headers)) = answer else {
            state.takes_batch = false;
            return;
        };
        state.slots = report.slots;
        state.takes_batch = !report.draining && report.role != Some(EngineRole::Online);
        let then = EngineOccupancy {
            slots: report.slots,
            online: report.online_running,
            batch: report.batch_running,
        };
        if then.online > 0 && report.step_milliseconds > 0.0 {
            state
                .controller
                .observe_token_gap(then, report.step_milliseconds);
        }
        match FreshLoad::read(&headers) {
            Some(fresh) => state.take_fresh(fresh, own_before),
            None => state.online = report.online_running,
        }
    }

    async fn load(&self) -> Option<(LoadReport, HeaderMap)> {
        let address = self.machine.address;
        let head = exchange::request_head(Method::GET, "/load", address).ok()?;
        let mut exchange = exchange::send(address, head, Bytes::new()).await.ok()?;
        let body = exchange.body.read_whole(MAXIMUM_LOAD_BYTES).await.ok()?;
        let report = serde_json::from_slice(&body).ok()?;
        Some((report, exchange.head.headers))
    }

    /// Stops items beyond what may run, starts items up to it. Gives whether more are wanted.
    fn balance(self: &Rc<Self>, context: &Rc<Context>) -> bool {
        let mut state = self.state.borrow_mut();
        state.hand_back_revoked(context);
        let allowed = state.allowed();
        state.yield_down_to(allowed);
        while (state.running.len() as u32) < allowed {
            let Some(item) = state.ready.pop_front() else {
                break;
            };
            state
                .running
                .insert(item.lease.reference().clone(), item.lease.clone());
            actix_rt::spawn(self.clone().run_item(context.clone(), item));
        }
        state.hand_back_what_waits_in_vain(context, allowed);
        let low = (state.ready.len() as u32) < allowed.div_ceil(2);
        low && boot_milliseconds() >= state.pull_after
    }

    async fn run_item(self: Rc<Self>, context: Rc<Context>, item: ReadyItem) {
        item.lease.resume();
        let run = Run {
            lease: &item.lease,
            address: self.machine.address,
            resumes: item.resumes,
        };
        let report = run.run(&context).await;
        self.ended(&context, item, report);
        self.wake.notify_one();
    }

    fn ended(&self, context: &Context, item: ReadyItem, report: RunReport) {
        let mut state = self.state.borrow_mut();
        let own_before = state.running.len() as u32;
        state.running.remove(item.lease.reference());
        if let Some(headers) = &report.headers {
            state.take_headers(headers, own_before);
        }
        if report.end == RunEnd::Preempted {
            state.preempted();
        }
        let lease = item.lease;
        let settlement = &context.settlement;
        let may_go_on = lease.granted.item.repeatable && !self.released.get();
        match report.end {
            RunEnd::Done(result) => settlement.completed(lease, result),
            RunEnd::Preempted | RunEnd::Stopped if may_go_on && lease.is_valid() => {
                state.ready.push_front(ReadyItem {
                    lease,
                    resumes: true,
                });
            }
            RunEnd::Preempted | RunEnd::Stopped => {
                settlement.hand_back(lease, HandbackReason::Interrupted);
            }
            RunEnd::NotRun => {
                state.refused_until = boot_milliseconds() + REFUSED_MILLISECONDS;
                let reason = match item.resumes {
                    true => HandbackReason::Interrupted,
                    false => HandbackReason::NotRun,
                };
                settlement.hand_back(lease, reason);
            }
            RunEnd::Lost => settlement.hand_back(lease, HandbackReason::Lost),
        }
    }

    async fn pull(&self, context: &Context) {
        let (models, count) = {
            let mut state = self.state.borrow_mut();
            let allowed = state.allowed();
            let held = (state.ready.len() + state.running.len()) as u32;
            let wanted = (allowed * 2).saturating_sub(held);
            (state.models.clone(), wanted)
        };
        if count == 0 {
            return;
        }
        let asked_at = boot_milliseconds();
        let request = LeaseRequest {
            id: LeaseRequestId {
                holder: context.shared.members.lock().own().instance,
                sequence: context.next_request(),
            },
            models,
            engine_labels: self.machine.labels.clone(),
            count,
            duration_milliseconds: LEASE_MILLISECONDS,
        };
        let outcome = journal::propose(&context.shared, Action::Lease(request)).await;
        let granted = match outcome {
            Ok(Outcome::Leased(granted)) => granted,
            _ => Vec::new(),
        };
        let mut state = self.state.borrow_mut();
        state.pulled(granted.len() as u32, count);
        for lease in granted {
            let lease = context.leases.add(lease, asked_at);
            if self.released.get() {
                context.settlement.hand_back(lease, HandbackReason::NotRun);
                continue;
            }
            state.ready.push_back(ReadyItem {
                lease,
                resumes: false,
            });
        }
        self.wake.notify_one();
    }
}

impl State {
    fn occupancy(&self) -> EngineOccupancy {
        EngineOccupancy {
            slots: self.slots,
            online: self.online,
            batch: self.running.len() as u32,
        }
    }

    fn allowed(&mut self) -> u32 {
        if !self.takes_batch || boot_milliseconds() < self.refused_until {
            return 0;
        }
        let occupancy = self.occupancy();
        self.controller.allowed(boot_milliseconds(), occupancy)
    }

    fn take_headers(&mut self, headers: &HeaderMap, own_before: u32) {
        if headers.contains_key(STATE_HEADER) {
            self.takes_batch = false;
        }
        if let Some(fresh) = FreshLoad::read(headers) {
            self.take_fresh(fresh, own_before);
        }
    }

    /// What is on the engine beyond this node's items is online. Items on their way there or back
    /// count as there, so that they are not mistaken for online requests.
    fn take_fresh(&mut self, fresh: FreshLoad, own_before: u32) {
        let own = own_before.max(self.running.len() as u32);
        self.slots = fresh.slots;
        self.online = (fresh.running + fresh.waiting).saturating_sub(own);
    }

    /// An engine puts an item out only for an online request.
    fn preempted(&mut self) {
        self.online = self.online.max(1);
        self.controller.online_seen(boot_milliseconds());
    }

    fn yield_down_to(&mut self, allowed: u32) {
        let mut excess = self.running.len().saturating_sub(allowed as usize);
        // The latest first: they have the least to resume.
        let mut latest: Vec<&Rc<HeldLease>> = self.running.values().collect();
        latest.sort_by_key(|lease| std::cmp::Reverse(lease.reference().token));
        for lease in latest {
            if excess == 0 {
                return;
            }
            if lease.granted.item.repeatable {
                lease.stop(Stop::Yield);
                excess -= 1;
            }
        }
    }

    /// A cancelled job ends only once the leases of its waiting items are back too.
    fn hand_back_revoked(&mut self, context: &Context) {
        if self.ready.iter().all(|item| item.lease.is_valid()) {
            return;
        }
        let ready = std::mem::take(&mut self.ready);
        for item in ready {
            if item.lease.is_valid() {
                self.ready.push_back(item);
            } else {
                item.hand_back(context);
            }
        }
    }

    fn hand_back_what_waits_in_vain(&mut self, context: &Context, allowed: u32) {
        let now = boot_milliseconds();
        if self.ready.is_empty() || allowed > 0 {
            self.held_since = None;
            return;
        }
        let since = *self.held_since.get_or_insert(now);
        if now - since < HOLD_MILLISECONDS {
            return;
        }
        for item in self.ready.drain(..) {
            item.hand_back(context);
        }
    }

    fn pulled(&mut self, granted: u32, wanted: u32) {
        self.pull_pause = if granted == wanted {
            0
        } else {
            (self.pull_pause * 2).clamp(
                SHORTEST_PULL_PAUSE_MILLISECONDS,
                LONGEST_PULL_PAUSE_MILLISECONDS,
            )
        };
        self.pull_after = boot_milliseconds() + self.pull_pause;
    }

    /// Time until the engine's load is worth another look.
    fn look_interval(&self) -> Duration {
        let full = self.running.len() as u32 == self.slots;
        let items = !self.ready.is_empty() || !self.running.is_empty();
        if items && !full {
            BUSY_INTERVAL
        } else {
            CALM_INTERVAL
        }
    }
}

/// Drives an engine until it is released.
pub(super) async fn drive(context: Rc<Context>, engine: Rc<Engine>) {
    let mut look_at = 0;
    while !engine.released.get() {
        let now = boot_milliseconds();
        if now >= look_at {
            engine.look().await;
            let interval = engine.state.borrow().look_interval();
            look_at = boot_milliseconds() + interval.as_millis() as u64;
        }
        if engine.released.get() {
            return;
        }
        if engine.balance(&context) && !engine.pulling.replace(true) {
            let (context, engine) = (context.clone(), engine.clone());
            actix_rt::spawn(async move {
                engine.pull(&context).await;
                engine.pulling.set(false);
            });
        }
        let pause = look_at.saturating_sub(boot_milliseconds()).max(1);
        let _ = timeout(Duration::from_millis(pause), engine.wake.notified()).await;
    }
}
