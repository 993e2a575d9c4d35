//! One replica of a group, without I/O. The caller passes in messages, proposals and the time. For each
//! [`Output`] it makes the writes durable, calls [`Replica::written`], then sends the messages and applies the
//! committed entries.

mod election;
mod follower;
mod history;
mod leader;
mod membership;
mod read;
mod snapshot;

pub use history::history_of;
pub use membership::Survivors;

use crate::error::ReplicaError;
use crate::log::Log;
use crate::message::{Envelope, Message};
use crate::progress::Progress;
use crate::storage::{HardState, StoredState, WriteBatch};
use crate::types::{DiskId, Entry, LogIndex, Membership, Position, ReplicaInfo, Snapshot, Term};
use firshore_types::ids::NodeName;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Timeouts, intervals and size limits of a replica.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Minimum election timeout in milliseconds. The actual timeout is drawn between this and its double.
    pub election_timeout: u64,
    /// Interval between heartbeats in milliseconds.
    pub heartbeat_interval: u64,
    /// Approximate maximum size of the entries in one message, in bytes.
    pub append_bytes: usize,
    /// Maximum size of a snapshot chunk in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Entries covered by a snapshot that are kept for followers that lag slightly, in bytes.
    pub trailing_bytes: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            election_timeout: 1_000,
            heartbeat_interval: 100,
            append_bytes: 256 * 1024,
            snapshot_chunk_bytes: 1024 * 1024,
            trailing_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Divisor of the election timeout: a gap between two ticks of that length or more counts as a stall of this
/// replica. Ticks normally come every few milliseconds.
const STALLS_PER_TIMEOUT: u64 = 3;

/// Identifier that the caller assigns to a read.
pub type ReadToken = u64;

/// Actions for the caller.
#[derive(Debug, Default)]
pub struct Output {
    /// Changes to make durable first.
    pub writes: WriteBatch,
    /// Messages that may be sent before the writes are durable.
    pub early_messages: Vec<Envelope>,
    /// Messages to send once the writes are durable.
    pub messages: Vec<Envelope>,
    /// Snapshot to install in the state machine before the entries are applied.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the entries up to their index are applied.
    pub reads: Vec<(ReadToken, LogIndex)>,
    /// Reads that failed because this replica is no longer the leader.
    pub failed_reads: Vec<ReadToken>,
    /// Whether to restore the replica and the state machine from the storage once the writes are durable:
    /// entries that were output as committed may not be part of the new history.
    pub restart: bool,
}

fn is_leader_message(envelope: &Envelope) -> bool {
    matches!(
        envelope.message,
        Message::Append { .. } | Message::SnapshotChunk { .. } | Message::TimeoutNow
    )
}

impl Output {
    /// Returns whether there is nothing to do.
    pub fn is_empty(&self) -> bool {
        self.writes.is_empty()
            && self.early_messages.is_empty()
            && self.messages.is_empty()
            && self.install.is_none()
            && self.committed.is_empty()
            && self.reads.is_empty()
            && self.failed_reads.is_empty()
            && !self.restart
    }
}

#[derive(Debug)]
struct Transfer {
    to: DiskId,
    deadline: u64,
}

#[derive(Debug)]
struct PendingRead {
    token: ReadToken,
    index: LogIndex,
    round: u64,
}

#[derive(Debug)]
struct Leadership {
    progress: BTreeMap<DiskId, Progress>,
    heartbeat_due: u64,
    quorum_check_due: u64,
    round: u64,
    new_reads: Vec<ReadToken>,
    reads: VecDeque<PendingRead>,
    transfer: Option<Transfer>,
}

#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate(BTreeSet<DiskId>),
    Candidate(BTreeSet<DiskId>),
    Leader(Leadership),
}

/// Status of a replica, for operators and for membership decisions.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Current term.
    pub term: Term,
    /// History of the log, see [`HardState::history`].
    pub history: u64,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// Disk of the leader, if known.
    pub leader: Option<DiskId>,
    /// Commit index.
    pub commit: LogIndex,
    /// Position of the last entry.
    pub last: Position,
    /// Effective membership.
    pub membership: Membership,
    /// Whether the effective membership is known to be committed.
    pub membership_committed: bool,
    /// Latest membership that is known to be committed.
    pub committed_membership: Membership,
}

