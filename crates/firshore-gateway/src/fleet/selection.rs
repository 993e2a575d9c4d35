//! Selects back ends for requests, and reports the capacity that is available to a request.

use super::service_stats::ServiceStats;
use super::state::BackendState;
use super::{BackendRequirements, Fleet};
use crate::choice::{self, Candidate, Placement};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::text_origin::TextOrigin;
use firshore_admission::admission::CapacityOutlook;
use firshore_types::ids::ServiceName;
use rand::{Rng, RngExt};
use std::time::{Duration, Instant};

/// Maximum age of a view, and interval between views, at which the least loaded back end is likely to be still the
/// least loaded when a request arrives there. Measured: at 100 ms with 6 gateways the least loaded is the better choice
/// (by 0.009 of worth), at 177 ms with 53 placement by capacity is (by 0.02).
const MAX_CURRENT_VIEW_AGE: Duration = Duration::from_millis(140);

/// Maximum age at which a view shows the free capacity. A burst fills all slots in about this time.
const MAX_USABLE_VIEW_AGE: Duration = Duration::from_millis(600);

/// Number of back ends of a large service that are considered for a request. The error of the free capacity that
/// they show is about 3 in 100; the work of a request doesn't grow with the service.
const SAMPLE_SIZE: usize = 256;

/// Fraction of a service's slots in use from which it counts as full.
const FULL_OCCUPANCY: f32 = 0.9;

/// Fraction of a service's capacity above which nodes may take any free capacity: more than all nodes take
/// between two views.
const PLENTY_FRACTION: f32 = 0.25;

/// The same without a usable view. Higher, because reports of back ends alone show a burst late.
const REPORTED_PLENTY_FRACTION: f32 = 0.5;

/// Estimated free capacity of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CapacitySupply {
    /// Expected wait of a request, from a current view that shows it to begin in time; without views and reports,
    /// from the wait of this node's recent requests.
    Wait(Duration),
    /// By another view or by reports, there is enough that nodes may take any of it.
    Plenty,
    /// There is so little that each node takes only the slots in its claims.
    Scarce,
    /// Without views, reports and recent responses.
    Unknown,
}

impl Fleet {
    /// Returns the back ends that may run a request, without ejected and unresponsive ones if there are others. Of a
    /// large service these are a sample, whose position is that of its affinity or changes with each request.
    fn usable(&self, now: Instant, requirements: &BackendRequirements<'_>) -> Vec<&BackendState> {
        let Some(index) = self.index.service(requirements.service) else {
            return Vec::new();
        };
        let visit = |names: &mut dyn Iterator<Item = &BackendName>| -> Vec<&BackendState> {
            let states = names.filter_map(|name| self.visit(name));
            states
                .filter(|state| self.may_run(now, state, requirements))
                .collect()
        };
        if index.len() <= SAMPLE_SIZE {
            return trusted(now, visit(&mut index.names()));
        }
        let start = requirements.affinity.unwrap_or(self.ring_position.get());
        let mut ring = index.ring_from(start);
        // A request that may run on no further back end is sent again to one that was tried.
        let mut tried = requirements.attempts.tried().map(|tried| &tried.name);
        let mut usable = visit(&mut tried);
        for _ in 0..index.len().div_ceil(SAMPLE_SIZE) {
            usable.extend(visit(&mut ring.by_ref().take(SAMPLE_SIZE)));
            // The rest is visited only where a whole sample is unusable, such as that of a lost zone.
            if usable.iter().any(|state| state.is_trusted(now)) {
                break;
            }
        }
        usable.sort_by(|one, other| {
            one.backend
                .incarnation
                .name
                .cmp(&other.backend.incarnation.name)
        });
        usable.dedup_by(|one, other| one.backend.incarnation == other.backend.incarnation);
        trusted(now, usable)
    }

