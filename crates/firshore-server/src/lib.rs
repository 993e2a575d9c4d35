//! The firshore node: wiring of the state machines to sockets, disks and clocks, and its command
//! line.
#![deny(missing_docs, unsafe_code)]

pub mod admin;
pub mod admin_jobs;
pub mod admission;
pub mod batch_runner;
pub mod cli;
pub mod clock;
pub mod configuration;
pub mod controller;
pub mod engine;
pub mod gateway;
pub mod journal;
pub use firshore_gateway::leaving;
pub mod limits;
pub mod load_exchange;
pub use firshore_logging as logging;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod online_arrivals;
pub mod peers;
pub mod platform;
pub mod reference;
pub mod routing;
pub mod serving;
pub mod settings;
pub mod shared;
