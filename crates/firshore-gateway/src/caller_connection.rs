//! HTTP/1.1 connection to a caller: reads complete requests, writes responses and detects when the caller closes.
//!
//! The codec of `actix_http` parses and encodes. The socket is read here, so that a close is detected while a
//! response is pending, and so that an interrupted response never looks complete.

use crate::answer_end::CompleteAnswer;
use actix_codec::{Decoder, Encoder};
use actix_http::HttpMessage;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{EXPECT, HeaderMap};
use actix_http::{
    ConnectionType, KeepAlive, Method, Request, Response, ServiceConfig, StatusCode, Uri, Version,
};
use bytes::{Buf, Bytes, BytesMut};
use firshore_adapter::configuration::CallerLimits;
use firshore_exchange::keep_alive;
use firshore_types::error::{ApiError, ErrorCode};
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Maximum bytes of further requests that are read while a response is pending.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Maximum time without a byte of a request's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Request, read completely.
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as received.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When the head had arrived.
    pub arrived: Instant,
}

/// Result of reading a request.
pub enum Incoming {
    /// A complete request.
    Request(Box<CallerRequest>),
    /// The connection was closed, was idle for too long or stalled in a body.
    Closed,
    /// An invalid request; the connection must be closed after the response.
    Invalid(ApiError),
}

/// The caller has disconnected; nothing more can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

thread_local! {
    /// One per thread, because building it starts a task that updates the date.
    static CODEC_CONFIGURATION: ServiceConfig =
        ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
}

/// Connection opened by a caller.
pub struct CallerConnection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    codec: Codec,
    /// Whether the caller of the current request knows no chunks (HTTP/1.0).
    lacks_chunks: bool,
    /// Whether only the close marks the end of the last body.
    is_ended_by_close: bool,
    /// Whether the last body was appended to its end.
    has_ended: bool,
}

impl Drop for CallerConnection {
    /// Resets the connection where an orderly close would complete a body that broke off.
    fn drop(&mut self) {
        let is_written = self.has_ended && self.output.is_empty();
        if self.is_ended_by_close && !is_written {
            // If this fails, the connection has ended already.
            let _ = self.stream.set_zero_linger();
        }
    }
}

