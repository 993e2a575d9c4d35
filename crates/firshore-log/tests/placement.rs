//! Where the replicas of a group are placed.

use firshore_log::placement::{Candidate, GroupView, TARGET_VOTERS, founders, keeps_promises};
use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};

use std::collections::BTreeSet;

fn replica(number: u64, zone: &str, role: ReplicaRole) -> (DiskId, ReplicaInfo) {
    let info = ReplicaInfo {
        node: format!("node-{number}").as_str().into(),
        zone: zone.into(),
        role,
    };
    (DiskId(number), info)
}

fn candidate(number: u64, zone: &str) -> Candidate {
    Candidate {
        disk: DiskId(number),
        node: format!("node-{number}").as_str().into(),
        zone: zone.into(),
    }
}

fn view(replicas: &[(u64, &str, ReplicaRole)], silent: &[u64], caught_up: &[u64]) -> GroupView {
    let replicas = replicas
        .iter()
        .map(|(number, zone, role)| replica(*number, zone, *role));
    GroupView {
        target: TARGET_VOTERS,
        least: 1,
        own: DiskId(1),
        membership: Membership {
            replicas: replicas.collect(),
        },
        silent: silent.iter().copied().map(DiskId).collect(),
        gone: BTreeSet::new(),
        leaving: BTreeSet::new(),
        caught_up: caught_up.iter().copied().map(DiskId).collect(),
    }
}

const V: ReplicaRole = ReplicaRole::Voter;
const L: ReplicaRole = ReplicaRole::Learner;

#[test]
fn changes_follow_one_after_another() {
    let whole = [(1, "a", V), (2, "b", V), (3, "c", V)];
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", V)];
    let crowded = [(1, "a", V), (2, "a", V), (3, "c", V)];
    let learning = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", L)];
    let spare = [candidate(5, "b"), candidate(4, "c")];
    let added = |number| Some(("add", number));
    let cases = [
        ("whole", view(&whole, &[], &[]), &spare[..], None),
        ("one silent", view(&whole, &[3], &[]), &spare[..], added(4)),
        ("no spare", view(&whole, &[3], &[]), &[][..], None),
        (
            "learner behind",
            view(&learning, &[3], &[]),
            &spare[..],
            None,
        ),
        (
            "learner ready",
            view(&learning, &[3], &[4]),
            &spare[..],
            Some(("promote", 4)),
        ),
        (
            "learner silent",
            view(&learning, &[3, 4], &[]),
            &spare[..],
            Some(("remove", 4)),
        ),
        (
            "learner ready, the others hold everything",
            view(&learning, &[3], &[2, 4]),
            &spare[..],
            Some(("remove", 3)),
        ),
        (
            "replaced",
            view(&four, &[3], &[2, 4]),
            &spare[..],
            Some(("remove", 3)),
        ),
        (
            "replaced, nobody else holds everything",
            view(&four, &[3], &[]),
            &spare[..],
            None,
        ),
        (
            "came back",
            view(&four, &[], &[2, 3, 4]),
            &spare[..],
            Some(("remove", 3)),
        ),
        (
            "two in a zone",
            view(&crowded, &[], &[]),
            &spare[..],
            added(5),
        ),
        (
            "alone, two come",
            view(&[(1, "a", V)], &[], &[]),
            &spare[..],
            added(4),
        ),
        (
            "alone, one comes",
            view(&[(1, "a", V)], &[], &[]),
            &spare[..1],
            None,
        ),
        (
            "two of three",
            view(&[(1, "a", V), (2, "b", V)], &[], &[]),
            &spare[1..],
            added(4),
        ),
    ];
    for (name, view, candidates, expected) in cases {
        let change = view.next_change(candidates);
        let seen = change.map(|change| match change {
            MembershipChange::AddLearner(disk, _) => ("add", disk.0),
            MembershipChange::Promote(disk) => ("promote", disk.0),
            MembershipChange::Remove(disk) => ("remove", disk.0),
        });
        assert_eq!(seen, expected, "{name}");
    }
}

#[test]
fn a_wiped_node_takes_its_own_place() {
    let view = view(&[(1, "a", V), (2, "b", V), (3, "c", V)], &[3], &[]);
    let mut returned = candidate(30, "c");
    returned.node = "node-3".into();
    let change = view.next_change(&[returned]);
    assert!(matches!(change, Some(MembershipChange::AddLearner(disk, _)) if disk.0 == 30));
}

