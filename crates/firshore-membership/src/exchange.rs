//! Joining, pulling a view, and comparing views (anti-entropy) for what rumours missed.

use crate::member::{Member, MemberState};
use crate::membership::{Membership, Phase, Sender};
use crate::message::{Claim, MemberRecord, Message};
use crate::schedule::Distance;
use crate::table::bucket_of;
use crate::timing::{BUDGET_RESERVE_BYTES, JOIN_CONTACTS, MAXIMUM_RECORDS, REMOTE_COMPARISONS};
use firshore_types::ids::InstanceId;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeSet;

/// Most claims in one message.
const MAXIMUM_CLAIMS: usize = 256;

/// Answers to pulls after which the rest is left to comparisons: while much changes, no two views
/// are ever equal.
const MAXIMUM_VIEWS: u32 = 10;

/// Most members asked for in one message.
const MAXIMUM_WANTED: usize = 64;

impl Membership {
    pub(crate) fn handle(&mut self, now: u64, sender: Sender, message: Message) {
        match message {
            Message::Ping(sequence) => self.acknowledge(sender, sequence),
            Message::Ack(sequence) => self.acknowledged(now, sequence),
            Message::PingRequest { sequence, target } => self.relay(now, sender, sequence, target),
            Message::WrongInstance(instance) => self.address_reused(now, sender, instance),
            Message::Join(record) => self.welcome(now, sender, record),
            Message::Summary(summary) => self.compare_summary(sender, summary),
            Message::Compare(buckets) => self.answer_comparison(sender, &buckets),
            Message::Pull(buckets) => self.answer_pull(sender, &buckets),
            Message::Claims { buckets, claims } => {
                self.merge_claims(now, sender, &buckets, claims);
            }
            Message::Want(instances) => self.answer_want(sender, &instances),
            Message::Records(records) => self.take_records(now, sender, records),
            Message::View {
                buckets,
                records,
                more,
            } => self.take_view(now, &buckets, records, more),
            Message::Notice => {}
        }
    }

    pub(crate) fn join_through_seed(&mut self) {
        let own = self.table.own();
        let addresses: Vec<_> = self
            .seeds
            .iter()
            .chain(&self.hints)
            .copied()
            .filter(|address| *address != own.peer_address)
            .collect();
        let record = MemberRecord::from(own);
        match addresses.choose(&mut self.rng) {
            Some(address) => self.send(*address, None, Message::Join(record), Vec::new()),
            // Nobody to ask: the node is alone, and what it holds is whole.
            None => self.phase = Phase::Current,
        }
    }

    pub(crate) fn pull_view(&mut self) {
        let Some(instance) = self.schedule.next(&self.table, &mut self.rng) else {
            return;
        };
        let Some(member) = self.table.member(instance) else {
            return;
        };
        let receiver = Sender::of(member);
        let buckets = self.table.buckets().to_vec();
        self.answer(receiver, Message::Pull(buckets));
    }

    pub(crate) fn start_comparison(&mut self) {
        let remote = self.rng.random_ratio(1, REMOTE_COMPARISONS);
        let far = remote
            .then(|| self.schedule.next_remote(&self.table, &mut self.rng))
            .flatten();
        let near = || self.schedule.next(&self.table, &mut self.rng);
        let Some(instance) = far.or_else(near) else {
            return;
        };
        let Some(member) = self.table.member(instance) else {
            return;
        };
        let receiver = Sender::of(member);
        let summary = self.table.summary();
        self.answer(receiver, Message::Summary(summary));
    }

