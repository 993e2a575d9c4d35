//! A task that ends with the handle to it.

use std::future::Future;

/// A task on this thread, aborted when dropped.
pub struct Task {
    handle: actix_rt::task::JoinHandle<()>,
}

impl Task {
    /// Starts a task.
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
