//! A socket with its two buffers, read and written at the same time.

use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Room made for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// A connection whose unread and unsent bytes are held here.
pub(crate) struct Wire {
    pub(crate) stream: TcpStream,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
    /// Sending has failed; what the peer sent before may still be read.
    send_failed: bool,
}

/// What a turn of the socket brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Something was read or written.
    Progress,
    /// The peer has ended its side.
    End,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            send_failed: false,
        }
    }

    /// Whether everything given to be sent has left.
    pub(crate) fn is_flushed(&self) -> bool {
        self.output.is_empty() && !self.send_failed
    }

    /// Sends and reads what the socket takes and has. A peer that answers before it has read the
    /// request is heard, as reading never waits for writing.
    pub(crate) async fn turn(&mut self) -> io::Result<Turn> {
        self.send_some();
        let interest = match self.output.is_empty() || self.send_failed {
            true => Interest::READABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_writable() {
            self.send_some();
        }
        if !ready.is_readable() {
            return Ok(Turn::Progress);
        }
        self.read_some()
    }

    fn send_some(&mut self) {
        while !self.output.is_empty() && !self.send_failed {
            match self.stream.try_write(&self.output) {
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => self.send_failed = true,
            }
        }
    }

    fn read_some(&mut self) -> io::Result<Turn> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Ok(Turn::End),
            Ok(_) => Ok(Turn::Progress),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Turn::Progress),
            Err(error) => Err(error),
        }
    }
}
