//! What the items of jobs wait for, for the log. No I/O; the time is passed in.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a job waits for the same before that is logged.
const LOG_AFTER: Duration = Duration::from_secs(5);

/// Why an item does not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The configuration has no route for it.
    NoRoute,
    /// The memory for events is used up.
    MemoryFull,
    /// A run has ended shortly before, or a quarantine is checked again later.
    BacksOff,
    /// Online requests need the service.
    OnlineRequests,
    /// The service has no back end in the permitted zones.
    NoBackend,
    /// No back end has a free slot, or none that may continue its events.
    NoFreeSlot,
}

#[derive(Debug)]
struct Wait {
    reason: WaitReason,
    since: Instant,
    is_logged: bool,
}

/// What the first waiting item of each job waits for.
#[derive(Debug, Default)]
pub struct JobWaits {
    jobs: HashMap<String, Wait>,
}

impl JobWaits {
    /// Records what the first waiting item of a job waits for. Returns whether to log it: once for each reason that
    /// lasts.
    pub fn record(&mut self, now: Instant, job: &str, reason: WaitReason) -> bool {
        let Some(wait) = self.jobs.get_mut(job) else {
            let wait = Wait {
                reason,
                since: now,
                is_logged: false,
            };
            self.jobs.insert(job.to_owned(), wait);
            return false;
        };
        if wait.reason != reason {
            wait.reason = reason;
            wait.since = now;
            wait.is_logged = false;
        }
        let lasts = now.saturating_duration_since(wait.since) >= LOG_AFTER;
        let is_due = lasts && !wait.is_logged;
        wait.is_logged |= is_due;
        is_due
    }

    /// Removes jobs that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        self.jobs.retain(|job, _| is_open(job));
    }
}
