//! Histories of a group's log.
//!
//! A disk that takes over where a lone voter had continued without it starts a new history. The caller assigns
//! its number and must assign it to one disk only. Terms of a later history are greater than all terms of an
//! earlier one. So an index and a term identify one entry across histories, and a replica of an earlier history
//! can follow a leader of a later one like any follower that lags.

use super::Replica;
use crate::storage::HardState;
use crate::types::Term;

/// Terms per history. Each election uses one.
const TERMS_PER_HISTORY: u64 = 1 << 32;

fn first_term(history: u64) -> Term {
    history.saturating_mul(TERMS_PER_HISTORY)
}

/// Returns the history that a term belongs to.
pub fn history_of(term: Term) -> u64 {
    term / TERMS_PER_HISTORY
}

impl Replica {
    /// Returns whether a message of `history` belongs to the history of this log. An empty replica adopts a later
    /// history. Returns `false` while the replica awaits its restore.
    ///
    /// Two histories commit different entries: a replica that changed its history without a restart would
    /// acknowledge entries that it does not hold.
    pub fn shares_history(&mut self, history: u64) -> bool {
        if self.is_empty() && history > self.hard_state.history {
            self.begin_history(history);
        }
        history == self.hard_state.history && !self.needs_restart
    }

    /// Moves to a later history; does nothing if `history` is not later.
    ///
    /// Entries that a lone voter committed may not be part of the later history. So the replica must be restored
    /// from its storage ([`super::Output::restart`]): then only entries covered by a snapshot count as committed,
    /// and the leader of the later history decides on the others.
    pub fn join_history(&mut self, history: u64) {
        if history <= self.hard_state.history {
            return;
        }
        self.become_follower(self.hard_state.term);
        self.recovery = None;
        self.begin_history(history);
        if !self.is_empty() {
            self.needs_restart = true;
            self.output.restart = true;
        }
    }

    pub(super) fn begin_history(&mut self, history: u64) {
        let term = self.hard_state.term.max(first_term(history));
        self.set_hard_state(HardState {
            term,
            vote: None,
            history,
        });
    }

    /// Returns whether the log contains an entry of its history. If not, the voters in the log are those of the
    /// earlier history and must not elect a leader.
    pub(super) fn has_entry_of_history(&self) -> bool {
        self.log.last().term >= first_term(self.hard_state.history)
    }
}
