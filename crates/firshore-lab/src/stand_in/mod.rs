//! Stand-ins for engines, application services and the platform.

pub mod engine;
pub mod platform;
pub mod server;
