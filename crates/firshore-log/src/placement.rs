//! Placement of a group's replicas: decides which replica to add, promote or remove next. The group gets
//! as many voters as the tolerated number of lost disks requires, in different zones; failed voters are
//! replaced. The decision is a pure function that the group's leader evaluates repeatedly.

use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};
use firshore_types::ids::{NodeName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Default number of voters of a group.
pub const TARGET_VOTERS: usize = 3;

/// Number of disks that each majority of two or more voters has.
const MAJORITY_DISKS: usize = 2;

/// Returns the number of voters with which losing `disks` of them at once loses no committed entry.
pub fn voters_for(disks: u32) -> usize {
    2 * disks as usize + 1
}

/// Returns whether every entry that these replicas commit is on at least `min_disks` disks.
///
/// The size of the quorum counts, not the number of voters: three voters may commit with two disks.
pub fn is_durable(membership: &Membership, min_disks: usize) -> bool {
    membership.quorum() >= min_disks
}

/// Returns whether all that a leader has committed is on at least `min_disks` disks, so that it may be read,
/// acknowledged or covered by a snapshot.
///
/// The guarantee must hold for both the latest and the latest committed membership: a lone voter that adds
/// a second one has committed entries alone until the addition is committed.
pub fn is_committed_durable(latest: &Membership, committed: &Membership, min_disks: usize) -> bool {
    is_durable(latest, min_disks) && is_durable(committed, min_disks)
}

/// The leader's view of its group.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Desired number of voters.
    pub target: usize,
    /// Number of disks that must hold a committed entry.
    pub min_disks: usize,
    /// Disk of the leader.
    pub leader: DiskId,
    /// Latest membership.
    pub membership: Membership,
    /// Replicas without a response for longer than the limit.
    pub unresponsive: BTreeSet<DiskId>,
    /// Replicas that did not respond recently. A new leader does not know whether their disks were lost before.
    pub unconfirmed: BTreeSet<DiskId>,
    /// Replicas whose disks are lost for good or abandoned.
    pub lost: BTreeSet<DiskId>,
    /// Replicas on nodes that are being drained. They count like other replicas until the drain is reported as
    /// complete.
    pub leaving: BTreeSet<DiskId>,
    /// Replicas that hold all committed entries except those in flight to them.
    pub caught_up: BTreeSet<DiskId>,
}

/// Disk that could hold a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Node that has the disk.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: ZoneName,
}

impl Candidate {
    /// Returns the membership entry of a replica on this disk.
    pub fn info(&self, role: ReplicaRole) -> ReplicaInfo {
        ReplicaInfo {
            node: self.node.clone(),
            zone: self.zone.clone(),
            role,
        }
    }
}

impl GroupView {
    fn voters(&self) -> impl Iterator<Item = (DiskId, &ReplicaInfo)> {
        self.membership
            .replicas
            .iter()
            .filter(|(_, replica)| replica.role == ReplicaRole::Voter)
            .map(|(disk, replica)| (*disk, replica))
    }

    fn is_responsive(&self, disk: DiskId) -> bool {
        !self.unresponsive.contains(&disk) && !self.lost.contains(&disk)
    }

    /// Responsive voters that are not on a node being drained.
    fn staying_voters(&self) -> impl Iterator<Item = (DiskId, &ReplicaInfo)> {
        self.voters()
            .filter(|(disk, _)| self.is_responsive(*disk) && !self.leaving.contains(disk))
    }

    /// Responsive voters that hold all committed entries, including those on nodes being drained.
    fn up_to_date_voters(&self) -> impl Iterator<Item = DiskId> {
        let voters = self.voters().map(|(disk, _)| disk);
        voters.filter(|disk| {
            *disk == self.leader || (self.is_responsive(*disk) && self.caught_up.contains(disk))
        })
    }

