//! HTTP exchanges with back ends, on the client codec of `actix-http`. The codec distinguishes the end of a body
//! from a closed connection, so that a truncated response is never taken for a complete one.
//!
//! A request is sent once, on one connection; this module never retries.

use crate::endpoint::Endpoint;
use crate::framing::{self, BodyEnd, Framing};
use crate::head_check;
use crate::keep_alive;
use crate::pool::{self, IdleConnection};
use crate::socket::{Activity, BufferedSocket};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, Uri};
use bytes::{Bytes, BytesMut};
use quick_error::quick_error;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a body that is copied behind its head, in bytes.
const MAX_COPIED_BYTES: usize = 4 * 1024;

/// Maximum body size in bytes of an unexpected response that is skipped.
const MAX_SKIPPED_BYTES: usize = 1024 * 1024;

/// Maximum number of unexpected responses that are skipped.
const MAX_SKIPPED_RESPONSES: usize = 8;

/// Maximum number of interim responses before one response.
const MAX_INTERIM_RESPONSES: usize = 64;

/// Maximum bytes between two pieces of a body: sizes and extensions of chunks, and trailers.
const MAX_FRAMING_BYTES: usize = 64 * 1024;

quick_error! {
    /// Reason why an exchange failed.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// Connecting failed; the request was not sent.
        NotConnected(reason: String) {
            display("No connection to the back end: {reason}. Another back end may take it.")
        }
        /// The connection failed after the back end may have read the request.
        Lost(reason: String) {
            display("The back end's connection ended: {reason}. The request may have run.")
        }
        /// The connection closed before the end of the body.
        Truncated {
            display("The back end's answer was cut off. The request may have run.")
        }
        /// The body exceeds the reader's limit in bytes.
        TooLong(limit: usize) {
            display("The back end's answer exceeds {limit} bytes. The request has run; ask for a shorter answer.")
        }
    }
}

thread_local! {
    /// Created once per worker, because each instance starts a task that updates the date.
    static CODEC_CONFIGURATION: ServiceConfig = ServiceConfig::default();
}

/// Returns the head of a request to `address`, with a `Host` header.
///
/// # Errors
///
/// Fails if `path` is not a path with an optional query.
///
/// # Panics
///
/// Never: an address is always a valid header value.
pub fn request_head(
    method: Method,
    path: &str,
    address: SocketAddr,
) -> Result<RequestHead, actix_http::uri::InvalidUri> {
    let mut head = RequestHead::default();
    head.method = method;
    head.uri = Uri::try_from(path)?;
    let host = HeaderValue::from_str(&address.to_string()).expect("addresses are ASCII");
    head.headers.insert(HOST, host);
    Ok(head)
}

/// Which connections may be used for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle connection if there is one. The back end may be closing it, in which case it is unknown whether the
    /// request ran.
    Idle,
    /// Only a new connection.
    Never,
}

/// A connection to which no part of the request was written yet.
pub struct Connection {
    endpoint: Endpoint,
    stream: TcpStream,
}

/// A response whose head was received.
pub struct Exchange {
    /// Status and headers of the response.
    pub head: ResponseHead,
    /// Body, to be read chunk by chunk.
    pub body: ExchangeBody,
}

enum BodySource {
    Ended,
    Delimited(BufferedSocket, ClientPayloadCodec),
    ByClose(BufferedSocket),
}

/// The unread rest of a response. Dropping it before its end closes the connection, which cancels the request at
/// the back end.
pub struct ExchangeBody {
    endpoint: Endpoint,
    source: BodySource,
    end: BodyEnd,
    /// How long the connection may be kept idle after the response; `None` if it can't be reused.
    idle_lifetime: Option<Duration>,
}

/// Opens a connection or takes an idle one.
///
/// # Errors
///
/// Returns [`ExchangeError::NotConnected`] if connecting fails or takes longer than 500 ms; the request was not
/// sent then.
pub async fn connect(
    endpoint: impl Into<Endpoint>,
    reuse: Reuse,
) -> Result<Connection, ExchangeError> {
    let endpoint = endpoint.into();
    if reuse == Reuse::Idle
        && let Some(stream) = pool::take(endpoint)
    {
        return Ok(Connection { endpoint, stream });
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(endpoint.address))
        .await
        .map_err(|_| ExchangeError::NotConnected("timed out".to_owned()))?
        .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    keep_alive::configure(&stream)
        .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    Ok(Connection { endpoint, stream })
}

/// How an address responds to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResponse {
    /// A process accepts it.
    Accepted,
    /// The machine is reachable, but no process listens there.
    Refused,
    /// Nothing responds in time.
    Silent,
}

