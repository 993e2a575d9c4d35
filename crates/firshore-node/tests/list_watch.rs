//! List and watch of objects, including failures of the store.

use firshore_adapter::objects::{Change, Changes, Object, ObjectError, Page};
use firshore_node::list_watch::{
    IDLE_WAIT, ListWatch, ListingRefusal, ObjectUpdate, StoreQuery, WatchOptions,
};
use std::time::Duration;

fn options() -> WatchOptions {
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

fn names(update: Option<ObjectUpdate>) -> Vec<String> {
    match update {
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

fn listed_watch() -> ListWatch {
    let mut list_watch = ListWatch::new(options());
    list_watch.handle_page(page(&[("a", 5), ("b", 7)], false, 10));
    list_watch
}

#[test]
fn listing_joins_pages_and_watches_from_the_first_revision() {
    let mut list_watch = ListWatch::new(options());
    assert_eq!(list_watch.next_query(), StoreQuery::List(None));
    assert_eq!(list_watch.handle_page(page(&[("a", 5)], true, 10)), None);
    assert_eq!(
        list_watch.next_query(),
        StoreQuery::List(Some("a".to_owned()))
    );
    let update = list_watch.handle_page(page(&[("b", 12)], false, 13));
    assert_eq!(names(update), ["a", "b"]);
    assert_eq!(list_watch.next_query(), StoreQuery::Watch(10));
}

#[test]
fn failed_watch_leads_to_a_listing() {
    // A store that has dropped its history reports that only with the next change: a watch that continues
    // from an old revision may miss changes made during the failure.
    let failures = [
        ObjectError::HistoryGone,
        ObjectError::Unanswered("reset".to_owned()),
        ObjectError::Refused("503".to_owned()),
    ];
    for failure in failures {
        let mut list_watch = listed_watch();
        assert_eq!(list_watch.handle_changes(Err(failure.clone())), None);
        assert_eq!(list_watch.next_query(), StoreQuery::List(None), "{failure}");
        let update = list_watch.handle_page(page(&[("a", 5), ("b", 11)], false, 12));
        assert_eq!(names(update), ["a", "b"], "{failure}");
    }
}

#[test]
fn older_revisions_are_ignored() {
    let mut list_watch = listed_watch();
    assert_eq!(
        names(list_watch.handle_changes(changes(&[("b", 11)], 11))),
        ["b"]
    );
    assert_eq!(list_watch.handle_changes(changes(&[("b", 7)], 12)), None);
    let _ = list_watch.handle_changes(Err(ObjectError::HistoryGone));
    let stale = list_watch.handle_page(page(&[("a", 5), ("b", 7)], false, 12));
    assert_eq!(
        names(stale),
        ["a"],
        "b is older than the revision already received"
    );
}

#[test]
fn removed_object_may_be_recreated() {
    let mut list_watch = listed_watch();
    let removal = Changes {
        changes: vec![Change::Removed("b".to_owned())],
        revision: 11,
    };
    assert_eq!(names(list_watch.handle_changes(Ok(removal))), ["-b"]);
    assert_eq!(
        names(list_watch.handle_changes(changes(&[("b", 12)], 12))),
        ["b"]
    );
}

#[test]
fn failures_increase_the_delay() {
    let mut list_watch = ListWatch::new(options());
    assert_eq!(list_watch.delay(), Duration::ZERO);
    let mut last = Duration::ZERO;
    for _ in 0..4 {
        list_watch.handle_page(Err(ObjectError::Refused("429".to_owned())));
        assert!(list_watch.delay() > last);
        last = list_watch.delay();
    }
    for _ in 0..40 {
        list_watch.handle_page(Err(ObjectError::Unanswered("cut".to_owned())));
    }
    assert!(list_watch.delay() <= Duration::from_secs(2));
    list_watch.handle_page(page(&[], false, 1));
    assert_eq!(list_watch.delay(), Duration::ZERO);
}

#[test]
fn frequent_changes_are_batched() {
    let mut list_watch = listed_watch();
    assert_eq!(list_watch.delay(), Duration::ZERO);
    let _ = list_watch.handle_changes(changes(&[("b", 11)], 11));
    assert_eq!(list_watch.delay(), options().spacing);
    let _ = list_watch.handle_changes(changes(&[], 11));
    assert_eq!(list_watch.delay(), Duration::ZERO);
}

#[test]
fn watch_timeout_stays_within_the_history_unless_idle() {
    let mut list_watch = listed_watch();
    assert!(list_watch.watch_timeout() < options().history);
    let _ = list_watch.handle_changes(changes(&[], 14));
    assert!(
        list_watch.watch_timeout() < options().history,
        "objects of other kinds changed"
    );
    let _ = list_watch.handle_changes(changes(&[], 14));
    assert!(
        list_watch.watch_timeout() > options().history,
        "nothing changed"
    );
    let _ = list_watch.handle_changes(changes(&[("b", 15)], 15));
    assert!(list_watch.watch_timeout() < options().history);
}

#[test]
fn long_watch_starts_only_right_after_a_response() {
    // An unresponsive store drops requests without an error, so a watch that starts after a delay must be
    // short.
    let short = Duration::from_secs(1);
    let mut list_watch = listed_watch();
    assert!(list_watch.delay().is_zero() && list_watch.watch_timeout() > short);
    let _ = list_watch.handle_changes(changes(&[("b", 11)], 11));
    assert!(!list_watch.delay().is_zero() && list_watch.watch_timeout() < short);
    let _ = list_watch.handle_changes(changes(&[], 11));
    assert!(list_watch.delay().is_zero() && list_watch.watch_timeout() > short);
    let unspaced = WatchOptions {
        spacing: Duration::ZERO,
        ..options()
    };
    let mut list_watch = ListWatch::new(unspaced);
    list_watch.handle_page(page(&[("a", 5)], false, 10));
    let _ = list_watch.handle_changes(changes(&[("a", 11)], 11));
    assert!(list_watch.delay().is_zero() && list_watch.watch_timeout() > short);
}

#[test]
fn recently_created_objects_are_batched() {
    let mut list_watch = ListWatch::new(options());
    list_watch.handle_page(page(&[], false, 1));
    let _ = list_watch.handle_changes(changes(&[("a", 2)], 2));
    assert!(list_watch.delay() > options().spacing);
    let _ = list_watch.handle_changes(changes(&[], 2));
    let _ = list_watch.handle_changes(changes(&[("a", 3)], 3));
    assert_eq!(list_watch.delay(), options().spacing);
}

/// A stale listing would restore removed objects, and no later change would remove them.
#[test]
fn stale_listing_is_ignored() {
    let mut list_watch = listed_watch();
    let removal = Changes {
        changes: vec![Change::Removed("a".to_owned())],
        revision: 15,
    };
    assert_eq!(names(list_watch.handle_changes(Ok(removal))), ["-a"]);
    let _ = list_watch.handle_changes(Err(ObjectError::HistoryGone));
    assert_eq!(list_watch.handle_page(page(&[("a", 5)], false, 14)), None);
    assert!(!list_watch.is_connected());
    assert_eq!(list_watch.next_query(), StoreQuery::List(None));
    assert_eq!(
        names(list_watch.handle_page(page(&[("b", 7)], false, 15))),
        ["b"]
    );
    assert!(list_watch.is_connected());
}

#[test]
fn entries_without_a_readable_name_are_skipped() {
    let mut list_watch = ListWatch::new(options());
    let update = list_watch.handle_page(page(&[("", 6), ("a", 5), ("", 9)], true, 10));
    assert_eq!(update, None);
    assert_eq!(
        list_watch.next_query(),
        StoreQuery::List(Some("a".to_owned())),
        "a listing cannot continue from an unreadable name"
    );
    let update = list_watch.handle_page(page(&[("", 9), ("b", 7), ("", 8)], false, 10));
    assert_eq!(names(update), ["a", "b"]);
}

// A page without readable names that isn't the last must not end the listing: objects on the pages after it
// would be dropped.
#[test]
fn page_without_progress_does_not_end_a_listing() {
    for objects in [&[("", 6)][..], &[], &[("a", 5)]] {
        let mut list_watch = ListWatch::new(options());
        list_watch.handle_page(page(&[("a", 5)], true, 10));
        assert_eq!(
            list_watch.handle_page(page(objects, true, 10)),
            None,
            "{objects:?}"
        );
        assert_eq!(
            list_watch.next_query(),
            StoreQuery::List(None),
            "{objects:?}"
        );
        assert_eq!(list_watch.failures(), 1, "{objects:?}");
    }
}

/// A listing whose pages follow another order than that of bytes was refused.
#[test]
fn listing_follows_the_order_of_the_store() {
    let mut list_watch = ListWatch::new(options());
    assert_eq!(list_watch.handle_page(page(&[("b", 5)], true, 10)), None);
    assert_eq!(list_watch.handle_page(page(&[("B", 6)], true, 10)), None);
    let update = list_watch.handle_page(page(&[("c", 7)], false, 10));
    assert_eq!(names(update), ["b", "B", "c"]);
}

#[test]
fn listing_that_goes_round_ends() {
    let mut list_watch = ListWatch::new(options());
    for name in ["b", "a", "b"] {
        assert_eq!(list_watch.handle_page(page(&[(name, 5)], true, 10)), None);
    }
    assert_eq!(list_watch.refusal(), Some(ListingRefusal::NoCursor));
}

// A change without a name may concern any object: a new listing shows which remain.
#[test]
fn change_without_a_name_leads_to_a_listing() {
    let mut list_watch = listed_watch();
    let update = list_watch.handle_changes(changes(&[("", 11), ("c", 12)], 12));
    assert_eq!(names(update), ["c"], "the other changes are applied");
    assert_eq!(
        list_watch.revision(),
        Some(12),
        "changes up to here may be forwarded at once"
    );
    assert_eq!(list_watch.next_query(), StoreQuery::List(None));
    assert!(
        list_watch.delay() > Duration::ZERO,
        "another writer may repeat such changes without end"
    );
    let update = list_watch.handle_page(page(&[("a", 5), ("", 11), ("c", 12)], false, 12));
    assert_eq!(names(update), ["a", "c"]);
    assert_eq!(list_watch.next_query(), StoreQuery::Watch(12));
    assert_eq!(
        list_watch.delay(),
        Duration::ZERO,
        "the delay preceded the listing"
    );
}