    /// Returns whether a voter can be removed; checked before every step that removes a copy. A responsive
    /// voter is removed only if a majority of the remaining voters meets the durability guarantee and enough of
    /// them hold all committed entries: if all of them had to commit, the next lost disk would stop the group. An
    /// unresponsive voter does not count as a copy. Entries in flight to the remaining voters need no check: the
    /// removal itself, and every entry before it, must be committed by a quorum of them.
    fn can_remove(&self, disk: DiskId) -> bool {
        let mut remaining = self.membership.clone();
        remaining.replicas.remove(&disk);
        let up_to_date_voters = self
            .up_to_date_voters()
            .filter(|other| *other != disk)
            .count();
        let enough = match self.is_responsive(disk) {
            true => {
                remaining.majority() >= self.min_disks
                    && self.group_tolerates_losses(&remaining, up_to_date_voters)
            }
            false => remaining.quorum() >= self.min_disks.min(self.membership.quorum()),
        };
        disk != self.leader && enough && up_to_date_voters >= remaining.quorum()
    }

    /// Returns whether committed entries survive the tolerated number of lost disks, even if the voters that are not
    /// up to date are lost already.
    pub fn tolerates_losses(&self) -> bool {
        self.group_tolerates_losses(&self.membership, self.up_to_date_voters().count())
    }

    /// Returns whether every quorum of `group` still contains an up-to-date voter after the tolerated number of
    /// lost disks, even if the voters that are not up to date are lost already.
    fn group_tolerates_losses(&self, group: &Membership, up_to_date_voters: usize) -> bool {
        let missing = group.voters().count().saturating_sub(up_to_date_voters);
        missing + self.min_disks <= group.quorum()
    }

    /// Returns whether a majority of the responsive replicas does not meet the durability guarantee.
    pub fn is_underreplicated(&self) -> bool {
        let mut responsive = self.membership.clone();
        responsive
            .replicas
            .retain(|disk, _| self.is_responsive(*disk));
        responsive.majority() < self.min_disks
    }

    fn learner_replicas(&self) -> impl Iterator<Item = (DiskId, &ReplicaInfo)> {
        let replicas = self.membership.replicas.iter();
        replicas
            .filter(|(_, replica)| replica.role == ReplicaRole::Learner)
            .map(|(disk, replica)| (*disk, replica))
    }

    /// Returns the learners, replicas that must catch up before they vote.
    pub fn learners(&self) -> impl Iterator<Item = DiskId> {
        self.learner_replicas().map(|(disk, _)| disk)
    }

    /// Returns how many learners there may be: as many as voters are missing while too few disks hold committed
    /// entries, so that a disk on a lost node delays no other; otherwise one.
    fn max_learners(&self) -> usize {
        let missing = self.target.saturating_sub(self.staying_voters().count());
        match self.is_underreplicated() {
            true => missing.max(1),
            false => 1,
        }
    }

    /// Returns a voter, other than the leader, that shares its zone with another staying voter.
    fn same_zone_voter(&self) -> Option<DiskId> {
        let mut in_zone: BTreeMap<&ZoneName, Vec<DiskId>> = BTreeMap::new();
        for (disk, replica) in self.staying_voters() {
            in_zone.entry(&replica.zone).or_default().push(disk);
        }
        let shared_zone = in_zone.into_values().find(|disks| disks.len() > 1);
        shared_zone?.into_iter().find(|disk| *disk != self.leader)
    }

    /// Returns the voter to which a leader on a node being drained transfers leadership: it is responsive, up to
    /// date and not on such a node. Without one, the leader keeps leadership.
    pub fn transfer_target(&self) -> Option<DiskId> {
        let mut targets = self.up_to_date_voters().filter(|disk| *disk != self.leader);
        targets.find(|disk| !self.leaving.contains(disk))
    }

    /// Returns whether another disk is needed: too few staying voters, or two of them in one zone.
    pub fn needs_candidate(&self) -> bool {
        let learners = self.learners().count();
        let placed = self.staying_voters().count() + learners;
        let is_spread = learners > 0 || self.same_zone_voter().is_none();
        learners < self.max_learners()
            && self.voters().count() <= self.target
            && (placed < self.target || !is_spread)
    }

