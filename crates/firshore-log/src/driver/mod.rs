//! The thread of one replica: takes inputs in batches, writes each batch in one transaction, sends
//! messages, applies committed commands, takes snapshots. Workers never wait for the disk.

mod referenced;
mod requests;
mod snapshot;
mod survey;

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

/// Time between ticks of the replica.
const TICK: Duration = Duration::from_millis(20);

/// Most inputs written in one transaction.
const MAXIMUM_BATCH: usize = 512;

/// Pause before a full disk is tried again.
const FULL_DISK_PAUSE: Duration = Duration::from_secs(1);

/// Where the answer to a read goes.
pub(crate) type ReadAnswer<M> = oneshot::Sender<Result<SharedState<M>, JournalRefusal>>;

/// Where commands that the state refers to go; those that are not there are left out.
pub(crate) type LoadAnswer<M> = oneshot::Sender<BTreeMap<LogIndex, <M as StateMachine>::Command>>;

type ProposalAnswer<M> = oneshot::Sender<Result<<M as StateMachine>::Outcome, JournalRefusal>>;

/// Milliseconds since the Unix epoch by the machine's wall clock.
fn unix_milliseconds() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// What the thread is given.
pub(crate) enum Input<M: StateMachine> {
    /// A message from another replica.
    Received {
        /// Node that holds the replica.
        node: NodeName,
        /// The message.
        envelope: Envelope,
    },
    /// Commit a command.
    Propose {
        /// Command.
        command: M::Command,
        /// Where its outcome goes.
        answer: ProposalAnswer<M>,
    },
    /// Give the state with everything committed before now.
    Read(ReadAnswer<M>),
    /// Give the commands of entries that the state refers to.
    Load {
        /// Indexes of the entries.
        indexes: BTreeSet<LogIndex>,
        /// Where they go.
        answer: LoadAnswer<M>,
    },
    /// Become a founding replica.
    Found(Membership),
    /// Change the membership.
    Change(MembershipChange),
    /// Go on with these disks as the only voters.
    ContinueWith(Survivors),
    /// Leave the history of the log for this later one.
    JoinHistory(u64),
    /// Hand leadership over, to this voter or to the one that holds most.
    StepAside(Option<DiskId>),
    /// End.
    Stop,
}

struct PendingProposal<M: StateMachine> {
    term: Term,
    answer: ProposalAnswer<M>,
}

struct WaitingRead<M> {
    /// Index that must be applied; unknown until the leader is confirmed.
    index: Option<LogIndex>,
    answer: ReadAnswer<M>,
}

struct FinishedSnapshot {
    index: LogIndex,
    data: Vec<u8>,
    referenced: BTreeSet<LogIndex>,
}

/// What a replica is run with, beside its storage.
pub(crate) struct Environment {
    pub(crate) log: Logger,
    pub(crate) group: GroupId,
    pub(crate) path: PathBuf,
    pub(crate) settings: ReplicaSettings,
    pub(crate) transport: Box<dyn Transport>,
    pub(crate) status: Arc<RwLock<Arc<GroupStatus>>>,
    /// Told the index of each entry applied last, and of each change of leadership.
    pub(crate) applied: watch::Sender<LogIndex>,
    pub(crate) start: Instant,
}

impl Environment {
    /// Milliseconds since the replica's start, suspensions of the machine included: a leader that wakes has to
    /// know for how long the others have heard nothing of it.
    fn now(&self) -> u64 {
        firshore_clock::elapsed(self.start).as_millis() as u64
    }
}

/// The thread's state.
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
    reads: BTreeMap<ReadToken, WaitingRead<M>>,
    next_read: ReadToken,
    snapshot: Option<Receiver<FinishedSnapshot>>,
    /// Nodes that replicas wrote from: an empty replica knows no membership yet.
    senders: BTreeMap<DiskId, NodeName>,
    /// Replicas that get a snapshot, and the commands that it refers to before.
    transfers: ReferenceTransfers,
    /// Referenced commands received, to be written with the next batch.
    received: Vec<ReferencedCommand>,
    /// Answers to them, to be sent once they are durable.
    receipts: Vec<Envelope>,
    survey_due: u64,
    full: bool,
    led: bool,
    /// Whether the replica asked to be restored from its storage.
    restarts: bool,
}

