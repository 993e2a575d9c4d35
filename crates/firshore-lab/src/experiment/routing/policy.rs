//! The ways of choosing an engine that are compared. All see the same late reports and the same
//! load headers on answers.

use crate::engine_model::{LoadReport as EngineLoad, Microseconds};
use crate::experiment::routing::workload::Request;
use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{EndpointIndex, Locality, Outcome};
use firshore_routing::load::LoadReport;
use firshore_routing::router::{Router, SentRequest};
use firshore_types::labels::Selector;
use firshore_types::machine::Machine;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A way of choosing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// Any engine with equal chance.
    Random,
    /// Each gateway goes round all engines.
    RoundRobin,
    /// The engine with the least reported requests, ties broken by chance.
    LeastReported,
    /// The router of this project.
    Firshore,
}

impl PolicyKind {
    /// All, the project's own last.
    pub const ALL: [Self; 4] = [
        Self::Random,
        Self::RoundRobin,
        Self::LeastReported,
        Self::Firshore,
    ];

    /// Name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round_robin",
            Self::LeastReported => "least_reported",
            Self::Firshore => "firshore",
        }
    }
}

/// A choice, to be handed back as the request goes on.
#[derive(Clone, Copy, Debug)]
pub struct Chosen {
    /// Engine.
    pub engine: usize,
    sent: Option<SentRequest>,
}

/// One gateway's view.
pub struct Gateway {
    kind: PolicyKind,
    random: ChaCha8Rng,
    next: usize,
    reported: Vec<u32>,
    router: Router,
    selector: Selector,
}

fn milliseconds(now: Microseconds) -> u64 {
    now / 1_000
}

impl Gateway {
    /// A gateway at `locality` before `machines`, in order of their numbers.
    pub fn new(kind: PolicyKind, seed: u64, locality: Locality, machines: &[Machine]) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut router = Router::new(locality);
        router.update(0, machines);
        Self {
            kind,
            next: random.random_range(0..machines.len()),
            random,
            reported: vec![0; machines.len()],
            router,
            selector: Selector::default(),
        }
    }

    /// Chooses an engine; `tried` holds those that refused the request.
    pub fn choose(
        &mut self,
        now: Microseconds,
        request: &Request,
        tried: &[EndpointIndex],
    ) -> Option<Chosen> {
        if self.kind == PolicyKind::Firshore {
            let features = RequestFeatures {
                prompt_tokens: request.prompt_tokens,
                blocks: &request.blocks,
                tried,
            };
            let selectors = [&self.selector];
            let now = milliseconds(now);
            let sent = self
                .router
                .choose(now, &selectors, features, &mut self.random)?;
            let engine = usize::from(sent.endpoint.0);
            return Some(Chosen {
                engine,
                sent: Some(sent),
            });
        }
        let engines = self.reported.len();
        let engine = match self.kind {
            PolicyKind::RoundRobin => {
                self.next = (self.next + 1) % engines;
                self.next
            }
            PolicyKind::LeastReported if tried.is_empty() => self.least_reported(),
            _ => self.random.random_range(0..engines),
        };
        Some(Chosen { engine, sent: None })
    }

    fn least_reported(&mut self) -> usize {
        let least = *self.reported.iter().min().unwrap_or(&0);
        let ties = self.reported.iter().filter(|load| **load == least).count();
        let drawn = self.random.random_range(0..ties);
        let mut indexes = (0..self.reported.len()).filter(|engine| self.reported[*engine] == least);
        indexes.nth(drawn).unwrap_or(0)
    }

    /// Takes in a load report of an engine.
    pub fn report(&mut self, now: Microseconds, engine: usize, load: &EngineLoad) {
        self.reported[engine] = load.running + load.waiting;
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
        };
        let measured_at = milliseconds(now).saturating_sub(load.age_milliseconds);
        self.router
            .record_report(EndpointIndex(engine as u16), measured_at, report);
    }

    /// Takes in the arrival of a first token.
    pub fn first_token(&mut self, now: Microseconds, chosen: &mut Chosen) {
        if let Some(sent) = &mut chosen.sent {
            self.router.record_first_token(milliseconds(now), sent);
        }
    }

    /// Takes in a request's end, with its mean time between tokens if it had several.
    pub fn ended(
        &mut self,
        now: Microseconds,
        chosen: &Chosen,
        outcome: Outcome,
        gap_milliseconds: Option<f32>,
    ) {
        let Some(sent) = &chosen.sent else { return };
        let now = milliseconds(now);
        if let Some(gap) = gap_milliseconds {
            self.router.record_token_gap(now, sent, gap);
        }
        self.router.record_end(now, sent, outcome);
    }
}
