//! Hollow nodes: the real membership and configuration state machines of many nodes in one
//! process, in simulated time, with encoded frames between them.

mod configuration;
pub mod events;
mod faults;
pub mod fleet;
pub mod measure;
pub mod network;
pub mod node;
pub mod objects;
mod observation;
pub mod outcome;
pub mod scenario;
pub mod usage;
