//! Answers peers about jobs, on the node whose replica leads.

use super::messages::{PeerRequest, PeerResponse};
use super::registry::Registry;
use super::{GROUP, Replica};
use crate::load_table::{BackendCount, LoadTable, as_counts};
use crate::runner::handover::ProgressDelta;
use crate::runner::progress_keeper::{Leadership, ProgressKeeper};
use firshore_adapter::backend::Incarnation;
use firshore_jobs::command::{Action, Outcome};
use firshore_jobs::table::JobTable;
use firshore_link::listener::Handler;
use firshore_log::machine::SharedState;
use firshore_log::refusal::JournalRefusal;
use firshore_types::ids::NodeName;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};

/// Bytes of results in one answer, beyond which it ends. Several answers are made at once, each of
/// which holds its texts as read, as decoded and as sent.
const RESULT_BYTES: usize = 256 * 1024;

/// Longest wait for a result that is granted.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// Exchanges of loads that the leader answers in a second, however many nodes there are.
const EXCHANGES_PER_SECOND: u64 = 300;

/// Shortest time between two exchanges of one node.
const LEAST_EXCHANGE_PAUSE: Duration = Duration::from_millis(100);

/// Time until a node is to tell again, when `nodes` of them do.
fn exchange_pause(nodes: usize) -> Duration {
    let fair = Duration::from_millis(1_000 * nodes as u64 / EXCHANGES_PER_SECOND);
    fair.max(LEAST_EXCHANGE_PAUSE)
}

/// What a node with a replica answers.
pub struct Service {
    replica: Rc<Replica>,
    loads: Rc<Loads>,
    progress: Rc<RefCell<ProgressKeeper>>,
    registry: Rc<Registry>,
    least: usize,
}

/// What nodes have under way, and a wake-up for whoever acts on it.
#[derive(Default)]
pub struct Loads {
    /// What nodes told.
    pub table: RefCell<LoadTable>,
    /// Items of this node at each back end.
    pub own: RefCell<HashMap<Incarnation, u32>>,
    /// Woken when a node has told.
    pub told: Notify,
    /// Woken when a node's requests have found no free slot.
    pub crowded: Notify,
}

impl Loads {
    /// Takes in what a node told, and answers with what all others have under way.
    fn exchange(&self, node: NodeName, counts: Vec<BackendCount>, urgent: bool) -> PeerResponse {
        let now = Instant::now().into_std();
        let mut table = self.table.borrow_mut();
        table.told(now, node.clone(), counts);
        let mut others = table.others(&node);
        for (backend, count) in self.own.borrow().iter() {
            *others.entry(backend.clone()).or_default() += count;
        }
        self.told.notify_one();
        if urgent {
            self.crowded.notify_one();
        }
        PeerResponse::Load {
            counts: as_counts(others),
            pause: exchange_pause(table.nodes()).as_millis() as u64,
        }
    }
}

impl Service {
    /// Answers for this replica; promises need `least` disks.
    pub fn new(
        replica: Rc<Replica>,
        loads: Rc<Loads>,
        progress: Rc<RefCell<ProgressKeeper>>,
        registry: Rc<Registry>,
        least: usize,
    ) -> Self {
        Self {
            replica,
            loads,
            progress,
            registry,
            least,
        }
    }
}

impl Service {
    /// Takes in what items of the leader's have produced.
    fn progress(&self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> PeerResponse {
        let mut keeper = self.progress.borrow_mut();
        let gaps = keeper.told(leadership, deltas);
        let state = self.replica.applied_state();
        let state = state.read();
        keeper.keep(|(job, index)| state.is_open(job, *index));
        PeerResponse::Gaps(gaps)
    }
}

impl Handler<PeerRequest, PeerResponse> for Service {
    fn notice(&self, request: PeerRequest) {
        if let PeerRequest::Replication {
            group: GROUP,
            node,
            address,
            revision,
            envelope,
        } = request
        {
            self.registry.heard_from(&node, address, revision);
            self.replica.received(node, envelope);
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
        } = request
        {
            let answer = match replica.status() {
                status if status.leads => self.loads.exchange(node, counts, urgent),
                status => PeerResponse::Refused(JournalRefusal::NotLeader {
                    leader: status.leader.clone(),
                }),
            };
            return std::future::ready(answer).boxed_local();
        }
        if request.changes() && !super::may_promise(&replica, self.least) {
            // Too few disks to keep a promise on; others may have them soon.
            let refusal = JournalRefusal::NotLeader { leader: None };
            return std::future::ready(PeerResponse::Refused(refusal)).boxed_local();
        }
        async move {
            let answered = answer(&replica, request).await;
            answered.unwrap_or_else(PeerResponse::Refused)
        }
        .boxed_local()
    }
}

async fn answer(replica: &Replica, request: PeerRequest) -> Result<PeerResponse, JournalRefusal> {
    match request {
        PeerRequest::Submit { header, items } => {
            propose(replica, Action::Submit { header, items }).await
        }
        PeerRequest::End { job } => propose(replica, Action::End { job }).await,
        PeerRequest::Results { job, from, wait } => {
            let wait = Duration::from_millis(wait).min(LONGEST_WAIT);
            results(replica, &job, from, wait).await
        }
        PeerRequest::Body { job, item } => {
            let state = replica.read().await?;
            let body = state.read().body(&job, &item);
            Ok(PeerResponse::Body(body))
        }
        PeerRequest::Replication { .. }
        | PeerRequest::Load { .. }
        | PeerRequest::Progress { .. } => Ok(PeerResponse::Done),
    }
}

async fn propose(replica: &Replica, action: Action) -> Result<PeerResponse, JournalRefusal> {
    Ok(match replica.propose(action.into()).await? {
        Outcome::Done => PeerResponse::Done,
        Outcome::UnknownJob => PeerResponse::UnknownJob,
    })
}

async fn results(
    replica: &Replica,
    job: &str,
    from: u64,
    wait: Duration,
) -> Result<PeerResponse, JournalRefusal> {
    let mut changes = replica.changes();
    let mut state = replica.read().await?;
    let deadline = Instant::now() + wait;
    // What this replica applies meanwhile is committed, so it may be shown without asking again.
    while waits(&state, job, from) {
        let changed = timeout_at(deadline, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            break;
        }
        state = replica.applied_state();
    }
    let Some(listed) = state.read().results(job, from, RESULT_BYTES) else {
        return Ok(PeerResponse::Results(None));
    };
    let commands = replica.load(listed.entries()).await;
    match listed.filled(commands) {
        Some(page) => Ok(PeerResponse::Results(Some(page))),
        // Never shown as absent: the reader asks again.
        None => Err(JournalRefusal::Unsettled),
    }
}

fn waits(state: &SharedState<JobTable>, job: &str, from: u64) -> bool {
    state.read().may_grow_beyond(job, from)
}
