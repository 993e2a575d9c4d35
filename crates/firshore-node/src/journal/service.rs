//! Answers peers about jobs, on the node whose replica leads.

use super::client::{JournalClient, TRY_TIMEOUT};
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
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::jobs::{JobItem, caller_id};
use firshore_gateway::crash_monitor::CrashMonitor;
use firshore_gateway::pressure::PressureCounter;
use firshore_jobs::command::{Action, JobHeader, Outcome};
use firshore_jobs::listing::ListedPage;
use firshore_jobs::table::JobTable;
use firshore_limits::ledger::UsageLedger;
use firshore_limits::report::{UsageReport, UsageResponse};
use firshore_link::listener::Handler;
use firshore_log::machine::SharedState;
use firshore_log::placement::may_show;
use firshore_log::refusal::JournalRefusal;
use firshore_types::ids::NodeName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use slog::{Logger, warn};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Bytes of results in one answer, beyond which it ends. Several answers are made at once, each of
/// which holds its texts as read, as decoded and as sent.
const RESULT_BYTES: usize = 256 * 1024;

/// Pause of an answer for which there is no memory yet: those before it are sent within some
/// milliseconds.
const RESULTS_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait for a result that is granted.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Exchanges of loads that the leader answers in a second, however many nodes there are.
const EXCHANGES_PER_SECOND: u64 = 600;

/// Shortest time between two exchanges of one node.
const LEAST_EXCHANGE_PAUSE: Duration = Duration::from_millis(15);

/// Time until a node is to tell again, when `nodes` of them do.
fn exchange_pause(nodes: usize) -> Duration {
    let fair = Duration::from_millis(1_000 * nodes as u64 / EXCHANGES_PER_SECOND);
    fair.max(LEAST_EXCHANGE_PAUSE)
}

/// What a node with a replica answers.
pub(super) struct Service {
    pub(super) replica: Rc<Replica>,
    pub(super) loads: Rc<ClusterLoad>,
    pub(super) progress: Rc<RefCell<ProgressStore>>,
    pub(super) registry: Rc<Registry>,
    /// Replicas without which nothing is promised.
    pub(super) least: usize,
    pub(super) relay: Rc<Relay>,
    pub(super) load_relay: Rc<LoadRelay>,
    /// The journal as this node asks it on behalf of others.
    pub(super) jobs: Rc<JournalClient>,
    pub(super) ledger: MemoryLedger,
    pub(super) budget: MemoryBudget,
    /// Back ends that ended, as this node knows.
    pub(super) crashes: Rc<CrashMonitor>,
    /// Told of results that cannot be read.
    pub(super) missing: Rc<MissingResults>,
    /// Jobs that are being committed.
    pub(super) submissions: PendingSubmissions,
    pub(super) log: Logger,
}

/// What nodes have under way, and a wake-up for whoever acts on it.
pub struct ClusterLoad {
    /// What nodes told.
    pub table: RefCell<LoadTable>,
    /// Items of this node at each back end.
    pub local: RefCell<HashMap<BackendName, u32>>,
    /// What back ends told them of their pace.
    paces: RefCell<PaceTable>,
    /// How online requests of all nodes pressed, until the runner of items takes it.
    pub pressure: RefCell<PressureCounter>,
    /// Woken when a node has told.
    pub reported: Notify,
    /// Woken when a node's requests have found no free slot.
    pub crowded: Notify,
    /// What tenants may still ask, as of the term in which this node leads.
    ledger: RefCell<Option<TermLedger>>,
    /// Span over which rates of tenants are counted.
    rate_span: Duration,
}

/// The buckets of tenants that a leader keeps: those of an earlier term are out of date.
struct TermLedger {
    term: u64,
    ledger: UsageLedger,
}

impl ClusterLoad {
    /// Nothing was told yet. Rates of tenants are counted over `rate_span`.
    pub fn new(rate_span: Duration) -> Self {
        Self {
            table: RefCell::default(),
            local: RefCell::default(),
            paces: RefCell::default(),
            pressure: RefCell::default(),
            reported: Notify::new(),
            crowded: Notify::new(),
            ledger: RefCell::default(),
            rate_span,
        }
    }

