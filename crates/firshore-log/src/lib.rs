//! Runs replicas of a replicated log on a disk, each on its own thread, and applies committed entries
//! to a state machine.
//!
//! The caller provides the state machine ([`machine::StateMachine`]) and the transport for messages
//! ([`machine::Transport`]). [`placement`] decides which replicas a group has.
#![deny(missing_docs, unsafe_code)]

mod disk_space;
mod driver;
pub mod group;
pub mod machine;
pub mod placement;
pub mod reference_transfer;
pub mod refusal;

pub use group::{Group, GroupStatus};
