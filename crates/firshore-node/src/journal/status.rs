//! Why a journal promises or runs nothing, and since when. No I/O; the time is passed in.

use std::time::{Duration, Instant};

/// Shortest time between two reports, however often the standing changes: bounds the log.
const REPORT_PAUSE: Duration = Duration::from_secs(1);

/// Time between two reports of one standing that holds work back: a lasting hold stays visible at the
/// end of a long log.
const REPEAT_INTERVAL: Duration = Duration::from_secs(5);

/// What a standing is read from.
#[derive(Clone, Copy, Debug)]
pub struct StatusFacts {
    /// Whether this node's disk holds a replica.
    pub is_replica: bool,
    /// Whether this replica leads.
    pub leads: bool,
    /// Whether it knows of a leader.
    pub knows_leader: bool,
    /// Whether there are as many disks as promises need.
    pub enough_disks: bool,
    /// Whether this node has applied what was committed before it led.
    pub caught_up: bool,
    /// Whether a disk has no room for new work.
    pub disk_full: bool,
    /// Whether jobs or items wait for memory.
    pub memory_full: bool,
}

/// What a journal does for its callers, as one node sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JournalStatus {
    /// It leads, takes jobs in and runs their items.
    Serves,
    /// Another node leads.
    Follows,
    /// This node's disk holds no replica: others know.
    Outside,
    /// No leader is known.
    NoLeader,
    /// It leads on fewer disks than promises need.
    TooFewDisks,
    /// It leads and has not applied everything yet.
    CatchingUp,
    /// It leads, and a disk has no room.
    DiskFull,
    /// It leads, and the memory for jobs or for what items produce is used up.
    MemoryFull,
}

impl JournalStatus {
    /// Every standing.
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

    /// Reads the standing from facts; of several reasons the one that holds back the most.
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

    /// Returns whether work waits because of it.
    pub fn blocks_work(self) -> bool {
        !matches!(self, Self::Serves | Self::Follows | Self::Outside)
    }
}

/// What the log is to say about a standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatusReport {
    /// The standing.
    pub status: JournalStatus,
    /// How long it has lasted.
    pub duration: Duration,
}

/// Follows the standing, and says when the log is to tell it.
#[derive(Debug)]
pub struct StatusTracker {
    standing: JournalStatus,
    since: Instant,
    reported: JournalStatus,
    reported_at: Option<Instant>,
}

impl StatusTracker {
    /// Starts outside the group.
    pub fn new(now: Instant) -> Self {
        Self {
            standing: JournalStatus::Outside,
            since: now,
            reported: JournalStatus::Outside,
            reported_at: None,
        }
    }

    /// Returns the standing as last seen, and how long it has lasted.
    pub fn current(&self, now: Instant) -> StatusReport {
        StatusReport {
            status: self.standing,
            duration: now.saturating_duration_since(self.since),
        }
    }

    /// Takes in the standing as seen now. Returns what the log is to say: each change, and one that
    /// holds work back again and again.
    pub fn step(&mut self, now: Instant, standing: JournalStatus) -> Option<StatusReport> {
        if standing != self.standing {
            self.standing = standing;
            self.since = now;
        }
        let pause = match standing == self.reported {
            false => REPORT_PAUSE,
            true if standing.blocks_work() => REPEAT_INTERVAL,
            true => return None,
        };
        let last = self.reported_at.unwrap_or(self.since);
        let first_change = self.reported_at.is_none() && standing != self.reported;
        if !first_change && now.saturating_duration_since(last) < pause {
            return None;
        }
        self.reported = standing;
        self.reported_at = Some(now);
        Some(self.current(now))
    }
}
