//! What the upkeep of a group's replicas does next: hand leadership over, record the voters, change the
//! membership, go on alone. No I/O; the time and what the store lists are passed in.

use super::SILENCE_SHARE;
use super::passed_over::PassedOver;
use super::registry::VoterRecord;
use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, GroupView, keeps_promises};
use firshore_replication::replica::Survivors;
use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};
use firshore_types::ids::NodeName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Part of the time in which a new disk has to hold everything after which one of a pair goes on
/// without the other although no other disk could take its place: cuts mostly end sooner, and a
/// lone replica may promise nothing, but lets what is listed be read.
const LONE_SHARE: f64 = 1.0;

/// Voters that may go on although others are only silent: as many as all commit together, so that none of
/// them can help the silent ones to commit something else.
const MOST_WITHOUT_PROOF: usize = 2;

/// Part of that time for which a voter stays silent beyond the limit until the group does without it though
/// no other disk takes its place: with the silence itself and a change of leader this ends before the
/// machine that replaces it counts as recovered, after which the next loss may come.
const GIVEN_UP_SHARE: f64 = 0.4;

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

/// Nodes that operators want emptied.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingNodes {
    /// Those that hold or may hold something still.
    pub open: BTreeSet<NodeName>,
    /// Those that were reported as empty, and are gone with their disks.
    pub done: BTreeSet<NodeName>,
}