    /// Takes in what a node told, and answers with what all others have under way. `term` is the one in
    /// which this node leads.
    fn exchange(&self, term: u64, node: NodeName, told: NodeLoadReport) -> PeerResponse {
        let now = firshore_clock::now().into_std();
        let news = told
            .uses
            .map(|uses| self.take_in_uses(now, term, &node, &uses));
        self.pressure.borrow_mut().add_reported(&told.pressures);
        let mut table = self.table.borrow_mut();
        table.record(now, node.clone(), told.counts);
        let mut others = table.others(&node);
        for (backend, count) in self.local.borrow().iter() {
            *others.entry(backend.clone()).or_default() += count;
        }
        let asker = PaceSource::Node(node);
        let mut paces = self.paces.borrow_mut();
        paces.record(now, &asker, told.paces);
        self.reported.notify_one();
        if told.urgent {
            self.crowded.notify_one();
        }
        PeerResponse::Load {
            counts: as_counts(others),
            pause: exchange_pause(table.nodes()).as_millis() as u64,
            age: 0,
            leader: None,
            news,
            paces: paces.take_updates(now, &asker),
        }
    }

    fn take_in_uses(
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

impl Service {
    /// Takes in what items of the leader's have produced.
    fn progress(&self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> PeerResponse {
        let mut keeper = self.progress.borrow_mut();
        let gaps = keeper.apply(leadership, deltas);
        let state = self.replica.applied_state();
        let state = state.read();
        keeper.keep(|(job, index)| state.is_open(job, *index));
        PeerResponse::Gaps(gaps)
    }

    /// Takes in what a node has under way: the leader what all tell it, other nodes what the nodes tell
    /// for which they are a relay.
    fn load(&self, node: NodeName, told: NodeLoadReport, sums: bool) -> PeerResponse {
        let status = self.replica.status();
        if status.leads {
            return self.loads.exchange(status.term, node, told);
        }
        let leader = self.jobs.leader().or_else(|| status.leader.clone());
        let now = firshore_clock::now().into_std();
        let relayed = match sums {
            true => None,
            false => self.load_relay.exchange(now, node, told),
        };
        match relayed {
            None => PeerResponse::Refused(JournalRefusal::NotLeader { leader }),
            Some(relayed) => PeerResponse::Load {
                counts: relayed.others,
                pause: exchange_pause(relayed.nodes).as_millis() as u64,
                age: relayed.age.as_millis() as u64,
                leader,
                news: relayed.news,
                paces: relayed.paces,
            },
        }
    }

    /// Takes a job in, unless the memory for jobs is used up. One that is known already is taken in
    /// again: it costs nothing.
    fn submit(
        &self,
        header: JobHeader,
        items: Vec<JobItem>,
    ) -> LocalBoxFuture<'static, PeerResponse> {
        // A node asks again before a slow commit has ended. Written once more for each try, a job grows
        // the log the faster the slower it is committed.
        let status = self.replica.status();
        let (leads, term) = (status.leads, status.term);
        let pending = self.submissions.pending(term, &header.job);
        if let Some(pending) = pending.filter(|_| leads) {
            return pending.map(settled).boxed_local();
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
        let committing = async move {
            let command = Action::Submit { header, items }.into();
            let outcome = replica.propose(command).await;
            drop(counted);
            outcome
        };
        let pending = self.submissions.begin(term, job, committing.boxed_local());
        pending.map(settled).boxed_local()
    }
}

impl Handler<PeerRequest, PeerResponse> for Service {
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
            return std::future::ready(self.progress(leadership, deltas)).boxed_local();
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
            let told = NodeLoadReport {
                counts,
                urgent,
                pressures,
                uses,
                paces,
            };
            let answer = self.load(node, told, sums);
            return std::future::ready(answer).boxed_local();
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
                let answer = PeerResponse::Crashes(self.crashes.handle_request(&question));
                return std::future::ready(answer).boxed_local();
            }
            _ => {}
        }
        if request.changes() && !super::is_durable(&replica, self.least) {
            // Too few disks to keep a promise on; others may have them soon.
            let refusal = JournalRefusal::NotLeader { leader: None };
            return std::future::ready(PeerResponse::Refused(refusal)).boxed_local();
        }
        let reader = ResultReader {
            replica: replica.clone(),
            ledger: self.ledger.clone(),
            budget: self.budget,
            missing: self.missing.clone(),
            least: self.least,
        };
        match request {
            PeerRequest::Submit { header, items } => self.submit(header, items),
            request => async move {
                let answered = answer(&replica, &reader, request).await;
                answered.unwrap_or_else(PeerResponse::Refused)
            }
            .boxed_local(),
        }
    }
}

