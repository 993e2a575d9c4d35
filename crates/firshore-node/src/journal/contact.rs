//! Whether a node reaches the nodes of the journal at all. No I/O; the time is passed in.

use std::time::{Duration, Instant};

/// Time without any answer after which the contact counts as lost: longer than a leader's loss leaves
/// a question unanswered, since the other nodes answer meanwhile.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// Time after a question for which no other one is needed to learn that the contact is back: the time
/// that it waits, and the pause of a node that tells its load.
const PROBED_WITHIN: Duration = Duration::from_millis(1_500);

/// The contact to the journal's nodes, whichever answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContact {
    /// Since when an answer is due.
    unanswered_since: Option<Instant>,
    asked_at: Option<Instant>,
}

impl PeerContact {
    /// Takes in that a question was asked now, to be answered at `due` at the latest.
    pub fn record_query(&mut self, now: Instant, due: Instant) {
        self.asked_at = Some(now);
        let since = self.unanswered_since.get_or_insert(due);
        *since = due.min(*since);
    }

    /// Takes in that a node has answered, whatever it said.
    pub fn record_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns whether a question is given up unasked: the contact is lost, and another question was
    /// asked a moment ago, whose answer would tell that it is back.
    pub fn should_fail_fast(&self, now: Instant) -> bool {
        let recent = |asked_at| now.saturating_duration_since(asked_at) < PROBED_WITHIN;
        self.is_lost(now) && self.asked_at.is_some_and(recent)
    }

    /// Returns whether no node answers any more.
    pub fn is_lost(&self, now: Instant) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= LOST_AFTER)
    }
}
