//! Replication progress of one follower, as tracked by the leader.

use crate::types::{LogIndex, Snapshot};
use std::collections::VecDeque;

/// Messages with entries that may be in flight to one follower.
const MAX_IN_FLIGHT: usize = 16;

/// Mode in which entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgressState {
    /// The last matching index is unknown: one message at a time.
    Probe {
        /// Whether a message is in flight.
        waiting: bool,
    },
    /// The logs match: messages are pipelined.
    Replicate,
    /// Entries that the follower needs were discarded: a snapshot is sent in chunks.
    Snapshot {
        /// Snapshot being sent.
        snapshot: Snapshot,
        /// Bytes that the follower has received.
        offset: u64,
        /// Time at which the last chunk was sent, in milliseconds.
        sent_at: u64,
    },
}

/// Measures how far a follower lags, in rounds. A round ends when the follower holds all entries that were
/// committed when the round started (Ongaro 2014, section 4.2.1).
#[derive(Clone, Debug)]
struct CatchUpRounds {
    /// Index that the follower must match for the round to end.
    target: LogIndex,
    /// Start of the round, in milliseconds.
    started_at: u64,
    /// Duration of the last complete round in milliseconds, if any.
    last_round: Option<u64>,
}

impl CatchUpRounds {
    fn new(target: LogIndex, now: u64) -> Self {
        Self {
            target,
            started_at: now,
            last_round: None,
        }
    }

    /// Ends the round if `matched` has reached its target; the next target is `commit`.
    fn update(&mut self, now: u64, matched: LogIndex, commit: LogIndex) {
        if matched < self.target {
            return;
        }
        self.last_round = Some(now.saturating_sub(self.started_at));
        self.target = commit;
        self.started_at = now;
    }

    /// Returns whether the last round took at most `limit` milliseconds and the current one has not exceeded it.
    fn keeps_up_within(&self, now: u64, limit: u64) -> bool {
        let elapsed = now.saturating_sub(self.started_at);
        self.last_round.is_some_and(|took| took <= limit) && elapsed <= limit
    }
}

/// Replication progress of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Highest index known to match the leader's log.
    pub matched: LogIndex,
    /// Index of the next entry to send.
    pub next: LogIndex,
    /// Mode in which entries are sent.
    pub state: ProgressState,
    /// Time of the last response, in milliseconds; before the first response, the creation of this progress.
    pub last_response_at: u64,
    /// Whether the follower has ever responded to this leader.
    pub has_responded: bool,
    /// Latest heartbeat round that the follower responded to.
    pub round: u64,
    /// Last index of each message in flight.
    in_flight: VecDeque<LogIndex>,
    catch_up: CatchUpRounds,
}

impl Progress {
    /// Creates the progress of a follower whose log is unknown; `next` is the leader's next index.
    pub fn new(next: LogIndex, now: u64) -> Self {
        Self {
            matched: 0,
            next,
            state: ProgressState::Probe { waiting: false },
            last_response_at: now,
            has_responded: false,
            round: 0,
            in_flight: VecDeque::new(),
            catch_up: CatchUpRounds::new(next.saturating_sub(1), now),
        }
    }

    /// Records a response at `now` (milliseconds).
    pub fn record_response(&mut self, now: u64) {
        self.last_response_at = now;
        self.has_responded = true;
    }

    /// Returns whether entries may be sent now.
    pub fn can_send(&self) -> bool {
        match self.state {
            ProgressState::Probe { waiting } => !waiting,
            ProgressState::Replicate => self.in_flight.len() < MAX_IN_FLIGHT,
            ProgressState::Snapshot { .. } => false,
        }
    }

    /// Records that entries up to `last` were sent.
    pub fn record_sent(&mut self, last: LogIndex) {
        match &mut self.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Replicate => {
                self.next = last + 1;
                self.in_flight.push_back(last);
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    /// Allows another probe, because the last one may have been lost.
    pub fn resume_probe(&mut self) {
        if let ProgressState::Probe { waiting } = &mut self.state {
            *waiting = false;
        }
    }

    /// Records that the follower's log matches the leader's up to `index`; `commit` is the commit index.
    pub fn record_match(&mut self, now: u64, index: LogIndex, commit: LogIndex) {
        self.matched = self.matched.max(index);
        self.catch_up.update(now, self.matched, commit);
        while self.in_flight.front().is_some_and(|last| *last <= index) {
            self.in_flight.pop_front();
        }
        match &self.state {
            ProgressState::Snapshot { snapshot, .. }
                if self.matched < snapshot.header.position.index => {}
            ProgressState::Replicate => self.next = self.next.max(self.matched + 1),
            _ => {
                self.state = ProgressState::Replicate;
                self.next = self.matched + 1;
                self.in_flight.clear();
            }
        }
    }

    /// Records that the follower rejected `previous`; its log may match up to `hint`. Returns `false` for a stale
    /// response.
    pub fn record_rejection(&mut self, previous: LogIndex, hint: LogIndex) -> bool {
        let stale = match &self.state {
            ProgressState::Probe { .. } => previous + 1 != self.next,
            ProgressState::Replicate => previous <= self.matched,
            ProgressState::Snapshot { .. } => true,
        };
        if stale {
            return false;
        }
        self.next = previous.min(hint + 1).max(self.matched + 1);
        self.state = ProgressState::Probe { waiting: false };
        self.in_flight.clear();
        true
    }

    /// Returns whether the follower holds all committed entries except for recent ones: it receives entries
    /// within `limit` milliseconds of their commit.
    pub fn keeps_up(&self, now: u64, limit: u64) -> bool {
        self.state == ProgressState::Replicate && self.catch_up.keeps_up_within(now, limit)
    }

    /// Switches to sending `snapshot` from its first byte.
    pub fn start_snapshot(&mut self, snapshot: Snapshot, now: u64) {
        self.state = ProgressState::Snapshot {
            snapshot,
            offset: 0,
            sent_at: now,
        };
        self.in_flight.clear();
    }
}
