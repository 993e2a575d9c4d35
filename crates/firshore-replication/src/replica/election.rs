//! Elections: terms, votes, pre-votes and leadership transfer (Ongaro and Ousterhout 2014, sections 5.2 and 5.4;
//! Ongaro 2014, sections 3.10, 4.2.3 and 9.6).

use super::{Replica, Role};
use crate::message::{AppendResult, Message};
use crate::storage::HardState;
use crate::types::{DiskId, Position, ReplicaInfo, Term};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    /// Becomes a follower in `term`, or in the current term if that is later. A leader that steps down fails its
    /// pending reads.
    pub(super) fn become_follower(&mut self, term: Term) {
        let former = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = former {
            let pending = leadership.reads.into_iter().map(|read| read.token);
            self.output.failed_reads.extend(leadership.new_reads);
            self.output.failed_reads.extend(pending);
            self.leader_contact_at = None;
        }
        if term > self.hard_state.term {
            self.set_hard_state(HardState {
                term,
                vote: None,
                ..self.hard_state
            });
        }
        self.leader = None;
        self.incoming_snapshot = None;
        self.reset_election_timer();
    }

    /// Moves to a later term as a follower; does nothing if this replica's term is as late.
    pub fn adopt_term(&mut self, term: Term) {
        if term > self.hard_state.term {
            self.become_follower(term);
        }
    }

    fn is_up_to_date(&self, last: Position) -> bool {
        let local = self.log.last();
        (last.term, last.index) >= (local.term, local.index)
    }

    /// Returns whether this replica may vote. An empty one may not: its earlier votes and acknowledgements are
    /// unknown.
    fn may_vote(&self) -> bool {
        !self.is_empty()
    }

    /// Returns the other replicas whose votes are requested: voters and survivors of a lost quorum.
    fn vote_targets(&self) -> BTreeSet<DiskId> {
        let survivors = self.recovery.iter().flat_map(|survivors| survivors.keys());
        let mut targets: BTreeSet<DiskId> = survivors.copied().collect();
        targets.extend(self.log.membership().voters());
        targets.remove(&self.disk);
        targets
    }

    /// Returns whether these votes are a quorum of the effective membership, and the log has an entry of its history.
    fn is_quorum(&self, granted_by: &BTreeSet<DiskId>) -> bool {
        let membership = self.log.membership();
        self.has_entry_of_history() && membership.has_quorum(|disk| granted_by.contains(&disk))
    }

    /// Returns the survivors of a lost quorum, if all of them have granted their votes.
    fn unanimous_survivors(
        &self,
        granted_by: &BTreeSet<DiskId>,
    ) -> Option<BTreeMap<DiskId, ReplicaInfo>> {
        let survivors = self.recovery.as_ref()?;
        let unanimous = survivors.keys().all(|disk| granted_by.contains(disk));
        unanimous.then(|| survivors.clone())
    }

    pub(super) fn start_pre_vote(&mut self) {
        // Also if this replica has no vote: recovery may require it to continue without its former leader.
        self.leader = None;
        // Also if the log lacks an entry of its history: this replica then elects nobody, but learns who is alive.
        let is_voter = self.log.membership().is_voter(self.disk);
        if self.needs_restart || (!is_voter && self.recovery.is_none()) {
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.disk]));
        let last = self.log.last();
        // Also sent to learners, and to all replicas of each membership that may be effective. Their responses do
        // not count as votes, but show which replicas are alive, which is needed if the quorum is lost. After a
        // restart even the membership before the latest may not be known to be committed.
        let mut targets = self.vote_targets();
        let memberships = self.log.memberships_since(self.commit);
        targets.extend(memberships.flat_map(|membership| membership.replicas.keys().copied()));
        targets.remove(&self.disk);
        for disk in targets {
            self.send(disk, Message::PreVote { last });
        }
        self.count_pre_votes();
    }

    pub(super) fn handle_pre_vote(&mut self, from: DiskId, next_term: Term, last: Position) {
        let granted = self.may_vote()
            && next_term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.has_active_leader();
        self.send(from, Message::PreVoteAnswer { next_term, granted });
    }

    pub(super) fn handle_pre_vote_response(
        &mut self,
        from: DiskId,
        term: Term,
        next_term: Term,
        granted: bool,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term);
        }
        if !granted || next_term != self.hard_state.term + 1 {
            return;
        }
        if let Role::PreCandidate(granted_by) = &mut self.role {
            granted_by.insert(from);
            self.count_pre_votes();
        }
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(granted_by) = &self.role else {
            return;
        };
        if self.is_quorum(granted_by) || self.unanimous_survivors(granted_by).is_some() {
            self.start_election(false);
        }
    }

    fn start_election(&mut self, transfer: bool) {
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.disk),
            ..self.hard_state
        });
        self.leader = None;
        self.role = Role::Candidate(BTreeSet::from([self.disk]));
        self.reset_election_timer();
        let last = self.log.last();
        for disk in self.vote_targets() {
            self.send(disk, Message::Vote { last, transfer });
        }
        self.count_votes();
    }

    pub(super) fn handle_vote(&mut self, from: DiskId, last: Position) {
        let vote_is_free = self
            .hard_state
            .vote
            .is_none_or(|voted_for| voted_for == from);
        let granted = vote_is_free && self.may_vote() && self.is_up_to_date(last);
        if granted {
            self.set_hard_state(HardState {
                vote: Some(from),
                ..self.hard_state
            });
            self.reset_election_timer();
        }
        self.send(from, Message::VoteAnswer { granted });
    }

    pub(super) fn handle_vote_response(&mut self, from: DiskId, granted: bool) {
        if let Role::Candidate(granted_by) = &mut self.role
            && granted
        {
            granted_by.insert(from);
            self.count_votes();
        }
    }

    fn count_votes(&mut self) {
        let Role::Candidate(granted_by) = &self.role else {
            return;
        };
        if self.is_quorum(granted_by) {
            self.become_leader();
        } else if let Some(survivors) = self.unanimous_survivors(granted_by) {
            self.begin_leadership();
            self.install_survivors(survivors);
        }
    }

    /// Rejects a request of an earlier term; the term of the response makes its sender step down.
    pub(super) fn reject_stale_request(&mut self, from: DiskId, message: &Message) {
        match message {
            Message::Vote { .. } => self.send(from, Message::VoteAnswer { granted: false }),
            Message::Append { .. } | Message::SnapshotChunk { .. } => {
                let result = AppendResult::Rejected {
                    previous: 0,
                    hint: 0,
                };
                self.send(from, Message::AppendAnswer { result, round: 0 });
            }
            _ => {}
        }
    }

    /// Starts an election immediately, at the request of the leader.
    pub(super) fn handle_timeout_now(&mut self) {
        if !self.leads() && self.log.membership().is_voter(self.disk) {
            self.start_election(true);
        }
    }
}
