//! Messages between nodes about the configuration.

use crate::history::{HistoryDigest, Record};
use firshore_types::configuration::Configuration;
use firshore_types::ids::Revision;
use serde::{Deserialize, Serialize};

/// Position of a node's configuration in the history.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advertisement {
    /// Revision in force.
    pub revision: Revision,
    /// Digest of the history up to `revision`.
    pub digest: HistoryDigest,
    /// Highest floor that the node has received.
    pub floor: Revision,
}

/// A whole configuration and its position in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Digest of the history up to the configuration's revision.
    pub digest: HistoryDigest,
    /// Declarations and revision.
    pub configuration: Configuration,
}

/// Configuration status that a node reports to operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeConfiguration {
    /// Position of its configuration in the history.
    pub advertisement: Advertisement,
    /// Reason why the node does not serve; `None` while it may serve.
    pub not_serving: Option<String>,
    /// Last refused change, with the reason.
    pub refused: Option<String>,
}

/// A message between two nodes. No message requires a response; the next advertisement
/// compensates for a lost one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Position of the sender's configuration in the history.
    Advertisement(Advertisement),
    /// Changes in order of revision, each following the one before.
    Chain(Vec<Record>),
    /// Requests the changes after the sender's head.
    Pull {
        /// The sender's revision.
        after: Revision,
        /// The digest of its history.
        digest: HistoryDigest,
    },
    /// A whole configuration, for a sender whose revision is too old for a chain.
    Snapshot(Box<Snapshot>),
    /// The node sent a snapshot too recently; the receiver should query another node.
    Busy,
    /// The histories differ at the revision that the receiver named.
    Divergent {
        /// The receiver's revision.
        at: Revision,
    },
    /// The sender is a reader and cannot reach the object API; the receiver reads in its place for
    /// a limited time.
    TakeOverReading,
}
