//! What the upkeep of a group's replicas does next: hand leadership over, record the voters, change the
//! membership, go on alone. No I/O; the time and what the store lists are passed in.

use super::SILENCE_SHARE;
use super::passed_over::PassedOver;
use super::registry::VoterRecord;
use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, GroupView};
use firshore_replication::types::{DiskId, Membership, MembershipChange};
use firshore_types::ids::NodeName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Part of the time in which a new disk has to hold everything after which one of a pair goes on
/// without the other although no other disk could take its place: cuts mostly end sooner, and a
/// lone replica may promise nothing, but lets what is listed be read.
const LONE_SHARE: f64 = 1.0;

/// What a group is to be.
#[derive(Clone, Copy, Debug)]
pub struct KeeperTerms {
    /// Voters that the group is to have.
    pub target: usize,
    /// Disks that have to hold what is promised.
    pub least: usize,
    /// Time in which a new disk has to hold everything.
    pub catch_up: Duration,
}

/// What is known at one look.
#[derive(Clone, Copy, Debug)]
pub struct KeeperView<'a> {
    /// This node.
    pub node: &'a NodeName,
    /// What this node's replica told last.
    pub status: &'a GroupStatus,
    /// Disks that the store lists.
    pub candidates: &'a [Candidate],
    /// Nodes that are to be emptied; `None` where they are not followed.
    pub leaving: Option<&'a BTreeSet<NodeName>>,
    /// The voters as the store records them.
    pub recorded: Option<&'a VoterRecord>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperStep {
    /// Nothing.
    Rest,
    /// List the nodes that are to be emptied, and look again.
    ListLeaving,
    /// Hand leadership to another voter.
    StepAside,
    /// Write these voters to the store.
    Record(VoterRecord),
    /// Change the membership.
    Change(MembershipChange),
    /// Take a disk that never answered out of the group; it is passed over for a while.
    PassOver(DiskId, Duration),
    /// Go on without the only other voter.
    ContinueAlone,
}

/// Returns whether what these replicas commit lies on as many disks as promises need.
pub fn may_promise(membership: &Membership, least: usize) -> bool {
    membership.voters().count() >= least
}

fn voters_of(membership: &Membership) -> BTreeSet<DiskId> {
    membership.voters().collect()
}

/// The voters once a change is in force.
fn voters_after(membership: &Membership, change: &MembershipChange) -> BTreeSet<DiskId> {
    let mut voters = voters_of(membership);
    match change {
        MembershipChange::AddLearner(..) => {}
        MembershipChange::Promote(disk) => {
            voters.insert(*disk);
        }
        MembershipChange::Remove(disk) => {
            voters.remove(disk);
        }
    }
    voters
}

fn is_recorded(view: &KeeperView, voters: &BTreeSet<DiskId>, settled: bool) -> bool {
    let record = view.recorded;
    record.is_some_and(|record| record.voters == *voters && record.settled == settled)
}

/// Whether a disk is known to be gone: its node has another one by now.
fn is_superseded(view: &KeeperView, disk: DiskId, node: &NodeName) -> bool {
    let present = view.candidates.iter().find(|one| one.node == *node);
    present.is_some_and(|one| one.disk != disk)
}

/// The state of the upkeep on one node.
#[derive(Debug)]
pub struct GroupKeeper {
    terms: KeeperTerms,
    /// Disks that were taken in and stayed silent.
    passed_over: PassedOver,
    /// Since when no leader is known.
    leaderless_since: Option<Instant>,
}

impl GroupKeeper {
    /// Returns the upkeep of a group that is to be as `terms` say.
    pub fn new(terms: KeeperTerms) -> Self {
        Self {
            terms,
            passed_over: PassedOver::default(),
            leaderless_since: None,
        }
    }

    /// Takes in what is known now, and returns what to do.
    pub fn step(&mut self, now: Instant, view: &KeeperView) -> KeeperStep {
        self.note_leader(now, view.status);
        if !view.status.holds_log {
            return KeeperStep::Rest;
        }
        if view.status.leads {
            return self.place(now, view);
        }
        if view.status.leader.is_none() {
            return self.go_on_alone(now, view);
        }
        KeeperStep::Rest
    }

    /// Returns whether nothing that was promised needs the disk of a node any more, as the leader knows
    /// it.
    pub fn is_emptied(&self, view: &KeeperView, node: &NodeName) -> bool {
        let mut replicas = view.status.membership.replicas.values();
        let holds = replicas.any(|replica| replica.node == *node);
        !holds && view.status.membership_committed
    }

    fn note_leader(&mut self, now: Instant, status: &GroupStatus) {
        if status.leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
    }