    /// Returns whether no rule and no earlier attempt forbids a request to a back end.
    fn may_run(
        &self,
        now: Instant,
        state: &BackendState,
        requirements: &BackendRequirements<'_>,
    ) -> bool {
        requirements.attempts.allows(&state.backend.incarnation)
            && !state.backend.leaving
            && requirements
                .origin
                .is_none_or(|origin| origin.allows(&state.backend))
            && self.may_send_to(now, state, requirements.residency)
    }

    /// Returns whether no rule forbids a request to a back end: its zone is allowed and not drained, and if it is
    /// cold, there is a permit.
    fn may_send_to(&self, now: Instant, state: &BackendState, residency: &ResidencyPermit) -> bool {
        let zone = &state.backend.zone;
        residency.allows(zone)
            && self.zone_drains.allows(zone)
            && (!state.is_cold(now) || self.slow_start.allows(now, &state.backend))
    }

    pub(super) fn stats(&self, service: &ServiceName) -> ServiceStats {
        self.service_stats.get(service).cloned().unwrap_or_default()
    }

    /// Estimates the free capacity of the usable back ends for requests that must begin in time.
    fn supply(
        &self,
        now: Instant,
        usable: &[&BackendState],
        stats: &ServiceStats,
        begin_within: Duration,
    ) -> CapacitySupply {
        let age = self.view_age(now);
        if self.placement() == Placement::LeastLoaded
            && age.is_some_and(|age| age <= MAX_CURRENT_VIEW_AGE)
        {
            let wait = Self::typical_wait(now, usable, stats);
            // A view that was just received may contain old counts of other nodes. What it doesn't show to be in
            // time beyond its error takes no slots that are in the claims of others.
            if wait + stats.wait_error() <= begin_within {
                return CapacitySupply::Wait(wait);
            }
        }
        if age.is_none_or(|age| age > MAX_USABLE_VIEW_AGE) && !stats.has_recent_report(now) {
            // Without views and reports, only the wait of this node's own requests is known.
            return match stats.recent_wait(now) {
                Some(wait) => CapacitySupply::Wait(wait),
                None => CapacitySupply::Unknown,
            };
        }
        let free = usable
            .iter()
            .map(|state| state.free_capacity(now, stats, begin_within));
        let total = usable
            .iter()
            .map(|state| stats.concurrency_limit(state.slots(), begin_within));
        let plenty = match age.is_some_and(|age| age <= MAX_USABLE_VIEW_AGE) {
            true => PLENTY_FRACTION,
            false => REPORTED_PLENTY_FRACTION,
        };
        match free.sum::<f32>() > total.sum::<f32>() * plenty {
            true => CapacitySupply::Plenty,
            false => CapacitySupply::Scarce,
        }
    }

    /// Returns the expected wait at the best of the back ends that are drawn for a request. The shortest wait of all
    /// back ends would be too optimistic: all gateways see it and send there.
    fn typical_wait(now: Instant, usable: &[&BackendState], stats: &ServiceStats) -> Duration {
        let delays = usable.iter().map(|state| state.begin_delay(now, stats));
        let mut delays: Vec<Duration> = delays.collect();
        delays.sort();
        let best_drawn = delays.get(delays.len() / choice::TOTAL_DRAWS);
        let expected = best_drawn.copied().unwrap_or_default();
        let held = usable
            .iter()
            .map(|state| state.held(now).min(state.backend.slots));
        let slots = usable.iter().map(|state| state.backend.slots);
        // While slots are free, unexpected waits come from a few slow back ends and need no correction.
        let is_full = held.sum::<u32>() as f32 >= slots.sum::<u32>() as f32 * FULL_OCCUPANCY;
        match is_full {
            true => stats.corrected_wait(now, expected),
            false => expected,
        }
    }

