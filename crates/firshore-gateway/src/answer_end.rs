//! How the body of a back end's answer ended.

use crate::events::EventTracker;
use firshore_exchange::framing::BodyEnd;

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

impl AnswerEnd {
    /// Returns whether the end is like that of any answer and not worth a line in the log.
    pub fn is_ordinary(self) -> bool {
        self.marked == BodyEnd::Delimited && self.position != TextPosition::InsideEvent
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
