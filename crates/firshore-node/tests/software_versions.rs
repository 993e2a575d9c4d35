//! Items while back ends of several software versions serve side by side.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::ItemOutcome;
use firshore_stand_in::adapter::BACKENDS;
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
