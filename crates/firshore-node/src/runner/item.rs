//! One run of one item at one back end.

use super::Work;
use super::progress::{ItemProgress, RunEnd, RunLimits};
use crate::journal::Replica;
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use firshore_adapter::backend::{Backend, Ran, SendTerms};
use firshore_adapter::jobs::{ItemOutcome, JobItem, caller_id};
use firshore_crashes::fingerprint::{FingerprintInput, RequestFingerprint};
use firshore_crashes::report::LostRun;
use firshore_exchange::exchange::{self, Exchange, Reuse};
use firshore_gateway::fleet::{BackendOutcome, endpoint};
use firshore_gateway::gateway::{Gateway, InFlight};
use firshore_jobs::command::{Action, Completion};
use rand::RngExt;
use slog::info;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time that a run gets.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Longest wait for the head of an answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest pause between parts of a stream.
const GAP_TIMEOUT: Duration = Duration::from_secs(3);

/// Pause before a result is proposed again.
const PROPOSE_PAUSE: Duration = Duration::from_millis(100);

/// What a run came to.
pub(crate) struct RunSummary {
    /// How it ended.
    pub(crate) end: RunEnd,
    /// Events of the item that were held when it ended.
    pub(crate) events: usize,
    /// Events that this run made.
    pub(crate) made: usize,
    /// How long it took.
    pub(crate) took: Duration,
}

/// One run.
pub(crate) struct ItemRun {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) replica: Rc<Replica>,
    pub(crate) work: Work,
    pub(crate) progress: Rc<RefCell<ItemProgress>>,
    pub(crate) in_flight: InFlight,
    pub(crate) backend: Backend,
}

/// The headers that an item is sent with; names and values that HTTP does not allow are left out.
pub(crate) fn headers(item: &JobItem) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let name = HeaderName::try_from(name.as_str());
        let value = HeaderValue::from_str(value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
    headers
}

impl ItemRun {
    /// Runs the item once and lists its result, if there is one. Returns what the run came to.
    pub(crate) async fn run(self) -> RunSummary {
        let started = Instant::now();
        let resumed_after = self.progress.borrow().last_event();
        let held = self.progress.borrow().produced().len();
        let end = self.send().await;
        let events = self.progress.borrow().produced().len();
        let summary = RunSummary {
            end,
            events,
            made: events.saturating_sub(held),
            took: started.elapsed(),
        };
        let header = &self.work.header;
        let limits = RunLimits {
            attempts: header.attempts,
            give_up_after: Duration::from_millis(header.give_up_after),
        };
        let failures = match end {
            RunEnd::Failed => self.record_failure().await,
            _ => 0,
        };
        let now = Instant::now();
        let outcome = self
            .progress
            .borrow_mut()
            .end_run(now, end, failures, &limits);
        info!(self.gateway.log, "runner: Run ended."; "job" => caller_id(&header.job),
            "item" => &self.work.item.id, "backend" => %self.backend.incarnation, "end" => ?end,
            "resumed_after" => resumed_after, "run_ms" => started.elapsed().as_millis() as u64,
            "settled" => outcome.is_some());
        drop(self.in_flight);
        if let Some(outcome) = outcome {
            list(&self.replica, &self.work, outcome).await;
        }
        summary
    }

    /// Records that a back end failed on the item, so that the next leader knows too. Returns how
    /// often that was.
    async fn record_failure(&self) -> u32 {
        let job = &self.work.header.job;
        let failed = Action::Failed {
            job: job.clone(),
            item: self.work.index,
            run: self.gateway.random.borrow_mut().random(),
        };
        commit(&self.replica, failed).await;
        let state = self.replica.applied_state();
        state.read().failures(job, self.work.index)
    }

    fn request_head(&self) -> Option<RequestHead> {
        let item = &self.work.item;
        let mut head = RequestHead::default();
        head.method = Method::POST;
        head.uri = Uri::try_from(item.path.as_str()).ok()?;
        head.headers = headers(item);
        head.headers
            .insert(HOST, HeaderValue::from_str(&self.work.header.host).ok()?);
        let id = HeaderName::from_static(self.gateway.adapter.jobs.item_id_header());
        head.headers
            .insert(id, HeaderValue::from_str(&item.id).ok()?);
        let terms = SendTerms {
            incarnation: &self.backend.incarnation,
            remaining: RUN_TIME,
            resume_after: self.progress.borrow().last_event(),
            tenant: self.work.header.tenant.as_ref(),
        };
        let dialect = &self.gateway.adapter.backend;
        dialect.write_terms(&mut head.headers, &terms);
        Some(head)
    }

