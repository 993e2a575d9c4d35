//! One replica of a group. Give it messages, proposals and the time; make the writes of each
//! [`Output`] durable, call [`Replica::written`], then send the messages and apply the entries.

mod election;
mod follower;
mod history;
mod leader;
mod membership;
mod read;
mod snapshot;

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

/// Times and sizes.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Shortest silence of a leader after which an election starts, in milliseconds. The actual
    /// wait is drawn between this and its double.
    pub election_timeout: u64,
    /// Time between heartbeats in milliseconds.
    pub heartbeat_interval: u64,
    /// Entries in one message, in bytes, about.
    pub append_bytes: usize,
    /// Part of a snapshot in one message, in bytes.
    pub snapshot_chunk_bytes: usize,
    /// Entries before a snapshot kept for followers that lag a little, in bytes.
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

/// Part of the election timeout, as its divisor, that may pass between two ticks before the replica
/// itself counts as stalled: ticks come every few milliseconds.
const STALLS_PER_TIMEOUT: u64 = 3;

/// Number that the caller gives a read.
pub type ReadToken = u64;

/// What is to be done outside.
#[derive(Debug, Default)]
pub struct Output {
    /// Make this durable first.
    pub writes: WriteBatch,
    /// Messages that may be sent before the writes are durable.
    pub early_messages: Vec<Envelope>,
    /// Messages to send once the writes are durable.
    pub messages: Vec<Envelope>,
    /// State to replace the machine's by, before the entries.
    pub install: Option<Snapshot>,
    /// Committed entries to apply, in order.
    pub committed: Vec<Entry>,
    /// Reads that may be answered once the entries up to the index are applied.
    pub reads: Vec<(ReadToken, LogIndex)>,
    /// Reads that cannot be answered here: this replica no longer leads.
    pub failed_reads: Vec<ReadToken>,
    /// Once the writes are durable, restore the replica and the machine above from the storage: entries that
    /// were given out as committed are not part of the history that was joined.
    pub restart: bool,
}

fn is_of_leader(envelope: &Envelope) -> bool {
    matches!(
        envelope.message,
        Message::Append { .. } | Message::SnapshotChunk { .. } | Message::TimeoutNow
    )
}

impl Output {
    /// Whether there is nothing to do.
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

/// State of a replica as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Term.
    pub term: Term,
    /// History that the log is part of, see [`HardState::history`].
    pub history: u64,
    /// Whether this replica leads.
    pub leads: bool,
    /// Disk of the leader, as far as known.
    pub leader: Option<DiskId>,
    /// Committed index.
    pub commit: LogIndex,
    /// Last entry.
    pub last: Position,
    /// Replicas in force.
    pub membership: Membership,
    /// Whether the change that gave these replicas is committed, as far as known here.
    pub membership_committed: bool,
    /// The latest replicas of which that is known.
    pub committed_membership: Membership,
}

/// One replica.
pub struct Replica {
    disk: DiskId,
    timing: Timing,
    random: ChaCha8Rng,
    now: u64,
    /// When time passed last.
    ticked_at: u64,
    hard_state: HardState,
    log: Log,
    /// Last index known to be durable here.
    durable: LogIndex,
    /// Last index in the output being made durable.
    writing: Option<LogIndex>,
    commit: LogIndex,
    /// Last committed index given out to be applied.
    given_out: LogIndex,
    role: Role,
    leader: Option<DiskId>,
    leader_heard_at: Option<u64>,
    election_due: u64,
    incoming_snapshot: Option<snapshot::IncomingSnapshot>,
    /// When each other replica was heard last, in milliseconds.
    heard_at: BTreeMap<DiskId, u64>,
    /// While votes are asked for without a quorum: the replicas that all have to grant theirs.
    recovery: Option<BTreeMap<DiskId, ReplicaInfo>>,
    /// Whether a later history was joined, so that nothing is done before the replica is restored.
    restarts: bool,
    output: Output,
}

impl Replica {
    /// A replica with what its storage holds. The machine above starts from the stored snapshot.
    pub fn restore(now: u64, disk: DiskId, timing: Timing, stored: StoredState, seed: u64) -> Self {
        let hard_state = stored.hard_state;
        let log = Log::restore(stored);
        let commit = log.snapshot_index();
        let mut replica = Self {
            disk,
            timing,
            random: ChaCha8Rng::seed_from_u64(seed),
            now,
            ticked_at: now,
            hard_state,
            durable: log.last().index,
            writing: None,
            log,
            commit,
            given_out: commit,
            role: Role::Follower,
            leader: None,
            leader_heard_at: None,
            election_due: 0,
            incoming_snapshot: None,
            heard_at: BTreeMap::new(),
            recovery: None,
            restarts: false,
            output: Output::default(),
        };
        replica.reset_election_timer();
        replica
    }

    /// Identity of the disk.
    pub fn disk(&self) -> DiskId {
        self.disk
    }

    /// Whether nothing of the group's log is held.
    pub fn is_empty(&self) -> bool {
        self.log.last().index == 0
    }

    /// Bytes of the log in memory, about.
    pub fn log_bytes(&self) -> usize {
        self.log.bytes()
    }

    /// Size of the latest snapshot in bytes.
    pub fn snapshot_bytes(&self) -> usize {
        self.log
            .snapshot()
            .map_or(0, |snapshot| snapshot.data.0.len())
    }

    /// Whether a snapshot after `index` would be newer than the latest.
    pub fn covers(&self, index: LogIndex) -> bool {
        index > self.log.snapshot_index()
    }

    /// Its state.
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

