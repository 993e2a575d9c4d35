//! Limits retries to a fraction of first attempts, so that failing back ends do not multiply load.
//!
//! Each first attempt earns a fraction of a retry, and each retry costs one, even if the earlier
//! attempt certainly did not run: the retry loads the fleet either way. Each node has its own
//! budget; because each node keeps its load below the bound, so does the fleet.

use rand::RngExt;

/// Retries earned by one first attempt. Keeps the fleet's load below 1.1 times the offered load,
/// including the saved retries.
pub const RETRIES_PER_FIRST_ATTEMPT: f32 = 0.08;

/// Maximum number of saved retries, which is also the initial balance.
pub const MAX_SAVED_RETRIES: f32 = 10.0;

/// Upper bound of the first backoff in milliseconds; doubles with each further retry.
pub const FIRST_BACKOFF_MILLISECONDS: u64 = 10;

/// Maximum backoff before a retry in milliseconds.
pub const MAX_BACKOFF_MILLISECONDS: u64 = 1_000;

/// A node's balance of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            balance: MAX_SAVED_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Records a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + RETRIES_PER_FIRST_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget. Returns `false` if the budget is used up and the request
    /// must fail.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Returns the backoff before retry number `retry` (from 1) in milliseconds: random up to a bound
/// that doubles, so that requests that failed together are not retried together.
pub fn backoff(retry: u32, random: &mut impl RngExt) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    let bound = (FIRST_BACKOFF_MILLISECONDS << doublings).min(MAX_BACKOFF_MILLISECONDS);
    random.random_range(0..=bound)
}
