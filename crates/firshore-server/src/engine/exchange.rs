//! One HTTP exchange with a back end over the library's own codec, which tells a proper end of
//! the body from a closed connection, so that a cut-off answer is never taken for a whole one.
//!
//! A request is written to one connection once; nothing here sends it a second time.

use super::framing::{self, BodyEnd, Framing};
use super::pool;
use crate::keep_alive;
use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig, Uri};
use awc::http::uri::InvalidUri;
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes asked for at once from a body that ends by close.
const READ_BYTES: usize = 16 * 1024;

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
        CutOff {
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
) -> Result<RequestHead, InvalidUri> {
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
    address: SocketAddr,
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
    Delimited(Framed<TcpStream, ClientPayloadCodec>),
    ByClose(TcpStream, BytesMut),
}

/// The rest of an answer. Dropping it before its end closes the connection, which cancels the
/// back end's work.
pub struct ExchangeBody {
    address: SocketAddr,
    source: Source,
    end: BodyEnd,
    reusable: bool,
}

/// Opens a connection. Every failure here means that the request was not sent.
pub async fn connect(address: SocketAddr, reuse: Reuse) -> Result<Connection, ExchangeError> {
    if reuse == Reuse::Idle
        && let Some(stream) = pool::take(address)
    {
        return Ok(Connection { address, stream });
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| ExchangeError::NotConnected("timed out".to_owned()))?
        .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    keep_alive::set_up(&stream).map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    Ok(Connection { address, stream })
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
        let method = head.method.clone();
        let codec = ClientCodec::new(CODEC_CONFIGURATION.with(ServiceConfig::clone));
        let mut framed = Framed::new(self.stream, codec);
        let written = write(&mut framed, head, body).await;
        let head = match (read_head(&mut framed).await, &written) {
            (Ok(head), _) => head,
            (Err(_), Err(error)) => return Err(ExchangeError::Lost(error.to_string())),
            (Err(error), Ok(())) => return Err(error),
        };
        // A back end that answers before it has read the request leaves the rest unread.
        let whole = written.is_ok();
        open_body(self.address, framed, &method, head, whole)
    }
}

/// Writes head and body with one call where they fit the buffer.
async fn write(
    framed: &mut Framed<TcpStream, ClientCodec>,
    head: RequestHead,
    body: Bytes,
) -> std::io::Result<()> {
    let size = BodySize::Sized(body.len() as u64);
    framed
        .feed(Message::Item((RequestHeadType::Owned(head), size)))
        .await?;
    if !body.is_empty() {
        framed.feed(Message::Chunk(Some(body))).await?;
        framed.feed(Message::Chunk(None)).await?;
    }
    SinkExt::<Message<(RequestHeadType, BodySize)>>::flush(framed).await
}

/// The final head; interim ones (1xx) are passed over.
async fn read_head(
    framed: &mut Framed<TcpStream, ClientCodec>,
) -> Result<ResponseHead, ExchangeError> {
    loop {
        match framed.next().await {
            Some(Ok(head)) if head.status.as_u16() == 101 => {
                let reason = "it switched protocols without being asked";
                return Err(ExchangeError::Lost(reason.to_owned()));
            }
            Some(Ok(head)) if head.status.is_informational() => {}
            Some(Ok(head)) => return Ok(head),
            Some(Err(error)) => return Err(ExchangeError::Lost(error.to_string())),
            None => {
                let reason = "closed before the answer's head";
                return Err(ExchangeError::Lost(reason.to_owned()));
            }
        }
    }
}

fn open_body(
    address: SocketAddr,
    framed: Framed<TcpStream, ClientCodec>,
    method: &Method,
    head: ResponseHead,
    written: bool,
) -> Result<Exchange, ExchangeError> {
    let reusable =
        written && framed.codec_ref().keep_alive() && framing::may_keep_connection(&head);
    let mut body = ExchangeBody {
        address,
        source: Source::Ended,
        end: BodyEnd::Delimited,
        reusable,
    };
    match framing::of(method, &head) {
        Framing::Empty => {
            if reusable && framed.is_read_buf_empty() {
                pool::put(address, framed.into_parts().io);
            }
        }
        Framing::Delimited if framed.codec_ref().message_type() == MessageType::None => {
            let reason = "its answer's length and upgrade headers contradict each other";
            return Err(ExchangeError::Lost(reason.to_owned()));
        }
        Framing::Delimited => {
            let framed = framed.into_map_codec(ClientCodec::into_payload_codec);
            body.source = Source::Delimited(framed);
        }
        Framing::ByClose => {
            let parts = framed.into_parts();
            body.source = Source::ByClose(parts.io, parts.read_buf);
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
            Source::Delimited(framed) => match framed.next().await {
                Some(Ok(item)) => Ok(item),
                Some(Err(_)) | None => Err(ExchangeError::CutOff),
            },
            Source::ByClose(stream, buffer) => read_until_close(stream, buffer).await,
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
        let Source::Delimited(framed) = source else {
            return;
        };
        if properly && self.reusable && framed.is_read_buf_empty() {
            pool::put(self.address, framed.into_parts().io);
        }
    }
}

async fn read_until_close(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
) -> Result<Option<Bytes>, ExchangeError> {
    if buffer.is_empty() {
        buffer.reserve(READ_BYTES);
        let read = stream.read_buf(buffer).await;
        read.map_err(|_| ExchangeError::CutOff)?;
    }
    Ok((!buffer.is_empty()).then(|| buffer.split().freeze()))
}
