//! Runs an HTTP server on a thread of its own.

use actix_http::body::BoxBody;
use actix_http::{HttpService, Request, Response};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};

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
                        let handler = handler.clone();
                        HttpService::build().finish(handler).tcp()
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
        drop(self.handle.stop(false));
        let _ = self.thread.join();
    }

    /// Waits until the server ends.
    pub fn join(self) {
        let _ = self.thread.join();
    }
}
