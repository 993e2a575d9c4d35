//! How replicas reach each other: at the addresses that the registry lists.

use super::PeerClient;
use super::messages::PeerRequest;
use super::registry::{Addresses, OwnRevision, Registry};
use firshore_log::machine::Transport;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

struct PeerTransport {
    own: NodeName,
    own_address: SocketAddr,
    own_revision: OwnRevision,
    addresses: Addresses,
    peers: PeerClient,
}

/// The transport of a node's replica.
pub fn new(
    own: NodeName,
    own_address: SocketAddr,
    registry: &Registry,
    peers: PeerClient,
) -> Box<dyn Transport> {
    Box::new(PeerTransport {
        own,
        own_address,
        own_revision: registry.own_revision(),
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
            node: self.own.clone(),
            address: self.own_address,
            revision: self.own_revision.load(Ordering::Relaxed),
            envelope,
        };
        self.peers.notify(address, request);
    }
}
