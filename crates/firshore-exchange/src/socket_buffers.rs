//! Bounds the kernel's buffers of connections that others open: what waits in them counts against the machine.

use socket2::SockRef;
use std::io;
use tokio::net::TcpListener;

/// Receive and send buffer of a connection in bytes; Linux doubles it for its own overhead. By itself it would grow to
/// tens of megabytes.
const BUFFER_BYTES: usize = 64 * 1024;

/// Sets the buffers that connections accepted from `listener` get.
///
/// # Errors
///
/// Fails if the socket refuses an option.
pub fn bound(listener: &TcpListener) -> io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(BUFFER_BYTES)?;
    socket.set_send_buffer_size(BUFFER_BYTES)
}
