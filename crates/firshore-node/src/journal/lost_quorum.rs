//! Who goes on where a group has lost its quorum. No I/O; what is known is passed in.
//!
//! A quorum of each group that may be in force holds everything committed. So those that are left hold it
//! if they are part of every such quorum, and nobody else can commit anything without them. The record of
//! voters names these groups; who goes on writes itself there first, by compare-and-set.
//!
//! A disk that a lone voter left behind needs no such proof. It begins a later history, and the record, which
//! the lone voter has to write before it promises anything, shuts that one out.

use super::group_keeper::{KeeperStep, KeeperView, LeavingNodes, is_superseded, voters_of};
use super::registry::VoterRecord;
use firshore_replication::replica::Survivors;
use firshore_replication::types::{DiskId, ReplicaInfo, ReplicaRole};
use std::collections::{BTreeMap, BTreeSet};

/// For how long no leader was known.
#[derive(Clone, Copy, Debug)]
pub struct LeaderlessTime {
    /// Longer than a replica may be silent.
    pub timed_out: bool,
    /// As long as a new disk has to catch up.
    pub catch_up_elapsed: bool,
}

fn quorum_of(voters: &BTreeSet<DiskId>) -> usize {
    voters.len() / 2 + 1
}

/// Returns what a replica without a leader does. `least` disks have to hold what is promised; `unchanged`
/// counts from the last change of the record too.
pub fn step(
    view: &KeeperView,
    least: usize,
    leaderless: LeaderlessTime,
    unchanged: LeaderlessTime,
) -> KeeperStep {
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
        return KeeperStep::Rest;
    }
    let present = voters_of(&view.status.membership);
    let superseded = present.iter().any(|disk| is_superseded(view, *disk));
    if !(leaderless.timed_out || superseded) || !record.names_groups() {
        return KeeperStep::Rest;
    }
    let Some(leaving) = view.leaving else {
        return KeeperStep::ListLeaving;
    };
    let possible = possible_groups(view, leaving, record, least);
    let sets = sets(view, leaving, &possible, leaderless);
    let remaining = &sets.remaining;
    let lost_quorum = present.intersection(remaining).count() < quorum_of(&present);
    let certain = possible.iter().all(|voters| {
        let never_held = record.never_held(voters);
        intersects_quorums(remaining, voters, &never_held) && excludes_other_commits(&sets, voters)
    });
    if !lost_quorum || !certain || !remaining.contains(&own) {
        return KeeperStep::Rest;
    }
    match survivors(view, remaining) {
        Some(replicas) => continue_with(view, leaving, record, replicas, possible),
        None => KeeperStep::Rest,
    }
}

/// Returns the groups that may be in force, and that may have promised something.
fn possible_groups(
    view: &KeeperView,
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
    possible.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(view, leaving, *disk))
    });
    possible
}

/// The disks of the groups that may be in force.
struct DiskSets {
    /// Those that go on.
    remaining: BTreeSet<DiskId>,
    /// Those that do not answer, and may come back with what they hold.
    unresponsive: BTreeSet<DiskId>,
}

/// Returns which disks of these groups are left. Those that do not answer are waited for: the whole time
/// that a new disk has to catch up, or less where another disk can take their place. Meanwhile what was
/// promised lies on too few disks, and the next loss that is allowed may take it.
fn sets(
    view: &KeeperView,
    leaving: &LeavingNodes,
    possible: &[BTreeSet<DiskId>],
    leaderless: LeaderlessTime,
) -> DiskSets {
    let all: BTreeSet<DiskId> = possible.iter().flatten().copied().collect();
    let alive = all.iter().copied();
    let alive: BTreeSet<DiskId> = alive.filter(|disk| !is_superseded(view, *disk)).collect();
    let early = leaderless.timed_out && has_replacement(view, leaving, &all);
    if !early && !leaderless.catch_up_elapsed {
        return DiskSets {
            remaining: alive,
            unresponsive: BTreeSet::new(),
        };
    }
    let answers = |disk: &DiskId| *disk == view.status.disk || view.status.heard.contains(disk);
    let (remaining, unresponsive) = alive.iter().copied().partition(answers);
    DiskSets {
        remaining,
        unresponsive,
    }
}

/// Whether whatever those left commit is known to one of each quorum that the silent ones could gather with
/// their help, under these voters: then nobody commits anything else.
fn excludes_other_commits(sets: &DiskSets, voters: &BTreeSet<DiskId>) -> bool {
    let unresponsive = sets.unresponsive.intersection(voters).count();
    let helpers = quorum_of(voters).saturating_sub(unresponsive);
    quorum_of(&sets.remaining) + helpers > sets.remaining.len()
}

/// Whether each quorum of these voters that may have committed something contains one of those that are left.
fn intersects_quorums(
    remaining: &BTreeSet<DiskId>,
    voters: &BTreeSet<DiskId>,
    never_held: &BTreeSet<DiskId>,
) -> bool {
    let lost = voters.difference(remaining);
    lost.filter(|disk| !never_held.contains(*disk)).count() < quorum_of(voters)
}

