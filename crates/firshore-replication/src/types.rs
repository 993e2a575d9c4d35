//! Identifiers, log entries, and the set of replicas that a group consists of.

use firshore_types::ids::{NodeName, ZoneName};
pub use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Number of a replicated group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Random identity of a replica's storage, drawn when the storage is created empty. A replica that
/// lost its disk comes back with another identity, and so cannot vote in its former place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Period with at most one leader, counted from 1.
pub type Term = u64;

/// Position in the log, counted from 1; 0 stands before the first entry.
pub type LogIndex = u64;

/// Whether a replica counts towards majorities.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRole {
    /// Votes and counts towards commit.
    Voter,
    /// Receives the log until it has caught up; counts for nothing.
    Learner,
}

/// Where a replica is and what it counts for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Node that holds the disk.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Role.
    pub role: ReplicaRole,
}

/// The replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas by the identity of their disk.
    pub replicas: BTreeMap<DiskId, ReplicaInfo>,
}

impl Membership {
    /// Identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> + '_ {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.role == ReplicaRole::Voter)
            .map(|(disk, _)| *disk)
    }

    /// Whether `disk` votes.
    pub fn is_voter(&self, disk: DiskId) -> bool {
        self.replicas
            .get(&disk)
            .is_some_and(|replica| replica.role == ReplicaRole::Voter)
    }

    /// Number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters for which `agrees` holds are a majority.
    pub fn majority(&self, agrees: impl Fn(DiskId) -> bool) -> bool {
        let agreeing = self.voters().filter(|disk| agrees(*disk)).count();
        agreeing >= self.quorum()
    }
}

/// A change of one replica, the only kind that is safe in one step
/// (Ongaro 2014, section 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds an empty replica that is to catch up.
    AddLearner(DiskId, ReplicaInfo),
    /// Makes a learner that has caught up a voter.
    Promote(DiskId),
    /// Removes a replica.
    Remove(DiskId),
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryContent {
    /// Nothing: written by a new leader to learn what is committed.
    Blank,
    /// A command of the state machine above.
    Command(Payload),
    /// The replicas from here on.
    Membership(Membership),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Position.
    pub index: LogIndex,
    /// Term of the leader that wrote it.
    pub term: Term,
    /// Content.
    pub content: EntryContent,
}

impl Entry {
    /// Size in memory and on the wire, about, in bytes.
    pub fn size(&self) -> usize {
        const OVERHEAD_BYTES: usize = 32;
        const MEMBERSHIP_BYTES: usize = 256;
        OVERHEAD_BYTES
            + match &self.content {
                EntryContent::Blank => 0,
                EntryContent::Command(payload) => payload.0.len(),
                EntryContent::Membership(_) => MEMBERSHIP_BYTES,
            }
    }
}

/// A committed command that a snapshot refers to by its index instead of holding what it carried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReferencedCommand {
    /// Index of its entry.
    #[serde(rename = "i")]
    pub index: LogIndex,
    /// The command, as the machine above encoded it.
    #[serde(rename = "c")]
    pub command: Payload,
}

/// A position in the log and the term of the entry there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index.
    pub index: LogIndex,
    /// Term.
    pub term: Term,
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Last entry whose effect the snapshot holds.
    pub position: Position,
    /// Replicas as of that entry.
    pub membership: Membership,
}

/// State of the machine above after the entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// What it stands for.
    pub header: SnapshotHeader,
    /// State, as the machine above encoded it.
    pub data: Payload,
}
