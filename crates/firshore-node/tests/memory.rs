//! Tests of a node's memory budget, and of refusals beyond it.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::{JobId, JobItem};
use firshore_adapter::residency::ResidencyPermit;
use firshore_gateway::gateway::JobService;
use firshore_node::memory::{ByteCounter, LOG_FRACTION, MemoryBudget, MemoryUse};
use firshore_stand_in::backend::{Play, ScriptedBackend};
use firshore_types::error::Execution;

const MEGABYTE: usize = 1_048_576;

/// Maximum fraction of a node's memory for all budgeted uses together.
const MAX_BUDGETED_FRACTION: f64 = 0.7;

fn large_items(count: usize, bytes: usize) -> Vec<JobItem> {
    let mut items = items(count);
    for item in &mut items {
        item.body = vec![b'x'; bytes].into();
    }
    items
}

#[test]
fn budgeted_uses_leave_memory_for_the_program() {
    for megabytes in [16, 59, 130, 280] {
        let bytes = megabytes * MEGABYTE;
        let budget = MemoryBudget::new(bytes);
        let first_refused =
            |fits: &dyn Fn(usize) -> bool| (0..bytes).step_by(4_096).find(|bytes| !fits(*bytes));
        let jobs = |held| {
            let memory_use = MemoryUse {
                jobs: held,
                ..MemoryUse::default()
            };
            budget.admits_job(&memory_use, 0)
        };
        let jobs = first_refused(&jobs).unwrap();
        let progress = first_refused(&|held| budget.admits_new_run(held)).unwrap() * 2;
        let results = first_refused(&|held| held == 0 || budget.admits_results(held, 0)).unwrap();
        let runs = budget.run_bytes(budget.max_runs());
        let log = (bytes as f64 * LOG_FRACTION) as usize;
        let all = jobs + progress + results + runs + log;
        assert!(
            (all as f64) < bytes as f64 * MAX_BUDGETED_FRACTION + 64.0 * 1024.0,
            "{megabytes}: {all}"
        );
    }
}

/// The smallest machines of deployments, with and without a disk.
const SMALL_MACHINES: [(usize, bool); 2] = [(160, false), (250, true)];

#[test]
fn callers_leave_memory_and_descriptors_for_the_rest() {
    for (megabytes, has_disk) in SMALL_MACHINES {
        let budget = MemoryBudget::new(megabytes * MEGABYTE);
        let limits = budget.input_limits(has_disk, 4_100);
        let held = limits.bytes + limits.connections * 16 * 1024;
        let max_held = match has_disk {
            true => 0.2,
            false => 0.65,
        };
        assert!(held as f64 <= max_held * (megabytes * MEGABYTE) as f64);
        assert!(limits.connections <= 3_075, "{limits:?}");
        // More than callers of the deployments have open at once.
        assert!(has_disk || limits.connections >= 1_500, "{limits:?}");
        let few = budget.input_limits(has_disk, 320);
        assert_eq!(few.connections, 240);
    }
}

#[test]
fn bytes_are_counted_while_they_are_held() {
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
fn jobs_beyond_the_memory_budget_are_refused_and_accepted_later() {
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
            let submitted = cluster.client.submit(
                route(),
                ResidencyPermit::default(),
                JobId::of_nobody(job.as_str()),
                large_items(200, 2_048),
            );
            match submitted.await {
                Ok(()) => accepted.push(job),
                Err(error) => {
                    assert_eq!(error.execution, Execution::None, "{error:?}");
                    refused += 1;
                }
            }
            let memory_use = leader.runner.memory_use();
            assert!(budget.admits_job(&memory_use, 0), "{memory_use:?}");
        }
        assert!(!accepted.is_empty(), "jobs within the budget are accepted");
        assert!(refused > 0, "jobs beyond the budget are refused");
        let again = cluster.client.submit(
            route(),
            ResidencyPermit::default(),
            JobId::of_nobody(accepted[0].as_str()),
            large_items(200, 2_048),
        );
        again.await.expect("an accepted job is acknowledged again");
        let backend = ScriptedBackend::start("b", &[], Play::Events).await;
        cluster.put_backend(&backend, false);
        for job in &accepted {
            cluster.results(job, 200).await;
        }
        let later = cluster.client.submit(
            route(),
            ResidencyPermit::default(),
            JobId::of_nobody("later"),
            large_items(200, 2_048),
        );
        later.await.expect("memory is available again");
    });
}
