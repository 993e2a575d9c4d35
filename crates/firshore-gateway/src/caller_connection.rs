//! HTTP/1.1 connection to a caller: reads complete requests, writes responses and detects when the caller closes.
//!
//! The codec of `actix_http` parses and encodes. The socket is read here, so that a close is detected while a
//! response is pending, and so that an interrupted response never looks complete.

use crate::answer_end::CompleteAnswer;
use crate::incoming_body::IncomingBody;
use crate::input_account::InputLease;
use crate::input_budget::Denial;
use actix_codec::{Decoder, Encoder};
use actix_http::HttpMessage;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_LENGTH, EXPECT, HeaderMap};
use actix_http::{
    ConnectionType, KeepAlive, Method, Request, RequestHead, Response, ServiceConfig, StatusCode,
    Uri, Version,
};
use bytes::{Buf, Bytes, BytesMut};
use firshore_adapter::configuration::CallerLimits;
use firshore_exchange::keep_alive;
use firshore_types::error::{ApiError, ErrorCode};
use std::cell::LazyCell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Buffer space reserved for one read, in bytes.
const READ_BYTES: usize = 8 * 1024;

/// Maximum bytes of further requests that are kept while a response is pending.
const READ_AHEAD_BYTES: usize = 16 * 1024;

/// Maximum time without a byte of a request's body.
const BODY_READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Length of a response that isn't counted, in bytes.
const FREE_RESPONSE_BYTES: usize = 16 * 1024;

/// Copies of a response that is kept as a whole: as read, and as written.
const COPIES_OF_RESPONSE: usize = 2;

/// Length of a head that isn't counted, in bytes.
const FREE_HEAD_BYTES: usize = 2 * 1024;

/// Bytes of a body that are read before other connections are let through.
const TURN_BYTES: usize = 64 * 1024;

/// Maximum bytes on the wire for each byte of a body, beyond [`FREE_FRAMING_BYTES`]: a chunk of one byte takes six.
const MAX_BYTES_PER_BODY_BYTE: usize = 8;

/// Bytes on the wire that a body may take whatever its length.
const FREE_FRAMING_BYTES: usize = 64 * 1024;

/// Maximum bytes that are discarded after a refusal, so that the caller can read it.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;

/// Maximum time for which bytes are discarded after a refusal.
const DISCARD_TIME: Duration = Duration::from_secs(2);

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
    /// The connection was closed or was idle for too long.
    Closed,
    /// A request that is invalid or was not read completely; the connection must be closed after the response.
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

/// Counts the memory of a response that is kept as a whole, beside its request.
pub struct ResponseAccount {
    lease: Rc<InputLease>,
    request_bytes: usize,
}

impl ResponseAccount {
    /// Counts a response of `bytes`, as read and as written. Returns whether there is memory for it.
    pub fn holds(&self, bytes: usize) -> bool {
        bytes <= FREE_RESPONSE_BYTES
            || self
                .lease
                .try_resize(self.request_bytes + COPIES_OF_RESPONSE * bytes)
    }
}

