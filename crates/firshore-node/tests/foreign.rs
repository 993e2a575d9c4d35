//! Objects that somebody else has written into the store, or mangled. A change that could not be read left the
//! back end in use as it had been before, for as long as nobody listed anew; a record of the voters that could
//! not be read left the former one in force; and a node whose own record was mangled before it had read it
//! never wrote it anew. What cannot be read names nothing, and what stands beside it holds.

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

/// Guard against a test that hangs.
const LIMIT: Duration = Duration::from_secs(20);

/// Contents that no back end has.
fn unreadable() -> Vec<Value> {
    vec![
        Value::Null,
        json!([]),
        json!("entry"),
        json!({"service": "s"}),
        json!({"service": "s", "address": "nowhere", "slots": 10, "leaving": false}),
        json!({"service": "s", "address": "127.0.0.1:9", "slots": -1, "leaving": false}),
        deep(),
    ]
}

/// As deep as an object can be that a store takes: what wraps it is deeper.
fn deep() -> Value {
    let mut value = json!(1);
    for _ in 0..127 {
        value = json!([value]);
    }
    value
}

async fn knows(cluster: &Cluster, count: usize, what: &str) {
    let wait = async {
        while cluster.backends_known().await != count {
            pause().await;
        }
    };
    let known = tokio::time::timeout(LIMIT, wait).await;
    assert!(
        known.is_ok(),
        "{what}: {} are known, not {count}",
        cluster.backends_known().await
    );
}

#[test]
fn a_back_end_whose_entry_cannot_be_read_any_more_gets_nothing_new() {
    run(async {
        let cluster = Cluster::start().await;
        let kept = ScriptedBackend::start("kept", &[], Play::Events).await;
        let odd = ScriptedBackend::start("odd", &[], Play::Events).await;
        cluster.put_backend(&kept, false);
        cluster.put_backend(&odd, false);
        knows(&cluster, 2, "both are listed").await;
        for spec in unreadable() {
            cluster.store.put(BACKENDS, "odd", spec.clone());
            knows(&cluster, 1, &format!("unreadable: {spec}")).await;
            cluster.put_backend(&odd, false);
            knows(&cluster, 2, &format!("readable after {spec}")).await;
        }
        cluster.store.put(BACKENDS, "odd", deep());
        cluster.store.forget_history();
        knows(&cluster, 1, "listed anew").await;
    });
}

#[test]
fn a_configuration_that_cannot_be_read_leaves_the_former_in_force() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let leader = cluster.leader().await;
        let gateway = &cluster.nodes[leader].as_ref().unwrap().gateway;
        let version = || gateway.configuration().map(|one| one.version);
        while version() != Some(1) {
            pause().await;
        }
        for spec in [Value::Null, json!([]), json!({"version": 2}), deep()] {
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

fn listed(registry: &Registry, store: &MemoryStore, names: &[&str]) {
    let objects = names.iter().filter_map(|name| store.object(KIND, name));
    registry.apply(ObjectUpdate::All(objects.collect()));
}

fn changed(registry: &Registry, store: &MemoryStore, name: &str) {
    let object = store.object(KIND, name).unwrap();
    registry.apply(ObjectUpdate::Changed(vec![Change::Written(object)]));
}

const VOTERS: &str = "voters.0";

// Whoever is the only voter left goes on alone by this record. One that cannot be read may name anybody.
#[test]
fn a_record_of_voters_that_cannot_be_read_is_neither_absent_nor_the_former() {
    run(async {
        let store = MemoryStore::new();
        let registry = Registry::new(store.clone(), log());
        store.put(
            KIND,
            VOTERS,
            serde_json::to_value(voters(&[1, 2], true)).unwrap(),
        );
        listed(&registry, &store, &[VOTERS]);
        assert_eq!(registry.recorded_voters(), Some(voters(&[1, 2], true)));
        store.put(KIND, VOTERS, json!(["mangled"]));
        changed(&registry, &store, VOTERS);
        assert_eq!(registry.recorded_voters(), None, "nothing is known of them");
        let calls = store.calls();
        registry.record_voters(&voters(&[1], false)).await;
        assert_eq!(
            store.calls(),
            calls,
            "nobody writes over what cannot be read"
        );
        let found = store.object(KIND, VOTERS).unwrap();
        assert_eq!(found.spec, json!(["mangled"]));
        store.put(
            KIND,
            VOTERS,
            serde_json::to_value(voters(&[1, 3], true)).unwrap(),
        );
        changed(&registry, &store, VOTERS);
        registry.record_voters(&voters(&[1], false)).await;
        let found = store.object(KIND, VOTERS).unwrap();
        assert_eq!(
            found.spec,
            serde_json::to_value(voters(&[1], false)).unwrap()
        );
    });
}

#[test]
fn a_node_writes_its_own_record_anew_where_it_cannot_be_read() {
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
            listed(&registry, &store, &["node.n"]);
            assert!(!registry.is_registered(&"n".into(), &record), "{before}");
            registry.register(&"n".into(), &record).await;
            let found = store.object(KIND, "node.n").unwrap();
            assert_eq!(
                found.spec,
                serde_json::to_value(&record).unwrap(),
                "{before}"
            );
            listed(&registry, &store, &["node.n"]);
            assert!(registry.is_registered(&"n".into(), &record), "{before}");
        }
    });
}

#[test]
fn a_node_whose_record_is_mangled_is_still_reached() {
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
fn refusals_are_told_once_each_and_a_few_a_second() {
    let mut refusals = RefusalLog::default();
    let start = Instant::now();
    assert_eq!(refusals.should_log(start, "a", 1), Some(0));
    assert_eq!(refusals.should_log(start, "a", 1), None, "told already");
    assert_eq!(refusals.should_log(start, "a", 2), Some(0), "written anew");
    let names: Vec<String> = (0..2_000).map(|number| format!("n{number}")).collect();
    let told = names
        .iter()
        .filter_map(|name| refusals.should_log(start, name, 1));
    assert_eq!(told.count(), 3, "a few a second");
    let later = start + Duration::from_secs(1);
    assert_eq!(
        refusals.should_log(later, "b", 1),
        Some(1_997),
        "what was not told is counted"
    );
    assert_eq!(refusals.should_log(later, "a", 2), None);
    refusals.forget("a");
    assert_eq!(refusals.should_log(later, "a", 2), Some(0));
}
