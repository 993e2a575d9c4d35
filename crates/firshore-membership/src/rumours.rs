//! Queue of changes to gossip. It keeps only the member's instance; the state is read from the table
//! when a rumour is sent, so a newer change replaces an older one.

use crate::message::{Claim, MemberRecord, Rumour};
use crate::table::MemberTable;
use crate::timing::MAX_RUMOURS;
use firshore_types::ids::InstanceId;
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
struct PendingRumour {
    transmissions: u32,
    whole_record: bool,
}

/// Queued rumours by member.
#[derive(Debug, Default)]
pub(crate) struct RumourQueue {
    pending: BTreeMap<InstanceId, PendingRumour>,
}

impl RumourQueue {
    /// Adds a change, or resets the transmissions of one already queued.
    pub(crate) fn add(&mut self, instance: InstanceId, whole_record: bool) {
        let previous = self.pending.get(&instance);
        let whole_record = whole_record || previous.is_some_and(|previous| previous.whole_record);
        let pending = PendingRumour {
            transmissions: 0,
            whole_record,
        };
        self.pending.insert(instance, pending);
        if self.pending.len() > MAX_RUMOURS {
            self.drop_most_transmitted();
        }
    }

    fn drop_most_transmitted(&mut self) {
        let most_transmitted = self
            .pending
            .iter()
            .max_by_key(|(_, pending)| pending.transmissions)
            .map(|(instance, _)| *instance);
        if let Some(instance) = most_transmitted {
            self.pending.remove(&instance);
        }
    }

    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Returns the least transmitted rumours that fit into `bytes`, and removes those that have now
    /// been transmitted `limit` times.
    pub(crate) fn take(&mut self, table: &MemberTable, bytes: usize, limit: u32) -> Vec<Rumour> {
        let mut order: Vec<(u32, InstanceId)> = self
            .pending
            .iter()
            .map(|(instance, pending)| (pending.transmissions, *instance))
            .collect();
        order.sort_unstable();
        let mut remaining = bytes;
        let mut taken = Vec::new();
        for (_, instance) in order {
            let Some(rumour) = self.rumour(table, instance) else {
                self.pending.remove(&instance);
                continue;
            };
            let Some(rest) = remaining.checked_sub(rumour.estimated_bytes()) else {
                break;
            };
            remaining = rest;
            taken.push(rumour);
            self.record_transmission(instance, limit);
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

    fn record_transmission(&mut self, instance: InstanceId, limit: u32) {
        let Some(pending) = self.pending.get_mut(&instance) else {
            return;
        };
        pending.transmissions += 1;
        if pending.transmissions >= limit {
            self.pending.remove(&instance);
        }
    }
}
