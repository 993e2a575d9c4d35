//! Two histories of one group are never joined.
//!
//! Of a pair one voter went on alone while the other was cut, and a new disk followed it as a learner.
//! Its disk was lost, and the voter left behind went on, in the same term: "lone term 3, left-behind term
//! 3". It took the new disk in, whose entries had the same positions and other content, and which so
//! answered that it held them: index 8 was `promised-2` on the one and `lone-1` on the other. What was
//! accepted then lay on one disk.

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

/// Replicas in virtual time, and what each has applied.
struct World {
    now: u64,
    replicas: BTreeMap<DiskId, Replica>,
    applied: BTreeMap<DiskId, BTreeMap<LogIndex, EntryContent>>,
}

impl World {
    /// A founded pair, and an empty disk.
    fn new(timing: Timing) -> Self {
        let pair = [DiskId(1), DiskId(2)];
        let founding = StoredState::founding(Membership {
            replicas: replicas(&pair),
        });
        let mut founded = StoredState::default();
        founded.take(&founding);
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
        self.replicas.get_mut(&disk).expect("it is one of three")
    }

    /// Lets those that are up run and reach each other.
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
                    .map(|one| (one.index, one.content)),
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

    fn go_on(&mut self, disk: DiskId, left_behind: bool) {
        let survivors = Survivors {
            replicas: replicas(&[disk]),
            never_held: BTreeSet::new(),
            left_behind,
            history: u64::from(left_behind),
        };
        self.replica(disk).continue_with(&survivors).unwrap();
        self.run(&[disk], 100);
        assert!(self.replica(disk).leads());
    }

    fn take_in(&mut self, leader: DiskId) {
        let change = MembershipChange::AddLearner(NEW, info(NEW));
        self.replica(leader).change_membership(&change).unwrap();
        self.run(&[leader, NEW], 3_000);
    }
}

fn play(snapshot: bool) {
    let mut world = World::new(Timing {
        trailing_bytes: 10,
        ..Timing::default()
    });
    let pair = [DiskId(1), DiskId(2)];
    world.run(&pair, 10_000);
    let leads = world.replica(pair[0]).leads();
    let (lone, left) = match leads {
        true => (pair[0], pair[1]),
        false => (pair[1], pair[0]),
    };
    world.replica(lone).propose(b"promised-1".to_vec()).unwrap();
    world.run(&pair, 500);
    world.run(&[lone], 5_000);
    world.go_on(lone, false);
    world.take_in(lone);
    for number in 0..8 {
        let command = format!("lone-{number}").into_bytes();
        world.replica(lone).propose(command).unwrap();
    }
    world.run(&[lone, NEW], 500);
    if snapshot {
        let commit = world.replica(NEW).status().commit;
        let data = b"lone".to_vec();
        world.replica(NEW).compact(commit, data, BTreeSet::new());
        world.run(&[lone, NEW], 100);
    }
    world.run(&[left], 3_000);
    world.go_on(left, true);
    world.take_in(left);
    let promoted = MembershipChange::Promote(NEW);
    let promoted = world.replica(left).change_membership(&promoted);
    assert!(promoted.is_err(), "it holds another history");
    world.replica(left).propose(b"promised-2".to_vec()).unwrap();
    world.run(&[left, NEW], 1_000);
    let silent = world.replica(left).silent(2_000);
    assert_eq!(
        silent,
        [NEW],
        "it answers nothing, so another disk is tried"
    );
    let kept = world.applied[&left].values();
    let promised = kept.filter(|content| match content {
        EntryContent::Command(command) => command.0.starts_with(b"promised"),
        EntryContent::Blank | EntryContent::Membership(_) => false,
    });
    assert_eq!(promised.count(), 2);
}

#[test]
fn a_learner_of_the_lone_voter_answers_nothing_to_the_one_left_behind() {
    play(false);
}

#[test]
fn nor_does_one_that_holds_a_snapshot_of_it() {
    play(true);
}

#[test]
fn an_empty_disk_takes_on_the_history_that_it_hears_of() {
    let mut world = World::new(Timing::default());
    let pair = [DiskId(1), DiskId(2)];
    world.run(&pair, 10_000);
    world.run(&[pair[0]], 5_000);
    world.go_on(pair[0], true);
    world.take_in(pair[0]);
    let promoted = MembershipChange::Promote(NEW);
    world.replica(pair[0]).change_membership(&promoted).unwrap();
    world.run(&[pair[0], NEW], 1_000);
    assert!(world.replica(NEW).status().membership.is_voter(NEW));
}
