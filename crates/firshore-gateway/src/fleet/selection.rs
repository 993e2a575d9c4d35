//! Which back end takes a request, and what room there is for it.

use super::service_stats::ServiceStats;
use super::state::BackendState;
use super::{Fleet, Wanted};
use crate::choice::{self, Candidate, Placement};
use firshore_adapter::backend::Backend;
use firshore_admission::admission::RoomOutlook;
use firshore_types::ids::ServiceName;
use rand::Rng;
use std::time::{Duration, Instant};

/// Time between two pictures up to which the least loaded back end is still so when a request gets
/// there. Measured at 100 ms with 6 gateways (least loaded: worth more by 0.009) and at 177 ms with 53
/// (by room: worth more by 0.02).
const MAX_CURRENT_VIEW_AGE: Duration = Duration::from_millis(140);

/// Age up to which a picture of what others have under way says how many places are left. A wave fills all
/// slots within about as long.
const MAX_USABLE_VIEW_AGE: Duration = Duration::from_millis(600);

/// Part of a service's slots that is taken from which on it counts as full.
const FULL_OCCUPANCY: f32 = 0.9;

/// Part of a service's places above which any of them may be taken: what all nodes send between two pictures
/// is less.
const PLENTY_FRACTION: f32 = 0.25;

/// The same where back ends' own reports are all that is known: a node hears some ten a second, and a wave fills
/// the rest meanwhile.
const REPORTED_PLENTY_FRACTION: f32 = 0.5;

/// What a node knows of a service's places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CapacitySupply {
    /// How long a request waits, from a picture that is current, or from the node's own requests where nobody
    /// tells anything.
    Wait(Duration),
    /// So many are left, by an old picture or by reports, that any may be taken.
    Plenty,
    /// So few are left that each node takes its own.
    Scarce,
    /// Nobody has told.
    Unknown,
}

impl Fleet {
    /// Back ends that a request may go to, those that are trusted if there are any.
    fn usable(&self, now: Instant, wanted: &Wanted<'_>) -> Vec<&BackendState> {
        let Some(names) = self.by_service.get(wanted.service) else {
            return Vec::new();
        };
        let usable: Vec<&BackendState> = names
            .iter()
            .filter_map(|one| self.states.get(one))
            .filter(|state| wanted.attempts.allows(&state.backend.incarnation))
            .filter(|state| !state.backend.leaving)
            .collect();
        let trusted: Vec<&BackendState> = usable
            .iter()
            .filter(|state| !state.is_ejected(now) && !state.is_unresponsive(now))
            .copied()
            .collect();
        // If all are ejected, the cause is more likely on this side: any is better than none.
        if trusted.is_empty() { usable } else { trusted }
    }

    pub(super) fn stats(&self, service: &ServiceName) -> ServiceStats {
        self.service_stats.get(service).cloned().unwrap_or_default()
    }

