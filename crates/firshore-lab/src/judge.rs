//! Judges the promises from what callers saw and what the back ends' execution logs say.

use crate::engine_model::{FIRST_ONLINE_PRIORITY, Outcome};
use crate::stand_in::engine::ExecutionLine;
use quick_error::quick_error;
use std::collections::HashMap;

/// What a caller saw of one online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// Its own answer, whole.
    Whole,
    /// An answer with a proper end that is not its own or not whole.
    Wrong(String),
    /// An error that says that the request was not run.
    Refused(String),
    /// An error that says that the request ran or may have run.
    Failed(String),
    /// The connection ended without an answer or its end.
    Lost(String),
}

/// One online request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Text that the execution logs know it by, unique in the run.
    pub marker: String,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// What the caller saw.
    pub outcome: CallOutcome,
}

/// One line of a job's output.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ItemRecord {
    /// Item.
    pub custom_id: String,
    /// Whether the result answers this item, whole.
    pub own: bool,
}

/// How a job ended, as its owner was told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEnd {
    /// Every item has its result.
    Completed,
    /// It stopped; the time is when the owner read it.
    Cancelled {
        /// Milliseconds since 1970.
        at_unix_ms: u64,
    },
    /// Neither, within the time that the run had.
    Unfinished,
}

/// One accepted job. Its items' markers are their `custom_id`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobRecord {
    /// Identifier.
    pub id: String,
    /// Items submitted.
    pub items: Vec<String>,
    /// Its output.
    pub results: Vec<ItemRecord>,
    /// How it ended.
    pub end: JobEnd,
}

/// Execution log of one back end.
#[derive(Clone, Debug, Default)]
pub struct BackendLog {
    /// Name of the back end.
    pub backend: String,
    /// Its log.
    pub lines: Vec<ExecutionLine>,
    /// When it began to say that it leaves.
    pub leaving_since_unix_ms: Option<u64>,
}

/// Everything seen in a run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Online requests.
    pub calls: Vec<CallRecord>,
    /// Jobs.
    pub jobs: Vec<JobRecord>,
    /// Back ends.
    pub backends: Vec<BackendLog>,
}

/// Times that the promises leave open.
#[derive(Clone, Copy, Debug)]
pub struct Allowances {
    /// Longest wait of an online request beside running batch work: a few iterations.
    pub online_wait_ms: u64,
    /// Time until a leaving back end gets nothing new.
    pub leaving_ms: u64,
    /// Time until an item's cancelled run shows its end in the log.
    pub cancelled_run_ms: u64,
}

impl Default for Allowances {
    fn default() -> Self {
        Self {
            online_wait_ms: 150,
            leaving_ms: 3_000,
            cancelled_run_ms: 1_000,
        }
    }
}

quick_error! {
    /// A promise that was not kept.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum BrokenPromise {
        /// An item has no result or several.
        NotExactlyOnce(job: String, item: String, results: usize) {
            display("Item {item} of job {job} has {results} results instead of one.")
        }
        /// A result belongs to another item or is not whole.
        ResultNotOwn(job: String, item: String) {
            display("Item {item} of job {job} has a result that is not its own or not whole.")
        }
        /// The job did not end.
        JobUnfinished(job: String, missing: usize) {
            display("Job {job} did not end; {missing} items have no result.")
        }
        /// An item ran after its job was answered as cancelled.
        RanAfterCancel(job: String, item: String) {
            display("Item {item} ran after job {job} was answered as cancelled.")
        }
        /// An online request waited while batch work ran.
        WaitedBehindBatch(backend: String, marker: String, milliseconds: u64) {
            display("Request {marker} waited {milliseconds} ms on {backend} while a batch item ran there.")
        }
        /// A caller got another's answer, or a part as the whole.
        AnswerNotOwn(marker: String, reason: String) {
            display("Request {marker} got a wrong answer: {reason}.")
        }
        /// A refused request had run.
        RefusedButRan(marker: String) {
            display("Request {marker} was refused as not run, but a back end ran it.")
        }
        /// A non-repeatable request ran more than once.
        RanTwice(marker: String, runs: usize) {
            display("Request {marker} must run at most once, but ran {runs} times.")
        }
        /// An answered request is in no log.
        AnsweredButNotRun(marker: String) {
            display("Request {marker} was answered, but no back end ran it.")
        }
        /// A leaving back end got new work.
        WorkWhileLeaving(backend: String, marker: String, milliseconds: u64) {
            display("{backend} got {marker} {milliseconds} ms after it had begun to leave.")
        }
    }
}

/// All broken promises.
pub fn judge(evidence: &Evidence, allowances: &Allowances) -> Vec<BrokenPromise> {
    let executions = Executions::new(&evidence.backends);
    let mut broken = Vec::new();
    for call in &evidence.calls {
        judge_call(call, &executions, &mut broken);
    }
    for job in &evidence.jobs {
        judge_job(job, &executions, allowances, &mut broken);
    }
    for backend in &evidence.backends {
        judge_waits(backend, allowances, &mut broken);
        judge_leaving(backend, allowances, &mut broken);
    }
    broken
}

