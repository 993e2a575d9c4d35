//! Why a replica did not do as asked, and why its storage cannot be used.

use crate::types::LogIndex;
use quick_error::quick_error;
use std::path::PathBuf;

quick_error! {
    /// Why a replica did not take a request. Nothing was changed.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ReplicaError {
        /// Another replica leads, or none does.
        NotLeader {
            display("This replica does not lead the group. Ask the leader.")
        }
        /// A membership change is not committed yet.
        ChangePending {
            display("Another membership change is not committed yet. Ask again after it.")
        }
        /// The learner misses entries.
        NotCaughtUp {
            display("The learner has not caught up yet. Ask again later.")
        }
        /// The change would have no effect, or would leave no voter.
        InvalidChange {
            display("The membership change does not fit the present replicas. Read them and decide anew.")
        }
    }
}

quick_error! {
    /// Why a replica's storage cannot be read or written.
    #[derive(Debug)]
    pub enum StorageError {
        /// No space is left.
        Full(path: PathBuf) {
            display("The disk of {} is full. Free space on it; the replica then continues by itself.", path.display())
        }
        /// The database cannot be opened or used.
        Database(path: PathBuf, reason: String) {
            display("The journal database {} cannot be used: {reason}. Check the disk; if the file is damaged, move it away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// An entry does not match its checksum.
        CorruptEntry(path: PathBuf, index: LogIndex) {
            display("Entry {index} in {} does not match its checksum. It may be committed, so it is not cut off. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// Entries are missing between others.
        MissingEntry(path: PathBuf, index: LogIndex) {
            display("Entry {index} in {} is missing. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
        /// A record other than an entry does not match its checksum or is missing.
        CorruptRecord(path: PathBuf, record: &'static str) {
            display("The {record} in {} is damaged or missing. Move the file away and restart: the node returns as a new replica and the group brings it up to date.", path.display())
        }
    }
}
