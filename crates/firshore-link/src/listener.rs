//! Accepts connections from peers and serves their requests.

use crate::client::{CONNECT_TIMEOUT, Message, QUEUE_CAPACITY};
use crate::error::ProtocolError;
use crate::frame::{self, MAX_FRAME_BYTES};
use crate::handshake::{self, ClusterSecret};
use crate::{NOTICE, RequestFrame, ResponseFrame};
use firshore_exchange::keep_alive;
use futures_util::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// Backoff after a failed accept, which is mostly caused by missing file descriptors.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Handles requests and notices from peers.
pub trait Handler<Q, A>: 'static {
    /// Handles a notice. Notices of a connection are handled in order of arrival.
    fn notice(&self, request: Q);

    /// Returns the response to a request. Several requests are in flight at once.
    fn answer(&self, request: Q) -> LocalBoxFuture<'static, A>;
}

/// Accepts connections from peers; never returns.
pub async fn run<Q: Message, A: Message>(
    listener: TcpListener,
    secret: ClusterSecret,
    handler: Rc<dyn Handler<Q, A>>,
    log: Logger,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            actix_rt::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let (secret, handler, log) = (secret.clone(), handler.clone(), log.clone());
        actix_rt::spawn(async move {
            match serve(stream, &secret, handler).await {
                Err(ProtocolError::Io(error)) => {
                    info!(log, "peers: Connection ended."; "peer" => %address, "reason" => %error);
                }
                Err(error) => {
                    warn!(log, "peers: Connection refused."; "peer" => %address, "reason" => %error);
                }
                Ok(()) => {}
            }
        });
    }
}

async fn serve<Q: Message, A: Message>(
    mut stream: TcpStream,
    secret: &ClusterSecret,
    handler: Rc<dyn Handler<Q, A>>,
) -> Result<(), ProtocolError> {
    keep_alive::configure(&stream)?;
    timeout(CONNECT_TIMEOUT, handshake::accept(&mut stream, secret))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let (mut reader, writer) = stream.into_split();
    let (responses, queue) = mpsc::channel(QUEUE_CAPACITY);
    actix_rt::spawn(write_responses(writer, queue));
    loop {
        let frame: RequestFrame<Q> = frame::read(&mut reader, MAX_FRAME_BYTES).await?;
        if frame.correlation == NOTICE {
            handler.notice(frame.request);
            continue;
        }
        let response_future = handler.answer(frame.request);
        let responses = responses.clone();
        actix_rt::spawn(async move {
            let response = response_future.await;
            let _ = responses
                .send(ResponseFrame {
                    correlation: frame.correlation,
                    response,
                })
                .await;
        });
    }
}

async fn write_responses<A: Message>(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<ResponseFrame<A>>,
) {
    while let Some(frame) = queue.recv().await {
        if frame::write(&mut writer, &frame).await.is_err() {
            return;
        }
    }
}
