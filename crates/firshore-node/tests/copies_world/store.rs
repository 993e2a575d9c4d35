//! The environment's store: which nodes have a disk, the voters on record, the nodes to be emptied.

use super::machine::KnownStore;
use firshore_log::placement::Candidate;
use firshore_node::journal::registry::VoterRecord;
use firshore_types::ids::NodeName;
use std::collections::BTreeMap;

/// A write that is done later, if its condition still holds.
struct LateWrite {
    at: u64,
    known: u64,
    record: VoterRecord,
}

/// What the store holds.
#[derive(Default)]
pub struct Store {
    pub nodes: BTreeMap<NodeName, Candidate>,
    pub voters: Option<(u64, VoterRecord)>,
    /// Nodes that are to be emptied, and whether they are.
    pub wishes: BTreeMap<NodeName, bool>,
    /// Milliseconds until which it answers nobody.
    pub down_until: u64,
    revision: u64,
    late: Vec<LateWrite>,
}

impl Store {
    pub fn read(&self, known: &mut KnownStore) {
        known.candidates = self.nodes.values().cloned().collect();
        known.voters = self.voters.clone();
        known.unsettled = false;
    }

    /// Writes the voters if nobody has since `known`.
    pub fn record(&mut self, known: u64, record: VoterRecord) {
        let present = self.voters.as_ref().map_or(0, |(revision, _)| *revision);
        if present == known {
            self.revision += 1;
            self.voters = Some((self.revision, record));
        }
    }

    /// The same, done at some later time and answered by nobody.
    pub fn record_late(&mut self, at: u64, known: u64, record: VoterRecord) {
        self.late.push(LateWrite { at, known, record });
    }

    pub fn tick(&mut self, now: u64) {
        let due = self.late.extract_if(.., |write| write.at <= now);
        for write in due.collect::<Vec<_>>() {
            self.record(write.known, write.record);
        }
    }
}
