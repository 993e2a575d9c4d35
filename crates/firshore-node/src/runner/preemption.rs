//! Where items give way to online requests. No I/O; the time is passed in.
//!
//! What nodes tell of requests that wait, are late or are refused says that a service is full, also
//! where counts of what is under way do not: nodes that are cut off are missing in those. While a service
//! is pressed, none of its items starts and running ones step aside, one for each request that pressed;
//! they go on after their last event in the next trough. Items that would be late otherwise keep a small
//! part of the slots; those that are late already wait for a trough.

use super::ItemKey;
use super::backlog::DeadlineRisk;
use super::urgency::ItemUrgency;
use firshore_gateway::pressure::ServicePressure;
use firshore_types::ids::ServiceName;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time in which what was told fades to a third: longer than nodes take to tell through relays, and short
/// beside waves of some seconds.
const PRESSURE_MEMORY: Duration = Duration::from_millis(300);

/// Requests that pressed within that time, as a part of the service's slots, from which on it counts as
/// pressed: fewer come late beside plenty of room too, behind one slow back end.
const PRESSED_SHARE: f32 = 0.01;

/// The same in requests, for services of few slots.
const LEAST_PRESSED: f32 = 2.0;

/// Part of that at which a service is eased again. Between the two nothing changes: an item that goes on
/// and has to stop at once has its prompt read in vain.
const EASED_SHARE: f32 = 0.25;

/// Most that is remembered, as a multiple of what presses: however hard a wave was, items go on within
/// about 600 ms of its end.
const MOST_PRESSURE: f32 = 2.0;

/// Part of the online requests under way when they pressed, to which they have to fall before items go on. As
/// soon as items have stepped aside nothing presses any more: by that alone they would start again into the
/// same wave, and stop again, some times in each.
const FALLEN_SHARE: f32 = 0.85;

/// The same at which items go on at once: requests that come late then have waited since the wave, and a trough
/// of 3.6 s was a second shorter for items until nothing was late any more.
const GONE_SHARE: f32 = 0.5;

/// Time for which what comes late after a wave is put down to it.
const TAIL: Duration = Duration::from_millis(1_500);

/// Time without pressure after which items go on all the same: other back ends may have come.
const LONGEST_HOLD: Duration = Duration::from_secs(2);

/// Part of the load that online requests make on average, as believed, under which runs at a back end are in
/// nobody's way. Not a load by itself: what nodes sent that are cut off is not seen anywhere.
const ROOMY_SHARE: f32 = 0.5;

/// Part of a service's slots that items keep while online requests press, where they would be late
/// otherwise.
const KEPT_SHARE: f32 = 0.02;

/// Time over which the part of calm time is averaged: some waves and troughs.
const CALM_MEMORY: Duration = Duration::from_secs(12);

/// Least part of calm time that is reckoned with: less would have every item in danger for a while after one
/// long jump.
const LEAST_CALM: f32 = 0.2;

/// A run that may step aside.
#[derive(Clone, Debug)]
pub struct PreemptibleRun {
    /// Item.
    pub key: ItemKey,
    /// Load of its back end in requests per slot, as believed.
    pub load: f32,
    /// How its work compares with its time.
    pub deadline_risk: DeadlineRisk,
    /// How urgent it is.
    pub urgency: ItemUrgency,
    /// Events that are held.
    pub produced: usize,
}

/// A service's room and who uses it, as believed.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceUsage {
    /// Requests that its back ends work on at once.
    pub slots: u32,
    /// Online requests that they hold. Those of nodes that are cut off are missing.
    pub online: u32,
}

/// How one service stands.
#[derive(Debug)]
struct ServiceStanding {
    /// Requests that pressed a moment ago, faded.
    level: f32,
    /// As of when.
    at: Instant,
    /// Whether items give way.
    pressed: bool,
    /// When online requests pressed last.
    pressed_at: Instant,
    /// Most online requests under way while they pressed.
    online: u32,
    /// Requests that pressed and for which no run has stepped aside.
    owed: u32,
    /// Part of the time in which items did not give way.
    calm: f32,
}

impl ServiceStanding {
    fn new(now: Instant) -> Self {
        Self {
            level: 0.0,
            at: now,
            pressed: false,
            pressed_at: now,
            online: 0,
            owed: 0,
            calm: 1.0,
        }
    }

