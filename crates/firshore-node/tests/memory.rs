//! What a node with a disk holds in memory, and what it does where that would be too much.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::{JobId, JobItem};
use firshore_gateway::gateway::JobService;
use firshore_node::memory::{ByteCounter, LOG_FRACTION, MemoryBudget, MemoryUse};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_types::error::Execution;

const MEGABYTE: usize = 1_048_576;

/// Part of a node's memory that all uses together may take.
const COUNTED_SHARE: f64 = 0.7;

fn large_items(count: usize, bytes: usize) -> Vec<JobItem> {
    let mut items = items(count);
    for item in &mut items {
        item.body = vec![b'x'; bytes].into();
    }
    items
}

#[test]
fn the_shares_of_all_uses_leave_room_for_the_program() {
    for megabytes in [16, 59, 130, 280] {
        let bytes = megabytes * MEGABYTE;
        let budget = MemoryBudget::new(bytes);
        let most = |fits: &dyn Fn(usize) -> bool| (0..bytes).step_by(4_096).find(|one| !fits(*one));
        let jobs = |held| {
            let used = MemoryUse {
                jobs: held,
                ..MemoryUse::default()
            };
            budget.admits_job(&used, 0)
        };
        let jobs = most(&jobs).unwrap();
        let progress = most(&|held| budget.admits_new_run(held)).unwrap() * 2;
        let results = most(&|held| held == 0 || budget.admits_results(held, 0)).unwrap();
        let runs = budget.run_bytes(budget.max_runs());
        let log = (bytes as f64 * LOG_FRACTION) as usize;
        let all = jobs + progress + results + runs + log;
        assert!(
            (all as f64) < bytes as f64 * COUNTED_SHARE + 64.0 * 1024.0,
            "{megabytes}: {all}"
        );
    }
}

#[test]
fn bytes_count_for_as_long_as_they_are_held() {
    let counter = ByteCounter::default();
    let first = counter.count(10);
    let second = counter.count(5);
    assert_eq!(counter.held(), 15);
    drop(first);
    assert_eq!(counter.held(), 5);
    drop(second);
    assert_eq!(counter.held(), 0);
}

#[test]
fn jobs_beyond_the_memory_for_them_are_refused_and_taken_in_later() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("first", 1).await;
        let leader = cluster.nodes[cluster.leader().await].as_ref().unwrap();
        let budget = leader.journal.budget;
        let mut accepted = Vec::new();
        let mut refused = 0;
        for number in 0..12 {
            let job = format!("heap{number}");
            let handed_in = cluster.client.submit(
                route(),
                JobId::of_nobody(job.as_str()),
                large_items(200, 2_048),
            );
            match handed_in.await {
                Ok(()) => accepted.push(job),
                Err(error) => {
                    assert_eq!(error.execution, Execution::None, "{error:?}");
                    refused += 1;
                }
            }
            let used = leader.runner.memory_use();
            assert!(budget.admits_job(&used, 0), "{used:?}");
        }
        assert!(!accepted.is_empty(), "what fits is taken in");
        assert!(refused > 0, "what does not fit is refused");
        let again = cluster.client.submit(
            route(),
            JobId::of_nobody(accepted[0].as_str()),
            large_items(200, 2_048),
        );
        again
            .await
            .expect("what was taken in is acknowledged again");
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        for job in &accepted {
            cluster.results(job, 200).await;
        }
        let later =
            cluster
                .client
                .submit(route(), JobId::of_nobody("later"), large_items(200, 2_048));
        later.await.expect("there is memory again");
    });
}
