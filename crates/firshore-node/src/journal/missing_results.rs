//! Tells of results that are listed and cannot be read: their reader asks again, and waits for good if
//! they stay away.

use firshore_adapter::jobs::caller_id;
use firshore_replication::types::LogIndex;
use slog::{Logger, warn};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Shortest time between two lines: readers ask again many times a second.
const LINE_PAUSE: Duration = Duration::from_secs(1);

/// Writes a line now and then about results that cannot be read.
pub struct MissingResults {
    log: Logger,
    told_at: Cell<Option<Instant>>,
    /// Readers turned away since the last line.
    untold: Cell<u64>,
}

impl MissingResults {
    /// Nothing was missing yet.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            told_at: Cell::new(None),
            untold: Cell::new(0),
        }
    }

    /// Takes in that a reader of `job` was turned away, as the replica lacks the commands of these
    /// `entries`.
    pub fn record(&self, now: Instant, job: &str, entries: &BTreeSet<LogIndex>) {
        let quiet = |told_at: Instant| now.saturating_duration_since(told_at) < LINE_PAUSE;
        if self.told_at.get().is_some_and(quiet) {
            return self.untold.set(self.untold.get() + 1);
        }
        self.told_at.set(Some(now));
        let untold = self.untold.replace(0);
        warn!(self.log, "journal: Results missing."; "job" => caller_id(job),
            "first" => entries.first(), "entries" => entries.len(), "untold" => untold);
    }
}
