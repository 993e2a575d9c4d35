//! How objects are followed through everything that a store may do.

use firshore_adapter::objects::{Change, Changes, Object, ObjectError, Page};
use firshore_node::list_watch::{IDLE_WAIT, ListWatch, ObjectUpdate, StoreQuery, WatchOptions};
use std::time::Duration;

fn terms() -> WatchOptions {
    WatchOptions {
        history: Duration::from_secs(20),
        spacing: Duration::from_secs(1),
        creation_spacing: Duration::from_secs(2),
        max_wait: IDLE_WAIT,
    }
}

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        ..Object::default()
    }
}

fn page(objects: &[(&str, u64)], more: bool, revision: u64) -> Result<Page, ObjectError> {
    Ok(Page {
        objects: objects.iter().map(|(name, at)| object(name, *at)).collect(),
        more,
        revision,
    })
}

fn changes(written: &[(&str, u64)], revision: u64) -> Result<Changes, ObjectError> {
    let written = written.iter().map(|(name, at)| object(name, *at));
    Ok(Changes {
        changes: written.map(Change::Written).collect(),
        revision,
    })
}

fn names(learned: Option<ObjectUpdate>) -> Vec<String> {
    match learned {
        None => Vec::new(),
        Some(ObjectUpdate::All(objects)) => objects.into_iter().map(|one| one.name).collect(),
        Some(ObjectUpdate::Changed(changes)) => changes
            .into_iter()
            .map(|change| match change {
                Change::Written(object) => object.name,
                Change::Removed(name) => format!("-{name}"),
            })
            .collect(),
    }
}

fn watching() -> ListWatch {
    let mut observation = ListWatch::new(terms());
    observation.handle_page(page(&[("a", 5), ("b", 7)], false, 10));
    observation
}

#[test]
fn pages_are_put_together_and_watched_from_the_first() {
    let mut observation = ListWatch::new(terms());
    assert_eq!(observation.next_query(), StoreQuery::List(None));
    assert_eq!(observation.handle_page(page(&[("a", 5)], true, 10)), None);
    assert_eq!(
        observation.next_query(),
        StoreQuery::List(Some("a".to_owned()))
    );
    let learned = observation.handle_page(page(&[("b", 12)], false, 13));
    assert_eq!(names(learned), ["a", "b"]);
    assert_eq!(observation.next_query(), StoreQuery::Watch(10));
}

#[test]
fn every_failure_of_a_watch_leads_to_a_listing() {
    // A store that has forgotten its history says so only with the next change: a watch that
    // goes on from an old revision may miss what happened while it was cut.
    let failures = [
        ObjectError::HistoryGone,
        ObjectError::Unanswered("reset".to_owned()),
        ObjectError::Refused("503".to_owned()),
    ];
    for failure in failures {
        let mut observation = watching();
        assert_eq!(observation.handle_changes(Err(failure.clone())), None);
        assert_eq!(
            observation.next_query(),
            StoreQuery::List(None),
            "{failure}"
        );
        let learned = observation.handle_page(page(&[("a", 5), ("b", 11)], false, 12));
        assert_eq!(names(learned), ["a", "b"], "{failure}");
    }
}

#[test]
fn what_was_seen_is_never_taken_back() {
    let mut observation = watching();
    assert_eq!(
        names(observation.handle_changes(changes(&[("b", 11)], 11))),
        ["b"]
    );
    assert_eq!(observation.handle_changes(changes(&[("b", 7)], 12)), None);
    let _ = observation.handle_changes(Err(ObjectError::HistoryGone));
    let stale = observation.handle_page(page(&[("a", 5), ("b", 7)], false, 12));
    assert_eq!(names(stale), ["a"], "b is older than was seen");
}

#[test]
fn what_is_gone_may_come_back() {
    let mut observation = watching();
    let gone = Changes {
        changes: vec![Change::Removed("b".to_owned())],
        revision: 11,
    };
    assert_eq!(names(observation.handle_changes(Ok(gone))), ["-b"]);
    assert_eq!(
        names(observation.handle_changes(changes(&[("b", 12)], 12))),
        ["b"]
    );
}

#[test]
fn failures_are_answered_with_growing_pauses() {
    let mut observation = ListWatch::new(terms());
    assert_eq!(observation.delay(), Duration::ZERO);
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        observation.handle_page(Err(ObjectError::Refused("429".to_owned())));
        assert!(observation.delay() > last);
        last = observation.delay();
    }
    for _ in 0..40 {
        observation.handle_page(Err(ObjectError::Unanswered("cut".to_owned())));
    }
    assert!(observation.delay() <= Duration::from_secs(2));
    observation.handle_page(page(&[], false, 1));
    assert_eq!(observation.delay(), Duration::ZERO);
}

#[test]
fn changes_in_quick_succession_are_asked_for_together() {
    let mut observation = watching();
    assert_eq!(observation.delay(), Duration::ZERO);
    let _ = observation.handle_changes(changes(&[("b", 11)], 11));
    assert_eq!(observation.delay(), terms().spacing);
    let _ = observation.handle_changes(changes(&[], 11));
    assert_eq!(observation.delay(), Duration::ZERO);
}

