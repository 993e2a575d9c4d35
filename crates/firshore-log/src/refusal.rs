//! Reasons for which a journal group refuses a request.

use firshore_types::ids::NodeName;
use serde::{Deserialize, Serialize};

/// Reason for which a journal group did not carry out a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalRefusal {
    /// The peer does not lead the group. The request had no effect.
    NotLeader {
        /// Leading node, if the peer has one on record.
        leader: Option<NodeName>,
    },
    /// Free disk space is below the reserve. The request had no effect.
    StorageFull,
    /// The memory limit for new work is reached. The request had no effect.
    MemoryFull,
    /// The tenant has reached its limit of queued items. The request had no effect.
    TooMuchWaiting,
    /// The peer lost leadership while the command was pending. The command may or may not take effect.
    Unsettled,
}
