//! The thread of a replica that joins a later history, over its real file: it starts again from what is on its
//! disk, and follows whoever shut it out.

use firshore_log::group::{Group, GroupStatus};
use firshore_log::machine::{ReplicaSettings, StateMachine, Transport};
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::Envelope;
use firshore_replication::replica::{Survivors, Timing};
use firshore_replication::types::{
    DiskId, GroupId, LogIndex, Membership, MembershipChange, ReplicaInfo, ReplicaRole,
};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const GROUP: GroupId = GroupId(0);
const CACHE_BYTES: usize = 128 * 1024;

/// Most looks for something that is to come, and the pause between them.
const LOOKS: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(20);

/// Keeps the commands applied.
#[derive(Default, Serialize, Deserialize)]
struct WordList(Vec<String>);

impl StateMachine for WordList {
    type Command = String;
    type Outcome = usize;

    fn without_effect(&self, _: &String, _: u64) -> Option<usize> {
        None
    }

    fn stamp(_: &mut String, _: u64) {}

    fn needs_space(_: &String) -> bool {
        false
    }

    fn apply(&mut self, _: LogIndex, command: String) -> usize {
        self.0.push(command);
        self.0.len()
    }
}

type Words = Group<WordList>;
type Peers = Arc<RwLock<BTreeMap<NodeName, Arc<Words>>>>;

/// Carries messages between the groups of one process, unless they are cut.
struct Wire {
    own: NodeName,
    peers: Peers,
    cut: Arc<AtomicBool>,
}

impl Transport for Wire {
    fn refresh(&mut self) {}

    fn send(&self, _: GroupId, node: &NodeName, envelope: Envelope) {
        if self.cut.load(Ordering::Relaxed) {
            return;
        }
        if let Some(peer) = self.peers.read().get(node) {
            peer.received(self.own.clone(), envelope);
        }
    }
}

fn info(node: &NodeName) -> ReplicaInfo {
    ReplicaInfo {
        node: node.clone(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    }
}

fn survivor(group: &Words, node: &NodeName, history: u64) -> Survivors {
    Survivors {
        replicas: BTreeMap::from([(group.status().disk, info(node))]),
        never_held: BTreeSet::new(),
        left_behind: history > 0,
        history,
    }
}

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        timing: Timing {
            election_timeout: 200,
            heartbeat_interval: 40,
            ..Timing::default()
        },
        replace_after: Duration::from_secs(5),
        least: 2,
        reserve_bytes: 0,
        snapshot_after_bytes: 1 << 20,
        cache_bytes: CACHE_BYTES,
    }
}

async fn until(group: &Words, what: &str, fits: impl Fn(&GroupStatus) -> bool) {
    for _ in 0..LOOKS {
        if fits(&group.status()) {
            return;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    panic!("{what} did not come: {:?}", group.status());
}

fn words(group: &Words) -> Vec<String> {
    group.applied_state().read().0.clone()
}

#[actix_rt::test]
async fn a_lone_voter_that_was_shut_out_starts_again_and_follows() {
    let folder = tempfile::tempdir().unwrap();
    let names: [NodeName; 2] = ["node-1".into(), "node-2".into()];
    let peers = Peers::default();
    let cut = Arc::new(AtomicBool::new(false));
    let groups = names.clone().map(|name| {
        let place = folder.path().join(name.to_string());
        std::fs::create_dir(&place).unwrap();
        let group = Arc::new(Words::open(&place, GROUP, CACHE_BYTES).unwrap());
        peers.write().insert(name, group.clone());
        group
    });
    let replicas = groups.iter().zip(&names);
    let replicas = replicas.map(|(group, name)| (group.status().disk, info(name)));
    let pair = Membership {
        replicas: replicas.collect(),
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for (group, name) in groups.iter().zip(&names) {
        let wire = Wire {
            own: name.clone(),
            peers: peers.clone(),
            cut: cut.clone(),
        };
        group.start(&log, settings(), Box::new(wire));
        group.found(pair.clone());
    }
    let mut leader = None;
    for _ in 0..LOOKS {
        leader = groups.iter().position(|group| group.status().leads);
        if leader.is_some() {
            break;
        }
        actix_rt::time::sleep(PAUSE).await;
    }
    let leader = leader.expect("one of the pair leads");
    let (lone, left) = (&groups[leader], &groups[1 - leader]);
    let (lone_name, left_name) = (&names[leader], &names[1 - leader]);
    assert_eq!(lone.propose("promised".to_owned()).await, Ok(1));

    cut.store(true, Ordering::Relaxed);
    until(lone, "the loss of the quorum", |status| !status.leads).await;
    lone.continue_with(survivor(lone, lone_name, 0));
    until(lone, "the lone leader", |status| status.leads).await;
    let refused = Err(JournalRefusal::NotLeader { leader: None });
    assert_eq!(lone.propose("alone".to_owned()).await, refused);
    assert!(lone.read().await.is_err(), "nothing is shown by one disk");

    left.continue_with(survivor(left, left_name, 1));
    until(left, "the later history", |status| status.leads).await;
    lone.join_history(1);
    until(lone, "the join", |status| {
        status.history == 1 && !status.leads
    })
    .await;

    cut.store(false, Ordering::Relaxed);
    let disk: DiskId = lone.status().disk;
    left.change(MembershipChange::AddLearner(disk, info(lone_name)));
    until(left, "a learner that has caught up", |status| {
        status.membership_committed && status.caught_up.contains(&disk)
    })
    .await;
    left.change(MembershipChange::Promote(disk));
    until(left, "the pair", |status| {
        status.membership_committed && status.membership.is_voter(disk)
    })
    .await;
    assert_eq!(left.propose("after".to_owned()).await, Ok(2));
    let commit = left.status().commit;
    until(lone, "the same log", |status| status.commit >= commit).await;
    assert!(left.read().await.is_ok());
    for group in &groups {
        group.stop();
    }
    assert_eq!(words(left), ["promised", "after"]);
    assert_eq!(words(lone), ["promised", "after"]);
}
