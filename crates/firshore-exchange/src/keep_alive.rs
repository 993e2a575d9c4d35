//! Finds out about peers whose machine vanished without closing its connections.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Quiet time before a connection is probed.
const IDLE: Duration = Duration::from_secs(1);

const INTERVAL: Duration = Duration::from_secs(1);

const PROBES: u32 = 2;

/// Longest time for sent bytes to be acknowledged.
const UNACKNOWLEDGED: Duration = Duration::from_secs(4);

/// Sets a connection up for requests and answers: sent without delay, and ended by the kernel
/// about 3 s after the other machine vanished.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probing = TcpKeepalive::new()
        .with_time(IDLE)
        .with_interval(INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probing)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
