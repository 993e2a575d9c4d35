//! Tests of batch jobs on a cluster of three disks, with faults of disks, nodes, the object store and back ends.

mod cluster;

use firshore_adapter::jobs::{ItemOutcome, JobId};
use firshore_adapter::residency::ResidencyPermit;
use firshore_crashes::fingerprint::{FingerprintInput, PartInput};
use firshore_crashes::report::{CrashReport, LostRun, ReportedExit};
use firshore_crashes::sync::CrashSyncRequest;
use firshore_gateway::gateway::JobService;
use firshore_node::journal::GROUP;
use firshore_node::journal::client::JournalClient;
use firshore_node::journal::messages::PeerRequest;
use firshore_node::journal::registry::Registry;
use firshore_replication::message::{Envelope, Message};
use firshore_replication::types::DiskId;
use firshore_stand_in::adapter::{BACKENDS, HOST, KEY, PROMPT, RETIREMENTS, TENANT};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_stand_in::store::Fault;
use firshore_types::ids::TenantName;
use serde_json::json;
use std::rc::Rc;
use std::time::Duration;

use cluster::*;

#[test]
fn items_get_results_despite_back_end_failures() {
    let scripts: [(&[Play], ItemOutcome); 7] = [
        (&[], whole()),
        (&[Play::Breaks(2), Play::Breaks(3)], whole()),
        (&[Play::NotRun, Play::Closed, Play::Garbage], whole()),
        (&[Play::Fails, Play::Fails], whole()),
        (
            &[Play::Fails, Play::Fails, Play::Fails],
            ItemOutcome::GivenUp,
        ),
        (&[Play::Impossible], ItemOutcome::GivenUp),
        (&[Play::Misdirected, Play::FalsePromise], whole()),
    ];
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        for (number, (script, expected)) in scripts.into_iter().enumerate() {
            let name = format!("b{number}");
            let backend = ScriptedBackend::start(&name, script, Play::Events).await;
            cluster.put_backend(&backend, false);
            let job = format!("job{number}");
            cluster.submit(&job, 1).await;
            let results = cluster.results(&job, 1).await;
            assert_eq!(results, [("i0".to_owned(), expected)], "{script:?}");
            let seen = backend.seen();
            assert_eq!(seen[0].body, b"body 0", "{script:?}");
            assert_eq!(seen[0].path, "/items/0", "{script:?}");
            cluster.store.remove(BACKENDS, &name);
            // The next item must not be sent to this back end.
            while cluster.backends_known().await > 0 {
                pause().await;
            }
        }
    });
}

#[test]
fn a_job_survives_the_kill_of_its_leader() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("job", 5).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        let results = cluster.results("job", 5).await;
        assert!(results.iter().all(|(_, outcome)| *outcome == whole()));
        cluster.restart(leader).await;
        assert_eq!(
            cluster.results("job", 5).await,
            results,
            "positions are unchanged"
        );
    });
}

#[test]
fn accepted_jobs_survive_a_lost_disk_and_a_kill_of_all_nodes() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        cluster.submit("done", 3).await;
        let results = cluster.results("done", 3).await;
        cluster.store.remove(BACKENDS, "b");
        cluster.submit("open", 2).await;
        let leader = cluster.leader().await;
        for number in 0..3 {
            cluster.kill(number);
        }
        cluster.folders[leader] = tempfile::tempdir().unwrap();
        for number in 0..3 {
            cluster.restart(number).await;
        }
        assert_eq!(cluster.results("done", 3).await, results);
        let body = cluster.body("open", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
        cluster.whole().await;
    });
}

#[test]
fn a_disk_loss_right_after_a_retirement_loses_no_jobs() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.store.put(RETIREMENTS, "n1", json!({}));
        loop {
            let object = cluster.store.object(RETIREMENTS, "n1").unwrap();
            if object.status == json!("done") {
                break;
            }
            pause().await;
        }
        cluster.kill(1);
        cluster.wipe(0).await;
        let body = cluster.body("job", "i0").await;
        assert_eq!(body.as_deref(), Some("body 0"));
        cluster.submit("next", 1).await;
        cluster.whole().await;
    });
}

#[test]
fn a_retired_node_is_replaced_by_one_at_another_address() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.add().await;
        cluster.store.put(RETIREMENTS, "n0", json!({}));
        while cluster.store.object(RETIREMENTS, "n0").unwrap().status != json!("done") {
            pause().await;
        }
        cluster.kill(0);
        cluster.whole().await;
        let body = cluster.body("job", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
    });
}

