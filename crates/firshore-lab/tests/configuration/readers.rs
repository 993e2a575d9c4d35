//! Reads of the object API by nodes whose role changes.

use crate::cluster::{Cluster, until};
use firshore_config::dissemination::Input;
use firshore_config::readers::{Peer, READERS_PER_REGION, reader_order};
use firshore_server::configuration::{advance, peer_of};
use firshore_types::ids::InstanceId;
use std::time::{Duration, Instant};

/// Half of the time for which a read waits, and several times that in which it must be given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_millis(1_000);

/// Peers that all come before `own` in the order of readers.
fn readers_before(own: &Peer) -> Vec<Peer> {
    let comes_first = |other: &Peer| {
        let order = reader_order("configuration-readers", &own.region, [own, other]);
        order[0] == other.instance
    };
    let others = (1..).map(|instance| Peer {
        instance: InstanceId(instance),
        ..own.clone()
    });
    others
        .filter(comes_first)
        .take(READERS_PER_REGION)
        .collect()
}

#[actix_rt::test]
async fn a_reader_that_was_replaced_gives_its_read_up() {
    let cluster = Cluster::start(1).await;
    let shared = &cluster.nodes[0].shared;
    let is_reader = || {
        let now = shared.clock.now();
        shared.dissemination.lock().is_reader(now)
    };
    let statistics = || cluster.platform.statistics();
    until("the node reads", || statistics().waiting == 1).await;
    // From its beginning on, a read waits twice as long as is allowed below.
    let before = statistics().reads;
    until("another read begins", || {
        statistics().reads > before && statistics().waiting == 1
    })
    .await;

    let own = peer_of(shared.members.lock().own());
    let mut peers = readers_before(&own);
    peers.push(own);
    advance(shared, Input::Members(peers));
    assert!(!is_reader(), "two others come first");
    let replaced_at = Instant::now();
    until("the read was given up", || statistics().waiting == 0).await;
    let waited = replaced_at.elapsed();
    assert!(waited < GIVEN_UP_WITHIN, "given up after {waited:?}");
    cluster.stop();
}
