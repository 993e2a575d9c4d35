//! A proposal that waits at a former leader is acknowledged only if enough disks hold it. The group may have shrunk
//! meanwhile, which the former leader learns from a later entry.

use firshore_log::group::{Group, GroupStatus};
use firshore_log::machine::{ReplicaSettings, StateMachine, Transport};
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::{Envelope, Message};
use firshore_replication::replica::{Survivors, Timing};
use firshore_replication::types::{
    DiskId, EntryContent, GroupId, LogIndex, Membership, MembershipChange, ReplicaInfo, ReplicaRole,
};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

const GROUP: GroupId = GroupId(0);
const CACHE_BYTES: usize = 128 * 1024;

/// Number of disks that must hold what is accepted; all three voters commit.
const MIN_DISKS: usize = 3;

/// Number of status polls until a wait fails, and the interval between them.
const MAX_POLLS: usize = 1_000;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// State machine that counts the applied commands.
#[derive(Default, serde::Serialize, serde::Deserialize)]
struct WordCount(usize);

impl StateMachine for WordCount {
    type Command = String;
    type Outcome = usize;

    fn without_effect(&self, _: &String, _: u64) -> Option<usize> {
        None
    }

    fn stamp(_: &mut String, _: u64) {}

    fn needs_space(_: &String) -> bool {
        false
    }

    fn apply(&mut self, _: LogIndex, _: String) -> usize {
        self.0 += 1;
        self.0
    }
}

type WordGroup = Group<WordCount>;
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

struct LocalTransport {
    local: NodeName,
    peers: Arc<RwLock<Peers>>,
    link: Arc<RwLock<Link>>,
}

impl Transport for LocalTransport {
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

fn info(node: &NodeName) -> ReplicaInfo {
    ReplicaInfo {
        node: node.clone(),
        zone: "z".into(),
        role: ReplicaRole::Voter,
    }
}

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        timing: Timing {
            election_timeout: 400,
            heartbeat_interval: 40,
            ..Timing::default()
        },
        replace_after: Duration::from_secs(5),
        min_disks: MIN_DISKS,
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

async fn leader_of(groups: &[Arc<WordGroup>]) -> usize {
    for _ in 0..MAX_POLLS {
        let leader = groups.iter().position(|group| group.status().leads);
        if let Some(leader) = leader {
            return leader;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("none of the three leads");
}

/// Waits until each group has applied the first command, and returns its index.
async fn applied_by_all(groups: &[Arc<WordGroup>]) -> LogIndex {
    for _ in 0..MAX_POLLS {
        let counts = groups.iter().map(|group| group.applied_state().read().0);
        let all_applied = counts.min() == Some(1);
        let indexes: BTreeSet<LogIndex> = groups
            .iter()
            .map(|group| *group.changes().borrow())
            .collect();
        if let (true, 1, Some(index)) = (all_applied, indexes.len(), indexes.first()) {
            return *index;
        }
        actix_rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for the first command");
}

#[actix_rt::test]
async fn former_leader_acknowledged_what_a_lone_voter_committed() {
    let folder = tempfile::tempdir().unwrap();
    let names: [NodeName; 3] = ["node-1".into(), "node-2".into(), "node-3".into()];
    let peers = Arc::new(RwLock::new(Peers::new()));
    let link = Arc::new(RwLock::new(Link::Whole));
    let groups = names.clone().map(|name| {
        let path = folder.path().join(name.to_string());
        std::fs::create_dir(&path).unwrap();
        let group = Arc::new(WordGroup::open(&path, GROUP, CACHE_BYTES).unwrap());
        peers.write().insert(name, group.clone());
        group
    });
    let replicas = groups.iter().zip(&names);
    let membership = Membership {
        replicas: replicas
            .map(|(group, name)| (group.status().disk, info(name)))
            .collect(),
        min_disks: MIN_DISKS,
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    for (group, name) in groups.iter().zip(&names) {
        let transport = LocalTransport {
            local: name.clone(),
            peers: peers.clone(),
            link: link.clone(),
        };
        group.start(&log, settings(), Box::new(transport));
        group.set_founding(membership.clone());
    }
    let former = leader_of(&groups).await;
    let (lone, third) = ((former + 1) % 3, (former + 2) % 3);
    let [former, lone, third] = [former, lone, third].map(|at| (&groups[at], &names[at]));
    assert_eq!(former.0.propose("first".to_owned()).await, Ok(1));

    let first = applied_by_all(&groups).await;

    // The next command reaches one of the others only, so that it is not committed.
    *link.write() = Link::Cut(third.0.status().disk);
    let group = former.0.clone();
    let proposed = actix_rt::spawn(async move { group.propose("job".to_owned()).await });
    wait_until(lone.0, "the command", |status| status.last.index > first).await;
    *link.write() = Link::Down;
    wait_until(former.0, "the loss of the quorum", |status| !status.leads).await;

    // The one that holds it continues alone, and commits it. It takes the former leader in as a learner. The message that
    // tells the former leader of the group's new members is lost.
    lone.0.continue_with(Survivors {
        replicas: BTreeMap::from([(lone.0.status().disk, info(lone.1))]),
        never_held: BTreeSet::new(),
        left_behind: false,
        history: 0,
        min_term: 0,
    });
    wait_until(lone.0, "the lone leader", |status| status.leads).await;
    *link.write() = Link::WithoutMemberships;
    let disk = former.0.status().disk;
    lone.0
        .change(MembershipChange::AddLearner(disk, info(former.1)));
    let term = lone.0.status().term;
    wait_until(former.0, "the lone leader's messages", |status| {
        status.term >= term && status.leader.is_some()
    })
    .await;
    actix_rt::time::sleep(Duration::from_millis(500)).await;
    *link.write() = Link::Whole;
    let outcome = proposed.await.unwrap();
    let third_last = third.0.status().last.index;
    groups.iter().for_each(|group| group.stop());
    assert_eq!(third_last, first, "the third disk lacks the command");
    assert_eq!(outcome, Err(JournalRefusal::Unsettled));
}