/// Opens a connection to `address` and closes it at once. Waits for a response for up to `limit`.
pub async fn probe(address: SocketAddr, limit: Duration) -> ProbeResponse {
    match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResponse::Accepted,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ProbeResponse::Refused,
        Ok(Err(_)) | Err(_) => ProbeResponse::Silent,
    }
}

/// Returns whether a connection to `address` is refused: the machine is reachable, but no process listens there.
pub async fn is_refused(address: SocketAddr) -> bool {
    probe(address, CONNECT_TIMEOUT).await == ProbeResponse::Refused
}

/// Sends a request once, on an idle or new connection, and waits for the head of the response.
///
/// # Errors
///
/// See [`connect`] and [`Connection::send`].
pub async fn send(
    address: SocketAddr,
    head: RequestHead,
    body: Bytes,
) -> Result<Exchange, ExchangeError> {
    connect(address, Reuse::Idle).await?.send(head, body).await
}

impl Connection {
    /// Sends a request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// After any error except [`ExchangeError::NotConnected`], the request may have run.
    pub async fn send(self, head: RequestHead, body: Bytes) -> Result<Exchange, ExchangeError> {
        self.send_expecting(head, body, |_| true).await
    }

    /// Like [`Self::send`], but skips complete responses for which `is_expected` returns `false`. For back ends that
    /// may respond twice to an earlier request of the connection.
    ///
    /// # Errors
    ///
    /// Also fails if a skipped response has no marked end or is longer than 1 MiB, or if more than 8 are skipped.
    pub async fn send_expecting(
        self,
        head: RequestHead,
        body: Bytes,
        is_expected: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Exchange, ExchangeError> {
        let method = head.method.clone();
        let mut codec = ClientCodec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone));
        let mut socket = BufferedSocket::new(self.stream);
        encode(&mut codec, &mut socket, head, body)?;
        for _ in 0..=MAX_SKIPPED_RESPONSES {
            let head = read_head(&mut socket, &mut codec).await?;
            if is_expected(&head) {
                return open_body(self.endpoint, socket, codec, &method, head);
            }
            (socket, codec) = skip_response(self.endpoint, socket, codec, &method, head).await?;
        }
        let reason = "it sent too many answers to other requests";
        Err(ExchangeError::Lost(reason.to_owned()))
    }
}

/// Writes head and body into the socket's output. A small body is copied behind the head.
fn encode(
    codec: &mut ClientCodec,
    socket: &mut BufferedSocket,
    head: RequestHead,
    body: Bytes,
) -> Result<(), ExchangeError> {
    let encode_error = |error: std::io::Error| ExchangeError::NotConnected(error.to_string());
    let has_no_body = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = match has_no_body {
        true => BodySize::None,
        false => BodySize::Sized(body.len() as u64),
    };
    let item = Message::Item((RequestHeadType::Owned(head), size));
    codec
        .encode(item, &mut socket.output)
        .map_err(encode_error)?;
    // A body with a length has no further framing.
    match body.len() <= MAX_COPIED_BYTES {
        true => socket.output.extend_from_slice(&body),
        false => socket.body = body,
    }
    Ok(())
}

/// Reads the head of the final response; skips interim responses (1xx).
async fn read_head(
    socket: &mut BufferedSocket,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, ExchangeError> {
    let lost = |reason: String| ExchangeError::Lost(reason);
    let mut interim_responses = 0;
    loop {
        if !head_check::has_valid_names(&socket.input) {
            return Err(lost("a field in its head has no valid name".to_owned()));
        }
        match codec.decode(&mut socket.input) {
            Ok(Some(head)) if !head_check::is_valid_status(head.status) => {
                return Err(lost("its status is none of HTTP".to_owned()));
            }
            Ok(Some(head)) if head.status.as_u16() == 101 => {
                return Err(lost("it switched protocols without being asked".to_owned()));
            }
            Ok(Some(head)) if head.status.is_informational() => {
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(lost("it sent too many interim answers".to_owned()));
                }
                continue;
            }
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(error) => return Err(lost(error.to_string())),
        }
        match socket.wait_for_activity().await {
            Ok(Activity::Progress) => {}
            Ok(Activity::End) => {
                return Err(lost("closed before the answer's head".to_owned()));
            }
            Err(error) => return Err(lost(error.to_string())),
        }
    }
}

