//! A firshore node: watches the environment's versioned objects through an adapter, serves callers,
//! stores batch jobs if it has a disk, and shuts down gracefully.
#![deny(missing_docs, unsafe_code)]

pub mod command_line;
pub mod crash_exchange;
mod environment;
pub mod explain;
pub mod journal;
pub mod list_watch;
pub mod listing;
pub mod load_exchange;
pub mod load_table;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod origin_exchange;
pub mod pace_table;
pub mod readiness;
pub mod refusals;
pub mod relay;
pub mod runner;
pub mod settings;
pub mod status_listener;
pub mod stream_origins;
mod task;
pub mod watcher;
