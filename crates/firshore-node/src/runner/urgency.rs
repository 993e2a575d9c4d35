//! Which item goes first and which gives way, by the time that each has left. No I/O; the time is
//! passed in.
//!
//! An item that can still be done in time goes before one that cannot, whatever their age: late
//! results are worth little, and working on them first makes the next ones late too. Among those
//! that can, the one with the least slack goes first; among those that cannot, the one that has
//! waited longest, so that none is left lying.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Part of the time until an item is wanted that must be slack, for it to wait for ample room.
const PATIENT_SHARE: f64 = 0.5;

/// Time that an item has left beyond what it still needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemUrgency {
    /// It can be done in time: when it is wanted, and what it still needs.
    InTime(Instant, Duration),
    /// begun
    Begun(Instant, Duration),
    /// No time is known by which it is wanted; it was first seen then.
    Undated(Instant),
    /// It cannot be done in time any more; it was wanted then.
    Late(Instant),
}

impl ItemUrgency {
    /// The urgency of an item that is wanted at `due`, and needs `remaining` at a back end, which
    /// takes `stretch` times as long with the pauses in which it has to give way.
    pub fn new(now: Instant, due: DueTime, remaining: Duration, stretch: f64, begun: bool) -> Self {
        let Some(wanted) = due.wanted else {
            return Self::Undated(due.seen);
        };
        match now + remaining.mul_f64(stretch.min(1.0)) <= wanted {
            true if begun => Self::Begun(wanted, remaining),
            true => Self::InTime(wanted, remaining),
            false => Self::Late(wanted),
        }
    }

    fn class(&self) -> u8 {
        match self {
            Self::Begun(..) => 0,
            Self::InTime(..) => 1,
            Self::Undated(_) => 2,
            Self::Late(_) => 3,
        }
    }
}

impl PartialOrd for ItemUrgency {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// The most urgent first.
impl Ord for ItemUrgency {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::InTime(one, ahead), Self::InTime(other, others_ahead)) => {
                one.cmp(other).then(ahead.cmp(others_ahead))
            }
            (Self::Begun(one, ahead), Self::Begun(other, others_ahead)) => {
                ahead.cmp(others_ahead).then(one.cmp(other))
            }
            (Self::Undated(one), Self::Undated(other)) => one.cmp(other),
            (Self::Late(one), Self::Late(other)) => one.cmp(other),
            _ => self.class().cmp(&other.class()),
        }
    }
}

/// When a job's results are wanted, on this process' steady clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueTime {
    /// When this process first saw the job.
    pub seen: Instant,
    /// When the results are wanted.
    pub wanted: Option<Instant>,
    /// Time from the submission until then.
    pub after: Option<Duration>,
}

impl DueTime {
    /// Whether an item with this still to do has used up the time in which it could wait for room
    /// that online requests hardly need.
    pub fn is_pressed(&self, now: Instant, remaining: Duration) -> bool {
        let (Some(wanted), Some(after)) = (self.wanted, self.after) else {
            return false;
        };
        let slack = wanted.saturating_duration_since(now + remaining);
        slack < after.mul_f64(PATIENT_SHARE)
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
            seen: now,
            wanted: due_after.map(|due_after| submitted + due_after),
            after: due_after,
        };
        self.jobs.insert(job.to_owned(), due);
        due
    }

    /// Forgets jobs that are not to be run any more.
    pub fn keep(&mut self, is_open: impl Fn(&str) -> bool) {
        self.jobs.retain(|job, _| is_open(job));
    }
}
