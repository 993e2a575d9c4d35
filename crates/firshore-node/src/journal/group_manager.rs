//! Decides the next step of a group's maintenance: transfer leadership, record the voters, change
//! the membership, or continue without a quorum. No I/O; the time and the store's listing are
//! passed in.

use super::SILENCE_FRACTION;
use super::excluded_disks::ExcludedDisks;
use super::left_behind::sets_left_behind;
use super::lost_quorum::{self, LeaderlessTime};
use super::registry::VoterRecord;
use firshore_log::GroupStatus;
use firshore_log::placement::{Candidate, GroupView};
use firshore_replication::replica::Survivors;
use firshore_replication::types::{DiskId, Membership, MembershipChange, Term};
use firshore_types::ids::NodeName;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Fraction of the catch-up time after which one voter of a pair continues without the other
/// although no disk could replace it. Partitions mostly end sooner, and a single replica may accept
/// nothing, though it can serve what is listed.
const CONTINUE_ALONE_FRACTION: f64 = 1.0;

/// Fraction of the catch-up time for which a voter, beyond the timeout, stays unresponsive until it
/// is removed although no disk replaces it. Together with the timeout and a change of leader this
/// is shorter than a replaced machine needs to count as recovered, after which the next loss may
/// occur.
const GIVE_UP_FRACTION: f64 = 0.4;

/// Fraction of the catch-up time after which a learner that responds but doesn't catch up is
/// replaced by another disk.
const LEARNER_FRACTION: f64 = 2.0;

/// Desired state of a group.
#[derive(Clone, Copy, Debug)]
pub struct GroupPolicy {
    /// Desired number of voters.
    pub target_voters: usize,
    /// Number of disks that must hold accepted jobs.
    pub min_disks: usize,
    /// Time within which a new disk has to hold everything.
    pub catch_up: Duration,
}

/// Nodes that operators are draining.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LeavingNodes {
    /// Nodes that hold or may still hold replicas.
    pub open: BTreeSet<NodeName>,
    /// Nodes that were reported as drained, and may be removed with their disks.
    pub done: BTreeSet<NodeName>,
}

impl LeavingNodes {
    fn contains(&self, node: &NodeName) -> bool {
        self.open.contains(node) || self.done.contains(node)
    }
}

/// Input to one decision.
#[derive(Clone, Copy, Debug)]
pub struct GroupInput<'a> {
    /// This node.
    pub node: &'a NodeName,
    /// Last status of this node's replica.
    pub status: &'a GroupStatus,
    /// Disks that the store lists.
    pub candidates: &'a [Candidate],
    /// Nodes to drain; `None` while they are not watched.
    pub leaving: Option<&'a LeavingNodes>,
    /// The voters as recorded in the store.
    pub recorded: Option<&'a VoterRecord>,
    /// Whether an unconfirmed write of another record may still take effect.
    pub write_unconfirmed: bool,
    /// When the last full listing of the store began. What was listed earlier may have been changed
    /// since by a leader that this node followed.
    pub listed_at: Option<Instant>,
}

/// Next step of the maintenance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAction {
    /// Nothing to do.
    Idle,
    /// List the nodes to drain, and decide again.
    ListLeaving,
    /// Transfer leadership to this voter.
    StepAside(DiskId),
    /// Write these voters to the store.
    Record(VoterRecord),
    /// Change the membership.
    Change(MembershipChange),
    /// Remove a learner that doesn't respond or doesn't catch up, and exclude its disk for this
    /// time.
    PassOver(DiskId, Duration),
    /// Continue without a quorum, with these disks.
    ContinueWith(Survivors),
    /// Leave the log's history for this later one.
    JoinHistory(u64),
    /// Stop leading: the record was written in this later term.
    AdoptTerm(Term),
}

pub(super) fn voters_of(membership: &Membership) -> BTreeSet<DiskId> {
    membership.voters().collect()
}

