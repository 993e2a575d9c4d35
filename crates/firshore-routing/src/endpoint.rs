//! The table of back ends, found on the request path by small indexes instead of names.

use crate::digest::NameHash;
use crate::ejection::{Health, LARGEST_EJECTED_SHARE, OUTLIER_SAMPLES, OUTLIER_SLOWDOWN};
use crate::load::{LoadReport, LoadState};
use crate::speed::{FleetMean, Observation, Speed};
use firshore_types::ids::{MachineName, RegionName, ZoneName};
use firshore_types::labels::Labels;
use firshore_types::machine::{Machine, MachineState};
use std::collections::HashMap;
use std::net::SocketAddr;

/// Time after which a back end that is no longer listed and does not answer is given nothing, in
/// milliseconds. The list lags and may be cut short, so absence alone is no proof.
pub const ABSENT_GRACE_MILLISECONDS: u64 = 10_000;

/// Time for which a back end is taken for draining after it last said so, in milliseconds.
pub const DRAINING_MEMORY_MILLISECONDS: u64 = 60_000;

/// One-way distance in milliseconds to another zone of the same region, unless told otherwise.
pub const OTHER_ZONE_MILLISECONDS: f32 = 1.0;

/// One-way distance in milliseconds to another region, unless told otherwise.
pub const OTHER_REGION_MILLISECONDS: f32 = 40.0;

/// Position of a back end in the table. It is used again only after the back end is gone and all
/// its requests have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub u16);

/// Where a node stands, from which distances follow.
#[derive(Clone, Debug)]
pub struct Locality {
    /// The node's region.
    pub region: RegionName,
    /// The node's zone.
    pub zone: ZoneName,
}

impl Locality {
    /// One-way distance to a machine in milliseconds.
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

/// One back end.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// Name.
    pub name: MachineName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its labels.
    pub labels: Labels,
    /// One-way distance in milliseconds.
    pub distance: f32,
    /// Load.
    pub load: LoadState,
    /// Speed.
    pub speed: Speed,
    /// Health.
    pub health: Health,
    leaving: bool,
    draining_until: u64,
    listed: bool,
    unlisted_at: u64,
    answered_at: u64,
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
            speed: Speed::default(),
            health: Health::default(),
            leaving: machine.state == MachineState::Leaving,
            draining_until: 0,
            listed: true,
            unlisted_at: 0,
            answered_at: 0,
            removed: false,
        }
    }

    /// Whether it may be given new work at `now`, its health aside.
    pub fn available(&self, now: u64) -> bool {
        !self.removed && !self.leaving && now >= self.draining_until && self.present(now)
    }

    fn present(&self, now: u64) -> bool {
        let last = self.unlisted_at.max(self.answered_at);
        self.listed || now < last + ABSENT_GRACE_MILLISECONDS
    }
}

/// What a back end did with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered, whatever the status, if the back end itself is sound.
    Completed,
    /// Gave no answer, broke off, or failed.
    Failed,
    /// Said that it is full; says nothing about its health.
    Refused,
    /// The caller gave up; says nothing about the back end.
    Cancelled,
}

/// All back ends that the node knows.
#[derive(Debug)]
pub struct EndpointTable {
    locality: Locality,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<MachineName, EndpointIndex>,
    by_hash: HashMap<NameHash, EndpointIndex>,
    version: u64,
    mean_foreign: FleetMean,
    mean_slowdown: FleetMean,
    mean_requests: FleetMean,
}

impl EndpointTable {
    /// An empty table of a node that stands at `locality`.
    pub fn new(locality: Locality) -> Self {
        Self {
            locality,
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            by_hash: HashMap::new(),
            version: 0,
            mean_foreign: FleetMean::starting_at(0.0),
            mean_slowdown: FleetMean::starting_at(1.0),
            mean_requests: FleetMean::starting_at(0.0),
        }
    }