    /// What is known of the places at back ends.
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
            return CapacitySupply::Wait(Self::typical_wait(now, usable, stats));
        }
        if age.is_none_or(|age| age > MAX_USABLE_VIEW_AGE) && !stats.has_recent_report(now) {
            // Back ends that tell nothing: what this node's own requests met there is all that is known.
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

    /// Time for which a request is likely to wait at the best of the back ends that are drawn for it. The very
    /// shortest of all is so by chance, and all gateways see it.
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
        // Elsewhere a slow back end or two are the cause of what came later than expected.
        let is_full = held.sum::<u32>() as f32 >= slots.sum::<u32>() as f32 * FULL_OCCUPANCY;
        match is_full {
            true => stats.corrected_wait(now, expected),
            false => expected,
        }
    }

    /// Whether this node has nothing under way: others keep their places by their own ends, and who has none
    /// would never get one.
    fn none_in_flight(usable: &[&BackendState]) -> bool {
        usable.iter().all(|state| state.in_flight == 0)
    }

    /// Whether a request that is let in by room may go to a back end.
    fn may_take(
        state: &BackendState,
        now: Instant,
        stats: &ServiceStats,
        supply: CapacitySupply,
    ) -> bool {
        match supply {
            CapacitySupply::Wait(_) | CapacitySupply::Plenty => true,
            CapacitySupply::Scarce => state.claims.has_any(now),
            CapacitySupply::Unknown => stats.allows_blind_send(now),
        }
    }

    /// The back end that takes a request; `None` if none may.
    pub fn choose(
        &self,
        now: Instant,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<Backend> {
        let usable = self.usable(now, wanted);
        let stats = self.stats(wanted.service);
        let supply = wanted
            .begin_within
            .map(|begin_within| self.supply(now, &usable, &stats, begin_within));
        let none_in_flight = Self::none_in_flight(&usable);
        let may_take = |state: &BackendState| {
            none_in_flight || supply.is_none_or(|supply| Self::may_take(state, now, &stats, supply))
        };
        let states: Vec<&BackendState> = usable
            .into_iter()
            .filter(|state| state.held(now) < state.allowed(wanted.load_limit))
            .filter(|state| may_take(state))
            .collect();
        let states = fast_enough(now, wanted, &stats, states);
        let until_next = self.view_interval;
        let candidates: Vec<Candidate> = states
            .iter()
            .map(|state| Candidate {
                identity: state.identity,
                load: state.load(now),
                pace: state.pace.factor(now),
                turnover: stats.turnover(until_next, state.pace.factor(now)),
                at_home: state.backend.zone == self.zone,
            })
            .collect();
        let position = choice::choose(&candidates, wanted.affinity, self.placement(), random)?;
        Some(states[position].backend.clone())
    }

    /// Returns what room there is for a request that is to begin within a time; `None` if no back end may
    /// take it.
    pub fn outlook(
        &self,
        now: Instant,
        wanted: &Wanted<'_>,
        begin_within: Duration,
    ) -> Option<RoomOutlook> {
        let usable = self.usable(now, wanted);
        let stats = self.stats(wanted.service);
        let delays = usable.iter().map(|state| state.begin_delay(now, &stats));
        let shortest = delays.min()?;
        let supply = self.supply(now, &usable, &stats, begin_within);
        let mut states = usable.iter();
        let may_take = states.any(|state| Self::may_take(state, now, &stats, supply));
        let (begin_delay, is_scarce) = match supply {
            CapacitySupply::Wait(wait) => (wait, !wait.is_zero()),
            CapacitySupply::Scarce => (shortest, true),
            CapacitySupply::Plenty | CapacitySupply::Unknown => (shortest, false),
        };
        let waits_too_long = matches!(supply, CapacitySupply::Wait(wait) if wait > begin_within);
        let none_in_flight = Self::none_in_flight(&usable);
        Some(RoomOutlook {
            has_place: none_in_flight || (may_take && !waits_too_long),
            is_scarce,
            begin_delay,
            age: self.view_age(now),
        })
    }

    /// Returns the requests a second that back ends of a service begin where all their slots are taken.
    pub fn begin_rate(&self, now: Instant, wanted: &Wanted<'_>) -> f64 {
        let usable = self.usable(now, wanted);
        let slots = usable.iter().map(|state| state.slots());
        self.stats(wanted.service).begin_rate(slots.sum())
    }

    fn view_age(&self, now: Instant) -> Option<Duration> {
        let at = self.view_at?;
        Some(now.saturating_duration_since(at))
    }

    fn placement(&self) -> Placement {
        match self.view_interval > MAX_CURRENT_VIEW_AGE {
            true => Placement::ByRoom,
            false => Placement::LeastLoaded,
        }
    }
}

/// Back ends that answer in time, if any of them has room: one that turned slow would make late what any other
/// does in time, and is better than none.
fn fast_enough<'a>(
    now: Instant,
    wanted: &Wanted<'_>,
    stats: &ServiceStats,
    states: Vec<&'a BackendState>,
) -> Vec<&'a BackendState> {
    let Some(answer_within) = wanted.answer_within else {
        return states;
    };
    let is_fast = |state: &&BackendState| match state.pace.pace(now) {
        Some(_) => stats.answer_time(state.pace.factor(now)) <= answer_within,
        None => true,
    };
    let fast: Vec<&BackendState> = states.iter().copied().filter(is_fast).collect();
    match fast.iter().any(|state| state.load(now) < 1.0) {
        true => fast,
        false => states,
    }
}
