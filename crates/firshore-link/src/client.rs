//! Client of peers: sends requests and notices over one connection per peer.

use crate::error::ProtocolError;
use crate::frame::{self, MAX_FRAME_BYTES};
use crate::handshake::{self, ClusterSecret};
use crate::{NOTICE, RequestFrame, ResponseFrame};
use firshore_exchange::keep_alive;
use futures_util::future::LocalBoxFuture;
use quick_error::quick_error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// Limit for opening a connection, and again for its handshake.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit for a call from its entry into the client's queue until its response.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum number of messages in each queue.
pub(crate) const QUEUE_CAPACITY: usize = 1024;

/// Free queue slots below which notices are dropped, so that they cannot displace calls.
const RESERVED_FOR_CALLS: usize = QUEUE_CAPACITY / 2;

/// Time without a call or notice after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

quick_error! {
    /// Failure to get a response from a peer.
    #[derive(Debug)]
    pub enum PeerError {
        /// The request was not sent.
        NotSent {
            display("The peer could not be reached. It may be down; try another peer.")
        }
        /// The request was sent; whether it took effect is unknown.
        Unanswered {
            display("The peer did not respond; the request may have taken effect. Check before you retry.")
        }
    }
}

/// Content of a request or response: any type that serde can encode and decode.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {}

impl<T: Serialize + DeserializeOwned + Send + 'static> Message for T {}

type ResponseSender<A> = oneshot::Sender<Result<A, PeerError>>;

struct Call<Q, A> {
    address: SocketAddr,
    request: Q,
    response: Option<ResponseSender<A>>,
}

impl<Q, A> Call<Q, A> {
    fn complete(self, result: Result<A, PeerError>) {
        if let Some(sender) = self.response {
            let _ = sender.send(result);
        }
    }
}

/// Handle through which any thread sends requests and notices to peers.
pub struct PeerClient<Q, A> {
    calls: mpsc::Sender<Call<Q, A>>,
}

impl<Q, A> Clone for PeerClient<Q, A> {
    fn clone(&self) -> Self {
        Self {
            calls: self.calls.clone(),
        }
    }
}

/// Receiving end of a [`PeerClient`], served by [`run`] or [`serve_with`].
pub struct PeerCalls<Q, A> {
    receiver: mpsc::Receiver<Call<Q, A>>,
}

impl<Q: Message, A: Message> PeerClient<Q, A> {
    /// Returns a client and its receiving end.
    pub fn new() -> (Self, PeerCalls<Q, A>) {
        let (calls, receiver) = mpsc::channel(QUEUE_CAPACITY);
        (Self { calls }, PeerCalls { receiver })
    }

    /// Sends a notice, which has no response. It is dropped if fewer than half of the queue slots are free.
    pub fn notify(&self, address: SocketAddr, request: Q) {
        if self.calls.capacity() < RESERVED_FOR_CALLS {
            return;
        }
        let _ = self.calls.try_send(Call {
            address,
            request,
            response: None,
        });
    }

    /// Sends a request and waits for its response, up to 10 seconds once the request is queued.
    ///
    /// # Errors
    ///
    /// [`PeerError::NotSent`] if the request did not leave this node, [`PeerError::Unanswered`] if no
    /// response arrived, in which case it is unknown whether the request took effect.
    pub async fn call(&self, address: SocketAddr, request: Q) -> Result<A, PeerError> {
        let (response, received) = oneshot::channel();
        let call = Call {
            address,
            request,
            response: Some(response),
        };
        self.calls
            .send(call)
            .await
            .map_err(|_| PeerError::NotSent)?;
        match timeout(CALL_TIMEOUT, received).await {
            Ok(Ok(result)) => result,
            _ => Err(PeerError::Unanswered),
        }
    }
}

type PendingCalls<A> = Rc<RefCell<HashMap<u64, ResponseSender<A>>>>;

/// Serves a client's calls over one connection per peer, until every handle is dropped.
pub async fn run<Q: Message, A: Message>(mut calls: PeerCalls<Q, A>, secret: ClusterSecret) {
    let mut connections: HashMap<SocketAddr, mpsc::Sender<Call<Q, A>>> = HashMap::new();
    while let Some(call) = calls.receiver.recv().await {
        let address = call.address;
        let existing = connections
            .get(&address)
            .filter(|sender| !sender.is_closed())
            .cloned();
        let sender = existing.unwrap_or_else(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_CAPACITY);
            actix_rt::spawn(run_connection(address, receiver, secret.clone()));
            connections.insert(address, sender.clone());
            sender
        });
        if call.response.is_none() && sender.capacity() < RESERVED_FOR_CALLS {
            continue;
        }
        if let Err(error) = sender.try_send(call) {
            error.into_inner().complete(Err(PeerError::NotSent));
        }
    }
}

/// Serves a client's calls with a function instead of connections until every handle is dropped, for
/// simulations. The function also receives notices; its responses to them are discarded.
pub async fn serve_with<Q: Message, A: Message>(
    mut calls: PeerCalls<Q, A>,
    handler: impl Fn(SocketAddr, Q) -> LocalBoxFuture<'static, Result<A, PeerError>>,
) {
    while let Some(call) = calls.receiver.recv().await {
        let response_future = handler(call.address, call.request);
        let sender = call.response;
        actix_rt::spawn(async move {
            let result = response_future.await;
            if let Some(sender) = sender {
                let _ = sender.send(result);
            }
        });
    }
}

async fn open(address: SocketAddr, secret: &ClusterSecret) -> Result<TcpStream, ProtocolError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    keep_alive::configure(&stream)?;
    timeout(CONNECT_TIMEOUT, handshake::connect(&mut stream, secret))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    Ok(stream)
}

async fn run_connection<Q: Message, A: Message>(
    address: SocketAddr,
    mut calls: mpsc::Receiver<Call<Q, A>>,
    secret: ClusterSecret,
) {
    let Ok(stream) = open(address, &secret).await else {
        calls.close();
        while let Some(call) = calls.recv().await {
            call.complete(Err(PeerError::NotSent));
        }
        return;
    };
    let (reader, mut writer) = stream.into_split();
    let pending: PendingCalls<A> = Rc::default();
    let mut read_task = actix_rt::spawn(read_responses(reader, pending.clone()));
    let mut correlation = 0;
    loop {
        let call = tokio::select! {
            call = timeout(IDLE_TIMEOUT, calls.recv()) => call.unwrap_or_default(),
            _ = &mut read_task => None,
        };
        let Some(call) = call else { break };
        let correlation_id = match call.response {
            Some(sender) => {
                correlation += 1;
                pending.borrow_mut().insert(correlation, sender);
                correlation
            }
            None => NOTICE,
        };
        let frame = RequestFrame {
            correlation: correlation_id,
            request: call.request,
        };
        if frame::write(&mut writer, &frame).await.is_err() {
            break;
        }
    }
    read_task.abort();
    calls.close();
    while let Some(call) = calls.recv().await {
        call.complete(Err(PeerError::NotSent));
    }
    for (_, sender) in pending.borrow_mut().drain() {
        let _ = sender.send(Err(PeerError::Unanswered));
    }
}

async fn read_responses<A: Message>(mut reader: OwnedReadHalf, pending: PendingCalls<A>) {
    while let Ok(frame) = frame::read::<ResponseFrame<A>>(&mut reader, MAX_FRAME_BYTES).await {
        let sender = pending.borrow_mut().remove(&frame.correlation);
        if let Some(sender) = sender {
            let _ = sender.send(Ok(frame.response));
        }
    }
}
