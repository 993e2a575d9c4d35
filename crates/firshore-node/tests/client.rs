//! What the journal's client promises when its tries end differently.

mod cluster;

use cluster::{free_address, log, peers, route, run, secret};
use firshore_gateway::gateway::JobService;
use firshore_link::handshake::ClusterSecret;
use firshore_link::listener::{self, Handler};
use firshore_log::refusal::JournalRefusal;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use firshore_node::journal::registry::{KIND, NodeRecord, Registry};
use firshore_replication::types::DiskId;
use firshore_stand_in::store::MemoryStore;
use firshore_types::error::Execution;
use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, pending, ready};
use std::cell::Cell;
use std::rc::Rc;
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

#[test]
fn a_full_disk_promises_nothing_about_a_try_that_was_not_answered() {
    let cases = [(0, Execution::None), (1, Execution::Unknown)];
    for (silent, expected) in cases {
        run(async move {
            let address = free_address();
            let listener = TcpListener::bind(address).await.unwrap();
            let handler = SilentThenFull {
                silent: Cell::new(silent),
            };
            let secret = ClusterSecret(secret().into());
            actix_rt::spawn(listener::run(listener, secret, Rc::new(handler), log()));
            let store = MemoryStore::new();
            let record = NodeRecord {
                address,
                zone: "z".into(),
                disk: DiskId(1),
            };
            store.put(KIND, "node.n", serde_json::to_value(&record).unwrap());
            let registry = Rc::new(Registry::new(store, log()));
            let client = JournalClient::new("caller".into(), registry, peers());
            let items = cluster::items(1);
            let refused = client.submit(route(), "job".to_owned(), items).await;
            let error = refused.expect_err("there is no space");
            assert_eq!(error.execution, expected, "{silent} silent: {error}");
        });
    }
}
