//! Back ends as this node believes them to be: who is there, how loaded, and whether they are
//! trusted with new requests. No I/O; the time is passed in.

mod claims;
mod places;
mod room;
mod state;

use crate::attempts::Attempts;
use crate::pace::ResponseQuality;
use firshore_adapter::backend::{Backend, Pace, ReportedLoad};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_exchange::endpoint::Endpoint;
use firshore_types::ids::{ServiceName, ZoneName};
use rand::Rng;
use room::ServiceRoom;
use state::{FAILURES_TO_EJECT, LONGEST_EJECTION, Report, State};
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// What this node has under way at a service, and all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct OwnPart {
    own: u32,
    all: u32,
}

impl OwnPart {
    /// Part of the free places that is this node's: as large as its part of what is under way. A node that has
    /// nothing there yet gets a beginning.
    fn of_room(&self) -> f32 {
        (self.own as f32 + 1.0) / (self.all as f32 + 1.0)
    }
}

/// How a back end's handling of a request reflects on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// It answered.
    Answered,
    /// It answered that it failed.
    Failed,
    /// It said that it is full.
    Full,
    /// It could not be reached, or another process has its address.
    Unreachable,
    /// It broke off or gave no usable answer.
    Broke,
}

/// Where requests to a back end go: connections kept to a former process carry none to its next start.
pub fn endpoint(backend: &Backend) -> Endpoint {
    Endpoint {
        address: backend.address,
        process: backend.incarnation.started.map(|started| started.0),
    }
}

/// What an entry changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// It is of the process that is known, or of the first.
    Listed,
    /// It is of a later start: this process has ended.
    StartedAgain(Incarnation),
    /// Nothing: it is of an earlier start than this process.
    Outdated(Incarnation),
}

/// Pace that a back end told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// Back end.
    pub backend: BackendName,
    /// How long work takes there.
    pub pace: Pace,
}

/// What a request needs of a back end.
pub struct BackendRequirements<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Sends so far.
    pub attempts: &'a Attempts,
    /// Hash under which requests with the same beginning meet.
    pub affinity: Option<u64>,
    /// Load in requests per slot that a back end may have with this request.
    pub load_limit: f32,
    /// Time within which an answer that does not wait must be expected to begin while others have room;
    /// `None`: whenever.
    pub answer_within: Option<Duration>,
    /// Time within which it is to begin, where it is let in by room; `None`: whenever.
    pub begin_within: Option<Duration>,
}

/// How full the back ends of a service are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Requests that they work on at once.
    pub slots: u32,
    /// Requests that they are believed to hold.
    pub held: u32,
}

/// All back ends.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    states: HashMap<BackendName, State>,
    by_service: BTreeMap<ServiceName, Vec<BackendName>>,
    rooms: HashMap<ServiceName, ServiceRoom>,
    /// When the last picture was taken in of what others have under way.
    pictured_at: Option<Instant>,
    /// Time between two pictures of what others have under way.
    picture_interval: Duration,
}

