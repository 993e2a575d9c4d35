//! Items that are given up without a further run: at the end of their time, or of their route.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::{ItemOutcome, JobId};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::{JobTerms, Route};
use firshore_gateway::gateway::JobService;
use firshore_node::runner::expiry::{JobAges, RouteAbsences};
use firshore_node::runner::waits::{JobWaits, WaitReason};
use firshore_stand_in::adapter::{BACKENDS, CONFIGURATION};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use serde_json::{Value, json};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

const GIVE_UP: Duration = Duration::from_secs(60);

const SECOND: Duration = Duration::from_secs(1);

const ITEMS: usize = 4;

#[test]
fn an_item_is_given_up_only_after_its_deadline() {
    let now = Instant::now();
    let mut ages = JobAges::default();
    assert_eq!(ages.time_left(now, "job", GIVE_UP), GIVE_UP, "not seen yet");
    ages.observe(now, ["job"].into_iter(), |_| true);
    let before = now + GIVE_UP - Duration::from_millis(1);
    assert!(!ages.time_left(before, "job", GIVE_UP).is_zero());
    assert!(ages.time_left(now + GIVE_UP, "job", GIVE_UP).is_zero());
}

/// Each change of leader began the time of an item anew, so that it was given up late or never.
#[test]
fn time_of_a_job_began_anew_with_each_leader() {
    let now = Instant::now();
    // A process that follows observes the jobs, too.
    let mut ages = JobAges::default();
    for second in 0..60 {
        let at = now + second * SECOND;
        assert!(ages.is_due(at));
        ages.observe(at, ["job"].into_iter(), |_| true);
        assert!(!ages.is_due(at + SECOND / 2));
    }
    assert!(ages.time_left(now + GIVE_UP, "job", GIVE_UP).is_zero());
    ages.observe(now + GIVE_UP, std::iter::empty(), |_| false);
    assert_eq!(ages.age(now + GIVE_UP, "job"), Duration::ZERO, "not open");
}

#[test]
fn a_route_has_ended_once_it_was_confirmed_to_be_absent_for_some_time() {
    let now = Instant::now();
    let at = |seconds: u32| now + seconds * SECOND;
    let mut absences = RouteAbsences::default();
    let mut pass = |seconds, as_of: Option<Instant>| {
        let ended = absences.record(at(seconds), "job", as_of);
        absences.end_pass(true);
        ended
    };
    assert!(!pass(0, Some(at(0))));
    assert!(!pass(4, Some(at(4))));
    // A node that is out of touch has an old copy, however long it waits.
    assert!(!pass(3_600, Some(at(4))));
    assert!(!pass(3_601, None));
    assert!(pass(3_602, Some(at(3_602))));
}

#[test]
fn a_route_that_comes_back_begins_its_absence_anew() {
    let now = Instant::now();
    let mut absences = RouteAbsences::default();
    let mut record = |seconds: u32, examined_all, is_absent: bool| {
        let at = now + seconds * SECOND;
        let ended = is_absent && absences.record(at, "job", Some(at));
        absences.end_pass(examined_all);
        ended
    };
    assert!(!record(0, true, true));
    // A pass that ends early says nothing about the items that it did not examine.
    assert!(!record(2, false, false));
    assert!(record(6, true, true));
    assert!(!record(7, true, false), "it is back");
    assert!(!record(8, true, true));
    assert!(!record(12, true, true));
    assert!(record(13, true, true));
}

#[test]
fn what_a_job_waits_for_is_logged_once_if_it_lasts() {
    let now = Instant::now();
    let mut waits = JobWaits::default();
    let mut record = |seconds: u32, reason| waits.record(now + seconds * SECOND, "job", reason);
    assert!(!record(0, WaitReason::NoFreeSlot));
    assert!(!record(4, WaitReason::NoFreeSlot));
    assert!(!record(6, WaitReason::NoRoute));
    assert!(!record(10, WaitReason::NoRoute));
    assert!(record(11, WaitReason::NoRoute));
    assert!(!record(20, WaitReason::NoRoute));
}

fn route_to(service: &str) -> Value {
    json!({"prefix": "/items/", "service": service, "repetition": "job", "timeout": 30_000,
        "attempts": 3})
}

