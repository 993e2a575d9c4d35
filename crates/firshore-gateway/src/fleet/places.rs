//! Which back end takes a request, and what room there is for it.

use super::room::ServiceRoom;
use super::state::State;
use super::{BackendRequirements, Fleet};
use crate::choice::{self, Candidate, Placement};
use firshore_adapter::backend::Backend;
use firshore_admission::admission::CapacityOutlook;
use firshore_types::ids::ServiceName;
use rand::Rng;
use std::time::{Duration, Instant};

/// Time between two pictures up to which the least loaded back end is still so when a request gets
/// there. Measured at 100 ms with 6 gateways (least loaded: worth more by 0.009) and at 177 ms with 53
/// (by room: worth more by 0.02).
const CURRENT_PICTURE: Duration = Duration::from_millis(140);

/// Age up to which a picture of what others have under way says how many places are left. A wave fills all
/// slots within about as long.
const KNOWN_PICTURE: Duration = Duration::from_millis(600);

/// Part of a service's slots that is taken from which on it counts as full.
const FULL_OCCUPANCY: f32 = 0.9;

/// Part of a service's places above which any of them may be taken: what all nodes send between two pictures
/// is less.
const PLENTY: f32 = 0.25;

/// The same where back ends' own reports are all that is known: a node hears some ten a second, and a wave fills
/// the rest meanwhile.
const REPORTED_PLENTY: f32 = 0.5;

