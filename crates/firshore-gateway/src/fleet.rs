//! Back ends as this node believes them to be: who is there, how loaded, and whether they are
//! trusted with new requests. No I/O; the time is passed in.

use crate::attempts::Attempts;
use crate::choice::{self, Candidate, Placement};
use firshore_adapter::backend::{Backend, ReportedLoad};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_exchange::endpoint::Endpoint;
use firshore_types::ids::{ServiceName, ZoneName};
use rand::Rng;
use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Age at which a back end's report about others' requests counts for nothing.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);

/// Time between two pictures up to which the least loaded back end is still so when a request gets
/// there. Measured at 100 ms with 6 gateways (least loaded: worth more by 0.009) and at 177 ms with 53
/// (by room: worth more by 0.02).
const CURRENT_PICTURE: Duration = Duration::from_millis(140);

/// Failures in a row after which a back end gets no new requests for a while.
const FAILURES_TO_EJECT: u32 = 3;

/// Time without new requests after the first ejection; doubled with each further one.
const EJECTION: Duration = Duration::from_millis(500);

const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Time without a byte from a back end that has requests under way after which it gets no new ones.
/// Engines answer something each few milliseconds, applications within half a second.
const SILENCE: Duration = Duration::from_millis(600);

/// How a back end's handling of a request reflects on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Impression {
    /// It answered.
    Answered,
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

/// The process that a back end ran before its present one.
#[derive(Debug)]
struct FormerProcess {
    incarnation: Incarnation,
    /// Whether it had said that it was about to leave.
    leaving: bool,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    others: u32,
    at: Instant,
}

#[derive(Debug)]
struct State {
    backend: Backend,
    /// Of the name: requests with the same beginning meet at the next start too, where they are read once,
    /// and those of all other back ends stay where they are.
    identity: u64,
    former: Option<FormerProcess>,
    in_flight: u32,
    report: Option<Report>,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    /// Since when requests are under way and nothing was heard.
    silent_since: Option<Instant>,
}

impl State {
    fn new(backend: Backend, former: Option<FormerProcess>) -> Self {
        Self {
            identity: xxh3_64(backend.incarnation.name.as_str().as_bytes()),
            backend,
            former,
            in_flight: 0,
            report: None,
            failures: 0,
            ejections: 0,
            ejected_until: None,
            silent_since: None,
        }
    }

    /// Takes in an entry of the same back end.
    fn listed(&mut self, mut backend: Backend) -> EntryChange {
        let known = &self.backend.incarnation;
        if backend.incarnation.is_succeeded_by(known) {
            return EntryChange::Outdated(known.clone());
        }
        if backend.incarnation.started.is_none() {
            // It says nothing against the process that is known.
            backend.incarnation = known.clone();
        }
        if backend.incarnation == *known {
            self.backend = backend;
            return EntryChange::Listed;
        }
        let former = FormerProcess {
            incarnation: known.clone(),
            leaving: self.backend.leaving,
        };
        let ended = former.incarnation.clone();
        // What the former process held, failed and was passed over for says nothing of the new one.
        *self = Self::new(backend, Some(former));
        EntryChange::StartedAgain(ended)
    }

    fn is_silent(&self, now: Instant) -> bool {
        let since = self.silent_since;
        since.is_some_and(|since| now.saturating_duration_since(since) > SILENCE)
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Requests of other gateways, by the last report, which fades with age.
    fn others(&self, now: Instant) -> f32 {
        let Some(report) = self.report else {
            return 0.0;
        };
        let age = now.saturating_duration_since(report.at);
        let faded = 1.0 - age.as_secs_f32() / REPORT_LIFETIME.as_secs_f32();
        report.others as f32 * faded.max(0.0)
    }

    /// Requests that it is believed to hold, in whole ones: a report that has only begun to fade is
    /// not a free slot.
    fn held(&self, now: Instant) -> u32 {
        self.in_flight + self.others(now).round() as u32
    }

    fn load(&self, now: Instant) -> f32 {
        (self.in_flight as f32 + self.others(now)) / self.slots()
    }

    /// Requests that a load allows, in whole ones: what may start under a limit is not beyond it then.
    fn allowed(&self, load: f32) -> u32 {
        (self.slots() * load).round() as u32
    }

    fn slots(&self) -> f32 {
        self.backend.slots.max(1) as f32
    }

    fn eject(&mut self, now: Instant) {
        let length = EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + length.min(LONGEST_EJECTION));
    }
}

