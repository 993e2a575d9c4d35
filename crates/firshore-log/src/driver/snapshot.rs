//! Snapshots of the state, encoded on a separate thread.

use super::{Driver, FinishedSnapshot};
use crate::machine::StateMachine;
use slog::info;
use std::sync::mpsc::TryRecvError;

impl<M: StateMachine> Driver<'_, M> {
    /// Starts to encode the state on a separate thread if the log in memory exceeds the limit.
    pub(super) fn start_snapshot(&mut self) {
        let limit = self
            .environment
            .settings
            .snapshot_after_bytes
            .max(self.replica.snapshot_bytes());
        let due = self.replica.log_bytes() > limit && self.replica.is_after_snapshot(self.applied);
        // Entries committed by too few disks are not covered by a snapshot: another disk may continue without
        // them, and entries in a snapshot cannot be undone.
        let is_durable = self.replica.has_committed_in_term() && self.is_committed_durable();
        if self.snapshot.is_some() || !due || !is_durable {
            return;
        }
        let (sender, receiver) = std::sync::mpsc::channel();
        let (state, index) = (self.state.clone(), self.applied);
        let encode = move || {
            let state = state.read();
            let mut data = Vec::new();
            ciborium::into_writer(&*state, &mut data).expect("the state serialises to memory");
            let _ = sender.send(FinishedSnapshot {
                index,
                data,
                referenced: state.referenced(),
            });
        };
        let thread = std::thread::Builder::new().name("journal-snapshot".to_owned());
        if thread.spawn(encode).is_ok() {
            self.snapshot = Some(receiver);
        }
    }

    pub(super) fn finish_snapshot(&mut self) {
        let Some(receiver) = &self.snapshot else {
            return;
        };
        match receiver.try_recv() {
            Ok(finished) => {
                self.snapshot = None;
                let (index, bytes) = (finished.index, finished.data.len());
                let referenced = finished.referenced.len();
                self.replica
                    .compact(index, finished.data, finished.referenced);
                info!(self.log, "journal: Snapshot taken."; "index" => index, "bytes" => bytes,
                    "referenced" => referenced);
            }
            Err(TryRecvError::Empty) => {}
            Err(TryRecvError::Disconnected) => self.snapshot = None,
        }
    }
}
