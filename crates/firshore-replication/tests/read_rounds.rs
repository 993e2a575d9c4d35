//! Each read of a leader began a round of heartbeats at once, a hundred in a second where jobs are read.
//! A follower that lags is sent its entries one message at a time, but every round allowed the next
//! one, whether the last had been answered or not. Messages of 256 KB filled the connection to it: 512
//! waited, one took 363 ms to be written, 436 in two seconds were dropped, heartbeats and entries among
//! them. So one slow follower became several, commits came to a stand, and the leader's memory grew.

use firshore_replication::message::{Envelope, Message};
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, ReplicaInfo, ReplicaRole};

/// Time between two looks, in milliseconds.
const TICK: u64 = 20;

/// Reads and commands in one heartbeat interval of a busy leader.
const BUSY: u64 = 50;

/// The replica that does not answer.
const SILENT: DiskId = DiskId(3);

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

/// Delivers what all send, but to the silent replica, until nothing is left. Returns what was sent to it.
fn deliver(replicas: &mut [Replica], now: u64) -> Vec<Envelope> {
    let mut lost = Vec::new();
    loop {
        let messages: Vec<Envelope> = replicas.iter_mut().flat_map(sent).collect();
        if messages.is_empty() {
            return lost;
        }
        for envelope in messages {
            if envelope.to == SILENT || envelope.from == SILENT {
                lost.push(envelope);
                continue;
            }
            replicas[envelope.to.0 as usize - 1].receive(now, envelope);
        }
    }
}

/// A group that one of the first two leads while the third is silent, and the time.
fn led() -> (Vec<Replica>, usize, u64) {
    let mut replicas = replicas();
    let mut now = 0;
    while now < 2_000 {
        now += TICK;
        replicas[0].tick(now);
        replicas[1].tick(now);
        deliver(&mut replicas, now);
    }
    let leading = replicas.iter().position(Replica::leads);
    (replicas, leading.expect("one leads"), now)
}

fn carries_entries(envelope: &Envelope) -> bool {
    matches!(&envelope.message, Message::Append { entries, .. } if !entries.is_empty())
}

#[test]
fn reads_send_a_follower_that_does_not_answer_nothing_twice() {
    let (mut replicas, leading, now) = led();
    let mut lost = Vec::new();
    for token in 0..BUSY {
        replicas[leading].propose(vec![0; 10_000]).unwrap();
        replicas[leading].read(token).unwrap();
        lost.extend(deliver(&mut replicas, now));
    }
    let with_entries = lost.iter().filter(|one| carries_entries(one)).count();
    assert!(with_entries <= 1, "{with_entries} messages with entries");
}

#[test]
fn reads_that_come_during_a_round_share_the_next_one() {
    let (mut replicas, leading, now) = led();
    deliver(&mut replicas, now);
    let mut heartbeats = 0;
    for token in 0..BUSY {
        replicas[leading].read(token).unwrap();
        let to_silent = sent(&mut replicas[leading]);
        heartbeats += to_silent.iter().filter(|one| one.to == SILENT).count();
    }
    assert_eq!(heartbeats, 1, "rounds of {BUSY} reads");
}

#[test]
fn every_read_is_answered_also_when_a_round_is_lost() {
    let (mut replicas, leading, mut now) = led();
    let mut answered = Vec::new();
    for token in 0..BUSY {
        replicas[leading].read(token).unwrap();
        let output = replicas[leading].take_output();
        replicas[leading].written();
        answered.extend(output.reads);
    }
    // All messages of these rounds are lost; the next heartbeats are not.
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
            for envelope in messages.drain(..).filter(|one| one.to != SILENT) {
                replicas[envelope.to.0 as usize - 1].receive(now, envelope);
            }
        }
    }
    let tokens: Vec<u64> = answered.iter().map(|(token, _)| *token).collect();
    assert_eq!(tokens, (0..BUSY).collect::<Vec<u64>>());
}
