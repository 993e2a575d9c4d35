//! Exchange of back ends' paces between nodes: each node receives each pace once.

use firshore_node::pace_table::{BackendPace, PaceSource, PaceTable};
use std::time::{Duration, Instant};

fn paces(values: &[(&str, u32)]) -> Vec<BackendPace> {
    let paces = values.iter().map(|(backend, hundredths)| BackendPace {
        backend: (*backend).to_owned(),
        hundredths: *hundredths,
    });
    paces.collect()
}

fn sorted_updates(table: &mut PaceTable, now: Instant, client: &PaceSource) -> Vec<BackendPace> {
    let mut updates = table.take_updates(now, client);
    updates.sort_by_key(|one| one.backend.clone());
    updates
}

#[test]
fn each_pace_reaches_every_other_source_once() {
    let now = Instant::now();
    let [one, other] = ["one", "other"].map(|name| PaceSource::Node(name.into()));
    let mut table = PaceTable::default();
    table.record(now, &one, paces(&[("a", 160), ("b", 60)]));
    assert_eq!(
        sorted_updates(&mut table, now, &one),
        [],
        "a node does not receive its own reports"
    );
    assert_eq!(
        sorted_updates(&mut table, now, &other),
        paces(&[("a", 160), ("b", 60)])
    );
    assert_eq!(sorted_updates(&mut table, now, &other), []);
    table.record(now, &other, paces(&[("a", 400)]));
    assert_eq!(sorted_updates(&mut table, now, &one), paces(&[("a", 400)]));
    assert_eq!(
        sorted_updates(&mut table, now, &PaceSource::Leader),
        paces(&[("a", 400), ("b", 60)])
    );
}

#[test]
fn paces_of_the_leader_are_not_returned_to_it() {
    let now = Instant::now();
    let node = PaceSource::Node("one".into());
    let mut table = PaceTable::default();
    table.record(now, &PaceSource::Leader, paces(&[("a", 160)]));
    table.record(now, &node, paces(&[("b", 60)]));
    assert_eq!(
        sorted_updates(&mut table, now, &PaceSource::Leader),
        paces(&[("b", 60)])
    );
    assert_eq!(sorted_updates(&mut table, now, &node), paces(&[("a", 160)]));
}

#[test]
fn stale_and_empty_paces_are_not_forwarded() {
    let now = Instant::now();
    let [one, other] = ["one", "other"].map(|name| PaceSource::Node(name.into()));
    let mut table = PaceTable::default();
    table.record(now, &one, paces(&[("a", 160), ("b", 0)]));
    let later = now + Duration::from_millis(400);
    table.record(later, &one, paces(&[("c", 100)]));
    let much_later = now + Duration::from_millis(600);
    assert_eq!(
        sorted_updates(&mut table, much_later, &other),
        paces(&[("c", 100)])
    );
}
