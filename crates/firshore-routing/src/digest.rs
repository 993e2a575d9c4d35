//! The compact format in which nodes of a zone report the load of back ends to each other: 12 bytes
//! per back end.

use crate::load::LoadReport;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Encoded size of one entry in bytes.
pub const ENTRY_BYTES: usize = 12;

/// Unit of an encoded age, in milliseconds.
const AGE_UNIT_MILLISECONDS: u64 = 20;

/// Bit of the flags byte that marks a draining back end.
const DRAINING_FLAG: u8 = 1;

/// The low 32 bits of the XXH3 hash of a back end's name. A collision causes a wrong load estimate
/// or draining state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u32);

impl NameHash {
    /// Returns the hash of `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// The load of one back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEntry {
    /// Hash of the back end's name.
    pub name: NameHash,
    /// The reported load.
    pub report: LoadReport,
    /// Whether the back end reports that it is draining.
    pub draining: bool,
    /// Age of the report in milliseconds at the time of sending.
    pub age: u64,
}

/// Encoded load entries.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadDigest(Vec<u8>);

impl LoadDigest {
    /// Encodes `entries`. Counts are capped at 65,535 and ages at 5,100 ms.
    pub fn pack(entries: &[LoadEntry]) -> Self {
        let mut bytes = Vec::with_capacity(entries.len() * ENTRY_BYTES);
        let saturate = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        for entry in entries {
            bytes.extend_from_slice(&entry.name.0.to_le_bytes());
            for count in [
                entry.report.running,
                entry.report.waiting,
                entry.report.slots,
            ] {
                bytes.extend_from_slice(&saturate(count).to_le_bytes());
            }
            bytes.push(if entry.draining { DRAINING_FLAG } else { 0 });
            bytes.push((entry.age / AGE_UNIT_MILLISECONDS).min(u64::from(u8::MAX)) as u8);
        }
        Self(bytes)
    }

    /// Decodes the entries. An incomplete last entry is ignored.
    pub fn entries(&self) -> impl Iterator<Item = LoadEntry> + '_ {
        let (entries, _) = self.0.as_chunks::<ENTRY_BYTES>();
        entries.iter().map(|bytes| {
            let read_u16 = |at: usize| u32::from(u16::from_le_bytes([bytes[at], bytes[at + 1]]));
            LoadEntry {
                name: NameHash(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])),
                report: LoadReport {
                    running: read_u16(4),
                    waiting: read_u16(6),
                    slots: read_u16(8),
                },
                draining: bytes[10] & DRAINING_FLAG != 0,
                age: u64::from(bytes[11]) * AGE_UNIT_MILLISECONDS,
            }
        })
    }

    /// Returns the encoded size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

impl Serialize for LoadDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

struct BytesVisitor;

impl Visitor<'_> for BytesVisitor {
    type Value = LoadDigest;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("packed load entries")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<LoadDigest, E> {
        Ok(LoadDigest(bytes.to_vec()))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<LoadDigest, E> {
        Ok(LoadDigest(bytes))
    }
}

impl<'de> Deserialize<'de> for LoadDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_byte_buf(BytesVisitor)
    }
}
