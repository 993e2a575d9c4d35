//! Limits log lines on refused objects: each revision once, and a few per second. No I/O.

use firshore_adapter::objects::Revision;
use firshore_gateway::log_limit::LogLimit;
use std::collections::HashMap;
use tokio::time::Instant;

/// Maximum number of objects whose refusal is remembered. If it is reached, all are removed and may be logged
/// again.
const MAX_REMEMBERED: usize = 1_024;

/// Refused objects of one kind that were logged.
#[derive(Debug, Default)]
pub struct RefusalLog {
    logged: HashMap<String, Revision>,
    lines: LogLimit,
}

impl RefusalLog {
    /// Returns the number of refusals that were suppressed since the last logged one if this one has to be logged,
    /// `None` otherwise.
    pub fn should_log(&mut self, now: Instant, name: &str, revision: Revision) -> Option<u64> {
        if self.logged.get(name) == Some(&revision) {
            return None;
        }
        let suppressed = self.lines.should_log(now.into_std())?;
        if self.logged.len() >= MAX_REMEMBERED {
            self.logged.clear();
        }
        self.logged.insert(name.to_owned(), revision);
        Some(suppressed)
    }

    /// Removes an object that was deleted or is valid again.
    pub fn forget(&mut self, name: &str) {
        self.logged.remove(name);
    }
}