    /// Keeps as many replicas as are to be, on disks that are there.
    fn place(&mut self, now: Instant, view: &KeeperView) -> KeeperStep {
        let nobody = BTreeSet::new();
        let leaving = view.leaving.unwrap_or(&nobody);
        if leaving.contains(view.node) {
            // The next leader takes this replica out of the group.
            return KeeperStep::StepAside;
        }
        let usable = self.usable(now, view, leaving);
        let status = view.status;
        if !status.membership_committed {
            // Nothing is recorded that might never enter the log.
            return KeeperStep::Rest;
        }
        let group = GroupView {
            target: self.terms.target,
            least: self.terms.least,
            own: status.disk,
            membership: status.membership.clone(),
            silent: unusable(view, leaving),
            caught_up: status.caught_up.clone(),
        };
        let change = group
            .next_change(&usable)
            .or_else(|| without_replacement(status, &group, leaving));
        let present = voters_of(&status.membership);
        let Some(change) = change else {
            return settle(view, present);
        };
        let voters = voters_after(&status.membership, &change);
        if voters != present && !is_recorded(view, &voters, false) {
            return KeeperStep::Record(VoterRecord {
                voters,
                settled: false,
            });
        }
        if let MembershipChange::Remove(disk) = &change
            && !present.contains(disk)
        {
            // A learner that never answered: its node is registered, but gone.
            let pause = self.passed_over.stayed_silent(now, *disk);
            return KeeperStep::PassOver(*disk, pause);
        }
        KeeperStep::Change(change)
    }

    /// Disks on nodes that are to stay, but for those that stayed silent a moment ago.
    fn usable(
        &mut self,
        now: Instant,
        view: &KeeperView,
        leaving: &BTreeSet<NodeName>,
    ) -> Vec<Candidate> {
        let membership = &view.status.membership;
        self.passed_over.forget(|disk| membership.is_voter(disk));
        let usable = view
            .candidates
            .iter()
            .filter(|candidate| !leaving.contains(&candidate.node))
            .filter(|candidate| !self.passed_over.holds(now, candidate.disk));
        usable.cloned().collect()
    }

    /// Goes on without the only other voter, once that has another disk or has been gone for a
    /// while. Every committed entry needed both, the settled record shows that there was no third,
    /// and of two that try only one can record itself.
    fn go_on_alone(&self, now: Instant, view: &KeeperView) -> KeeperStep {
        let own = view.status.disk;
        let pair = voters_of(&view.status.membership);
        if pair.len() != 2 || !pair.contains(&own) || !self.is_fellow_gone(now, view) {
            return KeeperStep::Rest;
        }
        if !self.is_leaderless_for(now, LONE_SHARE) {
            let Some(leaving) = view.leaving else {
                return KeeperStep::ListLeaving;
            };
            if !has_replacement(view, leaving, &pair) {
                return KeeperStep::Rest;
            }
        }
        let alone = BTreeSet::from([own]);
        if is_recorded(view, &alone, false) {
            return KeeperStep::ContinueAlone;
        }
        if is_recorded(view, &pair, true) {
            return KeeperStep::Record(VoterRecord {
                voters: alone,
                settled: false,
            });
        }
        KeeperStep::Rest
    }

    /// Whether no leader was known for this part of the time in which a disk has to catch up.
    fn is_leaderless_for(&self, now: Instant, share: f64) -> bool {
        let least = self.terms.catch_up.mul_f64(share);
        let since = self.leaderless_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= least)
    }

    /// Whether the other voter of a pair has lost its disk, or there was no leader for long.
    fn is_fellow_gone(&self, now: Instant, view: &KeeperView) -> bool {
        if self.is_leaderless_for(now, SILENCE_SHARE) {
            return true;
        }
        let mut others = view.status.membership.replicas.iter();
        others.any(|(disk, replica)| {
            *disk != view.status.disk && is_superseded(view, *disk, &replica.node)
        })
    }
}

/// Records that the change to these voters is committed.
fn settle(view: &KeeperView, voters: BTreeSet<DiskId>) -> KeeperStep {
    if view.recorded.is_none() || is_recorded(view, &voters, true) {
        return KeeperStep::Rest;
    }
    KeeperStep::Record(VoterRecord {
        voters,
        settled: true,
    })
}

/// Whether a disk beyond these, on a node that is to stay, could hold a replica.
fn has_replacement(
    view: &KeeperView,
    leaving: &BTreeSet<NodeName>,
    pair: &BTreeSet<DiskId>,
) -> bool {
    let mut staying = view
        .candidates
        .iter()
        .filter(|candidate| !leaving.contains(&candidate.node));
    staying.any(|candidate| !pair.contains(&candidate.disk))
}

/// Replicas that are to be replaced: silent ones, those whose node has another disk by now, and
/// those on nodes that are to be emptied.
fn unusable(view: &KeeperView, leaving: &BTreeSet<NodeName>) -> BTreeSet<DiskId> {
    let mut unusable = view.status.silent.clone();
    for (disk, replica) in &view.status.membership.replicas {
        if is_superseded(view, *disk, &replica.node) || leaving.contains(&replica.node) {
            unusable.insert(*disk);
        }
    }
    unusable
}

/// A node that is to be emptied goes even if no disk can take its place, as long as the others
/// hold everything.
fn without_replacement(
    status: &GroupStatus,
    group: &GroupView,
    leaving: &BTreeSet<NodeName>,
) -> Option<MembershipChange> {
    if group.has_learner() {
        return None;
    }
    let mut voters = status.membership.replicas.iter();
    let (disk, _) = voters.find(|(_, replica)| leaving.contains(&replica.node))?;
    let others = status.membership.voters().filter(|other| other != disk);
    let held = others
        .filter(|other| *other == status.disk || status.caught_up.contains(other))
        .count();
    if *disk == status.disk || held + 1 < status.membership.voters().count() {
        return None;
    }
    Some(MembershipChange::Remove(*disk))
}
