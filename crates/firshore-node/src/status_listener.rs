//! HTTP listeners for the node's readiness and metrics. A listener returns the same response for every path, until
//! the process exits.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use bytes::Bytes;
use firshore_adapter::configuration::CallerLimits;
use firshore_exchange::socket_buffers;
use firshore_gateway::answer_end::CompleteAnswer;
use firshore_gateway::caller_connection::{CallerConnection, Incoming};
use firshore_gateway::input_account::InputAccount;
use firshore_gateway::input_budget::InputLimits;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Bounds on a listener's connections and their input.
const INPUT_LIMITS: InputLimits = InputLimits {
    bytes: 1024 * 1024,
    connections: 64,
};

/// Backoff after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum size of a body, in bytes; those who ask for the status send none.
const MAX_BODY_BYTES: usize = 4 * 1024;

/// Time within which a body must arrive.
const BODY_TIME: Duration = Duration::from_secs(5);

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
    // If this fails, the buffers stay as the system sets them.
    let _ = socket_buffers::bound(&listener);
    let input = InputAccount::new(INPUT_LIMITS);
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                // Beyond the limit, connections are closed at once.
                if let Some(lease) = input.open() {
                    let connection = CallerConnection::new(stream, lease);
                    actix_rt::spawn(serve(connection, response.clone()));
                }
            }
            // Mostly caused by missing file descriptors.
            Err(_) => actix_rt::time::sleep(ACCEPT_BACKOFF).await,
        }
    }
}

async fn serve(mut connection: CallerConnection, response: Rc<impl Fn() -> StatusResponse>) {
    let limits = CallerLimits {
        body_bytes: MAX_BODY_BYTES,
        ..CallerLimits::default()
    };
    loop {
        let reading = connection.read_request(&limits, pending(), |_| BODY_TIME);
        let Incoming::Request(_) = reading.await else {
            return;
        };
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
