//! Single-server membership changes (Ongaro 2014, chapter 4), with the correction that a leader first commits
//! an entry of its own term (Ongaro, raft-dev, July 2015), and recovery from a lost quorum.

use super::{Replica, Role};
use crate::error::ReplicaError;
use crate::progress::Progress;
use crate::types::{
    DiskId, EntryContent, Membership, MembershipChange, Position, ReplicaInfo, ReplicaRole, Term,
};
use std::collections::{BTreeMap, BTreeSet};

/// Election timeouts within which a learner must send its first response to this leader. If it was allowed as
/// long as a voter, a learner on a lost node would delay the attempt with another disk.
const FIRST_RESPONSE_TIMEOUTS: u64 = 2;

/// Election timeouts within which a message from a replica confirms that its disk is present.
const CONFIRMED_TIMEOUTS: u64 = 2;

/// Disks that continue without the others after the quorum was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Survivors {
    /// Disks and their locations.
    pub replicas: BTreeMap<DiskId, ReplicaInfo>,
    /// Voters that never held an entry of the effective membership, because their disks were lost before.
    pub never_held: BTreeSet<DiskId>,
    /// Whether they may continue although a quorum of the others may have committed more entries: the lone voter
    /// continued without them, and the entries that it committed alone have no durability guarantee.
    pub left_behind: bool,
    /// History in which they continue; a later one if they were left behind.
    pub history: u64,
    /// Earliest term of their leader: the term in which they were recorded.
    pub min_term: Term,
}

impl Replica {
    /// Appends a membership change and returns its position.
    ///
    /// # Errors
    ///
    /// Returns an error if this replica is not the leader, another change is pending, or the change is invalid.
    pub fn change_membership(
        &mut self,
        change: &MembershipChange,
    ) -> Result<Position, ReplicaError> {
        if !self.leads() {
            return Err(ReplicaError::NotLeader);
        }
        if !self.has_committed_in_term() || self.log.membership_index() > self.commit {
            return Err(ReplicaError::ChangePending);
        }
        let membership = self.changed_membership(change)?;
        let position = self.append_as_leader(EntryContent::Membership(membership));
        self.update_progress_set();
        self.send_entries_to_all();
        self.advance_commit();
        Ok(position)
    }

    /// Starts recovery from a lost quorum with the survivors as the only voters. Until a message from a leader is
    /// received, the votes of all survivors elect a leader, which then makes them the membership.
    ///
    /// Each quorum of the effective membership must contain a survivor. So each committed entry is on one of
    /// them, and the one that all vote for holds them all. The caller must ensure that the other replicas cannot
    /// elect a leader, and that no change of the voters that it does not know of may be effective.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::InvalidChange`] if this replica is the leader, awaits its restore or is not a
    /// survivor, if the survivors still form a quorum, or if they may lack committed entries.
    pub fn continue_with(&mut self, survivors: &Survivors) -> Result<(), ReplicaError> {
        let membership = self.log.membership();
        let disks = &survivors.replicas;
        let remaining = membership.voters().filter(|disk| disks.contains_key(disk));
        let remaining = remaining.count();
        let lost = membership
            .voters()
            .filter(|disk| !disks.contains_key(disk) && !survivors.never_held.contains(disk))
            .count();
        let intersects = remaining < membership.quorum() && lost < membership.quorum();
        let is_safe = intersects || survivors.left_behind;
        if self.leads() || self.needs_restart || !disks.contains_key(&self.disk) || !is_safe {
            return Err(ReplicaError::InvalidChange);
        }
        if survivors.history > self.hard_state.history {
            self.begin_history(survivors.history);
        }
        self.adopt_term(survivors.min_term.saturating_sub(1));
        if self.recovery.as_ref() != Some(disks) {
            self.recovery = Some(disks.clone());
            self.start_pre_vote();
        }
        Ok(())
    }

    /// Makes the survivors the membership, in the first entry of the new leader's term. With another first entry of
    /// a new history, a former lone voter that holds it could elect itself in that history.
    pub(super) fn install_survivors(&mut self, survivors: BTreeMap<DiskId, ReplicaInfo>) {
        let replicas = survivors.into_iter().map(|(disk, replica)| {
            let role = ReplicaRole::Voter;
            (disk, ReplicaInfo { role, ..replica })
        });
        let membership = Membership {
            replicas: replicas.collect(),
            min_disks: self.log.membership().min_disks,
        };
        self.append_as_leader(EntryContent::Membership(membership));
        self.update_progress_set();
        self.send_entries_to_all();
        self.advance_commit();
    }

    fn changed_membership(&self, change: &MembershipChange) -> Result<Membership, ReplicaError> {
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
            MembershipChange::SetMinDisks(min_disks) => membership.min_disks = *min_disks,
        }
        Ok(membership)
    }

    /// Returns whether a follower holds all committed entries except for those in flight to it.
    pub fn has_caught_up(&self, disk: DiskId) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        // Under load some entries are always in flight. If all were required at one instant, a learner would not
        // be promoted, and the voter with a lost disk that it replaces would remain.
        let limit = self.timing.election_timeout;
        let progress = leadership.progress.get(&disk);
        progress.is_some_and(|progress| progress.keeps_up(self.now, limit))
    }

    /// Returns the replicas from which a message was received within the last election timeouts. Others may have lost
    /// their disks, also before this replica became the leader.
    pub fn confirmed(&self) -> BTreeSet<DiskId> {
        self.recently_active(CONFIRMED_TIMEOUTS * self.timing.election_timeout)
    }

    /// Returns the replicas that have not responded to this leader for `limit` milliseconds, or, for a new learner,
    /// for a shorter time.
    pub fn unresponsive(&self, limit: u64) -> Vec<DiskId> {
        let Role::Leader(leadership) = &self.role else {
            return Vec::new();
        };
        let learner_limit = limit.min(FIRST_RESPONSE_TIMEOUTS * self.timing.election_timeout);
        let membership = self.log.membership();
        let is_unresponsive = |disk: DiskId, progress: &Progress| {
            let limit = match progress.has_responded || membership.is_voter(disk) {
                true => limit,
                false => learner_limit,
            };
            self.now.saturating_sub(progress.last_response_at) >= limit
        };
        let followers = leadership.progress.iter();
        followers
            .filter(|(disk, progress)| is_unresponsive(**disk, progress))
            .map(|(disk, _)| *disk)
            .collect()
    }

    /// Steps down if a committed change removed this leader from the voters.
    pub(super) fn step_down_if_removed(&mut self) {
        let committed = self.log.membership_index() <= self.commit;
        if committed && !self.log.membership().is_voter(self.disk) {
            self.become_follower(self.hard_state.term);
        }
    }
}