/// Connection opened by a caller.
pub struct CallerConnection {
    stream: TcpStream,
    lease: Rc<InputLease>,
    /// Bytes received so far, and at the last time when other connections were let through.
    received: usize,
    yielded_at: usize,
    /// Memory that the head of the current request counts for, and the whole request.
    head_bytes: usize,
    request_bytes: usize,
    /// Whether a request is being received.
    is_reading: bool,
    /// Whether what arrives behind the current request is discarded; the connection closes after its response.
    discards: bool,
    /// Bytes received before the current body.
    body_start: usize,
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
    /// Creates the connection for an accepted socket. What it holds counts against `lease`.
    pub fn new(stream: TcpStream, lease: InputLease) -> Self {
        // If this fails, the first read or write fails too.
        let _ = keep_alive::configure(&stream);
        Self {
            stream,
            lease: Rc::new(lease),
            received: 0,
            yielded_at: 0,
            head_bytes: 0,
            request_bytes: 0,
            is_reading: false,
            discards: false,
            body_start: 0,
            input: BytesMut::new(),
            output: BytesMut::new(),
            codec: Codec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone)),
            lacks_chunks: false,
            is_ended_by_close: false,
            has_ended: false,
        }
    }

    /// Reads the next request. Stops waiting for its first byte when `closing` resolves. Its body must arrive within
    /// `body_time` of its head.
    pub async fn read_request(
        &mut self,
        limits: &CallerLimits,
        closing: impl Future<Output = ()>,
        body_time: impl Fn(&RequestHead) -> Duration,
    ) -> Incoming {
        let lease = self.lease.clone();
        lease.become_idle();
        if self.input.is_empty() {
            // An idle connection holds no buffers.
            self.input = BytesMut::new();
            self.output = BytesMut::new();
            let first = tokio::select! {
                read = self.read_some() => read,
                () = lease.evicted() => return Incoming::Closed,
                () = closing => return Incoming::Closed,
                () = actix_rt::time::sleep(limits.idle_timeout) => return Incoming::Closed,
            };
            if first.is_err() {
                return Incoming::Closed;
            }
        }
        lease.begin_reading();
        self.is_reading = true;
        let incoming = self.receive(limits, body_time).await;
        self.is_reading = false;
        incoming
    }

    /// Receives a request whose first byte has arrived.
    async fn receive(
        &mut self,
        limits: &CallerLimits,
        body_time: impl Fn(&RequestHead) -> Duration,
    ) -> Incoming {
        let lease = self.lease.clone();
        let before = self.received - self.input.len();
        let read = tokio::select! {
            read = timeout(limits.head_timeout, self.read_head(limits)) => read,
            () = lease.evicted() => return Incoming::Invalid(Denial::Evicted.api_error()),
        };
        let head = match read {
            Ok(Ok(head)) => head,
            Ok(Err(incoming)) => return incoming,
            Err(_) => {
                let message = "The head of the request did not arrive in time.";
                return Incoming::Invalid(ApiError::not_run(ErrorCode::RequestTimeout, message));
            }
        };
        self.head_bytes = charged_head_bytes(self.received - self.input.len() - before);
        if let Err(refused) = self.charge(self.head_bytes).await {
            return refused;
        }
        let arrived = Instant::now();
        let deadline = || arrived + body_time(head.head());
        match self.read_body(&head, limits, deadline).await {
            Ok(body) => {
                self.lease.begin_serving();
                Incoming::Request(Box::new(CallerRequest {
                    method: head.method().clone(),
                    uri: head.uri().clone(),
                    headers: head.headers().clone(),
                    body,
                    arrived,
                }))
            }
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
                Ok(None) => {
                    self.read_some().await.map_err(|_| Incoming::Closed)?;
                    self.charge(charged_head_bytes(self.input.len())).await?;
                }
                Err(error) => return Err(invalid_request(&error)),
            }
        }
    }

    /// Counts what the request holds, in bytes.
    async fn charge(&mut self, bytes: usize) -> Result<(), Incoming> {
        let resized = self.lease.resize(bytes).await;
        resized.map_err(|denial| Incoming::Invalid(denial.api_error()))?;
        self.request_bytes = bytes;
        Ok(())
    }

    async fn read_body(
        &mut self,
        head: &Request,
        limits: &CallerLimits,
        deadline: impl Fn() -> Instant,
    ) -> Result<Bytes, Incoming> {
        // Most bodies arrive with their heads and need none.
        let deadline = LazyCell::new(deadline);
        if self.codec.message_type() == actix_http::h1::MessageType::None {
            return Ok(Bytes::new());
        }
        let announced = announced_length(head);
        let max_held = self.lease.max_request_bytes() - self.head_bytes;
        let max_bytes = limits.body_bytes.min(max_held);
        if announced.is_some_and(|length| length > max_bytes) {
            return Err(body_too_large(max_bytes));
        }
        if head.headers().contains_key(EXPECT) {
            self.output.extend_from_slice(CONTINUE);
            self.flush().await.map_err(|_| Incoming::Closed)?;
        }
        let mut body = IncomingBody::new(announced);
        self.body_start = self.received - self.input.len();
        loop {
            match self.codec.decode(&mut self.input) {
                Ok(Some(Message::Chunk(Some(chunk)))) => {
                    let length = body.len() + chunk.len();
                    if length > max_bytes {
                        return Err(body_too_large(max_bytes));
                    }
                    self.charge(self.head_bytes + body.bytes_for(length))
                        .await?;
                    body.push(chunk);
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.join()),
                Ok(Some(Message::Item(_))) => return Err(Incoming::Closed),
                Ok(None) => self.read_more_of(&body, *deadline).await?,
                Err(error) => return Err(invalid_request(&error)),
            }
        }
    }

    /// Reads further bytes of a body.
    async fn read_more_of(
        &mut self,
        body: &IncomingBody,
        deadline: Instant,
    ) -> Result<(), Incoming> {
        let wire_bytes = self.received - self.body_start;
        if wire_bytes > FREE_FRAMING_BYTES + MAX_BYTES_PER_BODY_BYTE * body.len() {
            return Err(invalid_request(&"its chunks hold too few bytes"));
        }
        if self.received - self.yielded_at >= TURN_BYTES {
            // A caller that sends fast would keep all others waiting.
            self.yielded_at = self.received;
            actix_rt::task::yield_now().await;
        }
        let lease = self.lease.clone();
        let until = deadline.min(Instant::now() + BODY_READ_TIMEOUT);
        tokio::select! {
            read = self.read_some() => read.map_err(|_| Incoming::Closed),
            () = lease.evicted() => Err(Incoming::Invalid(Denial::Evicted.api_error())),
            () = actix_rt::time::sleep_until(until.into()) => {
                let message = "The body of the request did not arrive in time.";
                Err(Incoming::Invalid(ApiError::not_run(ErrorCode::RequestTimeout, message)))
            }
        }
    }

    /// Discards what the caller still sends, so that it can read a refusal: closing a connection with unread bytes
    /// would reset it. Returns when the caller has closed, or after 2 s or 4 MiB.
    pub async fn discard_rest(mut self) {
        let lease = self.lease.clone();
        lease.become_idle();
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let end = self.received + MAX_DISCARDED_BYTES;
        let discarding = async {
            while self.received < end && self.read_some().await.is_ok() {
                self.input.clear();
            }
        };
        tokio::select! {
            _ = timeout(DISCARD_TIME, discarding) => {}
            () = lease.evicted() => {}
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
            Ok(count) => {
                self.received += count;
                Ok(count)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
            Err(error) => Err(error),
        }
    }

    /// Resolves when the caller has closed the connection.
    pub async fn disconnected(&mut self) {
        while self.read_some().await.is_ok() {
            self.keep_or_discard();
        }
    }

    /// Counts what has arrived behind the current request. If it is too much, it is discarded from now on: left unread,
    /// it would fill the kernel's buffers, and a close could not be detected.
    fn keep_or_discard(&mut self) {
        if self.is_reading {
            return;
        }
        let is_kept = !self.discards
            && self.input.len() <= READ_AHEAD_BYTES
            && (self.lease).try_resize(self.request_bytes + self.input.len());
        if !is_kept {
            self.discards = true;
            self.input.clear();
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
        if close || self.discards || self.is_ended_by_close {
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
        let ready = self
            .stream
            .ready(Interest::READABLE | Interest::WRITABLE)
            .await
            .map_err(|_| CallerDisconnected)?;
        if ready.is_readable() {
            // Readiness may be stale: waiting for bytes here could miss that the socket is writable.
            self.try_read().map_err(|_| CallerDisconnected)?;
            self.keep_or_discard();
        }
        Ok(())
    }

    /// Returns the account of the response to the current request.
    pub fn response_account(&self) -> ResponseAccount {
        ResponseAccount {
            lease: self.lease.clone(),
            request_bytes: self.request_bytes,
        }
    }

    /// Returns the account of what the current request holds.
    pub fn lease(&self) -> &Rc<InputLease> {
        &self.lease
    }

    /// Returns whether the connection may carry another request.
    pub fn keeps_open(&self) -> bool {
        self.codec.keep_alive() && !self.discards
    }

    /// Returns whether something that arrived behind the current request was discarded.
    pub fn discards(&self) -> bool {
        self.discards
    }
}

/// Returns what a head of `length` bytes counts for: as received and as parsed. Small ones are part of what a connection
/// is expected to hold.
fn charged_head_bytes(length: usize) -> usize {
    match length <= FREE_HEAD_BYTES {
        true => 0,
        false => 2 * length,
    }
}

/// Returns the length of the body that a head announces.
fn announced_length(head: &Request) -> Option<usize> {
    let length = head.headers().get(CONTENT_LENGTH)?;
    let digits = length.to_str().ok()?.trim();
    // A length that is no number is refused by the codec, unless it exceeds all limits.
    Some(digits.parse().unwrap_or(usize::MAX))
}

fn body_too_large(max_bytes: usize) -> Incoming {
    let message = format!("The body exceeds {max_bytes} bytes.");
    Incoming::Invalid(ApiError::not_run(ErrorCode::TooLarge, message))
}

fn invalid_request(error: &dyn std::fmt::Display) -> Incoming {
    let message = format!("The request is not valid HTTP/1.1: {error}.");
    Incoming::Invalid(ApiError::not_run(ErrorCode::InvalidRequest, message))
}
