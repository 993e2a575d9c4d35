//! What the upkeep of a group does at one look, condition by condition.

use firshore_log::GroupStatus;
use firshore_log::placement::Candidate;
use firshore_node::journal::group_manager::{
    GroupAction, GroupInput, GroupManager, GroupPolicy, LeavingNodes,
};
use firshore_node::journal::registry::VoterRecord;
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};
use firshore_types::ids::NodeName;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

const CATCH_UP: Duration = Duration::from_secs(5);

fn disks(numbers: &[u64]) -> BTreeSet<DiskId> {
    numbers.iter().copied().map(DiskId).collect()
}

fn candidate(node: u64, disk: u64) -> Candidate {
    Candidate {
        disk: DiskId(disk),
        node: format!("node-{node}").as_str().into(),
        zone: format!("zone-{node}").as_str().into(),
    }
}

fn membership(numbers: &[u64]) -> Membership {
    let replicas = numbers.iter().map(|number| {
        let info = candidate(*number, *number).info(ReplicaRole::Voter);
        (DiskId(*number), info)
    });
    Membership {
        replicas: replicas.collect::<std::collections::BTreeMap<DiskId, ReplicaInfo>>(),
    }
}

/// What is known on node 1, whose replica is on disk 1.
struct Scene {
    start: Instant,
    keeper: GroupManager,
    status: GroupStatus,
    candidates: Vec<Candidate>,
    leaving: Option<LeavingNodes>,
    record: Option<VoterRecord>,
    doubtful: bool,
    listed: bool,
}

impl Scene {
    /// A group of these voters without a leader, of which the record says the same.
    fn leaderless(voters: &[u64], losses: usize) -> Self {
        let mut stored = StoredState::default();
        stored.apply(&StoredState::founding(membership(voters)));
        let replica = Replica::restore(0, DiskId(1), Timing::default(), stored, 1);
        Self {
            start: Instant::now(),
            keeper: GroupManager::new(GroupPolicy {
                target_voters: 2 * losses + 1,
                min_disks: losses + 1,
                catch_up: CATCH_UP,
            }),
            status: GroupStatus::of(&replica, 1_500),
            candidates: voters.iter().map(|one| candidate(*one, *one)).collect(),
            leaving: Some(LeavingNodes::default()),
            record: Some(VoterRecord {
                voters: disks(voters),
                settled: true,
                term: 1,
                ..VoterRecord::default()
            }),
            doubtful: false,
            listed: true,
        }
    }

    /// The same, led by this node, with everything held by all.
    fn leading(voters: &[u64], losses: usize) -> Self {
        let mut scene = Self::leaderless(voters, losses);
        scene.status.leads = true;
        scene.status.leader = Some("node-1".into());
        scene.status.membership_committed = true;
        scene.status.caught_up = disks(voters);
        scene
    }

    /// A node comes back with another disk.
    fn wiped(mut self, node: u64) -> Self {
        let name = candidate(node, node).node;
        let mut listed = self.candidates.iter_mut();
        let candidate = listed.find(|one| one.node == name);
        candidate.expect("it is listed").disk = DiskId(100 + node);
        self
    }

    fn recorded(mut self, record: VoterRecord) -> Self {
        self.record = Some(record);
        self
    }

    /// What to do after this part of the time in which a disk has to catch up.
    fn step(&mut self, share: f64) -> GroupAction {
        self.keeper.observe(self.start, &self.status);
        let now = self.start + CATCH_UP.mul_f64(share);
        let node = NodeName::from("node-1");
        let view = GroupInput {
            node: &node,
            status: &self.status,
            candidates: &self.candidates,
            leaving: self.leaving.as_ref(),
            recorded: self.record.as_ref(),
            write_unconfirmed: self.doubtful,
            listed_at: self.listed.then_some(now),
        };
        self.keeper.step(now, &view)
    }

    fn is_drained(&mut self, node: &str) -> bool {
        let own = NodeName::from("node-1");
        let view = GroupInput {
            node: &own,
            status: &self.status,
            candidates: &self.candidates,
            leaving: self.leaving.as_ref(),
            recorded: self.record.as_ref(),
            write_unconfirmed: self.doubtful,
            listed_at: None,
        };
        self.keeper.is_drained(&view, &NodeName::from(node))
    }
}

