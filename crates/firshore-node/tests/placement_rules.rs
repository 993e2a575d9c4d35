//! Rules on where items run and jobs are stored, in a cluster: drained zones, cold back ends, allowed regions.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::{ItemOutcome, JobId};
use firshore_adapter::residency::{AllowedRegions, ResidencyPermit, ZoneRegions};
use firshore_gateway::gateway::JobService;
use firshore_node::load_table::NodeLoadReport;
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION, ZONE_DRAINS};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_types::error::ErrorCode;
use serde_json::{Value, json};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

const ITEMS: usize = 6;

async fn start_backend(cluster: &Cluster, name: &str, extra: Value) -> Rc<ScriptedBackend> {
    let backend = ScriptedBackend::start(name, &[], Play::Events).await;
    let mut spec = json!({"service": "s", "address": backend.address, "slots": 10,
        "leaving": false});
    for (key, value) in extra.as_object().unwrap() {
        spec[key] = value.clone();
    }
    cluster.store.put(BACKENDS, name, spec);
    backend
}

async fn run_job(cluster: &Cluster, job: &str) {
    cluster.submit(job, ITEMS).await;
    let results = cluster.results(job, ITEMS).await;
    let done = results
        .iter()
        .filter(|(_, outcome)| matches!(outcome, ItemOutcome::Done(_)));
    assert_eq!(done.count(), ITEMS, "{job}");
}

/// Waits until the leader's gateway has heard of a change of the drains.
async fn wait_for_spread() {
    actix_rt::time::sleep(Duration::from_millis(1_500)).await;
}

#[test]
fn items_leave_a_drained_zone_and_return_after_the_drain() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let here = start_backend(&cluster, "a", json!({"zone": "here"})).await;
        let there = start_backend(&cluster, "b", json!({"zone": "there"})).await;
        cluster.store.put(ZONE_DRAINS, "here", json!({}));
        run_job(&cluster, "drained").await;
        assert_eq!((here.seen().len(), there.seen().len()), (0, ITEMS));
        cluster.store.remove(ZONE_DRAINS, "here");
        cluster.store.put(ZONE_DRAINS, "there", json!({}));
        wait_for_spread().await;
        run_job(&cluster, "returned").await;
        assert_eq!((here.seen().len(), there.seen().len()), (ITEMS, ITEMS));
    });
}

#[test]
fn permits_for_a_cold_back_end_reach_other_nodes_and_bound_the_items() {
    run(async {
        let cluster = Cluster::start().await;
        let route = json!({"prefix": "/items/", "service": "s", "repetition": "job",
            "timeout": 30_000, "attempts": 3});
        let spec = json!({"version": 1, "routes": [route], "cold_rates": {"s": 4.0}});
        cluster.store.put(CONFIGURATION, "newest", spec);
        let cold = start_backend(&cluster, "a", json!({"cold_ms": 60_000})).await;
        cluster.submit("job", ITEMS).await;
        let permits = loop {
            let response = cluster
                .client
                .report_to_leader(NodeLoadReport::default(), false)
                .await;
            if let Some(response) = response.filter(|response| !response.permits.is_empty()) {
                break response.permits;
            }
            pause().await;
        };
        assert_eq!(permits[0].backend, "a");
        let before = cold.seen().len();
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        let in_one_second = cold.seen().len() - before;
        // The rate times 1.4, plus 1.
        assert!(in_one_second <= 6, "{in_one_second} items in a second");
        cluster.results("job", ITEMS).await;
    });
}

#[test]
fn a_job_that_may_not_be_stored_on_all_disks_is_refused() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("anywhere", 1).await;
        cluster.whole().await;
        let zones = ["z0", "z1", "z2"].map(|zone| (zone.into(), format!("region of {zone}")));
        let zones = zones.map(|(zone, region)| (zone, region.as_str().into()));
        let regions = Arc::new(ZoneRegions::new(zones.into_iter().collect()));
        let submit = async |job: &str, allowed: &[&str]| {
            let allowed = allowed
                .iter()
                .map(|zone| format!("region of {zone}").as_str().into());
            let allowed = AllowedRegions::new(allowed);
            let permit = ResidencyPermit::new(&allowed, None, &regions);
            let job = JobId::of_nobody(job);
            cluster.client.submit(route(), permit, job, items(1)).await
        };
        let refused = submit("two", &["z0", "z1"]).await.unwrap_err();
        assert_eq!(refused.code, ErrorCode::NoAllowedRegion);
        let job = JobId::of_nobody("two");
        let results = cluster.client.results(job, 0, Duration::ZERO).await;
        assert_eq!(results.unwrap(), None, "nothing is stored");
        submit("all", &["z0", "z1", "z2"]).await.unwrap();
    });
}
