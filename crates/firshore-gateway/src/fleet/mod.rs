//! Estimated state of all back ends: their load and pace, and whether they get new requests. No I/O; the time is
//! passed in.

mod claims;
mod index;
mod selection;
mod service_stats;
mod slow_start;
mod state;
mod views;
mod zone_drains;

use crate::attempts::Attempts;
use crate::pace::ResponseQuality;
use crate::software_history::SoftwareHistory;
use firshore_adapter::backend::{Backend, Pace, ReportedLoad};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::text_origin::TextOrigin;
use firshore_exchange::endpoint::Endpoint;
use firshore_types::ids::{ServiceName, ZoneName};
use index::FleetIndex;
use service_stats::ServiceStats;
use slow_start::SlowStart;
use state::{BackendState, FAILURES_TO_EJECT, LoadReport, MAX_EJECTION};
use std::cell::Cell;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};
use zone_drains::ZoneDrains;

/// Outcome of a request as evidence about the back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendOutcome {
    /// The back end responded.
    Answered,
    /// The back end reported a failure.
    Failed,
    /// The back end reported that it is full.
    Full,
    /// The back end could not be reached, or another process has its address.
    Unreachable,
    /// The response broke off or was unusable.
    Broke,
}

/// Returns the endpoint of a back end. It names the process, so that connections to a previous process are not
/// reused after a restart.
pub fn endpoint(backend: &Backend) -> Endpoint {
    Endpoint {
        address: backend.address,
        process: backend.incarnation.started.map(|started| started.0),
    }
}

/// Effect of an entry on the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EntryChange {
    /// The entry is of the current process, or of a new back end.
    Listed,
    /// The entry is of a later start: this process has ended.
    StartedAgain(Incarnation),
    /// None: the entry is of an earlier start than this process.
    Outdated(Incarnation),
}

/// Pace reported by a back end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceReport {
    /// Back end.
    pub backend: BackendName,
    /// Reported pace.
    pub pace: Pace,
}

/// Requirements of a request on its back end.
pub struct BackendRequirements<'a> {
    /// Service that runs the request.
    pub service: &'a ServiceName,
    /// Sends of the request so far.
    pub attempts: &'a Attempts,
    /// Zones in which it may be processed.
    pub residency: &'a ResidencyPermit,
    /// What began the text that it continues; `None` if it begins one.
    pub origin: Option<&'a TextOrigin>,
    /// Hash for prefix affinity.
    pub affinity: Option<u64>,
    /// Maximum load of a back end in requests per slot, including this request.
    pub load_limit: f32,
    /// Time within which a response must be expected to begin without a wait, while such back ends have free slots;
    /// `None`: unlimited.
    pub begin_objective: Option<Duration>,
    /// Time within which the request must begin, under admission control; `None`: unlimited.
    pub begin_within: Option<Duration>,
}

/// Occupancy of the back ends of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Occupancy {
    /// Number of slots.
    pub slots: u32,
    /// Estimated number of requests.
    pub held: u32,
}

/// Estimated state of all back ends.
#[derive(Debug)]
pub struct Fleet {
    zone: ZoneName,
    states: HashMap<BackendName, BackendState>,
    index: FleetIndex,
    service_stats: HashMap<ServiceName, ServiceStats>,
    /// When the last view of other nodes' requests was applied.
    view_at: Option<Instant>,
    /// Time between two views of other nodes' requests.
    view_interval: Duration,
    /// Position of the ring of large services from which the next request looks for a back end.
    ring_position: Cell<u64>,
    /// Number of back ends that were visited since the start.
    visits: Cell<u64>,
    /// Back ends with a pace that this node has not passed on yet.
    unreported_paces: BTreeSet<BackendName>,
    slow_start: SlowStart,
    zone_drains: ZoneDrains,
    software: SoftwareHistory,
    /// Whether a software version was listed that had not been listed recently.
    has_new_software: bool,
}

