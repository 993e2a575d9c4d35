//! Whether a request goes to another back end after a send has ended. No I/O.
//!
//! A request may run on as many back ends as its route allows. Sends that certainly did not run it
//! do not count, but are bounded too, so that a full fleet is not asked again and again.

use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::route::Repetition;

/// Most sends of one request, those that did not run included.
const MAX_SENDS: u32 = 5;

/// How a send ended without an answer to pass on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendEnd {
    /// No connection was made.
    NotSent,
    /// The back end said that it did not run the request.
    NotRun,
    /// No answer came, or none that can be used: it may have run.
    Lost,
    /// A stream broke off after events were received.
    BrokenOff,
    /// The back end ran the request and failed.
    Failed,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Send it once more.
    SendAgain,
    /// Tell the caller that it has not run.
    RefuseNotRun,
    /// Tell the caller that it may have run.
    FailMaybeRun,
    /// Give the caller the back end's own failure.
    PassOn,
}

/// The sends of one request.
#[derive(Debug)]
pub struct Attempts {
    repetition: Repetition,
    limit: usize,
    sends: u32,
    current: Option<Incarnation>,
    /// Back ends that may have run it.
    may_have_run: Vec<Incarnation>,
    /// Back ends that did not take it.
    refused: Vec<Incarnation>,
}

impl Attempts {
    /// No sends yet, and at most `limit` back ends that may run the request.
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

    /// Whether the request may be sent to this back end now.
    pub fn allows(&self, incarnation: &Incarnation) -> bool {
        let known = self.may_have_run.contains(incarnation);
        let exhausted = self.counted(Some(incarnation)) >= self.limit;
        !self.refused.contains(incarnation) && (known == exhausted)
    }

    /// Back ends that count against the limit. A process whose next start is known has ended, and does not: a
    /// stream could not go on there otherwise.
    fn counted(&self, next: Option<&Incarnation>) -> usize {
        let has_ended = |one: &Incarnation| {
            let mut others = self.may_have_run.iter().chain(next);
            others.any(|other| one.is_succeeded_by(other))
        };
        let counted = self.may_have_run.iter().filter(|one| !has_ended(one));
        counted.count()
    }

    /// Whether the request may have run by now.
    pub fn may_have_run(&self) -> bool {
        !self.may_have_run.is_empty()
    }

    /// Number of sends so far.
    pub fn sends(&self) -> u32 {
        self.sends
    }

    /// Notes that the request is about to be written to this back end.
    pub fn sending(&mut self, incarnation: &Incarnation) {
        self.sends += 1;
        if !self.may_have_run.contains(incarnation) {
            self.may_have_run.push(incarnation.clone());
            self.current = Some(incarnation.clone());
        } else {
            self.current = None;
        }
    }

    /// Decides after the end of the last send.
    pub fn ended(&mut self, incarnation: &Incarnation, end: SendEnd) -> Next {
        match end {
            SendEnd::NotSent | SendEnd::NotRun => self.not_run(incarnation),
            SendEnd::Lost | SendEnd::BrokenOff => self.lost(),
            SendEnd::Failed => match self.repetition {
                Repetition::Idempotent if self.may_retry() => Next::SendAgain,
                _ => Next::PassOn,
            },
        }
    }

    fn not_run(&mut self, incarnation: &Incarnation) -> Next {
        // A back end that ran an earlier part of the request still counts.
        if self.current.take().is_some() {
            self.may_have_run.retain(|one| one != incarnation);
        }
        self.refused.push(incarnation.clone());
        if self.sends < MAX_SENDS {
            return Next::SendAgain;
        }
        self.give_up()
    }

    fn lost(&self) -> Next {
        let repeatable = self.repetition != Repetition::AtMostOnce;
        if repeatable && self.may_retry() {
            return Next::SendAgain;
        }
        Next::FailMaybeRun
    }

    fn may_retry(&self) -> bool {
        let another_backend = self.counted(None) < self.limit;
        let resumable = self.repetition == Repetition::Resumable;
        self.sends < MAX_SENDS && (another_backend || resumable)
    }

    /// The answer when no further back end can be found.
    pub fn give_up(&self) -> Next {
        match self.may_have_run() {
            true => Next::FailMaybeRun,
            false => Next::RefuseNotRun,
        }
    }
}
