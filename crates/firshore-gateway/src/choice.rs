//! Chooses the back end of a service that runs a request. No I/O.
//!
//! Requests that share a prompt prefix go to the same back end from every gateway, without coordination: back
//! ends are ranked by a hash of the shared parts and their identity (rendezvous hashing, Thaler and Ravishankar
//! 1998), and the first that is not busy takes the request (bounded loads, Mirrokni, Thorup and Zadimoghaddam
//! 2018). Other requests are placed by load or free capacity, with a preference for the gateway's zone
//! ([`Placement`]).

use firshore_adapter::caller::PromptPart;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Load in requests per slot below which a back end takes requests by prefix affinity.
const AFFINITY_LOAD: f32 = 0.75;

/// Minimum number of shared tokens for prefix affinity. Processing fewer again takes less time than waiting at a
/// busier back end.
const MIN_SHARED_TOKENS: u64 = 1_000;

/// Load, in requests per slot, that is added to a back end in another zone.
const OTHER_ZONE_PENALTY: f32 = 0.1;

/// Back ends drawn at random inside and outside the gateway's zone, of which the least loaded is taken.
const SAME_ZONE_DRAWS: usize = 4;
const OTHER_ZONE_DRAWS: usize = 3;

/// Back ends drawn in total.
pub(crate) const TOTAL_DRAWS: usize = SAME_ZONE_DRAWS + OTHER_ZONE_DRAWS;

/// Weight of free capacity outside the gateway's zone.
const OTHER_ZONE_WEIGHT: f32 = 0.4;

/// Sum of free capacity, in back ends, below which placement by capacity is not used.
const MIN_CAPACITY: f32 = 0.1;

/// Load, in requests per slot, that a pace of 2 adds while slots are free.
const SLOWNESS_WEIGHT: f32 = 0.2;

/// Range of the random part of a score, so that gateways with the same view choose different back ends.
const JITTER: f32 = 0.06;

/// How requests without prefix affinity are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At the least loaded of a few drawn: for a node whose view is current.
    LeastLoaded,
    /// At random, in proportion to free capacity: for one of many nodes with similar, older views.
    ByCapacity,
}

/// Back end that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its name.
    pub identity: u64,
    /// Estimated load in requests per slot.
    pub load: f32,
    /// Factor by which work takes longer than typical; 1 if unknown.
    pub pace: f32,
    /// Fraction of its slots that become free before the next view; 0 if no pace is known.
    pub turnover: f32,
    /// Whether it is in the gateway's zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Returns the load of an equivalent back end of pace 1: while slots are free, the pace has little weight;
    /// requests beyond them wait longer by the pace.
    fn load_at_typical_pace(&self) -> f32 {
        let waiting = (self.load - 1.0).max(0.0);
        self.load + (waiting + SLOWNESS_WEIGHT) * (self.pace - 1.0)
    }

    /// Returns the fraction of its slots that is free before the next view, divided by the pace, so that back
    /// ends of any pace become equally full.
    fn free_capacity(&self) -> f32 {
        let freed = self.load.min(1.0) * self.turnover;
        (1.0 - self.load + freed).max(0.0) / self.pace
    }
}

/// Returns the hash of the prompt parts that a request shares with others: all but the last, unless it is the
/// only one. `None` if they hold too few tokens for affinity.
pub fn affinity_key(prompt: &[PromptPart]) -> Option<u64> {
    let shared = match prompt {
        [] => return None,
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
    if tokens < MIN_SHARED_TOKENS {
        return None;
    }
    let chain = |seed: u64, part: &PromptPart| xxh3_64_with_seed(&part.hash.to_le_bytes(), seed);
    Some(shared.iter().fold(0, chain))
}

/// Returns the index of the chosen candidate; `None` if there are no candidates.
pub fn choose(
    candidates: &[Candidate],
    affinity: Option<u64>,
    placement: Placement,
    random: &mut impl Rng,
) -> Option<usize> {
    if let Some(key) = affinity
        && let Some(found) = by_affinity(candidates, key)
    {
        return Some(found);
    }
    let by_capacity = match placement {
        Placement::ByCapacity => by_capacity(candidates, random),
        Placement::LeastLoaded => None,
    };
    by_capacity.or_else(|| by_load(candidates, random))
}

/// Draws a candidate with a probability in proportion to its free capacity. With an old view, the least loaded
/// back end would get most requests of all gateways (Mitzenmacher 2000, "How useful is old information?").
fn by_capacity(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let free_capacity = |candidate: &Candidate| {
        let weight = match candidate.same_zone {
            true => 1.0,
            false => OTHER_ZONE_WEIGHT,
        };
        candidate.free_capacity() * weight
    };
    let free = candidates
        .iter()
        .map(|candidate| (1.0 - candidate.load).max(0.0));
    if free.sum::<f32>() < MIN_CAPACITY {
        return None;
    }
    let all: f32 = candidates.iter().map(free_capacity).sum();
    let mut drawn = random.random_range(0.0..all);
    candidates.iter().position(|candidate| {
        drawn -= free_capacity(candidate);
        drawn < 0.0
    })
}

fn by_affinity(candidates: &[Candidate], key: u64) -> Option<usize> {
    let rank = |candidate: &Candidate| xxh3_64_with_seed(&candidate.identity.to_le_bytes(), key);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load_at_typical_pace() < AFFINITY_LOAD)
        .max_by_key(|(_, candidate)| rank(candidate))
        .map(|(position, _)| position)
}

/// Returns the least loaded of a few candidates drawn at random. Gateways with similar views would all choose the
/// least loaded of all (Mitzenmacher 2000, "How useful is old information?").
fn by_load(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let positions = |same_zone: bool| {
        let all = candidates.iter().enumerate();
        let fitting = all.filter(move |(_, candidate)| candidate.same_zone == same_zone);
        fitting.map(|(position, _)| position)
    };
    let mut drawn = positions(true).sample(random, SAME_ZONE_DRAWS);
    drawn.extend(positions(false).sample(random, OTHER_ZONE_DRAWS));
    let mut best: Option<(usize, f32)> = None;
    for position in drawn {
        let candidate = &candidates[position];
        let penalty = match candidate.same_zone {
            true => 0.0,
            false => OTHER_ZONE_PENALTY,
        };
        let score = candidate.load_at_typical_pace() + penalty + random.random_range(0.0..JITTER);
        if best.is_none_or(|(_, lowest)| score < lowest) {
            best = Some((position, score));
        }
    }
    best.map(|(position, _)| position)
}
