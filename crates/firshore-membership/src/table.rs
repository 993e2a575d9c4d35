//! The table of members that a node has heard of.

use crate::member::{Member, MemberState};
use firshore_types::ids::InstanceId;
use std::collections::BTreeMap;

/// Milliseconds without news after which a member is taken for failed.
pub const FAILURE_TIMEOUT_MILLISECONDS: u64 = 3_000;

#[derive(Debug)]
struct Entry {
    member: Member,
    heard_at: u64,
}

/// Members by instance, with when each was last heard of.
#[derive(Debug)]
pub struct MemberTable {
    own: Member,
    others: BTreeMap<InstanceId, Entry>,
}

impl MemberTable {
    /// A table that knows only its own node.
    pub fn new(own: Member) -> Self {
        Self {
            own,
            others: BTreeMap::new(),
        }
    }

    /// The node itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Marks the own node as leaving.
    pub fn leave(&mut self) {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
    }

    /// Takes in a heartbeat that `member` itself sent at `now` (milliseconds).
    pub fn heard_from(&mut self, now: u64, member: Member) {
        if member.instance == self.own.instance {
            return;
        }
        let newer = self
            .others
            .get(&member.instance)
            .is_none_or(|entry| entry.member.incarnation <= member.incarnation);
        if newer {
            self.others.insert(
                member.instance,
                Entry {
                    member,
                    heard_at: now,
                },
            );
        }
    }

    /// Every member with its state at `now`, the own node included, in order of instance.
    pub fn members(&self, now: u64) -> Vec<Member> {
        let mut all = vec![self.own.clone()];
        for entry in self.others.values() {
            let mut member = entry.member.clone();
            if now.saturating_sub(entry.heard_at) > FAILURE_TIMEOUT_MILLISECONDS {
                member.state = MemberState::Failed;
            }
            all.push(member);
        }
        all.sort_by_key(|member| member.instance);
        all
    }

    /// Members that may be given work at `now`.
    pub fn alive(&self, now: u64) -> Vec<Member> {
        self.members(now)
            .into_iter()
            .filter(|member| member.state == MemberState::Alive)
            .collect()
    }
}
