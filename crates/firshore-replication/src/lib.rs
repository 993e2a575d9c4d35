//! A replicated log: the Raft algorithm (D. Ongaro and J. Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
//! Practice", Stanford 2014) as a state machine without I/O, and its storage.
#![deny(missing_docs, unsafe_code)]

pub mod checked;
pub mod error;
pub mod log;
pub mod message;
pub mod progress;
pub mod redb_storage;
pub mod replica;
pub mod storage;
pub mod types;