/// Returns the voters once a change is in force.
fn voters_after(membership: &Membership, change: &MembershipChange) -> BTreeSet<DiskId> {
    let mut voters = voters_of(membership);
    match change {
        MembershipChange::AddLearner(..) | MembershipChange::SetMinDisks(_) => {}
        MembershipChange::Promote(disk) => {
            voters.insert(*disk);
        }
        MembershipChange::Remove(disk) => {
            voters.remove(disk);
        }
    }
    voters
}

/// Returns the number of disks that committed entries need before a change as well as after it.
fn min_disks_during(membership: &Membership, change: &MembershipChange) -> usize {
    match change {
        MembershipChange::SetMinDisks(min_disks) => membership.min_disks.min(*min_disks),
        _ => membership.min_disks,
    }
}

/// Returns whether a change must be recorded before it enters the log.
fn needs_record(membership: &Membership, change: &MembershipChange) -> bool {
    matches!(change, MembershipChange::SetMinDisks(_))
        || voters_after(membership, change) != voters_of(membership)
}

/// Returns whether the store names these voters and this number of disks, as written by this leader
/// in its term.
fn is_recorded(input: &GroupInput, voters: &BTreeSet<DiskId>, min_disks: usize) -> bool {
    let record = input.recorded.filter(|_| !input.write_unconfirmed);
    record.is_some_and(|record| {
        record.voters == *voters
            && record.min_disks == min_disks
            && !record.settled
            && record.term == input.status.term
    })
}

/// Returns whether a replica's disk is lost for good, because its node has another one.
pub(super) fn is_superseded(input: &GroupInput, disk: DiskId) -> bool {
    let Some(replica) = input.status.membership.replicas.get(&disk) else {
        return false;
    };
    let present = input.candidates.iter().find(|one| one.node == replica.node);
    present.is_some_and(|one| one.disk != disk)
}

/// State of the maintenance on one node.
#[derive(Debug)]
pub struct GroupManager {
    policy: GroupPolicy,
    /// Disks excluded after failed attempts as learners.
    excluded: ExcludedDisks,
    /// Time since which no leader is known.
    leaderless_since: Option<Instant>,
    /// Last record of voters, and since when it is unchanged.
    recorded: Option<(VoterRecord, Instant)>,
    /// Time since which each voter has exceeded the timeout.
    unresponsive_since: BTreeMap<DiskId, Instant>,
    /// The disks that are catching up, and since when.
    learning_since: BTreeMap<DiskId, Instant>,
}

impl GroupManager {
    /// Creates the state for a group with these desired properties.
    pub fn new(policy: GroupPolicy) -> Self {
        Self {
            policy,
            excluded: ExcludedDisks::new(policy.catch_up),
            leaderless_since: None,
            recorded: None,
            unresponsive_since: BTreeMap::new(),
            learning_since: BTreeMap::new(),
        }
    }

    /// Records the replica's status. Called before the store is queried for the rest of a step's
    /// input.
    pub fn observe(&mut self, now: Instant, status: &GroupStatus) {
        self.update_leader(now, status);
        self.update_unresponsive(now, status);
    }

    /// Updates the state and returns the next step.
    pub fn step(&mut self, now: Instant, input: &GroupInput) -> GroupAction {
        self.observe(now, input.status);
        self.update_record(now, input.recorded);
        if !input.status.holds_log {
            return GroupAction::Idle;
        }
        if let Some(history) = later_history(input) {
            return GroupAction::JoinHistory(history);
        }
        if input.status.leads {
            return match later_term(input) {
                Some(term) => GroupAction::AdoptTerm(term),
                None => self.place_replicas(now, input),
            };
        }
        if input.status.leader.is_none() {
            return self.step_leaderless(now, input);
        }
        GroupAction::Idle
    }

    /// Returns whether a node's disk is no longer needed for accepted jobs, as known by the leader:
    /// the others hold them even if disks are lost right after it, as far as that is tolerated.
    pub fn is_drained(&self, now: Instant, input: &GroupInput, node: &NodeName) -> bool {
        let Some(leaving) = input.leaving else {
            return false;
        };
        let mut replicas = input.status.membership.replicas.values();
        let holds = replicas.any(|replica| replica.node == *node);
        let group = self.group(now, input, leaving);
        !holds && input.status.membership_committed && group.tolerates_losses()
    }

