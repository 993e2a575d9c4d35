//! Encoding of stored records: a CRC-32 (IEEE) checksum as four big-endian bytes, then CBOR.

use serde::{Serialize, de::DeserializeOwned};

const CHECKSUM_BYTES: usize = 4;

/// Encodes `value` as CBOR behind its checksum.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    ciborium::into_writer(value, &mut bytes).expect("encoding to memory does not fail");
    let checksum = crc32fast::hash(&bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Decodes a record; returns `None` if the checksum or the CBOR is invalid.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (checksum, body) = bytes.split_first_chunk::<CHECKSUM_BYTES>()?;
    if crc32fast::hash(body) != u32::from_be_bytes(*checksum) {
        return None;
    }
    ciborium::from_reader(body).ok()
}
