//! One HTTP exchange with a back end over the library's own codec, which tells a proper end of
//! the body from a closed connection, so that a cut-off answer is never taken for a whole one.
//!
//! A request is written to one connection once; nothing here sends it a second time.

use crate::endpoint::Endpoint;
use crate::framing::{self, BodyEnd, Framing};
use crate::keep_alive;
use crate::pool::{self, IdleConnection};
use crate::wire::{Turn, Wire};
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

/// Longest answer to somebody else's request that is read over, in bytes.
const SURPLUS_BYTES: usize = 1024 * 1024;

quick_error! {
    /// Failure of an exchange.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection was made, so the request was not sent.
        NotConnected(reason: String) {
            display("No connection to the back end: {reason}. Another back end may take it.")
        }
        /// The connection ended after the request may have been read.
        Lost(reason: String) {
            display("The back end's connection ended: {reason}. The request may have run.")
        }
        /// The body ended before its announced end.
        Truncated {
            display("The back end's answer was cut off. The request may have run.")
        }
        /// The body is longer than the reader takes.
        TooLong(limit: usize) {
            display("The back end's answer exceeds {limit} bytes. The request has run; ask for a shorter answer.")
        }
    }
}

thread_local! {
    /// One for each worker: building it starts a task that keeps the date.
    static CODEC_CONFIGURATION: ServiceConfig = ServiceConfig::default();
}

/// The head of a request to `address`; fails when `path` is not a path with an optional query.
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

/// Which connections may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// An idle one if there is one. The back end may be closing it at this moment, which leaves
    /// the request's execution unknown.
    Idle,
    /// A new one only.
    Never,
}

/// A connection on which nothing of the request has been written yet.
pub struct Connection {
    endpoint: Endpoint,
    stream: TcpStream,
}

/// An answer whose head has arrived.
pub struct Exchange {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body, read chunk by chunk.
    pub body: ExchangeBody,
}

enum Source {
    Ended,
    Delimited(Wire, ClientPayloadCodec),
    ByClose(Wire),
}

/// The rest of an answer. Dropping it before its end closes the connection, which cancels the
/// back end's work.
pub struct ExchangeBody {
    endpoint: Endpoint,
    source: Source,
    end: BodyEnd,
    /// How long the connection may be kept idle after the answer, if at all.
    keep: Option<Duration>,
}

/// Opens a connection. Every failure here means that the request was not sent.
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

/// Returns whether connections to `address` are refused at once: its machine is there, and nothing listens.
pub async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Sends a request once and waits for the head of its answer.
pub async fn send(
    address: SocketAddr,
    head: RequestHead,
    body: Bytes,
) -> Result<Exchange, ExchangeError> {
    connect(address, Reuse::Idle).await?.send(head, body).await
}

impl Connection {
    /// Sends a request and waits for the head of its answer. Every failure here means that the
    /// request may have run.
    pub async fn send(self, head: RequestHead, body: Bytes) -> Result<Exchange, ExchangeError> {
        self.send_expecting(head, body, |_| true).await
    }

    /// Like [`Self::send`], for back ends that may answer an earlier request of the connection
    /// twice: whole answers for which `is_expected` does not hold are read over.
    pub async fn send_expecting(
        self,
        head: RequestHead,
        body: Bytes,
        is_expected: impl Fn(&ResponseHead) -> bool,
    ) -> Result<Exchange, ExchangeError> {
        let method = head.method.clone();
        let mut codec = ClientCodec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone));
        let mut wire = Wire::new(self.stream);
        encode(&mut codec, &mut wire.output, head, body)?;
        loop {
            let head = read_head(&mut wire, &mut codec).await?;
            if is_expected(&head) {
                return open_body(self.endpoint, wire, codec, &method, head);
            }
            (wire, codec) = read_over(self.endpoint, wire, codec, &method, head).await?;
        }
    }
}

/// Puts head and body into one buffer, so that they leave with one call where they fit.
fn encode(
    codec: &mut ClientCodec,
    output: &mut BytesMut,
    head: RequestHead,
    body: Bytes,
) -> Result<(), ExchangeError> {
    let unsendable = |error: std::io::Error| ExchangeError::NotConnected(error.to_string());
    let bodiless = body.is_empty() && matches!(head.method, Method::GET | Method::HEAD);
    let size = match bodiless {
        true => BodySize::None,
        false => BodySize::Sized(body.len() as u64),
    };
    let item = Message::Item((RequestHeadType::Owned(head), size));
    codec.encode(item, output).map_err(unsendable)?;
    if !body.is_empty() {
        codec
            .encode(Message::Chunk(Some(body)), output)
            .map_err(unsendable)?;
        codec
            .encode(Message::Chunk(None), output)
            .map_err(unsendable)?;
    }
    Ok(())
}

