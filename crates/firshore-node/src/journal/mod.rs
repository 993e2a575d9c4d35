//! The journal of batch jobs: one replicated log on the disks of the cluster, found through objects
//! in the store.

pub mod client;
pub mod contact;
pub mod excluded_disks;
pub mod group_manager;
pub mod leader_tasks;
mod left_behind;
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
use crate::stream_origins::StreamOrigins;
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
use service::{ClusterLoad, PeerService};
use slog::Logger;
use status::{StatusFacts, StatusTracker};
use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;

/// The only group. Larger clusters need more.
pub const GROUP: GroupId = GroupId(0);

/// Fraction of the catch-up time for which a replica may be unresponsive before another disk
/// replaces it. The rest is for catching up and for the changes of membership.
pub const SILENCE_FRACTION: f64 = 0.3;

/// Time without a message of the leader after which an election starts. Short, because jobs have to
/// be accepted within some hundred milliseconds even if the leader is lost.
const ELECTION_TIMEOUT_MS: u64 = 300;

const HEARTBEAT_INTERVAL_MS: u64 = 60;

/// Free space of the data folder below which new jobs are refused, in bytes.
const RESERVE_BYTES: u64 = 32 * 1024 * 1024;

/// Units that the log's memory is divided into: one for entries kept before a snapshot, two for
/// those after it, and one for the pages of the database.
const LOG_MEMORY_DIVISOR: f64 = 4.0;

/// Bounds of such a unit, in bytes.
const MIN_LOG_BYTES: usize = 256 * 1024;
const MAX_LOG_BYTES: usize = 8 * 1024 * 1024;

/// Client for requests to peers.
pub type PeerClient = link::PeerClient<PeerRequest, PeerResponse>;

/// The replica on this node's disk.
pub type Replica = Group<JobTable>;

fn log_bytes(memory: usize) -> usize {
    let unit = memory as f64 * LOG_FRACTION / LOG_MEMORY_DIVISOR;
    (unit as usize).clamp(MIN_LOG_BYTES, MAX_LOG_BYTES)
}

fn is_durable(replica: &Replica, min_disks: usize) -> bool {
    placement::is_durable(&replica.status().membership, min_disks)
}

/// Services of a node with a disk that respond on behalf of other nodes.
pub struct NodeRelays {
    /// Relays objects of the store.
    pub objects: Rc<Relay>,
    /// Relays load reports.
    pub loads: Rc<LoadRelay>,
    /// Client of the journal, for requests on behalf of other nodes.
    pub jobs: Rc<JournalClient>,
    /// Crashes of back ends that nodes have observed.
    pub crashes: Rc<CrashMonitor>,
    /// Origins of streams, kept for other nodes.
    pub origins: Rc<StreamOrigins>,
}

/// The journal on a node with a disk.
pub struct Journal {
    /// The replica on this disk.
    pub replica: Rc<Replica>,
    /// Requests in flight at back ends, as reported by nodes.
    pub loads: Rc<ClusterLoad>,
    /// Output of items that leaders have reported.
    pub progress: Rc<RefCell<ProgressStore>>,
    /// Nodes and founders that the store lists.
    pub registry: Rc<Registry>,
    /// Desired state of the group.
    pub policy: GroupPolicy,
    /// Memory held for waiting peers.
    pub ledger: MemoryLedger,
    /// Division of the node's memory.
    pub budget: MemoryBudget,
    /// Status of the journal, as observed by this node.
    pub status: RefCell<StatusTracker>,
    peers: PeerClient,
    listening: actix_rt::task::JoinHandle<()>,
    _relaying: Task,
    log: Logger,
}

impl Journal {
    /// Opens the replica on the disk, starts it and serves peers.
    ///
    /// # Errors
    ///
    /// Fails if the data folder cannot be opened or the peer address cannot be bound.
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
                election_timeout: ELECTION_TIMEOUT_MS,
                heartbeat_interval: HEARTBEAT_INTERVAL_MS,
                trailing_bytes: log_bytes,
                ..Timing::default()
            },
            min_disks: policy.min_disks,
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
        let handler = Rc::new(PeerService {
            replica: replica.clone(),
            loads: loads.clone(),
            progress: progress.clone(),
            registry: registry.clone(),
            min_disks: policy.min_disks,
            relay: relays.objects,
            load_relay: relays.loads.clone(),
            jobs: relays.jobs.clone(),
            ledger: ledger.clone(),
            budget,
            crashes: relays.crashes.clone(),
            origins: relays.origins.clone(),
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

    /// Sends a request to another node; `None` if there is no response.
    pub async fn query(&self, node: &NodeName, request: PeerRequest) -> Option<PeerResponse> {
        let address = self.registry.address(node)?;
        self.peers.call(address, request).await.ok()
    }

    /// Returns whether committed entries are on as many disks as the durability guarantee requires.
    pub fn is_durable(&self) -> bool {
        is_durable(&self.replica, self.policy.min_disks)
    }

    /// Returns the facts that determine the status. `caught_up` is false and `memory_full` leaves
    /// out waiting items: the runner sets both.
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

    /// Returns the memory used by the journal, without that of the runner.
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

    /// Stops the replica and stops serving peers, without transferring leadership.
    pub fn kill(&self) {
        self.listening.abort();
        self.replica.stop();
    }

    /// Transfers leadership and stops the replica.
    pub async fn stop(&self) {
        self.replica.step_down().await;
        self.replica.stop();
    }
}