/// Whether a disk went with a node that was reported as empty.
fn is_drained_disk(view: &KeeperView, leaving: &LeavingNodes, disk: DiskId) -> bool {
    let mut listed = view.candidates.iter();
    listed.any(|one| one.disk == disk && leaving.done.contains(&one.node))
}

/// Returns what the disk does that a lone voter left behind.
///
/// It holds everything promised, as that one can promise nothing before it has written its next voters to
/// the record. Written there first, this disk needs no proof that the other one is gone: whoever stays in
/// the earlier history is shut out.
fn step_left_behind(
    view: &KeeperView,
    record: &VoterRecord,
    unchanged: LeaderlessTime,
) -> KeeperStep {
    let own = view.status.disk;
    let others = record.voters.iter().copied().filter(|disk| *disk != own);
    let (gone, present): (Vec<DiskId>, Vec<DiskId>) =
        others.partition(|disk| is_superseded(view, *disk));
    match (&gone[..], &present[..]) {
        (_, []) => record_next_history(view, record, BTreeSet::from([own]), Vec::new(), None),
        ([], [lone]) => {
            if !unchanged.timed_out {
                return KeeperStep::Rest;
            }
            let Some(leaving) = view.leaving else {
                return KeeperStep::ListLeaving;
            };
            let pair = BTreeSet::from([own, *lone]);
            if !unchanged.catch_up_elapsed && !has_replacement(view, leaving, &pair) {
                return KeeperStep::Rest;
            }
            record_next_history(view, record, BTreeSet::from([own]), Vec::new(), Some(*lone))
        }
        // The lone voter was about to make another disk a voter. That one holds everything if the change is
        // in its log, which is the longer one then; otherwise this disk does.
        ([lone], [learner]) if record.before == [BTreeSet::from([*lone])] => {
            let before = vec![record.voters.clone()];
            record_next_history(view, record, BTreeSet::from([own, *learner]), before, None)
        }
        _ => KeeperStep::Rest,
    }
}

/// Records that these disks begin the next history. While they have not, one of them may hold what only a
/// group `before` has committed.
fn record_next_history(
    view: &KeeperView,
    record: &VoterRecord,
    voters: BTreeSet<DiskId>,
    before: Vec<BTreeSet<DiskId>>,
    left_behind: Option<DiskId>,
) -> KeeperStep {
    KeeperStep::Record(VoterRecord {
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
fn begin_history(view: &KeeperView, record: &VoterRecord) -> KeeperStep {
    let Some(replicas) = survivors(view, &record.voters) else {
        return KeeperStep::Rest;
    };
    if view.doubtful {
        return KeeperStep::Record(record.clone());
    }
    KeeperStep::ContinueWith(Survivors {
        replicas,
        never_held: BTreeSet::new(),
        left_behind: true,
        history: record.history,
    })
}

/// Returns where these disks are, if all are listed.
fn survivors(view: &KeeperView, disks: &BTreeSet<DiskId>) -> Option<BTreeMap<DiskId, ReplicaInfo>> {
    let place = |disk: &DiskId| {
        let candidate = view.candidates.iter().find(|one| one.disk == *disk)?;
        Some((*disk, candidate.info(ReplicaRole::Voter)))
    };
    disks.iter().map(place).collect()
}

fn continue_with(
    view: &KeeperView,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    replicas: BTreeMap<DiskId, ReplicaInfo>,
    possible: Vec<BTreeSet<DiskId>>,
) -> KeeperStep {
    let voters: BTreeSet<DiskId> = replicas.keys().copied().collect();
    let history = view.status.history;
    if record.voters == voters && !record.settled && !view.doubtful {
        return KeeperStep::ContinueWith(Survivors {
            replicas,
            never_held: record.gone.clone(),
            left_behind: false,
            history,
        });
    }
    KeeperStep::Record(VoterRecord {
        left_behind: other_of_pair(view, leaving, record, &voters),
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
fn other_of_pair(
    view: &KeeperView,
    leaving: &LeavingNodes,
    record: &VoterRecord,
    voters: &BTreeSet<DiskId>,
) -> Option<DiskId> {
    let pair = voters_of(&view.status.membership);
    let mut recorded = record.possible();
    recorded.retain(|voters| {
        !voters
            .iter()
            .any(|disk| is_drained_disk(view, leaving, *disk))
    });
    let in_force = recorded.iter().all(|voters| *voters == pair)
        || pair == voters_of(&view.status.committed_membership);
    let alone = voters.len() == 1 && pair.len() == 2 && in_force;
    pair.difference(voters).copied().find(|_| alone)
}

/// Whether a disk beyond these could hold a replica: on any node that is there, as one that is to be
/// emptied is better than none.
fn has_replacement(view: &KeeperView, leaving: &LeavingNodes, pair: &BTreeSet<DiskId>) -> bool {
    let mut present = view
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    present.any(|candidate| !pair.contains(&candidate.disk))
}
