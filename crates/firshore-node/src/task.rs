//! A task that is aborted when its handle is dropped.

use std::future::Future;

/// A task on the current thread, aborted when this handle is dropped.
pub struct Task {
    handle: actix_rt::task::JoinHandle<()>,
}

impl Task {
    /// Spawns `work` on the current thread.
    pub fn spawn(work: impl Future<Output = ()> + 'static) -> Self {
        Self {
            handle: actix_rt::spawn(work),
        }
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        self.handle.abort();
    }
}