impl LeavingNodes {
    fn contains(&self, node: &NodeName) -> bool {
        self.open.contains(node) || self.done.contains(node)
    }
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
    pub leaving: Option<&'a LeavingNodes>,
    /// The voters as the store records them.
    pub recorded: Option<&'a VoterRecord>,
    /// Whether another record, written without an answer, may still take effect.
    pub doubtful: bool,
    /// When the store was last listed whole; what was known before may have been changed by a leader that
    /// this node followed since.
    pub listed_at: Option<Instant>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeeperStep {
    /// Nothing.
    Rest,
    /// List the nodes that are to be emptied, and look again.
    ListLeaving,
    /// Hand leadership to this voter.
    StepAside(DiskId),
    /// Write these voters to the store.
    Record(VoterRecord),
    /// Change the membership.
    Change(MembershipChange),
    /// Take a disk that never answered out of the group; it is passed over for a while.
    PassOver(DiskId, Duration),
    /// Go on without a quorum, with these disks.
    ContinueWith(Survivors),
}

fn quorum_of(voters: &BTreeSet<DiskId>) -> usize {
    voters.len() / 2 + 1
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

/// Whether the store names these voters, as this leader wrote them in its term.
fn is_recorded(view: &KeeperView, voters: &BTreeSet<DiskId>) -> bool {
    let record = view.recorded.filter(|_| !view.doubtful);
    record.is_some_and(|record| {
        record.voters == *voters && !record.settled && record.term == view.status.term
    })
}

/// Whether a replica's disk is known never to come back: its node has another one by now.
fn is_superseded(view: &KeeperView, disk: DiskId) -> bool {
    let Some(replica) = view.status.membership.replicas.get(&disk) else {
        return false;
    };
    let present = view.candidates.iter().find(|one| one.node == replica.node);
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
    /// Since when voters are silent for longer than the limit.
    silent_since: BTreeMap<DiskId, Instant>,
}

impl GroupKeeper {
    /// Returns the upkeep of a group that is to be as `terms` say.
    pub fn new(terms: KeeperTerms) -> Self {
        Self {
            terms,
            passed_over: PassedOver::default(),
            leaderless_since: None,
            silent_since: BTreeMap::new(),
        }
    }

    /// Takes in what the replica told, before the store is asked for what a step rests on.
    pub fn observe(&mut self, now: Instant, status: &GroupStatus) {
        self.note_leader(now, status);
        self.note_silent(now, status);
    }

    /// Takes in what is known now, and returns what to do.
    pub fn step(&mut self, now: Instant, view: &KeeperView) -> KeeperStep {
        self.observe(now, view.status);
        if !view.status.holds_log {
            return KeeperStep::Rest;
        }
        if view.status.leads {
            return self.place(now, view);
        }
        if view.status.leader.is_none() {
            return self.go_on(now, view);
        }
        KeeperStep::Rest
    }

    /// Returns whether nothing that was promised needs the disk of a node any more, as the leader knows
    /// it.
    pub fn is_emptied(&self, view: &KeeperView, node: &NodeName) -> bool {
        let membership = &view.status.membership;
        let mut replicas = membership.replicas.values();
        let holds = replicas.any(|replica| replica.node == *node);
        let whole = keeps_promises(membership, self.terms.least);
        !holds && view.status.membership_committed && whole
    }

    fn note_leader(&mut self, now: Instant, status: &GroupStatus) {
        if status.leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
    }

    fn note_silent(&mut self, now: Instant, status: &GroupStatus) {
        self.silent_since
            .retain(|disk, _| status.silent.contains(disk));
        for disk in &status.silent {
            self.silent_since.entry(*disk).or_insert(now);
        }
    }

    /// Voters that stayed silent for so long that a disk in their place would soon have caught up. The
    /// group is better off without them, also where no disk is there: of three voters one of which is gone
    /// for good, a further loss leaves no quorum and no proof, of two it leaves one that can go on.
    fn given_up(&self, now: Instant) -> impl Iterator<Item = DiskId> {
        let least = self.terms.catch_up.mul_f64(GIVEN_UP_SHARE);
        let silent = self.silent_since.iter();
        silent
            .filter(move |(_, since)| now.saturating_duration_since(**since) >= least)
            .map(|(disk, _)| *disk)
    }

    /// Keeps as many replicas as are to be, on disks that are there.
    fn place(&mut self, now: Instant, view: &KeeperView) -> KeeperStep {
        // A leader that does not know yet who is to be emptied would take such a node in.
        let Some(leaving) = view.leaving else {
            return KeeperStep::Rest;
        };
        let status = view.status;
        let group = self.group(now, view, leaving);
        if leaving.contains(view.node)
            && let Some(heir) = group.heir()
        {
            // The next leader takes this replica out of the group.
            return KeeperStep::StepAside(heir);
        }
        let usable = self.usable(now, view, leaving, group.is_short());
        if !status.membership_committed {
            // Nothing is recorded that might never enter the log.
            return KeeperStep::Rest;
        }
        let change = group.next_change(&usable);
        let present = voters_of(&status.membership);
        let Some(change) = change else {
            return settle(view, present);
        };
        let voters = voters_after(&status.membership, &change);
        if voters != present && !is_recorded(view, &voters) {
            return KeeperStep::Record(VoterRecord {
                voters,
                settled: false,
                term: status.term,
                before: vec![present],
                left_behind: left_behind(view),
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

    fn group(&self, now: Instant, view: &KeeperView, leaving: &LeavingNodes) -> GroupView {
        let status = view.status;
        let replicas = || status.membership.replicas.iter();
        let superseded = replicas().filter(|(disk, _)| is_superseded(view, **disk));
        let on_leaving = replicas().filter(|(_, one)| leaving.contains(&one.node));
        GroupView {
            target: self.terms.target,
            least: self.terms.least,
            own: status.disk,
            membership: status.membership.clone(),
            silent: status.silent.clone(),
            gone: superseded
                .map(|(disk, _)| *disk)
                .chain(self.given_up(now))
                .collect(),
            leaving: on_leaving.map(|(disk, _)| *disk).collect(),
            caught_up: status.caught_up.clone(),
        }
    }

    /// Disks that could be taken in: on nodes that are to stay, but for those that stayed silent a moment
    /// ago. Where the group is short of disks, those on nodes that are to be emptied too: until that is
    /// reported as done, they are better than none.
    fn usable(
        &mut self,
        now: Instant,
        view: &KeeperView,
        leaving: &LeavingNodes,
        short: bool,
    ) -> Vec<Candidate> {
        let membership = &view.status.membership;
        self.passed_over.forget(|disk| membership.is_voter(disk));
        let open = view
            .candidates
            .iter()
            .filter(|one| !membership.replicas.contains_key(&one.disk))
            .filter(|one| !self.passed_over.holds(now, one.disk))
            .filter(|one| !leaving.done.contains(&one.node));
        let (last, staying): (Vec<&Candidate>, Vec<&Candidate>) =
            open.partition(|one| leaving.open.contains(&one.node));
        let mut usable = staying;
        if short
            && usable
                .iter()
                .all(|one| self.passed_over.has_failed(one.disk))
        {
            usable.extend(last);
        }
        // A node that is gone for good stays listed: those that failed before wait until others were tried.
        let is_fresh = |one: &&Candidate| !self.passed_over.has_failed(one.disk);
        if membership.voters().count() < self.terms.target && usable.iter().any(is_fresh) {
            usable.retain(is_fresh);
        }
        usable.into_iter().cloned().collect()
    }

    /// Goes on without a quorum, where those that are left must hold everything committed: the others have
    /// lost their disks, or were silent for long and can do nothing without those that are left. Of two that
    /// would go on, only one can record itself.
    fn go_on(&self, now: Instant, view: &KeeperView) -> KeeperStep {
        let own = view.status.disk;
        let present = voters_of(&view.status.membership);
        let unrecorded = VoterRecord {
            voters: present.clone(),
            settled: true,
            ..VoterRecord::default()
        };
        let record = view.recorded.unwrap_or(&unrecorded);
        if let Some(survivors) = was_left_behind(view, record)
            && self.is_listed_since(view)
        {
            return go_on_with(view, record, survivors, Vec::new());
        }
        let late = self.is_leaderless_for(now, SILENCE_SHARE);
        let superseded = present.iter().any(|disk| is_superseded(view, *disk));
        if !(late || superseded) || !self.is_listed_since(view) || !record.tells_groups() {
            return KeeperStep::Rest;
        }
        let Some(leaving) = view.leaving else {
            return KeeperStep::ListLeaving;
        };
        let mut possible = record.possible();
        if record.voters == voters_of(&view.status.committed_membership) {
            possible.truncate(1);
        }
        // Groups that may promise nothing bind nobody whose log names the one that follows them.
        if record.voters == present {
            let least = self.terms.least;
            possible.retain(|voters| *voters == present || quorum_of(voters) >= least);
        }
        // A node is reported as empty only once the change that removed its disk is committed.
        possible.retain(|voters| !voters.iter().any(|disk| is_done(view, leaving, *disk)));
        let all: BTreeSet<DiskId> = possible.iter().flatten().copied().collect();
        let listed = all.iter().copied();
        let mut left: BTreeSet<DiskId> =
            listed.filter(|disk| !is_superseded(view, *disk)).collect();
        let is_pair = all.len() == 2 && left.len() == 2;
        let early = late && is_pair && has_replacement(view, leaving, &all);
        if early || self.is_leaderless_for(now, LONE_SHARE) {
            left.retain(|disk| *disk == own || view.status.heard.contains(disk));
        }
        let silent_left_out = all
            .iter()
            .any(|disk| !left.contains(disk) && !is_superseded(view, *disk));
        if silent_left_out && left.len() > MOST_WITHOUT_PROOF {
            return KeeperStep::Rest;
        }
        let holds_all = |voters: &BTreeSet<DiskId>| {
            let left = voters.intersection(&left).count();
            voters.len() - left < quorum_of(voters)
        };
        let lost_quorum = present.intersection(&left).count() < quorum_of(&present);
        if !lost_quorum || !left.contains(&own) || !possible.iter().all(holds_all) {
            return KeeperStep::Rest;
        }
        match survivors(view, &left, false) {
            Some(survivors) => go_on_with(view, record, survivors, possible),
            None => KeeperStep::Rest,
        }
    }

    /// Whether the store was listed since no leader is known.
    fn is_listed_since(&self, view: &KeeperView) -> bool {
        let since = self.leaderless_since;
        since.is_some_and(|since| view.listed_at.is_some_and(|listed| listed >= since))
    }

    /// Whether no leader was known for this part of the time in which a disk has to catch up.
    fn is_leaderless_for(&self, now: Instant, share: f64) -> bool {
        let least = self.terms.catch_up.mul_f64(share);
        let since = self.leaderless_since;
        since.is_some_and(|since| now.saturating_duration_since(since) >= least)
    }
}

/// Whether a disk went with a node that was reported as empty.
fn is_done(view: &KeeperView, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = view.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns this disk, if the other voter of its pair went on alone, promised nothing since, and has lost
/// its own: what that had to keep is here.
fn was_left_behind(view: &KeeperView, record: &VoterRecord) -> Option<Survivors> {
    let own = view.status.disk;
    let mut others = record.voters.iter().filter(|disk| **disk != own);
    let gone = others.all(|fellow| is_superseded(view, *fellow));
    let left = record.left_behind == Some(own) && !record.settled_by(own);
    match gone && left {
        true => survivors(view, &BTreeSet::from([own]), true),
        false => None,
    }
}

/// Returns these disks and where they are, if all are listed.
fn survivors(view: &KeeperView, disks: &BTreeSet<DiskId>, left_behind: bool) -> Option<Survivors> {
    let place = |disk: &DiskId| {
        let candidate = view.candidates.iter().find(|one| one.disk == *disk)?;
        Some((*disk, candidate.info(ReplicaRole::Voter)))
    };
    let replicas: Option<BTreeMap<DiskId, ReplicaInfo>> = disks.iter().map(place).collect();
    Some(Survivors {
        replicas: replicas?,
        left_behind,
    })
}

fn go_on_with(
    view: &KeeperView,
    record: &VoterRecord,
    survivors: Survivors,
    possible: Vec<BTreeSet<DiskId>>,
) -> KeeperStep {
    let voters: BTreeSet<DiskId> = survivors.replicas.keys().copied().collect();
    if record.voters == voters && !record.settled && !view.doubtful {
        return KeeperStep::ContinueWith(survivors);
    }
    let own = view.status.disk;
    let pair = voters_of(&view.status.membership);
    let fellow = pair.iter().copied().find(|disk| *disk != own);
    let alone = voters.len() == 1 && pair.len() == 2;
    let left_behind = match survivors.left_behind {
        true => Some(own),
        false => fellow.filter(|_| alone),
    };
    KeeperStep::Record(VoterRecord {
        voters,
        settled: false,
        term: view.status.term,
        before: possible,
        left_behind,
    })
}

/// The disk that the only voter left behind and that still holds everything promised, on record.
fn left_behind(view: &KeeperView) -> Option<DiskId> {
    view.recorded.and_then(|record| record.left_behind)
}

/// Records that the change to these voters is committed.
fn settle(view: &KeeperView, voters: BTreeSet<DiskId>) -> KeeperStep {
    let Some(record) = view.recorded else {
        return KeeperStep::Rest;
    };
    if record.settled && record.voters == voters && !view.doubtful {
        return KeeperStep::Rest;
    }
    let alone = voters.len() == 1;
    let left_behind = left_behind(view).filter(|disk| alone && !voters.contains(disk));
    KeeperStep::Record(VoterRecord {
        voters,
        settled: true,
        term: view.status.term,
        before: Vec::new(),
        left_behind,
    })
}

/// Whether a disk beyond these could hold a replica: on any node that is there, as one that is to be
/// emptied is better than none.
fn has_replacement(view: &KeeperView, leaving: &LeavingNodes, pair: &BTreeSet<DiskId>) -> bool {
    let mut there = view
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    there.any(|candidate| !pair.contains(&candidate.disk))
}
