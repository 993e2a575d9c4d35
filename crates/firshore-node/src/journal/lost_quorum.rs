//! Decides which replicas continue after a group has lost its quorum. No I/O; the state is passed
//! in.
//!
//! A quorum of each group that may be in force holds everything committed. The remaining disks
//! therefore hold it if they intersect every such quorum, and then no other disks can commit
//! anything without them. The record of voters names these groups. Disks that continue write
//! themselves to the record first, by compare-and-set, in a term after each known one: a leader that
//! was suspended meanwhile must not overwrite it.
//!
//! Disks that too few voters to accept anything left behind need no such proof, see
//! [`left_behind`](super::left_behind).

use super::group_manager::{GroupAction, GroupInput, LeavingNodes, is_superseded, voters_of};
use super::left_behind::{self, may_accept};
use super::registry::VoterRecord;
use firshore_replication::replica::Survivors;
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
    let sets = record.left_behind.iter();
    // A set that has some of each group takes over only where the voters cannot continue in their history.
    let groups = record.possible_voters();
    let is_left_out =
        |disks: &BTreeSet<DiskId>| groups.iter().any(|voters| disks.is_disjoint(voters));
    let (left_out, overlapping): (Vec<_>, Vec<_>) = sets
        .filter(|disks| disks.contains(&local))
        .partition(|disks| is_left_out(disks));
    let begin =
        |sets: &[&BTreeSet<DiskId>]| left_behind::step(input, record, sets, min_disks, unchanged);
    let awaits_history = record.is_begun_by(local) && !left_behind::has_begun(input, record);
    let steps = [
        begin(&left_out),
        match awaits_history {
            true => GroupAction::Idle,
            false => step_of_voters(input, record, min_disks, leaderless),
        },
        begin(&overlapping),
        match awaits_history {
            true => left_behind::begin_history(input, record),
            false => GroupAction::Idle,
        },
        left_behind::step_unheard(input, record, &left_out, min_disks, unchanged),
    ];
    let mut due = steps.into_iter().filter(|step| *step != GroupAction::Idle);
    due.next().unwrap_or(GroupAction::Idle)
}

/// Returns the next step of a replica that is one of the recorded voters.
fn step_of_voters(
    input: &GroupInput,
    record: &VoterRecord,
    min_disks: usize,
    leaderless: LeaderlessTime,
) -> GroupAction {
    let local = input.status.disk;
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
    let has_begun = record.begins && left_behind::has_begun(input, record);
    if has_begun || is_known_committed(input, record) {
        possible.truncate(1);
    }
    // A group too small to accept anything doesn't bind replicas whose log names its successor.
    if record.voters == present && holds_recorded_term(input, record) {
        possible.retain(|voters| *voters == present || may_accept(voters, min_disks));
    }
    // A node is reported as drained only once the change that removed its disk is committed.
    possible.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(input, leaving, *disk))
    });
    possible
}

/// Returns whether this replica's log shows that the recorded change is committed.
pub(super) fn is_known_committed(input: &GroupInput, record: &VoterRecord) -> bool {
    let committed = voters_of(&input.status.committed_membership);
    record.voters == committed && holds_recorded_term(input, record)
}

/// Returns whether this replica's log holds entries of the term in which the voters were recorded. Otherwise the same
/// voters in the log may be a group from before the one that recorded them.
fn holds_recorded_term(input: &GroupInput, record: &VoterRecord) -> bool {
    input.status.last.term >= record.term
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
pub(super) fn responds(input: &GroupInput, disk: DiskId) -> bool {
    disk == input.status.disk || input.status.responsive.contains(&disk)
}

/// Returns whether a disk was on a node that was reported as drained.
pub(super) fn is_drained_disk(input: &GroupInput, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = input.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns the addresses of these disks' replicas, if all are listed.
pub(super) fn survivors(
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
        left_behind: left_behind::sets_left_behind(input, leaving, record, min_disks, &voters),
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
        by_survivors: true,
        min_disks: record.min_disks,
    })
}

/// Returns whether a disk beyond these could hold a replica, on any node that is not drained. Nodes
/// to drain count too, as they are better than none.
pub(super) fn has_replacement(
    input: &GroupInput,
    leaving: &LeavingNodes,
    pair: &BTreeSet<DiskId>,
) -> bool {
    let mut present = input
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    present.any(|candidate| !pair.contains(&candidate.disk))
}
