//! Decides which replicas continue after a group has lost its quorum. No I/O; the state is passed
//! in.
//!
//! A quorum of each group that may be in force holds everything committed. The remaining disks
//! therefore hold it if they intersect every such quorum, and then no other disks can commit
//! anything without them. The record of voters names these groups. Disks that continue write
//! themselves to the record first, by compare-and-set, in a term after each known one: a leader that
//! was suspended meanwhile must not overwrite it.
//!
//! A disk that a single voter left behind needs no such proof. It begins a later history by writing
//! the record; the single voter has to write the record before it accepts anything, and is then
//! excluded.

use super::group_manager::{GroupAction, GroupInput, LeavingNodes, is_superseded, voters_of};
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

fn quorum_of(voters: &BTreeSet<DiskId>) -> usize {
    voters.len() / 2 + 1
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
        ..VoterRecord::default()
    };
    let record = input.recorded.unwrap_or(&unrecorded);
    let local = input.status.disk;
    if record.is_begun_by(local) {
        return begin_history(input, record);
    }
    if record.left_behind == Some(local) {
        return step_left_behind(input, record, unchanged);
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
    let lost_quorum = present.intersection(remaining).count() < quorum_of(&present);
    let certain = possible.iter().all(|voters| {
        let never_held = record.never_held(voters);
        intersects_quorums(remaining, voters, &never_held) && excludes_other_commits(&sets, voters)
    });
    if !lost_quorum || !certain || !remaining.contains(&local) {
        return GroupAction::Idle;
    }
    match survivors(input, remaining) {
        Some(replicas) => continue_with(input, leaving, record, replicas, possible),
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
    if record.voters == voters_of(&input.status.committed_membership) {
        possible.truncate(1);
    }
    // A group too small to accept anything doesn't bind replicas whose log names its successor.
    if record.voters == present {
        possible.retain(|voters| *voters == present || quorum_of(voters) >= min_disks);
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
    let answers =
        |disk: &DiskId| *disk == input.status.disk || input.status.responsive.contains(disk);
    let (remaining, unresponsive) = alive.iter().copied().partition(answers);
    DiskSets {
        remaining,
        unresponsive,
    }
}

/// Returns whether the remaining disks exclude commits by others: each quorum that the unresponsive
/// voters could form with help of remaining ones contains a disk that knows what the remaining ones
/// commit.
fn excludes_other_commits(sets: &DiskSets, voters: &BTreeSet<DiskId>) -> bool {
    let unresponsive = sets.unresponsive.intersection(voters).count();
    let helpers = quorum_of(voters).saturating_sub(unresponsive);
    quorum_of(&sets.remaining) + helpers > sets.remaining.len()
}

/// Returns whether each quorum of these voters that may have committed something contains a
/// remaining disk.
fn intersects_quorums(
    remaining: &BTreeSet<DiskId>,
    voters: &BTreeSet<DiskId>,
    never_held: &BTreeSet<DiskId>,
) -> bool {
    let lost = voters.difference(remaining);
    lost.filter(|disk| !never_held.contains(*disk)).count() < quorum_of(voters)
}

/// Returns whether a disk was on a node that was reported as drained.
fn is_drained_disk(input: &GroupInput, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = input.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns the next step of a disk that a single voter left behind.
///
/// It holds all accepted jobs, as the single voter can accept nothing before it has written its
/// next voters to the record. Once this disk is recorded first, it needs no proof that the other
/// one is lost: a replica that stays in the earlier history is excluded.
fn step_left_behind(
    input: &GroupInput,
    record: &VoterRecord,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let local = input.status.disk;
    let others = record.voters.iter().copied().filter(|disk| *disk != local);
    let (lost, present): (Vec<DiskId>, Vec<DiskId>) =
        others.partition(|disk| is_superseded(input, *disk));
    match (&lost[..], &present[..]) {
        (_, []) => record_next_history(input, record, BTreeSet::from([local]), Vec::new(), None),
        ([], [single]) => {
            if !unchanged.timed_out {
                return GroupAction::Idle;
            }
            let Some(leaving) = input.leaving else {
                return GroupAction::ListLeaving;
            };
            let pair = BTreeSet::from([local, *single]);
            if !unchanged.catch_up_elapsed && !has_replacement(input, leaving, &pair) {
                return GroupAction::Idle;
            }
            record_next_history(
                input,
                record,
                BTreeSet::from([local]),
                Vec::new(),
                Some(*single),
            )
        }
        // The single voter was about to promote a learner. If that change is in the learner's log,
        // its log is the longer one and holds everything; otherwise this disk holds everything.
        ([single], [learner]) if record.before == [BTreeSet::from([*single])] => {
            let before = vec![record.voters.clone()];
            record_next_history(
                input,
                record,
                BTreeSet::from([local, *learner]),
                before,
                None,
            )
        }
        _ => GroupAction::Idle,
    }
}

/// Records that these disks begin the next history. Until they have, one of them may hold entries
/// that only a group in `before` has committed.
fn record_next_history(
    input: &GroupInput,
    record: &VoterRecord,
    voters: BTreeSet<DiskId>,
    before: Vec<BTreeSet<DiskId>>,
    left_behind: Option<DiskId>,
) -> GroupAction {
    GroupAction::Record(VoterRecord {
        voters,
        settled: false,
        term: input.status.term,
        before,
        gone: BTreeSet::new(),
        left_behind,
        history: record.history + 1,
        begins: true,
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
    })
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
    replicas: BTreeMap<DiskId, ReplicaInfo>,
    possible: Vec<BTreeSet<DiskId>>,
) -> GroupAction {
    let voters: BTreeSet<DiskId> = replicas.keys().copied().collect();
    let history = input.status.history;
    if record.voters == voters && !record.settled && !input.write_unconfirmed {
        return GroupAction::ContinueWith(Survivors {
            replicas,
            never_held: record.gone.clone(),
            left_behind: false,
            history,
        });
    }
    GroupAction::Record(VoterRecord {
        left_behind: other_of_pair(input, leaving, record, &voters),
        voters,
        settled: false,
        term: input.status.term.max(record.term) + 1,
        gone: record.never_held(possible.first().unwrap_or(&BTreeSet::new())),
        before: possible,
        history,
        begins: false,
    })
}

/// Returns the other disk of a pair that one voter continues without. `None` if the pair may not be
/// in force yet, since that disk need not hold what was accepted before.
fn other_of_pair(
    input: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> Option<DiskId> {
    let pair = voters_of(&input.status.membership);
    let mut recorded = record.possible_voters();
    recorded.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(input, leaving, *disk))
    });
    let in_force = recorded.iter().all(|voters| *voters == pair)
        || pair == voters_of(&input.status.committed_membership);
    let alone = voters.len() == 1 && pair.len() == 2 && in_force;
    pair.difference(voters).copied().find(|_| alone)
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
