//! Thread of one replica: processes inputs in batches, writes each batch in one transaction, sends
//! messages, applies committed commands and takes snapshots. Other threads do not block on the disk.

mod referenced;
mod requests;
mod snapshot;
mod status;

use crate::disk_space;
use crate::group::GroupStatus;
use crate::machine::{ReplicaSettings, SharedState, StateMachine, Transport};
use crate::reference_transfer::ReferenceTransfers;
use crate::refusal::JournalRefusal;
use firshore_replication::error::StorageError;
use firshore_replication::message::Envelope;
use firshore_replication::redb_storage::RedbStorage;
use firshore_replication::replica::{Output, ReadToken, Replica, Survivors};
use firshore_replication::storage::Storage;
use firshore_replication::types::{
    DiskId, Entry, EntryContent, GroupId, LogIndex, Membership, MembershipChange,
    ReferencedCommand, Term,
};
use firshore_types::ids::NodeName;
use parking_lot::RwLock;
use rand::RngExt;
use slog::{Logger, error, info, warn};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, TryRecvError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

/// Maximum time between ticks of the replica.
const TICK: Duration = Duration::from_millis(20);

/// Maximum number of inputs written in one transaction.
const MAX_BATCH_INPUTS: usize = 512;

/// Backoff after a write to a full disk.
const FULL_DISK_BACKOFF: Duration = Duration::from_secs(1);

/// Sender of the response to a read.
pub(crate) type ReadSender<M> = oneshot::Sender<Result<SharedState<M>, JournalRefusal>>;

/// Sender of referenced commands; commands that cannot be read are omitted.
pub(crate) type CommandsSender<M> =
    oneshot::Sender<BTreeMap<LogIndex, <M as StateMachine>::Command>>;

type OutcomeSender<M> = oneshot::Sender<Result<<M as StateMachine>::Outcome, JournalRefusal>>;

/// Returns the wall clock in milliseconds since the Unix epoch.
fn unix_milliseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Input of the replica's thread.
pub(crate) enum Input<M: StateMachine> {
    /// Handle a message from another replica.
    Received {
        /// Node of the sending replica.
        node: NodeName,
        envelope: Envelope,
    },
    /// Commit a command.
    Propose {
        command: M::Command,
        response: OutcomeSender<M>,
    },
    /// Return the state with all entries that were committed before the read.
    Read(ReadSender<M>),
    /// Return the commands of entries that the state refers to.
    Load {
        indexes: BTreeSet<LogIndex>,
        response: CommandsSender<M>,
    },
    /// Start as a voter of the founding membership, if the replica is empty.
    Found(Membership),
    /// Propose a membership change.
    Change(MembershipChange),
    /// Continue with these disks as the only voters.
    ContinueWith(Survivors),
    /// Switch to a later history of the log.
    JoinHistory(u64),
    /// Move to a later term as a follower.
    AdoptTerm(Term),
    /// Transfer leadership to this voter, or else to the most up-to-date one.
    StepDown(Option<DiskId>),
    /// Stop the thread.
    Stop,
}

struct PendingProposal<M: StateMachine> {
    term: Term,
    response: OutcomeSender<M>,
}

struct PendingRead<M> {
    /// Index that must be applied before the read completes; `None` until leadership is confirmed.
    index: Option<LogIndex>,
    response: ReadSender<M>,
}

struct FinishedSnapshot {
    index: LogIndex,
    data: Vec<u8>,
    referenced: BTreeSet<LogIndex>,
}

/// Everything that a replica runs with except its storage.
pub(crate) struct Environment {
    pub(crate) log: Logger,
    pub(crate) group: GroupId,
    pub(crate) path: PathBuf,
    pub(crate) settings: ReplicaSettings,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) status: Arc<RwLock<Arc<GroupStatus>>>,
    /// Index of the last applied entry; also notified of each change of leadership.
    pub(crate) applied: watch::Sender<LogIndex>,
    pub(crate) start: Instant,
}

impl Environment {
    /// Returns milliseconds since the replica's start, including time in which the machine was suspended, so
    /// that a resumed leader knows how long its peers have received nothing from it.
    fn now(&self) -> u64 {
        firshore_clock::elapsed(self.start).as_millis() as u64
    }
}

