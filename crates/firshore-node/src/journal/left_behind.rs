//! Decides whether disks that were left behind begin a later history. No I/O; the state is passed in.
//!
//! A group whose quorum has too few disks accepts nothing. While every group that may be in force is such a
//! group, all accepted jobs are where they were: on each set of disks that intersects every quorum of the last
//! group that could accept something. The record of voters names these sets. Any of them may begin a later
//! history by writing the record, and needs no proof that the others are lost: those have to write the record
//! before they accept anything, and are then excluded.

use super::group_manager::{GroupAction, GroupInput, LeavingNodes, is_superseded};
use super::lost_quorum::{
    LeaderlessTime, has_replacement, is_drained_disk, is_known_committed, responds, survivors,
};
use super::registry::VoterRecord;
use firshore_replication::replica::{Survivors, history_of};
use firshore_replication::types::DiskId;
use std::collections::BTreeSet;

/// Returns the next step of the first of these sets that has one due. `unchanged` counts from the last change of
/// the record, or from the loss of the leader if that is later.
pub fn step(
    input: &GroupInput,
    record: &VoterRecord,
    sets: &[&BTreeSet<DiskId>],
    min_disks: usize,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let steps = sets.iter();
    let mut steps = steps.map(|disks| step_of_set(input, record, disks, min_disks, unchanged));
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
    if others.is_empty() {
        return GroupAction::Idle;
    }
    let (lost, present): (BTreeSet<DiskId>, BTreeSet<DiskId>) =
        others.iter().partition(|disk| is_superseded(input, **disk));
    let all_lost = present.is_empty();
    if !all_lost && !holds_everything(disks, record, min_disks) {
        return step_with_learner(input, record, disks, min_disks, &lost, &present);
    }
    // All of the set must vote; without one of them, the voters or another set may continue.
    if !disks.iter().all(|disk| responds(input, *disk)) {
        return GroupAction::Idle;
    }
    let recorded_respond = record.voters.iter().all(|disk| responds(input, *disk));
    let waits = !unchanged.timed_out || recorded_respond && !disks.is_disjoint(&record.voters);
    if !all_lost && waits {
        return GroupAction::Idle;
    }
    let Some(leaving) = input.leaving else {
        return GroupAction::ListLeaving;
    };
    if disks
        .iter()
        .any(|disk| is_drained_disk(input, leaving, *disk))
    {
        return GroupAction::Idle;
    }
    let all = disks.union(&others).copied().collect();
    if !all_lost && !unchanged.catch_up_elapsed && !has_replacement(input, leaving, &all) {
        return GroupAction::Idle;
    }
    record_next_history(input, record, min_disks, disks.clone(), Vec::new())
}

/// Returns the next step if all recorded voters are lost and nobody else has continued: the first of these sets
/// whose disks are all listed is recorded although not all of them respond. Replicas without a vote find each other only by the record.
pub fn step_unheard(
    input: &GroupInput,
    record: &VoterRecord,
    sets: &[&BTreeSet<DiskId>],
    min_disks: usize,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let all_lost = record.voters.iter().all(|disk| is_superseded(input, *disk));
    let mut listed = sets
        .iter()
        .filter(|disks| survivors(input, disks).is_some());
    match listed.next() {
        Some(disks) if all_lost && unchanged.timed_out => {
            record_next_history(input, record, min_disks, (*disks).clone(), Vec::new())
        }
        _ => GroupAction::Idle,
    }
}

/// Returns whether these disks hold everything accepted: each recorded group is too small to accept
/// anything, or its quorums contain one of them.
fn holds_everything(disks: &BTreeSet<DiskId>, record: &VoterRecord, min_disks: usize) -> bool {
    let groups = record.possible_voters();
    let mut accepting = groups.iter().filter(|voters| may_accept(voters, min_disks));
    accepting.all(|voters| is_in_each_quorum(disks, record, voters))
}

/// Returns whether these voters may accept something that must be on `min_disks` disks. Their log may require more
/// disks for a commit than the record, so the number of voters counts.
pub(super) fn may_accept(voters: &BTreeSet<DiskId>, min_disks: usize) -> bool {
    voters.len() >= min_disks
}

