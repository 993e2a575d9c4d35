//! Transport between replicas, to the addresses in the registry.

use super::PeerClient;
use super::messages::PeerRequest;
use super::registry::{Addresses, LocalRevision, Registry};
use firshore_log::machine::Transport;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

struct PeerTransport {
    local_node: NodeName,
    local_address: SocketAddr,
    local_revision: LocalRevision,
    addresses: Addresses,
    peers: PeerClient,
}

/// Creates the transport of a node's replica.
pub fn new(
    local_node: NodeName,
    local_address: SocketAddr,
    registry: &Registry,
    peers: PeerClient,
) -> Box<dyn Transport> {
    Box::new(PeerTransport {
        local_node,
        local_address,
        local_revision: registry.local_revision(),
        addresses: registry.addresses(),
        peers,
    })
}

impl Transport for PeerTransport {
    fn refresh(&mut self) {}

    fn send(&self, group: GroupId, node: &NodeName, envelope: Envelope) {
        let Some(address) = self.addresses.read().get(node).copied() else {
            return;
        };
        let request = PeerRequest::Replication {
            group,
            node: self.local_node.clone(),
            address: self.local_address,
            revision: self.local_revision.load(Ordering::Relaxed),
            envelope,
        };
        self.peers.notify(address, request);
    }
}
