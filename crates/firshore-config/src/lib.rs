//! Configuration in force: revisions, proposals, dissemination among nodes, and the checks that
//! prevent a node from reverting to an older revision. State machines without I/O; the object API
//! client is in the server.
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

/// Revisions in one page of change objects; the key's leading digits identify the page.
pub const REVISIONS_PER_PAGE: u64 = 1_000;

/// Key prefix of the change objects on the page that holds `revision`.
pub fn page_prefix(revision: firshore_types::ids::Revision) -> String {
    format!("{CHANGE_PREFIX}{:017}", revision.0 / REVISIONS_PER_PAGE)
}

/// Key of the snapshot object: a whole configuration, from which an empty cluster starts.
pub const SNAPSHOT_KEY: &str = "configuration-snapshot";

/// Revisions between two writes of the snapshot object.
pub const SNAPSHOT_REVISIONS: u64 = 1_024;

/// Key prefix of intents, which record the revision in force when a change was first attempted.
pub const INTENT_PREFIX: &str = "change-intents/";

/// Key of the intent of a change.
pub fn intent_key(change_id: &firshore_types::ids::ChangeId) -> String {
    format!("{INTENT_PREFIX}{change_id}")
}
