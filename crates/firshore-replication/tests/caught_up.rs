//! Under load a learner must count as caught up although entries are in flight to it; otherwise it replaces a
//! voter with a lost disk too late, and further losses can remove the quorum.

use firshore_replication::message::Envelope;
use firshore_replication::replica::{Replica, Timing};
use firshore_replication::storage::StoredState;
use firshore_replication::types::{DiskId, Membership, MembershipChange, ReplicaInfo, ReplicaRole};

const LEARNER: DiskId = DiskId(4);

/// Time within which a new disk must be able to become a voter, in milliseconds.
const CATCH_UP_TIMEOUT: u64 = 2_000;

/// Interval between commands, in milliseconds.
const COMMAND_INTERVAL: u64 = 4;

fn info(disk: DiskId) -> ReplicaInfo {
    ReplicaInfo {
        node: format!("node-{disk}").as_str().into(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    }
}

struct GroupModel {
    now: u64,
    replicas: Vec<Replica>,
    /// Messages in flight with their arrival times.
    in_flight: Vec<(u64, Envelope)>,
    /// Delay of a message to or from the learner, in milliseconds.
    learner_delay: u64,
}

impl GroupModel {
    fn new(learner_delay: u64) -> Self {
        let voters = [1, 2, 3].map(DiskId);
        let membership = Membership {
            replicas: voters.into_iter().map(|disk| (disk, info(disk))).collect(),
            ..Membership::default()
        };
        let founding = StoredState::founding(membership);
        let mut stored = StoredState::default();
        stored.apply(&founding);
        let timing = Timing {
            election_timeout: 300,
            heartbeat_interval: 60,
            ..Timing::default()
        };
        let restore = |disk| Replica::restore(0, disk, timing, stored.clone(), disk.0);
        let mut replicas: Vec<Replica> = voters.into_iter().map(restore).collect();
        replicas.push(Replica::restore(
            0,
            LEARNER,
            timing,
            StoredState::default(),
            4,
        ));
        Self {
            now: 0,
            replicas,
            in_flight: Vec::new(),
            learner_delay,
        }
    }

    fn leader(&mut self) -> Option<&mut Replica> {
        self.replicas.iter_mut().find(|replica| replica.leads())
    }

    /// Advances the time by one millisecond.
    fn step(&mut self) {
        self.now += 1;
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.in_flight)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.in_flight = later;
        for (_, envelope) in due {
            let receiver = self.replicas.iter_mut();
            let mut receiver = receiver.filter(|replica| replica.disk() == envelope.to);
            if let Some(receiver) = receiver.next() {
                receiver.receive(now, envelope);
            }
        }
        for replica in &mut self.replicas {
            replica.tick(now);
            loop {
                let output = replica.take_output();
                if output.is_empty() {
                    break;
                }
                replica.written();
                let sent = output.early_messages.into_iter().chain(output.messages);
                self.in_flight.extend(sent.map(|envelope| {
                    let is_learner_link = envelope.to == LEARNER || envelope.from == LEARNER;
                    let delay = if is_learner_link {
                        self.learner_delay
                    } else {
                        1
                    };
                    (now + delay, envelope)
                }));
            }
        }
    }

    fn step_under_load(&mut self) {
        if self.now.is_multiple_of(COMMAND_INTERVAL)
            && let Some(leader) = self.leader()
        {
            let _ = leader.propose(vec![0; 1_000]);
        }
        self.step();
    }

    fn elect(&mut self) {
        while self.leader().is_none() {
            self.step();
        }
        for _ in 0..100 {
            self.step();
        }
    }
}

#[test]
fn a_learner_that_keeps_up_is_promoted_under_load() {
    let mut group = GroupModel::new(12);
    group.elect();
    for _ in 0..1_000 {
        group.step_under_load();
    }
    let leader = group.leader().expect("there is a leader");
    let added = leader.change_membership(&MembershipChange::AddLearner(LEARNER, info(LEARNER)));
    added.expect("no change is pending");
    let mut caught_up_since = None;
    for _ in 0..CATCH_UP_TIMEOUT {
        group.step_under_load();
        let now = group.now;
        let leader = group.leader().expect("there is a leader");
        match leader.has_caught_up(LEARNER) {
            true => caught_up_since = caught_up_since.or(Some(now)),
            false => caught_up_since = None,
        }
    }
    let since = caught_up_since.expect("the learner has caught up");
    assert!(
        group.now - since >= CATCH_UP_TIMEOUT / 2,
        "the learner stays caught up"
    );
    let leader = group.leader().expect("there is a leader");
    let promoted = leader.change_membership(&MembershipChange::Promote(LEARNER));
    promoted.expect("the learner has caught up");
}

#[test]
fn a_lagging_or_unresponsive_learner_has_not_caught_up() {
    // Longer than a round may take.
    let mut group = GroupModel::new(400);
    group.elect();
    let leader = group.leader().expect("there is a leader");
    let added = leader.change_membership(&MembershipChange::AddLearner(LEARNER, info(LEARNER)));
    added.expect("no change is pending");
    for _ in 0..CATCH_UP_TIMEOUT {
        group.step_under_load();
        let leader = group.leader().expect("there is a leader");
        assert!(!leader.has_caught_up(LEARNER), "the learner lags");
    }
    group.learner_delay = 1;
    for _ in 0..CATCH_UP_TIMEOUT {
        group.step_under_load();
    }
    assert!(
        group
            .leader()
            .expect("there is a leader")
            .has_caught_up(LEARNER)
    );
    group.learner_delay = u64::MAX / 2;
    for _ in 0..1_000 {
        group.step_under_load();
    }
    let leader = group.leader().expect("there is a leader");
    assert!(
        !leader.has_caught_up(LEARNER),
        "the learner is unresponsive"
    );
}
