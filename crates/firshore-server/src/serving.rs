//! The HTTP servers of a node.

use crate::gateway::connection::CallerStream;
use crate::leaving::Phase;
use crate::shared::Shared;
use crate::{admin as admin_interface, gateway};
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive};
use actix_server::Server;
use actix_service::{ServiceFactoryExt, fn_service};
use socket2::{SockFilter, SockRef};
use std::future::ready;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Filter instruction that returns a constant (`BPF_RET | BPF_K`).
const BPF_RETURN_CONSTANT: u16 = 0x06;

/// Bytes of a packet that a filter keeps: none, so the packet is dropped.
const BPF_DROP: u32 = 0;

const KEEP_ALIVE: Duration = Duration::from_secs(60);

/// Longest time for the head of a request to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Time in which the rest of a refused body is read and dropped, so that the answer to it is
/// not lost by a reset.
const LINGER: Duration = Duration::from_secs(2);

/// Serves callers. Once the node closes, idle connections end at once and others with their
/// answer.
pub fn callers(shared: &Arc<Shared>, listener: TcpListener) -> Server {
    let limits = &shared.settings.limits;
    let shared = shared.clone();
    Server::build()
        .workers(limits.workers)
        .shutdown_timeout(limits.leave_seconds)
        .disable_signals()
        .listen("callers", listener, move || {
            let shared = shared.clone();
            let leaving = shared.clone();
            let http = HttpService::build()
                .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
                .client_request_timeout(HEAD_TIMEOUT)
                .client_disconnect_timeout(LINGER)
                .graceful_shutdown_signal(move || leaving.leaving.reached(Phase::Closing))
                .on_connect_ext(|stream: &CallerStream, extensions| {
                    extensions.insert(stream.connection());
                })
                .h1(move |request| gateway::handle(shared.clone(), request));
            fn_service(|stream: TcpStream| {
                // Without this each token of a stream waits for the acknowledgement of the last.
                let _ = stream.set_nodelay(true);
                let peer = stream.peer_addr().ok();
                ready(Ok::<_, DispatchError>((CallerStream::new(stream), peer)))
            })
            .and_then(http)
        })
        .expect("the listener is bound")
        .run()
}

/// Lets no new connection arrive at `listener`, while those that have arrived are still accepted.
///
/// Closing a listener resets the connections that wait to be accepted, and with them requests whose
/// senders saw their connection made. So new handshakes are dropped first: their senders try again
/// a second later and are then refused, which tells them that nothing was run.
pub fn stop_arrivals(listener: &TcpListener) -> io::Result<()> {
    let drop_all = SockFilter::new(BPF_RETURN_CONSTANT, 0, 0, BPF_DROP);
    SockRef::from(listener).attach_filter(&[drop_all])
}

/// Serves operators.
pub fn admin(shared: &Arc<Shared>, listener: TcpListener) -> Server {
    let shared = shared.clone();
    Server::build()
        .workers(1)
        .disable_signals()
        .listen("admin", listener, move || {
            let shared = shared.clone();
            HttpService::build()
                .finish(move |request| admin_interface::handle(shared.clone(), request))
                .tcp()
        })
        .expect("the listener is bound")
        .run()
}
