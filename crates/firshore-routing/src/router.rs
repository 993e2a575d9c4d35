//! Everything a node decides with when it sends a request to a back end.

use crate::affinity::{AffinityIndex, DEFAULT_BUCKETS, Match};
use crate::balance::{Choice, Decision, Features};
use crate::digest::LoadDigest;
use crate::eligibility::{EligibleSets, SetKey};
use crate::endpoint::{EndpointIndex, EndpointTable, Locality, Outcome};
use crate::load::LoadReport;
use crate::score::nominal_step;
use crate::speed::{FIRST_TOKEN_WEIGHT, Observation, TOKEN_GAP_WEIGHT};
use firshore_types::labels::Selector;
use firshore_types::machine::Machine;
use rand::RngExt;

/// A back end is full when it has this many times as many requests as slots: so many keep it busy
/// until the next report, and more would only wait where their priority counts at one engine.
pub const FULL_FACTOR: f32 = 2.0;

/// A request at a back end, to be handed back when it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    /// Back end.
    pub endpoint: EndpointIndex,
    /// When it was sent, in milliseconds.
    pub sent_at: u64,
    uncached_tokens: u32,
    nominal: f32,
    requests: f32,
    prefilled: bool,
}

/// The router.
#[derive(Debug)]
pub struct Router {
    /// Back ends.
    pub endpoints: EndpointTable,
    /// Prompt prefixes.
    pub affinity: AffinityIndex,
    sets: EligibleSets,
}

impl Router {
    /// A router of a node that stands at `locality`.
    pub fn new(locality: Locality) -> Self {
        Self {
            endpoints: EndpointTable::new(locality),
            affinity: AffinityIndex::new(DEFAULT_BUCKETS),
            sets: EligibleSets::default(),
        }
    }

    /// Brings the back ends in line with the machine list read at `now`.
    pub fn update(&mut self, now: u64, machines: &[Machine]) {
        self.endpoints.update(now, machines);
    }

    /// Chooses a back end that matches all of `selectors` and counts the request as sent to it.
    pub fn choose(
        &mut self,
        now: u64,
        selectors: &[&Selector],
        features: Features<'_>,
        random: &mut impl RngExt,
    ) -> Option<Sent> {
        let key = SetKey::of(selectors);
        let eligible = self.sets.get(&self.endpoints, key, selectors);
        let decision = Decision {
            table: &self.endpoints,
            eligible,
            features,
            prefix: self.affinity.lookup(features.blocks),
            now,
        };
        let choice = decision.choose(random)?;
        Some(self.count(now, features, choice))
    }

    /// Whether a back end that matches all of `selectors` has room at `now`: the best of a few has
    /// fewer requests than [`FULL_FACTOR`] times its slots. Also true when there is none at all,
    /// which waiting would not change.
    pub fn has_room(
        &mut self,
        now: u64,
        selectors: &[&Selector],
        random: &mut impl RngExt,
    ) -> bool {
        let key = SetKey::of(selectors);
        let eligible = self.sets.get(&self.endpoints, key, selectors);
        let decision = Decision {
            table: &self.endpoints,
            eligible,
            features: Features::default(),
            prefix: Match::default(),
            now,
        };
        let Some(choice) = decision.choose(random) else {
            return true;
        };
        let load = &self.endpoints.get(choice.endpoint).load;
        let requests = load.estimate(now, self.endpoints.mean_foreign()).requests;
        match load.report().slots {
            0 => true,
            slots => requests < slots as f32 * FULL_FACTOR,
        }
    }

    /// Takes in a digest of other nodes at `now`.
    pub fn digest(&mut self, now: u64, digest: &LoadDigest) {
        for entry in digest.entries() {
            let Some(index) = self.endpoints.find_hash(entry.name) else {
                continue;
            };
            let measured_at = now.saturating_sub(entry.age);
            self.endpoints.report(index, measured_at, entry.report);
            if entry.draining {
                self.endpoints.draining(now, index);
            }
        }
    }

    fn count(&mut self, now: u64, features: Features<'_>, choice: Choice) -> Sent {
        let mean = self.endpoints.mean_foreign();
        let endpoint = self.endpoints.get_mut(choice.endpoint);
        let requests = endpoint.load.estimate(now, mean).requests;
        endpoint.load.sent(now, choice.uncached_tokens);
        self.endpoints.observe_requests(requests);
        self.affinity.sent(features.blocks, choice.endpoint);
        Sent {
            endpoint: choice.endpoint,
            sent_at: now,
            uncached_tokens: choice.uncached_tokens,
            nominal: choice.score.nominal,
            requests,
            prefilled: false,
        }
    }

    /// Takes in the arrival of a request's first token.
    pub fn first_token(&mut self, now: u64, sent: &mut Sent) {
        if sent.prefilled {
            return;
        }
        sent.prefilled = true;
        let endpoint = self.endpoints.get_mut(sent.endpoint);
        endpoint.load.prefilled(sent.uncached_tokens);
        let observed = now.saturating_sub(sent.sent_at) as f32 - 2.0 * endpoint.distance;
        let observation = Observation {
            observed: observed.max(0.1),
            nominal: sent.nominal,
            weight: FIRST_TOKEN_WEIGHT,
        };
        self.endpoints
            .observe_speed(now, sent.endpoint, observation);
    }

    /// Takes in a request's mean time between tokens, in milliseconds.
    pub fn token_gap(&mut self, now: u64, sent: &Sent, milliseconds: f32) {
        let observation = Observation {
            observed: milliseconds,
            nominal: nominal_step(sent.requests),
            weight: TOKEN_GAP_WEIGHT,
        };
        self.endpoints
            .observe_speed(now, sent.endpoint, observation);
    }

    /// Counts a request as ended. Returns until when the back end is ejected if this ejected it.
    pub fn ended(&mut self, now: u64, sent: &Sent, outcome: Outcome) -> Option<u64> {
        let endpoint = self.endpoints.get_mut(sent.endpoint);
        if !sent.prefilled {
            endpoint.load.prefilled(sent.uncached_tokens);
        }
        endpoint.load.ended(now);
        self.endpoints.outcome(now, sent.endpoint, outcome)
    }

    /// Takes in a load report measured at `measured_at`.
    pub fn report(&mut self, endpoint: EndpointIndex, measured_at: u64, report: LoadReport) {
        self.endpoints.report(endpoint, measured_at, report);
    }

    /// Notes that the back end drains.
    pub fn draining(&mut self, now: u64, endpoint: EndpointIndex) {
        self.endpoints.draining(now, endpoint);
    }
}
