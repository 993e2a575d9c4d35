//! Tracks whether this node can reach any node of the journal. No I/O; the time is passed in.

use std::time::{Duration, Instant};

/// Time without any response after which contact counts as lost. Longer than a request waits after
/// the loss of a leader, since other nodes respond meanwhile.
const LOST_AFTER: Duration = Duration::from_secs(1);

/// Time after a query within which no other one is needed to detect that contact is back: the
/// query's timeout plus the report interval of a node.
const PROBE_WINDOW: Duration = Duration::from_millis(1_500);

/// Contact to the journal's nodes, any of which may respond.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContact {
    /// Time since which a response is due.
    unanswered_since: Option<Instant>,
    queried_at: Option<Instant>,
}

impl PeerContact {
    /// Records a query sent now whose response is due at `due`.
    pub fn record_query(&mut self, now: Instant, due: Instant) {
        self.queried_at = Some(now);
        let since = self.unanswered_since.get_or_insert(due);
        *since = due.min(*since);
    }

    /// Records a response of any kind.
    pub fn record_response(&mut self) {
        self.unanswered_since = None;
    }

    /// Returns whether a query should fail without being sent: contact is lost, and a recent query
    /// will show whether it is back.
    pub fn should_fail_fast(&self, now: Instant) -> bool {
        let recent = |queried_at| now.saturating_duration_since(queried_at) < PROBE_WINDOW;
        self.is_lost(now) && self.queried_at.is_some_and(recent)
    }

    /// Returns whether no node responds.
    pub fn is_lost(&self, now: Instant) -> bool {
        let since = self.unanswered_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= LOST_AFTER)
    }
}
