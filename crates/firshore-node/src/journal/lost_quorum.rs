//! Decides which replicas continue after a group has lost its quorum. No I/O; the state is passed
//! in.
//!
//! A quorum of each group that may be in force holds everything committed. The remaining disks
//! therefore hold it if they intersect every such quorum, and then no other disks can commit
//! anything without them. The record of voters names these groups. Disks that continue write
//! themselves to the record first, by compare-and-set, in a term after each known one: a leader that
//! was suspended meanwhile must not overwrite it.
//!
//! Disks that too few voters to accept anything left behind need no such proof, if together they hold
//! everything. They begin a later history by writing the record; the others have to write the record
//! before they accept anything, and are then excluded.

use super::group_manager::{GroupAction, GroupInput, LeavingNodes, is_superseded, voters_of};
use super::registry::VoterRecord;
use firshore_replication::replica::{Survivors, history_of};
use firshore_replication::types::{DiskId, ReplicaInfo, ReplicaRole};
use std::collections::{BTreeMap, BTreeSet};

/// Which limits the time without a leader exceeds.
#[derive(Clone, Copy, Debug)]
pub struct LeaderlessTime {
    /// It exceeds the timeout of a replica.
    pub timed_out: bool,
    /// It exceeds the time in which a new disk has to catch up.
    pub catch_up_elapsed: bool,
}

/// Returns the next step of a replica without a leader. `min_disks` disks have to hold accepted
/// jobs; `unchanged` counts from the last change of the record if that is later.
pub fn step(
    input: &GroupInput,
    min_disks: usize,
    leaderless: LeaderlessTime,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let unrecorded = VoterRecord {
        voters: voters_of(&input.status.membership),
        settled: true,
        min_disks: input.status.membership.min_disks,
        ..VoterRecord::default()
    };
    let record = input.recorded.unwrap_or(&unrecorded);
    let local = input.status.disk;
    // A disk left behind by an earlier group may also be one of the voters that continue.
    let left_behind = step_left_behind(input, record, min_disks, unchanged);
    if left_behind != GroupAction::Idle {
        return left_behind;
    }
    if record.is_begun_by(local) && !has_begun(input, record) {
        return begin_history(input, record);
    }
    if !record
        .possible_voters()
        .iter()
        .any(|voters| voters.contains(&local))
    {
        // This replica was removed and must not continue.
        return GroupAction::Idle;
    }
    let present = voters_of(&input.status.membership);
    let superseded = present.iter().any(|disk| is_superseded(input, *disk));
    if !(leaderless.timed_out || superseded) || !record.names_groups() {
        return GroupAction::Idle;
    }
    let Some(leaving) = input.leaving else {
        return GroupAction::ListLeaving;
    };
    let possible = possible_groups(input, leaving, record, min_disks);
    let sets = disk_sets(input, leaving, &possible, leaderless);
    let remaining = &sets.remaining;
    let lost_quorum = present.intersection(remaining).count() < input.status.membership.quorum();
    let certain = possible.iter().all(|voters| {
        intersects_quorums(remaining, record, voters)
            && excludes_other_commits(&sets, record, voters)
    });
    if !lost_quorum || !certain || !remaining.contains(&local) {
        return GroupAction::Idle;
    }
    match survivors(input, remaining) {
        Some(replicas) => continue_with(input, leaving, record, min_disks, replicas, possible),
        None => GroupAction::Idle,
    }
}

/// Returns the groups that may be in force and may have accepted something.
fn possible_groups(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    min_disks: usize,
) -> Vec<BTreeSet<DiskId>> {
    let present = voters_of(&input.status.membership);
    let mut possible = record.possible_voters();
    let has_begun = record.begins && has_begun(input, record);
    if has_begun || record.voters == voters_of(&input.status.committed_membership) {
        possible.truncate(1);
    }
    // A group too small to accept anything doesn't bind replicas whose log names its successor.
    if record.voters == present {
        possible.retain(|voters| *voters == present || record.quorum_of(voters) >= min_disks);
    }
    // A node is reported as drained only once the change that removed its disk is committed.
    possible.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(input, leaving, *disk))
    });
    possible
}

