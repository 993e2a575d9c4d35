//! Paces of back ends on their way between nodes: each figure reaches everybody once.

use firshore_node::pace_table::{BackendPace, PaceSource, PaceTable};
use std::time::{Duration, Instant};

fn paces(told: &[(&str, u32)]) -> Vec<BackendPace> {
    let paces = told.iter().map(|(backend, hundredths)| BackendPace {
        backend: (*backend).to_owned(),
        hundredths: *hundredths,
    });
    paces.collect()
}

fn news(table: &mut PaceTable, now: Instant, asker: &PaceSource) -> Vec<BackendPace> {
    let mut news = table.take_updates(now, asker);
    news.sort_by_key(|one| one.backend.clone());
    news
}

#[test]
fn each_figure_reaches_everybody_else_once() {
    let now = Instant::now();
    let [one, other] = ["one", "other"].map(|name| PaceSource::Node(name.into()));
    let mut table = PaceTable::default();
    table.record(now, &one, paces(&[("a", 160), ("b", 60)]));
    assert_eq!(news(&mut table, now, &one), [], "it heard them itself");
    assert_eq!(
        news(&mut table, now, &other),
        paces(&[("a", 160), ("b", 60)])
    );
    assert_eq!(news(&mut table, now, &other), []);
    table.record(now, &other, paces(&[("a", 400)]));
    assert_eq!(news(&mut table, now, &one), paces(&[("a", 400)]));
    assert_eq!(
        news(&mut table, now, &PaceSource::Leader),
        paces(&[("a", 400), ("b", 60)])
    );
}

#[test]
fn what_the_leader_told_is_not_told_back_to_it() {
    let now = Instant::now();
    let node = PaceSource::Node("one".into());
    let mut table = PaceTable::default();
    table.record(now, &PaceSource::Leader, paces(&[("a", 160)]));
    table.record(now, &node, paces(&[("b", 60)]));
    assert_eq!(
        news(&mut table, now, &PaceSource::Leader),
        paces(&[("b", 60)])
    );
    assert_eq!(news(&mut table, now, &node), paces(&[("a", 160)]));
}

#[test]
fn old_figures_and_those_that_say_nothing_are_not_passed_on() {
    let now = Instant::now();
    let [one, other] = ["one", "other"].map(|name| PaceSource::Node(name.into()));
    let mut table = PaceTable::default();
    table.record(now, &one, paces(&[("a", 160), ("b", 0)]));
    let later = now + Duration::from_millis(400);
    table.record(later, &one, paces(&[("c", 100)]));
    let much_later = now + Duration::from_millis(600);
    assert_eq!(news(&mut table, much_later, &other), paces(&[("c", 100)]));
}
