//! Replicas of a group in one process, with links between them that can be cut: two here, three in [`trio`].
#![allow(dead_code, reason = "each test file uses some of it")]

pub mod trio;

use firshore_log::group::{Group, GroupStatus};
use firshore_log::machine::{ReplicaSettings, StateMachine, Transport};
use firshore_replication::message::Envelope;
use firshore_replication::replica::{Survivors, Timing};
use firshore_replication::types::{
    DiskId, GroupId, LogIndex, Membership, ReplicaInfo, ReplicaRole,
};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use serde::{Deserialize, Serialize, Serializer};
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const GROUP: GroupId = GroupId(0);
const CACHE_BYTES: usize = 128 * 1024;

/// Number of status polls until a wait fails, and the interval between them.
const MAX_POLLS: usize = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Set by a test while no snapshot may be encoded to its end.
pub static HOLD_SNAPSHOTS: AtomicBool = AtomicBool::new(false);

/// State machine that stores the applied commands, each once.
#[derive(Default, Serialize, Deserialize)]
pub struct WordList(#[serde(serialize_with = "encode")] Vec<String>);

fn encode<S: Serializer>(words: &[String], serializer: S) -> Result<S::Ok, S::Error> {
    while HOLD_SNAPSHOTS.load(Ordering::Relaxed) {
        std::thread::sleep(POLL_INTERVAL);
    }
    words.serialize(serializer)
}

impl WordList {
    pub fn words(&self) -> &[String] {
        &self.0
    }
}

impl StateMachine for WordList {
    type Command = String;
    type Outcome = usize;

    fn without_effect(&self, command: &String, _: u64) -> Option<usize> {
        let position = self.0.iter().position(|word| word == command)?;
        Some(position + 1)
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

pub type WordGroup = Group<WordList>;
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

/// One of the replicas.
pub struct Node {
    pub name: NodeName,
    pub group: Arc<WordGroup>,
}

impl Node {
    fn open(folder: &Path, name: &str) -> Self {
        let path = folder.join(name);
        std::fs::create_dir(&path).unwrap();
        let group = WordGroup::open(&path, GROUP, CACHE_BYTES).unwrap();
        Self {
            name: name.into(),
            group: Arc::new(group),
        }
    }

    pub fn disk(&self) -> DiskId {
        self.group.status().disk
    }

    pub fn info(&self) -> ReplicaInfo {
        ReplicaInfo {
            node: self.name.clone(),
            zone: "z".into(),
            role: ReplicaRole::Voter,
        }
    }

    /// Continues alone, in a later history unless `history` is 0.
    pub fn continue_alone(&self, history: u64) {
        self.group.continue_with(Survivors {
            replicas: BTreeMap::from([(self.disk(), self.info())]),
            never_held: BTreeSet::new(),
            left_behind: history > 0,
            history,
            min_term: 0,
        });
    }

    pub async fn wait_until(&self, what: &str, is_met: impl Fn(&GroupStatus) -> bool) {
        for _ in 0..MAX_POLLS {
            if is_met(&self.group.status()) {
                return;
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting for {what}: {:?}", self.group.status());
    }

    pub fn words(&self) -> Vec<String> {
        self.group.applied_state().read().0.clone()
    }
}

/// Two voters, of which two disks must hold what is accepted.
pub struct WordPair {
    /// The leader of the pair, which the tests let continue alone.
    pub lone: Node,
    pub other: Node,
    link_down: Arc<AtomicBool>,
    _folder: tempfile::TempDir,
}

impl WordPair {
    pub async fn start(settings: ReplicaSettings) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let peers = Peers::default();
        let link_down = Arc::new(AtomicBool::new(false));
        let nodes = ["node-1", "node-2"].map(|name| {
            let node = Node::open(folder.path(), name);
            peers.write().insert(node.name.clone(), node.group.clone());
            node
        });
        let replicas = nodes.iter().map(|node| (node.disk(), node.info()));
        let membership = Membership {
            replicas: replicas.collect(),
            ..Membership::default()
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        for node in &nodes {
            let transport = LocalTransport {
                local: node.name.clone(),
                peers: peers.clone(),
                link_down: link_down.clone(),
            };
            node.group.start(&log, settings, Box::new(transport));
            node.group.set_founding(membership.clone());
        }
        let [first, second] = nodes;
        let (lone, other) = match is_first_elected(&first, &second).await {
            true => (first, second),
            false => (second, first),
        };
        // Until then the leader refuses changes of the membership.
        lone.wait_until("the leader's first entry", |status| {
            status.commit > 1 && status.commit == status.last.index
        })
        .await;
        Self {
            lone,
            other,
            link_down,
            _folder: folder,
        }
    }

    pub fn cut_link(&self, is_cut: bool) {
        self.link_down.store(is_cut, Ordering::Relaxed);
    }

    pub fn stop(&self) {
        self.lone.group.stop();
        self.other.group.stop();
    }
}

async fn is_first_elected(first: &Node, second: &Node) -> bool {
    for _ in 0..MAX_POLLS {
        if first.group.status().leads {
            return true;
        }
        if second.group.status().leads {
            return false;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("neither of the two leads");
}

/// Returns settings under which two disks must hold what is accepted. Times are in milliseconds.
pub fn settings(election_timeout: u64, snapshot_after_bytes: usize) -> ReplicaSettings {
    ReplicaSettings {
        timing: Timing {
            election_timeout,
            heartbeat_interval: 40,
            ..Timing::default()
        },
        replace_after: Duration::from_secs(5),
        min_disks: 2,
        reserve_bytes: 0,
        snapshot_after_bytes,
        cache_bytes: CACHE_BYTES,
    }
}
