//! Unreadable objects that another writer left in the store: they must not keep an earlier back end or record of
//! voters in force, must not stop a node from rewriting its record, and must not affect other objects.

mod cluster;

use cluster::{Cluster, log, pause, run};
use firshore_adapter::objects::{Change, Object};
use firshore_node::journal::registry::{KIND, NodeRecord, Registry, VoterRecord};
use firshore_node::list_watch::ObjectUpdate;
use firshore_node::refusals::RefusalLog;
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::store::MemoryStore;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Fails a test that hangs.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Specs that are not valid back ends.
fn unreadable_specs() -> Vec<Value> {
    vec![
        Value::Null,
        json!([]),
        json!("entry"),
        json!({"service": "s"}),
        json!({"service": "s", "address": "nowhere", "slots": 10, "leaving": false}),
        json!({"service": "s", "address": "127.0.0.1:9", "slots": -1, "leaving": false}),
        deep_spec(),
    ]
}

/// Returns a spec of the maximum depth that the store accepts; its wrapping adds to the depth.
fn deep_spec() -> Value {
    let mut value = json!(1);
    for _ in 0..127 {
        value = json!([value]);
    }
    value
}

async fn wait_for_backends(cluster: &Cluster, count: usize, what: &str) {
    let wait = async {
        while cluster.backends_known().await != count {
            pause().await;
        }
    };
    let result = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(
        result.is_ok(),
        "{what}: {} known, expected {count}",
        cluster.backends_known().await
    );
}

#[test]
fn back_end_with_an_unreadable_entry_gets_no_requests() {
    run(async {
        let cluster = Cluster::start().await;
        let kept = ScriptedBackend::start("kept", &[], Play::Events).await;
        let odd = ScriptedBackend::start("odd", &[], Play::Events).await;
        cluster.put_backend(&kept, false);
        cluster.put_backend(&odd, false);
        wait_for_backends(&cluster, 2, "both are listed").await;
        for spec in unreadable_specs() {
            cluster.store.put(BACKENDS, "odd", spec.clone());
            wait_for_backends(&cluster, 1, &format!("unreadable: {spec}")).await;
            cluster.put_backend(&odd, false);
            wait_for_backends(&cluster, 2, &format!("readable after {spec}")).await;
        }
        cluster.store.put(BACKENDS, "odd", deep_spec());
        cluster.store.forget_history();
        wait_for_backends(&cluster, 1, "listed again").await;
    });
}

#[test]
fn unreadable_configuration_keeps_the_former_one() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let leader = cluster.leader().await;
        let gateway = &cluster.nodes[leader].as_ref().unwrap().gateway;
        let version = || gateway.configuration().map(|one| one.version);
        while version() != Some(1) {
            pause().await;
        }
        for spec in [Value::Null, json!([]), json!({"version": 2}), deep_spec()] {
            cluster.store.put(CONFIGURATION, "newest", spec);
        }
        cluster.store.put(BACKENDS, "odd", Value::Null);
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(version(), Some(1));
        cluster
            .store
            .put(CONFIGURATION, "newest", json!({"version": 3, "routes": []}));
        while version() != Some(3) {
            pause().await;
        }
    });
}

fn voters(disks: &[u64], settled: bool) -> VoterRecord {
    VoterRecord {
        voters: disks
            .iter()
            .copied()
            .map(DiskId)
            .collect::<BTreeSet<DiskId>>(),
        settled,
        ..VoterRecord::default()
    }
}

fn apply_listing(registry: &Registry, store: &MemoryStore, names: &[&str]) {
    let objects = names.iter().filter_map(|name| store.object(KIND, name));
    registry.apply(ObjectUpdate::All(objects.collect()));
}

fn apply_change(registry: &Registry, store: &MemoryStore, name: &str) {
    let object = store.object(KIND, name).unwrap();
    registry.apply(ObjectUpdate::Changed(vec![Change::Written(object)]));
}

const VOTERS: &str = "voters.0";

