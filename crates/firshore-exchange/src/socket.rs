//! A buffered socket that is read and written concurrently.

use bytes::{Buf, Bytes, BytesMut};
use std::io::{self, IoSlice};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Bytes that are received before the other tasks of the thread, and its timers, get a turn.
const TURN_BYTES: usize = 64 * 1024;

/// Bytes that a piece of a body counts at least: passing it on costs a write, however short it is.
const MIN_PIECE_BYTES: usize = 1024;

/// A connection with its buffers of received and unsent bytes.
pub(crate) struct BufferedSocket {
    pub(crate) stream: TcpStream,
    pub(crate) input: BytesMut,
    pub(crate) output: BytesMut,
    /// Unsent bytes of a large body, which follow the output. They are not copied.
    pub(crate) body: Bytes,
    /// Whether sending failed. What the peer sent before may still be read.
    send_failed: bool,
    /// Bytes received, and those counted for pieces, since other tasks had a turn.
    turn_bytes: usize,
}

/// Result of [`BufferedSocket::wait_for_activity`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Activity {
    /// The socket was ready; bytes may have been read or written.
    Progress,
    /// The peer closed its sending side.
    End,
}

impl BufferedSocket {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            body: Bytes::new(),
            send_failed: false,
            turn_bytes: 0,
        }
    }

    /// Returns whether all output was sent.
    pub(crate) fn is_flushed(&self) -> bool {
        !self.has_output() && !self.send_failed
    }

    /// Returns whether a write has failed: the end of the input then proves no orderly close.
    pub(crate) fn has_failed_to_send(&self) -> bool {
        self.send_failed
    }

    fn has_output(&self) -> bool {
        !self.output.is_empty() || !self.body.is_empty()
    }

    /// Waits until the socket is ready, then sends and reads what it allows without blocking. Reading never waits
    /// for writing, so that an early response of a peer that hasn't read the whole request is received.
    ///
    /// Returns to the runtime now and then, even if the socket is always ready: a peer that sends without end would
    /// otherwise keep the thread, and no timeout would expire.
    pub(crate) async fn wait_for_activity(&mut self) -> io::Result<Activity> {
        self.end_long_turn().await;
        self.send_some();
        let interest = match self.has_output() && !self.send_failed {
            true => Interest::READABLE | Interest::WRITABLE,
            false => Interest::READABLE,
        };
        let ready = self.stream.ready(interest).await?;
        if ready.is_writable() {
            self.send_some();
        }
        if !ready.is_readable() {
            return Ok(Activity::Progress);
        }
        self.read_some()
    }

    /// Counts a piece of a body that is about to be taken from the input. Returns to the runtime now and then, as
    /// [`Self::wait_for_activity`] does, which isn't called while the input holds further pieces.
    pub(crate) async fn begin_piece(&mut self) {
        self.end_long_turn().await;
        self.turn_bytes += MIN_PIECE_BYTES;
    }

    async fn end_long_turn(&mut self) {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            tokio::task::yield_now().await;
        }
    }

    fn send_some(&mut self) {
        while self.has_output() && !self.send_failed {
            match self.try_write() {
                Ok(count) => self.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(_) => self.send_failed = true,
            }
        }
    }

    fn try_write(&self) -> io::Result<usize> {
        match self.body.is_empty() {
            true => self.stream.try_write(&self.output),
            false => {
                let slices = [IoSlice::new(&self.output), IoSlice::new(&self.body)];
                self.stream.try_write_vectored(&slices)
            }
        }
    }

    /// Removes bytes that were sent.
    fn advance(&mut self, count: usize) {
        let of_output = count.min(self.output.len());
        self.output.advance(of_output);
        self.body.advance(count - of_output);
    }

    fn read_some(&mut self) -> io::Result<Activity> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Ok(Activity::End),
            Ok(count) => {
                self.turn_bytes += count;
                Ok(Activity::Progress)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Activity::Progress),
            Err(error) => Err(error),
        }
    }
}
