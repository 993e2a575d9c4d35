//! Pressure of online requests on the capacity of services, counted between two reports. No I/O.

use firshore_types::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Pressure on one service since the last report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// Service that the requests were for.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Counts by cause.
    #[serde(flatten)]
    pub counts: PressureCounts,
}

/// Numbers of requests that found too little capacity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureCounts {
    /// Requests that began to wait for a free slot.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
    /// Requests whose response began later than their route's objective.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub late: u32,
    /// Requests that were refused because capacity was missing.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub refused: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl PressureCounts {
    /// Returns the sum of all counts. A request counts once for each cause.
    pub fn sum(&self) -> u32 {
        let served = self.waiting.saturating_add(self.late);
        served.saturating_add(self.refused)
    }

    fn add(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
    }
}

/// Counts pressure by service until it is reported.
///
/// A lost report is not repeated: old pressure would count as present.
#[derive(Debug, Default)]
pub struct PressureCounter {
    services: BTreeMap<ServiceName, PressureCounts>,
}

impl PressureCounter {
    /// Counts a request that begins to wait for a free slot, at this node or at a back end.
    pub fn waited(&mut self, service: &ServiceName) {
        let counts = self.counts(service);
        counts.waiting = counts.waiting.saturating_add(1);
    }

    /// Counts the requests that a back end reports as waiting there.
    pub fn reported(&mut self, service: &ServiceName, waiting: u32) {
        if waiting == 0 {
            return;
        }
        let counts = self.counts(service);
        counts.waiting = counts.waiting.saturating_add(waiting);
    }

    /// Counts a response that begins later than its route's objective.
    pub fn late(&mut self, service: &ServiceName) {
        let counts = self.counts(service);
        counts.late = counts.late.saturating_add(1);
    }

    /// Counts a request that is refused because capacity is missing.
    pub fn refused(&mut self, service: &ServiceName) {
        let counts = self.counts(service);
        counts.refused = counts.refused.saturating_add(1);
    }

    /// Adds what other nodes reported.
    pub fn add_reported(&mut self, pressures: &[ServicePressure]) {
        for pressure in pressures {
            self.counts(&pressure.service).add(&pressure.counts);
        }
    }

    /// Returns the counts and resets them.
    pub fn take(&mut self) -> Vec<ServicePressure> {
        let services = std::mem::take(&mut self.services);
        let pressures = services.into_iter();
        pressures
            .map(|(service, counts)| ServicePressure { service, counts })
            .collect()
    }

    /// Returns the counts of a service. Clones its name only when it is new.
    fn counts(&mut self, service: &ServiceName) -> &mut PressureCounts {
        if !self.services.contains_key(service) {
            let none = PressureCounts::default();
            self.services.insert(service.clone(), none);
        }
        self.services.get_mut(service).expect("the entry exists")
    }
}
