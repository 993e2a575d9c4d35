//! A relay's cache of the objects of one kind.

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

fn cache_of(names: &[(&str, u64)], revision: u64) -> KindCache {
    let mut cache = KindCache::default();
    apply_listing(&mut cache, names, revision);
    cache
}

fn apply_listing(cache: &mut KindCache, names: &[(&str, u64)], revision: u64) {
    let objects = names.iter().map(|(name, at)| object(name, *at));
    cache.apply(Some(ObjectUpdate::All(objects.collect())), revision);
}

fn apply_changes(cache: &mut KindCache, changes: Vec<Change>, revision: u64) {
    cache.apply(Some(ObjectUpdate::Changed(changes)), revision);
}

/// Returns the names written and removed after revision `known`, and the revision to continue from.
fn changes_since(cache: &KindCache, known: u64) -> Option<(Vec<String>, Vec<String>, u64)> {
    let changes = cache.changes(known).unwrap()?;
    let written = changes.written.iter().map(|one| one.name.clone());
    Some((written.collect(), changes.removed, changes.revision))
}

#[test]
fn empty_cache_returns_nothing() {
    let cache = KindCache::default();
    assert_eq!(cache.list(None, 0).unwrap_err(), CacheMiss::Empty);
    assert_eq!(cache.changes(0).unwrap_err(), CacheMiss::Empty);
}

#[test]
fn listing_returns_cached_objects() {
    let cache = cache_of(&[("a", 3), ("b", 5)], 9);
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
fn large_listings_are_paged() {
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
fn changes_are_available_since_the_first_listing() {
    let mut cache = cache_of(&[("a", 3), ("b", 5)], 9);
    assert_eq!(changes_since(&cache, 9), None);
    apply_changes(&mut cache, vec![Change::Written(object("c", 11))], 12);
    apply_changes(&mut cache, vec![Change::Removed("a".to_owned())], 15);
    cache.apply(None, 20);
    let (written, removed) = (vec!["c".to_owned()], vec!["a".to_owned()]);
    assert_eq!(
        changes_since(&cache, 9),
        Some((written, removed.clone(), 20))
    );
    assert_eq!(changes_since(&cache, 12), Some((vec![], removed, 20)));
    assert_eq!(changes_since(&cache, 15), None);
    assert_eq!(cache.changes(8).unwrap_err(), CacheMiss::Forgotten);
    assert_eq!(cache.changes(21).unwrap_err(), CacheMiss::Behind);
    assert_eq!(cache.list(None, 21).unwrap_err(), CacheMiss::Behind);
}

#[test]
fn new_listing_yields_only_differences() {
    let mut cache = cache_of(&[("a", 3), ("b", 5), ("c", 6)], 9);
    apply_listing(&mut cache, &[("a", 3), ("b", 14), ("d", 13)], 20);
    let (written, removed) = (vec!["b".to_owned(), "d".to_owned()], vec!["c".to_owned()]);
    assert_eq!(changes_since(&cache, 9), Some((written, removed, 20)));
}

#[test]
fn recreated_object_is_not_reported_as_removed() {
    let mut cache = cache_of(&[("a", 3)], 9);
    apply_changes(&mut cache, vec![Change::Removed("a".to_owned())], 12);
    apply_changes(&mut cache, vec![Change::Written(object("a", 14))], 15);
    assert_eq!(
        changes_since(&cache, 9),
        Some((vec!["a".to_owned()], vec![], 15))
    );
}

#[test]
fn removed_names_are_bounded() {
    let mut cache = cache_of(&[], 9);
    for number in 0..3_000 {
        let removal = Change::Removed(format!("o{number}"));
        apply_changes(&mut cache, vec![removal], 10 + number);
    }
    assert_eq!(cache.changes(9).unwrap_err(), CacheMiss::Forgotten);
    let (_, removed, _) = changes_since(&cache, 3_000).unwrap();
    assert_eq!(removed.len(), 9);
}

#[test]
fn revision_never_decreases() {
    let mut cache = cache_of(&[("a", 3)], 9);
    cache.apply(None, 7);
    assert_eq!(cache.revision(), Some(9));
}

/// An object that was created and removed between two listings is missing from the changes: a client whose
/// revision lies between them may have it and must list again.
#[test]
fn client_between_two_listings_must_list_again() {
    let mut cache = cache_of(&[("a", 3)], 9);
    apply_listing(&mut cache, &[("a", 3), ("c", 14)], 20);
    for revision in [10, 15, 19] {
        assert_eq!(cache.changes(revision).unwrap_err(), CacheMiss::Forgotten);
    }
    let (written, removed, revision) = changes_since(&cache, 9).unwrap();
    assert_eq!(
        (written, removed.len(), revision),
        (vec!["c".to_owned()], 0, 20)
    );
    assert_eq!(changes_since(&cache, 20), None);
}

#[test]
fn client_older_than_the_kept_gaps_must_list_again() {
    let mut cache = cache_of(&[], 10);
    for listing in 1..=40 {
        apply_listing(&mut cache, &[], 10 + listing * 10);
    }
    for known in [10, 15, 20, 195] {
        assert_eq!(
            cache.changes(known).unwrap_err(),
            CacheMiss::Forgotten,
            "{known}"
        );
    }
    assert_eq!(changes_since(&cache, 410), None);
    assert_eq!(
        changes_since(&cache, 400),
        None,
        "the revision of a listing"
    );
    assert_eq!(cache.changes(405).unwrap_err(), CacheMiss::Forgotten);
}

/// Returns a cache of many objects.
fn large_cache(size: usize) -> KindCache {
    let mut cache = KindCache::default();
    let objects = (0..size).map(|number| object(&format!("o{number:06}"), 1));
    cache.apply(Some(ObjectUpdate::All(objects.collect())), 10);
    cache
}

#[test]
fn nobody_lists_again_after_a_mass_removal() {
    const SIZE: usize = 10_000;
    const REMOVED: usize = SIZE / 7;
    let mut cache = large_cache(SIZE);
    for number in 0..REMOVED {
        let removed = Change::Removed(format!("o{number:06}"));
        apply_changes(&mut cache, vec![removed], 11 + number as u64);
    }
    let (written, removed, _) = changes_since(&cache, 10).unwrap();
    assert_eq!((written.len(), removed.len()), (0, REMOVED));
}

#[test]
fn queries_for_changes_visit_the_changes_only() {
    let visits = |size: usize| {
        let mut cache = large_cache(size);
        let written = Change::Written(object("o000005", 12));
        let removed = Change::Removed("o000007".to_owned());
        apply_changes(&mut cache, vec![written, removed], 12);
        let (written, removed, _) = changes_since(&cache, 10).unwrap();
        assert_eq!((written.len(), removed.len()), (1, 1));
        let of_changes = cache.visits();
        let last = cache.list(Some(&format!("o{:06}", size - 2)), 10).unwrap();
        assert_eq!(last.objects.len(), 1);
        (of_changes, cache.visits() - of_changes)
    };
    for size in [100, 1_000, 10_000] {
        assert_eq!(visits(size), (2, 1), "{size} objects");
    }
}
