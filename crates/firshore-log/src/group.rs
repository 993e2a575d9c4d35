//! The handle of one replica; the replica itself lives on a thread of its own.

use crate::driver::{self, Environment, Input, ReadAnswer};
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

/// Longest wait for another replica to take over when the node leaves.
const STEP_ASIDE_TIMEOUT: Duration = Duration::from_secs(3);

/// How often the status is looked at meanwhile.
const STEP_ASIDE_POLL: Duration = Duration::from_millis(20);

/// What the replica's thread last told about itself.
#[derive(Clone, Debug)]
pub struct GroupStatus {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Whether anything of the group's log is held.
    pub holds_log: bool,
    /// Whether this replica leads.
    pub leads: bool,
    /// Node that leads, as far as known.
    pub leader: Option<NodeName>,
    /// Term.
    pub term: Term,
    /// History that the log is part of.
    pub history: u64,
    /// Committed index.
    pub commit: LogIndex,
    /// Last entry.
    pub last: Position,
    /// Replicas in force.
    pub membership: Membership,
    /// Whether the change that gave these replicas is committed.
    pub membership_committed: bool,
    /// The latest replicas of which that is known.
    pub committed_membership: Membership,
    /// On the leader: replicas silent for longer than the limit.
    pub silent: BTreeSet<DiskId>,
    /// Replicas that were heard within that limit.
    pub heard: BTreeSet<DiskId>,
    /// On the leader: replicas that hold everything committed.
    pub caught_up: BTreeSet<DiskId>,
    /// Size of the database file in bytes.
    pub file_bytes: u64,
    /// Entries of the log that are held in memory, in bytes.
    pub log_bytes: usize,
    /// The latest snapshot, which is held in memory, in bytes.
    pub snapshot_bytes: usize,
    /// Whether new work is refused for lack of space.
    pub full: bool,
    /// Why the replica does not run, if it does not.
    pub stopped: Option<String>,
}

impl GroupStatus {
    /// Returns what a replica tells about itself. Others that were silent for `replace_after`
    /// milliseconds count as silent. What its storage and node know of is to be added.
    pub fn of(replica: &Replica, replace_after: u64) -> Self {
        let told = replica.status();
        let replicas = &told.membership.replicas;
        let leader = told.leader.and_then(|disk| replicas.get(&disk));
        let caught_up = replicas.keys().copied();
        Self {
            leads: told.leads,
            leader: leader.map(|leader| leader.node.clone()),
            term: told.term,
            history: told.history,
            commit: told.commit,
            last: told.last,
            membership_committed: told.membership_committed,
            committed_membership: told.committed_membership,
            silent: replica.unresponsive(replace_after).into_iter().collect(),
            heard: replica.recently_active(replace_after),
            caught_up: caught_up
                .filter(|disk| replica.has_caught_up(*disk))
                .collect(),
            log_bytes: replica.log_bytes(),
            snapshot_bytes: replica.snapshot_bytes(),
            membership: told.membership,
            ..Self::new(replica.disk(), !replica.is_empty())
        }
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
            silent: BTreeSet::new(),
            heard: BTreeSet::new(),
            caught_up: BTreeSet::new(),
            file_bytes: 0,
            log_bytes: 0,
            snapshot_bytes: 0,
            full: false,
            stopped: None,
        }
    }
}

struct Parked<M: StateMachine> {
    storage: RedbStorage,
    inputs: Receiver<Input<M>>,
}

