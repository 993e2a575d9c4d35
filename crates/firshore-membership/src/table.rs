//! The members that a node has heard of, with checksums of the view.

use crate::member::{Member, MemberState};
use crate::message::Claim;
use crate::timing::BUCKETS;
use firshore_types::ids::InstanceId;
use std::collections::BTreeMap;

/// What a node holds about another.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member as last heard.
    pub member: Member,
    /// When its state last changed here, in milliseconds.
    pub changed_at: u64,
    /// When a message last came from the member itself, in milliseconds; 0 for never.
    pub heard_at: u64,
}

/// Members by instance, the own node among them.
#[derive(Debug)]
pub struct MemberTable {
    own: Member,
    others: BTreeMap<InstanceId, Entry>,
    buckets: [u32; BUCKETS],
}

/// Finaliser of splitmix64 (Steele, Lea, Flood 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Bucket of a member.
pub fn bucket_of(instance: InstanceId) -> usize {
    (instance.0 % BUCKETS as u64) as usize
}

/// Checksum of a member. Suspicion is an opinion that passes, so a suspect counts as alive;
/// failed members count for nothing, because each node forgets them at its own time.
fn checksum(member: &Member) -> u32 {
    let leaving = match member.state {
        MemberState::Failed => return 0,
        MemberState::Leaving => 1,
        MemberState::Alive | MemberState::Suspect => 0,
    };
    let version = mix(member.incarnation * 2 + leaving + 1);
    mix(member.instance.0 ^ version) as u32
}

impl MemberTable {
    /// A table that knows only its own node.
    pub fn new(own: Member) -> Self {
        let mut table = Self {
            own,
            others: BTreeMap::new(),
            buckets: [0; BUCKETS],
        };
        table.toggle_checksum(&table.own.clone());
        table
    }

    fn toggle_checksum(&mut self, member: &Member) {
        self.buckets[bucket_of(member.instance)] ^= checksum(member);
    }

    /// The node itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Changes the own state and incarnation.
    pub fn set_own(&mut self, incarnation: u64, state: MemberState) {
        self.toggle_checksum(&self.own.clone());
        self.own.incarnation = incarnation;
        self.own.state = state;
        self.toggle_checksum(&self.own.clone());
    }

    /// What is held about another node.
    pub fn get(&self, instance: InstanceId) -> Option<&Entry> {
        self.others.get(&instance)
    }

    /// The member of this instance, the own node included.
    pub fn member(&self, instance: InstanceId) -> Option<&Member> {
        if instance == self.own.instance {
            return Some(&self.own);
        }
        self.others.get(&instance).map(|entry| &entry.member)
    }

    /// Everything held about other nodes, in order of instance.
    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.others.values()
    }

    /// The own node and every other, in order of instance.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.others().map(|entry| entry.member.clone()).collect();
        let position = all.partition_point(|member| member.instance < self.own.instance);
        all.insert(position, self.own.clone());
        all
    }

    /// Other nodes that are not given up.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.others()
            .map(|entry| &entry.member)
            .filter(|member| member.state != MemberState::Failed)
    }

    /// Adds a member heard of for the first time.
    pub fn insert(&mut self, now: u64, member: Member) {
        self.remove(member.instance);
        self.toggle_checksum(&member);
        let entry = Entry {
            changed_at: now,
            heard_at: 0,
            member,
        };
        self.others.insert(entry.member.instance, entry);
    }

    /// Forgets a member.
    pub fn remove(&mut self, instance: InstanceId) {
        if let Some(entry) = self.others.remove(&instance) {
            self.toggle_checksum(&entry.member);
        }
    }

    /// Changes the state of a known member.
    pub fn set(&mut self, now: u64, claim: Claim) {
        let Some(entry) = self.others.get_mut(&claim.instance) else {
            return;
        };
        let before = checksum(&entry.member);
        entry.member.incarnation = claim.incarnation;
        entry.member.state = claim.state;
        entry.changed_at = now;
        let after = checksum(&entry.member);
        self.buckets[bucket_of(claim.instance)] ^= before ^ after;
    }

    /// Notes that a message came from the member itself.
    pub fn heard(&mut self, now: u64, instance: InstanceId) {
        if let Some(entry) = self.others.get_mut(&instance) {
            entry.heard_at = now;
        }
    }

    /// Moves every change of state forward in time by a pause of the own process.
    pub fn shift(&mut self, milliseconds: u64) {
        for entry in self.others.values_mut() {
            entry.changed_at += milliseconds;
        }
    }

    /// Checksums by bucket.
    pub fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// Checksum of the whole view.
    pub fn summary(&self) -> u64 {
        self.buckets
            .iter()
            .fold(1, |sum, bucket| mix(sum ^ u64::from(*bucket)))
    }

    /// Buckets whose checksum is not the one in `theirs`.
    pub fn differing(&self, theirs: &[u32]) -> Vec<usize> {
        (0..BUCKETS)
            .filter(|index| theirs.get(*index) != Some(&self.buckets[*index]))
            .collect()
    }

    /// Members that are not given up by bucket, the own node included.
    pub fn content(&self) -> Vec<Vec<&Member>> {
        let mut content = vec![Vec::new(); BUCKETS];
        for member in self.present().chain(std::iter::once(&self.own)) {
            content[bucket_of(member.instance)].push(member);
        }
        content
    }
}
