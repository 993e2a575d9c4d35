//! The router at work in the node: chooses a back end for a request and tells the router what
//! became of it.

use crate::limits::Admitted;
use crate::shared::Shared;
use actix_http::header::{HeaderMap, HeaderName};
use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{EndpointIndex, Outcome};
use firshore_routing::load::LoadReport;
use firshore_routing::router::SentRequest;
use firshore_types::declaration::PoolSpec;
use firshore_types::hash::prompt_block_hashes;
use firshore_types::ids::MachineName;
use firshore_types::labels::Selector;
use serde::Deserialize;
use slog::{info, warn};
use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;

/// Header by which a back end reports its load with each answer, `RUNNING/WAITING/SLOTS`.
pub const ENGINE_LOAD_HEADER: HeaderName = HeaderName::from_static("engine-load");

/// Header by which a back end says that it drains.
pub const ENGINE_STATE_HEADER: HeaderName = HeaderName::from_static("engine-state");

/// Value of [`ENGINE_STATE_HEADER`] of a back end that takes nothing new.
const DRAINING: &str = "draining";

#[derive(Deserialize)]
struct Prompt<'a> {
    #[serde(default, borrow)]
    prompt: Cow<'a, str>,
    #[serde(default, borrow)]
    messages: Vec<Message<'a>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(default, borrow)]
    content: Cow<'a, str>,
}

/// Which back ends may run a request, and what the choice among them depends on.
#[derive(Clone, Default)]
pub struct Target {
    selectors: Vec<Selector>,
    prompt_tokens: u32,
    blocks: Vec<u64>,
    admitted: Option<Arc<Admitted>>,
}

impl Target {
    /// The back ends of `pool`.
    pub fn of_pool(pool: &PoolSpec) -> Self {
        Self {
            selectors: vec![pool.machines.clone()],
            ..Self::default()
        }
    }

    /// Narrows the back ends to those that `selector` matches too.
    pub fn restricted_to(mut self, selector: &Selector) -> Self {
        self.selectors.push(selector.clone());
        self
    }

    /// The selectors that a back end must match.
    pub fn selectors(&self) -> Vec<&Selector> {
        self.selectors.iter().collect()
    }

    /// Keeps the request counted against its tenant's limits until it has ended.
    pub fn admitted(mut self, admitted: Admitted) -> Self {
        self.admitted = Some(Arc::new(admitted));
        self
    }

    /// Takes the prompt from a completion's body, by which prefixes and work are weighed. A body
    /// of another shape counts as an empty prompt.
    pub fn with_prompt(mut self, body: &[u8]) -> Self {
        let Ok(parsed) = serde_json::from_slice::<Prompt>(body) else {
            return self;
        };
        let mut text = parsed.prompt.into_owned();
        for message in parsed.messages {
            text.push_str(&message.content);
        }
        self.prompt_tokens = text.split_whitespace().count() as u32;
        self.blocks = prompt_block_hashes(&text);
        self
    }
}

/// A request at a back end. Dropped before [`RunningRequest::ended`], it counts as given up.
pub struct RunningRequest {
    shared: Arc<Shared>,
    sent: SentRequest,
    name: MachineName,
    address: SocketAddr,
    first_chunk_at: Option<u64>,
    last_chunk_at: u64,
    chunks: u32,
    outcome: Outcome,
    _admitted: Option<Arc<Admitted>>,
}

/// Chooses a back end for a request, passing over those in `tried`, and counts it as sent there.
/// `None` when no eligible back end takes work.
pub fn choose(
    shared: &Arc<Shared>,
    target: &Target,
    tried: &[EndpointIndex],
) -> Option<RunningRequest> {
    let now = shared.clock.now();
    let selectors = target.selectors();
    let features = RequestFeatures {
        prompt_tokens: target.prompt_tokens,
        blocks: &target.blocks,
        tried,
    };
    if tried.is_empty() {
        shared.retry_budget.lock().record_first_attempt();
    }
    let mut router = shared.router.lock();
    let sent = router.choose(now, &selectors, features, &mut rand::rng())?;
    let endpoint = router.endpoints.get(sent.endpoint);
    let (name, address) = (endpoint.name.clone(), endpoint.address);
    drop(router);
    Some(RunningRequest {
        shared: shared.clone(),
        sent,
        name,
        address,
        first_chunk_at: None,
        last_chunk_at: 0,
        chunks: 0,
        outcome: Outcome::Cancelled,
        _admitted: target.admitted.clone(),
    })
}

/// Takes one retry from the node's budget; `false` when it is used up and the request must fail.
pub fn may_retry(shared: &Shared) -> bool {
    shared.retry_budget.lock().try_retry()
}

impl RunningRequest {
    /// The back end, to be passed over by a further [`choose`].
    pub fn endpoint(&self) -> EndpointIndex {
        self.sent.endpoint
    }

    /// Where the back end listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The back end's name.
    pub fn name(&self) -> &MachineName {
        &self.name
    }

    /// Takes in the load and state that ride on an answer's head.
    pub fn answered(&self, headers: &HeaderMap) {
        let now = self.shared.clock.now();
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let load = text(&ENGINE_LOAD_HEADER).and_then(LoadReport::from_header);
        let draining = text(&ENGINE_STATE_HEADER) == Some(DRAINING);
        let mut router = self.shared.router.lock();
        if let Some(report) = load {
            router.record_report(self.sent.endpoint, now, report);
        }
        if draining {
            router.record_draining(now, self.sent.endpoint);
        }
        drop(router);
        if draining {
            info!(self.shared.log, "routing: Engine draining."; "engine" => %self.name);
        }
    }

    /// Takes in the arrival of a part of a streamed answer.
    pub fn chunk(&mut self) {
        let now = self.shared.clock.now();
        if self.first_chunk_at.is_none() {
            self.first_chunk_at = Some(now);
            self.shared
                .router
                .lock()
                .record_first_token(now, &mut self.sent);
        }
        self.last_chunk_at = now;
        self.chunks += 1;
    }

    /// Ends the request.
    pub fn ended(mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    fn mean_gap(&self) -> Option<f32> {
        let first = self.first_chunk_at?;
        let gaps = self.chunks.checked_sub(1).filter(|gaps| *gaps > 0)?;
        Some(self.last_chunk_at.saturating_sub(first) as f32 / gaps as f32)
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let gap = self.mean_gap();
        let mut router = self.shared.router.lock();
        if let Some(milliseconds) = gap {
            router.record_token_gap(now, &self.sent, milliseconds);
        }
        let ejected_until = router.record_end(now, &self.sent, self.outcome);
        drop(router);
        if let Some(until) = ejected_until {
            let milliseconds = until - now;
            warn!(self.shared.log, "routing: Engine ejected.";
                "engine" => %self.name, "milliseconds" => milliseconds);
        }
    }
}
