//! The object API as the simulation needs it: a chain of accepted changes.

use firshore_config::history::{HistoryDigest, Record};
use firshore_types::configuration::Change;
use firshore_types::declaration::Declaration;
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::parse_declarations;

/// Distinct tenants that the changes touch in turn.
const TENANTS: u64 = 200;

/// Accepted changes.
#[derive(Debug, Default)]
pub struct Objects {
    records: Vec<Record>,
    digests: Vec<HistoryDigest>,
    /// Whether it is down.
    pub down: bool,
}

fn tenant(revision: u64) -> Declaration {
    let name = format!("tenant-{}", revision % TENANTS);
    let digest = format!("{revision:064x}");
    let priority = revision % 100;
    let text = format!(
        "kind: Tenant\nmetadata: {{name: {name}, labels: {{team: fieldline}}}}\nspec: {{keyDigests: ['{digest}'], priority: {priority}}}"
    );
    parse_declarations("simulation", &text)
        .expect("the declaration is valid")
        .remove(0)
}

impl Objects {
    /// Commits one more change.
    pub fn commit(&mut self) -> Record {
        let revision = self.records.len() as u64 + 1;
        let change = Change {
            revision: Revision(revision),
            change_id: ChangeId::from(format!("change-{revision}").as_str()),
            author: "simulation".to_owned(),
            upserts: vec![tenant(revision)],
            removals: Vec::new(),
        };
        let previous = self.digests.last().copied().unwrap_or_default();
        let record = Record::new(previous, &change);
        self.digests.push(record.digest());
        self.records.push(record.clone());
        record
    }

    /// Changes after a revision.
    pub fn after(&self, revision: Revision) -> Vec<Record> {
        let start = (revision.0 as usize).min(self.records.len());
        self.records[start..].to_vec()
    }

    /// Newest revision.
    pub fn newest(&self) -> u64 {
        self.records.len() as u64
    }

    /// Digest of the accepted history up to a revision.
    pub fn digest(&self, revision: Revision) -> Option<HistoryDigest> {
        let index = revision.0.checked_sub(1)? as usize;
        self.digests.get(index).copied()
    }

    /// Mean length of a record's text in bytes.
    pub fn mean_record_bytes(&self) -> f64 {
        let bytes: usize = self.records.iter().map(|record| record.text.len()).sum();
        bytes as f64 / self.records.len().max(1) as f64
    }
}
