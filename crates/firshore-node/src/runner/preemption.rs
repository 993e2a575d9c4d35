//! Policy for preempting items in favour of online requests. No I/O; the time is passed in.
//!
//! Reports of queued, late or refused online requests show that a service is full, even if the counts of
//! requests in flight don't, which lack those of isolated nodes. While a service is under pressure, none of its
//! items starts, and one run is preempted for each such request. Preempted items resume after their last event
//! when the pressure ends. Items that would miss their deadline otherwise keep a small fraction of the slots;
//! items that are already late wait.

use super::ItemKey;
use super::backlog::DeadlineRisk;
use super::urgency::ItemUrgency;
use firshore_gateway::pressure::ServicePressure;
use firshore_types::ids::ServiceName;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time constant with which the pressure decays: longer than reports through relays take, and short compared to
/// load peaks of some seconds.
const PRESSURE_DECAY: Duration = Duration::from_millis(300);

/// Decayed number of pressing requests, as a fraction of the service's slots, at which a service is under
/// pressure. Fewer may be late behind a single slow back end while other slots are free.
const PRESSURE_FRACTION: f32 = 0.01;

/// Lower bound of that number, for services with few slots.
const MIN_PRESSING_REQUESTS: f32 = 2.0;

/// Fraction of the pressure threshold below which the pressure may end. The hysteresis avoids items that
/// resume, process their prompt again and are preempted at once.
const RELEASE_FRACTION: f32 = 0.25;

/// Upper bound of the pressure, as a multiple of the threshold: items resume within about 600 ms after a load
/// peak of any size.
const MAX_PRESSURE: f32 = 2.0;

/// Fraction of their number during the pressure to which online requests in flight have to fall before items
/// resume. Without this condition, items would resume and be preempted several times during the same load peak,
/// since the pressure ends as soon as they are preempted.
const FALLEN_FRACTION: f32 = 0.85;

/// Fraction of their number during the pressure at which items resume at once. Requests that are reported late
/// then were queued during the peak, and waiting for them would waste free slots.
const PEAK_OVER_FRACTION: f32 = 0.5;

/// Time after a load peak in which late requests are attributed to it.
const PEAK_TAIL: Duration = Duration::from_millis(1_500);

/// Time without pressing requests after which items resume even if online requests have not fallen: back ends
/// may have been added.
const MAX_HOLD: Duration = Duration::from_secs(2);

/// Fraction of the service's mean online load below which runs at a back end are not preempted. It is relative
/// to the mean because observed loads lack requests of isolated nodes.
const IDLE_LOAD_FRACTION: f32 = 0.5;

/// Fraction of a service's slots reserved under pressure for items that would miss their deadline otherwise.
const RESERVED_FRACTION: f32 = 0.02;

/// Time constant for averaging the fraction of time without pressure: several load peaks.
const CALM_DECAY: Duration = Duration::from_secs(12);

/// Lower bound of the fraction of time without pressure. Without it, one long load peak would put all items at
/// risk.
const MIN_CALM_FRACTION: f32 = 0.2;

/// A run that may be preempted.
#[derive(Clone, Debug)]
pub struct PreemptibleRun {
    /// Key of the item.
    pub key: ItemKey,
    /// Load of its back end, in requests per slot.
    pub load: f32,
    /// Risk that the item misses its deadline.
    pub deadline_risk: DeadlineRisk,
    /// Urgency of the item.
    pub urgency: ItemUrgency,
    /// Number of held events.
    pub produced: usize,
}

/// Slots of a service and online requests that use them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceUsage {
    /// Slots of its back ends.
    pub slots: u32,
    /// Online requests at its back ends, without those of isolated nodes.
    pub online: u32,
}

/// Pressure of online requests on one service.
#[derive(Debug)]
struct PressureState {
    /// Decayed number of pressing requests.
    level: f32,
    updated_at: Instant,
    /// Whether the service is under pressure.
    pressed: bool,
    /// Last time at which the level reached the threshold.
    pressed_at: Instant,
    /// Maximum number of online requests in flight during the pressure.
    max_online: u32,
    /// Pressing requests for which no run has been preempted yet.
    pending_preemptions: u32,
    /// Mean fraction of time without pressure.
    calm_fraction: f32,
}

