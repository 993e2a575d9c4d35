//! Which nodes are alive, suspect, leaving or failed, as a state machine without I/O.
#![deny(missing_docs, unsafe_code)]

pub mod member;
pub mod table;
