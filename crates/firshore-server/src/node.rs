//! Puts a node together and runs it until it is told to stop.

use crate::clock::Clock;
use crate::engine::cancellation::{self, Cancellations};
use crate::journal::Journal;
use crate::leaving::Phase;
use crate::peers::{self, PeerClient};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{
    admission, batch_runner, configuration, controller, limits, load_exchange, membership, serving,
};
use firshore_config::dissemination::Dissemination;
use firshore_config::machine_list::MachineList;
use firshore_membership::member::{Member, MemberState};
use firshore_membership::membership::Membership;
use firshore_protocol::handshake::ClusterSecret;
use firshore_routing::endpoint::Locality;
use firshore_routing::router::Router;
use firshore_types::ids::InstanceId;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Logger, info, warn};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Time for peers to hear that the node leaves before it closes its listeners.
const LEAVE_GRACE: Duration = Duration::from_millis(1500);

/// Time for accepted connections to bring their first request before idle ones are closed.
const ARRIVAL_GRACE: Duration = Duration::from_millis(300);

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
        let (canceller, cancellations) = cancellation::channel();
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
        let dissemination = Dissemination::new(peer.clone(), rand::rng().random());
        let machine_list = MachineList::new(peer, rand::rng().random());
        let clock = Clock::start();
        let members = Membership::new(
            clock.now(),
            own,
            settings.cluster.seeds.clone(),
            StdRng::seed_from_u64(rand::rng().random()),
        );
        let journal = match &settings.storage {
            Some(storage) => {
                std::fs::create_dir_all(&storage.data_folder)?;
                let opened = Journal::open(&storage.data_folder, settings.journal.groups);
                Some(opened.map_err(|error| io::Error::other(error.to_string()))?)
            }
            None => None,
        };
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
            machine_list: machine_list.into(),
            machines: Default::default(),
            members: members.into(),
            router: Router::new(locality).into(),
            admission: Default::default(),
            limits: Default::default(),
            retry_budget: Default::default(),
            peers: peer_client,
            journal,
            journal_leaders: Default::default(),
            canceller,
            online_arrivals: Default::default(),
            leaving: Default::default(),
            metrics: Default::default(),
            settings,
        });
        let node = Self {
            callers: callers.local_addr()?,
            peers: peers.local_addr()?,
            admin: admin.local_addr()?,
            shared: shared.clone(),
            thread: std::thread::Builder::new()
                .name("node".to_owned())
                .spawn(move || {
                    let sockets = Sockets {
                        callers,
                        peers,
                        admin,
                    };
                    actix_rt::System::new().block_on(run(shared, sockets, calls, cancellations));
                })?,
        };
        Ok(node)
    }

    /// Asks the node to leave; it finishes what it runs.
    pub fn stop(&self) {
        self.shared.leaving.begin();
    }

    /// Waits until the node has ended.
    pub fn join(self) {
        let _ = self.thread.join();
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
    cancellations: Cancellations,
) {
    let log = shared.log.new(slog::o!("part" => "node"));
    let secret = ClusterSecret(shared.settings.cluster.secret.clone().into_bytes());
    let peer_listener =
        tokio::net::TcpListener::from_std(sockets.peers).expect("the listener is non-blocking");
    actix_rt::spawn(peers::run_client(calls, secret));
    actix_rt::spawn(peers::run_listener(peer_listener, shared.clone()));
    actix_rt::spawn(cancellation::run(cancellations));
    actix_rt::spawn(membership::run(shared.clone()));
    Journal::start(&shared);
    actix_rt::spawn(configuration::run(shared.clone()));
    actix_rt::spawn(configuration::floor::run(shared.clone()));
    actix_rt::spawn(configuration::machines::run(shared.clone()));
    actix_rt::spawn(controller::run(shared.clone()));
    actix_rt::spawn(limits::run(shared.clone()));
    actix_rt::spawn(load_exchange::run(shared.clone()));
    actix_rt::spawn(admission::run(shared.clone()));
    let runner = actix_rt::spawn(batch_runner::run(shared.clone()));
    let arrivals = sockets.callers.try_clone();
    let callers = serving::callers(&shared, sockets.callers);
    let admin = serving::admin(&shared, sockets.admin);
    let (callers_handle, admin_handle) = (callers.handle(), admin.handle());
    let (callers, admin) = (actix_rt::spawn(callers), actix_rt::spawn(admin));
    info!(log, "node: Serving."; "name" => %shared.settings.name, "zone" => %shared.settings.zone);
    shared.leaving.reached(Phase::Announced).await;
    info!(log, "node: Leaving.");
    membership::leave(&shared);
    actix_rt::time::sleep(LEAVE_GRACE).await;
    let stopped = arrivals.and_then(|listener| serving::stop_arrivals(&listener));
    if let Err(error) = stopped {
        warn!(log, "node: Arrivals not stopped; connections may be reset."; "reason" => %error);
    }
    actix_rt::time::sleep(ARRIVAL_GRACE).await;
    info!(log, "node: Finishing."; "seconds_at_most" => shared.settings.limits.leave_seconds);
    shared.leaving.close();
    callers_handle.stop(true).await;
    let _ = callers.await;
    let _ = runner.await;
    // Operators can watch the node until its last request has ended.
    admin_handle.stop(false).await;
    let _ = admin.await;
    if let Some(journal) = &shared.journal {
        journal.stop().await;
    }
    info!(log, "node: Stopped.");
}
