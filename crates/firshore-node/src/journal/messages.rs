//! Messages between nodes.

use crate::load_table::BackendCount;
use crate::runner::ItemKey;
use crate::runner::handover::ProgressDelta;
use crate::runner::progress_keeper::Leadership;
use firshore_adapter::jobs::{JobItem, ResultPage};
use firshore_adapter::objects::Revision;
use firshore_jobs::command::JobHeader;
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node asks of a peer. All but replication is answered by the journal's leader only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A message between replicas; a notice.
    #[serde(rename = "r")]
    Replication {
        /// Group.
        #[serde(rename = "g")]
        group: GroupId,
        /// Node of the sender.
        #[serde(rename = "n")]
        node: NodeName,
        /// Where that node listens for peers now.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Revision at which the store lists it there; 0 while it has not seen that.
        #[serde(rename = "v")]
        revision: Revision,
        /// Content.
        #[serde(rename = "e")]
        envelope: Envelope,
    },
    /// Take a job in.
    Submit {
        /// What is known of it.
        header: JobHeader,
        /// Its items.
        items: Vec<JobItem>,
    },
    /// Results of a job from a position on.
    Results {
        /// Job.
        job: String,
        /// First position wanted.
        from: u64,
        /// Longest wait for a result in milliseconds.
        wait: u64,
    },
    /// Body of an item without a result.
    Body {
        /// Job.
        job: String,
        /// Item.
        item: String,
    },
    /// End a job.
    End {
        /// Job.
        job: String,
    },
    /// What items that the sender runs have produced since it told last.
    #[serde(rename = "p")]
    Progress {
        /// When the sender leads.
        #[serde(rename = "l")]
        leadership: Leadership,
        /// What is new.
        #[serde(rename = "d")]
        deltas: Vec<ProgressDelta>,
    },
    /// What the sender has under way at back ends.
    #[serde(rename = "l")]
    Load {
        /// Sender.
        #[serde(rename = "n")]
        node: NodeName,
        /// Requests at each back end that is not idle.
        #[serde(rename = "c")]
        counts: Vec<BackendCount>,
        /// Whether requests of the sender have found no free slot.
        #[serde(rename = "u", default)]
        urgent: bool,
    },
}

impl PeerRequest {
    /// Whether it changes something, so that an answer that is missing leaves that unknown.
    pub fn changes(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::End { .. })
    }
}

/// What a peer answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// It is done, or was before.
    Done,
    /// There is no such job.
    UnknownJob,
    /// Results, if there is such a job.
    Results(Option<ResultPage>),
    /// A body, if there is such an item without a result.
    Body(Option<Payload>),
    /// Items of which something before is missing.
    #[serde(rename = "p")]
    Gaps(Vec<ItemKey>),
    /// What all others have under way.
    #[serde(rename = "l")]
    Load {
        /// Requests at each back end that is not idle.
        #[serde(rename = "c")]
        counts: Vec<BackendCount>,
        /// Milliseconds until the node is to tell again.
        #[serde(rename = "p")]
        pause: u64,
    },
    /// The peer did not do as asked.
    Refused(JournalRefusal),
}
