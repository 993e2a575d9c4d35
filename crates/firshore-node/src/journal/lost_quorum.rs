//! Who goes on where a group has lost its quorum. No I/O; what is known is passed in.
//!
//! A quorum of each group that may be in force holds everything committed. So those that are left hold it
//! if they are part of every such quorum, and nobody else can commit anything without them. The record of
//! voters names these groups; who goes on writes itself there first, by compare-and-set.

use super::group_keeper::{KeeperStep, KeeperView, LeavingNodes, is_superseded, voters_of};
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

/// Returns what a replica without a leader does. `least` disks have to hold what is promised.
pub fn step(view: &KeeperView, least: usize, leaderless: LeaderlessTime) -> KeeperStep {
    let unrecorded = VoterRecord {
        voters: voters_of(&view.status.membership),
        settled: true,
        ..VoterRecord::default()
    };
    let record = view.recorded.unwrap_or(&unrecorded);
    if let Some(survivors) = was_left_behind(view, record) {
        return go_on_with(view, record, survivors, Vec::new());
    }
    let own = view.status.disk;
    if !record.possible().iter().any(|voters| voters.contains(&own)) {
        // It was removed, and asks nobody.
        return KeeperStep::Rest;
    }
    let present = voters_of(&view.status.membership);
    let superseded = present.iter().any(|disk| is_superseded(view, *disk));
    if !(leaderless.late || superseded) || !record.tells_groups() {
        return KeeperStep::Rest;
    }
    let Some(leaving) = view.leaving else {
        return KeeperStep::ListLeaving;
    };
    let possible = possible_groups(view, leaving, record, least);
    let census = census(view, leaving, &possible, leaderless);
    let left = &census.left;
    let lost_quorum = present.intersection(left).count() < quorum_of(&present);
    let certain = possible
        .iter()
        .all(|voters| hold_everything(left, voters) && commit_together(&census, voters));
    if !lost_quorum || !certain || !left.contains(&own) {
        return KeeperStep::Rest;
    }
    match survivors(view, left, false) {
        Some(survivors) => go_on_with(view, record, survivors, possible),
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
    view: &KeeperView,
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

/// Whether each quorum of these voters contains one of those that are left.
fn hold_everything(left: &BTreeSet<DiskId>, voters: &BTreeSet<DiskId>) -> bool {
    let lost = voters.difference(left).count();
    lost < quorum_of(voters)
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

/// Whether a disk beyond these could hold a replica: on any node that is there, as one that is to be
/// emptied is better than none.
fn has_replacement(view: &KeeperView, leaving: &LeavingNodes, pair: &BTreeSet<DiskId>) -> bool {
    let mut there = view
        .candidates
        .iter()
        .filter(|candidate| !leaving.done.contains(&candidate.node));
    there.any(|candidate| !pair.contains(&candidate.disk))
}
