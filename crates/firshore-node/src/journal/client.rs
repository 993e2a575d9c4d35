//! Client of the journal's leader, on any node. Follows redirects, tries other nodes and gives up
//! after a timeout. All requests are idempotent, so a request without a response is sent again.

use super::PeerClient;
use super::contact::PeerContact;
use super::messages::{PeerRequest, PeerResponse};
use super::registry::Registry;
use crate::load_table::{BackendCount, NodeLoadReport};
use crate::pace_table::BackendPace;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::jobs::{JobId, JobItem, ResultPage};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Route;
use firshore_gateway::gateway::{JobFuture, JobService};
use firshore_jobs::command::JobHeader;
use firshore_limits::report::UsageResponse;
use firshore_limits::slow_start::PermitGrant;
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

/// Timeout of a request over all attempts, beyond the wait that it asks for.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Timeout of one attempt at one node, beyond the wait that the request asks for.
pub(super) const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between two rounds over all nodes.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which queued items may have freed capacity, in seconds: items take some seconds each.
const QUEUE_RETRY_SECONDS: u32 = 2;

const DISK_FULL: &str = "The journal's disk has no space left for new work.";
const MEMORY_FULL: &str = "The journal's leader has no memory left for new work.";

/// Client of the journal on a node that serves callers.
pub struct JournalClient {
    node: NodeName,
    registry: Rc<Registry>,
    peers: PeerClient,
    leader: RefCell<Option<NodeName>>,
    contact: Cell<PeerContact>,
    was_lost: Cell<bool>,
    log: Logger,
}

/// Response of the leader or a relay to a load report.
pub struct LoadResponse {
    /// Requests that all other nodes have in flight at each back end.
    pub counts: HashMap<BackendName, u32>,
    /// Time until this node's next report.
    pub interval: Duration,
    /// Age of the oldest data in it.
    pub age: Duration,
    /// Remaining limits of tenants.
    pub usage: Option<UsageResponse>,
    /// Paces of back ends that others reported recently.
    pub paces: Vec<BackendPace>,
    /// Permits for requests to cold back ends.
    pub permits: Vec<PermitGrant>,
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
            permits: Vec::new(),
        }
    }
}

enum AttemptOutcome {
    Answered(PeerResponse),
    Redirected(Option<NodeName>),
    Refused(ApiError),
    NotSent,
    /// The peer responded that the outcome is unknown.
    Unknown,
    NoResponse,
}

fn unavailable(unknown: bool) -> ApiError {
    let message = "No leader of the journal answered in time.";
    match unknown {
        // The job may have been accepted, so the error must not say that it was not run.
        true => ApiError::maybe_run(ErrorCode::DeadlineExceeded, message),
        false => ApiError::not_run(ErrorCode::JournalUnavailable, message).retry_after(1),
    }
}

fn out_of_capacity(message: &str) -> ApiError {
    ApiError::not_run(ErrorCode::JournalUnavailable, message)
}

fn too_many_queued_tokens() -> ApiError {
    let message = "The tenant has as many tokens waiting on the route as it may.";
    ApiError::not_run(ErrorCode::RateLimited, message).retry_after(QUEUE_RETRY_SECONDS)
}

fn unexpected_response() -> ApiError {
    let message = "A peer answered with another kind of message.";
    ApiError::maybe_run(ErrorCode::Internal, message)
}

impl JournalClient {
    /// Creates a client on `node` that sends requests to the nodes in `registry`.
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

