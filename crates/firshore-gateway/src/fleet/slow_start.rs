//! Slow start: cold back ends of a service with a cold rate get only the requests that this node holds permits for.

use super::Fleet;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::BackendName;
use firshore_limits::slow_start::{PermitPool, SendPermit};
use firshore_types::ids::ServiceName;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// Rates of cold back ends, and the permits of this node.
#[derive(Debug, Default)]
pub(super) struct SlowStart {
    /// Requests per second that a cold back end may get from all nodes, by service.
    rates: HashMap<ServiceName, f64>,
    permits: PermitPool,
    /// Listed back ends whose entries said that they are cold since this was last taken, which only the issuer of
    /// permits does.
    newly_cold: BTreeSet<BackendName>,
}

impl SlowStart {
    /// Records that an entry says that a back end is cold.
    pub(super) fn record_cold(&mut self, backend: BackendName) {
        self.newly_cold.insert(backend);
    }

    /// Removes a back end that is no longer listed.
    pub(super) fn remove(&mut self, backend: &BackendName) {
        self.newly_cold.remove(backend);
    }

    /// Returns whether a request may be sent to a cold back end.
    pub(super) fn allows(&self, now: Instant, backend: &Backend) -> bool {
        !self.rates.contains_key(&backend.service)
            || self.permits.allows(now, &backend.incarnation.name)
    }

    /// Uses up a permit for a request to a cold back end.
    pub(super) fn use_permit(&mut self, now: Instant, backend: &BackendName) {
        self.permits.take(now, backend);
    }
}

impl Fleet {
    /// Sets the requests per second that one cold back end may get from all nodes, by service.
    pub fn set_cold_rates(&mut self, rates: HashMap<ServiceName, f64>) {
        self.slow_start.rates = rates;
    }

    /// Adds permits to send requests to cold back ends.
    pub fn add_permits(&mut self, permits: impl IntoIterator<Item = SendPermit>) {
        for permit in permits {
            self.slow_start.permits.add(permit);
        }
    }

    /// Returns the requests per second that a back end may get from all nodes; `None` if it isn't cold or not limited.
    pub fn cold_rate(&self, now: Instant, name: &BackendName) -> Option<f64> {
        let state = self.states.get(name).filter(|state| state.is_cold(now))?;
        self.slow_start.rates.get(&state.backend.service).copied()
    }

    /// Returns the back ends that are cold.
    pub fn cold(&self, now: Instant) -> impl Iterator<Item = &BackendName> {
        let cold = self
            .states
            .iter()
            .filter(move |(_, state)| state.is_cold(now));
        cold.map(|(name, _)| name)
    }

    /// Takes the listed back ends whose entries said that they are cold since the last call.
    pub fn take_newly_cold(&mut self) -> BTreeSet<BackendName> {
        std::mem::take(&mut self.slow_start.newly_cold)
    }
}
