//! Batch jobs as a deterministic state machine that is applied from a replicated log: the jobs, their
//! items, and the result at each position.
//!
//! The table does not record who runs an item: the leader of the log runs items, and the first
//! committed result of an item counts. A result that was read at a position stays there.
#![deny(missing_docs, unsafe_code)]

pub mod command;
mod job;
pub mod listing;
pub mod table;
