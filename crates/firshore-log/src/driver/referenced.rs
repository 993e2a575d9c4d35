//! Commands that the state refers to by the index of their entry: read for those who ask, and sent
//! to a replica before a snapshot that refers to them.
//!
//! A referenced command is committed and never changes, so it may be sent at any time, by any
//! leader, and more than once. A replica that has answered holds it durably: what it was sent for
//! one snapshot is not sent again for the next.

use super::{Driver, LoadAnswer};
use crate::machine::StateMachine;
use crate::reference_transfer::TransferStep;
use firshore_replication::message::{Envelope, Message};
use firshore_replication::storage::Storage;
use firshore_replication::types::{DiskId, LogIndex, ReferencedCommand};
use slog::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of commands in one message, about.
const MESSAGE_BYTES: usize = 256 * 1024;

impl<M: StateMachine> Driver<'_, M> {
    /// Takes in a message of another replica.
    pub(super) fn receive(&mut self, envelope: Envelope) {
        if envelope.to != self.storage.disk() {
            return;
        }
        match envelope.message {
            Message::ReferencedCommands(commands) => {
                if self.replica.shares_history(envelope.history) {
                    let (from, term, history) = (envelope.from, envelope.term, envelope.history);
                    let answer = |through| Envelope {
                        from: self.storage.disk(),
                        to: from,
                        term,
                        history,
                        message: Message::ReferencedAnswer { through },
                    };
                    let receipt = commands.last().map(|last| answer(last.index));
                    self.receipts.extend(receipt);
                    self.received.extend(commands);
                }
            }
            Message::ReferencedAnswer { through } => self.referenced_held(envelope.from, through),
            _ => self.replica.receive(self.environment.now(), envelope),
        }
    }

    fn referenced_held(&mut self, disk: DiskId, through: LogIndex) {
        let leads = self.replica.leads();
        let waiting = self.transfers.answered(disk, through);
        if let Some(first_part) = waiting.filter(|_| leads) {
            self.send_all(vec![first_part]);
        }
    }

    /// What is to be sent in place of a message: before the first part of a snapshot go the
    /// commands that it refers to. The replica sends the part again until it is answered.
    pub(super) fn referenced_first(&mut self, envelope: Envelope) -> Option<Envelope> {
        let now = self.environment.now();
        let mut transfers = std::mem::take(&mut self.transfers);
        let step = transfers.before(now, envelope, |held, through| self.lacking(held, through));
        self.transfers = transfers;
        match step {
            TransferStep::Wait => None,
            TransferStep::Pass(envelope) => Some(envelope),
            TransferStep::Commands {
                held,
                count,
                envelope,
            } => {
                info!(self.log, "journal: Referenced commands sent."; "to" => %envelope.to,
                    "after" => held, "count" => count);
                Some(envelope)
            }
        }
    }

    /// The next referenced commands after `held`; `None` if one cannot be read.
    fn lacking(&self, held: LogIndex, through: LogIndex) -> Option<Vec<ReferencedCommand>> {
        let referenced = self.state.read().referenced();
        let mut commands = Vec::new();
        let mut bytes = 0;
        for index in referenced
            .range(held + 1..)
            .take_while(|index| **index <= through)
        {
            let command = match self.storage.command(*index) {
                Ok(Some(command)) => command,
                Ok(None) => {
                    warn!(self.log, "journal: Referenced command missing."; "index" => index);
                    return None;
                }
                Err(reason) => {
                    warn!(self.log, "journal: Referenced command unreadable."; "index" => index,
                        "reason" => %reason);
                    return None;
                }
            };
            bytes += command.0.len();
            commands.push(ReferencedCommand {
                index: *index,
                command,
            });
            if bytes >= MESSAGE_BYTES {
                break;
            }
        }
        Some(commands)
    }

    /// Reads commands for those who hold the state.
    pub(super) fn load(&self, indexes: &BTreeSet<LogIndex>, answer: LoadAnswer<M>) {
        let mut commands = BTreeMap::new();
        for index in indexes {
            match self.storage.command(*index) {
                Ok(Some(bytes)) => {
                    if let Ok(command) = ciborium::from_reader(&*bytes.0) {
                        commands.insert(*index, command);
                    }
                }
                Ok(None) => {}
                Err(reason) => {
                    warn!(self.log, "journal: Referenced command unreadable."; "index" => index,
                        "reason" => %reason);
                }
            }
        }
        let _ = answer.send(commands);
    }
}
