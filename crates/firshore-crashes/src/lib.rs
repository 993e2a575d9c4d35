//! Detects requests, and parts of prompts, that crash back ends, from the exits that all nodes observed. No I/O; the time
//! is passed in.
//!
//! A request that crashes back ends may be repeated with another identifier and at another node, so each node
//! observes only some of its runs. Nodes identify it by a fingerprint of its content ([`mod@fingerprint`]), and requests that
//! have only a part of their prompts in common by one of that part ([`suspect`]). Each node
//! records which back ends exited and which requests were lost there ([`table`]), and synchronizes these records
//! with its peers ([`sync`]). The records form a union of sets: they may be merged in any order, repeatedly, and
//! from any node. Each node decides from its own table; nodes with equal tables decide alike.
#![deny(missing_docs, unsafe_code)]

mod detection;
mod exit_list;
pub mod fingerprint;
mod part_detection;
pub mod report;
pub mod suspect;
pub mod sync;
pub mod table;
