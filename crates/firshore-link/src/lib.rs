//! Connections between nodes: authenticated TCP that carries typed messages in CBOR frames.
//!
//! A connection starts with a handshake in which both ends prove that they hold the cluster's
//! secret; after it, each frame is a length (four bytes, big endian) and a CBOR body. Requests are
//! numbered, so that many are under way at once; notices have no answer.
#![deny(missing_docs, unsafe_code)]

pub mod client;
pub mod error;
pub mod frame;
pub mod handshake;
pub mod listener;

use serde::{Deserialize, Serialize};

/// Correlation of a notice, which is not answered.
pub const NOTICE: u64 = 0;

/// A question or notice to a peer, with a number that its answer repeats.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestFrame<Q> {
    /// Chosen by the sender, unique on the connection; [`NOTICE`] if no answer is expected.
    #[serde(rename = "c")]
    pub correlation: u64,
    /// Content.
    #[serde(rename = "r")]
    pub request: Q,
}

/// The answer to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResponseFrame<A> {
    /// The request's number.
    pub correlation: u64,
    /// Content.
    pub response: A,
}
