//! Batch jobs on a cluster of three disks, with the faults that the disks, the nodes, the store and
//! the back ends may have.

use firshore_adapter::jobs::{ItemOutcome, JobItem};
use firshore_adapter::route::{JobTerms, Repetition, Route, WeightedService};
use firshore_gateway::gateway::{Gateway, JobService};
use firshore_jobs::command::{Action, Completion};
use firshore_link::client as link;
use firshore_link::handshake::ClusterSecret;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::duties::Duties;
use firshore_node::journal::maintenance::{self, Upkeep};
use firshore_node::journal::registry::{NodeRecord, Registry};
use firshore_node::journal::retirement::Retirements;
use firshore_node::journal::{Journal, PeerClient, SILENCE_SHARE};
use firshore_node::runner::Runner;
use firshore_node::settings::Settings;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION, HOST, RETIREMENTS, adapter};
use firshore_stand_in::backend::{EVENTS, Play, ScriptedBackend};
use firshore_stand_in::store::{Fault, MemoryStore};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;
use slog::{Discard, Logger, o};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tempfile::TempDir;

/// Guard against a test that hangs.
const HANGS_AFTER: Duration = Duration::from_secs(60);

/// Time after which a new disk must hold everything, by the default settings.
const CATCH_UP: Duration = Duration::from_secs(5);

const SECRET: &str = "sixteen bytes of secret";

struct Node {
    gateway: Rc<Gateway>,
    journal: Rc<Journal>,
    runner: Rc<Runner>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
    address: SocketAddr,
}

struct Cluster {
    store: Rc<MemoryStore>,
    folders: Vec<TempDir>,
    nodes: Vec<Option<Node>>,
    client: Rc<JournalClient>,
}

fn log() -> Logger {
    Logger::root(Discard, o!())
}

/// A port that was free a moment ago.
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn settings(number: usize, folder: &std::path::Path, address: SocketAddr) -> Settings {
    let text = format!(
        "name = 'n{number}'\nregion = 'r'\nzone = 'z{number}'\n[listen]\npeers = '{address}'\n\
         [objects]\naddress = '127.0.0.1:1'\n[cluster]\nsecret = '{SECRET}'\n\
         [storage]\ndata_folder = '{}'\n[limits]\nmemory_megabytes = 16\n",
        folder.display()
    );
    toml::from_str(&text).unwrap()
}

fn peers() -> PeerClient {
    let (peers, calls) = PeerClient::new();
    actix_rt::spawn(link::run(calls, ClusterSecret(SECRET.into())));
    peers
}

