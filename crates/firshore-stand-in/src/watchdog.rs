//! Fails a test that hangs.

use std::sync::mpsc;
use std::time::Duration;

/// Time after which work counts as hung, where a test has no reason for another one.
pub const HANGS_AFTER: Duration = Duration::from_secs(20);

/// Runs work on a thread of its own, and returns its result: a thread that never gets free could not detect that itself.
///
/// # Panics
///
/// If the work does, or if it hasn't ended after `limit`.
pub fn run_within<T: Send + 'static>(
    limit: Duration,
    work: impl FnOnce() -> T + Send + 'static,
) -> T {
    let (done, ended) = mpsc::channel();
    std::thread::spawn(move || {
        let _ = done.send(work());
    });
    let result = ended.recv_timeout(limit);
    result.expect("the test failed or its thread hung")
}

/// Runs work within [`HANGS_AFTER`], as [`run_within`] does.
///
/// # Panics
///
/// If the work does, or if it hasn't ended by then.
pub fn run_watched<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    run_within(HANGS_AFTER, work)
}
