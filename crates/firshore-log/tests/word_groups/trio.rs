//! Three replicas, all of which must hold what is accepted. One continues alone with a command of their leader.

use super::{MAX_POLLS, Node, POLL_INTERVAL, WordGroup, settings};
use firshore_log::machine::{ReplicaSettings, Transport};
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::{Envelope, Message};
use firshore_replication::types::{
    DiskId, EntryContent, GroupId, LogIndex, Membership, MembershipChange,
};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Number of disks that must hold what is accepted; all three voters commit.
const MIN_DISKS: usize = 3;

/// Long enough for the leader to stay one until the tests cut it off.
const ELECTION_TIMEOUT_MS: u64 = 1_000;

type Peers = BTreeMap<NodeName, Arc<WordGroup>>;

/// Which messages are lost.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Link {
    Whole,
    /// Those from and to this disk.
    Cut(DiskId),
    /// All.
    Down,
    /// Those with a change of the membership.
    WithoutMemberships,
}

impl Link {
    fn carries(self, envelope: &Envelope) -> bool {
        match self {
            Self::Whole => true,
            Self::Cut(disk) => envelope.from != disk && envelope.to != disk,
            Self::Down => false,
            Self::WithoutMemberships => !has_membership(&envelope.message),
        }
    }
}

fn has_membership(message: &Message) -> bool {
    let Message::Append { entries, .. } = message else {
        return false;
    };
    let mut contents = entries.iter().map(|entry| &entry.content);
    contents.any(|content| matches!(content, EntryContent::Membership(_)))
}

struct FilteredTransport {
    local: NodeName,
    peers: Arc<RwLock<Peers>>,
    link: Arc<RwLock<Link>>,
}

impl Transport for FilteredTransport {
    fn refresh(&mut self) {}

    fn send(&self, _: GroupId, node: &NodeName, envelope: Envelope) {
        if !self.link.read().carries(&envelope) {
            return;
        }
        if let Some(peer) = self.peers.read().get(node) {
            peer.received(self.local.clone(), envelope);
        }
    }
}

fn trio_settings(snapshot_after_bytes: usize) -> ReplicaSettings {
    ReplicaSettings {
        min_disks: MIN_DISKS,
        ..settings(ELECTION_TIMEOUT_MS, snapshot_after_bytes)
    }
}

/// Three voters with a leader.
pub struct WordTrio {
    /// The leader, until it is cut off.
    pub former: Node,
    /// The one that continues alone.
    pub lone: Node,
    third: Node,
    link: Arc<RwLock<Link>>,
    _folder: tempfile::TempDir,
}

impl WordTrio {
    pub async fn start(snapshot_after_bytes: usize) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let peers = Arc::new(RwLock::new(Peers::new()));
        let link = Arc::new(RwLock::new(Link::Whole));
        let nodes = ["node-1", "node-2", "node-3"].map(|name| {
            let node = Node::open(folder.path(), name);
            peers.write().insert(node.name.clone(), node.group.clone());
            node
        });
        let membership = Membership {
            replicas: nodes
                .iter()
                .map(|node| (node.disk(), node.info()))
                .collect(),
            min_disks: MIN_DISKS,
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        for node in &nodes {
            let transport = FilteredTransport {
                local: node.name.clone(),
                peers: peers.clone(),
                link: link.clone(),
            };
            let settings = trio_settings(snapshot_after_bytes);
            node.group.start(&log, settings, Box::new(transport));
            node.group.set_founding(membership.clone());
        }
        let mut nodes = Vec::from(nodes);
        let former = nodes.remove(leader_of(&nodes).await);
        let [lone, third] = nodes.try_into().ok().expect("two others");
        Self {
            former,
            lone,
            third,
            link,
            _folder: folder,
        }
    }

    /// Waits until all have committed the leader's last entry, and returns its index.
    pub async fn settled(&self) -> LogIndex {
        self.former
            .wait_until("the leader's commit", |status| {
                status.commit > 1 && status.commit == status.last.index
            })
            .await;
        let last = self.former.group.status().last.index;
        for node in [&self.lone, &self.third] {
            node.wait_until("the leader's entries", |status| status.commit == last)
                .await;
        }
        last
    }

    /// Proposes a command that reaches one of the two others, so that it is not committed, and cuts the leader off.
    pub async fn propose_to_one(&self, command: String) -> JoinHandle<Proposed> {
        let before = self.settled().await;
        *self.link.write() = Link::Cut(self.third.disk());
        let group = self.former.group.clone();
        let proposed = actix_rt::spawn(async move { group.propose(command).await });
        self.lone
            .wait_until("the command", |status| status.last.index > before)
            .await;
        *self.link.write() = Link::Down;
        self.former
            .wait_until("the loss of the quorum", |status| !status.leads)
            .await;
        let third_last = self.third.group.status().last.index;
        assert_eq!(third_last, before, "the third disk lacks the command");
        proposed
    }

    /// Lets the one that holds the command continue alone, which commits it, and take the former leader in as a learner.
    /// The messages that tell the former leader of the new members are lost.
    pub async fn continue_with_lone(&self) {
        self.lone.continue_alone(0);
        self.lone
            .wait_until("the lone leader", |status| status.leads)
            .await;
        *self.link.write() = Link::WithoutMemberships;
        let change = MembershipChange::AddLearner(self.former.disk(), self.former.info());
        self.lone.group.change(change);
        let term = self.lone.group.status().term;
        self.former
            .wait_until("the lone leader's messages", |status| {
                status.term >= term && status.leader.is_some()
            })
            .await;
        actix_rt::time::sleep(Duration::from_millis(500)).await;
    }

    pub fn stop(&self) {
        for node in [&self.former, &self.lone, &self.third] {
            node.group.stop();
        }
    }
}

/// Outcome of a proposal.
pub type Proposed = Result<usize, JournalRefusal>;

async fn leader_of(nodes: &[Node]) -> usize {
    for _ in 0..MAX_POLLS {
        if let Some(leader) = nodes.iter().position(|node| node.group.status().leads) {
            return leader;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("none of the three leads");
}