/// What a request needs of a back end.
pub struct Wanted<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Sends so far.
    pub attempts: &'a Attempts,
    /// Hash under which requests with the same beginning meet.
    pub affinity: Option<u64>,
    /// Load in requests per slot that a back end may have with this request.
    pub load_limit: f32,
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
    by_service: HashMap<ServiceName, Vec<BackendName>>,
    /// Time between two pictures of what others have under way.
    picture_interval: Duration,
}

impl Fleet {
    /// No back ends, seen from a zone.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            states: HashMap::new(),
            by_service: HashMap::new(),
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

    /// The back end that takes a request; `None` if none may.
    pub fn choose(
        &self,
        now: Instant,
        wanted: &Wanted<'_>,
        random: &mut impl Rng,
    ) -> Option<Backend> {
        let names = self.by_service.get(wanted.service)?;
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
        let states = if trusted.is_empty() { usable } else { trusted };
        let states: Vec<&State> = states
            .into_iter()
            .filter(|state| state.held(now) < state.allowed(wanted.load_limit))
            .collect();
        let candidates: Vec<Candidate> = states
            .iter()
            .map(|state| Candidate {
                identity: state.identity,
                load: state.load(now),
                at_home: state.backend.zone == self.zone,
            })
            .collect();
        let position = choice::choose(&candidates, wanted.affinity, self.placement(), random)?;
        Some(states[position].backend.clone())
    }

    /// Load of a back end in requests per slot, as believed.
    pub fn load(&self, now: Instant, incarnation: &Incarnation) -> Option<f32> {
        self.state(incarnation).map(|state| state.load(now))
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
    pub fn learned_others(&mut self, now: Instant, others: &HashMap<BackendName, u32>) {
        for (name, state) in &mut self.states {
            let others = others.get(name).copied().unwrap_or(0);
            state.report = Some(Report { others, at: now });
        }
    }

    /// Takes in how far apart the pictures are that this node gets of what others have under way.
    pub fn set_picture_interval(&mut self, interval: Duration) {
        self.picture_interval = interval;
    }

    fn placement(&self) -> Placement {
        match self.picture_interval > CURRENT_PICTURE {
            true => Placement::ByRoom,
            false => Placement::LeastLoaded,
        }
    }

    /// A request is about to be sent.
    pub fn started(&mut self, now: Instant, incarnation: &Incarnation) {
        if let Some(state) = self.state_mut(incarnation) {
            state.in_flight += 1;
            state.silent_since.get_or_insert(now);
        }
    }

    /// Something of an answer has arrived.
    pub fn heard(&mut self, now: Instant, incarnation: &Incarnation) {
        if let Some(state) = self.state_mut(incarnation) {
            state.silent_since = Some(now);
        }
    }

    /// A request has ended, however.
    pub fn ended(&mut self, incarnation: &Incarnation) {
        if let Some(state) = self.state_mut(incarnation) {
            state.in_flight = state.in_flight.saturating_sub(1);
            if state.in_flight == 0 {
                state.silent_since = None;
            }
        }
    }

    /// Takes in the load that an answer told.
    pub fn reported(&mut self, now: Instant, incarnation: &Incarnation, load: ReportedLoad) {
        if let Some(state) = self.state_mut(incarnation) {
            let all = load.running + load.waiting;
            state.report = Some(Report {
                others: all.saturating_sub(state.in_flight),
                at: now,
            });
        }
    }

    /// A back end has ended, as this node or another one saw: it is passed over for about as long as its entry
    /// stays, or until its next start is listed.
    pub fn has_ended(&mut self, now: Instant, incarnation: &Incarnation) {
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
    pub fn observed(&mut self, now: Instant, incarnation: &Incarnation, seen: Impression) -> bool {
        let Some(state) = self.state_mut(incarnation) else {
            return false;
        };
        match seen {
            Impression::Answered => {
                state.failures = 0;
                state.ejections = 0;
                state.ejected_until = None;
                return false;
            }
            Impression::Full => {
                state.report = Some(Report {
                    others: state.backend.slots * 2,
                    at: now,
                });
                return false;
            }
            Impression::Unreachable => state.failures = FAILURES_TO_EJECT,
            Impression::Broke => state.failures += 1,
        }
        if state.failures < FAILURES_TO_EJECT {
            return false;
        }
        state.eject(now);
        true
    }
}
