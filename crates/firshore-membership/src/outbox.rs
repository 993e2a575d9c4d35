//! Messages on their way out, with the rumours that the budget allows.

use crate::member::MemberState;
use crate::membership::{Membership, Output, Sender};
use crate::message::{Claim, Envelope, Message, Rumour};
use crate::schedule::Distance;
use crate::timing::{ANNOUNCE_FANOUT, MAXIMUM_RUMOUR_BYTES, TRANSMISSIONS_PER_DECADE};
use firshore_types::ids::InstanceId;
use std::net::SocketAddr;

impl Membership {
    /// Tells the own zone directly what this node is, without waiting for rumours.
    pub(crate) fn announce(&mut self) {
        let own = self.table.own();
        let claim = Claim::of(own);
        let told: Vec<Sender> = self
            .table
            .present()
            .filter(|member| Distance::between(own, member) == Distance::Zone)
            .take(ANNOUNCE_FANOUT)
            .map(Sender::of)
            .collect();
        for receiver in told {
            let rumours = vec![Rumour::Claim(claim)];
            self.send(
                receiver.address,
                Some(receiver.instance),
                Message::Notice,
                rumours,
            );
        }
    }

    pub(crate) fn spread_own(&mut self, whole_record: bool) {
        let own = self.table.own().instance;
        self.rumours.add(own, whole_record);
    }

    /// Answers the sender of a message.
    pub(crate) fn answer(&mut self, sender: Sender, message: Message) {
        self.send(sender.address, Some(sender.instance), message, Vec::new());
    }

    /// Sends a message with as many rumours as the budget allows, and with what this node holds
    /// against the receiver, so that it can refute at once.
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
        let own = self.table.own();
        let mut envelope = Envelope {
            from: own.instance,
            from_address: own.peer_address,
            to: receiver,
            rumours,
            message,
        };
        self.budget.spend(envelope.estimated_bytes());
        let room = self.budget.available().min(MAXIMUM_RUMOUR_BYTES);
        let limit = self.transmission_limit();
        let passed_on = self.rumours.take(&self.table, room, limit);
        let bytes = passed_on.iter().map(Rumour::estimated_bytes).sum();
        self.budget.spend(bytes);
        envelope.rumours.extend(passed_on);
        self.outputs.push(Output::Send { to, envelope });
    }

    fn transmission_limit(&self) -> u32 {
        let size = 2 + self.size.everywhere;
        TRANSMISSIONS_PER_DECADE * (size as f64).log10().ceil() as u32
    }
}
