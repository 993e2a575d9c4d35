//! A stalled replica must not treat its own stall as unresponsiveness of the others: their messages are still
//! unread.

use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, ReplicaInfo, ReplicaRole};

/// Interval between ticks, in milliseconds.
const TICK: u64 = 20;

fn founding() -> Membership {
    let replicas = (1..=3).map(|disk| {
        let info = ReplicaInfo {
            node: format!("node-{disk}").as_str().into(),
            zone: "z".into(),
            role: ReplicaRole::Voter,
        };
        (DiskId(disk), info)
    });
    Membership {
        replicas: replicas.collect(),
        ..Membership::default()
    }
}

fn timing() -> Timing {
    Timing {
        election_timeout: 300,
        heartbeat_interval: 60,
        ..Timing::default()
    }
}

fn replicas() -> Vec<Replica> {
    let replicas = (1..=3).map(|disk| {
        let batch = StoredState::founding(founding());
        let stored = StoredState {
            hard_state: batch.hard_state.unwrap(),
            entries: batch.append,
            ..StoredState::default()
        };
        Replica::restore(0, DiskId(disk), timing(), stored, disk)
    });
    replicas.collect()
}

/// Delivers messages at `now` until none is left.
fn deliver(replicas: &mut [Replica], now: u64) {
    loop {
        let mut messages = Vec::new();
        for replica in replicas.iter_mut() {
            let output = replica.take_output();
            replica.written();
            messages.extend(output.early_messages);
            messages.extend(output.messages);
        }
        if messages.is_empty() {
            return;
        }
        for envelope in messages {
            let to = envelope.to.0 as usize - 1;
            replicas[to].receive(now, envelope);
        }
    }
}

/// Runs all replicas until `until`; returns the time reached.
fn run(replicas: &mut [Replica], from: u64, until: u64) -> u64 {
    let mut now = from;
    while now < until {
        now += TICK;
        for replica in replicas.iter_mut() {
            replica.tick(now);
        }
        deliver(replicas, now);
    }
    now
}

fn leader(replicas: &[Replica]) -> usize {
    replicas
        .iter()
        .position(Replica::leads)
        .expect("there is a leader")
}

#[test]
fn a_stalled_leader_does_not_step_down() {
    for stall in [120, 280, 400, 900] {
        let mut replicas = replicas();
        let mut now = run(&mut replicas, 0, 2_000);
        let leader_index = leader(&replicas);
        let term = replicas[leader_index].status().term;
        // The others have responded to all messages; then only the leader runs.
        now += stall;
        replicas[leader_index].tick(now);
        assert!(replicas[leader_index].leads(), "after {stall} ms");
        now = run(&mut replicas, now, now + 1_000);
        assert!(replicas[leader_index].leads(), "after {stall} ms");
        assert_eq!(
            replicas[leader_index].status().term,
            term,
            "after {stall} ms"
        );
        assert!(now > 0);
    }
}

#[test]
fn a_stalled_follower_reads_pending_messages_before_an_election() {
    for stall in [400, 700, 2_000] {
        let mut replicas = replicas();
        let mut now = run(&mut replicas, 0, 2_000);
        let leader_index = leader(&replicas);
        let follower = (leader_index + 1) % replicas.len();
        now += stall;
        replicas[follower].tick(now);
        let reported_leader = replicas[follower].status().leader;
        assert_eq!(
            reported_leader,
            Some(DiskId(leader_index as u64 + 1)),
            "after {stall} ms"
        );
        run(&mut replicas, now, now + 1_000);
        assert!(replicas[leader_index].leads(), "after {stall} ms");
    }
}

#[test]
fn a_running_replica_detects_unresponsive_peers_in_time() {
    let mut replicas = replicas();
    let now = run(&mut replicas, 0, 2_000);
    let leader_index = leader(&replicas);
    let mut time = now;
    while replicas[leader_index].leads() && time < now + 10_000 {
        time += TICK;
        replicas[leader_index].tick(time);
        let _ = replicas[leader_index].take_output();
        replicas[leader_index].written();
    }
    assert!(time <= now + 2 * timing().election_timeout + TICK, "{time}");
    let follower = (leader_index + 1) % replicas.len();
    let mut time = now;
    while replicas[follower].status().leader.is_some() && time < now + 10_000 {
        time += TICK;
        replicas[follower].tick(time);
    }
    assert!(time <= now + 2 * timing().election_timeout + TICK, "{time}");
}
