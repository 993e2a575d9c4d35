//! Where a request goes.

use std::net::SocketAddr;

/// An address, and which process is believed to listen there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address.
    pub address: SocketAddr,
    /// What tells its process from others at the address, where that is known. A connection that was kept
    /// is used for the same one only.
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
