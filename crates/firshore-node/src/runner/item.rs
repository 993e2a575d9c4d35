//! A single run of an item at a back end.

use super::Work;
use super::progress::{ItemProgress, RunEnd};
use crate::journal::Replica;
use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, ResponseHead, StatusCode, Uri};
use bytes::Bytes;
use firshore_adapter::backend::{Backend, Ran, SendTerms};
use firshore_adapter::jobs::{ItemOutcome, JobItem, caller_id};
use firshore_crashes::fingerprint::{FingerprintInput, PartFingerprint, RequestFingerprint};
use firshore_exchange::exchange::{self, Exchange, Reuse};
use firshore_gateway::answer_end::{AnswerEnd, TextPosition};
use firshore_gateway::crash_monitor::ActiveQuarantine;
use firshore_gateway::events::EventTracker;
use firshore_gateway::fleet::{BackendOutcome, endpoint};
use firshore_gateway::gateway::{Gateway, InFlight};
use firshore_gateway::prompt_parts::shared_parts;
use firshore_jobs::command::{Action, Completion};
use rand::RngExt;
use slog::info;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Time limit that is sent to the back end with a run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Timeout of the response's head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Timeout of each chunk of the stream.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum time without a further event, whatever else the stream brings.
const EVENT_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of an item's events, in bytes; the leader holds those of all its runs.
const MAX_TEXT_BYTES: usize = 4 * 1024 * 1024;

/// Interval before a failed proposal is repeated.
const PROPOSE_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a run.
pub(crate) struct RunSummary {
    /// How the run ended.
    pub(crate) end: RunEnd,
    /// Events of the item that were held at the end.
    pub(crate) events: usize,
    /// Events that were received in this run.
    pub(crate) new_events: usize,
    pub(crate) duration: Duration,
}

/// A run of an item, and what it needs.
pub(crate) struct ItemRun {
    pub(crate) gateway: Rc<Gateway>,
    pub(crate) replica: Rc<Replica>,
    pub(crate) work: Work,
    pub(crate) progress: Rc<RefCell<ItemProgress>>,
    pub(crate) in_flight: InFlight,
    pub(crate) backend: Backend,
}

