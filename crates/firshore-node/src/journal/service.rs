//! Answers peers about jobs, on the node whose replica leads.

use super::messages::{PeerRequest, PeerResponse};
use super::{GROUP, Replica};
use firshore_jobs::command::{Action, Outcome};
use firshore_jobs::table::JobTable;
use firshore_link::listener::Handler;
use firshore_log::machine::SharedState;
use firshore_log::refusal::JournalRefusal;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Bytes of results in one answer, beyond which it ends.
const RESULT_BYTES: usize = 900_000;

/// Longest wait for a result that is granted.
const LONGEST_WAIT: Duration = Duration::from_secs(1);

/// What a node with a replica answers.
pub struct Service {
    replica: Rc<Replica>,
}

impl Service {
    /// Answers for this replica.
    pub fn new(replica: Rc<Replica>) -> Self {
        Self { replica }
    }
}

impl Handler<PeerRequest, PeerResponse> for Service {
    fn notice(&self, request: PeerRequest) {
        if let PeerRequest::Replication {
            group: GROUP,
            node,
            envelope,
        } = request
        {
            self.replica.received(node, envelope);
        }
    }

    fn answer(&self, request: PeerRequest) -> LocalBoxFuture<'static, PeerResponse> {
        let replica = self.replica.clone();
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
        PeerRequest::Replication { .. } => Ok(PeerResponse::Done),
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
    let page = state.read().results(job, from, RESULT_BYTES);
    Ok(PeerResponse::Results(page))
}

fn waits(state: &SharedState<JobTable>, job: &str, from: u64) -> bool {
    state.read().may_grow_beyond(job, from)
}
