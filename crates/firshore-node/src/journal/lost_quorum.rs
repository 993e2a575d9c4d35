//! Who goes on where a group has lost its quorum. No I/O; what is known is passed in.
//!
//! A quorum of each group that may be in force holds everything committed. So those that are left hold it
//! if they are part of every such quorum, and nobody else can commit anything without them. The record of
//! voters names these groups; who goes on writes itself there first, by compare-and-set.
//!
//! A disk that a lone voter left behind needs no such proof. It begins a later history, and the record, which
//! the lone voter has to write before it promises anything, shuts that one out.

use super::group_manager::{GroupAction, GroupInput, LeavingNodes, is_superseded, voters_of};
use super::registry::VoterRecord;
use firshore_replication::replica::Survivors;
use firshore_replication::types::{DiskId, ReplicaInfo, ReplicaRole};
use std::collections::{BTreeMap, BTreeSet};

/// For how long no leader was known.
#[derive(Clone, Copy, Debug)]
pub struct LeaderlessTime {
    /// Longer than a replica may be silent.
    pub late: bool,
    /// As long as a new disk has to catch up.
    pub overdue: bool,
}

fn quorum_of(voters: &BTreeSet<DiskId>) -> usize {
    voters.len() / 2 + 1
}

/// Returns what a replica without a leader does. `least` disks have to hold what is promised; `unchanged`
/// counts from the last change of the record too.
pub fn step(
    view: &GroupInput,
    least: usize,
    leaderless: LeaderlessTime,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let unrecorded = VoterRecord {
        voters: voters_of(&view.status.membership),
        settled: true,
        ..VoterRecord::default()
    };
    let record = view.recorded.unwrap_or(&unrecorded);
    let own = view.status.disk;
    if record.is_begun_by(own) {
        return begin_history(view, record);
    }
    if record.left_behind == Some(own) {
        return step_left_behind(view, record, unchanged);
    }
    if !record.possible().iter().any(|voters| voters.contains(&own)) {
        // It was removed, and asks nobody.
        return GroupAction::Idle;
    }
    let present = voters_of(&view.status.membership);
    let superseded = present.iter().any(|disk| is_superseded(view, *disk));
    if !(leaderless.late || superseded) || !record.tells_groups() {
        return GroupAction::Idle;
    }
    let Some(leaving) = view.leaving else {
        return GroupAction::ListLeaving;
    };
    let possible = possible_groups(view, leaving, record, least);
    let census = census(view, leaving, &possible, leaderless);
    let left = &census.left;
    let lost_quorum = present.intersection(left).count() < quorum_of(&present);
    let certain = possible.iter().all(|voters| {
        let never_held = record.never_held(voters);
        hold_everything(left, voters, &never_held) && commit_together(&census, voters)
    });
    if !lost_quorum || !certain || !left.contains(&own) {
        return GroupAction::Idle;
    }
    match survivors(view, left) {
        Some(replicas) => go_on_with(view, leaving, record, replicas, possible),
        None => GroupAction::Idle,
    }
}

/// Returns the groups that may be in force, and that may have promised something.
fn possible_groups(
    view: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    least: usize,
) -> Vec<BTreeSet<DiskId>> {
    let present = voters_of(&view.status.membership);
    let mut possible = record.possible();
    if record.voters == voters_of(&view.status.committed_membership) {
        possible.truncate(1);
    }
    // Groups that may promise nothing bind nobody whose log names the one that follows them.
    if record.voters == present {
        possible.retain(|voters| *voters == present || quorum_of(voters) >= least);
    }
    // A node is reported as empty only once the change that removed its disk is committed.
    possible.retain(|voters| !voters.iter().any(|disk| is_done(view, leaving, *disk)));
    possible
}

/// The disks of the groups that may be in force.
struct DiskCensus {
    /// Those that go on.
    left: BTreeSet<DiskId>,
    /// Those that do not answer, and may come back with what they hold.
    silent: BTreeSet<DiskId>,
}

/// Returns which disks of these groups are left. Those that do not answer are waited for: the whole time
/// that a new disk has to catch up, or less where another disk can take their place. Meanwhile what was
/// promised lies on too few disks, and the next loss that is allowed may take it.
fn census(
    view: &GroupInput,
    leaving: &LeavingNodes,
    possible: &[BTreeSet<DiskId>],
    leaderless: LeaderlessTime,
) -> DiskCensus {
    let all: BTreeSet<DiskId> = possible.iter().flatten().copied().collect();
    let alive = all.iter().copied();
    let alive: BTreeSet<DiskId> = alive.filter(|disk| !is_superseded(view, *disk)).collect();
    let early = leaderless.late && has_replacement(view, leaving, &all);
    if !early && !leaderless.overdue {
        return DiskCensus {
            left: alive,
            silent: BTreeSet::new(),
        };
    }
    let answers = |disk: &DiskId| *disk == view.status.disk || view.status.heard.contains(disk);
    let (left, silent) = alive.iter().copied().partition(answers);
    DiskCensus { left, silent }
}

/// Whether whatever those left commit is known to one of each quorum that the silent ones could gather with
/// their help, under these voters: then nobody commits anything else.
fn commit_together(census: &DiskCensus, voters: &BTreeSet<DiskId>) -> bool {
    let silent = census.silent.intersection(voters).count();
    let helpers = quorum_of(voters).saturating_sub(silent);
    quorum_of(&census.left) + helpers > census.left.len()
}

