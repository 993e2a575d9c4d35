//! State of the journal's groups as operators see it.

use super::Group;
use crate::shared::Shared;
use firshore_replication::types::ReplicaRole;
use firshore_types::ids::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

/// One replica of a group, as the asked node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReplicaReport {
    /// Identity of the disk.
    pub disk: String,
    /// Node.
    pub node: NodeName,
    /// Zone.
    pub zone: ZoneName,
    /// Role.
    pub role: ReplicaRole,
    /// Whether the leader, if asked, has not heard it for longer than the limit.
    pub silent: bool,
}

/// One group, as the asked node knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GroupReport {
    /// Group.
    pub group: u32,
    /// Identity of the asked node's disk.
    pub disk: String,
    /// Whether the asked node leads.
    pub leads: bool,
    /// Node that leads, as far as known.
    pub leader: Option<NodeName>,
    /// Term.
    pub term: u64,
    /// Committed index.
    pub commit: u64,
    /// Index of the last entry held.
    pub last: u64,
    /// Replicas in force.
    pub replicas: Vec<ReplicaReport>,
    /// Size of the database file in bytes.
    pub file_bytes: u64,
    /// Whether new work is refused for lack of space.
    pub full: bool,
    /// Why the replica does not run, if it does not.
    pub stopped: Option<String>,
}

/// The groups whose replicas this node's disk holds.
pub fn groups(shared: &Shared) -> Vec<GroupReport> {
    let journal = shared.journal.as_ref();
    journal.map_or_else(Vec::new, |journal| {
        journal.groups().iter().map(report).collect()
    })
}

fn report(group: &Group) -> GroupReport {
    let status = group.status();
    let replicas = status.membership.replicas.iter();
    let replicas = replicas.map(|(disk, replica)| ReplicaReport {
        disk: disk.to_string(),
        node: replica.node.clone(),
        zone: replica.zone.clone(),
        role: replica.role,
        silent: status.unresponsive.contains(disk),
    });
    GroupReport {
        group: group.id().0,
        disk: status.disk.to_string(),
        leads: status.leads,
        leader: status.leader.clone(),
        term: status.term,
        commit: status.commit,
        last: status.last.index,
        replicas: replicas.collect(),
        file_bytes: status.file_bytes,
        full: status.full,
        stopped: status.stopped.clone(),
    }
}
