//! Items while back ends of several software versions serve side by side.

mod cluster;

use cluster::*;
use firshore_adapter::decode::Decoder;
use firshore_adapter::jobs::ItemOutcome;
use firshore_adapter::objects::Object;
use firshore_adapter::text_origin::TextOrigin;
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey};
use firshore_gateway::gateway::OriginStore;
use firshore_gateway::stream_origin::{OriginQuery, OriginRecord, StreamKey};
use firshore_node::journal::registry::Registry;
use firshore_node::origin_exchange::{OriginExchange, OriginStoreClient, rank_holders};
use firshore_stand_in::adapter::{BACKENDS, Plain, RESUME_AFTER};
use firshore_stand_in::backend::{EVENTS, Play, ScriptedBackend};
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

const ITEMS: usize = 4;

/// Starts a back end whose events name its software version.
async fn start_backend(
    cluster: &Cluster,
    name: &str,
    version: &str,
    script: &[Play],
) -> Rc<ScriptedBackend> {
    let backend = ScriptedBackend::start(name, script, Play::Events).await;
    backend.set_text(&format!("{version}-"));
    let spec = json!({"service": "s", "address": backend.address, "slots": 10,
        "leaving": false, "software": version});
    cluster.store.put(BACKENDS, name, spec);
    backend
}

/// Checks that each result is the whole text of a single version.
fn assert_unmixed(results: &[(String, ItemOutcome)]) {
    for (item, outcome) in results {
        let ItemOutcome::Done(text) = outcome else {
            panic!("{item}: {outcome:?}");
        };
        let (version, _) = text[0].split_once('-').unwrap();
        let whole: Vec<String> = (1..=EVENTS)
            .map(|event| format!("{version}-{event}"))
            .collect();
        assert_eq!(*text, whole, "{item}");
    }
}

#[test]
fn item_went_on_at_another_software_version() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let breaks = [Play::Breaks(2); ITEMS];
        let old = start_backend(&cluster, "a", "v1", &breaks).await;
        cluster.submit("job", ITEMS).await;
        while old.seen().is_empty() {
            pause().await;
        }
        start_backend(&cluster, "b", "v2", &[]).await;
        // The last back end of the version that began the items leaves.
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        cluster.store.remove(BACKENDS, "a");
        assert_unmixed(&cluster.results("job", ITEMS).await);
    });
}

/// An item began anew at the process that ran it first, as no other took it; the next leader went on with the events of
/// two runs.
#[test]
fn two_runs_at_one_process_were_joined_by_the_next_leader() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.configure();
        // The first run stops after event 2, the next ones bring none further, and the sixth run begins anew.
        let mut script = vec![Play::Breaks(2); 5];
        script.push(Play::Stalls(3));
        let same = start_backend(&cluster, "a", "v1", &script).await;
        cluster.submit("job", 1).await;
        while same.seen().is_empty() {
            pause().await;
        }
        let full = ScriptedBackend::start("b", &[], Play::NotRun).await;
        let spec = json!({"service": "s", "address": full.address, "slots": 10,
            "leaving": false, "software": "v2"});
        cluster.store.put(BACKENDS, "b", spec);
        while same.seen().len() < script.len() - 1 {
            pause().await;
        }
        same.set_text("again-");
        while same.seen().len() < script.len() {
            pause().await;
        }
        let begun_anew = &same.seen()[script.len() - 1];
        assert!(!begun_anew.headers.contains_key(RESUME_AFTER));
        // Long enough for the followers to hear of event 3.
        actix_rt::time::sleep(Duration::from_millis(1_200)).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        let results = cluster.results("job", 1).await;
        assert_unmixed(&results);
        let continued = &same.seen()[script.len()];
        assert_eq!(
            continued.headers[RESUME_AFTER], "3",
            "the next leader goes on"
        );
    });
}

fn record(attempt: &str) -> OriginRecord {
    let object = Object {
        name: "b".to_owned(),
        spec: json!({"service": "s", "address": "127.0.0.1:1", "slots": 1, "leaving": false,
            "software": "v1"}),
        ..Object::default()
    };
    let input = FingerprintInput {
        tenant: None,
        host: "a.example",
        method: "stream",
        target: "route",
        body: attempt.as_bytes(),
    };
    OriginRecord {
        key: StreamKey(FingerprintKey::new(b"secret").fingerprint(&input)),
        origin: TextOrigin::at(&Plain.backend(&object).unwrap()),
        age: 0,
    }
}

#[test]
fn record_of_a_stream_outlives_one_of_its_holders() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.whole().await;
        let registry = Rc::new(Registry::new(cluster.store.clone(), log()));
        assert!(registry.refresh().await);
        let (node, zone) = ("gateway".into(), "z0".into());
        let exchange = OriginExchange::new(node, zone, registry.clone(), peers(), log());
        let store = OriginStoreClient(exchange);
        let recorded = record("r1");
        assert!(store.record(vec![recorded.clone()]).await);
        // The second copy is sent, too, but nobody waits for it.
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        let holders = rank_holders(&recorded.key, registry.names());
        let first: usize = holders[0].as_str()[1..].parse().unwrap();
        cluster.kill(first);
        let query = |key| OriginQuery {
            key: Some(key),
            service: "s".into(),
        };
        let answers = store.query(query(recorded.key)).await;
        let mut found = answers
            .known
            .iter()
            .filter_map(|known| known.record.as_ref());
        assert_eq!(
            found.next().map(|found| &found.origin),
            Some(&recorded.origin)
        );
        let answers = store.query(query(record("r2").key)).await;
        assert!(answers.holder_answered && answers.has_holders);
        assert!(answers.known.iter().all(|known| known.record.is_none()));
        assert!(
            answers.known.iter().all(|known| !known.complete),
            "none has watched for as long as a stream lasts"
        );
    });
}
