//! A replica whose own process did not run for a while: a machine that is slowed, or has spent its share
//! of the processor. What others sent meanwhile waits to be read.

use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, ReplicaInfo, ReplicaRole};

/// Time between two looks while everything runs, in milliseconds.
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

/// Delivers all messages at `now`, until none is left.
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

/// Lets all run until `until`, and returns that time.
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
    replicas.iter().position(Replica::leads).expect("one leads")
}

#[test]
fn a_leader_that_did_not_run_does_not_count_that_as_silence_of_the_others() {
    for stall in [120, 280, 400, 900] {
        let mut replicas = replicas();
        let mut now = run(&mut replicas, 0, 2_000);
        let leading = leader(&replicas);
        let term = replicas[leading].status().term;
        // The others have answered all that they were sent; then only the leader goes on.
        now += stall;
        replicas[leading].tick(now);
        assert!(replicas[leading].leads(), "after {stall} ms");
        now = run(&mut replicas, now, now + 1_000);
        assert!(replicas[leading].leads(), "after {stall} ms");
        assert_eq!(replicas[leading].status().term, term, "after {stall} ms");
        assert!(now > 0);
    }
}

#[test]
fn a_follower_that_did_not_run_reads_what_waits_before_it_stands_for_election() {
    for stall in [400, 700, 2_000] {
        let mut replicas = replicas();
        let mut now = run(&mut replicas, 0, 2_000);
        let leading = leader(&replicas);
        let follower = (leading + 1) % replicas.len();
        now += stall;
        replicas[follower].tick(now);
        let known = replicas[follower].status().leader;
        assert_eq!(known, Some(DiskId(leading as u64 + 1)), "after {stall} ms");
        run(&mut replicas, now, now + 1_000);
        assert!(replicas[leading].leads(), "after {stall} ms");
    }
}

#[test]
fn silence_while_a_replica_runs_ends_leadership_and_begins_elections() {
    let mut replicas = replicas();
    let now = run(&mut replicas, 0, 2_000);
    let leading = leader(&replicas);
    let mut alone = now;
    while replicas[leading].leads() && alone < now + 10_000 {
        alone += TICK;
        replicas[leading].tick(alone);
        let _ = replicas[leading].take_output();
        replicas[leading].written();
    }
    assert!(
        alone <= now + 2 * timing().election_timeout + TICK,
        "{alone}"
    );
    let follower = (leading + 1) % replicas.len();
    let mut alone = now;
    while replicas[follower].status().leader.is_some() && alone < now + 10_000 {
        alone += TICK;
        replicas[follower].tick(alone);
    }
    assert!(
        alone <= now + 2 * timing().election_timeout + TICK,
        "{alone}"
    );
}
