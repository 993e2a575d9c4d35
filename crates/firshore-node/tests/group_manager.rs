//! Single steps of the group manager, condition by condition.

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

const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);

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
        ..Membership::default()
    }
}

/// A group manager on node 1, whose replica is on disk 1, with the inputs of its steps.
struct GroupFixture {
    start: Instant,
    manager: GroupManager,
    status: GroupStatus,
    candidates: Vec<Candidate>,
    leaving: Option<LeavingNodes>,
    record: Option<VoterRecord>,
    write_unconfirmed: bool,
    is_listed: bool,
}

impl GroupFixture {
    /// Returns a group of these voters without a leader; the record agrees with it.
    fn leaderless(voters: &[u64], losses: usize) -> Self {
        let mut stored = StoredState::default();
        stored.apply(&StoredState::founding(membership(voters)));
        let replica = Replica::restore(0, DiskId(1), Timing::default(), stored, 1);
        Self {
            start: Instant::now(),
            manager: GroupManager::new(GroupPolicy {
                target_voters: 2 * losses + 1,
                min_disks: losses + 1,
                catch_up: CATCH_UP_TIMEOUT,
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
            write_unconfirmed: false,
            is_listed: true,
        }
    }

    /// Returns a group led by this node, with all voters caught up.
    fn leading(voters: &[u64], losses: usize) -> Self {
        let mut fixture = Self::leaderless(voters, losses);
        fixture.status.leads = true;
        fixture.status.leader = Some("node-1".into());
        fixture.status.membership_committed = true;
        fixture.status.caught_up = disks(voters);
        fixture
    }

    /// Replaces the disk of a node.
    fn with_new_disk(mut self, node: u64) -> Self {
        let name = candidate(node, node).node;
        let mut listed = self.candidates.iter_mut();
        let candidate = listed.find(|one| one.node == name);
        candidate.expect("the node is listed").disk = DiskId(100 + node);
        self
    }

    fn with_record(mut self, record: VoterRecord) -> Self {
        self.record = Some(record);
        self
    }

    /// Returns the action at this fraction of the catch-up timeout after the start.
    fn step(&mut self, fraction: f64) -> GroupAction {
        self.manager.observe(self.start, &self.status);
        let now = self.start + CATCH_UP_TIMEOUT.mul_f64(fraction);
        let node = NodeName::from("node-1");
        let group_input = GroupInput {
            node: &node,
            status: &self.status,
            candidates: &self.candidates,
            leaving: self.leaving.as_ref(),
            recorded: self.record.as_ref(),
            write_unconfirmed: self.write_unconfirmed,
            listed_at: self.is_listed.then_some(now),
        };
        self.manager.step(now, &group_input)
    }

    /// Lets the attempt with the next learner fail, and returns its disk.
    fn fail_attempt(&mut self, fraction: f64) -> DiskId {
        let GroupAction::Change(MembershipChange::AddLearner(disk, info)) = self.step(fraction)
        else {
            panic!("a disk is needed");
        };
        let without = self.status.membership.clone();
        self.status.membership.replicas.insert(disk, info);
        self.status.unresponsive = BTreeSet::from([disk]);
        let step = self.step(fraction + 0.01);
        assert!(matches!(step, GroupAction::PassOver(..)), "{step:?}");
        self.status.membership = without;
        self.status.unresponsive = BTreeSet::new();
        disk
    }

    fn is_drained(&mut self, node: &str) -> bool {
        let local = NodeName::from("node-1");
        let group_input = GroupInput {
            node: &local,
            status: &self.status,
            candidates: &self.candidates,
            leaving: self.leaving.as_ref(),
            recorded: self.record.as_ref(),
            write_unconfirmed: self.write_unconfirmed,
            listed_at: None,
        };
        self.manager
            .is_drained(self.start, &group_input, &NodeName::from(node))
    }
}

/// Returns the voters that a step records.
fn recorded_voters(step: GroupAction) -> Option<BTreeSet<DiskId>> {
    match step {
        GroupAction::Record(record) => Some(record.voters),
        _ => None,
    }
}

fn continues_with(step: &GroupAction) -> bool {
    matches!(step, GroupAction::ContinueWith(_))
}

fn unsettled(voters: &[u64], before: &[&[u64]]) -> VoterRecord {
    VoterRecord {
        voters: disks(voters),
        settled: false,
        term: 1,
        before: before.iter().map(|one| disks(one)).collect(),
        gone: BTreeSet::new(),
        ..VoterRecord::default()
    }
}

#[test]
fn one_of_a_pair_continues_once_recorded() {
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_new_disk(2);
    assert_eq!(recorded_voters(fixture.step(0.01)), Some(disks(&[1])));
    let mut fixture = fixture.with_record(unsettled(&[1], &[&[1, 2]]));
    assert!(continues_with(&fixture.step(0.02)));
    fixture.write_unconfirmed = true;
    assert_eq!(recorded_voters(fixture.step(0.03)), Some(disks(&[1])));
}

#[test]
fn listing_before_the_loss_of_the_leader_is_not_used() {
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_new_disk(2);
    fixture.is_listed = false;
    assert_eq!(fixture.step(2.0), GroupAction::Idle);
    fixture.is_listed = true;
    fixture.leaving = None;
    assert_eq!(fixture.step(2.0), GroupAction::ListLeaving);
}

#[test]
fn voter_does_not_continue_if_another_group_may_hold_more() {
    let record = unsettled(&[1, 2], &[&[1, 2, 3]]);
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1)
        .with_new_disk(2)
        .with_record(record);
    fixture.candidates.push(candidate(3, 3));
    // The third may have committed entries with the second, so both must continue.
    assert_eq!(recorded_voters(fixture.step(0.1)), Some(disks(&[1, 3])));
    let third = fixture
        .candidates
        .iter_mut()
        .find(|one| one.disk == DiskId(3));
    third.unwrap().node = "elsewhere".into();
    fixture.candidates.retain(|one| one.disk != DiskId(3));
    assert_eq!(fixture.step(0.2), GroupAction::Idle);
    let mut old = fixture.with_record(VoterRecord {
        term: 0,
        ..unsettled(&[1, 2], &[])
    });
    assert_eq!(
        old.step(2.0),
        GroupAction::Idle,
        "it names no earlier groups"
    );
}

#[test]
fn unresponsive_voters_are_excluded_only_by_a_quorum() {
    let mut pair = GroupFixture::leaderless(&[1, 2], 1);
    assert_eq!(pair.step(0.1), GroupAction::Idle);
    assert_eq!(recorded_voters(pair.step(1.0)), Some(disks(&[1])));
    let mut three = GroupFixture::leaderless(&[1, 2, 3], 1);
    assert_eq!(
        three.step(2.0),
        GroupAction::Idle,
        "the other two may hold more"
    );
    let mut five = GroupFixture::leaderless(&[1, 2, 3, 4, 5, 6], 2);
    five.status.responsive = disks(&[2, 3]);
    assert_eq!(five.step(2.0), GroupAction::Idle, "three cannot commit");
}

#[test]
fn two_of_four_continue_after_the_others_lost_their_disks() {
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(3)
        .with_new_disk(4);
    assert_eq!(recorded_voters(fixture.step(0.1)), Some(disks(&[1, 2])));
    let mut too_few = GroupFixture::leaderless(&[1, 2, 3], 1)
        .with_new_disk(2)
        .with_new_disk(3);
    assert_eq!(too_few.step(2.0), GroupAction::Idle);
}

#[test]
fn voter_left_behind_continues_only_after_the_lone_voter_is_lost() {
    let left = VoterRecord {
        left_behind: vec![disks(&[1])],
        ..unsettled(&[2], &[&[1, 2]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_record(left.clone());
    assert_eq!(fixture.step(2.0), GroupAction::Idle);
    let mut fixture = fixture.with_new_disk(2);
    assert_eq!(recorded_voters(fixture.step(2.0)), Some(disks(&[1])));
    let other = VoterRecord {
        left_behind: vec![disks(&[9])],
        ..left
    };
    assert_eq!(fixture.with_record(other).step(2.0), GroupAction::Idle);
}

#[test]
fn three_continue_if_every_quorum_of_the_unresponsive_voter_includes_one() {
    // During the change from four voters to five, one disk was lost and another node was removed.
    let record = unsettled(&[1, 2, 3, 4, 5], &[&[1, 2, 3, 4]]);
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(3)
        .with_record(record);
    fixture.candidates.push(candidate(5, 5));
    fixture.status.responsive = disks(&[2, 5]);
    assert_eq!(recorded_voters(fixture.step(1.0)), Some(disks(&[1, 2, 5])));
    fixture.status.responsive = disks(&[2]);
    assert_eq!(
        fixture.step(1.0),
        GroupAction::Idle,
        "three of five are missing"
    );
}

#[test]
fn wait_is_short_if_another_disk_could_replace_the_voter() {
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2).with_new_disk(3);
    fixture.status.responsive = disks(&[2]);
    assert_eq!(fixture.step(0.2), GroupAction::Idle);
    assert_eq!(recorded_voters(fixture.step(0.4)), Some(disks(&[1, 2])));
    fixture.candidates.retain(|one| one.disk != DiskId(103));
    fixture.candidates.push(candidate(3, 3));
    assert_eq!(
        fixture.step(0.4),
        GroupAction::Idle,
        "no disk could replace it"
    );
}

#[test]
fn voter_lost_before_a_later_change_holds_none_of_its_entries() {
    let record = VoterRecord {
        gone: disks(&[4]),
        ..unsettled(&[1, 2, 3, 4, 5], &[&[1, 2, 3, 4]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4, 5], 2)
        .with_new_disk(3)
        .with_new_disk(4)
        .with_new_disk(5)
        .with_record(record.clone());
    fixture.status.membership = membership(&[1, 2, 3, 4, 5]);
    assert_eq!(recorded_voters(fixture.step(0.1)), Some(disks(&[1, 2])));
    let mut fixture = fixture.with_record(VoterRecord {
        gone: BTreeSet::new(),
        ..record.clone()
    });
    assert_eq!(
        fixture.step(0.2),
        GroupAction::Idle,
        "it may have been a voter"
    );
    // It was a voter of the group before.
    let mut fixture = fixture.with_record(VoterRecord {
        before: vec![disks(&[1, 3, 4])],
        ..record
    });
    assert_eq!(fixture.step(0.3), GroupAction::Idle);
}

/// Returns the record of a lone voter on disk 2 that continued without disk 1.
fn lone_voter_record(voters: &[u64]) -> VoterRecord {
    VoterRecord {
        left_behind: vec![disks(&[1])],
        history: 4,
        ..unsettled(voters, &[&[2]])
    }
}

#[test]
fn voter_left_behind_excludes_an_unresponsive_lone_voter() {
    let fixture = || {
        let mut fixture = GroupFixture::leaderless(&[1, 2], 1);
        fixture.status.history = 4;
        fixture
    };
    for voters in [&[2][..], &[1, 2]] {
        let mut fixture = fixture().with_record(lone_voter_record(voters));
        assert_eq!(
            fixture.step(0.0),
            GroupAction::Idle,
            "the lone voter may continue"
        );
        assert_eq!(fixture.step(0.9), GroupAction::Idle);
        let GroupAction::Record(begun_record) = fixture.step(1.1) else {
            panic!("the timeout has expired");
        };
        assert_eq!(
            (begun_record.voters.clone(), begun_record.history),
            (disks(&[1]), 5)
        );
        assert_eq!(
            begun_record.left_behind,
            [disks(&[2])],
            "the lone voter may do the same later"
        );
        assert!(begun_record.before.is_empty());
        let mut fixture = fixture.with_record(begun_record);
        assert!(continues_with(&fixture.step(1.2)));
    }
    let mut replaced = fixture().with_record(lone_voter_record(&[2]));
    replaced.candidates.push(candidate(3, 3));
    assert_eq!(replaced.step(0.0), GroupAction::Idle);
    assert_eq!(recorded_voters(replaced.step(0.4)), Some(disks(&[1])));
    // Entries that the lone voter committed with another disk are missing here.
    let mut joined = fixture().with_record(lone_voter_record(&[2, 3]));
    joined.candidates.push(candidate(3, 3));
    assert_eq!(joined.step(0.0), GroupAction::Idle);
    assert_eq!(joined.step(2.0), GroupAction::Idle);
    // Once the lone voter's disk is lost, those entries are on the disk that it added.
    let mut joined = joined.with_new_disk(2);
    assert_eq!(recorded_voters(joined.step(2.1)), Some(disks(&[1, 3])));
    let mut other = fixture().with_record(lone_voter_record(&[2, 3]));
    other.candidates.push(candidate(3, 3));
    let mut other = other.with_new_disk(3);
    assert_eq!(
        other.step(2.0),
        GroupAction::Idle,
        "the lone voter may hold missing entries"
    );
}

#[test]
fn replica_of_an_earlier_history_joins_the_recorded_one() {
    let later = VoterRecord {
        history: 1,
        begins: true,
        ..unsettled(&[2], &[])
    };
    let mut led = GroupFixture::leading(&[1], 1).with_record(later.clone());
    assert_eq!(led.step(0.1), GroupAction::JoinHistory(1));
    let mut left = GroupFixture::leaderless(&[1, 2], 1).with_record(later.clone());
    assert_eq!(left.step(0.1), GroupAction::JoinHistory(1));
    let local = VoterRecord {
        voters: disks(&[1]),
        ..later
    };
    let mut begins = GroupFixture::leaderless(&[1, 2], 1).with_record(local.clone());
    assert!(continues_with(&begins.step(0.1)));
    let mut leads = GroupFixture::leading(&[1, 2], 1).with_record(local);
    assert_eq!(leads.step(0.1), GroupAction::JoinHistory(1));
}

#[test]
fn uncommitted_pair_records_no_voter_left_behind() {
    let left = |record: VoterRecord, committed: bool| {
        let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_record(record);
        let in_force: &[u64] = if committed { &[1, 2] } else { &[1] };
        fixture.status.committed_membership = membership(in_force);
        match fixture.step(1.0) {
            GroupAction::Record(record) => record.left_behind,
            step => panic!("{step:?}"),
        }
    };
    let promoting = unsettled(&[1, 2], &[&[1]]);
    assert_eq!(left(promoting.clone(), true), [disks(&[2])]);
    assert_eq!(
        left(promoting, false),
        Vec::<BTreeSet<DiskId>>::new(),
        "it may lack entries that were committed before"
    );
}

#[test]
fn removed_replica_queries_nothing() {
    let mut fixture =
        GroupFixture::leaderless(&[1, 2, 3], 1).with_record(unsettled(&[2, 3], &[&[2, 3, 4]]));
    fixture.leaving = None;
    assert_eq!(fixture.step(2.0), GroupAction::Idle);
}

#[test]
fn voter_added_by_a_lone_voter_continues_without_it() {
    // The lone voter committed nothing alone, and all later entries needed both.
    let record = VoterRecord {
        left_behind: vec![disks(&[9])],
        ..unsettled(&[1, 2], &[&[2]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1)
        .with_new_disk(2)
        .with_record(record);
    assert_eq!(recorded_voters(fixture.step(0.1)), Some(disks(&[1])));
}

#[test]
fn disk_that_never_catches_up_is_replaced() {
    let mut fixture = GroupFixture::leading(&[1, 2, 3], 1).with_new_disk(3);
    let learner = candidate(3, 103).info(ReplicaRole::Learner);
    let replicas = &mut fixture.status.membership.replicas;
    replicas.remove(&DiskId(3));
    replicas.insert(DiskId(103), learner);
    fixture.status.caught_up = disks(&[1, 2]);
    fixture.step(0.0);
    assert!(
        !matches!(fixture.step(3.0), GroupAction::PassOver(..)),
        "there is no other disk"
    );
    fixture.candidates.push(candidate(4, 4));
    assert!(matches!(
        fixture.step(3.0),
        GroupAction::PassOver(DiskId(103), _)
    ));
}

/// A leader that was suspended still leads by its own status. The survivors recorded their group meanwhile, in the
/// term after its own; it must neither overwrite that record nor change the membership.
#[test]
fn leader_of_an_earlier_term_than_the_record_steps_down() {
    let survivors = VoterRecord {
        term: 2,
        left_behind: vec![disks(&[1])],
        ..unsettled(&[2], &[&[1, 2]])
    };
    let elected = VoterRecord {
        settled: true,
        before: Vec::new(),
        ..survivors.clone()
    };
    let other_term = VoterRecord {
        voters: disks(&[1, 2]),
        left_behind: Vec::new(),
        ..elected.clone()
    };
    for record in [survivors, elected, other_term] {
        let mut fixture = GroupFixture::leading(&[1, 2], 1).with_record(record);
        assert_eq!(fixture.step(0.1), GroupAction::AdoptTerm(2));
        fixture.candidates.push(candidate(3, 3));
        assert_eq!(fixture.step(0.2), GroupAction::AdoptTerm(2));
    }
}

/// Whoever leads at that moment must not overwrite the record before it was elected after the survivors wrote it.
#[test]
fn survivors_record_a_later_term_than_any_leader_that_they_know() {
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_new_disk(2);
    let GroupAction::Record(record) = fixture.step(0.1) else {
        panic!("the other disk is lost");
    };
    assert_eq!(record.term, fixture.status.term + 1);
    let mut fixture = fixture.with_record(VoterRecord {
        term: 7,
        ..unsettled(&[1, 2], &[])
    });
    let GroupAction::Record(record) = fixture.step(0.1) else {
        panic!("the other disk is lost");
    };
    assert_eq!(record.term, 8);
}

#[test]
fn change_requires_its_record_in_the_current_term() {
    let change = |record: VoterRecord| {
        let mut fixture = GroupFixture::leading(&[1, 2, 3], 1).with_new_disk(3);
        fixture.step_with_record(record)
    };
    let current = unsettled(&[1, 2], &[&[1, 2, 3]]);
    assert!(matches!(change(current.clone()), GroupAction::Change(_)));
    let earlier = VoterRecord { term: 0, ..current };
    assert!(matches!(change(earlier), GroupAction::Record(_)));
}

impl GroupFixture {
    fn step_with_record(&mut self, record: VoterRecord) -> GroupAction {
        self.record = Some(record);
        self.status.term = 1;
        self.step(0.1)
    }
}

#[test]
fn leader_without_the_leaving_nodes_changes_nothing() {
    let mut fixture = GroupFixture::leading(&[1, 2, 3], 1).with_new_disk(3);
    fixture.leaving = None;
    assert_eq!(fixture.step(0.1), GroupAction::Idle);
}

#[test]
fn node_is_drained_once_a_committed_group_without_it_is_durable() {
    let mut pair = GroupFixture::leading(&[1, 2], 1);
    assert!(pair.is_drained("node-3"));
    assert!(!pair.is_drained("node-2"));
    pair.status.membership_committed = false;
    assert!(!pair.is_drained("node-3"));
    let mut lone_voter_record = GroupFixture::leading(&[1], 1);
    assert!(
        !lone_voter_record.is_drained("node-3"),
        "its disk may still be needed"
    );
    let mut three = GroupFixture::leading(&[1, 2, 3], 2);
    assert!(!three.is_drained("node-4"), "two of three commit");
}

/// Guards against the loss of the only other copy right after the report, when the drained machine is gone.
#[test]
fn node_is_not_drained_while_a_remaining_voter_may_be_lost() {
    let mut pair = GroupFixture::leading(&[1, 2], 1);
    pair.status.caught_up = disks(&[1]);
    assert!(!pair.is_drained("node-3"));
    pair.status.caught_up = disks(&[1, 2]);
    pair.status.unresponsive = disks(&[2]);
    assert!(!pair.is_drained("node-3"));
}

/// The record names the smaller number of disks while a change of it may be in force or not.
#[test]
fn required_number_of_disks_is_recorded_before_it_changes() {
    let steps = |in_force: usize, losses: usize| {
        let mut fixture = GroupFixture::leading(&[1, 2, 3], losses);
        fixture.status.membership.min_disks = in_force;
        let settled = fixture.record.take().expect("the fixture has a record");
        let fixture_record = VoterRecord {
            min_disks: in_force,
            ..settled
        };
        let mut fixture = fixture.with_record(fixture_record);
        let GroupAction::Record(record) = fixture.step(0.1) else {
            panic!("the number of disks differs");
        };
        let mut fixture = fixture.with_record(record.clone());
        (record, fixture.step(0.2))
    };
    let (raised, change) = steps(0, 2);
    assert_eq!((raised.min_disks, raised.settled), (0, false));
    assert_eq!(
        change,
        GroupAction::Change(MembershipChange::SetMinDisks(3))
    );
    let (lowered, change) = steps(3, 1);
    assert_eq!((lowered.min_disks, lowered.settled), (2, false));
    assert_eq!(
        change,
        GroupAction::Change(MembershipChange::SetMinDisks(2))
    );
}

/// Two of four voters continue and can accept nothing; what was accepted before is on one of the other two at least.
/// If the two are lost, the others must be able to continue.
#[test]
fn disks_left_behind_by_voters_that_accept_nothing_continue_together() {
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2);
    fixture.candidates.push(candidate(5, 5));
    fixture.status.responsive = disks(&[2]);
    let GroupAction::Record(record) = fixture.step(1.1) else {
        panic!("two of four hold everything");
    };
    // Any two of the four hold everything, also if one of them continues.
    let pairs = [[1, 3], [1, 4], [2, 3], [2, 4], [3, 4]];
    assert_eq!(record.left_behind, pairs.map(|pair| disks(&pair)));
    let left = VoterRecord {
        voters: disks(&[3, 4]),
        before: vec![disks(&[1, 2, 3, 4])],
        left_behind: vec![disks(&[1, 2])],
        ..record
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2).with_record(left.clone());
    fixture.status.responsive = disks(&[2]);
    assert_eq!(fixture.step(0.0), GroupAction::Idle, "they may be back");
    let mut lost = fixture.with_new_disk(3).with_new_disk(4);
    let GroupAction::Record(begun) = lost.step(0.1) else {
        panic!("the others are lost");
    };
    assert_eq!((begun.voters, begun.history), (disks(&[1, 2]), 1));
    // With a third voter they may have accepted something that is missing here.
    let accepting = VoterRecord {
        voters: disks(&[3, 4, 5]),
        before: vec![disks(&[3, 4])],
        min_disks: 3,
        ..left
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2).with_record(accepting);
    fixture.candidates.push(candidate(5, 5));
    fixture.status.responsive = disks(&[2]);
    assert_eq!(fixture.step(0.0), GroupAction::Idle);
    assert_eq!(fixture.step(2.0), GroupAction::Idle);
}

#[test]
fn record_of_an_earlier_version_names_one_disk_left_behind() {
    let record = |text: &str| serde_json::from_str::<VoterRecord>(text).unwrap();
    let earlier = r#"{"voters":[2],"settled":true,"term":3,"left_behind":1,"history":0}"#;
    let decoded = record(earlier);
    assert_eq!(decoded.left_behind, [disks(&[1])]);
    assert_eq!(decoded.quorum_of(&disks(&[1, 2, 3])), 2);
    assert!(
        serde_json::to_string(&decoded)
            .unwrap()
            .contains(r#""left_behind":1"#)
    );
    let several = VoterRecord {
        left_behind: vec![disks(&[1, 3]), disks(&[4])],
        ..decoded
    };
    let written = serde_json::to_string(&several).unwrap();
    assert_eq!(record(&written), several);
}

#[test]
fn leader_on_a_leaving_node_hands_over_only_to_a_staying_node() {
    let leaving = |nodes: &[&str]| LeavingNodes {
        open: nodes.iter().map(|node| NodeName::from(*node)).collect(),
        ..LeavingNodes::default()
    };
    let mut fixture = GroupFixture::leading(&[1, 2], 1);
    fixture.leaving = Some(leaving(&["node-1"]));
    assert_eq!(fixture.step(0.1), GroupAction::StepAside(DiskId(2)));
    fixture.leaving = Some(leaving(&["node-1", "node-2"]));
    assert!(!matches!(fixture.step(0.1), GroupAction::StepAside(_)));
}

#[test]
fn disks_on_leaving_nodes_are_used_while_the_group_is_short() {
    let leaving = LeavingNodes {
        open: BTreeSet::from([NodeName::from("node-2")]),
        ..LeavingNodes::default()
    };
    let mut fixture = GroupFixture::leading(&[1], 1);
    fixture.candidates.push(candidate(2, 2));
    fixture.leaving = Some(leaving.clone());
    assert!(matches!(fixture.step(0.1), GroupAction::Change(_)));
    fixture.leaving = Some(LeavingNodes {
        done: leaving.open,
        ..LeavingNodes::default()
    });
    assert!(
        !matches!(fixture.step(0.2), GroupAction::Change(_)),
        "node-2 has left"
    );
}

/// Attempts must alternate between failing disks, or a lone voter keeps trying lost nodes while one that has
/// returned waits.
#[test]
fn disks_that_failed_less_recently_are_attempted_first() {
    let mut fixture = GroupFixture::leading(&[1], 1);
    fixture
        .candidates
        .extend([candidate(2, 2), candidate(3, 3)]);
    let mut attempted = Vec::new();
    for attempt in 0..8 {
        let at = 2.0 * f64::from(attempt);
        let GroupAction::Change(MembershipChange::AddLearner(disk, info)) = fixture.step(at) else {
            panic!("a disk is needed");
        };
        attempted.push(disk);
        let mut group = membership(&[1]);
        let role = ReplicaRole::Learner;
        group.replicas.insert(
            disk,
            ReplicaInfo {
                role,
                ..info.clone()
            },
        );
        fixture.status.membership = group;
        fixture.status.unresponsive = BTreeSet::from([disk]);
        assert!(matches!(fixture.step(at + 0.1), GroupAction::PassOver(..)));
        fixture.status.membership = membership(&[1]);
        fixture.status.unresponsive = BTreeSet::new();
    }
    let attempts = |disk: u64| attempted.iter().filter(|one| **one == DiskId(disk)).count();
    assert_eq!([attempts(2), attempts(3)], [4, 4]);
}

/// Guards against lost nodes that take turns as learners, so that the disk that could replace that of a node to drain
/// is never attempted.
#[test]
fn lost_nodes_do_not_block_the_replacement_of_a_drained_one() {
    let mut fixture = GroupFixture::leading(&[1, 2, 3], 1);
    let spare = [4, 5, 6].map(|number| candidate(number, number));
    fixture.candidates.extend(spare);
    fixture.leaving = Some(LeavingNodes {
        open: BTreeSet::from([NodeName::from("node-3")]),
        ..LeavingNodes::default()
    });
    let attempted = [0.0, 0.2, 0.4].map(|at| fixture.fail_attempt(at));
    let attempted = BTreeSet::from(attempted);
    assert_eq!(attempted, disks(&[4, 5, 6]));
}

/// Guards against disks that begin a history and wait for one of them that is lost, although their first leader was
/// elected already: the one that holds an entry of the history holds everything.
#[test]
fn disk_of_a_begun_history_continues_after_the_others_are_lost() {
    let record = VoterRecord {
        history: 1,
        begins: true,
        left_behind: vec![disks(&[3, 4])],
        min_disks: 3,
        ..unsettled(&[1, 2], &[])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2], 2).with_record(record);
    fixture.status.history = 1;
    assert!(continues_with(&fixture.step(0.1)), "nobody is elected yet");
    fixture.status.last.term = 1 << 32;
    assert_eq!(
        fixture.step(0.2),
        GroupAction::Idle,
        "both can elect a leader"
    );
    let mut lost = fixture.with_new_disk(2);
    let GroupAction::Record(record) = lost.step(0.3) else {
        panic!("the other disk is lost");
    };
    assert_eq!((record.voters.clone(), record.history), (disks(&[1]), 1));
    assert!(record.begins, "the other one may lack what this one holds");
    let mut lost = lost.with_record(record);
    assert!(continues_with(&lost.step(0.4)));
}

/// Guards against a survivor that has restarted, so that it knows of no committed change, and records nobody whom it
/// leaves behind.
#[test]
fn survivor_that_restarted_records_whom_it_leaves_behind() {
    let record = VoterRecord {
        min_disks: 3,
        ..unsettled(&[1, 2], &[&[1, 2, 3]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3], 2)
        .with_new_disk(3)
        .with_record(record);
    fixture.status.committed_membership = Membership::default();
    fixture.status.membership.min_disks = 3;
    fixture.status.responsive = BTreeSet::new();
    let GroupAction::Record(record) = fixture.step(1.1) else {
        panic!("each of the three holds everything");
    };
    assert_eq!(record.voters, disks(&[1]));
    assert_eq!(record.left_behind, [disks(&[2])]);
}

/// Guards against a lone voter whose added voter is lost, and which a later history left behind only together with that
/// one: each voter of a group in force holds everything.
#[test]
fn each_voter_of_a_shut_out_pair_may_begin_a_history() {
    let record = VoterRecord {
        voters: disks(&[2, 3]),
        settled: true,
        term: 1,
        min_disks: 3,
        left_behind: vec![disks(&[1])],
        ..VoterRecord::default()
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3], 2).with_record(record);
    assert_eq!(fixture.step(0.0), GroupAction::Idle);
    let GroupAction::Record(begun) = fixture.step(1.1) else {
        panic!("the pair can accept nothing");
    };
    assert_eq!((begun.voters, begun.history), (disks(&[1]), 1));
    assert_eq!(begun.left_behind, [disks(&[2]), disks(&[3])]);
}

/// Guards against survivors that were enough to accept something, lose a disk before they are elected, and have
/// forgotten that the others of them hold everything.
#[test]
fn sets_left_behind_outlast_survivors_that_are_not_elected() {
    let record = VoterRecord {
        min_disks: 3,
        left_behind: vec![disks(&[1, 4]), disks(&[3, 4])],
        ..unsettled(&[1, 2], &[&[1, 2, 3, 4]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2], 2)
        .with_new_disk(2)
        .with_record(record);
    fixture
        .candidates
        .extend([candidate(3, 3), candidate(4, 4)]);
    fixture.status.responsive = disks(&[3, 4]);
    let GroupAction::Record(record) = fixture.step(0.1) else {
        panic!("three of four hold everything");
    };
    assert_eq!(record.voters, disks(&[1, 3, 4]));
    assert!(record.left_behind.contains(&disks(&[1, 4])));
    // Disk 3 is lost as well, and may have been one of a pair that committed something that was not accepted.
    let record = VoterRecord {
        before: vec![disks(&[2, 3]), disks(&[1, 2, 3, 4])],
        ..record
    };
    let mut lost = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(2)
        .with_new_disk(3)
        .with_record(record);
    lost.status.responsive = disks(&[4]);
    assert_eq!(recorded_voters(lost.step(0.1)), Some(disks(&[1, 4])));
}

/// Guards against a disk that takes a recorded change to be committed because the same voters were in force before.
#[test]
fn earlier_group_of_the_same_voters_does_not_show_that_a_change_is_committed() {
    let record = VoterRecord {
        term: 7,
        ..unsettled(&[1, 2], &[&[2]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2], 1).with_record(record);
    assert_eq!(fixture.step(2.0), GroupAction::Idle, "disk 2 may hold more");
    fixture.status.last.term = 7;
    assert_eq!(recorded_voters(fixture.step(2.0)), Some(disks(&[1])));
}

/// Guards against survivors whose record was overwritten by a leader of the group before, elected at the same time: the
/// disks that they continued without hold everything, and must stay recorded.
#[test]
fn survivors_whose_record_was_overwritten_record_whom_they_left_behind() {
    let record = VoterRecord {
        voters: disks(&[1, 2]),
        settled: true,
        term: 10,
        min_disks: 2,
        ..VoterRecord::default()
    };
    let mut fixture = GroupFixture::leading(&[1], 1).with_record(record);
    fixture.status.term = 11;
    let GroupAction::Record(record) = fixture.step(0.1) else {
        panic!("the record names another group");
    };
    assert_eq!(record.voters, disks(&[1]));
    assert_eq!(record.left_behind, [disks(&[2])]);
}

/// Guards against a disk that can be reached again and waits until lost nodes have failed as often as it has.
#[test]
fn disk_with_many_failures_takes_its_turn() {
    let mut fixture = GroupFixture::leading(&[1], 1);
    fixture.candidates.push(candidate(4, 4));
    for attempt in 0..20 {
        assert_eq!(fixture.fail_attempt(f64::from(attempt)), DiskId(4));
    }
    fixture
        .candidates
        .extend([candidate(2, 2), candidate(3, 3)]);
    let turns = [20.0, 20.3, 20.6].map(|at| fixture.fail_attempt(at));
    assert_eq!(BTreeSet::from(turns), disks(&[2, 3, 4]));
}

/// Guards against learners that were left behind and wait for each other's messages, which replicas without a vote do
/// not send: they find each other by the record.
#[test]
fn set_whose_disks_do_not_hear_each_other_begins_after_the_timeout() {
    let record = VoterRecord {
        min_disks: 3,
        left_behind: vec![disks(&[1, 4])],
        ..unsettled(&[2, 3], &[])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(2)
        .with_new_disk(3)
        .with_record(record);
    fixture.status.responsive = BTreeSet::new();
    assert_eq!(fixture.step(0.1), GroupAction::Idle, "it may respond yet");
    assert_eq!(recorded_voters(fixture.step(0.5)), Some(disks(&[1, 4])));
}

/// Guards against a group whose log requires more disks than the record: with enough voters it may have accepted
/// something, so a set that it left behind must not begin a history without it.
#[test]
fn group_with_enough_voters_counts_as_accepting() {
    let record = VoterRecord {
        min_disks: 2,
        left_behind: vec![disks(&[1])],
        ..unsettled(&[2, 3, 4], &[&[2]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2).with_record(record);
    assert_eq!(fixture.step(0.0), GroupAction::Idle);
    assert_eq!(fixture.step(2.0), GroupAction::Idle);
}

/// Guards against a new leader that promotes a learner beside a voter that it has never heard: if that voter is gone,
/// its disk and that of its replacement are two of five.
#[test]
fn learner_waits_until_the_leader_has_heard_each_voter() {
    let mut fixture = GroupFixture::leading(&[1, 2, 3, 4], 2);
    fixture.status.membership.min_disks = 3;
    fixture.candidates.push(candidate(5, 5));
    let learner = candidate(5, 5).info(ReplicaRole::Learner);
    let replicas = &mut fixture.status.membership.replicas;
    replicas.insert(DiskId(5), learner);
    fixture.record.as_mut().expect("it is recorded").min_disks = 3;
    // Disk 4 has sent nothing; the leader is too new to count it as unresponsive.
    fixture.status.confirmed = disks(&[2, 3, 5]);
    fixture.status.caught_up = disks(&[1, 2, 3, 5]);
    assert_eq!(recorded_voters(fixture.step(0.1)), None);
}

/// Guards against a history that a disk begins with one that doesn't respond, as soon as the voters that left both
/// behind are lost: a record that begins a history names no other way.
#[test]
fn set_left_behind_begins_a_history_only_with_disks_that_respond() {
    // Of four voters, 1 and 3 are left; 2 is gone without a replacement of its name, and 4 lost its disk.
    let left = VoterRecord {
        left_behind: vec![disks(&[1, 2]), disks(&[1, 3])],
        min_disks: 3,
        ..unsettled(&[4], &[&[1, 2, 3, 4]])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(4)
        .with_record(left);
    fixture.status.membership.min_disks = 3;
    fixture.status.responsive = disks(&[3]);
    for fraction in [0.1, 0.4, 1.1] {
        let voters = recorded_voters(fixture.step(fraction));
        assert_ne!(voters, Some(disks(&[1, 2])), "disk 2 is silent");
    }
    assert_eq!(recorded_voters(fixture.step(1.2)), Some(disks(&[1, 3])));
}

/// Guards against a record that begins a history and that nobody can leave: one of its voters lost its disk before
/// they elected a leader, and the other holds everything together with one left behind.
#[test]
fn history_that_cannot_begin_is_replaced() {
    let begun = VoterRecord {
        left_behind: vec![disks(&[1, 3]), disks(&[1, 4]), disks(&[3, 4])],
        history: 1,
        begins: true,
        min_disks: 3,
        ..unsettled(&[1, 2], &[])
    };
    let mut fixture = GroupFixture::leaderless(&[1, 2, 3, 4], 2)
        .with_new_disk(2)
        .with_record(begun);
    fixture.status.membership.min_disks = 3;
    fixture.status.history = 1;
    fixture.status.responsive = disks(&[3, 4]);
    fixture.step(0.0);
    let voters = recorded_voters(fixture.step(1.1));
    assert_eq!(voters, Some(disks(&[1, 3])));
}

/// Guards against a pause after failed attempts that is longer than the time to catch up: a disk that is back within
/// it is still no copy when the loss of another one is allowed again.
#[test]
fn failed_disk_is_attempted_again_within_the_time_to_catch_up() {
    let mut fixture = GroupFixture::leading(&[1], 1);
    fixture.candidates.push(candidate(2, 2));
    let learner = candidate(2, 2).info(ReplicaRole::Learner);
    for attempt in 0..8 {
        fixture.status.membership = membership(&[1]);
        fixture
            .status
            .membership
            .replicas
            .insert(DiskId(2), learner.clone());
        fixture.status.unresponsive = disks(&[2]);
        let GroupAction::PassOver(_, backoff) = fixture.step(2.0 * f64::from(attempt)) else {
            panic!("the learner is silent");
        };
        assert!(backoff < CATCH_UP_TIMEOUT, "{backoff:?}");
    }
}

/// Guards against a leader that hands over while too few disks hold everything: the next one tries the disks of lost
/// nodes anew before those that can catch up.
#[test]
fn leader_short_of_copies_does_not_hand_over() {
    let leaving = LeavingNodes {
        open: BTreeSet::from([NodeName::from("node-1")]),
        ..LeavingNodes::default()
    };
    let mut short = GroupFixture::leading(&[1, 2], 2);
    short.leaving = Some(leaving.clone());
    assert!(!matches!(short.step(0.1), GroupAction::StepAside(_)));
    let mut enough = GroupFixture::leading(&[1, 2, 3, 4, 5], 2);
    enough.leaving = Some(leaving);
    assert!(matches!(enough.step(0.1), GroupAction::StepAside(_)));
}