/// Whether each quorum of these voters that may have committed something contains one of those that are left.
fn hold_everything(
    left: &BTreeSet<DiskId>,
    voters: &BTreeSet<DiskId>,
    never_held: &BTreeSet<DiskId>,
) -> bool {
    let lost = voters.difference(left);
    lost.filter(|disk| !never_held.contains(*disk)).count() < quorum_of(voters)
}

/// Whether a disk went with a node that was reported as empty.
fn is_done(view: &GroupInput, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = view.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns what the disk does that a lone voter left behind.
///
/// It holds everything promised, as that one can promise nothing before it has written its next voters to
/// the record. Written there first, this disk needs no proof that the other one is gone: whoever stays in
/// the earlier history is shut out.
fn step_left_behind(
    view: &GroupInput,
    record: &VoterRecord,
    unchanged: LeaderlessTime,
) -> GroupAction {
    let own = view.status.disk;
    let others = record.voters.iter().copied().filter(|disk| *disk != own);
    let (gone, there): (Vec<DiskId>, Vec<DiskId>) =
        others.partition(|disk| is_superseded(view, *disk));
    match (&gone[..], &there[..]) {
        (_, []) => begin_with(view, record, BTreeSet::from([own]), Vec::new(), None),
        ([], [lone]) => {
            if !unchanged.late {
                return GroupAction::Idle;
            }
            let Some(leaving) = view.leaving else {
                return GroupAction::ListLeaving;
            };
            let pair = BTreeSet::from([own, *lone]);
            if !unchanged.overdue && !has_replacement(view, leaving, &pair) {
                return GroupAction::Idle;
            }
            begin_with(view, record, BTreeSet::from([own]), Vec::new(), Some(*lone))
        }
        // The lone voter was about to make another disk a voter. That one holds everything if the change is
        // in its log, which is the longer one then; otherwise this disk does.
        ([lone], [learner]) if record.before == [BTreeSet::from([*lone])] => {
            let before = vec![record.voters.clone()];
            begin_with(view, record, BTreeSet::from([own, *learner]), before, None)
        }
        _ => GroupAction::Idle,
    }
}

/// Records that these disks begin the next history. While they have not, one of them may hold what only a
/// group `before` has committed.
fn begin_with(
    view: &GroupInput,
    record: &VoterRecord,
    voters: BTreeSet<DiskId>,
    before: Vec<BTreeSet<DiskId>>,
    left_behind: Option<DiskId>,
) -> GroupAction {
    GroupAction::Record(VoterRecord {
        voters,
        settled: false,
        term: view.status.term,
        before,
        gone: BTreeSet::new(),
        left_behind,
        history: record.history + 1,
        begins: true,
    })
}

/// Goes on in the history that the record says this disk begins.
fn begin_history(view: &GroupInput, record: &VoterRecord) -> GroupAction {
    let Some(replicas) = survivors(view, &record.voters) else {
        return GroupAction::Idle;
    };
    if view.write_unconfirmed {
        return GroupAction::Record(record.clone());
    }
    GroupAction::ContinueWith(Survivors {
        replicas,
        never_held: BTreeSet::new(),
        left_behind: true,
        history: record.history,
    })
}

/// Returns where these disks are, if all are listed.
fn survivors(view: &GroupInput, disks: &BTreeSet<DiskId>) -> Option<BTreeMap<DiskId, ReplicaInfo>> {
    let place = |disk: &DiskId| {
        let candidate = view.candidates.iter().find(|one| one.disk == *disk)?;
        Some((*disk, candidate.info(ReplicaRole::Voter)))
    };
    disks.iter().map(place).collect()
}

fn go_on_with(
    view: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    replicas: BTreeMap<DiskId, ReplicaInfo>,
    possible: Vec<BTreeSet<DiskId>>,
) -> GroupAction {
    let voters: BTreeSet<DiskId> = replicas.keys().copied().collect();
    let history = view.status.history;
    if record.voters == voters && !record.settled && !view.write_unconfirmed {
        return GroupAction::ContinueWith(Survivors {
            replicas,
            never_held: record.gone.clone(),
            left_behind: false,
            history,
        });
    }
    GroupAction::Record(VoterRecord {
        left_behind: fellow_of(view, leaving, record, &voters),
        voters,
        settled: false,
        term: view.status.term,
        gone: record.never_held(possible.first().unwrap_or(&BTreeSet::new())),
        before: possible,
        history,
        begins: false,
    })
}

/// Returns the other disk of a pair that one goes on without. Where the pair may not be in force yet, that
/// disk need not hold what the one promised before with another.
fn fellow_of(
    view: &GroupInput,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> Option<DiskId> {
    let pair = voters_of(&view.status.membership);
    let mut recorded = record.possible();
    recorded.retain(|voters| !voters.iter().any(|disk| is_done(view, leaving, *disk)));
    let in_force = recorded.iter().all(|voters| *voters == pair)
        || pair == voters_of(&view.status.committed_membership);
    let alone = voters.len() == 1 && pair.len() == 2 && in_force;
    pair.difference(voters).copied().find(|_| alone)
}

/// Whether a disk beyond these could hold a replica: on any node that is there, as one that is to be
/// emptied is better than none.
fn has_replacement(view: &GroupInput, leaving: &LeavingNodes, pair: &BTreeSet<DiskId>) -> bool {
    let mut there = view
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    there.any(|candidate| !pair.contains(&candidate.disk))
}
