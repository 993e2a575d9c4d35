//! Tests of the journal client's result when its attempts end differently.

mod cluster;

use cluster::{free_address, log, peers, route, run, secret};
use firshore_adapter::jobs::JobId;
use firshore_adapter::residency::ResidencyPermit;
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

/// A leader that is unresponsive for a number of requests, then has no space.
struct UnresponsiveThenFull {
    unresponsive: Cell<usize>,
}

impl Handler<PeerRequest, PeerResponse> for UnresponsiveThenFull {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let remaining = self.unresponsive.get();
        self.unresponsive.set(remaining.saturating_sub(1));
        match remaining {
            0 => ready(PeerResponse::Refused(JournalRefusal::StorageFull)).boxed_local(),
            _ => pending().boxed_local(),
        }
    }
}

/// A follower that responds with the leader's name.
struct FollowerOf(&'static str);

impl Handler<PeerRequest, PeerResponse> for FollowerOf {
    fn notice(&self, _: PeerRequest) {}

    fn answer(&self, _: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let leader = Some(self.0.into());
        ready(PeerResponse::Refused(JournalRefusal::NotLeader { leader })).boxed_local()
    }
}

/// A leader that accepts load reports.
struct AcceptingLeader;

impl Handler<PeerRequest, PeerResponse> for AcceptingLeader {
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
            permits: Vec::new(),
        })
        .boxed_local()
    }
}

/// Starts a node that responds as `handler` does, and registers it.
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
fn load_reports_reach_a_leader_registered_after_the_listing() {
    run(async {
        let store = MemoryStore::new();
        start_peer(&store, "old", FollowerOf("new")).await;
        let registry = Rc::new(Registry::new(store.clone(), log()));
        let client = JournalClient::new("caller".into(), registry.clone(), peers(), log());
        registry.refresh().await;
        start_peer(&store, "new", AcceptingLeader).await;
        let reported = async {
            while client
                .report_to_leader(NodeLoadReport::default(), false)
                .await
                .is_none()
            {
                cluster::pause().await;
            }
        };
        let reported = tokio::time::timeout(Duration::from_secs(3), reported).await;
        reported.expect("the report reaches the leader within a few attempts");
    });
}

/// A node that is unresponsive while the flag is set.
struct UnresponsiveWhile(Rc<Cell<bool>>);

impl Handler<PeerRequest, PeerResponse> for UnresponsiveWhile {
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
fn an_isolated_node_is_unreachable_and_refuses_jobs_immediately() {
    run(async {
        let unresponsive = Rc::new(Cell::new(false));
        let store = MemoryStore::new();
        start_peer(&store, "n", UnresponsiveWhile(unresponsive.clone())).await;
        let registry = Rc::new(Registry::new(store, log()));
        registry.refresh().await;
        let client = JournalClient::new("caller".into(), registry, peers(), log());
        // No leader, but the peer responds.
        for _ in 0..60 {
            client
                .report_to_leader(NodeLoadReport::default(), false)
                .await;
            cluster::pause().await;
            assert!(client.is_reachable());
        }
        unresponsive.set(true);
        for _ in 0..3 {
            client
                .report_to_leader(NodeLoadReport::default(), false)
                .await;
        }
        assert!(!client.is_reachable());
        let start = std::time::Instant::now();
        let submitted = client.submit(
            route(),
            ResidencyPermit::default(),
            JobId::of_nobody("job"),
            cluster::items(1),
        );
        let error = submitted.await.expect_err("no node responds");
        assert_eq!(error.execution, Execution::None);
        assert!(start.elapsed() < Duration::from_millis(50));
        unresponsive.set(false);
        client
            .report_to_leader(NodeLoadReport::default(), false)
            .await;
        assert!(client.is_reachable());
    });
}

#[test]
fn a_storage_refusal_after_an_unanswered_attempt_leaves_the_execution_unknown() {
    let cases = [(0, Execution::None), (1, Execution::Unknown)];
    for (unresponsive, expected) in cases {
        run(async move {
            let handler = UnresponsiveThenFull {
                unresponsive: Cell::new(unresponsive),
            };
            let store = MemoryStore::new();
            start_peer(&store, "n", handler).await;
            let registry = Rc::new(Registry::new(store, log()));
            let client = JournalClient::new("caller".into(), registry, peers(), log());
            let items = cluster::items(1);
            let submitted = client
                .submit(
                    route(),
                    ResidencyPermit::default(),
                    JobId::of_nobody("job"),
                    items,
                )
                .await;
            let error = submitted.expect_err("there is no space");
            assert_eq!(
                error.execution, expected,
                "{unresponsive} unresponsive: {error}"
            );
        });
    }
}
