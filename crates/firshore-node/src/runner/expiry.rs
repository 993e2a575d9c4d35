//! Decides which items are given up without a further run. No I/O; the time is passed in.
//!
//! An item ends with its time or with its route, whatever else it waits for. Both are judged by what this process has seen
//! itself, so that neither a jump of a system clock nor an old copy of the configuration ends an item early.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time for which the configuration must lack a route before its items are given up: the operator may bring it back with
/// the next version.
const ROUTE_ABSENCE: Duration = Duration::from_secs(5);

/// Interval between two observations of the open jobs.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(1);

/// Why an item is given up without a further run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The time after which it may be given up is over.
    TimeOver,
    /// The configuration has no route for it any more.
    RouteEnded,
}

impl GiveUpReason {
    /// Returns the label of the reason in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::TimeOver => "time_over",
            Self::RouteEnded => "route_ended",
        }
    }
}

/// Times since which this process has known the open jobs, whether it led or not.
///
/// No process knows a job before its submission, so that no item is given up early; a process that follows knows it since
/// about then, so that a change of leader doesn't begin its time anew.
#[derive(Debug, Default)]
pub struct JobAges {
    first_seen: HashMap<String, Instant>,
    observed_at: Option<Instant>,
}

impl JobAges {
    /// Returns whether the open jobs should be observed now.
    pub fn is_due(&self, now: Instant) -> bool {
        let last = self.observed_at;
        last.is_none_or(|last| now.saturating_duration_since(last) >= OBSERVATION_INTERVAL)
    }

    /// Records the open jobs, and removes those that `is_open` rejects.
    pub fn observe<'a>(
        &mut self,
        now: Instant,
        open: impl Iterator<Item = &'a str>,
        is_open: impl Fn(&str) -> bool,
    ) {
        self.observed_at = Some(now);
        self.first_seen.retain(|job, _| is_open(job));
        for job in open {
            if !self.first_seen.contains_key(job) {
                self.first_seen.insert(job.to_owned(), now);
            }
        }
    }

    /// Returns the time until the items of a job are given up, `give_up_after` its submission; zero if it is over.
    pub fn time_left(&self, now: Instant, job: &str, give_up_after: Duration) -> Duration {
        give_up_after.saturating_sub(self.age(now, job))
    }

    /// Returns the time since a job was first seen; zero if it was not.
    pub fn age(&self, now: Instant, job: &str) -> Duration {
        let first_seen = self.first_seen.get(job);
        first_seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }
}

/// Jobs with items for which the configuration has no route, as a leader sees them.
#[derive(Debug, Default)]
pub struct RouteAbsences {
    /// When an item of the job was first found without a route.
    since: HashMap<String, Instant>,
    /// Jobs with such items in the current scheduling pass.
    found: HashSet<String>,
}

impl RouteAbsences {
    /// Records that an item of a job has no route in a configuration that is current as of `as_of`; `None` if that is
    /// unknown. Returns whether its route has ended: the configuration has been confirmed without it for long enough.
    pub fn record(&mut self, now: Instant, job: &str, as_of: Option<Instant>) -> bool {
        if !self.found.contains(job) {
            self.found.insert(job.to_owned());
        }
        let Some(since) = self.since.get(job) else {
            self.since.insert(job.to_owned(), now);
            return false;
        };
        as_of.is_some_and(|as_of| as_of >= *since + ROUTE_ABSENCE)
    }

    /// Ends a scheduling pass. If it examined all items, the jobs without such an item have their routes back, or are no
    /// longer open.
    pub fn end_pass(&mut self, examined_all: bool) {
        if examined_all {
            let found = &self.found;
            self.since.retain(|job, _| found.contains(job));
        }
        self.found.clear();
    }
}
