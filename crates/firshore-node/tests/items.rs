//! How far an item is, and what nodes tell about their load.

use firshore_adapter::backend::Incarnation;
use firshore_adapter::jobs::ItemOutcome;
use firshore_node::load_table::{BackendCount, LoadTable, as_counts};
use firshore_node::runner::progress::{ItemProgress, RunEnd};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const GIVE_UP: Duration = Duration::from_secs(60);

#[test]
fn items_end_as_their_runs_allow() {
    use RunEnd::{Broken, Failed, Impossible, NotRun, Whole};
    let done = Some(ItemOutcome::Done(Vec::new()));
    let given_up = Some(ItemOutcome::GivenUp);
    let cases: [(&str, &[RunEnd], Option<ItemOutcome>); 7] = [
        ("whole", &[Whole], done.clone()),
        ("impossible", &[Impossible], given_up.clone()),
        ("failed twice of three", &[Failed, Failed], None),
        ("failed three times", &[Failed, Failed, Failed], given_up),
        ("not run, however often", &[NotRun; 9], None),
        ("broken, however often", &[Broken; 9], None),
        (
            "whole after trouble",
            &[NotRun, Broken, Failed, Whole],
            done,
        ),
    ];
    for (name, ends, expected) in cases {
        let now = Instant::now();
        let mut progress = ItemProgress::new(now);
        let mut outcome = None;
        for end in ends {
            assert_eq!(outcome, None, "{name}");
            outcome = progress.ended(now, *end, 3, GIVE_UP);
        }
        assert_eq!(outcome, expected, "{name}");
    }
}

#[test]
fn a_stopped_run_goes_on_after_its_last_whole_event() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    progress.starts();
    progress.feed(b"id: 1\ndata: a\n\nid: 2\nda").unwrap();
    progress.starts();
    assert_eq!(progress.last_event(), Some(1));
    progress.feed(b"id: 2\ndata: b\n\n").unwrap();
    let outcome = progress.ended(now, RunEnd::Whole, 3, GIVE_UP);
    let events = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(outcome, Some(ItemOutcome::Done(events)));
}

#[test]
fn nothing_is_given_up_before_its_time() {
    let now = Instant::now();
    let mut progress = ItemProgress::new(now);
    let before = now + GIVE_UP - Duration::from_millis(1);
    assert_eq!(progress.ended(before, RunEnd::Broken, 3, GIVE_UP), None);
    assert!(progress.is_paused(before));
    let outcome = progress.ended(now + GIVE_UP, RunEnd::Broken, 3, GIVE_UP);
    assert_eq!(outcome, Some(ItemOutcome::GivenUp));
}

fn told(backend: &str, count: u32) -> Vec<BackendCount> {
    vec![BackendCount {
        backend: backend.to_owned(),
        count,
    }]
}

#[test]
fn loads_add_up_and_grow_old() {
    let now = Instant::now();
    let mut table = LoadTable::default();
    table.told(now, "one".into(), told("a", 3));
    table.told(now, "two".into(), told("a", 4));
    table.told(now, "two".into(), told("a", 5));
    let sums = |sums: HashMap<Incarnation, u32>| as_counts(sums);
    assert_eq!(sums(table.others(now, None)), told("a", 8));
    assert_eq!(sums(table.others(now, Some(&"two".into()))), told("a", 3));
    let later = now + Duration::from_secs(2);
    table.told(later, "two".into(), told("a", 1));
    assert_eq!(sums(table.others(later, None)), told("a", 1));
}
