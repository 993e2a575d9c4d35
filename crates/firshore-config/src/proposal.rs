//! Change sets proposed by operators, and the decision whether they become revisions.

use firshore_types::configuration::{Change, Configuration};
use firshore_types::declaration::{Declaration, DeclarationKey};
use firshore_types::ids::{ChangeId, Revision};
use firshore_types::validation::{Fault, validate};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::fmt;

/// Change set that `firshore apply` sends to a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Assigned once by the author; unchanged when the proposal is resent after a lost response.
    pub change_id: ChangeId,
    /// User who applies it.
    pub author: String,
    /// Revision on which the author based the proposal.
    pub base: Revision,
    /// Declarations to add or replace.
    pub upserts: Vec<Declaration>,
    /// Declarations to remove.
    pub removals: Vec<DeclarationKey>,
}

/// Another change to the same declarations, accepted after the proposal's base revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConflictingChange {
    /// Identifier of the other change.
    pub change_id: ChangeId,
    /// User who applied it.
    pub author: String,
    /// Revision that the change created.
    pub revision: Revision,
    /// Declarations that both change.
    pub keys: Vec<DeclarationKey>,
}

impl fmt::Display for ConflictingChange {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let keys: Vec<String> = self.keys.iter().map(ToString::to_string).collect();
        write!(
            formatter,
            "Change '{}' by {} (revision {}) touched {} meanwhile.",
            self.change_id,
            self.author,
            self.revision,
            keys.join(", ")
        )
    }
}

/// Result of checking a proposal against a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Already accepted, as this revision.
    AlreadyAccepted(Revision),
    /// The identifier belongs to another change set, accepted as this revision.
    IdentifierTaken(Revision),
    /// Valid; to be written as this change.
    Write(Change),
    /// Other changes modified the same declarations.
    Conflict(Vec<ConflictingChange>),
    /// Applying it would make the configuration invalid.
    Invalid(Vec<Fault>),
}

impl Proposal {
    /// Checks the proposal against `current`. `since` holds every change after `self.base` up to
    /// `current`, and any earlier changes that may include the proposal itself.
    ///
    /// The proposal is rebased onto changes to other declarations. A declaration that already has
    /// the proposed content is no conflict.
    pub fn decide(&self, current: &Configuration, since: &[Change]) -> Decision {
        if let Some(change) = since
            .iter()
            .find(|change| change.change_id == self.change_id)
        {
            return self.settle(change);
        }
        let conflicts = self.conflicts(current, since);
        if !conflicts.is_empty() {
            return Decision::Conflict(conflicts);
        }
        let change = Change {
            revision: current.revision.next(),
            change_id: self.change_id.clone(),
            author: self.author.clone(),
            upserts: self.upserts.clone(),
            removals: self.removals.clone(),
        };
        let mut faults = self.key_faults(current, since);
        let mut candidate = current.clone();
        candidate.apply(&change);
        faults.extend(validate(&candidate));
        if faults.is_empty() {
            Decision::Write(change)
        } else {
            Decision::Invalid(faults)
        }
    }

    /// Compares the proposal with an accepted change that has the same identifier.
    pub fn settle(&self, change: &Change) -> Decision {
        if change.upserts == self.upserts && change.removals == self.removals {
            Decision::AlreadyAccepted(change.revision)
        } else {
            Decision::IdentifierTaken(change.revision)
        }
    }

    fn touched(&self) -> BTreeSet<DeclarationKey> {
        let upserts = self.upserts.iter().map(Declaration::key);
        upserts.chain(self.removals.iter().cloned()).collect()
    }

    fn has_proposed_content(&self, current: &Configuration, key: &DeclarationKey) -> bool {
        let wanted = self.upserts.iter().find(|one| one.key() == *key);
        wanted == current.declarations.get(key)
    }

    fn conflicts(&self, current: &Configuration, since: &[Change]) -> Vec<ConflictingChange> {
        let touched = self.touched();
        let mut conflicts = Vec::new();
        for change in since.iter().filter(|change| change.revision > self.base) {
            let keys: BTreeSet<DeclarationKey> = change
                .keys()
                .filter(|key| touched.contains(key))
                .filter(|key| !self.has_proposed_content(current, key))
                .collect();
            if !keys.is_empty() {
                conflicts.push(ConflictingChange {
                    change_id: change.change_id.clone(),
                    author: change.author.clone(),
                    revision: change.revision,
                    keys: keys.into_iter().collect(),
                });
            }
        }
        conflicts
    }

    fn key_faults(&self, current: &Configuration, since: &[Change]) -> Vec<Fault> {
        let mut faults = Vec::new();
        let mut seen = BTreeSet::new();
        let upserts = self.upserts.iter().map(Declaration::key);
        for key in upserts.chain(self.removals.iter().cloned()) {
            if !seen.insert(key.clone()) {
                faults.push(Fault {
                    place: key.to_string(),
                    field: "metadata.name".to_owned(),
                    problem: "It stands in the change more than once.".to_owned(),
                    remedy: "Keep one of them.".to_owned(),
                });
            }
        }
        for key in &self.removals {
            let removed_meanwhile = since.iter().any(|change| change.removals.contains(key));
            if !current.declarations.contains_key(key) && !removed_meanwhile {
                faults.push(Fault {
                    place: key.to_string(),
                    field: "metadata.name".to_owned(),
                    problem: "It is to be removed but is not declared.".to_owned(),
                    remedy: "Leave it out, or correct its kind or name.".to_owned(),
                });
            }
        }
        faults
    }
}
