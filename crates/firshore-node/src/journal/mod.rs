//! The journal of batch jobs: one replicated log on the disks of the cluster, found through
//! objects of the product's own.

pub mod client;
pub mod contact;
pub mod excluded_disks;
pub mod group_manager;
pub mod leader_tasks;
mod lost_quorum;
pub mod maintenance;
pub mod messages;
pub mod missing_results;
mod pending_submissions;
pub mod registry;
pub mod retirement;
pub mod service;
pub mod status;
mod transport;

use crate::memory::{LOG_FRACTION, MemoryBudget, MemoryLedger, MemoryUse};
use crate::relay::Relay;
use crate::relay::loads::LoadRelay;
use crate::runner::progress_store::ProgressStore;
use crate::settings::{Settings, Storage};
use crate::task::Task;
use client::JournalClient;
use firshore_gateway::crash_monitor::CrashMonitor;
use firshore_jobs::table::JobTable;
use firshore_link::handshake::ClusterSecret;
use firshore_link::{client as link, listener};
use firshore_log::Group;
use firshore_log::machine::ReplicaSettings;
use firshore_log::placement;
use firshore_replication::replica::Timing;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use group_manager::GroupPolicy;
use messages::{PeerRequest, PeerResponse};
use missing_results::MissingResults;
use pending_submissions::PendingSubmissions;
use registry::Registry;
use service::{ClusterLoad, Service};
use slog::Logger;
use status::{StatusFacts, StatusTracker};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;

/// The only group. Larger clusters need more.
pub const GROUP: GroupId = GroupId(0);

/// Part of the time in which a new disk has to hold everything that a replica may be silent before
/// another disk takes its place: the rest is for learning and for the changes of the group.
pub const SILENCE_FRACTION: f64 = 0.3;

/// Silence of a leader after which an election starts, in milliseconds. Jobs are to be accepted
/// within some hundred milliseconds, also when a leader is lost.
const ELECTION_TIMEOUT: u64 = 300;

const HEARTBEAT_INTERVAL: u64 = 60;

/// Free space of the data folder below which new jobs are refused, in bytes.
const RESERVE_BYTES: u64 = 32 * 1024 * 1024;

/// Parts that the log's share of the memory is divided into: entries kept before a snapshot, twice as
/// many after it, and the pages of the database.
const LOG_PARTS: f64 = 4.0;

/// Bounds of that part, in bytes.
const LEAST_LOG_BYTES: usize = 256 * 1024;
const MOST_LOG_BYTES: usize = 8 * 1024 * 1024;

/// Handle through which peers are asked.
pub type PeerClient = link::PeerClient<PeerRequest, PeerResponse>;

/// The replica on this node's disk.
pub type Replica = Group<JobTable>;

fn log_bytes(memory: usize) -> usize {
    let part = memory as f64 * LOG_FRACTION / LOG_PARTS;
    (part as usize).clamp(LEAST_LOG_BYTES, MOST_LOG_BYTES)
}

fn is_durable(replica: &Replica, least: usize) -> bool {
    placement::keeps_promises(&replica.status().membership, least)
}

/// What a node with a disk passes on between other nodes.
pub struct NodeRelays {
    /// What the store holds.
    pub objects: Rc<Relay>,
    /// What nodes have under way.
    pub loads: Rc<LoadRelay>,
    /// The journal, asked on behalf of others.
    pub jobs: Rc<JournalClient>,
    /// Back ends that ended, as nodes have seen.
    pub crashes: Rc<CrashMonitor>,
}

/// The journal as a node with a disk holds it.
pub struct Journal {
    /// The replica.
    pub replica: Rc<Replica>,
    /// What nodes have under way at back ends.
    pub loads: Rc<ClusterLoad>,
    /// What items have produced, as leaders told.
    pub progress: Rc<RefCell<ProgressStore>>,
    /// Nodes and founders as the store lists them.
    pub registry: Rc<Registry>,
    /// What the group is to be.
    pub policy: GroupPolicy,
    /// What is held for peers that wait.
    pub ledger: MemoryLedger,
    /// How the node's memory is divided.
    pub budget: MemoryBudget,
    /// What the journal does for its callers, as this node sees it.
    pub status: RefCell<StatusTracker>,
    peers: PeerClient,
    listening: actix_rt::task::JoinHandle<()>,
    _relaying: Task,
    log: Logger,
}

