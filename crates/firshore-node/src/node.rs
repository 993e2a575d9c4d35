//! Assembles a node and runs it until it receives a stop signal.

use crate::crash_exchange::CrashExchange;
use crate::environment::{self, FollowedKinds};
use crate::journal::client::JournalClient;
use crate::journal::group_manager::GroupManager;
use crate::journal::leader_tasks::{LeaderTasks, RelayClientFactory};
use crate::journal::maintenance::{self, MaintenanceTask};
use crate::journal::messages::PeerRequest;
use crate::journal::registry::{NodeRecord, Registry};
use crate::journal::retirement::Retirements;
use crate::journal::{Journal, NodeRelays, PeerClient};
use crate::load_exchange::LoadExchange;
use crate::metrics::{JournalNode, NodeMetrics, RunnerMetrics};
use crate::origin_exchange::{OriginExchange, OriginStoreClient};
use crate::readiness;
use crate::relay::client::{ContactListener, RelayClient};
use crate::relay::loads::LoadRelay;
use crate::relay::{Announce, Relay, ranking};
use crate::runner::Runner;
use crate::settings::{Settings, Storage};
use crate::status_listener;
use crate::stream_origins::StreamOrigins;
use firshore_adapter::Adapter;
use firshore_adapter::residency::ZoneRegions;
use firshore_crashes::fingerprint::FingerprintKey;
use firshore_exchange::socket_buffers;
use firshore_gateway::gateway::Gateway;
use firshore_gateway::input_budget::InputLimits;
use firshore_gateway::serve;
use firshore_link::client;
use firshore_link::handshake::ClusterSecret;
use firshore_logging::Destination;
use firshore_metrics::Builder;
use firshore_types::ids::NodeName;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

/// Fraction of the grace period in which the node still accepts connections while it reports that it is not ready.
/// After it, callers no longer open new ones.
const ANNOUNCED_FRACTION: f64 = 0.35;

/// Time reserved for the exit of the process after the last request.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Milliseconds after which a node without a disk first lists the nodes, where the whole cluster starts: nodes with
/// disks start within 0.3 s and register within 0.1 s.
const FIRST_LISTING_DELAY_MS: std::ops::Range<u64> = 350..450;

/// Interval between checks whether all requests have ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a node on this thread until it has shut down. `path` is the settings file, which is checked again on
/// SIGHUP.
///
/// # Errors
///
/// Fails if a listener can't be bound, the data folder can't be opened or signals can't be handled.
pub fn run(
    settings: Settings,
    path: PathBuf,
    adapter: impl FnOnce(SocketAddr) -> Adapter,
) -> io::Result<()> {
    let log = firshore_logging::root(&settings.log, Destination::Output);
    let log = log.new(slog::o!("node" => settings.name.to_string()));
    let adapter = adapter(settings.objects.address);
    actix_rt::System::new().block_on(run_until_stopped(settings, path, adapter, log))
}

