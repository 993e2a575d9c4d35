//! What the journal's client promises when its tries end differently.

mod cluster;

use cluster::{free_address, log, peers, route, run, secret};
use firshore_adapter::jobs::JobId;
use firshore_gateway::gateway::JobService;
use firshore_link::handshake::ClusterSecret;
use firshore_link::listener::{self, Handler};
use firshore_log::refusal::JournalRefusal;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::journal::registry::{KIND, NodeRecord, Registry};
use firshore_node::load_table::NodeLoadReport;
use firshore_replication::types::DiskId;
use firshore_stand_in::store::MemoryStore;
use firshore_types::error::Execution;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, pending, ready};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;

/// A leader that is silent at first, then has no space.
struct SilentThenFull {
    silent: Cell<usize>,
}

impl Handler<PeerRequest, PeerResponse> for SilentThenFull {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let left = self.silent.get();
        self.silent.set(left.saturating_sub(1));
        match left {
            0 => ready(PeerResponse::Refused(JournalRefusal::StorageFull)).boxed_local(),
            _ => pending().boxed_local(),
        }
    }
}

/// A follower that names the leader.
struct FollowerOf(&'static str);

impl Handler<PeerRequest, PeerResponse> for FollowerOf {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let leader = Some(self.0.into());
        ready(PeerResponse::Refused(JournalRefusal::NotLeader { leader })).boxed_local()
    }
}

/// A leader that takes loads in.
struct Leader;

impl Handler<PeerRequest, PeerResponse> for Leader {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let counts = Vec::new();
        ready(PeerResponse::Load {
            counts,
            pause: 100,
            age: 0,
            news: None,
            paces: Vec::new(),
            leader: None,
        })
        .boxed_local()
    }
}

/// Starts a node that answers as `handler` does, and registers it.
async fn start_peer(
    store: &MemoryStore,
    node: &str,
    handler: impl Handler<PeerRequest, PeerResponse> + 'static,
) {
    let address = free_address();
    let listener = TcpListener::bind(address).await.unwrap();
    let secret = ClusterSecret(secret().into());
    actix_rt::spawn(listener::run(listener, secret, Rc::new(handler), log()));
    let record = NodeRecord {
        address,
        zone: "z".into(),
        disk: DiskId(1),
    };
    let record = serde_json::to_value(&record).unwrap();
    store.put(KIND, &format!("node.{node}"), record);
}

#[test]
fn loads_reach_a_leader_that_came_after_the_nodes_were_listed() {
    run(async {
        let store = MemoryStore::new();
        start_peer(&store, "old", FollowerOf("new")).await;
        let registry = Rc::new(Registry::new(store.clone(), log()));
        let client = JournalClient::new("caller".into(), registry.clone(), peers(), log());
        registry.refresh().await;
        start_peer(&store, "new", Leader).await;
        let told = async {
            while client
                .report_to_leader(NodeLoadReport::default(), false)
                .await
                .is_none()
            {
                cluster::pause().await;
            }
        };
        let told = tokio::time::timeout(Duration::from_secs(3), told).await;
        told.expect("the leader is told within some looks");
    });
}

/// A node that can fall silent.
struct SilentWhile(Rc<Cell<bool>>);

impl Handler<PeerRequest, PeerResponse> for SilentWhile {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        match self.0.get() {
            true => pending().boxed_local(),
            false => {
                let refusal = JournalRefusal::NotLeader { leader: None };
                ready(PeerResponse::Refused(refusal)).boxed_local()
            }
        }
    }
}

#[test]
fn a_node_that_is_cut_off_says_so_and_refuses_jobs_at_once() {
    run(async {
        let silent = Rc::new(Cell::new(false));
        let store = MemoryStore::new();
        start_peer(&store, "n", SilentWhile(silent.clone())).await;
        let registry = Rc::new(Registry::new(store, log()));
        registry.refresh().await;
        let client = JournalClient::new("caller".into(), registry, peers(), log());
        // Without a leader, but in contact.
        for _ in 0..60 {
            client
                .report_to_leader(NodeLoadReport::default(), false)
                .await;
            cluster::pause().await;
            assert!(client.is_reachable());
        }
        silent.set(true);
        for _ in 0..3 {
            client
                .report_to_leader(NodeLoadReport::default(), false)
                .await;
        }
        assert!(!client.is_reachable());
        let started = std::time::Instant::now();
        let refused = client.submit(route(), JobId::of_nobody("job"), cluster::items(1));
        let error = refused.await.expect_err("nobody answers");
        assert_eq!(error.execution, Execution::None);
        assert!(started.elapsed() < Duration::from_millis(50));
        silent.set(false);
        client
            .report_to_leader(NodeLoadReport::default(), false)
            .await;
        assert!(client.is_reachable());
    });
}

#[test]
fn a_full_disk_promises_nothing_about_a_try_that_was_not_answered() {
    let cases = [(0, Execution::None), (1, Execution::Unknown)];
    for (silent, expected) in cases {
        run(async move {
            let handler = SilentThenFull {
                silent: Cell::new(silent),
            };
            let store = MemoryStore::new();
            start_peer(&store, "n", handler).await;
            let registry = Rc::new(Registry::new(store, log()));
            let client = JournalClient::new("caller".into(), registry, peers(), log());
            let items = cluster::items(1);
            let refused = client.submit(route(), JobId::of_nobody("job"), items).await;
            let error = refused.expect_err("there is no space");
            assert_eq!(error.execution, expected, "{silent} silent: {error}");
        });
    }
}
