//! Group membership: a state machine without I/O that tracks which nodes are alive, suspect,
//! leaving or failed.
//!
//! A variant of SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002) with the local health multiplier of Lifeguard
//! (Dadgar, Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure
//! Detection", DSN-W 2018). `docs/design/membership.md` describes the differences and their reasons.
#![deny(missing_docs, unsafe_code)]

pub mod budget;
mod exchange;
pub mod member;
pub mod membership;
pub mod message;
mod outbox;
mod probe;
mod rumours;
mod schedule;
mod suspicion;
pub mod table;
pub mod timing;
