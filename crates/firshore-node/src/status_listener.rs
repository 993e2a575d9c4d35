//! Answers questions about the node itself, each with a status and a text: whether it is ready, what
//! it has counted. A listener answers every path alike, until the process ends.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use bytes::Bytes;
use firshore_adapter::configuration::CallerLimits;
use firshore_gateway::caller_connection::{CallerConnection, Incoming};
use std::future::pending;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// What a listener answers.
pub struct StatusResponse {
    /// Status.
    pub status: StatusCode,
    /// Text, empty where the status says all.
    pub text: String,
}

/// Answers with what `answer` returns at that moment.
pub async fn accept(listener: TcpListener, answer: impl Fn() -> StatusResponse + 'static) {
    let answer = Rc::new(answer);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, answer.clone()));
        }
    }
}

async fn serve(stream: TcpStream, answer: Rc<impl Fn() -> StatusResponse>) {
    let mut connection = CallerConnection::new(stream);
    let limits = CallerLimits::default();
    while let Incoming::Request(_) = connection.read_request(&limits, pending()).await {
        let StatusResponse { status, text } = answer();
        let mut headers = HeaderMap::new();
        if !text.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(TEXT));
        }
        let size = BodySize::Sized(text.len() as u64);
        connection.put_head(status, headers, size, false);
        connection.put_chunk(Bytes::from(text));
        connection.put_end();
        if connection.flush().await.is_err() || !connection.keeps_open() {
            return;
        }
    }
}

/// Content type of the text format of Prometheus.
const TEXT: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
