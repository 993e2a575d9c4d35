//! Which replica of a group to add, promote or remove next: three voters in three zones, failed
//! ones replaced. A pure decision, taken again and again by the group's leader.

use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};
use firshore_types::ids::{NodeName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Replicas that a group is to have unless told otherwise.
pub const TARGET_VOTERS: usize = 3;

/// Replicas that a group needs so that losing `disks` of them at once loses nothing.
pub fn voters_for(disks: u32) -> usize {
    2 * disks as usize + 1
}

/// What the leader of a group knows of it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Replicas that the group is to have.
    pub target: usize,
    /// Replicas that the group must have even if it cannot have all: as many as promises need.
    pub least: usize,
    /// Disk of the leader.
    pub own: DiskId,
    /// Replicas in force.
    pub membership: Membership,
    /// Replicas silent for longer than the limit.
    pub silent: BTreeSet<DiskId>,
    /// Replicas that hold everything committed.
    pub caught_up: BTreeSet<DiskId>,
}

/// A disk that could hold a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Node.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: ZoneName,
}

impl Candidate {
    fn info(&self, role: ReplicaRole) -> ReplicaInfo {
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

    fn live_voters(&self) -> impl Iterator<Item = (DiskId, &ReplicaInfo)> {
        self.voters()
            .filter(|(disk, _)| !self.silent.contains(disk))
    }

    fn learner(&self) -> Option<DiskId> {
        let mut replicas = self.membership.replicas.iter();
        replicas
            .find(|(_, replica)| replica.role == ReplicaRole::Learner)
            .map(|(disk, _)| *disk)
    }

    /// A voter that shares its zone with another one that goes on; never the leader.
    fn redundant(&self) -> Option<DiskId> {
        let mut in_zone: BTreeMap<&ZoneName, Vec<DiskId>> = BTreeMap::new();
        for (disk, replica) in self.live_voters() {
            in_zone.entry(&replica.zone).or_default().push(disk);
        }
        let shared = in_zone.into_values().find(|disks| disks.len() > 1);
        shared?.into_iter().find(|disk| *disk != self.own)
    }

    /// Whether a replica is on its way into the group.
    pub fn has_learner(&self) -> bool {
        self.learner().is_some()
    }

    /// Whether a disk is wanted: too few voters, a silent one, or two in one zone.
    pub fn wants_candidate(&self) -> bool {
        self.learner().is_none()
            && self.voters().count() <= self.target
            && (self.live_voters().count() < self.target || self.redundant().is_some())
    }

    /// The next change, if one is due.
    pub fn next_change(&self, candidates: &[Candidate]) -> Option<MembershipChange> {
        if let Some(learner) = self.learner() {
            return self.settle_learner(learner);
        }
        if self.voters().count() > self.target {
            return self.superfluous().map(MembershipChange::Remove);
        }
        if !self.wants_candidate() {
            return None;
        }
        let chosen = self.choose(candidates)?;
        let info = chosen.info(ReplicaRole::Learner);
        Some(MembershipChange::AddLearner(chosen.disk, info))
    }

    fn settle_learner(&self, learner: DiskId) -> Option<MembershipChange> {
        if self.silent.contains(&learner) {
            return Some(MembershipChange::Remove(learner));
        }
        let ready = self.caught_up.contains(&learner);
        ready.then_some(MembershipChange::Promote(learner))
    }

    fn superfluous(&self) -> Option<DiskId> {
        let silent = self.voters().find(|(disk, _)| self.silent.contains(disk));
        let any = self.voters().find(|(disk, _)| *disk != self.own);
        silent
            .map(|(disk, _)| disk)
            .or_else(|| self.redundant())
            .or(any.map(|(disk, _)| disk))
    }

    fn choose<'a>(&self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let nodes: BTreeSet<&NodeName> = self.live_voters().map(|(_, one)| &one.node).collect();
        let zones: BTreeSet<&ZoneName> = self.live_voters().map(|(_, one)| &one.zone).collect();
        let mut open: Vec<&Candidate> = candidates
            .iter()
            .filter(|one| !self.membership.replicas.contains_key(&one.disk))
            .filter(|one| !nodes.contains(&one.node))
            .collect();
        open.sort_by_key(|one| (zones.contains(&one.zone), one.node.clone()));
        // Two voters need both: a lone voter waits until it can become three, unless promises
        // need two.
        let voters = self.voters().count();
        if voters == 1 && self.least < 2 && open.len() + 1 < self.target {
            return None;
        }
        let best = open.first()?;
        let spreads = !zones.contains(&best.zone);
        (spreads || self.live_voters().count() < self.target).then_some(best)
    }
}

/// The founding replicas: up to `target`, in different zones where there are as many, in order of
/// node. Fewer disks found a group of one.
pub fn founders(candidates: &[Candidate], own: &Candidate, target: usize) -> Membership {
    let mut sorted: Vec<&Candidate> = candidates.iter().collect();
    sorted.sort_by(|one, other| one.node.cmp(&other.node));
    let mut chosen: Vec<&Candidate> = Vec::new();
    for spread in [true, false] {
        for candidate in &sorted {
            let same_zone = chosen.iter().any(|one| one.zone == candidate.zone);
            let taken = chosen.iter().any(|one| one.node == candidate.node);
            let unfit = taken || (spread && same_zone);
            if !unfit && chosen.len() < target {
                chosen.push(candidate);
            }
        }
    }
    if chosen.len() < target {
        chosen = vec![own];
    }
    let replicas = chosen
        .into_iter()
        .map(|one| (one.disk, one.info(ReplicaRole::Voter)));
    Membership {
        replicas: replicas.collect(),
    }
}

/// Zones in which candidates stand.
pub fn zone_count(candidates: &[Candidate]) -> usize {
    let zones: BTreeSet<&ZoneName> = candidates.iter().map(|one| &one.zone).collect();
    zones.len()
}