    /// Moves on to now.
    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f32();
        self.at = self.at.max(now);
        self.level *= (-passed / PRESSURE_MEMORY.as_secs_f32()).exp();
        let kept = (-passed / CALM_MEMORY.as_secs_f32()).exp();
        let calm = if self.pressed { 0.0 } else { 1.0 };
        self.calm = self.calm * kept + calm * (1.0 - kept);
    }

    fn weigh(&mut self, now: Instant, room: ServiceUsage) {
        if self.is_tail(now, room) {
            self.level = 0.0;
            self.pressed = false;
            self.owed = 0;
            return;
        }
        let pressing = (room.slots as f32 * PRESSED_SHARE).max(LEAST_PRESSED);
        self.level = self.level.min(pressing * MOST_PRESSURE);
        if self.level >= pressing {
            self.online = match self.pressed {
                true => self.online.max(room.online),
                false => room.online,
            };
            self.pressed = true;
            self.pressed_at = now;
        }
        if self.level < pressing * EASED_SHARE && self.has_fallen(now, room) {
            self.pressed = false;
        }
        if !self.pressed {
            self.owed = 0;
        }
    }

    /// Whether the wave in which requests pressed is over, and what still comes late has waited since.
    fn is_tail(&self, now: Instant, room: ServiceUsage) -> bool {
        let since = now.saturating_duration_since(self.pressed_at);
        since < TAIL && self.online > 0 && room.online as f32 <= self.online as f32 * GONE_SHARE
    }

    /// Whether online requests leave more room than when they pressed, or do not press for long.
    fn has_fallen(&self, now: Instant, room: ServiceUsage) -> bool {
        // Where nothing was seen under way, as at a node that is cut off, nothing can be seen to have fallen.
        let fallen = self.online > 0 && room.online as f32 <= self.online as f32 * FALLEN_SHARE;
        fallen || now.saturating_duration_since(self.pressed_at) > LONGEST_HOLD
    }
}

/// Which services are pressed, and which runs step aside for that.
#[derive(Debug, Default)]
pub struct PreemptionPolicy {
    services: HashMap<ServiceName, ServiceStanding>,
}

impl PreemptionPolicy {
    /// Takes in what nodes told of a service that has so much room.
    pub fn record_pressure(
        &mut self,
        now: Instant,
        room: ServiceUsage,
        pressure: &ServicePressure,
    ) {
        let standing = self
            .services
            .entry(pressure.service.clone())
            .or_insert_with(|| ServiceStanding::new(now));
        let sum = pressure.counts.sum();
        standing.pass(now);
        standing.level += sum as f32;
        standing.owed = standing.owed.saturating_add(sum);
        standing.weigh(now, room);
    }

    /// Takes in that time has passed. `room` tells what a service has.
    pub fn advance(&mut self, now: Instant, room: impl Fn(&ServiceName) -> ServiceUsage) {
        for (service, standing) in &mut self.services {
            standing.pass(now);
            standing.weigh(now, room(service));
        }
    }

    /// Returns the services whose items give way.
    pub fn pressed(&self) -> impl Iterator<Item = &ServiceName> {
        let services = self.services.iter();
        services
            .filter(|(_, standing)| standing.pressed)
            .map(|(service, _)| service)
    }

    /// Returns whether items of a service give way.
    pub fn is_pressed(&self, service: &ServiceName) -> bool {
        let standing = self.services.get(service);
        standing.is_some_and(|standing| standing.pressed)
    }

    /// Part of the time in which items of a service could run, lately.
    pub fn calm_fraction(&self, service: &ServiceName) -> f32 {
        let standing = self.services.get(service);
        standing.map_or(1.0, |standing| standing.calm.max(LEAST_CALM))
    }

    /// Returns whether an item may start: while its service is pressed, only one that would be late
    /// otherwise, and only while few run.
    pub fn may_start(
        &self,
        service: &ServiceName,
        slots: u32,
        running: usize,
        outlook: DeadlineRisk,
    ) -> bool {
        if !self.is_pressed(service) {
            return true;
        }
        outlook == DeadlineRisk::Critical && running < kept_slots(slots)
    }

    /// Returns which of a service's runs step aside now: those least in danger of being late and least
    /// urgent, where back ends are loaded most. As many as requests pressed since the last call.
    pub fn runs_to_preempt(
        &mut self,
        service: &ServiceName,
        room: ServiceUsage,
        mut runs: Vec<PreemptibleRun>,
    ) -> Vec<PreemptibleRun> {
        let Some(standing) = self.services.get_mut(service).filter(|one| one.pressed) else {
            return Vec::new();
        };
        let owed = std::mem::take(&mut standing.owed) as usize;
        // The first kept slots go to those that would be late otherwise.
        runs.sort_by_key(|run| {
            (
                Reverse(run.deadline_risk),
                run.urgency,
                Reverse(run.produced),
            )
        });
        let in_danger = runs
            .iter()
            .take_while(|run| run.deadline_risk == DeadlineRisk::Critical);
        let kept = in_danger.count().min(kept_slots(room.slots));
        let mut others = runs.split_off(kept);
        let roomy = ROOMY_SHARE * room.online as f32 / room.slots.max(1) as f32;
        others.retain(|run| run.load >= roomy);
        others.reverse();
        others.truncate(owed);
        others
    }
}

/// Slots that items keep while online requests press.
fn kept_slots(slots: u32) -> usize {
    (slots as f32 * KEPT_SHARE).ceil() as usize
}
