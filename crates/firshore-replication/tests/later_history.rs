//! A lone voter that continued alone must follow a later history and discard the entries that it committed alone;
//! otherwise the group has two leaders.

use firshore_replication::replica::{Replica, Survivors, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, EntryContent, Membership, MembershipChange, ReplicaInfo, ReplicaRole,
};
use std::collections::{BTreeMap, BTreeSet};

const LONE: DiskId = DiskId(1);
const LEFT_BEHIND: DiskId = DiskId(2);

fn replicas(disks: &[DiskId]) -> BTreeMap<DiskId, ReplicaInfo> {
    let info = |disk: &DiskId| ReplicaInfo {
        node: format!("node-{disk}").as_str().into(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    };
    disks.iter().map(|disk| (*disk, info(disk))).collect()
}

/// A replica with its disk.
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

/// Two founding voters in virtual time.
struct Pair {
    now: u64,
    nodes: BTreeMap<DiskId, Node>,
}

impl Pair {
    fn new() -> Self {
        let mut stored = StoredState::default();
        stored.apply(&StoredState::founding(Membership {
            replicas: replicas(&[LONE, LEFT_BEHIND]),
            ..Membership::default()
        }));
        let nodes = [LONE, LEFT_BEHIND].map(|disk| (disk, Node::new(disk, stored.clone())));
        Self {
            now: 0,
            nodes: BTreeMap::from(nodes),
        }
    }

    fn node(&mut self, disk: DiskId) -> &mut Node {
        self.nodes
            .get_mut(&disk)
            .expect("the disk is one of the pair")
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
            node.stored.apply(&output.writes);
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

    fn continue_alone(&mut self, disk: DiskId, history: u64) {
        let survivors = Survivors {
            replicas: replicas(&[disk]),
            never_held: BTreeSet::new(),
            left_behind: history > 0,
            history,
            min_term: 0,
        };
        let node = self.node(disk);
        node.replica.continue_with(&survivors).unwrap();
    }

    /// Returns a pair in which both hold `promised`, the lone voter committed `alone` while the other was isolated,
    /// and the other has started the next history.
    fn diverged() -> Self {
        let mut pair = Self::new();
        pair.run(&[LONE, LEFT_BEHIND], 10_000);
        if pair.node(LEFT_BEHIND).replica.leads() {
            let leader = &mut pair.node(LEFT_BEHIND).replica;
            leader.transfer_leadership(LONE).unwrap();
            pair.run(&[LONE, LEFT_BEHIND], 1_000);
        }
        let promised = b"promised".to_vec();
        pair.node(LONE).replica.propose(promised).unwrap();
        pair.run(&[LONE, LEFT_BEHIND], 500);
        pair.run(&[LONE], 3_000);
        pair.continue_alone(LONE, 0);
        pair.run(&[LONE], 3_000);
        let alone = b"alone".to_vec();
        pair.node(LONE).replica.propose(alone).unwrap();
        pair.run(&[LONE], 100);
        pair.run(&[LEFT_BEHIND], 3_000);
        pair.continue_alone(LEFT_BEHIND, 1);
        pair.run(&[LEFT_BEHIND], 100);
        assert!(pair.node(LEFT_BEHIND).replica.leads());
        pair
    }
}

#[test]
fn a_readmitted_lone_voter_discards_entries_that_it_committed_alone() {
    let mut pair = Pair::diverged();
    assert_eq!(pair.node(LONE).commands(), [&b"promised"[..], b"alone"]);
    let info = replicas(&[LONE]).remove(&LONE).unwrap();
    let leader = &mut pair.node(LEFT_BEHIND).replica;
    leader
        .change_membership(&MembershipChange::AddLearner(LONE, info))
        .unwrap();
    pair.run(&[LONE, LEFT_BEHIND], 2_000);
    let promote = MembershipChange::Promote(LONE);
    let leader = &mut pair.node(LEFT_BEHIND).replica;
    leader.change_membership(&promote).unwrap();
    leader.propose(b"after".to_vec()).unwrap();
    pair.run(&[LONE, LEFT_BEHIND], 1_000);
    assert_eq!(pair.node(LONE).restarts, 1);
    assert!(!pair.node(LONE).replica.leads());
    assert_eq!(pair.node(LONE).commands(), [&b"promised"[..], b"after"]);
    let commit = pair.node(LEFT_BEHIND).replica.status().commit;
    assert_eq!(pair.node(LONE).replica.status().commit, commit);
}

#[test]
fn a_replica_without_an_entry_of_its_history_elects_no_leader() {
    let mut pair = Pair::diverged();
    pair.node(LONE).replica.join_history(1);
    pair.run(&[LONE], 10_000);
    let node = pair.node(LONE);
    assert_eq!(node.restarts, 1);
    assert!(!node.replica.leads(), "its log has it as the only voter");
    assert_eq!(node.replica.status().history, 1);
    assert_eq!(node.commands(), [&b"promised"[..], b"alone"]);
}

#[test]
fn a_replica_does_not_return_to_an_earlier_history() {
    let mut pair = Pair::diverged();
    let replica = &mut pair.node(LEFT_BEHIND).replica;
    replica.join_history(0);
    assert!(replica.leads());
    pair.run(&[LONE, LEFT_BEHIND], 3_000);
    assert!(pair.node(LEFT_BEHIND).replica.leads());
    assert_eq!(pair.node(LEFT_BEHIND).commands(), [b"promised"]);
}
