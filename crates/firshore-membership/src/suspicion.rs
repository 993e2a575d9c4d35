//! Applies claims about members: newer ones replace older ones, a claim of failure starts a
//! suspicion, and a suspect that doesn't refute in time is declared failed (SWIM, section 4.2).

use crate::member::{Member, MemberState};
use crate::membership::{MemberChange, MemberCounts, Membership, Output};
use crate::message::{Claim, MemberRecord};
use crate::schedule::Distance;
use crate::timing::SUSPICION_MILLISECONDS;
use firshore_types::ids::InstanceId;

impl Membership {
    /// Returns whether this node may declare `member` failed by its own observation. Members of
    /// another region are declared failed only by members of that region, so that a partition
    /// between regions causes no failures. If that region has no other member, any node may.
    pub(crate) fn may_declare_failed(&self, member: &Member) -> bool {
        if member.region == self.table.local().region {
            return true;
        }
        let peers = self.table.present();
        let region_peers =
            peers.filter(|peer| peer.region == member.region && peer.instance != member.instance);
        region_peers.take(1).count() == 0
    }

    pub(crate) fn apply_record(
        &mut self,
        now: u64,
        record: MemberRecord,
        from_member: bool,
        spread: bool,
    ) {
        let claim = record.claim;
        if self.table.member(claim.instance).is_some() {
            self.apply_claim(now, claim);
            return;
        }
        if claim.state == MemberState::Failed {
            return;
        }
        let member = Member::from(record);
        if from_member {
            self.fail_previous_owner(now, &member);
        }
        let distance = Distance::between(self.table.local(), &member);
        self.schedule.add(distance, member.instance, &mut self.rng);
        self.table.insert(now, member.clone());
        if member.state == MemberState::Suspect && self.may_declare_failed(&member) {
            self.suspects.insert(member.instance);
        }
        if spread {
            self.rumours.add(member.instance, true);
        }
        self.outputs.push(Output::Changed(MemberChange {
            member,
            before: None,
        }));
    }

    /// Declares earlier members at the address of `member` failed. Only for a record that came from
    /// the member itself: relayed records don't show which of two instances is newer. There, a probe
    /// of the earlier one is refused with [`crate::message::Message::WrongInstance`].
    fn fail_previous_owner(&mut self, now: u64, member: &Member) {
        let earlier: Vec<Claim> = self
            .table
            .present()
            .filter(|other| other.peer_address == member.peer_address)
            .map(Claim::of)
            .collect();
        for claim in earlier {
            let state = MemberState::Failed;
            self.change(now, Claim { state, ..claim });
        }
    }

    pub(crate) fn apply_claim(&mut self, now: u64, claim: Claim) {
        if claim.instance == self.table.local().instance {
            self.refute(claim);
            return;
        }
        let Some(entry) = self.table.get(claim.instance) else {
            if claim.state != MemberState::Failed {
                self.wanted.push(claim.instance);
            }
            return;
        };
        let member = &entry.member;
        if !member.is_older_than(claim.incarnation, claim.state) {
            return;
        }
        let accused = claim.state == MemberState::Failed && member.state != MemberState::Leaving;
        if !accused || !self.may_declare_failed(member) {
            self.change(now, claim);
            return;
        }
        // A received claim of failure only starts a local suspicion: the member gets time to refute
        // at every node, which lets the two sides of a healed partition merge.
        let suspected = Claim {
            state: MemberState::Suspect,
            ..claim
        };
        if member.is_older_than(suspected.incarnation, suspected.state) {
            self.change(now, suspected);
        }
    }

    fn refute(&mut self, claim: Claim) {
        let local = self.table.local();
        let accused = matches!(claim.state, MemberState::Suspect | MemberState::Failed);
        let newer = claim.incarnation > local.incarnation;
        if newer || (accused && claim.incarnation == local.incarnation) {
            let state = local.state;
            self.table.set_local(claim.incarnation + 1, state);
            self.spread_local(false);
            self.increment_local_health();
        }
    }

    /// Changes the state of a member in the table and queues the change as a rumour.
    pub(crate) fn change(&mut self, now: u64, claim: Claim) {
        let Some(entry) = self.table.get(claim.instance) else {
            return;
        };
        let before = entry.member.state;
        let may_declare = self.may_declare_failed(&entry.member);
        self.table.set(now, claim);
        self.rumours.add(claim.instance, false);
        if claim.state == MemberState::Suspect && may_declare {
            self.suspects.insert(claim.instance);
        } else {
            self.suspects.remove(&claim.instance);
        }
        if claim.state != before {
            let member = self
                .table
                .member(claim.instance)
                .expect("the member is in the table");
            self.outputs.push(Output::Changed(MemberChange {
                member: member.clone(),
                before: Some(before),
            }));
        }
    }

    pub(crate) fn expire_suspicions(&mut self, now: u64) {
        if self.suspects.is_empty() {
            return;
        }
        let timeout = self.suspicion_timeout();
        let due: Vec<InstanceId> = self
            .suspects
            .iter()
            .filter(|instance| {
                let entry = self.table.get(**instance);
                entry.is_none_or(|entry| now >= entry.changed_at + timeout)
            })
            .copied()
            .collect();
        for instance in due {
            self.suspects.remove(&instance);
            let Some(entry) = self.table.get(instance) else {
                continue;
            };
            let claim = Claim::of(&entry.member);
            if claim.state != MemberState::Suspect {
                continue;
            }
            if entry.last_received_at > entry.changed_at {
                // It sent a message since, but its refutation has not arrived: restart the timeout.
                self.table.set(now, claim);
                self.suspects.insert(instance);
                self.urgent_targets.push_back(instance);
                continue;
            }
            let state = MemberState::Failed;
            self.change(now, Claim { state, ..claim });
        }
    }

    pub(crate) fn count_members(&mut self) {
        let local = self.table.local();
        let mut counts = MemberCounts::default();
        for member in self.table.present() {
            counts.total += 1;
            counts.in_region += usize::from(member.region == local.region);
        }
        self.member_counts = counts;
    }

    fn suspicion_timeout(&self) -> u64 {
        let decades = ((1 + self.member_counts.in_region) as f64).log10().max(1.0);
        let base = (SUSPICION_MILLISECONDS as f64 * decades) as u64;
        base * (1 + self.local_health)
    }
}
