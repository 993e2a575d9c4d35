//! Frames that wait for the thread that writes the progress file. Bounded: a rewrite replaces what waits.

use std::collections::VecDeque;
use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

/// Maximum number of frames that wait for the disk before they are replaced by a rewrite.
const MAX_FRAMES: usize = 32;

/// What the thread does next.
pub(super) enum FileCommand {
    /// Appends a frame.
    Append(Vec<u8>),
    /// Replaces the file by a frame.
    Rewrite(Vec<u8>),
}

#[derive(Default)]
struct Waiting {
    commands: VecDeque<FileCommand>,
    is_closed: bool,
}

/// Queue between a node and the thread that writes its file. The node never waits for the disk.
#[derive(Default)]
pub(super) struct WriteQueue {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no further frame should be appended before a rewrite.
    pub(super) fn is_full(&self) -> bool {
        self.lock().commands.len() >= MAX_FRAMES
    }

    /// Adds a frame behind those that wait.
    pub(super) fn append(&self, frame: Vec<u8>) {
        self.lock().commands.push_back(FileCommand::Append(frame));
        self.changed.notify_one();
    }

    /// Replaces what waits by a frame that holds all of it.
    pub(super) fn rewrite(&self, frame: Vec<u8>) {
        let mut waiting = self.lock();
        waiting.commands.clear();
        waiting.commands.push_back(FileCommand::Rewrite(frame));
        drop(waiting);
        self.changed.notify_one();
    }

    /// Lets the thread end once it has written what waits.
    pub(super) fn close(&self) {
        self.lock().is_closed = true;
        self.changed.notify_one();
    }

    /// Returns the next command; `None` after the last one.
    pub(super) fn next(&self) -> Option<FileCommand> {
        let is_idle = |waiting: &mut Waiting| waiting.commands.is_empty() && !waiting.is_closed;
        let waiting = self.changed.wait_while(self.lock(), is_idle);
        let mut waiting = waiting.unwrap_or_else(PoisonError::into_inner);
        waiting.commands.pop_front()
    }
}
