//! Placement of a group's replicas.

use firshore_log::placement::{
    Candidate, GroupView, TARGET_VOTERS, founding_membership, is_durable,
};
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

fn view(
    replicas: &[(u64, &str, ReplicaRole)],
    unresponsive: &[u64],
    caught_up: &[u64],
) -> GroupView {
    let replicas = replicas
        .iter()
        .map(|(number, zone, role)| replica(*number, zone, *role));
    GroupView {
        target: TARGET_VOTERS,
        min_disks: 1,
        leader: DiskId(1),
        membership: Membership {
            replicas: replicas.collect(),
            ..Membership::default()
        },
        unresponsive: unresponsive.iter().copied().map(DiskId).collect(),
        unconfirmed: BTreeSet::new(),
        lost: BTreeSet::new(),
        leaving: BTreeSet::new(),
        caught_up: caught_up.iter().copied().map(DiskId).collect(),
    }
}

const V: ReplicaRole = ReplicaRole::Voter;
const L: ReplicaRole = ReplicaRole::Learner;

#[test]
fn next_change_of_each_state_of_a_group() {
    let complete = [(1, "a", V), (2, "b", V), (3, "c", V)];
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", V)];
    let shared_zone = [(1, "a", V), (2, "a", V), (3, "c", V)];
    let learning = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", L)];
    let spare = [candidate(5, "b"), candidate(4, "c")];
    let added = |number| Some(("add", number));
    let cases = [
        ("complete", view(&complete, &[], &[]), &spare[..], None),
        (
            "one unresponsive",
            view(&complete, &[3], &[]),
            &spare[..],
            added(4),
        ),
        ("no spare", view(&complete, &[3], &[]), &[][..], None),
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
            "learner unresponsive",
            view(&learning, &[3, 4], &[]),
            &spare[..],
            Some(("remove", 4)),
        ),
        (
            "learner ready, the others up to date",
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
            "replaced, no other voter is up to date",
            view(&four, &[3], &[]),
            &spare[..],
            None,
        ),
        (
            "returned",
            view(&four, &[], &[2, 3, 4]),
            &spare[..],
            Some(("remove", 3)),
        ),
        (
            "two in a zone",
            view(&shared_zone, &[], &[]),
            &spare[..],
            added(5),
        ),
        (
            "alone, two candidates",
            view(&[(1, "a", V)], &[], &[]),
            &spare[..],
            added(4),
        ),
        (
            "alone, one candidate",
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
        let actual = change.map(|change| match change {
            MembershipChange::AddLearner(disk, _) => ("add", disk.0),
            MembershipChange::Promote(disk) => ("promote", disk.0),
            MembershipChange::Remove(disk) => ("remove", disk.0),
            MembershipChange::SetMinDisks(min_disks) => ("set", min_disks as u64),
        });
        assert_eq!(actual, expected, "{name}");
    }
}

#[test]
fn node_with_a_new_disk_replaces_its_former_voter() {
    let view = view(&[(1, "a", V), (2, "b", V), (3, "c", V)], &[3], &[]);
    let mut returned = candidate(30, "c");
    returned.node = "node-3".into();
    let change = view.next_change(&[returned]);
    assert!(matches!(change, Some(MembershipChange::AddLearner(disk, _)) if disk.0 == 30));
}

#[test]
fn founding_voters_are_in_different_zones() {
    let all = [
        candidate(1, "a"),
        candidate(2, "a"),
        candidate(3, "b"),
        candidate(4, "c"),
    ];
    let chosen = |candidates: &[Candidate]| {
        let membership = founding_membership(candidates, &candidates[0], TARGET_VOTERS, 2);
        let disks: Vec<u64> = membership.voters().map(|disk| disk.0).collect();
        disks
    };
    assert_eq!(chosen(&all), [1, 3, 4]);
    assert_eq!(chosen(&all[..3]), [1, 2, 3]);
    assert_eq!(chosen(&all[..2]), [1]);
}