/// Returns the item's own headers, without names and values that HTTP doesn't allow.
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
    /// Runs the item once and commits its outcome, if there is one.
    pub(crate) async fn run(self) -> RunSummary {
        let started = Instant::now();
        let resumed_after = self.progress.borrow().last_event();
        let held = self.progress.borrow().produced().len();
        let text = self.progress.borrow().text();
        let end = self.send().await;
        let events = self.progress.borrow().produced().len();
        let summary = RunSummary {
            end,
            events,
            new_events: events.saturating_sub(held),
            duration: started.elapsed(),
        };
        let failures = match end {
            RunEnd::Failed => self.record_failure().await,
            _ => 0,
        };
        let now = Instant::now();
        let attempts = self.work.header.attempts;
        let outcome = self
            .progress
            .borrow_mut()
            .end_run(now, end, failures, attempts);
        info!(self.gateway.log, "runner: Run ended."; "job" => caller_id(&self.work.header.job),
            "item" => &self.work.item.id, "backend" => %self.backend.incarnation, "end" => ?end,
            "resumed_after" => resumed_after, "text" => text.map(|text| text.to_string()),
            "events" => events, "run_ms" => started.elapsed().as_millis() as u64,
            "settled" => outcome.is_some());
        drop(self.in_flight);
        if let Some(outcome) = outcome {
            commit_outcome(&self.replica, &self.work, outcome).await;
        }
        summary
    }

    /// Commits that a back end reported a failure of the item, so that later leaders count it too. Returns the
    /// number of failures.
    async fn record_failure(&self) -> u32 {
        let job = &self.work.header.job;
        let failure = Action::Failed {
            job: job.clone(),
            item: self.work.index,
            run: self.gateway.random.borrow_mut().random(),
        };
        commit(&self.replica, failure).await;
        let state = self.replica.applied_state();
        state.read().failures(job, self.work.index)
    }

    /// Returns the head of the request, or `None` if HTTP doesn't allow the item's path, host or identifier.
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
            resume: self.progress.borrow().resume_permit(&self.backend),
            tenant: self.work.header.tenant.as_ref(),
        };
        let dialect = &self.gateway.adapter.backend;
        dialect.write_terms(&mut head.headers, &terms);
        Some(head)
    }

    /// Returns the item's fingerprint, which is the same on all nodes and for all jobs with this item.
    fn fingerprint(&self) -> RequestFingerprint {
        let Work { header, item, .. } = &self.work;
        self.gateway.fingerprint_key.fingerprint(&FingerprintInput {
            tenant: header.tenant.as_ref(),
            host: &header.host,
            method: Method::POST.as_str(),
            target: &item.path,
            body: &item.body.0,
        })
    }

    /// Returns the fingerprints of the parts of the item's prompt that other items may share.
    fn parts(&self) -> Vec<PartFingerprint> {
        let Work { header, item, .. } = &self.work;
        let terms = self.gateway.adapter.caller.read_terms(&headers(item));
        let key = &self.gateway.fingerprint_key;
        shared_parts(key, header.tenant.as_ref(), &header.host, &terms.prompt)
    }

    /// Records that the run broke off before a further event: the back end may have crashed.
    fn record_lost_run(&self) {
        self.gateway
            .record_outcome(&self.backend.incarnation, BackendOutcome::Broke);
        self.gateway.crashes.record_lost_item(&self.backend);
    }

    async fn send(&self) -> RunEnd {
        // An item is never what crashes a back end by itself, so that only parts of its prompt hold it back.
        let quarantined = self.gateway.quarantine_of_parts(|| self.parts());
        if let Some(ActiveQuarantine { suspect, time_left }) = quarantined {
            info!(self.gateway.log, "runner: Item quarantined."; "job" => caller_id(&self.work.header.job),
                "item" => &self.work.item.id, "print" => %suspect, "wait_s" => time_left.as_secs());
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
        let is_expected = |response: &ResponseHead| dialect.answers(&sent, response);
        let body = Bytes::copy_from_slice(&self.work.item.body.0);
        let sending = connection.send_expecting(head, body, is_expected);
        match timeout(HEAD_TIMEOUT, sending).await {
            Ok(Ok(exchange)) => self.handle_response(exchange).await,
            Ok(Err(_)) | Err(_) => {
                self.record_lost_run();
                RunEnd::Broken
            }
        }
    }

    async fn handle_response(&self, exchange: Exchange) -> RunEnd {
        let incarnation = &self.backend.incarnation;
        self.gateway.record_activity(incarnation);
        let response = self.gateway.adapter.backend.read_answer(&exchange.head);
        if let Some(load) = response.load {
            let mut fleet = self.gateway.fleet.borrow_mut();
            fleet.record_load(Instant::now(), incarnation, load);
            // Reports of back ends include requests of isolated nodes, which the counts of nodes lack.
            let mut pressure = self.gateway.pressure.borrow_mut();
            pressure.reported(&self.backend.service, load.waiting);
        }
        if response.ran == Ran::No {
            let outcome = match response.misdirected {
                true => BackendOutcome::Unreachable,
                false => BackendOutcome::Full,
            };
            self.gateway.record_outcome(incarnation, outcome);
            return RunEnd::NotRun;
        }
        if response.ran != Ran::Yes {
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
        let mut tracker = EventTracker::default();
        let mut crashes_seen = None;
        let held = self.progress.borrow().held_bytes();
        let incarnation = &self.backend.incarnation;
        let mut last_event = Instant::now();
        let mut events = 0;
        loop {
            match timeout(CHUNK_TIMEOUT, exchange.body.next()).await {
                Ok(Ok(Some(chunk))) => {
                    self.gateway.record_activity(incarnation);
                    tracker.feed(&chunk);
                    if tracker.complete() > events {
                        events = tracker.complete();
                        last_event = Instant::now();
                    }
                    if last_event.elapsed() > EVENT_TIMEOUT {
                        return self.broke_off(held);
                    }
                    if tracker.complete() > 0 {
                        self.gateway
                            .record_begun(&mut crashes_seen, || self.parts());
                    }
                    if self.progress.borrow_mut().feed(&chunk).is_err() {
                        return RunEnd::Broken;
                    }
                    if self.progress.borrow().held_bytes() > MAX_TEXT_BYTES {
                        return self.refuse_text();
                    }
                }
                Ok(Ok(None)) => break,
                Ok(Err(_)) | Err(_) => return self.broke_off(held),
            }
        }
        let end = AnswerEnd {
            marked: exchange.body.end(),
            position: TextPosition::from(&tracker),
        };
        let item = &self.work.item.id;
        let confirmed = self.gateway.confirm_end(&self.backend, item, end).await;
        let Ok(complete) = confirmed else {
            return self.broke_off(held);
        };
        self.gateway
            .record_outcome(incarnation, BackendOutcome::Answered);
        self.gateway
            .record_completion(&complete, || self.fingerprint(), || self.parts());
        RunEnd::Whole
    }

    /// Discards a text that is too long: it never ends, or the leader can't hold it. The next run starts from the
    /// beginning.
    fn refuse_text(&self) -> RunEnd {
        self.progress.borrow_mut().begin_anew();
        self.gateway
            .record_outcome(&self.backend.incarnation, BackendOutcome::Broke);
        RunEnd::Broken
    }

    /// Records that the stream broke off. `held` is the size of the held events at its start, in bytes.
    fn broke_off(&self, held: usize) -> RunEnd {
        // Only a run without a new event starts the check whether the back end has exited.
        match self.progress.borrow().held_bytes() == held {
            true => self.record_lost_run(),
            false => self
                .gateway
                .record_outcome(&self.backend.incarnation, BackendOutcome::Broke),
        }
        RunEnd::Broken
    }
}

/// Commits the outcome of an item.
async fn commit_outcome(replica: &Replica, work: &Work, outcome: ItemOutcome) {
    let completion = Completion {
        job: work.header.job.clone(),
        item: work.index,
        outcome,
    };
    commit(replica, Action::Complete(vec![completion])).await;
}

/// Proposes an idempotent action until it is committed or this node is no longer leader.
pub(super) async fn commit(replica: &Replica, action: Action) {
    loop {
        let proposed = replica.propose(action.clone().into());
        if proposed.await.is_ok() || !replica.status().leads {
            return;
        }
        actix_rt::time::sleep(PROPOSE_INTERVAL).await;
    }
}
