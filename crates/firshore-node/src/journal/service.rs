//! Serves peers; requests about jobs on the node whose replica leads.

use super::client::{ATTEMPT_TIMEOUT, JournalClient};
use super::messages::{PeerRequest, PeerResponse};
use super::missing_results::MissingResults;
use super::pending_submissions::PendingSubmissions;
use super::registry::Registry;
use super::{GROUP, Replica};
use crate::load_table::{LoadTable, NodeLoadReport, as_counts};
use crate::memory::{MemoryBudget, MemoryLedger, MemoryUse};
use crate::pace_table::{PaceSource, PaceTable};
use crate::relay::Relay;
use crate::relay::loads::LoadRelay;
use crate::runner::handover::ProgressDelta;
use crate::runner::progress_store::{Leadership, ProgressStore};
use crate::stream_origins::StreamOrigins;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::jobs::{JobItem, caller_id};
use firshore_gateway::crash_monitor::CrashMonitor;
use firshore_gateway::pressure::PressureCounter;
use firshore_jobs::command::{Action, JobHeader, Outcome};
use firshore_jobs::listing::ListedPage;
use firshore_jobs::table::JobTable;
use firshore_limits::ledger::UsageLedger;
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_limits::slow_start::PermitPool;
use firshore_link::listener::Handler;
use firshore_log::machine::SharedState;
use firshore_log::placement::is_committed_durable;
use firshore_log::refusal::JournalRefusal;
use firshore_types::ids::NodeName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Size limit of the results in one response, in bytes. Several responses are built at once, each
/// of which holds its texts as read, decoded and sent.
const RESULT_BYTES: usize = 256 * 1024;

/// Interval between checks for free memory; earlier responses are sent within some milliseconds.
const RESULTS_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum wait for a result.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Load reports that the leader handles per second, however many nodes there are.
const EXCHANGES_PER_SECOND: u64 = 600;

/// Minimum interval between two load reports of a node.
const MIN_EXCHANGE_INTERVAL: Duration = Duration::from_millis(15);

/// Maximum number of permits for cold back ends in one response: the reporters share them.
const MAX_GRANTS: usize = 4;

/// Returns the interval between a node's reports when `nodes` of them report.
fn exchange_interval(nodes: usize) -> Duration {
    let fair = Duration::from_millis(1_000 * nodes as u64 / EXCHANGES_PER_SECOND);
    fair.max(MIN_EXCHANGE_INTERVAL)
}

/// Handles requests of peers on a node with a replica.
pub(super) struct PeerService {
    pub(super) replica: Rc<Replica>,
    pub(super) loads: Rc<ClusterLoad>,
    pub(super) progress: Rc<RefCell<ProgressStore>>,
    pub(super) registry: Rc<Registry>,
    /// Number of disks required by the durability guarantee.
    pub(super) min_disks: usize,
    pub(super) relay: Rc<Relay>,
    pub(super) load_relay: Rc<LoadRelay>,
    /// Client of the journal, for requests on behalf of other nodes.
    pub(super) jobs: Rc<JournalClient>,
    pub(super) ledger: MemoryLedger,
    pub(super) budget: MemoryBudget,
    /// Crashes of back ends that this node knows.
    pub(super) crashes: Rc<CrashMonitor>,
    /// Origins of streams, kept for other nodes.
    pub(super) origins: Rc<StreamOrigins>,
    /// Logs results that cannot be read.
    pub(super) missing: Rc<MissingResults>,
    /// Jobs whose commit is pending.
    pub(super) submissions: PendingSubmissions,
    pub(super) log: Logger,
}

/// Requests in flight at back ends, as reported by nodes, with notifications of reports.
pub struct ClusterLoad {
    /// Reports of other nodes.
    pub table: RefCell<LoadTable>,
    /// Items of this node at each back end.
    pub local: RefCell<HashMap<BackendName, u32>>,
    /// Paces of back ends, as reported by nodes.
    paces: RefCell<PaceTable>,
    /// Pressure of online requests of all nodes, until the item runner takes it.
    pub pressure: RefCell<PressureCounter>,
    /// Notified of each report.
    pub reported: Notify,
    /// Notified when a node's requests found no free slot.
    pub crowded: Notify,
    /// Permits for requests to cold back ends that no node has taken yet.
    pub permits: RefCell<PermitPool>,
    /// Remaining limits of tenants, for the term in which this node leads.
    ledger: RefCell<Option<TermLedger>>,
    /// Time span over which rates of tenants are counted.
    rate_span: Duration,
}

/// Limits of tenants as kept by the leader of a term; outdated in later terms.
struct TermLedger {
    term: u64,
    ledger: UsageLedger,
}