impl Journal {
    /// Opens the replica on the disk, starts it and answers peers.
    pub async fn start(
        settings: &Settings,
        storage: &Storage,
        registry: Rc<Registry>,
        relays: NodeRelays,
        peers: &PeerClient,
        log: &Logger,
    ) -> io::Result<Rc<Self>> {
        std::fs::create_dir_all(&storage.data_folder)?;
        let log_bytes = log_bytes(settings.limits.memory_bytes());
        let replica = Group::open(&storage.data_folder, GROUP, log_bytes)
            .map_err(|error| io::Error::other(error.to_string()))?;
        let replica = Rc::new(replica);
        let transport = transport::new(
            settings.name.clone(),
            settings.listen.peers,
            &registry,
            peers.clone(),
        );
        let lost_disks = settings.cluster.tolerated_disk_losses;
        let policy = GroupPolicy {
            target_voters: placement::voters_for(lost_disks),
            min_disks: lost_disks as usize + 1,
            catch_up: settings.cluster.catch_up(),
        };
        let replica_settings = ReplicaSettings {
            timing: Timing {
                election_timeout: ELECTION_TIMEOUT,
                heartbeat_interval: HEARTBEAT_INTERVAL,
                trailing_bytes: log_bytes,
                ..Timing::default()
            },
            least: policy.min_disks,
            replace_after: settings.cluster.catch_up().mul_f64(SILENCE_FRACTION),
            reserve_bytes: RESERVE_BYTES,
            snapshot_after_bytes: 2 * log_bytes,
            cache_bytes: log_bytes,
        };
        replica.start(log, replica_settings, transport);
        let listener = TcpListener::bind(settings.listen.peers).await?;
        let loads = Rc::new(ClusterLoad::new(settings.tenants.rate_span()));
        let progress = ProgressStore::open(&storage.data_folder)?;
        let progress = Rc::new(RefCell::new(progress));
        let ledger = MemoryLedger::default();
        let budget = settings.limits.memory_budget();
        let leading = replica.clone();
        let leads = move || leading.status().leads;
        let relaying = relays.loads.clone().run(relays.jobs.clone(), leads);
        let handler = Rc::new(Service {
            replica: replica.clone(),
            loads: loads.clone(),
            progress: progress.clone(),
            registry: registry.clone(),
            least: policy.min_disks,
            relay: relays.objects,
            load_relay: relays.loads.clone(),
            jobs: relays.jobs.clone(),
            ledger: ledger.clone(),
            budget,
            crashes: relays.crashes.clone(),
            missing: Rc::new(MissingResults::new(log.clone())),
            submissions: PendingSubmissions::default(),
            log: log.clone(),
        });
        let secret = ClusterSecret(settings.cluster.secret.clone().into_bytes());
        let listening = actix_rt::spawn(listener::run(listener, secret, handler, log.clone()));
        let journal = Rc::new(Self {
            replica,
            loads,
            progress,
            registry,
            peers: peers.clone(),
            policy,
            ledger,
            budget,
            status: RefCell::new(StatusTracker::new(Instant::now())),
            listening,
            _relaying: Task::spawn(relaying),
            log: log.clone(),
        });
        Ok(journal)
    }

    /// Asks another node; `None` if it gives no answer.
    pub async fn ask(&self, node: &NodeName, request: PeerRequest) -> Option<PeerResponse> {
        let address = self.registry.address(node)?;
        self.peers.call(address, request).await.ok()
    }

    /// Whether what is committed lies on as many disks as promises need.
    pub fn is_durable(&self) -> bool {
        is_durable(&self.replica, self.policy.min_disks)
    }

    /// What the standing is read from. Whether this node has caught up as a leader, and whether its
    /// items wait for memory, its runner knows.
    pub fn status_facts(&self) -> StatusFacts {
        let status = self.replica.status();
        let refused = self.ledger.refused.take();
        StatusFacts {
            is_replica: status.membership.replicas.contains_key(&status.disk),
            leads: status.leads,
            knows_leader: status.leader.is_some(),
            enough_disks: self.is_durable(),
            caught_up: false,
            disk_full: status.full,
            memory_full: refused || !self.budget.admits_job(&self.memory_use(), 0),
        }
    }

    /// What the journal takes of the node's memory, without what the runner holds.
    pub fn memory_use(&self) -> MemoryUse {
        let status = self.replica.status();
        MemoryUse {
            jobs: self.replica.applied_state().read().held_bytes(),
            submissions: self.ledger.submissions.held(),
            results: self.ledger.results.held(),
            handover: self.progress.borrow().held_bytes(),
            log: status.log_bytes + status.snapshot_bytes,
            ..MemoryUse::default()
        }
    }

    /// Ends the replica and stops answering peers, without handing anything over.
    pub fn kill(&self) {
        self.listening.abort();
        self.replica.stop();
    }

    /// Hands leadership over and ends the replica.
    pub async fn stop(&self) {
        self.replica.step_aside().await;
        self.replica.stop();
    }
}
