//! One HTTP/1.1 exchange with a back end, written once and told whole from cut off.
//!
//! Sockets, framing and idle connections only: which back end a request goes to and whether it is
//! sent again is decided by the callers of this crate.
#![deny(missing_docs, unsafe_code)]

pub mod endpoint;
pub mod exchange;
pub mod framing;
pub mod keep_alive;
mod pool;
mod wire;
