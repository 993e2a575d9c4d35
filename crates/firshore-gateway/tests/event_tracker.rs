//! The position in a stream, for each place at which it may be cut.

use firshore_gateway::answer_end::TextPosition;
use firshore_gateway::events::{EventTracker, event_length};

const STREAM: &str =
    "id: 1\ndata: é1\n\nid: 2\r\ndata: é2\r\n\r\n: comment\n\n\ndata: a\ndata: b\n\n";

/// Returns the position in a stream that is cut after `bytes`, by a split into events.
fn expected(bytes: &[u8]) -> TextPosition {
    let mut rest = bytes;
    let mut complete = 0;
    while let Some(length) = event_length(rest) {
        let event = std::str::from_utf8(&rest[..length]).unwrap().trim();
        complete += usize::from(!event.is_empty() && !event.starts_with(':'));
        rest = &rest[length..];
    }
    match (rest.is_empty(), complete) {
        (false, _) => TextPosition::InsideEvent,
        (true, 0) => TextPosition::BeforeEvents,
        (true, _) => TextPosition::BetweenEvents,
    }
}

#[test]
fn the_position_is_known_wherever_a_stream_is_cut() {
    let stream = STREAM.as_bytes();
    for cut in 0..=stream.len() {
        for split in 0..=cut {
            let mut tracker = EventTracker::default();
            tracker.feed(&stream[..split]);
            tracker.feed(&stream[split..cut]);
            let position = TextPosition::from(&tracker);
            assert_eq!(position, expected(&stream[..cut]), "cut after {cut}");
        }
    }
}

#[test]
fn comments_are_no_events() {
    let mut tracker = EventTracker::default();
    tracker.feed(b": keep-alive\n\n\n\n");
    assert_eq!(tracker.complete(), 0);
    tracker.feed(b": why\ndata: a\n\n");
    assert_eq!(tracker.complete(), 1);
}