    /// Tries a failed member, or else a seed that no known member has the address of: after a
    /// partition, nobody else would.
    pub(crate) fn reconnect(&mut self, now: u64) {
        self.try_unreachable_regions(now);
        let failed: Vec<Sender> = self
            .table
            .others()
            .filter(|entry| entry.member.state == MemberState::Failed)
            .map(|entry| Sender::of(&entry.member))
            .collect();
        if let Some(receiver) = failed.choose(&mut self.rng).copied() {
            let summary = self.table.summary();
            self.answer(receiver, Message::Summary(summary));
        }
        let own = self.table.own();
        let known: BTreeSet<_> = self.table.present().map(|peer| peer.peer_address).collect();
        let unknown: Vec<_> = self
            .seeds
            .iter()
            .filter(|address| !known.contains(address) && **address != own.peer_address)
            .copied()
            .collect();
        let record = MemberRecord::from(own);
        if let Some(address) = unknown.choose(&mut self.rng) {
            self.send(*address, None, Message::Join(record), Vec::new());
        }
    }

    fn address_reused(&mut self, now: u64, sender: Sender, instance: InstanceId) {
        let Some(entry) = self.table.get(instance) else {
            return;
        };
        let same_address = entry.member.peer_address == sender.address;
        if same_address && entry.member.state != MemberState::Failed {
            let state = MemberState::Failed;
            let claim = Claim::of(&entry.member);
            self.change(now, Claim { state, ..claim });
        }
    }

    fn welcome(&mut self, now: u64, sender: Sender, record: MemberRecord) {
        if record.claim.instance != sender.instance {
            return;
        }
        let joiner = Member::from(record.clone());
        self.consider_record(now, record, true, true);
        let mut contacts: Vec<&Member> = self
            .table
            .present()
            .filter(|member| member.instance != joiner.instance)
            .collect();
        contacts.shuffle(&mut self.rng);
        contacts.sort_by_key(|member| Distance::between(&joiner, member) as u8);
        contacts.truncate(JOIN_CONTACTS);
        let own = self.table.own();
        let records = std::iter::once(own)
            .chain(contacts)
            .map(MemberRecord::from)
            .collect();
        self.answer(sender, Message::Records(records));
    }

    /// Whether what this node holds may be given to others.
    fn is_fresh(&self) -> bool {
        !matches!(self.phase, Phase::Stale { .. })
    }

    fn compare_summary(&mut self, sender: Sender, summary: u64) {
        if summary == self.table.summary() || !self.is_fresh() {
            return;
        }
        let message = Message::Compare(self.table.buckets().to_vec());
        if self.affords(&message) {
            self.answer(sender, message);
        }
    }

    fn affords(&self, message: &Message) -> bool {
        message.estimated_bytes() + BUDGET_RESERVE_BYTES <= self.budget.available()
    }

    fn answer_comparison(&mut self, sender: Sender, theirs: &[u32]) {
        if !self.is_fresh() {
            return;
        }
        let mut differing = self.table.differing(theirs);
        differing.shuffle(&mut self.rng);
        let content = self.table.content();
        let mut buckets = Vec::new();
        let mut claims = Vec::new();
        for index in differing {
            let members = &content[index];
            if claims.len() + members.len() > MAXIMUM_CLAIMS {
                break;
            }
            claims.extend(members.iter().copied().map(Claim::of));
            buckets.push(index as u8);
        }
        let message = Message::Claims { buckets, claims };
        if self.affords(&message) {
            self.answer(sender, message);
        }
    }

    /// Takes the newer claims, and sends back records where this node holds something newer.
    fn merge_claims(&mut self, now: u64, sender: Sender, buckets: &[u8], claims: Vec<Claim>) {
        let mut newer: Vec<MemberRecord> = Vec::new();
        let named: BTreeSet<InstanceId> = claims.iter().map(|claim| claim.instance).collect();
        let content = self.table.content();
        for index in buckets {
            let members = content.get(usize::from(*index)).into_iter().flatten();
            let unnamed = members
                .copied()
                .filter(|member| !named.contains(&member.instance));
            newer.extend(unnamed.map(MemberRecord::from));
        }
        for claim in claims {
            let held = self.table.member(claim.instance);
            let outdated = held.filter(|member| {
                (claim.incarnation, claim.state) < (member.incarnation, member.state)
            });
            newer.extend(outdated.map(MemberRecord::from));
            self.consider_claim(now, claim);
        }
        newer.truncate(MAXIMUM_RECORDS);
        let message = Message::Records(newer);
        if self.is_fresh() && message.estimated_bytes() > 0 && self.affords(&message) {
            self.answer(sender, message);
        }
    }

