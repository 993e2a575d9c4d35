//! The table of back ends, addressed on the request path by small indexes instead of names.

use crate::digest::NameHash;
use crate::ejection::{
    EndpointHealth, MAX_EJECTED_FRACTION, MIN_OUTLIER_SAMPLES, OUTLIER_SLOWDOWN,
};
use crate::load::{LoadReport, LoadState};
use crate::speed::{FleetMean, SpeedEstimate, SpeedObservation};
use firshore_types::ids::{MachineName, RegionName, ZoneName};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time after which a back end that is no longer listed and does not respond is removed, in
/// milliseconds. The machine list may be stale or truncated, so a back end that still responds is
/// kept.
pub const ABSENT_GRACE_MILLISECONDS: u64 = 10_000;

/// Time for which a back end counts as draining after it last reported so, in milliseconds.
pub const DRAINING_MILLISECONDS: u64 = 60_000;

/// Assumed one-way network latency to another zone of the same region, in milliseconds.
pub const OTHER_ZONE_MILLISECONDS: f32 = 1.0;

/// Assumed one-way network latency to another region, in milliseconds.
pub const OTHER_REGION_MILLISECONDS: f32 = 40.0;

/// Index of a back end in the table. It is reused only after the back end was removed and all its
/// requests have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub u16);

/// The location of a node, from which distances to back ends are derived.
#[derive(Clone, Debug)]
pub struct Locality {
    /// The node's region.
    pub region: RegionName,
    /// The node's zone.
    pub zone: ZoneName,
}

impl Locality {
    /// Returns the assumed one-way network latency to `machine` in milliseconds.
    pub fn distance(&self, machine: &Machine) -> f32 {
        if machine.zone == self.zone {
            0.0
        } else if machine.region == self.region {
            OTHER_ZONE_MILLISECONDS
        } else {
            OTHER_REGION_MILLISECONDS
        }
    }
}

/// A back end, with what this node has observed of it. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Its unique name.
    pub name: MachineName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Zone in which it runs.
    pub zone: ZoneName,
    /// Its labels, against which selectors are matched.
    pub labels: Labels,
    /// One-way network latency from this node in milliseconds.
    pub distance: f32,
    /// Reported load and this node's requests.
    pub load: LoadState,
    /// Observed speed.
    pub speed: SpeedEstimate,
    /// Recent failures and ejections.
    pub health: EndpointHealth,
    leaving: bool,
    draining_until: u64,
    listed: bool,
    unlisted_at: u64,
    responded_at: u64,
    removed: bool,
}

impl Endpoint {
    fn new(machine: &Machine, distance: f32) -> Self {
        Self {
            name: machine.name.clone(),
            address: machine.address,
            zone: machine.zone.clone(),
            labels: machine.labels.clone(),
            distance,
            load: LoadState::default(),
            speed: SpeedEstimate::default(),
            health: EndpointHealth::default(),
            leaving: machine.state == MachineState::Leaving,
            draining_until: 0,
            listed: true,
            unlisted_at: 0,
            responded_at: 0,
            removed: false,
        }
    }

    /// Returns whether the back end may get new requests at `now`, regardless of its health.
    pub fn is_available(&self, now: u64) -> bool {
        !self.removed && !self.leaving && now >= self.draining_until && self.is_present(now)
    }

    fn is_present(&self, now: u64) -> bool {
        let last = self.unlisted_at.max(self.responded_at);
        self.listed || now < last + ABSENT_GRACE_MILLISECONDS
    }
}

/// How a request at a back end ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The back end responded, with any status that does not indicate a fault of the back end.
    Completed,
    /// The back end did not respond, closed the connection early, or reported a fault.
    Failed,
    /// The back end reported that it is full; not counted as a failure.
    Refused,
    /// The caller cancelled the request; has no effect on the back end's health.
    Cancelled,
}