    /// Counts changes of the back ends, their addresses, labels or states of leaving.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Indexes of the back ends in use.
    pub fn indexes(&self) -> impl Iterator<Item = EndpointIndex> + '_ {
        let used = |position: &usize| !self.endpoints[*position].removed;
        (0..self.endpoints.len())
            .filter(used)
            .map(|position| EndpointIndex(position as u16))
    }

    /// The back end at `index`.
    pub fn get(&self, index: EndpointIndex) -> &Endpoint {
        &self.endpoints[usize::from(index.0)]
    }

    pub(crate) fn get_mut(&mut self, index: EndpointIndex) -> &mut Endpoint {
        &mut self.endpoints[usize::from(index.0)]
    }

    /// The index of the back end called `name`.
    pub fn find(&self, name: &MachineName) -> Option<EndpointIndex> {
        self.by_name.get(name).copied()
    }

    /// The index of the back end whose name has this hash.
    pub fn find_hash(&self, hash: NameHash) -> Option<EndpointIndex> {
        self.by_hash.get(&hash).copied()
    }

    /// Mean of the requests that other nodes cause on one back end.
    pub fn mean_foreign(&self) -> f32 {
        self.mean_foreign.value()
    }

    /// Mean of the requests found at a back end when one more was sent to it.
    pub fn mean_requests(&self) -> f32 {
        self.mean_requests.value()
    }

    /// Takes in the requests found at a back end when one more was sent to it.
    pub fn observe_requests(&mut self, requests: f32) {
        self.mean_requests.observe(requests);
    }

    /// Mean slowdown of the fleet.
    pub fn mean_slowdown(&self) -> f32 {
        self.mean_slowdown.value()
    }

    /// Brings the table in line with the machine list read at `now`.
    pub fn update(&mut self, now: u64, machines: &[Machine]) {
        let mut listed = vec![false; self.endpoints.len()];
        for machine in machines {
            if let Some(index) = self.upsert(machine)
                && let Some(seen) = listed.get_mut(usize::from(index.0))
            {
                *seen = true;
            }
        }
        for (position, seen) in listed.iter().enumerate() {
            if !seen {
                self.unlist(now, EndpointIndex(position as u16));
            }
        }
    }

    fn upsert(&mut self, machine: &Machine) -> Option<EndpointIndex> {
        let distance = self.locality.distance(machine);
        if let Some(index) = self.find(&machine.name) {
            let leaving = machine.state == MachineState::Leaving;
            let endpoint = self.get_mut(index);
            let same = endpoint.address == machine.address
                && endpoint.labels == machine.labels
                && endpoint.zone == machine.zone
                && endpoint.leaving == leaving;
            endpoint.listed = true;
            if !same {
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
        let unused = |endpoint: &Endpoint| endpoint.removed && endpoint.load.own_requests() == 0;
        let position = self.endpoints.iter().position(unused);
        let position = position.unwrap_or(self.endpoints.len());
        // The last index stands for "none" in the affinity index.
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
        if !endpoint.present(now) {
            endpoint.removed = true;
            let name = endpoint.name.clone();
            self.by_name.remove(&name);
            self.by_hash.remove(&NameHash::of(name.as_str()));
            self.version += 1;
        }
    }

    /// Takes in a load report measured at `measured_at`.
    pub fn report(&mut self, index: EndpointIndex, measured_at: u64, report: LoadReport) {
        let endpoint = self.get_mut(index);
        if let Some(foreign) = endpoint.load.take_report(measured_at, report) {
            self.mean_foreign.observe(foreign as f32);
        }
    }

    /// Notes at `now` that the back end says it drains.
    pub fn draining(&mut self, now: u64, index: EndpointIndex) {
        self.get_mut(index).draining_until = now + DRAINING_MEMORY_MILLISECONDS;
    }

    /// Notes at `now` that the back end answered, for better or worse. Returns until when it is
    /// ejected if this outcome ejected it.
    pub fn outcome(&mut self, now: u64, index: EndpointIndex, outcome: Outcome) -> Option<u64> {
        let endpoint = self.get_mut(index);
        match outcome {
            Outcome::Cancelled => None,
            Outcome::Refused => {
                endpoint.answered_at = now;
                endpoint.health.refused(now);
                None
            }
            Outcome::Completed => {
                endpoint.answered_at = now;
                endpoint.health.succeeded(now);
                self.eject_if_outlier(now, index)
            }
            Outcome::Failed => {
                let due = endpoint.health.failed(now);
                (due && self.may_eject(now)).then(|| self.get_mut(index).health.eject(now))
            }
        }
    }

    fn eject_if_outlier(&mut self, now: u64, index: EndpointIndex) -> Option<u64> {
        let mean = self.mean_slowdown();
        let speed = &self.get(index).speed;
        let outlier = speed.samples() >= OUTLIER_SAMPLES
            && speed.slowdown(now, mean) > OUTLIER_SLOWDOWN * mean;
        (outlier && !self.get(index).health.ejected(now) && self.may_eject(now))
            .then(|| self.get_mut(index).health.eject(now))
    }

    fn may_eject(&self, now: u64) -> bool {
        let total = self.indexes().count() as f32;
        let ejected = self
            .indexes()
            .filter(|index| self.get(*index).health.ejected(now))
            .count() as f32;
        ejected + 1.0 <= total * LARGEST_EJECTED_SHARE
    }

    /// Takes in an observation of a back end's speed.
    pub fn observe_speed(&mut self, now: u64, index: EndpointIndex, observation: Observation) {
        let mean = self.mean_slowdown();
        let endpoint = self.get_mut(index);
        endpoint.speed.observe(now, mean, observation);
        let slowdown = endpoint.speed.slowdown(now, mean);
        self.mean_slowdown.observe_bounded(slowdown);
    }
}
