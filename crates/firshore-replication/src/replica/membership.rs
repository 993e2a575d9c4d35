//! Changes of one replica at a time, as committed entries (Ongaro 2014, chapter 4), with the
//! correction that a leader first commits an entry of its own term (Ongaro, raft-dev, July 2015).

use super::{Replica, Role};
use crate::error::ReplicaError;
use crate::progress::Progress;
use crate::types::{
    DiskId, EntryContent, Membership, MembershipChange, Position, ReplicaInfo, ReplicaRole,
};
use std::collections::{BTreeMap, BTreeSet};

/// Election timeouts that a learner has for its first answer to this leader: one whose node is gone for
/// good must not keep another disk from being tried for as long as a voter may be silent.
const FIRST_ANSWER_TIMEOUTS: u64 = 2;

/// Disks that go on without the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survivors {
    /// The disks and where they are.
    pub replicas: BTreeMap<DiskId, ReplicaInfo>,
    /// Voters that never held anything of the group in force, as their disks were gone before.
    pub never_held: BTreeSet<DiskId>,
    /// Whether they hold what matters although a quorum of the others may have committed more: the only
    /// voter went on without them, and nothing of what it committed alone was promised.
    pub left_behind: bool,
    /// History in which they go on: a later one than before if they were left behind.
    pub history: u64,
}

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

    /// Goes on with these disks as the only voters, where so many others are gone that no quorum is left:
    /// from now on until a leader is heard, the votes of all of them make a leader, which then makes them
    /// the group.
    ///
    /// Each quorum of the group in force has to contain one of them, so one of them holds each committed
    /// entry, and the one that all vote for holds them all. The caller has to be certain that the others
    /// cannot elect a leader without them, and that no later change of the voters than those it allows for
    /// may be in force.
    ///
    /// # Errors
    ///
    /// When this replica leads or is none of them, or when they could elect a leader as usual or might
    /// lack something.
    pub fn continue_with(&mut self, survivors: &Survivors) -> Result<(), ReplicaError> {
        let membership = self.log.membership();
        let disks = &survivors.replicas;
        let left = membership.voters().filter(|disk| disks.contains_key(disk));
        let left = left.count();
        let lost = membership
            .voters()
            .filter(|disk| !disks.contains_key(disk) && !survivors.never_held.contains(disk))
            .count();
        let intersects = left < membership.quorum() && lost < membership.quorum();
        let whole = intersects || survivors.left_behind;
        if self.leads() || self.restarts || !disks.contains_key(&self.disk) || !whole {
            return Err(ReplicaError::InvalidChange);
        }
        if survivors.history > self.hard_state.history {
            self.begin_history(survivors.history);
        }
        if self.recovery.as_ref() != Some(disks) {
            self.recovery = Some(disks.clone());
            self.start_pre_vote();
        }
        Ok(())
    }

    /// A leader that all survivors voted for makes them the group, by the first entry of its term: held
    /// without it, another entry of a history that begins would let a former lone voter elect itself in it.
    pub(super) fn found_anew(&mut self, survivors: BTreeMap<DiskId, ReplicaInfo>) {
        let replicas = survivors.into_iter().map(|(disk, replica)| {
            let role = ReplicaRole::Voter;
            (disk, ReplicaInfo { role, ..replica })
        });
        let membership = Membership {
            replicas: replicas.collect(),
        };
        self.append_as_leader(EntryContent::Membership(membership));
        self.follow_membership();
        self.send_entries_to_all();
        self.advance_commit();
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
        let first = limit.min(FIRST_ANSWER_TIMEOUTS * self.timing.election_timeout);
        let membership = self.log.membership();
        let is_silent = |disk: DiskId, progress: &Progress| {
            let limit = match progress.heard || membership.is_voter(disk) {
                true => limit,
                false => first,
            };
            self.now.saturating_sub(progress.heard_at) >= limit
        };
        let followers = leadership.progress.iter();
        followers
            .filter(|(disk, progress)| is_silent(**disk, progress))
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
