//! Takes failing back ends out of use for a while and brings them back gradually.
//!
//! A back end is ejected after several failures in a row, or when it is far slower than the fleet.
//! Ejections of the same back end last longer each time. One that only refuses, as a full one
//! does, is passed over for a shorter time, which its next answer ends. The table bounds the share that is out at
//! once, so that a fault of the callers or of the network does not empty the pool.

use rand::RngExt;

/// Failures in a row that eject.
pub const CONSECUTIVE_FAILURES: u32 = 3;

/// Slowdown relative to the fleet's mean that ejects.
pub const OUTLIER_SLOWDOWN: f32 = 10.0;

/// Observations before a slowdown can eject.
pub const OUTLIER_SAMPLES: u32 = 20;

/// Largest share of the back ends that may be out at once.
pub const LARGEST_EJECTED_SHARE: f32 = 0.5;

/// Length of a first ejection in milliseconds; doubles with each further one.
pub const FIRST_EJECTION_MILLISECONDS: u64 = 2_000;

/// Longest ejection in milliseconds.
pub const LONGEST_EJECTION_MILLISECONDS: u64 = 60_000;

/// Time over which a returning back end's share grows to the whole, in milliseconds.
pub const RETURN_MILLISECONDS: u64 = 10_000;

/// Refusals in a row after which a back end is passed over.
pub const CONSECUTIVE_REFUSALS: u32 = 2;

/// Time for which a refusing back end is first passed over, in milliseconds; doubles with each
/// further refusal.
pub const FIRST_PASS_MILLISECONDS: u64 = 250;

/// Longest time for which a refusing back end is passed over, in milliseconds.
pub const LONGEST_PASS_MILLISECONDS: u64 = 16_000;

/// Share of its usual work that a back end gets at the start of its return.
const FIRST_RETURN_SHARE: f32 = 0.05;

/// Health of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    out_until: u64,
    returning: bool,
    refusals: u32,
    passed_over_until: u64,
}

impl Health {
    /// Whether it is ejected at `now`.
    pub fn ejected(&self, now: u64) -> bool {
        now < self.out_until
    }

    /// Counts a success.
    pub fn succeeded(&mut self, now: u64) {
        self.failures = 0;
        self.refusals = 0;
        self.passed_over_until = 0;
        let returned = now >= self.out_until + RETURN_MILLISECONDS;
        if self.returning && returned {
            self.returning = false;
            self.ejections = 0;
        }
    }

    /// Counts a failure; `true` when it is time to eject. Failures of requests that were under
    /// way when it was ejected do not lengthen the ejection.
    pub fn failed(&mut self, now: u64) -> bool {
        if self.ejected(now) {
            return false;
        }
        self.failures = self.failures.saturating_add(1);
        self.failures >= CONSECUTIVE_FAILURES || self.returning
    }

    /// Counts a refusal of a request that was not run.
    pub fn refused(&mut self, now: u64) {
        if now < self.passed_over_until {
            return;
        }
        self.refusals = self.refusals.saturating_add(1);
        if self.refusals >= CONSECUTIVE_REFUSALS {
            let doublings = (self.refusals - CONSECUTIVE_REFUSALS).min(16);
            let length = (FIRST_PASS_MILLISECONDS << doublings).min(LONGEST_PASS_MILLISECONDS);
            self.passed_over_until = now + length;
        }
    }

    /// Ejects it at `now` and returns when the ejection ends.
    pub fn eject(&mut self, now: u64) -> u64 {
        let doublings = self.ejections.min(16);
        let length = (FIRST_EJECTION_MILLISECONDS << doublings).min(LONGEST_EJECTION_MILLISECONDS);
        self.ejections += 1;
        self.failures = 0;
        self.returning = true;
        self.out_until = now + length;
        self.out_until
    }

    /// Whether it takes a request at `now`: never while ejected, then with a growing chance.
    pub fn admits(&self, now: u64, random: &mut impl RngExt) -> bool {
        if now < self.passed_over_until {
            return false;
        }
        if !self.returning {
            return true;
        }
        if now < self.out_until {
            return false;
        }
        let share = (now - self.out_until) as f32 / RETURN_MILLISECONDS as f32;
        share >= 1.0 || random.random::<f32>() < share.max(FIRST_RETURN_SHARE)
    }
}