// The last voter continues alone because of this record. An unreadable one may name any voters.
#[test]
fn unreadable_record_of_voters_is_unknown() {
    run(async {
        let store = MemoryStore::new();
        let registry = Registry::new(store.clone(), log());
        store.put(
            KIND,
            VOTERS,
            serde_json::to_value(voters(&[1, 2], true)).unwrap(),
        );
        apply_listing(&registry, &store, &[VOTERS]);
        assert_eq!(registry.recorded_voters(), Some(voters(&[1, 2], true)));
        store.put(KIND, VOTERS, json!(["mangled"]));
        apply_change(&registry, &store, VOTERS);
        assert_eq!(registry.recorded_voters(), None, "the voters are unknown");
        let calls = store.calls();
        registry.record_voters(&voters(&[1], false)).await;
        assert_eq!(
            store.calls(),
            calls,
            "an unreadable record is not overwritten"
        );
        let found = store.object(KIND, VOTERS).unwrap();
        assert_eq!(found.spec, json!(["mangled"]));
        store.put(
            KIND,
            VOTERS,
            serde_json::to_value(voters(&[1, 3], true)).unwrap(),
        );
        apply_change(&registry, &store, VOTERS);
        registry.record_voters(&voters(&[1], false)).await;
        let found = store.object(KIND, VOTERS).unwrap();
        assert_eq!(
            found.spec,
            serde_json::to_value(voters(&[1], false)).unwrap()
        );
    });
}

#[test]
fn node_rewrites_its_unreadable_record() {
    run(async {
        let store = MemoryStore::new();
        let registry = Rc::new(Registry::new(store.clone(), log()));
        let record = NodeRecord {
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "here".into(),
            disk: DiskId(7),
        };
        for before in ["unknown", "known"] {
            store.put(KIND, "node.n", json!({"address": 4}));
            apply_listing(&registry, &store, &["node.n"]);
            assert!(!registry.is_registered(&"n".into(), &record), "{before}");
            registry.register(&"n".into(), &record).await;
            let found = store.object(KIND, "node.n").unwrap();
            assert_eq!(
                found.spec,
                serde_json::to_value(&record).unwrap(),
                "{before}"
            );
            apply_listing(&registry, &store, &["node.n"]);
            assert!(registry.is_registered(&"n".into(), &record), "{before}");
        }
    });
}

#[test]
fn node_with_an_unreadable_record_keeps_its_address() {
    let store = MemoryStore::new();
    let registry = Registry::new(store.clone(), log());
    let spec = json!({"address": "127.0.0.1:9", "zone": "here", "disk": 7});
    let object = |spec: Value, revision| Object {
        name: "node.n".to_owned(),
        revision,
        spec,
        ..Object::default()
    };
    registry.apply(ObjectUpdate::All(vec![object(spec, 4)]));
    registry.apply(ObjectUpdate::Changed(vec![Change::Written(object(
        json!([]),
        5,
    ))]));
    assert_eq!(
        registry.address(&"n".into()),
        Some("127.0.0.1:9".parse().unwrap())
    );
}

#[test]
fn refusals_are_logged_once_each_and_rate_limited() {
    let mut refusals = RefusalLog::default();
    let start = Instant::now();
    assert_eq!(refusals.should_log(start, "a", 1), Some(0));
    assert_eq!(refusals.should_log(start, "a", 1), None, "already logged");
    assert_eq!(
        refusals.should_log(start, "a", 2),
        Some(0),
        "a new revision"
    );
    let names: Vec<String> = (0..2_000).map(|number| format!("n{number}")).collect();
    let logged = names
        .iter()
        .filter_map(|name| refusals.should_log(start, name, 1));
    assert_eq!(logged.count(), 3, "at most three per second");
    let later = start + Duration::from_secs(1);
    assert_eq!(
        refusals.should_log(later, "b", 1),
        Some(1_997),
        "suppressed refusals are counted"
    );
    assert_eq!(refusals.should_log(later, "a", 2), None);
    refusals.forget("a");
    assert_eq!(refusals.should_log(later, "a", 2), Some(0));
}
