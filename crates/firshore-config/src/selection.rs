//! Random, zone-aware selection of the peers that receive a message.

use crate::readers::Peer;
use firshore_types::ids::{InstanceId, RegionName};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Topological distance of a peer from the local node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the local zone.
    Zone,
    /// In another zone of the local region.
    Region,
    /// In another region.
    Remote,
}

/// Local node, its peers, and the random generator that selects among them.
#[derive(Debug)]
pub struct Selection {
    local: Peer,
    peers: Vec<Peer>,
    random: ChaCha8Rng,
}

impl Selection {
    /// Creates a selection without peers.
    pub fn new(local: Peer, seed: u64) -> Self {
        Self {
            local,
            peers: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the local node.
    pub fn local(&self) -> &Peer {
        &self.local
    }

    /// Replaces the peers; the local node is excluded.
    pub fn set_peers(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.instance != self.local.instance);
        self.peers = peers;
    }

    /// Iterates over the local node and its peers.
    pub fn members(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().chain(std::iter::once(&self.local))
    }

    fn distance(&self, peer: &Peer) -> Distance {
        if peer.region != self.local.region {
            Distance::Remote
        } else if peer.zone != self.local.zone {
            Distance::Region
        } else {
            Distance::Zone
        }
    }

    /// Returns up to `count` random peers at `distance`.
    pub fn choose(&mut self, count: usize, distance: Distance) -> Vec<InstanceId> {
        let candidates: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|peer| self.distance(peer) == distance)
            .map(|peer| peer.instance)
            .collect();
        candidates
            .sample(&mut self.random, count)
            .copied()
            .collect()
    }

    /// Returns one random peer in each other region.
    pub fn one_in_each_other_region(&mut self) -> Vec<InstanceId> {
        let regions: BTreeSet<RegionName> = self
            .peers
            .iter()
            .map(|peer| peer.region.clone())
            .filter(|region| *region != self.local.region)
            .collect();
        let mut chosen = Vec::new();
        for region in regions {
            let candidates: Vec<&Peer> = self
                .peers
                .iter()
                .filter(|peer| peer.region == region)
                .collect();
            chosen.extend(
                candidates
                    .choose(&mut self.random)
                    .map(|peer| peer.instance),
            );
        }
        chosen
    }

    /// Returns `true` once in `mean_calls` calls on average.
    pub fn happens_once_in(&mut self, mean_calls: u32) -> bool {
        self.random.random_ratio(1, mean_calls)
    }
}
