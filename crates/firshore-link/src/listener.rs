//! Answers peers.

use crate::client::{CONNECT_TIMEOUT, Message, QUEUE_LENGTH};
use crate::error::ProtocolError;
use crate::frame::{self, MAXIMUM_FRAME_BYTES};
use crate::handshake::{self, ClusterSecret};
use crate::{NOTICE, RequestFrame, ResponseFrame};
use firshore_exchange::keep_alive;
use futures_util::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

/// What a node does with its peers' messages.
pub trait Handler<Q, A>: 'static {
    /// Takes in a notice; called in order of arrival.
    fn notice(&self, request: Q);

    /// Answers a request; many are under way at once.
    fn answer(&self, request: Q) -> LocalBoxFuture<'static, A>;
}

/// Accepts peers until the node ends.
pub async fn run<Q: Message, A: Message>(
    listener: TcpListener,
    secret: ClusterSecret,
    handler: Rc<dyn Handler<Q, A>>,
    log: Logger,
) {
    loop {
        let Ok((stream, address)) = listener.accept().await else {
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
    let (answers, queue) = mpsc::channel(QUEUE_LENGTH);
    actix_rt::spawn(write_answers(writer, queue));
    loop {
        let frame: RequestFrame<Q> = frame::read(&mut reader, MAXIMUM_FRAME_BYTES).await?;
        if frame.correlation == NOTICE {
            handler.notice(frame.request);
            continue;
        }
        let answering = handler.answer(frame.request);
        let answers = answers.clone();
        actix_rt::spawn(async move {
            let response = answering.await;
            let _ = answers
                .send(ResponseFrame {
                    correlation: frame.correlation,
                    response,
                })
                .await;
        });
    }
}

async fn write_answers<A: Message>(
    mut writer: OwnedWriteHalf,
    mut queue: mpsc::Receiver<ResponseFrame<A>>,
) {
    while let Some(frame) = queue.recv().await {
        if frame::write(&mut writer, &frame).await.is_err() {
            return;
        }
    }
}