/// The voters that a step records.
fn recorded(step: GroupAction) -> Option<BTreeSet<DiskId>> {
    match step {
        GroupAction::Record(record) => Some(record.voters),
        _ => None,
    }
}

fn is_survivor(step: &GroupAction) -> bool {
    matches!(step, GroupAction::ContinueWith(_))
}

fn unsettled(voters: &[u64], before: &[&[u64]]) -> VoterRecord {
    VoterRecord {
        voters: disks(voters),
        settled: false,
        term: 1,
        before: before.iter().map(|one| disks(one)).collect(),
        gone: BTreeSet::new(),
        left_behind: None,
        history: 0,
        begins: false,
    }
}

#[test]
fn one_of_a_pair_goes_on_once_it_is_recorded() {
    let mut scene = Scene::leaderless(&[1, 2], 1).wiped(2);
    assert_eq!(recorded(scene.step(0.01)), Some(disks(&[1])));
    let mut scene = scene.recorded(unsettled(&[1], &[&[1, 2]]));
    assert!(is_survivor(&scene.step(0.02)));
    scene.doubtful = true;
    assert_eq!(recorded(scene.step(0.03)), Some(disks(&[1])));
}

#[test]
fn nobody_goes_on_by_what_was_listed_before_the_leader_was_lost() {
    let mut scene = Scene::leaderless(&[1, 2], 1).wiped(2);
    scene.listed = false;
    assert_eq!(scene.step(2.0), GroupAction::Idle);
    scene.listed = true;
    scene.leaving = None;
    assert_eq!(scene.step(2.0), GroupAction::ListLeaving);
}

#[test]
fn nobody_goes_on_where_another_group_may_be_in_force_that_holds_more() {
    let record = unsettled(&[1, 2], &[&[1, 2, 3]]);
    let mut scene = Scene::leaderless(&[1, 2], 1).wiped(2).recorded(record);
    scene.candidates.push(candidate(3, 3));
    // The third may have committed something with the second: both have to go on.
    assert_eq!(recorded(scene.step(0.1)), Some(disks(&[1, 3])));
    let gone = scene
        .candidates
        .iter_mut()
        .find(|one| one.disk == DiskId(3));
    gone.unwrap().node = "elsewhere".into();
    scene.candidates.retain(|one| one.disk != DiskId(3));
    assert_eq!(scene.step(0.2), GroupAction::Idle);
    let mut old = scene.recorded(VoterRecord {
        term: 0,
        ..unsettled(&[1, 2], &[])
    });
    assert_eq!(old.step(2.0), GroupAction::Idle, "it names no groups");
}

#[test]
fn silent_voters_are_left_out_only_by_as_many_as_commit_together() {
    let mut pair = Scene::leaderless(&[1, 2], 1);
    assert_eq!(pair.step(0.1), GroupAction::Idle);
    assert_eq!(recorded(pair.step(1.0)), Some(disks(&[1])));
    let mut three = Scene::leaderless(&[1, 2, 3], 1);
    assert_eq!(three.step(2.0), GroupAction::Idle, "two might have more");
    let mut five = Scene::leaderless(&[1, 2, 3, 4, 5, 6], 2);
    five.status.heard = disks(&[2, 3]);
    assert_eq!(
        five.step(2.0),
        GroupAction::Idle,
        "three do not commit together"
    );
}

#[test]
fn two_of_four_go_on_where_the_others_have_lost_their_disks() {
    let mut scene = Scene::leaderless(&[1, 2, 3, 4], 2).wiped(3).wiped(4);
    assert_eq!(recorded(scene.step(0.1)), Some(disks(&[1, 2])));
    let mut too_few = Scene::leaderless(&[1, 2, 3], 1).wiped(2).wiped(3);
    assert_eq!(too_few.step(2.0), GroupAction::Idle);
}

#[test]
fn the_one_left_behind_goes_on_only_once_the_lone_voter_is_gone() {
    let left = VoterRecord {
        left_behind: Some(DiskId(1)),
        ..unsettled(&[2], &[&[1, 2]])
    };
    let mut scene = Scene::leaderless(&[1, 2], 1).recorded(left.clone());
    assert_eq!(scene.step(2.0), GroupAction::Idle);
    let mut scene = scene.wiped(2);
    assert_eq!(recorded(scene.step(2.0)), Some(disks(&[1])));
    let other = VoterRecord {
        left_behind: Some(DiskId(9)),
        ..left
    };
    assert_eq!(scene.recorded(other).step(2.0), GroupAction::Idle);
}

