//! Asks the journal's leader, wherever it is: follows hints, tries other nodes, and gives up after
//! a while. Everything asked may be asked again, so a lost answer is asked for again.

use super::PeerClient;
use super::contact::PeerContact;
use super::messages::{PeerRequest, PeerResponse};
use super::registry::Registry;
use crate::load_table::{BackendCount, NodeLoadReport};
use crate::pace_table::BackendPace;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::route::Route;
use firshore_gateway::gateway::{JobFuture, JobService};
use firshore_jobs::command::JobHeader;
use firshore_limits::report::UsageResponse;
use firshore_link::client::PeerError;
use firshore_log::placement::Candidate;
use firshore_log::refusal::JournalRefusal;
use firshore_types::error::{ApiError, ErrorCode};
use firshore_types::ids::NodeName;
use firshore_types::payload::Payload;
use futures_util::FutureExt;
use rand::RngExt;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// Longest time for one question, all tries together, beyond any wait asked for.
const DEADLINE: Duration = Duration::from_millis(2_500);

/// Longest wait for one node's answer, beyond any wait asked for.
pub(super) const TRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Pause after every node was asked in vain.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Time after which items that wait may have made room, in seconds: items take some seconds each.
const WAITING_RETRY_SECONDS: u32 = 2;

const DISK_FULL: &str = "The journal's disk has no space left for new work.";
const MEMORY_FULL: &str = "The journal's leader has no memory left for new work.";

/// The journal as seen from a node that serves callers.
pub struct JournalClient {
    node: NodeName,
    registry: Rc<Registry>,
    peers: PeerClient,
    leader: RefCell<Option<NodeName>>,
    contact: Cell<PeerContact>,
    was_lost: Cell<bool>,
    log: Logger,
}

/// What the leader or a relay answers a node that tells its load.
pub struct LoadResponse {
    /// Requests that all other nodes have under way at each back end.
    pub counts: HashMap<BackendName, u32>,
    /// Time until this node is to tell again.
    pub interval: Duration,
    /// Age of the oldest part of it.
    pub age: Duration,
    /// What tenants may still ask.
    pub usage: Option<UsageResponse>,
    /// What back ends told others of their pace a moment ago.
    pub paces: Vec<BackendPace>,
}

impl LoadResponse {
    fn new(counts: Vec<BackendCount>, pause: u64, age: u64, usage: Option<UsageResponse>) -> Self {
        let counts = counts.into_iter();
        let counts = counts.map(|one| (BackendName::from(one.backend), one.count));
        Self {
            counts: counts.collect(),
            interval: Duration::from_millis(pause),
            age: Duration::from_millis(age),
            usage,
            paces: Vec::new(),
        }
    }
}

enum Tried {
    Answered(PeerResponse),
    Elsewhere(Option<NodeName>),
    Full(ApiError),
    NotSent,
    /// It answered that the outcome is not known.
    Unknown,
    Unanswered,
}

fn unavailable(unknown: bool) -> ApiError {
    let message = "No leader of the journal answered in time.";
    match unknown {
        // No promise can be given, so not the status of one.
        true => ApiError::maybe_run(ErrorCode::DeadlineExceeded, message),
        false => ApiError::not_run(ErrorCode::JournalUnavailable, message).retry_after(1),
    }
}

fn no_room(message: &str) -> ApiError {
    ApiError::not_run(ErrorCode::JournalUnavailable, message)
}

fn too_much_waiting() -> ApiError {
    let message = "The tenant has as many tokens waiting on the route as it may.";
    ApiError::not_run(ErrorCode::RateLimited, message).retry_after(WAITING_RETRY_SECONDS)
}

fn unexpected() -> ApiError {
    let message = "A peer answered with another kind of message.";
    ApiError::maybe_run(ErrorCode::Internal, message)
}

impl JournalClient {
    /// Asks the nodes that `registry` lists, on behalf of `node`.
    pub fn new(node: NodeName, registry: Rc<Registry>, peers: PeerClient, log: Logger) -> Self {
        Self {
            node,
            registry,
            peers,
            leader: RefCell::default(),
            contact: Cell::default(),
            was_lost: Cell::default(),
            log,
        }
    }