impl ClusterLoad {
    /// Creates an empty table. Rates of tenants are counted over `rate_span`.
    pub fn new(rate_span: Duration) -> Self {
        Self {
            table: RefCell::default(),
            local: RefCell::default(),
            paces: RefCell::default(),
            pressure: RefCell::default(),
            reported: Notify::new(),
            crowded: Notify::new(),
            permits: RefCell::default(),
            ledger: RefCell::default(),
            rate_span,
        }
    }

    /// Records a node's report and returns the load of all others. `term` is the one in which this
    /// node leads.
    fn exchange(&self, term: u64, node: NodeName, report: NodeLoadReport) -> PeerResponse {
        let now = firshore_clock::now().into_std();
        let news = report
            .uses
            .map(|uses| self.record_usage(now, term, &node, &uses));
        self.pressure.borrow_mut().add_reported(&report.pressures);
        let mut table = self.table.borrow_mut();
        table.record(now, node.clone(), report.counts);
        let mut others = table.others(&node);
        for (backend, count) in self.local.borrow().iter() {
            *others.entry(backend.clone()).or_default() += count;
        }
        let client = PaceSource::Node(node);
        let mut paces = self.paces.borrow_mut();
        paces.record(now, &client, report.paces);
        self.reported.notify_one();
        if report.urgent {
            self.crowded.notify_one();
        }
        PeerResponse::Load {
            counts: as_counts(others),
            pause: exchange_interval(table.nodes()).as_millis() as u64,
            age: 0,
            leader: None,
            news,
            paces: paces.take_updates(now, &client),
            permits: self.permits.borrow_mut().grant(now, MAX_GRANTS),
        }
    }

    fn record_usage(
        &self,
        now: std::time::Instant,
        term: u64,
        node: &NodeName,
        uses: &UsageReport,
    ) -> UsageResponse {
        let mut kept = self.ledger.borrow_mut();
        let current = kept.take().filter(|one| one.term == term);
        let one = kept.insert(current.unwrap_or_else(|| TermLedger {
            term,
            ledger: UsageLedger::new(term, now, self.rate_span),
        }));
        one.ledger.remove_stale(now);
        one.ledger.apply_report(now, node, uses)
    }
}

impl PeerService {
    /// Records output of items that the leader runs.
    fn record_progress(&self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> PeerResponse {
        let mut store = self.progress.borrow_mut();
        let gaps = store.apply(leadership, deltas);
        let state = self.replica.applied_state();
        let state = state.read();
        store.retain(|(job, index)| state.is_open(job, *index));
        PeerResponse::Gaps(gaps)
    }

    /// Handles a load report: the leader accepts all, other nodes those of nodes that they are a
    /// relay for.
    fn exchange_load(&self, node: NodeName, report: NodeLoadReport, sums: bool) -> PeerResponse {
        let status = self.replica.status();
        if status.leads {
            return self.loads.exchange(status.term, node, report);
        }
        let leader = self.jobs.leader().or_else(|| status.leader.clone());
        let now = firshore_clock::now().into_std();
        let relayed = match sums {
            true => None,
            false => self.load_relay.exchange(now, node, report),
        };
        match relayed {
            None => PeerResponse::Refused(JournalRefusal::NotLeader { leader }),
            Some(relayed) => PeerResponse::Load {
                counts: relayed.others,
                pause: exchange_interval(relayed.nodes).as_millis() as u64,
                age: relayed.age.as_millis() as u64,
                leader,
                news: relayed.usage,
                paces: relayed.paces,
                permits: relayed.permits,
            },
        }
    }

    /// Accepts a job, unless the memory for jobs is used up. A known job is always accepted again,
    /// as it needs no memory.
    fn submit(
        &self,
        header: JobHeader,
        items: Vec<JobItem>,
    ) -> LocalBoxFuture<'static, PeerResponse> {
        // A client retries before a slow commit has ended. Proposing the job again with each
        // attempt would grow the log, and slow commits down further.
        let status = self.replica.status();
        let (leads, term) = (status.leads, status.term);
        let pending = self.submissions.pending(term, &header.job);
        if let Some(pending) = pending.filter(|_| leads) {
            return pending.map(commit_response).boxed_local();
        }
        let bytes = items.iter().map(JobItem::held_bytes).sum();
        let state = self.replica.applied_state();
        let state = state.read();
        let used = MemoryUse {
            jobs: state.held_bytes(),
            submissions: self.ledger.submissions.held(),
            ..MemoryUse::default()
        };
        if leads && !state.contains(&header.job) && !self.budget.admits_job(&used, bytes) {
            self.ledger.refused.set(true);
            warn!(self.log, "journal: Job refused."; "job" => caller_id(&header.job), "bytes" => bytes,
                "held" => used.jobs, "committing" => used.submissions, "reason" => "memory");
            let refusal = PeerResponse::Refused(JournalRefusal::MemoryFull);
            return std::future::ready(refusal).boxed_local();
        }
        let counted = self.ledger.submissions.count(bytes);
        let replica = self.replica.clone();
        let job = header.job.clone();
        let acceptance = Acceptance {
            job: caller_id(&header.job).to_owned(),
            is_repeated: state.contains(&header.job),
            log: self.log.clone(),
        };
        let committing = async move {
            let command = Action::Submit { header, items }.into();
            let outcome = replica.propose(command).await;
            acceptance.log_outcome(&outcome, &replica);
            drop(counted);
            outcome
        };
        let pending = self.submissions.begin(term, job, committing.boxed_local());
        pending.map(commit_response).boxed_local()
    }
}

