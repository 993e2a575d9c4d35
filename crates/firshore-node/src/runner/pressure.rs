//! Applies the preemption policy to the running items.

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
    /// Updates the pressure of online requests on services, and the slots that they leave free.
    pub(super) fn update_pressure(&self, now: Instant) {
        let usages = self.service_usages(now);
        let usage = |service: &ServiceName| usages.get(service).copied().unwrap_or_default();
        let mut pressures = self.loads.pressure.borrow_mut().take();
        // Pressure from back ends' reports with items, and from this node's online requests.
        pressures.extend(self.gateway.pressure.borrow_mut().take());
        let mut preemption = self.preemption.borrow_mut();
        for pressure in &pressures {
            let was_pressed = preemption.is_under_pressure(&pressure.service);
            preemption.record_pressure(now, usage(&pressure.service), pressure);
            if !was_pressed && preemption.is_under_pressure(&pressure.service) {
                info!(self.gateway.log, "runner: Preempting items."; "service" => %pressure.service,
                    "waiting" => pressure.counts.waiting, "late" => pressure.counts.late,
                    "refused" => pressure.counts.refused, "running" => self.running_count());
            }
        }
        preemption.advance(now, usage);
        let mut backlog = self.backlog.borrow_mut();
        for (service, usage) in &usages {
            backlog.record_free_slots(now, service, usage.slots.saturating_sub(usage.online));
        }
    }

    /// Returns the slots of each service, and the online requests that use them.
    fn service_usages(&self, now: Instant) -> HashMap<ServiceName, ServiceUsage> {
        let fleet = self.gateway.fleet.borrow();
        let running = self.running.borrow();
        let mut items: HashMap<&ServiceName, u32> = HashMap::new();
        for run in running.values() {
            *items.entry(&run.service).or_default() += 1;
        }
        let usages = fleet.services().map(|service| {
            let occupancy = fleet.occupancy(now, service);
            let item_count = items.get(service).copied().unwrap_or(0);
            let usage = ServiceUsage {
                slots: occupancy.slots,
                online: occupancy.held.saturating_sub(item_count),
            };
            (service.clone(), usage)
        });
        usages.collect()
    }

    /// Clears all pressure when this node is no longer leader: nodes then report to another one.
    pub(super) fn clear_pressure(&self) {
        self.loads.pressure.borrow_mut().take();
        *self.preemption.borrow_mut() = Default::default();
    }

    /// Preempts runs of services under pressure. They resume later, after their last event.
    pub(super) fn preempt_for_pressure(&self, now: Instant) {
        let pressed: Vec<ServiceName> = self.preemption.borrow().pressed().cloned().collect();
        if pressed.is_empty() {
            return;
        }
        let usages = self.service_usages(now);
        for service in pressed {
            let runs = self.preemptible_runs(now, &service);
            let usage = usages.get(&service).copied().unwrap_or_default();
            let preempted = self
                .preemption
                .borrow_mut()
                .runs_to_preempt(&service, usage, runs);
            self.stop_runs(&preempted);
        }
    }

    fn stop_runs(&self, preempted: &[PreemptibleRun]) {
        let mut running = self.running.borrow_mut();
        for preemptible in preempted {
            let Some(run) = running.remove(&preemptible.key) else {
                continue;
            };
            info!(self.gateway.log, "runner: Run stopped."; "job" => caller_id(&preemptible.key.0),
                "item" => preemptible.key.1, "backend" => %run.backend, "produced" => preemptible.produced,
                "urgency" => ?preemptible.urgency, "load" => preemptible.load,
                "reason" => "online requests wait");
            self.metrics.preemptions.inc();
        }
    }

    /// Returns the runs of a service as candidates for preemption.
    fn preemptible_runs(&self, now: Instant, service: &ServiceName) -> Vec<PreemptibleRun> {
        let calm_fraction = self.preemption.borrow().calm_fraction(service);
        let fleet = self.gateway.fleet.borrow();
        let running = self.running.borrow();
        let of_service = running.iter().filter(|(_, run)| run.service == *service);
        let runs =
            of_service.map(|(key, run)| self.preemptible_run(now, &fleet, key, run, calm_fraction));
        runs.collect()
    }

    fn preemptible_run(
        &self,
        now: Instant,
        fleet: &Fleet,
        key: &ItemKey,
        run: &Run,
        calm_fraction: f32,
    ) -> PreemptibleRun {
        let produced = self.produced(key);
        let backlog = self.backlog.borrow();
        PreemptibleRun {
            key: key.clone(),
            load: fleet.load(now, &run.backend).unwrap_or(0.0),
            deadline_risk: backlog.deadline_risk(
                now,
                &run.service,
                &run.due,
                produced,
                calm_fraction,
            ),
            urgency: run.due.urgency(now),
            produced,
        }
    }

    /// Returns the number of runs of a service.
    pub(super) fn running_of(&self, service: &ServiceName) -> usize {
        let running = self.running.borrow();
        let of_service = running.values().filter(|run| run.service == *service);
        of_service.count()
    }

    /// Returns the deadline risk of a waiting item. `overloaded` says that the backlog up to this item exceeds
    /// the free capacity until its deadline.
    pub(super) fn deadline_risk(
        &self,
        now: Instant,
        service: &ServiceName,
        waiting: &super::schedule::WaitingItem<'_>,
        overloaded: bool,
    ) -> DeadlineRisk {
        let calm_fraction = self.preemption.borrow().calm_fraction(service);
        let backlog = self.backlog.borrow();
        let risk =
            backlog.deadline_risk(now, service, &waiting.due, waiting.produced, calm_fraction);
        match overloaded {
            true => risk.max(DeadlineRisk::High),
            false => risk,
        }
    }
}
