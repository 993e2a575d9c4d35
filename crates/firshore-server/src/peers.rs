//! Connections between nodes: a listener that answers peers and a client that asks them.

use crate::configuration;
use crate::limits;
use crate::membership;
use crate::shared::Shared;
use firshore_protocol::error::ProtocolError;
use firshore_protocol::frame::{self, MAXIMUM_FRAME_BYTES};
use firshore_protocol::handshake::{self, ClusterSecret};
use firshore_protocol::message::{
    JournalRefusal, NOTICE, Request, RequestFrame, Response, ResponseFrame,
};
use quick_error::quick_error;
use slog::{info, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const QUEUE_LENGTH: usize = 1024;

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

struct Call {
    address: SocketAddr,
    request: Request,
    answer: Option<oneshot::Sender<Result<Response, PeerError>>>,
}

impl Call {
    fn settle(self, result: Result<Response, PeerError>) {
        if let Some(answer) = self.answer {
            let _ = answer.send(result);
        }
    }
}

/// Handle through which any thread asks peers.
#[derive(Clone)]
pub struct PeerClient {
    calls: mpsc::Sender<Call>,
}

/// The receiving end of a [`PeerClient`], to be run by the node.
pub struct PeerCalls {
    receiver: mpsc::Receiver<Call>,
}

impl PeerClient {
    /// A client and the end that serves it.
    pub fn new() -> (Self, PeerCalls) {
        let (calls, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Self { calls }, PeerCalls { receiver })
    }

    /// Sends a request that has no answer; it is dropped where calls would have to wait.
    pub fn notify(&self, address: SocketAddr, request: Request) {
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
    pub async fn call(&self, address: SocketAddr, request: Request) -> Result<Response, PeerError> {
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

type Waiting = Rc<RefCell<HashMap<u64, oneshot::Sender<Result<Response, PeerError>>>>>;

/// Serves a client's calls, over one connection a peer, until every handle is gone.
pub async fn run_client(mut calls: PeerCalls, secret: ClusterSecret) {
    let mut connections: HashMap<SocketAddr, mpsc::Sender<Call>> = HashMap::new();
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

async fn open(address: SocketAddr, secret: &ClusterSecret) -> Result<TcpStream, ProtocolError> {
    let mut stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    timeout(CONNECT_TIMEOUT, handshake::connect(&mut stream, secret))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    Ok(stream)
}

async fn run_connection(
    address: SocketAddr,
    mut calls: mpsc::Receiver<Call>,
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
    let waiting: Waiting = Rc::default();
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

async fn read_answers(mut reader: OwnedReadHalf, waiting: Waiting) {
    while let Ok(frame) = frame::read::<ResponseFrame>(&mut reader, MAXIMUM_FRAME_BYTES).await {
        let answer = waiting.borrow_mut().remove(&frame.correlation);
        if let Some(answer) = answer {
            let _ = answer.send(Ok(frame.response));
        }
    }
}

/// Accepts peers until the node ends.
pub async fn run_listener(listener: TcpListener, shared: Arc<Shared>) {
    let log = shared.log.new(slog::o!("part" => "peers"));
    loop {
        let Ok((stream, address)) = listener.accept().await else {
            continue;
        };
        let shared = shared.clone();
        let log = log.clone();
        actix_rt::spawn(async move {
            match serve_peer(stream, shared).await {
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

async fn serve_peer(mut stream: TcpStream, shared: Arc<Shared>) -> Result<(), ProtocolError> {
    stream.set_nodelay(true)?;
    let secret = ClusterSecret(shared.settings.cluster.secret.clone().into_bytes());
    timeout(CONNECT_TIMEOUT, handshake::accept(&mut stream, &secret))
        .await
        .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
    let (mut reader, writer) = stream.into_split();
    let (answers, queue) = mpsc::channel(QUEUE_LENGTH);
    actix_rt::spawn(write_answers(writer, queue));
    loop {
        let frame: RequestFrame = frame::read(&mut reader, MAXIMUM_FRAME_BYTES).await?;
        if let Request::Gossip(envelope) = frame.request {
            membership::received(&shared, envelope);
            continue;
        }
        if let Request::LoadDigest(digest) = &frame.request {
            let now = shared.clock.now();
            shared.router.lock().digest(now, digest);
            continue;
        }
        if let Request::OnlineArrival(engine) = frame.request {
            shared.online_arrivals.received(engine);
            continue;
        }
        if let Request::Replication {
            group,
            node,
            envelope,
        } = frame.request
        {
            if let Some(journal) = &shared.journal {
                journal.received(group, node, envelope);
            }
            continue;
        }
        let shared = shared.clone();
        let answers = answers.clone();
        actix_rt::spawn(async move {
            let response = answer(&shared, frame.request).await;
            let _ = answers
                .send(ResponseFrame {
                    correlation: frame.correlation,
                    response,
                })
                .await;
        });
    }
}

async fn write_answers(mut writer: OwnedWriteHalf, mut queue: mpsc::Receiver<ResponseFrame>) {
    while let Some(frame) = queue.recv().await {
        if frame::write(&mut writer, &frame).await.is_err() {
            return;
        }
    }
}

async fn answer(shared: &Arc<Shared>, request: Request) -> Response {
    match request {
        Request::Journal { group, request } => match &shared.journal {
            Some(journal) => journal.answer(group, request).await,
            None => Response::Refused(JournalRefusal::NotLeader { leader: None }),
        },
        Request::Configuration { from, message } => {
            Response::Configuration(configuration::answer(shared, from, message))
        }
        Request::MachineList { from, message } => {
            Response::MachineList(configuration::machines::answer(shared, from, message))
        }
        Request::LimitDemands { from, demands } => {
            Response::LimitGrants(limits::answer(shared, from, &demands))
        }
        Request::ConfigurationInForce => {
            Response::ConfigurationInForce(configuration::status::own(shared))
        }
        Request::ReplicaIdentity(group) => {
            let journal = shared.journal.as_ref();
            Response::ReplicaIdentity(journal.and_then(|journal| journal.identity(group)))
        }
        Request::Replication { .. }
        | Request::Gossip(_)
        | Request::LoadDigest(_)
        | Request::OnlineArrival(_) => Response::Received,
    }
}
