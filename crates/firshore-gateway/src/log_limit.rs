//! Limits log lines that callers or writers to the store can cause: a few per second. No I/O.

use std::time::{Duration, Instant};

/// Maximum log lines per [`WINDOW`].
const MAX_LINES: u32 = 5;

const WINDOW: Duration = Duration::from_secs(1);

/// Lines of one kind that were logged recently.
#[derive(Debug, Default)]
pub struct LogLimit {
    window_start: Option<Instant>,
    lines_in_window: u32,
    suppressed: u64,
}

impl LogLimit {
    /// Returns the number of lines that were suppressed since the last logged one if this one has to be logged, `None`
    /// otherwise.
    pub fn should_log(&mut self, now: Instant) -> Option<u64> {
        let is_over = |start: Instant| now.saturating_duration_since(start) >= WINDOW;
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.lines_in_window = 0;
        }
        if self.lines_in_window >= MAX_LINES {
            self.suppressed += 1;
            return None;
        }
        self.lines_in_window += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
