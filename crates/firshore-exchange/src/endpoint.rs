//! Destination of a request.

use std::net::SocketAddr;

/// An address and the process that is expected to listen there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address to connect to.
    pub address: SocketAddr,
    /// Identifies the process among others at the same address, if known. An idle connection is reused only for
    /// the same process.
    pub process: Option<u64>,
}

impl From<SocketAddr> for Endpoint {
    fn from(address: SocketAddr) -> Self {
        Self {
            address,
            process: None,
        }
    }
}
