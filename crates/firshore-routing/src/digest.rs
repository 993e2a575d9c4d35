//! Load of back ends as nodes of a zone tell one another: twelve bytes a back end.

use crate::load::LoadReport;
use serde::de::{Error, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of one entry.
pub const ENTRY_BYTES: usize = 12;

/// Unit of an entry's age, in milliseconds.
const AGE_UNIT_MILLISECONDS: u64 = 20;

const DRAINING_FLAG: u8 = 1;

/// Short hash of a back end's name. A collision costs a wrong load estimate, no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NameHash(pub u32);

impl NameHash {
    /// The hash of `name`.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// One back end's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadEntry {
    /// Whose.
    pub name: NameHash,
    /// Load.
    pub report: LoadReport,
    /// Whether it says that it drains.
    pub draining: bool,
    /// Age in milliseconds when sent.
    pub age: u64,
}

/// Entries as they travel.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadDigest(Vec<u8>);

impl LoadDigest {
    /// Packs entries; counts beyond 65,535 and ages beyond five seconds are cut to that.
    pub fn pack(entries: &[LoadEntry]) -> Self {
        let mut bytes = Vec::with_capacity(entries.len() * ENTRY_BYTES);
        let short = |count: u32| count.min(u32::from(u16::MAX)) as u16;
        for entry in entries {
            bytes.extend_from_slice(&entry.name.0.to_le_bytes());
            for count in [
                entry.report.running,
                entry.report.waiting,
                entry.report.slots,
            ] {
                bytes.extend_from_slice(&short(count).to_le_bytes());
            }
            bytes.push(if entry.draining { DRAINING_FLAG } else { 0 });
            bytes.push((entry.age / AGE_UNIT_MILLISECONDS).min(u64::from(u8::MAX)) as u8);
        }
        Self(bytes)
    }

    /// The entries; a cut-off last one is left out.
    pub fn entries(&self) -> impl Iterator<Item = LoadEntry> + '_ {
        let (entries, _) = self.0.as_chunks::<ENTRY_BYTES>();
        entries.iter().map(|bytes| {
            let short = |at: usize| u32::from(u16::from_le_bytes([bytes[at], bytes[at + 1]]));
            LoadEntry {
                name: NameHash(u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])),
                report: LoadReport {
                    running: short(4),
                    waiting: short(6),
                    slots: short(8),
                },
                draining: bytes[10] & DRAINING_FLAG != 0,
                age: u64::from(bytes[11]) * AGE_UNIT_MILLISECONDS,
            }
        })
    }

    /// Size in bytes.
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