impl PressureState {
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            updated_at: now,
            pressed: false,
            pressed_at: now,
            max_online: 0,
            pending_preemptions: 0,
            calm_fraction: 1.0,
        }
    }

    /// Applies the decay up to `now`.
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f32();
        self.updated_at = self.updated_at.max(now);
        self.level *= (-elapsed / PRESSURE_DECAY.as_secs_f32()).exp();
        let weight = (-elapsed / CALM_DECAY.as_secs_f32()).exp();
        let calm = if self.pressed { 0.0 } else { 1.0 };
        self.calm_fraction = self.calm_fraction * weight + calm * (1.0 - weight);
    }

    /// Updates whether the service is under pressure.
    fn update(&mut self, now: Instant, usage: ServiceUsage) {
        if self.is_peak_over(now, usage) {
            self.level = 0.0;
            self.pressed = false;
            self.pending_preemptions = 0;
            return;
        }
        let threshold = (usage.slots as f32 * PRESSURE_FRACTION).max(MIN_PRESSING_REQUESTS);
        self.level = self.level.min(threshold * MAX_PRESSURE);
        if self.level >= threshold {
            self.max_online = match self.pressed {
                true => self.max_online.max(usage.online),
                false => usage.online,
            };
            self.pressed = true;
            self.pressed_at = now;
        }
        if self.level < threshold * RELEASE_FRACTION && self.has_fallen(now, usage) {
            self.pressed = false;
        }
        if !self.pressed {
            self.pending_preemptions = 0;
        }
    }

    /// Returns whether the last load peak is over, so that requests reported late now were queued during it.
    fn is_peak_over(&self, now: Instant, usage: ServiceUsage) -> bool {
        let elapsed = now.saturating_duration_since(self.pressed_at);
        elapsed < PEAK_TAIL
            && self.max_online > 0
            && usage.online as f32 <= self.max_online as f32 * PEAK_OVER_FRACTION
    }

    /// Returns whether online requests have fallen since the pressure, or have not been pressing for [`MAX_HOLD`].
    fn has_fallen(&self, now: Instant, usage: ServiceUsage) -> bool {
        // An isolated node sees no online requests in flight, so that it can't see them fall.
        let fallen =
            self.max_online > 0 && usage.online as f32 <= self.max_online as f32 * FALLEN_FRACTION;
        fallen || now.saturating_duration_since(self.pressed_at) > MAX_HOLD
    }
}

/// Pressure of online requests on services, and the choice of runs to preempt.
#[derive(Debug, Default)]
pub struct PreemptionPolicy {
    services: HashMap<ServiceName, PressureState>,
}

impl PreemptionPolicy {
    /// Records a report of pressure on a service with the given usage.
    pub fn record_pressure(
        &mut self,
        now: Instant,
        usage: ServiceUsage,
        pressure: &ServicePressure,
    ) {
        let state = self
            .services
            .entry(pressure.service.clone())
            .or_insert_with(|| PressureState::new(now));
        let sum = pressure.counts.sum();
        state.decay(now);
        state.level += sum as f32;
        state.pending_preemptions = state.pending_preemptions.saturating_add(sum);
        state.update(now, usage);
    }

    /// Updates all services to `now`. `usage` returns the usage of a service.
    pub fn advance(&mut self, now: Instant, usage: impl Fn(&ServiceName) -> ServiceUsage) {
        for (service, state) in &mut self.services {
            state.decay(now);
            state.update(now, usage(service));
        }
    }

    /// Returns the services under pressure.
    pub fn pressed(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        services
            .filter(|(_, state)| state.pressed)
            .map(|(service, _)| service)
    }

    /// Returns whether a service is under pressure.
    pub fn is_under_pressure(&self, service: &ServiceName) -> bool {
        let state = self.services.get(service);
        state.is_some_and(|state| state.pressed)
    }

    /// Returns the recent mean fraction of time in which items of a service could run.
    pub fn calm_fraction(&self, service: &ServiceName) -> f32 {
        let state = self.services.get(service);
        state.map_or(1.0, |state| state.calm_fraction.max(MIN_CALM_FRACTION))
    }

    /// Returns whether an item may start. Under pressure, only items at critical risk may, and only in reserved
    /// slots.
    pub fn may_start(
        &self,
        service: &ServiceName,
        slots: u32,
        running: usize,
        risk: DeadlineRisk,
    ) -> bool {
        if !self.is_under_pressure(service) {
            return true;
        }
        risk == DeadlineRisk::Critical && running < reserved_slots(slots)
    }

    /// Returns the runs of a service to preempt now: at most one for each pressing request since the last call.
    /// Selects those with the lowest deadline risk first, then the least urgent, then those with the fewest
    /// events. Excludes runs in reserved slots and runs at back ends with a low load.
    pub fn runs_to_preempt(
        &mut self,
        service: &ServiceName,
        usage: ServiceUsage,
        mut runs: Vec<PreemptibleRun>,
    ) -> Vec<PreemptibleRun> {
        let Some(state) = self.services.get_mut(service).filter(|state| state.pressed) else {
            return Vec::new();
        };
        let pending = std::mem::take(&mut state.pending_preemptions) as usize;
        // The reserved slots go to the most urgent items at critical risk.
        runs.sort_by_key(|run| {
            (
                Reverse(run.deadline_risk),
                run.urgency,
                Reverse(run.produced),
            )
        });
        let critical = runs
            .iter()
            .take_while(|run| run.deadline_risk == DeadlineRisk::Critical);
        let reserved = critical.count().min(reserved_slots(usage.slots));
        let mut others = runs.split_off(reserved);
        let idle_load = IDLE_LOAD_FRACTION * usage.online as f32 / usage.slots.max(1) as f32;
        others.retain(|run| run.load >= idle_load);
        others.reverse();
        others.truncate(pending);
        others
    }
}

/// Returns the number of slots reserved under pressure for items at critical risk.
fn reserved_slots(slots: u32) -> usize {
    (slots as f32 * RESERVED_FRACTION).ceil() as usize
}
