//! Clients that read from every machine that considers itself leader. A read must return everything accepted before
//! it started, and entries that a read has returned must not be lost.

use super::machine::{AcceptedCommand, Machine};
use super::{Violation, World};
use firshore_replication::replica::ReadToken;
use firshore_replication::types::{Entry, EntryContent, LogIndex, Position};
use std::collections::BTreeMap;

/// Bit that marks the clients' tokens; the tokens of a node's own reads are times in milliseconds.
const READER: ReadToken = 1 << 63;

pub fn is_client_read(token: ReadToken) -> bool {
    token & READER != 0
}

/// A read in flight.
struct OpenRead {
    machine: usize,
    /// Latest accepted command when the read started.
    accepted: Option<AcceptedCommand>,
}

/// The clients' reads and their results.
#[derive(Default)]
pub struct Readers {
    count: u64,
    open: BTreeMap<ReadToken, OpenRead>,
    /// Latest command that a read returned.
    returned: Option<AcceptedCommand>,
    /// Description of a read that missed a command accepted before it.
    missed: Option<String>,
}

fn command_at_most(entries: &[Entry], index: LogIndex) -> Option<&Entry> {
    let mut entries = entries.iter().rev();
    entries.find(|entry| entry.index <= index && matches!(entry.content, EntryContent::Command(_)))
}

impl World {
    /// Adds clients that read.
    pub fn with_readers(mut self) -> Self {
        self.readers = Some(Readers::default());
        self
    }

    pub(super) fn start_reads(&mut self) {
        if self.readers.is_none() {
            return;
        }
        for index in 0..self.machines.len() {
            if !self.machines[index].is_running() || !self.machines[index].is_committed_durable() {
                continue;
            }
            let accepted = self.accepted.clone();
            let Some(readers) = &mut self.readers else {
                return;
            };
            readers.count += 1;
            let token = READER | readers.count;
            let Some(replica) = &mut self.machines[index].replica else {
                continue;
            };
            if replica.read(token).is_ok() {
                let machine = index;
                readers.open.insert(token, OpenRead { machine, accepted });
            }
            self.process_output(index);
        }
    }

    pub(super) fn record_reads(&mut self, index: usize, reads: &[(ReadToken, LogIndex)]) {
        if !self.machines[index].is_committed_durable() {
            return;
        }
        for (token, through) in reads {
            let machine = &self.machines[index];
            let Some(readers) = &mut self.readers else {
                return;
            };
            let Some(read) = readers.open.remove(token) else {
                continue;
            };
            self.counts.read += 1;
            if let Some(accepted) = &read.accepted
                && (*through < accepted.position.index || !machine.disk.holds(accepted))
            {
                let missing = accepted.position.index;
                let by = &self.machines[read.machine].name;
                readers.missed = Some(format!("a read at {by} misses entry {missing}"));
            }
            let Some(entry) = command_at_most(&machine.disk.stored.entries, *through) else {
                continue;
            };
            let returned = readers.returned.as_ref();
            if returned.is_none_or(|returned| returned.position.index < entry.index) {
                readers.returned = Some(AcceptedCommand {
                    position: Position {
                        index: entry.index,
                        term: entry.term,
                    },
                    history: machine.disk.stored.hard_state.history,
                    content: entry.content.clone(),
                });
            }
        }
    }

    /// Returns the latest command that a read returned.
    pub(super) fn returned(&self) -> Option<&AcceptedCommand> {
        self.readers.as_ref()?.returned.as_ref()
    }

    /// Checks that entries returned by reads are on as many disks as accepted commands must be.
    pub(super) fn check_reads(&self) -> Result<(), Violation> {
        let Some(readers) = &self.readers else {
            return Ok(());
        };
        if let Some(missed) = &readers.missed {
            return Err(self.violation(missed.clone()));
        }
        let Some(returned) = &readers.returned else {
            return Ok(());
        };
        let copies = self.copies(returned);
        let required = self.policy.min_disks - self.losses.len();
        if copies >= required {
            return Ok(());
        }
        Err(self.violation(format!(
            "entry {} of term {}, which was read, is on {copies} disks, {required} are required",
            returned.position.index, returned.position.term
        )))
    }

    /// Checks after recovery that the leader holds the entries returned by reads.
    pub(super) fn check_returned(&self, leader: &Machine) -> Result<(), Violation> {
        let returned = self
            .readers
            .as_ref()
            .and_then(|readers| readers.returned.as_ref());
        let missing = returned.filter(|returned| {
            leader.applied < returned.position.index || !leader.disk.holds(returned)
        });
        match missing {
            Some(returned) => Err(self.violation(format!(
                "the leader lacks entry {}, which was read",
                returned.position.index
            ))),
            None => Ok(()),
        }
    }
}
