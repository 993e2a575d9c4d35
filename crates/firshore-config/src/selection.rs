//! Choice of the few peers that a node tells something, at random and zone-aware.

use crate::readers::Peer;
use firshore_types::ids::{InstanceId, RegionName};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Where a peer stands, seen from the own node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the own zone.
    Zone,
    /// In another zone of the own region.
    Region,
    /// In another region.
    Remote,
}

/// The own node, its peers, and the random numbers that choose among them.
#[derive(Debug)]
pub struct Selection {
    own: Peer,
    peers: Vec<Peer>,
    random: ChaCha8Rng,
}

impl Selection {
    /// A node without peers yet.
    pub fn new(own: Peer, seed: u64) -> Self {
        Self {
            own,
            peers: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The own node.
    pub fn own(&self) -> &Peer {
        &self.own
    }

    /// Replaces the peers; the own node among them is left out.
    pub fn set_peers(&mut self, mut peers: Vec<Peer>) {
        peers.retain(|peer| peer.instance != self.own.instance);
        self.peers = peers;
    }

    /// The own node and its peers.
    pub fn everyone(&self) -> impl Iterator<Item = &Peer> {
        self.peers.iter().chain(std::iter::once(&self.own))
    }

    fn distance(&self, peer: &Peer) -> Distance {
        if peer.region != self.own.region {
            Distance::Remote
        } else if peer.zone != self.own.zone {
            Distance::Region
        } else {
            Distance::Zone
        }
    }

    /// Up to `count` peers at a distance.
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

    /// One peer in each other region.
    pub fn one_in_each_other_region(&mut self) -> Vec<InstanceId> {
        let regions: BTreeSet<RegionName> = self
            .peers
            .iter()
            .map(|peer| peer.region.clone())
            .filter(|region| *region != self.own.region)
            .collect();
        let mut chosen = Vec::new();
        for region in regions {
            let inside: Vec<&Peer> = self
                .peers
                .iter()
                .filter(|peer| peer.region == region)
                .collect();
            chosen.extend(inside.choose(&mut self.random).map(|peer| peer.instance));
        }
        chosen
    }

    /// True once in `turns` calls, on average.
    pub fn happens_once_in(&mut self, turns: u32) -> bool {
        self.random.random_ratio(1, turns)
    }
}
