//! Messages between nodes.

use firshore_batch::job::{JobSummary, NamedResult};
use firshore_config::machine_list::MachineListMessage;
use firshore_config::message::{Message as ConfigurationMessage, NodeConfiguration};
use firshore_journal::state::{Command, Outcome};
pub use firshore_link::NOTICE;
pub use firshore_log::refusal::JournalRefusal;
use firshore_membership::message::Envelope as GossipEnvelope;
use firshore_replication::message::Envelope;
use firshore_replication::types::{DiskId, GroupId, Membership as GroupMembership};
use firshore_routing::digest::LoadDigest;
use firshore_routing::limits::{LimitDemand, LimitGrant};
use firshore_types::ids::{InstanceId, JobId, MachineName, NodeName};
use serde::{Deserialize, Serialize};

/// A request or notification to a peer.
pub type RequestFrame = firshore_link::RequestFrame<Request>;

/// The response to a request.
pub type ResponseFrame = firshore_link::ResponseFrame<Response>;

/// Request to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A message of the membership protocol; a notification.
    #[serde(rename = "g")]
    Gossip(GossipEnvelope),
    /// An online request was sent to this engine, which the peer owns; a notification.
    #[serde(rename = "o")]
    OnlineArrival(MachineName),
    /// Request to a journal group; served by the group's leader only.
    Journal {
        /// Group.
        group: GroupId,
        /// Content.
        request: JournalRequest,
    },
    /// Dissemination of the configuration.
    Configuration {
        /// Sender.
        from: InstanceId,
        /// Content.
        message: ConfigurationMessage,
    },
    /// Queries the configuration that the peer has in force.
    ConfigurationInForce,
    /// Dissemination of the machine list.
    MachineList {
        /// Sender.
        from: InstanceId,
        /// Content.
        message: MachineListMessage,
    },
    /// Load of the sender's engines; a notification.
    #[serde(rename = "l")]
    LoadDigest(LoadDigest),
    /// Demand for shares of tenants' limits that the peer allocates.
    LimitDemands {
        /// Sender.
        from: InstanceId,
        /// Demands.
        demands: Vec<LimitDemand>,
    },
    /// Queries which replica of a journal group the peer's disk holds.
    ReplicaIdentity(GroupId),
    /// A message between replicas of a journal group; a notification.
    Replication {
        /// Group.
        group: GroupId,
        /// Node of the sender.
        node: NodeName,
        /// Content.
        envelope: Envelope,
    },
}

/// Request to a journal group's leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JournalRequest {
    /// Commit a command.
    Propose(Command),
    /// State of one job.
    JobSummary(JobId),
    /// State of all jobs.
    JobSummaries,
    /// Results of a job from a position.
    JobResults {
        /// Job.
        job: JobId,
        /// First position to return.
        from: u32,
        /// Maximum number of results.
        count: u32,
    },
}

/// The replica that a node's disk holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaIdentity {
    /// Identity of the disk.
    pub disk: DiskId,
    /// Whether it holds anything of the group's log.
    pub holds_log: bool,
    /// The founding membership of the group, if the node has read it since its start.
    pub founding: Option<GroupMembership>,
}

/// Response of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Outcome of a committed command.
    Proposed(Outcome),
    /// State of jobs.
    Jobs(Vec<JobSummary>),
    /// Results.
    Results(Vec<NamedResult>),
    /// The journal group's leader did not carry out the request, or the peer is not the leader.
    Refused(JournalRefusal),
    /// Dissemination messages for the configuration.
    Configuration(Vec<ConfigurationMessage>),
    /// Dissemination messages for the machine list.
    MachineList(Vec<MachineListMessage>),
    /// The configuration that the peer has in force.
    ConfigurationInForce(NodeConfiguration),
    /// Shares of tenants' limits.
    LimitGrants(Vec<LimitGrant>),
    /// Replica on the peer's disk, if it has a disk.
    ReplicaIdentity(Option<ReplicaIdentity>),
    /// Acknowledges a message.
    Received,
}