/// The disks of the groups that may be in force.
struct DiskSets {
    /// Disks that continue.
    remaining: BTreeSet<DiskId>,
    /// Disks that don't respond but may return with their data.
    unresponsive: BTreeSet<DiskId>,
}

/// Returns which disks of these groups remain. Unresponsive ones are waited for: for the whole
/// catch-up time, or for less if another disk can replace them. Meanwhile accepted jobs are on too
/// few disks, and the next tolerated loss may lose them.
fn disk_sets(
    input: &GroupInput,
    leaving: &LeavingNodes,
    possible: &[BTreeSet<DiskId>],
    leaderless: LeaderlessTime,
) -> DiskSets {
    let all: BTreeSet<DiskId> = possible.iter().flatten().copied().collect();
    let alive = all.iter().copied();
    let alive: BTreeSet<DiskId> = alive.filter(|disk| !is_superseded(input, *disk)).collect();
    let early = leaderless.timed_out && has_replacement(input, leaving, &all);
    if !early && !leaderless.catch_up_elapsed {
        return DiskSets {
            remaining: alive,
            unresponsive: BTreeSet::new(),
        };
    }
    let (remaining, unresponsive) = alive.iter().partition(|disk| responds(input, **disk));
    DiskSets {
        remaining,
        unresponsive,
    }
}

