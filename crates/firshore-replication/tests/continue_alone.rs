//! The survivor of a pair of voters must be able to continue alone; a replica that may lack entries must not.

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
        ..Membership::default()
    }
}

fn survivors() -> Survivors {
    Survivors {
        replicas: membership(&[1]).replicas,
        never_held: BTreeSet::new(),
        left_behind: false,
        history: 0,
        min_term: 0,
    }
}

/// Returns a founding replica on disk 1.
fn replica(disks: &[u64]) -> Replica {
    let batch = StoredState::founding(membership(disks));
    let stored = StoredState {
        hard_state: batch.hard_state.unwrap(),
        entries: batch.append,
        ..StoredState::default()
    };
    Replica::restore(0, DiskId(1), Timing::default(), stored, 1)
}

/// Makes all output durable; returns the committed commands.
fn make_durable(replica: &mut Replica) -> Vec<Vec<u8>> {
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
    make_durable(&mut survivor);
    assert!(!survivor.leads(), "it needs the vote of the other voter");
    survivor.continue_with(&survivors()).unwrap();
    make_durable(&mut survivor);
    assert!(survivor.leads());
    let status = survivor.status();
    assert_eq!(status.membership, membership(&[1]));
    assert!(status.membership_committed);
    survivor.propose(b"next".to_vec()).unwrap();
    assert_eq!(make_durable(&mut survivor), [b"next"]);
}

#[test]
fn recovery_is_refused_for_other_memberships() {
    for disks in [&[1, 2, 3][..], &[1], &[2, 3]] {
        let mut replica = replica(disks);
        let result = replica.continue_with(&survivors());
        assert_eq!(result, Err(ReplicaError::InvalidChange), "{disks:?}");
    }
}

/// Of three voters one is removed by an uncommitted entry, one loses its disk, and the third restarts. If it sent
/// the removed one no pre-vote, it would not detect that replica as alive, and the group would not recover.
#[test]
fn a_restarted_survivor_contacts_replicas_removed_by_an_uncommitted_change() {
    let mut batch = StoredState::founding(membership(&[1, 2, 3]));
    batch.append.push(Entry {
        index: 2,
        term: 1,
        content: EntryContent::Membership(membership(&[1, 2])),
    });
    let mut stored = StoredState::default();
    stored.apply(&batch);
    let mut survivor = Replica::restore(0, DiskId(1), Timing::default(), stored, 1);
    assert!(survivor.node_of(DiskId(3)).is_some());
    for now in 1..300 {
        survivor.tick(10 * now);
    }
    let sent = survivor.take_output().messages;
    let contacted: BTreeSet<DiskId> = sent.iter().map(|envelope| envelope.to).collect();
    assert_eq!(contacted, BTreeSet::from([DiskId(2), DiskId(3)]));
}
