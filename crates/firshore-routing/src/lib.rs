//! Selects the back end for a request and decides whether the request is admitted.
//!
//! The crate does no I/O: callers pass in the current time and the random number generator.
#![deny(missing_docs, unsafe_code)]

pub mod affinity;
pub mod allocator;
pub mod balance;
pub mod digest;
pub mod ejection;
pub mod eligibility;
pub mod endpoint;
pub mod limits;
pub mod load;
pub mod queue;
pub mod retry;
pub mod retry_budget;
pub mod router;
pub mod score;
pub mod speed;
