//! Ejects failing back ends temporarily and returns them to use gradually.
//!
//! A back end is ejected after several consecutive failures, or when it is much slower than the
//! fleet. Each further ejection of the same back end lasts longer. A back end that only refuses
//! requests, for example because it is full, is skipped for a shorter time, which ends early when
//! it completes a request. [`crate::endpoint::EndpointTable`] bounds the fraction of back ends that
//! are ejected at once, so that a fault of callers or of the network does not empty the pool.

use rand::RngExt;

/// Number of consecutive failures after which a back end is ejected.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Slowdown, as a multiple of the fleet's mean, above which a back end is ejected.
pub const OUTLIER_SLOWDOWN: f32 = 10.0;

/// Minimum number of speed observations before a slowdown can cause an ejection.
pub const MIN_OUTLIER_SAMPLES: u32 = 20;

/// Maximum fraction of the back ends that may be ejected at once.
pub const MAX_EJECTED_FRACTION: f32 = 0.5;

/// Duration of the first ejection in milliseconds; doubles with each further one.
pub const FIRST_EJECTION_MILLISECONDS: u64 = 2_000;

/// Maximum duration of an ejection in milliseconds.
pub const MAX_EJECTION_MILLISECONDS: u64 = 60_000;

/// Time after an ejection over which the fraction of requests that a back end accepts grows to 1,
/// in milliseconds.
pub const RAMP_UP_MILLISECONDS: u64 = 10_000;

/// Number of consecutive refusals after which a back end is skipped.
pub const CONSECUTIVE_REFUSALS: u32 = 2;

/// Time for which a refusing back end is skipped first, in milliseconds; doubles with each further
/// refusal.
pub const FIRST_SKIP_MILLISECONDS: u64 = 250;

/// Maximum time for which a refusing back end is skipped, in milliseconds.
pub const MAX_SKIP_MILLISECONDS: u64 = 16_000;

/// Fraction of requests that a back end accepts right after an ejection.
const MIN_RAMP_UP_FRACTION: f32 = 0.05;

/// Failures, refusals and ejections of one back end. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    ejections: u32,
    ejected_until: u64,
    ramping_up: bool,
    refusals: u32,
    skipped_until: u64,
}

impl EndpointHealth {
    /// Returns whether the back end is ejected at `now`.
    pub fn is_ejected(&self, now: u64) -> bool {
        now < self.ejected_until
    }

    /// Records a completed request. Resets the ejection duration once the back end has fully
    /// returned.
    pub fn record_success(&mut self, now: u64) {
        self.failures = 0;
        self.refusals = 0;
        self.skipped_until = 0;
        let ramp_up_complete = now >= self.ejected_until + RAMP_UP_MILLISECONDS;
        if self.ramping_up && ramp_up_complete {
            self.ramping_up = false;
            self.ejections = 0;
        }
    }

    /// Records a failed request and returns whether the back end should be ejected. During the
    /// ramp-up after an ejection, one failure suffices. Failures during an ejection, of requests
    /// sent before it, are ignored so that they do not extend it.
    pub fn record_failure(&mut self, now: u64) -> bool {
        if self.is_ejected(now) {
            return false;
        }
        self.failures = self.failures.saturating_add(1);
        self.failures >= CONSECUTIVE_FAILURES || self.ramping_up
    }

    /// Records that the back end refused a request without running it. Refusals while the back end
    /// is skipped are ignored.
    pub fn record_refusal(&mut self, now: u64) {
        if now < self.skipped_until {
            return;
        }
        self.refusals = self.refusals.saturating_add(1);
        if self.refusals >= CONSECUTIVE_REFUSALS {
            let doublings = (self.refusals - CONSECUTIVE_REFUSALS).min(16);
            let duration = (FIRST_SKIP_MILLISECONDS << doublings).min(MAX_SKIP_MILLISECONDS);
            self.skipped_until = now + duration;
        }
    }

    /// Ejects the back end at `now` and returns the time at which the ejection ends.
    pub fn eject(&mut self, now: u64) -> u64 {
        let doublings = self.ejections.min(16);
        let duration = (FIRST_EJECTION_MILLISECONDS << doublings).min(MAX_EJECTION_MILLISECONDS);
        self.ejections += 1;
        self.failures = 0;
        self.ramping_up = true;
        self.ejected_until = now + duration;
        self.ejected_until
    }

    /// Returns whether the back end may get a request at `now`: never while it is ejected or
    /// skipped, and with a growing probability for [`RAMP_UP_MILLISECONDS`] after an ejection.
    pub fn admits(&self, now: u64, random: &mut impl RngExt) -> bool {
        if now < self.skipped_until {
            return false;
        }
        if !self.ramping_up {
            return true;
        }
        if now < self.ejected_until {
            return false;
        }
        let fraction = (now - self.ejected_until) as f32 / RAMP_UP_MILLISECONDS as f32;
        fraction >= 1.0 || random.random::<f32>() < fraction.max(MIN_RAMP_UP_FRACTION)
    }
}
