//! Completion rate of a job's items: an exponentially weighted average in integer arithmetic, so
//! that all replicas compute the same value.

use serde::{Deserialize, Serialize};

const MILLISECONDS_PER_KILOSECOND: u64 = 1_000_000;

/// Minimum interval between rate samples, in milliseconds.
const MIN_INTERVAL_MILLISECONDS: u64 = 1_000;

/// Inverse weight of the newest sample in the average.
const SMOOTHING_DIVISOR: u64 = 8;

/// Progress of one job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Progress {
    measured_at: Option<u64>,
    finished: u64,
    items_per_kilosecond: u64,
}

impl Progress {
    /// Records the number of finished items.
    pub(crate) fn observe(&mut self, now: u64, finished: u64) {
        let Some(measured_at) = self.measured_at else {
            self.measured_at = Some(now);
            self.finished = finished;
            return;
        };
        let span = now.saturating_sub(measured_at);
        if span < MIN_INTERVAL_MILLISECONDS {
            return;
        }
        let newly = finished.saturating_sub(self.finished);
        let rate = newly * MILLISECONDS_PER_KILOSECOND / span;
        self.items_per_kilosecond = if self.items_per_kilosecond == 0 {
            rate
        } else {
            (self.items_per_kilosecond * (SMOOTHING_DIVISOR - 1) + rate) / SMOOTHING_DIVISOR
        };
        self.measured_at = Some(now);
        self.finished = finished;
    }

    pub(crate) fn items_per_kilosecond(&self) -> u64 {
        self.items_per_kilosecond
    }

    /// Returns when `remaining` items will be finished, in Unix milliseconds.
    pub(crate) fn estimated_end(&self, now: u64, remaining: u64) -> Option<u64> {
        let milliseconds =
            (remaining * MILLISECONDS_PER_KILOSECOND).checked_div(self.items_per_kilosecond)?;
        Some(now + milliseconds)
    }
}