    /// What stands for the item at all nodes, whatever job it came with.
    fn print(&self) -> RequestFingerprint {
        let Work { header, item, .. } = &self.work;
        self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
            tenant: header.tenant.as_ref(),
            host: &header.host,
            method: Method::POST.as_str(),
            target: &item.path,
            body: &item.body.0,
        })
    }

    /// The run broke off: the back end may have ended under it.
    fn broke_off(&self) {
        self.gateway
            .record_outcome(&self.backend.incarnation, BackendOutcome::Broke);
        let run = LostRun {
            fingerprint: self.print(),
            reached: self.progress.borrow().held_bytes() as u64,
        };
        self.gateway.crashes.record_lost_run(&self.backend, run);
    }

    async fn send(&self) -> RunEnd {
        if let Some(wait) = self.gateway.quarantined_for(|| self.print()) {
            info!(self.gateway.log, "runner: Held back."; "job" => caller_id(&self.work.header.job),
                "item" => &self.work.item.id, "print" => %self.print(), "wait_s" => wait.as_secs());
            return RunEnd::HeldBack;
        }
        let Some(head) = self.request_head() else {
            return RunEnd::Impossible;
        };
        let incarnation = &self.backend.incarnation;
        let Ok(connection) = exchange::connect(endpoint(&self.backend), Reuse::Idle).await else {
            self.gateway
                .record_outcome(incarnation, BackendOutcome::Unreachable);
            return RunEnd::NotRun;
        };
        let dialect = self.gateway.adapter.backend.clone();
        let sent = head.headers.clone();
        let is_expected = |answer: &ResponseHead| dialect.answers(&sent, answer);
        let body = Bytes::copy_from_slice(&self.work.item.body.0);
        let sending = connection.send_expecting(head, body, is_expected);
        match timeout(HEAD_TIMEOUT, sending).await {
            Ok(Ok(exchange)) => self.take_answer(exchange).await,
            Ok(Err(_)) | Err(_) => {
                self.broke_off();
                RunEnd::Broken
            }
        }
    }

    async fn take_answer(&self, exchange: Exchange) -> RunEnd {
        let incarnation = &self.backend.incarnation;
        self.gateway.record_activity(incarnation);
        let answer = self.gateway.adapter.backend.read_answer(&exchange.head);
        if let Some(load) = answer.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(Instant::now(), incarnation, load);
            // Counts of others lack what nodes sent that are cut off; back ends know it.
            let mut pressure = self.gateway.pressure.borrow_mut();
            pressure.reported(&self.backend.service, load.waiting);
        }
        if answer.ran == Ran::No {
            let seen = match answer.misdirected {
                true => BackendOutcome::Unreachable,
                false => BackendOutcome::Full,
            };
            self.gateway.record_outcome(incarnation, seen);
            return RunEnd::NotRun;
        }
        if answer.ran != Ran::Yes {
            return RunEnd::Broken;
        }
        match exchange.head.status {
            status if status.is_success() => self.read_stream(exchange).await,
            StatusCode::UNPROCESSABLE_ENTITY => RunEnd::Impossible,
            StatusCode::INTERNAL_SERVER_ERROR => RunEnd::Failed,
            _ => RunEnd::Broken,
        }
    }

    async fn read_stream(&self, mut exchange: Exchange) -> RunEnd {
        let held = self.progress.borrow().held_bytes();
        let incarnation = &self.backend.incarnation;
        loop {
            match timeout(GAP_TIMEOUT, exchange.body.next()).await {
                Ok(Ok(Some(chunk))) => {
                    self.gateway.record_activity(incarnation);
                    if self.progress.borrow_mut().feed(&chunk).is_err() {
                        return RunEnd::Broken;
                    }
                }
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => {
                    // A run that brought the item further says nothing against it: long items were held back by
                    // chance in 3 of 180 plays where each back end ended every few seconds.
                    match self.progress.borrow().held_bytes() == held {
                        true => self.broke_off(),
                        false => self
                            .gateway
                            .record_outcome(incarnation, BackendOutcome::Broke),
                    }
                    return RunEnd::Broken;
                }
            }
        }
        self.gateway
            .record_outcome(incarnation, BackendOutcome::Answered);
        if self.progress.borrow().has_partial() {
            return RunEnd::Broken;
        }
        self.gateway.completed(|| self.print());
        RunEnd::Whole
    }
}

/// Lists a result.
async fn list(replica: &Replica, work: &Work, outcome: ItemOutcome) {
    let completion = Completion {
        job: work.header.job.clone(),
        item: work.index,
        outcome,
    };
    commit(replica, Action::Complete(vec![completion])).await;
}

/// Proposes what may be proposed again, until it is committed or this node does not lead any more.
async fn commit(replica: &Replica, action: Action) {
    loop {
        let proposed = replica.propose(action.clone().into());
        if proposed.await.is_ok() || !replica.status().leads {
            return;
        }
        actix_rt::time::sleep(PROPOSE_PAUSE).await;
    }
}