/// Skips a response that belongs to another request, and returns the connection.
async fn skip_response(
    endpoint: Endpoint,
    socket: BufferedSocket,
    codec: ClientCodec,
    method: &Method,
    head: ResponseHead,
) -> Result<(BufferedSocket, ClientCodec), ExchangeError> {
    let reason = "it answered another request";
    let mut exchange = open_body(endpoint, socket, codec, method, head)?;
    let mut length = 0;
    while let BodySource::Delimited(socket, codec) = &mut exchange.body.source {
        match read_chunk(socket, codec).await? {
            Some(chunk) => length += chunk.len(),
            None => break,
        }
        if length > MAX_SKIPPED_BYTES {
            return Err(ExchangeError::Lost(reason.to_owned()));
        }
    }
    match std::mem::replace(&mut exchange.body.source, BodySource::Ended) {
        BodySource::Delimited(socket, codec) => Ok((socket, codec.into_message_codec())),
        BodySource::ByClose(_) | BodySource::Ended => Err(ExchangeError::Lost(reason.to_owned())),
    }
}

fn open_body(
    endpoint: Endpoint,
    socket: BufferedSocket,
    codec: ClientCodec,
    method: &Method,
    head: ResponseHead,
) -> Result<Exchange, ExchangeError> {
    // A back end that responds before it has read the whole request leaves the rest unread.
    let is_reusable =
        socket.is_flushed() && codec.keep_alive() && framing::may_keep_connection(&head);
    let mut body = ExchangeBody {
        endpoint,
        source: BodySource::Ended,
        end: BodyEnd::Delimited,
        idle_lifetime: is_reusable.then(|| framing::idle_lifetime(&head)).flatten(),
    };
    match framing::of(method, &head) {
        Framing::Empty => body.release(socket),
        Framing::Delimited if codec.message_type() == MessageType::None => {
            let reason = "its answer's length and upgrade headers contradict each other";
            return Err(ExchangeError::Lost(reason.to_owned()));
        }
        Framing::Delimited => {
            body.source = BodySource::Delimited(socket, codec.into_payload_codec());
        }
        Framing::ByClose => {
            body.source = BodySource::ByClose(socket);
            body.end = BodyEnd::ByClose;
        }
    }
    Ok(Exchange { head, body })
}

impl ExchangeBody {
    /// Returns how the end of the body is marked.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// Returns the next chunk, or `None` at the end and after an error.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::Truncated`] if the connection closes before the end of the body.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let result = match &mut self.source {
            BodySource::Ended => return Ok(None),
            BodySource::Delimited(socket, codec) => read_chunk(socket, codec).await,
            BodySource::ByClose(socket) => read_until_close(socket).await,
        };
        if !matches!(result, Ok(Some(_))) {
            self.finish(result.is_ok());
        }
        result
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::TooLong`] if the body is longer than `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        let mut whole = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(ExchangeError::TooLong(limit));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    fn finish(&mut self, is_complete: bool) {
        let source = std::mem::replace(&mut self.source, BodySource::Ended);
        if let BodySource::Delimited(socket, _) = source
            && is_complete
        {
            self.release(socket);
        }
    }

    /// Returns the connection to the pool if it can be reused and has no unread input or unsent output.
    fn release(&self, socket: BufferedSocket) {
        let is_idle = socket.input.is_empty() && socket.is_flushed();
        if let Some(lifetime) = self.idle_lifetime.filter(|_| is_idle) {
            pool::put(self.endpoint, IdleConnection::new(socket.stream, lifetime));
        }
    }
}

async fn read_chunk(
    socket: &mut BufferedSocket,
    codec: &mut ClientPayloadCodec,
) -> Result<Option<Bytes>, ExchangeError> {
    socket.begin_piece().await;
    let mut framing_bytes = 0;
    loop {
        match codec.decode(&mut socket.input) {
            Ok(Some(item)) => return Ok(item),
            Ok(None) if framing_bytes > MAX_FRAMING_BYTES => return Err(ExchangeError::Truncated),
            Ok(None) => {}
            Err(_) => return Err(ExchangeError::Truncated),
        }
        let len = socket.input.len();
        match socket.wait_for_activity().await {
            Ok(Activity::Progress) => framing_bytes += socket.input.len() - len,
            Ok(Activity::End) | Err(_) => return Err(ExchangeError::Truncated),
        }
    }
}

async fn read_until_close(socket: &mut BufferedSocket) -> Result<Option<Bytes>, ExchangeError> {
    socket.begin_piece().await;
    while socket.input.is_empty() {
        match socket.wait_for_activity().await {
            Ok(Activity::Progress) => {}
            // The failed write has taken a reset off the socket; a read shows it as an end.
            Ok(Activity::End) if socket.has_failed_to_send() => {
                return Err(ExchangeError::Truncated);
            }
            Ok(Activity::End) => return Ok(None),
            Err(_) => return Err(ExchangeError::Truncated),
        }
    }
    Ok(Some(socket.input.split().freeze()))
}
