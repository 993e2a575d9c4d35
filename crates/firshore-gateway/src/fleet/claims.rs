//! Places at one back end that this node may take while the service has hardly any left. No I/O; the time
//! and random numbers are passed in.
//!
//! All nodes see the same few free places in pictures that are some tens or hundreds of milliseconds old. Were
//! each of them free to take any of these, all would, and lines would form there while other back ends run
//! empty. So a node takes what is its own: a place that its own request has just left, and of the places
//! that a picture shows its part, drawn anew with each picture.

use rand::{Rng, RngExt};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which a place that an own request has left is this node's: after that others have seen it
/// in their pictures.
const FREED_LIFETIME: Duration = Duration::from_millis(50);

/// Time for which a part of the places in a picture is kept without another picture.
const ALLOTTED_LIFETIME: Duration = Duration::from_millis(600);

/// Part of the places in a picture that all nodes together take before their next one: some of these have
/// been taken since by those who left them.
const DEALT_FRACTION: f32 = 0.5;

/// Places at one back end that are this node's to take.
#[derive(Debug, Default)]
pub(super) struct SlotClaims {
    freed: VecDeque<Instant>,
    allotted: u32,
    allotted_at: Option<Instant>,
}

impl SlotClaims {
    /// An own request has left a place.
    pub(super) fn left(&mut self, now: Instant) {
        self.freed.push_back(now);
    }

    /// A picture shows `concurrency_limit` that are free, of which `fraction` is this node's.
    pub(super) fn allot(
        &mut self,
        now: Instant,
        concurrency_limit: f32,
        fraction: f32,
        random: &mut impl Rng,
    ) {
        let due = concurrency_limit.max(0.0) * fraction * DEALT_FRACTION;
        self.allotted = (due + random.random_range(0.0..1.0)) as u32;
        self.allotted_at = Some(now);
        self.freed.retain(|at| is_within(now, *at, FREED_LIFETIME));
    }

    /// Returns whether a place is left to take.
    pub(super) fn has_any(&self, now: Instant) -> bool {
        let allotted = self.allotted > 0
            && self
                .allotted_at
                .is_some_and(|at| is_within(now, at, ALLOTTED_LIFETIME));
        allotted || self.has_freed(now)
    }

    fn has_freed(&self, now: Instant) -> bool {
        let mut freed = self.freed.iter();
        freed.any(|at| is_within(now, *at, FREED_LIFETIME))
    }

    /// A request takes a place, the oldest that was left first.
    pub(super) fn take(&mut self, now: Instant) {
        self.freed.retain(|at| is_within(now, *at, FREED_LIFETIME));
        if self.freed.pop_front().is_none() {
            self.allotted = self.allotted.saturating_sub(1);
        }
    }
}

fn is_within(now: Instant, at: Instant, lifetime: Duration) -> bool {
    now.saturating_duration_since(at) < lifetime
}
