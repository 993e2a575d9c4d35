//! A caller's connection, watched for a caller that leaves before its answer.
//!
//! The library notices a reset, but not a close: a caller that closes and one that only closes
//! its sending side and still waits look alike, for both send a FIN. After a FIN, and only
//! then, interim answers (`100 Continue`, which every HTTP/1.1 client has to pass over, RFC
//! 9110, section 15.2) are written from time to time. A caller that still waits reads over
//! them; the machine of one that closed answers with a reset, and the next write fails.

use firshore_exchange::keep_alive;
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

const PROBE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Time between two probes of a caller that sent a FIN. Two are needed to notice that it left.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What is known of a caller's connection.
pub struct CallerConnection {
    stream: TcpStream,
    /// The caller sent a FIN.
    finished_sending: Cell<bool>,
    finish: Notify,
    /// A part of an answer waits for room in the socket, so nothing else may be written.
    write_blocked: Cell<bool>,
    /// Nothing more may be written: the caller has left.
    gone: Cell<bool>,
}

/// The connection as the HTTP library reads and writes it.
pub struct CallerStream {
    connection: Rc<CallerConnection>,
}

impl CallerConnection {
    /// Resolves once the caller has certainly left. Not for HTTP/1.0, whose clients do not know
    /// interim answers.
    pub async fn left(&self) {
        self.finished_sending().await;
        loop {
            if !self.write_blocked.get() && !self.probe() {
                self.gone.set(true);
                return;
            }
            actix_rt::time::sleep(PROBE_INTERVAL).await;
        }
    }

    /// Resolves once the caller has sent a FIN: it has left, or waits without sending more.
    pub async fn finished_sending(&self) {
        while !self.finished_sending.get() {
            self.finish.notified().await;
        }
    }

    /// `false` if the caller has left. A probe written in part spoils the connection.
    fn probe(&self) -> bool {
        match self.stream.try_write(PROBE) {
            Ok(count) => count == PROBE.len(),
            Err(error) => error.kind() == io::ErrorKind::WouldBlock,
        }
    }

    fn note_end(&self) {
        self.finished_sending.set(true);
        self.finish.notify_waiters();
    }

    fn check(&self) -> io::Result<()> {
        if self.gone.get() {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        Ok(())
    }
}

impl CallerStream {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        // A connection that cannot be set up fails at its first use.
        let _ = keep_alive::configure(&stream);
        Self {
            connection: Rc::new(CallerConnection {
                stream,
                finished_sending: Cell::new(false),
                finish: Notify::new(),
                write_blocked: Cell::new(false),
                gone: Cell::new(false),
            }),
        }
    }

    /// The state shared with the handlers of this connection's requests.
    pub fn connection(&self) -> Rc<CallerConnection> {
        self.connection.clone()
    }

    fn poll_try_write(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let connection = &self.connection;
        connection.check()?;
        loop {
            connection.write_blocked.set(true);
            ready!(connection.stream.poll_write_ready(context))?;
            match write(&connection.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    connection.write_blocked.set(false);
                    return Poll::Ready(result);
                }
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let connection = &self.connection;
        connection.check()?;
        if buffer.remaining() == 0 {
            return Poll::Ready(Ok(()));
        }
        loop {
            ready!(connection.stream.poll_read_ready(context))?;
            match connection.stream.try_read_buf(buffer) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) => {
                    connection.note_end();
                    return Poll::Ready(Ok(()));
                }
                result => return Poll::Ready(result.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.connection.stream).shutdown(Shutdown::Write))
    }
}
