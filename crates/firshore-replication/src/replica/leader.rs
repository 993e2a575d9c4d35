//! The leader: replication and commit (Ongaro and Ousterhout 2014, sections 5.3 and 5.4), and stepping down
//! without a quorum (Ongaro 2014, section 6.2).

use super::{Leadership, Replica, Role, Transfer};
use crate::error::ReplicaError;
use crate::message::{AppendResult, Message};
use crate::progress::{Progress, ProgressState};
use crate::types::{DiskId, Entry, EntryContent, LogIndex, Position};
use std::collections::{BTreeMap, VecDeque};

impl Replica {
    pub(super) fn become_leader(&mut self) {
        self.begin_leadership();
        self.update_progress_set();
        self.append_as_leader(EntryContent::Blank);
    }

    /// Becomes the leader without appending an entry of the term yet.
    pub(super) fn begin_leadership(&mut self) {
        self.role = Role::Leader(Leadership {
            progress: BTreeMap::new(),
            heartbeat_due: self.now + self.timing.heartbeat_interval,
            quorum_check_due: self.now + self.timing.election_timeout,
            round: 0,
            new_reads: Vec::new(),
            reads: VecDeque::new(),
            transfer: None,
        });
        self.leader = Some(self.disk);
        self.recovery = None;
    }

    /// Keeps one `Progress` for each other replica of the effective membership.
    pub(super) fn update_progress_set(&mut self) {
        let membership = self.log.membership();
        let next = self.log.last().index + 1;
        let (local, now) = (self.disk, self.now);
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let progress = &mut leadership.progress;
        progress.retain(|disk, _| membership.replicas.contains_key(disk));
        for disk in membership.replicas.keys().filter(|disk| **disk != local) {
            progress
                .entry(*disk)
                .or_insert_with(|| Progress::new(next, now));
        }
    }

    pub(super) fn append_as_leader(&mut self, content: EntryContent) -> Position {
        let position = Position {
            index: self.log.last().index + 1,
            term: self.hard_state.term,
        };
        self.append_entry(Entry {
            index: position.index,
            term: position.term,
            content,
        });
        self.send_entries_to_all();
        position
    }

    fn followers(&self) -> Vec<DiskId> {
        match &self.role {
            Role::Leader(leadership) => leadership.progress.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    pub(super) fn progress(&mut self, disk: DiskId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leadership) => leadership.progress.get_mut(&disk),
            _ => None,
        }
    }

    pub(super) fn send_entries_to_all(&mut self) {
        for disk in self.followers() {
            self.send_entries(disk);
        }
    }

    /// Sends the entries that a follower lacks, up to the limit of messages in flight, or a snapshot.
    pub(super) fn send_entries(&mut self, to: DiskId) {
        loop {
            let last = self.log.last().index;
            let base = self.log.base().index;
            let Some(progress) = self.progress(to) else {
                return;
            };
            if !progress.can_send() || progress.next > last {
                return;
            }
            let next = progress.next;
            if next <= base {
                return self.start_snapshot(to);
            }
            let entries = self.log.entries(next, self.timing.append_bytes);
            let through = next + entries.len() as u64 - 1;
            self.send_append(to, next - 1, entries);
            if let Some(progress) = self.progress(to) {
                progress.record_sent(through);
            }
        }
    }