impl CallerConnection {
    /// Creates the connection for an accepted socket.
    pub fn new(stream: TcpStream) -> Self {
        // If this fails, the first read or write fails too.
        let _ = keep_alive::configure(&stream);
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            codec: Codec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone)),
            lacks_chunks: false,
            is_ended_by_close: false,
            has_ended: false,
        }
    }

    /// Reads the next request. Stops waiting for its first byte when `closing` resolves.
    pub async fn read_request(
        &mut self,
        limits: &CallerLimits,
        closing: impl Future<Output = ()>,
    ) -> Incoming {
        if self.input.is_empty() {
            let first = tokio::select! {
                read = self.read_some() => read,
                () = closing => return Incoming::Closed,
                () = actix_rt::time::sleep(limits.idle_timeout) => return Incoming::Closed,
            };
            if first.is_err() {
                return Incoming::Closed;
            }
        }
        let head = match timeout(limits.head_timeout, self.read_head(limits)).await {
            Ok(Ok(head)) => head,
            Ok(Err(incoming)) => return incoming,
            Err(_) => {
                let message = "The head of the request did not arrive in time.";
                return Incoming::Invalid(ApiError::not_run(ErrorCode::RequestTimeout, message));
            }
        };
        let arrived = Instant::now();
        match self.read_body(&head, limits).await {
            Ok(body) => Incoming::Request(Box::new(CallerRequest {
                method: head.method().clone(),
                uri: head.uri().clone(),
                headers: head.headers().clone(),
                body,
                arrived,
            })),
            Err(incoming) => incoming,
        }
    }

    async fn read_head(&mut self, limits: &CallerLimits) -> Result<Request, Incoming> {
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Item(head))) => {
                    self.lacks_chunks = head.version() < Version::HTTP_11;
                    return Ok(head);
                }
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if self.input.len() > limits.head_bytes => {
                    let message = format!("The head exceeds {} bytes.", limits.head_bytes);
                    let error = ApiError::not_run(ErrorCode::HeadTooLarge, message);
                    return Err(Incoming::Invalid(error));
                }
                Ok(None) => self.read_some().await.map_err(|_| Incoming::Closed)?,
                Err(error) => return Err(invalid_request(&error)),
            }
        }
    }

    async fn read_body(
        &mut self,
        head: &Request,
        limits: &CallerLimits,
    ) -> Result<Bytes, Incoming> {
        if self.codec.message_type() == actix_http::h1::MessageType::None {
            return Ok(Bytes::new());
        }
        if head.headers().contains_key(EXPECT) {
            self.output.extend_from_slice(CONTINUE);
            self.flush().await.map_err(|_| Incoming::Closed)?;
        }
        let mut body = BytesMut::new();
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => body.extend_from_slice(&chunk),
                Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
                Ok(Some(Message::Item(_))) => return Err(Incoming::Closed),
                Ok(None) => match timeout(BODY_READ_TIMEOUT, self.read_some()).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return Err(Incoming::Closed),
                },
                Err(error) => return Err(invalid_request(&error)),
            }
            if body.len() > limits.body_bytes {
                let message = format!("The body exceeds {} bytes.", limits.body_bytes);
                let error = ApiError::not_run(ErrorCode::TooLarge, message);
                return Err(Incoming::Invalid(error));
            }
        }
    }

    async fn read_some(&mut self) -> io::Result<()> {
        loop {
            self.stream.readable().await?;
            if self.try_read()? > 0 {
                return Ok(());
            }
        }
    }

    /// Reads the bytes that have arrived and returns their number. Fails if the caller has closed the connection.
    fn try_read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => Ok(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Resolves when the caller has closed the connection.
    pub async fn disconnected(&mut self) {
        while self.read_some().await.is_ok() {
            if self.input.len() > READ_AHEAD_BYTES {
                // Nothing more is read, so a close can't be detected either.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Appends the head of a response to the output buffer.
    pub fn put_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        close: bool,
    ) {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        self.has_ended = false;
        self.is_ended_by_close = self.lacks_chunks && size == BodySize::Stream;
        response.head_mut().no_chunking(self.is_ended_by_close);
        if close || self.is_ended_by_close {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.put(Message::Item((response, size)));
    }

    /// Appends a chunk of the body to the output buffer.
    pub fn put_chunk(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.put(Message::Chunk(Some(chunk)));
        }
    }

    /// Appends the end of the body to the output buffer, which completes the response.
    pub fn put_end(&mut self, _proof: CompleteAnswer) {
        self.has_ended = true;
        self.put(Message::Chunk(None));
    }

    fn put(&mut self, message: Message<(Response<()>, BodySize)>) {
        let encoded = self.codec.encode(message, &mut self.output);
        encoded.expect("writing to memory does not fail");
    }

    /// Writes the output buffer to the socket.
    ///
    /// # Errors
    ///
    /// Fails if the caller has disconnected.
    pub async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.wait_writable().await?;
                }
                Err(_) => return Err(CallerDisconnected),
            }
        }
        Ok(())
    }

    async fn wait_writable(&mut self) -> Result<(), CallerDisconnected> {
        let full = self.input.len() > READ_AHEAD_BYTES;
        let interest = match full {
            true => Interest::WRITABLE,
            false => Interest::READABLE | Interest::WRITABLE,
        };
        let ready = self
            .stream
            .ready(interest)
            .await
            .map_err(|_| CallerDisconnected)?;
        if ready.is_readable() && !full {
            // Readiness may be stale: waiting for bytes here could miss that the socket is writable.
            self.try_read().map_err(|_| CallerDisconnected)?;
        }
        Ok(())
    }

    /// Returns whether the connection may carry another request.
    pub fn keeps_open(&self) -> bool {
        self.codec.keep_alive()
    }
}

fn invalid_request(error: &dyn std::fmt::Display) -> Incoming {
    let message = format!("The request is not valid HTTP/1.1: {error}.");
    Incoming::Invalid(ApiError::not_run(ErrorCode::InvalidRequest, message))
}
