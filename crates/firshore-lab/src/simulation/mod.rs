//! Seeded simulations of the state machines. A seed replays a failure exactly.

pub mod hollow;