#[test]
fn founders_stand_in_different_zones() {
    let all = [
        candidate(1, "a"),
        candidate(2, "a"),
        candidate(3, "b"),
        candidate(4, "c"),
    ];
    let chosen = |candidates: &[Candidate]| {
        let membership = founders(candidates, &candidates[0], TARGET_VOTERS);
        let disks: Vec<u64> = membership.voters().map(|disk| disk.0).collect();
        disks
    };
    assert_eq!(chosen(&all), [1, 3, 4]);
    assert_eq!(chosen(&all[..3]), [1, 2, 3]);
    assert_eq!(chosen(&all[..2]), [1]);
}

#[test]
fn a_lone_voter_takes_one_more_where_promises_need_two() {
    let lone = view(&[(1, "a", V)], &[], &[]);
    let spare = [candidate(2, "b")];
    assert_eq!(lone.next_change(&spare), None);
    let promising = GroupView { least: 2, ..lone };
    assert!(matches!(
        promising.next_change(&spare),
        Some(MembershipChange::AddLearner(DiskId(2), _))
    ));
}

#[test]
fn no_step_leaves_fewer_copies_than_promises_need() {
    let three = [(1, "a", V), (2, "b", V), (3, "c", V)];
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", V)];
    let removes = |group: GroupView| match group.next_change(&[]) {
        Some(MembershipChange::Remove(disk)) => Some(disk.0),
        _ => None,
    };
    let leaving = |group: GroupView, least: usize, disk: u64| GroupView {
        least,
        target: 2 * least - 1,
        leaving: BTreeSet::from([DiskId(disk)]),
        ..group
    };
    let pair = view(&three[..2], &[], &[2]);
    assert_eq!(removes(leaving(pair.clone(), 2, 2)), None);
    assert_eq!(removes(leaving(pair, 1, 2)), Some(2));
    let whole = view(&three, &[], &[2, 3]);
    assert_eq!(removes(leaving(whole.clone(), 2, 3)), Some(3));
    let behind = view(&three, &[], &[3]);
    assert_eq!(removes(leaving(behind, 2, 3)), None);
    // Three voters commit with two, where three disks have to hold what is promised.
    let whole_four = view(&four, &[], &[2, 3, 4]);
    assert_eq!(removes(leaving(whole_four, 3, 4)), None);
    // A voter whose disk is gone only raises the quorum.
    let dead = GroupView {
        gone: BTreeSet::from([DiskId(3)]),
        ..whole
    };
    assert_eq!(removes(GroupView { least: 2, ..dead }), Some(3));
}

#[test]
fn promises_need_a_quorum_of_as_many_disks() {
    let voters = |count: u64| {
        let replicas = (1..=count).map(|number| replica(number, "a", V));
        let membership = Membership {
            replicas: replicas.collect(),
        };
        [1, 2, 3].map(|least| keeps_promises(&membership, least))
    };
    assert_eq!(voters(1), [true, false, false]);
    assert_eq!(voters(2), [true, true, false]);
    assert_eq!(voters(3), [true, true, false]);
    assert_eq!(voters(4), [true, true, true]);
    assert_eq!(voters(5), [true, true, true]);
}

/// A node that was to be emptied was taken out of four voters, of which one had gone for good a moment before.
/// The three left bore no further loss: one of the two that lived lost its disk, and the other could not know
/// what it lacked ("entry 782 of term 6 is on 1 disks, 2 are wanted").
#[test]
fn a_voter_that_answers_stays_until_the_others_bear_the_losses() {
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "a", V)];
    let leaving = |silent: &[u64], caught_up: &[u64]| {
        let mut group = view(&four, silent, caught_up);
        group.least = 2;
        group.leaving = BTreeSet::from([DiskId(3)]);
        group.next_change(&[])
    };
    let remove = |number| Some(MembershipChange::Remove(DiskId(number)));
    assert_eq!(leaving(&[], &[1, 2, 3, 4]), remove(3));
    // The fourth has not answered this leader yet, and is not known to be silent.
    assert_eq!(leaving(&[], &[1, 2, 3]), remove(4));
    assert_eq!(leaving(&[4], &[1, 2, 3]), remove(4));
}
