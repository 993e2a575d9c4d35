//! What the upkeep of a group's replicas does next: hand leadership over, record the voters, change the
//! membership, go on alone. No I/O; the time and what the store lists are passed in.

use super::SILENCE_FRACTION;
use super::excluded_disks::ExcludedDisks;
use super::lost_quorum::{self, LeaderlessTime};
use super::registry::VoterRecord;
use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, GroupView, keeps_promises};
use firshore_replication::replica::Survivors;
use firshore_replication::types::{DiskId, Membership, MembershipChange};
use firshore_types::ids::NodeName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Part of the time in which a new disk has to hold everything after which one of a pair goes on
/// without the other although no other disk could take its place: cuts mostly end sooner, and a
/// lone replica may promise nothing, but lets what is listed be read.
const LONE_SHARE: f64 = 1.0;

/// Part of that time for which a voter stays silent beyond the limit until the group does without it though
/// no other disk takes its place: with the silence itself and a change of leader this ends before the
/// machine that replaces it counts as recovered, after which the next loss may come.
const GIVEN_UP_SHARE: f64 = 0.4;

/// The same for a disk that answers and does not catch up, where another one could be tried.
const LEARNER_SHARE: f64 = 2.0;

/// What a group is to be.
#[derive(Clone, Copy, Debug)]
pub struct GroupPolicy {
    /// Voters that the group is to have.
    pub target_voters: usize,
    /// Disks that have to hold what is promised.
    pub min_disks: usize,
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
pub struct GroupInput<'a> {
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
    pub write_unconfirmed: bool,
    /// When the store was last listed whole; what was known before may have been changed by a leader that
    /// this node followed since.
    pub listed_at: Option<Instant>,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAction {
    /// Nothing.
    Idle,
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
    /// Leave the history of the log for this later one.
    JoinHistory(u64),
}

pub(super) fn voters_of(membership: &Membership) -> BTreeSet<DiskId> {
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
fn is_recorded(view: &GroupInput, voters: &BTreeSet<DiskId>) -> bool {
    let record = view.recorded.filter(|_| !view.write_unconfirmed);
    record.is_some_and(|record| {
        record.voters == *voters && !record.settled && record.term == view.status.term
    })
}

/// Whether a replica's disk is known never to come back: its node has another one by now.
pub(super) fn is_superseded(view: &GroupInput, disk: DiskId) -> bool {
    let Some(replica) = view.status.membership.replicas.get(&disk) else {
        return false;
    };
    let present = view.candidates.iter().find(|one| one.node == replica.node);
    present.is_some_and(|one| one.disk != disk)
}

/// The state of the upkeep on one node.
#[derive(Debug)]
pub struct GroupManager {
    terms: GroupPolicy,
    /// Disks that were taken in and stayed silent.
    passed_over: ExcludedDisks,
    /// Since when no leader is known.
    leaderless_since: Option<Instant>,
    /// The record of voters as it was seen last, and since when.
    recorded: Option<(VoterRecord, Instant)>,
    /// Since when voters are silent for longer than the limit.
    silent_since: BTreeMap<DiskId, Instant>,
    /// The disk that is to catch up, and since when.
    learner: Option<(DiskId, Instant)>,
}

impl GroupManager {
    /// Returns the upkeep of a group that is to be as `terms` say.
    pub fn new(terms: GroupPolicy) -> Self {
        Self {
            terms,
            passed_over: ExcludedDisks::default(),
            leaderless_since: None,
            recorded: None,
            silent_since: BTreeMap::new(),
            learner: None,
        }
    }

    /// Takes in what the replica told, before the store is asked for what a step rests on.
    pub fn observe(&mut self, now: Instant, status: &GroupStatus) {
        self.note_leader(now, status);
        self.note_silent(now, status);
    }

    /// Takes in what is known now, and returns what to do.
    pub fn step(&mut self, now: Instant, view: &GroupInput) -> GroupAction {
        self.observe(now, view.status);
        self.note_record(now, view.recorded);
        if !view.status.holds_log {
            return GroupAction::Idle;
        }
        if let Some(history) = later_history(view) {
            return GroupAction::JoinHistory(history);
        }
        if view.status.leads {
            return self.place(now, view);
        }
        if view.status.leader.is_none() {
            return self.without_leader(now, view);
        }
        GroupAction::Idle
    }

    /// Returns whether nothing that was promised needs the disk of a node any more, as the leader knows
    /// it.
    pub fn is_drained(&self, view: &GroupInput, node: &NodeName) -> bool {
        let membership = &view.status.membership;
        let mut replicas = membership.replicas.values();
        let holds = replicas.any(|replica| replica.node == *node);
        let whole = keeps_promises(membership, self.terms.min_disks);
        !holds && view.status.membership_committed && whole
    }

    fn note_leader(&mut self, now: Instant, status: &GroupStatus) {
        if status.leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
    }

    fn note_record(&mut self, now: Instant, recorded: Option<&VoterRecord>) {
        let Some(record) = recorded else {
            return;
        };
        let known = self.recorded.as_ref();
        if known.is_none_or(|(known, _)| known != record) {
            self.recorded = Some((record.clone(), now));
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
    fn place(&mut self, now: Instant, view: &GroupInput) -> GroupAction {
        // A leader that does not know yet who is to be emptied would take such a node in.
        let Some(leaving) = view.leaving else {
            return GroupAction::Idle;
        };
        let status = view.status;
        let group = self.group(now, view, leaving);
        if leaving.contains(view.node)
            && let Some(heir) = group.heir()
        {
            // The next leader takes this replica out of the group.
            return GroupAction::StepAside(heir);
        }
        let usable = self.usable(now, view, leaving, group.is_short());
        if !status.membership_committed {
            // Nothing is recorded that might never enter the log.
            return GroupAction::Idle;
        }
        if let Some(learner) = self.overdue_learner(now, &group)
            && !usable.is_empty()
        {
            let pause = self.passed_over.record_timeout(now, learner);
            return GroupAction::PassOver(learner, pause);
        }
        let change = group.next_change(&usable);
        let present = voters_of(&status.membership);
        let Some(change) = change else {
            return settle(view, present);
        };
        let voters = voters_after(&status.membership, &change);
        if voters != present && !is_recorded(view, &voters) {
            return GroupAction::Record(VoterRecord {
                gone: gone_before(view, &voters),
                voters,
                settled: false,
                term: status.term,
                before: vec![present],
                left_behind: left_behind(view),
                history: status.history,
                begins: false,
            });
        }
        if let MembershipChange::Remove(disk) = &change
            && !present.contains(disk)
        {
            // A learner that never answered: its node is registered, but gone.
            let pause = self.passed_over.record_timeout(now, *disk);
            return GroupAction::PassOver(*disk, pause);
        }
        GroupAction::Change(change)
    }

    fn group(&self, now: Instant, view: &GroupInput, leaving: &LeavingNodes) -> GroupView {
        let status = view.status;
        let replicas = || status.membership.replicas.iter();
        let superseded = replicas().filter(|(disk, _)| is_superseded(view, **disk));
        let on_leaving = replicas().filter(|(_, one)| leaving.contains(&one.node));
        GroupView {
            target: self.terms.target_voters,
            least: self.terms.min_disks,
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

    /// The disk that is to catch up, if it has been at that for too long: one that answers but never holds
    /// everything, as its disk is full or slow, would keep all others out. It goes on where it was when it
    /// is tried again.
    fn overdue_learner(&mut self, now: Instant, group: &GroupView) -> Option<DiskId> {
        let learner = group.learner();
        if self.learner.map(|(disk, _)| disk) != learner {
            self.learner = learner.map(|disk| (disk, now));
        }
        let most = self.terms.catch_up.mul_f64(LEARNER_SHARE);
        let (disk, since) = self.learner?;
        (now.saturating_duration_since(since) >= most).then_some(disk)
    }

    /// Disks that could be taken in: on nodes that are to stay, but for those that stayed silent a moment
    /// ago. Where the group is short of disks, those on nodes that are to be emptied too: until that is
    /// reported as done, they are better than none.
    fn usable(
        &mut self,
        now: Instant,
        view: &GroupInput,
        leaving: &LeavingNodes,
        short: bool,
    ) -> Vec<Candidate> {
        let membership = &view.status.membership;
        self.passed_over.forget(|disk| membership.is_voter(disk));
        let open = view
            .candidates
            .iter()
            .filter(|one| !membership.replicas.contains_key(&one.disk))
            .filter(|one| !self.passed_over.is_excluded(now, one.disk))
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
        // A node that is gone for good stays listed: those that failed less often go first, so that it does
        // not keep one out that could be reached meanwhile.
        let failures = |one: &&Candidate| self.passed_over.pause(one.disk);
        if membership.voters().count() < self.terms.target_voters {
            let fewest = usable.iter().map(failures).min();
            usable.retain(|one| Some(failures(one)) == fewest);
        }
        usable.into_iter().cloned().collect()
    }

    fn without_leader(&self, now: Instant, view: &GroupInput) -> GroupAction {
        if !self.is_listed_since(view) {
            return GroupAction::Idle;
        }
        let since = self.leaderless_since;
        let recorded = self.recorded.as_ref().map(|(_, since)| *since);
        let leaderless = self.waited(now, since);
        let unchanged = self.waited(now, since.max(recorded));
        lost_quorum::step(view, self.terms.min_disks, leaderless, unchanged)
    }

    fn waited(&self, now: Instant, since: Option<Instant>) -> LeaderlessTime {
        let lasts = |share: f64| {
            let least = self.terms.catch_up.mul_f64(share);
            since.is_some_and(|since| now.saturating_duration_since(since) >= least)
        };
        LeaderlessTime {
            late: lasts(SILENCE_FRACTION),
            overdue: lasts(LONE_SHARE),
        }
    }

    /// Whether the store was listed since no leader is known.
    fn is_listed_since(&self, view: &GroupInput) -> bool {
        let since = self.leaderless_since;
        since.is_some_and(|since| view.listed_at.is_some_and(|listed| listed >= since))
    }
}

/// Those of these voters whose disks are known to be gone before they become the voters. A record that names
/// them already was written earlier, when more of them may have been there.
fn gone_before(view: &GroupInput, voters: &BTreeSet<DiskId>) -> BTreeSet<DiskId> {
    let recorded = view.recorded.filter(|record| record.voters == *voters);
    if let Some(record) = recorded {
        return record.gone.clone();
    }
    let gone = voters.iter().copied();
    gone.filter(|disk| is_superseded(view, *disk)).collect()
}

/// The later history that the record names and that is to be joined: others went on in it, and whoever
/// stays in the earlier one would write over the record and lead beside them. A disk that is to begin it
/// does so by going on, unless it still leads.
fn later_history(view: &GroupInput) -> Option<u64> {
    let record = view.recorded?;
    let begins = record.is_begun_by(view.status.disk) && !view.status.leads;
    (record.history > view.status.history && !begins).then_some(record.history)
}

/// The disk that the only voter left behind and that still holds everything promised, on record.
fn left_behind(view: &GroupInput) -> Option<DiskId> {
    view.recorded.and_then(|record| record.left_behind)
}

/// Records that the change to these voters is committed.
fn settle(view: &GroupInput, voters: BTreeSet<DiskId>) -> GroupAction {
    let Some(record) = view.recorded else {
        return GroupAction::Idle;
    };
    if record.settled && record.voters == voters && !view.write_unconfirmed {
        return GroupAction::Idle;
    }
    let alone = voters.len() == 1;
    let left_behind = left_behind(view).filter(|disk| alone && !voters.contains(disk));
    // Voters that the record does not name were in force before; whoever is gone by now may have been there.
    let known = record.voters == voters;
    let gone = record.gone.iter().copied().filter(|_| known);
    GroupAction::Record(VoterRecord {
        gone: gone.collect(),
        voters,
        settled: true,
        term: view.status.term,
        before: Vec::new(),
        left_behind,
        history: view.status.history,
        begins: false,
    })
}