#[test]
fn three_go_on_where_whatever_the_silent_one_could_gather_contains_one_that_commits() {
    // On the way from four voters to five one disk was lost and another machine went for good.
    let record = unsettled(&[1, 2, 3, 4, 5], &[&[1, 2, 3, 4]]);
    let mut scene = Scene::leaderless(&[1, 2, 3, 4], 2)
        .wiped(3)
        .recorded(record);
    scene.candidates.push(candidate(5, 5));
    scene.status.heard = disks(&[2, 5]);
    assert_eq!(recorded(scene.step(1.0)), Some(disks(&[1, 2, 5])));
    scene.status.heard = disks(&[2]);
    assert_eq!(scene.step(1.0), GroupAction::Idle, "three of five are out");
}

#[test]
fn the_short_wait_is_for_any_group_whose_place_another_disk_could_take() {
    let mut scene = Scene::leaderless(&[1, 2, 3, 4], 2).wiped(3);
    scene.status.heard = disks(&[2]);
    assert_eq!(scene.step(0.2), GroupAction::Idle);
    assert_eq!(recorded(scene.step(0.4)), Some(disks(&[1, 2])));
    scene.candidates.retain(|one| one.disk != DiskId(103));
    scene.candidates.push(candidate(3, 3));
    assert_eq!(
        scene.step(0.4),
        GroupAction::Idle,
        "nothing could replace it"
    );
}

#[test]
fn a_voter_that_was_gone_before_another_came_never_held_what_they_committed() {
    let record = VoterRecord {
        gone: disks(&[4]),
        ..unsettled(&[1, 2, 3, 4, 5], &[&[1, 2, 3, 4]])
    };
    let mut scene = Scene::leaderless(&[1, 2, 3, 4, 5], 2)
        .wiped(3)
        .wiped(4)
        .wiped(5)
        .recorded(record.clone());
    scene.status.membership = membership(&[1, 2, 3, 4, 5]);
    assert_eq!(recorded(scene.step(0.1)), Some(disks(&[1, 2])));
    let mut scene = scene.recorded(VoterRecord {
        gone: BTreeSet::new(),
        ..record.clone()
    });
    assert_eq!(scene.step(0.2), GroupAction::Idle, "it may have been there");
    // In the group before, it was.
    let mut scene = scene.recorded(VoterRecord {
        before: vec![disks(&[1, 3, 4])],
        ..record
    });
    assert_eq!(scene.step(0.3), GroupAction::Idle);
}

/// What is recorded of a lone voter on disk 2 that went on without disk 1.
fn lone(voters: &[u64]) -> VoterRecord {
    VoterRecord {
        left_behind: Some(DiskId(1)),
        history: 4,
        ..unsettled(voters, &[&[2]])
    }
}

#[test]
fn the_one_left_behind_shuts_a_silent_lone_voter_out() {
    let scene = || {
        let mut scene = Scene::leaderless(&[1, 2], 1);
        scene.status.history = 4;
        scene
    };
    for voters in [&[2][..], &[1, 2]] {
        let mut scene = scene().recorded(lone(voters));
        assert_eq!(scene.step(0.0), GroupAction::Idle, "it may go on itself");
        assert_eq!(scene.step(0.9), GroupAction::Idle);
        let GroupAction::Record(begun) = scene.step(1.1) else {
            panic!("it waited for the whole time");
        };
        assert_eq!((begun.voters.clone(), begun.history), (disks(&[1]), 5));
        assert_eq!(begun.left_behind, Some(DiskId(2)), "which may do the same");
        assert!(begun.before.is_empty());
        let mut scene = scene.recorded(begun);
        assert!(is_survivor(&scene.step(1.2)));
    }
    let mut replaced = scene().recorded(lone(&[2]));
    replaced.candidates.push(candidate(3, 3));
    assert_eq!(replaced.step(0.0), GroupAction::Idle);
    assert_eq!(recorded(replaced.step(0.4)), Some(disks(&[1])));
    // What the lone voter promises together with another disk is not here.
    let mut joined = scene().recorded(lone(&[2, 3]));
    joined.candidates.push(candidate(3, 3));
    assert_eq!(joined.step(0.0), GroupAction::Idle);
    assert_eq!(joined.step(2.0), GroupAction::Idle);
    // Once that voter's disk is gone, what is not here is on the disk that it took in.
    let mut joined = joined.wiped(2);
    assert_eq!(recorded(joined.step(2.1)), Some(disks(&[1, 3])));
    let mut other = scene().recorded(lone(&[2, 3]));
    other.candidates.push(candidate(3, 3));
    let mut other = other.wiped(3);
    assert_eq!(
        other.step(2.0),
        GroupAction::Idle,
        "the lone one may hold it"
    );
}

