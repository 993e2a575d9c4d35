//! A replica must not acknowledge entries of another history of its group: its entries at the same index and term
//! may differ, and accepted entries would then be on one disk only.

use firshore_replication::replica::{Replica, Survivors, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, EntryContent, LogIndex, Membership, MembershipChange, ReplicaInfo, ReplicaRole,
};
use std::collections::{BTreeMap, BTreeSet};

const NEW: DiskId = DiskId(3);

fn info(disk: DiskId) -> ReplicaInfo {
    ReplicaInfo {
        node: format!("node-{disk}").as_str().into(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    }
}

fn replicas(disks: &[DiskId]) -> BTreeMap<DiskId, ReplicaInfo> {
    disks.iter().map(|disk| (*disk, info(*disk))).collect()
}

/// Replicas in virtual time, with the entries that each has applied.
struct GroupModel {
    now: u64,
    replicas: BTreeMap<DiskId, Replica>,
    applied: BTreeMap<DiskId, BTreeMap<LogIndex, EntryContent>>,
}

impl GroupModel {
    /// Creates two founding voters and an empty replica.
    fn new(timing: Timing) -> Self {
        let pair = [DiskId(1), DiskId(2)];
        let founding = StoredState::founding(Membership {
            replicas: replicas(&pair),
            ..Membership::default()
        });
        let mut founded = StoredState::default();
        founded.apply(&founding);
        let restore = |disk: DiskId, stored| Replica::restore(0, disk, timing, stored, disk.0);
        let empty = StoredState::default();
        let all = [
            (pair[0], restore(pair[0], founded.clone())),
            (pair[1], restore(pair[1], founded)),
            (NEW, restore(NEW, empty)),
        ];
        Self {
            now: 0,
            replicas: BTreeMap::from(all),
            applied: BTreeMap::new(),
        }
    }

    fn replica(&mut self, disk: DiskId) -> &mut Replica {
        self.replicas
            .get_mut(&disk)
            .expect("the disk is one of the three")
    }

    /// Runs the replicas in `up`, which reach each other.
    fn run(&mut self, up: &[DiskId], milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now += 10;
            for disk in up {
                let now = self.now;
                self.replica(*disk).tick(now);
            }
            while self.exchange(up) {}
        }
    }

    fn exchange(&mut self, up: &[DiskId]) -> bool {
        let mut sent = Vec::new();
        for disk in up {
            let output = self.replica(*disk).take_output();
            if output.is_empty() {
                continue;
            }
            self.replica(*disk).written();
            let applied = self.applied.entry(*disk).or_default();
            applied.extend(
                output
                    .committed
                    .into_iter()
                    .map(|entry| (entry.index, entry.content)),
            );
            sent.extend(output.early_messages);
            sent.extend(output.messages);
        }
        let any = !sent.is_empty();
        for envelope in sent {
            if up.contains(&envelope.to) {
                let now = self.now;
                self.replica(envelope.to).receive(now, envelope);
            }
        }
        any
    }

    fn continue_alone(&mut self, disk: DiskId, left_behind: bool) {
        let survivors = Survivors {
            replicas: replicas(&[disk]),
            never_held: BTreeSet::new(),
            left_behind,
            history: u64::from(left_behind),
            min_term: 0,
        };
        self.replica(disk).continue_with(&survivors).unwrap();
        self.run(&[disk], 100);
        assert!(self.replica(disk).leads());
    }

    fn add_learner(&mut self, leader: DiskId) {
        let change = MembershipChange::AddLearner(NEW, info(NEW));
        self.replica(leader).change_membership(&change).unwrap();
        self.run(&[leader, NEW], 3_000);
    }
}

fn run_divergence(snapshot: bool) {
    let mut group = GroupModel::new(Timing {
        trailing_bytes: 10,
        ..Timing::default()
    });
    let pair = [DiskId(1), DiskId(2)];
    group.run(&pair, 10_000);
    let leads = group.replica(pair[0]).leads();
    let (lone, left_behind) = match leads {
        true => (pair[0], pair[1]),
        false => (pair[1], pair[0]),
    };
    group.replica(lone).propose(b"promised-1".to_vec()).unwrap();
    group.run(&pair, 500);
    group.run(&[lone], 5_000);
    group.continue_alone(lone, false);
    group.add_learner(lone);
    for number in 0..8 {
        let command = format!("lone-{number}").into_bytes();
        group.replica(lone).propose(command).unwrap();
    }
    group.run(&[lone, NEW], 500);
    if snapshot {
        let commit = group.replica(NEW).status().commit;
        let data = b"lone".to_vec();
        group.replica(NEW).compact(commit, data, BTreeSet::new());
        group.run(&[lone, NEW], 100);
    }
    group.run(&[left_behind], 3_000);
    group.continue_alone(left_behind, true);
    group.add_learner(left_behind);
    let promoted = MembershipChange::Promote(NEW);
    let promoted = group.replica(left_behind).change_membership(&promoted);
    assert!(promoted.is_err(), "its log is of another history");
    group
        .replica(left_behind)
        .propose(b"promised-2".to_vec())
        .unwrap();
    group.run(&[left_behind, NEW], 1_000);
    let unresponsive = group.replica(left_behind).unresponsive(2_000);
    assert_eq!(
        unresponsive,
        [NEW],
        "it does not respond, so another disk is tried"
    );
    let applied = group.applied[&left_behind].values();
    let accepted = applied.filter(|content| match content {
        EntryContent::Command(command) => command.0.starts_with(b"promised"),
        EntryContent::Blank | EntryContent::Membership(_) => false,
    });
    assert_eq!(accepted.count(), 2);
}

#[test]
fn a_learner_of_the_lone_voter_does_not_respond_in_a_later_history() {
    run_divergence(false);
}

#[test]
fn a_learner_with_a_snapshot_of_the_lone_voter_does_not_respond_in_a_later_history() {
    run_divergence(true);
}

#[test]
fn an_empty_replica_adopts_the_history_of_the_leader() {
    let mut group = GroupModel::new(Timing::default());
    let pair = [DiskId(1), DiskId(2)];
    group.run(&pair, 10_000);
    group.run(&[pair[0]], 5_000);
    group.continue_alone(pair[0], true);
    group.add_learner(pair[0]);
    let promoted = MembershipChange::Promote(NEW);
    group.replica(pair[0]).change_membership(&promoted).unwrap();
    group.run(&[pair[0], NEW], 1_000);
    assert!(group.replica(NEW).status().membership.is_voter(NEW));
}