impl Fleet {
    /// Creates an empty fleet for a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            states: HashMap::new(),
            index: FleetIndex::default(),
            service_stats: HashMap::new(),
            view_at: None,
            view_interval: Duration::ZERO,
            ring_position: Cell::new(0),
            visits: Cell::new(0),
            unreported_paces: BTreeSet::new(),
            slow_start: SlowStart::default(),
            zone_drains: ZoneDrains::default(),
            software: SoftwareHistory::default(),
            has_new_software: false,
        }
    }

    /// Returns the software versions that were listed recently.
    pub fn software(&self) -> &SoftwareHistory {
        &self.software
    }

    /// Returns whether a software version was listed, since the last call, that had not been listed recently.
    pub fn take_new_software(&mut self) -> bool {
        std::mem::take(&mut self.has_new_software)
    }

    /// Applies a complete listing. Returns the effect of each entry.
    pub fn replace(&mut self, now: Instant, backends: Vec<Backend>) -> Vec<EntryChange> {
        let names = backends.iter();
        let listed: HashSet<&BackendName> =
            names.map(|backend| &backend.incarnation.name).collect();
        let known = self.states.keys();
        let unlisted: Vec<BackendName> = known
            .filter(|name| !listed.contains(name))
            .cloned()
            .collect();
        for name in &unlisted {
            self.remove(now, name);
        }
        let backends = backends.into_iter();
        backends.map(|backend| self.upsert(now, backend)).collect()
    }

    /// Applies an entry that was added or has changed.
    pub fn upsert(&mut self, now: Instant, backend: Backend) -> EntryChange {
        let name = backend.incarnation.name.clone();
        if backend.warm_up.is_some() {
            self.slow_start.record_cold(name.clone());
        }
        self.visits.set(self.visits.get() + 1);
        let Some(state) = self.states.get_mut(&name) else {
            self.has_new_software |= self.software.list(now, &backend);
            let state = BackendState::new(now, backend, None);
            self.index.insert(&state.backend, state.identity);
            self.states.insert(name, state);
            return EntryChange::Listed;
        };
        self.index.remove(&state.backend, state.identity);
        let change = state.apply_entry(now, backend);
        self.index.insert(&state.backend, state.identity);
        if state.is_active() {
            self.index.activate(&state.backend);
        }
        self.index.set_local(&state.backend, state.in_flight > 0);
        if !matches!(change, EntryChange::Outdated(_)) {
            self.has_new_software |= self.software.list(now, &state.backend);
        }
        change
    }

    /// Removes a back end that is no longer listed, whichever process ran it.
    pub fn remove(&mut self, now: Instant, name: &BackendName) {
        self.slow_start.remove(name);
        self.software.remove(now, name);
        if let Some(state) = self.states.remove(name) {
            self.index.remove(&state.backend, state.identity);
        }
    }

    /// Returns the state of exactly this process, so that late reports of a previous one are ignored.
    fn state(&self, incarnation: &Incarnation) -> Option<&BackendState> {
        let state = self.states.get(&incarnation.name);
        state.filter(|state| state.backend.incarnation == *incarnation)
    }

    fn state_mut(&mut self, incarnation: &Incarnation) -> Option<&mut BackendState> {
        let state = self.states.get_mut(&incarnation.name);
        state.filter(|state| state.backend.incarnation == *incarnation)
    }

    /// Returns whether a process is listed, or was until the next start of its back end, and has not announced that
    /// it leaves.
    pub fn is_staying(&self, incarnation: &Incarnation) -> bool {
        let Some(state) = self.states.get(&incarnation.name) else {
            return false;
        };
        if state.backend.incarnation == *incarnation {
            return !state.backend.leaving;
        }
        let previous = state.previous.as_ref();
        previous.is_some_and(|previous| previous.incarnation == *incarnation && !previous.leaving)
    }

    /// Returns whether a later start of the back end is listed, which proves that this process has ended.
    pub fn has_started_again(&self, incarnation: &Incarnation) -> bool {
        let state = self.states.get(&incarnation.name);
        state.is_some_and(|state| incarnation.is_succeeded_by(&state.backend.incarnation))
    }

    /// Returns whether another back end was listed at the same address later, which proves that this one has ended. One
    /// that was listed earlier may have ended while its entry stayed.
    pub fn has_successor(&self, backend: &Backend) -> bool {
        let name = &backend.incarnation.name;
        let listed_at = |name| self.states.get(name).map(|state| state.listed_at);
        let own = listed_at(name);
        let at_address = self.index.at_address(backend.address);
        let mut others = at_address.filter(|other| *other != name);
        others.any(|other| own < listed_at(other))
    }

    /// Returns the number of back ends that were visited for changes, views, exchanges and requests since the start.
    /// It grows with these and not with the number of back ends.
    pub fn visits(&self) -> u64 {
        self.visits.get()
    }

    /// Returns the state of a back end, and counts the visit.
    fn visit(&self, name: &BackendName) -> Option<&BackendState> {
        self.visits.set(self.visits.get() + 1);
        self.states.get(name)
    }

    /// Returns the number of back ends.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether there are no back ends.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the estimated load of a back end in requests per slot; `None` if it is not listed.
    pub fn load(&self, now: Instant, incarnation: &Incarnation) -> Option<f32> {
        self.state(incarnation).map(|state| state.load(now))
    }

    /// Returns the estimated pace of a back end; `None` if it is unknown.
    pub fn pace(&self, now: Instant, incarnation: &Incarnation) -> Option<f32> {
        self.state(incarnation)?.pace.pace(now)
    }

    /// Returns the load of a service, in requests per slot, that back ends report and views don't show.
    pub fn unseen_load(&self, now: Instant, service: &ServiceName) -> f32 {
        let stats = self.service_stats.get(service);
        stats.map_or(0.0, |stats| stats.unseen(now).max(0.0))
    }

    /// Returns the services that have back ends.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.index.services().map(|(service, _)| service)
    }

    /// Returns the estimated occupancy of a service, without back ends that leave.
    pub fn occupancy(&self, now: Instant, service: &ServiceName) -> Occupancy {
        let Some(index) = self.index.service(service) else {
            return Occupancy::default();
        };
        let active = index.active.iter();
        let states = active.filter_map(|name| self.visit(name));
        let present = states.filter(|state| !state.backend.leaving);
        Occupancy {
            slots: index.slots,
            held: present.map(|state| state.held(now)).sum(),
        }
    }

    /// Returns whether a back end is estimated to hold more requests than it has slots.
    pub fn is_crowded(&self, now: Instant, incarnation: &Incarnation) -> bool {
        let state = self.state(incarnation);
        state.is_some_and(|state| state.held(now) > state.backend.slots)
    }

    /// Returns the number of requests at a back end beyond a load; `None` if there are none.
    pub fn excess(&self, now: Instant, incarnation: &Incarnation, load: f32) -> Option<usize> {
        let state = self.state(incarnation)?;
        let excess = state.held(now).checked_sub(state.allowed(load))?;
        (excess > 0).then_some(excess as usize)
    }

    /// Returns the current process of a back end.
    pub fn incarnation(&self, name: &BackendName) -> Option<&Incarnation> {
        self.states
            .get(name)
            .map(|state| &state.backend.incarnation)
    }

    /// Sets the time between two views of other nodes' requests.
    pub fn set_view_interval(&mut self, interval: Duration) {
        self.view_interval = interval;
    }

    /// Records that a request is about to be sent.
    pub fn record_start(&mut self, now: Instant, incarnation: &Incarnation) {
        self.fix_claims(incarnation);
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        state.in_flight += 1;
        state.claims.take(now);
        state.unresponsive_since.get_or_insert(now);
        let is_cold = state.is_cold(now);
        let service = state.backend.service.clone();
        if is_cold {
            self.slow_start.use_permit(now, &incarnation.name);
        }
        self.activate(&incarnation.name);
        self.update_local(&incarnation.name);
        self.service_stats.entry(service).or_default().sent(now);
    }

    /// Records that data of a response has arrived.
    pub fn record_activity(&mut self, now: Instant, incarnation: &Incarnation) {
        if let Some(state) = self.state_mut(incarnation) {
            state.unresponsive_since = Some(now);
        }
    }

    /// Records a successful request: its response began after `began_after` and took `rest` from then on.
    pub fn record_served(&mut self, service: &ServiceName, began_after: Duration, rest: Duration) {
        let stats = self.service_stats.entry(service.clone()).or_default();
        stats.served(began_after, rest);
    }

    /// Returns the expected wait of a request that is sent to a back end now.
    pub fn begin_delay(&self, now: Instant, incarnation: &Incarnation) -> Duration {
        let Some(state) = self.state(incarnation) else {
            return Duration::ZERO;
        };
        let stats = self.stats(&state.backend.service);
        state.begin_delay(now, &stats)
    }

    /// Records that a response began after `began_after`, where the expected wait was `expected`.
    pub fn record_begin(
        &mut self,
        now: Instant,
        service: &ServiceName,
        expected: Duration,
        began_after: Duration,
    ) {
        let stats = self.service_stats.entry(service.clone()).or_default();
        stats.began(now, expected, began_after);
    }

    /// Records that a request has ended, successfully or not.
    pub fn record_end(&mut self, now: Instant, incarnation: &Incarnation) {
        self.fix_claims(incarnation);
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        state.in_flight = state.in_flight.saturating_sub(1);
        if state.in_flight == 0 {
            state.unresponsive_since = None;
        }
        let service = state.backend.service.clone();
        let stats = self.stats(&service);
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        // If requests are queued there, one of them takes the slot.
        if state.free_capacity(now, &stats, Duration::ZERO) > 0.0 {
            state.claims.release(now);
        }
        self.update_local(&incarnation.name);
    }

    /// Records the load that a back end reported with a response.
    pub fn record_load(&mut self, now: Instant, incarnation: &Incarnation, load: ReportedLoad) {
        self.fix_claims(incarnation);
        let Some(state) = self.state_mut(incarnation) else {
            return;
        };
        let total = load.running + load.waiting;
        let remote = total.saturating_sub(state.in_flight);
        state.report = Some(LoadReport {
            remote,
            at: now,
            from_backend: true,
        });
        let beyond = (remote as f32 - state.remote_load_in_view(now)) / state.slots();
        let pace = load.pace.map(|pace| {
            state.unreported_pace = Some(pace);
            state.pace.record_report(now, pace);
            state.pace.factor(now)
        });
        let service = state.backend.service.clone();
        let stats = self.service_stats.entry(service).or_default();
        stats.record_unseen(now, beyond);
        if let Some(pace) = pace {
            stats.record_pace(pace);
            self.unreported_paces.insert(incarnation.name.clone());
        }
        self.activate(&incarnation.name);
    }

    /// Records that a process has ended, as observed by this node or another one. Its back end gets no requests until
    /// its next start is listed, or for the maximum ejection time, about as long as its entry stays.
    pub fn record_exit(&mut self, now: Instant, incarnation: &Incarnation) {
        let Some(state) = self.states.get_mut(&incarnation.name) else {
            return;
        };
        // If a later process has ended, the listed earlier one has ended too.
        let current = &state.backend.incarnation;
        if current == incarnation || current.is_succeeded_by(incarnation) {
            state.ejected_until = Some(now + MAX_EJECTION);
        }
    }

    /// Records the outcome of a request. Returns whether the back end is ejected because of it.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        incarnation: &Incarnation,
        outcome: BackendOutcome,
    ) -> bool {
        let Some(state) = self.state_mut(incarnation) else {
            return false;
        };
        match outcome {
            BackendOutcome::Answered | BackendOutcome::Failed => {
                let quality = match outcome {
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
                self.fix_claims(incarnation);
                self.activate(&incarnation.name);
                let Some(state) = self.state_mut(incarnation) else {
                    return false;
                };
                state.report = Some(LoadReport {
                    remote: state.backend.slots * 2,
                    at: now,
                    from_backend: true,
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
