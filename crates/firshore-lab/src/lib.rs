//! Stand-ins for the outside systems, load, and experiments.
#![deny(missing_docs, unsafe_code)]

pub mod cli;
pub mod demo;
pub mod demo_view;
pub mod engine_model;
pub mod experiment;
pub mod fault_proxy;
pub mod fit;
pub mod fleet;
pub mod fleet_of_one;
pub mod http;
pub mod judge;
pub mod load;
pub mod processes;
pub mod report;
pub mod simulation;
pub mod stand_in;
pub mod topology;
