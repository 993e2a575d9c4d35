//! Outgoing messages, with as many rumours as the byte budget allows.

use crate::member::MemberState;
use crate::membership::{Membership, Output, Peer};
use crate::message::{Claim, Envelope, Message, Rumour};
use crate::schedule::Distance;
use crate::timing::{ANNOUNCE_FANOUT, MAX_RUMOUR_BYTES, TRANSMISSIONS_PER_DECADE};
use firshore_types::ids::InstanceId;
use std::net::SocketAddr;

impl Membership {
    /// Sends the local node's state directly to up to [`ANNOUNCE_FANOUT`] members of the local
    /// zone, so that they don't have to wait for the rumour.
    pub(crate) fn announce(&mut self) {
        let local = self.table.local();
        let claim = Claim::of(local);
        let receivers: Vec<Peer> = self
            .table
            .present()
            .filter(|member| Distance::between(local, member) == Distance::Zone)
            .take(ANNOUNCE_FANOUT)
            .map(Peer::of)
            .collect();
        for receiver in receivers {
            let rumours = vec![Rumour::Claim(claim)];
            self.send(
                receiver.address,
                Some(receiver.instance),
                Message::Notice,
                rumours,
            );
        }
    }

    pub(crate) fn spread_local(&mut self, whole_record: bool) {
        let local = self.table.local().instance;
        self.rumours.add(local, whole_record);
    }

    /// Sends a message without extra rumours to a peer.
    pub(crate) fn send_to(&mut self, peer: Peer, message: Message) {
        self.send(peer.address, Some(peer.instance), message, Vec::new());
    }

    /// Sends a message with as many rumours as the budget allows. If this node has the receiver as
    /// suspect or failed, includes that claim, so that the receiver can refute it at once.
    pub(crate) fn send(
        &mut self,
        to: SocketAddr,
        receiver: Option<InstanceId>,
        message: Message,
        mut rumours: Vec<Rumour>,
    ) {
        let accusation = receiver
            .and_then(|instance| self.table.get(instance))
            .filter(|entry| {
                let state = entry.member.state;
                matches!(state, MemberState::Suspect | MemberState::Failed)
            })
            .map(|entry| Rumour::Claim(Claim::of(&entry.member)));
        rumours.extend(accusation);
        let local = self.table.local();
        let mut envelope = Envelope {
            from: local.instance,
            from_address: local.peer_address,
            to: receiver,
            rumours,
            message,
        };
        self.budget.spend(envelope.estimated_bytes());
        let max_rumour_bytes = self.budget.available().min(MAX_RUMOUR_BYTES);
        let limit = self.transmission_limit();
        let selected = self.rumours.take(&self.table, max_rumour_bytes, limit);
        let bytes = selected.iter().map(Rumour::estimated_bytes).sum();
        self.budget.spend(bytes);
        envelope.rumours.extend(selected);
        self.outputs.push(Output::Send { to, envelope });
    }

    fn transmission_limit(&self) -> u32 {
        let size = 2 + self.member_counts.total;
        TRANSMISSIONS_PER_DECADE * (size as f64).log10().ceil() as u32
    }
}
