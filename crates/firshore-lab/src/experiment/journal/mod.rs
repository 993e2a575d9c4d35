//! `firshore-lab experiment journal`: what one journal group of three nodes on real disks accepts
//! and completes, what it keeps on disk, and how long it is without a leader after a loss.

mod group;

use crate::experiment::Experiment;
use crate::report::{Report, Series};
use firshore_batch::command::{
    Action, Completion, Item, ItemLease, LeaseRequest, LeaseRequestId, Outcome, Submission,
    UploadId,
};
use firshore_batch::job::{Governance, ItemResult};
use firshore_server::journal;
use firshore_server::shared::Shared;
use firshore_types::ids::{InstanceId, JobId, Revision};
use firshore_types::labels::Labels;
use group::JournalGroup;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Items of the jobs, one after another; all together ten times the first.
const JOBS: [u32; 4] = [20_000, 40_000, 60_000, 80_000];

/// Items in one chunk of a submission, as the node hands them over.
const CHUNK_ITEMS: u32 = 2_000;

/// Bytes of an item's body and of its result.
const BODY_BYTES: usize = 200;

/// Engine owners that lease and complete at once.
const WORKERS: u64 = 16;

/// Items leased, and completed, by one command.
const BATCH_ITEMS: u32 = 32;

/// Replicas killed to measure the recovery.
const KILLS: usize = 5;

struct Step {
    items: f64,
    accepted_per_second: f64,
    completed_per_second: f64,
    file_bytes: f64,
}

/// Runs the experiment.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    actix_rt::System::new().block_on(run_all(experiment))
}

async fn run_all(experiment: &Experiment) -> Result<bool, String> {
    let folder = experiment.out.join("disks");
    if folder.exists() {
        std::fs::remove_dir_all(&folder).map_err(|error| error.to_string())?;
    }
    std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
    let mut group = JournalGroup::start(folder).await?;
    let mut steps = Vec::new();
    let mut total = 0;
    let empty = file_bytes(&group);
    for (number, items) in JOBS.iter().enumerate() {
        let leader = group.leader().ok_or("no leader")?;
        let shared = group.shared(leader);
        let accepted = submit(&shared, number, *items).await?;
        let completed = complete(&shared, *items).await?;
        total += items;
        steps.push(Step {
            items: f64::from(total),
            accepted_per_second: f64::from(*items) / accepted.as_secs_f64(),
            completed_per_second: f64::from(*items) / completed.as_secs_f64(),
            file_bytes: file_bytes(&group) - empty,
        });
    }
    let mut elections = Vec::new();
    let mut restarts = Vec::new();
    for _ in 0..KILLS {
        let (election, restart) = recover(&mut group).await?;
        elections.push(election.as_secs_f64() * 1_000.0);
        restarts.push(restart.as_secs_f64() * 1_000.0);
    }
    group.stop();
    report(experiment, &steps, &elections, &restarts)
}

fn file_bytes(group: &JournalGroup) -> f64 {
    let sizes = (0..group::NODES).map(|number| group.status(number).file_bytes as f64);
    sizes.fold(0.0, f64::max)
}

async fn propose(shared: &Shared, action: Action) -> Result<Outcome, String> {
    let outcome = journal::propose(shared, action).await;
    outcome.map_err(|error| error.to_string())
}

async fn submit(shared: &Shared, number: usize, items: u32) -> Result<Duration, String> {
    let upload = UploadId {
        job: JobId(format!("job-{number}")),
        attempt: 1,
    };
    let submission = Submission {
        job: upload.job.clone(),
        tenant: "measured".into(),
        labels: Labels::default(),
        endpoint: "/v1/completions".to_owned(),
        model: "model".to_owned(),
        deadline_milliseconds: None,
        retention_milliseconds: 86_400_000,
        governance: Governance::default(),
    };
    let start = Instant::now();
    let open = Action::Open {
        upload: upload.clone(),
        submission: Box::new(submission),
    };
    propose(shared, open).await?;
    for (sequence, first) in (0..items).step_by(CHUNK_ITEMS as usize).enumerate() {
        let chunk = (first..items.min(first + CHUNK_ITEMS)).map(|index| Item {
            custom_id: format!("parcel-{index}"),
            body: "x".repeat(BODY_BYTES),
            repeatable: true,
        });
        let append = Action::Append {
            upload: upload.clone(),
            sequence: sequence as u32,
            items: chunk.collect(),
        };
        propose(shared, append).await?;
    }
    let seal = Action::Seal {
        upload,
        body_digest: String::new(),
        total: items,
    };
    match propose(shared, seal).await? {
        Outcome::Job(_) => Ok(start.elapsed()),
        other => Err(format!("the job was not accepted: {other:?}")),
    }
}

