//! Tests of the progress of items, and of the load and progress that nodes report.

use firshore_adapter::backend::Backend;
use firshore_adapter::decode::Decoder;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::jobs::ItemOutcome;
use firshore_adapter::objects::Object;
use firshore_adapter::text_origin::TextOrigin;
use firshore_node::load_table::{BackendCount, LoadTable, as_counts};
use firshore_node::runner::ItemKey;
use firshore_node::runner::handover::{
    HeldEvents, HeldItems, HeldProgress, ProgressDelta, SentProgress, TextId,
};
use firshore_node::runner::progress::{ItemProgress, RunEnd};
use firshore_stand_in::adapter::Plain;
use firshore_stand_in::watchdog::run_watched;
use serde_json::json;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Failures after which an item is given up.
const ATTEMPTS: u32 = 3;

#[test]
fn run_ends_determine_item_outcomes() {
    use RunEnd::{Broken, Failed, Impossible, NotRun, Whole};
    let done = Some(ItemOutcome::Done(Vec::new()));
    let given_up = Some(ItemOutcome::GivenUp);
    let cases: [(&str, &[RunEnd], Option<ItemOutcome>); 7] = [
        ("whole", &[Whole], done.clone()),
        ("impossible", &[Impossible], given_up.clone()),
        (
            "failed twice, three attempts allowed",
            &[Failed, Failed],
            None,
        ),
        ("failed three times", &[Failed, Failed, Failed], given_up),
        ("not run, repeatedly", &[NotRun; 9], None),
        ("broken, repeatedly", &[Broken; 9], None),
        (
            "whole after failures",
            &[NotRun, Broken, Failed, Whole],
            done,
        ),
    ];
    for (name, ends, expected) in cases {
        let now = Instant::now();
        let mut progress = ItemProgress::new(now);
        let mut outcome = None;
        let mut failures = 0;
        for end in ends {
            assert_eq!(outcome, None, "{name}");
            failures += u32::from(*end == Failed);
            outcome = progress.end_run(now, *end, failures, ATTEMPTS);
        }
        assert_eq!(outcome, expected, "{name}");
    }
}

#[test]
fn a_stopped_run_resumes_after_its_last_complete_event() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    progress.start_run(now, &backend("v1"), TEXT);
    progress.feed(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    progress.start_run(now, &backend("v1"), TEXT);
    assert_eq!(progress.last_event(), Some(1));
    progress.feed(b"id: 2\ndata: b\n\n").unwrap();
    let outcome = progress.end_run(now, RunEnd::Whole, 0, ATTEMPTS);
    let events = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(outcome, Some(ItemOutcome::Done(events)));
    assert_eq!(
        progress.last_event(),
        None,
        "events are no longer held once the outcome is returned"
    );
}

#[test]
fn events_out_of_order_are_discarded() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    progress.feed(b"id: 1\ndata: a\n\n").unwrap();
    let spoiled = progress.feed(b"id: 2\ndata: b\n\nid: 4\ndata: d\n\n");
    assert!(spoiled.is_err());
    assert_eq!(progress.end_run(now, RunEnd::Broken, 0, ATTEMPTS), None);
    assert_eq!(progress.last_event(), Some(1));
    assert_eq!(progress.produced(), ["a".to_owned()]);
}

#[test]
fn a_broken_item_waits_before_it_runs_again() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    assert!(!progress.is_backing_off(now));
    assert_eq!(progress.end_run(now, RunEnd::Broken, 0, ATTEMPTS), None);
    assert!(progress.is_backing_off(now));
    // The end of a run says nothing about the time of the item (`expiry`).
    let hour = Duration::from_secs(3_600);
    assert!(!progress.is_backing_off(now + hour));
    let ended = progress.end_run(now + hour, RunEnd::Broken, 0, ATTEMPTS);
    assert_eq!(ended, None);
}

fn load(backend: &str, count: u32) -> Vec<BackendCount> {
    vec![BackendCount {
        backend: backend.to_owned(),
        count,
    }]
}

