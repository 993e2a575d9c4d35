//! Replication and commit as a leader does them (Ongaro and Ousterhout 2014, sections 5.3 and 5.4;
//! Ongaro 2014, section 6.2 for stepping down without a quorum).

use super::{Leadership, Replica, Role, Transfer};
use crate::error::ReplicaError;
use crate::message::{AppendResult, Message};
use crate::progress::{Progress, ProgressState};
use crate::types::{DiskId, Entry, EntryContent, LogIndex, Position};
use std::collections::{BTreeMap, VecDeque};

impl Replica {
    pub(super) fn become_leader(&mut self) {
        self.begin_term();
        self.follow_membership();
        self.append_as_leader(EntryContent::Blank);
    }

    /// Leads as the voters in force say, without an entry of the term so far.
    pub(super) fn begin_term(&mut self) {
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

    /// Keeps one progress for each other replica in force.
    pub(super) fn follow_membership(&mut self) {
        let membership = self.log.membership();
        let next = self.log.last().index + 1;
        let (own, now) = (self.disk, self.now);
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        let progress = &mut leadership.progress;
        progress.retain(|disk, _| membership.replicas.contains_key(disk));
        for disk in membership.replicas.keys().filter(|disk| **disk != own) {
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

    /// Sends what the follower lacks, as far as its window allows.
    pub(super) fn send_entries(&mut self, to: DiskId) {
        loop {
            let last = self.log.last().index;
            let base = self.log.base().index;
            let Some(progress) = self.progress(to) else {
                return;
            };
            if !progress.ready() || progress.next > last {
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
                progress.sent(through);
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

    /// A heartbeat names the entry before the next one to send, so that a follower which missed
    /// messages says so.
    pub(super) fn send_heartbeats(&mut self) {
        let base = self.log.base().index;
        for disk in self.followers() {
            let Some(progress) = self.progress(disk) else {
                continue;
            };
            let receives_snapshot = matches!(progress.state, ProgressState::Snapshot { .. });
            if !receives_snapshot && progress.next <= base {
                // What is on its way may be lost, and cannot be sent again.
                self.start_snapshot(disk);
                continue;
            }
            let known = if receives_snapshot {
                0
            } else {
                progress.next - 1
            };
            self.send_append(disk, known, Vec::new());
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
            if !self.hears_quorum() {
                return self.become_follower(self.hard_state.term);
            }
        }
        let Role::Leader(leadership) = &mut self.role else {
            return;
        };
        if self.now >= leadership.heartbeat_due {
            leadership.heartbeat_due = self.now + self.timing.heartbeat_interval;
            // Only here: allowed with each round of reads, a follower that lags is sent its entries
            // faster than it can take them.
            for progress in leadership.progress.values_mut() {
                progress.allow_probe();
            }
            self.send_heartbeats();
            self.send_entries_to_all();
            self.resend_snapshot_chunks();
            self.hurry_transfer();
        }
    }

    fn hears_quorum(&self) -> bool {
        let Role::Leader(leadership) = &self.role else {
            return false;
        };
        let oldest = self.now.saturating_sub(self.timing.election_timeout);
        self.log.membership().majority(|disk| {
            disk == self.disk
                || leadership
                    .progress
                    .get(&disk)
                    .is_some_and(|progress| progress.heard_at >= oldest)
        })
    }

    pub(super) fn take_append_answer(&mut self, from: DiskId, result: AppendResult, round: u64) {
        let now = self.now;
        let last = self.log.last().index;
        let commit = self.commit;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.answered(now);
        progress.round = progress.round.max(round);
        match result {
            AppendResult::Matched(index) => progress.accepted(now, index.min(last), commit),
            AppendResult::Rejected { previous, hint } => {
                progress.rejected(previous, hint);
            }
        }
        self.advance_commit();
        self.release_reads();
        self.send_entries(from);
        self.hurry_transfer();
    }

    /// Commits the highest index of the present term that a majority of voters holds durably.
    pub(super) fn advance_commit(&mut self) {
        let Role::Leader(leadership) = &self.role else {
            return;
        };
        let membership = self.log.membership();
        let mut held: Vec<LogIndex> = membership
            .voters()
            .map(|disk| match leadership.progress.get(&disk) {
                Some(progress) => progress.matched,
                None => self.durable,
            })
            .collect();
        held.sort_unstable_by(|one, other| other.cmp(one));
        let Some(index) = held.get(membership.quorum() - 1).copied() else {
            return;
        };
        if index > self.commit && self.log.term(index) == Some(self.hard_state.term) {
            self.set_commit(index);
            self.leave_if_removed();
        }
    }

    /// Hands leadership to another voter; proposals are refused meanwhile.
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
        self.hurry_transfer();
        Ok(())
    }

    /// The voter to hand leadership to: the one that holds most of the log.
    pub fn transfer_target(&self) -> Option<DiskId> {
        let membership = self.log.membership();
        let Role::Leader(leadership) = &self.role else {
            return None;
        };
        leadership
            .progress
            .iter()
            .filter(|(disk, _)| membership.is_voter(**disk))
            .max_by_key(|(_, progress)| (progress.heard_at, progress.matched))
            .map(|(disk, _)| *disk)
    }

    fn hurry_transfer(&mut self) {
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