impl Fleet {
    /// No back ends, seen from a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            states: HashMap::new(),
            by_service: BTreeMap::new(),
            rooms: HashMap::new(),
            pictured_at: None,
            picture_interval: Duration::ZERO,
        }
    }

    /// Takes in a whole listing. Returns what each entry changed.
    pub fn replace(&mut self, backends: Vec<Backend>) -> Vec<EntryChange> {
        let names = backends.iter().map(|one| one.incarnation.name.clone());
        let listed: HashSet<BackendName> = names.collect();
        self.states.retain(|one, _| listed.contains(one));
        let backends = backends.into_iter();
        let changes = backends.map(|backend| self.insert_state(backend)).collect();
        self.index();
        changes
    }

    /// Takes in a back end that was added or has changed.
    pub fn upsert(&mut self, backend: Backend) -> EntryChange {
        let change = self.insert_state(backend);
        self.index();
        change
    }

    /// Takes in that a back end is not listed any more, whichever process ran it: it gets no new requests.
    pub fn remove(&mut self, name: &BackendName) {
        self.states.remove(name);
        self.index();
    }

    fn insert_state(&mut self, backend: Backend) -> EntryChange {
        match self.states.entry(backend.incarnation.name.clone()) {
            Entry::Occupied(mut state) => state.get_mut().listed(backend),
            Entry::Vacant(room) => {
                room.insert(State::new(backend, None));
                EntryChange::Listed
            }
        }
    }

    /// State of just this process: what is told of a former one, late, does not count for the present one.
    fn state(&self, incarnation: &Incarnation) -> Option<&State> {
        let state = self.states.get(&incarnation.name);
        state.filter(|state| state.backend.incarnation == *incarnation)
    }

    fn state_mut(&mut self, incarnation: &Incarnation) -> Option<&mut State> {
        let state = self.states.get_mut(&incarnation.name);
        state.filter(|state| state.backend.incarnation == *incarnation)
    }

    fn index(&mut self) {
        self.by_service.clear();
        for (name, state) in &self.states {
            let of_service = self
                .by_service
                .entry(state.backend.service.clone())
                .or_default();
            of_service.push(name.clone());
        }
        for names in self.by_service.values_mut() {
            names.sort();
        }
    }

    /// Whether a process is listed, or was up to the next start of its back end, and has not said that it
    /// leaves.
    pub fn is_staying(&self, incarnation: &Incarnation) -> bool {
        let Some(state) = self.states.get(&incarnation.name) else {
            return false;
        };
        if state.backend.incarnation == *incarnation {
            return !state.backend.leaving;
        }
        let former = state.former.as_ref();
        former.is_some_and(|former| former.incarnation == *incarnation && !former.leaving)
    }

    /// Whether a later start of a back end is listed: this process has ended.
    pub fn has_started_again(&self, incarnation: &Incarnation) -> bool {
        let state = self.states.get(&incarnation.name);
        state.is_some_and(|state| incarnation.is_succeeded_by(&state.backend.incarnation))
    }

    /// Whether another back end is listed at the address of one: that one has ended.
    pub fn has_successor(&self, backend: &Backend) -> bool {
        let name = &backend.incarnation.name;
        let mut others = self.states.values().map(|state| &state.backend);
        others.any(|other| other.address == backend.address && other.incarnation.name != *name)
    }

    /// Number of back ends.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Load of a back end in requests per slot, as believed.
    pub fn load(&self, now: Instant, incarnation: &Incarnation) -> Option<f32> {
        self.state(incarnation).map(|state| state.load(now))
    }

    /// How many times the usual time work takes at a back end, as believed; `None` where nothing tells it.
    pub fn pace(&self, now: Instant, incarnation: &Incarnation) -> Option<f32> {
        self.state(incarnation)?.pace.pace(now)
    }

    /// Load in requests a slot that pictures do not show, as back ends of a service report it.
    pub fn unseen(&self, now: Instant, service: &ServiceName) -> f32 {
        let room = self.rooms.get(service);
        room.map_or(0.0, |room| room.unseen(now).max(0.0))
    }

    /// Services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.by_service.keys()
    }

    /// How full the back ends of a service are, as believed.
    pub fn occupancy(&self, now: Instant, service: &ServiceName) -> Occupancy {
        let names = self.by_service.get(service).into_iter().flatten();
        let states = names.filter_map(|name| self.states.get(name));
        let present = states.filter(|state| !state.backend.leaving);
        present.fold(Occupancy::default(), |sum, state| Occupancy {
            slots: sum.slots + state.backend.slots,
            held: sum.held + state.held(now),
        })
    }

    /// Returns whether a back end is believed to hold more requests than it works on at once.
    pub fn is_crowded(&self, now: Instant, incarnation: &Incarnation) -> bool {
        let state = self.state(incarnation);
        state.is_some_and(|state| state.held(now) > state.backend.slots)
    }

    /// Requests at a back end beyond a load; `None` if there are none.
    pub fn excess(&self, now: Instant, incarnation: &Incarnation, load: f32) -> Option<usize> {
        let state = self.state(incarnation)?;
        let excess = state.held(now).checked_sub(state.allowed(load))?;
        (excess > 0).then_some(excess as usize)
    }

    /// Process that runs a back end now, as listed.
    pub fn incarnation(&self, name: &BackendName) -> Option<&Incarnation> {
        self.states
            .get(name)
            .map(|state| &state.backend.incarnation)
    }

    /// Requests of this node under way at the present process of each back end.
    pub fn in_flight(&self) -> impl Iterator<Item = (BackendName, u32)> {
        let states = self.states.iter();
        states.map(|(name, state)| (name.clone(), state.in_flight))
    }

    /// Takes in what other nodes have under way; back ends that are not named are idle.
    pub fn apply_remote_load(
        &mut self,
        now: Instant,
        others: &HashMap<BackendName, u32>,
        random: &mut impl Rng,
    ) {
        self.pictured_at = Some(now);
        let mut parts: HashMap<ServiceName, OwnPart> = HashMap::new();
        for (name, state) in &mut self.states {
            let others = others.get(name).copied().unwrap_or(0);
            let picture = Report {
                others,
                at: now,
                is_own: false,
            };
            state.picture = Some(picture);
            state.report = Some(picture);
            let part = parts.entry(state.backend.service.clone()).or_default();
            part.own += state.in_flight;
            part.all += state.in_flight + others;
        }
        // In one order everywhere: what is drawn follows from the random numbers alone.
        for (service, names) in &self.by_service {
            let room = self.rooms.get(service).cloned().unwrap_or_default();
            let part = parts.get(service).map_or(0.0, OwnPart::of_room);
            for name in names {
                if let Some(state) = self.states.get_mut(name) {
                    let free = state.free_places(now, &room, Duration::ZERO);
                    state.claims.deal(now, free, part, random);
                }
            }
        }
    }

    /// Takes in how far apart the pictures are that this node gets of what others have under way.
    pub fn set_view_interval(&mut self, interval: Duration) {
        self.picture_interval = interval;
    }

    /// A request is about to be sent.
    pub fn started(&mut self, now: Instant, incarnation: &Incarnation) {
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        state.in_flight += 1;
        state.claims.take(now);
        state.silent_since.get_or_insert(now);
        let service = state.backend.service.clone();
        self.rooms.entry(service).or_default().sent(now);
    }

    /// Something of an answer has arrived.
    pub fn record_activity(&mut self, now: Instant, incarnation: &Incarnation) {
        if let Some(state) = self.state_mut(incarnation) {
            state.silent_since = Some(now);
        }
    }

    /// A request of a service has ended well: its answer began after `began_after`, and went on for `rest`.
    pub fn served(&mut self, service: &ServiceName, began_after: Duration, rest: Duration) {
        let room = self.rooms.entry(service.clone()).or_default();
        room.served(began_after, rest);
    }

    /// Time for which a request waits that is sent to a back end now, as believed.
    pub fn begin_delay(&self, now: Instant, incarnation: &Incarnation) -> Duration {
        let Some(state) = self.state(incarnation) else {
            return Duration::ZERO;
        };
        let room = self.room(&state.backend.service);
        state.begin_delay(now, &room)
    }

    /// An answer has begun after a time, where the request was expected to wait for `expected`.
    pub fn began(
        &mut self,
        now: Instant,
        service: &ServiceName,
        expected: Duration,
        began_after: Duration,
    ) {
        let room = self.rooms.entry(service.clone()).or_default();
        room.began(now, expected, began_after);
    }

    /// A request has ended, however.
    pub fn ended(&mut self, now: Instant, incarnation: &Incarnation) {
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if state.in_flight == 0 {
            state.silent_since = None;
        }
        let service = state.backend.service.clone();
        let room = self.room(&service);
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        // Where others wait in line, one of them takes the place.
        if state.free_places(now, &room, Duration::ZERO) > 0.0 {
            state.claims.left(now);
        }
    }

    /// Takes in the load that an answer told.
    pub fn record_load(&mut self, now: Instant, incarnation: &Incarnation, load: ReportedLoad) {
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        let all = load.running + load.waiting;
        let others = all.saturating_sub(state.in_flight);
        state.report = Some(Report {
            others,
            at: now,
            is_own: true,
        });
        let beyond = (others as f32 - state.pictured(now)) / state.slots();
        let pace = load.pace.map(|pace| {
            state.untold_pace = Some(pace);
            state.pace.record_report(now, pace);
            state.pace.factor(now)
        });
        let service = state.backend.service.clone();
        let room = self.rooms.entry(service).or_default();
        room.found_unseen(now, beyond);
        if let Some(pace) = pace {
            room.told_pace(pace);
        }
    }

    /// Returns what back ends told this node of their pace since it was asked last, for others.
    pub fn take_unreported_paces(&mut self) -> Vec<PaceReport> {
        let states = self.states.iter_mut();
        let paces = states.filter_map(|(name, state)| {
            Some(PaceReport {
                backend: name.clone(),
                pace: state.untold_pace.take()?,
            })
        });
        paces.collect()
    }

    /// Takes in what back ends told other nodes of their pace a moment ago.
    pub fn apply_remote_paces(&mut self, now: Instant, paces: Vec<PaceReport>) {
        for one in paces {
            let Some(state) = self.states.get_mut(&one.backend) else {
                continue;
            };
            state.pace.record_report(now, one.pace);
            let service = state.backend.service.clone();
            let room = self.rooms.entry(service).or_default();
            room.told_pace(state.pace.factor(now));
        }
    }

    /// A back end has ended, as this node or another one saw: it is passed over for about as long as its entry
    /// stays, or until its next start is listed.
    pub fn record_exit(&mut self, now: Instant, incarnation: &Incarnation) {
        let Some(state) = self.states.get_mut(&incarnation.name) else {
            return;
        };
        // A node that learned of an end before the start that ended: its process has ended as well.
        let known = &state.backend.incarnation;
        if known == incarnation || known.is_succeeded_by(incarnation) {
            state.ejected_until = Some(now + LONGEST_EJECTION);
        }
    }

    /// Takes in how a back end handled a request. Returns whether it is ejected by that.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        seen: BackendOutcome,
    ) -> bool {
        let Some(state) = self.state_mut(incarnation) else {
            return false;
        };
        match seen {
            BackendOutcome::Answered | BackendOutcome::Failed => {
                let quality = match seen {
                    BackendOutcome::Failed => ResponseQuality::Failed,
                    _ => ResponseQuality::Good,
                };
                state.pace.record_response(now, quality);
                state.failures = 0;
                state.ejections = 0;
                state.ejected_until = None;
                return false;
            }
            BackendOutcome::Full => {
                state.report = Some(Report {
                    others: state.backend.slots * 2,
                    at: now,
                    is_own: true,
                });
                return false;
            }
            BackendOutcome::Unreachable => state.failures = FAILURES_TO_EJECT,
            BackendOutcome::Broke => {
                state.pace.record_response(now, ResponseQuality::Failed);
                state.failures += 1;
            }
        }
        if state.failures < FAILURES_TO_EJECT {
            return false;
        }
        state.eject(now);
        true
    }
}