    /// Returns the node of a replica in force, of one that a change has removed which may never become
    /// committed, or of a survivor whose vote is asked for.
    pub fn node_of(&self, disk: DiskId) -> Option<NodeName> {
        let survivors = self.recovery.as_ref();
        let survivor = survivors.and_then(|survivors| survivors.get(&disk));
        let mut memberships = self.log.memberships_since(self.commit);
        let replica = memberships.find_map(|membership| membership.replicas.get(&disk));
        Some(replica.or(survivor)?.node.clone())
    }

    /// Replicas of the latest change that is known to be committed: those of one that is not may never be
    /// in force.
    fn committed_membership(&self) -> Membership {
        self.log.membership_at(self.commit)
    }

    /// Replicas that were heard within the last `limit` milliseconds.
    pub fn heard_within(&self, limit: u64) -> BTreeSet<DiskId> {
        let since = self.now.saturating_sub(limit);
        let heard = self.heard_at.iter().filter(|(_, at)| **at >= since);
        heard.map(|(disk, _)| *disk).collect()
    }

    /// Whether this replica believes it leads; it may be deposed without knowing yet.
    pub fn leads(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Term of the entry at `index`, if it is kept in memory.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        self.log.term(index)
    }

    /// Lets time pass to `now` (milliseconds).
    pub fn tick(&mut self, now: u64) {
        self.now = self.now.max(now);
        let paused = self.now - self.ticked_at;
        self.ticked_at = self.now;
        if paused * STALLS_PER_TIMEOUT >= self.timing.election_timeout {
            self.allow_for_stall();
        }
        if self.leads() {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.reset_election_timer();
            self.start_pre_vote();
        }
    }

    /// Time in which this replica itself did not run is no silence of the others: what they sent
    /// meanwhile is yet to be read. Safety needs no clock, and the others elect another leader where
    /// the stall was too long for them.
    fn allow_for_stall(&mut self) {
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

    /// Appends a command if this replica leads. It is committed when it is given out with the same
    /// term at the position returned; another term there means that it was lost.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Position, ReplicaError> {
        match &self.role {
            Role::Leader(leadership) if leadership.transfer.is_none() => {}
            _ => return Err(ReplicaError::NotLeader),
        }
        let content = crate::types::EntryContent::Command(command.into());
        Ok(self.append_as_leader(content))
    }

    /// Takes in a message at `now` (milliseconds).
    pub fn receive(&mut self, now: u64, envelope: Envelope) {
        self.now = self.now.max(now);
        if envelope.to != self.disk || envelope.from == self.disk {
            return;
        }
        if is_of_leader(&envelope) && !self.is_empty() {
            self.join_history(envelope.history);
        }
        if !self.shares_history(envelope.history) {
            return;
        }
        let (from, term) = (envelope.from, envelope.term);
        self.heard_at.insert(from, self.now);
        match envelope.message {
            Message::PreVote { last } => return self.answer_pre_vote(from, term + 1, last),
            Message::PreVoteAnswer { next_term, granted } => {
                return self.take_pre_vote_answer(from, term, next_term, granted);
            }
            Message::Vote { transfer, .. } if !transfer && self.hears_leader() => return,
            _ => {}
        }
        if term > self.hard_state.term {
            self.become_follower(term);
        }
        if term < self.hard_state.term {
            return self.refuse_old_term(from, &envelope.message);
        }
        match envelope.message {
            Message::Vote { last, .. } => self.answer_vote(from, last),
            Message::VoteAnswer { granted } => self.take_vote_answer(from, granted),
            Message::Append {
                previous,
                entries,
                commit,
                round,
            } => self.take_entries(from, previous, entries, commit, round),
            Message::AppendAnswer { result, round } => self.take_append_answer(from, result, round),
            Message::SnapshotChunk {
                header,
                offset,
                data,
                last,
            } => self.take_snapshot_chunk(from, header, offset, &data, last),
            Message::SnapshotAnswer { index, received } => {
                self.take_snapshot_answer(from, index, received);
            }
            Message::TimeoutNow => self.take_over(),
            Message::PreVote { .. }
            | Message::PreVoteAnswer { .. }
            | Message::ReferencedCommands(_)
            | Message::ReferencedAnswer { .. } => {}
        }
    }

    /// Everything to be done since the last call.
    pub fn take_output(&mut self) -> Output {
        self.start_read_round();
        if self.given_out < self.commit {
            let committed = self.log.range(self.given_out, self.commit);
            self.output.committed.extend(committed);
            self.given_out = self.commit;
        }
        let mut output = std::mem::take(&mut self.output);
        // Entries of a leader whose term is durable may travel while they are written here
        // (Ongaro 2014, section 10.2.1): it counts itself only after the write.
        if self.leads() && output.writes.hard_state.is_none() {
            let (early, late) = output.messages.into_iter().partition(is_of_leader);
            output.early_messages = early;
            output.messages = late;
        }
        self.writing = Some(self.log.last().index);
        output
    }

    /// The writes of the last output are durable.
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
        self.election_due = self.now + shortest + self.random.random_range(0..=shortest);
    }

    /// Whether a leader was heard within the shortest election timeout.
    fn hears_leader(&self) -> bool {
        let recently =
            |heard_at: u64| self.now.saturating_sub(heard_at) < self.timing.election_timeout;
        self.leads() || self.leader_heard_at.is_some_and(recently)
    }

    fn append_entry(&mut self, entry: Entry) {
        self.output.writes.append.push(entry.clone());
        self.log.append(entry);
    }

    fn set_commit(&mut self, index: LogIndex) {
        self.commit = self.commit.max(index.min(self.log.last().index));
    }
}
