//! Chooses the back end for a request: the best-scored of a few candidates, nearest tier first.
//!
//! Candidates are the back ends that probably hold the prompt's prefix and a few random ones. The
//! random choice prevents nodes with the same load reports from all choosing the same back end. A
//! more distant tier is considered only if an idle back end there could beat the best candidate so
//! far.

use crate::affinity::PrefixMatch;
use crate::eligibility::{EligibleSet, Tier};
use crate::endpoint::{EndpointIndex, EndpointTable};
use crate::score::{Score, predict};
use firshore_types::hash::WORDS_PER_BLOCK;
use rand::RngExt;

/// Number of random candidates per tier.
pub const RANDOM_CANDIDATES: usize = 4;

/// Maximum number of random draws per tier to find [`RANDOM_CANDIDATES`] usable back ends.
const MAX_DRAWS: usize = 12;

/// Factor of the mean load up to which a back end that holds the prefix is a candidate.
pub const AFFINITY_LOAD_FACTOR: f32 = 1.5;

/// Requests allowed on top of [`AFFINITY_LOAD_FACTOR`], so that low mean loads do not exclude
/// back ends that hold the prefix.
const AFFINITY_EXTRA_REQUESTS: f32 = 4.0;

/// The properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct RequestFeatures<'a> {
    /// Number of prompt tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's blocks.
    pub blocks: &'a [u64],
    /// Back ends of earlier attempts, which are excluded.
    pub tried: &'a [EndpointIndex],
}

/// A chosen back end and its score.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointChoice {
    /// The back end.
    pub endpoint: EndpointIndex,
    /// The predicted time to first token.
    pub score: Score,
    /// Prompt tokens that are probably not in its cache.
    pub uncached_tokens: u32,
}

/// The inputs of one choice.
pub struct EndpointChooser<'a> {
    /// All back ends.
    pub table: &'a EndpointTable,
    /// The back ends that may run the request.
    pub eligible: &'a EligibleSet,
    /// The properties of the request.
    pub features: RequestFeatures<'a>,
    /// The longest indexed prefix of the prompt.
    pub prefix: PrefixMatch,
    /// Current time in milliseconds.
    pub now: u64,
}

impl EndpointChooser<'_> {
    /// Returns the best candidate, or `None` if no eligible back end is available that was not tried
    /// before. Falls back to an ejected or skipped back end if there is no other.
    pub fn choose(&self, random: &mut impl RngExt) -> Option<EndpointChoice> {
        let mut best = None;
        for holder in self.prefix.holders() {
            if self.eligible.contains(holder) && self.below_affinity_limit(holder) {
                best = self.better_with(best, holder, random);
            }
        }
        for tier in &self.eligible.tiers {
            if self.beats_tier(best, tier) {
                break;
            }
            best = self.sample_tier(best, tier, random);
        }
        best.or_else(|| self.choose_any_available(random))
    }

    /// Returns whether `best` is at least as good as an idle back end of `tier` would be.
    fn beats_tier(&self, best: Option<EndpointChoice>, tier: &Tier) -> bool {
        let Some(best) = best else { return false };
        if tier.distance == 0.0 {
            return false;
        }
        let idle = crate::score::predict_idle(self.table, self.features.prompt_tokens as f32);
        best.score.expected <= idle + 2.0 * tier.distance
    }

    fn sample_tier(
        &self,
        mut best: Option<EndpointChoice>,
        tier: &Tier,
        random: &mut impl RngExt,
    ) -> Option<EndpointChoice> {
        let mut found = 0;
        for _ in 0..MAX_DRAWS {
            let index = tier.members[random.random_range(0..tier.members.len())];
            if !self.is_usable(index, random) {
                continue;
            }
            best = self.best_of(best, self.score_endpoint(index));
            found += 1;
            if found == RANDOM_CANDIDATES {
                break;
            }
        }
        if found == 0 {
            return self.scan_tier(best, tier, random);
        }
        best
    }

    fn scan_tier(
        &self,
        mut best: Option<EndpointChoice>,
        tier: &Tier,
        random: &mut impl RngExt,
    ) -> Option<EndpointChoice> {
        for index in &tier.members {
            best = self.better_with(best, *index, random);
        }
        best
    }

    /// Returns a random available back end regardless of its health, for when no healthy one is left.
    fn choose_any_available(&self, random: &mut impl RngExt) -> Option<EndpointChoice> {
        let mut best = None;
        let mut count = 0;
        for tier in &self.eligible.tiers {
            for index in &tier.members {
                let available = self.table.get(*index).is_available(self.now);
                if available && !self.features.tried.contains(index) {
                    count += 1;
                    if random.random_range(0..count) == 0 {
                        best = Some(self.score_endpoint(*index));
                    }
                }
            }
        }
        best
    }

    fn is_usable(&self, index: EndpointIndex, random: &mut impl RngExt) -> bool {
        let endpoint = self.table.get(index);
        endpoint.is_available(self.now)
            && !self.features.tried.contains(&index)
            && endpoint.health.admits(self.now, random)
    }

    fn better_with(
        &self,
        best: Option<EndpointChoice>,
        index: EndpointIndex,
        random: &mut impl RngExt,
    ) -> Option<EndpointChoice> {
        if !self.is_usable(index, random) {
            return best;
        }
        self.best_of(best, self.score_endpoint(index))
    }

    fn best_of(
        &self,
        best: Option<EndpointChoice>,
        other: EndpointChoice,
    ) -> Option<EndpointChoice> {
        match best {
            Some(best) if best.score.expected <= other.score.expected => Some(best),
            _ => Some(other),
        }
    }

    fn score_endpoint(&self, index: EndpointIndex) -> EndpointChoice {
        let cached = self.prefix.blocks_at(index) * WORDS_PER_BLOCK;
        let uncached_tokens = self.features.prompt_tokens.saturating_sub(cached as u32);
        let endpoint = self.table.get(index);
        EndpointChoice {
            endpoint: index,
            score: predict(self.table, endpoint, self.now, uncached_tokens as f32),
            uncached_tokens,
        }
    }

    fn below_affinity_limit(&self, index: EndpointIndex) -> bool {
        let mean = self.table.mean_remote_requests();
        let requests = self.table.get(index).load.estimate(self.now, mean).requests;
        requests <= AFFINITY_LOAD_FACTOR * self.table.mean_requests() + AFFINITY_EXTRA_REQUESTS
    }
}
