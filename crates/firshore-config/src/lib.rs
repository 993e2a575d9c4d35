//! Configuration in force: revisions, proposals, dissemination among nodes, and the rules by which
//! a node moves forward and never back. State machines without I/O; the object API client lives in
//! the server.
#![deny(missing_docs, unsafe_code)]

pub mod dissemination;
pub mod floor;
pub mod history;
pub mod machine_list;
pub mod message;
pub mod proposal;
pub mod readers;
pub mod selection;

/// Key prefix of change objects; the revision follows as twenty digits, so that keys sort.
pub const CHANGE_PREFIX: &str = "changes/";

/// Key of the change object that creates `revision`.
pub fn change_key(revision: firshore_types::ids::Revision) -> String {
    format!("{CHANGE_PREFIX}{:020}", revision.0)
}

/// Key prefix of intents: what was in force when a change was first attempted.
pub const INTENT_PREFIX: &str = "change-intents/";

/// Key of the intent of a change.
pub fn intent_key(change_id: &firshore_types::ids::ChangeId) -> String {
    format!("{INTENT_PREFIX}{change_id}")
}
