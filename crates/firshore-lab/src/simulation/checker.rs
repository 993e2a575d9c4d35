//! The rules that must hold: committed entries survive, one leader a term, every machine applies
//! the same entries, reads see everything acknowledged before them.

use firshore_replication::replica::Replica;
use firshore_replication::types::{
    DiskId, Entry, EntryContent, LogIndex, Membership, Position, Term,
};
use std::collections::BTreeMap;

/// What is known of the one log that all replicas must agree on.
#[derive(Default)]
pub struct Checker {
    committed: BTreeMap<LogIndex, Entry>,
    leaders: BTreeMap<Term, DiskId>,
    acknowledged: BTreeMap<LogIndex, Term>,
    seen: LogIndex,
    founders: Membership,
}

impl Checker {
    /// A checker for a group that starts with `founders`.
    pub fn new(founders: Membership) -> Self {
        Self {
            founders,
            ..Self::default()
        }
    }

    /// A machine on `disk` applies `entry`.
    pub fn applied(&mut self, disk: DiskId, entry: &Entry) -> Result<(), String> {
        match self.committed.get(&entry.index) {
            None => {
                self.committed.insert(entry.index, entry.clone());
                Ok(())
            }
            Some(known) if known == entry => Ok(()),
            Some(known) => Err(format!(
                "state machine safety: {disk} applied term {} at {}, others term {}",
                entry.term, entry.index, known.term
            )),
        }
    }

    /// `replica` leads: nobody else may in its term, and it must hold all that is committed.
    pub fn leads(&mut self, replica: &Replica) -> Result<(), String> {
        let status = replica.status();
        let leader = *self.leaders.entry(status.term).or_insert(replica.disk());
        if leader != replica.disk() {
            return Err(format!(
                "election safety: {leader} and {} lead in term {}",
                replica.disk(),
                status.term
            ));
        }
        Ok(())
    }

    /// A replica was elected: it must hold every committed entry of earlier terms.
    pub fn elected(&self, replica: &Replica) -> Result<(), String> {
        let term = replica.status().term;
        for (index, entry) in &self.committed {
            let held = replica.term_at(*index);
            let lost =
                held.is_some_and(|held| held != entry.term) || *index > replica.status().last.index;
            if entry.term < term && lost {
                return Err(format!(
                    "leader completeness: {} leads in term {term} without committed entry {index}",
                    replica.disk()
                ));
            }
        }
        Ok(())
    }

    /// A client was told that its command is committed.
    pub fn acknowledged(&mut self, position: Position) {
        self.acknowledged.insert(position.index, position.term);
        self.seen = self.seen.max(position.index);
    }

    /// Index that a read which starts now must see.
    pub fn read_starts(&self) -> LogIndex {
        self.seen
    }

    /// A read that had to see `expected` was answered from the state after `index`.
    pub fn read_answered(&mut self, expected: LogIndex, index: LogIndex) -> Result<(), String> {
        if index < expected {
            return Err(format!(
                "linearizable reads: state after {index} was read, {expected} was seen before"
            ));
        }
        self.seen = self.seen.max(index);
        Ok(())
    }

    /// Number of acknowledged commands.
    pub fn acknowledged_count(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    /// The latest membership committed, at first the founders.
    pub fn membership(&self) -> Membership {
        self.committed
            .values()
            .rev()
            .find_map(|entry| match &entry.content {
                EntryContent::Membership(membership) => Some(membership.clone()),
                _ => None,
            })
            .unwrap_or_else(|| self.founders.clone())
    }

    /// At the end, `applied` machines hold every acknowledged command.
    pub fn finish(&self, applied: LogIndex) -> Result<(), String> {
        for (index, term) in &self.acknowledged {
            let kept = self
                .committed
                .get(index)
                .is_some_and(|entry| entry.term == *term);
            if !kept || *index > applied {
                return Err(format!("acknowledged command at {index} is lost"));
            }
        }
        Ok(())
    }
}
