//! Puts a node together and runs it until it is told to stop.

use crate::clock::Clock;
use crate::journal::Journal;
use crate::peers::{self, PeerClient};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{admin, batch_runner, configuration, gateway, membership};
use actix_http::{HttpService, KeepAlive};
use firshore_config::dissemination::Dissemination;
use firshore_membership::member::{Member, MemberState};
use firshore_membership::membership::Membership;
use firshore_protocol::handshake::ClusterSecret;
use firshore_routing::endpoint::Locality;
use firshore_routing::router::Router;
use firshore_types::ids::InstanceId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Logger, info};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc;

/// Time for peers to hear that the node leaves before it closes its listeners.
const LEAVE_GRACE: Duration = Duration::from_millis(1500);

/// Longest time that running requests get to finish after the listeners are closed, in seconds.
const SHUTDOWN_SECONDS: u64 = 5;

/// A running node.
pub struct Node {
    /// Callers' address.
    pub callers: SocketAddr,
    /// Peers' address.
    pub peers: SocketAddr,
    /// Operators' address.
    pub admin: SocketAddr,
    /// Its tables.
    pub shared: Arc<Shared>,
    stop: mpsc::Sender<()>,
    thread: JoinHandle<()>,
}

impl Node {
    /// Binds the node's sockets and runs it on threads of its own.
    pub fn start(settings: Settings, log: Logger) -> io::Result<Self> {
        let callers = TcpListener::bind(settings.listen.callers)?;
        let peers = TcpListener::bind(settings.listen.peers)?;
        let admin = TcpListener::bind(settings.listen.admin)?;
        peers.set_nonblocking(true)?;
        let (peer_client, calls) = PeerClient::new();
        let own = Member {
            instance: InstanceId(rand::rng().random()),
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            peer_address: match settings.listen.advertised_peers {
                Some(address) => address,
                None => peers.local_addr()?,
            },
            has_disk: settings.storage.is_some(),
            state: MemberState::Alive,
            incarnation: 0,
        };
        let peer = configuration::peer_of(&own);
        let dissemination = Dissemination::new(peer, rand::rng().random());
        let clock = Clock::start();
        let members = Membership::new(
            clock.now(),
            own,
            settings.cluster.seeds.clone(),
            StdRng::seed_from_u64(rand::rng().random()),
        );
        let locality = Locality {
            region: settings.region.clone(),
            zone: settings.zone.clone(),
        };
        let shared = Arc::new(Shared {
            log,
            clock,
            dissemination: dissemination.into(),
            floor: Default::default(),
            refused_change: Default::default(),
            configuration: Default::default(),
            machines: Default::default(),
            members: members.into(),
            router: Router::new(locality).into(),
            peers: peer_client,
            journal: settings.storage.is_some().then(Journal::default),
            leaving: Default::default(),
            metrics: Default::default(),
            settings,
        });
        let (stop, stopped) = mpsc::channel(1);
        let node = Self {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            admin: admin.local_addr()?,
            shared: shared.clone(),
            stop,
            thread: std::thread::Builder::new()
                .name("node".to_owned())
                .spawn(move || {
                    let sockets = Sockets {
                        callers,
                        peers,
                        admin,
                    };
                    actix_rt::System::new().block_on(run(shared, sockets, calls, stopped));
                })?,
        };
        Ok(node)
    }

    /// Asks the node to leave; it finishes what it runs.
    pub fn stop(&self) {
        let _ = self.stop.try_send(());
    }

    /// Waits until the node has ended.
    pub fn join(self) {
        let _ = self.thread.join();
    }

    /// A handle that asks the node to leave.
    pub fn stopper(&self) -> mpsc::Sender<()> {
        self.stop.clone()
    }
}

struct Sockets {
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
}

async fn run(
    shared: Arc<Shared>,
    sockets: Sockets,
    calls: peers::PeerCalls,
    mut stopped: mpsc::Receiver<()>,
) {
    let log = shared.log.new(slog::o!("part" => "node"));
    let secret = ClusterSecret(shared.settings.cluster.secret.clone().into_bytes());
    let peer_listener =
        tokio::net::TcpListener::from_std(sockets.peers).expect("the listener is non-blocking");
    actix_rt::spawn(peers::run_client(calls, secret));
    actix_rt::spawn(peers::run_listener(peer_listener, shared.clone()));
    actix_rt::spawn(membership::run(shared.clone()));
    actix_rt::spawn(configuration::run(shared.clone()));
    actix_rt::spawn(configuration::floor::run(shared.clone()));
    actix_rt::spawn(configuration::machines::run(shared.clone()));
    let runner = actix_rt::spawn(batch_runner::run(shared.clone()));
    let server = serve(shared.clone(), sockets.callers, sockets.admin);
    let handle = server.handle();
    let serving = actix_rt::spawn(server);
    info!(log, "node: Serving."; "name" => %shared.settings.name, "zone" => %shared.settings.zone);
    let _ = stopped.recv().await;
    info!(log, "node: Leaving.");
    shared.leaving.store(true, Ordering::Relaxed);
    membership::leave(&shared);
    actix_rt::time::sleep(LEAVE_GRACE).await;
    handle.stop(true).await;
    let _ = serving.await;
    let _ = runner.await;
    info!(log, "node: Stopped.");
}

fn serve(shared: Arc<Shared>, callers: TcpListener, admin: TcpListener) -> actix_server::Server {
    let for_callers = shared.clone();
    let for_admin = shared.clone();
    actix_server::Server::build()
        .workers(shared.settings.limits.workers)
        .shutdown_timeout(SHUTDOWN_SECONDS)
        .disable_signals()
        .listen("callers", callers, move || {
            let shared = for_callers.clone();
            HttpService::build()
                .keep_alive(KeepAlive::Timeout(Duration::from_secs(60)))
                .client_request_timeout(Duration::from_secs(10))
                .finish(move |request| gateway::handle(shared.clone(), request))
                .tcp()
        })
        .expect("the listener is bound")
        .listen("admin", admin, move || {
            let shared = for_admin.clone();
            HttpService::build()
                .finish(move |request| admin::handle(shared.clone(), request))
                .tcp()
        })
        .expect("the listener is bound")
        .run()
}