    async fn ask(&self, request: PeerRequest, wait: Duration) -> Result<PeerResponse, ApiError> {
        let deadline = firshore_clock::now().into_std() + DEADLINE + wait;
        let mut unknown = false;
        let mut hint = self.leader.borrow().clone();
        let mut round: Vec<NodeName> = Vec::new();
        let mut rounds = 0;
        loop {
            if firshore_clock::now().into_std() >= deadline
                || self
                    .contact
                    .get()
                    .should_fail_fast(firshore_clock::now().into_std())
            {
                return Err(unavailable(request.changes() && unknown));
            }
            let Some(target) = hint.take().or_else(|| round.pop()) else {
                if rounds > 0 {
                    actix_rt::time::sleep(ROUND_PAUSE).await;
                }
                if rounds > 0 || self.registry.names().is_empty() {
                    self.registry.refresh().await;
                }
                rounds += 1;
                round = self.nodes();
                continue;
            };
            match self.try_one(&target, request.clone(), wait).await {
                Tried::Answered(response) => {
                    *self.leader.borrow_mut() = Some(target);
                    return Ok(response);
                }
                // What an earlier try may have done is not undone by a later refusal.
                Tried::Full(_) if unknown && request.changes() => return Err(unavailable(true)),
                Tried::Full(error) => return Err(error),
                Tried::Elsewhere(leader) => hint = leader.filter(|leader| *leader != target),
                Tried::NotSent => *self.leader.borrow_mut() = None,
                Tried::Unknown | Tried::Unanswered => {
                    unknown = true;
                    *self.leader.borrow_mut() = None;
                }
            }
        }
    }

    /// Returns the leader, as far as known.
    pub fn leader(&self) -> Option<NodeName> {
        self.leader.borrow().clone()
    }

    /// Tells the leader what is under way, `sums` if a relay does so for several nodes. Learns what all
    /// others have. Asks once: what is missed is told again a moment later.
    pub async fn report_to_leader(&self, told: NodeLoadReport, sums: bool) -> Option<LoadResponse> {
        let leader = self.leader();
        let target = match leader.or_else(|| self.nodes().pop()) {
            Some(target) => target,
            None => {
                self.registry.refresh().await;
                return None;
            }
        };
        match self.tell(&target, told, sums).await {
            Tried::Answered(PeerResponse::Load {
                counts,
                pause,
                news,
                paces,
                ..
            }) => {
                *self.leader.borrow_mut() = Some(target);
                let others = LoadResponse::new(counts, pause, 0, news);
                Some(LoadResponse { paces, ..others })
            }
            Tried::Elsewhere(leader) => {
                *self.leader.borrow_mut() = leader;
                None
            }
            _ => {
                self.leader.borrow_mut().take();
                if self.registry.address(&target).is_none() {
                    // It came after the nodes were listed.
                    self.registry.refresh().await;
                }
                None
            }
        }
    }

    /// Tells a relay what this node has under way, and learns what all others have.
    pub async fn report_to_relay(
        &self,
        relay: &NodeName,
        told: NodeLoadReport,
    ) -> Option<LoadResponse> {
        match self.tell(relay, told, false).await {
            Tried::Answered(PeerResponse::Load {
                counts,
                pause,
                age,
                leader,
                news,
                paces,
            }) => {
                if leader.is_some() {
                    *self.leader.borrow_mut() = leader;
                }
                let others = LoadResponse::new(counts, pause, age, news);
                Some(LoadResponse { paces, ..others })
            }
            Tried::Elsewhere(Some(leader)) => {
                *self.leader.borrow_mut() = Some(leader);
                None
            }
            _ => None,
        }
    }

    /// Takes back what was told a node before, as another is told from now on.
    pub async fn retract(&self, node: &NodeName, told: NodeLoadReport) {
        if let Tried::NotSent | Tried::Unanswered = self.tell(node, told, false).await {
            info!(self.log, "load: Not taken back."; "told" => %node);
        }
    }

    async fn tell(&self, target: &NodeName, told: NodeLoadReport, sums: bool) -> Tried {
        let request = PeerRequest::Load {
            node: self.node.clone(),
            counts: told.counts,
            urgent: told.urgent,
            sums,
            pressures: told.pressures,
            uses: told.uses,
            paces: told.paces,
        };
        self.try_one(target, request, Duration::ZERO).await
    }