#[test]
fn items_carry_their_tenant_despite_forged_headers() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        let owners = [Some("ann"), None];
        for (number, owner) in owners.into_iter().enumerate() {
            let job = JobId {
                tenant: owner.map(TenantName::from),
                id: format!("job{number}"),
            };
            let mut items = items(1);
            for (name, value) in [(TENANT, "eve"), ("X-Tenant", "bob"), (KEY, "secret")] {
                items[0].headers.push((name.to_owned(), value.to_owned()));
            }
            while cluster
                .client
                .submit(
                    route(),
                    ResidencyPermit::default(),
                    job.clone(),
                    items.clone(),
                )
                .await
                .is_err()
            {
                pause().await;
            }
            while backend.seen().len() <= number {
                pause().await;
            }
            let seen = &backend.seen()[number].headers;
            assert_eq!(seen.get(TENANT).map(String::as_str), owner);
            assert_eq!(seen.get(KEY), None);
            assert_eq!(seen.get("x-own").map(String::as_str), Some("kept"));
        }
    });
}

#[test]
fn an_ended_job_no_longer_runs() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Stalls(1)).await;
        cluster.put_backend(&backend, false);
        cluster.submit("job", 1).await;
        while backend.seen().is_empty() {
            pause().await;
        }
        assert!(cluster.client.end(JobId::of_nobody("job")).await.unwrap());
        while backend.left() == 0 {
            pause().await;
        }
        assert!(
            cluster.client.end(JobId::of_nobody("job")).await.unwrap(),
            "ending twice succeeds"
        );
        assert!(!cluster.client.end(JobId::of_nobody("other")).await.unwrap());
        assert_eq!(cluster.body("job", "i0").await, None);
    });
}

#[test]
fn jobs_run_during_a_store_outage() {
    for fault in [Fault::Refuses, Fault::Silent, Fault::LosesAnswers] {
        run(async move {
            let mut cluster = Cluster::start().await;
            cluster.configure();
            let backend = ScriptedBackend::start("b", &[], Play::Events).await;
            cluster.put_backend(&backend, false);
            cluster.submit("before", 1).await;
            cluster.results("before", 1).await;
            cluster.store.set_fault(fault);
            cluster.submit("meanwhile", 3).await;
            let results = cluster.results("meanwhile", 3).await;
            assert_eq!(results.len(), 3, "{fault:?}");
            let leader = cluster.leader().await;
            cluster.kill(leader);
            cluster.submit("without the leader", 1).await;
            cluster.store.set_fault(Fault::None);
            assert_eq!(cluster.results("without the leader", 1).await.len(), 1);
        });
    }
}

#[test]
fn a_leaving_back_end_gets_no_items() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let leaving = ScriptedBackend::start("leaving", &[], Play::Events).await;
        let stays = ScriptedBackend::start("stays", &[], Play::Events).await;
        cluster.put_backend(&leaving, true);
        cluster.submit("job", 4).await;
        cluster.store.forget_history();
        cluster.put_backend(&stays, false);
        assert_eq!(cluster.results("job", 4).await.len(), 4);
        assert_eq!((leaving.seen().len(), stays.seen().len()), (0, 4));
    });
}

#[test]
fn a_restarted_node_rejoins_at_another_address() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 1).await;
        let before = cluster.nodes[2].as_ref().unwrap().address;
        cluster.kill(2);
        cluster.restart(2).await;
        let after = cluster.nodes[2].as_ref().unwrap().address;
        assert_ne!(before, after);
        cluster.whole().await;
    });
}

#[test]
fn a_new_disk_holds_all_entries_after_the_catch_up_time() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        let lost = cluster.leader().await;
        cluster.kill(lost);
        cluster.add().await;
        // After the catch-up time, another disk may be lost.
        actix_rt::time::sleep(CATCH_UP).await;
        let next = cluster.leader().await;
        cluster.wipe(next).await;
        let body = cluster.body("job", "i1").await;
        assert_eq!(body.as_deref(), Some("body 1"));
    });
}

#[test]
fn one_of_two_voters_continues_alone_after_the_other_is_lost() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 2).await;
        cluster.store.put(RETIREMENTS, "n1", json!({}));
        while cluster.store.object(RETIREMENTS, "n1").unwrap().status != json!("done") {
            pause().await;
        }
        cluster.kill(1);
        // The nodes must know the group of two voters before one of them may be lost.
        actix_rt::time::sleep(CATCH_UP).await;
        cluster.kill(2);
        cluster.add().await;
        let body = cluster.body("job", "i0").await;
        assert_eq!(body.as_deref(), Some("body 0"));
        cluster.submit("next", 1).await;
        cluster.whole().await;
    });
}

