//! How hard online requests press on the room of services, counted until it is told. No I/O.

use firshore_types::ids::ServiceName;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How hard online requests pressed on one service since it was told last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// How often and how.
    #[serde(flatten)]
    pub counts: PressureCounts,
}

/// Requests that found too little room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PressureCounts {
    /// Requests that began to wait for a free slot.
    #[serde(rename = "w", default, skip_serializing_if = "is_zero")]
    pub waiting: u32,
    /// Requests whose answer began later than its route's objective.
    #[serde(rename = "l", default, skip_serializing_if = "is_zero")]
    pub late: u32,
    /// Requests that were refused for want of room.
    #[serde(rename = "r", default, skip_serializing_if = "is_zero")]
    pub refused: u32,
}

fn is_zero(count: &u32) -> bool {
    *count == 0
}

impl PressureCounts {
    /// Returns how many requests that are, each time that one pressed counted.
    pub fn sum(&self) -> u32 {
        let early = self.waiting.saturating_add(self.late);
        early.saturating_add(self.refused)
    }

    fn add(&mut self, other: &Self) {
        self.waiting = self.waiting.saturating_add(other.waiting);
        self.late = self.late.saturating_add(other.late);
        self.refused = self.refused.saturating_add(other.refused);
    }
}

/// Counts by service how online requests press, until it is told.
///
/// What is told and does not arrive is not told again: it would count as of now when it is long over.
#[derive(Debug, Default)]
pub struct PressureCounter {
    services: BTreeMap<ServiceName, PressureCounts>,
}

impl PressureCounter {
    /// A request begins to wait for a free slot, at this node or at a back end.
    pub fn waited(&mut self, service: &ServiceName) {
        let figure = self.figure(service);
        figure.waiting = figure.waiting.saturating_add(1);
    }

    /// A back end reports requests that wait there.
    pub fn reported(&mut self, service: &ServiceName, waiting: u32) {
        if waiting == 0 {
            return;
        }
        let figure = self.figure(service);
        figure.waiting = figure.waiting.saturating_add(waiting);
    }

    /// The answer to a request begins later than its route's objective.
    pub fn late(&mut self, service: &ServiceName) {
        let figure = self.figure(service);
        figure.late = figure.late.saturating_add(1);
    }

    /// A request is refused for want of room.
    pub fn refused(&mut self, service: &ServiceName) {
        let figure = self.figure(service);
        figure.refused = figure.refused.saturating_add(1);
    }

    /// Takes in what others told.
    pub fn add_reported(&mut self, pressures: &[ServicePressure]) {
        for one in pressures {
            self.figure(&one.service).add(&one.counts);
        }
    }

    /// Returns what was counted, and begins anew.
    pub fn take(&mut self) -> Vec<ServicePressure> {
        let services = std::mem::take(&mut self.services);
        let pressures = services.into_iter();
        pressures
            .map(|(service, counts)| ServicePressure { service, counts })
            .collect()
    }

    /// The figure of a service; its name is copied once only between two tellings.
    fn figure(&mut self, service: &ServiceName) -> &mut PressureCounts {
        if !self.services.contains_key(service) {
            let none = PressureCounts::default();
            self.services.insert(service.clone(), none);
        }
        self.services
            .get_mut(service)
            .expect("a figure that was put there")
    }
}
