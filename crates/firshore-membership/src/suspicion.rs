//! What a node makes of claims about members: newer ones replace older ones, accusations start a
//! suspicion, a suspicion that is not refuted ends in a verdict (SWIM, section 4.2).

use crate::member::{Member, MemberState};
use crate::membership::{MemberChange, Membership, Output, Size};
use crate::message::{Claim, MemberRecord};
use crate::schedule::Distance;
use crate::timing::SUSPICION_MILLISECONDS;
use firshore_types::ids::InstanceId;

impl Membership {
    /// Whether this node may declare `member` failed by its own observation. Members of another
    /// region are judged by their own region, so that a cut between regions fails nobody; only
    /// where that region has no other member does everyone judge.
    pub(crate) fn judges(&self, member: &Member) -> bool {
        if member.region == self.table.own().region {
            return true;
        }
        let peers = self.table.present();
        let companions =
            peers.filter(|peer| peer.region == member.region && peer.instance != member.instance);
        companions.take(1).count() == 0
    }

    pub(crate) fn consider_record(
        &mut self,
        now: u64,
        record: MemberRecord,
        first_hand: bool,
        spread: bool,
    ) {
        let claim = record.claim;
        if self.table.member(claim.instance).is_some() {
            self.consider_claim(now, claim);
            return;
        }
        if claim.state == MemberState::Failed {
            return;
        }
        let member = Member::from(record);
        if first_hand {
            self.supersede(now, &member);
        }
        let distance = Distance::between(self.table.own(), &member);
        self.schedule.add(distance, member.instance, &mut self.rng);
        self.table.insert(now, member.clone());
        if member.state == MemberState::Suspect && self.judges(&member) {
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

    /// Gives up whoever had the address of a member that introduced itself. From hearsay one
    /// cannot tell which of two came first; a probe of the earlier one will be refused.
    fn supersede(&mut self, now: u64, member: &Member) {
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

    pub(crate) fn consider_claim(&mut self, now: u64, claim: Claim) {
        if claim.instance == self.table.own().instance {
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
        if !accused || !self.judges(member) {
            self.change(now, claim);
            return;
        }
        // Another's verdict only starts this node's own suspicion: the accused gets its time to
        // refute everywhere, which lets two halves of a healed partition merge.
        let suspected = Claim {
            state: MemberState::Suspect,
            ..claim
        };
        if member.is_older_than(suspected.incarnation, suspected.state) {
            self.change(now, suspected);
        }
    }

    fn refute(&mut self, claim: Claim) {
        let own = self.table.own();
        let accused = matches!(claim.state, MemberState::Suspect | MemberState::Failed);
        let newer = claim.incarnation > own.incarnation;
        if newer || (accused && claim.incarnation == own.incarnation) {
            let state = own.state;
            self.table.set_own(claim.incarnation + 1, state);
            self.spread_own(false);
            self.worsen_local_health();
        }
    }

    /// Changes a known member's state and passes it on.
    pub(crate) fn change(&mut self, now: u64, claim: Claim) {
        let Some(entry) = self.table.get(claim.instance) else {
            return;
        };
        let before = entry.member.state;
        let judged = self.judges(&entry.member);
        self.table.set(now, claim);
        self.rumours.add(claim.instance, false);
        if claim.state == MemberState::Suspect && judged {
            self.suspects.insert(claim.instance);
        } else {
            self.suspects.remove(&claim.instance);
        }
        if claim.state != before {
            let member = self.table.member(claim.instance).expect("it is known");
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
            if entry.heard_at > entry.changed_at {
                // It lives, though its refutation has not arrived: wait for that once more.
                self.table.set(now, claim);
                self.suspects.insert(instance);
                self.urgent.push_back(instance);
                continue;
            }
            let state = MemberState::Failed;
            self.change(now, Claim { state, ..claim });
        }
    }

    pub(crate) fn count_members(&mut self) {
        let own = self.table.own();
        let mut size = Size::default();
        for member in self.table.present() {
            size.everywhere += 1;
            size.in_region += usize::from(member.region == own.region);
        }
        self.size = size;
    }

    fn suspicion_timeout(&self) -> u64 {
        let decades = ((1 + self.size.in_region) as f64).log10().max(1.0);
        let base = (SUSPICION_MILLISECONDS as f64 * decades) as u64;
        base * (1 + self.local_health)
    }
}
