//! Runs replicas of a replicated log on a disk, each on a thread of its own, and applies what is
//! committed to a state machine.
//!
//! The machine above ([`machine::StateMachine`]) and the way messages travel
//! ([`machine::Transport`]) are given from outside; which replicas a group has is decided in
//! [`placement`].
#![deny(missing_docs, unsafe_code)]

mod disk_space;
mod driver;
pub mod group;
pub mod machine;
pub mod placement;
pub mod reference_transfer;
pub mod refusal;

pub use group::{Group, GroupStatus};
