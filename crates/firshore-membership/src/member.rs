//! What nodes tell one another about themselves.

use firshore_types::ids::{InstanceId, NodeName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Condition of a member as its observers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed probes; not yet given up.
    Suspect,
    /// Announced that it stops; gets no new work.
    Leaving,
    /// Given up.
    Failed,
}

/// One node as known to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Random identity of this run of the process.
    pub instance: InstanceId,
    /// Name from the settings.
    pub name: NodeName,
    /// Region.
    pub region: RegionName,
    /// Zone.
    pub zone: ZoneName,
    /// Where it takes peers' connections.
    pub peer_address: SocketAddr,
    /// Whether it has a data folder and so can hold journal replicas.
    pub has_disk: bool,
    /// Condition.
    pub state: MemberState,
    /// Raised by the member itself to overrule older claims about it.
    pub incarnation: u64,
}

impl Member {
    /// Whether a claim of this incarnation and state is newer than what is held.
    pub fn is_older_than(&self, incarnation: u64, state: MemberState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }
}
