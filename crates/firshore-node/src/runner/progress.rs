//! How far an item is: what it has produced, how often it failed, when it may run again. No I/O.

use super::handover::{HeldProgress, event_bytes};
use firshore_adapter::jobs::ItemOutcome;
use firshore_gateway::events::{EventError, EventStream, event_data};
use std::time::{Duration, Instant};

/// Pause after a run that did not end well; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time between looks at whether an item is still held back: each writes two lines into the log.
const HELD_BACK_PAUSE: Duration = Duration::from_secs(5);

/// How a run of an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its stream came to its end.
    Whole,
    /// The back end did not run it.
    NotRun,
    /// It broke off, or gave no usable answer.
    Broken,
    /// The back end ran it and failed.
    Failed,
    /// The back end says that it can never be done.
    Impossible,
    /// It was not sent, as back ends end under it.
    HeldBack,
}

/// When an item is given up.
#[derive(Clone, Copy, Debug)]
pub struct RunLimits {
    /// Failures of back ends.
    pub attempts: u32,
    /// Time.
    pub give_up_after: Duration,
}

/// Progress of one item.
#[derive(Debug)]
pub struct ItemProgress {
    stream: EventStream,
    produced: Vec<String>,
    troubles: u32,
    known_since: Instant,
    not_before: Instant,
}

impl ItemProgress {
    /// An item that was first seen now.
    pub fn new(now: Instant) -> Self {
        Self {
            stream: EventStream::default(),
            produced: Vec::new(),
            troubles: 0,
            known_since: now,
            not_before: now,
        }
    }

    /// An item that another node has begun.
    pub fn resumed(now: Instant, held: HeldProgress) -> Self {
        Self {
            stream: EventStream::after(held.last),
            produced: held.events,
            ..Self::new(now)
        }
    }

    /// Data of the events that are held.
    pub fn produced(&self) -> &[String] {
        &self.produced
    }

    /// Memory that the held events take in bytes, about.
    pub fn held_bytes(&self) -> usize {
        event_bytes(&self.produced)
    }

    /// Whether it may not run yet.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.not_before
    }

    /// Number of the last event that is held.
    pub fn last_event(&self) -> Option<u64> {
        self.stream.last()
    }

    /// A run starts: what an earlier one left of an event it was stopped in is dropped.
    pub fn start_run(&mut self) {
        self.stream.discard_partial();
    }

    /// Takes in a part of the stream.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        let events = self.stream.feed(bytes)?;
        self.produced.extend(event_data(&events));
        Ok(())
    }

    /// Whether the stream stopped inside an event.
    pub fn has_partial(&self) -> bool {
        self.stream.has_partial()
    }

    /// Takes in the end of a run, after which back ends have failed on the item `failures` times.
    /// Returns what becomes of the item, if that is settled.
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
                // Nothing is held any more, so a further run would begin anew.
                self.stream = EventStream::default();
                return Some(ItemOutcome::Done(std::mem::take(&mut self.produced)));
            }
            RunEnd::Impossible => return Some(ItemOutcome::GivenUp),
            RunEnd::Failed | RunEnd::HeldBack => {}
            RunEnd::NotRun | RunEnd::Broken => self.troubles += 1,
        }
        // This node's knowledge is never older than the submission, so nothing is given up early.
        let expired = now.saturating_duration_since(self.known_since) >= limits.give_up_after;
        if failures >= limits.attempts.max(1) || expired {
            return Some(ItemOutcome::GivenUp);
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.troubles.min(10));
        self.not_before = now
            + match end {
                RunEnd::HeldBack => HELD_BACK_PAUSE,
                _ => pause.min(LONGEST_PAUSE),
            };
        None
    }
}
