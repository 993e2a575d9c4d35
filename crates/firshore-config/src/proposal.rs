//! A change set that an operator proposes, before it has a revision.

use firshore_types::configuration::{Change, Configuration};
use firshore_types::declaration::{Declaration, DeclarationKey};
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::{Fault, validate};
use serde::{Deserialize, Serialize};

/// What `firshore apply` sends to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Chosen once by the author; sent again unchanged when an answer was lost.
    pub change_id: ChangeId,
    /// Who applies it.
    pub author: String,
    /// Revision that the author looked at.
    pub base: Revision,
    /// Declarations to add or replace.
    pub upserts: Vec<Declaration>,
    /// Declarations to take away.
    pub removals: Vec<DeclarationKey>,
}

impl Proposal {
    /// The change that this proposal becomes on top of `current`, or the faults that forbid it.
    pub fn on_top_of(&self, current: &Configuration) -> Result<Change, Vec<Fault>> {
        let change = Change {
            revision: current.revision.next(),
            change_id: self.change_id.clone(),
            author: self.author.clone(),
            upserts: self.upserts.clone(),
            removals: self.removals.clone(),
        };
        let mut candidate = current.clone();
        candidate.apply(&change);
        let faults = validate(&candidate);
        if faults.is_empty() {
            Ok(change)
        } else {
            Err(faults)
        }
    }
}