#[test]
fn load_reports_add_up_and_expire() {
    let now = Instant::now();
    let mut table = LoadTable::default();
    table.record(now, "one".into(), load("a", 3));
    table.record(now, "two".into(), load("a", 4));
    table.record(now, "two".into(), load("a", 5));
    let sums = |sums: HashMap<BackendName, u32>| as_counts(sums);
    assert_eq!(sums(table.sums().clone()), load("a", 8));
    assert_eq!(sums(table.others(&"two".into())), load("a", 3));
    let later = now + Duration::from_secs(2);
    table.record(later, "two".into(), load("a", 1));
    assert_eq!(sums(table.sums().clone()), load("a", 1));
    assert_eq!(table.nodes(), 1);
    table.remove_expired(later + Duration::from_secs(2));
    assert!(table.sums().is_empty());
}

/// Text of most tests.
const TEXT: TextId = TextId(1);

fn held_events(events: &[String], last: u64) -> HeldEvents<'_> {
    HeldEvents {
        events,
        last: Some(last),
        origin: None,
        text: Some(TEXT),
    }
}

/// Returns a back end of a software version.
fn backend(software: &str) -> Backend {
    let object = Object {
        name: format!("b-{software}"),
        spec: json!({"service": "s", "address": "127.0.0.1:1", "slots": 1, "leaving": false,
            "software": software}),
        ..Object::default()
    };
    Plain.backend(&object).unwrap()
}

fn events(range: std::ops::RangeInclusive<u64>) -> Vec<String> {
    range.map(|number| format!("e{number}")).collect()
}

#[test]
fn progress_deltas_are_assembled_into_the_whole() {
    let key = ("job".to_owned(), 3);
    let mut sent = SentProgress::default();
    let mut held = HeldItems::default();
    for last in [2, 5] {
        let delta = sent
            .delta(&key, held_events(&events(1..=last), last))
            .unwrap();
        let gaps = held.apply(vec![delta.clone()]);
        assert!(gaps.is_empty());
        sent.acknowledge(vec![delta.end()], gaps);
    }
    assert_eq!(sent.delta(&key, held_events(&events(1..=5), 5)), None);
    let all = held.all();
    assert_eq!(all[&key].events, events(1..=5));
    assert_eq!(all[&key].last, Some(5));
    let begun = ItemProgress::resumed(Instant::now(), all[&key].clone(), TEXT);
    assert_eq!(begun.last_event(), Some(5));
}

#[test]
fn progress_is_sent_in_messages_of_limited_size() {
    const LIMIT: usize = 100;
    let items: Vec<(ItemKey, Vec<String>)> = (0..50)
        .map(|index| (("job".to_owned(), index), events(1..=10)))
        .collect();
    let mut sent = SentProgress::default();
    let mut held = HeldItems::default();
    let mut messages = 0;
    loop {
        let unsent = items
            .iter()
            .map(|(key, events)| (key, held_events(events, 10)));
        let deltas = sent.deltas(unsent, LIMIT);
        if deltas.is_empty() {
            break;
        }
        let bytes: usize = deltas.iter().map(ProgressDelta::bytes).sum();
        assert!(bytes < LIMIT + 30, "{bytes} bytes in one message");
        let ends = deltas.iter().map(ProgressDelta::end).collect();
        sent.acknowledge(ends, held.apply(deltas));
        messages += 1;
    }
    assert_eq!(messages, 10);
    assert_eq!(held.all().len(), items.len());
}

#[test]
fn progress_after_a_gap_is_sent_from_the_start() {
    let key = ("job".to_owned(), 3);
    let mut sent = SentProgress::default();
    let mut held = HeldItems::default();
    let first = sent.delta(&key, held_events(&events(1..=2), 2)).unwrap();
    // The node restarts right after its response and loses the delta.
    sent.acknowledge(vec![first.end()], Vec::new());
    let second = sent.delta(&key, held_events(&events(1..=4), 4)).unwrap();
    let gaps = held.apply(vec![second.clone()]);
    assert_eq!(gaps, std::slice::from_ref(&key));
    sent.acknowledge(vec![second.end()], gaps);
    let whole = sent.delta(&key, held_events(&events(1..=4), 4)).unwrap();
    assert_eq!(whole.offset, 0);
    assert!(held.apply(vec![whole]).is_empty());
    assert_eq!(held.all()[&key].events, events(1..=4));
}