/// The final head; interim ones (1xx) are passed over.
async fn read_head(
    wire: &mut Wire,
    codec: &mut ClientCodec,
) -> Result<ResponseHead, ExchangeError> {
    let lost = |reason: String| ExchangeError::Lost(reason);
    loop {
        match codec.decode(&mut wire.input) {
            Ok(Some(head)) if head.status.as_u16() == 101 => {
                return Err(lost("it switched protocols without being asked".to_owned()));
            }
            Ok(Some(head)) if head.status.is_informational() => continue,
            Ok(Some(head)) => return Ok(head),
            Ok(None) => {}
            Err(error) => return Err(lost(error.to_string())),
        }
        match wire.turn().await {
            Ok(Turn::Progress) => {}
            Ok(Turn::End) => return Err(lost("closed before the answer's head".to_owned())),
            Err(error) => return Err(lost(error.to_string())),
        }
    }
}

/// Reads an answer that belongs to no request of ours, and gives the connection back.
async fn read_over(
    endpoint: Endpoint,
    wire: Wire,
    codec: ClientCodec,
    method: &Method,
    head: ResponseHead,
) -> Result<(Wire, ClientCodec), ExchangeError> {
    let reason = "it answered another request";
    let mut exchange = open_body(endpoint, wire, codec, method, head)?;
    let mut length = 0;
    while let Source::Delimited(wire, codec) = &mut exchange.body.source {
        match read_chunk(wire, codec).await? {
            Some(chunk) => length += chunk.len(),
            None => break,
        }
        if length > SURPLUS_BYTES {
            return Err(ExchangeError::Lost(reason.to_owned()));
        }
    }
    match std::mem::replace(&mut exchange.body.source, Source::Ended) {
        Source::Delimited(wire, codec) => Ok((wire, codec.into_message_codec())),
        Source::ByClose(_) | Source::Ended => Err(ExchangeError::Lost(reason.to_owned())),
    }
}

fn open_body(
    endpoint: Endpoint,
    wire: Wire,
    codec: ClientCodec,
    method: &Method,
    head: ResponseHead,
) -> Result<Exchange, ExchangeError> {
    // A back end that answers before it has read the request leaves the rest unread.
    let reusable = wire.is_flushed() && codec.keep_alive() && framing::may_keep_connection(&head);
    let mut body = ExchangeBody {
        endpoint,
        source: Source::Ended,
        end: BodyEnd::Delimited,
        keep: reusable.then(|| framing::idle_lifetime(&head)).flatten(),
    };
    match framing::of(method, &head) {
        Framing::Empty => body.release(wire),
        Framing::Delimited if codec.message_type() == MessageType::None => {
            let reason = "its answer's length and upgrade headers contradict each other";
            return Err(ExchangeError::Lost(reason.to_owned()));
        }
        Framing::Delimited => {
            body.source = Source::Delimited(wire, codec.into_payload_codec());
        }
        Framing::ByClose => {
            body.source = Source::ByClose(wire);
            body.end = BodyEnd::ByClose;
        }
    }
    Ok(Exchange { head, body })
}

impl ExchangeBody {
    /// How the body's end is marked.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// The next chunk, or `None` at the end. After an error the body stays ended.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let result = match &mut self.source {
            Source::Ended => return Ok(None),
            Source::Delimited(wire, codec) => read_chunk(wire, codec).await,
            Source::ByClose(wire) => read_until_close(wire).await,
        };
        if !matches!(result, Ok(Some(_))) {
            self.finish(result.is_ok());
        }
        result
    }

    /// The whole body, of at most `limit` bytes.
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

    fn finish(&mut self, properly: bool) {
        let source = std::mem::replace(&mut self.source, Source::Ended);
        if let Source::Delimited(wire, _) = source
            && properly
        {
            self.release(wire);
        }
    }

    /// Keeps the connection for another request, if nothing is left on it.
    fn release(&self, wire: Wire) {
        let quiet = wire.input.is_empty() && wire.is_flushed();
        if let Some(lifetime) = self.keep.filter(|_| quiet) {
            pool::put(self.endpoint, IdleConnection::new(wire.stream, lifetime));
        }
    }
}

async fn read_chunk(
    wire: &mut Wire,
    codec: &mut ClientPayloadCodec,
) -> Result<Option<Bytes>, ExchangeError> {
    loop {
        match codec.decode(&mut wire.input) {
            Ok(Some(item)) => return Ok(item),
            Ok(None) => {}
            Err(_) => return Err(ExchangeError::Truncated),
        }
        match wire.turn().await {
            Ok(Turn::Progress) => {}
            Ok(Turn::End) | Err(_) => return Err(ExchangeError::Truncated),
        }
    }
}

async fn read_until_close(wire: &mut Wire) -> Result<Option<Bytes>, ExchangeError> {
    while wire.input.is_empty() {
        match wire.turn().await {
            Ok(Turn::Progress) => {}
            Ok(Turn::End) => return Ok(None),
            Err(_) => return Err(ExchangeError::Truncated),
        }
    }
    Ok(Some(wire.input.split().freeze()))
}
