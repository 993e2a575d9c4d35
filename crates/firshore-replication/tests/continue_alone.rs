//! A pair of voters of which one has lost its disk.

use firshore_replication::error::ReplicaError;
use firshore_replication::replica::{Replica, Survivors, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{
    DiskId, Entry, EntryContent, Membership, ReplicaInfo, ReplicaRole,
};
use std::collections::BTreeSet;

fn membership(disks: &[u64]) -> Membership {
    let replicas = disks.iter().map(|disk| {
        let info = ReplicaInfo {
            node: format!("node-{disk}").as_str().into(),
            zone: "z".into(),
            role: ReplicaRole::Voter,
        };
        (DiskId(*disk), info)
    });
    Membership {
        replicas: replicas.collect(),
    }
}

fn alone() -> Survivors {
    Survivors {
        replicas: membership(&[1]).replicas,
        never_held: BTreeSet::new(),
        left_behind: false,
        history: 0,
    }
}

/// A founding replica on disk 1.
fn replica(disks: &[u64]) -> Replica {
    let batch = StoredState::founding(membership(disks));
    let stored = StoredState {
        hard_state: batch.hard_state.unwrap(),
        entries: batch.append,
        ..StoredState::default()
    };
    Replica::restore(0, DiskId(1), Timing::default(), stored, 1)
}

/// Commands committed, as the machine above gets them.
fn settle(replica: &mut Replica) -> Vec<Vec<u8>> {
    let mut commands = Vec::new();
    loop {
        let output = replica.take_output();
        if output.is_empty() {
            return commands;
        }
        replica.written();
        for entry in output.committed {
            if let EntryContent::Command(payload) = entry.content {
                commands.push(payload.0.to_vec());
            }
        }
    }
}

#[test]
fn the_survivor_of_a_pair_commits_alone() {
    let mut survivor = replica(&[1, 2]);
    survivor.tick(5_000);
    settle(&mut survivor);
    assert!(!survivor.leads(), "it needs the other's vote");
    survivor.continue_with(&alone()).unwrap();
    settle(&mut survivor);
    assert!(survivor.leads());
    let status = survivor.status();
    assert_eq!(status.membership, membership(&[1]));
    assert!(status.membership_committed);
    survivor.propose(b"next".to_vec()).unwrap();
    assert_eq!(settle(&mut survivor), [b"next"]);
}

#[test]
fn no_other_group_loses_its_quorum() {
    for disks in [&[1, 2, 3][..], &[1], &[2, 3]] {
        let mut replica = replica(disks);
        let refused = replica.continue_with(&alone());
        assert_eq!(refused, Err(ReplicaError::InvalidChange), "{disks:?}");
    }
}

/// Of three voters one was taken out by an entry that is not committed, another lost its disk, and the third
/// was restarted. It knew nothing to be committed, so it asked the first for nothing, did not hear it, and
/// waited for good: "not whole 12s after loss 0 beside an emptying".
#[test]
fn a_restarted_survivor_asks_who_was_there_before_an_uncommitted_change() {
    let mut batch = StoredState::founding(membership(&[1, 2, 3]));
    batch.append.push(Entry {
        index: 2,
        term: 1,
        content: EntryContent::Membership(membership(&[1, 2])),
    });
    let mut stored = StoredState::default();
    stored.take(&batch);
    let mut survivor = Replica::restore(0, DiskId(1), Timing::default(), stored, 1);
    assert!(survivor.node_of(DiskId(3)).is_some());
    for now in 1..300 {
        survivor.tick(10 * now);
    }
    let sent = survivor.take_output().messages;
    let asked: BTreeSet<DiskId> = sent.iter().map(|envelope| envelope.to).collect();
    assert_eq!(asked, BTreeSet::from([DiskId(2), DiskId(3)]));
}