    /// Returns the nodes with disks.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.registry.candidates()
    }

    /// The nodes to ask, in a random order.
    fn nodes(&self) -> Vec<NodeName> {
        let mut names = self.registry.names();
        if !names.is_empty() {
            let first = rand::rng().random_range(0..names.len());
            names.rotate_left(first);
        }
        names
    }

    /// Whether no node of the journal answers any more.
    pub fn is_isolated(&self) -> bool {
        let lost = self.contact.get().is_lost(firshore_clock::now().into_std());
        if lost != self.was_lost.replace(lost) {
            match lost {
                true => warn!(self.log, "journal: Contact lost."; "node" => %self.node),
                false => info!(self.log, "journal: Contact regained."; "node" => %self.node),
            }
        }
        lost
    }

    fn note(&self, change: impl FnOnce(&mut PeerContact)) {
        let mut contact = self.contact.get();
        change(&mut contact);
        self.contact.set(contact);
    }

    /// Asks one node, and takes in whether it answers at all.
    async fn try_one(&self, target: &NodeName, request: PeerRequest, wait: Duration) -> Tried {
        let now = firshore_clock::now().into_std();
        self.note(|contact| contact.record_query(now, now + wait));
        let tried = self.call(target, request, wait).await;
        if !matches!(tried, Tried::NotSent | Tried::Unanswered) {
            self.note(PeerContact::record_response);
        }
        tried
    }

    async fn call(&self, target: &NodeName, request: PeerRequest, wait: Duration) -> Tried {
        let Some(address) = self.registry.address(target) else {
            return Tried::NotSent;
        };
        let call = self.peers.call(address, request);
        match timeout(TRY_TIMEOUT + wait, call).await {
            Ok(Ok(PeerResponse::Refused(refusal))) => match refusal {
                JournalRefusal::NotLeader { leader } => Tried::Elsewhere(leader),
                JournalRefusal::StorageFull => Tried::Full(no_room(DISK_FULL)),
                JournalRefusal::MemoryFull => Tried::Full(no_room(MEMORY_FULL)),
                JournalRefusal::TooMuchWaiting => Tried::Full(too_much_waiting()),
                JournalRefusal::Unsettled => Tried::Unknown,
            },
            Ok(Ok(response)) => Tried::Answered(response),
            Ok(Err(PeerError::NotSent)) => Tried::NotSent,
            Ok(Err(PeerError::Unanswered)) | Err(_) => Tried::Unanswered,
        }
    }
}

impl JobService for JournalClient {
    fn is_reachable(&self) -> bool {
        !self.is_isolated()
    }

    fn submit<'a>(
        &'a self,
        route: Arc<Route>,
        job: JobId,
        items: Vec<JobItem>,
    ) -> JobFuture<'a, ()> {
        async move {
            let terms = route.jobs;
            let give_up_after =
                terms.map_or(u64::MAX, |terms| terms.give_up_after.as_millis() as u64);
            let due_after = terms.and_then(|terms| terms.due_after);
            let header = JobHeader {
                due_after: due_after.map(|due_after| due_after.as_millis() as u64),
                job: job.journal_key(),
                tenant: job.tenant,
                route: route.name.clone(),
                host: route.host.clone(),
                attempts: route.attempts,
                give_up_after,
                most_waiting_tokens: terms.and_then(|terms| terms.most_waiting_tokens),
            };
            let request = PeerRequest::Submit { header, items };
            match self.ask(request, Duration::ZERO).await? {
                PeerResponse::Done => Ok(()),
                _ => Err(unexpected()),
            }
        }
        .boxed_local()
    }

    fn results<'a>(
        &'a self,
        job: JobId,
        from: u64,
        wait: Duration,
    ) -> JobFuture<'a, Option<ResultPage>> {
        async move {
            let request = PeerRequest::Results {
                job: job.journal_key(),
                from,
                wait: wait.as_millis() as u64,
            };
            match self.ask(request, wait).await? {
                PeerResponse::Results(page) => Ok(page),
                _ => Err(unexpected()),
            }
        }
        .boxed_local()
    }

    fn body<'a>(&'a self, job: JobId, item: String) -> JobFuture<'a, Option<Payload>> {
        async move {
            let job = job.journal_key();
            let request = PeerRequest::Body { job, item };
            match self.ask(request, Duration::ZERO).await? {
                PeerResponse::Body(body) => Ok(body),
                _ => Err(unexpected()),
            }
        }
        .boxed_local()
    }

    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool> {
        async move {
            let job = job.journal_key();
            match self.ask(PeerRequest::End { job }, Duration::ZERO).await? {
                PeerResponse::Done => Ok(true),
                PeerResponse::UnknownJob => Ok(false),
                _ => Err(unexpected()),
            }
        }
        .boxed_local()
    }
}
