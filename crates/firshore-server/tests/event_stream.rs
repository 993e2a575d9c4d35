//! Streams cut at every byte, with repeated, missing and unnumbered tokens.

use firshore_server::gateway::event_stream::{EventStream, StreamFault};
use firshore_stand_in::watchdog::run_watched;

fn event(token: u64) -> String {
    format!("id: {token}\ndata: {{\"text\":\"w{token} \"}}\n\n")
}

const DONE: &str = "data: [DONE]\n\n";

fn events(tokens: std::ops::Range<u64>) -> String {
    tokens.map(event).collect()
}

/// Feeds `text` in pieces of `size` bytes until a fault.
fn feed(stream: &mut EventStream, text: &str, size: usize) -> (String, Option<StreamFault>) {
    let mut passed = String::new();
    for piece in text.as_bytes().chunks(size) {
        let mut input = piece;
        loop {
            match stream.feed(input) {
                Ok(bytes) => passed.push_str(std::str::from_utf8(&bytes).unwrap()),
                Err(fault) => return (passed, Some(fault)),
            }
            if !stream.holds_fault() {
                break;
            }
            input = &[];
        }
    }
    (passed, None)
}

#[test]
fn whole_streams_pass_unchanged_however_they_are_cut() {
    let text = events(0..5) + DONE;
    for size in 1..text.len() {
        let mut stream = EventStream::default();
        assert_eq!(feed(&mut stream, &text, size), (text.clone(), None));
        assert!(stream.is_finished());
    }
}

#[test]
fn a_stream_broken_at_any_byte_goes_on_without_loss_or_repetition() {
    let text = events(0..5) + DONE;
    for cut in 0..text.len() {
        for overlap in 0..3 {
            let mut stream = EventStream::default();
            let (mut passed, fault) = feed(&mut stream, &text[..cut], 7);
            assert_eq!(fault, None);
            assert!(!stream.is_finished());
            stream.broken_off();
            let from = stream.resume_from().unwrap();
            let rest = events(from.saturating_sub(overlap)..5) + DONE;
            let (more, fault) = feed(&mut stream, &rest, 11);
            assert_eq!(fault, None);
            passed.push_str(&more);
            assert_eq!(passed, text, "cut at {cut}, overlap {overlap}");
            assert!(stream.is_finished());
        }
    }
}

#[test]
fn faults_come_after_everything_whole_before_them() {
    let preempted = "event: preempted\ndata: {\"offset\":2}\n\n";
    let rows = [
        (events(0..2) + preempted, StreamFault::Preempted),
        (events(0..2) + &event(3) + &event(4), StreamFault::Gap(2, 3)),
    ];
    for (text, expected) in rows {
        for size in [1, 10, 1000] {
            let mut stream = EventStream::default();
            let (passed, fault) = feed(&mut stream, &text, size);
            assert_eq!(passed, events(0..2));
            assert_eq!(fault, Some(expected));
            assert_eq!(stream.resume_from(), Some(2));
        }
    }
}

#[test]
fn an_endless_event_is_refused() {
    let mut stream = EventStream::default();
    let text = "data: ".to_owned() + &"x".repeat(2 * 1024 * 1024);
    let (passed, fault) = feed(&mut stream, &text, 4096);
    assert_eq!((passed.as_str(), fault), ("", Some(StreamFault::TooLong)));
}

#[test]
fn long_event_was_searched_again_for_each_piece_of_it() {
    let text = format!("data: {}\n\n", "x".repeat(1_000_000));
    let expected = text.clone();
    let (passed, fault) = run_watched(move || feed(&mut EventStream::default(), &text, 1));
    assert_eq!(fault, None);
    assert!(passed == expected, "{} bytes of an event", passed.len());
}

#[test]
fn only_numbered_streams_can_go_on() {
    let mut stream = EventStream::default();
    feed(&mut stream, ": comment\n\n", 100);
    assert_eq!(stream.resume_from(), Some(0));
    feed(&mut stream, "data: {}\r\n\r\n", 100);
    assert_eq!(stream.resume_from(), None);
}

#[test]
fn nothing_passes_after_the_terminal_event() {
    let mut stream = EventStream::default();
    let (passed, _) = feed(&mut stream, &(events(0..1) + DONE + &event(1)), 1000);
    assert_eq!(passed, events(0..1) + DONE);
}