/// State of the replica's thread.
pub(crate) struct Driver<'a, M: StateMachine> {
    environment: &'a mut Environment,
    log: Logger,
    storage: RedbStorage,
    replica: Replica,
    state: SharedState<M>,
    published: &'a RwLock<SharedState<M>>,
    applied: LogIndex,
    committed: VecDeque<Entry>,
    proposals: BTreeMap<LogIndex, PendingProposal<M>>,
    reads: BTreeMap<ReadToken, PendingRead<M>>,
    next_read: ReadToken,
    snapshot: Option<Receiver<FinishedSnapshot>>,
    /// Nodes from which replicas sent messages, used while an empty replica has no membership.
    senders: BTreeMap<DiskId, NodeName>,
    /// Transfers of referenced commands to replicas that receive a snapshot.
    transfers: ReferenceTransfers,
    /// Received referenced commands that the next batch writes.
    received_commands: Vec<ReferencedCommand>,
    /// Acknowledgements of these commands, sent once they are durable.
    acknowledgements: Vec<Envelope>,
    next_status_at: u64,
    /// Whether free disk space is below the reserve, or a write has failed on a full disk.
    full: bool,
    was_leader: bool,
    /// Whether the replica requested to be restored from its storage.
    restart_requested: bool,
}

enum Flow {
    Continue,
    Restart,
    Stop,
}

/// Reason for which a session with the storage ended.
enum SessionEnd {
    /// The replica was requested to stop, or its handle was dropped.
    Stopped,
    /// The disk is full.
    Full,
    /// The replica joined a later history of its group.
    Restarted,
}

fn restore<M: StateMachine>(
    environment: &Environment,
    storage: &RedbStorage,
) -> Result<(Replica, M), StorageError> {
    let stored = storage.load()?;
    let state = match &stored.snapshot {
        None => M::default(),
        Some(snapshot) => ciborium::from_reader(&*snapshot.data.0).map_err(|error| {
            let reason = format!("its snapshot cannot be read by this version ({error})");
            StorageError::Database(environment.path.clone(), reason)
        })?,
    };
    let seed = rand::rng().random();
    let timing = environment.settings.timing;
    let replica = Replica::restore(environment.now(), storage.disk(), timing, stored, seed);
    Ok((replica, state))
}

/// Runs a replica until it is requested to stop or its storage fails. When the disk is full, the replica
/// is restored from its storage as after a crash, because a storage is unusable after a failed write.
pub(crate) fn run<M: StateMachine>(
    mut environment: Environment,
    mut storage: RedbStorage,
    inputs: Receiver<Input<M>>,
    published: Arc<RwLock<SharedState<M>>>,
) {
    let log = environment.log.clone();
    let mut full = false;
    loop {
        let disk = storage.disk();
        match session(&mut environment, storage, full, &inputs, &published) {
            Ok(SessionEnd::Stopped) => return info!(log, "journal: Replica thread ended."),
            Ok(SessionEnd::Restarted) => {
                warn!(log, "journal: Restarting replica."; "reason" => "joined a later history");
            }
            Ok(SessionEnd::Full) => {
                full = true;
                if !extend_file(&environment) {
                    warn!(log, "journal: Disk is full."; "file" => %environment.path.display());
                    std::thread::sleep(FULL_DISK_BACKOFF);
                }
            }
            Err(reason) => {
                error!(log, "journal: Replica failed."; "reason" => %reason);
                let mut status = GroupStatus::clone(&environment.status.read());
                status.leads = false;
                status.stopped = Some(reason.to_string());
                *environment.status.write() = Arc::new(status);
                return;
            }
        }
        storage = match RedbStorage::open(&environment.path, disk, environment.settings.cache_bytes)
        {
            Ok(storage) => storage,
            Err(reason) => return error!(log, "journal: Replica failed."; "reason" => %reason),
        };
    }
}

/// Lengthens the file of a storage that could not grow. Returns `false` if the disk has no room for that.
fn extend_file(environment: &Environment) -> bool {
    let path = &environment.path;
    let free = path.parent().and_then(disk_space::free_bytes);
    let Some(bytes) = free.and_then(RedbStorage::extension) else {
        return false;
    };
    match RedbStorage::extend(path, bytes) {
        Ok(()) => {
            info!(environment.log, "journal: File extended."; "bytes" => bytes, "free" => free);
            true
        }
        Err(reason) => {
            warn!(environment.log, "journal: File not extended."; "bytes" => bytes, "free" => free,
                "reason" => %reason);
            false
        }
    }
}

fn session<M: StateMachine>(
    environment: &mut Environment,
    storage: RedbStorage,
    full: bool,
    inputs: &Receiver<Input<M>>,
    published: &RwLock<SharedState<M>>,
) -> Result<SessionEnd, StorageError> {
    let (replica, state) = restore(environment, &storage)?;
    let mut driver = Driver {
        log: environment.log.clone(),
        environment,
        storage,
        applied: replica.status().commit,
        replica,
        state: Arc::new(RwLock::new(state)),
        published,
        committed: VecDeque::new(),
        proposals: BTreeMap::new(),
        reads: BTreeMap::new(),
        next_read: 0,
        snapshot: None,
        senders: BTreeMap::new(),
        transfers: ReferenceTransfers::default(),
        received_commands: Vec::new(),
        acknowledgements: Vec::new(),
        next_status_at: 0,
        full,
        was_leader: false,
        restart_requested: false,
    };
    driver.publish_state();
    info!(driver.log, "journal: Replica started."; "disk" => %driver.storage.disk());
    let end = loop {
        match driver.run_cycle(inputs) {
            Ok(Flow::Continue) => {}
            Ok(Flow::Restart) => break Ok(SessionEnd::Restarted),
            Ok(Flow::Stop) => break Ok(SessionEnd::Stopped),
            Err(StorageError::Full(_)) => break Ok(SessionEnd::Full),
            Err(reason) => break Err(reason),
        }
    };
    driver.fail_pending();
    end
}