fn is_in_each_quorum(
    disks: &BTreeSet<DiskId>,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> bool {
    voters.difference(disks).count() < record.quorum_of(voters)
}

/// Returns the next step of a disk that a single voter left behind before it lost its own disk, about
/// to promote a learner. If that change is in the learner's log, its log is the longer one and holds
/// everything; otherwise the disk left behind does.
fn step_with_learner(
    input: &GroupInput,
    record: &VoterRecord,
    disks: &BTreeSet<DiskId>,
    min_disks: usize,
    lost: &BTreeSet<DiskId>,
    present: &BTreeSet<DiskId>,
) -> GroupAction {
    let by_single = lost.len() == 1 && record.before == [lost.clone()];
    if !by_single || present.len() != 1 || disks.len() != 1 {
        return GroupAction::Idle;
    }
    let voters = disks.union(present).copied().collect();
    let before = vec![record.voters.clone()];
    record_next_history(input, record, min_disks, voters, before)
}

/// Records that these disks begin the next history. Until they have begun it, one of them may hold entries that
/// only a group in `before` has committed.
fn record_next_history(
    input: &GroupInput,
    record: &VoterRecord,
    min_disks: usize,
    voters: BTreeSet<DiskId>,
    before: Vec<BTreeSet<DiskId>>,
) -> GroupAction {
    let Some(leaving) = input.leaving else {
        return GroupAction::ListLeaving;
    };
    GroupAction::Record(VoterRecord {
        left_behind: sets_left_behind(input, leaving, record, min_disks, &voters),
        voters,
        settled: false,
        term: input.status.term,
        before,
        gone: BTreeSet::new(),
        history: record.history + 1,
        begins: true,
        by_survivors: false,
        min_disks: record.min_disks,
    })
}

/// Continues in the history that this disk begins according to the record.
pub fn begin_history(input: &GroupInput, record: &VoterRecord) -> GroupAction {
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

/// Returns whether this replica's log holds an entry of the recorded history. All disks that begin it elected
/// its first leader, so the log then holds everything that any of them held.
pub fn has_begun(input: &GroupInput, record: &VoterRecord) -> bool {
    history_of(input.status.last.term) >= record.history
}

/// Returns the sets of disks that hold all accepted jobs, other than `voters`, which are about to continue or to
/// begin a history.
pub fn sets_left_behind(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    min_disks: usize,
    voters: &BTreeSet<DiskId>,
) -> Vec<BTreeSet<DiskId>> {
    let known = record.left_behind.iter().cloned();
    let mut sets: BTreeSet<BTreeSet<DiskId>> = known
        .filter(|disks| holds_everything(disks, record, min_disks))
        .collect();
    sets.extend(complete_sets(input, leaving, record, min_disks));
    sets.remove(voters);
    let is_lost = |disks: &BTreeSet<DiskId>| disks.iter().any(|disk| is_superseded(input, *disk));
    sets.into_iter().filter(|disks| !is_lost(disks)).collect()
}

/// Returns the smallest sets of disks of the recorded groups that hold all accepted jobs. Each intersects every
/// quorum of the oldest group that may be in force, which holds what was accepted before it, and of each later
/// one that may have accepted something.
fn complete_sets(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    min_disks: usize,
) -> Vec<BTreeSet<DiskId>> {
    if !record.settled && (record.begins || record.by_survivors) {
        // Each may hold what the others lack until they have elected a leader. Smaller sets are known already.
        return vec![record.voters.clone()];
    }
    let mut groups = record.possible_voters();
    if is_known_committed(input, record) {
        groups.truncate(1);
    }
    groups.retain(|voters| {
        let mut disks = voters.iter();
        !disks.any(|disk| is_drained_disk(input, leaving, *disk))
    });
    let Some(oldest) = groups.pop() else {
        return Vec::new();
    };
    groups.retain(|voters| may_accept(voters, min_disks));
    groups.push(oldest);
    let smallest = groups.iter().flat_map(|voters| {
        let disks: Vec<DiskId> = voters.iter().copied().collect();
        subsets(&disks, voters.len() + 1 - record.quorum_of(voters))
    });
    let is_complete = |disks: &BTreeSet<DiskId>| {
        let mut groups = groups.iter();
        groups.all(|voters| is_in_each_quorum(disks, record, voters))
    };
    smallest.filter(is_complete).collect()
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
