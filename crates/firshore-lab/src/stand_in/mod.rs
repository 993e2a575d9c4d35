//! Stand-ins for engines, application services and the platform.

pub mod application;
pub mod command;
pub mod engine;
pub mod object_store;
pub mod platform;
pub mod server;
pub mod weight_store;
