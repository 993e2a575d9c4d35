//! Whether what a node knows about software versions is current when a stream is taken up.

mod cluster;

use cluster::*;
use firshore_adapter::objects::{Change, Object};
use firshore_gateway::freshness::Freshness;
use firshore_gateway::stream_origin::OriginQuery;
use firshore_node::journal::registry::Registry;
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::relay::client::RelayClient;
use firshore_node::relay::store::RelayedStore;
use firshore_node::stream_origins::StreamOrigins;
use firshore_node::watcher::{self, Watcher};
use firshore_stand_in::adapter::{BACKENDS, Plain};
use serde_json::json;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Age of the relay's observation when it is asked.
const AGE: Duration = Duration::from_millis(900);

/// Time until the relay hears of the store again.
const NEWS_DELAY: Duration = Duration::from_millis(100);

/// Number of times that the age of a copy is measured.
const MEASUREMENTS: u64 = 16;

fn entry(name: &str, version: &str) -> Object {
    Object {
        name: name.to_owned(),
        spec: json!({"service": "s", "address": "127.0.0.1:1", "slots": 1, "leaving": false,
            "software": version}),
        ..Object::default()
    }
}

fn query() -> OriginQuery {
    OriginQuery {
        key: None,
        service: "s".into(),
    }
}

/// Returns the origins of a relay that has observed back ends of one version for 30 s, last [`AGE`] ago.
fn relay_out_of_step() -> Rc<StreamOrigins> {
    let origins = StreamOrigins::new(Rc::new(Plain));
    let as_of = |seconds| firshore_clock::now() - AGE - Duration::from_secs(seconds);
    let listing = ObjectUpdate::All(vec![entry("a", "v1")]);
    origins.observe(BACKENDS, Some(&listing), as_of(30));
    for seconds in (0..30).rev().step_by(5) {
        origins.confirm(BACKENDS, as_of(seconds));
    }
    origins.confirm(BACKENDS, as_of(0));
    origins
}

/// Applies what happened in the store, after a while.
fn hear_of_the_store_later(origins: &Rc<StreamOrigins>, update: Option<ObjectUpdate>) {
    let origins = origins.clone();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(NEWS_DELAY).await;
        origins.observe(BACKENDS, update.as_ref(), firshore_clock::now());
    });
}

#[test]
fn relay_out_of_step_answered_that_there_is_one_version() {
    run(async {
        let origins = relay_out_of_step();
        let joined = ObjectUpdate::Changed(vec![Change::Written(entry("b", "v2"))]);
        hear_of_the_store_later(&origins, Some(joined));
        let known = origins.find(&query()).await;
        assert_eq!(known.only_version(), None, "{known:?}");
        assert_eq!(known.versions.len(), 2);
    });
}

#[test]
fn relay_without_news_answered_that_there_is_one_version() {
    run(async {
        let origins = relay_out_of_step();
        let asked_at = Instant::now();
        let known = origins.find(&query()).await;
        assert_eq!(known.only_version(), None, "{known:?}");
        assert!(
            asked_at.elapsed() < Duration::from_millis(1_000),
            "it answered after {:?}",
            asked_at.elapsed()
        );
    });
}

#[test]
fn relay_answers_once_it_has_heard_of_the_store() {
    run(async {
        let origins = relay_out_of_step();
        hear_of_the_store_later(&origins, None);
        let known = origins.find(&query()).await;
        assert_eq!(known.only_version(), Some(&"v1".into()));
    });
}

/// A relay that knows of two versions, or has just started, has nothing to wait for.
#[test]
fn relay_that_cannot_be_certain_answers_at_once() {
    run(async {
        let asked_at = Instant::now();
        let started = StreamOrigins::new(Rc::new(Plain));
        let two = relay_out_of_step();
        let joined = ObjectUpdate::Changed(vec![Change::Written(entry("b", "v2"))]);
        two.observe(BACKENDS, Some(&joined), firshore_clock::now());
        for origins in [started, two] {
            assert_eq!(origins.find(&query()).await.only_version(), None);
        }
        assert!(asked_at.elapsed() < NEWS_DELAY);
    });
}

fn follow_back_ends(cluster: &Cluster, freshness: &Rc<Freshness>) {
    let client = RelayClient {
        node: "gateway".into(),
        zone: "z1".into(),
        registry: Rc::new(Registry::new(cluster.store.clone(), log())),
        peers: peers(),
        log: log(),
        on_contact: Rc::new(|_, _| {}),
        excluded: RefCell::default(),
    };
    let direct = cluster.store.clone();
    let kind = relayed_kinds().remove(0);
    let watcher = Watcher {
        log: log(),
        store: RelayedStore::new(client, direct, budget(), freshness.clone()),
        kind: kind.name,
        options: kind.options,
        renewal: Rc::default(),
    };
    actix_rt::spawn(watcher::follow(watcher, |_| {}));
}

/// A gateway waits for at most 0.6 of the bound until its copy is as of the moment at which a stream is taken up.
#[test]
fn in_calm_a_copy_is_current_as_of_now_within_the_time_that_a_stream_waits() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.whole().await;
        let freshness = Rc::<Freshness>::default();
        follow_back_ends(&cluster, &freshness);
        freshness.reach(firshore_clock::now()).await;
        let mut waits = Vec::new();
        for number in 0..MEASUREMENTS {
            actix_rt::time::sleep(Duration::from_millis(37 * (number % 8))).await;
            let asked_at = Instant::now();
            freshness.reach(firshore_clock::now()).await;
            waits.push(asked_at.elapsed());
        }
        waits.sort();
        eprintln!("waits: {waits:?}");
        assert!(waits.last() < Some(&budget().bound().mul_f64(0.6)));
    });
}
