//! The follower: handling of entries (Ongaro and Ousterhout 2014, section 5.3).

use super::{Replica, Role};
use crate::message::{AppendResult, Message};
use crate::types::{DiskId, Entry, LogIndex, Position};

impl Replica {
    /// Records a message from the leader of the current term.
    pub(super) fn record_leader_contact(&mut self, leader: DiskId) {
        assert!(!self.leads(), "a term has one leader");
        self.role = Role::Follower;
        self.recovery = None;
        self.leader = Some(leader);
        self.leader_contact_at = Some(self.now);
        self.reset_election_timer();
    }

    pub(super) fn handle_append(
        &mut self,
        from: DiskId,
        previous: Position,
        entries: Vec<Entry>,
        commit: LogIndex,
        round: u64,
    ) {
        self.record_leader_contact(from);
        let result = match self.mismatch(previous) {
            Some(hint) => AppendResult::Rejected {
                previous: previous.index,
                hint,
            },
            None => {
                let through = previous.index + entries.len() as u64;
                self.merge_entries(entries);
                self.set_commit(commit.min(through));
                AppendResult::Matched(through.max(self.log.snapshot_index()))
            }
        };
        self.send(from, Message::AppendAnswer { result, round });
    }

    /// Returns the last index that may match if the log does not contain `previous`, else `None`.
    fn mismatch(&self, previous: Position) -> Option<LogIndex> {
        // Entries covered by a snapshot are committed, so they match every leader's log.
        if previous.index <= self.log.snapshot_index() {
            return None;
        }
        let last = self.log.last().index;
        if previous.index > last {
            return Some(last);
        }
        if self.log.term(previous.index) == Some(previous.term) {
            return None;
        }
        Some(self.log.start_of_term(previous.index) - 1)
    }

    fn merge_entries(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            if entry.index <= self.log.snapshot_index() {
                continue;
            }
            match self.log.term(entry.index) {
                Some(term) if term == entry.term => {}
                Some(_) => {
                    self.truncate_from(entry.index);
                    self.append_entry(entry);
                }
                None => self.append_entry(entry),
            }
        }
    }

    fn truncate_from(&mut self, index: LogIndex) {
        assert!(
            index > self.commit,
            "a committed entry is never removed: {} of disk {}, committed {}",
            index,
            self.disk,
            self.commit
        );
        self.log.truncate_from(index);
        self.durable = self.durable.min(index - 1);
        let writes = &mut self.output.writes;
        writes.append.retain(|entry| entry.index < index);
        let earlier = writes.truncate_from.unwrap_or(index);
        writes.truncate_from = Some(earlier.min(index));
    }
}
