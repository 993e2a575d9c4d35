//! Histories of a group's log.
//!
//! A disk that goes on where a lone voter went on without it begins a new history. Its number comes from
//! whoever lets only one begin it. Terms of a later history are greater than all of an earlier one, so a
//! position never stands for two entries, and a replica of an earlier history can follow a leader of a
//! later one as a follower that lags.

use super::Replica;
use crate::storage::HardState;
use crate::types::Term;

/// Terms that one history may use. A replica takes one for each election.
const TERMS: u64 = 1 << 32;

fn first_term(history: u64) -> Term {
    history.saturating_mul(TERMS)
}

impl Replica {
    /// Whether a message belongs to the history of this log. An empty replica takes on the one that it first
    /// hears of.
    ///
    /// What two histories commit differs: joined without a restart, a disk would answer that it holds what
    /// it does not.
    pub fn shares_history(&mut self, history: u64) -> bool {
        if self.is_empty() && history > self.hard_state.history {
            self.begin_history(history);
        }
        history == self.hard_state.history && !self.restarts
    }

    /// Leaves an earlier history for a later one; from now on nobody of the earlier one is helped.
    ///
    /// What a lone voter committed by itself may not be part of the later history. So the replica is to be
    /// restored from its storage: there nothing counts as committed but what a snapshot covers, and the rest
    /// is settled by the leader of the later history.
    pub fn join_history(&mut self, history: u64) {
        if history <= self.hard_state.history {
            return;
        }
        self.become_follower(self.hard_state.term);
        self.recovery = None;
        self.begin_history(history);
        if !self.is_empty() {
            self.restarts = true;
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

    /// Whether the log holds an entry of its history. One that holds none has only joined: the voters that
    /// its log names are those of the earlier history, which are not to elect anybody.
    pub(super) fn has_begun(&self) -> bool {
        self.log.last().term >= first_term(self.hard_state.history)
    }
}
