//! Time as the node's state machines take it.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotone clock counted in milliseconds from the node's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts counting now.
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }
}

/// Milliseconds since the Unix epoch by the machine's wall clock.
pub fn unix_milliseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}