#[test]
fn results_larger_than_log_memory_survive_successive_disk_losses() {
    const RESULTS: usize = 60;
    const RESULT_BYTES: usize = 100_000;
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", RESULTS).await;
        let expected: Vec<ItemOutcome> = (0..RESULTS)
            .map(|number| ItemOutcome::Done(vec![number.to_string().repeat(RESULT_BYTES)]))
            .collect();
        for (number, outcome) in expected.iter().enumerate() {
            cluster.complete("job", number, outcome).await;
        }
        for number in 0..3 {
            cluster.wipe(number).await;
            cluster.wait_until_voter(number).await;
            cluster.whole().await;
        }
        for (number, outcome) in expected.iter().enumerate() {
            let listed = cluster.result("job", number).await;
            assert!(
                listed == (format!("i{number}"), outcome.clone()),
                "{number}"
            );
        }
    });
}

#[test]
fn the_latest_address_of_a_peer_is_kept() {
    run(async {
        let cluster = Cluster::start().await;
        let node = cluster.nodes[0].as_ref().unwrap();
        let addresses = node.journal.registry.addresses();
        let (first, second, late) = (free_address(), free_address(), free_address());
        // The store lists no such node: its address comes only from its messages.
        for (address, revision, expected) in [
            (first, 100, first),
            (second, 102, second),
            (late, 101, second),
        ] {
            let notice = PeerRequest::Replication {
                group: GROUP,
                node: "moved".into(),
                address,
                revision,
                envelope: Envelope {
                    from: DiskId(1),
                    to: DiskId(2),
                    term: 0,
                    history: 0,
                    message: Message::TimeoutNow,
                },
            };
            node.journal
                .registry
                .update_address(&"moved".into(), address, revision);
            assert_eq!(addresses.read().get(&"moved".into()), Some(&expected));
            peers().notify(node.address, notice);
            pause().await;
            assert_eq!(addresses.read().get(&"moved".into()), Some(&expected));
        }
    });
}

/// Time from the restart of a node until the group must be fully replicated again. The maximum time for which an
/// unresponsive disk stays excluded is bounded by its absence.
const REPLICATION_LIMIT: Duration = Duration::from_secs(8);

async fn retire_to_two_voters(cluster: &Cluster) {
    cluster.store.put(RETIREMENTS, "n1", json!({}));
    while cluster.store.object(RETIREMENTS, "n1").unwrap().status != json!("done") {
        pause().await;
    }
}

#[test]
fn a_voter_of_two_rejoins_after_an_absence() {
    for absence in [Duration::from_millis(2_500), Duration::from_millis(8_000)] {
        run(async move {
            let mut cluster = Cluster::start().await;
            cluster.submit("job", 2).await;
            retire_to_two_voters(&cluster).await;
            cluster.kill(1);
            // The nodes must know the group of two voters before one of them may be lost.
            actix_rt::time::sleep(CATCH_UP).await;
            let follower = 2 - cluster.leader().await;
            cluster.kill(follower);
            actix_rt::time::sleep(absence).await;
            cluster.restart(follower).await;
            let recovery = tokio::time::timeout(REPLICATION_LIMIT, async {
                cluster.submit("next", 1).await;
                cluster.whole().await;
            });
            let recovery = recovery.await;
            recovery
                .unwrap_or_else(|_| panic!("not fully replicated after an absence of {absence:?}"));
            let body = cluster.body("job", "i1").await;
            assert_eq!(body.as_deref(), Some("body 1"));
        });
    }
}

#[test]
fn idle_nodes_without_a_replica_do_not_query_the_store() {
    run(async {
        let mut cluster = Cluster::start().await;
        cluster.submit("job", 1).await;
        cluster.whole().await;
        for _ in 0..3 {
            cluster.add().await;
        }
        let all = cluster.nodes.len();
        while cluster.registered_nodes() < all {
            pause().await;
        }
        // The last writes are read back, and the leader's watches return.
        actix_rt::time::sleep(Duration::from_millis(2_500)).await;
        let (before, probes_before) = (cluster.store.calls(), cluster.store.probes());
        actix_rt::time::sleep(Duration::from_millis(2_500)).await;
        let calls = cluster.store.calls() - before;
        // The leader renews two watches every 5 s, and its relay two others every 2.5 s, regardless of the number of
        // nodes. Three nodes that list the nodes every second would make seven calls or more.
        assert!(calls <= 4, "{calls} calls");
        // The leader's relay probes the store every 0.3 s.
        let probes = cluster.store.probes() - probes_before;
        assert!(probes <= 9, "{probes} probes");
    });
}

