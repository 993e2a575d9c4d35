//! Joining, pulling a view, and comparing views (anti-entropy) to repair what rumours missed.

use crate::member::{Member, MemberState};
use crate::membership::{Membership, Peer, Phase};
use crate::message::{Claim, MemberRecord, Message};
use crate::schedule::Distance;
use crate::table::bucket_of;
use crate::timing::{BUDGET_RESERVE_BYTES, JOIN_CONTACTS, MAX_RECORDS, REMOTE_COMPARISONS};
use firshore_types::ids::InstanceId;
use rand::RngExt;
use rand::seq::{IndexedRandom, SliceRandom};
use std::collections::BTreeSet;

/// Maximum number of claims in one message.
const MAX_CLAIMS: usize = 256;

/// Pulled views after which the remaining differences are left to comparisons. Without this bound,
/// frequent changes could keep the views unequal and the node from ever becoming current.
const MAX_VIEWS: u32 = 10;

/// Maximum number of records requested in one message.
const MAX_WANTED: usize = 64;

impl Membership {
    pub(crate) fn handle(&mut self, now: u64, sender: Peer, message: Message) {
        match message {
            Message::Ping(sequence) => self.handle_ping(sender, sequence),
            Message::Ack(sequence) => self.handle_ack(now, sequence),
            Message::PingRequest { sequence, target } => {
                self.handle_ping_request(now, sender, sequence, target)
            }
            Message::WrongInstance(instance) => self.handle_wrong_instance(now, sender, instance),
            Message::Join(record) => self.handle_join(now, sender, record),
            Message::Summary(summary) => self.handle_summary(sender, summary),
            Message::Compare(buckets) => self.handle_compare(sender, &buckets),
            Message::Pull(buckets) => self.handle_pull(sender, &buckets),
            Message::Claims { buckets, claims } => {
                self.handle_claims(now, sender, &buckets, claims);
            }
            Message::Want(instances) => self.handle_want(sender, &instances),
            Message::Records(records) => self.handle_records(now, sender, records),
            Message::View {
                buckets,
                records,
                more,
            } => self.handle_view(now, &buckets, records, more),
            Message::Notice => {}
        }
    }

