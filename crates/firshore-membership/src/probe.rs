//! Probes: a direct ping, then pings through other members, then suspicion (SWIM, sections 3 and
//! 4). A probe across regions only checks whether that region is reachable.

use crate::member::MemberState;
use crate::membership::{Membership, Peer};
use crate::message::{Claim, Message, Rumour, Sequence};
use crate::schedule::Distance;
use crate::timing::{DIRECT_TIMEOUT_MILLISECONDS, INDIRECT_PROBES, PROBE_INTERVAL_MILLISECONDS};
use firshore_types::ids::{InstanceId, RegionName};
use rand::seq::IndexedRandom;

/// A probe in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    target: InstanceId,
    sequence: Sequence,
    sent_at: u64,
    indirect_at: u64,
    deadline: u64,
    indirect_requested: bool,
}

/// A ping in flight on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    origin: Peer,
    origin_sequence: Sequence,
    sequence: Sequence,
    expires_at: u64,
}

impl Membership {
    pub(crate) fn advance_probe(&mut self, now: u64) {
        self.relays.retain(|relay| now < relay.expires_at);
        if let Some(probe) = self.probe {
            if now >= probe.deadline {
                self.probe = None;
                self.probe_failed(now, probe);
            } else if now >= probe.indirect_at && !probe.indirect_requested {
                self.request_indirect_probes(probe);
            }
        }
        if self.probe.is_none() && now >= self.next_probe_at {
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: u64) {
        self.count_members();
        let timeout_factor = 1 + self.local_health;
        self.next_probe_at = now + PROBE_INTERVAL_MILLISECONDS * timeout_factor;
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(member) = self.table.member(target) else {
            return;
        };
        let receiver = Peer::of(member);
        self.sequence = self.sequence.wrapping_add(1);
        self.probe = Some(Probe {
            target,
            sequence: self.sequence,
            sent_at: now,
            indirect_at: now + DIRECT_TIMEOUT_MILLISECONDS * timeout_factor,
            deadline: now + PROBE_INTERVAL_MILLISECONDS * timeout_factor,
            indirect_requested: false,
        });
        self.send_to(receiver, Message::Ping(self.sequence));
    }

    fn next_target(&mut self) -> Option<InstanceId> {
        while let Some(instance) = self.urgent_targets.pop_front() {
            let suspect = self
                .table
                .get(instance)
                .is_some_and(|entry| entry.member.state == MemberState::Suspect);
            if suspect {
                return Some(instance);
            }
        }
        self.schedule.next(&self.table, &mut self.rng)
    }

    fn request_indirect_probes(&mut self, probe: Probe) {
        if let Some(running) = &mut self.probe {
            running.indirect_requested = true;
        }
        let local = self.table.local();
        let candidates: Vec<Peer> = self
            .table
            .present()
            .filter(|member| member.instance != probe.target)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| Distance::between(local, member) != Distance::Remote)
            .map(Peer::of)
            .collect();
        let chosen: Vec<Peer> = candidates
            .sample(&mut self.rng, INDIRECT_PROBES)
            .copied()
            .collect();
        let request = Message::PingRequest {
            sequence: probe.sequence,
            target: probe.target,
        };
        for relay in chosen {
            self.send_to(relay, request.clone());
        }
    }

    fn probe_failed(&mut self, now: u64, probe: Probe) {
        let target = probe.target;
        if self.received_at < probe.sent_at {
            // No peer sent anything since the ping: the fault may be local.
            self.increment_local_health();
        }
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let member = &entry.member;
        if !self.may_declare_failed(member) {
            let contact = self
                .region_contacts
                .entry(member.region.clone())
                .or_default();
            contact.unanswered += 1;
            return;
        }
        let claim = Claim::of(member);
        let state = match claim.state {
            MemberState::Alive => MemberState::Suspect,
            // It announced its shutdown, so it is failed without time to refute.
            MemberState::Leaving => MemberState::Failed,
            MemberState::Suspect | MemberState::Failed => return,
        };
        self.urgent_targets.push_back(target);
        self.change(now, Claim { state, ..claim });
    }

    /// Pings a member of each unreachable region, so that its recovery is detected soon.
    pub(crate) fn ping_unreachable_regions(&mut self, now: u64) {
        let unreachable: Vec<RegionName> =
            self.unreachable_regions(now).into_iter().cloned().collect();
        for region in unreachable {
            let members = self.table.present();
            let candidates: Vec<Peer> = members
                .filter(|member| member.region == region)
                .map(Peer::of)
                .collect();
            if let Some(receiver) = candidates.choose(&mut self.rng).copied() {
                self.sequence = self.sequence.wrapping_add(1);
                self.send_to(receiver, Message::Ping(self.sequence));
            }
        }
    }

    pub(crate) fn handle_ping_request(
        &mut self,
        now: u64,
        origin: Peer,
        sequence: Sequence,
        to: InstanceId,
    ) {
        let Some(member) = self.table.member(to) else {
            return;
        };
        let target = Peer::of(member);
        self.sequence = self.sequence.wrapping_add(1);
        self.relays.push(Relay {
            origin,
            origin_sequence: sequence,
            sequence: self.sequence,
            expires_at: now + PROBE_INTERVAL_MILLISECONDS,
        });
        self.send_to(target, Message::Ping(self.sequence));
    }

    /// Responds to a ping. Includes the local claim regardless of the budget, so that a prober that
    /// suspects this node receives its refutation at once.
    pub(crate) fn handle_ping(&mut self, sender: Peer, sequence: Sequence) {
        let local = Rumour::Claim(Claim::of(self.table.local()));
        let receiver = Some(sender.instance);
        self.send(
            sender.address,
            receiver,
            Message::Ack(sequence),
            vec![local],
        );
    }

    pub(crate) fn handle_ack(&mut self, now: u64, sequence: Sequence) {
        if let Some(probe) = self.probe.filter(|probe| probe.sequence == sequence) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
            self.table.record_message(now, probe.target);
            return;
        }
        let position = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence);
        if let Some(position) = position {
            let relay = self.relays.swap_remove(position);
            self.send_to(relay.origin, Message::Ack(relay.origin_sequence));
        }
    }
}
