//! The in-memory log: entries after a base position and the memberships among them.

use crate::storage::StoredState;
use crate::types::{Entry, EntryContent, LogIndex, Membership, Position, Snapshot, Term};
use std::collections::VecDeque;

/// In-memory log entries with the latest snapshot.
#[derive(Debug, Default)]
pub struct Log {
    /// Position before the first entry.
    base: Position,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    /// Memberships of the snapshot and of later entries, with their indexes in ascending order.
    memberships: Vec<(LogIndex, Membership)>,
    bytes: usize,
}

impl Log {
    /// Creates the log from its stored state.
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

    /// Returns the latest snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the last index that the latest snapshot covers, or 0.
    pub fn snapshot_index(&self) -> LogIndex {
        self.snapshot
            .as_ref()
            .map_or(0, |snapshot| snapshot.header.position.index)
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last entry.
    pub fn last(&self) -> Position {
        self.entries.back().map_or(self.base, |entry| Position {
            index: entry.index,
            term: entry.term,
        })
    }

    /// Returns the approximate size of the entries in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the term of the entry at `index`, which may be the base position.
    pub fn term(&self, index: LogIndex) -> Option<Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.entry(index).map(|entry| entry.term)
    }

    /// Returns the entry at `index`, if it is in memory.
    pub fn entry(&self, index: LogIndex) -> Option<&Entry> {
        let offset = index.checked_sub(self.base.index + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns entries from index `from`: about `limit` bytes at most, but at least one entry if there is one.
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

    /// Returns the entries after index `after`, up to and including `through`.
    pub fn range(&self, after: LogIndex, through: LogIndex) -> Vec<Entry> {
        (after + 1..=through)
            .filter_map(|index| self.entry(index).cloned())
            .collect()
    }

    /// Returns the first index of the consecutive entries up to `index` that have the same term.
    pub fn start_of_term(&self, index: LogIndex) -> LogIndex {
        let term = self.term(index);
        let mut first = index;
        while first > self.base.index + 1 && self.term(first - 1) == term {
            first -= 1;
        }
        first
    }

    /// Appends an entry.
    ///
    /// # Panics
    ///
    /// Panics if the entry does not follow the last one directly.
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

    /// Removes the entry at `index` and all later ones.
    pub fn truncate_from(&mut self, index: LogIndex) {
        while self
            .entries
            .back()
            .is_some_and(|entry| entry.index >= index)
        {
            let removed = self.entries.pop_back().expect("the log has a last entry");
            self.bytes -= removed.size();
        }
        self.memberships.retain(|(at, _)| *at < index);
    }

    /// Returns the effective membership: the latest in the log, committed or not (Ongaro 2014, section 4.1).
    pub fn membership(&self) -> Membership {
        self.memberships
            .last()
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Returns the index of the latest membership, or 0.
    pub fn membership_index(&self) -> LogIndex {
        self.memberships.last().map_or(0, |(index, _)| *index)
    }

    /// Returns the memberships that may be effective if only entries up to `index` are known to be committed:
    /// the one at `index`, or else the earliest, and all later ones. The latest comes first.
    pub fn memberships_since(&self, index: LogIndex) -> impl Iterator<Item = &Membership> {
        let effective = self.memberships.iter().rposition(|(at, _)| *at <= index);
        let possible = self.memberships[effective.unwrap_or(0)..].iter().rev();
        possible.map(|(_, membership)| membership)
    }

    /// Returns the membership as of the entry at `index`.
    pub fn membership_at(&self, index: LogIndex) -> Membership {
        self.memberships
            .iter()
            .rev()
            .find(|(at, _)| *at <= index)
            .map(|(_, membership)| membership.clone())
            .unwrap_or_default()
    }

    /// Records a snapshot of committed entries and discards the entries that it covers, except for the last
    /// `trailing` bytes or so, which followers that lag slightly may still need. Returns the new base.
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

    /// Replaces the whole log by a snapshot from the leader.
    pub fn install(&mut self, snapshot: Snapshot) {
        let header = &snapshot.header;
        self.base = header.position;
        self.entries.clear();
        self.bytes = 0;
        self.memberships = vec![(header.position.index, header.membership.clone())];
        self.snapshot = Some(snapshot);
    }
}