async fn run_until_stopped(
    settings: Settings,
    path: PathBuf,
    adapter: Adapter,
    log: Logger,
) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let secret = ClusterSecret(settings.cluster.secret.clone().into_bytes());
    let (peers, calls) = PeerClient::new();
    actix_rt::spawn(client::run(calls, secret));
    let registry = Rc::new(Registry::new(adapter.objects.clone(), log.clone()));
    if settings.cluster.first_start && settings.storage.is_none() {
        let delay = rand::rng().random_range(FIRST_LISTING_DELAY_MS);
        registry.defer_listing(Duration::from_millis(delay));
    }
    let jobs = Rc::new(JournalClient::new(
        settings.name.clone(),
        registry.clone(),
        peers.clone(),
        log.clone(),
    ));
    let random = StdRng::seed_from_u64(rand::random());
    let mut builder = Builder::default();
    let gateway = Gateway::new(
        log.clone(),
        adapter,
        settings.zone.clone(),
        Some(jobs.clone()),
        settings.tenants.rate_span(),
        random,
        &mut builder,
    );
    let origins = OriginExchange::new(
        settings.name.clone(),
        settings.zone.clone(),
        registry.clone(),
        peers.clone(),
        log.clone(),
    );
    let gateway = gateway.with_origin_store(Rc::new(OriginStoreClient(origins.clone())));
    let gateway = match settings.listen.callers {
        Some(_) => gateway.with_input_limits(input_limits(&settings)),
        None => gateway,
    };
    let fingerprint_key = FingerprintKey::new(settings.cluster.secret.as_bytes());
    let remember = settings.crashes.remember();
    let gateway = Rc::new(gateway.with_crash_memory(fingerprint_key, remember));
    gateway.overload.enable(settings.overload.refuse_late);
    gateway.set_zone_regions(ZoneRegions::new(settings.zones.clone()));
    actix_rt::spawn(origins.report_when_versions_change(gateway.clone()));
    let crashes = CrashExchange::new(
        settings.name.clone(),
        settings.zone.clone(),
        gateway.crashes.clone(),
        registry.clone(),
        peers.clone(),
        log.clone(),
    );
    actix_rt::spawn(crashes.clone().run());
    let client_factory = make_client_factory(&settings, &registry, &peers, &crashes, &log);
    let access = PeerAccess {
        registry,
        jobs: jobs.clone(),
        peers,
        client_factory: client_factory.clone(),
    };
    let journal = match &settings.storage {
        Some(storage) => {
            let metrics = RunnerMetrics::new(&mut builder);
            let journal = start_journal(&settings, storage, &gateway, access, metrics).await?;
            Some(Rc::new(journal))
        }
        None => None,
    };
    let metrics = NodeMetrics::new(builder, gateway.clone(), journal.clone());
    let callers = start_listeners(&settings, &gateway, metrics).await?;
    // A node without callers watches the environment only while it runs items.
    let _following = callers
        .is_some()
        .then(|| environment::follow(&gateway, &settings.objects, || client_factory()));
    if callers.is_some() {
        let (node, zone) = (settings.name.clone(), settings.zone.clone());
        let exchange = LoadExchange::new(gateway.clone(), jobs, node, zone);
        actix_rt::spawn(exchange.run());
    }
    info!(log, "node: Started."; "zone" => %settings.zone,
        "version" => env!("CARGO_PKG_VERSION"));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&path, &log),
        }
    }
    if let Some(journal) = &journal {
        journal.stop().await;
    }
    shut_down(&settings, &gateway, callers).await;
    info!(log, "node: Stopped.");
    Ok(())
}

/// Returns the bounds on callers' connections and their input.
fn input_limits(settings: &Settings) -> InputLimits {
    let limits = &settings.limits;
    let has_disk = settings.storage.is_some();
    let budget = limits.memory_budget();
    budget.input_limits(has_disk, limits.max_descriptors())
}

/// Checks the settings file on SIGHUP. The running node keeps its settings.
fn reload(path: &std::path::Path, log: &Logger) {
    match Settings::read(path) {
        Ok(_) => info!(log, "node: Settings valid."),
        Err(error) => warn!(log, "node: Settings invalid."; "reason" => %error),
    }
}

type Callers = Option<actix_rt::task::JoinHandle<()>>;

async fn start_listeners(
    settings: &Settings,
    gateway: &Rc<Gateway>,
    metrics: NodeMetrics,
) -> io::Result<Callers> {
    if let Some(address) = settings.listen.readiness {
        let listener = TcpListener::bind(address).await?;
        let gateway = gateway.clone();
        actix_rt::spawn(status_listener::accept(listener, move || {
            readiness::response(&gateway)
        }));
    }
    if let Some(address) = settings.listen.metrics {
        let listener = TcpListener::bind(address).await?;
        actix_rt::spawn(status_listener::accept(listener, move || {
            metrics.response()
        }));
    }
    let Some(address) = settings.listen.callers else {
        return Ok(None);
    };
    let listener = TcpListener::bind(address).await?;
    socket_buffers::bound(&listener)?;
    let accepting = serve::accept(gateway.clone(), listener);
    Ok(Some(actix_rt::spawn(accepting)))
}

impl JournalNode {
    /// Transfers leadership, so that another node continues the items, and stops all runs.
    async fn stop(&self) {
        self.journal.stop().await;
        self.runner.stop_all();
    }
}

/// Means to reach other nodes.
struct PeerAccess {
    registry: Rc<Registry>,
    jobs: Rc<JournalClient>,
    peers: PeerClient,
    client_factory: RelayClientFactory,
}

