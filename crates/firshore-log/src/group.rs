//! Handle of one replica, which runs on its own thread.

use crate::driver::{self, Environment, Input, ReadSender};
use crate::machine::{ReplicaSettings, SharedState, StateMachine, Transport};
use crate::refusal::JournalRefusal;
use firshore_replication::error::StorageError;
use firshore_replication::message::Envelope;
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::replica::{Replica, Survivors};
use firshore_replication::storage::Storage;
use firshore_replication::types::{
    DiskId, GroupId, LogIndex, Membership, MembershipChange, Position, Term,
};
use firshore_types::ids::NodeName;
use parking_lot::{Mutex, RwLock};
use rand::RngExt;
use slog::Logger;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::{oneshot, watch};

/// Maximum wait until another replica takes over leadership.
const STEP_DOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval at which the status is polled during that wait.
const STEP_DOWN_POLL: Duration = Duration::from_millis(20);

/// Status of a replica as last published by its thread.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Whether the disk holds any part of the group's log.
    pub holds_log: bool,
    /// Whether this replica leads.
    pub leads: bool,
    /// Leading node, if the replica has one on record.
    pub leader: Option<NodeName>,
    /// Current term.
    pub term: Term,
    /// History that the log belongs to.
    pub history: u64,
    /// Index of the last committed entry.
    pub commit: LogIndex,
    /// Position of the last entry.
    pub last: Position,
    /// Latest membership, committed or not.
    pub membership: Membership,
    /// Whether the change to the latest membership is committed.
    pub membership_committed: bool,
    /// Latest membership that is known to be committed.
    pub committed_membership: Membership,
    /// On the leader: replicas without a response for longer than [`ReplicaSettings::replace_after`].
    pub unresponsive: BTreeSet<DiskId>,
    /// Replicas from which a message was received within that time.
    pub responsive: BTreeSet<DiskId>,
    /// Replicas from which a message was received so recently that their disks count as present.
    pub confirmed: BTreeSet<DiskId>,
    /// On the leader: replicas that hold all committed entries.
    pub caught_up: BTreeSet<DiskId>,
    /// Size of the database file in bytes.
    pub file_bytes: u64,
    /// Size of the log entries in memory, in bytes.
    pub log_bytes: usize,
    /// Size of the latest snapshot, which is in memory, in bytes.
    pub snapshot_bytes: usize,
    /// Whether new work is refused because free disk space is below the reserve.
    pub full: bool,
    /// Error that stopped the replica, if any.
    pub stopped: Option<String>,
}

impl GroupStatus {
    /// Returns the status of a replica. Replicas without a response for `replace_after` milliseconds count as
    /// unresponsive. The caller sets the fields about file size, free disk space and errors.
    pub fn of(replica: &Replica, replace_after: u64) -> Self {
        let status = replica.status();
        let replicas = &status.membership.replicas;
        let leader = status.leader.and_then(|disk| replicas.get(&disk));
        let caught_up = replicas.keys().copied();
        Self {
            leads: status.leads,
            leader: leader.map(|leader| leader.node.clone()),
            term: status.term,
            history: status.history,
            commit: status.commit,
            last: status.last,
            membership_committed: status.membership_committed,
            committed_membership: status.committed_membership,
            unresponsive: replica.unresponsive(replace_after).into_iter().collect(),
            responsive: replica.recently_active(replace_after),
            confirmed: replica.confirmed(),
            caught_up: caught_up
                .filter(|disk| replica.has_caught_up(*disk))
                .collect(),
            log_bytes: replica.log_bytes(),
            snapshot_bytes: replica.snapshot_bytes(),
            membership: status.membership,
            ..Self::new(replica.disk(), !replica.is_empty())
        }
    }

    /// Returns the other replicas from which no message was received recently.
    pub fn unconfirmed(&self) -> BTreeSet<DiskId> {
        let replicas = self.membership.replicas.keys().copied();
        replicas
            .filter(|disk| *disk != self.disk && !self.confirmed.contains(disk))
            .collect()
    }

    fn new(disk: DiskId, holds_log: bool) -> Self {
        Self {
            disk,
            holds_log,
            leads: false,
            leader: None,
            term: 0,
            history: 0,
            commit: 0,
            last: Position::default(),
            membership: Membership::default(),
            membership_committed: false,
            committed_membership: Membership::default(),
            unresponsive: BTreeSet::new(),
            responsive: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            caught_up: BTreeSet::new(),
            file_bytes: 0,
            log_bytes: 0,
            snapshot_bytes: 0,
            full: false,
            stopped: None,
        }
    }
}

/// Storage and inputs of a replica until its thread is started.
struct UnstartedReplica<M: StateMachine> {
    storage: RedbStorage,
    inputs: Receiver<Input<M>>,
}

