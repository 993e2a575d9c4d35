//! Pool of idle connections to back ends, one per worker thread.

use crate::endpoint::Endpoint;
use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const MAX_IDLE_PER_BACKEND: usize = 64;

/// A connection whose last response was read completely.
pub(crate) struct IdleConnection {
    stream: TcpStream,
    usable_until: Instant,
}

impl IdleConnection {
    /// Creates an entry that may be used for `lifetime` from now on.
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
struct IdleConnections {
    process: Option<u64>,
    connections: Vec<IdleConnection>,
}

impl IdleConnections {
    fn new(process: Option<u64>) -> Self {
        Self {
            process,
            connections: Vec::new(),
        }
    }

    /// Removes and returns the most recently used connection that is still open and has nothing to read.
    fn take(&mut self, now: Instant) -> Option<TcpStream> {
        while let Some(newest) = self.connections.pop() {
            if newest.is_usable(now) && has_no_input(&newest.stream) {
                return Some(newest.stream);
            }
        }
        None
    }
}

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, IdleConnections>> = RefCell::default();
}

/// Removes and returns the most recently used idle connection to `endpoint`. Connections to another process at its
/// address are closed: one that its process no longer reads looks like an idle one.
pub(crate) fn take(endpoint: Endpoint) -> Option<TcpStream> {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let pooled = idle.get_mut(&endpoint.address)?;
        let found = match pooled.process == endpoint.process {
            true => pooled.take(now),
            false => None,
        };
        if found.is_none() {
            idle.remove(&endpoint.address);
        }
        found
    })
}

/// Adds a connection whose last response was read completely, unless the pool is full or holds connections to
/// another process at the same address.
pub(crate) fn put(endpoint: Endpoint, connection: IdleConnection) {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let pooled = idle.entry(endpoint.address);
        let pooled = pooled.or_insert_with(|| IdleConnections::new(endpoint.process));
        let connections = &mut pooled.connections;
        connections.retain(|connection| connection.is_usable(now));
        let is_below_limit = connections.len() < MAX_IDLE_PER_BACKEND;
        if pooled.process == endpoint.process && is_below_limit {
            connections.push(connection);
        }
    });
}

/// Returns whether nothing can be read from an idle connection. Otherwise the back end closed it or violated the
/// protocol. Asks the kernel, because the runtime may not have noticed a close yet.
fn has_no_input(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit(); 1];
    let peeked = SockRef::from(stream).peek(&mut byte);
    matches!(peeked, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}
