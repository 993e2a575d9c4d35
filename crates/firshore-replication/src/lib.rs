//! A replicated log: the Raft algorithm (D. Ongaro and J. Ousterhout, "In Search of an
//! Understandable Consensus Algorithm", USENIX ATC 2014; D. Ongaro, "Consensus: Bridging Theory and
//! Practice", Stanford 2014) as a state machine without I/O, and its storage.
#![deny(missing_docs, unsafe_code)]

pub mod message;
pub mod types;