/// Raft state of one replica.
pub struct Replica {
    disk: DiskId,
    timing: Timing,
    rng: ChaCha8Rng,
    now: u64,
    /// Time of the last tick, in milliseconds.
    last_tick_at: u64,
    hard_state: HardState,
    log: Log,
    /// Last index known to be durable locally.
    durable: LogIndex,
    /// Last index of the log when the pending output was taken.
    writing: Option<LogIndex>,
    commit: LogIndex,
    /// Last index output for application to the state machine.
    delivered: LogIndex,
    role: Role,
    leader: Option<DiskId>,
    leader_contact_at: Option<u64>,
    election_due: u64,
    incoming_snapshot: Option<snapshot::IncomingSnapshot>,
    /// Time of the last message from each other replica, in milliseconds.
    last_received_at: BTreeMap<DiskId, u64>,
    /// During recovery from a lost quorum: the survivors, all of which must grant their votes.
    recovery: Option<BTreeMap<DiskId, ReplicaInfo>>,
    /// Whether the replica moved to a later history and must be restored before it takes part again.
    needs_restart: bool,
    output: Output,
}

impl Replica {
    /// Creates a replica from its stored state at `now` (milliseconds). The state machine starts from the stored
    /// snapshot. `seed` determines the election timeouts.
    pub fn restore(now: u64, disk: DiskId, timing: Timing, stored: StoredState, seed: u64) -> Self {
        let hard_state = stored.hard_state;
        let log = Log::restore(stored);
        let commit = log.snapshot_index();
        let mut replica = Self {
            disk,
            timing,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now,
            last_tick_at: now,
            hard_state,
            durable: log.last().index,
            writing: None,
            log,
            commit,
            delivered: commit,
            role: Role::Follower,
            leader: None,
            leader_contact_at: None,
            election_due: 0,
            incoming_snapshot: None,
            last_received_at: BTreeMap::new(),
            recovery: None,
            needs_restart: false,
            output: Output::default(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Returns the identity of the disk.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Returns whether there is neither an entry nor a snapshot.
    pub fn is_empty(&self) -> bool {
        self.log.last().index == 0
    }

    /// Returns the approximate size of the log in memory, in bytes.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Returns the size of the latest snapshot in bytes, or 0.
    pub fn snapshot_bytes(&self) -> usize {
        self.log
            .snapshot()
            .map_or(0, |snapshot| snapshot.data.0.len())
    }

    /// Returns whether a snapshot at `index` would be newer than the latest one.
    pub fn is_after_snapshot(&self, index: LogIndex) -> bool {
        index > self.log.snapshot_index()
    }

    /// Returns the status.
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            term: self.hard_state.term,
            history: self.hard_state.history,
            leads: self.leads(),
            leader: self.leader,
            commit: self.commit,
            last: self.log.last(),
            membership: self.log.membership(),
            membership_committed: self.log.membership_index() <= self.commit,
            committed_membership: self.committed_membership(),
        }
    }

    /// Returns the node of a replica of the effective membership, of one that an uncommitted change has removed,
    /// or of a survivor of a lost quorum.
    pub fn node_of(&self, disk: DiskId) -> Option<NodeName> {
        let survivors = self.recovery.as_ref();
        let survivor = survivors.and_then(|survivors| survivors.get(&disk));
        let mut memberships = self.log.memberships_since(self.commit);
        let replica = memberships.find_map(|membership| membership.replicas.get(&disk));
        Some(replica.or(survivor)?.node.clone())
    }

    /// Returns the latest membership that is known to be committed. A later one may still be truncated.
    fn committed_membership(&self) -> Membership {
        self.log.membership_at(self.commit)
    }

    /// Returns the replicas from which a message was received within the last `limit` milliseconds.
    pub fn recently_active(&self, limit: u64) -> BTreeSet<DiskId> {
        let since = self.now.saturating_sub(limit);
        let active = self.last_received_at.iter().filter(|(_, at)| **at >= since);
        active.map(|(disk, _)| *disk).collect()
    }

    /// Returns whether this replica is the leader of its term. A later term may already have another leader.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Returns whether an entry of the current term is known to be committed. Before, the members under which the latest
    /// entries were committed may be unknown: survivors of a lost quorum record themselves in their first entry.
    pub fn has_committed_in_term(&self) -> bool {
        self.log.term(self.commit) == Some(self.hard_state.term)
    }

    /// Returns the term of the entry at `index`, if it is in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    /// Advances the time to `now` (milliseconds) and handles timeouts.
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        let elapsed = self.now - self.last_tick_at;
        self.last_tick_at = self.now;
        if elapsed * STALLS_PER_TIMEOUT >= self.timing.election_timeout {
            self.extend_timeouts_after_stall();
        }
        if self.leads() {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.reset_election_timer();
            self.start_pre_vote();
        }
    }

