//! A cluster of nodes with disks in one process. Tests kill, wipe and restart nodes while a client submits and reads
//! jobs.
#![allow(dead_code)] // Each test file uses only some of it.

use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::jobs::{ItemOutcome, JobId, JobItem};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::{JobTerms, Repetition, Route, WeightedService};
use firshore_gateway::gateway::{Gateway, JobService};
use firshore_jobs::command::{Action, Completion};
use firshore_link::client as link;
use firshore_link::handshake::ClusterSecret;
use firshore_metrics::Builder;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::group_manager::GroupManager;
use firshore_node::journal::leader_tasks::{LeaderTasks, RelayClientFactory};
use firshore_node::journal::maintenance::{self, MaintenanceTask};
use firshore_node::journal::registry::{KIND, NodeRecord, Registry};
use firshore_node::journal::retirement::Retirements;
use firshore_node::journal::{Journal, NodeRelays, PeerClient};
use firshore_node::list_watch::WatchOptions;
use firshore_node::metrics::RunnerMetrics;
use firshore_node::relay::budget::FreshnessBudget;
use firshore_node::relay::client::RelayClient;
use firshore_node::relay::loads::LoadRelay;
use firshore_node::relay::{Relay, RelayedKind};
use firshore_node::runner::Runner;
use firshore_node::settings::Settings;
use firshore_node::stream_origins::StreamOrigins;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION, HOST, Plain, ZONE_DRAINS, adapter};
use firshore_stand_in::backend::{EVENTS, ScriptedBackend};
use firshore_stand_in::store::MemoryStore;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use slog::{Discard, Logger, o};
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tempfile::TempDir;

/// Timeout of a test that hangs.
pub const HANGS_AFTER: Duration = Duration::from_secs(60);

/// Time in which a new disk must hold all entries, by the default settings.
pub const CATCH_UP: Duration = Duration::from_secs(5);

/// Returns a secret of this process. Tests run in parallel, and a port that one has released may be reused by another.
pub fn secret() -> String {
    format!("sixteen bytes of secret {}", std::process::id())
}

pub struct Node {
    pub gateway: Rc<Gateway>,
    pub journal: Rc<Journal>,
    pub runner: Rc<Runner>,
    pub tasks: Vec<actix_rt::task::JoinHandle<()>>,
    pub address: SocketAddr,
}

pub struct Cluster {
    pub store: Rc<MemoryStore>,
    pub folders: Vec<TempDir>,
    pub nodes: Vec<Option<Node>>,
    pub client: Rc<JournalClient>,
}

pub fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// Ports that tests listen on. They are below the ephemeral range, so that no outgoing connection takes a port between
/// the check and the bind.
const FIRST_PORT: u32 = 10_000;
const PORT_COUNT: u32 = 20_000;

