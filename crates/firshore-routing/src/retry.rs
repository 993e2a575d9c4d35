//! Decides whether a request is retried after an attempt without a response.
//!
//! A request that certainly was not run can be retried safely. A request that may have run is
//! retried only if it is repeatable, and only before any byte of a response reached the caller.
//! Retries of a request that reached a back end, even if refused there, need the retry budget;
//! otherwise a fleet that refuses requests under load would receive several times the load.

use firshore_types::error::Execution;

/// Maximum number of attempts per request that were not sent, or were refused by the back end.
pub const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// Maximum number of attempts per request that may have run.
pub const MAX_RUN_ATTEMPTS: u32 = 2;

/// How an attempt without a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The connection could not be established.
    NotSent,
    /// The back end refused the request before running it (`engine-execution: none`).
    RefusedUnrun,
    /// The connection closed or the back end failed after the request may have started to run.
    MaybeRun,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry on another back end.
    Retry,
    /// Retry on another back end if the retry budget allows it.
    RetryWithinBudget,
    /// Report the failure to the caller.
    GiveUp(Execution),
}

/// The failed attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct AttemptHistory {
    repeatable: bool,
    not_run: u32,
    may_have_run: u32,
}

impl AttemptHistory {
    /// Creates an empty history. `repeatable` states whether the request may run more than once.
    pub fn new(repeatable: bool) -> Self {
        Self {
            repeatable,
            not_run: 0,
            may_have_run: 0,
        }
    }

    /// Returns `Unknown` if any attempt may have run, even in part, and `None` otherwise.
    pub fn execution(&self) -> Execution {
        if self.may_have_run == 0 {
            Execution::None
        } else {
            Execution::Unknown
        }
    }

    /// Records how an attempt ended and returns what to do next. Must not be called after a byte of
    /// a response has reached the caller.
    pub fn decide_after(&mut self, end: AttemptEnd) -> RetryDecision {
        match end {
            AttemptEnd::NotSent | AttemptEnd::RefusedUnrun => {
                self.not_run += 1;
                if self.not_run >= MAX_NOT_RUN_ATTEMPTS {
                    RetryDecision::GiveUp(self.execution())
                } else if end == AttemptEnd::NotSent {
                    RetryDecision::Retry
                } else {
                    RetryDecision::RetryWithinBudget
                }
            }
            AttemptEnd::MaybeRun => {
                self.may_have_run += 1;
                if self.repeatable && self.may_have_run < MAX_RUN_ATTEMPTS {
                    RetryDecision::RetryWithinBudget
                } else {
                    RetryDecision::GiveUp(self.execution())
                }
            }
        }
    }
}