    /// Extends timeouts after a stall of this replica, because messages that arrived meanwhile are still unread.
    /// Safety does not depend on clocks, and the others elect a new leader if the stall exceeded their timeout.
    fn extend_timeouts_after_stall(&mut self) {
        match &mut self.role {
            Role::Leader(leadership) => {
                leadership.quorum_check_due = self.now + self.timing.election_timeout;
            }
            _ => {
                let grace = self.timing.election_timeout / STALLS_PER_TIMEOUT;
                self.election_due = self.election_due.max(self.now + grace);
            }
        }
    }

    /// Appends a command and returns its position. The command is committed once [`Output::committed`] contains
    /// an entry at that index with the same term; an entry with another term means that the command was lost.
    ///
    /// # Errors
    ///
    /// Returns [`ReplicaError::NotLeader`] if this replica is not the leader or is transferring its leadership.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, ReplicaError> {
        match &self.role {
            Role::Leader(leadership) if leadership.transfer.is_none() => {}
            _ => return Err(ReplicaError::NotLeader),
        }
        let content = crate::types::EntryContent::Command(command.into());
        Ok(self.append_as_leader(content))
    }

    /// Handles a message received at `now` (milliseconds).
    pub fn receive(&mut self, now: u64, envelope: Envelope) {
        self.now = self.now.max(now);
        if envelope.to != self.disk || envelope.from == self.disk {
            return;
        }
        if is_leader_message(&envelope) && !self.is_empty() {
            self.join_history(envelope.history);
        }
        if !self.shares_history(envelope.history) {
            return;
        }
        let (from, term) = (envelope.from, envelope.term);
        self.last_received_at.insert(from, self.now);
        match envelope.message {
            Message::PreVote { last } => return self.handle_pre_vote(from, term + 1, last),
            Message::PreVoteAnswer { next_term, granted } => {
                return self.handle_pre_vote_response(from, term, next_term, granted);
            }
            Message::Vote { transfer, .. } if !transfer && self.has_active_leader() => return,
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if term < self.hard_state.term {
            return self.reject_stale_request(from, &envelope.message);
        }
        match envelope.message {
            Message::Vote { last, .. } => self.handle_vote(from, last),
            Message::VoteAnswer { granted } => self.handle_vote_response(from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                round,
            } => self.handle_append(from, previous, entries, commit, round),
            Message::AppendAnswer { result, round } => {
                self.handle_append_response(from, result, round)
            }
            Message::SnapshotChunk {
                header,
                offset,
                data,
                last,
            } => self.handle_snapshot_chunk(from, header, offset, &data, last),
            Message::SnapshotAnswer { index, received } => {
                self.handle_snapshot_response(from, index, received);
            }
            Message::TimeoutNow => self.handle_timeout_now(),
            Message::PreVote { .. }
            | Message::PreVoteAnswer { .. }
            | Message::ReferencedCommands(_)
            | Message::ReferencedAnswer { .. } => {}
        }
    }

    /// Returns the actions that are due since the last call.
    pub fn take_output(&mut self) -> Output {
        self.start_read_round();
        if self.delivered < self.commit {
            let committed = self.log.range(self.delivered, self.commit);
            self.output.committed.extend(committed);
            self.delivered = self.commit;
        }
        let mut output = std::mem::take(&mut self.output);
        // A leader whose term is durable may send entries before they are durable locally (Ongaro 2014,
        // section 10.2.1), because it counts itself only after the write.
        if self.leads() && output.writes.hard_state.is_none() {
            let (early, late) = output.messages.into_iter().partition(is_leader_message);
            output.early_messages = early;
            output.messages = late;
        }
        self.writing = Some(self.log.last().index);
        output
    }

    /// Records that the writes of the last output are durable.
    pub fn written(&mut self) {
        if let Some(index) = self.writing.take() {
            self.durable = index.min(self.log.last().index);
            if self.leads() {
                self.advance_commit();
            }
        }
    }

    fn send(&mut self, to: DiskId, message: Message) {
        self.output.messages.push(Envelope {
            from: self.disk,
            to,
            term: self.hard_state.term,
            history: self.hard_state.history,
            message,
        });
    }

    fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.output.writes.hard_state = Some(hard_state);
    }

    fn reset_election_timer(&mut self) {
        let shortest = self.timing.election_timeout;
        self.election_due = self.now + shortest + self.rng.random_range(0..=shortest);
    }

    /// Returns whether this replica is the leader or received a message from one within the minimum election
    /// timeout.
    fn has_active_leader(&self) -> bool {
        let recently = |at: u64| self.now.saturating_sub(at) < self.timing.election_timeout;
        self.leads() || self.leader_contact_at.is_some_and(recently)
    }

    fn append_entry(&mut self, entry: Entry) {
        self.output.writes.append.push(entry.clone());
        self.log.append(entry);
    }

    fn set_commit(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last().index));
    }
}
