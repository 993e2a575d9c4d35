//! Probes: a direct ping, then pings through other members, then suspicion (SWIM, sections 3 and
//! 4). A probe across regions only tells whether that region can be reached.

use crate::member::MemberState;
use crate::membership::{Membership, Sender};
use crate::message::{Claim, Message, Rumour, Sequence};
use crate::schedule::Distance;
use crate::timing::{DIRECT_TIMEOUT_MILLISECONDS, INDIRECT_PROBES, PROBE_INTERVAL_MILLISECONDS};
use firshore_types::ids::{InstanceId, RegionName};
use rand::seq::IndexedRandom;

/// The running probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Probe {
    target: InstanceId,
    sequence: Sequence,
    sent_at: u64,
    indirect_at: u64,
    deadline: u64,
    asked_others: bool,
}

/// A probe run for another member.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Relay {
    origin: Sender,
    origin_sequence: Sequence,
    sequence: Sequence,
    expires_at: u64,
}

impl Membership {
    pub(crate) fn drive_probe(&mut self, now: u64) {
        self.relays.retain(|relay| now < relay.expires_at);
        if let Some(probe) = self.probe {
            if now >= probe.deadline {
                self.probe = None;
                self.probe_failed(now, probe);
            } else if now >= probe.indirect_at && !probe.asked_others {
                self.ask_others(probe);
            }
        }
        if self.probe.is_none() && now >= self.next_probe_at {
            self.start_probe(now);
        }
    }

    fn start_probe(&mut self, now: u64) {
        self.count_members();
        let slowness = 1 + self.local_health;
        self.next_probe_at = now + PROBE_INTERVAL_MILLISECONDS * slowness;
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(member) = self.table.member(target) else {
            return;
        };
        let receiver = Sender::of(member);
        self.sequence = self.sequence.wrapping_add(1);
        self.probe = Some(Probe {
            target,
            sequence: self.sequence,
            sent_at: now,
            indirect_at: now + DIRECT_TIMEOUT_MILLISECONDS * slowness,
            deadline: now + PROBE_INTERVAL_MILLISECONDS * slowness,
            asked_others: false,
        });
        self.answer(receiver, Message::Ping(self.sequence));
    }

    fn next_target(&mut self) -> Option<InstanceId> {
        while let Some(instance) = self.urgent.pop_front() {
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

    fn ask_others(&mut self, probe: Probe) {
        if let Some(running) = &mut self.probe {
            running.asked_others = true;
        }
        let own = self.table.own();
        let near: Vec<Sender> = self
            .table
            .present()
            .filter(|member| member.instance != probe.target)
            .filter(|member| member.state == MemberState::Alive)
            .filter(|member| Distance::between(own, member) != Distance::Remote)
            .map(Sender::of)
            .collect();
        let chosen: Vec<Sender> = near
            .sample(&mut self.rng, INDIRECT_PROBES)
            .copied()
            .collect();
        let request = Message::PingRequest {
            sequence: probe.sequence,
            target: probe.target,
        };
        for relay in chosen {
            self.answer(relay, request.clone());
        }
    }

    fn probe_failed(&mut self, now: u64, probe: Probe) {
        let target = probe.target;
        if self.received_at < probe.sent_at {
            // Nobody at all was heard: the fault may well be here.
            self.worsen_local_health();
        }
        let Some(entry) = self.table.get(target) else {
            return;
        };
        let member = &entry.member;
        if !self.judges(member) {
            let contact = self.regions.entry(member.region.clone()).or_default();
            contact.unanswered += 1;
            return;
        }
        let claim = Claim::of(member);
        let state = match claim.state {
            MemberState::Alive => MemberState::Suspect,
            // It said that it stops; nobody needs to wait for its refutation.
            MemberState::Leaving => MemberState::Failed,
            MemberState::Suspect | MemberState::Failed => return,
        };
        self.urgent.push_back(target);
        self.change(now, Claim { state, ..claim });
    }

    /// Asks a member of each region that does not answer, to notice soon that it does again.
    pub(crate) fn try_unreachable_regions(&mut self, now: u64) {
        let unreachable: Vec<RegionName> =
            self.unreachable_regions(now).into_iter().cloned().collect();
        for region in unreachable {
            let members = self.table.present();
            let there: Vec<Sender> = members
                .filter(|member| member.region == region)
                .map(Sender::of)
                .collect();
            if let Some(receiver) = there.choose(&mut self.rng).copied() {
                self.sequence = self.sequence.wrapping_add(1);
                self.answer(receiver, Message::Ping(self.sequence));
            }
        }
    }

    pub(crate) fn relay(&mut self, now: u64, origin: Sender, sequence: Sequence, to: InstanceId) {
        let Some(member) = self.table.member(to) else {
            return;
        };
        let target = Sender::of(member);
        self.sequence = self.sequence.wrapping_add(1);
        self.relays.push(Relay {
            origin,
            origin_sequence: sequence,
            sequence: self.sequence,
            expires_at: now + PROBE_INTERVAL_MILLISECONDS,
        });
        self.answer(target, Message::Ping(self.sequence));
    }

    /// Answers a ping. The own claim goes with it whatever the budget, so that a prober that
    /// suspects this node learns of its refutation at once.
    pub(crate) fn acknowledge(&mut self, sender: Sender, sequence: Sequence) {
        let own = Rumour::Claim(Claim::of(self.table.own()));
        let receiver = Some(sender.instance);
        self.send(sender.address, receiver, Message::Ack(sequence), vec![own]);
    }

    pub(crate) fn acknowledged(&mut self, now: u64, sequence: Sequence) {
        if let Some(probe) = self.probe.filter(|probe| probe.sequence == sequence) {
            self.probe = None;
            self.local_health = self.local_health.saturating_sub(1);
            self.table.heard(now, probe.target);
            return;
        }
        let place = self
            .relays
            .iter()
            .position(|relay| relay.sequence == sequence);
        if let Some(place) = place {
            let relay = self.relays.swap_remove(place);
            self.answer(relay.origin, Message::Ack(relay.origin_sequence));
        }
    }
}
