//! Long events that arrive in small pieces.
//!
//! Guards against work that grows with the square of an event's length and keeps the thread from all other requests.

use firshore_gateway::events::{EventError, EventStream};
use firshore_stand_in::watchdog::run_watched;

/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Feeds bytes one by one. Returns the events that came out, and what the stream failed with.
fn feed_bytes(stream: &mut EventStream, bytes: &[u8]) -> (Vec<u8>, Option<EventError>) {
    let mut events = Vec::new();
    for byte in bytes.chunks(1) {
        match stream.feed(byte) {
            Ok(complete) => events.extend_from_slice(&complete),
            Err(error) => return (events, Some(error)),
        }
    }
    (events, None)
}

#[test]
fn long_event_was_searched_again_for_each_piece_of_it() {
    let line = format!("data: {}\n\n", "x".repeat(MAX_EVENT_BYTES - 8));
    let lines = format!("{}\n", "data: x\n".repeat(MAX_EVENT_BYTES / 8 - 1));
    for event in [line, lines] {
        let expected = event.clone().into_bytes();
        let fed = move || feed_bytes(&mut EventStream::after(None), event.as_bytes());
        let (events, error) = run_watched(fed);
        assert!(error.is_none(), "{error:?}");
        assert!(events == expected, "{} bytes of an event", events.len());
    }
}

#[test]
fn event_without_end_was_searched_again_for_each_piece_of_it() {
    let fed = || feed_bytes(&mut EventStream::after(None), &[b'x'; MAX_EVENT_BYTES + 1]);
    assert_eq!(run_watched(fed).1, Some(EventError::TooLong));
}

#[test]
fn events_are_the_same_wherever_the_stream_is_split() {
    let stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\n\nid: 3\ndata: c\n\nid: 4";
    let whole = &stream[..stream.len() - "id: 4".len()];
    for first in 0..=stream.len() {
        for second in first..=stream.len() {
            let mut events = EventStream::after(None);
            let mut complete = Vec::new();
            for piece in [&stream[..first], &stream[first..second], &stream[second..]] {
                complete.extend_from_slice(&events.feed(piece.as_bytes()).unwrap());
            }
            assert_eq!(complete, whole.as_bytes(), "split at {first} and {second}");
            assert!(events.has_partial());
            assert_eq!(events.last(), Some(3));
        }
    }
}

#[test]
fn stream_continues_after_a_discarded_part_and_after_a_refused_event() {
    let mut stream = EventStream::after(None);
    stream
        .feed(b"id: 1\ndata: a\n\nid: 2\ndata: a long part")
        .unwrap();
    stream.discard_partial();
    assert_eq!(&stream.feed(b"id: 2\n\n").unwrap()[..], b"id: 2\n\n");
    let refused = stream.feed(b"id: 3\n\nid: 5\n\n");
    assert_eq!(refused, Err(EventError::OutOfOrder(4, 5)));
    let refused = stream.feed(b"");
    assert_eq!(
        refused,
        Err(EventError::OutOfOrder(4, 5)),
        "it is still there"
    );
    stream.discard_partial();
    assert_eq!(&stream.feed(b"id: 3\n\n").unwrap()[..], b"id: 3\n\n");
}
