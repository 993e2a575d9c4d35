//! How replicas of the journal reach each other: through the peers that membership knows.

use super::MIN_DISKS;
use crate::shared::Shared;
use firshore_log::machine::{ReplicaSettings, Transport};
use firshore_protocol::message::Request;
use firshore_replication::message::Envelope;
use firshore_replication::replica::Timing;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Log in memory at which a snapshot is taken, in bytes.
const SNAPSHOT_AFTER_BYTES: usize = 32 * 1024 * 1024;

/// Memory for pages of one group's database, in bytes.
pub(super) const CACHE_BYTES: usize = 16 * 1024 * 1024;

struct PeerTransport {
    shared: Arc<Shared>,
    addresses: BTreeMap<NodeName, SocketAddr>,
}

/// The transport of a node's replicas.
pub fn new(shared: &Arc<Shared>) -> Box<dyn Transport> {
    Box::new(PeerTransport {
        shared: shared.clone(),
        addresses: BTreeMap::new(),
    })
}

/// Settings of a node's replicas.
pub fn settings(shared: &Shared) -> ReplicaSettings {
    let journal = &shared.settings.journal;
    ReplicaSettings {
        min_disks: MIN_DISKS,
        timing: Timing::default(),
        replace_after: Duration::from_secs(journal.replace_after_seconds),
        reserve_bytes: journal.reserve_bytes,
        snapshot_after_bytes: SNAPSHOT_AFTER_BYTES,
        cache_bytes: CACHE_BYTES,
    }
}

impl Transport for PeerTransport {
    fn refresh(&mut self) {
        let members = self.shared.members.lock().alive(self.shared.clock.now());
        self.addresses = members
            .into_iter()
            .map(|member| (member.name, member.peer_address))
            .collect();
    }

    fn send(&self, group: GroupId, node: &NodeName, envelope: Envelope) {
        if let Some(address) = self.addresses.get(node) {
            let request = Request::Replication {
                group,
                node: self.shared.settings.name.clone(),
                envelope,
            };
            self.shared.peers.notify(*address, request);
        }
    }
}
