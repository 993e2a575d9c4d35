//! HTTP/1.1 exchanges with back ends that distinguish complete from truncated responses.
//!
//! The crate handles sockets, framing and idle connections. Its callers choose the back end and decide about
//! retries.
#![deny(missing_docs, unsafe_code)]

pub mod endpoint;
pub mod exchange;
pub mod framing;
mod head_check;
pub mod keep_alive;
mod pool;
mod socket;
pub mod socket_buffers;
