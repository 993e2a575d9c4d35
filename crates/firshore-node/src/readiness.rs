//! Tells whoever asks whether the node takes new connections.

use actix_http::StatusCode;
use actix_http::body::BodySize;
use actix_http::header::HeaderMap;
use firshore_adapter::configuration::CallerLimits;
use firshore_gateway::caller_connection::{CallerConnection, Incoming};
use firshore_gateway::gateway::Gateway;
use std::future::pending;
use std::rc::Rc;
use tokio::net::{TcpListener, TcpStream};

/// Answers until the process ends: a node that leaves says so.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            actix_rt::spawn(serve(gateway.clone(), stream));
        }
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream) {
    let mut connection = CallerConnection::new(stream);
    let limits = CallerLimits::default();
    while let Incoming::Request(_) = connection.read_request(&limits, pending()).await {
        let ready = gateway.is_ready() && !gateway.leaving.is_leaving();
        let status = match ready {
            true => StatusCode::OK,
            false => StatusCode::SERVICE_UNAVAILABLE,
        };
        connection.put_head(status, HeaderMap::new(), BodySize::Sized(0), false);
        if connection.flush().await.is_err() || !connection.keeps_open() {
            return;
        }
    }
}
