//! Which item goes first and which gives way. No I/O; the time is passed in.
//!
//! The item that is wanted first goes first: as all back ends are shared, that serves most in time
//! (earliest deadline first, Liu and Layland 1973). Behind all others come those that are wanted no
//! more in time: working on them first would make the next ones late too. What an item still needs is
//! left out on purpose: it is known by guess only, and a wrong guess costs more than it gains.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Part of the time until its results are wanted that a job can wait for room which online requests
/// are not likely to need.
const PATIENT_SHARE: f64 = 0.5;

/// How urgent an item is; the most urgent is the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ItemUrgency {
    /// It is wanted at this time, which is to come.
    InTime(Instant),
    /// No time is known by which it is wanted; it was first seen then.
    Undated(Instant),
    /// It was wanted then.
    Late(Instant),
}

/// When a job's results are wanted, on this process' steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueTime {
    /// When this process first saw the job.
    pub first_seen: Instant,
    /// When the results are wanted.
    pub deadline: Option<Instant>,
    /// From when on its items may take the last slots.
    pub at_risk_from: Option<Instant>,
}

impl DueTime {
    /// Returns whether the job's items are in danger of being late, but not late yet.
    pub fn is_at_risk(&self, now: Instant) -> bool {
        let pressed = self.at_risk_from.is_some_and(|from| now >= from);
        pressed && self.deadline.is_some_and(|wanted| now <= wanted)
    }

    /// Returns how urgent the job's items are.
    pub fn urgency(&self, now: Instant) -> ItemUrgency {
        match self.deadline {
            None => ItemUrgency::Undated(self.first_seen),
            Some(wanted) if now <= wanted => ItemUrgency::InTime(wanted),
            Some(wanted) => ItemUrgency::Late(wanted),
        }
    }
}

/// When the results of jobs are wanted.
///
/// The age of a job is read from the clock once, when it is first seen; from then on the steady clock
/// counts, so that a clock that jumps moves nothing.
#[derive(Debug, Default)]
pub struct DueTable {
    jobs: HashMap<String, DueTime>,
}

impl DueTable {
    /// Returns when a job is wanted that is `age` old by the clock, and due `due_after` its
    /// submission.
    pub fn due(
        &mut self,
        now: Instant,
        job: &str,
        age: Duration,
        due_after: Option<Duration>,
    ) -> DueTime {
        if let Some(known) = self.jobs.get(job) {
            return *known;
        }
        let submitted = now.checked_sub(age).unwrap_or(now);
        let due = DueTime {
            first_seen: now,
            deadline: due_after.map(|due_after| submitted + due_after),
            at_risk_from: due_after.map(|due_after| submitted + due_after.mul_f64(PATIENT_SHARE)),
        };
        self.jobs.insert(job.to_owned(), due);
        due
    }

    /// Forgets jobs that are not to be run any more.
    pub fn keep(&mut self, is_open: impl Fn(&str) -> bool) {
        self.jobs.retain(|job, _| is_open(job));
    }
}
