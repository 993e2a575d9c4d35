//! Batch jobs as a deterministic state machine, applied from a replicated log: which jobs there
//! are, which items they hold, and which result stands at which position.
//!
//! Who runs an item is not recorded: the leader of the log runs them, and the first result that is
//! committed for an item is the one that counts. What a reader has seen at a position stays there.
#![deny(missing_docs, unsafe_code)]

pub mod command;
mod job;
pub mod listing;
pub mod table;
