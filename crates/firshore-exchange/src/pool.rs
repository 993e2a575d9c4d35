//! Idle connections to back ends, kept by each worker thread for itself.

use crate::endpoint::Endpoint;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const IDLE_CONNECTIONS_PER_BACKEND: usize = 64;

/// A connection whose last answer was read to its end.
pub(crate) struct IdleConnection {
    stream: TcpStream,
    usable_until: Instant,
}

impl IdleConnection {
    /// A connection that the back end is expected to keep open for `lifetime` from now on.
    pub(crate) fn new(stream: TcpStream, lifetime: Duration) -> Self {
        Self {
            stream,
            usable_until: firshore_clock::now().into_std() + lifetime,
        }
    }

    fn is_usable(&self, now: Instant) -> bool {
        now < self.usable_until
    }
}

/// Idle connections to one address, all to the same process.
struct KeptConnections {
    process: Option<u64>,
    connections: Vec<IdleConnection>,
}

impl KeptConnections {
    fn new(process: Option<u64>) -> Self {
        Self {
            process,
            connections: Vec::new(),
        }
    }

    /// The most recently used one that is still open and quiet.
    fn take(&mut self, now: Instant) -> Option<TcpStream> {
        while let Some(newest) = self.connections.pop() {
            if newest.is_usable(now) && is_quiet(&newest.stream) {
                return Some(newest.stream);
            }
        }
        None
    }
}

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, KeptConnections>> = RefCell::default();
}

/// The most recently used idle connection to `endpoint` that is still open and quiet. Those to another process
/// at its address are closed: one that nobody reads any more is as quiet as one that is idle.
pub(crate) fn take(endpoint: Endpoint) -> Option<TcpStream> {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let kept = idle.get_mut(&endpoint.address)?;
        let found = match kept.process == endpoint.process {
            true => kept.take(now),
            false => None,
        };
        if found.is_none() {
            idle.remove(&endpoint.address);
        }
        found
    })
}

/// Keeps a connection whose last answer was read to its end, unless others to another process are kept.
pub(crate) fn put(endpoint: Endpoint, connection: IdleConnection) {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let kept = idle.entry(endpoint.address);
        let kept = kept.or_insert_with(|| KeptConnections::new(endpoint.process));
        let connections = &mut kept.connections;
        connections.retain(|one| one.is_usable(now));
        let has_room = connections.len() < IDLE_CONNECTIONS_PER_BACKEND;
        if kept.process == endpoint.process && has_room {
            connections.push(connection);
        }
    });
}

/// Asks the kernel, as the runtime may not have seen a close yet. An idle connection with
/// something to read was closed by the back end or breaks the protocol.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
