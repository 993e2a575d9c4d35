//! Identifiers, log entries, snapshots and the membership of a group.

use firshore_types::ids::{NodeName, ZoneName};
pub use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Number of a Raft group.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Random identity of a replica's storage, drawn when the storage is created empty. A replica that lost its
/// disk returns with a new identity, so it cannot vote twice in a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DiskId(pub u64);

impl fmt::Display for DiskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Raft term, counted from 1; each has at most one leader.
pub type Term = u64;

/// Index in the log, counted from 1; 0 is before the first entry.
pub type LogIndex = u64;

/// Whether a replica counts towards quorums.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaRole {
    /// Votes in elections and counts towards commit.
    Voter,
    /// Receives the log, but does not count towards any quorum.
    Learner,
}

/// Location and role of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaInfo {
    /// Node that holds the disk.
    pub node: NodeName,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Voter or learner.
    pub role: ReplicaRole,
}

/// Replicas of a group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas by disk identity.
    pub replicas: BTreeMap<DiskId, ReplicaInfo>,
    /// Number of disks on which an entry must be before it is committed, as far as there are as many voters.
    /// Memberships of earlier versions don't have it: a majority commits.
    #[serde(default, skip_serializing_if = "requires_majority_only")]
    pub min_disks: usize,
}

fn requires_majority_only(min_disks: &usize) -> bool {
    *min_disks == 0
}

/// Returns the size of the quorum of `voters` voters whose entries must be on `min_disks` disks: a majority, or more
/// voters if a majority has fewer disks.
///
/// Each such quorum contains a majority, so quorums of memberships that differ in one voter or in `min_disks`
/// intersect.
pub fn quorum_size(voters: usize, min_disks: usize) -> usize {
    let majority = voters / 2 + 1;
    majority.max(min_disks.min(voters))
}

impl Membership {
    /// Returns the disks of the voters.
    pub fn voters(&self) -> impl Iterator<Item = DiskId> + '_ {
        self.replicas
            .iter()
            .filter(|(_, replica)| replica.role == ReplicaRole::Voter)
            .map(|(disk, _)| *disk)
    }

    /// Returns whether `disk` is a voter.
    pub fn is_voter(&self, disk: DiskId) -> bool {
        self.replicas
            .get(&disk)
            .is_some_and(|replica| replica.role == ReplicaRole::Voter)
    }

    /// Returns the number of voters that form a quorum, of elections as of commits.
    pub fn quorum(&self) -> usize {
        quorum_size(self.voters().count(), self.min_disks)
    }

    /// Returns the number of voters that form a majority. A quorum may be larger.
    pub fn majority(&self) -> usize {
        quorum_size(self.voters().count(), 0)
    }

    /// Returns whether the voters for which `agrees` holds form a quorum.
    pub fn has_quorum(&self, agrees: impl Fn(DiskId) -> bool) -> bool {
        let agreeing = self.voters().filter(|disk| agrees(*disk)).count();
        agreeing >= self.quorum()
    }
}

/// A change of a single replica or of the required number of disks; larger changes are unsafe in one step
/// (Ongaro 2014, section 4.1).
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipChange {
    /// Adds an empty replica as a learner.
    AddLearner(DiskId, ReplicaInfo),
    /// Turns a learner that has caught up into a voter.
    Promote(DiskId),
    /// Removes a replica.
    Remove(DiskId),
    /// Sets the number of disks on which committed entries must be.
    SetMinDisks(usize),
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryContent {
    /// No operation: appended by a new leader to commit the entries of earlier terms.
    Blank,
    /// A command of the state machine.
    Command(Payload),
    /// The membership from this entry on.
    Membership(Membership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Index in the log.
    pub index: LogIndex,
    /// Term of the leader that created it.
    pub term: Term,
    /// No operation, command or membership.
    pub content: EntryContent,
}

impl Entry {
    /// Returns the approximate size in memory and on the wire, in bytes.
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

/// A committed command that a snapshot refers to by index instead of containing its data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReferencedCommand {
    /// Index of the command's entry.
    #[serde(rename = "i")]
    pub index: LogIndex,
    /// Command as encoded by the state machine.
    #[serde(rename = "c")]
    pub command: Payload,
}

/// Index and term of a log entry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Index of the entry.
    pub index: LogIndex,
    /// Term of the entry.
    pub term: Term,
}

/// Position and membership of a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotHeader {
    /// Last entry that the snapshot covers.
    pub position: Position,
    /// Membership as of that entry.
    pub membership: Membership,
}

/// State of the state machine after the entries up to a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Snapshot {
    /// Position and membership.
    pub header: SnapshotHeader,
    /// State as encoded by the state machine.
    pub data: Payload,
}
