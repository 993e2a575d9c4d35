//! Logs jobs whose results cannot be read from the leader, and why. Their reader retries, and would wait forever if
//! they stay missing.

use firshore_adapter::jobs::caller_id;
use firshore_log::group::GroupStatus;
use firshore_log::refusal::JournalRefusal;
use firshore_replication::types::LogIndex;
use slog::{Logger, warn};
use std::cell::Cell;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Minimum time between two log lines, since readers retry many times per second.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Rate-limited log of results that cannot be read.
pub struct MissingResults {
    log: Logger,
    logged_at: Cell<Option<Instant>>,
    /// Refused readers since the last line.
    suppressed: Cell<u64>,
}

impl MissingResults {
    /// Creates the log; the first missing result is logged at once.
    pub fn new(log: Logger) -> Self {
        Self {
            log,
            logged_at: Cell::new(None),
            suppressed: Cell::new(0),
        }
    }

    /// Records that a reader of `job` was refused because the replica lacks the commands of these
    /// `entries`.
    pub fn record(&self, now: Instant, job: &str, entries: &BTreeSet<LogIndex>) {
        if let Some(suppressed) = self.should_log(now) {
            warn!(self.log, "journal: Results missing."; "job" => caller_id(job),
                "first" => entries.first(), "entries" => entries.len(), "untold" => suppressed);
        }
    }

    /// Records that a reader of `job` was refused by a leader with this `status`.
    pub fn record_refusal(
        &self,
        now: Instant,
        job: &str,
        refusal: &JournalRefusal,
        status: &GroupStatus,
    ) {
        if let Some(suppressed) = self.should_log(now) {
            warn!(self.log, "journal: Read refused."; "job" => caller_id(job), "reason" => ?refusal,
                "term" => status.term, "commit" => status.commit,
                "quorum" => status.membership.quorum(),
                "committed_quorum" => status.committed_membership.quorum(), "untold" => suppressed);
        }
    }

    /// Returns the number of lines suppressed since the last one; `None` if this one is suppressed, too.
    fn should_log(&self, now: Instant) -> Option<u64> {
        let quiet = |logged_at: Instant| now.saturating_duration_since(logged_at) < LOG_INTERVAL;
        if self.logged_at.get().is_some_and(quiet) {
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.logged_at.set(Some(now));
        Some(self.suppressed.replace(0))
    }
}
