//! State machine of a journal group: batch jobs, claims of non-repeatable requests, and the
//! configuration floor. It is deterministic and changed only by committed commands.
#![deny(missing_docs, unsafe_code)]

pub mod claim;
pub mod state;
