//! Decides whether an answer of a back end is complete.
//!
//! The end of a connection is not the end of a message. A body whose end neither a length nor chunks mark is complete
//! only if its last event is, and if the process that sent it still runs ([`process_check`]).

use crate::events::EventTracker;
use crate::gateway::Gateway;
use crate::process_check::{self, ProcessEvidence};
use firshore_adapter::backend::Backend;
use firshore_exchange::exchange::ExchangeError;
use firshore_exchange::framing::BodyEnd;
use slog::info;

/// Where the last byte of a body lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TextPosition {
    /// In a body that is no series of events.
    Unstructured,
    /// In a stream, before its first event.
    BeforeEvents,
    /// In a stream, after a complete event.
    BetweenEvents,
    /// In a stream, in an event.
    InsideEvent,
}

impl From<&EventTracker> for TextPosition {
    fn from(tracker: &EventTracker) -> Self {
        match (tracker.is_inside_event(), tracker.complete()) {
            (true, _) => Self::InsideEvent,
            (false, 0) => Self::BeforeEvents,
            (false, _) => Self::BetweenEvents,
        }
    }
}

/// How a body ended: what marked its end, and where its last byte lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// What marked the end.
    pub marked: BodyEnd,
    /// Position of the last byte.
    pub position: TextPosition,
}

/// What the end of a body says about the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndVerdict {
    /// It is complete.
    Complete,
    /// It broke off.
    BrokenOff,
    /// It is complete if the process that sent it still runs.
    Doubtful,
}

/// Proof that an answer is complete. Without it, nothing ends an answer to a caller or counts it as a success.
#[derive(Debug)]
pub struct CompleteAnswer(());

impl CompleteAnswer {
    /// Returns the proof for an answer that this node wrote itself.
    pub fn local() -> Self {
        Self(())
    }
}

impl AnswerEnd {
    /// Returns what the end says about the body. An unmarked end before the first event shows nothing of a stream.
    pub fn verdict(self) -> EndVerdict {
        match (self.marked, self.position) {
            (_, TextPosition::InsideEvent) => EndVerdict::BrokenOff,
            (BodyEnd::Delimited, _) => EndVerdict::Complete,
            (BodyEnd::ByClose, TextPosition::BeforeEvents) => EndVerdict::BrokenOff,
            (BodyEnd::ByClose, TextPosition::Unstructured | TextPosition::BetweenEvents) => {
                EndVerdict::Doubtful
            }
        }
    }

    /// Returns the label of the end in metrics.
    pub(crate) fn label(self) -> &'static str {
        match (self.marked, self.position) {
            (_, TextPosition::InsideEvent) => "inside_event",
            (BodyEnd::Delimited, _) => "delimited",
            (BodyEnd::ByClose, _) => "by_close",
        }
    }
}

impl Gateway {
    /// Determines whether an answer whose body was read to its end is complete. `text` identifies the request or item in
    /// the log.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Truncated`] if it broke off.
    pub async fn confirm_end(
        &self,
        backend: &Backend,
        text: &str,
        end: AnswerEnd,
    ) -> Result<CompleteAnswer, ExchangeError> {
        self.metrics.answer_ended(end);
        let verdict = end.verdict();
        if verdict == EndVerdict::Complete {
            return Ok(CompleteAnswer(()));
        }
        let evidence = match verdict {
            EndVerdict::Doubtful => Some(self.find_evidence(backend).await),
            EndVerdict::Complete | EndVerdict::BrokenOff => None,
        };
        let is_complete = evidence.is_some_and(ProcessEvidence::shows_running);
        info!(self.log, "answer: End not marked."; "request" => text,
            "backend" => %backend.incarnation, "marked" => ?end.marked,
            "position" => ?end.position, "evidence" => ?evidence, "complete" => is_complete);
        match is_complete {
            true => Ok(CompleteAnswer(())),
            false => Err(ExchangeError::Truncated),
        }
    }

    async fn find_evidence(&self, backend: &Backend) -> ProcessEvidence {
        let evidence = process_check::find_evidence(&self.fleet, backend).await;
        self.metrics.process_checked(evidence);
        evidence
    }
}
