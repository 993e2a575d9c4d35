//! Which commands that a snapshot refers to a replica still lacks, and when they are sent. No I/O; the
//! time is passed in.

use firshore_replication::message::{Envelope, Message};
use firshore_replication::types::{DiskId, LogIndex, ReferencedCommand};
use std::collections::BTreeMap;

/// Time in milliseconds after which commands without an answer are sent again.
const RESEND_AFTER: u64 = 500;

/// What a replica has been sent of the commands that a snapshot refers to.
#[derive(Debug, Default)]
struct Transfer {
    /// It holds all up to here.
    held: LogIndex,
    /// When the last message was sent that it has not answered, in milliseconds.
    sent_at: Option<u64>,
    /// The first part of the snapshot, to be sent once all is held.
    waiting: Option<Envelope>,
}

/// What is to be sent in place of a message.
#[derive(Debug, PartialEq, Eq)]
pub enum TransferStep {
    /// Nothing now.
    Wait,
    /// The message itself.
    Pass(Envelope),
    /// Commands, after those up to `held`; the message waits for their answer.
    Commands {
        /// Last index that the receiver is known to hold.
        held: LogIndex,
        /// Number of commands.
        count: usize,
        /// Message with the commands.
        envelope: Envelope,
    },
}

/// Replicas that get a snapshot, and the commands that it refers to before.
#[derive(Debug, Default)]
pub struct ReferenceTransfers {
    transfers: BTreeMap<DiskId, Transfer>,
}

impl ReferenceTransfers {
    /// Takes in a message that is to be sent: before the first part of a snapshot go the commands that it
    /// refers to. `lacking` gives the next ones after an index and up to another, or `None` if one
    /// cannot be read.
    pub fn before(
        &mut self,
        now: u64,
        envelope: Envelope,
        lacking: impl FnOnce(LogIndex, LogIndex) -> Option<Vec<ReferencedCommand>>,
    ) -> TransferStep {
        let Message::SnapshotChunk {
            header, offset: 0, ..
        } = &envelope.message
        else {
            return TransferStep::Pass(envelope);
        };
        let transfer = self.transfers.entry(envelope.to).or_default();
        if transfer.sent_at.is_some_and(|at| now < at + RESEND_AFTER) {
            return TransferStep::Wait;
        }
        let held = transfer.held;
        let Some(commands) = lacking(held, header.position.index) else {
            return TransferStep::Wait;
        };
        if commands.is_empty() {
            return TransferStep::Pass(envelope);
        }
        let count = commands.len();
        let in_place = Envelope {
            message: Message::ReferencedCommands(commands),
            ..envelope
        };
        transfer.sent_at = Some(now);
        transfer.waiting = Some(envelope);
        TransferStep::Commands {
            held,
            count,
            envelope: in_place,
        }
    }

    /// Takes in that a replica holds the commands sent, up to `through`. Returns the message that waited
    /// for it.
    pub fn answered(&mut self, disk: DiskId, through: LogIndex) -> Option<Envelope> {
        let transfer = self.transfers.get_mut(&disk)?;
        transfer.held = transfer.held.max(through);
        transfer.sent_at = None;
        transfer.waiting.take()
    }
}
