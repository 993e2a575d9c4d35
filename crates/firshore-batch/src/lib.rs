//! Batch jobs as a deterministic state machine fed from the journal's log.
#![deny(missing_docs, unsafe_code)]

pub mod command;
pub mod job;
pub mod table;
