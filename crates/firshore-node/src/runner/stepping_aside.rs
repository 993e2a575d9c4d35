//! Joins what is decided on giving way to what runs.

use super::backlog::DeadlineRisk;
use super::preemption::{PreemptibleRun, ServiceUsage};
use super::{ItemKey, Run, Runner};
use firshore_adapter::jobs::caller_id;
use firshore_gateway::fleet::Fleet;
use firshore_types::ids::ServiceName;
use slog::info;
use std::collections::HashMap;
use std::time::Instant;

impl Runner {
    /// Takes in how online requests press, and the room that they leave.
    pub(super) fn learn_pressure(&self, now: Instant) {
        let rooms = self.rooms(now);
        let room = |service: &ServiceName| rooms.get(service).copied().unwrap_or_default();
        let mut told = self.loads.pressure.borrow_mut().take();
        // What back ends reported on items, and this node's own requests.
        told.extend(self.gateway.pressure.borrow_mut().take());
        let mut way = self.way.borrow_mut();
        for pressure in &told {
            let pressed = way.is_pressed(&pressure.service);
            way.record_pressure(now, room(&pressure.service), pressure);
            if !pressed && way.is_pressed(&pressure.service) {
                info!(self.gateway.log, "runner: Items give way."; "service" => %pressure.service,
                    "waiting" => pressure.counts.waiting, "late" => pressure.counts.late,
                    "refused" => pressure.counts.refused, "running" => self.running());
            }
        }
        way.advance(now, room);
        let mut work = self.work.borrow_mut();
        for (service, room) in &rooms {
            work.record_free_slots(now, service, room.slots.saturating_sub(room.online));
        }
    }

    /// The room of each service, and what online requests use of it.
    fn rooms(&self, now: Instant) -> HashMap<ServiceName, ServiceUsage> {
        let fleet = self.gateway.fleet.borrow();
        let running = self.running.borrow();
        let mut items: HashMap<&ServiceName, u32> = HashMap::new();
        for run in running.values() {
            *items.entry(&run.service).or_default() += 1;
        }
        let rooms = fleet.services().map(|service| {
            let occupancy = fleet.occupancy(now, service);
            let own = items.get(service).copied().unwrap_or(0);
            let room = ServiceUsage {
                slots: occupancy.slots,
                online: occupancy.held.saturating_sub(own),
            };
            (service.clone(), room)
        });
        rooms.collect()
    }

    /// What nodes told another leader says nothing when this node leads again.
    pub(super) fn forget_pressure(&self) {
        self.loads.pressure.borrow_mut().take();
        *self.way.borrow_mut() = Default::default();
    }

    /// Stops runs of services whose online requests find too little room. They go on after their last event.
    pub(super) fn step_aside(&self, now: Instant) {
        let pressed: Vec<ServiceName> = self.way.borrow().pressed().cloned().collect();
        if pressed.is_empty() {
            return;
        }
        let rooms = self.rooms(now);
        for service in pressed {
            let runs = self.held_runs(now, &service);
            let room = rooms.get(&service).copied().unwrap_or_default();
            let stopped = self.way.borrow_mut().runs_to_preempt(&service, room, runs);
            self.stop_runs(&stopped);
        }
    }

    fn stop_runs(&self, stopped: &[PreemptibleRun]) {
        let mut running = self.running.borrow_mut();
        for held in stopped {
            let Some(run) = running.remove(&held.key) else {
                continue;
            };
            info!(self.gateway.log, "runner: Run stopped."; "job" => caller_id(&held.key.0),
                "item" => held.key.1, "backend" => %run.backend, "produced" => held.produced,
                "urgency" => ?held.urgency, "load" => held.load,
                "reason" => "online requests wait");
            self.metrics.preemptions.inc();
        }
    }

    /// Runs of a service, as the decision sees them.
    fn held_runs(&self, now: Instant, service: &ServiceName) -> Vec<PreemptibleRun> {
        let calm_share = self.way.borrow().calm_fraction(service);
        let fleet = self.gateway.fleet.borrow();
        let running = self.running.borrow();
        let of_service = running.iter().filter(|(_, run)| run.service == *service);
        let runs = of_service.map(|(key, run)| self.held_run(now, &fleet, key, run, calm_share));
        runs.collect()
    }

    fn held_run(
        &self,
        now: Instant,
        fleet: &Fleet,
        key: &ItemKey,
        run: &Run,
        calm_share: f32,
    ) -> PreemptibleRun {
        let produced = self.produced(key);
        let work = self.work.borrow();
        PreemptibleRun {
            key: key.clone(),
            load: fleet.load(now, &run.backend).unwrap_or(0.0),
            deadline_risk: work.deadline_risk(now, &run.service, &run.due, produced, calm_share),
            urgency: run.due.urgency(now),
            produced,
        }
    }

    /// Runs of a service.
    pub(super) fn running_of(&self, service: &ServiceName) -> usize {
        let running = self.running.borrow();
        let of_service = running.values().filter(|run| run.service == *service);
        of_service.count()
    }

    /// How an item's work compares with its time; `behind`: with all that is due before it, it is more than
    /// there is room for.
    pub(super) fn outlook(
        &self,
        now: Instant,
        service: &ServiceName,
        waiting: &super::schedule::WaitingItem<'_>,
        behind: bool,
    ) -> DeadlineRisk {
        let calm_share = self.way.borrow().calm_fraction(service);
        let work = self.work.borrow();
        let alone = work.deadline_risk(now, service, &waiting.due, waiting.produced, calm_share);
        match behind {
            true => alone.max(DeadlineRisk::High),
            false => alone,
        }
    }
}