#[test]
fn lone_voter_adds_one_if_two_disks_are_required() {
    let lone = view(&[(1, "a", V)], &[], &[]);
    let spare = [candidate(2, "b")];
    assert_eq!(lone.next_change(&spare), None);
    let requires_two = GroupView {
        min_disks: 2,
        ..lone
    };
    assert!(matches!(
        requires_two.next_change(&spare),
        Some(MembershipChange::AddLearner(DiskId(2), _))
    ));
}

#[test]
fn removals_keep_the_required_number_of_copies() {
    let three = [(1, "a", V), (2, "b", V), (3, "c", V)];
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "c", V)];
    let removes = |group: GroupView| match group.next_change(&[]) {
        Some(MembershipChange::Remove(disk)) => Some(disk.0),
        _ => None,
    };
    let leaving = |group: GroupView, min_disks: usize, disk: u64| GroupView {
        min_disks,
        target: 2 * min_disks - 1,
        leaving: BTreeSet::from([DiskId(disk)]),
        ..group
    };
    let pair = view(&three[..2], &[], &[2]);
    assert_eq!(removes(leaving(pair.clone(), 2, 2)), None);
    assert_eq!(removes(leaving(pair, 1, 2)), Some(2));
    let complete = view(&three, &[], &[2, 3]);
    assert_eq!(removes(leaving(complete.clone(), 2, 3)), Some(3));
    let behind = view(&three, &[], &[3]);
    assert_eq!(removes(leaving(behind, 2, 3)), None);
    // Three voters commit with two disks, but three are required.
    let complete_four = view(&four, &[], &[2, 3, 4]);
    assert_eq!(removes(leaving(complete_four, 3, 4)), None);
    // A voter whose disk is lost only raises the quorum.
    let lost_voter = GroupView {
        lost: BTreeSet::from([DiskId(3)]),
        ..complete
    };
    assert_eq!(
        removes(GroupView {
            min_disks: 2,
            ..lost_voter
        }),
        Some(3)
    );
}

#[test]
fn durability_requires_a_quorum_of_as_many_disks() {
    let voters = |count: u64| {
        let replicas = (1..=count).map(|number| replica(number, "a", V));
        let membership = Membership {
            replicas: replicas.collect(),
            ..Membership::default()
        };
        [1, 2, 3].map(|min_disks| is_durable(&membership, min_disks))
    };
    assert_eq!(voters(1), [true, false, false]);
    assert_eq!(voters(2), [true, true, false]);
    assert_eq!(voters(3), [true, true, false]);
    assert_eq!(voters(4), [true, true, true]);
    assert_eq!(voters(5), [true, true, true]);
}

/// Guards against the removal of a drained node's voter right after another voter was lost: one more lost
/// disk would leave committed entries on too few disks.
#[test]
fn responsive_voter_stays_until_the_others_tolerate_the_losses() {
    let four = [(1, "a", V), (2, "b", V), (3, "c", V), (4, "a", V)];
    let leaving = |unresponsive: &[u64], caught_up: &[u64]| {
        let mut group = view(&four, unresponsive, caught_up);
        group.min_disks = 2;
        group.leaving = BTreeSet::from([DiskId(3)]);
        group.next_change(&[])
    };
    let remove = |number| Some(MembershipChange::Remove(DiskId(number)));
    assert_eq!(leaving(&[], &[1, 2, 3, 4]), remove(3));
    // The fourth voter has not responded to this leader yet, but does not count as unresponsive either.
    assert_eq!(leaving(&[], &[1, 2, 3]), remove(4));
    assert_eq!(leaving(&[4], &[1, 2, 3]), remove(4));
}

