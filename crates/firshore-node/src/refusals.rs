//! Which refused objects are told in the log: each revision once, and a few a second. No I/O.

use firshore_adapter::objects::Revision;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// Refusals told in one [`WINDOW`]: another writer may write as fast as the store takes it.
const MOST_TOLD: u32 = 5;

const WINDOW: Duration = Duration::from_secs(1);

/// Objects whose refusal is remembered; beyond that all are forgotten, and told again.
const MOST_REMEMBERED: usize = 1_024;

/// Refusals of objects of one kind.
#[derive(Debug, Default)]
pub struct RefusalLog {
    told: HashMap<String, Revision>,
    window: Option<Instant>,
    in_window: u32,
    untold: u64,
}

impl RefusalLog {
    /// Returns how many refusals were not told since the last one that was, if this one is to be told.
    pub fn admit(&mut self, now: Instant, name: &str, revision: Revision) -> Option<u64> {
        if self.told.get(name) == Some(&revision) {
            return None;
        }
        let is_over = |begin: Instant| now.saturating_duration_since(begin) >= WINDOW;
        if self.window.is_none_or(is_over) {
            self.window = Some(now);
            self.in_window = 0;
        }
        if self.in_window >= MOST_TOLD {
            self.untold += 1;
            return None;
        }
        self.in_window += 1;
        if self.told.len() >= MOST_REMEMBERED {
            self.told.clear();
        }
        self.told.insert(name.to_owned(), revision);
        Some(std::mem::take(&mut self.untold))
    }

    /// Takes in that an object is gone or can be read.
    pub fn forget(&mut self, name: &str) {
        self.told.remove(name);
    }
}