    fn answer_pull(&mut self, sender: Sender, theirs: &[u32]) {
        if !self.is_fresh() {
            return;
        }
        let mut differing = self.table.differing(theirs);
        differing.shuffle(&mut self.rng);
        let total = differing.len();
        let content = self.table.content();
        let mut buckets = Vec::new();
        let mut records: Vec<MemberRecord> = Vec::new();
        for index in differing {
            let members = &content[index];
            if records.len() + members.len() > MAXIMUM_RECORDS && !buckets.is_empty() {
                break;
            }
            records.extend(members.iter().copied().map(MemberRecord::from));
            buckets.push(index as u8);
        }
        // A node that is joining itself may lack the same members as the one that asks.
        let more = buckets.len() < total || self.phase == Phase::Joining;
        let message = Message::View {
            buckets,
            records,
            more,
        };
        if self.affords(&message) {
            self.answer(sender, message);
        }
    }

    fn take_view(&mut self, now: u64, buckets: &[u8], records: Vec<MemberRecord>, more: bool) {
        if self.phase == Phase::Current {
            return;
        }
        if matches!(self.phase, Phase::Stale { .. }) {
            self.forget_unlisted(buckets, &records);
        }
        for record in records {
            self.consider_record(now, record, false, false);
        }
        self.views_taken += 1;
        if !more || self.views_taken >= MAXIMUM_VIEWS {
            self.phase = Phase::Current;
        }
    }

    /// What an old view holds and a fresh one lacks is gone.
    fn forget_unlisted(&mut self, buckets: &[u8], records: &[MemberRecord]) {
        let listed: BTreeSet<InstanceId> =
            records.iter().map(|record| record.claim.instance).collect();
        let gone: Vec<InstanceId> = self
            .table
            .present()
            .map(|member| member.instance)
            .filter(|instance| buckets.contains(&(bucket_of(*instance) as u8)))
            .filter(|instance| !listed.contains(instance))
            .collect();
        for instance in gone {
            self.table.remove(instance);
            self.suspects.remove(&instance);
        }
    }

    pub(crate) fn ask_for_wanted(&mut self, sender: Sender) {
        let mut wanted = std::mem::take(&mut self.wanted);
        wanted.retain(|instance| self.table.member(*instance).is_none());
        wanted.sort_unstable();
        wanted.dedup();
        wanted.truncate(MAXIMUM_WANTED);
        if !wanted.is_empty() {
            self.answer(sender, Message::Want(wanted));
        }
    }

    fn answer_want(&mut self, sender: Sender, instances: &[InstanceId]) {
        let records: Vec<MemberRecord> = instances
            .iter()
            .take(MAXIMUM_WANTED)
            .filter_map(|instance| self.table.member(*instance))
            .map(MemberRecord::from)
            .collect();
        let message = Message::Records(records);
        if message.estimated_bytes() > 0 && self.affords(&message) {
            self.answer(sender, message);
        }
    }

    fn take_records(&mut self, now: u64, sender: Sender, records: Vec<MemberRecord>) {
        let spread = self.phase == Phase::Current;
        let mut newer = Vec::new();
        for record in records {
            let claim = record.claim;
            let held = self.table.member(claim.instance);
            let outdated = held.filter(|member| {
                (claim.incarnation, claim.state) < (member.incarnation, member.state)
            });
            newer.extend(outdated.map(MemberRecord::from));
            let first_hand = record.claim.instance == sender.instance;
            self.consider_record(now, record, first_hand, spread);
        }
        let message = Message::Records(newer);
        if self.is_fresh() && message.estimated_bytes() > 0 && self.affords(&message) {
            self.answer(sender, message);
        }
    }
}