    fn send_append(&mut self, to: DiskId, previous: LogIndex, entries: Vec<Entry>) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let round = leadership.round;
        let term = self.log.term(previous).unwrap_or(0);
        let message = Message::Append {
            previous: Position {
                index: previous,
                term,
            },
            entries,
            commit: self.commit,
            round,
        };
        self.send(to, message);
    }

    /// Sends a heartbeat to each follower. It contains the position before the next entry to send, so that a
    /// follower that missed entries rejects it.
    pub(super) fn send_heartbeats(&mut self) {
        let base = self.log.base().index;
        for disk in self.followers() {
            let Some(progress) = self.progress(disk) else {
                continue;
            };
            let receives_snapshot = matches!(progress.state, ProgressState::Snapshot { .. });
            if !receives_snapshot && progress.next <= base {
                // Entries in flight may be lost and can no longer be resent.
                self.start_snapshot(disk);
                continue;
            }
            let previous = if receives_snapshot {
                0
            } else {
                progress.next - 1
            };
            self.send_append(disk, previous, Vec::new());
        }
    }

    pub(super) fn tick_leader(&mut self) {
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if leadership
            .transfer
            .as_ref()
            .is_some_and(|transfer| self.now >= transfer.deadline)
        {
            leadership.transfer = None;
        }
        if self.now >= leadership.quorum_check_due {
            leadership.quorum_check_due = self.now + self.timing.election_timeout;
            if !self.has_active_quorum() {
                return self.become_follower(self.hard_state.term);
            }
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if self.now >= leadership.heartbeat_due {
            leadership.heartbeat_due = self.now + self.timing.heartbeat_interval;
            // Only with periodic heartbeats: if each read round allowed a probe, a lagging follower would be sent
            // entries faster than it can store them.
            for progress in leadership.progress.values_mut() {
                progress.resume_probe();
            }
            self.send_heartbeats();
            self.send_entries_to_all();
            self.resend_snapshot_chunks();
            self.send_timeout_now();
        }
    }

    fn has_active_quorum(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let oldest = self.now.saturating_sub(self.timing.election_timeout);
        self.log.membership().has_quorum(|disk| {
            disk == self.disk
                || leadership
                    .progress
                    .get(&disk)
                    .is_some_and(|progress| progress.last_response_at >= oldest)
        })
    }

    pub(super) fn handle_append_response(
        &mut self,
        from: DiskId,
        result: AppendResult,
        round: u64,
    ) {
        let now = self.now;
        let last = self.log.last().index;
        let commit = self.commit;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.record_response(now);
        progress.round = progress.round.max(round);
        match result {
            AppendResult::Matched(index) => progress.record_match(now, index.min(last), commit),
            AppendResult::Rejected { previous, hint } => {
                progress.record_rejection(previous, hint);
            }
        }
        self.advance_commit();
        self.release_reads();
        self.send_entries(from);
        self.send_timeout_now();
    }

    /// Commits up to the highest index that is durable on a quorum, if its entry is of the current term.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut matched: Vec<LogIndex> = membership
            .voters()
            .map(|disk| match leadership.progress.get(&disk) {
                Some(progress) => progress.matched,
                None => self.durable,
            })
            .collect();
        matched.sort_unstable_by(|left, right| right.cmp(left));
        let Some(index) = matched.get(membership.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.set_commit(index);
            self.step_down_if_removed();
        }
    }

    /// Starts a leadership transfer to another voter. Proposals are refused until it completes or the election
    /// timeout has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if `to` is not another voter or this replica is not the leader.
    pub fn transfer_leadership(&mut self, to: DiskId) -> Result<(), ReplicaError> {
        if to == self.disk || !self.log.membership().is_voter(to) {
            return Err(ReplicaError::InvalidChange);
        }
        let deadline = self.now + self.timing.election_timeout;
        let Role::Leader(leadership) = &mut self.role else {
            return Err(ReplicaError::NotLeader);
        };
        leadership.transfer = Some(Transfer { to, deadline });
        self.send_entries(to);
        self.send_timeout_now();
        Ok(())
    }

    /// Returns the best voter for a leadership transfer: the one that responded last, then the one with the highest
    /// matched index.
    pub fn transfer_target(&self) -> Option<DiskId> {
        let membership = self.log.membership();
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        leadership
            .progress
            .iter()
            .filter(|(disk, _)| membership.is_voter(**disk))
            .max_by_key(|(_, progress)| (progress.last_response_at, progress.matched))
            .map(|(disk, _)| *disk)
    }

    fn send_timeout_now(&mut self) {
        let last = self.log.last().index;
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let Some(to) = leadership.transfer.as_ref().map(|transfer| transfer.to) else {
            return;
        };
        let caught_up = leadership
            .progress
            .get(&to)
            .is_some_and(|progress| progress.matched == last);
        if caught_up {
            self.send(to, Message::TimeoutNow);
        }
    }
}
