//! Schedules the transfer of commands that a snapshot refers to, for each receiving replica. Performs no
//! I/O; the caller passes in the time.

use firshore_replication::message::{Envelope, Message};
use firshore_replication::types::{DiskId, LogIndex, ReferencedCommand};
use std::collections::BTreeMap;

/// Time after which unacknowledged commands are sent again, in milliseconds.
const RESEND_INTERVAL_MS: u64 = 500;

/// State of the transfer to one replica.
#[derive(Debug, Default)]
struct Transfer {
    /// Last index up to which the replica holds all referenced commands.
    held: LogIndex,
    /// When the message in flight was sent, in milliseconds; `None` once it is acknowledged.
    sent_at: Option<u64>,
    /// First chunk of the snapshot, held until the commands in flight are acknowledged.
    pending_chunk: Option<Envelope>,
}

/// What to send in place of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// Send nothing.
    Wait,
    /// Send the message itself.
    Forward(Envelope),
    /// Send commands with indexes above `held`; the message is held until they are acknowledged.
    Commands {
        /// Last index that the receiver has acknowledged.
        held: LogIndex,
        /// Number of commands.
        count: usize,
        /// Message that carries the commands.
        envelope: Envelope,
    },
}

/// Transfers of referenced commands to all replicas that receive a snapshot.
#[derive(Debug, Default)]
pub struct ReferenceTransfers {
    transfers: BTreeMap<DiskId, Transfer>,
}

impl ReferenceTransfers {
    /// Returns what to send in place of `envelope`: the first chunk of a snapshot is preceded by the commands
    /// that the snapshot refers to. `now` is in milliseconds. `missing` returns the next commands after one
    /// index and up to another, or `None` if a command cannot be read.
    pub fn next_step(
        &mut self,
        now: u64,
        envelope: Envelope,
        missing: impl FnOnce(LogIndex, LogIndex) -> Option<Vec<ReferencedCommand>>,
    ) -> TransferStep {
        let Message::SnapshotChunk {
            header, offset: 0, ..
        } = &envelope.message
        else {
            return TransferStep::Forward(envelope);
        };
        let transfer = self.transfers.entry(envelope.to).or_default();
        if transfer
            .sent_at
            .is_some_and(|at| now < at + RESEND_INTERVAL_MS)
        {
            return TransferStep::Wait;
        }
        let held = transfer.held;
        let Some(commands) = missing(held, header.position.index) else {
            return TransferStep::Wait;
        };
        if commands.is_empty() {
            return TransferStep::Forward(envelope);
        }
        let count = commands.len();
        let commands_message = Envelope {
            message: Message::ReferencedCommands(commands),
            ..envelope
        };
        transfer.sent_at = Some(now);
        transfer.pending_chunk = Some(envelope);
        TransferStep::Commands {
            held,
            count,
            envelope: commands_message,
        }
    }

    /// Records that a replica holds the referenced commands up to `through`. Returns the snapshot chunk that
    /// was held until then.
    pub fn acknowledge(&mut self, disk: DiskId, through: LogIndex) -> Option<Envelope> {
        let transfer = self.transfers.get_mut(&disk)?;
        transfer.held = transfer.held.max(through);
        transfer.sent_at = None;
        transfer.pending_chunk.take()
    }
}
