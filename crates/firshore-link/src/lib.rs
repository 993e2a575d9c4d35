//! Connections between nodes: authenticated TCP that carries typed messages in CBOR frames.
//!
//! A connection starts with a handshake in which both sides prove that they have the cluster secret.
//! Each frame is a length (four bytes, big endian) and a CBOR body. Requests are numbered, so that
//! several can be in flight at once. Notices have no response.
#![deny(missing_docs, unsafe_code)]

pub mod client;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod listener;

use serde::{Deserialize, Serialize};

/// Correlation number of a notice, which has no response.
pub const NOTICE: u64 = 0;

/// Request or notice to a peer, with a number that the response repeats.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestFrame<Q> {
    /// Number chosen by the sender, unique on the connection; [`NOTICE`] if no response is expected.
    #[serde(rename = "c")]
    pub correlation: u64,
    /// The request itself.
    #[serde(rename = "r")]
    pub request: Q,
}

/// Response to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseFrame<A> {
    /// Number of the request.
    pub correlation: u64,
    /// The response itself.
    pub response: A,
}
