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

/// A question or notice to a peer.
pub type RequestFrame = firshore_link::RequestFrame<Request>;

/// The answer to a request.
pub type ResponseFrame = firshore_link::ResponseFrame<Response>;

/// What a node asks of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// A message of the membership protocol; a notice.
    #[serde(rename = "g")]
    Gossip(GossipEnvelope),
    /// An online request is on its way to this engine, which the peer owns; a notice.
    #[serde(rename = "o")]
    OnlineArrival(MachineName),
    /// Concerns a journal group; only the group's leader answers.
    Journal {
        /// Group.
        group: GroupId,
        /// Content.
        request: JournalRequest,
    },
    /// Concerns the dissemination of the configuration.
    Configuration {
        /// Sender.
        from: InstanceId,
        /// Content.
        message: ConfigurationMessage,
    },
    /// Which configuration the peer has in force.
    ConfigurationInForce,
    /// Concerns the spread of the machine list.
    MachineList {
        /// Sender.
        from: InstanceId,
        /// Content.
        message: MachineListMessage,
    },
    /// Load of the sender's engines; a notice.
    #[serde(rename = "l")]
    LoadDigest(LoadDigest),
    /// Demand for shares of tenants' limits that the peer allocates.
    LimitDemands {
        /// Sender.
        from: InstanceId,
        /// Demands.
        demands: Vec<LimitDemand>,
    },
    /// Which replica of a journal group the peer's disk holds.
    ReplicaIdentity(GroupId),
    /// A message between replicas of a journal group; a notice.
    Replication {
        /// Group.
        group: GroupId,
        /// Node of the sender.
        node: NodeName,
        /// Content.
        envelope: Envelope,
    },
}

/// What a node asks of a journal group's leader.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum JournalRequest {
    /// Commit a command.
    Propose(Command),
    /// State of one job.
    JobSummary(JobId),
    /// State of all jobs.
    JobSummaries,
    /// Results of a job from a position on.
    JobResults {
        /// Job.
        job: JobId,
        /// First position of the output wanted.
        from: u32,
        /// Most results wanted.
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

/// What a peer answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Response {
    /// Outcome of a committed command.
    Proposed(Outcome),
    /// State of jobs.
    Jobs(Vec<JobSummary>),
    /// Results.
    Results(Vec<NamedResult>),
    /// The journal group's leader did not do as asked, or the peer does not lead it.
    Refused(JournalRefusal),
    /// Messages about the configuration in return.
    Configuration(Vec<ConfigurationMessage>),
    /// Messages about the machine list in return.
    MachineList(Vec<MachineListMessage>),
    /// The configuration that the peer has in force.
    ConfigurationInForce(NodeConfiguration),
    /// Shares of tenants' limits.
    LimitGrants(Vec<LimitGrant>),
    /// Replica on the peer's disk, if it has a disk.
    ReplicaIdentity(Option<ReplicaIdentity>),
    /// The message arrived.
    Received,
}
