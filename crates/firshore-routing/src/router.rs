//! Combines the back end table, the prefix index and the eligible sets to route a node's requests.

use crate::affinity::{AffinityIndex, DEFAULT_BUCKETS, PrefixMatch};
use crate::balance::{EndpointChoice, EndpointChooser, RequestFeatures};
use crate::digest::LoadDigest;
use crate::eligibility::{EligibleSetCache, SelectorKey};
use crate::endpoint::{EndpointIndex, EndpointTable, Locality, Outcome};
use crate::load::LoadReport;
use crate::score::nominal_step_time;
use crate::speed::{FIRST_TOKEN_WEIGHT, SpeedObservation, TOKEN_GAP_WEIGHT};
use firshore_types::labels::Selector;
use firshore_types::machine::Machine;
use rand::RngExt;

/// Requests per slot at which a back end counts as full. Above 1, so that the back end stays busy
/// until its next report; further requests wait in the node's queue, where priorities apply across
/// all back ends.
pub const MAX_REQUESTS_PER_SLOT: f32 = 2.0;

/// A request that was sent to a back end, to be passed to [`Router::record_end`] when it ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentRequest {
    /// The back end.
    pub endpoint: EndpointIndex,
    /// Time of sending in milliseconds.
    pub sent_at: u64,
    uncached_tokens: u32,
    nominal: f32,
    requests: f32,
    prefilled: bool,
}

/// Routes requests to back ends. Times are in milliseconds.
#[derive(Debug)]
pub struct Router {
    /// The back ends.
    pub endpoints: EndpointTable,
    /// The index of prompt prefixes.
    pub affinity: AffinityIndex,
    sets: EligibleSetCache,
}

impl Router {
    /// Creates a router for a node at `locality`, without back ends.
    pub fn new(locality: Locality) -> Self {
        Self {
            endpoints: EndpointTable::new(locality),
            affinity: AffinityIndex::new(DEFAULT_BUCKETS),
            sets: EligibleSetCache::default(),
        }
    }

    /// Updates the back ends from the machine list read at `now`.
    pub fn update(&mut self, now: u64, machines: &[Machine]) {
        self.endpoints.update(now, machines);
    }

    /// Chooses a back end that matches all of `selectors` and records the request as sent to it.
    /// Returns `None` if no such back end is available.
    pub fn choose(
        &mut self,
        now: u64,
        selectors: &[&Selector],
        features: RequestFeatures<'_>,
        random: &mut impl RngExt,
    ) -> Option<SentRequest> {
        let key = SelectorKey::of(selectors);
        let eligible = self.sets.get_or_build(&self.endpoints, key, selectors);
        let chooser = EndpointChooser {
            table: &self.endpoints,
            eligible,
            features,
            prefix: self.affinity.lookup(features.blocks),
            now,
        };
        let choice = chooser.choose(random)?;
        Some(self.record_sent(now, features, choice))
    }

    /// Returns whether the best of a few back ends that match all of `selectors` has fewer requests
    /// than [`MAX_REQUESTS_PER_SLOT`] times its slots at `now`. Also returns `true` if no such back
    /// end is available, because waiting would not help, or if its slots are not reported.
    pub fn has_capacity(
        &mut self,
        now: u64,
        selectors: &[&Selector],
        random: &mut impl RngExt,
    ) -> bool {
        let key = SelectorKey::of(selectors);
        let eligible = self.sets.get_or_build(&self.endpoints, key, selectors);
        let chooser = EndpointChooser {
            table: &self.endpoints,
            eligible,
            features: RequestFeatures::default(),
            prefix: PrefixMatch::default(),
            now,
        };
        let Some(choice) = chooser.choose(random) else {
            return true;
        };
        let load = &self.endpoints.get(choice.endpoint).load;
        let requests = load
            .estimate(now, self.endpoints.mean_remote_requests())
            .requests;
        match load.report().slots {
            0 => true,
            slots => requests < slots as f32 * MAX_REQUESTS_PER_SLOT,
        }
    }

    /// Applies a load digest that was received from another node at `now`.
    pub fn apply_digest(&mut self, now: u64, digest: &LoadDigest) {
        for entry in digest.entries() {
            let Some(index) = self.endpoints.find_by_hash(entry.name) else {
                continue;
            };
            let measured_at = now.saturating_sub(entry.age);
            self.endpoints
                .record_report(index, measured_at, entry.report);
            if entry.draining {
                self.endpoints.record_draining(now, index);
            }
        }
    }

    fn record_sent(
        &mut self,
        now: u64,
        features: RequestFeatures<'_>,
        choice: EndpointChoice,
    ) -> SentRequest {
        let mean = self.endpoints.mean_remote_requests();
        let endpoint = self.endpoints.get_mut(choice.endpoint);
        let requests = endpoint.load.estimate(now, mean).requests;
        endpoint.load.record_sent(now, choice.uncached_tokens);
        self.endpoints.observe_requests(requests);
        self.affinity.record_sent(features.blocks, choice.endpoint);
        SentRequest {
            endpoint: choice.endpoint,
            sent_at: now,
            uncached_tokens: choice.uncached_tokens,
            nominal: choice.score.nominal,
            requests,
            prefilled: false,
        }
    }

    /// Records that a request's first token arrived at `now`. Later calls have no effect.
    pub fn record_first_token(&mut self, now: u64, sent: &mut SentRequest) {
        if sent.prefilled {
            return;
        }
        sent.prefilled = true;
        let endpoint = self.endpoints.get_mut(sent.endpoint);
        endpoint.load.record_prefill_end(sent.uncached_tokens);
        let observed = now.saturating_sub(sent.sent_at) as f32 - 2.0 * endpoint.distance;
        let observation = SpeedObservation {
            observed: observed.max(0.1),
            nominal: sent.nominal,
            weight: FIRST_TOKEN_WEIGHT,
        };
        self.endpoints
            .observe_speed(now, sent.endpoint, observation);
    }

    /// Records a request's mean time between tokens, in milliseconds.
    pub fn record_token_gap(&mut self, now: u64, sent: &SentRequest, milliseconds: f32) {
        let observation = SpeedObservation {
            observed: milliseconds,
            nominal: nominal_step_time(sent.requests),
            weight: TOKEN_GAP_WEIGHT,
        };
        self.endpoints
            .observe_speed(now, sent.endpoint, observation);
    }

    /// Records that a request ended at `now`. If the outcome causes an ejection of the back end,
    /// returns the time at which the ejection ends.
    pub fn record_end(&mut self, now: u64, sent: &SentRequest, outcome: Outcome) -> Option<u64> {
        let endpoint = self.endpoints.get_mut(sent.endpoint);
        if !sent.prefilled {
            endpoint.load.record_prefill_end(sent.uncached_tokens);
        }
        endpoint.load.record_end(now);
        self.endpoints.record_outcome(now, sent.endpoint, outcome)
    }

    /// Records a load report that was measured at `measured_at`.
    pub fn record_report(&mut self, endpoint: EndpointIndex, measured_at: u64, report: LoadReport) {
        self.endpoints.record_report(endpoint, measured_at, report);
    }

    /// Records that the back end reported at `now` that it is draining.
    pub fn record_draining(&mut self, now: u64, endpoint: EndpointIndex) {
        self.endpoints.record_draining(now, endpoint);
    }
}