    async fn query(&self, request: PeerRequest, wait: Duration) -> Result<PeerResponse, ApiError> {
        let deadline = firshore_clock::now().into_std() + REQUEST_TIMEOUT + wait;
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
                return Err(unavailable(request.is_mutation() && unknown));
            }
            let Some(target) = hint.take().or_else(|| round.pop()) else {
                if rounds > 0 {
                    actix_rt::time::sleep(ROUND_INTERVAL).await;
                }
                if rounds > 0 || self.registry.names().is_empty() {
                    self.registry.refresh().await;
                }
                rounds += 1;
                round = self.rotated_nodes();
                continue;
            };
            match self.query_node(&target, request.clone(), wait).await {
                AttemptOutcome::Answered(response) => {
                    *self.leader.borrow_mut() = Some(target);
                    return Ok(response);
                }
                // An earlier attempt may have taken effect despite this refusal.
                AttemptOutcome::Refused(_) if unknown && request.is_mutation() => {
                    return Err(unavailable(true));
                }
                AttemptOutcome::Refused(error) => return Err(error),
                AttemptOutcome::Redirected(leader) => {
                    hint = leader.filter(|leader| *leader != target)
                }
                AttemptOutcome::NotSent => *self.leader.borrow_mut() = None,
                AttemptOutcome::Unknown | AttemptOutcome::NoResponse => {
                    unknown = true;
                    *self.leader.borrow_mut() = None;
                }
            }
        }
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<NodeName> {
        self.leader.borrow().clone()
    }

    /// Reports load to the leader and returns that of all others. `sums` is set if a relay reports
    /// for several nodes. Makes one attempt: the next report follows soon.
    pub async fn report_to_leader(
        &self,
        report: NodeLoadReport,
        sums: bool,
    ) -> Option<LoadResponse> {
        let leader = self.leader();
        let target = match leader.or_else(|| self.rotated_nodes().pop()) {
            Some(target) => target,
            None => {
                self.registry.refresh().await;
                return None;
            }
        };
        match self.send_load(&target, report, sums).await {
            AttemptOutcome::Answered(PeerResponse::Load {
                counts,
                pause,
                news,
                paces,
                permits,
                ..
            }) => {
                *self.leader.borrow_mut() = Some(target);
                let others = LoadResponse::new(counts, pause, 0, news);
                Some(LoadResponse {
                    paces,
                    permits,
                    ..others
                })
            }
            AttemptOutcome::Redirected(leader) => {
                *self.leader.borrow_mut() = leader;
                None
            }
            _ => {
                self.leader.borrow_mut().take();
                if self.registry.address(&target).is_none() {
                    // The node was added after the last listing.
                    self.registry.refresh().await;
                }
                None
            }
        }
    }

    /// Reports this node's load to a relay and returns that of all others.
    pub async fn report_to_relay(
        &self,
        relay: &NodeName,
        report: NodeLoadReport,
    ) -> Option<LoadResponse> {
        match self.send_load(relay, report, false).await {
            AttemptOutcome::Answered(PeerResponse::Load {
                counts,
                pause,
                age,
                leader,
                news,
                paces,
                permits,
            }) => {
                if leader.is_some() {
                    *self.leader.borrow_mut() = leader;
                }
                let others = LoadResponse::new(counts, pause, age, news);
                Some(LoadResponse {
                    paces,
                    permits,
                    ..others
                })
            }
            AttemptOutcome::Redirected(Some(leader)) => {
                *self.leader.borrow_mut() = Some(leader);
                None
            }
            _ => None,
        }
    }

    /// Retracts the last report to a node, because later ones go to another node.
    pub async fn retract(&self, node: &NodeName, report: NodeLoadReport) {
        if let AttemptOutcome::NotSent | AttemptOutcome::NoResponse =
            self.send_load(node, report, false).await
        {
            info!(self.log, "load: Report not retracted."; "told" => %node);
        }
    }

    async fn send_load(
        &self,
        target: &NodeName,
        report: NodeLoadReport,
        sums: bool,
    ) -> AttemptOutcome {
        let request = PeerRequest::Load {
            node: self.node.clone(),
            counts: report.counts,
            urgent: report.urgent,
            sums,
            pressures: report.pressures,
            uses: report.uses,
            paces: report.paces,
        };
        self.query_node(target, request, Duration::ZERO).await
    }

    /// Returns the nodes with disks.
    pub fn candidates(&self) -> Vec<Candidate> {
        self.registry.candidates()
    }

    /// Checks that a job may be stored on any of the nodes with disks, since replicas move among all of them.
    async fn check_residency(&self, residency: &ResidencyPermit) -> Result<(), ApiError> {
        if !residency.is_restricted() {
            return Ok(());
        }
        if self.candidates().is_empty() {
            self.registry.refresh().await;
        }
        let candidates = self.candidates();
        if candidates.is_empty() {
            return Err(unavailable(false));
        }
        let forbidden = candidates.iter().find(|node| !residency.allows(&node.zone));
        match forbidden {
            None => Ok(()),
            Some(node) => {
                let message = format!(
                    "Jobs are also stored in zone '{}', outside the allowed regions.",
                    node.zone
                );
                Err(ApiError::not_run(ErrorCode::NoAllowedRegion, message))
            }
        }
    }

    /// Returns the nodes to query, starting at a random one.
    fn rotated_nodes(&self) -> Vec<NodeName> {
        let mut names = self.registry.names();
        if !names.is_empty() {
            let first = rand::rng().random_range(0..names.len());
            names.rotate_left(first);
        }
        names
    }

    /// Returns whether no node of the journal responds; logs each change.
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

    fn update_contact(&self, change: impl FnOnce(&mut PeerContact)) {
        let mut contact = self.contact.get();
        change(&mut contact);
        self.contact.set(contact);
    }

    /// Queries one node and records whether it responded.
    async fn query_node(
        &self,
        target: &NodeName,
        request: PeerRequest,
        wait: Duration,
    ) -> AttemptOutcome {
        let now = firshore_clock::now().into_std();
        self.update_contact(|contact| contact.record_query(now, now + wait));
        let outcome = self.call(target, request, wait).await;
        if !matches!(
            outcome,
            AttemptOutcome::NotSent | AttemptOutcome::NoResponse
        ) {
            self.update_contact(PeerContact::record_response);
        }
        outcome
    }

    async fn call(
        &self,
        target: &NodeName,
        request: PeerRequest,
        wait: Duration,
    ) -> AttemptOutcome {
        let Some(address) = self.registry.address(target) else {
            return AttemptOutcome::NotSent;
        };
        let call = self.peers.call(address, request);
        match timeout(ATTEMPT_TIMEOUT + wait, call).await {
            Ok(Ok(PeerResponse::Refused(refusal))) => match refusal {
                JournalRefusal::NotLeader { leader } => AttemptOutcome::Redirected(leader),
                JournalRefusal::StorageFull => AttemptOutcome::Refused(out_of_capacity(DISK_FULL)),
                JournalRefusal::MemoryFull => AttemptOutcome::Refused(out_of_capacity(MEMORY_FULL)),
                JournalRefusal::TooMuchWaiting => AttemptOutcome::Refused(too_many_queued_tokens()),
                JournalRefusal::Unsettled => AttemptOutcome::Unknown,
            },
            Ok(Ok(response)) => AttemptOutcome::Answered(response),
            Ok(Err(PeerError::NotSent)) => AttemptOutcome::NotSent,
            Ok(Err(PeerError::Unanswered)) | Err(_) => AttemptOutcome::NoResponse,
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
        residency: ResidencyPermit,
        job: JobId,
        items: Vec<JobItem>,
    ) -> JobFuture<'a, ()> {
        async move {
            self.check_residency(&residency).await?;
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
            match self.query(request, Duration::ZERO).await? {
                PeerResponse::Done => Ok(()),
                _ => Err(unexpected_response()),
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
            match self.query(request, wait).await? {
                PeerResponse::Results(page) => Ok(page),
                _ => Err(unexpected_response()),
            }
        }
        .boxed_local()
    }

    fn body<'a>(&'a self, job: JobId, item: String) -> JobFuture<'a, Option<Payload>> {
        async move {
            let job = job.journal_key();
            let request = PeerRequest::Body { job, item };
            match self.query(request, Duration::ZERO).await? {
                PeerResponse::Body(body) => Ok(body),
                _ => Err(unexpected_response()),
            }
        }
        .boxed_local()
    }

    fn end<'a>(&'a self, job: JobId) -> JobFuture<'a, bool> {
        async move {
            let job = job.journal_key();
            match self.query(PeerRequest::End { job }, Duration::ZERO).await? {
                PeerResponse::Done => Ok(true),
                PeerResponse::UnknownJob => Ok(false),
                _ => Err(unexpected_response()),
            }
        }
        .boxed_local()
    }
}
