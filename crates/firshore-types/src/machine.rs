//! Machines, as described by the platform's machine list and the engines' reports.

use crate::ids::{MachineName, RegionName, ZoneName};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a machine is in use or leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    #[default]
    Live,
    /// Leaving: gets no new work.
    Leaving,
}

/// One row of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name, unique in the list.
    pub name: MachineName,
    /// Where its HTTP interface listens.
    pub address: SocketAddr,
    /// Region of the machine.
    pub region: RegionName,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Labels that engine pools select on.
    #[serde(default)]
    pub labels: Labels,
    /// Live or leaving. The list lags: absence does not prove that the machine has stopped.
    #[serde(default)]
    pub state: MachineState,
}