enum Flow {
    Continue,
    Restart,
    Stop,
}

/// Why a session with the storage ended.
enum End {
    /// The replica was told to stop, or cannot go on.
    Stopped,
    /// The disk is full.
    Full,
    /// The replica joined another history of its group.
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

/// Runs a replica until it is told to stop. After a full disk it starts again from what the disk
/// holds, as after a crash: a storage whose write failed cannot be used further.
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
            Ok(End::Stopped) => return info!(log, "journal: Replica ended."),
            Ok(End::Restarted) => {
                warn!(log, "journal: Replica starts again."; "reason" => "it joined a later history");
            }
            Ok(End::Full) => {
                warn!(log, "journal: Disk full."; "file" => %environment.path.display());
                full = true;
                std::thread::sleep(FULL_DISK_PAUSE);
            }
            Err(reason) => {
                error!(log, "journal: Replica stopped."; "reason" => %reason);
                let mut last = GroupStatus::clone(&environment.status.read());
                last.leads = false;
                last.stopped = Some(reason.to_string());
                *environment.status.write() = Arc::new(last);
                return;
            }
        }
        storage = match RedbStorage::open(&environment.path, disk, environment.settings.cache_bytes)
        {
            Ok(storage) => storage,
            Err(reason) => return error!(log, "journal: Replica stopped."; "reason" => %reason),
        };
    }
}

fn session<M: StateMachine>(
    environment: &mut Environment,
    storage: RedbStorage,
    full: bool,
    inputs: &Receiver<Input<M>>,
    published: &RwLock<SharedState<M>>,
) -> Result<End, StorageError> {
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
        received: Vec::new(),
        receipts: Vec::new(),
        survey_due: 0,
        full,
        led: false,
        restarts: false,
    };
    driver.publish_state();
    info!(driver.log, "journal: Replica started."; "disk" => %driver.storage.disk());
    let ended = loop {
        match driver.turn(inputs) {
            Ok(Flow::Continue) => {}
            Ok(Flow::Restart) => break Ok(End::Restarted),
            Ok(Flow::Stop) => break Ok(End::Stopped),
            Err(StorageError::Full(_)) => break Ok(End::Full),
            Err(reason) => break Err(reason),
        }
    };
    driver.fail_everything();
    ended
}

