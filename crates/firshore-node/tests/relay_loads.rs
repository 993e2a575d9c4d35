//! Loads that nodes tell a relay, and what they learn from it.

mod cluster;

use cluster::*;
use firshore_adapter::backend::Incarnation;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::registry::Registry;
use firshore_node::load_table::BackendCount;
use firshore_node::relay::loads::LoadRelay;
use firshore_types::ids::NodeName;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

fn counts(counts: &[(&str, u32)]) -> Vec<BackendCount> {
    let counts = counts.iter().map(|(backend, count)| BackendCount {
        backend: (*backend).to_owned(),
        count: *count,
    });
    counts.collect()
}

fn picture(counts: &[(&str, u32)]) -> HashMap<Incarnation, u32> {
    let counts = counts.iter();
    let counts = counts.map(|(backend, count)| (Incarnation((*backend).to_owned()), *count));
    counts.collect()
}

fn sorted(mut counts: Vec<BackendCount>) -> Vec<(String, u32)> {
    counts.sort_by(|one, other| one.backend.cmp(&other.backend));
    counts
        .into_iter()
        .map(|one| (one.backend, one.count))
        .collect()
}

fn told(counts: &[(&str, u32)]) -> Vec<(String, u32)> {
    sorted(self::counts(counts))
}

#[test]
fn a_node_learns_what_its_zone_and_the_rest_have() {
    let relay = LoadRelay::default();
    let now = Instant::now();
    let first = relay.exchange(now, "n1".into(), counts(&[("a", 2)]), false);
    assert!(first.is_none(), "the leader has told nothing yet");
    relay.learned(now, picture(&[("a", 5), ("c", 1)]));
    let later = now + Duration::from_millis(40);
    let second = relay.exchange(later, "n2".into(), counts(&[("b", 3)]), false);
    let second = second.unwrap();
    assert_eq!(sorted(second.others), told(&[("a", 7), ("c", 1)]));
    assert_eq!((second.age, second.nodes), (Duration::from_millis(40), 2));
    let again = relay.exchange(later, "n1".into(), counts(&[("a", 1)]), false);
    let again = again.unwrap();
    assert_eq!(sorted(again.others), told(&[("a", 5), ("b", 3), ("c", 1)]));
    let sums = relay.sums(later).unwrap();
    assert_eq!(sorted(sums), told(&[("a", 1), ("b", 3)]));
}

#[test]
fn an_old_picture_is_not_passed_on() {
    let relay = LoadRelay::default();
    let now = Instant::now();
    relay.learned(now, picture(&[("a", 5)]));
    let later = now + Duration::from_secs(1);
    assert!(
        relay
            .exchange(later, "n1".into(), Vec::new(), false)
            .is_none()
    );
    relay.learned(later, picture(&[("a", 4)]));
    assert!(
        relay
            .exchange(later, "n1".into(), Vec::new(), false)
            .is_some()
    );
}

#[test]
fn nodes_that_say_no_more_are_forgotten() {
    let relay = LoadRelay::default();
    let now = Instant::now();
    assert!(relay.sums(now).is_none());
    relay.exchange(now, "n1".into(), counts(&[("a", 2)]), false);
    assert!(relay.sums(now).is_some());
    assert!(relay.sums(now + Duration::from_secs(5)).is_none());
}

fn node(name: &str, store: &Rc<firshore_stand_in::store::MemoryStore>) -> JournalClient {
    let registry = Rc::new(Registry::new(store.clone(), log()));
    JournalClient::new(name.into(), registry, peers(), log())
}

#[test]
fn nodes_of_different_relays_learn_of_each_other_through_the_leader() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.submit("job", 1).await;
        cluster.whole().await;
        let leader = cluster.leader().await;
        let relays: Vec<usize> = (0..3).filter(|number| *number != leader).collect();
        let names = relays
            .iter()
            .map(|number| format!("n{number}").as_str().into());
        let names: Vec<NodeName> = names.collect();
        let (one, other) = (node("one", &cluster.store), node("other", &cluster.store));
        // Any question makes them list the nodes.
        one.tell_leader(Vec::new(), false, false).await;
        other.tell_leader(Vec::new(), false, false).await;
        loop {
            let at_one = one.tell_relay(&names[0], counts(&[("a", 2)]), false);
            let at_other = other.tell_relay(&names[1], counts(&[("b", 3)]), false);
            let (at_one, at_other) = (at_one.await, at_other.await);
            let knows = |told: Option<_>, expected: &[(&str, u32)]| {
                told.is_some_and(|told: firshore_node::journal::client::OthersLoad| {
                    told.counts == picture(expected)
                })
            };
            if knows(at_one, &[("b", 3)]) && knows(at_other, &[("a", 2)]) {
                break;
            }
            pause().await;
        }
        let known = cluster.nodes[leader].as_ref().unwrap();
        let sums = known.journal.loads.table.borrow().sums().clone();
        assert_eq!(sums, picture(&[("a", 2), ("b", 3)]));
        assert_eq!(known.journal.loads.table.borrow().nodes(), 2, "relays only");
    });
}
