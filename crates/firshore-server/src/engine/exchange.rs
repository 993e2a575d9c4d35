//! One HTTP exchange with a back end over the library's own codec, which tells a proper end of
//! the body from a closed connection, so that a cut-off answer is never taken for a whole one.

use actix_codec::Framed;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, Uri};
use awc::http::uri::InvalidUri;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use quick_error::quick_error;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const IDLE_CONNECTIONS_PER_BACKEND: usize = 64;

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
    }
}

thread_local! {
    static IDLE: RefCell<HashMap<SocketAddr, Vec<TcpStream>>> = RefCell::default();
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

/// An answer whose head has arrived.
pub struct Exchange {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body, read chunk by chunk.
    pub body: ExchangeBody,
}

/// How much can be known about a body's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// Length or chunks mark the end.
    Delimited,
    /// Only the connection's close marks it: a cut cannot be told from an end.
    ByClose,
}

/// The rest of an answer. Dropping it before its end closes the connection, which cancels the
/// back end's work.
pub struct ExchangeBody {
    address: SocketAddr,
    framed: Option<Framed<TcpStream, ClientPayloadCodec>>,
    end: BodyEnd,
}

fn idle_connection(address: SocketAddr) -> Option<TcpStream> {
    IDLE.with_borrow_mut(|idle| {
        let streams = idle.get_mut(&address)?;
        while let Some(stream) = streams.pop() {
            // A readable idle connection was closed by the back end or broke its protocol.
            let mut probe = [0; 1];
            let quiet = matches!(stream.try_read(&mut probe), Err(error) if error.kind() == std::io::ErrorKind::WouldBlock);
            if quiet {
                return Some(stream);
            }
        }
        None
    })
}

fn keep_idle(address: SocketAddr, stream: TcpStream) {
    IDLE.with_borrow_mut(|idle| {
        let streams = idle.entry(address).or_default();
        if streams.len() < IDLE_CONNECTIONS_PER_BACKEND {
            streams.push(stream);
        }
    });
}

async fn connection(address: SocketAddr) -> Result<TcpStream, ExchangeError> {
    if let Some(stream) = idle_connection(address) {
        return Ok(stream);
    }
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| ExchangeError::NotConnected("timed out".to_owned()))?
        .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    stream
        .set_nodelay(true)
        .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
    Ok(stream)
}

/// Sends a request once and waits for the head of its answer.
pub async fn send(
    address: SocketAddr,
    head: RequestHead,
    body: Bytes,
) -> Result<Exchange, ExchangeError> {
    let stream = connection(address).await?;
    let lost = |error: &dyn std::fmt::Display| ExchangeError::Lost(error.to_string());
    let mut framed = Framed::new(stream, ClientCodec::default());
    let size = BodySize::Sized(body.len() as u64);
    framed
        .send(Message::Item((RequestHeadType::Owned(head), size)))
        .await
        .map_err(|error| lost(&error))?;
    if !body.is_empty() {
        framed
            .send(Message::Chunk(Some(body)))
            .await
            .map_err(|error| lost(&error))?;
        framed
            .send(Message::Chunk(None))
            .await
            .map_err(|error| lost(&error))?;
    }
    let head = match framed.next().await {
        Some(Ok(head)) => head,
        Some(Err(error)) => return Err(lost(&error)),
        None => return Err(lost(&"closed before the answer's head")),
    };
    let end = match framed.codec_ref().message_type() {
        MessageType::None => {
            if framed.codec_ref().keep_alive() {
                keep_idle(address, framed.into_parts().io);
            }
            return Ok(Exchange {
                head,
                body: ExchangeBody {
                    address,
                    framed: None,
                    end: BodyEnd::Delimited,
                },
            });
        }
        MessageType::Payload => BodyEnd::Delimited,
        MessageType::Stream => BodyEnd::ByClose,
    };
    let framed = Some(framed.into_map_codec(|codec| codec.into_payload_codec()));
    Ok(Exchange {
        head,
        body: ExchangeBody {
            address,
            framed,
            end,
        },
    })
}

impl ExchangeBody {
    /// How the body's end is marked.
    pub fn end(&self) -> BodyEnd {
        self.end
    }

    /// The next chunk, or `None` at the proper end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let Some(framed) = &mut self.framed else {
            return Ok(None);
        };
        match framed.next().await {
            Some(Ok(Some(bytes))) => Ok(Some(bytes)),
            Some(Ok(None)) => {
                self.release();
                Ok(None)
            }
            Some(Err(_)) => Err(ExchangeError::CutOff),
            None if self.end == BodyEnd::ByClose => {
                self.framed = None;
                Ok(None)
            }
            None => Err(ExchangeError::CutOff),
        }
    }

    /// The whole body, of at most `limit` bytes.
    pub async fn read_whole(&mut self, limit: usize) -> Result<Bytes, ExchangeError> {
        let mut whole = bytes::BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if whole.len() + chunk.len() > limit {
                return Err(ExchangeError::Lost(format!(
                    "the answer exceeds {limit} bytes"
                )));
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(whole.freeze())
    }

    fn release(&mut self) {
        let Some(framed) = self.framed.take() else {
            return;
        };
        if framed.codec_ref().keep_alive() {
            keep_idle(self.address, framed.into_parts().io);
        }
    }
}
