//! Changes that a node still passes on. Only the member's name is kept; what is sent is what the
//! table holds at that time, so a newer change replaces an older one by itself.

use crate::message::{Claim, MemberRecord, Rumour};
use crate::table::MemberTable;
use crate::timing::MAXIMUM_RUMOURS;
use firshore_types::ids::InstanceId;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct Pending {
    transmissions: u32,
    whole_record: bool,
}

/// Rumours waiting, by member.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    pending: BTreeMap<InstanceId, Pending>,
}

impl RumourQueue {
    /// Adds a change, or starts it afresh.
    pub(crate) fn add(&mut self, instance: InstanceId, whole_record: bool) {
        let known = self.pending.get(&instance);
        let whole_record = whole_record || known.is_some_and(|known| known.whole_record);
        let pending = Pending {
            transmissions: 0,
            whole_record,
        };
        self.pending.insert(instance, pending);
        if self.pending.len() > MAXIMUM_RUMOURS {
            self.drop_least_useful();
        }
    }

    fn drop_least_useful(&mut self) {
        let least = self
            .pending
            .iter()
            .max_by_key(|(_, pending)| pending.transmissions)
            .map(|(instance, _)| *instance);
        if let Some(instance) = least {
            self.pending.remove(&instance);
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// The least transmitted rumours that fit into `bytes`; one sent `limit` times is done.
    pub(crate) fn take(&mut self, table: &MemberTable, bytes: usize, limit: u32) -> Vec<Rumour> {
        let mut order: Vec<(u32, InstanceId)> = self
            .pending
            .iter()
            .map(|(instance, pending)| (pending.transmissions, *instance))
            .collect();
        order.sort_unstable();
        let mut left = bytes;
        let mut taken = Vec::new();
        for (_, instance) in order {
            let Some(rumour) = self.rumour(table, instance) else {
                self.pending.remove(&instance);
                continue;
            };
            let Some(rest) = left.checked_sub(rumour.estimated_bytes()) else {
                break;
            };
            left = rest;
            taken.push(rumour);
            self.count(instance, limit);
        }
        taken
    }

    fn rumour(&self, table: &MemberTable, instance: InstanceId) -> Option<Rumour> {
        let member = table.member(instance)?;
        let whole_record = self.pending.get(&instance)?.whole_record;
        Some(if whole_record {
            Rumour::Record(MemberRecord::from(member))
        } else {
            Rumour::Claim(Claim::of(member))
        })
    }

    fn count(&mut self, instance: InstanceId, limit: u32) {
        let Some(pending) = self.pending.get_mut(&instance) else {
            return;
        };
        pending.transmissions += 1;
        if pending.transmissions >= limit {
            self.pending.remove(&instance);
        }
    }
}
