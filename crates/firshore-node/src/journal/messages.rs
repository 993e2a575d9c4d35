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
use firshore_gateway::stream_origin::{OriginKnowledge, OriginQuery, OriginRecord};
use firshore_jobs::command::JobHeader;
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_limits::slow_start::PermitGrant;
use firshore_log::refusal::JournalRefusal;
use firshore_replication::message::Envelope;
use firshore_replication::types::GroupId;
use firshore_types::ids::NodeName;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Request to a peer. Only the journal's leader responds to requests about jobs; requests about
/// load go to the leader or a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A message between replicas, without response.
    #[serde(rename = "r")]
    Replication {
        /// Group that the message is for.
        #[serde(rename = "g")]
        group: GroupId,
        /// The sending node.
        #[serde(rename = "n")]
        node: NodeName,
        /// Current peer address of that node.
        #[serde(rename = "a")]
        address: SocketAddr,
        /// Revision at which the store lists that address; 0 until the node has observed that.
        #[serde(rename = "v")]
        revision: Revision,
        /// The replication message.
        #[serde(rename = "e")]
        envelope: Envelope,
    },
    /// Submit a job.
    Submit {
        /// Properties of the job.
        header: JobHeader,
        /// Its items.
        items: Vec<JobItem>,
    },
    /// Read results of a job from a position on.
    Results {
        /// Key of the job.
        job: String,
        /// First position to return.
        from: u64,
        /// Maximum wait for a result, in milliseconds.
        wait: u64,
    },
    /// Read the body of an item without a result.
    Body {
        /// Key of the job.
        job: String,
        /// Name of the item.
        item: String,
    },
    /// End a job.
    End {
        /// Key of the job.
        job: String,
    },
    /// Output of items that the sender runs since its last report.
    #[serde(rename = "p")]
    Progress {
        /// Leadership under which the sender runs items.
        #[serde(rename = "l")]
        leadership: Leadership,
        /// The output since then.
        #[serde(rename = "d")]
        deltas: Vec<ProgressDelta>,
    },
    /// List objects of a kind, as a relay has observed them.
    #[serde(rename = "o")]
    List {
        /// Kind of the objects.
        #[serde(rename = "k")]
        kind: String,
        /// Name after which the page starts.
        #[serde(rename = "a")]
        after: Option<String>,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        known: Revision,
    },
    /// Wait for changes of a kind, as a relay has observed them.
    #[serde(rename = "w")]
    Watch {
        /// Kind of the objects.
        #[serde(rename = "k")]
        kind: String,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        known: Revision,
        /// Maximum wait for a change, in milliseconds.
        #[serde(rename = "t")]
        wait: u64,
    },
    /// The sender, a relay, has observed a change; without response.
    #[serde(rename = "c")]
    Changed {
        /// Kind of the objects.
        #[serde(rename = "k")]
        kind: String,
        /// Revision up to which the sender knows the store.
        #[serde(rename = "r")]
        revision: Revision,
    },
    /// Crashes of back ends that the sender knows, and a query for those that the peer knows.
    #[serde(rename = "x")]
    Crashes(CrashSyncRequest),
    /// Keep origins of streams that the sender began.
    #[serde(rename = "u")]
    RecordOrigins(Vec<OriginRecord>),
    /// Find what began a stream.
    #[serde(rename = "f")]
    FindOrigin(OriginQuery),
    /// Load report: requests that the sender has in flight at back ends.
    #[serde(rename = "l")]
    Load {
        /// The sending node.
        #[serde(rename = "n")]
        node: NodeName,
        /// Requests at each back end that is not idle.
        #[serde(rename = "c")]
        counts: Vec<BackendCount>,
        /// Whether requests of the sender found no free slot.
        #[serde(rename = "u", default)]
        urgent: bool,
        /// Whether these are sums reported by a relay, which only the leader accepts.
        #[serde(rename = "s", default)]
        sums: bool,
        /// Pressure of the sender's online requests on services since its last report.
        #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
        pressures: Vec<ServicePressure>,
        /// Use of limits by tenants at the sender, if any have limits.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        uses: Option<UsageReport>,
        /// Paces that back ends reported to the sender since its last report.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        paces: Vec<BackendPace>,
    },
}

impl PeerRequest {
    /// Returns whether the request changes state, so that without a response its outcome is
    /// unknown.
    pub fn is_mutation(&self) -> bool {
        matches!(self, Self::Submit { .. } | Self::End { .. })
    }
}

/// Response of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum PeerResponse {
    /// The request was carried out, now or by an earlier attempt.
    Done,
    /// There is no such job.
    UnknownJob,
    /// Results; `None` if there is no such job.
    Results(Option<ResultPage>),
    /// A body; `None` if there is no such item without a result.
    Body(Option<Payload>),
    /// Items of which earlier output is missing.
    #[serde(rename = "p")]
    Gaps(Vec<ItemKey>),
    /// Load of all other nodes.
    #[serde(rename = "l")]
    Load {
        /// Requests at each back end that is not idle.
        #[serde(rename = "c")]
        counts: Vec<BackendCount>,
        /// Milliseconds until the node's next report.
        #[serde(rename = "p")]
        pause: u64,
        /// Age of the oldest data in it, in milliseconds.
        #[serde(rename = "a", default)]
        age: u64,
        /// The leading node, if the peer knows it.
        #[serde(rename = "n", default)]
        leader: Option<NodeName>,
        /// Remaining limits of tenants, for a node that reported their use.
        #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
        news: Option<UsageResponse>,
        /// Paces that others reported since the node's last report.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        paces: Vec<BackendPace>,
        /// Permits for requests to cold back ends.
        #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
        permits: Vec<PermitGrant>,
    },
    /// A page of objects of a kind.
    #[serde(rename = "o")]
    Page(RelayedPage),
    /// Changes of a kind; empty if there are none.
    #[serde(rename = "w")]
    Changes(RelayedChanges),
    /// Crashes of back ends that the peer knows.
    #[serde(rename = "x")]
    Crashes(CrashSyncResponse),
    /// What the peer knows about the beginning of a stream.
    #[serde(rename = "f")]
    Origin(OriginKnowledge),
    /// Changes since that revision are no longer kept; the sender has to list again.
    #[serde(rename = "h")]
    HistoryGone,
    /// The relay is out of contact with the store, or knows less of it than the sender.
    #[serde(rename = "n")]
    NoContact,
    /// The peer refused the request.
    Refused(JournalRefusal),
}

impl PeerResponse {
    /// Returns the contact state of a relay, if the response carries one.
    pub fn contact_mut(&mut self) -> Option<&mut RelayContact> {
        match self {
            Self::Page(page) => Some(&mut page.contact),
            Self::Changes(changes) => Some(&mut changes.contact),
            _ => None,
        }
    }
}
