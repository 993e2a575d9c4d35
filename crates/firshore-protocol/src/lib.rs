//! The protocol between nodes: authenticated TCP connections carrying CBOR frames.
//!
//! A connection starts with a handshake in which both ends prove that they hold the cluster's
//! secret; after it, each frame is a length (four bytes, big endian) and a CBOR body.
#![deny(missing_docs, unsafe_code)]

pub mod error;
pub mod frame;
pub mod handshake;
pub mod message;