impl Handler<PeerRequest, PeerResponse> for PeerService {
    fn notice(&self, request: PeerRequest) {
        match request {
            PeerRequest::Replication {
                group: GROUP,
                node,
                address,
                revision,
                envelope,
            } => {
                self.registry.update_address(&node, address, revision);
                self.replica.received(node, envelope);
            }
            PeerRequest::Changed { kind, revision } => {
                let relay = self.relay.clone();
                actix_rt::spawn(async move { relay.apply_hint(&kind, revision).await });
            }
            _ => {}
        }
    }

    fn answer(&self, request: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let replica = self.replica.clone();
        if let PeerRequest::Progress { leadership, deltas } = request {
            return std::future::ready(self.record_progress(leadership, deltas)).boxed_local();
        }
        if let PeerRequest::Load {
            node,
            counts,
            urgent,
            sums,
            pressures,
            uses,
            paces,
        } = request
        {
            let report = NodeLoadReport {
                counts,
                urgent,
                pressures,
                uses,
                paces,
            };
            let response = self.exchange_load(node, report, sums);
            return std::future::ready(response).boxed_local();
        }
        let relay = self.relay.clone();
        let crashes = self.crashes.clone();
        let with_cursor = move |mut response: PeerResponse| {
            if let Some(contact) = response.contact_mut() {
                contact.crashes = crashes.cursor();
            }
            response
        };
        match request {
            PeerRequest::List { kind, after, known } => {
                return async move { with_cursor(relay.list(&kind, after.as_deref(), known).await) }
                    .boxed_local();
            }
            PeerRequest::Watch { kind, known, wait } => {
                let wait = Duration::from_millis(wait);
                return async move { with_cursor(relay.watch(&kind, known, wait).await) }
                    .boxed_local();
            }
            PeerRequest::Crashes(question) => {
                let response = PeerResponse::Crashes(self.crashes.handle_request(&question));
                return std::future::ready(response).boxed_local();
            }
            PeerRequest::RecordOrigins(records) => {
                self.origins.record(std::time::Instant::now(), records);
                return std::future::ready(PeerResponse::Done).boxed_local();
            }
            PeerRequest::FindOrigin(query) => {
                let origins = self.origins.clone();
                return async move { PeerResponse::Origin(origins.find(&query).await) }
                    .boxed_local();
            }
            _ => {}
        }
        if request.is_mutation() && !super::is_durable(&replica, self.min_disks) {
            // Too few disks for the durability guarantee; another leader may have enough.
            let refusal = JournalRefusal::NotLeader { leader: None };
            return std::future::ready(PeerResponse::Refused(refusal)).boxed_local();
        }
        let reader = ResultReader {
            replica: replica.clone(),
            ledger: self.ledger.clone(),
            budget: self.budget,
            missing: self.missing.clone(),
            min_disks: self.min_disks,
        };
        match request {
            PeerRequest::Submit { header, items } => self.submit(header, items),
            request => async move {
                let response = respond(&replica, &reader, request).await;
                response.unwrap_or_else(PeerResponse::Refused)
            }
            .boxed_local(),
        }
    }
}

/// Logs the end of a job's submission, with the group that it rests on.
struct Acceptance {
    job: String,
    /// Whether the state contained the job before.
    is_repeated: bool,
    log: Logger,
}

impl Acceptance {
    fn log_outcome(&self, outcome: &Result<Outcome, JournalRefusal>, replica: &Replica) {
        let status = replica.status();
        info!(self.log, "journal: Job submitted."; "job" => &self.job, "outcome" => ?outcome,
            "repeated" => self.is_repeated, "term" => status.term, "history" => status.history,
            "commit" => status.commit, "quorum" => status.membership.quorum(),
            "committed_quorum" => status.committed_membership.quorum(),
            "voters" => ?status.membership.voters().collect::<Vec<_>>());
    }
}