async fn complete(shared: &Arc<Shared>, items: u32) -> Result<Duration, String> {
    let start = Instant::now();
    let left = Rc::new(Cell::new(items));
    let sequence = Rc::new(Cell::new(u64::from(items) << 20));
    let workers = (0..WORKERS).map(|holder| {
        let (shared, left, sequence) = (shared.clone(), left.clone(), sequence.clone());
        actix_rt::spawn(async move {
            while left.get() > 0 {
                sequence.set(sequence.get() + 1);
                let leases = lease(&shared, holder, sequence.get()).await?;
                if leases.is_empty() {
                    actix_rt::time::sleep(Duration::from_millis(5)).await;
                    continue;
                }
                let count = leases.len() as u32;
                settle(&shared, leases).await?;
                left.set(left.get().saturating_sub(count));
            }
            Ok::<(), String>(())
        })
    });
    for worker in workers.collect::<Vec<_>>() {
        worker.await.map_err(|error| error.to_string())??;
    }
    Ok(start.elapsed())
}

async fn lease(shared: &Shared, holder: u64, sequence: u64) -> Result<Vec<ItemLease>, String> {
    let request = LeaseRequest {
        id: LeaseRequestId {
            holder: InstanceId(holder),
            sequence,
        },
        models: vec!["model".to_owned()],
        engine_labels: Labels::default(),
        count: BATCH_ITEMS,
        duration_milliseconds: 60_000,
    };
    match propose(shared, Action::Lease(request)).await? {
        Outcome::Leased(leases) => Ok(leases),
        other => Err(format!("no leases: {other:?}")),
    }
}

async fn settle(shared: &Shared, leases: Vec<ItemLease>) -> Result<(), String> {
    let completions = leases.into_iter().map(|lease| Completion {
        lease: lease.lease,
        result: ItemResult {
            status: 200,
            body: "y".repeat(BODY_BYTES),
        },
    });
    let complete = Action::Complete(completions.collect());
    propose(shared, complete).await.map(|_| ())
}

/// Kills the leader's replica: the time until another has committed a command, and the time that
/// the killed node needs from its start until it holds everything.
async fn recover(group: &mut JournalGroup) -> Result<(Duration, Duration), String> {
    group
        .until("a leader", |group| group.leader().is_some())
        .await?;
    let leader = group.leader().ok_or("no leader")?;
    let other = group.shared((leader + 1) % group::NODES);
    let start = Instant::now();
    group.kill_replica(leader);
    let floor = journal::raise_floor(&other, Revision(0)).await;
    floor.map_err(|error| error.to_string())?;
    let election = start.elapsed();
    group.end_node(leader);
    let start = Instant::now();
    group.start_node(leader)?;
    group
        .until("the restarted replica", |group| {
            let Some(leads) = group.leader() else {
                return false;
            };
            group.status(leader).commit >= group.status(leads).commit
        })
        .await?;
    Ok((election, start.elapsed()))
}

fn report(
    experiment: &Experiment,
    steps: &[Step],
    elections: &[f64],
    restarts: &[f64],
) -> Result<bool, String> {
    let mut report = Report::new("journal", experiment.seed);
    let (Some(first), Some(last)) = (steps.first(), steps.last()) else {
        return Err("no steps".to_owned());
    };
    let mean = |of: &dyn Fn(&Step) -> f64| steps.iter().map(of).sum::<f64>() / steps.len() as f64;
    let accepted = mean(&|step| step.accepted_per_second);
    let completed = mean(&|step| step.completed_per_second);
    report.figure("items_accepted_per_second", "1/s", accepted, None);
    report.figure("items_completed_per_second", "1/s", completed, None);
    let slowdown = first.completed_per_second / last.completed_per_second;
    report.figure("completion_slowdown_at_ten_times", "ratio", slowdown, None);
    let per_item = |step: &Step| step.file_bytes / step.items;
    report.figure(
        "disk_bytes_per_item",
        "B",
        per_item(last),
        Some(per_item(first)),
    );
    let growth = last.file_bytes / first.file_bytes;
    report.figure("disk_growth_at_ten_times_the_items", "ratio", growth, None);
    let largest = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let average = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    report.figure(
        "commit_again_after_kill_mean",
        "ms",
        average(elections),
        None,
    );
    report.figure(
        "commit_again_after_kill_max",
        "ms",
        largest(elections),
        None,
    );
    report.figure("replica_restart_max", "ms", largest(restarts), None);
    for (name, axis, of) in [
        (
            "disk",
            "bytes on disk",
            (|step| step.file_bytes) as fn(&Step) -> f64,
        ),
        ("completed", "items completed a second", |step| {
            step.completed_per_second
        }),
        ("accepted", "items accepted a second", |step| {
            step.accepted_per_second
        }),
    ] {
        let series = Series {
            name: axis.to_owned(),
            points: steps.iter().map(|step| (step.items, of(step))).collect(),
        };
        report
            .plot(&experiment.out, name, ("items", axis), &[series])
            .map_err(|error| error.to_string())?;
    }
    report.note(format!(
        "One group, three nodes in one process, each with a file of its own; bodies and results of {BODY_BYTES} bytes, {WORKERS} workers, {BATCH_ITEMS} items a command."
    ));
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}
