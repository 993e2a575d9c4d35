//! Monotonic clock that includes time in which the machine was suspended.
//!
//! `CLOCK_MONOTONIC`, on which timers run, stops during a suspension. By that clock a node that resumes would
//! take an old view for a fresh one and keep using leases that others hold by now, so ages, leases and shares are
//! measured with this clock. It returns the time of the timers' clock plus the time that the machine was suspended
//! (from `CLOCK_BOOTTIME`) since the first call in the process; [`timer_deadline`] subtracts the latter again.
#![deny(missing_docs, unsafe_code)]

use rustix::time::{ClockId, Timespec, clock_gettime};
use std::cell::Cell;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Maximum time between the two readings of `CLOCK_MONOTONIC` around one of `CLOCK_BOOTTIME`. Beyond it the
/// thread was interrupted and the readings are not comparable.
const MAX_READ_TIME: Duration = Duration::from_millis(1);

/// Minimum suspension in milliseconds; shorter differences come from reading the clocks one after the other.
const MIN_SUSPENSION_MS: u64 = 100;

/// Difference of the clocks at the first call in the process.
static INITIAL_OFFSET: OnceLock<Duration> = OnceLock::new();

/// Total suspension since the first call, in milliseconds.
static SUSPENDED_MS: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// Suspension added by [`simulate_suspension`] on this thread.
    static SIMULATED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

/// Returns the current time.
pub fn now() -> Instant {
    Instant::now() + suspended()
}

/// Returns the time since `since`, including suspensions; zero if `since` is in the future.
pub fn elapsed(since: Instant) -> Duration {
    now().saturating_duration_since(since)
}

/// Converts a time of this clock to the timers' clock, assuming no further suspension.
pub fn timer_deadline(at: Instant) -> Instant {
    at.checked_sub(suspended()).unwrap_or(at)
}

/// Advances this thread's clock by `span`, as a suspension would. For tests.
pub fn simulate_suspension(span: Duration) {
    SIMULATED.set(SIMULATED.get() + span);
}

/// Returns the total suspension since the first call in the process.
fn suspended() -> Duration {
    if let Some(offset) = boottime_offset() {
        let initial = *INITIAL_OFFSET.get_or_init(|| offset);
        let span = offset.saturating_sub(initial).as_millis() as u64;
        let recorded = SUSPENDED_MS.load(Ordering::Relaxed);
        if span >= recorded + MIN_SUSPENSION_MS {
            SUSPENDED_MS.fetch_max(span, Ordering::Relaxed);
        }
    }
    Duration::from_millis(SUSPENDED_MS.load(Ordering::Relaxed)) + SIMULATED.get()
}

/// Returns how far `CLOCK_BOOTTIME` is ahead of `CLOCK_MONOTONIC`, or `None` if the readings are not comparable.
fn boottime_offset() -> Option<Duration> {
    let before = to_duration(clock_gettime(ClockId::Monotonic))?;
    let boottime = to_duration(clock_gettime(ClockId::Boottime))?;
    let after = to_duration(clock_gettime(ClockId::Monotonic))?;
    (after.saturating_sub(before) <= MAX_READ_TIME).then(|| boottime.saturating_sub(before))
}

fn to_duration(time: Timespec) -> Option<Duration> {
    let seconds = u64::try_from(time.tv_sec).ok()?;
    let nanoseconds = u32::try_from(time.tv_nsec).ok()?;
    Some(Duration::new(seconds, nanoseconds))
}