/// All back ends of the machine list, with fleet-wide means.
#[derive(Debug)]
pub struct EndpointTable {
    locality: Locality,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<MachineName, EndpointIndex>,
    by_hash: HashMap<NameHash, EndpointIndex>,
    version: u64,
    mean_remote_requests: FleetMean,
    mean_slowdown: FleetMean,
    mean_requests: FleetMean,
}

impl EndpointTable {
    /// Creates an empty table for a node at `locality`.
    pub fn new(locality: Locality) -> Self {
        Self {
            locality,
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            version: 0,
            mean_remote_requests: FleetMean::starting_at(0.0),
            mean_slowdown: FleetMean::starting_at(1.0),
            mean_requests: FleetMean::starting_at(0.0),
        }
    }

    /// Returns a number that increases whenever a back end is added or removed, or its address,
    /// zone, labels or leaving state change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the indexes of all back ends that are not removed, in ascending order.
    pub fn indexes(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let in_use = |position: &usize| !self.endpoints[*position].removed;
        (0..self.endpoints.len())
            .filter(in_use)
            .map(|position| EndpointIndex(position as u16))
    }

    /// Returns the back end at `index`.
    ///
    /// # Panics
    ///
    /// Panics if no back end ever had this index.
    pub fn get(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[usize::from(index.0)]
    }