#[test]
fn whoever_is_of_an_earlier_history_than_the_record_joins_the_later_one() {
    let later = VoterRecord {
        history: 1,
        begins: true,
        ..unsettled(&[2], &[])
    };
    let mut led = Scene::leading(&[1], 1).recorded(later.clone());
    assert_eq!(led.step(0.1), GroupAction::JoinHistory(1));
    let mut left = Scene::leaderless(&[1, 2], 1).recorded(later.clone());
    assert_eq!(left.step(0.1), GroupAction::JoinHistory(1));
    let own = VoterRecord {
        voters: disks(&[1]),
        ..later
    };
    let mut begins = Scene::leaderless(&[1, 2], 1).recorded(own.clone());
    assert!(is_survivor(&begins.step(0.1)));
    let mut leads = Scene::leading(&[1, 2], 1).recorded(own);
    assert_eq!(leads.step(0.1), GroupAction::JoinHistory(1));
}

#[test]
fn a_pair_that_may_not_be_in_force_leaves_nobody_behind_who_could_go_on() {
    let left = |record: VoterRecord, committed: bool| {
        let mut scene = Scene::leaderless(&[1, 2], 1).recorded(record);
        let in_force: &[u64] = if committed { &[1, 2] } else { &[1] };
        scene.status.committed_membership = membership(in_force);
        match scene.step(1.0) {
            GroupAction::Record(record) => record.left_behind,
            step => panic!("{step:?}"),
        }
    };
    let promoting = unsettled(&[1, 2], &[&[1]]);
    assert_eq!(left(promoting.clone(), true), Some(DiskId(2)));
    assert_eq!(
        left(promoting, false),
        None,
        "it may lack what was promised before"
    );
}

#[test]
fn a_replica_that_was_removed_asks_the_store_nothing() {
    let mut scene = Scene::leaderless(&[1, 2, 3], 1).recorded(unsettled(&[2, 3], &[&[2, 3, 4]]));
    scene.leaving = None;
    assert_eq!(scene.step(2.0), GroupAction::Idle);
}

#[test]
fn one_that_follows_a_lone_voter_in_the_log_goes_on_without_it() {
    // Nothing was promised by the lone one, and all since needed both.
    let record = VoterRecord {
        left_behind: Some(DiskId(9)),
        ..unsettled(&[1, 2], &[&[2]])
    };
    let mut scene = Scene::leaderless(&[1, 2], 1).wiped(2).recorded(record);
    assert_eq!(recorded(scene.step(0.1)), Some(disks(&[1])));
}

#[test]
fn a_disk_that_never_catches_up_makes_way_for_another() {
    let mut scene = Scene::leading(&[1, 2, 3], 1).wiped(3);
    let learner = candidate(3, 103).info(ReplicaRole::Learner);
    let replicas = &mut scene.status.membership.replicas;
    replicas.remove(&DiskId(3));
    replicas.insert(DiskId(103), learner);
    scene.status.caught_up = disks(&[1, 2]);
    scene.step(0.0);
    assert!(
        !matches!(scene.step(3.0), GroupAction::PassOver(..)),
        "no other is there"
    );
    scene.candidates.push(candidate(4, 4));
    assert!(matches!(
        scene.step(3.0),
        GroupAction::PassOver(DiskId(103), _)
    ));
}