/// Executions by marker, without what never ran.
struct Executions<'a> {
    by_marker: HashMap<&'a str, Vec<&'a ExecutionLine>>,
}

impl<'a> Executions<'a> {
    fn new(backends: &'a [BackendLog]) -> Self {
        let mut by_marker: HashMap<&str, Vec<&ExecutionLine>> = HashMap::new();
        let lines = backends.iter().flat_map(|backend| &backend.lines);
        for line in lines.filter(|line| line.outcome != Outcome::Refused) {
            by_marker.entry(&line.marker).or_default().push(line);
        }
        Self { by_marker }
    }

    fn of(&self, marker: &str) -> &[&'a ExecutionLine] {
        self.by_marker.get(marker).map_or(&[], Vec::as_slice)
    }

    /// Runs from the start; a resume goes on with a run and is not a new one.
    fn fresh_runs(&self, marker: &str) -> usize {
        let runs = self.of(marker).iter();
        runs.filter(|line| line.resumed_from.is_none()).count()
    }
}

fn judge_call(call: &CallRecord, executions: &Executions, broken: &mut Vec<BrokenPromise>) {
    let marker = || call.marker.clone();
    let runs = executions.fresh_runs(&call.marker);
    match &call.outcome {
        CallOutcome::Wrong(reason) => {
            broken.push(BrokenPromise::AnswerNotOwn(marker(), reason.clone()));
        }
        CallOutcome::Refused(_) if runs > 0 => broken.push(BrokenPromise::RefusedButRan(marker())),
        CallOutcome::Whole if runs == 0 => {
            broken.push(BrokenPromise::AnsweredButNotRun(marker()));
        }
        _ => {}
    }
    if !call.repeatable && runs > 1 {
        broken.push(BrokenPromise::RanTwice(marker(), runs));
    }
}

fn judge_job(
    job: &JobRecord,
    executions: &Executions,
    allowances: &Allowances,
    broken: &mut Vec<BrokenPromise>,
) {
    let mut results: HashMap<&str, usize> = HashMap::new();
    for result in &job.results {
        *results.entry(&result.custom_id).or_default() += 1;
        if !result.own {
            let item = result.custom_id.clone();
            broken.push(BrokenPromise::ResultNotOwn(job.id.clone(), item));
        }
    }
    let count = |item: &String| results.get(item.as_str()).copied().unwrap_or(0);
    let completed = job.end == JobEnd::Completed;
    for item in &job.items {
        let count = count(item);
        if count > 1 || (completed && count == 0) {
            let promise = BrokenPromise::NotExactlyOnce(job.id.clone(), item.clone(), count);
            broken.push(promise);
        }
    }
    match job.end {
        JobEnd::Completed => {}
        JobEnd::Unfinished => {
            let missing = job.items.iter().filter(|item| count(item) == 0).count();
            broken.push(BrokenPromise::JobUnfinished(job.id.clone(), missing));
        }
        JobEnd::Cancelled { at_unix_ms } => {
            let after_cancel = |line: &&ExecutionLine| {
                let started_later = line.started_unix_ms > at_unix_ms;
                let limit = at_unix_ms + allowances.cancelled_run_ms;
                started_later || line.ended_unix_ms.is_none_or(|ended| ended > limit)
            };
            for item in &job.items {
                if executions.of(item).iter().any(after_cancel) {
                    let promise = BrokenPromise::RanAfterCancel(job.id.clone(), item.clone());
                    broken.push(promise);
                }
            }
        }
    }
}

/// An online request that waited longer than allowed, with a batch run beside it meanwhile.
fn judge_waits(backend: &BackendLog, allowances: &Allowances, broken: &mut Vec<BrokenPromise>) {
    let ran = |line: &&ExecutionLine| line.outcome != Outcome::Refused;
    let (online, batch): (Vec<_>, Vec<_>) = backend
        .lines
        .iter()
        .filter(ran)
        .partition(|line| line.priority >= FIRST_ONLINE_PRIORITY);
    for line in online {
        let allowed_until = line.queued_unix_ms + allowances.online_wait_ms;
        if line.started_unix_ms <= allowed_until {
            continue;
        }
        let beside = |item: &&ExecutionLine| {
            let ended_later = item.ended_unix_ms.is_none_or(|ended| ended > allowed_until);
            item.started_unix_ms < line.started_unix_ms && ended_later
        };
        if batch.iter().any(beside) {
            broken.push(BrokenPromise::WaitedBehindBatch(
                backend.backend.clone(),
                line.marker.clone(),
                line.started_unix_ms - line.queued_unix_ms,
            ));
        }
    }
}

fn judge_leaving(backend: &BackendLog, allowances: &Allowances, broken: &mut Vec<BrokenPromise>) {
    let Some(since) = backend.leaving_since_unix_ms else {
        return;
    };
    // A resume goes on with what the back end had before it began to leave.
    let fresh = backend
        .lines
        .iter()
        .filter(|line| line.resumed_from.is_none());
    for line in fresh {
        if line.queued_unix_ms > since + allowances.leaving_ms {
            broken.push(BrokenPromise::WorkWhileLeaving(
                backend.backend.clone(),
                line.marker.clone(),
                line.queued_unix_ms - since,
            ));
        }
    }
}
