//! Limits log lines on refused objects: each revision once, and a few per second. No I/O.

use firshore_adapter::objects::Revision;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum log lines per [`WINDOW`]: a writer may produce invalid objects as fast as the store accepts them.
const MAX_LINES: u32 = 5;

const WINDOW: Duration = Duration::from_secs(1);

/// Maximum number of objects whose refusal is remembered. If it is reached, all are removed and may be logged
/// again.
const MAX_REMEMBERED: usize = 1_024;

/// Refused objects of one kind that were logged.
#[derive(Debug, Default)]
pub struct RefusalLog {
    logged: HashMap<String, Revision>,
    window_start: Option<Instant>,
    lines_in_window: u32,
    suppressed: u64,
}

impl RefusalLog {
    /// Returns the number of refusals that were suppressed since the last logged one if this one has to be logged,
    /// `None` otherwise.
    pub fn should_log(&mut self, now: Instant, name: &str, revision: Revision) -> Option<u64> {
        if self.logged.get(name) == Some(&revision) {
            return None;
        }
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
        if self.logged.len() >= MAX_REMEMBERED {
            self.logged.clear();
        }
        self.logged.insert(name.to_owned(), revision);
        Some(std::mem::take(&mut self.suppressed))
    }

    /// Removes an object that was deleted or is valid again.
    pub fn forget(&mut self, name: &str) {
        self.logged.remove(name);
    }
}