async fn start_node(
    number: usize,
    folder: &std::path::Path,
    store: &Rc<MemoryStore>,
    address: SocketAddr,
) -> Node {
    let settings = settings(number, folder, address);
    let registry = Rc::new(Registry::new(store.clone(), log()));
    let storage = settings.storage.clone().unwrap();
    let journal = Journal::start(&settings, &storage, registry, &peers(), &log()).await;
    let journal = journal.unwrap();
    let gateway = Rc::new(Gateway::new(
        log(),
        adapter(store.clone()),
        settings.zone.clone(),
        None,
        StdRng::seed_from_u64(number as u64),
    ));
    let retirements = Rc::new(Retirements::default());
    let duties = Duties {
        gateway: gateway.clone(),
        journal: journal.clone(),
        retirements: retirements.clone(),
        objects: settings.objects.clone(),
        follows_environment: true,
    };
    let upkeep = Upkeep {
        journal: journal.clone(),
        adapter: gateway.adapter.clone(),
        node: settings.name.clone(),
        record: NodeRecord {
            address,
            zone: settings.zone.clone(),
            disk: journal.replica.status().disk,
        },
        retirements,
        patience: settings.cluster.catch_up().mul_f64(SILENCE_SHARE),
        passed_over: RefCell::default(),
        leaderless_since: Cell::new(None),
    };
    let runner = Runner::new(gateway.clone(), journal.clone());
    let tasks = vec![
        actix_rt::spawn(duties.run()),
        actix_rt::spawn(maintenance::run(upkeep)),
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
    /// Ends the node as a kill would: nothing is handed over.
    fn kill(self) {
        self.runner.stop_all();
        for task in self.tasks {
            task.abort();
        }
        self.journal.kill();
    }
}

impl Cluster {
    async fn start() -> Self {
        let store = MemoryStore::new();
        let registry = Rc::new(Registry::new(store.clone(), log()));
        let client = JournalClient::new("caller".into(), registry, peers());
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

    async fn add(&mut self) {
        let folder = tempfile::tempdir().unwrap();
        let number = self.nodes.len();
        let node = start_node(number, folder.path(), &self.store, free_address()).await;
        self.folders.push(folder);
        self.nodes.push(Some(node));
    }

    fn kill(&mut self, number: usize) {
        self.nodes[number].take().unwrap().kill();
    }

    async fn restart(&mut self, number: usize) {
        let folder = self.folders[number].path().to_owned();
        let node = start_node(number, &folder, &self.store, free_address()).await;
        self.nodes[number] = Some(node);
    }

    /// Ends a node, and starts it with an empty disk.
    async fn wipe(&mut self, number: usize) {
        self.kill(number);
        self.folders[number] = tempfile::tempdir().unwrap();
        self.restart(number).await;
    }

    async fn leader(&self) -> usize {
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

    /// Waits until every node holds a voter that has applied all.
    async fn whole(&self) {
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

    /// Waits until the disk of a node votes and has applied all.
    async fn votes(&self, number: usize) {
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

    /// Back ends that the leader knows.
    async fn backends_known(&self) -> usize {
        let leader = self.nodes[self.leader().await].as_ref().unwrap();
        leader.gateway.fleet.borrow().len()
    }

    async fn submit(&self, job: &str, items: usize) {
        while self
            .client
            .submit(route(), job.into(), self::items(items))
            .await
            .is_err()
        {
            pause().await;
        }
    }

    /// Body of an item, as soon as somebody can tell.
    async fn body(&self, job: &str, item: &str) -> Option<String> {
        loop {
            let body = self.client.body(job.into(), item.into()).await;
            if let Ok(body) = body {
                return body.map(|body| String::from_utf8(body.0.to_vec()).unwrap());
            }
            pause().await;
        }
    }

    /// Results as soon as there are as many.
    async fn results(&self, job: &str, count: usize) -> Vec<(String, ItemOutcome)> {
        loop {
            let page = self.client.results(job.into(), 0, Duration::ZERO).await;
            if let Ok(Some(page)) = page
                && page.results.len() >= count
            {
                let results = page.results.into_iter();
                return results.map(|one| (one.item, one.outcome)).collect();
            }
            pause().await;
        }
    }

    /// The result at a position.
    async fn result(&self, job: &str, position: usize) -> (String, ItemOutcome) {
        loop {
            let from = position as u64;
            let page = self.client.results(job.into(), from, Duration::ZERO).await;
            if let Ok(Some(mut page)) = page
                && !page.results.is_empty()
            {
                let first = page.results.swap_remove(0);
                return (first.item, first.outcome);
            }
            pause().await;
        }
    }

    /// Lists a result as a run would.
    async fn complete(&self, job: &str, item: usize, outcome: &ItemOutcome) {
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

    fn put_backend(&self, backend: &ScriptedBackend, leaving: bool) {
        let spec = json!({"service": "s", "address": backend.address, "slots": 10,
            "leaving": leaving});
        self.store.put(BACKENDS, &backend.name, spec);
    }

    fn configure(&self) {
        let route = json!({"prefix": "/items/", "service": "s", "repetition": "job",
            "timeout": 30_000, "attempts": 3});
        let spec = json!({"version": 1, "routes": [route]});
        self.store.put(CONFIGURATION, "newest", spec);
    }
}

async fn pause() {
    actix_rt::time::sleep(Duration::from_millis(20)).await;
}

fn route() -> Arc<Route> {
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
        prefix_affinity: false,
        jobs: Some(JobTerms {
            give_up_after: Duration::from_secs(60),
        }),
    })
}

fn items(count: usize) -> Vec<JobItem> {
    let items = (0..count).map(|number| JobItem {
        id: format!("i{number}"),
        path: format!("/items/{number}"),
        headers: vec![("x-own".to_owned(), "kept".to_owned())],
        body: format!("body {number}").into_bytes().into(),
        tokens: 10,
    });
    items.collect()
}

fn whole() -> ItemOutcome {
    let events = (1..=EVENTS).map(|number| format!("e{number}"));
    ItemOutcome::Done(events.collect())
}

fn run(test: impl Future<Output = ()>) {
    actix_rt::System::new().block_on(async {
        let ended = tokio::time::timeout(HANGS_AFTER, test).await;
        ended.expect("the test hangs");
    });
}

#[test]
fn items_run_to_their_end_whatever_back_ends_do() {
    let scripts: [(&[Play], ItemOutcome); 7] = [
        (&[], whole()),
        (&[Play::Breaks(2), Play::Breaks(3)], whole()),
        (&[Play::NotRun, Play::Closed, Play::Garbage], whole()),
        (&[Play::Fails, Play::Fails], whole()),
        (
            &[Play::Fails, Play::Fails, Play::Fails],
            ItemOutcome::GivenUp,
        ),
        (&[Play::Impossible], ItemOutcome::GivenUp),
        (&[Play::Misdirected, Play::FalsePromise], whole()),
    ];
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        for (number, (script, expected)) in scripts.into_iter().enumerate() {
            let name = format!("b{number}");
            let backend = ScriptedBackend::start(&name, script, Play::Events).await;
            cluster.put_backend(&backend, false);
            let job = format!("job{number}");
            cluster.submit(&job, 1).await;
            let results = cluster.results(&job, 1).await;
            assert_eq!(results, [("i0".to_owned(), expected)], "{script:?}");
            let seen = backend.seen();
            assert_eq!(seen[0].body, b"body 0", "{script:?}");
            assert_eq!(seen[0].path, "/items/0", "{script:?}");
            cluster.store.remove(BACKENDS, &name);
            // The next item must not meet it any more.
            while cluster.backends_known().await > 0 {
                pause().await;
            }
        }
    });
}

#[test]
fn a_job_outlives_the_kill_of_its_leader() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("job", 5).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        let results = cluster.results("job", 5).await;
        assert!(results.iter().all(|(_, outcome)| *outcome == whole()));
        cluster.restart(leader).await;
        assert_eq!(cluster.results("job", 5).await, results, "positions stay");
    });
}