fn put_configuration(cluster: &Cluster, version: u64, routes: &[Value]) {
    let other = json!({"prefix": "/other/", "service": "s", "repetition": "idempotent",
        "timeout": 1_000, "attempts": 1});
    let routes: Vec<&Value> = routes.iter().chain([&other]).collect();
    let spec = json!({"version": version, "routes": routes});
    cluster.store.put(CONFIGURATION, "newest", spec);
}

/// Starts a cluster with a job of which a full back end has been offered an item.
async fn start_with_full_back_end() -> (Cluster, Rc<ScriptedBackend>) {
    let cluster = Cluster::start().await;
    put_configuration(&cluster, 1, &[route_to("s")]);
    let full = ScriptedBackend::start("b", &[], Play::NotRun).await;
    cluster.put_backend(&full, false);
    cluster.submit("job", ITEMS).await;
    while full.seen().is_empty() {
        pause().await;
    }
    (cluster, full)
}

async fn assert_all(cluster: &Cluster, expected: &ItemOutcome) {
    let results = cluster.results("job", ITEMS).await;
    let mut items: Vec<&str> = results.iter().map(|(item, _)| item.as_str()).collect();
    items.sort_unstable();
    assert_eq!(items, ["i0", "i1", "i2", "i3"]);
    for (item, outcome) in &results {
        assert_eq!(outcome, expected, "{item}");
    }
}

/// An operator removed the route of a job; its items were neither run nor ever listed.
#[test]
fn items_whose_route_was_removed_were_never_listed() {
    run(async {
        let (cluster, _full) = start_with_full_back_end().await;
        put_configuration(&cluster, 2, &[]);
        assert_all(&cluster, &ItemOutcome::GivenUp).await;
    });
}

#[test]
fn items_whose_route_was_removed_are_listed_by_the_next_leader() {
    run(async {
        let (mut cluster, _full) = start_with_full_back_end().await;
        put_configuration(&cluster, 2, &[]);
        actix_rt::time::sleep(2 * SECOND).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        assert_all(&cluster, &ItemOutcome::GivenUp).await;
    });
}

#[test]
fn items_run_if_their_route_is_back_with_the_next_version() {
    run(async {
        let (cluster, full) = start_with_full_back_end().await;
        put_configuration(&cluster, 2, &[]);
        actix_rt::time::sleep(2 * SECOND).await;
        cluster.store.remove(BACKENDS, &full.name);
        let free = ScriptedBackend::start("c", &[], Play::Events).await;
        cluster.put_backend(&free, false);
        put_configuration(&cluster, 3, &[route_to("s")]);
        assert_all(&cluster, &whole()).await;
    });
}

#[test]
fn items_run_at_the_service_to_which_their_route_was_moved() {
    run(async {
        let (cluster, _full) = start_with_full_back_end().await;
        let free = ScriptedBackend::start("c", &[], Play::Events).await;
        let spec = json!({"service": "t", "address": free.address, "slots": 10,
            "leaving": false, "software": "v1"});
        cluster.store.put(BACKENDS, "c", spec);
        put_configuration(&cluster, 2, &[route_to("t")]);
        assert_all(&cluster, &whole()).await;
    });
}

/// Items of a service without back ends were never listed, however long ago their time was over.
#[test]
fn items_that_never_ran_were_not_given_up_after_their_time() {
    run(async {
        let mut cluster = Cluster::start().await;
        put_configuration(&cluster, 1, &[route_to("s")]);
        let terms = JobTerms {
            due_after: Some(SECOND),
            give_up_after: 4 * SECOND,
            most_waiting_tokens: None,
        };
        let route = Arc::new(Route {
            jobs: Some(terms),
            ..Route::clone(&route())
        });
        let id = JobId::of_nobody("job");
        let everywhere = ResidencyPermit::default();
        while cluster
            .client
            .submit(route.clone(), everywhere.clone(), id.clone(), items(ITEMS))
            .await
            .is_err()
        {
            pause().await;
        }
        let leader = cluster.leader().await;
        cluster.kill(leader);
        assert_all(&cluster, &ItemOutcome::GivenUp).await;
    });
}
