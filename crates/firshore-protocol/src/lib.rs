//! Protocol between nodes: authenticated TCP connections that carry CBOR frames.
//!
//! A connection starts with a handshake in which both ends prove that they know the cluster's
//! secret. After it, each frame is a length (four bytes, big endian) and a CBOR body.
#![deny(missing_docs, unsafe_code)]

pub use firshore_link::{error, frame, handshake};

pub mod message;
