//! Detects peers whose machine failed without closing its connections.

use socket2::{SockRef, TcpKeepalive};
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// Time without traffic before the first probe.
const IDLE: Duration = Duration::from_secs(1);

/// Time between probes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which the connection is closed.
const PROBES: u32 = 2;

/// Time within which sent bytes must be acknowledged.
const ACKNOWLEDGE_TIMEOUT: Duration = Duration::from_secs(4);

/// Disables Nagle's algorithm and sets the keep-alive options: the kernel closes an idle connection about 3 s
/// after the peer's machine failed.
///
/// # Errors
///
/// Fails if the socket refuses an option.
pub fn configure(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keep_alive = TcpKeepalive::new()
        .with_time(IDLE)
        .with_interval(INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&keep_alive)?;
    socket.set_tcp_user_timeout(Some(ACKNOWLEDGE_TIMEOUT))
}