/// One replica of a group on this node's disk.
pub struct Group<M: StateMachine> {
    id: GroupId,
    path: PathBuf,
    inputs: Sender<Input<M>>,
    status: Arc<RwLock<Arc<GroupStatus>>>,
    state: Arc<RwLock<SharedState<M>>>,
    applied: watch::Sender<LogIndex>,
    founding: Mutex<Option<Membership>>,
    parked: Mutex<Option<Parked<M>>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl<M: StateMachine> Group<M> {
    /// Opens the storage of a group below `folder` and checks it.
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
            parked: Mutex::new(Some(Parked { storage, inputs })),
            thread: Mutex::new(None),
        })
    }

    /// Starts the replica's thread.
    pub fn start(&self, log: &Logger, settings: ReplicaSettings, transport: Box<dyn Transport>) {
        let Some(parked) = self.parked.lock().take() else {
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
            .spawn(move || driver::run(environment, parked.storage, parked.inputs, state));
        *self.thread.lock() = thread.ok();
    }

    /// The state as this replica has applied it, which may lag behind what is committed. What it
    /// holds is committed and stays.
    pub fn applied_state(&self) -> SharedState<M> {
        self.state.read().clone()
    }

    /// Wakes with every entry applied and every change of leadership.
    pub fn changes(&self) -> watch::Receiver<LogIndex> {
        self.applied.subscribe()
    }

    /// The group's number.
    pub fn id(&self) -> GroupId {
        self.id
    }

    /// What the replica last told about itself.
    pub fn status(&self) -> Arc<GroupStatus> {
        self.status.read().clone()
    }

    /// Takes in a message from another replica.
    pub fn received(&self, node: NodeName, envelope: Envelope) {
        let _ = self.inputs.send(Input::Received { node, envelope });
    }

    /// The founding membership, if it was read since the node's start.
    pub fn founding(&self) -> Option<Membership> {
        self.founding.lock().clone()
    }

    /// Takes in the founding membership. An empty replica that it names becomes a founding one; a
    /// disk replaced since has another identity.
    pub fn found(&self, membership: Membership) {
        *self.founding.lock() = Some(membership.clone());
        if membership.is_voter(self.status().disk) {
            let _ = self.inputs.send(Input::Found(membership));
        }
    }

    /// Appends a membership change if this replica leads.
    pub fn change(&self, change: MembershipChange) {
        let _ = self.inputs.send(Input::Change(change));
    }

    /// Goes on with these disks as the only voters; see
    /// [`firshore_replication::replica::Replica::continue_with`] for what must be certain.
    pub fn continue_with(&self, survivors: Survivors) {
        let _ = self.inputs.send(Input::ContinueWith(survivors));
    }

    /// Leaves the history of the log for a later one.
    pub fn join_history(&self, history: u64) {
        let _ = self.inputs.send(Input::JoinHistory(history));
    }

    /// Commits a command and returns its outcome.
    pub async fn propose(&self, command: M::Command) -> Result<M::Outcome, JournalRefusal> {
        let (answer, received) = oneshot::channel();
        let _ = self.inputs.send(Input::Propose { command, answer });
        received.await.unwrap_or(Err(JournalRefusal::Unsettled))
    }

    /// The state with everything committed before now.
    pub async fn read(&self) -> Result<SharedState<M>, JournalRefusal> {
        let (answer, received): (ReadAnswer<M>, _) = oneshot::channel();
        let _ = self.inputs.send(Input::Read(answer));
        let lost = JournalRefusal::NotLeader { leader: None };
        received.await.unwrap_or(Err(lost))
    }

    /// The commands of entries that the state refers to. Those that are not there, or not any more,
    /// are left out.
    pub async fn load(&self, indexes: BTreeSet<LogIndex>) -> BTreeMap<LogIndex, M::Command> {
        if indexes.is_empty() {
            return BTreeMap::new();
        }
        let (answer, received) = oneshot::channel();
        let _ = self.inputs.send(Input::Load { indexes, answer });
        received.await.unwrap_or_default()
    }

    /// Hands leadership to another replica, if this one leads and another is there.
    pub async fn step_aside(&self) {
        if self.status().membership.voters().count() >= 2 {
            self.step_aside_for(None).await;
        }
    }

    /// Hands leadership to the voter on this disk, if this replica leads.
    pub async fn hand_over(&self, heir: DiskId) {
        self.step_aside_for(Some(heir)).await;
    }

    async fn step_aside_for(&self, heir: Option<DiskId>) {
        if !self.status().leads {
            return;
        }
        let _ = self.inputs.send(Input::StepAside(heir));
        let waited = async {
            while self.status().leads {
                actix_rt::time::sleep(STEP_ASIDE_POLL).await;
            }
        };
        let _ = tokio::time::timeout(STEP_ASIDE_TIMEOUT, waited).await;
    }

    /// Ends the replica's thread; its file can be opened again afterwards.
    pub fn stop(&self) {
        let _ = self.inputs.send(Input::Stop);
        if let Some(thread) = self.thread.lock().take() {
            let _ = thread.join();
        }
    }
}
