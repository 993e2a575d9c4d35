//! HTTP listeners for the node's readiness and metrics. A listener returns the same response for every path, until
//! the process exits.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use bytes::Bytes;
use firshore_adapter::configuration::CallerLimits;
use firshore_gateway::answer_end::CompleteAnswer;
use firshore_gateway::caller_connection::{CallerConnection, Incoming};
use std::future::pending;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Response of a listener.
pub struct StatusResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Body; may be empty.
    pub text: String,
}

/// Accepts connections and answers each request with the result of `response`.
pub async fn accept(listener: TcpListener, response: impl Fn() -> StatusResponse + 'static) {
    let response = Rc::new(response);
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(stream, response.clone()));
        }
    }
}

async fn serve(stream: TcpStream, response: Rc<impl Fn() -> StatusResponse>) {
    let mut connection = CallerConnection::new(stream);
    let limits = CallerLimits::default();
    while let Incoming::Request(_) = connection.read_request(&limits, pending()).await {
        let StatusResponse { status, text } = response();
        let mut headers = HeaderMap::new();
        if !text.is_empty() {
            headers.insert(CONTENT_TYPE, HeaderValue::from_static(METRICS_CONTENT_TYPE));
        }
        let size = BodySize::Sized(text.len() as u64);
        connection.put_head(status, headers, size, false);
        connection.put_chunk(Bytes::from(text));
        connection.put_end(CompleteAnswer::local());
        if connection.flush().await.is_err() || !connection.keeps_open() {
            return;
        }
    }
}

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
