//! A lone voter that was shut out follows the later history, and takes back what it committed by itself.
//!
//! Of a pair one voter was cut and went on alone, then for good or until the cut ended. The other one held
//! everything promised and waited for a proof that could not come: "entry 523 of term 12 is on 1 disks, 2
//! are wanted". Where it went on all the same, the former lone voter came back, led on beside it and heard
//! nobody.

use firshore_replication::replica::{Replica, Survivors, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, EntryContent, Membership, MembershipChange, ReplicaInfo, ReplicaRole,
};
use std::collections::{BTreeMap, BTreeSet};

const LONE: DiskId = DiskId(1);
const LEFT: DiskId = DiskId(2);

fn replicas(disks: &[DiskId]) -> BTreeMap<DiskId, ReplicaInfo> {
    let info = |disk: &DiskId| ReplicaInfo {
        node: format!("node-{disk}").as_str().into(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    };
    disks.iter().map(|disk| (*disk, info(disk))).collect()
}

/// A replica over a disk.
struct Node {
    stored: StoredState,
    replica: Replica,
    restarts: usize,
}

impl Node {
    fn new(disk: DiskId, stored: StoredState) -> Self {
        let replica = Replica::restore(0, disk, Timing::default(), stored.clone(), disk.0);
        Self {
            stored,
            replica,
            restarts: 0,
        }
    }

    fn commands(&self) -> Vec<&[u8]> {
        let contents = self.stored.entries.iter().map(|entry| &entry.content);
        let commands = contents.filter_map(|content| match content {
            EntryContent::Command(payload) => Some(&*payload.0),
            EntryContent::Blank | EntryContent::Membership(_) => None,
        });
        commands.collect()
    }
}

/// A founded pair in virtual time.
struct Pair {
    now: u64,
    nodes: BTreeMap<DiskId, Node>,
}

impl Pair {
    fn new() -> Self {
        let mut stored = StoredState::default();
        stored.take(&StoredState::founding(Membership {
            replicas: replicas(&[LONE, LEFT]),
        }));
        let nodes = [LONE, LEFT].map(|disk| (disk, Node::new(disk, stored.clone())));
        Self {
            now: 0,
            nodes: BTreeMap::from(nodes),
        }
    }

    fn node(&mut self, disk: DiskId) -> &mut Node {
        self.nodes.get_mut(&disk).expect("it is one of two")
    }

    fn run(&mut self, up: &[DiskId], milliseconds: u64) {
        for _ in 0..milliseconds / 10 {
            self.now += 10;
            let now = self.now;
            for disk in up {
                self.node(*disk).replica.tick(now);
            }
            while self.exchange(up) {}
        }
    }

    fn exchange(&mut self, up: &[DiskId]) -> bool {
        let now = self.now;
        let mut sent = Vec::new();
        for disk in up {
            let node = self.node(*disk);
            let output = node.replica.take_output();
            if output.is_empty() {
                continue;
            }
            node.stored.take(&output.writes);
            node.replica.written();
            if output.restart {
                let stored = node.stored.clone();
                node.replica = Replica::restore(now, *disk, Timing::default(), stored, disk.0);
                node.restarts += 1;
            }
            sent.extend(output.early_messages);
            sent.extend(output.messages);
        }
        let any = !sent.is_empty();
        for envelope in sent {
            if up.contains(&envelope.to) {
                self.node(envelope.to).replica.receive(now, envelope);
            }
        }
        any
    }

    fn go_on(&mut self, disk: DiskId, history: u64) {
        let survivors = Survivors {
            replicas: replicas(&[disk]),
            never_held: BTreeSet::new(),
            left_behind: history > 0,
            history,
        };
        let node = self.node(disk);
        node.replica.continue_with(&survivors).unwrap();
    }

    /// Both hold `promised`, one committed `alone` while the other was cut, and that one has begun the next
    /// history.
    fn parted() -> Self {
        let mut pair = Self::new();
        pair.run(&[LONE, LEFT], 10_000);
        if pair.node(LEFT).replica.leads() {
            let leader = &mut pair.node(LEFT).replica;
            leader.transfer_leadership(LONE).unwrap();
            pair.run(&[LONE, LEFT], 1_000);
        }
        let promised = b"promised".to_vec();
        pair.node(LONE).replica.propose(promised).unwrap();
        pair.run(&[LONE, LEFT], 500);
        pair.run(&[LONE], 3_000);
        pair.go_on(LONE, 0);
        pair.run(&[LONE], 3_000);
        let alone = b"alone".to_vec();
        pair.node(LONE).replica.propose(alone).unwrap();
        pair.run(&[LONE], 100);
        pair.run(&[LEFT], 3_000);
        pair.go_on(LEFT, 1);
        pair.run(&[LEFT], 100);
        assert!(pair.node(LEFT).replica.leads());
        pair
    }
}

#[test]
fn a_lone_voter_that_is_taken_in_again_takes_back_what_it_committed_alone() {
    let mut pair = Pair::parted();
    assert_eq!(pair.node(LONE).commands(), [&b"promised"[..], b"alone"]);
    let info = replicas(&[LONE]).remove(&LONE).unwrap();
    let leader = &mut pair.node(LEFT).replica;
    leader
        .change_membership(&MembershipChange::AddLearner(LONE, info))
        .unwrap();
    pair.run(&[LONE, LEFT], 2_000);
    let promote = MembershipChange::Promote(LONE);
    let leader = &mut pair.node(LEFT).replica;
    leader.change_membership(&promote).unwrap();
    leader.propose(b"after".to_vec()).unwrap();
    pair.run(&[LONE, LEFT], 1_000);
    assert_eq!(pair.node(LONE).restarts, 1);
    assert!(!pair.node(LONE).replica.leads());
    assert_eq!(pair.node(LONE).commands(), [&b"promised"[..], b"after"]);
    let commit = pair.node(LEFT).replica.status().commit;
    assert_eq!(pair.node(LONE).replica.status().commit, commit);
}

#[test]
fn one_that_has_only_joined_a_later_history_elects_nobody() {
    let mut pair = Pair::parted();
    pair.node(LONE).replica.join_history(1);
    pair.run(&[LONE], 10_000);
    let joined = pair.node(LONE);
    assert_eq!(joined.restarts, 1);
    assert!(!joined.replica.leads(), "its log names it the only voter");
    assert_eq!(joined.replica.status().history, 1);
    assert_eq!(joined.commands(), [&b"promised"[..], b"alone"]);
}

#[test]
fn nobody_goes_back_to_an_earlier_history() {
    let mut pair = Pair::parted();
    let joined = &mut pair.node(LEFT).replica;
    joined.join_history(0);
    assert!(joined.leads());
    pair.run(&[LONE, LEFT], 3_000);
    assert!(pair.node(LEFT).replica.leads());
    assert_eq!(pair.node(LEFT).commands(), [b"promised"]);
}
