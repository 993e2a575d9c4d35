//! Clients that read at every machine that says it leads: what one was shown stays, and each sees what was
//! accepted before it asked.

use super::machine::{Accepted, Machine};
use super::{Broken, World};
use firshore_log::placement;
use firshore_replication::replica::ReadToken;
use firshore_replication::types::{Entry, EntryContent, LogIndex, Position};
use std::collections::BTreeMap;

/// Marks the tokens of these clients; those of a node's own reads are the time in milliseconds.
const READER: ReadToken = 1 << 63;

pub fn is_of_reader(token: ReadToken) -> bool {
    token & READER != 0
}

/// A question on its way.
struct OpenRead {
    machine: usize,
    /// What was accepted last when it was asked.
    accepted: Option<Accepted>,
}

/// The clients, and what they were shown.
#[derive(Default)]
pub struct Readers {
    asked: u64,
    open: BTreeMap<ReadToken, OpenRead>,
    /// The latest command that one was shown.
    shown: Option<Accepted>,
    /// What one was not shown though it was accepted before, and by whom.
    missed: Option<String>,
}

fn command_at_most(entries: &[Entry], index: LogIndex) -> Option<&Entry> {
    let mut entries = entries.iter().rev();
    entries.find(|one| one.index <= index && matches!(one.content, EntryContent::Command(_)))
}

impl World {
    /// The same, with clients that read.
    pub fn with_readers(mut self) -> Self {
        self.readers = Some(Readers::default());
        self
    }

    pub(super) fn ask_to_read(&mut self) {
        if self.readers.is_none() {
            return;
        }
        for index in 0..self.machines.len() {
            if !self.machines[index].runs() || !self.may_answer(index) {
                continue;
            }
            let accepted = self.accepted.clone();
            let Some(readers) = &mut self.readers else {
                return;
            };
            readers.asked += 1;
            let token = READER | readers.asked;
            let Some(replica) = &mut self.machines[index].replica else {
                continue;
            };
            if replica.read(token).is_ok() {
                let machine = index;
                readers.open.insert(token, OpenRead { machine, accepted });
            }
            self.settle(index);
        }
    }

    /// Whether a node's thread answers what is read there.
    fn may_answer(&self, index: usize) -> bool {
        let Some(replica) = &self.machines[index].replica else {
            return false;
        };
        let status = replica.status();
        let least = self.terms.min_disks;
        placement::may_show(&status.membership, &status.committed_membership, least)
    }

    pub(super) fn take_reads(&mut self, index: usize, reads: &[(ReadToken, LogIndex)]) {
        if !self.may_answer(index) {
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
            self.tally.read += 1;
            if let Some(accepted) = &read.accepted
                && (*through < accepted.position.index || !machine.disk.holds(accepted))
            {
                let lacks = accepted.position.index;
                let by = &self.machines[read.machine].name;
                readers.missed = Some(format!("a read at {by} misses entry {lacks}"));
            }
            let Some(entry) = command_at_most(&machine.disk.stored.entries, *through) else {
                continue;
            };
            let shown = readers.shown.as_ref();
            if shown.is_none_or(|shown| shown.position.index < entry.index) {
                readers.shown = Some(Accepted {
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

    /// What was shown lies on as many disks as what was accepted has to.
    pub(super) fn check_reads(&self) -> Result<(), Broken> {
        let Some(readers) = &self.readers else {
            return Ok(());
        };
        if let Some(missed) = &readers.missed {
            return Err(self.broken(missed.clone()));
        }
        let Some(shown) = &readers.shown else {
            return Ok(());
        };
        let copies = self.copies(shown);
        let wanted = self.terms.min_disks - self.losses.len();
        if copies >= wanted {
            return Ok(());
        }
        Err(self.broken(format!(
            "entry {} of term {}, which was read, is on {copies} disks, {wanted} are wanted",
            shown.position.index, shown.position.term
        )))
    }

    /// Once all is calm, the leader holds what was shown.
    pub(super) fn check_shown(&self, leader: &Machine) -> Result<(), Broken> {
        let shown = self.readers.as_ref().and_then(|one| one.shown.as_ref());
        let lacks = shown
            .filter(|shown| leader.applied < shown.position.index || !leader.disk.holds(shown));
        match lacks {
            Some(shown) => Err(self.broken(format!(
                "the leader lacks entry {}, which was read",
                shown.position.index
            ))),
            None => Ok(()),
        }
    }
}
