//! Which replica of a group to add, promote or remove next: as many voters as the losses that are to
//! be borne ask for, in different zones, failed ones replaced. A pure decision, taken again and again by
//! the group's leader.

use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};
use firshore_types::ids::{NodeName, ZoneName};
use std::collections::{BTreeMap, BTreeSet};

/// Replicas that a group is to have unless told otherwise.
pub const TARGET_VOTERS: usize = 3;

/// Replicas that a group needs so that losing `disks` of them at once loses nothing.
pub fn voters_for(disks: u32) -> usize {
    2 * disks as usize + 1
}

/// Returns whether everything that these replicas commit lies on at least `least` disks.
///
/// A quorum holds what is committed, so a quorum has to be as many: counting voters let three of them
/// accept what two had committed, where three disks were needed.
pub fn keeps_promises(membership: &Membership, least: usize) -> bool {
    membership.quorum() >= least
}

/// Returns whether what a leader reads may be shown: it is a promise that it stays, like an acceptance.
///
/// Both the latest voters and those of the latest committed change have to keep it: a lone voter that takes
/// a second one in has committed by itself until that change is committed.
pub fn may_show(latest: &Membership, committed: &Membership, least: usize) -> bool {
    keeps_promises(latest, least) && keeps_promises(committed, least)
}

/// What the leader of a group knows of it.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// Replicas that the group is to have.
    pub target: usize,
    /// Disks that have to hold what is promised.
    pub least: usize,
    /// Disk of the leader.
    pub own: DiskId,
    /// Replicas in force.
    pub membership: Membership,
    /// Replicas silent for longer than the limit.
    pub silent: BTreeSet<DiskId>,
    /// Replicas whose disks are known never to come back, or that are given up.
    pub gone: BTreeSet<DiskId>,
    /// Replicas on nodes that are to be emptied: disks like others until that is reported as done.
    pub leaving: BTreeSet<DiskId>,
    /// Replicas that hold everything committed but for what is on its way to them.
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
    /// Returns what the group keeps of a replica there.
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

    fn answers(&self, disk: DiskId) -> bool {
        !self.silent.contains(&disk) && !self.gone.contains(&disk)
    }

    /// Voters that answer and are to stay.
    fn live_voters(&self) -> impl Iterator<Item = (DiskId, &ReplicaInfo)> {
        self.voters()
            .filter(|(disk, _)| self.answers(*disk) && !self.leaving.contains(disk))
    }

    /// Voters that answer and hold everything committed, wherever they are.
    fn holders(&self) -> impl Iterator<Item = DiskId> {
        let voters = self.voters().map(|(disk, _)| disk);
        voters.filter(|disk| {
            *disk == self.own || (self.answers(*disk) && self.caught_up.contains(disk))
        })
    }

    /// Whether the group can do without a voter. What is committed afterwards has to lie on as many disks
    /// as promises need, and so many have to hold everything now; one that answers is never given away
    /// below that, one that does not is no copy to count on. Each step that takes a copy away asks this.
    /// What is still on its way to a holder is settled by the log: the removal has to be committed by a
    /// quorum of those that are left, and all before it with it.
    fn can_spare(&self, disk: DiskId) -> bool {
        let mut after = self.membership.clone();
        after.replicas.remove(&disk);
        let holders = self.holders().filter(|holder| *holder != disk).count();
        let enough = match self.answers(disk) {
            true => after.quorum() >= self.least && self.bears_losses(&after, holders),
            false => after.quorum() >= self.least.min(self.membership.quorum()),
        };
        disk != self.own && enough && holders >= after.quorum()
    }

    /// Whether those that hold everything go on after as many losses as are to be borne, be the others gone
    /// by now: no quorum is lost then that does not contain one of them.
    fn bears_losses(&self, group: &Membership, holders: usize) -> bool {
        let missing = group.voters().count().saturating_sub(holders);
        missing + self.least <= group.quorum()
    }

    /// Whether the voters that answer are too few to promise anything by themselves.
    pub fn is_short(&self) -> bool {
        let mut answering = self.membership.clone();
        answering.replicas.retain(|disk, _| self.answers(*disk));
        !keeps_promises(&answering, self.least)
    }

    /// The replica that is to catch up before it votes, if there is one.
    pub fn learner(&self) -> Option<DiskId> {
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

    /// The voter to hand leadership to from a node that is to be emptied: it answers, holds everything
    /// and stays. Without one the leader goes on, as nobody else could.
    pub fn heir(&self) -> Option<DiskId> {
        let mut heirs = self.holders().filter(|disk| *disk != self.own);
        heirs.find(|disk| !self.leaving.contains(disk))
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
        self.removal()
            .or_else(|| self.addition(candidates))
            .or_else(|| self.without_replacement())
    }

    fn settle_learner(&self, learner: DiskId) -> Option<MembershipChange> {
        if !self.answers(learner) {
            return Some(MembershipChange::Remove(learner));
        }
        // Before the learner votes: an even number of voters of which one never answers is left without
        // a quorum by a loss that three of four would bear.
        let ready = self.caught_up.contains(&learner);
        let dead = match ready {
            true => self.dead().or_else(|| self.mute()),
            false => self.dead(),
        };
        dead.map(MembershipChange::Remove)
            .or(ready.then_some(MembershipChange::Promote(learner)))
    }

    /// A voter whose disk is gone, if the group can do without it: it only raises the quorum.
    fn dead(&self) -> Option<DiskId> {
        let mut gone = self.gone.iter().copied();
        gone.find(|disk| self.membership.is_voter(*disk) && self.can_spare(*disk))
    }

    /// A voter that does not answer, if the group can do without it.
    fn mute(&self) -> Option<DiskId> {
        let mut silent = self.silent.iter().copied();
        silent.find(|disk| self.membership.is_voter(*disk) && self.can_spare(*disk))
    }

    /// A voter that is in the way.
    fn removal(&self) -> Option<MembershipChange> {
        let superfluous = || match self.voters().count() > self.target {
            true => self.superfluous(),
            false => None,
        };
        let removed = self.dead().or_else(superfluous)?;
        Some(MembershipChange::Remove(removed))
    }

    fn addition(&self, candidates: &[Candidate]) -> Option<MembershipChange> {
        if !self.wants_candidate() {
            return None;
        }
        let chosen = self.choose(candidates)?;
        let info = chosen.info(ReplicaRole::Learner);
        Some(MembershipChange::AddLearner(chosen.disk, info))
    }

    fn superfluous(&self) -> Option<DiskId> {
        let voters = || self.voters().map(|(disk, _)| disk);
        let leaving = || voters().find(|disk| self.leaving.contains(disk) && self.can_spare(*disk));
        let any = || voters().find(|disk| self.can_spare(*disk));
        self.mute()
            .or_else(leaving)
            .or_else(|| self.redundant().filter(|disk| self.can_spare(*disk)))
            .or_else(any)
    }

    /// A replica on a node that is to be emptied goes even if no disk can take its place, as long as all
    /// others hold everything and are enough.
    fn without_replacement(&self) -> Option<MembershipChange> {
        let mut leaving = self.leaving.iter().copied();
        let goes = |disk: &DiskId| {
            let others = self.voters().count() - 1;
            let holders = self.holders().filter(|holder| holder != disk).count();
            self.membership.is_voter(*disk) && holders >= others && self.can_spare(*disk)
        };
        leaving.find(goes).map(MembershipChange::Remove)
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
