//! Records with a checksum: CRC-32 (IEEE) in four bytes, big endian, then CBOR.

use serde::{Serialize, de::DeserializeOwned};

const CHECKSUM_BYTES: usize = 4;

/// Encodes a record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    ciborium::into_writer(value, &mut bytes).expect("records serialise to memory");
    let checksum = crc32fast::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Decodes a record; `None` if it is damaged.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (checksum, body) = bytes.split_first_chunk::<CHECKSUM_BYTES>()?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    ciborium::from_reader(body).ok()
}
