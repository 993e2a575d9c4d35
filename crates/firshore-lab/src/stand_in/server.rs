//! Runs an HTTP server on threads of its own.

use actix_http::body::{BodyStream, BoxBody};
use actix_http::header::CONTENT_TYPE;
use actix_http::{HttpService, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use bytes::Bytes;
use futures_util::StreamExt;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;

/// Time between two looks at a caller's connection.
const DISCONNECT_POLL: Duration = Duration::from_millis(20);

/// A stand-in's server.
pub struct Server {
    /// Where it listens.
    pub address: SocketAddr,
    handle: actix_server::ServerHandle,
    thread: std::thread::JoinHandle<()>,
}

impl Server {
    /// Serves `handler` on `address` with one worker.
    pub fn start<H, F>(address: SocketAddr, handler: H) -> io::Result<Self>
    where
        H: Fn(Request) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
    {
        Self::start_with(address, || (), handler)
    }

    /// Serves `handler`; the worker's thread runs `on_worker` first, which may spawn tasks there.
    pub fn start_with<W, H, F>(address: SocketAddr, on_worker: W, handler: H) -> io::Result<Self>
    where
        W: Fn() + Clone + Send + 'static,
        H: Fn(Request) -> F + Clone + Send + 'static,
        F: Future<Output = Result<Response<BoxBody>, Infallible>> + 'static,
    {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let (sender, receiver) = std::sync::mpsc::channel();
        let thread = std::thread::spawn(move || {
            actix_rt::System::new().block_on(async move {
                let server = actix_server::Server::build()
                    .workers(1)
                    .disable_signals()
                    .shutdown_timeout(1)
                    .listen("stand-in", listener, move || {
                        on_worker();
                        let handler = handler.clone();
                        HttpService::build()
                            .tcp_nodelay(true)
                            .on_connect_ext(ConnectionWatch::attach)
                            .finish(handler)
                            .tcp()
                    })
                    .expect("the listener is bound")
                    .run();
                let _ = sender.send(server.handle());
                let _ = server.await;
            });
        });
        let handle = receiver
            .recv()
            .map_err(|_| io::Error::other("the server did not start"))?;
        Ok(Self {
            address,
            handle,
            thread,
        })
    }

    /// Stops the server, cutting off what it serves.
    pub fn stop(self) {
        self.begin_stop();
        let _ = self.thread.join();
    }

    /// Asks the server to stop without waiting for it.
    pub fn begin_stop(&self) {
        drop(self.handle.stop(false));
    }

    /// Waits until the server ends.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}

/// A second handle on a caller's connection, to notice that the caller has left before anything
/// is written to it. A half-closed caller counts as gone.
#[derive(Clone)]
pub struct ConnectionWatch(Rc<std::net::TcpStream>);

impl ConnectionWatch {
    fn attach(stream: &TcpStream, data: &mut actix_http::Extensions) {
        if let Ok(descriptor) = stream.as_fd().try_clone_to_owned() {
            data.insert(Self(Rc::new(descriptor.into())));
        }
    }

    /// Whether the caller has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0; 1];
        match self.0.peek(&mut byte) {
            Ok(length) => length == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }

    /// Whether the caller of `request` has left.
    pub fn has_left(request: &Request) -> bool {
        request.conn_data::<Self>().is_some_and(Self::is_closed)
    }

    /// Returns once the caller of `request` has left.
    pub async fn closed(request: &Request) {
        loop {
            actix_rt::time::sleep(DISCONNECT_POLL).await;
            if Self::has_left(request) {
                return;
            }
        }
    }
}

quick_error! {
    /// A fault broke the answer off.
    #[derive(Debug)]
    pub enum BrokenOff {
        /// As the faults said.
        Ordered {
            display("The answer was broken off by a fault set through /faults.")
        }
    }
}

/// An answer whose connection closes before its head is sent.
pub fn broken_off() -> Response<BoxBody> {
    let nothing = futures_util::stream::iter([Err::<Bytes, _>(BrokenOff::Ordered)]);
    Response::new(StatusCode::OK)
        .set_body(BodyStream::new(nothing))
        .map_into_boxed_body()
}

/// A JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<BoxBody> {
    let text = serde_json::to_string(value).expect("state serialises");
    Response::build(status)
        .insert_header((CONTENT_TYPE, "application/json"))
        .body(text)
        .map_into_boxed_body()
}

/// Reads the whole body; `None` when it broke off.
pub async fn read_body(request: &mut Request) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    let mut payload = request.take_payload();
    while let Some(chunk) = payload.next().await {
        body.extend_from_slice(&chunk.ok()?);
    }
    Some(body)
}

/// Reads a JSON body, or gives the answer that tells what is wrong with it.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, Response<BoxBody>> {
    let body = read_body(request).await.unwrap_or_default();
    serde_json::from_slice(&body).map_err(|error| {
        let reason = serde_json::json!({"error": format!("The body is not usable: {error}.")});
        json(StatusCode::BAD_REQUEST, &reason)
    })
}

/// Value of a query parameter, or the empty text.
pub fn query_parameter<'a>(request: &'a Request, name: &str) -> &'a str {
    let query = request.uri().query().unwrap_or("");
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map_or("", |(_, value)| value)
}