/// Guards against a lost node that stays listed and delays the disks that could hold committed entries: while too few
/// of them do, learners catch up side by side.
#[test]
fn learners_catch_up_side_by_side_while_disks_are_missing() {
    let group = |replicas: &[(u64, &str, ReplicaRole)], unresponsive: &[u64], caught_up: &[u64]| {
        GroupView {
            min_disks: 3,
            target: 5,
            membership: Membership {
                min_disks: 3,
                ..view(replicas, &[], &[]).membership
            },
            ..view(replicas, unresponsive, caught_up)
        }
    };
    let candidates = [candidate(8, "b"), candidate(9, "c")];
    let added = |change| match change {
        Some(MembershipChange::AddLearner(disk, _)) => Some(disk.0),
        _ => None,
    };
    let pair = [(1, "a", V), (2, "b", V), (7, "c", L)];
    let change = group(&pair, &[], &[2]).next_change(&candidates);
    assert_eq!(added(change), Some(8));
    // A learner that has caught up is promoted before a lost one is removed.
    let two = [(1, "a", V), (2, "b", V), (7, "c", L), (8, "b", L)];
    let change = group(&two, &[7], &[2, 8]).next_change(&candidates);
    assert_eq!(change, Some(MembershipChange::Promote(DiskId(8))));
    let change = group(&two, &[7], &[2]).next_change(&candidates);
    assert_eq!(change, Some(MembershipChange::Remove(DiskId(7))));
    // Enough disks hold committed entries, so one learner after the other.
    let four = [
        (1, "a", V),
        (2, "b", V),
        (3, "c", V),
        (4, "a", V),
        (7, "c", L),
    ];
    assert_eq!(group(&four, &[], &[2, 3, 4]).next_change(&candidates), None);
}

/// Guards against a new leader that promotes a learner beside a voter whose disk was lost before: if the learner and
/// one more disk are lost as well, the others cannot determine what was committed.
#[test]
fn learner_waits_while_a_voter_may_be_lost() {
    let group =
        |replicas: &[(u64, &str, ReplicaRole)], unconfirmed: &[u64], unresponsive: &[u64]| {
            GroupView {
                min_disks: 3,
                target: 5,
                unconfirmed: unconfirmed.iter().copied().map(DiskId).collect(),
                membership: Membership {
                    min_disks: 3,
                    ..view(replicas, &[], &[]).membership
                },
                ..view(replicas, unresponsive, &[2, 3, 5, 7])
            }
        };
    let change = |group: GroupView| group.next_change(&[]);
    let promote = Some(MembershipChange::Promote(DiskId(7)));
    let four = [
        (1, "a", V),
        (2, "b", V),
        (3, "c", V),
        (4, "a", V),
        (7, "c", L),
    ];
    assert_eq!(change(group(&four, &[4], &[])), None);
    assert_eq!(change(group(&four, &[], &[])), promote);
    // The voter was unresponsive for the limit, so it is removed first.
    let remove = Some(MembershipChange::Remove(DiskId(4)));
    assert_eq!(change(group(&four, &[4], &[4])), remove);
    // Another voter is behind, so it cannot be removed yet; the learner waits until it is given up.
    let behind = GroupView {
        caught_up: BTreeSet::from([DiskId(2), DiskId(7)]),
        ..group(&four, &[4], &[4])
    };
    assert_eq!(change(behind.clone()), None);
    let given_up = GroupView {
        lost: BTreeSet::from([DiskId(4)]),
        ..behind
    };
    assert_eq!(change(given_up), promote);
    // Of six voters three may be lost.
    let five = [
        (1, "a", V),
        (2, "b", V),
        (3, "c", V),
        (4, "a", V),
        (5, "b", V),
        (7, "c", L),
    ];
    assert_eq!(change(group(&five, &[4], &[])), promote);
    // Two voters cannot guarantee durability, so nothing is accepted before the promotion.
    let two = [(1, "a", V), (4, "a", V), (7, "c", L)];
    assert_eq!(change(group(&two, &[4], &[])), promote);
}

/// Guards against two quorums: the number of disks is changed in the group's log, once enough voters are up to date.
#[test]
fn required_number_of_disks_is_set_once_enough_voters_are_up_to_date() {
    let three = [(1, "a", V), (2, "b", V), (3, "c", V)];
    let change = |min_disks, caught_up: &[u64]| {
        let group = GroupView {
            min_disks,
            ..view(&three, &[], caught_up)
        };
        group.next_change(&[])
    };
    assert_eq!(change(3, &[2, 3]), Some(MembershipChange::SetMinDisks(3)));
    assert_eq!(change(3, &[2]), None);
    assert_eq!(change(2, &[2, 3]), None, "a majority has two disks");
}
