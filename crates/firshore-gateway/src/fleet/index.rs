//! Indexes over the back ends, updated entry by entry: the work of a change doesn't depend on their number.

use super::claims::ViewAllotment;
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::BackendName;
use firshore_types::ids::ServiceName;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Back ends of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceIndex {
    /// All back ends, in order of name.
    names: BTreeSet<BackendName>,
    /// The same in order of the hash of their names.
    ring: BTreeSet<(u64, BackendName)>,
    /// Slots of the back ends that don't leave.
    pub(super) slots: u32,
    /// Back ends that hold requests by any estimate; all others are idle.
    pub(super) active: BTreeSet<BackendName>,
    /// Back ends that hold requests of this node.
    pub(super) local: BTreeSet<BackendName>,
    /// Slots that this node may take by the last view.
    pub(super) allotment: Option<ViewAllotment>,
}

impl ServiceIndex {
    /// Returns the number of back ends.
    pub(super) fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns all back ends in order of name.
    pub(super) fn names(&self) -> impl Iterator<Item = &BackendName> {
        self.names.iter()
    }

    /// Returns all back ends, starting at a position of the ring and wrapping around at its end.
    pub(super) fn ring_from(&self, start: u64) -> impl Iterator<Item = &BackendName> {
        let start = (start, BackendName::from(""));
        let (before, after) = (self.ring.range(..start.clone()), self.ring.range(start..));
        after.chain(before).map(|(_, name)| name)
    }
}

/// Indexes over all back ends.
#[derive(Debug, Default)]
pub(super) struct FleetIndex {
    services: BTreeMap<ServiceName, ServiceIndex>,
    by_address: BTreeSet<(SocketAddr, BackendName)>,
}

impl FleetIndex {
    /// Adds a back end. `identity` is the hash of its name.
    pub(super) fn insert(&mut self, backend: &Backend, identity: u64) {
        let name = &backend.incarnation.name;
        self.by_address.insert((backend.address, name.clone()));
        let service = match self.services.get_mut(&backend.service) {
            Some(service) => service,
            None => self.services.entry(backend.service.clone()).or_default(),
        };
        service.names.insert(name.clone());
        service.ring.insert((identity, name.clone()));
        service.slots += counted_slots(backend);
    }

    /// Removes a back end as it was added.
    pub(super) fn remove(&mut self, backend: &Backend, identity: u64) {
        let name = &backend.incarnation.name;
        self.by_address.remove(&(backend.address, name.clone()));
        let Some(service) = self.services.get_mut(&backend.service) else {
            return;
        };
        service.names.remove(name);
        service.ring.remove(&(identity, name.clone()));
        service.active.remove(name);
        service.local.remove(name);
        service.slots -= counted_slots(backend);
        if service.names.is_empty() {
            self.services.remove(&backend.service);
        }
    }

    /// Returns the services that have back ends.
    pub(super) fn services(&self) -> impl Iterator<Item = (&ServiceName, &ServiceIndex)> {
        self.services.iter()
    }

    /// Returns the services that have back ends.
    pub(super) fn services_mut(
        &mut self,
    ) -> impl Iterator<Item = (&ServiceName, &mut ServiceIndex)> {
        self.services.iter_mut()
    }

    /// Returns a service if it has back ends.
    pub(super) fn service(&self, service: &ServiceName) -> Option<&ServiceIndex> {
        self.services.get(service)
    }

    /// Records that a back end holds requests.
    pub(super) fn activate(&mut self, backend: &Backend) {
        let name = &backend.incarnation.name;
        if let Some(service) = self.services.get_mut(&backend.service)
            && !service.active.contains(name)
        {
            service.active.insert(name.clone());
        }
    }

    /// Records that a back end is idle.
    pub(super) fn deactivate(&mut self, backend: &Backend) {
        if let Some(service) = self.services.get_mut(&backend.service) {
            service.active.remove(&backend.incarnation.name);
        }
    }

    /// Records whether a back end holds requests of this node.
    pub(super) fn set_local(&mut self, backend: &Backend, holds_any: bool) {
        let name = &backend.incarnation.name;
        let Some(service) = self.services.get_mut(&backend.service) else {
            return;
        };
        match holds_any {
            true => service.local.insert(name.clone()),
            false => service.local.remove(name),
        };
    }

    /// Returns the back ends that hold requests of this node.
    pub(super) fn local(&self) -> impl Iterator<Item = &BackendName> {
        self.services.values().flat_map(|service| &service.local)
    }

    /// Returns the back ends that hold requests.
    pub(super) fn active(&self) -> impl Iterator<Item = &BackendName> {
        self.services.values().flat_map(|service| &service.active)
    }

    /// Returns the back ends at an address.
    pub(super) fn at_address(&self, address: SocketAddr) -> impl Iterator<Item = &BackendName> {
        let from = (address, BackendName::from(""));
        let entries = self.by_address.range(from..);
        let here = entries.take_while(move |(other, _)| *other == address);
        here.map(|(_, name)| name)
    }
}

fn counted_slots(backend: &Backend) -> u32 {
    match backend.leaving {
        true => 0,
        false => backend.slots,
    }
}
