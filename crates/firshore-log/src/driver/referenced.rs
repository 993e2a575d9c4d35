//! Commands that the state refers to by the index of their entry. They are read on request, and sent to
//! a replica before a snapshot that refers to them.
//!
//! A referenced command is committed and never changes, so any leader may send it at any time, and more
//! than once. A replica acknowledges commands once they are durable; acknowledged commands are not sent
//! again for a later snapshot.

use super::{CommandsSender, Driver};
use crate::machine::StateMachine;
use crate::reference_transfer::TransferStep;
use firshore_replication::message::{Envelope, Message};
use firshore_replication::storage::Storage;
use firshore_replication::types::{DiskId, LogIndex, ReferencedCommand};
use slog::{info, warn};
use std::collections::{BTreeMap, BTreeSet};

/// Size of the commands in one message, in bytes; the last command may exceed it.
const TARGET_MESSAGE_BYTES: usize = 256 * 1024;

impl<M: StateMachine> Driver<'_, M> {
    /// Handles a message of another replica. Messages for a former disk of this node are dropped.
    pub(super) fn receive(&mut self, envelope: Envelope) {
        if envelope.to != self.storage.disk() {
            return;
        }
        match envelope.message {
            Message::ReferencedCommands(commands) => {
                if self.replica.shares_history(envelope.history) {
                    let (from, term, history) = (envelope.from, envelope.term, envelope.history);
                    let acknowledgement = |through| Envelope {
                        from: self.storage.disk(),
                        to: from,
                        term,
                        history,
                        message: Message::ReferencedAnswer { through },
                    };
                    let last = commands.last().map(|last| acknowledgement(last.index));
                    self.acknowledgements.extend(last);
                    self.received_commands.extend(commands);
                }
            }
            Message::ReferencedAnswer { through } => {
                self.record_acknowledgement(envelope.from, through)
            }
            _ => self.replica.receive(self.environment.now(), envelope),
        }
    }

    fn record_acknowledgement(&mut self, disk: DiskId, through: LogIndex) {
        let leads = self.replica.leads();
        let pending_chunk = self.transfers.acknowledge(disk, through);
        if let Some(first_chunk) = pending_chunk.filter(|_| leads) {
            self.send_all(vec![first_chunk]);
        }
    }

    /// Returns what to send in place of a message: the first chunk of a snapshot is preceded by the commands
    /// that the snapshot refers to. The replica sends the chunk again until it is acknowledged.
    pub(super) fn prepare_message(&mut self, envelope: Envelope) -> Option<Envelope> {
        let now = self.environment.now();
        let mut transfers = std::mem::take(&mut self.transfers);
        let step = transfers.next_step(now, envelope, |held, through| {
            self.missing_commands(held, through)
        });
        self.transfers = transfers;
        match step {
            TransferStep::Wait => None,
            TransferStep::Forward(envelope) => Some(envelope),
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

    /// Returns the next referenced commands after `held`, up to about [`TARGET_MESSAGE_BYTES`], or `None` if a
    /// command cannot be read.
    fn missing_commands(
        &self,
        held: LogIndex,
        through: LogIndex,
    ) -> Option<Vec<ReferencedCommand>> {
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
                    warn!(self.log, "journal: Referenced command is missing."; "index" => index);
                    return None;
                }
                Err(reason) => {
                    warn!(self.log, "journal: Reading a referenced command failed."; "index" => index,
                        "reason" => %reason);
                    return None;
                }
            };
            bytes += command.0.len();
            commands.push(ReferencedCommand {
                index: *index,
                command,
            });
            if bytes >= TARGET_MESSAGE_BYTES {
                break;
            }
        }
        Some(commands)
    }

    /// Reads commands from the log storage. Commands that cannot be read are omitted; the first is logged.
    pub(super) fn load(&self, indexes: &BTreeSet<LogIndex>, response: CommandsSender<M>) {
        let mut commands = BTreeMap::new();
        let mut unreadable = Vec::new();
        for index in indexes {
            match self.load_one(*index) {
                Ok(command) => {
                    commands.insert(*index, command);
                }
                Err(reason) => unreadable.push((*index, reason)),
            }
        }
        if let Some((first, reason)) = unreadable.first() {
            warn!(self.log, "journal: Commands not read."; "first" => first, "reason" => reason,
                "count" => unreadable.len(), "applied" => self.applied);
        }
        let _ = response.send(commands);
    }

    /// Returns a command, or why it cannot be read.
    fn load_one(&self, index: LogIndex) -> Result<M::Command, String> {
        let stored = self.storage.command(index);
        let bytes = stored.map_err(|error| error.to_string())?;
        let bytes = bytes.ok_or_else(|| "the storage holds none at this index".to_owned())?;
        ciborium::from_reader(&*bytes.0)
            .map_err(|error| format!("this version cannot decode it ({error})"))
    }
}
