//! Terms, votes, pre-votes and the transfer of leadership (Ongaro and Ousterhout 2014, sections 5.2
//! and 5.4; Ongaro 2014, sections 3.10, 4.2.3 and 9.6).

use super::{Replica, Role};
use crate::message::{AppendResult, Message};
use crate::storage::HardState;
use crate::types::{DiskId, Position, ReplicaInfo, Term};
use std::collections::{BTreeMap, BTreeSet};

impl Replica {
    /// Follows in `term`; a leader that steps down gives its unanswered reads back.
    pub(super) fn become_follower(&mut self, term: Term) {
        let former = std::mem::replace(&mut self.role, Role::Follower);
        if let Role::Leader(leadership) = former {
            let waiting = leadership.reads.into_iter().map(|read| read.token);
            self.output.failed_reads.extend(leadership.new_reads);
            self.output.failed_reads.extend(waiting);
            self.leader_heard_at = None;
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

    fn is_up_to_date(&self, last: Position) -> bool {
        let own = self.log.last();
        (last.term, last.index) >= (own.term, own.index)
    }

    /// An empty replica never votes: what it may have promised before is not known to it.
    fn may_vote(&self) -> bool {
        !self.is_empty()
    }

    /// Replicas whose votes are asked for: the voters, and the survivors of a lost quorum.
    fn others(&self) -> BTreeSet<DiskId> {
        let survivors = self.recovery.iter().flat_map(|survivors| survivors.keys());
        let mut others: BTreeSet<DiskId> = survivors.copied().collect();
        others.extend(self.log.membership().voters());
        others.remove(&self.disk);
        others
    }

    /// Whether these votes make a leader as usual.
    fn is_majority(&self, granted_by: &BTreeSet<DiskId>) -> bool {
        let membership = self.log.membership();
        self.has_begun() && membership.majority(|disk| granted_by.contains(&disk))
    }

    /// The survivors of a lost quorum, if all of them have granted their votes.
    fn agreed_survivors(
        &self,
        granted_by: &BTreeSet<DiskId>,
    ) -> Option<BTreeMap<DiskId, ReplicaInfo>> {
        let survivors = self.recovery.as_ref()?;
        let agreed = survivors.keys().all(|disk| granted_by.contains(disk));
        agreed.then(|| survivors.clone())
    }

    pub(super) fn start_pre_vote(&mut self) {
        // Also where this one has no vote: left behind by its leader, it may have to go on without it.
        self.leader = None;
        let may_elect = self.log.membership().is_voter(self.disk) && self.has_begun();
        if self.restarts || (!may_elect && self.recovery.is_none()) {
            return;
        }
        self.role = Role::PreCandidate(BTreeSet::from([self.disk]));
        let last = self.log.last();
        // Learners are asked as well, and all of each group that may be in force: their answers count for
        // nothing but tell that they are there, which matters where no quorum is left. After a restart
        // nothing may be known to be committed, not even the group before the latest.
        let mut asked = self.others();
        let memberships = self.log.memberships_since(self.commit);
        asked.extend(memberships.flat_map(|membership| membership.replicas.keys().copied()));
        asked.remove(&self.disk);
        for disk in asked {
            self.send(disk, Message::PreVote { last });
        }
        self.count_pre_votes();
    }

    pub(super) fn answer_pre_vote(&mut self, from: DiskId, next_term: Term, last: Position) {
        let granted = self.may_vote()
            && next_term > self.hard_state.term
            && self.is_up_to_date(last)
            && !self.hears_leader();
        self.send(from, Message::PreVoteAnswer { next_term, granted });
    }

    pub(super) fn take_pre_vote_answer(
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
        if self.is_majority(granted_by) || self.agreed_survivors(granted_by).is_some() {
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
        for disk in self.others() {
            self.send(disk, Message::Vote { last, transfer });
        }
        self.count_votes();
    }

    pub(super) fn answer_vote(&mut self, from: DiskId, last: Position) {
        let free = self.hard_state.vote.is_none_or(|voted| voted == from);
        let granted = free && self.may_vote() && self.is_up_to_date(last);
        if granted {
            self.set_hard_state(HardState {
                vote: Some(from),
                ..self.hard_state
            });
            self.reset_election_timer();
        }
        self.send(from, Message::VoteAnswer { granted });
    }

    pub(super) fn take_vote_answer(&mut self, from: DiskId, granted: bool) {
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
        if self.is_majority(granted_by) {
            self.become_leader();
        } else if let Some(survivors) = self.agreed_survivors(granted_by) {
            self.begin_term();
            self.found_anew(survivors);
        }
    }

    /// Tells the sender of an outdated message that its term is over.
    pub(super) fn refuse_old_term(&mut self, from: DiskId, message: &Message) {
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

    /// The leader asks this replica to take over at once.
    pub(super) fn take_over(&mut self) {
        if !self.leads() && self.log.membership().is_voter(self.disk) {
            self.start_election(true);
        }
    }
}