/// What a node knows of a service's places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlaceSupply {
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
    fn usable(&self, now: Instant, wanted: &BackendRequirements<'_>) -> Vec<&State> {
        let Some(names) = self.by_service.get(wanted.service) else {
            return Vec::new();
        };
        let usable: Vec<&State> = names
            .iter()
            .filter_map(|one| self.states.get(one))
            .filter(|state| wanted.attempts.allows(&state.backend.incarnation))
            .filter(|state| !state.backend.leaving)
            .collect();
        let trusted: Vec<&State> = usable
            .iter()
            .filter(|state| !state.is_ejected(now) && !state.is_silent(now))
            .copied()
            .collect();
        // If all are ejected, the cause is more likely on this side: any is better than none.
        if trusted.is_empty() { usable } else { trusted }
    }

    pub(super) fn room(&self, service: &ServiceName) -> ServiceRoom {
        self.rooms.get(service).cloned().unwrap_or_default()
    }

    /// What is known of the places at back ends.
    fn supply(
        &self,
        now: Instant,
        usable: &[&State],
        room: &ServiceRoom,
        begin_within: Duration,
    ) -> PlaceSupply {
        let age = self.picture_age(now);
        if self.placement() == Placement::LeastLoaded
            && age.is_some_and(|age| age <= CURRENT_PICTURE)
        {
            return PlaceSupply::Wait(Self::usual_wait(now, usable, room));
        }
        if age.is_none_or(|age| age > KNOWN_PICTURE) && !room.is_reported(now) {
            // Back ends that tell nothing: what this node's own requests met there is all that is known.
            return match room.recent_wait(now) {
                Some(wait) => PlaceSupply::Wait(wait),
                None => PlaceSupply::Unknown,
            };
        }
        let free = usable
            .iter()
            .map(|state| state.free_places(now, room, begin_within));
        let all = usable
            .iter()
            .map(|state| room.places(state.slots(), begin_within));
        let plenty = match age.is_some_and(|age| age <= KNOWN_PICTURE) {
            true => PLENTY,
            false => REPORTED_PLENTY,
        };
        match free.sum::<f32>() > all.sum::<f32>() * plenty {
            true => PlaceSupply::Plenty,
            false => PlaceSupply::Scarce,
        }
    }

    /// Time for which a request is likely to wait at the best of the back ends that are drawn for it. The very
    /// shortest of all is so by chance, and all gateways see it.
    fn usual_wait(now: Instant, usable: &[&State], room: &ServiceRoom) -> Duration {
        let delays = usable.iter().map(|state| state.begin_delay(now, room));
        let mut delays: Vec<Duration> = delays.collect();
        delays.sort();
        let best_drawn = delays.get(delays.len() / choice::DRAWN);
        let expected = best_drawn.copied().unwrap_or_default();
        let held = usable
            .iter()
            .map(|state| state.held(now).min(state.backend.slots));
        let slots = usable.iter().map(|state| state.backend.slots);
        // Elsewhere a slow back end or two are the cause of what came later than expected.
        let is_full = held.sum::<u32>() as f32 >= slots.sum::<u32>() as f32 * FULL_OCCUPANCY;
        match is_full {
            true => room.corrected(now, expected),
            false => expected,
        }
    }

    /// Whether this node has nothing under way: others keep their places by their own ends, and who has none
    /// would never get one.
    fn has_none(usable: &[&State]) -> bool {
        usable.iter().all(|state| state.in_flight == 0)
    }

    /// Whether a request that is let in by room may go to a back end.
    fn may_take(state: &State, now: Instant, room: &ServiceRoom, supply: PlaceSupply) -> bool {
        match supply {
            PlaceSupply::Wait(_) | PlaceSupply::Plenty => true,
            PlaceSupply::Scarce => state.claims.has_any(now),
            PlaceSupply::Unknown => room.allows_unknown(now),
        }
    }

    /// The back end that takes a request; `None` if none may.
    pub fn choose(
        &self,
        now: Instant,
        wanted: &BackendRequirements<'_>,
        random: &mut impl Rng,
    ) -> Option<Backend> {
        let usable = self.usable(now, wanted);
        let room = self.room(wanted.service);
        let supply = wanted
            .begin_within
            .map(|begin_within| self.supply(now, &usable, &room, begin_within));
        let has_none = Self::has_none(&usable);
        let may_take = |state: &State| {
            has_none || supply.is_none_or(|supply| Self::may_take(state, now, &room, supply))
        };
        let states: Vec<&State> = usable
            .into_iter()
            .filter(|state| state.held(now) < state.allowed(wanted.load_limit))
            .filter(|state| may_take(state))
            .collect();
        let states = quick_enough(now, wanted, &room, states);
        let until_next = self.picture_interval;
        let candidates: Vec<Candidate> = states
            .iter()
            .map(|state| Candidate {
                identity: state.identity,
                load: state.load(now),
                pace: state.pace.factor(now),
                turnover: room.turnover(until_next, state.pace.factor(now)),
                same_zone: state.backend.zone == self.zone,
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
        wanted: &BackendRequirements<'_>,
        begin_within: Duration,
    ) -> Option<CapacityOutlook> {
        let usable = self.usable(now, wanted);
        let room = self.room(wanted.service);
        let delays = usable.iter().map(|state| state.begin_delay(now, &room));
        let shortest = delays.min()?;
        let supply = self.supply(now, &usable, &room, begin_within);
        let mut states = usable.iter();
        let may_take = states.any(|state| Self::may_take(state, now, &room, supply));
        let (begin_delay, is_scarce) = match supply {
            PlaceSupply::Wait(wait) => (wait, !wait.is_zero()),
            PlaceSupply::Scarce => (shortest, true),
            PlaceSupply::Plenty | PlaceSupply::Unknown => (shortest, false),
        };
        let waits_too_long = matches!(supply, PlaceSupply::Wait(wait) if wait > begin_within);
        let has_none = Self::has_none(&usable);
        Some(CapacityOutlook {
            has_slot: has_none || (may_take && !waits_too_long),
            is_scarce,
            begin_delay,
            age: self.picture_age(now),
        })
    }

    /// Returns the requests a second that back ends of a service begin where all their slots are taken.
    pub fn begin_rate(&self, now: Instant, wanted: &BackendRequirements<'_>) -> f64 {
        let usable = self.usable(now, wanted);
        let slots = usable.iter().map(|state| state.slots());
        self.room(wanted.service).begin_rate(slots.sum())
    }

    fn picture_age(&self, now: Instant) -> Option<Duration> {
        let at = self.pictured_at?;
        Some(now.saturating_duration_since(at))
    }

    fn placement(&self) -> Placement {
        match self.picture_interval > CURRENT_PICTURE {
            true => Placement::ByCapacity,
            false => Placement::LeastLoaded,
        }
    }
}

/// Back ends that answer in time, if any of them has room: one that turned slow would make late what any other
/// does in time, and is better than none.
fn quick_enough<'a>(
    now: Instant,
    wanted: &BackendRequirements<'_>,
    room: &ServiceRoom,
    states: Vec<&'a State>,
) -> Vec<&'a State> {
    let Some(answer_within) = wanted.answer_within else {
        return states;
    };
    let is_quick = |state: &&State| match state.pace.pace(now) {
        Some(_) => room.answer_time(state.pace.factor(now)) <= answer_within,
        None => true,
    };
    let quick: Vec<&State> = states.iter().copied().filter(is_quick).collect();
    match quick.iter().any(|state| state.load(now) < 1.0) {
        true => quick,
        false => states,
    }
}
