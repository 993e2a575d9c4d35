//! Bounds retries to a share of first attempts, so that failing back ends do not multiply load.
//!
//! Every first attempt earns a fraction of a retry; every retry costs a whole one, also where the
//! first attempt certainly did not run, because it loads the fleet all the same. Each node keeps
//! its own budget; as each holds its own load under the bound, so does the fleet.

use rand::RngExt;

/// Retries earned by one first attempt. The fleet's load stays under 1.1 times the offered load
/// with some room for the reserve.
pub const RETRIES_PER_ATTEMPT: f32 = 0.08;

/// Most retries saved up, and the balance at the start.
pub const RESERVE: f32 = 10.0;

/// Bound of the first pause before a retry in milliseconds; doubles with each further one.
pub const FIRST_BACKOFF_MILLISECONDS: u64 = 10;

/// Longest pause before a retry in milliseconds.
pub const LONGEST_BACKOFF_MILLISECONDS: u64 = 1_000;

/// The budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    balance: f32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { balance: RESERVE }
    }
}

impl RetryBudget {
    /// Counts a request's first attempt.
    pub fn first_attempt(&mut self) {
        self.balance = (self.balance + RETRIES_PER_ATTEMPT).min(RESERVE);
    }

    /// Takes one retry from the budget; `false` when it is used up and the request must fail.
    pub fn try_retry(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}

/// Pause before retry number `retry` (from 1) in milliseconds: random up to a bound that doubles,
/// so that requests that failed together do not come back together.
pub fn backoff(retry: u32, random: &mut impl RngExt) -> u64 {
    let doublings = retry.saturating_sub(1).min(16);
    let bound = (FIRST_BACKOFF_MILLISECONDS << doublings).min(LONGEST_BACKOFF_MILLISECONDS);
    random.random_range(0..=bound)
}