impl<M: StateMachine> Driver<'_, M> {
    fn publish_state(&self) {
        *self.published.write() = self.state.clone();
    }

    fn turn(&mut self, inputs: &Receiver<Input<M>>) -> Result<Flow, StorageError> {
        match inputs.recv_timeout(TICK) {
            Ok(input) => {
                if let Flow::Stop = self.take_batch(input, inputs) {
                    return Ok(Flow::Stop);
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return Ok(Flow::Stop),
        }
        self.replica.tick(self.environment.now());
        self.settle()?;
        self.survey();
        match self.restarts {
            true => Ok(Flow::Restart),
            false => Ok(Flow::Continue),
        }
    }

    fn take_batch(&mut self, first: Input<M>, inputs: &Receiver<Input<M>>) -> Flow {
        let mut next = Some(first);
        let mut taken = 0;
        while let Some(input) = next {
            if let Flow::Stop = self.take(input) {
                return Flow::Stop;
            }
            taken += 1;
            if taken == MAXIMUM_BATCH {
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

    fn take(&mut self, input: Input<M>) -> Flow {
        match input {
            Input::Received { node, envelope } => {
                self.senders.insert(envelope.from, node);
                self.receive(envelope);
            }
            Input::Load { indexes, answer } => self.load(&indexes, answer),
            Input::Propose { command, answer } => self.propose(command, answer),
            Input::Read(answer) => self.read(answer),
            Input::Found(membership) => self.found(membership),
            Input::Change(change) => self.change(&change),
            Input::ContinueWith(survivors) => self.continue_with(&survivors),
            Input::JoinHistory(history) => self.replica.join_history(history),
            Input::StepAside(heir) => {
                let target = heir.or_else(|| self.replica.transfer_target());
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
                // What no quorum had committed may be committed by fewer disks now: no promise.
                self.fail_proposals();
                warn!(self.log, "journal: Goes on without a quorum."; "with" => ?survivors.replicas.keys(),
                    "left_behind" => survivors.left_behind, "history" => survivors.history);
            }
            Err(reason) => {
                info!(self.log, "journal: Does not go on without a quorum."; "reason" => %reason,
                    "with" => ?survivors.replicas.keys());
            }
        }
    }

    /// Carries out what the replica asks for until there is nothing left.
    fn settle(&mut self) -> Result<(), StorageError> {
        loop {
            let mut output = self.replica.take_output();
            output.writes.received = std::mem::take(&mut self.received);
            output.messages.append(&mut self.receipts);
            if output.is_empty() {
                break;
            }
            self.carry_out(output)?;
            if self.restarts {
                return Ok(());
            }
        }
        self.finish_snapshot();
        self.apply_committed()?;
        self.answer_reads();
        self.start_snapshot();
        Ok(())
    }

    fn carry_out(&mut self, output: Output) -> Result<(), StorageError> {
        self.send_all(output.early_messages);
        if !output.writes.is_empty() {
            self.storage.write(&output.writes)?;
        }
        self.replica.written();
        self.send_all(output.messages);
        self.restarts = output.restart;
        if let Some(snapshot) = output.install {
            self.install(snapshot.header.position.index, &snapshot.data.0)?;
        }
        self.committed.extend(output.committed);
        for token in output.failed_reads {
            if let Some(read) = self.reads.remove(&token) {
                let _ = read.answer.send(Err(self.not_leader()));
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
            let Some(envelope) = self.referenced_first(envelope) else {
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
        // Readers that hold the former state keep it: it is never set back under them.
        self.state = Arc::new(RwLock::new(state));
        self.publish_state();
        self.applied = index;
        self.committed.clear();
        self.snapshot = None;
        let later = self.proposals.split_off(&(index + 1));
        for (_, passed) in std::mem::replace(&mut self.proposals, later) {
            let _ = passed.answer.send(Err(JournalRefusal::Unsettled));
        }
        info!(self.log, "journal: Snapshot installed."; "index" => index);
        Ok(())
    }

    fn apply_committed(&mut self) -> Result<(), StorageError> {
        // A snapshot being encoded holds the state as it is.
        if self.snapshot.is_some() || self.committed.is_empty() {
            return Ok(());
        }
        // An answer that waits since before the group shrank would be a promise that it does not keep.
        if !self.keeps_promises() {
            self.fail_proposals();
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
            let answer = match outcome {
                Some(outcome) if pending.term == entry.term => Ok(outcome),
                _ => Err(JournalRefusal::Unsettled),
            };
            let _ = pending.answer.send(answer);
        }
        Ok(())
    }

    fn answer_reads(&mut self) {
        let ready: Vec<ReadToken> = self
            .reads
            .iter()
            .filter(|(_, read)| read.index.is_some_and(|index| index <= self.applied))
            .map(|(token, _)| *token)
            .collect();
        if ready.is_empty() {
            return;
        }
        // A lone voter shows nothing: the next loss may take what only its disk holds, 65 of 1000 played
        // seeds lost what was read.
        let shown = match self.may_show() {
            true => Ok(self.state.clone()),
            false => Err(self.not_leader()),
        };
        for token in ready {
            if let Some(read) = self.reads.remove(&token) {
                let _ = read.answer.send(shown.clone());
            }
        }
    }

    fn fail_proposals(&mut self) {
        for (_, pending) in std::mem::take(&mut self.proposals) {
            let _ = pending.answer.send(Err(JournalRefusal::Unsettled));
        }
    }

    fn fail_everything(&mut self) {
        self.fail_proposals();
        for (_, read) in std::mem::take(&mut self.reads) {
            let refusal = JournalRefusal::NotLeader { leader: None };
            let _ = read.answer.send(Err(refusal));
        }
    }
}
