//! Decides whether a request is sent to another back end after a send has failed. No I/O.
//!
//! A request may run on as many back ends as its route allows. Sends that certainly did not run it don't count
//! against this limit; a limit on all sends prevents endless retries at a full fleet.

use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::route::Repetition;

/// Maximum number of sends of one request, including those that did not run it.
const MAX_SENDS: u32 = 5;

/// How a send ended without a response to return to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// No connection could be opened.
    NotSent,
    /// The back end reported that it did not run the request.
    NotRun,
    /// No usable response arrived: the request may have run.
    Lost,
    /// The stream broke off after at least one event.
    BrokenOff,
    /// The back end ran the request and reported a failure.
    Failed,
}

/// Next step after a failed send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request again.
    SendAgain,
    /// Tell the caller that it has not run.
    RefuseNotRun,
    /// Tell the caller that it may have run.
    FailMaybeRun,
    /// Return the back end's failure to the caller.
    PassOn,
}

/// Sends of one request.
#[derive(Debug)]
pub struct Attempts {
    repetition: Repetition,
    limit: usize,
    sends: u32,
    current: Option<Incarnation>,
    /// Back ends that may have run the request.
    may_have_run: Vec<Incarnation>,
    /// Back ends that did not run the request.
    refused: Vec<Incarnation>,
}

impl Attempts {
    /// Creates the state before the first send. At most `limit` back ends may run the request.
    pub fn new(repetition: Repetition, limit: u32) -> Self {
        Self {
            repetition,
            limit: limit.max(1) as usize,
            sends: 0,
            current: None,
            may_have_run: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Returns whether the request may be sent to this back end now.
    pub fn allows(&self, incarnation: &Incarnation) -> bool {
        let was_tried = self.may_have_run.contains(incarnation);
        let exhausted = self.counted(Some(incarnation)) >= self.limit;
        !self.refused.contains(incarnation) && (was_tried == exhausted)
    }

    /// Returns the number of back ends that count against the limit. A process that has a known later start no
    /// longer counts; otherwise a stream could not be resumed at the restarted back end.
    fn counted(&self, next: Option<&Incarnation>) -> usize {
        let has_ended = |one: &Incarnation| {
            let mut others = self.may_have_run.iter().chain(next);
            others.any(|other| one.is_succeeded_by(other))
        };
        let counted = self.may_have_run.iter().filter(|one| !has_ended(one));
        counted.count()
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(&self) -> bool {
        !self.may_have_run.is_empty()
    }

    /// Returns the back ends that may have run the request.
    pub fn tried(&self) -> impl Iterator<Item = &Incarnation> {
        self.may_have_run.iter()
    }

    /// Returns the number of sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Records that the request is about to be sent to this back end.
    pub fn sending(&mut self, incarnation: &Incarnation) {
        self.sends += 1;
        if !self.may_have_run.contains(incarnation) {
            self.may_have_run.push(incarnation.clone());
            self.current = Some(incarnation.clone());
        } else {
            self.current = None;
        }
    }

    /// Records the end of the last send and returns the next step.
    pub fn ended(&mut self, incarnation: &Incarnation, end: SendEnd) -> NextStep {
        match end {
            SendEnd::NotSent | SendEnd::NotRun => self.not_run(incarnation),
            SendEnd::Lost | SendEnd::BrokenOff => self.lost(),
            SendEnd::Failed => match self.repetition {
                Repetition::Idempotent if self.may_retry() => NextStep::SendAgain,
                _ => NextStep::PassOn,
            },
        }
    }

    fn not_run(&mut self, incarnation: &Incarnation) -> NextStep {
        // A back end that may have run an earlier send still counts.
        if self.current.take().is_some() {
            self.may_have_run.retain(|one| one != incarnation);
        }
        self.refused.push(incarnation.clone());
        if self.sends < MAX_SENDS {
            return NextStep::SendAgain;
        }
        self.give_up()
    }

    fn lost(&self) -> NextStep {
        let repeatable = self.repetition != Repetition::AtMostOnce;
        if repeatable && self.may_retry() {
            return NextStep::SendAgain;
        }
        NextStep::FailMaybeRun
    }

    fn may_retry(&self) -> bool {
        let another_backend = self.counted(None) < self.limit;
        let resumable = self.repetition == Repetition::Resumable;
        self.sends < MAX_SENDS && (another_backend || resumable)
    }

    /// Returns the next step when no further back end is available.
    pub fn give_up(&self) -> NextStep {
        match self.may_have_run() {
            true => NextStep::FailMaybeRun,
            false => NextStep::RefuseNotRun,
        }
    }
}