#[test]
fn progress_from_offset_zero_replaces_held_progress() {
    let key = ("job".to_owned(), 3);
    let mut held = HeldItems::default();
    let delta = |offset, events: Vec<String>, last| ProgressDelta {
        job: "job".to_owned(),
        index: 3,
        offset,
        events,
        last: Some(last),
        origin: None,
        text: Some(TEXT),
    };
    held.apply(vec![delta(0, events(1..=5), 5)]);
    held.apply(vec![delta(0, events(1..=2), 2)]);
    held.retain(|open| *open == key);
    assert_eq!(held.all()[&key].events, events(1..=2));
    held.apply(vec![delta(0, events(1..=2), 2)]);
    held.retain(|_| false);
    assert!(held.all().is_empty());
}

#[test]
fn events_of_two_software_versions_were_joined_by_a_handover() {
    let key = ("job".to_owned(), 3);
    let (old, new) = (backend("v1"), backend("v2"));
    let (old, new) = (TextOrigin::at(&old), TextOrigin::at(&new));
    let mut sent = SentProgress::default();
    let mut held = HeldItems::default();
    let texts = [
        (TextId(1), &old, events(1..=5)),
        (TextId(2), &new, events(1..=2)),
        (TextId(2), &new, events(1..=4)),
    ];
    for (text, origin, events) in &texts {
        let held_events = HeldEvents {
            text: Some(*text),
            origin: Some(*origin),
            ..held_events(events, events.len() as u64)
        };
        let delta = sent.delta(&key, held_events).unwrap();
        let gaps = held.apply(vec![delta.clone()]);
        assert!(gaps.is_empty());
        sent.acknowledge(vec![delta.end()], gaps);
        assert_eq!(held.all()[&key].events, *events);
        assert_eq!(held.all()[&key].origin.as_ref(), Some(*origin));
    }
    // A node that still holds the former text doesn't append to it.
    let mut outdated = HeldItems::default();
    let whole = |origin: &TextOrigin, offset, events| ProgressDelta {
        job: key.0.clone(),
        index: key.1,
        offset,
        events,
        last: None,
        origin: Some(origin.clone()),
        text: Some(TEXT),
    };
    outdated.apply(vec![whole(&old, 0, events(1..=5))]);
    let gaps = outdated.apply(vec![whole(&new, 2, events(3..=4))]);
    assert_eq!(gaps, std::slice::from_ref(&key));
}

fn delta_of(text: Option<TextId>, offset: usize, events: Vec<String>) -> ProgressDelta {
    ProgressDelta {
        job: "job".to_owned(),
        index: 3,
        offset,
        last: Some((offset + events.len()) as u64),
        events,
        origin: Some(TextOrigin::at(&backend("v1"))),
        text,
    }
}

/// An item began anew at the process that ran it first; followers appended the events of the second run to those of the
/// first, and the next leader went on from there.
#[test]
fn events_of_two_runs_at_one_process_were_joined_by_a_handover() {
    let key = ("job".to_owned(), 3);
    let now = Instant::now();
    let one = backend("v1");
    let mut sent = SentProgress::default();
    let mut held = HeldItems::default();
    let mut progress = ItemProgress::new(now);
    let mut run = |progress: &mut ItemProgress, text: u64, name: &str, last: u64| {
        progress.start_run(now, &one, TextId(text));
        for number in progress.last_event().unwrap_or(0) + 1..=last {
            let event = format!("id: {number}\ndata: {name}{number}\n\n");
            progress.feed(event.as_bytes()).unwrap();
        }
        let delta = sent.delta(&key, progress.held()).unwrap();
        let gaps = held.apply(vec![delta.clone()]);
        assert!(gaps.is_empty());
        sent.acknowledge(vec![delta.end()], gaps);
        held.all()[&key].events.clone()
    };
    let events = |name: &str, last: u64| -> Vec<String> {
        let numbers = 1..=last;
        numbers.map(|number| format!("{name}{number}")).collect()
    };
    assert_eq!(run(&mut progress, 1, "a", 4), events("a", 4));
    // A run that goes on doesn't begin a text.
    assert_eq!(run(&mut progress, 2, "a", 6), events("a", 6));
    progress.begin_anew();
    assert_eq!(run(&mut progress, 3, "b", 9), events("b", 9));
    progress.begin_anew();
    assert_eq!(run(&mut progress, 4, "c", 2), events("c", 2));
}