    /// Returns the next membership change, if one is due.
    pub fn next_change(&self, candidates: &[Candidate]) -> Option<MembershipChange> {
        if self.can_set_min_disks() {
            return Some(MembershipChange::SetMinDisks(self.min_disks));
        }
        if self.learners().next().is_some() {
            return self.learner_change().or_else(|| self.addition(candidates));
        }
        self.removal()
            .or_else(|| self.addition(candidates))
            .or_else(|| self.removal_without_replacement())
    }

    /// Returns whether the membership must be changed to require the desired number of disks, and enough voters hold
    /// all committed entries for the quorum that results.
    fn can_set_min_disks(&self) -> bool {
        let changed = Membership {
            min_disks: self.min_disks,
            ..self.membership.clone()
        };
        let of_majorities = |min_disks: usize| min_disks <= MAJORITY_DISKS;
        let differs = self.membership.min_disks != self.min_disks
            && !(of_majorities(self.membership.min_disks) && of_majorities(self.min_disks));
        differs && self.up_to_date_voters().count() >= changed.quorum()
    }

    fn learner_change(&self) -> Option<MembershipChange> {
        let (responsive, lost): (Vec<DiskId>, Vec<DiskId>) = self
            .learners()
            .partition(|learner| self.is_responsive(*learner));
        let mut responsive = responsive.into_iter();
        let ready = responsive.find(|learner| self.caught_up.contains(learner));
        let promotable = ready.filter(|learner| self.can_promote(*learner));
        // Failed voters are removed before a learner is promoted: an even number of voters, one of them
        // failed, loses its quorum with one failure fewer than the same number of working voters.
        let failed_voter = match ready {
            Some(_) => self.lost_voter().or_else(|| self.unresponsive_voter()),
            None => self.lost_voter(),
        };
        let removed = lost.first().copied().map(MembershipChange::Remove);
        failed_voter
            .map(MembershipChange::Remove)
            .or(promotable.map(MembershipChange::Promote))
            .or(removed)
    }

    /// Returns whether a learner that has caught up may vote already. It waits while a voter's disk may be lost
    /// without this leader's knowledge, until that voter responds, is removed or is given up, unless committed entries
    /// survive the tolerated losses even if the disk is lost. A group that cannot guarantee durability yet does not
    /// wait.
    fn can_promote(&self, learner: DiskId) -> bool {
        let mut promoted = self.membership.clone();
        if let Some(replica) = promoted.replicas.get_mut(&learner) {
            replica.role = ReplicaRole::Voter;
        }
        let unknown = self.unknown_voters().count();
        let present = promoted.voters().count() - unknown;
        unknown == 0
            || !is_durable(&self.membership, self.min_disks)
            || self.group_tolerates_losses(&promoted, present)
    }

    /// Voters that did not respond recently, and are not given up either.
    fn unknown_voters(&self) -> impl Iterator<Item = DiskId> {
        let voters = self.voters().map(|(disk, _)| disk);
        voters.filter(|disk| {
            *disk != self.leader && self.unconfirmed.contains(disk) && !self.lost.contains(disk)
        })
    }

    /// Returns a voter whose disk is lost and that can be removed; it only raises the quorum.
    fn lost_voter(&self) -> Option<DiskId> {
        let mut lost = self.lost.iter().copied();
        lost.find(|disk| self.membership.is_voter(*disk) && self.can_remove(*disk))
    }

    /// Returns an unresponsive voter that can be removed.
    fn unresponsive_voter(&self) -> Option<DiskId> {
        let mut unresponsive = self.unresponsive.iter().copied();
        unresponsive.find(|disk| self.membership.is_voter(*disk) && self.can_remove(*disk))
    }

    /// Returns the removal of a lost voter, or of one above the desired number.
    fn removal(&self) -> Option<MembershipChange> {
        let excess_voter = || match self.voters().count() > self.target {
            true => self.excess_voter(),
            false => None,
        };
        let removed = self.lost_voter().or_else(excess_voter)?;
        Some(MembershipChange::Remove(removed))
    }

