//! Messages between nodes.

use crate::load_table::BackendCount;
use crate::pace_table::BackendPace;
use crate::relay::cache::{RelayContact, RelayedChanges, RelayedPage};
use crate::runner::ItemKey;
use crate::runner::handover::ProgressDelta;
use crate::runner::progress_store::Leadership;
use firshore_adapter::jobs::{JobItem, ResultPage};
use firshore_adapter::objects::Revision;
use firshore_crashes::sync::{CrashSyncRequest, CrashSyncResponse};
use firshore_gateway::pressure::ServicePressure;
use firshore_jobs::command::JobHeader;
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What a node asks of a peer. What is about jobs, and loads, is answered by the journal's leader only.
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
    /// Objects of a kind, as a relay has observed them.
    #[serde(rename = "o")]
    List {
        /// Kind.
        #[serde(rename = "k")]
        kind: String,
        /// Name after which they are wanted.
        #[serde(rename = "a")]
        after: Option<String>,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        known: Revision,
    },
    /// What changed of a kind, as a relay has observed it.
    #[serde(rename = "w")]
    Watch {
        /// Kind.
        #[serde(rename = "k")]
        kind: String,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        known: Revision,
        /// Longest wait for a change in milliseconds.
        #[serde(rename = "t")]
        wait: u64,
    },
    /// The sender, a relay, has learned of a change; a notice.
    #[serde(rename = "c")]
    Changed {
        /// Kind.
        #[serde(rename = "k")]
        kind: String,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        revision: Revision,
    },
    /// Back ends that ended, as the sender knows, and a question for what the peer knows.
    #[serde(rename = "x")]
    Crashes(CrashSyncRequest),
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
        /// Whether these are sums that a relay tells, which only the leader takes in.
        #[serde(rename = "s", default)]
        sums: bool,
        /// How online requests of the sender pressed on services since it told last.
        #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
        pressures: Vec<ServicePressure>,
        /// What tenants have asked the sender, where some have limits.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        uses: Option<UsageReport>,
        /// What back ends told the sender of their pace since it told last.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        paces: Vec<BackendPace>,
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
        /// Age of the oldest part of it in milliseconds.
        #[serde(rename = "a", default)]
        age: u64,
        /// Node that leads, as far as the peer knows.
        #[serde(rename = "n", default)]
        leader: Option<NodeName>,
        /// What tenants may still ask, for a node that told what they have.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        news: Option<UsageResponse>,
        /// What back ends told others of their pace since the node asked last.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        paces: Vec<BackendPace>,
    },
    /// Objects of a kind.
    #[serde(rename = "o")]
    Page(RelayedPage),
    /// What changed of a kind, if anything.
    #[serde(rename = "w")]
    Changes(RelayedChanges),
    /// Back ends that ended, as the peer knows.
    #[serde(rename = "x")]
    Crashes(CrashSyncResponse),
    /// What changed since then is not kept: list anew.
    #[serde(rename = "h")]
    HistoryGone,
    /// The relay is out of contact with the store, or knows less of it than the sender.
    #[serde(rename = "n")]
    NoContact,
    /// The peer did not do as asked.
    Refused(JournalRefusal),
}

impl PeerResponse {
    /// Returns how a relay stood when it answered, where the answer tells.
    pub fn contact_mut(&mut self) -> Option<&mut RelayContact> {
        match self {
            Self::Page(page) => Some(&mut page.contact),
            Self::Changes(changes) => Some(&mut changes.contact),
            _ => None,
        }
    }
}