#[test]
fn a_change_follows_only_its_own_record_of_this_term() {
    let change = |record: VoterRecord| {
        let mut scene = Scene::leading(&[1, 2, 3], 1).wiped(3);
        scene.recorded_step(record)
    };
    let own = unsettled(&[1, 2], &[&[1, 2, 3]]);
    assert!(matches!(change(own.clone()), GroupAction::Change(_)));
    let earlier = VoterRecord { term: 0, ..own };
    assert!(matches!(change(earlier), GroupAction::Record(_)));
}

impl Scene {
    fn recorded_step(&mut self, record: VoterRecord) -> GroupAction {
        self.record = Some(record);
        self.status.term = 1;
        self.step(0.1)
    }
}

#[test]
fn a_leader_that_does_not_know_who_leaves_changes_nothing() {
    let mut scene = Scene::leading(&[1, 2, 3], 1).wiped(3);
    scene.leaving = None;
    assert_eq!(scene.step(0.1), GroupAction::Idle);
}

#[test]
fn a_node_is_empty_once_a_committed_group_without_it_keeps_promises() {
    let mut pair = Scene::leading(&[1, 2], 1);
    assert!(pair.is_drained("node-3"));
    assert!(!pair.is_drained("node-2"));
    pair.status.membership_committed = false;
    assert!(!pair.is_drained("node-3"));
    let mut lone = Scene::leading(&[1], 1);
    assert!(!lone.is_drained("node-3"), "its disk may be needed");
    let mut three = Scene::leading(&[1, 2, 3], 2);
    assert!(!three.is_drained("node-4"), "two of three commit");
}

#[test]
fn a_leader_on_a_node_that_leaves_hands_over_only_to_one_that_stays() {
    let leaving = |nodes: &[&str]| LeavingNodes {
        open: nodes.iter().map(|node| NodeName::from(*node)).collect(),
        ..LeavingNodes::default()
    };
    let mut scene = Scene::leading(&[1, 2], 1);
    scene.leaving = Some(leaving(&["node-1"]));
    assert_eq!(scene.step(0.1), GroupAction::StepAside(DiskId(2)));
    scene.leaving = Some(leaving(&["node-1", "node-2"]));
    assert!(!matches!(scene.step(0.1), GroupAction::StepAside(_)));
}

#[test]
fn disks_on_nodes_that_leave_serve_while_the_group_is_short() {
    let leaving = LeavingNodes {
        open: BTreeSet::from([NodeName::from("node-2")]),
        ..LeavingNodes::default()
    };
    let mut scene = Scene::leading(&[1], 1);
    scene.candidates.push(candidate(2, 2));
    scene.leaving = Some(leaving.clone());
    assert!(matches!(scene.step(0.1), GroupAction::Change(_)));
    scene.leaving = Some(LeavingNodes {
        done: leaving.open,
        ..LeavingNodes::default()
    });
    assert!(
        !matches!(scene.step(0.2), GroupAction::Change(_)),
        "it is gone"
    );
}

/// A lone voter tried two nodes that had gone for good in turn, as long as their pauses allowed, and one that
/// was there again only when both were passed over: "Disk passed over." eight times in 7 s.
#[test]
fn disks_that_failed_less_often_are_tried_first() {
    let mut scene = Scene::leading(&[1], 1);
    scene.candidates.extend([candidate(2, 2), candidate(3, 3)]);
    let mut tried = Vec::new();
    for turn in 0..8 {
        let at = 2.0 * f64::from(turn);
        let GroupAction::Change(MembershipChange::AddLearner(disk, info)) = scene.step(at) else {
            panic!("a disk is wanted");
        };
        tried.push(disk);
        let mut group = membership(&[1]);
        let role = ReplicaRole::Learner;
        group.replicas.insert(
            disk,
            ReplicaInfo {
                role,
                ..info.clone()
            },
        );
        scene.status.membership = group;
        scene.status.silent = BTreeSet::from([disk]);
        assert!(matches!(scene.step(at + 0.1), GroupAction::PassOver(..)));
        scene.status.membership = membership(&[1]);
        scene.status.silent = BTreeSet::new();
    }
    let turns = |disk: u64| tried.iter().filter(|one| **one == DiskId(disk)).count();
    assert_eq!([turns(2), turns(3)], [4, 4]);
}
