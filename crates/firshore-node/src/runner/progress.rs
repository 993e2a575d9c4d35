//! Progress of an item: its events, failed runs and the time of the next run. No I/O.

use super::handover::{HeldEvents, HeldProgress, TextId, event_bytes};
use firshore_adapter::backend::Backend;
use firshore_adapter::jobs::ItemOutcome;
use firshore_adapter::text_origin::{ResumePermit, TextOrigin};
use firshore_gateway::events::{EventError, EventStream, event_data};
use std::time::{Duration, Instant};

/// Backoff before an item runs again; doubled with each run that was not started or broke off.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Interval between checks whether an item is still quarantined: each writes two log lines.
const QUARANTINE_INTERVAL: Duration = Duration::from_secs(5);

/// Number of consecutive runs without a further event after which an item begins anew at another software version: the
/// only back end of its own may never work.
const MAX_FRUITLESS_RUNS: u32 = 4;

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
    /// It was not sent, because a part of its prompt is quarantined for crashing back ends.
    HeldBack,
}

/// Progress of one item.
#[derive(Debug)]
pub struct ItemProgress {
    stream: EventStream,
    produced: Vec<String>,
    /// Memory of `produced`, as `event_bytes` returns it.
    held_bytes: usize,
    /// What produced the first held event, if known.
    origin: Option<TextOrigin>,
    /// Text of the held events, or of the run that begins one.
    text: Option<TextId>,
    /// When the run started that produced it, as far as this node knows.
    begun_at: Instant,
    /// Consecutive runs that broke off without a further event.
    fruitless_runs: u32,
    /// Number of held events at the start of the last run.
    held_at_start: usize,
    /// Runs that were not started or broke off.
    broken_runs: u32,
    /// Earliest time of the next run.
    next_run_at: Instant,
}

impl ItemProgress {
    /// Creates the progress of an item that may run from `now` on.
    pub fn new(now: Instant) -> Self {
        Self {
            stream: EventStream::default(),
            produced: Vec::new(),
            held_bytes: 0,
            origin: None,
            text: None,
            begun_at: now,
            fruitless_runs: 0,
            held_at_start: 0,
            broken_runs: 0,
            next_run_at: now,
        }
    }

    /// Creates the progress of an item from events that were reported by the former leader. They are a text of their own
    /// from here on, identified by `text`: the former leader may have gone on otherwise.
    pub fn resumed(now: Instant, held: HeldProgress, text: TextId) -> Self {
        Self {
            stream: EventStream::after(held.last),
            held_bytes: event_bytes(&held.events),
            produced: held.events,
            origin: held.origin,
            text: Some(text),
            ..Self::new(now)
        }
    }

    /// Returns the data of the held events.
    pub fn produced(&self) -> &[String] {
        &self.produced
    }

    /// Returns the approximate memory of the held events in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns whether the item may not run yet.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        now < self.next_run_at
    }

    /// Returns the engine's number of the last held event.
    pub fn last_event(&self) -> Option<u64> {
        self.stream.last()
    }

    /// Returns what a back end must match to continue the held events; `None` if none are held or if it is unknown.
    pub fn origin(&self) -> Option<&TextOrigin> {
        self.last_event()?;
        self.origin.as_ref()
    }

    /// Returns the text of the held events, or of the run that begins one.
    pub fn text(&self) -> Option<TextId> {
        self.text
    }

    /// Returns the held events.
    pub fn held(&self) -> HeldEvents<'_> {
        HeldEvents {
            events: &self.produced,
            last: self.last_event(),
            origin: self.origin.as_ref(),
            text: self.text,
        }
    }

    /// Returns the permit to continue the held events at a back end.
    pub fn resume_permit(&self, backend: &Backend) -> Option<ResumePermit> {
        self.origin()?.permit(backend, self.last_event()?)
    }

    /// Returns whether events are held that can't be continued: their origin is unknown, or `may_continue` rejects it and
    /// the time at which it began, or the back ends that it allows have failed repeatedly.
    pub fn is_stuck(&self, may_continue: impl FnOnce(&TextOrigin, Instant) -> bool) -> bool {
        if self.last_event().is_none() {
            return false;
        }
        let origin = self.origin();
        let is_continued = origin.is_some_and(|origin| may_continue(origin, self.begun_at));
        !is_continued || self.fruitless_runs >= MAX_FRUITLESS_RUNS
    }

    /// Discards the held events, so that the next run starts from the beginning.
    pub fn begin_anew(&mut self) {
        self.stream = EventStream::default();
        self.produced.clear();
        self.held_bytes = 0;
        self.origin = None;
        self.text = None;
        self.fruitless_runs = 0;
    }

    /// Prepares a run at a back end: discards the partial event that a stopped run may have left, and all events if some
    /// have no number, so that no run can continue them. `text` identifies the text if the run starts from the beginning.
    pub fn start_run(&mut self, now: Instant, backend: &Backend, text: TextId) {
        self.stream.discard_partial();
        if !self.stream.is_continuable() {
            self.begin_anew();
        }
        if self.last_event().is_none() {
            self.origin = Some(TextOrigin::at(backend));
            self.text = Some(text);
            self.begun_at = now;
        }
        self.held_at_start = self.produced.len();
    }

    /// Parses a chunk of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the chunk contains an invalid event.
    pub fn feed(&mut self, bytes: &[u8]) -> Result<(), EventError> {
        let events = self.stream.feed(bytes)?;
        let data = event_data(&events);
        self.held_bytes += event_bytes(&data);
        self.produced.extend(data);
        Ok(())
    }

    /// Returns whether the stream ended inside an event.
    pub fn has_partial(&self) -> bool {
        self.stream.has_partial()
    }

    /// Records the end of a run. `failures` is the number of failures that back ends reported for the item so far, of
    /// which `attempts` are allowed. Returns the outcome of the item, or `None` if it has to run again.
    pub fn end_run(
        &mut self,
        now: Instant,
        end: RunEnd,
        failures: u32,
        attempts: u32,
    ) -> Option<ItemOutcome> {
        self.stream.discard_partial();
        match end {
            RunEnd::Whole => {
                // No events are held any more, so that a further run would start from the beginning.
                let text = std::mem::take(&mut self.produced);
                self.begin_anew();
                return Some(ItemOutcome::Done(text));
            }
            RunEnd::Impossible => return Some(ItemOutcome::GivenUp),
            RunEnd::Failed | RunEnd::HeldBack => {}
            RunEnd::NotRun => self.broken_runs += 1,
            RunEnd::Broken => {
                self.broken_runs += 1;
                self.fruitless_runs = match self.produced.len() > self.held_at_start {
                    true => 0,
                    false => self.fruitless_runs + 1,
                };
            }
        }
        if failures >= attempts.max(1) {
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
