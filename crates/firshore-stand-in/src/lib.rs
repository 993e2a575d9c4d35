//! An environment for tests: a store of objects in memory, back ends that play scripts, and an
//! adapter with a plain dialect of its own. It stands in for whatever a node is deployed into, so
//! that each kind of fault can be provoked without it.
#![deny(missing_docs, unsafe_code)]

pub mod adapter;
pub mod backend;
pub mod endless;
pub mod job_ledger;
pub mod soak_seeds;
pub mod store;
pub mod watchdog;
