//! One HTTP request as the lab's callers and judges send it.

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Method, ResponseHead};
use bytes::Bytes;
use firshore_exchange::exchange::{self, Exchange};
use quick_error::quick_error;
use std::net::SocketAddr;

/// Longest answer read into memory, in bytes.
const ANSWER_LIMIT: usize = 256 * 1024 * 1024;

quick_error! {
    /// Why a call has no whole answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The exchange failed.
        Exchange(reason: String) {
            display("The call failed: {reason}")
        }
        /// The answer is not JSON of the expected form.
        Form(reason: String) {
            display("The answer has an unexpected form: {reason}")
        }
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Call {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// Status and headers.
    pub head: ResponseHead,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A request without headers or body.
    pub fn new(address: SocketAddr, method: Method, path: &str) -> Self {
        Self {
            address,
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A `GET`.
    pub fn get(address: SocketAddr, path: &str) -> Self {
        Self::new(address, Method::GET, path)
    }

    /// A `POST` with a body.
    pub fn post(address: SocketAddr, path: &str, body: impl Into<Bytes>) -> Self {
        Self::new(address, Method::POST, path).body(body)
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header; panics unless its value is printable ASCII, as the lab's own are.
    pub fn header(mut self, name: &'static str, value: &str) -> Self {
        let name = HeaderName::from_static(name);
        let value = HeaderValue::from_str(value).expect("header values are printable ASCII");
        self.headers.push((name, value));
        self
    }

    /// Adds the bearer key.
    pub fn key(self, key: &str) -> Self {
        self.header("authorization", &format!("Bearer {key}"))
    }

    /// Sends it and waits for the answer's head.
    pub async fn open(self) -> Result<Exchange, CallError> {
        let failed = |error: &dyn std::fmt::Display| CallError::Exchange(error.to_string());
        let mut head = exchange::request_head(self.method, &self.path, self.address)
            .map_err(|error| failed(&error))?;
        for (name, value) in self.headers {
            head.headers.insert(name, value);
        }
        exchange::send(self.address, head, self.body)
            .await
            .map_err(|error| failed(&error))
    }

    /// Sends it and reads the whole answer.
    pub async fn send(self) -> Result<Answer, CallError> {
        let mut exchange = self.open().await?;
        let body = exchange
            .body
            .read_whole(ANSWER_LIMIT)
            .await
            .map_err(|error| CallError::Exchange(error.to_string()))?;
        Ok(Answer {
            head: exchange.head,
            body,
        })
    }
}

impl Answer {
    /// Status code.
    pub fn status(&self) -> u16 {
        self.head.status.as_u16()
    }

    /// A header's text, or the empty text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.head.headers.get(name);
        value.and_then(|value| value.to_str().ok()).unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(|error| CallError::Form(error.to_string()))
    }
}
