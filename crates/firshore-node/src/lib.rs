//! A node as it runs in an environment that an adapter translates: observes versioned objects,
//! serves callers, keeps batch jobs where it has a disk, and leaves without cutting anything off.
#![deny(missing_docs, unsafe_code)]

pub mod command_line;
pub mod crash_exchange;
mod environment;
pub mod explain;
pub mod journal;
pub mod list_watch;
pub mod load_exchange;
pub mod load_table;
pub mod memory;
pub mod metrics;
pub mod node;
pub mod pace_table;
pub mod readiness;
pub mod refusals;
pub mod relay;
pub mod runner;
pub mod settings;
pub mod status_listener;
mod task;
pub mod watcher;
