//! Decides which back end runs a request. No I/O: the clock and random numbers are passed in.
#![deny(missing_docs, unsafe_code)]

pub mod affinity;
pub mod balance;
pub mod ejection;
pub mod eligibility;
pub mod endpoint;
pub mod load;
pub mod retry;
pub mod router;
pub mod score;
pub mod speed;
