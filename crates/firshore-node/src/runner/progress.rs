//! Progress of an item: its events, failed runs and the time of the next run. No I/O.

use super::handover::{HeldProgress, event_bytes};
use firshore_adapter::jobs::ItemOutcome;
use firshore_gateway::events::{EventError, EventStream, event_data};
use std::time::{Duration, Instant};

/// Backoff before an item runs again; doubled with each run that was not started or broke off.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Interval between checks whether an item is still quarantined: each writes two log lines.
const QUARANTINE_INTERVAL: Duration = Duration::from_secs(5);

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its stream is complete.
    Whole,
    /// The back end did not start it.
    NotRun,
    /// Its stream broke off, or the response was invalid.
    Broken,
    /// The back end started it and reported a failure.
    Failed,
    /// The back end reported that it can never succeed.
    Impossible,
    /// It was not sent, because it is quarantined for crashing back ends.
    HeldBack,
}

/// Limits after which an item is given up.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Number of failures reported by back ends.
    pub attempts: u32,
    /// Time since the item was first seen.
    pub give_up_after: Duration,
}

/// Progress of one item.
#[derive(Debug)]
pub struct ItemProgress {
    stream: EventStream,
    produced: Vec<String>,
    /// Runs that were not started or broke off.
    broken_runs: u32,
    first_seen: Instant,
    /// Earliest time of the next run.
    next_run_at: Instant,
}

impl ItemProgress {
    /// Creates the progress of an item that was first seen `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            stream: EventStream::default(),
            produced: Vec::new(),
            broken_runs: 0,
            first_seen: now,
            next_run_at: now,
        }
    }

    /// Creates the progress of an item from events that were reported by the former leader.
    pub fn resumed(now: Instant, held: HeldProgress) -> Self {
        Self {
            stream: EventStream::after(held.last),
            produced: held.events,
            ..Self::new(now)
        }
    }

    /// Returns the data of the held events.
    pub fn produced(&self) -> &[String] {
        &self.produced
    }

    /// Returns the approximate memory of the held events in bytes.
    pub fn held_bytes(&self) -> usize {
        event_bytes(&self.produced)
    }

    /// Returns whether the item may not run yet.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.next_run_at
    }

    /// Returns the engine's number of the last held event.
    pub fn last_event(&self) -> Option<u64> {
        self.stream.last()
    }

    /// Prepares a run: discards the partial event that a stopped run may have left.
    pub fn start_run(&mut self) {
        self.stream.discard_partial();
    }

    /// Parses a chunk of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the chunk contains an invalid event.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        let events = self.stream.feed(bytes)?;
        self.produced.extend(event_data(&events));
        Ok(())
    }

    /// Returns whether the stream ended inside an event.
    pub fn has_partial(&self) -> bool {
        self.stream.has_partial()
    }

    /// Records the end of a run. `failures` is the number of failures that back ends reported for the item so far.
    /// Returns the outcome of the item, or `None` if it has to run again.
    pub fn end_run(
        &mut self,
        now: Instant,
        end: RunEnd,
        failures: u32,
        limits: &RunLimits,
    ) -> Option<ItemOutcome> {
        self.stream.discard_partial();
        match end {
            RunEnd::Whole => {
                // No events are held any more, so that a further run would start from the beginning.
                self.stream = EventStream::default();
                return Some(ItemOutcome::Done(std::mem::take(&mut self.produced)));
            }
            RunEnd::Impossible => return Some(ItemOutcome::GivenUp),
            RunEnd::Failed | RunEnd::HeldBack => {}
            RunEnd::NotRun | RunEnd::Broken => self.broken_runs += 1,
        }
        // This node never saw the item before its submission, so that no item is given up early.
        let expired = now.saturating_duration_since(self.first_seen) >= limits.give_up_after;
        if failures >= limits.attempts.max(1) || expired {
            return Some(ItemOutcome::GivenUp);
        }
        let backoff = MIN_BACKOFF * 2_u32.saturating_pow(self.broken_runs.min(10));
        self.next_run_at = now
            + match end {
                RunEnd::HeldBack => QUARANTINE_INTERVAL,
                _ => backoff.min(MAX_BACKOFF),
            };
        None
    }
}
