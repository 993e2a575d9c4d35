//! Machines as the platform's machine list and the engines' own reports describe them.

use crate::ids::{MachineName, RegionName, ZoneName};
use crate::labels::Labels;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a machine stays or is on its way out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In use.
    #[default]
    Live,
    /// About to go: gets no new work.
    Leaving,
}

/// One row of the machine list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name, unique in the list.
    pub name: MachineName,
    /// Where its HTTP interface listens.
    pub address: SocketAddr,
    /// Region it stands in.
    pub region: RegionName,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Labels that engine pools select on.
    #[serde(default)]
    pub labels: Labels,
    /// Live or leaving. The list lags: absence is no proof of death.
    #[serde(default)]
    pub state: MachineState,
}
