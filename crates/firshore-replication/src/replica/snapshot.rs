//! Snapshots: taken from the machine above, and sent to followers whose entries are gone (Ongaro
//! and Ousterhout 2014, section 7).

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
    /// Takes in the machine's state after the entry at `index`, which was given out, and forgets
    /// the entries that it stands for. The commands of entries that the state refers to by their
    /// index stay in the storage.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>, referenced: BTreeSet<LogIndex>) {
        let known = index > self.log.snapshot_index() && index <= self.given_out;
        let Some(term) = self.log.term(index).filter(|_| known) else {
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

    /// Sends parts again whose answer did not come within the election timeout.
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

    pub(super) fn take_snapshot_answer(&mut self, from: DiskId, index: LogIndex, received: u64) {
        let now = self.now;
        let Some(progress) = self.progress(from) else {
            return;
        };
        progress.answered(now);
        let ProgressState::Snapshot {
            snapshot, offset, ..
        } = &mut progress.state
        else {
            return;
        };
        let fresh = snapshot.header.position.index == index && *offset != received;
        if fresh {
            *offset = received;
            self.send_snapshot_chunk(from);
        }
    }

    pub(super) fn take_snapshot_chunk(
        &mut self,
        from: DiskId,
        header: SnapshotHeader,
        offset: u64,
        data: &Payload,
        last: bool,
    ) {
        self.heard_leader(from);
        let index = header.position.index;
        if index <= self.commit {
            let result = AppendResult::Matched(self.commit);
            return self.send(from, Message::AppendAnswer { result, round: 0 });
        }
        let same = self
            .incoming_snapshot
            .as_ref()
            .is_some_and(|incoming| incoming.header == header);
        if !same {
            self.incoming_snapshot = Some(IncomingSnapshot {
                header,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming_snapshot else {
            return;
        };
        let fits = incoming.data.len() as u64 == offset;
        if fits {
            incoming.data.extend_from_slice(&data.0);
        }
        let received = incoming.data.len() as u64;
        if !(fits && last) {
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
            // The log holds the entry, and so equals the leader's up to it.
            return self.set_commit(position.index);
        }
        let snapshot = Snapshot {
            header: incoming.header,
            data: incoming.data.into(),
        };
        self.log.install(snapshot.clone());
        self.commit = position.index;
        self.given_out = position.index;
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
