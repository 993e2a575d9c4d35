//! The required number of disks is part of the membership, so all replicas count the same quorum. Guards against three
//! voters that commit with two disks where a further loss of two is tolerated.

use firshore_replication::message::Envelope;
use firshore_replication::replica::{Replica, Survivors, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole, quorum_size,
};
use std::collections::{BTreeMap, BTreeSet};

/// Interval between ticks, in milliseconds.
const TICK_MS: u64 = 20;

fn membership(disks: u64, min_disks: usize) -> Membership {
    let replicas = (1..=disks).map(|disk| {
        let info = ReplicaInfo {
            node: format!("node-{disk}").as_str().into(),
            zone: "z".into(),
            role: ReplicaRole::Voter,
        };
        (DiskId(disk), info)
    });
    Membership {
        replicas: replicas.collect(),
        min_disks,
    }
}

fn replica(membership: Membership, disk: u64) -> Replica {
    let mut stored = StoredState::default();
    stored.apply(&StoredState::founding(membership));
    Replica::restore(0, DiskId(disk), Timing::default(), stored, disk)
}

struct Group {
    now: u64,
    replicas: Vec<Replica>,
}

impl Group {
    fn new(voters: u64, min_disks: usize) -> Self {
        let founding = membership(voters, min_disks);
        let replicas = (1..=voters).map(|disk| replica(founding.clone(), disk));
        Self {
            now: 0,
            replicas: replicas.collect(),
        }
    }

    /// Runs the first `present` replicas for some seconds; the others neither receive nor send.
    fn run(&mut self, present: usize) {
        for _ in 0..400 {
            self.now += TICK_MS;
            let mut sent: Vec<Envelope> = Vec::new();
            for replica in &mut self.replicas[..present] {
                replica.tick(self.now);
                let mut output = replica.take_output();
                replica.written();
                sent.append(&mut output.early_messages);
                sent.append(&mut output.messages);
            }
            for envelope in sent {
                for replica in &mut self.replicas[..present] {
                    replica.receive(self.now, envelope.clone());
                }
            }
        }
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.leads())
    }
}

#[test]
fn quorum_is_a_majority_or_the_required_number_of_disks() {
    let sizes = |min_disks| {
        (1..=7)
            .map(|voters| quorum_size(voters, min_disks))
            .collect()
    };
    let majorities: Vec<usize> = sizes(0);
    assert_eq!(majorities, [1, 2, 2, 3, 3, 4, 4]);
    assert_eq!(sizes(2), majorities);
    assert_eq!(sizes(3), [1, 2, 3, 3, 3, 4, 4]);
    assert_eq!(sizes(4), [1, 2, 3, 4, 4, 4, 4]);
}

/// One change at a time is safe only if each quorum before it intersects each quorum after it.
#[test]
fn quorums_before_and_after_a_change_intersect() {
    for voters in 1..8_usize {
        for before in 0..5 {
            for after in 0..5 {
                let unchanged = quorum_size(voters, before) + quorum_size(voters, after);
                assert!(unchanged > voters);
                let added = quorum_size(voters, before) + quorum_size(voters + 1, before);
                assert!(added > voters + 1);
            }
        }
    }
}

#[test]
fn three_voters_commit_on_three_disks_if_that_many_are_required() {
    for (min_disks, elects) in [(2, true), (3, false)] {
        let mut group = Group::new(3, min_disks);
        group.run(2);
        assert_eq!(group.leader().is_some(), elects, "{min_disks} disks");
    }
    let mut group = Group::new(3, 3);
    group.run(3);
    let leader = group.leader().expect("all voters are present");
    let position = leader.propose(b"command".to_vec()).unwrap();
    group.run(3);
    assert!(
        group
            .replicas
            .iter()
            .all(|replica| replica.status().commit >= position.index)
    );
}

#[test]
fn the_required_number_of_disks_changes_in_the_log() {
    let mut group = Group::new(3, 0);
    group.run(3);
    let leader = group.leader().expect("all voters are present");
    let change = MembershipChange::SetMinDisks(3);
    leader.change_membership(&change).unwrap();
    group.run(3);
    for replica in &group.replicas {
        let status = replica.status();
        assert_eq!(status.committed_membership.quorum(), 3);
    }
    let removal = MembershipChange::Remove(DiskId(3));
    let leader = group.leader().expect("all voters are present");
    if leader.disk() != DiskId(3) {
        leader.change_membership(&removal).unwrap();
        assert_eq!(leader.status().membership.min_disks, 3);
    }
}

/// With a quorum of all three voters each of them holds everything committed, so one is enough to continue.
#[test]
fn one_survivor_of_three_voters_continues_and_keeps_the_requirement() {
    let survivors = Survivors {
        replicas: membership(1, 0).replicas,
        never_held: BTreeSet::new(),
        left_behind: false,
        history: 0,
        min_term: 0,
    };
    assert!(
        replica(membership(3, 2), 1)
            .continue_with(&survivors)
            .is_err()
    );
    let mut survivor = replica(membership(3, 3), 1);
    survivor.continue_with(&survivors).unwrap();
    while !survivor.take_output().is_empty() {
        survivor.written();
    }
    assert_eq!(survivor.status().membership, membership(1, 3));
}

/// Entries of earlier versions have no required number of disks: a majority commits.
#[test]
fn memberships_of_earlier_versions_commit_by_majority() {
    #[derive(serde::Serialize)]
    struct Earlier {
        replicas: BTreeMap<DiskId, ReplicaInfo>,
    }
    let earlier = Earlier {
        replicas: membership(3, 0).replicas,
    };
    let mut written = Vec::new();
    ciborium::into_writer(&earlier, &mut written).unwrap();
    let decoded: Membership = ciborium::from_reader(&written[..]).unwrap();
    assert_eq!((decoded.min_disks, decoded.quorum()), (0, 2));
    let mut again = Vec::new();
    ciborium::into_writer(&decoded, &mut again).unwrap();
    assert_eq!(again, written);
}
