//! What a leader knows of one follower.

use crate::types::{LogIndex, Snapshot};
use std::collections::VecDeque;

/// Most messages with entries on their way to one follower.
const MAXIMUM_IN_FLIGHT: usize = 16;

/// How entries are sent to a follower.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ProgressState {
    /// Where the logs meet is not known: one message at a time.
    Probe {
        /// Whether a message is on its way.
        waiting: bool,
    },
    /// The logs meet: messages are pipelined.
    Replicate,
    /// Entries it needs are gone: a snapshot is sent part by part.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// Bytes that the follower holds.
        offset: u64,
        /// When the last part was sent, in milliseconds.
        sent_at: u64,
    },
}

/// How closely a follower follows, in rounds: each lasts until the follower holds what was committed
/// when the round began (Ongaro 2014, section 4.2.1).
#[derive(Clone, Debug)]
struct CatchUp {
    /// Index that the follower has to hold for the round to end.
    target: LogIndex,
    /// When the round began, in milliseconds.
    began_at: u64,
    /// Time that the last round took, in milliseconds; `None` before the first one ended.
    last_round: Option<u64>,
}

impl CatchUp {
    fn new(target: LogIndex, now: u64) -> Self {
        Self {
            target,
            began_at: now,
            last_round: None,
        }
    }

    /// Takes in what the follower holds, when `commit` is committed.
    fn held(&mut self, now: u64, matched: LogIndex, commit: LogIndex) {
        if matched < self.target {
            return;
        }
        self.last_round = Some(now.saturating_sub(self.began_at));
        self.target = commit;
        self.began_at = now;
    }

    /// Whether the last round took at most `limit` milliseconds, and the present one does so far.
    fn is_close(&self, now: u64, limit: u64) -> bool {
        let open = now.saturating_sub(self.began_at);
        self.last_round.is_some_and(|took| took <= limit) && open <= limit
    }
}

/// State of one follower.
#[derive(Clone, Debug)]
pub struct Progress {
    /// Last index known to equal the leader's.
    pub matched: LogIndex,
    /// Next index to send.
    pub next: LogIndex,
    /// How entries are sent.
    pub state: ProgressState,
    /// When the follower last answered, in milliseconds; at first, since when it is asked.
    pub heard_at: u64,
    /// Whether it has answered at all.
    pub heard: bool,
    /// Latest heartbeat round answered.
    pub round: u64,
    in_flight: VecDeque<LogIndex>,
    catch_up: CatchUp,
}

impl Progress {
    /// A follower of which nothing is known but the leader's next index.
    pub fn new(next: LogIndex, now: u64) -> Self {
        Self {
            matched: 0,
            next,
            state: ProgressState::Probe { waiting: false },
            heard_at: now,
            heard: false,
            round: 0,
            in_flight: VecDeque::new(),
            catch_up: CatchUp::new(next.saturating_sub(1), now),
        }
    }

    /// Notes that the follower has answered.
    pub fn answered(&mut self, now: u64) {
        self.heard_at = now;
        self.heard = true;
    }

    /// Whether entries may be sent now.
    pub fn ready(&self) -> bool {
        match self.state {
            ProgressState::Probe { waiting } => !waiting,
            ProgressState::Replicate => self.in_flight.len() < MAXIMUM_IN_FLIGHT,
            ProgressState::Snapshot { .. } => false,
        }
    }

    /// Notes that entries up to `last` were sent.
    pub fn sent(&mut self, last: LogIndex) {
        match &mut self.state {
            ProgressState::Probe { waiting } => *waiting = true,
            ProgressState::Replicate => {
                self.next = last + 1;
                self.in_flight.push_back(last);
            }
            ProgressState::Snapshot { .. } => {}
        }
    }

    /// Lets a probe be sent again, as the last one may be lost.
    pub fn allow_probe(&mut self) {
        if let ProgressState::Probe { waiting } = &mut self.state {
            *waiting = false;
        }
    }

    /// The follower's log equals the leader's up to `index`, when `commit` is committed.
    pub fn accepted(&mut self, now: u64, index: LogIndex, commit: LogIndex) {
        self.matched = self.matched.max(index);
        self.catch_up.held(now, self.matched, commit);
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

    /// The follower did not match `previous`; its log may match up to `hint`. Returns whether the
    /// answer told anything new.
    pub fn rejected(&mut self, previous: LogIndex, hint: LogIndex) -> bool {
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

    /// Whether the follower holds everything committed but for what is on its way to it: what was
    /// committed `limit` milliseconds ago took it no longer than that.
    pub fn follows(&self, now: u64, limit: u64) -> bool {
        self.state == ProgressState::Replicate && self.catch_up.is_close(now, limit)
    }

    /// Starts sending a snapshot.
    pub fn start_snapshot(&mut self, snapshot: Snapshot, now: u64) {
        self.state = ProgressState::Snapshot {
            snapshot,
            offset: 0,
            sent_at: now,
        };
        self.in_flight.clear();
    }
}