async fn answer(
    replica: &Replica,
    reader: &ResultReader,
    request: PeerRequest,
) -> Result<PeerResponse, JournalRefusal> {
    match request {
        PeerRequest::End { job } => propose(replica, Action::End { job }).await,
        PeerRequest::Results { job, from, wait } => {
            let wait = Duration::from_millis(wait).min(LONGEST_WAIT);
            let deadline = Instant::now() + wait + TRY_TIMEOUT;
            let listed = listed(replica, reader.least, &job, from, wait).await?;
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
        | PeerRequest::Progress { .. } => Ok(PeerResponse::Done),
    }
}

async fn propose(replica: &Replica, action: Action) -> Result<PeerResponse, JournalRefusal> {
    answered(replica.propose(action.into()).await?)
}

fn answered(outcome: Outcome) -> Result<PeerResponse, JournalRefusal> {
    match outcome {
        Outcome::Done => Ok(PeerResponse::Done),
        Outcome::UnknownJob => Ok(PeerResponse::UnknownJob),
        Outcome::TooMuchWaiting => Err(JournalRefusal::TooMuchWaiting),
    }
}

fn settled(committed: Result<Outcome, JournalRefusal>) -> PeerResponse {
    committed
        .and_then(answered)
        .unwrap_or_else(PeerResponse::Refused)
}

/// The results at a position, once there is one or the wait is over.
async fn listed(
    replica: &Replica,
    least: usize,
    job: &str,
    from: u64,
    wait: Duration,
) -> Result<Option<ListedPage>, JournalRefusal> {
    let mut changes = replica.changes();
    let mut state = replica.read().await?;
    let deadline = Instant::now() + wait;
    // What this replica applies meanwhile is committed, so while it leads a group that keeps promises it may
    // be shown without asking again. One that joins a later history takes back what it committed alone.
    while waits(&state, job, from) {
        let changed = timeout_at(deadline, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            break;
        }
        let status = replica.status();
        if !status.leads || !may_show(&status.membership, &status.committed_membership, least) {
            return Err(JournalRefusal::NotLeader { leader: None });
        }
        state = replica.applied_state();
    }
    let listed = state.read().results(job, from, RESULT_BYTES);
    Ok(listed)
}

/// Reads the texts of results, when there is memory for them before a deadline.
struct ResultReader {
    replica: Rc<Replica>,
    ledger: MemoryLedger,
    budget: MemoryBudget,
    missing: Rc<MissingResults>,
    /// Disks on which everything shown has to lie.
    least: usize,
}

impl ResultReader {
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
            // Whoever asked has given up and asked again: read for nobody, pages delay those wanted.
            if Instant::now() >= deadline {
                return Err(JournalRefusal::Unsettled);
            }
            actix_rt::time::sleep(RESULTS_PAUSE).await;
        }
        let _counted = held.count(bytes);
        let mut lacking = listed.entries();
        let commands = self.replica.load(lacking.clone()).await;
        lacking.retain(|index| !commands.contains_key(index));
        match listed.into_result_page(commands) {
            Some(page) => Ok(PeerResponse::Results(Some(page))),
            // Never shown as absent: the reader asks again.
            None => {
                let now = firshore_clock::now().into_std();
                self.missing.record(now, job, &lacking);
                Err(JournalRefusal::Unsettled)
            }
        }
    }
}

fn waits(state: &SharedState<JobTable>, job: &str, from: u64) -> bool {
    state.read().may_grow_beyond(job, from)
}