#[test]
fn what_was_accepted_outlives_a_lost_disk_and_a_kill_of_all() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        cluster.submit("done", 3).await;
        let results = cluster.results("done", 3).await;
        cluster.store.remove(BACKENDS, "b");
        cluster.submit("open", 2).await;
        let leader = cluster.leader().await;
        for number in 0..3 {
            cluster.kill(number);
        }
        cluster.folders[leader] = tempfile::tempdir().unwrap();
        for number in 0..3 {
            cluster.restart(number).await;
        }
        assert_eq!(cluster.results("done", 3).await, results);
        let body = cluster.body("open", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
        cluster.whole().await;
    });
}

#[test]
fn a_retired_node_and_a_disk_lost_right_after_lose_nothing() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.store.put(RETIREMENTS, "n1", json!({}));
        loop {
            let object = cluster.store.object(RETIREMENTS, "n1").unwrap();
            if object.status == json!("done") {
                break;
            }
            pause().await;
        }
        cluster.kill(1);
        cluster.wipe(0).await;
        let body = cluster.body("job", "i0").await;
        assert_eq!(body.as_deref(), Some("body 0"));
        cluster.submit("next", 1).await;
        cluster.whole().await;
    });
}

#[test]
fn a_retired_node_is_replaced_by_one_at_another_address() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.add().await;
        cluster.store.put(RETIREMENTS, "n0", json!({}));
        while cluster.store.object(RETIREMENTS, "n0").unwrap().status != json!("done") {
            pause().await;
        }
        cluster.kill(0);
        cluster.whole().await;
        let body = cluster.body("job", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
    });
}

