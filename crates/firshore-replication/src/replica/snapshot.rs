//! Snapshots: taken from the state machine, and sent to followers whose next entries were discarded (Ongaro and
//! Ousterhout 2014, section 7).

use super::Replica;
use crate::message::{AppendResult, Message};
use crate::progress::ProgressState;
use crate::types::{DiskId, LogIndex, Payload, Position, Snapshot, SnapshotHeader};
use std::collections::BTreeSet;

/// A snapshot being received.
#[derive(Debug)]
pub struct IncomingSnapshot {
    header: SnapshotHeader,
    data: Vec<u8>,
}

impl Replica {
    /// Records a snapshot of the state machine after the entry at `index`, and discards the entries that it covers,
    /// except for [`super::Timing::trailing_bytes`] of them. The commands at the indexes in `referenced` stay in the
    /// storage. Does nothing if `index` was not output as committed or the snapshot is not newer than the latest.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>, referenced: BTreeSet<LogIndex>) {
        let is_valid = index > self.log.snapshot_index() && index <= self.delivered;
        let Some(term) = self.log.term(index).filter(|_| is_valid) else {
            return;
        };
        let snapshot = Snapshot {
            header: SnapshotHeader {
                position: Position { index, term },
                membership: self.log.membership_at(index),
            },
            data: data.into(),
        };
        let base = self
            .log
            .compact(snapshot.clone(), self.timing.trailing_bytes);
        self.output.writes.snapshot = Some(snapshot);
        self.output.writes.discard_through = Some(base);
        self.output.writes.referenced = Some(referenced);
    }

    pub(super) fn start_snapshot(&mut self, to: DiskId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        if let Some(progress) = self.progress(to) {
            progress.start_snapshot(snapshot, now);
        }
        self.send_snapshot_chunk(to);
    }

    fn send_snapshot_chunk(&mut self, to: DiskId) {
        let now = self.now;
        let size = self.timing.snapshot_chunk_bytes;
        let Some(progress) = self.progress(to) else {
            return;
        };
        let ProgressState::Snapshot {
            snapshot,
            offset,
            sent_at,
        } = &mut progress.state
        else {
            return;
        };
        *sent_at = now;
        let bytes = &snapshot.data.0;
        let start = (*offset as usize).min(bytes.len());
        let end = (start + size).min(bytes.len());
        let message = Message::SnapshotChunk {
            header: snapshot.header.clone(),
            offset: start as u64,
            data: Payload(bytes[start..end].into()),
            last: end == bytes.len(),
        };
        self.send(to, message);
    }

    /// Resends chunks that were not acknowledged within the election timeout.
    pub(super) fn resend_snapshot_chunks(&mut self) {
        let latest = self.now.saturating_sub(self.timing.election_timeout);
        let overdue: Vec<DiskId> = match &self.role {
            super::Role::Leader(leadership) => leadership
                .progress
                .iter()
                .filter(|(_, progress)| {
                    matches!(progress.state, ProgressState::Snapshot { sent_at, .. } if sent_at <= latest)
                })
                .map(|(disk, _)| *disk)
                .collect(),
            _ => Vec::new(),
        };
        for disk in overdue {
            self.send_snapshot_chunk(disk);
        }
    }

    pub(super) fn handle_snapshot_response(
        &mut self,
        from: DiskId,
        index: LogIndex,
        received: u64,
    ) {
        let now = self.now;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.record_response(now);
        let ProgressState::Snapshot {
            snapshot, offset, ..
        } = &mut progress.state
        else {
            return;
        };
        let is_new_offset = snapshot.header.position.index == index && *offset != received;
        if is_new_offset {
            *offset = received;
            self.send_snapshot_chunk(from);
        }
    }

    pub(super) fn handle_snapshot_chunk(
        &mut self,
        from: DiskId,
        header: SnapshotHeader,
        offset: u64,
        data: &Payload,
        last: bool,
    ) {
        self.record_leader_contact(from);
        let index = header.position.index;
        if index <= self.commit {
            let result = AppendResult::Matched(self.commit);
            return self.send(from, Message::AppendAnswer { result, round: 0 });
        }
        let is_same_snapshot = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.header == header);
        if !is_same_snapshot {
            self.incoming_snapshot = Some(IncomingSnapshot {
                header,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        let is_next_chunk = incoming.data.len() as u64 == offset;
        if is_next_chunk {
            incoming.data.extend_from_slice(&data.0);
        }
        let received = incoming.data.len() as u64;
        if !(is_next_chunk && last) {
            return self.send(from, Message::SnapshotAnswer { index, received });
        }
        self.install_snapshot();
        let result = AppendResult::Matched(index);
        self.send(from, Message::AppendAnswer { result, round: 0 });
    }

    fn install_snapshot(&mut self) {
        let Some(incoming) = self.incoming_snapshot.take() else {
            return;
        };
        let position = incoming.header.position;
        if self.log.term(position.index) == Some(position.term) {
            // The log contains the entry, so it matches the leader's up to there.
            return self.set_commit(position.index);
        }
        let snapshot = Snapshot {
            header: incoming.header,
            data: incoming.data.into(),
        };
        self.log.install(snapshot.clone());
        self.commit = position.index;
        self.delivered = position.index;
        self.durable = position.index;
        let output = &mut self.output;
        output.committed.clear();
        output.writes.append.clear();
        output.writes.referenced = None;
        output.writes.truncate_from = Some(0);
        output.writes.discard_through = Some(position);
        output.writes.snapshot = Some(snapshot.clone());
        output.install = Some(snapshot);
    }
}
