//! Configuration in force: revisions, proposals, and the rules by which a node moves forward and
//! never back. The object API client lives in the server.
#![deny(missing_docs, unsafe_code)]

pub mod proposal;

/// Key prefix of change objects; the revision follows as twenty digits, so that keys sort.
pub const CHANGE_PREFIX: &str = "changes/";

/// Key of the change object that creates `revision`.
pub fn change_key(revision: firshore_types::ids::Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}
