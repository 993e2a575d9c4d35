//! Members and their states.

use firshore_types::ids::{InstanceId, NodeName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a member as its peers observe it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed probes; fails unless it refutes the suspicion in time.
    Suspect,
    /// Announced its shutdown; gets no new work.
    Leaving,
    /// Declared failed; kept as a tombstone until it expires.
    Failed,
}

/// One node as its peers see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random identity of this run of the process.
    pub instance: InstanceId,
    /// Name from the settings.
    pub name: NodeName,
    /// Region from the settings.
    pub region: RegionName,
    /// Zone from the settings.
    pub zone: ZoneName,
    /// Address on which it accepts connections from peers.
    pub peer_address: SocketAddr,
    /// Whether it has a data folder and can therefore hold journal replicas.
    pub has_disk: bool,
    /// State as last received or observed.
    pub state: MemberState,
    /// Incremented by the member itself to override older claims about it.
    pub incarnation: u64,
}

impl Member {
    /// Returns whether a claim with this incarnation and state is newer than this entry.
    pub fn is_older_than(&self, incarnation: u64, state: MemberState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }
}
