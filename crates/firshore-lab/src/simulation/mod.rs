//! Seeded simulations of the state machines. A seed replays a failure exactly.

pub mod checker;
pub mod command;
pub mod faults;
pub mod hollow;
pub mod host;
pub mod replication;
