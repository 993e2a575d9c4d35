//! Idle connections to back ends, kept by each worker thread for itself.

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

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>> = RefCell::default();
}

/// The most recently used idle connection to `address` that is still open and quiet.
pub(crate) fn take(address: SocketAddr) -> Option<TcpStream> {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let connections = idle.get_mut(&address)?;
        let mut found = None;
        while let Some(newest) = connections.pop() {
            if newest.is_usable(now) && is_quiet(&newest.stream) {
                found = Some(newest.stream);
                break;
            }
        }
        if connections.is_empty() {
            idle.remove(&address);
        }
        found
    })
}

/// Keeps a connection whose last answer was read to its end.
pub(crate) fn put(address: SocketAddr, connection: IdleConnection) {
    let now = firshore_clock::now().into_std();
    IDLE.with_borrow_mut(|idle| {
        let connections = idle.entry(address).or_default();
        connections.retain(|one| one.is_usable(now));
        if connections.len() < IDLE_CONNECTIONS_PER_BACKEND {
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
