//! The path of an online request: from a caller's connection to a back end and back.
//!
//! Decisions ([`choice`], [`attempts`], [`split`], [`fleet`], [`pace`], [`events`]) take the time as an
//! argument and do no I/O; [`forward`] and [`serve`] carry them out. One thread runs it all, so
//! that nothing here is locked.
#![deny(missing_docs, unsafe_code)]

pub mod access;
pub mod attempts;
pub mod caller_connection;
pub mod choice;
pub mod crash_monitor;
pub mod events;
pub mod fleet;
pub mod forward;
pub mod freshness;
pub mod gateway;
pub mod leaving;
pub mod metrics;
pub mod overload;
pub mod pace;
pub mod pressure;
pub mod refusal;
pub mod serve;
pub mod split;
