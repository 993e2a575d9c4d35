//! Claims of this node on the slots of one back end, used while a service has little free capacity. No I/O; the
//! time and random numbers are passed in.
//!
//! All nodes see the same few free slots, in views that are tens or hundreds of milliseconds old. If each node
//! could take any of them, queues would form there while other back ends become idle. So a node takes only slots
//! that its own requests have just released, and its fraction of the free slots in each view.

use std::collections::VecDeque;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which a released slot is reserved for this node. Later it is free in the views of other nodes.
const RELEASED_LIFETIME: Duration = Duration::from_millis(50);

/// Time for which an allotment is valid without a new view.
const ALLOTTED_LIFETIME: Duration = Duration::from_millis(600);

/// Fraction of the free slots in a view that all nodes together may take before the next one. The others have
/// been taken again by the nodes that released them.
const ALLOTTED_FRACTION: f32 = 0.5;

/// Allotments of slots that follow from one view, to this node, at all back ends of a service.
///
/// The allotment of a back end is computed when it is needed, so that a view costs no work for idle back ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct ViewAllotment {
    /// When the view was applied.
    pub(super) at: Instant,
    /// Random number of this view.
    pub(super) seed: u64,
    /// Fraction of the free slots that this node may take.
    pub(super) fraction: f32,
}

impl ViewAllotment {
    /// Returns the slots that this node may take at a back end where the view shows `free_slots`. Rounds randomly,
    /// so that the mean is exact.
    fn slots(&self, identity: u64, free_slots: f32) -> u32 {
        let expected = free_slots.max(0.0) * self.fraction * ALLOTTED_FRACTION;
        let hash = xxh3_64_with_seed(&identity.to_le_bytes(), self.seed);
        let drawn = (hash >> 40) as f32 / (1_u32 << 24) as f32;
        (expected + drawn) as u32
    }
}

/// Allotment of one back end, fixed before its load changes.
#[derive(Clone, Copy, Debug)]
struct FixedAllotment {
    /// Random number of the view.
    seed: u64,
    /// Slots that are left.
    slots: u32,
}

/// Slots of one back end that this node may take.
#[derive(Debug, Default)]
pub(super) struct SlotClaims {
    released: VecDeque<Instant>,
    fixed: Option<FixedAllotment>,
}

impl SlotClaims {
    /// Records that a request of this node has released a slot.
    pub(super) fn release(&mut self, now: Instant) {
        self.remove_expired(now);
        self.released.push_back(now);
    }

    /// Fixes the allotment of a view, before the load at the back end changes: `free_slots` is what the view shows.
    pub(super) fn fix(&mut self, view: &ViewAllotment, identity: u64, free_slots: f32) {
        self.fixed = Some(FixedAllotment {
            seed: view.seed,
            slots: self.allotted(view, identity, free_slots),
        });
    }

    /// Returns what is left of the allotment of a view.
    fn allotted(&self, view: &ViewAllotment, identity: u64, free_slots: f32) -> u32 {
        match self.fixed {
            Some(fixed) if fixed.seed == view.seed => fixed.slots,
            _ => view.slots(identity, free_slots),
        }
    }

    /// Returns whether a slot may be taken, by a released one or the allotment of the last view.
    pub(super) fn has_any(
        &self,
        now: Instant,
        view: Option<&ViewAllotment>,
        identity: u64,
        free_slots: impl Fn(Instant) -> f32,
    ) -> bool {
        let valid = view.filter(|view| is_within(now, view.at, ALLOTTED_LIFETIME));
        let allotted =
            valid.is_some_and(|view| self.allotted(view, identity, free_slots(view.at)) > 0);
        allotted || self.has_released(now)
    }

    fn has_released(&self, now: Instant) -> bool {
        let mut released = self.released.iter();
        released.any(|at| is_within(now, *at, RELEASED_LIFETIME))
    }

    /// Takes a slot for a request: the oldest released one, else one of the allotment.
    pub(super) fn take(&mut self, now: Instant) {
        self.remove_expired(now);
        if self.released.pop_front().is_none()
            && let Some(fixed) = &mut self.fixed
        {
            fixed.slots = fixed.slots.saturating_sub(1);
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.released
            .retain(|at| is_within(now, *at, RELEASED_LIFETIME));
    }
}

fn is_within(now: Instant, at: Instant, lifetime: Duration) -> bool {
    now.saturating_duration_since(at) < lifetime
}
