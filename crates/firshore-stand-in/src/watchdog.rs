//! Fails a test that hangs.

use std::sync::mpsc;
use std::time::Duration;

/// Time after which work counts as hung.
pub const HANGS_AFTER: Duration = Duration::from_secs(20);

/// Runs work on a thread of its own, and returns its result: a thread that never gets free could not detect that itself.
///
/// # Panics
///
/// Panics if the work does, or if it hasn't ended after [`HANGS_AFTER`].
pub fn run_watched<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = done.send(work());
    });
    let result = ended.recv_timeout(HANGS_AFTER);
    result.expect("the test failed or its thread hung")
}
