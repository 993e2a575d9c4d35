//! Guards against a relay that reports outdated data as current after its machine was suspended: the monotonic clock
//! doesn't advance meanwhile.

mod cluster;

use cluster::{log, relayed_kinds, run};
use firshore_node::journal::messages::PeerResponse;
use firshore_node::relay::Relay;
use firshore_node::stream_origins::StreamOrigins;
use firshore_stand_in::adapter::{CONFIGURATION, Plain};
use firshore_stand_in::store::MemoryStore;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

const SUSPENSION: Duration = Duration::from_secs(5);

#[test]
fn a_relay_has_no_contact_after_a_suspension() {
    run(async {
        let store = MemoryStore::new();
        store.put(CONFIGURATION, "newest", json!({"version": 1}));
        let relay = Relay::new(
            store,
            log(),
            relayed_kinds(),
            Rc::new(|_, _| {}),
            StreamOrigins::new(Rc::new(Plain)),
        );
        let page = relay.list(CONFIGURATION, None, 0).await;
        let PeerResponse::Page(page) = page else {
            panic!("{page:?}");
        };
        assert!(page.contact.age < 1_000);
        firshore_clock::simulate_suspension(SUSPENSION);
        let response = relay
            .watch(CONFIGURATION, page.revision, Duration::ZERO)
            .await;
        assert!(matches!(response, PeerResponse::NoContact), "{response:?}");
    });
}
