//! Election of the nodes that watch the object API: a few in each region, the same on every node.

use firshore_types::hash::rendezvous_top;
use firshore_types::ids::{InstanceId, RegionName, ZoneName};

/// Nodes in each region that watch the object API.
pub const READERS_PER_REGION: usize = 2;

/// A node that takes part in dissemination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Identity.
    pub instance: InstanceId,
    /// Region.
    pub region: RegionName,
    /// Zone.
    pub zone: ZoneName,
}

/// Returns the nodes of `region` in the order in which they take over reading.
pub fn reader_order<'a>(
    subject: &str,
    region: &RegionName,
    alive: impl IntoIterator<Item = &'a Peer>,
) -> Vec<InstanceId> {
    let key = format!("{subject}/{region}");
    let candidates = alive
        .into_iter()
        .filter(|peer| peer.region == *region)
        .map(|peer| peer.instance.0);
    rendezvous_top(&key, candidates, usize::MAX)
        .into_iter()
        .map(InstanceId)
        .collect()
}
