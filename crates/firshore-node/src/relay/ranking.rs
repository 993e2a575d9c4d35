//! Selects the nodes that relay the object store, and the order in which a node queries them. No
//! I/O.
//!
//! All nodes rank the nodes with disks of each zone by the same hash (rendezvous hashing, Thaler
//! and Ravishankar 1998). They select the same few relays without communication, and only these
//! watch the store.

use firshore_log::placement::Candidate;
use firshore_types::ids::{NodeName, ZoneName};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Minimum number of relays in each zone; a second one, so that one may be lost.
const MIN_RELAYS_PER_ZONE: usize = 2;

/// Nodes with disks in a zone for each relay. The nodes of a zone that serve callers grow with those that have disks,
/// so the nodes of one relay don't grow with the zone.
const DISKS_PER_RELAY: usize = 15;

/// Maximum number of relays that a node queries before it treats all as unresponsive.
const MAX_QUERIED: usize = 4;

fn rank(zone: &ZoneName, node: &NodeName) -> u64 {
    xxh3_64(format!("{zone}/{node}").as_bytes())
}

fn preference(client: &NodeName, relay: &NodeName) -> u64 {
    xxh3_64(format!("{client}>{relay}").as_bytes())
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
        nodes.truncate(MIN_RELAYS_PER_ZONE.max(nodes.len() / DISKS_PER_RELAY));
    }
    zones
}

/// Returns the relays of a node's local zone, in the order in which it queries them.
pub fn local_relays(candidates: &[Candidate], zone: &ZoneName, client: &NodeName) -> Vec<NodeName> {
    let mut relays = relays(candidates).remove(zone).unwrap_or_default();
    relays.sort_by_key(|relay| preference(client, relay));
    relays
}

/// Returns the relays that a node queries, in order: those of its zone first, each preferred by an
/// equal fraction of the zone's nodes, then some of other zones.
pub fn order(candidates: &[Candidate], zone: &ZoneName, client: &NodeName) -> Vec<NodeName> {
    let mut relays = relays(candidates);
    let mut order = relays.remove(zone).unwrap_or_default();
    order.sort_by_key(|relay| preference(client, relay));
    let mut others: Vec<NodeName> = relays.into_values().flatten().collect();
    others.sort_by_key(|relay| preference(client, relay));
    order.extend(others);
    order.truncate(MAX_QUERIED);
    order
}
