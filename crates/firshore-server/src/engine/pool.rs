//! Idle connections to back ends, kept by each worker thread for itself.

use socket2::SockRef;
use std::cell::RefCell;
use std::collections::HashMap;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

const IDLE_CONNECTIONS_PER_BACKEND: usize = 64;

/// Longest time a connection stays idle. Shorter than the keep-alive time usual for servers
/// (5 s), so that it is rarely closed at the moment a request is written to it.
const IDLE_LIFETIME: Duration = Duration::from_secs(3);

struct Idle {
    stream: TcpStream,
    since: Instant,
}

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, Vec<Idle>>> = RefCell::default();
}

/// The most recently used idle connection to `address` that is still open and quiet.
pub fn take(address: SocketAddr) -> Option<TcpStream> {
    IDLE.with_borrow_mut(|idle| {
        let connections = idle.get_mut(&address)?;
        let found = loop {
            let Some(newest) = connections.pop() else {
                break None;
            };
            if newest.since.elapsed() > IDLE_LIFETIME {
                connections.clear();
                break None;
            }
            if is_quiet(&newest.stream) {
                break Some(newest.stream);
            }
        };
        if connections.is_empty() {
            idle.remove(&address);
        }
        found
    })
}

/// Keeps a connection whose last answer was read to its end.
pub fn put(address: SocketAddr, stream: TcpStream) {
    IDLE.with_borrow_mut(|idle| {
        let connections = idle.entry(address).or_default();
        connections.retain(|one| one.since.elapsed() <= IDLE_LIFETIME);
        if connections.len() < IDLE_CONNECTIONS_PER_BACKEND {
            connections.push(Idle {
                stream,
                since: Instant::now(),
            });
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
