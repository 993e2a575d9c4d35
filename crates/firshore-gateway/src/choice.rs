//! Which back end of a service runs a request. No I/O.
//!
//! Requests that share the beginning of a prompt meet at the same back end from every gateway
//! without talk: back ends are ranked by a hash of the shared parts and their identity
//! (rendezvous hashing, Thaler and Ravishankar 1998), and the first that is not busy takes it
//! (bounded loads, Mirrokni, Thorup and Zadimoghaddam 2018). Other requests go where there is room,
//! rather at home ([`Placement`]).

use firshore_adapter::caller::PromptPart;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Load up to which a back end keeps the requests that its hash draws.
const AFFINITY_LOAD: f32 = 0.75;

/// Shared tokens from which on requests are to meet. Fewer are read anew within some milliseconds,
/// which is less than a request loses at a back end that is busier than others.
const LEAST_SHARED_TOKENS: u64 = 1_000;

/// Load that another zone's distance weighs.
const OTHER_ZONE_PENALTY: f32 = 0.1;

/// Back ends drawn in the gateway's zone and outside of it, of which the least loaded is taken.
const DRAWN_AT_HOME: usize = 4;
const DRAWN_ELSEWHERE: usize = 3;

/// Back ends drawn.
pub(crate) const DRAWN: usize = DRAWN_AT_HOME + DRAWN_ELSEWHERE;

/// Weight of room outside of the gateway's zone.
const ELSEWHERE_WEIGHT: f32 = 0.4;

/// Room in back ends below which it says nothing.
const LEAST_ROOM: f32 = 0.1;

/// Load that a pace of twice the usual time weighs while slots are free.
const SLOWNESS_WEIGHT: f32 = 0.2;

/// Width of the random part of a score, so that gateways with the same picture do not all choose
/// the same back end.
const JITTER: f32 = 0.06;

/// How requests without a shared beginning are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// At the least loaded of a few drawn: for a node whose picture is current.
    LeastLoaded,
    /// At random, as the room is: for one of many nodes, whose pictures are alike and a while old.
    ByCapacity,
}

/// A back end that may take the request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Hash of its identity.
    pub identity: u64,
    /// Requests that it is believed to hold, per slot.
    pub load: f32,
    /// How many times the usual time work takes there; 1 where that is not known.
    pub pace: f32,
    /// Part of its slots that come free before the next picture; 0 where no pace is known.
    pub turnover: f32,
    /// Whether it stands in the gateway's zone.
    pub same_zone: bool,
}

impl Candidate {
    /// Load of a back end of usual pace that is worth as much: up to its slots the time that a slow one takes
    /// weighs little, what waits beyond them waits as many times longer.
    fn load_at_usual_pace(&self) -> f32 {
        let waiting = (self.load - 1.0).max(0.0);
        self.load + (waiting + SLOWNESS_WEIGHT) * (self.pace - 1.0)
    }

    /// Part of its slots that is free before the next picture, as many as a back end of usual pace would need
    /// to get through as much: back ends of any pace are then equally full.
    fn room(&self) -> f32 {
        let freed = self.load.min(1.0) * self.turnover;
        (1.0 - self.load + freed).max(0.0) / self.pace
    }
}

/// The hash under which requests that share the beginning of their prompt meet: of all parts but
/// the last, which is the request's own.
pub fn affinity_key(prompt: &[PromptPart]) -> Option<u64> {
    let shared = match prompt {
        [] => return None,
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
    if tokens < LEAST_SHARED_TOKENS {
        return None;
    }
    let chain = |seed: u64, part: &PromptPart| xxh3_64_with_seed(&part.hash.to_le_bytes(), seed);
    Some(shared.iter().fold(0, chain))
}

/// Position of the candidate to take; `None` if there is none.
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
    let by_room = match placement {
        Placement::ByCapacity => by_room(candidates, random),
        Placement::LeastLoaded => None,
    };
    by_room.or_else(|| by_load(candidates, random))
}

/// One drawn at random, each as likely as it has room: what all gateways together send within the age
/// of their picture then spreads as the room does, where the least loaded of many would draw most of
/// it (Mitzenmacher 2000, "How useful is old information?").
fn by_room(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let room = |candidate: &Candidate| {
        let weight = match candidate.same_zone {
            true => 1.0,
            false => ELSEWHERE_WEIGHT,
        };
        candidate.room() * weight
    };
    let free = candidates
        .iter()
        .map(|candidate| (1.0 - candidate.load).max(0.0));
    if free.sum::<f32>() < LEAST_ROOM {
        return None;
    }
    let all: f32 = candidates.iter().map(room).sum();
    let mut drawn = random.random_range(0.0..all);
    candidates.iter().position(|candidate| {
        drawn -= room(candidate);
        drawn < 0.0
    })
}

fn by_affinity(candidates: &[Candidate], key: u64) -> Option<usize> {
    let rank = |candidate: &Candidate| xxh3_64_with_seed(&candidate.identity.to_le_bytes(), key);
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.load_at_usual_pace() < AFFINITY_LOAD)
        .max_by_key(|(_, candidate)| rank(candidate))
        .map(|(position, _)| position)
}

/// The least loaded of a few drawn at random: gateways whose pictures are alike and a moment old would
/// all choose the least loaded of all (Mitzenmacher 2000, "How useful is old information?").
fn by_load(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let positions = |at_home: bool| {
        let all = candidates.iter().enumerate();
        let fitting = all.filter(move |(_, candidate)| candidate.same_zone == at_home);
        fitting.map(|(position, _)| position)
    };
    let mut drawn = positions(true).sample(random, DRAWN_AT_HOME);
    drawn.extend(positions(false).sample(random, DRAWN_ELSEWHERE));
    let mut best: Option<(usize, f32)> = None;
    for position in drawn {
        let candidate = &candidates[position];
        let distance = match candidate.same_zone {
            true => 0.0,
            false => OTHER_ZONE_PENALTY,
        };
        let score = candidate.load_at_usual_pace() + distance + random.random_range(0.0..JITTER);
        if best.is_none_or(|(_, lowest)| score < lowest) {
            best = Some((position, score));
        }
    }
    best.map(|(position, _)| position)
}
