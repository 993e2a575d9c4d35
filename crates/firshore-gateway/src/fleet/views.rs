//! Views of the requests and paces of other nodes, and what this node reports to them.

use super::claims::ViewAllotment;
use super::{Fleet, PaceReport};
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_types::ids::ServiceName;
use rand::{Rng, RngExt};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// Requests in flight at a service, from this node and from all nodes.
#[derive(Clone, Copy, Debug, Default)]
struct LocalFraction {
    local: u32,
    total: u32,
}

impl LocalFraction {
    /// Returns this node's fraction of the free capacity: its fraction of the requests in flight, and more than 0 if
    /// it has none.
    fn of_capacity(&self) -> f32 {
        (self.local as f32 + 1.0) / (self.total as f32 + 1.0)
    }
}

impl Fleet {
    /// Returns the requests of this node in flight at the current process of each back end, without idle ones.
    pub fn in_flight(&self) -> impl Iterator<Item = (BackendName, u32)> {
        let local = self.index.local();
        let states = local.filter_map(|name| Some((name, self.visit(name)?)));
        states.map(|(name, state)| (name.clone(), state.in_flight))
    }

    /// Applies a view of the requests that other nodes have in flight. Back ends that it doesn't contain are idle.
    ///
    /// Visits the back ends in the view and those that were active before.
    pub fn apply_remote_load(
        &mut self,
        now: Instant,
        remote: &HashMap<BackendName, u32>,
        random: &mut impl Rng,
    ) {
        self.view_at = Some(now);
        let seed = random.random();
        self.ring_position.set(seed);
        let active: Vec<BackendName> = self.index.active().cloned().collect();
        let mut fractions: HashMap<ServiceName, LocalFraction> = HashMap::new();
        let visited: BTreeSet<&BackendName> = active.iter().chain(remote.keys()).collect();
        self.visits.set(self.visits.get() + visited.len() as u64);
        for name in visited {
            let Some(state) = self.states.get_mut(name) else {
                continue;
            };
            let remote = remote.get(name).copied().unwrap_or(0);
            state.apply_view(now, remote);
            if state.is_active() {
                self.index.activate(&state.backend);
            } else {
                self.index.deactivate(&state.backend);
            }
            let fraction = fractions.entry(state.backend.service.clone()).or_default();
            fraction.local += state.in_flight;
            fraction.total += state.in_flight + remote;
        }
        for (service, index) in self.index.services_mut() {
            let fraction = fractions.get(service).copied().unwrap_or_default();
            index.allotment = Some(ViewAllotment {
                at: now,
                seed,
                fraction: fraction.of_capacity(),
            });
        }
    }

    /// Fixes the claims on a back end whose load is about to change.
    pub(super) fn fix_claims(&mut self, incarnation: &Incarnation) {
        let Some(state) = self.states.get_mut(&incarnation.name) else {
            return;
        };
        let service = &state.backend.service;
        let view = self.index.service(service);
        let view = view.and_then(|index| index.allotment.as_ref());
        if let Some(stats) = self.service_stats.get(service) {
            state.fix_claims(view, stats);
        } else {
            state.fix_claims(view, &Default::default());
        }
    }

    /// Records that the requests of this node at a back end have changed.
    pub(super) fn update_local(&mut self, name: &BackendName) {
        if let Some(state) = self.states.get(name) {
            self.index.set_local(&state.backend, state.in_flight > 0);
        }
    }

    /// Records that a back end may hold requests.
    pub(super) fn activate(&mut self, name: &BackendName) {
        if let Some(state) = self.states.get(name) {
            self.index.activate(&state.backend);
        }
    }

    /// Returns the paces that back ends reported to this node since the last call, to be reported to other nodes.
    pub fn take_unreported_paces(&mut self) -> Vec<PaceReport> {
        let names = std::mem::take(&mut self.unreported_paces).into_iter();
        let paces = names.filter_map(|backend| {
            let state = self.states.get_mut(&backend)?;
            let pace = state.unreported_pace.take()?;
            Some(PaceReport { backend, pace })
        });
        paces.collect()
    }

    /// Applies paces that back ends reported to other nodes.
    pub fn apply_remote_paces(&mut self, now: Instant, paces: Vec<PaceReport>) {
        for report in paces {
            let Some(state) = self.states.get_mut(&report.backend) else {
                continue;
            };
            state.pace.record_report(now, report.pace);
            let service = state.backend.service.clone();
            let stats = self.service_stats.entry(service).or_default();
            stats.record_pace(state.pace.factor(now));
        }
    }
}
