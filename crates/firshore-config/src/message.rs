//! What nodes tell one another about the configuration.

use crate::history::{HistoryDigest, Record};
use firshore_types::configuration::Configuration;
use firshore_types::ids::Revision;
use serde::{Deserialize, Serialize};

/// What a node holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advertisement {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the history up to it.
    pub digest: HistoryDigest,
    /// Highest floor that the node knows of.
    pub floor: Revision,
}

/// A whole configuration and its place in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Digest of the history up to the configuration's revision.
    pub digest: HistoryDigest,
    /// Declarations and revision.
    pub configuration: Configuration,
}

/// What a node tells operators about its configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeConfiguration {
    /// What it holds.
    pub advertisement: Advertisement,
    /// Why it does not serve, if so.
    pub not_serving: Option<String>,
    /// The last change that it refused, and why.
    pub refused: Option<String>,
}

/// A message between two nodes. None needs an answer; a lost one is made good by the next
/// advertisement.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Tells what the sender holds.
    Advertisement(Advertisement),
    /// Changes in order of revision, each following the one before.
    Chain(Vec<Record>),
    /// Asks for what follows the sender's head.
    Pull {
        /// The sender's revision.
        after: Revision,
        /// The digest of its history.
        digest: HistoryDigest,
    },
    /// A whole configuration, for a sender whose revision is too old for a chain.
    Snapshot(Box<Snapshot>),
    /// The node has sent a snapshot to someone just now; ask another.
    Busy,
    /// The histories differ at the revision that the receiver named.
    Divergent {
        /// The receiver's revision.
        at: Revision,
    },
    /// The sender, a reader of the object API, cannot reach it; the receiver reads in its place
    /// for a while.
    TakeOverReading,
}
