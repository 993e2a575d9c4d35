//! Decides which back end runs a request, and whether it is admitted at all. No I/O: the clock and
//! random numbers are passed in.
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