async fn respond(
    replica: &Replica,
    reader: &ResultReader,
    request: PeerRequest,
) -> Result<PeerResponse, JournalRefusal> {
    match request {
        PeerRequest::End { job } => propose(replica, Action::End { job }).await,
        PeerRequest::Results { job, from, wait } => {
            let wait = Duration::from_millis(wait).min(MAX_WAIT);
            let deadline = Instant::now() + wait + ATTEMPT_TIMEOUT;
            let listed = list_results(replica, reader.min_disks, &job, from, wait).await;
            let listed = listed.inspect_err(|refusal| reader.log_refusal(&job, refusal))?;
            reader.results(&job, listed, deadline).await
        }
        PeerRequest::Body { job, item } => {
            let state = replica.read().await?;
            let body = state.read().body(&job, &item);
            Ok(PeerResponse::Body(body))
        }
        PeerRequest::Submit { .. }
        | PeerRequest::Replication { .. }
        | PeerRequest::Load { .. }
        | PeerRequest::Changed { .. }
        | PeerRequest::List { .. }
        | PeerRequest::Watch { .. }
        | PeerRequest::Crashes(_)
        | PeerRequest::RecordOrigins(_)
        | PeerRequest::FindOrigin(_)
        | PeerRequest::Progress { .. } => Ok(PeerResponse::Done),
    }
}

async fn propose(replica: &Replica, action: Action) -> Result<PeerResponse, JournalRefusal> {
    outcome_response(replica.propose(action.into()).await?)
}

fn outcome_response(outcome: Outcome) -> Result<PeerResponse, JournalRefusal> {
    match outcome {
        Outcome::Done => Ok(PeerResponse::Done),
        Outcome::UnknownJob => Ok(PeerResponse::UnknownJob),
        Outcome::TooMuchWaiting => Err(JournalRefusal::TooMuchWaiting),
    }
}

fn commit_response(committed: Result<Outcome, JournalRefusal>) -> PeerResponse {
    committed
        .and_then(outcome_response)
        .unwrap_or_else(PeerResponse::Refused)
}

/// Returns the results at a position, once there is one or the wait is over.
async fn list_results(
    replica: &Replica,
    min_disks: usize,
    job: &str,
    from: u64,
    wait: Duration,
) -> Result<Option<ListedPage>, JournalRefusal> {
    let mut changes = replica.changes();
    let mut state = replica.read().await?;
    let deadline = Instant::now() + wait;
    // While this replica leads a group that is large enough, what it applies is committed and may
    // be shown without another quorum read. A replica that joins a later history discards what it
    // committed alone.
    while awaits_results(&state, job, from) {
        let changed = timeout_at(deadline, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            break;
        }
        let status = replica.status();
        if !status.leads
            || !is_committed_durable(&status.membership, &status.committed_membership, min_disks)
        {
            return Err(JournalRefusal::NotLeader { leader: None });
        }
        state = replica.applied_state();
    }
    let listed = state.read().results(job, from, RESULT_BYTES);
    Ok(listed)
}

/// Reads the texts of results, once there is memory for them, until a deadline.
struct ResultReader {
    replica: Rc<Replica>,
    ledger: MemoryLedger,
    budget: MemoryBudget,
    missing: Rc<MissingResults>,
    /// Number of disks that must hold a result before it is shown.
    min_disks: usize,
}

impl ResultReader {
    /// Logs why a read of a job was refused, unless another node leads.
    fn log_refusal(&self, job: &str, refusal: &JournalRefusal) {
        let status = self.replica.status();
        if status.leads {
            let now = firshore_clock::now().into_std();
            self.missing.record_refusal(now, job, refusal, &status);
        }
    }

    async fn results(
        &self,
        job: &str,
        listed: Option<ListedPage>,
        deadline: Instant,
    ) -> Result<PeerResponse, JournalRefusal> {
        let Some(listed) = listed else {
            return Ok(PeerResponse::Results(None));
        };
        let bytes = listed.bytes();
        let held = &self.ledger.results;
        while !self.budget.admits_results(held.held(), bytes) {
            // The client has timed out and retried; reading for it would delay other responses.
            if Instant::now() >= deadline {
                self.log_refusal(job, &JournalRefusal::MemoryFull);
                return Err(JournalRefusal::Unsettled);
            }
            actix_rt::time::sleep(RESULTS_RETRY_INTERVAL).await;
        }
        let _counted = held.count(bytes);
        let mut missing_entries = listed.entries();
        let commands = self.replica.load(missing_entries.clone()).await;
        missing_entries.retain(|index| !commands.contains_key(index));
        match listed.into_result_page(commands) {
            Some(page) => Ok(PeerResponse::Results(Some(page))),
            // Never reported as absent, so that the reader retries.
            None => {
                let now = firshore_clock::now().into_std();
                self.missing.record(now, job, &missing_entries);
                Err(JournalRefusal::Unsettled)
            }
        }
    }
}

fn awaits_results(state: &SharedState<JobTable>, job: &str, from: u64) -> bool {
    state.read().may_grow_beyond(job, from)
}