/// Items are never what crashes a back end by itself: such an item is owed like any other.
#[test]
fn an_item_reported_as_crashing_by_other_nodes_was_never_sent() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        // Other nodes report three back ends that crashed under the first item, in some job.
        let reported = &items(1)[0];
        for node in cluster.nodes.iter().flatten() {
            let fingerprint = node.gateway.fingerprint_key.fingerprint(&FingerprintInput {
                tenant: None,
                host: HOST,
                method: "POST",
                target: &reported.path,
                body: &reported.body.0,
            });
            let exit = |idx: u64| ReportedExit {
                backend: format!("gone{idx}"),
                started: None,
                age: 1_000 * idx,
                lost: vec![LostRun {
                    fingerprint,
                    reached: 0,
                    parts: Vec::new(),
                }],
            };
            let ends = (1..=3).map(exit).collect();
            node.gateway.crashes.handle_request(&CrashSyncRequest {
                known: None,
                report: CrashReport {
                    ends,
                    ..CrashReport::default()
                },
            });
            assert!(node.gateway.crashes.has_quarantined_requests());
        }
        for job in ["one", "other"] {
            cluster.submit(job, 3).await;
            let results = cluster.results(job, 3).await;
            assert!(
                results.iter().all(|(_, outcome)| *outcome == whole()),
                "{results:?}"
            );
        }
        let seen = backend.seen();
        let sent = seen.iter().filter(|seen| seen.path == reported.path);
        assert_eq!(sent.count(), 2, "once for each job");
    });
}

#[test]
fn an_item_with_a_part_that_crashes_back_ends_is_not_sent() {
    const FATAL_PART: u64 = 77;
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        // Other nodes report three back ends that crashed under different requests with the part.
        for node in cluster.nodes.iter().flatten() {
            let key = &node.gateway.fingerprint_key;
            let part = key.part(&PartInput {
                tenant: None,
                host: HOST,
                hash: FATAL_PART,
            });
            let exit = |idx: u64| ReportedExit {
                backend: format!("gone{idx}"),
                started: None,
                age: 1_000 * idx,
                lost: vec![LostRun {
                    fingerprint: key.fingerprint(&FingerprintInput {
                        tenant: None,
                        host: HOST,
                        method: "POST",
                        target: "/",
                        body: &idx.to_be_bytes(),
                    }),
                    reached: 0,
                    parts: vec![part],
                }],
            };
            let report = CrashReport {
                ends: (1..=3).map(exit).collect(),
                ..CrashReport::default()
            };
            let request = CrashSyncRequest {
                known: None,
                report,
            };
            node.gateway.crashes.handle_request(&request);
            assert!(node.gateway.crashes.has_quarantined_parts());
        }
        let mut items = items(4);
        for (number, item) in items.iter_mut().enumerate() {
            let shared = if number == 0 { FATAL_PART } else { 78 };
            let prompt = format!("1,{shared},{number}");
            item.headers.push((PROMPT.to_owned(), prompt));
        }
        let (job, permit) = (JobId::of_nobody("job"), ResidencyPermit::default());
        let submit = || {
            let submitted = (route(), permit.clone(), job.clone(), items.clone());
            let (route, permit, job, items) = submitted;
            cluster.client.submit(route, permit, job, items)
        };
        while submit().await.is_err() {
            pause().await;
        }
        let results = cluster.results("job", 3).await;
        let done: Vec<&str> = results.iter().map(|(item, _)| item.as_str()).collect();
        assert!(!done.contains(&"i0"), "{results:?}");
        assert!(backend.seen().iter().all(|seen| seen.path != "/items/0"));
    });
}

#[test]
fn other_clients_of_a_tenant_examine_resubmit_and_end_a_job() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.submit("job", 3).await;
        let registry = Rc::new(Registry::new(cluster.store.clone(), log()));
        let other = JournalClient::new("other".into(), registry, peers(), log());
        let job = || JobId::of_nobody("job");
        let submitted = other
            .submit(route(), ResidencyPermit::default(), job(), items(3))
            .await;
        assert!(submitted.is_ok(), "a job that was just accepted");
        cluster.complete("job", 1, &whole()).await;
        cluster.complete("job", 0, &ItemOutcome::GivenUp).await;
        for (from, expected) in [(0, 2), (1, 1), (2, 0), (9, 0)] {
            let page = other.results(job(), from, Duration::ZERO).await.unwrap();
            let page = page.expect("the job is known");
            assert_eq!(page.results.len(), expected, "from {from}");
        }
        let listed = other.body(job(), "i1".into()).await.unwrap();
        assert_eq!(listed, None, "its result is listed");
        let open = other.body(job(), "i2".into()).await.unwrap();
        assert_eq!(open.map(|body| body.0.to_vec()), Some(b"body 2".to_vec()));
        for _ in 0..2 {
            assert!(other.end(job()).await.unwrap(), "ended, and once more");
        }
        let page = other.results(job(), 0, Duration::ZERO).await.unwrap();
        assert_eq!(page.expect("it stays").results.len(), 2);
        assert!(!other.end(JobId::of_nobody("unknown")).await.unwrap());
    });
}
