//! Table of members, with checksums of the view.

use crate::member::{Member, MemberState};
use crate::message::Claim;
use crate::timing::BUCKETS;
use firshore_types::ids::InstanceId;
use std::collections::BTreeMap;

/// Table entry for another node.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The member with its latest state.
    pub member: Member,
    /// When its state last changed at this node, in milliseconds.
    pub changed_at: u64,
    /// When the latest message from the member itself arrived, in milliseconds; 0 for never.
    pub last_received_at: u64,
}

/// Members by instance, including the local node.
#[derive(Debug)]
pub struct MemberTable {
    local: Member,
    others: BTreeMap<InstanceId, Entry>,
    buckets: [u32; BUCKETS],
}

/// Finaliser of splitmix64 (Steele, Lea, Flood 2014).
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the index of a member's bucket.
pub fn bucket_of(instance: InstanceId) -> usize {
    (instance.0 % BUCKETS as u64) as usize
}

/// Returns the checksum of a member. A suspect counts as alive, because suspicion is temporary and
/// local. A failed member counts as absent, because nodes remove it at different times.
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
    /// Creates a table with only the local node.
    pub fn new(local: Member) -> Self {
        let mut table = Self {
            local,
            others: BTreeMap::new(),
            buckets: [0; BUCKETS],
        };
        table.toggle_checksum(&table.local.clone());
        table
    }

    fn toggle_checksum(&mut self, member: &Member) {
        self.buckets[bucket_of(member.instance)] ^= checksum(member);
    }

    /// Returns the local node.
    pub fn local(&self) -> &Member {
        &self.local
    }

    /// Sets the local node's state and incarnation.
    pub fn set_local(&mut self, incarnation: u64, state: MemberState) {
        self.toggle_checksum(&self.local.clone());
        self.local.incarnation = incarnation;
        self.local.state = state;
        self.toggle_checksum(&self.local.clone());
    }

    /// Returns the entry of another node.
    pub fn get(&self, instance: InstanceId) -> Option<&Entry> {
        self.others.get(&instance)
    }

    /// Returns the member with this instance, which may be the local node.
    pub fn member(&self, instance: InstanceId) -> Option<&Member> {
        if instance == self.local.instance {
            return Some(&self.local);
        }
        self.others.get(&instance).map(|entry| &entry.member)
    }

    /// Returns the entries of the other nodes in order of instance.
    pub fn others(&self) -> impl Iterator<Item = &Entry> {
        self.others.values()
    }

    /// Returns all members, including the local node, in order of instance.
    pub fn members(&self) -> Vec<Member> {
        let mut all: Vec<Member> = self.others().map(|entry| entry.member.clone()).collect();
        let position = all.partition_point(|member| member.instance < self.local.instance);
        all.insert(position, self.local.clone());
        all
    }

    /// Returns the other nodes that are not failed.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.others()
            .map(|entry| &entry.member)
            .filter(|member| member.state != MemberState::Failed)
    }

    /// Adds a new member, or replaces its entry.
    pub fn insert(&mut self, now: u64, member: Member) {
        self.remove(member.instance);
        self.toggle_checksum(&member);
        let entry = Entry {
            changed_at: now,
            last_received_at: 0,
            member,
        };
        self.others.insert(entry.member.instance, entry);
    }

    /// Removes a member.
    pub fn remove(&mut self, instance: InstanceId) {
        if let Some(entry) = self.others.remove(&instance) {
            self.toggle_checksum(&entry.member);
        }
    }

    /// Sets the state of a member; does nothing if it isn't in the table.
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

    /// Records that a message from the member itself arrived at `now`.
    pub fn record_message(&mut self, now: u64, instance: InstanceId) {
        if let Some(entry) = self.others.get_mut(&instance) {
            entry.last_received_at = now;
        }
    }

    /// Moves the time of every state change forward by the length of a pause of the local process.
    pub fn shift(&mut self, milliseconds: u64) {
        for entry in self.others.values_mut() {
            entry.changed_at += milliseconds;
        }
    }

    /// Returns the checksums by bucket.
    pub fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// Returns the checksum of the whole view.
    pub fn summary(&self) -> u64 {
        self.buckets
            .iter()
            .fold(1, |sum, bucket| mix(sum ^ u64::from(*bucket)))
    }

    /// Returns the buckets whose checksum differs from that in `remote_buckets`.
    pub fn differing_buckets(&self, remote_buckets: &[u32]) -> Vec<usize> {
        (0..BUCKETS)
            .filter(|index| remote_buckets.get(*index) != Some(&self.buckets[*index]))
            .collect()
    }

    /// Returns the members that are not failed, by bucket, including the local node.
    pub fn members_by_bucket(&self) -> Vec<Vec<&Member>> {
        let mut members_by_bucket = vec![Vec::new(); BUCKETS];
        for member in self.present().chain(std::iter::once(&self.local)) {
            members_by_bucket[bucket_of(member.instance)].push(member);
        }
        members_by_bucket
    }
}