impl<M: StateMachine> Driver<'_, M> {
    fn publish_state(&self) {
        *self.published.write() = self.state.clone();
    }

    fn run_cycle(&mut self, inputs: &Receiver<Input<M>>) -> Result<Flow, StorageError> {
        match inputs.recv_timeout(TICK) {
            Ok(input) => {
                if let Flow::Stop = self.process_batch(input, inputs) {
                    return Ok(Flow::Stop);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(Flow::Stop),
        }
        self.replica.tick(self.environment.now());
        self.process_outputs()?;
        self.update_status();
        match self.restart_requested {
            true => Ok(Flow::Restart),
            false => Ok(Flow::Continue),
        }
    }

    fn process_batch(&mut self, first: Input<M>, inputs: &Receiver<Input<M>>) -> Flow {
        let mut next = Some(first);
        let mut count = 0;
        while let Some(input) = next {
            if let Flow::Stop = self.process_input(input) {
                return Flow::Stop;
            }
            count += 1;
            if count == MAX_BATCH_INPUTS {
                return Flow::Continue;
            }
            next = match inputs.try_recv() {
                Ok(input) => Some(input),
                Err(TryRecvError::Empty) => None,
                Err(TryRecvError::Disconnected) => return Flow::Stop,
            };
        }
        Flow::Continue
    }

    fn process_input(&mut self, input: Input<M>) -> Flow {
        match input {
            Input::Received { node, envelope } => {
                self.senders.insert(envelope.from, node);
                self.receive(envelope);
            }
            Input::Load { indexes, response } => self.load(&indexes, response),
            Input::Propose { command, response } => self.propose(command, response),
            Input::Read(response) => self.read(response),
            Input::Found(membership) => self.found_group(membership),
            Input::Change(change) => self.change(&change),
            Input::ContinueWith(survivors) => self.continue_with(&survivors),
            Input::JoinHistory(history) => self.replica.join_history(history),
            Input::AdoptTerm(term) => self.replica.adopt_term(term),
            Input::StepDown(target) => {
                let target = target.or_else(|| self.replica.transfer_target());
                if let Some(target) = target {
                    let _ = self.replica.transfer_leadership(target);
                }
            }
            Input::Stop => return Flow::Stop,
        }
        Flow::Continue
    }

    fn continue_with(&mut self, survivors: &Survivors) {
        match self.replica.continue_with(survivors) {
            Ok(()) => {
                // Entries without a quorum before may now be committed by fewer disks, which does not meet the
                // durability guarantee.
                self.fail_proposals();
                warn!(self.log, "journal: Continuing without a quorum."; "with" => ?survivors.replicas.keys(),
                    "left_behind" => survivors.left_behind, "history" => survivors.history);
            }
            Err(reason) => {
                info!(self.log, "journal: Continuing without a quorum was refused."; "reason" => %reason,
                    "with" => ?survivors.replicas.keys());
            }
        }
    }

    /// Processes outputs of the replica until there are none, then completes reads and snapshots.
    fn process_outputs(&mut self) -> Result<(), StorageError> {
        loop {
            let mut output = self.replica.take_output();
            output.writes.received = std::mem::take(&mut self.received_commands);
            output.messages.append(&mut self.acknowledgements);
            if output.is_empty() {
                break;
            }
            self.process_output(output)?;
            if self.restart_requested {
                return Ok(());
            }
        }
        self.finish_snapshot();
        self.apply_committed()?;
        self.complete_reads();
        self.start_snapshot();
        Ok(())
    }

    fn process_output(&mut self, output: Output) -> Result<(), StorageError> {
        self.send_all(output.early_messages);
        if !output.writes.is_empty() {
            self.storage.write(&output.writes)?;
        }
        self.replica.written();
        self.send_all(output.messages);
        self.restart_requested = output.restart;
        if let Some(snapshot) = output.install {
            self.install(snapshot.header.position.index, &snapshot.data.0)?;
        }
        self.committed.extend(output.committed);
        for token in output.failed_reads {
            if let Some(read) = self.reads.remove(&token) {
                let _ = read.response.send(Err(self.not_leader()));
            }
        }
        for (token, index) in output.reads {
            if let Some(read) = self.reads.get_mut(&token) {
                read.index = Some(index);
            }
        }
        Ok(())
    }

    fn send_all(&mut self, envelopes: Vec<Envelope>) {
        if envelopes.is_empty() {
            return;
        }
        for envelope in envelopes {
            let Some(envelope) = self.prepare_message(envelope) else {
                continue;
            };
            let node = self.replica.node_of(envelope.to);
            let node = node.or_else(|| self.senders.get(&envelope.to).cloned());
            if let Some(node) = node {
                let group = self.environment.group;
                self.environment.transport.send(group, &node, envelope);
            }
        }
    }

    fn install(&mut self, index: LogIndex, data: &[u8]) -> Result<(), StorageError> {
        let state: M = ciborium::from_reader(data).map_err(|error| {
            let reason = format!("the leader's snapshot cannot be read by this version ({error})");
            StorageError::Database(self.environment.path.clone(), reason)
        })?;
        // Readers that hold the former state keep it; it must not change under them.
        self.state = Arc::new(RwLock::new(state));
        self.publish_state();
        self.applied = index;
        self.committed.clear();
        self.snapshot = None;
        self.fail_proposals_through(index);
        info!(self.log, "journal: Snapshot installed."; "index" => index);
        Ok(())
    }

    fn apply_committed(&mut self) -> Result<(), StorageError> {
        // The state must not change while a snapshot of it is encoded.
        if self.snapshot.is_some() || self.committed.is_empty() {
            return Ok(());
        }
        // A proposal from before the group shrank must not be acknowledged: too few disks hold it now. A former
        // leader may not have learned yet that it did.
        if !self.replica.leads() || !self.is_durable() {
            self.fail_proposals();
        } else if !self.is_committed_durable() {
            self.fail_committed_proposals();
        }
        let state = self.state.clone();
        let mut state = state.write();
        while let Some(entry) = self.committed.pop_front() {
            self.apply(&mut state, &entry)?;
        }
        drop(state);
        self.environment.applied.send_replace(self.applied);
        Ok(())
    }

    fn apply(&mut self, state: &mut M, entry: &Entry) -> Result<(), StorageError> {
        self.applied = entry.index;
        let pending = self.proposals.remove(&entry.index);
        let outcome = match &entry.content {
            EntryContent::Command(payload) => {
                let command = ciborium::from_reader(&*payload.0).map_err(|error| {
                    let index = entry.index;
                    let reason = format!("entry {index} cannot be read by this version ({error})");
                    StorageError::Database(self.environment.path.clone(), reason)
                })?;
                Some(state.apply(entry.index, command))
            }
            EntryContent::Blank | EntryContent::Membership(_) => None,
        };
        if let Some(pending) = pending {
            let response = match outcome {
                Some(outcome) if pending.term == entry.term => Ok(outcome),
                _ => Err(JournalRefusal::Unsettled),
            };
            let _ = pending.response.send(response);
        }
        Ok(())
    }

    fn complete_reads(&mut self) {
        let ready: Vec<ReadToken> = self
            .reads
            .iter()
            .filter(|(_, read)| read.index.is_some_and(|index| index <= self.applied))
            .map(|(token, _)| *token)
            .collect();
        if ready.is_empty() {
            return;
        }
        // A lone voter must not serve reads: the loss of its disk would lose what was read. A former leader may not have
        // learned yet that one committed what it has applied.
        let result = match self.replica.leads() && self.is_committed_durable() {
            true => Ok(self.state.clone()),
            false => Err(self.not_leader()),
        };
        for token in ready {
            if let Some(read) = self.reads.remove(&token) {
                let _ = read.response.send(result.clone());
            }
        }
    }

    fn fail_proposals(&mut self) {
        self.fail_proposals_through(LogIndex::MAX);
    }

    /// Fails the proposals whose entries are about to be applied. Later ones wait for a larger group.
    fn fail_committed_proposals(&mut self) {
        if let Some(last) = self.committed.back() {
            self.fail_proposals_through(last.index);
        }
    }

    fn fail_proposals_through(&mut self, last: LogIndex) {
        let later = self.proposals.split_off(&last.saturating_add(1));
        for (_, pending) in std::mem::replace(&mut self.proposals, later) {
            let _ = pending.response.send(Err(JournalRefusal::Unsettled));
        }
    }

    fn fail_pending(&mut self) {
        self.fail_proposals();
        for (_, read) in std::mem::take(&mut self.reads) {
            let refusal = JournalRefusal::NotLeader { leader: None };
            let _ = read.response.send(Err(refusal));
        }
    }
}