    fn addition(&self, candidates: &[Candidate]) -> Option<MembershipChange> {
        if !self.needs_candidate() {
            return None;
        }
        let chosen = self.choose_candidate(candidates)?;
        let info = chosen.info(ReplicaRole::Learner);
        Some(MembershipChange::AddLearner(chosen.disk, info))
    }

    fn excess_voter(&self) -> Option<DiskId> {
        let voters = || self.voters().map(|(disk, _)| disk);
        let leaving =
            || voters().find(|disk| self.leaving.contains(disk) && self.can_remove(*disk));
        let any = || voters().find(|disk| self.can_remove(*disk));
        self.unresponsive_voter()
            .or_else(leaving)
            .or_else(|| self.same_zone_voter().filter(|disk| self.can_remove(*disk)))
            .or_else(any)
    }

    /// Returns the removal of a voter on a node being drained without a disk that replaces it, if all other
    /// voters are up to date and are enough.
    fn removal_without_replacement(&self) -> Option<MembershipChange> {
        let mut leaving = self.leaving.iter().copied();
        let is_removable = |disk: &DiskId| {
            let others = self.voters().count() - 1;
            let up_to_date_voters = self
                .up_to_date_voters()
                .filter(|other| other != disk)
                .count();
            self.membership.is_voter(*disk) && up_to_date_voters >= others && self.can_remove(*disk)
        };
        leaving.find(is_removable).map(MembershipChange::Remove)
    }

    fn choose_candidate<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let zones: BTreeSet<&ZoneName> = self.placed().map(|one| &one.zone).collect();
        let candidates = candidates.iter();
        let mut eligible: Vec<&Candidate> = candidates.filter(|one| self.can_use(one)).collect();
        eligible.sort_by_key(|one| (zones.contains(&one.zone), one.node.clone()));
        // A quorum of two voters needs both, so a lone voter waits for enough candidates to reach the desired
        // number, unless the durability guarantee requires two disks.
        let voters = self.voters().count();
        if voters == 1 && self.min_disks < 2 && eligible.len() + 1 < self.target {
            return None;
        }
        eligible.first().copied()
    }

    /// Replicas that stay: responsive voters, and learners.
    fn placed(&self) -> impl Iterator<Item = &ReplicaInfo> {
        let placed = self.staying_voters().chain(self.learner_replicas());
        placed.map(|(_, replica)| replica)
    }

    /// Returns whether a disk can get a replica: on a node without one, and in a zone without one if there are
    /// enough replicas.
    pub fn can_use(&self, candidate: &Candidate) -> bool {
        let is_new_zone = self.placed().all(|one| one.zone != candidate.zone);
        !self.membership.replicas.contains_key(&candidate.disk)
            && self.placed().all(|one| one.node != candidate.node)
            && (is_new_zone || self.placed().count() < self.target)
    }
}

/// Returns the founding membership: `target` voters on different nodes, in different zones where possible,
/// in order of node name. With fewer nodes, the group starts with the local voter alone. `min_disks` disks must hold
/// committed entries.
pub fn founding_membership(
    candidates: &[Candidate],
    local: &Candidate,
    target: usize,
    min_disks: usize,
) -> Membership {
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|one, other| one.node.cmp(&other.node));
    let mut chosen: Vec<&Candidate> = Vec::new();
    for spread in [true, false] {
        for candidate in &sorted {
            let same_zone = chosen.iter().any(|one| one.zone == candidate.zone);
            let same_node = chosen.iter().any(|one| one.node == candidate.node);
            let excluded = same_node || (spread && same_zone);
            if !excluded && chosen.len() < target {
                chosen.push(candidate);
            }
        }
    }
    if chosen.len() < target {
        chosen = vec![local];
    }
    let replicas = chosen
        .into_iter()
        .map(|one| (one.disk, one.info(ReplicaRole::Voter)));
    Membership {
        replicas: replicas.collect(),
        min_disks,
    }
}

/// Returns the number of zones that have candidates.
pub fn zone_count(candidates: &[Candidate]) -> usize {
    let zones: BTreeSet<&ZoneName> = candidates.iter().map(|one| &one.zone).collect();
    zones.len()
}
