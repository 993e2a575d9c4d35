//! Snapshots of the state, encoded on another thread once the log has grown.

use super::{Driver, FinishedSnapshot};
use crate::machine::StateMachine;
use slog::info;
use std::sync::mpsc::TryRecvError;

impl<M: StateMachine> Driver<'_, M> {
    /// Encodes the state on another thread once the log has grown.
    pub(super) fn start_snapshot(&mut self) {
        let limit = self
            .environment
            .settings
            .snapshot_after_bytes
            .max(self.replica.snapshot_bytes());
        let due = self.replica.log_bytes() > limit && self.replica.is_after_snapshot(self.applied);
        // What a lone voter commits by itself, a disk that it left behind may go on without: covered by a
        // snapshot, it could not be taken back.
        if self.snapshot.is_some() || !due || !self.keeps_promises() {
            return;
        }
        let (sender, receiver) = std::sync::mpsc::channel();
        let (state, index) = (self.state.clone(), self.applied);
        let encode = move || {
            let state = state.read();
            let mut data = Vec::new();
            ciborium::into_writer(&*state, &mut data).expect("the state serialises");
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
