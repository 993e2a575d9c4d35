//! Batch jobs as a deterministic state machine driven by the journal's log, and the controller
//! that limits the batch items of an engine.
#![deny(missing_docs, unsafe_code)]

pub mod command;
pub mod headroom;
pub mod item_set;
pub mod item_store;
pub mod job;
mod job_state;
mod progress;
pub mod queue;
pub mod table;
mod upload;