    pub(crate) fn join_through_seed(&mut self) {
        let local = self.table.local();
        let addresses: Vec<_> = self
            .seeds
            .iter()
            .chain(&self.hints)
            .copied()
            .filter(|address| *address != local.peer_address)
            .collect();
        let record = MemberRecord::from(local);
        match addresses.choose(&mut self.rng) {
            Some(address) => self.send(*address, None, Message::Join(record), Vec::new()),
            // Without seeds and hints this is the only node, so its view is complete.
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
        let receiver = Peer::of(member);
        let buckets = self.table.buckets().to_vec();
        self.send_to(receiver, Message::Pull(buckets));
    }

    pub(crate) fn start_comparison(&mut self) {
        let is_remote = self.rng.random_ratio(1, REMOTE_COMPARISONS);
        let remote = is_remote
            .then(|| self.schedule.next_remote(&self.table, &mut self.rng))
            .flatten();
        let any = || self.schedule.next(&self.table, &mut self.rng);
        let Some(instance) = remote.or_else(any) else {
            return;
        };
        let Some(member) = self.table.member(instance) else {
            return;
        };
        let receiver = Peer::of(member);
        let summary = self.table.summary();
        self.send_to(receiver, Message::Summary(summary));
    }

    /// Contacts a random failed member, and a random seed whose address no present member has.
    /// Without this, the sides of a healed partition would not find each other again.
    pub(crate) fn reconnect(&mut self, now: u64) {
        self.ping_unreachable_regions(now);
        let failed: Vec<Peer> = self
            .table
            .others()
            .filter(|entry| entry.member.state == MemberState::Failed)
            .map(|entry| Peer::of(&entry.member))
            .collect();
        if let Some(receiver) = failed.choose(&mut self.rng).copied() {
            let summary = self.table.summary();
            self.send_to(receiver, Message::Summary(summary));
        }
        let local = self.table.local();
        let member_addresses: BTreeSet<_> =
            self.table.present().map(|peer| peer.peer_address).collect();
        let missing_seeds: Vec<_> = self
            .seeds
            .iter()
            .filter(|address| {
                !member_addresses.contains(address) && **address != local.peer_address
            })
            .copied()
            .collect();
        let record = MemberRecord::from(local);
        if let Some(address) = missing_seeds.choose(&mut self.rng) {
            self.send(*address, None, Message::Join(record), Vec::new());
        }
    }

    fn handle_wrong_instance(&mut self, now: u64, sender: Peer, instance: InstanceId) {
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

    fn handle_join(&mut self, now: u64, sender: Peer, record: MemberRecord) {
        if record.claim.instance != sender.instance {
            return;
        }
        let joiner = Member::from(record.clone());
        self.apply_record(now, record, true, true);
        let mut contacts: Vec<&Member> = self
            .table
            .present()
            .filter(|member| member.instance != joiner.instance)
            .collect();
        contacts.shuffle(&mut self.rng);
        contacts.sort_by_key(|member| Distance::between(&joiner, member) as u8);
        contacts.truncate(JOIN_CONTACTS);
        let local = self.table.local();
        let records = std::iter::once(local)
            .chain(contacts)
            .map(MemberRecord::from)
            .collect();
        self.send_to(sender, Message::Records(records));
    }

    /// Returns whether this node may send its view to others; false while the view is stale.
    fn is_fresh(&self) -> bool {
        !matches!(self.phase, Phase::Stale { .. })
    }

    fn handle_summary(&mut self, sender: Peer, summary: u64) {
        if summary == self.table.summary() || !self.is_fresh() {
            return;
        }
        let message = Message::Compare(self.table.buckets().to_vec());
        if self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }

    fn fits_budget(&self, message: &Message) -> bool {
        message.estimated_bytes() + BUDGET_RESERVE_BYTES <= self.budget.available()
    }

    fn handle_compare(&mut self, sender: Peer, remote_buckets: &[u32]) {
        if !self.is_fresh() {
            return;
        }
        let mut differing_buckets = self.table.differing_buckets(remote_buckets);
        differing_buckets.shuffle(&mut self.rng);
        let members_by_bucket = self.table.members_by_bucket();
        let mut buckets = Vec::new();
        let mut claims = Vec::new();
        for index in differing_buckets {
            let members = &members_by_bucket[index];
            if claims.len() + members.len() > MAX_CLAIMS {
                break;
            }
            claims.extend(members.iter().copied().map(Claim::of));
            buckets.push(index as u8);
        }
        let message = Message::Claims { buckets, claims };
        if self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }

    /// Applies the newer claims and sends back records of members for which this node has newer state.
    fn handle_claims(&mut self, now: u64, sender: Peer, buckets: &[u8], claims: Vec<Claim>) {
        let mut newer: Vec<MemberRecord> = Vec::new();
        let claimed: BTreeSet<InstanceId> = claims.iter().map(|claim| claim.instance).collect();
        let members_by_bucket = self.table.members_by_bucket();
        for index in buckets {
            let members = members_by_bucket
                .get(usize::from(*index))
                .into_iter()
                .flatten();
            let unclaimed = members
                .copied()
                .filter(|member| !claimed.contains(&member.instance));
            newer.extend(unclaimed.map(MemberRecord::from));
        }
        for claim in claims {
            let current = self.table.member(claim.instance);
            let newer_member = current.filter(|member| {
                (claim.incarnation, claim.state) < (member.incarnation, member.state)
            });
            newer.extend(newer_member.map(MemberRecord::from));
            self.apply_claim(now, claim);
        }
        newer.truncate(MAX_RECORDS);
        let message = Message::Records(newer);
        if self.is_fresh() && message.estimated_bytes() > 0 && self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }

    fn handle_pull(&mut self, sender: Peer, remote_buckets: &[u32]) {
        if !self.is_fresh() {
            return;
        }
        let mut differing_buckets = self.table.differing_buckets(remote_buckets);
        differing_buckets.shuffle(&mut self.rng);
        let total = differing_buckets.len();
        let members_by_bucket = self.table.members_by_bucket();
        let mut buckets = Vec::new();
        let mut records: Vec<MemberRecord> = Vec::new();
        for index in differing_buckets {
            let members = &members_by_bucket[index];
            if records.len() + members.len() > MAX_RECORDS && !buckets.is_empty() {
                break;
            }
            records.extend(members.iter().copied().map(MemberRecord::from));
            buckets.push(index as u8);
        }
        // A node that is still joining may lack the same members as the requester.
        let more = buckets.len() < total || self.phase == Phase::Joining;
        let message = Message::View {
            buckets,
            records,
            more,
        };
        if self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }

    fn handle_view(&mut self, now: u64, buckets: &[u8], records: Vec<MemberRecord>, more: bool) {
        if self.phase == Phase::Current {
            return;
        }
        if matches!(self.phase, Phase::Stale { .. }) {
            self.remove_unlisted(buckets, &records);
        }
        for record in records {
            self.apply_record(now, record, false, false);
        }
        self.views_received += 1;
        if !more || self.views_received >= MAX_VIEWS {
            self.phase = Phase::Current;
        }
    }

    /// Removes members of `buckets` that a fresh view doesn't list: they were removed while this
    /// node was paused.
    fn remove_unlisted(&mut self, buckets: &[u8], records: &[MemberRecord]) {
        let listed: BTreeSet<InstanceId> =
            records.iter().map(|record| record.claim.instance).collect();
        let unlisted: Vec<InstanceId> = self
            .table
            .present()
            .map(|member| member.instance)
            .filter(|instance| buckets.contains(&(bucket_of(*instance) as u8)))
            .filter(|instance| !listed.contains(instance))
            .collect();
        for instance in unlisted {
            self.table.remove(instance);
            self.suspects.remove(&instance);
        }
    }

    pub(crate) fn request_wanted(&mut self, sender: Peer) {
        let mut wanted = std::mem::take(&mut self.wanted);
        wanted.retain(|instance| self.table.member(*instance).is_none());
        wanted.sort_unstable();
        wanted.dedup();
        wanted.truncate(MAX_WANTED);
        if !wanted.is_empty() {
            self.send_to(sender, Message::Want(wanted));
        }
    }

    fn handle_want(&mut self, sender: Peer, instances: &[InstanceId]) {
        let records: Vec<MemberRecord> = instances
            .iter()
            .take(MAX_WANTED)
            .filter_map(|instance| self.table.member(*instance))
            .map(MemberRecord::from)
            .collect();
        let message = Message::Records(records);
        if message.estimated_bytes() > 0 && self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }

    fn handle_records(&mut self, now: u64, sender: Peer, records: Vec<MemberRecord>) {
        let spread = self.phase == Phase::Current;
        let mut newer = Vec::new();
        for record in records {
            let claim = record.claim;
            let current = self.table.member(claim.instance);
            let newer_member = current.filter(|member| {
                (claim.incarnation, claim.state) < (member.incarnation, member.state)
            });
            newer.extend(newer_member.map(MemberRecord::from));
            let from_member = record.claim.instance == sender.instance;
            self.apply_record(now, record, from_member, spread);
        }
        let message = Message::Records(newer);
        if self.is_fresh() && message.estimated_bytes() > 0 && self.fits_budget(&message) {
            self.send_to(sender, message);
        }
    }
}