fn make_client_factory(
    settings: &Settings,
    registry: &Rc<Registry>,
    peers: &PeerClient,
    crashes: &Rc<CrashExchange>,
    log: &Logger,
) -> RelayClientFactory {
    let (node, zone) = (settings.name.clone(), settings.zone.clone());
    let (registry, peers, log) = (registry.clone(), peers.clone(), log.clone());
    let crashes = crashes.clone();
    let on_contact: ContactListener =
        Rc::new(move |relay, contact| crashes.update_cursor(relay, contact.crashes));
    Rc::new(move || RelayClient {
        node: node.clone(),
        zone: zone.clone(),
        registry: registry.clone(),
        peers: peers.clone(),
        log: log.clone(),
        on_contact: on_contact.clone(),
        excluded: RefCell::default(),
    })
}

async fn start_journal(
    settings: &Settings,
    storage: &Storage,
    gateway: &Rc<Gateway>,
    access: PeerAccess,
    metrics: RunnerMetrics,
) -> io::Result<JournalNode> {
    let PeerAccess {
        registry,
        jobs,
        peers,
        client_factory,
    } = access;
    let kinds = FollowedKinds::new(gateway, &settings.objects).relayed();
    let origins = StreamOrigins::new(gateway.adapter.decoder.clone());
    let relay = Relay::new(
        gateway.adapter.objects.clone(),
        gateway.log.clone(),
        kinds,
        announce_to_relays(&settings.name, &registry, &peers),
        origins.clone(),
    );
    actix_rt::spawn(relay.clone().run());
    let relays = NodeRelays {
        objects: relay,
        loads: Rc::new(LoadRelay::new(settings.tenants.rate_span())),
        jobs,
        crashes: gateway.crashes.clone(),
        origins,
    };
    let journal = Journal::start(settings, storage, registry, relays, &peers, &gateway.log).await?;
    let retirements = Rc::new(Retirements::default());
    let leader_tasks = LeaderTasks {
        gateway: gateway.clone(),
        journal: journal.clone(),
        retirements: retirements.clone(),
        objects: settings.objects.clone(),
        relay_client: settings.listen.callers.is_none().then_some(client_factory),
    };
    actix_rt::spawn(leader_tasks.run());
    let maintenance_task = MaintenanceTask {
        journal: journal.clone(),
        adapter: gateway.adapter.clone(),
        node: settings.name.clone(),
        record: NodeRecord {
            address: settings.listen.peers,
            zone: settings.zone.clone(),
            disk: journal.replica.status().disk,
        },
        retirements,
        manager: RefCell::new(GroupManager::new(journal.policy)),
    };
    actix_rt::spawn(maintenance::run(maintenance_task));
    let runner = Runner::new(gateway.clone(), journal.clone(), metrics);
    actix_rt::spawn(runner.clone().run());
    Ok(JournalNode { journal, runner })
}

/// Returns a function that announces changed revisions to the known relays of all zones.
fn announce_to_relays(local: &NodeName, registry: &Rc<Registry>, peers: &PeerClient) -> Announce {
    let (local, registry, peers) = (local.clone(), registry.clone(), peers.clone());
    let listed = Rc::new(Cell::new(false));
    Rc::new(move |kind, revision| {
        if !listed.get() {
            // Relays may have started after this node last listed the nodes.
            let (registry, listed) = (registry.clone(), listed.clone());
            actix_rt::spawn(async move {
                if registry.refresh().await {
                    listed.set(true);
                }
            });
        }
        let relays = ranking::relays(&registry.candidates());
        for relay in relays.values().flatten().filter(|relay| **relay != local) {
            let Some(address) = registry.address(relay) else {
                continue;
            };
            let changed = PeerRequest::Changed {
                kind: kind.to_owned(),
                revision,
            };
            peers.notify(address, changed);
        }
    })
}

/// Shuts down gracefully: reports not ready, closes the listener after a while, then waits for open requests
/// until the grace period ends.
async fn shut_down(settings: &Settings, gateway: &Rc<Gateway>, callers: Callers) {
    let grace = settings.leave.grace();
    let end = tokio::time::Instant::now() + grace.saturating_sub(EXIT_MARGIN);
    gateway.leaving.begin_until(end.into_std());
    info!(gateway.log, "node: Shutting down."; "grace_ms" => grace.as_millis() as u64);
    if let Some(callers) = callers {
        actix_rt::time::sleep(grace.mul_f64(ANNOUNCED_FRACTION)).await;
        gateway.leaving.close();
        let _ = callers.await;
    }
    while gateway.requests_open() > 0 && tokio::time::Instant::now() < end {
        actix_rt::time::sleep(FINISH_POLL_INTERVAL).await;
    }
    info!(gateway.log, "node: Requests finished."; "cut_off" => gateway.requests_open());
}