    /// Returns whether this node has no requests in flight at the usable back ends. It then needs no claim for its
    /// first one: claims come from its own requests, so it would never get any.
    fn none_in_flight(
        &self,
        now: Instant,
        requirements: &BackendRequirements<'_>,
        usable: &[&BackendState],
    ) -> bool {
        let index = self.index.service(requirements.service);
        let local = index.into_iter().flat_map(|index| &index.local);
        let mut busy = local.filter_map(|name| self.visit(name));
        let is_usable =
            |state: &BackendState| state.is_trusted(now) && self.may_run(now, state, requirements);
        usable.iter().all(|state| state.in_flight == 0) && !busy.any(is_usable)
    }

    /// Returns whether an admitted request may take a slot of a back end.
    fn may_take(
        &self,
        state: &BackendState,
        now: Instant,
        stats: &ServiceStats,
        supply: CapacitySupply,
    ) -> bool {
        match supply {
            CapacitySupply::Wait(_) | CapacitySupply::Plenty => true,
            CapacitySupply::Scarce => {
                let index = self.index.service(&state.backend.service);
                let view = index.and_then(|index| index.allotment.as_ref());
                state.has_claim(now, view, stats)
            }
            CapacitySupply::Unknown => stats.allows_blind_send(now),
        }
    }

