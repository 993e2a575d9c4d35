//! Asks peers, over one connection each.

use crate::error::ProtocolError;
use crate::frame::{self, MAXIMUM_FRAME_BYTES};
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

pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
pub(crate) const QUEUE_LENGTH: usize = 1024;

/// Free places that a notice leaves in a queue, so that gossip is dropped before work.
const RESERVED_FOR_CALLS: usize = QUEUE_LENGTH / 2;

/// Time without a call after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

quick_error! {
    /// Why a peer gave no answer.
    #[derive(Debug)]
    pub enum PeerError {
        /// The request was not sent.
        NotSent {
            display("The peer could not be reached. It may be down; try another.")
        }
        /// The request was sent; whether it took effect is unknown.
        Unanswered {
            display("The peer did not answer. Ask again before acting.")
        }
    }
}

/// A message of the product's own. Anything that serde handles is one.
pub trait Message: Serialize + DeserializeOwned + Send + 'static {}

impl<T: Serialize + DeserializeOwned + Send + 'static> Message for T {}

type Settled<A> = oneshot::Sender<Result<A, PeerError>>;

struct Call<Q, A> {
    address: SocketAddr,
    request: Q,
    answer: Option<Settled<A>>,
}

impl<Q, A> Call<Q, A> {
    fn settle(self, result: Result<A, PeerError>) {
        if let Some(answer) = self.answer {
            let _ = answer.send(result);
        }
    }
}

/// Handle through which any thread asks peers.
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

/// The receiving end of a [`PeerClient`], to be run by the node.
pub struct PeerCalls<Q, A> {
    receiver: mpsc::Receiver<Call<Q, A>>,
}

impl<Q: Message, A: Message> PeerClient<Q, A> {
    /// A client and the end that serves it.
    pub fn new() -> (Self, PeerCalls<Q, A>) {
        let (calls, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { calls }, PeerCalls { receiver })
    }

    /// Sends a request that has no answer; it is dropped where calls would have to wait.
    pub fn notify(&self, address: SocketAddr, request: Q) {
        if self.calls.capacity() < RESERVED_FOR_CALLS {
            return;
        }
        let _ = self.calls.try_send(Call {
            address,
            request,
            answer: None,
        });
    }

    /// Sends a request and waits for its answer.
    pub async fn call(&self, address: SocketAddr, request: Q) -> Result<A, PeerError> {
        let (answer, received) = oneshot::channel();
        let call = Call {
            address,
            request,
            answer: Some(answer),
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

type Waiting<A> = Rc<RefCell<HashMap<u64, Settled<A>>>>;

/// Serves a client's calls, over one connection a peer, until every handle is gone.
pub async fn run<Q: Message, A: Message>(mut calls: PeerCalls<Q, A>, secret: ClusterSecret) {
    let mut connections: HashMap<SocketAddr, mpsc::Sender<Call<Q, A>>> = HashMap::new();
    while let Some(call) = calls.receiver.recv().await {
        let address = call.address;
        let open = connections
            .get(&address)
            .filter(|sender| !sender.is_closed())
            .cloned();
        let sender = open.unwrap_or_else(|| {
            let (sender, receiver) = mpsc::channel(QUEUE_LENGTH);
            actix_rt::spawn(run_connection(address, receiver, secret.clone()));
            connections.insert(address, sender.clone());
            sender
        });
        if call.answer.is_none() && sender.capacity() < RESERVED_FOR_CALLS {
            continue;
        }
        if let Err(refused) = sender.try_send(call) {
            refused.into_inner().settle(Err(PeerError::NotSent));
        }
    }
}

/// Serves a client's calls by a function instead of connections until every handle is gone, for
/// simulations. Notices are served too; what the function answers them is dropped.
pub async fn serve_with<Q: Message, A: Message>(
    mut calls: PeerCalls<Q, A>,
    answer: impl Fn(SocketAddr, Q) -> LocalBoxFuture<'static, Result<A, PeerError>>,
) {
    while let Some(call) = calls.receiver.recv().await {
        let answering = answer(call.address, call.request);
        let settled = call.answer;
        actix_rt::spawn(async move {
            let result = answering.await;
            if let Some(settled) = settled {
                let _ = settled.send(result);
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
            call.settle(Err(PeerError::NotSent));
        }
        return;
    };
    let (reader, mut writer) = stream.into_split();
    let waiting: Waiting<A> = Rc::default();
    let mut reading = actix_rt::spawn(read_answers(reader, waiting.clone()));
    let mut correlation = 0;
    loop {
        let call = tokio::select! {
            call = timeout(IDLE_TIMEOUT, calls.recv()) => call.unwrap_or_default(),
            _ = &mut reading => None,
        };
        let Some(call) = call else { break };
        let number = match call.answer {
            Some(answer) => {
                correlation += 1;
                waiting.borrow_mut().insert(correlation, answer);
                correlation
            }
            None => NOTICE,
        };
        let frame = RequestFrame {
            correlation: number,
            request: call.request,
        };
        if frame::write(&mut writer, &frame).await.is_err() {
            break;
        }
    }
    reading.abort();
    calls.close();
    while let Some(call) = calls.recv().await {
        call.settle(Err(PeerError::NotSent));
    }
    for (_, answer) in waiting.borrow_mut().drain() {
        let _ = answer.send(Err(PeerError::Unanswered));
    }
}

async fn read_answers<A: Message>(mut reader: OwnedReadHalf, waiting: Waiting<A>) {
    while let Ok(frame) = frame::read::<ResponseFrame<A>>(&mut reader, MAXIMUM_FRAME_BYTES).await {
        let answer = waiting.borrow_mut().remove(&frame.correlation);
        if let Some(answer) = answer {
            let _ = answer.send(Ok(frame.response));
        }
    }
}