    pub(crate) fn get_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[usize::from(index.0)]
    }

    /// Returns the index of the back end with this name.
    pub fn find(&self, name: &MachineName) -> Option<EndpointIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the index of the back end whose name has this hash.
    pub fn find_by_hash(&self, hash: NameHash) -> Option<EndpointIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// Returns the fleet's mean number of requests of other nodes per back end.
    pub fn mean_remote_requests(&self) -> f32 {
        self.mean_remote_requests.value()
    }

    /// Returns the mean number of requests already at a back end when this node sends one to it.
    pub fn mean_requests(&self) -> f32 {
        self.mean_requests.value()
    }

    /// Records the estimated number of requests already at a back end when this node sends one to
    /// it.
    pub fn observe_requests(&mut self, requests: f32) {
        self.mean_requests.observe(requests);
    }

    /// Returns the fleet's mean slowdown; see [`crate::speed`].
    pub fn mean_slowdown(&self) -> f32 {
        self.mean_slowdown.value()
    }

    /// Updates the table from the machine list read at `now`. Back ends that are missing from the
    /// list are removed after [`ABSENT_GRACE_MILLISECONDS`] without a response. Machines beyond
    /// the capacity of 65,535 back ends are ignored.
    pub fn update(&mut self, now: u64, machines: &[Machine]) {
        let mut listed = vec![false; self.endpoints.len()];
        for machine in machines {
            if let Some(index) = self.upsert(machine)
                && let Some(is_listed) = listed.get_mut(usize::from(index.0))
            {
                *is_listed = true;
            }
        }
        for (position, is_listed) in listed.iter().enumerate() {
            if !is_listed {
                self.unlist(now, EndpointIndex(position as u16));
            }
        }
    }

    fn upsert(&mut self, machine: &Machine) -> Option<EndpointIndex> {
        let distance = self.locality.distance(machine);
        if let Some(index) = self.find(&machine.name) {
            let leaving = machine.state == MachineState::Leaving;
            let endpoint = self.get_mut(index);
            let unchanged = endpoint.address == machine.address
                && endpoint.labels == machine.labels
                && endpoint.zone == machine.zone
                && endpoint.leaving == leaving;
            endpoint.listed = true;
            if !unchanged {
                endpoint.address = machine.address;
                endpoint.labels = machine.labels.clone();
                endpoint.zone = machine.zone.clone();
                endpoint.distance = distance;
                endpoint.leaving = leaving;
                self.version += 1;
            }
            return Some(index);
        }
        let index = self.free_index()?;
        let endpoint = Endpoint::new(machine, distance);
        match self.endpoints.get_mut(usize::from(index.0)) {
            Some(slot) => *slot = endpoint,
            None => self.endpoints.push(endpoint),
        }
        self.by_hash
            .insert(NameHash::of(machine.name.as_str()), index);
        self.by_name.insert(machine.name.clone(), index);
        self.version += 1;
        Some(index)
    }

    fn free_index(&self) -> Option<EndpointIndex> {
        let is_free = |endpoint: &Endpoint| endpoint.removed && endpoint.load.local_requests() == 0;
        let position = self.endpoints.iter().position(is_free);
        let position = position.unwrap_or(self.endpoints.len());
        // The affinity index uses `u16::MAX` to mark unused positions.
        (position < usize::from(u16::MAX)).then_some(EndpointIndex(position as u16))
    }

    fn unlist(&mut self, now: u64, index: EndpointIndex) {
        let endpoint = self.get_mut(index);
        if endpoint.removed {
            return;
        }
        if endpoint.listed {
            endpoint.listed = false;
            endpoint.unlisted_at = now;
        }
        if !endpoint.is_present(now) {
            endpoint.removed = true;
            let name = endpoint.name.clone();
            self.by_name.remove(&name);
            self.by_hash.remove(&NameHash::of(name.as_str()));
            self.version += 1;
        }
    }

    /// Records a load report that was measured at `measured_at`.
    pub fn record_report(&mut self, index: EndpointIndex, measured_at: u64, report: LoadReport) {
        let endpoint = self.get_mut(index);
        if let Some(remote_requests) = endpoint.load.apply_report(measured_at, report) {
            self.mean_remote_requests.observe(remote_requests as f32);
        }
    }

    /// Records that the back end reported at `now` that it is draining.
    pub fn record_draining(&mut self, now: u64, index: EndpointIndex) {
        self.get_mut(index).draining_until = now + DRAINING_MILLISECONDS;
    }

    /// Records the outcome of a request that ended at `now`. If the outcome causes an ejection,
    /// returns the time at which the ejection ends.
    pub fn record_outcome(
        &mut self,
        now: u64,
        index: EndpointIndex,
        outcome: Outcome,
    ) -> Option<u64> {
        let endpoint = self.get_mut(index);
        match outcome {
            Outcome::Cancelled => None,
            Outcome::Refused => {
                endpoint.responded_at = now;
                endpoint.health.record_refusal(now);
                None
            }
            Outcome::Completed => {
                endpoint.responded_at = now;
                endpoint.health.record_success(now);
                self.eject_if_outlier(now, index)
            }
            Outcome::Failed => {
                let should_eject = endpoint.health.record_failure(now);
                (should_eject && self.can_eject(now)).then(|| self.get_mut(index).health.eject(now))
            }
        }
    }

    fn eject_if_outlier(&mut self, now: u64, index: EndpointIndex) -> Option<u64> {
        let mean = self.mean_slowdown();
        let speed = &self.get(index).speed;
        let outlier = speed.samples() >= MIN_OUTLIER_SAMPLES
            && speed.slowdown(now, mean) > OUTLIER_SLOWDOWN * mean;
        (outlier && !self.get(index).health.is_ejected(now) && self.can_eject(now))
            .then(|| self.get_mut(index).health.eject(now))
    }

    fn can_eject(&self, now: u64) -> bool {
        let total = self.indexes().count() as f32;
        let ejected = self
            .indexes()
            .filter(|index| self.get(*index).health.is_ejected(now))
            .count() as f32;
        ejected + 1.0 <= total * MAX_EJECTED_FRACTION
    }

    /// Records an observation of a back end's speed.
    pub fn observe_speed(&mut self, now: u64, index: EndpointIndex, observation: SpeedObservation) {
        let mean = self.mean_slowdown();
        let endpoint = self.get_mut(index);
        endpoint.speed.observe(now, mean, observation);
        let slowdown = endpoint.speed.slowdown(now, mean);
        self.mean_slowdown.observe_bounded(slowdown);
    }
}