    fn update_leader(&mut self, now: Instant, status: &GroupStatus) {
        if status.leader.is_some() {
            self.leaderless_since = None;
        } else {
            self.leaderless_since.get_or_insert(now);
        }
    }

    fn update_record(&mut self, now: Instant, recorded: Option<&VoterRecord>) {
        let Some(record) = recorded else {
            return;
        };
        let known = self.recorded.as_ref();
        if known.is_none_or(|(known, _)| known != record) {
            self.recorded = Some((record.clone(), now));
        }
    }

    fn update_unresponsive(&mut self, now: Instant, status: &GroupStatus) {
        self.unresponsive_since
            .retain(|disk, _| status.unresponsive.contains(disk));
        for disk in &status.unresponsive {
            self.unresponsive_since.entry(*disk).or_insert(now);
        }
    }

    /// Returns voters that were unresponsive for so long that a replacement would soon have caught
    /// up. They are removed even without a replacement. If one of three voters is lost for good, a
    /// further loss leaves neither a quorum nor proof of what was committed; of two, it leaves one
    /// that can continue.
    fn unresponsive_voters(&self, now: Instant) -> impl Iterator<Item = DiskId> {
        let threshold = self.policy.catch_up.mul_f64(GIVE_UP_FRACTION);
        let unresponsive = self.unresponsive_since.iter();
        unresponsive
            .filter(move |(_, since)| now.saturating_duration_since(**since) >= threshold)
            .map(|(disk, _)| *disk)
    }

    /// Keeps the desired number of replicas on available disks.
    fn place_replicas(&mut self, now: Instant, input: &GroupInput) -> GroupAction {
        // Without the nodes to drain, the leader might add a replica on one of them.
        let Some(leaving) = input.leaving else {
            return GroupAction::Idle;
        };
        let status = input.status;
        let group = self.group(now, input, leaving);
        if leaving.contains(input.node)
            && !group.is_underreplicated()
            && let Some(heir) = group.transfer_target()
        {
            // The next leader removes this replica. It does not know which disks failed as learners, so a leader that
            // is short of copies stays.
            return GroupAction::StepAside(heir);
        }
        let usable = self.usable(now, input, leaving, group.is_underreplicated());
        if !status.membership_committed {
            // Nothing may be recorded that might never enter the log.
            return GroupAction::Idle;
        }
        if let Some(learner) = self.overdue_learner(now, &group)
            && !usable.is_empty()
        {
            let backoff = self.excluded.record_timeout(now, learner);
            return GroupAction::PassOver(learner, backoff);
        }
        let change = group.next_change(&self.least_recently_failed(usable, &group));
        let present = voters_of(&status.membership);
        let Some(change) = change else {
            return settle_record(input, leaving, present, self.policy.min_disks);
        };
        let voters = voters_after(&status.membership, &change);
        let min_disks = min_disks_during(&status.membership, &change);
        if needs_record(&status.membership, &change) && !is_recorded(input, &voters, min_disks) {
            return GroupAction::Record(VoterRecord {
                gone: lost_before(input, &voters),
                voters,
                settled: false,
                term: status.term,
                left_behind: recorded_left_behind(input, leaving, &present, self.policy.min_disks),
                before: vec![present],
                history: status.history,
                begins: false,
                by_survivors: false,
                min_disks,
            });
        }
        if let MembershipChange::Remove(disk) = &change
            && !present.contains(disk)
        {
            // A learner that never responded: its node is registered but lost.
            let backoff = self.excluded.record_timeout(now, *disk);
            return GroupAction::PassOver(*disk, backoff);
        }
        GroupAction::Change(change)
    }

