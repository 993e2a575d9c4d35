//! Messages between the replicas of a group (Ongaro and Ousterhout 2014, figures 2 and 13;
//! Ongaro 2014, sections 3.10, 6.4 and 9.6).

use crate::types::{
    DiskId, Entry, LogIndex, Payload, Position, ReferencedCommand, SnapshotHeader, Term,
};
use serde::{Deserialize, Serialize};

/// A message with its addresses, and the term and history of its sender.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Disk of the sender.
    pub from: DiskId,
    /// Disk of the receiver; a replica on another disk ignores the message.
    pub to: DiskId,
    /// Term of the sender.
    pub term: Term,
    /// History of the sender's log, see [`crate::storage::HardState::history`].
    #[serde(default)]
    pub history: u64,
    /// Request or response.
    pub message: Message,
}

/// Content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks whether the receiver would grant its vote in the next term; does not change the receiver's state.
    PreVote {
        /// Last entry of the sender.
        last: Position,
    },
    /// Response to [`Message::PreVote`].
    PreVoteAnswer {
        /// Term that the request was about.
        next_term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests the vote in the envelope's term.
    Vote {
        /// Last entry of the sender.
        last: Position,
        /// Whether the leader transferred its leadership to the sender.
        transfer: bool,
    },
    /// Response to [`Message::Vote`].
    VoteAnswer {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Entries of the leader's log; a heartbeat has none.
    Append {
        /// Position of the entry before the first one of the message.
        previous: Position,
        /// Entries, in order.
        entries: Vec<Entry>,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Heartbeat round; confirms leadership for reads.
        round: u64,
    },
    /// Response to [`Message::Append`].
    AppendAnswer {
        /// Whether the logs matched.
        result: AppendResult,
        /// Heartbeat round of the request.
        round: u64,
    },
    /// A chunk of the leader's snapshot.
    SnapshotChunk {
        /// Position and membership of the snapshot.
        header: SnapshotHeader,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Bytes of the chunk.
        data: Payload,
        /// Whether this is the last chunk.
        last: bool,
    },
    /// Response to [`Message::SnapshotChunk`].
    SnapshotAnswer {
        /// Last index that the snapshot covers.
        index: LogIndex,
        /// Bytes received so far.
        received: u64,
    },
    /// Commands that a snapshot refers to, sent before the snapshot. They are committed, so the receiver
    /// stores them outside the log whatever the term.
    ReferencedCommands(Vec<ReferencedCommand>),
    /// Response to [`Message::ReferencedCommands`], sent once they are durable.
    ReferencedAnswer {
        /// Index of the last command.
        through: LogIndex,
    },
    /// Asks the receiver to start an election immediately, to transfer the leadership to it.
    TimeoutNow,
}

/// Result of [`Message::Append`] at a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendResult {
    /// The follower's log matches the leader's up to this index.
    Matched(LogIndex),
    /// The follower's log does not contain the previous entry.
    Rejected {
        /// Index of the previous entry that did not match.
        previous: LogIndex,
        /// Last index that may match.
        hint: LogIndex,
    },
}