    /// Chooses the back end that runs a request; `None` if none may run it.
    pub fn choose(
        &self,
        now: Instant,
        requirements: &BackendRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<Backend> {
        let usable = self.usable(now, requirements);
        let stats = self.stats(requirements.service);
        let supply = requirements
            .begin_within
            .map(|begin_within| self.supply(now, &usable, &stats, begin_within));
        let none_in_flight = self.none_in_flight(now, requirements, &usable);
        let may_take = |state: &BackendState| {
            none_in_flight || supply.is_none_or(|supply| self.may_take(state, now, &stats, supply))
        };
        if self.is_sampled(requirements.service) {
            self.ring_position.set(random.random());
        }
        let states: Vec<&BackendState> = usable
            .into_iter()
            .filter(|state| state.held(now) < state.allowed(requirements.load_limit))
            .filter(|state| may_take(state))
            .collect();
        let states = fast_enough(now, requirements, &stats, states);
        let until_next = self.view_interval;
        let candidates: Vec<Candidate> = states
            .iter()
            .map(|state| Candidate {
                identity: state.identity,
                load: state.load(now),
                pace: state.pace.factor(now),
                turnover: stats.turnover(until_next, state.pace.factor(now)),
                same_zone: state.backend.zone == self.zone,
            })
            .collect();
        let position =
            choice::choose(&candidates, requirements.affinity, self.placement(), random)?;
        Some(states[position].backend.clone())
    }

    /// Returns the capacity outlook for a request that must begin within `begin_within`; `None` if no back end may
    /// run it.
    pub fn outlook(
        &self,
        now: Instant,
        requirements: &BackendRequirements<'_>,
        begin_within: Duration,
    ) -> Option<CapacityOutlook> {
        let usable = self.usable(now, requirements);
        let stats = self.stats(requirements.service);
        let delays = usable.iter().map(|state| state.begin_delay(now, &stats));
        let shortest = delays.min()?;
        let supply = self.supply(now, &usable, &stats, begin_within);
        let mut states = usable.iter();
        let may_take = states.any(|state| self.may_take(state, now, &stats, supply));
        let (begin_delay, is_scarce) = match supply {
            CapacitySupply::Wait(wait) => (wait, !wait.is_zero()),
            CapacitySupply::Scarce => (shortest, true),
            CapacitySupply::Plenty | CapacitySupply::Unknown => (shortest, false),
        };
        let waits_too_long = matches!(supply, CapacitySupply::Wait(wait) if wait > begin_within);
        let none_in_flight = self.none_in_flight(now, requirements, &usable);
        Some(CapacityOutlook {
            has_slot: none_in_flight || (may_take && !waits_too_long),
            is_scarce,
            begin_delay,
            age: self.view_age(now),
        })
    }

    /// Returns whether a service has a back end in the permitted zones, whatever its state.
    pub fn has_any(&self, service: &ServiceName, residency: &ResidencyPermit) -> bool {
        let index = self.index.service(service);
        let names = index.into_iter().flat_map(|index| index.names());
        let mut states = names.filter_map(|name| self.states.get(name));
        states.any(|state| residency.allows(&state.backend.zone))
    }

    /// Returns whether a back end is listed that may continue a text, whatever its load.
    pub fn can_continue(&self, origin: &TextOrigin, residency: &ResidencyPermit) -> bool {
        let mut staying = self.staying(origin.service(), residency);
        staying.any(|backend| origin.allows(backend))
    }

    /// Returns whether a back end of a service is listed that may begin a text but not continue this one.
    pub fn can_begin_anew(
        &self,
        service: &ServiceName,
        origin: Option<&TextOrigin>,
        residency: &ResidencyPermit,
    ) -> bool {
        let mut staying = self.staying(service, residency);
        staying.any(|backend| origin.is_none_or(|origin| !origin.allows(backend)))
    }

    /// Returns the back ends of a service in the permitted zones that have not announced that they leave.
    fn staying(
        &self,
        service: &ServiceName,
        residency: &ResidencyPermit,
    ) -> impl Iterator<Item = &Backend> {
        let index = self.index.service(service);
        let names = index.into_iter().flat_map(|index| index.names());
        let backends = names.filter_map(|name| Some(&self.states.get(name)?.backend));
        backends.filter(|backend| !backend.leaving && residency.allows(&backend.zone))
    }

    /// Returns the rate, in requests per second, at which a service begins requests while all slots are in use.
    pub fn begin_rate(&self, now: Instant, requirements: &BackendRequirements<'_>) -> f64 {
        let usable = self.usable(now, requirements);
        let sampled: f32 = usable.iter().map(|state| state.slots()).sum();
        let slots = match self.index.service(requirements.service) {
            Some(index) if index.len() > SAMPLE_SIZE => {
                sampled * index.len() as f32 / SAMPLE_SIZE as f32
            }
            _ => sampled,
        };
        self.stats(requirements.service).begin_rate(slots)
    }

    fn is_sampled(&self, service: &ServiceName) -> bool {
        let index = self.index.service(service);
        index.is_some_and(|index| index.len() > SAMPLE_SIZE)
    }

    fn view_age(&self, now: Instant) -> Option<Duration> {
        let at = self.view_at?;
        Some(now.saturating_duration_since(at))
    }

    fn placement(&self) -> Placement {
        match self.view_interval > MAX_CURRENT_VIEW_AGE {
            true => Placement::ByCapacity,
            false => Placement::LeastLoaded,
        }
    }
}

/// Returns the back ends that are neither ejected nor unresponsive. If all are, the cause is more likely at this node,
/// and all are returned.
fn trusted(now: Instant, usable: Vec<&BackendState>) -> Vec<&BackendState> {
    let states = usable.iter().copied();
    let trusted: Vec<&BackendState> = states.filter(|state| state.is_trusted(now)).collect();
    if trusted.is_empty() { usable } else { trusted }
}

/// Returns the back ends that are expected to respond in time, if one of them has a free slot; otherwise all, since
/// a late response is better than none.
fn fast_enough<'a>(
    now: Instant,
    requirements: &BackendRequirements<'_>,
    stats: &ServiceStats,
    states: Vec<&'a BackendState>,
) -> Vec<&'a BackendState> {
    let Some(begin_objective) = requirements.begin_objective else {
        return states;
    };
    let is_fast = |state: &&BackendState| match state.pace.pace(now) {
        Some(_) => stats.answer_time(state.pace.factor(now)) <= begin_objective,
        None => true,
    };
    let fast: Vec<&BackendState> = states.iter().copied().filter(is_fast).collect();
    match fast.iter().any(|state| state.load(now) < 1.0) {
        true => fast,
        false => states,
    }
}