    fn group(&self, now: Instant, input: &GroupInput, leaving: &LeavingNodes) -> GroupView {
        let status = input.status;
        let replicas = || status.membership.replicas.iter();
        let superseded = replicas().filter(|(disk, _)| is_superseded(input, **disk));
        let on_leaving = replicas().filter(|(_, one)| leaving.contains(&one.node));
        GroupView {
            target: self.policy.target_voters,
            min_disks: self.policy.min_disks,
            leader: status.disk,
            membership: status.membership.clone(),
            unresponsive: status.unresponsive.clone(),
            unconfirmed: status.unconfirmed(),
            lost: superseded
                .map(|(disk, _)| *disk)
                .chain(self.unresponsive_voters(now))
                .collect(),
            leaving: on_leaving.map(|(disk, _)| *disk).collect(),
            caught_up: status.caught_up.clone(),
        }
    }

    /// Returns a learner that has been catching up for too long. One that responds but never holds
    /// everything, because its disk is full or slow, would block other disks. It continues from its
    /// position when it is tried again.
    fn overdue_learner(&mut self, now: Instant, group: &GroupView) -> Option<DiskId> {
        let learners: BTreeSet<DiskId> = group.learners().collect();
        self.learning_since
            .retain(|disk, _| learners.contains(disk));
        for disk in learners {
            self.learning_since.entry(disk).or_insert(now);
        }
        let limit = self.policy.catch_up.mul_f64(LEARNER_FRACTION);
        let mut learning = self.learning_since.iter();
        let is_overdue = |since: Instant| now.saturating_duration_since(since) >= limit;
        learning
            .find(|(_, since)| is_overdue(**since))
            .map(|(disk, _)| *disk)
    }

    /// Returns disks that could be added: on nodes that stay, and not excluded after a recent
    /// failure. If the group is short of disks and these have all failed, includes disks on nodes
    /// to drain that are not reported as drained yet.
    fn usable(
        &mut self,
        now: Instant,
        input: &GroupInput,
        leaving: &LeavingNodes,
        short: bool,
    ) -> Vec<Candidate> {
        let membership = &input.status.membership;
        self.excluded.forget(|disk| membership.is_voter(disk));
        let open = input
            .candidates
            .iter()
            .filter(|one| !membership.replicas.contains_key(&one.disk))
            .filter(|one| !self.excluded.is_excluded(now, one.disk))
            .filter(|one| !leaving.done.contains(&one.node));
        let (last, staying): (Vec<&Candidate>, Vec<&Candidate>) =
            open.partition(|one| leaving.open.contains(&one.node));
        let mut usable = staying;
        if short && usable.iter().all(|one| self.excluded.has_failed(one.disk)) {
            usable.extend(last);
        }
        usable.into_iter().cloned().collect()
    }

    /// Returns, of the disks that the group can use, those that never failed, or else the one that failed least
    /// recently. A lost node stays listed, and must not block a disk that may be reachable by now.
    fn least_recently_failed(
        &self,
        mut usable: Vec<Candidate>,
        group: &GroupView,
    ) -> Vec<Candidate> {
        let failed = |one: &Candidate| self.excluded.excluded_until(one.disk);
        usable.retain(|one| group.can_use(one));
        let earliest = usable.iter().map(failed).min();
        usable.retain(|one| Some(failed(one)) == earliest);
        usable
    }

    fn step_leaderless(&self, now: Instant, input: &GroupInput) -> GroupAction {
        if !self.is_listed_since(input) {
            return GroupAction::Idle;
        }
        let since = self.leaderless_since;
        let recorded = self.recorded.as_ref().map(|(_, since)| *since);
        let leaderless = self.leaderless_time(now, since);
        let unchanged = self.leaderless_time(now, since.max(recorded));
        lost_quorum::step(input, self.policy.min_disks, leaderless, unchanged)
    }

