//! Selection of relays by the size of a zone.

use firshore_log::placement::Candidate;
use firshore_node::load_table::{BackendCount, LoadTable};
use firshore_node::relay::ranking;
use firshore_replication::types::DiskId;
use firshore_types::ids::NodeName;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Nodes that serve callers for each node with a disk.
const CLIENTS_PER_DISK: usize = 6;

fn candidates(disks: usize) -> Vec<Candidate> {
    let candidates = (0..disks).map(|number| Candidate {
        disk: DiskId(number as u64),
        node: format!("disk-{number}").as_str().into(),
        zone: "z".into(),
    });
    candidates.collect()
}

/// Returns the number of nodes that prefer the busiest relay of a zone.
fn clients_of_busiest_relay(disks: usize) -> usize {
    let candidates = candidates(disks);
    let mut clients: HashMap<NodeName, usize> = HashMap::new();
    for number in 0..disks * CLIENTS_PER_DISK {
        let client = format!("front-{number}").as_str().into();
        let order = ranking::order(&candidates, &"z".into(), &client);
        *clients.entry(order[0].clone()).or_default() += 1;
    }
    clients.into_values().max().unwrap()
}

#[test]
fn nodes_of_a_relay_do_not_grow_with_the_zone() {
    let small = clients_of_busiest_relay(30);
    for disks in [60, 120, 240] {
        let clients = clients_of_busiest_relay(disks);
        assert!(
            clients < small * 5 / 4,
            "{clients} with {disks} disks, {small} with 30"
        );
    }
}

#[test]
fn small_zones_have_two_relays() {
    for disks in [2, 9, 29] {
        let relays = ranking::relays(&candidates(disks));
        assert_eq!(relays[&"z".into()].len(), 2, "{disks} disks");
    }
}

#[test]
fn expired_reports_of_many_nodes_are_removed_and_repeated_ones_stay() {
    let counts = |count| {
        vec![BackendCount {
            backend: "a".to_owned(),
            count,
        }]
    };
    let start = Instant::now();
    let mut table = LoadTable::default();
    for number in 0..100 {
        let node = format!("n{number}").as_str().into();
        table.record(start, node, counts(1));
    }
    let later = start + Duration::from_secs(1);
    table.record(later, "n7".into(), counts(2));
    table.record(later, "n7".into(), counts(3));
    assert_eq!((table.nodes(), table.sums()[&"a".into()]), (100, 102));
    table.remove_expired(start + Duration::from_millis(1_500));
    assert_eq!((table.nodes(), table.sums()[&"a".into()]), (1, 3));
    table.remove_expired(later + Duration::from_millis(1_500));
    assert_eq!((table.nodes(), table.sums().len()), (0, 0));
}