/// A message that was on its way while the item began anew must not meet the events of the new run.
#[test]
fn late_events_of_a_former_run_at_one_process_were_joined() {
    let key = ("job".to_owned(), 3);
    let (former, current) = (Some(TextId(1)), Some(TextId(2)));
    let mut held = HeldItems::default();
    let whole = delta_of(current, 0, events(1..=5));
    assert!(held.apply(vec![whole.clone()]).is_empty());
    let late = delta_of(former, 3, events(4..=8));
    assert_eq!(held.apply(vec![late]), std::slice::from_ref(&key));
    assert_eq!(held.all()[&key].events, events(1..=5));
    assert_eq!(held.all()[&key].text, current);
    // A late beginning replaces the text; the next events of the current one don't follow it.
    assert!(
        held.apply(vec![delta_of(former, 0, events(1..=7))])
            .is_empty()
    );
    let next = delta_of(current, 5, events(6..=6));
    assert_eq!(held.apply(vec![next]), std::slice::from_ref(&key));
    assert_eq!(held.all()[&key].text, former);
    assert!(held.apply(vec![whole]).is_empty());
    assert_eq!(held.all()[&key].text, current);
    // So does an acknowledgement that arrives after the item began anew.
    let mut sent = SentProgress::default();
    let acknowledged = delta_of(former, 0, events(1..=4));
    sent.acknowledge(vec![acknowledged.end()], Vec::new());
    let new_events = events(1..=6);
    let held_events = HeldEvents {
        text: current,
        ..held_events(&new_events, 6)
    };
    assert_eq!(sent.delta(&key, held_events).unwrap().offset, 0);
}

/// Deltas of earlier versions don't name their text, so that two of them may be of different ones.
#[test]
fn events_of_unnamed_texts_are_not_joined() {
    let key = ("job".to_owned(), 3);
    let mut held = HeldItems::default();
    for held_text in [None, Some(TextId(1))] {
        assert!(
            held.apply(vec![delta_of(held_text, 0, events(1..=2))])
                .is_empty()
        );
        let gaps = held.apply(vec![delta_of(None, 2, events(3..=4))]);
        assert_eq!(gaps, std::slice::from_ref(&key));
        assert_eq!(held.all()[&key].events, events(1..=2), "a whole beginning");
    }
}

/// Nodes of two releases exchange deltas: the text is a field more, which may be missing.
#[test]
fn deltas_of_an_earlier_version_are_read_without_a_text() {
    let named = delta_of(Some(TextId(7)), 2, events(3..=4));
    let mut written = serde_json::to_value(&named).unwrap();
    assert_eq!(
        serde_json::from_value::<ProgressDelta>(written.clone()).unwrap(),
        named
    );
    let fields = written.as_object_mut().unwrap();
    assert_eq!(fields.remove("x"), Some(json!(7)));
    let mut names: Vec<&str> = fields.keys().map(String::as_str).collect();
    names.sort_unstable();
    assert_eq!(names, ["e", "i", "j", "l", "o", "v"]);
    let read: ProgressDelta = serde_json::from_value(written).unwrap();
    assert_eq!(
        read,
        ProgressDelta {
            text: None,
            ..named
        }
    );
}

/// The next leader goes on with a text of its own: the former one may still send what it adds to its text.
#[test]
fn events_of_a_former_leader_were_joined_with_those_of_the_next_one() {
    let key = ("job".to_owned(), 3);
    let mut held = HeldItems::default();
    held.apply(vec![delta_of(Some(TextId(1)), 0, events(1..=3))]);
    let now = Instant::now();
    let mut next = ItemProgress::resumed(now, held.all()[&key].clone(), TextId(2));
    next.start_run(now, &backend("v1"), TextId(3));
    next.feed(b"id: 4\ndata: next4\n\nid: 5\ndata: next5\n\n")
        .unwrap();
    let taken_over = SentProgress::default().delta(&key, next.held()).unwrap();
    assert!(held.apply(vec![taken_over]).is_empty());
    let late = delta_of(Some(TextId(1)), 4, events(5..=6));
    assert_eq!(held.apply(vec![late]), std::slice::from_ref(&key));
    assert_eq!(held.all()[&key].events, next.produced());
}