    fn leaderless_time(&self, now: Instant, since: Option<Instant>) -> LeaderlessTime {
        let lasts = |share: f64| {
            let threshold = self.policy.catch_up.mul_f64(share);
            since.is_some_and(|since| now.saturating_duration_since(since) >= threshold)
        };
        LeaderlessTime {
            timed_out: lasts(SILENCE_FRACTION),
            catch_up_elapsed: lasts(CONTINUE_ALONE_FRACTION),
        }
    }

    /// Returns whether the store was listed since the leader was lost.
    fn is_listed_since(&self, input: &GroupInput) -> bool {
        let since = self.leaderless_since;
        since.is_some_and(|since| input.listed_at.is_some_and(|listed| listed >= since))
    }
}

/// Returns those of these voters whose disks are known to be lost before they become the voters. If
/// the record names these voters already, its list is used: more of them may have been present when
/// it was written.
fn lost_before(input: &GroupInput, voters: &BTreeSet<DiskId>) -> BTreeSet<DiskId> {
    let recorded = input.recorded.filter(|record| record.voters == *voters);
    if let Some(record) = recorded {
        return record.gone.clone();
    }
    let disks = voters.iter().copied();
    disks.filter(|disk| is_superseded(input, *disk)).collect()
}

/// Returns the later history that the record names and that this replica must join. Other disks
/// continued in it; a replica that stays in the earlier one would overwrite the record and be a
/// second leader. A disk that is to begin the history does so by continuing, unless it still leads.
fn later_history(input: &GroupInput) -> Option<u64> {
    let record = input.recorded?;
    let begins = record.is_begun_by(input.status.disk) && !input.status.leads;
    (record.history > input.status.history && !begins).then_some(record.history)
}

/// Returns the term of the record if it is later than this leader's. A later leader or survivors of
/// a lost quorum wrote it while this process was suspended, and its own membership may be out of
/// force. As the record is changed by compare-and-set, no leader overwrites one of a later term.
fn later_term(input: &GroupInput) -> Option<Term> {
    let record = input.recorded?;
    let same_history = record.history == input.status.history;
    (same_history && record.term > input.status.term).then_some(record.term)
}

/// Returns the sets of disks that were left behind, while too few voters to accept anything commit: each holds all
/// accepted jobs. If the record does not name the voters in force, they continued as survivors, and a leader of the
/// group before has overwritten their record.
fn recorded_left_behind(
    input: &GroupInput,
    leaving: &LeavingNodes,
    present: &BTreeSet<DiskId>,
    min_disks: usize,
) -> Vec<BTreeSet<DiskId>> {
    let accepts = input.status.membership.quorum() >= min_disks;
    let Some(record) = input.recorded.filter(|_| !accepts) else {
        return Vec::new();
    };
    match record.possible_voters().contains(present) {
        true => record.left_behind.clone(),
        false => sets_left_behind(input, leaving, record, min_disks, present),
    }
}

/// Records that the change to these voters is committed. Disks that were left behind stay recorded
/// while fewer disks than `accepting_disks` commit, as nothing is accepted meanwhile.
fn settle_record(
    input: &GroupInput,
    leaving: &LeavingNodes,
    voters: BTreeSet<DiskId>,
    accepting_disks: usize,
) -> GroupAction {
    let Some(record) = input.recorded else {
        return GroupAction::Idle;
    };
    let min_disks = input.status.membership.min_disks;
    let current = record.voters == voters && record.min_disks == min_disks;
    if record.settled && current && !input.write_unconfirmed {
        return GroupAction::Idle;
    }
    let mut left_behind = recorded_left_behind(input, leaving, &voters, accepting_disks);
    left_behind.retain(|disks| !disks.is_subset(&voters));
    // Voters that the record doesn't name were in force before; lost ones may have been present
    // then.
    let known = record.voters == voters;
    let lost = record.gone.iter().copied().filter(|_| known);
    GroupAction::Record(VoterRecord {
        gone: lost.collect(),
        voters,
        settled: true,
        term: input.status.term,
        before: Vec::new(),
        left_behind,
        history: input.status.history,
        begins: false,
        by_survivors: false,
        min_disks,
    })
}
