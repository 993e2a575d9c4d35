//! Reads must share heartbeat rounds, and must not make the leader resend entries to a lagging follower: that
//! would fill the connection to it and delay heartbeats and commits.

use firshore_replication::message::{Envelope, Message};
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, ReplicaInfo, ReplicaRole};

/// Interval between ticks, in milliseconds.
const TICK: u64 = 20;

/// Reads and commands within one heartbeat interval of a busy leader.
const READS: u64 = 50;

/// The replica that does not respond.
const UNRESPONSIVE: DiskId = DiskId(3);

fn timing() -> Timing {
    Timing {
        election_timeout: 300,
        heartbeat_interval: 60,
        ..Timing::default()
    }
}

fn replicas() -> Vec<Replica> {
    let infos = (1..=3).map(|disk| {
        let info = ReplicaInfo {
            node: format!("node-{disk}").as_str().into(),
            zone: "z".into(),
            role: ReplicaRole::Voter,
        };
        (DiskId(disk), info)
    });
    let founding = Membership {
        replicas: infos.collect(),
        ..Membership::default()
    };
    let replicas = (1..=3).map(|disk| {
        let batch = StoredState::founding(founding.clone());
        let stored = StoredState {
            hard_state: batch.hard_state.unwrap(),
            entries: batch.append,
            ..StoredState::default()
        };
        Replica::restore(0, DiskId(disk), timing(), stored, disk)
    });
    replicas.collect()
}

fn sent(replica: &mut Replica) -> Vec<Envelope> {
    let mut output = replica.take_output();
    replica.written();
    output.early_messages.append(&mut output.messages);
    output.early_messages
}

/// Delivers messages until none is left, except those to or from the unresponsive replica, which are returned.
fn deliver(replicas: &mut [Replica], now: u64) -> Vec<Envelope> {
    let mut undelivered = Vec::new();
    loop {
        let messages: Vec<Envelope> = replicas.iter_mut().flat_map(sent).collect();
        if messages.is_empty() {
            return undelivered;
        }
        for envelope in messages {
            if envelope.to == UNRESPONSIVE || envelope.from == UNRESPONSIVE {
                undelivered.push(envelope);
                continue;
            }
            replicas[envelope.to.0 as usize - 1].receive(now, envelope);
        }
    }
}

/// Returns a group whose third replica is unresponsive, the index of its leader, and the time.
fn group_with_leader() -> (Vec<Replica>, usize, u64) {
    let mut replicas = replicas();
    let mut now = 0;
    while now < 2_000 {
        now += TICK;
        replicas[0].tick(now);
        replicas[1].tick(now);
        deliver(&mut replicas, now);
    }
    let leader_index = replicas.iter().position(Replica::leads);
    (replicas, leader_index.expect("there is a leader"), now)
}

fn has_entries(envelope: &Envelope) -> bool {
    matches!(&envelope.message, Message::Append { entries, .. } if !entries.is_empty())
}

#[test]
fn reads_do_not_resend_entries_to_an_unresponsive_follower() {
    let (mut replicas, leader_index, now) = group_with_leader();
    let mut undelivered = Vec::new();
    for token in 0..READS {
        replicas[leader_index].propose(vec![0; 10_000]).unwrap();
        replicas[leader_index].read(token).unwrap();
        undelivered.extend(deliver(&mut replicas, now));
    }
    let with_entries = undelivered
        .iter()
        .filter(|envelope| has_entries(envelope))
        .count();
    assert!(with_entries <= 1, "{with_entries} messages with entries");
}

#[test]
fn reads_that_arrive_during_a_round_share_the_next_round() {
    let (mut replicas, leader_index, now) = group_with_leader();
    deliver(&mut replicas, now);
    let mut heartbeats = 0;
    for token in 0..READS {
        replicas[leader_index].read(token).unwrap();
        let sent_messages = sent(&mut replicas[leader_index]);
        heartbeats += sent_messages
            .iter()
            .filter(|envelope| envelope.to == UNRESPONSIVE)
            .count();
    }
    assert_eq!(heartbeats, 1, "rounds of {READS} reads");
}

#[test]
fn every_read_is_answered_when_a_round_is_lost() {
    let (mut replicas, leader_index, mut now) = group_with_leader();
    let mut answered = Vec::new();
    for token in 0..READS {
        replicas[leader_index].read(token).unwrap();
        let output = replicas[leader_index].take_output();
        replicas[leader_index].written();
        answered.extend(output.reads);
    }
    // All messages of these rounds are lost; later heartbeats are delivered.
    for _ in 0..10 {
        now += TICK;
        let mut messages = Vec::new();
        for replica in &mut replicas {
            replica.tick(now);
        }
        loop {
            for replica in &mut replicas {
                let mut output = replica.take_output();
                replica.written();
                answered.append(&mut output.reads);
                messages.append(&mut output.early_messages);
                messages.append(&mut output.messages);
            }
            if messages.is_empty() {
                break;
            }
            for envelope in messages
                .drain(..)
                .filter(|envelope| envelope.to != UNRESPONSIVE)
            {
                replicas[envelope.to.0 as usize - 1].receive(now, envelope);
            }
        }
    }
    let tokens: Vec<u64> = answered.iter().map(|(token, _)| *token).collect();
    assert_eq!(tokens, (0..READS).collect::<Vec<u64>>());
}