/// Returns whether the remaining disks exclude commits by others: each quorum that the unresponsive
/// voters could form with help of remaining ones contains a disk that knows what the remaining ones
/// commit.
fn excludes_other_commits(
    sets: &DiskSets,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> bool {
    let unresponsive = sets.unresponsive.intersection(voters).count();
    let helpers = record.quorum_of(voters).saturating_sub(unresponsive);
    record.quorum_of(&sets.remaining) + helpers > sets.remaining.len()
}

/// Returns whether each quorum of these voters that may have committed something contains a
/// remaining disk.
fn intersects_quorums(
    remaining: &BTreeSet<DiskId>,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> bool {
    let never_held = record.never_held(voters);
    let lost = voters.difference(remaining);
    let lost = lost.filter(|disk| !never_held.contains(*disk)).count();
    lost < record.quorum_of(voters)
}

/// Returns whether this disk is the local one, or its replica has responded recently.
fn responds(input: &GroupInput, disk: DiskId) -> bool {
    disk == input.status.disk || input.status.responsive.contains(&disk)
}

/// Returns whether a disk was on a node that was reported as drained.
fn is_drained_disk(input: &GroupInput, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = input.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns the next step of a disk that was left behind.
///
/// A set of disks left behind holds all accepted jobs, as those that left it can accept nothing before
/// they have written enough voters to the record. Once such a set is recorded first, it needs no proof
/// that the others are lost: a replica that stays in the earlier history is excluded.
fn step_left_behind(
    input: &GroupInput,
    record: &VoterRecord,
    min_disks: usize,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let sets = record.left_behind.iter();
    let mut steps = sets
        .filter(|disks| disks.contains(&input.status.disk))
        .map(|disks| step_of_set(input, record, disks, min_disks, unchanged));
    let due = steps.find(|step| *step != GroupAction::Idle);
    due.unwrap_or(GroupAction::Idle)
}

fn step_of_set(
    input: &GroupInput,
    record: &VoterRecord,
    disks: &BTreeSet<DiskId>,
    min_disks: usize,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let others: BTreeSet<DiskId> = record.voters.difference(disks).copied().collect();
    let (lost, present): (BTreeSet<DiskId>, BTreeSet<DiskId>) =
        others.iter().partition(|disk| is_superseded(input, **disk));
    let all_lost = present.is_empty();
    if !all_lost && !holds_everything(disks, record, min_disks) {
        return step_with_learner(input, record, disks, &lost, &present);
    }
    // All of the set must vote; without one of them, the voters or another set may continue.
    if !disks.iter().all(|disk| responds(input, *disk)) {
        return GroupAction::Idle;
    }
    if all_lost {
        return record_next_history(input, record, disks.clone(), Vec::new(), None);
    }
    if !unchanged.timed_out {
        return GroupAction::Idle;
    }
    let Some(leaving) = input.leaving else {
        return GroupAction::ListLeaving;
    };
    let all = disks.union(&others).copied().collect();
    if !unchanged.catch_up_elapsed && !has_replacement(input, leaving, &all) {
        return GroupAction::Idle;
    }
    // The others may do the same later, if they are a whole group.
    let is_group = disks.is_disjoint(&record.voters) || record.before.contains(&others);
    let others = (lost.is_empty() && is_group).then_some(others);
    record_next_history(input, record, disks.clone(), Vec::new(), others)
}

/// Returns whether these disks hold everything accepted: each recorded group is too small to accept
/// anything, or its quorums contain one of them.
fn holds_everything(disks: &BTreeSet<DiskId>, record: &VoterRecord, min_disks: usize) -> bool {
    record.possible_voters().iter().all(|voters| {
        let quorum = record.quorum_of(voters);
        quorum < min_disks || voters.difference(disks).count() < quorum
    })
}

/// Returns the next step of a disk that a single voter left behind before it lost its own disk, about
/// to promote a learner. If that change is in the learner's log, its log is the longer one and holds
/// everything; otherwise the disk left behind does.
fn step_with_learner(
    input: &GroupInput,
    record: &VoterRecord,
    disks: &BTreeSet<DiskId>,
    lost: &BTreeSet<DiskId>,
    present: &BTreeSet<DiskId>,
) -> GroupAction {
    let by_single = lost.len() == 1 && record.before == [lost.clone()];
    if !by_single || present.len() != 1 || disks.len() != 1 {
        return GroupAction::Idle;
    }
    let voters = disks.union(present).copied().collect();
    let before = vec![record.voters.clone()];
    record_next_history(input, record, voters, before, None)
}

/// Records that these disks begin the next history, and that `others` hold all accepted jobs as well.
/// Until they have begun it, one of them may hold entries that only a group in `before` has committed.
fn record_next_history(
    input: &GroupInput,
    record: &VoterRecord,
    voters: BTreeSet<DiskId>,
    before: Vec<BTreeSet<DiskId>>,
    others: Option<BTreeSet<DiskId>>,
) -> GroupAction {
    let mut left_behind = record.left_behind.clone();
    left_behind.retain(|disks| disks.is_disjoint(&voters));
    left_behind.extend(others);
    GroupAction::Record(VoterRecord {
        voters,
        settled: false,
        term: input.status.term,
        before,
        gone: BTreeSet::new(),
        left_behind,
        history: record.history + 1,
        begins: true,
        min_disks: record.min_disks,
    })
}

/// Continues in the history that this disk begins according to the record.
fn begin_history(input: &GroupInput, record: &VoterRecord) -> GroupAction {
    let Some(replicas) = survivors(input, &record.voters) else {
        return GroupAction::Idle;
    };
    if input.write_unconfirmed {
        return GroupAction::Record(record.clone());
    }
    GroupAction::ContinueWith(Survivors {
        replicas,
        never_held: BTreeSet::new(),
        left_behind: true,
        history: record.history,
        min_term: 0,
    })
}

/// Returns whether this replica's log holds an entry of the recorded history. All disks that begin it elected its
/// first leader, so the log then holds everything that any of them held.
fn has_begun(input: &GroupInput, record: &VoterRecord) -> bool {
    history_of(input.status.last.term) >= record.history
}

/// Returns the addresses of these disks' replicas, if all are listed.
fn survivors(
    input: &GroupInput,
    disks: &BTreeSet<DiskId>,
) -> Option<BTreeMap<DiskId, ReplicaInfo>> {
    let place = |disk: &DiskId| {
        let candidate = input.candidates.iter().find(|one| one.disk == *disk)?;
        Some((*disk, candidate.info(ReplicaRole::Voter)))
    };
    disks.iter().map(place).collect()
}

fn continue_with(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    min_disks: usize,
    replicas: BTreeMap<DiskId, ReplicaInfo>,
    possible: Vec<BTreeSet<DiskId>>,
) -> GroupAction {
    let voters: BTreeSet<DiskId> = replicas.keys().copied().collect();
    let history = input.status.history;
    // The others of those that begin a history may not hold an entry of it. So the fewer ones begin it again.
    let begins = record.begins && !record.settled;
    if record.voters == voters && !record.settled && !input.write_unconfirmed {
        return GroupAction::ContinueWith(Survivors {
            replicas,
            never_held: record.gone.clone(),
            left_behind: false,
            history,
            min_term: record.term,
        });
    }
    GroupAction::Record(VoterRecord {
        left_behind: sets_left_behind(input, leaving, record, min_disks, &voters),
        voters,
        settled: false,
        term: input.status.term.max(record.term) + 1,
        gone: record.never_held(possible.first().unwrap_or(&BTreeSet::new())),
        before: match begins {
            true => Vec::new(),
            false => possible,
        },
        history,
        begins,
        min_disks: record.min_disks,
    })
}

/// Returns the sets of disks that hold all accepted jobs and without which these voters continue. Empty
/// if these voters may be enough to accept something.
fn sets_left_behind(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    min_disks: usize,
    voters: &BTreeSet<DiskId>,
) -> Vec<BTreeSet<DiskId>> {
    if record.quorum_of(voters) >= min_disks {
        return Vec::new();
    }
    let mut sets = record.left_behind.clone();
    sets.retain(|disks| disks != voters && holds_everything(disks, record, min_disks));
    for disks in sets_left_out(input, leaving, record, voters) {
        if !sets.contains(&disks) {
            sets.push(disks);
        }
    }
    sets
}

/// Returns the sets of disks of the present group without which these voters continue, and each of which
/// holds all accepted jobs as it intersects each quorum. Empty if the group may not be in force yet, since
/// its disks need not hold what was accepted before.
fn sets_left_out(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> Vec<BTreeSet<DiskId>> {
    let membership = &input.status.membership;
    let group = voters_of(membership);
    let mut recorded = record.possible_voters();
    recorded.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(input, leaving, *disk))
    });
    let in_force = recorded.iter().all(|voters| *voters == group)
        || group == voters_of(&input.status.committed_membership);
    if !in_force {
        return Vec::new();
    }
    let left_out = group.difference(voters).copied();
    let left_out: Vec<DiskId> = left_out
        .filter(|disk| !is_superseded(input, *disk))
        .collect();
    subsets(&left_out, group.len() + 1 - membership.quorum())
}

/// Returns the subsets of these disks that have `len` disks.
fn subsets(disks: &[DiskId], len: usize) -> Vec<BTreeSet<DiskId>> {
    if len == 0 {
        return vec![BTreeSet::new()];
    }
    let Some((first, rest)) = disks.split_first() else {
        return Vec::new();
    };
    let mut sets = subsets(rest, len - 1);
    for set in &mut sets {
        set.insert(*first);
    }
    sets.extend(subsets(rest, len));
    sets
}

/// Returns whether a disk beyond these could hold a replica, on any node that is not drained. Nodes
/// to drain count too, as they are better than none.
fn has_replacement(input: &GroupInput, leaving: &LeavingNodes, pair: &BTreeSet<DiskId>) -> bool {
    let mut present = input
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    present.any(|candidate| !pair.contains(&candidate.disk))
}
