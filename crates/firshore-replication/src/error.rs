//! Errors of a replica and of its storage.

use crate::types::LogIndex;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Reason for which a replica refused a request. Its state is unchanged.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReplicaError {
        /// This replica is not the leader; there may be none.
        NotLeader {
            display("This replica is not the leader of the group. Send the request to the leader.")
        }
        /// The previous membership change, or the first entry of the leader's term, is not committed yet.
        ChangePending {
            display("Another membership change is not committed yet. Retry once it is.")
        }
        /// The learner lags behind the leader.
        NotCaughtUp {
            display("The learner has not caught up yet. Retry later.")
        }
        /// The change has no effect, leaves no voter, or conflicts with the current membership.
        InvalidChange {
            display("The membership change is invalid for the current replicas. Read the membership and retry.")
        }
    }
}

quick_error! {
    /// Reason for which a replica's storage cannot be read or written.
    #[derive(Debug)]
    pub enum StorageError {
        /// The disk or its quota is full.
        Full(path: PathBuf) {
            display("The disk of {} is full. Free space on it; the replica then resumes automatically.", path.display())
        }
        /// The database cannot be opened or used.
        Database(path: PathBuf, reason: String) {
            display("The journal database {} cannot be used: {reason}. Check the disk; if the file is damaged, move it away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// An entry does not match its checksum.
        CorruptEntry(path: PathBuf, index: LogIndex) {
            display("Entry {index} in {} does not match its checksum. It may be committed, so the log is not truncated. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// The stored log has a gap at `index`.
        MissingEntry(path: PathBuf, index: LogIndex) {
            display("Entry {index} in {} is missing. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// A record other than an entry does not match its checksum or is missing.
        CorruptRecord(path: PathBuf, record: &'static str) {
            display("The {record} in {} is damaged or missing. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
    }
}
