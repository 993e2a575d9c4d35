//! Estimates of the items' remaining work, compared to the capacity until their deadlines. No I/O; the time is
//! passed in.
//!
//! Capacity for items is free between load peaks of online requests. The remaining work is estimated from the
//! mean item of the service, the available time from the recent fraction of time in which items could run. So
//! items at risk start early between two peaks instead of shortly before their deadline.

use super::urgency::DueTime;
use firshore_types::ids::ServiceName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Weight of a new item in the means, which thus cover about the last ten items.
const SMOOTHING: f64 = 0.1;

/// Minimum remaining work, as a fraction of the mean item. The length of an item is unknown, so that it may
/// continue even after more events than the mean.
const MIN_REMAINING_FRACTION: f64 = 0.1;

/// Safety factor on the remaining work, for longer items and slower back ends.
const SAFETY_FACTOR: f64 = 1.4;

/// Time constant for averaging free slots: several load peaks.
const FREE_SLOTS_DECAY: Duration = Duration::from_secs(12);

/// An item whose estimated remaining work exceeds its time by this factor can't meet its deadline.
const INFEASIBLE_FACTOR: f64 = 2.0;

/// Risk that an item misses its deadline, in ascending order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DeadlineRisk {
    /// The item has enough time, no deadline, or can't meet its deadline any more.
    Low,
    /// The item needs most of the capacity until its deadline.
    High,
    /// The item misses its deadline unless it runs from now on.
    Critical,
}

/// Mean item of a service.
#[derive(Clone, Copy, Debug)]
struct MeanItem {
    events: f64,
    seconds_per_event: f64,
}

/// Mean number of slots that online requests leave free.
#[derive(Clone, Copy, Debug)]
struct MeanFreeSlots {
    slots: f64,
    updated_at: Instant,
}

/// Mean item and mean free slots of each service.
#[derive(Debug, Default)]
pub struct BacklogEstimate {
    mean_items: HashMap<ServiceName, MeanItem>,
    free_slots: HashMap<ServiceName, MeanFreeSlots>,
}

impl BacklogEstimate {
    /// Records a finished item with `events` in total, of which its last run generated `new_events` within
    /// `duration`.
    pub fn record_finished(
        &mut self,
        service: &ServiceName,
        events: usize,
        new_events: usize,
        duration: Duration,
    ) {
        if new_events == 0 {
            return;
        }
        let events = events as f64;
        let seconds_per_event = duration.as_secs_f64() / new_events as f64;
        let first = MeanItem {
            events,
            seconds_per_event,
        };
        let mean = self.mean_items.entry(service.clone()).or_insert(first);
        mean.events += (events - mean.events) * SMOOTHING;
        mean.seconds_per_event += (seconds_per_event - mean.seconds_per_event) * SMOOTHING;
    }

    /// Returns the estimated remaining run time of an item with `produced` events, or `None` until an item of
    /// the service has finished.
    pub fn remaining(&self, service: &ServiceName, produced: usize) -> Option<Duration> {
        let mean = self.mean_items.get(service)?;
        let min_events = mean.events * MIN_REMAINING_FRACTION;
        let events = (mean.events - produced as f64).max(min_events);
        Some(Duration::from_secs_f64(events * mean.seconds_per_event))
    }

    /// Records the number of slots of a service that online requests leave free now.
    pub fn record_free_slots(&mut self, now: Instant, service: &ServiceName, free: u32) {
        let free = f64::from(free);
        let first = MeanFreeSlots {
            slots: free,
            updated_at: now,
        };
        let mean = self.free_slots.entry(service.clone()).or_insert(first);
        let elapsed = now.saturating_duration_since(mean.updated_at).as_secs_f64();
        let weight = (-elapsed / FREE_SLOTS_DECAY.as_secs_f64()).exp();
        mean.slots = mean.slots * weight + free * (1.0 - weight);
        mean.updated_at = now;
    }

    /// Returns whether the estimated work of `items` exceeds the mean free capacity over `time`.
    pub fn exceeds_capacity(&self, service: &ServiceName, items: usize, time: Duration) -> bool {
        let (Some(free), Some(per_item)) =
            (self.free_slots.get(service), self.remaining(service, 0))
        else {
            return false;
        };
        let work = per_item.as_secs_f64() * items as f64 * SAFETY_FACTOR;
        work > free.slots * time.as_secs_f64()
    }

    /// Returns the deadline risk of an item with `produced` events, if items can run in a fraction
    /// `calm_fraction` of the time.
    pub fn deadline_risk(
        &self,
        now: Instant,
        service: &ServiceName,
        due: &DueTime,
        produced: usize,
        calm_fraction: f32,
    ) -> DeadlineRisk {
        let Some(deadline) = due.deadline.filter(|deadline| now <= *deadline) else {
            return DeadlineRisk::Low;
        };
        let Some(remaining) = self.remaining(service, produced) else {
            return match due.is_at_risk(now) {
                true => DeadlineRisk::High,
                false => DeadlineRisk::Low,
            };
        };
        let time = deadline.duration_since(now).as_secs_f64();
        let remaining = remaining.as_secs_f64();
        if remaining > time * INFEASIBLE_FACTOR {
            return DeadlineRisk::Low;
        }
        if remaining * SAFETY_FACTOR > time {
            return DeadlineRisk::Critical;
        }
        if due.is_at_risk(now) || remaining * SAFETY_FACTOR > time * f64::from(calm_fraction) {
            return DeadlineRisk::High;
        }
        DeadlineRisk::Low
    }
}
