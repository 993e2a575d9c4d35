//! Which nodes relay what the store holds, and in which order a node asks them. No I/O.
//!
//! Every node ranks the nodes with disks of each zone by the same hash (rendezvous hashing, Thaler and
//! Ravishankar 1998), so that all of a zone meet at the same few without talk, and only these watch the
//! store.

use firshore_log::placement::Candidate;
use firshore_types::ids::{NodeName, ZoneName};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Relays in each zone, so that one may go.
const RELAYS_PER_ZONE: usize = 2;

/// Relays that a node asks at most, one after the other, before it takes all for gone.
const MOST_ASKED: usize = 4;

fn rank(zone: &ZoneName, node: &NodeName) -> u64 {
    xxh3_64(format!("{zone}/{node}").as_bytes())
}

fn preference(asker: &NodeName, relay: &NodeName) -> u64 {
    xxh3_64(format!("{asker}>{relay}").as_bytes())
}

/// Returns the relays of each zone.
pub fn relays(candidates: &[Candidate]) -> BTreeMap<ZoneName, Vec<NodeName>> {
    let mut zones: BTreeMap<ZoneName, Vec<NodeName>> = BTreeMap::new();
    for candidate in candidates {
        let nodes = zones.entry(candidate.zone.clone()).or_default();
        nodes.push(candidate.node.clone());
    }
    for (zone, nodes) in &mut zones {
        nodes.sort_by_key(|node| Reverse(rank(zone, node)));
        nodes.truncate(RELAYS_PER_ZONE);
    }
    zones
}

/// Returns the relays of a node's own zone, in the order in which it asks them.
pub fn local_relays(candidates: &[Candidate], zone: &ZoneName, asker: &NodeName) -> Vec<NodeName> {
    let mut relays = relays(candidates).remove(zone).unwrap_or_default();
    relays.sort_by_key(|relay| preference(asker, relay));
    relays
}

/// Returns the relays that a node asks, in this order: those of its own zone first, each preferred by
/// its share of the zone's nodes, then some of other zones.
pub fn order(candidates: &[Candidate], zone: &ZoneName, asker: &NodeName) -> Vec<NodeName> {
    let mut relays = relays(candidates);
    let mut order = relays.remove(zone).unwrap_or_default();
    order.sort_by_key(|relay| preference(asker, relay));
    let mut others: Vec<NodeName> = relays.into_values().flatten().collect();
    others.sort_by_key(|relay| preference(asker, relay));
    order.extend(others);
    order.truncate(MOST_ASKED);
    order
}
