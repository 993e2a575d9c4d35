//! How fast a job's items finish, as an exponentially weighted average in whole numbers, so that
//! every replica computes the same.

use serde::{Deserialize, Serialize};

const MILLISECONDS_PER_KILOSECOND: u64 = 1_000_000;

/// Shortest span that a rate is taken over, in milliseconds.
const MINIMUM_SPAN: u64 = 1_000;

/// Weight of the newest span is one in this many.
const SMOOTHING: u64 = 8;

/// Progress of one job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Progress {
    measured_at: Option<u64>,
    finished: u64,
    items_per_kilosecond: u64,
}

impl Progress {
    /// Takes note of how many items are finished.
    pub(crate) fn observe(&mut self, now: u64, finished: u64) {
        let Some(measured_at) = self.measured_at else {
            self.measured_at = Some(now);
            self.finished = finished;
            return;
        };
        let span = now.saturating_sub(measured_at);
        if span < MINIMUM_SPAN {
            return;
        }
        let newly = finished.saturating_sub(self.finished);
        let rate = newly * MILLISECONDS_PER_KILOSECOND / span;
        self.items_per_kilosecond = if self.items_per_kilosecond == 0 {
            rate
        } else {
            (self.items_per_kilosecond * (SMOOTHING - 1) + rate) / SMOOTHING
        };
        self.measured_at = Some(now);
        self.finished = finished;
    }

    pub(crate) fn items_per_kilosecond(&self) -> u64 {
        self.items_per_kilosecond
    }

    /// When `remaining` items will be done, in Unix milliseconds.
    pub(crate) fn estimated_end(&self, now: u64, remaining: u64) -> Option<u64> {
        let milliseconds =
            (remaining * MILLISECONDS_PER_KILOSECOND).checked_div(self.items_per_kilosecond)?;
        Some(now + milliseconds)
    }
}
