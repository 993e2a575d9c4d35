//! Order in which items start and are preempted. No I/O; the time is passed in.
//!
//! The item with the earliest deadline is the most urgent (earliest deadline first, Liu and Layland 1973).
//! Items past their deadline come last: running them first would make the next ones late too. The remaining
//! work of an item is left out because it is only an estimate.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Fraction of the time until its deadline after which a job is at risk. Before, its items leave the last slots
/// to online requests.
const AT_RISK_FRACTION: f64 = 0.5;

/// Urgency of an item; the most urgent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemUrgency {
    /// The item is due at this time, which has not passed.
    InTime(Instant),
    /// The item has no deadline and was first seen at this time.
    Undated(Instant),
    /// The item was due at this time, which has passed.
    Late(Instant),
}

/// Deadline of a job, on this process's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueTime {
    /// Time at which this process first saw the job.
    pub first_seen: Instant,
    /// Deadline of the results; `None` if the job has none.
    pub deadline: Option<Instant>,
    /// Time from which on its items may use the last slots.
    pub at_risk_from: Option<Instant>,
}

impl DueTime {
    /// Returns whether the job's items are at risk of missing their deadline, but not late yet.
    pub fn is_at_risk(&self, now: Instant) -> bool {
        let at_risk = self.at_risk_from.is_some_and(|from| now >= from);
        at_risk && self.deadline.is_some_and(|deadline| now <= deadline)
    }

    /// Returns the urgency of the job's items.
    pub fn urgency(&self, now: Instant) -> ItemUrgency {
        match self.deadline {
            None => ItemUrgency::Undated(self.first_seen),
            Some(deadline) if now <= deadline => ItemUrgency::InTime(deadline),
            Some(deadline) => ItemUrgency::Late(deadline),
        }
    }
}

/// Deadlines of jobs.
///
/// The age of a job is read from the system clock once, when the job is first seen. After that the monotonic
/// clock is used, so that a jump of the system clock doesn't move deadlines.
#[derive(Debug, Default)]
pub struct DueTable {
    jobs: HashMap<String, DueTime>,
}

impl DueTable {
    /// Returns the due time of a job that was submitted `age` ago by the system clock and is due `due_after` its
    /// submission. Later calls return the result of the first one.
    pub fn due(
        &mut self,
        now: Instant,
        job: &str,
        age: Duration,
        due_after: Option<Duration>,
    ) -> DueTime {
        if let Some(due) = self.jobs.get(job) {
            return *due;
        }
        let submitted = now.checked_sub(age).unwrap_or(now);
        let due = DueTime {
            first_seen: now,
            deadline: due_after.map(|due_after| submitted + due_after),
            at_risk_from: due_after
                .map(|due_after| submitted + due_after.mul_f64(AT_RISK_FRACTION)),
        };
        self.jobs.insert(job.to_owned(), due);
        due
    }

    /// Removes jobs that are no longer open.
    pub fn retain(&mut self, is_open: impl Fn(&str) -> bool) {
        self.jobs.retain(|job, _| is_open(job));
    }
}