/// Handle of one replica of a group on this node's disk.
pub struct Group<M: StateMachine> {
    id: GroupId,
    path: PathBuf,
    inputs: Sender<Input<M>>,
    status: Arc<RwLock<Arc<GroupStatus>>>,
    state: Arc<RwLock<SharedState<M>>>,
    applied: watch::Sender<LogIndex>,
    founding: Mutex<Option<Membership>>,
    unstarted: Mutex<Option<UnstartedReplica<M>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl<M: StateMachine> Group<M> {
    /// Opens the storage of a group in `folder`, without starting the replica.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage cannot be opened or read.
    pub fn open(folder: &Path, id: GroupId, cache_bytes: usize) -> Result<Self, StorageError> {
        let path = folder.join(format!("journal-{id}.redb"));
        let storage = RedbStorage::open(&path, DiskId(rand::rng().random()), cache_bytes)?;
        let holds_log = !storage.load()?.is_empty();
        let status = GroupStatus::new(storage.disk(), holds_log);
        let (sender, inputs) = mpsc::channel();
        Ok(Self {
            id,
            path,
            inputs: sender,
            status: Arc::new(RwLock::new(Arc::new(status))),
            state: Arc::default(),
            applied: watch::Sender::new(0),
            founding: Mutex::new(None),
            unstarted: Mutex::new(Some(UnstartedReplica { storage, inputs })),
            thread: Mutex::new(None),
        })
    }

    /// Starts the replica's thread. Later calls have no effect.
    pub fn start(&self, log: &Logger, settings: ReplicaSettings, transport: Box<dyn Transport>) {
        let Some(unstarted) = self.unstarted.lock().take() else {
            return;
        };
        let environment = Environment {
            log: log.new(slog::o!("group" => self.id.0)),
            group: self.id,
            path: self.path.clone(),
            settings,
            transport,
            status: self.status.clone(),
            applied: self.applied.clone(),
            start: firshore_clock::now(),
        };
        let state = self.state.clone();
        let thread = std::thread::Builder::new()
            .name(format!("journal-{}", self.id))
            .spawn(move || driver::run(environment, unstarted.storage, unstarted.inputs, state));
        *self.thread.lock() = thread.ok();
    }

    /// Returns the state as applied by this replica. It contains only committed entries, but may lag behind
    /// the leader.
    pub fn applied_state(&self) -> SharedState<M> {
        self.state.read().clone()
    }

    /// Returns a receiver that is notified of applied entries and changes of leadership.
    pub fn changes(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// Returns the number of the group.
    pub fn id(&self) -> GroupId {
        self.id
    }

    /// Returns the last published status of the replica.
    pub fn status(&self) -> Arc<GroupStatus> {
        self.status.read().clone()
    }

    /// Passes a message from another replica to this one.
    pub fn received(&self, node: NodeName, envelope: Envelope) {
        let _ = self.inputs.send(Input::Received { node, envelope });
    }

    /// Returns the founding membership, if it was set since the node's start.
    pub fn founding(&self) -> Option<Membership> {
        self.founding.lock().clone()
    }

    /// Sets the founding membership. If it contains this disk as a voter and the replica is empty, the replica
    /// starts with it. A replaced disk has another identity, so it does not.
    pub fn set_founding(&self, membership: Membership) {
        *self.founding.lock() = Some(membership.clone());
        if membership.is_voter(self.status().disk) {
            let _ = self.inputs.send(Input::Found(membership));
        }
    }

    /// Proposes a membership change if this replica leads.
    pub fn change(&self, change: MembershipChange) {
        let _ = self.inputs.send(Input::Change(change));
    }

    /// Continues with these disks as the only voters; see
    /// [`firshore_replication::replica::Replica::continue_with`] for the preconditions.
    pub fn continue_with(&self, survivors: Survivors) {
        let _ = self.inputs.send(Input::ContinueWith(survivors));
    }

    /// Switches to a later history of the log.
    pub fn join_history(&self, history: u64) {
        let _ = self.inputs.send(Input::JoinHistory(history));
    }

    /// Moves to a later term as a follower; does nothing if the replica's term is as late.
    pub fn adopt_term(&self, term: Term) {
        let _ = self.inputs.send(Input::AdoptTerm(term));
    }

    /// Commits a command and returns its outcome.
    ///
    /// # Errors
    ///
    /// Returns a refusal; after [`JournalRefusal::Unsettled`] the command may still take effect.
    pub async fn propose(&self, command: M::Command) -> Result<M::Outcome, JournalRefusal> {
        let (response, received) = oneshot::channel();
        let _ = self.inputs.send(Input::Propose { command, response });
        received.await.unwrap_or(Err(JournalRefusal::Unsettled))
    }

    /// Returns the state with all entries that were committed before the call.
    ///
    /// # Errors
    ///
    /// Returns [`JournalRefusal::NotLeader`] if this replica does not lead, or if too few disks hold what is
    /// committed.
    pub async fn read(&self) -> Result<SharedState<M>, JournalRefusal> {
        let (response, received): (ReadSender<M>, _) = oneshot::channel();
        let _ = self.inputs.send(Input::Read(response));
        let stopped = JournalRefusal::NotLeader { leader: None };
        received.await.unwrap_or(Err(stopped))
    }

    /// Returns the commands of entries that the state refers to. Commands that the storage does not hold, or
    /// no longer holds, are omitted.
    pub async fn load(&self, indexes: BTreeSet<LogIndex>) -> BTreeMap<LogIndex, M::Command> {
        if indexes.is_empty() {
            return BTreeMap::new();
        }
        let (response, received) = oneshot::channel();
        let _ = self.inputs.send(Input::Load { indexes, response });
        received.await.unwrap_or_default()
    }

    /// Transfers leadership to another voter, if this replica leads and there is one. Waits up to 3 seconds.
    pub async fn step_down(&self) {
        if self.status().membership.voters().count() >= 2 {
            self.request_step_down(None).await;
        }
    }

    /// Transfers leadership to the voter on this disk, if this replica leads. Waits up to 3 seconds.
    pub async fn transfer_leadership(&self, target: DiskId) {
        self.request_step_down(Some(target)).await;
    }

    async fn request_step_down(&self, target: Option<DiskId>) {
        if !self.status().leads {
            return;
        }
        let _ = self.inputs.send(Input::StepDown(target));
        let stepped_down = async {
            while self.status().leads {
                actix_rt::time::sleep(STEP_DOWN_POLL).await;
            }
        };
        let _ = tokio::time::timeout(STEP_DOWN_TIMEOUT, stepped_down).await;
    }

    /// Stops the replica's thread and waits for its end. Its file can then be opened again.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::Stop);
        if let Some(thread) = self.thread.lock().take() {
            let _ = thread.join();
        }
    }
}
