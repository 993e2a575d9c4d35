//! The log in memory: entries after a base position, and the memberships they contain.

use crate::storage::StoredState;
use crate::types::{Entry, EntryContent, LogIndex, Membership, Position, Snapshot, Term};
use std::collections::VecDeque;

/// Entries kept in memory, with the latest snapshot.
#[derive(Debug, Default)]
pub struct Log {
    base: Position,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    memberships: Vec<(LogIndex, Membership)>,
    bytes: usize,
}

impl Log {
    /// The log as stored.
    pub fn restore(stored: StoredState) -> Self {
        let mut log = Self {
            base: stored.base,
            snapshot: stored.snapshot,
            ..Self::default()
        };
        if let Some(snapshot) = &log.snapshot {
            let header = &snapshot.header;
            log.memberships
                .push((header.position.index, header.membership.clone()));
        }
        for entry in stored.entries {
            log.append(entry);
        }
        log
    }

    /// Latest snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Index that the latest snapshot stands for, or 0.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.header.position.index)
    }

    /// Position before the first entry kept.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| Position {
            index: entry.index,
            term: entry.term,
        })
    }

    /// Bytes of the entries kept, about.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Term of the entry at `index`, if it is known.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// The entry at `index`, if it is kept.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Entries from `from` on, up to about `limit` bytes but at least one.
    pub fn entries(&self, from: LogIndex, limit: usize) -> Vec<Entry> {
        let mut chosen = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.entry(index) {
            bytes += entry.size();
            if !chosen.is_empty() && bytes > limit {
                break;
            }
            chosen.push(entry.clone());
            index += 1;
        }
        chosen
    }

    /// Entries after `after` up to `through`.
    pub fn range(&self, after: LogIndex, through: LogIndex) -> Vec<Entry> {
        (after + 1..=through)
            .filter_map(|index| self.entry(index).cloned())
            .collect()
    }

    /// First index of the run of entries that share the term of the entry at `index`.
    pub fn start_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends the next entry.
    pub fn append(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.last().index + 1, "the log has no gaps");
        if let EntryContent::Membership(membership) = &entry.content
            && entry.index > self.snapshot_index()
        {
            self.memberships.push((entry.index, membership.clone()));
        }
        self.bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes entries from `index` on.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.index >= index)
        {
            let removed = self.entries.pop_back().expect("just seen");
            self.bytes -= removed.size();
        }
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// The membership in force: the latest in the log, committed or not
    /// (Ongaro 2014, section 4.1).
    pub fn membership(&self) -> Membership {
        self.memberships
            .last()
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Index of the latest membership, or 0.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// The memberships that may be in force where only entries up to `index` are known to be committed: the one
    /// as of there, or the earliest, and all after it; the latest first.
    pub fn memberships_since(&self, index: LogIndex) -> impl Iterator<Item = &Membership> {
        let known = self.memberships.iter().rposition(|(at, _)| *at <= index);
        let since = self.memberships[known.unwrap_or(0)..].iter().rev();
        since.map(|(_, membership)| membership)
    }

    /// The membership as of `index`.
    pub fn membership_at(&self, index: LogIndex) -> Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Takes a snapshot of committed entries in, and keeps about `trailing` bytes of entries before
    /// it for followers that lag a little. Returns the new base.
    pub fn compact(&mut self, snapshot: Snapshot, trailing: usize) -> Position {
        let through = snapshot.header.position;
        let kept = self
            .memberships
            .iter()
            .rposition(|(at, _)| *at <= through.index);
        self.memberships.drain(..kept.unwrap_or(0));
        self.snapshot = Some(snapshot);
        let mut before: usize = self
            .entries
            .iter()
            .take_while(|entry| entry.index <= through.index)
            .map(Entry::size)
            .sum();
        while before > trailing {
            let Some(removed) = self.entries.pop_front() else {
                break;
            };
            before -= removed.size();
            self.bytes -= removed.size();
            self.base = Position {
                index: removed.index,
                term: removed.term,
            };
        }
        self.base
    }

    /// Replaces everything by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Snapshot) {
        let header = &snapshot.header;
        self.base = header.position;
        self.entries.clear();
        self.bytes = 0;
        self.memberships = vec![(header.position.index, header.membership.clone())];
        self.snapshot = Some(snapshot);
    }
}