/// Returns an address whose port was free when checked; each call in this process returns another port.
pub fn free_address() -> SocketAddr {
    static CALLS: AtomicU32 = AtomicU32::new(0);
    // Tests of other processes run in parallel: each starts at another port.
    let start = std::process::id().wrapping_mul(97);
    loop {
        let call = CALLS.fetch_add(1, Ordering::Relaxed);
        let port = FIRST_PORT + start.wrapping_add(call) % PORT_COUNT;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if std::net::TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

pub fn settings(number: usize, folder: &std::path::Path, address: SocketAddr) -> Settings {
    let text = format!(
        "name = 'n{number}'\nregion = 'r'\nzone = 'z{number}'\n[listen]\npeers = '{address}'\n\
         [objects]\naddress = '127.0.0.1:1'\n\
         zone_drain_bound_milliseconds = 2000\n[cluster]\nsecret = '{}'\n\
         [storage]\ndata_folder = '{}'\n[limits]\nmemory_megabytes = 16\n",
        secret(),
        folder.display()
    );
    toml::from_str(&text).unwrap()
}

pub fn peers() -> PeerClient {
    let (peers, calls) = PeerClient::new();
    actix_rt::spawn(link::run(calls, ClusterSecret(secret().into())));
    peers
}

/// Returns the freshness budget of the nodes of tests.
pub fn budget() -> FreshnessBudget {
    FreshnessBudget::new(Duration::from_secs(2))
}

/// Returns a factory of the client with which a node of a test queries relays.
fn relay_client_factory(number: usize, registry: &Rc<Registry>) -> RelayClientFactory {
    let registry = registry.clone();
    Rc::new(move || RelayClient {
        node: format!("n{number}").as_str().into(),
        zone: format!("z{number}").as_str().into(),
        registry: registry.clone(),
        peers: peers(),
        log: log(),
        on_contact: Rc::new(|_, _| {}),
        excluded: RefCell::default(),
    })
}

/// Returns the object kinds that the nodes of tests relay.
pub fn relayed_kinds() -> Vec<RelayedKind> {
    let kinds = [BACKENDS, CONFIGURATION, ZONE_DRAINS].map(|name| RelayedKind {
        name: name.to_owned(),
        options: WatchOptions {
            history: Duration::from_secs(20),
            spacing: Duration::from_millis(100),
            creation_spacing: Duration::from_millis(100),
            max_wait: budget().watch_wait(),
        },
        budget: budget(),
    });
    kinds.to_vec()
}

pub async fn start_node(
    number: usize,
    folder: &std::path::Path,
    store: &Rc<MemoryStore>,
    address: SocketAddr,
) -> Node {
    let settings = settings(number, folder, address);
    let registry = Rc::new(Registry::new(store.clone(), log()));
    let storage = settings.storage.clone().unwrap();
    let job_client = JournalClient::new(settings.name.clone(), registry.clone(), peers(), log());
    let origins = StreamOrigins::new(Rc::new(Plain));
    let relay = Relay::new(
        store.clone(),
        log(),
        relayed_kinds(),
        Rc::new(|_, _| {}),
        origins.clone(),
    );
    let gateway = Rc::new(Gateway::new(
        log(),
        adapter(store.clone()),
        settings.zone.clone(),
        None,
        Duration::from_secs(5),
        StdRng::seed_from_u64(number as u64),
        &mut Builder::default(),
    ));
    let relays = NodeRelays {
        objects: relay.clone(),
        loads: Rc::new(LoadRelay::new(Duration::from_secs(5))),
        jobs: Rc::new(job_client),
        crashes: gateway.crashes.clone(),
        origins,
    };
    let make_relay_client = relay_client_factory(number, &registry);
    let journal = Journal::start(&settings, &storage, registry, relays, &peers(), &log()).await;
    let journal = journal.expect("the port and the folder are free");
    let retirements = Rc::new(Retirements::default());
    let leader_tasks = LeaderTasks {
        gateway: gateway.clone(),
        journal: journal.clone(),
        retirements: retirements.clone(),
        objects: settings.objects.clone(),
        relay_client: Some(make_relay_client),
    };
    let maintenance_task = MaintenanceTask {
        journal: journal.clone(),
        adapter: gateway.adapter.clone(),
        node: settings.name.clone(),
        record: NodeRecord {
            address,
            zone: settings.zone.clone(),
            disk: journal.replica.status().disk,
        },
        retirements,
        manager: RefCell::new(GroupManager::new(journal.policy)),
    };
    let metrics = RunnerMetrics::new(&mut Builder::default());
    let runner = Runner::new(gateway.clone(), journal.clone(), metrics);
    let tasks = vec![
        actix_rt::spawn(relay.run()),
        actix_rt::spawn(leader_tasks.run()),
        actix_rt::spawn(maintenance::run(maintenance_task)),
        actix_rt::spawn(runner.clone().run()),
    ];
    Node {
        gateway,
        journal,
        runner,
        tasks,
        address,
    }
}

impl Node {
    /// Stops the node as a kill would, without any handover.
    pub fn kill(self) {
        self.runner.stop_all();
        for task in self.tasks {
            task.abort();
        }
        self.journal.kill();
    }
}

impl Cluster {
    pub async fn start() -> Self {
        let store = MemoryStore::new();
        let registry = Rc::new(Registry::new(store.clone(), log()));
        let client = JournalClient::new("caller".into(), registry, peers(), log());
        let mut cluster = Self {
            store,
            folders: Vec::new(),
            nodes: Vec::new(),
            client: Rc::new(client),
        };
        for _ in 0..3 {
            cluster.add().await;
        }
        cluster
    }

    pub async fn add(&mut self) {
        let folder = tempfile::tempdir().unwrap();
        let number = self.nodes.len();
        let node = start_node(number, folder.path(), &self.store, free_address()).await;
        self.folders.push(folder);
        self.nodes.push(Some(node));
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes[number].take().unwrap().kill();
    }

    pub async fn restart(&mut self, number: usize) {
        let folder = self.folders[number].path().to_owned();
        let node = start_node(number, &folder, &self.store, free_address()).await;
        self.nodes[number] = Some(node);
    }

    /// Kills a node, and restarts it with an empty disk.
    pub async fn wipe(&mut self, number: usize) {
        self.kill(number);
        self.folders[number] = tempfile::tempdir().unwrap();
        self.restart(number).await;
    }

    pub async fn leader(&self) -> usize {
        loop {
            let leads = |node: &Option<Node>| {
                let status = node.as_ref().map(|node| node.journal.replica.status());
                status.is_some_and(|status| status.leads)
            };
            if let Some(leader) = self.nodes.iter().position(leads) {
                return leader;
            }
            pause().await;
        }
    }

    /// Waits until every running node has a voter that has applied all entries.
    pub async fn whole(&self) {
        loop {
            let leader = self.nodes[self.leader().await].as_ref().unwrap();
            let status = leader.journal.replica.status();
            let voters = status.membership.voters().count();
            let present = self.nodes.iter().flatten().count();
            if voters == present && status.caught_up.len() + 1 == present {
                return;
            }
            pause().await;
        }
    }

    /// Waits until the disk of a node is a voter that has applied all entries.
    pub async fn wait_until_voter(&self, number: usize) {
        let node = self.nodes[number].as_ref().unwrap();
        let disk = node.journal.replica.status().disk;
        loop {
            let leader = self.nodes[self.leader().await].as_ref().unwrap();
            let status = leader.journal.replica.status();
            let current = status.disk == disk || status.caught_up.contains(&disk);
            if current && status.membership.is_voter(disk) {
                return;
            }
            pause().await;
        }
    }

    /// Returns the number of nodes that the store lists.
    pub fn registered_nodes(&self) -> usize {
        let names = (0..self.nodes.len()).map(|number| format!("node.n{number}"));
        names
            .filter(|name| self.store.object(KIND, name).is_some())
            .count()
    }

    /// Returns the number of back ends in the leader's fleet view.
    pub async fn backends_known(&self) -> usize {
        let leader = self.nodes[self.leader().await].as_ref().unwrap();
        leader.gateway.fleet.borrow().len()
    }

    /// Waits until the leader's fleet view shows that a back end leaves.
    pub async fn wait_until_leaving(&self, name: &str) {
        let incarnation = Incarnation::named(name);
        loop {
            let leader = self.nodes[self.leader().await].as_ref().unwrap();
            if !leader.gateway.fleet.borrow().is_staying(&incarnation) {
                return;
            }
            pause().await;
        }
    }

    pub async fn submit(&self, job: &str, items: usize) {
        while self
            .client
            .submit(
                route(),
                ResidencyPermit::default(),
                JobId::of_nobody(job),
                self::items(items),
            )
            .await
            .is_err()
        {
            pause().await;
        }
    }

    /// Returns the body of an item, or `None` if the item or its job does not exist; retries until a node responds.
    pub async fn body(&self, job: &str, item: &str) -> Option<String> {
        loop {
            let body = self.client.body(JobId::of_nobody(job), item.into()).await;
            if let Ok(body) = body {
                return body.map(|body| String::from_utf8(body.0.to_vec()).unwrap());
            }
            pause().await;
        }
    }

    /// Returns the results of a job, as soon as there are at least `count`.
    pub async fn results(&self, job: &str, count: usize) -> Vec<(String, ItemOutcome)> {
        loop {
            let page = self
                .client
                .results(JobId::of_nobody(job), 0, Duration::ZERO)
                .await;
            if let Ok(Some(page)) = page
                && page.results.len() >= count
            {
                let results = page.results.into_iter();
                return results
                    .map(|result| (result.item, result.outcome))
                    .collect();
            }
            pause().await;
        }
    }

    /// Returns the result at a position, as soon as there is one.
    pub async fn result(&self, job: &str, position: usize) -> (String, ItemOutcome) {
        loop {
            let from = position as u64;
            let page = self
                .client
                .results(JobId::of_nobody(job), from, Duration::ZERO)
                .await;
            if let Ok(Some(mut page)) = page
                && !page.results.is_empty()
            {
                let first = page.results.swap_remove(0);
                return (first.item, first.outcome);
            }
            pause().await;
        }
    }

    /// Commits the result of an item, as a run would.
    pub async fn complete(&self, job: &str, item: usize, outcome: &ItemOutcome) {
        loop {
            let completion = Completion {
                job: job.to_owned(),
                item: item as u32,
                outcome: outcome.clone(),
            };
            let leader = self.nodes[self.leader().await].as_ref().unwrap();
            let action = Action::Complete(vec![completion]);
            if leader.journal.replica.propose(action.into()).await.is_ok() {
                return;
            }
            pause().await;
        }
    }

    pub fn put_backend(&self, backend: &ScriptedBackend, leaving: bool) {
        let spec = json!({"service": "s", "address": backend.address, "slots": 10,
            "leaving": leaving, "software": "v1"});
        self.store.put(BACKENDS, &backend.name, spec);
    }

    pub fn configure(&self) {
        let route = json!({"prefix": "/items/", "service": "s", "repetition": "job",
            "timeout": 30_000, "attempts": 3});
        let spec = json!({"version": 1, "routes": [route]});
        self.store.put(CONFIGURATION, "newest", spec);
    }
}

pub async fn pause() {
    actix_rt::time::sleep(Duration::from_millis(20)).await;
}

pub fn route() -> Arc<Route> {
    Arc::new(Route {
        name: "items".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/items/".to_owned(),
        services: vec![WeightedService {
            service: "s".into(),
            weight: 1,
        }],
        repetition: Repetition::Resumable,
        streams: true,
        timeout: Duration::from_secs(30),
        objective: Duration::from_secs(1),
        attempts: 3,
        priority: 1,
        public: false,
        prefix_affinity: false,
        jobs: Some(JobTerms {
            due_after: Some(Duration::from_secs(20)),
            give_up_after: Duration::from_secs(60),
            most_waiting_tokens: None,
        }),
        allowed_regions: Default::default(),
    })
}

pub fn items(count: usize) -> Vec<JobItem> {
    let items = (0..count).map(|number| JobItem {
        id: format!("i{number}"),
        path: format!("/items/{number}"),
        headers: vec![("x-own".to_owned(), "kept".to_owned())],
        body: format!("body {number}").into_bytes().into(),
        tokens: 10,
    });
    items.collect()
}

pub fn whole() -> ItemOutcome {
    let events = (1..=EVENTS).map(|number| format!("e{number}"));
    ItemOutcome::Done(events.collect())
}

pub fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        let result = tokio::time::timeout(HANGS_AFTER, test).await;
        result.expect("the test hangs");
    });
}
