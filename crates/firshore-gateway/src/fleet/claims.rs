//! Claims of this node on the slots of one back end, used while a service has little free capacity. No I/O; the
//! time and random numbers are passed in.
//!
//! All nodes see the same few free slots, in views that are tens or hundreds of milliseconds old. If each node
//! could take any of them, queues would form there while other back ends become idle. So a node takes only slots
//! that its own requests have just released, and its fraction of the free slots in each view.

use rand::{Rng, RngExt};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a released slot is reserved for this node. Later it is free in the views of other nodes.
const RELEASED_LIFETIME: Duration = Duration::from_millis(50);

/// Time for which an allotment is valid without a new view.
const ALLOTTED_LIFETIME: Duration = Duration::from_millis(600);

/// Fraction of the free slots in a view that all nodes together may take before the next one. The others have
/// been taken again by the nodes that released them.
const ALLOTTED_FRACTION: f32 = 0.5;

/// Slots of one back end that this node may take.
#[derive(Debug, Default)]
pub(super) struct SlotClaims {
    released: VecDeque<Instant>,
    allotted: u32,
    allotted_at: Option<Instant>,
}

impl SlotClaims {
    /// Records that a request of this node has released a slot.
    pub(super) fn release(&mut self, now: Instant) {
        self.released.push_back(now);
    }

    /// Replaces the allotment after a view that shows `free_slots`, of which this node may take `fraction`. Rounds
    /// randomly, so that the mean is exact.
    pub(super) fn allot(
        &mut self,
        now: Instant,
        free_slots: f32,
        fraction: f32,
        random: &mut impl Rng,
    ) {
        let expected = free_slots.max(0.0) * fraction * ALLOTTED_FRACTION;
        self.allotted = (expected + random.random_range(0.0..1.0)) as u32;
        self.allotted_at = Some(now);
        self.released
            .retain(|at| is_within(now, *at, RELEASED_LIFETIME));
    }

    /// Returns whether a slot may be taken.
    pub(super) fn has_any(&self, now: Instant) -> bool {
        let allotted = self.allotted > 0
            && self
                .allotted_at
                .is_some_and(|at| is_within(now, at, ALLOTTED_LIFETIME));
        allotted || self.has_released(now)
    }

    fn has_released(&self, now: Instant) -> bool {
        let mut released = self.released.iter();
        released.any(|at| is_within(now, *at, RELEASED_LIFETIME))
    }

    /// Takes a slot for a request: the oldest released one, else one of the allotment.
    pub(super) fn take(&mut self, now: Instant) {
        self.released
            .retain(|at| is_within(now, *at, RELEASED_LIFETIME));
        if self.released.pop_front().is_none() {
            self.allotted = self.allotted.saturating_sub(1);
        }
    }
}

fn is_within(now: Instant, at: Instant, lifetime: Duration) -> bool {
    now.saturating_duration_since(at) < lifetime
}