#[test]
fn waits_stay_within_the_history_unless_nothing_changes_at_all() {
    let mut observation = watching();
    assert!(observation.watch_timeout() < terms().history);
    let _ = observation.handle_changes(changes(&[], 14));
    assert!(
        observation.watch_timeout() < terms().history,
        "others changed"
    );
    let _ = observation.handle_changes(changes(&[], 14));
    assert!(
        observation.watch_timeout() > terms().history,
        "nothing changed"
    );
    let _ = observation.handle_changes(changes(&[("b", 15)], 15));
    assert!(observation.watch_timeout() < terms().history);
}

#[test]
fn a_long_watch_is_asked_for_only_right_after_an_answer() {
    // A store that is silent swallows what it is asked: a watch asked for after a pause may be
    // swallowed without a sign, so it must be short.
    let short = Duration::from_secs(1);
    let mut observation = watching();
    assert!(observation.delay().is_zero() && observation.watch_timeout() > short);
    let _ = observation.handle_changes(changes(&[("b", 11)], 11));
    assert!(!observation.delay().is_zero() && observation.watch_timeout() < short);
    let _ = observation.handle_changes(changes(&[], 11));
    assert!(observation.delay().is_zero() && observation.watch_timeout() > short);
    let hasty = WatchOptions {
        spacing: Duration::ZERO,
        ..terms()
    };
    let mut observation = ListWatch::new(hasty);
    observation.handle_page(page(&[("a", 5)], false, 10));
    let _ = observation.handle_changes(changes(&[("a", 11)], 11));
    assert!(observation.delay().is_zero() && observation.watch_timeout() > short);
}

#[test]
fn objects_that_are_only_just_created_are_waited_for_together() {
    let mut observation = ListWatch::new(terms());
    observation.handle_page(page(&[], false, 1));
    let _ = observation.handle_changes(changes(&[("a", 2)], 2));
    assert!(observation.delay() > terms().spacing);
    let _ = observation.handle_changes(changes(&[], 2));
    let _ = observation.handle_changes(changes(&[("a", 3)], 3));
    assert_eq!(observation.delay(), terms().spacing);
}

/// What was gone by then would come back, and nobody would tell that it is gone.
#[test]
fn a_listing_of_an_earlier_moment_is_no_answer() {
    let mut observation = watching();
    let gone = Changes {
        changes: vec![Change::Removed("a".to_owned())],
        revision: 15,
    };
    assert_eq!(names(observation.handle_changes(Ok(gone))), ["-a"]);
    let _ = observation.handle_changes(Err(ObjectError::HistoryGone));
    assert_eq!(observation.handle_page(page(&[("a", 5)], false, 14)), None);
    assert!(!observation.is_connected());
    assert_eq!(observation.next_query(), StoreQuery::List(None));
    assert_eq!(
        names(observation.handle_page(page(&[("b", 7)], false, 15))),
        ["b"]
    );
    assert!(observation.is_connected());
}

#[test]
fn entries_without_a_name_that_can_be_read_are_passed_over() {
    let mut observation = ListWatch::new(terms());
    let learned = observation.handle_page(page(&[("", 6), ("a", 5), ("", 9)], true, 10));
    assert_eq!(learned, None);
    assert_eq!(
        observation.next_query(),
        StoreQuery::List(Some("a".to_owned())),
        "a name that cannot be read cannot be gone on from"
    );
    let learned = observation.handle_page(page(&[("", 9), ("b", 7), ("", 8)], false, 10));
    assert_eq!(names(learned), ["a", "b"]);
}

// A page of which no name can be read, with more behind it, was taken for the last one: all that was known of
// what stands behind it would be gone.
#[test]
fn a_page_that_leads_no_further_ends_no_listing() {
    for stuck in [&[("", 6)][..], &[], &[("a", 5)]] {
        let mut observation = ListWatch::new(terms());
        observation.handle_page(page(&[("a", 5)], true, 10));
        assert_eq!(
            observation.handle_page(page(stuck, true, 10)),
            None,
            "{stuck:?}"
        );
        assert_eq!(
            observation.next_query(),
            StoreQuery::List(None),
            "{stuck:?}"
        );
        assert_eq!(observation.failures(), 1, "{stuck:?}");
    }
}

// Nobody can tell whom a change without a name is about: the listing shows who is still there.
#[test]
fn a_change_without_a_name_leads_to_a_listing() {
    let mut observation = watching();
    let learned = observation.handle_changes(changes(&[("", 11), ("c", 12)], 12));
    assert_eq!(names(learned), ["c"], "the others hold");
    assert_eq!(
        observation.revision(),
        Some(12),
        "and may be passed on at once"
    );
    assert_eq!(observation.next_query(), StoreQuery::List(None));
    assert!(
        observation.delay() > Duration::ZERO,
        "another writer may go on and on"
    );
    let learned = observation.handle_page(page(&[("a", 5), ("", 11), ("c", 12)], false, 12));
    assert_eq!(names(learned), ["a", "c"]);
    assert_eq!(observation.next_query(), StoreQuery::Watch(12));
    assert_eq!(
        observation.delay(),
        Duration::ZERO,
        "the pause came before the listing"
    );
}
