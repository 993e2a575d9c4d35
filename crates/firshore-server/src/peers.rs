//! What the node does with its peers' messages.

use crate::configuration;
use crate::limits;
use crate::membership;
use crate::shared::Shared;
use firshore_link::client;
pub use firshore_link::client::PeerError;
use firshore_link::handshake::ClusterSecret;
use firshore_link::listener::{self, Handler};
use firshore_protocol::message::{JournalRefusal, Request, Response};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;

/// Handle through which any thread asks peers.
pub type PeerClient = client::PeerClient<Request, Response>;

/// The receiving end of a [`PeerClient`], to be run by the node.
pub type PeerCalls = client::PeerCalls<Request, Response>;

struct Peers {
    shared: Arc<Shared>,
}

/// Serves a client's calls until every handle is gone.
pub async fn run_client(calls: PeerCalls, secret: ClusterSecret) {
    client::run(calls, secret).await;
}

/// Accepts peers until the node ends.
pub async fn run_listener(listener: TcpListener, shared: Arc<Shared>) {
    let log = shared.log.new(slog::o!("part" => "peers"));
    let secret = ClusterSecret(shared.settings.cluster.secret.clone().into_bytes());
    listener::run(listener, secret, Rc::new(Peers { shared }), log).await;
}

impl Handler<Request, Response> for Peers {
    fn notice(&self, request: Request) {
        let shared = &self.shared;
        match request {
            Request::Gossip(envelope) => membership::received(shared, envelope),
            Request::LoadDigest(digest) => {
                let now = shared.clock.now();
                shared.router.lock().apply_digest(now, &digest);
            }
            Request::OnlineArrival(engine) => shared.online_arrivals.received(engine),
            Request::Replication {
                group,
                node,
                envelope,
            } => {
                if let Some(journal) = &shared.journal {
                    journal.received(group, node, envelope);
                }
            }
            _ => {}
        }
    }

    fn answer(&self, request: Request) -> LocalBoxFuture<'static, Response> {
        let shared = self.shared.clone();
        async move { answer(&shared, request).await }.boxed_local()
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
