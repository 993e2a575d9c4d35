//! Why the journal accepts or runs nothing, and since when. No I/O; the time is passed in.

use std::time::{Duration, Instant};

/// Minimum time between two reports, however often the status changes. Bounds the log.
const MIN_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between reports of a status that blocks work, so that it stays visible at the end of a
/// long log.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// The facts that determine the status.
#[derive(Clone, Copy, Debug)]
pub struct StatusFacts {
    /// Whether this node's disk holds a replica.
    pub is_replica: bool,
    /// Whether this replica leads.
    pub leads: bool,
    /// Whether it knows a leader.
    pub knows_leader: bool,
    /// Whether there are as many disks as the durability guarantee requires.
    pub enough_disks: bool,
    /// Whether this node has applied what was committed before it became the leader.
    pub caught_up: bool,
    /// Whether a disk has no space for new work.
    pub disk_full: bool,
    /// Whether jobs or items wait for memory.
    pub memory_full: bool,
}

/// Status of the journal for its callers, as observed by one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalStatus {
    /// It leads, accepts jobs and runs their items.
    Serves,
    /// Another node leads.
    Follows,
    /// This node's disk holds no replica; other nodes know the status.
    Outside,
    /// No leader is known.
    NoLeader,
    /// It leads with fewer disks than the durability guarantee requires.
    TooFewDisks,
    /// It leads but has not applied all committed entries yet.
    CatchingUp,
    /// It leads, and a disk has no space.
    DiskFull,
    /// It leads, and the memory for jobs or for the output of items is used up.
    MemoryFull,
}

impl JournalStatus {
    /// All statuses.
    pub const ALL: [Self; 8] = [
        Self::Serves,
        Self::Follows,
        Self::Outside,
        Self::NoLeader,
        Self::TooFewDisks,
        Self::CatchingUp,
        Self::DiskFull,
        Self::MemoryFull,
    ];

    /// Returns the status for these facts; if several apply, the most severe one.
    pub fn of(facts: &StatusFacts) -> Self {
        if !facts.is_replica {
            return Self::Outside;
        }
        if !facts.leads {
            return match facts.knows_leader {
                true => Self::Follows,
                false => Self::NoLeader,
            };
        }
        if !facts.enough_disks {
            return Self::TooFewDisks;
        }
        if !facts.caught_up {
            return Self::CatchingUp;
        }
        if facts.disk_full {
            return Self::DiskFull;
        }
        match facts.memory_full {
            true => Self::MemoryFull,
            false => Self::Serves,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Serves => "serves",
            Self::Follows => "follows",
            Self::Outside => "outside",
            Self::NoLeader => "no_leader",
            Self::TooFewDisks => "too_few_disks",
            Self::CatchingUp => "catching_up",
            Self::DiskFull => "disk_full",
            Self::MemoryFull => "memory_full",
        }
    }

    /// Returns whether the status blocks work.
    pub fn blocks_work(self) -> bool {
        !matches!(self, Self::Serves | Self::Follows | Self::Outside)
    }
}

/// A report of the status for the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The status.
    pub status: JournalStatus,
    /// How long it has lasted.
    pub duration: Duration,
}

/// Tracks the status and decides when to log it.
#[derive(Debug)]
pub struct StatusTracker {
    status: JournalStatus,
    since: Instant,
    reported: JournalStatus,
    reported_at: Option<Instant>,
}

impl StatusTracker {
    /// Starts outside the group.
    pub fn new(now: Instant) -> Self {
        Self {
            status: JournalStatus::Outside,
            since: now,
            reported: JournalStatus::Outside,
            reported_at: None,
        }
    }

    /// Returns the last status and how long it has lasted.
    pub fn current(&self, now: Instant) -> StatusReport {
        StatusReport {
            status: self.status,
            duration: now.saturating_duration_since(self.since),
        }
    }

    /// Records the current status. Returns a report if one is due: for each change, and repeatedly
    /// for a status that blocks work.
    pub fn step(&mut self, now: Instant, status: JournalStatus) -> Option<StatusReport> {
        if status != self.status {
            self.status = status;
            self.since = now;
        }
        let interval = match status == self.reported {
            false => MIN_REPORT_INTERVAL,
            true if status.blocks_work() => REPEAT_INTERVAL,
            true => return None,
        };
        let last = self.reported_at.unwrap_or(self.since);
        let first_change = self.reported_at.is_none() && status != self.reported;
        if !first_change && now.saturating_duration_since(last) < interval {
            return None;
        }
        self.reported = status;
        self.reported_at = Some(now);
        Some(self.current(now))
    }
}
