//! Whether a request may be sent again after an attempt that brought no answer.
//!
//! Sending again is safe where the request certainly was not run, and free where it was not sent.
//! Otherwise only a repeatable request is sent again, before any byte of its answer reached the
//! caller. Whatever reached a back end, though it refused, is sent again only if the retry budget
//! allows it: else a fleet that refuses under load gets several times the load.

use firshore_types::error::Execution;

/// Most attempts at one request that the back ends themselves refused or could not be reached
/// for.
pub const MAXIMUM_UNRUN_ATTEMPTS: u32 = 4;

/// Most attempts at one request that may have run.
pub const MAXIMUM_RUN_ATTEMPTS: u32 = 2;

/// How an attempt ended without an answer for the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No connection was made.
    NotSent,
    /// The back end refused it before running it (`engine-execution: none`).
    RefusedUnrun,
    /// The connection ended, or the back end failed, after it may have run.
    MaybeRun,
}

/// What may be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to another back end.
    Retry,
    /// Send it to another back end if the retry budget allows.
    RetryWithinBudget,
    /// Answer the caller now.
    GiveUp(Execution),
}

/// The attempts made at one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    repeatable: bool,
    unrun: u32,
    maybe_run: u32,
}

impl Attempts {
    /// None yet.
    pub fn new(repeatable: bool) -> Self {
        Self {
            repeatable,
            unrun: 0,
            maybe_run: 0,
        }
    }

    /// Whether any attempt may have run, wholly or in part.
    pub fn execution(&self) -> Execution {
        if self.maybe_run == 0 {
            Execution::None
        } else {
            Execution::Unknown
        }
    }

    /// Decides after an attempt. To be asked only while no byte of an answer has reached the
    /// caller.
    pub fn after(&mut self, end: AttemptEnd) -> Decision {
        match end {
            AttemptEnd::NotSent | AttemptEnd::RefusedUnrun => {
                self.unrun += 1;
                if self.unrun >= MAXIMUM_UNRUN_ATTEMPTS {
                    Decision::GiveUp(self.execution())
                } else if end == AttemptEnd::NotSent {
                    Decision::Retry
                } else {
                    Decision::RetryWithinBudget
                }
            }
            AttemptEnd::MaybeRun => {
                self.maybe_run += 1;
                if self.repeatable && self.maybe_run < MAXIMUM_RUN_ATTEMPTS {
                    Decision::RetryWithinBudget
                } else {
                    Decision::GiveUp(self.execution())
                }
            }
        }
    }
}
