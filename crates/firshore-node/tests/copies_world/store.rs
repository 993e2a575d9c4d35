//! Simulated object store: nodes with disks, the recorded voters and the retiring nodes.

use super::machine::CachedStore;
use firshore_log::placement::Candidate;
use firshore_node::journal::registry::VoterRecord;
use firshore_types::ids::NodeName;
use std::collections::BTreeMap;

/// A conditional write that is applied later.
struct LateWrite {
    at: u64,
    expected: u64,
    record: VoterRecord,
}

/// Contents and faults of the store.
#[derive(Default)]
pub struct Store {
    pub nodes: BTreeMap<NodeName, Candidate>,
    pub voters: Option<(u64, VoterRecord)>,
    /// Retiring nodes, and whether they are drained.
    pub retirements: BTreeMap<NodeName, bool>,
    /// Time in milliseconds until which the store is unreachable.
    pub down_until: u64,
    revision: u64,
    late: Vec<LateWrite>,
}

impl Store {
    pub fn read(&self, cached: &mut CachedStore) {
        cached.candidates = self.nodes.values().cloned().collect();
        cached.voters = self.voters.clone();
        cached.write_pending = false;
    }

    /// Writes the voters if the recorded revision is still `expected`.
    pub fn record(&mut self, expected: u64, record: VoterRecord) {
        let current = self.voters.as_ref().map_or(0, |(revision, _)| *revision);
        if current == expected {
            self.revision += 1;
            self.voters = Some((self.revision, record));
        }
    }

    /// Schedules the same write for a later time; the client gets no response.
    pub fn record_late(&mut self, at: u64, expected: u64, record: VoterRecord) {
        self.late.push(LateWrite {
            at,
            expected,
            record,
        });
    }

    pub fn tick(&mut self, now: u64) {
        let due = self.late.extract_if(.., |write| write.at <= now);
        for write in due.collect::<Vec<_>>() {
            self.record(write.expected, write.record);
        }
    }
}
