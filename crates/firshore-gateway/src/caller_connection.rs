//! A caller's connection: requests read whole, answers written, and a caller that leaves noticed.
//!
//! The library's codec parses and writes; the socket is driven here, so that a close is seen while
//! an answer is awaited, and so that an answer that breaks off never looks whole.

use actix_codec::{Decoder, Encoder};
use actix_http::HttpMessage;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{EXPECT, HeaderMap};
use actix_http::{
    ConnectionType, KeepAlive, Method, Request, Response, ServiceConfig, StatusCode, Uri,
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

/// Room made for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Bytes of further requests that are taken in while one is answered.
const READ_AHEAD_BYTES: usize = 64 * 1024;

/// Longest time without a byte of a request's body.
const BODY_STALL: Duration = Duration::from_secs(5);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A whole request.
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers as they came.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// When its head had arrived.
    pub arrived: Instant,
}

/// What reading a request came to.
pub enum Incoming {
    /// A request.
    Request(Box<CallerRequest>),
    /// The connection has ended, or has rested for too long.
    Closed,
    /// A request that cannot be taken; the connection ends after the answer.
    Unusable(ApiError),
}

/// The caller is gone: nothing more can be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerDisconnected;

thread_local! {
    /// One for each thread: building it starts a task that keeps the date.
    static CODEC_CONFIGURATION: ServiceConfig =
        ServiceConfig::new(KeepAlive::Os, Duration::ZERO, Duration::ZERO, false, None);
}

/// A connection that a caller has opened.
pub struct CallerConnection {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    codec: Codec,
}

impl CallerConnection {
    /// Takes over an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        // A connection that cannot be set up fails at its first use.
        let _ = keep_alive::configure(&stream);
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            codec: Codec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone)),
        }
    }

    /// Reads the next request. `closing` ends the wait for its first byte.
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
                return Incoming::Unusable(ApiError::not_run(ErrorCode::RequestTimeout, message));
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
                Ok(Some(Message::Item(head))) => return Ok(head),
                Ok(Some(Message::Chunk(_))) => {}
                Ok(None) if self.input.len() > limits.head_bytes => {
                    let message = format!("The head exceeds {} bytes.", limits.head_bytes);
                    let error = ApiError::not_run(ErrorCode::HeadTooLarge, message);
                    return Err(Incoming::Unusable(error));
                }
                Ok(None) => self.read_some().await.map_err(|_| Incoming::Closed)?,
                Err(error) => return Err(unusable(&error)),
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
                Ok(None) => match timeout(BODY_STALL, self.read_some()).await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) | Err(_) => return Err(Incoming::Closed),
                },
                Err(error) => return Err(unusable(&error)),
            }
            if body.len() > limits.body_bytes {
                let message = format!("The body exceeds {} bytes.", limits.body_bytes);
                let error = ApiError::not_run(ErrorCode::TooLarge, message);
                return Err(Incoming::Unusable(error));
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

    /// Reads what has arrived: 0 bytes if nothing has, an error if the caller has closed.
    fn try_read(&mut self) -> io::Result<usize> {
        self.input.reserve(READ_BYTES);
        match self.stream.try_read_buf(&mut self.input) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(count) => Ok(count),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Resolves once the caller has closed its connection.
    pub async fn disconnected(&mut self) {
        while self.read_some().await.is_ok() {
            if self.input.len() > READ_AHEAD_BYTES {
                // What it sends ahead is not read further, so a close is not seen either.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Puts the head of an answer into the buffer.
    pub fn put_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
        close: bool,
    ) {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        if close {
            response
                .head_mut()
                .set_connection_type(ConnectionType::Close);
        }
        self.put(Message::Item((response, size)));
    }

    /// Puts a part of the body into the buffer.
    pub fn put_chunk(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.put(Message::Chunk(Some(chunk)));
        }
    }

    /// Puts the end of the body into the buffer: from here on the answer looks whole.
    pub fn put_end(&mut self) {
        self.put(Message::Chunk(None));
    }

    fn put(&mut self, message: Message<(Response<()>, BodySize)>) {
        let encoded = self.codec.encode(message, &mut self.output);
        encoded.expect("writing to memory does not fail");
    }

    /// Writes the buffer out.
    pub async fn flush(&mut self) -> Result<(), CallerDisconnected> {
        while !self.output.is_empty() {
            match self.stream.try_write(&self.output) {
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.wait_for_room().await?;
                }
                Err(_) => return Err(CallerDisconnected),
            }
        }
        Ok(())
    }

    async fn wait_for_room(&mut self) -> Result<(), CallerDisconnected> {
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
            // Readiness may be stale: a second wait for bytes here would miss the room.
            self.try_read().map_err(|_| CallerDisconnected)?;
        }
        Ok(())
    }

    /// Whether the connection may carry another request.
    pub fn keeps_open(&self) -> bool {
        self.codec.keep_alive()
    }
}

fn unusable(error: &dyn std::fmt::Display) -> Incoming {
    let message = format!("The request is not valid HTTP/1.1: {error}.");
    Incoming::Unusable(ApiError::not_run(ErrorCode::InvalidRequest, message))
}
