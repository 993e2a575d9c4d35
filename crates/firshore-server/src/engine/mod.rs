//! The hop to back ends: one request on one connection, exactly once.

pub mod cancellation;
pub mod liveness;
