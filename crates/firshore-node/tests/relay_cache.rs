//! The objects of one kind as a relay keeps them for other nodes.

use firshore_adapter::objects::{Change, Object};
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::relay::cache::{CacheMiss, KindCache};
use serde_json::json;

fn object(name: &str, revision: u64) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        spec: json!({"of": name}),
        status: json!(null),
    }
}

fn listed(names: &[(&str, u64)], revision: u64) -> KindCache {
    let mut cache = KindCache::default();
    learn_all(&mut cache, names, revision);
    cache
}

fn learn_all(cache: &mut KindCache, names: &[(&str, u64)], revision: u64) {
    let objects = names.iter().map(|(name, at)| object(name, *at));
    cache.apply(Some(ObjectUpdate::All(objects.collect())), revision);
}

fn learn(cache: &mut KindCache, changes: Vec<Change>, revision: u64) {
    cache.apply(Some(ObjectUpdate::Changed(changes)), revision);
}

/// Names written and removed after a revision, and the revision to go on from.
fn news(cache: &KindCache, known: u64) -> Option<(Vec<String>, Vec<String>, u64)> {
    let changes = cache.changes(known).unwrap()?;
    let written = changes.written.iter().map(|one| one.name.clone());
    Some((written.collect(), changes.removed, changes.revision))
}

#[test]
fn nothing_is_told_before_the_first_listing() {
    let cache = KindCache::default();
    assert_eq!(cache.list(None, 0).unwrap_err(), CacheMiss::Empty);
    assert_eq!(cache.changes(0).unwrap_err(), CacheMiss::Empty);
}

#[test]
fn a_listing_gives_back_what_was_learned() {
    let cache = listed(&[("a", 3), ("b", 5)], 9);
    let page = cache.list(None, 0).unwrap();
    let objects: Vec<Object> = page
        .objects
        .iter()
        .map(|one| one.decode().unwrap())
        .collect();
    assert_eq!(objects, [object("a", 3), object("b", 5)]);
    assert_eq!((page.more, page.revision), (false, 9));
    let rest = cache.list(Some("a"), 9).unwrap();
    assert_eq!(rest.objects.len(), 1);
}

#[test]
fn large_listings_come_in_pages() {
    let mut cache = KindCache::default();
    let objects = (0..10).map(|number| Object {
        spec: json!("x".repeat(100 * 1024)),
        ..object(&format!("o{number}"), 1)
    });
    cache.apply(Some(ObjectUpdate::All(objects.collect())), 4);
    let mut names = Vec::new();
    loop {
        let after = names.last().cloned();
        let page = cache.list(after.as_deref(), 4).unwrap();
        assert!(page.objects.len() <= 3, "a page is bounded");
        names.extend(page.objects.iter().map(|one| one.name.clone()));
        if !page.more {
            break;
        }
    }
    let all: Vec<String> = (0..10).map(|number| format!("o{number}")).collect();
    assert_eq!(names, all);
}

#[test]
fn changes_are_told_from_any_revision_since_the_first_listing() {
    let mut cache = listed(&[("a", 3), ("b", 5)], 9);
    assert_eq!(news(&cache, 9), None);
    learn(&mut cache, vec![Change::Written(object("c", 11))], 12);
    learn(&mut cache, vec![Change::Removed("a".to_owned())], 15);
    cache.apply(None, 20);
    let (written, removed) = (vec!["c".to_owned()], vec!["a".to_owned()]);
    assert_eq!(news(&cache, 9), Some((written, removed.clone(), 20)));
    assert_eq!(news(&cache, 12), Some((vec![], removed, 20)));
    assert_eq!(news(&cache, 15), None);
    assert_eq!(cache.changes(8).unwrap_err(), CacheMiss::Forgotten);
    assert_eq!(cache.changes(21).unwrap_err(), CacheMiss::Behind);
    assert_eq!(cache.list(None, 21).unwrap_err(), CacheMiss::Behind);
}

#[test]
fn a_new_listing_tells_only_what_differs() {
    let mut cache = listed(&[("a", 3), ("b", 5), ("c", 6)], 9);
    learn_all(&mut cache, &[("a", 3), ("b", 14), ("d", 13)], 20);
    let (written, removed) = (vec!["b".to_owned(), "d".to_owned()], vec!["c".to_owned()]);
    assert_eq!(news(&cache, 9), Some((written, removed, 20)));
}

#[test]
fn an_object_that_came_back_is_not_told_as_gone() {
    let mut cache = listed(&[("a", 3)], 9);
    learn(&mut cache, vec![Change::Removed("a".to_owned())], 12);
    learn(&mut cache, vec![Change::Written(object("a", 14))], 15);
    assert_eq!(news(&cache, 9), Some((vec!["a".to_owned()], vec![], 15)));
}

#[test]
fn names_of_what_is_gone_are_bounded() {
    let mut cache = listed(&[], 9);
    for number in 0..3_000 {
        let gone = Change::Removed(format!("o{number}"));
        learn(&mut cache, vec![gone], 10 + number);
    }
    assert_eq!(cache.changes(9).unwrap_err(), CacheMiss::Forgotten);
    let (_, removed, _) = news(&cache, 3_000).unwrap();
    assert_eq!(removed.len(), 9);
}

#[test]
fn the_revision_never_goes_back() {
    let mut cache = listed(&[("a", 3)], 9);
    cache.apply(None, 7);
    assert_eq!(cache.revision(), Some(9));
}

/// An object that came to be and was removed between two listings is told by nobody here: whoever may know
/// it lists anew.
#[test]
fn who_may_know_what_was_missed_lists_anew() {
    let mut cache = listed(&[("a", 3)], 9);
    learn_all(&mut cache, &[("a", 3), ("c", 14)], 20);
    for between in [10, 15, 19] {
        assert_eq!(cache.changes(between).unwrap_err(), CacheMiss::Forgotten);
    }
    let (written, removed, revision) = news(&cache, 9).unwrap();
    assert_eq!(
        (written, removed.len(), revision),
        (vec!["c".to_owned()], 0, 20)
    );
    assert_eq!(news(&cache, 20), None);
}

#[test]
fn who_knows_less_than_the_gaps_that_are_kept_lists_anew() {
    let mut cache = listed(&[], 10);
    for listing in 1..=40 {
        learn_all(&mut cache, &[], 10 + listing * 10);
    }
    for known in [10, 15, 20, 195] {
        assert_eq!(
            cache.changes(known).unwrap_err(),
            CacheMiss::Forgotten,
            "{known}"
        );
    }
    assert_eq!(news(&cache, 410), None);
    assert_eq!(news(&cache, 400), None, "as of a listing");
    assert_eq!(cache.changes(405).unwrap_err(), CacheMiss::Forgotten);
}
