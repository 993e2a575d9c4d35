//! Chooses a back end: the zone first, and in it the best of a few candidates.
//!
//! Candidates are the back ends that probably hold the prompt's prefix and a few random ones, so
//! that nodes with the same reports do not all choose the same back end. Another zone is looked at
//! only when the own zone's best is worse than a distant one could be.

use crate::affinity::Match;
use crate::eligibility::{EligibleSet, Tier};
use crate::endpoint::{EndpointIndex, EndpointTable};
use crate::score::{Score, score};
use firshore_types::hash::WORDS_PER_BLOCK;
use rand::RngExt;

/// Random candidates in each tier.
pub const RANDOM_CANDIDATES: usize = 4;

/// Draws until that many usable random candidates must have been found.
const MAXIMUM_DRAWS: usize = 12;

/// A holder of the prefix is passed over when its load exceeds the mean by this factor.
pub const AFFINITY_LOAD_CAP: f32 = 1.5;

/// Requests above the mean that a holder of the prefix may always have.
const AFFINITY_LOAD_ALLOWANCE: f32 = 4.0;

/// What the choice depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Features<'a> {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Back ends already tried.
    pub tried: &'a [EndpointIndex],
}

/// A chosen back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choice {
    /// The back end.
    pub endpoint: EndpointIndex,
    /// Its score.
    pub score: Score,
    /// Prompt tokens that it must process.
    pub uncached_tokens: u32,
}

/// One decision's inputs.
pub struct Decision<'a> {
    /// Back ends.
    pub table: &'a EndpointTable,
    /// Those that may run the request.
    pub eligible: &'a EligibleSet,
    /// The request.
    pub features: Features<'a>,
    /// Deepest known prefix.
    pub prefix: Match,
    /// Milliseconds.
    pub now: u64,
}

impl Decision<'_> {
    /// Chooses, or `None` when no eligible back end takes work.
    pub fn choose(&self, random: &mut impl RngExt) -> Option<Choice> {
        let mut best = None;
        for holder in self.prefix.holders() {
            if self.eligible.contains(holder) && self.below_load_cap(holder) {
                best = self.better(best, holder, random);
            }
        }
        for tier in &self.eligible.tiers {
            if self.beats_distance(best, tier) {
                break;
            }
            best = self.sample(best, tier, random);
        }
        best.or_else(|| self.last_resort(random))
    }

    /// Whether even an idle back end of `tier` would be no better than `best`.
    fn beats_distance(&self, best: Option<Choice>, tier: &Tier) -> bool {
        let Some(best) = best else { return false };
        if tier.distance == 0.0 {
            return false;
        }
        let idle = crate::score::idle(self.table, self.features.prompt_tokens as f32);
        best.score.expected <= idle + 2.0 * tier.distance
    }

    fn sample(
        &self,
        mut best: Option<Choice>,
        tier: &Tier,
        random: &mut impl RngExt,
    ) -> Option<Choice> {
        let mut found = 0;
        for _ in 0..MAXIMUM_DRAWS {
            let index = tier.members[random.random_range(0..tier.members.len())];
            if !self.usable(index, random) {
                continue;
            }
            best = self.best_of(best, self.scored(index));
            found += 1;
            if found == RANDOM_CANDIDATES {
                break;
            }
        }
        if found == 0 {
            return self.scan(best, tier, random);
        }
        best
    }

    fn scan(
        &self,
        mut best: Option<Choice>,
        tier: &Tier,
        random: &mut impl RngExt,
    ) -> Option<Choice> {
        for index in &tier.members {
            best = self.better(best, *index, random);
        }
        best
    }

    /// Any back end that is available, ejected or not, when none else is left.
    fn last_resort(&self, random: &mut impl RngExt) -> Option<Choice> {
        let mut best = None;
        let mut seen = 0;
        for tier in &self.eligible.tiers {
            for index in &tier.members {
                let available = self.table.get(*index).available(self.now);
                if available && !self.features.tried.contains(index) {
                    seen += 1;
                    if random.random_range(0..seen) == 0 {
                        best = Some(self.scored(*index));
                    }
                }
            }
        }
        best
    }

    fn usable(&self, index: EndpointIndex, random: &mut impl RngExt) -> bool {
        let endpoint = self.table.get(index);
        endpoint.available(self.now)
            && !self.features.tried.contains(&index)
            && endpoint.health.admits(self.now, random)
    }

    fn better(
        &self,
        best: Option<Choice>,
        index: EndpointIndex,
        random: &mut impl RngExt,
    ) -> Option<Choice> {
        if !self.usable(index, random) {
            return best;
        }
        self.best_of(best, self.scored(index))
    }

    fn best_of(&self, best: Option<Choice>, other: Choice) -> Option<Choice> {
        match best {
            Some(best) if best.score.expected <= other.score.expected => Some(best),
            _ => Some(other),
        }
    }

    fn scored(&self, index: EndpointIndex) -> Choice {
        let cached = self.prefix.blocks_at(index) * WORDS_PER_BLOCK;
        let uncached_tokens = self.features.prompt_tokens.saturating_sub(cached as u32);
        let endpoint = self.table.get(index);
        Choice {
            endpoint: index,
            score: score(self.table, endpoint, self.now, uncached_tokens as f32),
            uncached_tokens,
        }
    }

    fn below_load_cap(&self, index: EndpointIndex) -> bool {
        let mean = self.table.mean_foreign();
        let requests = self.table.get(index).load.estimate(self.now, mean).requests;
        requests <= AFFINITY_LOAD_CAP * self.table.mean_requests() + AFFINITY_LOAD_ALLOWANCE
    }
}
