//! Changes of one replica at a time, as committed entries (Ongaro 2014, chapter 4), with the
//! correction that a leader first commits an entry of its own term (Ongaro, raft-dev, July 2015).

use super::{Replica, Role};
use crate::error::ReplicaError;
use crate::storage::HardState;
use crate::types::{
    DiskId, EntryContent, Membership, MembershipChange, Position, ReplicaInfo, ReplicaRole,
};

impl Replica {
    /// Appends a membership change if this replica leads and no other change is pending.
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Result<Position, ReplicaError> {
        if !self.leads() {
            return Err(ReplicaError::NotLeader);
        }
        let knows_commit = self.log.term(self.commit) == Some(self.hard_state.term);
        if !knows_commit || self.log.membership_index() > self.commit {
            return Err(ReplicaError::ChangePending);
        }
        let membership = self.changed(change)?;
        let position = self.append_as_leader(EntryContent::Membership(membership));
        self.follow_membership();
        self.send_entries_to_all();
        self.advance_commit();
        Ok(position)
    }

    /// Goes on without the only other voter, whose disk is gone for good.
    ///
    /// Every committed entry needed both voters, so this replica holds it. The caller has to be
    /// certain that the other disk never comes back, and that the voters known here are the latest:
    /// a third voter could have committed entries with the other one.
    pub fn continue_alone(&mut self) -> Result<Position, ReplicaError> {
        let membership = self.log.membership();
        let pair = membership.voters().count() == 2 && membership.is_voter(self.disk);
        if self.leads() || !pair {
            return Err(ReplicaError::InvalidChange);
        }
        let mut alone = Membership::default();
        if let Some(own) = membership.replicas.get(&self.disk) {
            alone.replicas.insert(self.disk, own.clone());
        }
        self.set_hard_state(HardState {
            term: self.hard_state.term + 1,
            vote: Some(self.disk),
        });
        self.become_leader();
        let position = self.append_as_leader(EntryContent::Membership(alone));
        self.follow_membership();
        Ok(position)
    }

    fn changed(&self, change: &MembershipChange) -> Result<Membership, ReplicaError> {
        let mut membership = self.log.membership();
        match change {
            MembershipChange::AddLearner(disk, info) => {
                if membership.replicas.contains_key(disk) {
                    return Err(ReplicaError::InvalidChange);
                }
                let info = ReplicaInfo {
                    role: ReplicaRole::Learner,
                    ..info.clone()
                };
                membership.replicas.insert(*disk, info);
            }
            MembershipChange::Promote(disk) => {
                let learner = membership
                    .replicas
                    .get_mut(disk)
                    .filter(|replica| replica.role == ReplicaRole::Learner)
                    .ok_or(ReplicaError::InvalidChange)?;
                if !self.has_caught_up(*disk) {
                    return Err(ReplicaError::NotCaughtUp);
                }
                learner.role = ReplicaRole::Voter;
            }
            MembershipChange::Remove(disk) => {
                let removed = membership.replicas.remove(disk);
                if removed.is_none() || membership.voters().next().is_none() {
                    return Err(ReplicaError::InvalidChange);
                }
            }
        }
        Ok(membership)
    }

    /// Whether a follower holds everything committed, but for what is on its way to it.
    pub fn has_caught_up(&self, disk: DiskId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        // Under load something is always on its way: asked for all of it at one instant, a learner
        // stays one, and a voter whose disk is gone counts in its place.
        let limit = self.timing.election_timeout;
        let progress = leadership.progress.get(&disk);
        progress.is_some_and(|progress| progress.follows(self.now, limit))
    }

    /// Replicas that have not answered this leader for `limit` milliseconds.
    pub fn silent(&self, limit: u64) -> Vec<DiskId> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        leadership
            .progress
            .iter()
            .filter(|(_, progress)| self.now.saturating_sub(progress.heard_at) >= limit)
            .map(|(disk, _)| *disk)
            .collect()
    }

    /// A leader that a committed change removed steps down.
    pub(super) fn leave_if_removed(&mut self) {
        let committed = self.log.membership_index() <= self.commit;
        if committed && !self.log.membership().is_voter(self.disk) {
            self.become_follower(self.hard_state.term);
        }
    }
}
