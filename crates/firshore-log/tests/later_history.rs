//! A replica that joins a later history of its group restarts from its file and follows the leader that
//! excluded it.

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

/// Number of status polls until a wait fails, and the interval between them.
const MAX_POLLS: usize = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State machine that stores the applied commands.
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

type WordGroup = Group<WordList>;
type Peers = Arc<RwLock<BTreeMap<NodeName, Arc<WordGroup>>>>;

/// Sends messages between the groups of one process, or drops them while the link is down.
struct LocalTransport {
    local: NodeName,
    peers: Peers,
    link_down: Arc<AtomicBool>,
}

impl Transport for LocalTransport {
    fn refresh(&mut self) {}

    fn send(&self, _: GroupId, node: &NodeName, envelope: Envelope) {
        if self.link_down.load(Ordering::Relaxed) {
            return;
        }
        if let Some(peer) = self.peers.read().get(node) {
            peer.received(self.local.clone(), envelope);
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

fn survivor(group: &WordGroup, node: &NodeName, history: u64) -> Survivors {
    Survivors {
        replicas: BTreeMap::from([(group.status().disk, info(node))]),
        never_held: BTreeSet::new(),
        left_behind: history > 0,
        history,
        min_term: 0,
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
        min_disks: 2,
        reserve_bytes: 0,
        snapshot_after_bytes: 1 << 20,
        cache_bytes: CACHE_BYTES,
    }
}

async fn wait_until(group: &WordGroup, what: &str, is_met: impl Fn(&GroupStatus) -> bool) {
    for _ in 0..MAX_POLLS {
        if is_met(&group.status()) {
            return;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for {what}: {:?}", group.status());
}

fn words(group: &WordGroup) -> Vec<String> {
    group.applied_state().read().0.clone()
}

#[actix_rt::test]
async fn excluded_lone_voter_restarts_and_follows() {
    let folder = tempfile::tempdir().unwrap();
    let names: [NodeName; 2] = ["node-1".into(), "node-2".into()];
    let peers = Peers::default();
    let link_down = Arc::new(AtomicBool::new(false));
    let groups = names.clone().map(|name| {
        let path = folder.path().join(name.to_string());
        std::fs::create_dir(&path).unwrap();
        let group = Arc::new(WordGroup::open(&path, GROUP, CACHE_BYTES).unwrap());
        peers.write().insert(name, group.clone());
        group
    });
    let replicas = groups.iter().zip(&names);
    let replicas = replicas.map(|(group, name)| (group.status().disk, info(name)));
    let membership = Membership {
        replicas: replicas.collect(),
        ..Membership::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for (group, name) in groups.iter().zip(&names) {
        let transport = LocalTransport {
            local: name.clone(),
            peers: peers.clone(),
            link_down: link_down.clone(),
        };
        group.start(&log, settings(), Box::new(transport));
        group.set_founding(membership.clone());
    }
    let mut leader = None;
    for _ in 0..MAX_POLLS {
        leader = groups.iter().position(|group| group.status().leads);
        if leader.is_some() {
            break;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    let leader = leader.expect("one of the two leads");
    let (lone, other) = (&groups[leader], &groups[1 - leader]);
    let (lone_name, other_name) = (&names[leader], &names[1 - leader]);
    assert_eq!(lone.propose("replicated".to_owned()).await, Ok(1));

    link_down.store(true, Ordering::Relaxed);
    wait_until(lone, "the loss of the quorum", |status| !status.leads).await;
    lone.continue_with(survivor(lone, lone_name, 0));
    wait_until(lone, "the lone leader", |status| status.leads).await;
    let refused = Err(JournalRefusal::NotLeader { leader: None });
    assert_eq!(lone.propose("alone".to_owned()).await, refused);
    assert!(
        lone.read().await.is_err(),
        "a lone voter must not serve reads"
    );

    other.continue_with(survivor(other, other_name, 1));
    wait_until(other, "a leader of the later history", |status| {
        status.leads
    })
    .await;
    lone.join_history(1);
    wait_until(lone, "the switch to the later history", |status| {
        status.history == 1 && !status.leads
    })
    .await;

    link_down.store(false, Ordering::Relaxed);
    let disk: DiskId = lone.status().disk;
    other.change(MembershipChange::AddLearner(disk, info(lone_name)));
    wait_until(other, "a learner that has caught up", |status| {
        status.membership_committed && status.caught_up.contains(&disk)
    })
    .await;
    other.change(MembershipChange::Promote(disk));
    wait_until(other, "two voters", |status| {
        status.membership_committed && status.membership.is_voter(disk)
    })
    .await;
    assert_eq!(other.propose("after".to_owned()).await, Ok(2));
    let commit = other.status().commit;
    wait_until(lone, "the same log", |status| status.commit >= commit).await;
    assert!(other.read().await.is_ok());
    for group in &groups {
        group.stop();
    }
    assert_eq!(words(other), ["replicated", "after"]);
    assert_eq!(words(lone), ["replicated", "after"]);
}
