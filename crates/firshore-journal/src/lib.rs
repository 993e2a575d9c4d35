//! What a journal group keeps: batch jobs, claims of non-repeatable requests, and the floor of the
//! configuration. A deterministic state machine, changed only by committed commands.
#![deny(missing_docs, unsafe_code)]

pub mod claim;
pub mod state;