/// Nothing can continue events without numbers: the next run starts from the beginning.
#[test]
fn events_without_numbers_were_joined_with_those_of_the_next_run() {
    let unnumbered = "data: a\n\ndata: b\n\n";
    let behind_numbered = "id: 1\ndata: a\n\ndata: b\n\n";
    for broken in [unnumbered, behind_numbered] {
        let now = Instant::now();
        let mut progress = ItemProgress::new(now);
        progress.start_run(now, &backend("v1"), TEXT);
        progress.feed(broken.as_bytes()).unwrap();
        progress.end_run(now, RunEnd::Broken, 0, ATTEMPTS);
        progress.start_run(now, &backend("v1"), TextId(8));
        assert_eq!(progress.resume_permit(&backend("v1")), None, "{broken}");
        progress
            .feed(b"id: 1\ndata: c\n\nid: 2\ndata: d\n\n")
            .unwrap();
        let outcome = progress.end_run(now, RunEnd::Whole, 0, ATTEMPTS);
        let whole = vec!["c".to_owned(), "d".to_owned()];
        assert_eq!(outcome, Some(ItemOutcome::Done(whole)), "{broken}");
    }
}

#[test]
fn events_of_an_item_were_added_up_again_for_each_piece_of_its_stream() {
    const EVENTS: u64 = 200_000;
    run_watched(|| {
        let mut progress = ItemProgress::new(Instant::now());
        for number in 1..=EVENTS {
            let held = progress.held_bytes();
            let event = format!("id: {number}\ndata: a\n\n");
            progress.feed(event.as_bytes()).unwrap();
            assert!(progress.held_bytes() > held);
        }
    });
}

#[test]
fn held_bytes_are_those_of_the_held_events() {
    let now = Instant::now();
    let held_by = |progress: &ItemProgress| {
        let held = HeldProgress {
            events: progress.produced().to_vec(),
            ..HeldProgress::default()
        };
        ItemProgress::resumed(now, held, TEXT).held_bytes()
    };
    let mut progress = ItemProgress::new(now);
    assert_eq!(progress.held_bytes(), 0);
    progress.start_run(now, &backend("v1"), TEXT);
    progress
        .feed(b"id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3")
        .unwrap();
    let two = progress.held_bytes();
    assert_eq!(two, held_by(&progress));
    assert!(progress.feed(b"\ndata: d\n\nid: 5\n\n").is_err());
    assert_eq!(progress.held_bytes(), two, "refused events aren't held");
    progress.end_run(now, RunEnd::Broken, 0, ATTEMPTS);
    progress.start_run(now, &backend("v1"), TEXT);
    progress.feed(b"id: 3\ndata: d\n\n").unwrap();
    assert!(progress.held_bytes() > two);
    assert_eq!(progress.held_bytes(), held_by(&progress));
    progress.end_run(now, RunEnd::Whole, 0, ATTEMPTS);
    assert_eq!(progress.held_bytes(), 0, "the outcome has the events");
    progress.feed(b"id: 1\ndata: a\n\n").unwrap();
    assert_eq!(progress.held_bytes(), held_by(&progress));
    progress.begin_anew();
    assert_eq!(progress.held_bytes(), 0);
}

#[test]
fn an_item_begins_anew_only_where_nothing_continues_it() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    progress.start_run(now, &backend("v1"), TEXT);
    assert!(!progress.is_stuck(|_, _| false), "no events are held");
    progress.feed(b"id: 1\ndata: a\n\n").unwrap();
    assert!(progress.is_stuck(|_, _| false));
    assert!(!progress.is_stuck(|_, _| true));
    assert_eq!(progress.resume_permit(&backend("v2")), None);
    let permit = progress.resume_permit(&backend("v1")).unwrap();
    assert_eq!(permit.after(), 1);
    for run in 0..5 {
        assert_eq!(progress.is_stuck(|_, _| true), run > 3, "{run} broken runs");
        progress.start_run(now, &backend("v1"), TEXT);
        progress.end_run(now, RunEnd::NotRun, 0, ATTEMPTS);
        progress.end_run(now, RunEnd::Broken, 0, ATTEMPTS);
    }
    progress.begin_anew();
    assert_eq!(
        (progress.last_event(), progress.produced().len()),
        (None, 0)
    );
    let earlier_version = HeldProgress {
        events: events(1..=2),
        last: Some(2),
        origin: None,
        text: None,
    };
    let resumed = ItemProgress::resumed(now, earlier_version, TEXT);
    assert!(resumed.is_stuck(|_, _| true), "its origin is unknown");
}
