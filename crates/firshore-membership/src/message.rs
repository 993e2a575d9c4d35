//! Messages between members. Field names are short on the wire to save bandwidth, because a node
//! sends a probe every second.

use crate::member::{Member, MemberState};
use firshore_types::ids::{InstanceId, NodeName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Upper bound of the encoded size of an envelope without rumours, in bytes.
pub const ENVELOPE_BYTES: usize = 72;

/// Upper bound of the encoded size of a claim, in bytes.
pub const CLAIM_BYTES: usize = 24;

/// Upper bound of the encoded size of a record without its names, in bytes.
pub const RECORD_BYTES: usize = 64;

/// A message with its sender, receiver and piggybacked rumours.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Instance of the sender.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Address to which responses are sent.
    #[serde(rename = "a")]
    pub from_address: SocketAddr,
    /// Intended receiver; `None` if the sender has only its address.
    #[serde(rename = "t")]
    pub to: Option<InstanceId>,
    /// Piggybacked rumours.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// The message itself.
    #[serde(rename = "m")]
    pub message: Message,
}

/// Content of an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a [`Message::Ack`].
    #[serde(rename = "p")]
    Ping(Sequence),
    /// Response to a ping, direct or through a relay.
    #[serde(rename = "k")]
    Ack(Sequence),
    /// Requests that the receiver ping `target` and forward its response.
    #[serde(rename = "q")]
    PingRequest {
        /// Number that the forwarded response repeats.
        #[serde(rename = "s")]
        sequence: Sequence,
        /// Member to ping.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// The receiver's address now belongs to the sender, not to this instance.
    #[serde(rename = "x")]
    WrongInstance(InstanceId),
    /// Introduces a new member; the response is a [`Message::Records`] with contacts.
    #[serde(rename = "j")]
    Join(MemberRecord),
    /// Checksum of the sender's view; the response is a [`Message::Compare`] if it differs.
    #[serde(rename = "s")]
    Summary(u64),
    /// Checksums of the sender's view by bucket; the response is a [`Message::Claims`] with the
    /// buckets that differ.
    #[serde(rename = "c")]
    Compare(Vec<u32>),
    /// Checksums of the sender's view by bucket; the response is a [`Message::View`] with the
    /// buckets that differ, which the sender applies to its own view.
    #[serde(rename = "u")]
    Pull(Vec<u32>),
    /// Claims about all members in some buckets of the sender's view.
    #[serde(rename = "b")]
    Claims {
        /// Buckets that the claims cover completely.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// Claims about the members of these buckets.
        #[serde(rename = "c")]
        claims: Vec<Claim>,
    },
    /// Requests the records of these members.
    #[serde(rename = "w")]
    Want(Vec<InstanceId>),
    /// Records of some members.
    #[serde(rename = "o")]
    Records(Vec<MemberRecord>),
    /// Response to a pull: the complete contents of these buckets.
    #[serde(rename = "v")]
    View {
        /// Buckets that the records cover completely.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// Records of the members of these buckets.
        #[serde(rename = "o")]
        records: Vec<MemberRecord>,
        /// Whether other buckets still differ.
        #[serde(rename = "m")]
        more: bool,
    },
    /// Carries only rumours.
    #[serde(rename = "n")]
    Notice,
}

/// Number of a probe, unique at its sender while the probe is in flight.
pub type Sequence = u32;

/// Gossip about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// State of a member whose record the receiver should have.
    #[serde(rename = "c")]
    Claim(Claim),
    /// Complete record of a member.
    #[serde(rename = "o")]
    Record(MemberRecord),
}

/// A member's state at an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Instance of the member.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Incarnation of the member that the state refers to.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// State of the member at this incarnation.
    #[serde(rename = "s", with = "state_number")]
    pub state: MemberState,
}

mod state_number {
    use super::MemberState;
    use serde::de::Error;
    use serde::{Deserialize, Deserializer, Serializer};

    pub(super) fn serialize<S: Serializer>(
        state: &MemberState,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_u8(*state as u8)
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<MemberState, D::Error> {
        match u8::deserialize(deserializer)? {
            0 => Ok(MemberState::Alive),
            1 => Ok(MemberState::Suspect),
            2 => Ok(MemberState::Leaving),
            3 => Ok(MemberState::Failed),
            other => Err(D::Error::custom(format!("invalid member state {other}"))),
        }
    }
}

/// Wire format of a [`Member`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// State and incarnation.
    #[serde(rename = "c")]
    pub claim: Claim,
    /// Name from the settings.
    #[serde(rename = "n")]
    pub name: NodeName,
    /// Region from the settings.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// Zone from the settings.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Address on which it accepts connections from peers.
    #[serde(rename = "a")]
    pub peer_address: SocketAddr,
    /// Whether it has a data folder.
    #[serde(rename = "d")]
    pub has_disk: bool,
}

impl Claim {
    /// Returns the claim with the state and incarnation of `member`.
    pub fn of(member: &Member) -> Self {
        Self {
            instance: member.instance,
            incarnation: member.incarnation,
            state: member.state,
        }
    }
}

impl From<&Member> for MemberRecord {
    fn from(member: &Member) -> Self {
        Self {
            claim: Claim::of(member),
            name: member.name.clone(),
            region: member.region.clone(),
            zone: member.zone.clone(),
            peer_address: member.peer_address,
            has_disk: member.has_disk,
        }
    }
}

impl From<MemberRecord> for Member {
    fn from(record: MemberRecord) -> Self {
        Self {
            instance: record.claim.instance,
            name: record.name,
            region: record.region,
            zone: record.zone,
            peer_address: record.peer_address,
            has_disk: record.has_disk,
            state: record.claim.state,
            incarnation: record.claim.incarnation,
        }
    }
}

impl MemberRecord {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let names = self.name.0.len() + self.region.0.len() + self.zone.0.len();
        RECORD_BYTES + names
    }
}

impl Rumour {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Claim(_) => CLAIM_BYTES,
            Self::Record(record) => record.estimated_bytes(),
        }
    }
}

impl Message {
    /// Returns an upper bound of the encoded size in bytes that the message adds to the envelope.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Join(record) => record.estimated_bytes(),
            Self::Compare(buckets) | Self::Pull(buckets) => buckets.len() * 5,
            Self::Claims { buckets, claims } => buckets.len() * 2 + claims.len() * CLAIM_BYTES,
            Self::Want(instances) => instances.len() * 9,
            Self::Records(records) => records.iter().map(MemberRecord::estimated_bytes).sum(),
            Self::View { records, .. } => records.iter().map(MemberRecord::estimated_bytes).sum(),
            _ => 0,
        }
    }
}

impl Envelope {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let rumours: usize = self.rumours.iter().map(Rumour::estimated_bytes).sum();
        ENVELOPE_BYTES + rumours + self.message.estimated_bytes()
    }
}
