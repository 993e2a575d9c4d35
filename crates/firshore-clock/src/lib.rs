//! The time by which ages, leases and shares are measured: it goes on while the machine is suspended.
//!
//! The steady clock that timers run on (`CLOCK_MONOTONIC` on Linux) stands still meanwhile, so that a node that
//! wakes would take a picture that is seconds old for a fresh one, and itself for the holder of what has been
//! given to others. `CLOCK_BOOTTIME` goes on. Moments are told here as those of timers with the time added
//! for which the machine was suspended since the process's first question; [`timer_deadline`] takes it off again.
#![deny(missing_docs, unsafe_code)]

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Longest time between two readings of the steady clock between which the other one is read: a thread that
/// had to wait there has read clocks of different moments.
const TIGHT: Duration = Duration::from_millis(1);

/// Shortest suspension that counts, in milliseconds: what is less comes of reading clocks one after the other.
const LEAST_SUSPENSION_MS: u64 = 100;

/// By how much the clocks differed at the process's first question.
static FIRST_DIFFERENCE: OnceLock<Duration> = OnceLock::new();

/// Suspension as it was read last, in milliseconds.
static SUSPENDED: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// Suspension that a test has added, on its own thread.
    static SIMULATED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Returns this moment.
pub fn now() -> Instant {
    Instant::now() + suspended()
}

/// Returns the time since a moment, with all suspensions.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Returns when a timer is to fire for a moment, if the machine is not suspended any more.
pub fn timer_deadline(at: Instant) -> Instant {
    at.checked_sub(suspended()).unwrap_or(at)
}

/// Lets time pass on this thread as if the machine had been suspended: for tests, which cannot suspend it.
pub fn simulate_suspension(span: Duration) {
    SIMULATED.set(SIMULATED.get() + span);
}

/// Time for which the machine was suspended since the process's first question.
fn suspended() -> Duration {
    if let Some(difference) = difference() {
        let first = *FIRST_DIFFERENCE.get_or_init(|| difference);
        let span = difference.saturating_sub(first).as_millis() as u64;
        let known = SUSPENDED.load(Ordering::Relaxed);
        if span >= known + LEAST_SUSPENSION_MS {
            SUSPENDED.fetch_max(span, Ordering::Relaxed);
        }
    }
    Duration::from_millis(SUSPENDED.load(Ordering::Relaxed)) + SIMULATED.get()
}

/// By how much the clock that goes on is ahead of the steady one; nothing where that could not be read at one
/// moment.
fn difference() -> Option<Duration> {
    let before = duration(clock_gettime(ClockId::Monotonic))?;
    let going_on = duration(clock_gettime(ClockId::Boottime))?;
    let after = duration(clock_gettime(ClockId::Monotonic))?;
    (after.saturating_sub(before) <= TIGHT).then(|| going_on.saturating_sub(before))
}

fn duration(time: Timespec) -> Option<Duration> {
    let seconds = u64::try_from(time.tv_sec).ok()?;
    let nanoseconds = u32::try_from(time.tv_nsec).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}
