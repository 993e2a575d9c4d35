//! Messages between the replicas of a group (Ongaro and Ousterhout 2014, figures 2 and 13;
//! Ongaro 2014, sections 3.10, 6.4 and 9.6).

use crate::types::{
    DiskId, Entry, LogIndex, Payload, Position, ReferencedCommand, SnapshotHeader, Term,
};
use serde::{Deserialize, Serialize};

/// A message with its sender, receiver and the sender's term.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver; another disk must ignore the message.
    pub to: DiskId,
    /// Term of the sender.
    pub term: Term,
    /// History that the sender's log is part of, see [`crate::storage::HardState::history`].
    #[serde(default)]
    pub history: u64,
    /// Content.
    pub message: Message,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether a vote would be granted in the next term; changes nothing at the receiver.
    PreVote {
        /// Last entry of the sender.
        last: Position,
    },
    /// Answer to [`Message::PreVote`].
    PreVoteAnswer {
        /// The term asked about.
        next_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for the vote in the envelope's term.
    Vote {
        /// Last entry of the sender.
        last: Position,
        /// Whether the leader itself asked the sender to take over.
        transfer: bool,
    },
    /// Answer to [`Message::Vote`].
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader's log, or none as a heartbeat.
    Append {
        /// Entry before the first one sent.
        previous: Position,
        /// Entries.
        entries: Vec<Entry>,
        /// Committed index of the leader.
        commit: LogIndex,
        /// Number of the heartbeat round, for reads.
        round: u64,
    },
    /// Answer to [`Message::Append`].
    AppendAnswer {
        /// What became of it.
        result: AppendResult,
        /// Round of the message answered.
        round: u64,
    },
    /// A part of the leader's snapshot.
    SnapshotChunk {
        /// What the snapshot stands for.
        header: SnapshotHeader,
        /// Position of the part in bytes.
        offset: u64,
        /// The part.
        data: Payload,
        /// Whether it is the last part.
        last: bool,
    },
    /// Answer to [`Message::SnapshotChunk`].
    SnapshotAnswer {
        /// Index that the snapshot stands for.
        index: LogIndex,
        /// Bytes held of it.
        received: u64,
    },
    /// Commands that a snapshot refers to, sent before it. What a replica does with them follows
    /// from no term: they are committed, and stored beside the log.
    ReferencedCommands(Vec<ReferencedCommand>),
    /// Answer to [`Message::ReferencedCommands`], once they are durable.
    ReferencedAnswer {
        /// Index of the last one.
        through: LogIndex,
    },
    /// Asks the receiver to start an election at once, as the leader steps aside.
    TimeoutNow,
}

/// What a follower did with entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log equals the leader's up to this index.
    Matched(LogIndex),
    /// The follower's log differs.
    Rejected {
        /// Index of the previous entry that was not matched.
        previous: LogIndex,
        /// Last index that may match.
        hint: LogIndex,
    },
}
