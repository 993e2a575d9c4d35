//! Messages between members. Field names are short on the wire; a message is sent every second.

use crate::member::{Member, MemberState};
use firshore_types::ids::{InstanceId, NodeName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Upper estimate of an envelope without rumours, in bytes.
pub const ENVELOPE_BYTES: usize = 72;

/// Upper estimate of a claim, in bytes.
pub const CLAIM_BYTES: usize = 24;

/// Upper estimate of a record without its names, in bytes.
pub const RECORD_BYTES: usize = 64;

/// A message with its sender and what the sender passes on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sender.
    #[serde(rename = "f")]
    pub from: InstanceId,
    /// Where the sender takes answers.
    #[serde(rename = "a")]
    pub from_address: SocketAddr,
    /// Whom the sender means; `None` when it knows only an address.
    #[serde(rename = "t")]
    pub to: Option<InstanceId>,
    /// Rumours passed on.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub rumours: Vec<Rumour>,
    /// Content.
    #[serde(rename = "m")]
    pub message: Message,
}

/// Content of an envelope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    #[serde(rename = "p")]
    Ping(Sequence),
    /// Answers a ping, directly or through a relay.
    #[serde(rename = "k")]
    Ack(Sequence),
    /// Asks the receiver to ping `target` and to pass its answer back.
    #[serde(rename = "q")]
    PingRequest {
        /// Number that the passed answer repeats.
        #[serde(rename = "s")]
        sequence: Sequence,
        /// Member to ping.
        #[serde(rename = "t")]
        target: InstanceId,
    },
    /// The receiver's address now belongs to the sender, not to this instance.
    #[serde(rename = "x")]
    WrongInstance(InstanceId),
    /// A new member introduces itself; answered with records of contacts.
    #[serde(rename = "j")]
    Join(MemberRecord),
    /// Checksum of the sender's view; answered with a [`Message::Compare`] if it differs.
    #[serde(rename = "s")]
    Summary(u64),
    /// Checksums of the sender's view by bucket; answered with claims where they differ.
    #[serde(rename = "c")]
    Compare(Vec<u32>),
    /// Checksums by bucket of a sender that takes over the receiver's view where they differ.
    #[serde(rename = "u")]
    Pull(Vec<u32>),
    /// What the sender holds in some buckets.
    #[serde(rename = "b")]
    Claims {
        /// Buckets that the claims fill.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// Claims.
        #[serde(rename = "c")]
        claims: Vec<Claim>,
    },
    /// Asks for records of these members.
    #[serde(rename = "w")]
    Want(Vec<InstanceId>),
    /// Records of some members.
    #[serde(rename = "o")]
    Records(Vec<MemberRecord>),
    /// The answer to a pull: the whole content of these buckets.
    #[serde(rename = "v")]
    View {
        /// Buckets that the records fill.
        #[serde(rename = "b")]
        buckets: Vec<u8>,
        /// Records.
        #[serde(rename = "o")]
        records: Vec<MemberRecord>,
        /// Whether other buckets differ still.
        #[serde(rename = "m")]
        more: bool,
    },
    /// Nothing but rumours.
    #[serde(rename = "n")]
    Notice,
}

/// Number of a probe, unique at its sender for as long as it waits.
pub type Sequence = u32;

/// What a node passes on about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rumour {
    /// The state of a member that the receiver should know.
    #[serde(rename = "c")]
    Claim(Claim),
    /// A whole record.
    #[serde(rename = "o")]
    Record(MemberRecord),
}

/// A member's state at an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Member.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// The member's own count of its refutations.
    #[serde(rename = "n")]
    pub incarnation: u64,
    /// State.
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
            other => Err(D::Error::custom(format!("no member state {other}"))),
        }
    }
}

/// A [`Member`] on the wire.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// State and incarnation.
    #[serde(rename = "c")]
    pub claim: Claim,
    /// Name.
    #[serde(rename = "n")]
    pub name: NodeName,
    /// Region.
    #[serde(rename = "r")]
    pub region: RegionName,
    /// Zone.
    #[serde(rename = "z")]
    pub zone: ZoneName,
    /// Where it takes peers' connections.
    #[serde(rename = "a")]
    pub peer_address: SocketAddr,
    /// Whether it has a data folder.
    #[serde(rename = "d")]
    pub has_disk: bool,
}

impl Claim {
    /// What `member` is held to be.
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
    /// Upper estimate of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let names = self.name.0.len() + self.region.0.len() + self.zone.0.len();
        RECORD_BYTES + names
    }
}

impl Rumour {
    /// Upper estimate of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Claim(_) => CLAIM_BYTES,
            Self::Record(record) => record.estimated_bytes(),
        }
    }
}

impl Message {
    /// Upper estimate of the encoded size in bytes, beyond that of the envelope.
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
    /// Upper estimate of the encoded size in bytes.
    pub fn estimated_bytes(&self) -> usize {
        let rumours: usize = self.rumours.iter().map(Rumour::estimated_bytes).sum();
        ENVELOPE_BYTES + rumours + self.message.estimated_bytes()
    }
}
