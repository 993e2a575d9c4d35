//! What work items still need, against the room until they are due. No I/O; the time is passed in.
//!
//! Room comes in troughs: what is left is reckoned by the usual item of the service and by the part of the
//! time in which items could run lately, so that an item presses on early in a trough rather than at the
//! end of its time.

use super::urgency::DueTime;
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new observation in what is usual: the last ten or so count.
const NEWEST_WEIGHT: f64 = 0.1;

/// Part of a usual item that is left at least, however much it has produced: how long it is, is not known.
const LEAST_LEFT: f64 = 0.1;

/// Reserve for longer items and slower back ends: items differ by a quarter in length.
const RESERVE: f64 = 1.4;

/// Time over which free slots are averaged: some waves and troughs.
const ROOM_MEMORY: Duration = Duration::from_secs(12);

/// An item whose usual rest exceeds its time by this factor is late whatever is done.
const HOPELESS: f64 = 2.0;

/// How an item's work compares with its time; the greater, the more in danger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineRisk {
    /// It has time, or none that counts any more.
    Low,
    /// It needs most of the troughs until it is due.
    High,
    /// It is late unless it runs from now on.
    Critical,
}

/// The usual item of a service.
#[derive(Clone, Copy, Debug)]
struct UsualItem {
    events: f64,
    seconds_per_event: f64,
}

/// Slots that online requests leave free, on average.
#[derive(Clone, Copy, Debug)]
struct AverageRoom {
    slots: f64,
    at: Instant,
}

/// What items of each service usually need, and the room for them.
#[derive(Debug, Default)]
pub struct BacklogEstimate {
    usual: HashMap<ServiceName, UsualItem>,
    rooms: HashMap<ServiceName, AverageRoom>,
}

impl BacklogEstimate {
    /// An item was finished: it has `events` in all, of which its last run made some in a time.
    pub fn record_finished(
        &mut self,
        service: &ServiceName,
        events: usize,
        made: usize,
        took: Duration,
    ) {
        if made == 0 {
            return;
        }
        let events = events as f64;
        let seconds_per_event = took.as_secs_f64() / made as f64;
        let first = UsualItem {
            events,
            seconds_per_event,
        };
        let usual = self.usual.entry(service.clone()).or_insert(first);
        usual.events += (events - usual.events) * NEWEST_WEIGHT;
        usual.seconds_per_event += (seconds_per_event - usual.seconds_per_event) * NEWEST_WEIGHT;
    }

    /// Returns what an item that has produced events usually still needs; `None` until one of the service
    /// was finished.
    pub fn remaining(&self, service: &ServiceName, produced: usize) -> Option<Duration> {
        let usual = self.usual.get(service)?;
        let least = usual.events * LEAST_LEFT;
        let events = (usual.events - produced as f64).max(least);
        Some(Duration::from_secs_f64(events * usual.seconds_per_event))
    }

    /// Online requests of a service leave so many slots free now.
    pub fn record_free_slots(&mut self, now: Instant, service: &ServiceName, free: u32) {
        let free = f64::from(free);
        let first = AverageRoom {
            slots: free,
            at: now,
        };
        let room = self.rooms.entry(service.clone()).or_insert(first);
        let passed = now.saturating_duration_since(room.at).as_secs_f64();
        let kept = (-passed / ROOM_MEMORY.as_secs_f64()).exp();
        room.slots = room.slots * kept + free * (1.0 - kept);
        room.at = now;
    }

    /// Returns whether so many items are more than the room until they are wanted takes: they press on in
    /// all room there is.
    pub fn exceeds_capacity(&self, service: &ServiceName, items: usize, time: Duration) -> bool {
        let (Some(room), Some(usual)) = (self.rooms.get(service), self.remaining(service, 0))
        else {
            return false;
        };
        let work = usual.as_secs_f64() * items as f64 * RESERVE;
        work > room.slots * time.as_secs_f64()
    }

    /// Returns how an item's work compares with its time, where items can run in a part of the time.
    pub fn deadline_risk(
        &self,
        now: Instant,
        service: &ServiceName,
        due: &DueTime,
        produced: usize,
        calm_share: f32,
    ) -> DeadlineRisk {
        let Some(wanted) = due.deadline.filter(|wanted| now <= *wanted) else {
            return DeadlineRisk::Low;
        };
        let Some(left) = self.remaining(service, produced) else {
            return match due.is_at_risk(now) {
                true => DeadlineRisk::High,
                false => DeadlineRisk::Low,
            };
        };
        let time = wanted.duration_since(now).as_secs_f64();
        let left = left.as_secs_f64();
        if left > time * HOPELESS {
            return DeadlineRisk::Low;
        }
        if left * RESERVE > time {
            return DeadlineRisk::Critical;
        }
        if due.is_at_risk(now) || left * RESERVE > time * f64::from(calm_share) {
            return DeadlineRisk::High;
        }
        DeadlineRisk::Low
    }
}
