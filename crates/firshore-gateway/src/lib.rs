//! Online requests: reads them from callers' connections, forwards them to back ends and returns the responses.
//!
//! The decisions ([`choice`], [`attempts`], [`split`], [`fleet`], [`pace`], [`events`],
//! [`input_budget`]) take the time as an
//! argument and do no I/O; [`forward`] and [`serve`] carry them out. Everything runs on one thread, without locks.
#![deny(missing_docs, unsafe_code)]

pub mod access;
pub mod answer_end;
pub mod attempts;
pub mod caller_connection;
pub mod choice;
pub mod crash_monitor;
pub mod events;
pub mod fleet;
pub mod forward;
pub mod freshness;
pub mod gateway;
mod incoming_body;
pub mod input_account;
pub mod input_budget;
pub mod leaving;
pub mod log_limit;
pub mod metrics;
pub mod overload;
pub mod pace;
pub mod pressure;
pub mod process_check;
pub mod prompt_parts;
pub mod refusal;
pub mod serve;
pub mod software_history;
pub mod split;
pub mod stream_origin;