#[test]
fn an_ended_job_runs_no_more() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Stalls(1)).await;
        cluster.put_backend(&backend, false);
        cluster.submit("job", 1).await;
        while backend.seen().is_empty() {
            pause().await;
        }
        assert!(cluster.client.end("job".into()).await.unwrap());
        while backend.left() == 0 {
            pause().await;
        }
        assert!(
            cluster.client.end("job".into()).await.unwrap(),
            "ends again"
        );
        assert!(!cluster.client.end("other".into()).await.unwrap());
        assert_eq!(cluster.body("job", "i0").await, None);
    });
}

#[test]
fn jobs_go_on_while_the_store_is_gone() {
    for fault in [Fault::Refuses, Fault::Silent, Fault::LosesAnswers] {
        run(async move {
            let mut cluster = Cluster::start().await;
            cluster.configure();
            let backend = ScriptedBackend::start("b", &[], Play::Events).await;
            cluster.put_backend(&backend, false);
            cluster.submit("before", 1).await;
            cluster.results("before", 1).await;
            cluster.store.set_fault(fault);
            cluster.submit("meanwhile", 3).await;
            let results = cluster.results("meanwhile", 3).await;
            assert_eq!(results.len(), 3, "{fault:?}");
            let leader = cluster.leader().await;
            cluster.kill(leader);
            cluster.submit("without the leader", 1).await;
            cluster.store.set_fault(Fault::None);
            assert_eq!(cluster.results("without the leader", 1).await.len(), 1);
        });
    }
}

#[test]
fn a_leaving_back_end_gets_no_items() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let leaving = ScriptedBackend::start("leaving", &[], Play::Events).await;
        let stays = ScriptedBackend::start("stays", &[], Play::Events).await;
        cluster.put_backend(&leaving, true);
        cluster.submit("job", 4).await;
        cluster.store.forget_history();
        cluster.put_backend(&stays, false);
        assert_eq!(cluster.results("job", 4).await.len(), 4);
        assert_eq!((leaving.seen().len(), stays.seen().len()), (0, 4));
    });
}

#[test]
fn addresses_differ_after_a_restart() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 1).await;
        let before = cluster.nodes[2].as_ref().unwrap().address;
        cluster.kill(2);
        cluster.restart(2).await;
        let after = cluster.nodes[2].as_ref().unwrap().address;
        assert_ne!(before, after);
        cluster.whole().await;
    });
}

#[test]
fn a_new_disk_holds_everything_before_another_may_be_lost() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        let gone = cluster.leader().await;
        cluster.kill(gone);
        cluster.add().await;
        // From here on another disk may be lost.
        actix_rt::time::sleep(CATCH_UP).await;
        let next = cluster.leader().await;
        cluster.wipe(next).await;
        let body = cluster.body("job", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
    });
}

#[test]
fn one_of_a_pair_goes_on_alone_when_the_other_never_comes_back() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.store.put(RETIREMENTS, "n1", json!({}));
        while cluster.store.object(RETIREMENTS, "n1").unwrap().status != json!("done") {
            pause().await;
        }
        cluster.kill(1);
        // The pair has to be known as such before one of it may be lost.
        actix_rt::time::sleep(CATCH_UP).await;
        cluster.kill(2);
        cluster.add().await;
        let body = cluster.body("job", "i0").await;
        assert_eq!(body.as_deref(), Some("body 0"));
        cluster.submit("next", 1).await;
        cluster.whole().await;
    });
}

#[test]
fn results_beyond_the_memory_for_the_log_outlive_every_disk_in_turn() {
    const TEXTS: usize = 60;
    const TEXT_BYTES: usize = 100_000;
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", TEXTS).await;
        let expected: Vec<ItemOutcome> = (0..TEXTS)
            .map(|number| ItemOutcome::Done(vec![number.to_string().repeat(TEXT_BYTES)]))
            .collect();
        for (number, outcome) in expected.iter().enumerate() {
            cluster.complete("job", number, outcome).await;
        }
        for number in 0..3 {
            cluster.wipe(number).await;
            cluster.votes(number).await;
            cluster.whole().await;
        }
        for (number, outcome) in expected.iter().enumerate() {
            let listed = cluster.result("job", number).await;
            assert!(
                listed == (format!("i{number}"), outcome.clone()),
                "{number}"
            );
        }
    });
}
