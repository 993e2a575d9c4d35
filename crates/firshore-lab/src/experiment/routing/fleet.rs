//! A fleet in simulated time: gateways that choose, engines of the lab's model, and the network
//! between them.

use crate::engine_model::{
    Engine, EngineSettings, Event as EngineEvent, Faults, LoadReport, Microseconds, RunNumber,
    Submission,
};
use crate::experiment::routing::policy::{Chosen, Gateway, PolicyKind};
use crate::experiment::routing::workload::Request;
use firshore_routing::endpoint::{EndpointIndex, Locality, Outcome};
use firshore_types::machine::{Machine, MachineState};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

/// Zones of the fleet.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// One way between a gateway and an engine of its zone.
const SAME_ZONE: Microseconds = 100;

/// One way between zones.
const OTHER_ZONE: Microseconds = 1_000;

/// Time between two reports of an engine to a gateway.
const REPORT_INTERVAL: Microseconds = 1_000_000;

/// Engines tried for one request.
const MAXIMUM_ATTEMPTS: usize = 3;

/// Requests in the first part of a run that do not count, while caches and estimates settle.
const WARM_UP: Microseconds = 10_000_000;

/// Priority of every request, online.
const PRIORITY: u16 = 200;

/// What is simulated.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Gateways, spread over the zones.
    pub gateways: usize,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Engine that is slow, and by which factor.
    pub slow: Option<(usize, f64)>,
    /// Seed.
    pub seed: u64,
}

/// What was measured.
pub struct Measured {
    /// Time from a request's arrival to its first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between tokens, in microseconds.
    pub gap: Histogram<u64>,
    /// Blocks found in prefix caches.
    pub hit_blocks: u64,
    /// Blocks of all prompts.
    pub blocks: u64,
    /// Requests that every engine tried refused.
    pub refused: u64,
    /// Share of the requests that the slow engine got.
    pub slow_share: f64,
    /// Share of the requests that ran in another zone than their gateway's.
    pub other_zone_share: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Submit(usize),
    Wake(usize),
    Token(usize, Microseconds),
    Completed(usize),
    Report(usize, usize),
}

struct Progress {
    chosen: Option<Chosen>,
    tried: Vec<EndpointIndex>,
    first_token: Option<Microseconds>,
    last_token: Microseconds,
    tokens: u32,
    header: Option<LoadReport>,
}

/// The simulation.
pub struct Fleet<'a> {
    scenario: Scenario,
    requests: &'a [Request],
    progress: Vec<Progress>,
    engines: Vec<Engine>,
    gateways: Vec<Gateway>,
    runs: HashMap<(usize, RunNumber), usize>,
    queue: BinaryHeap<Reverse<(Microseconds, u64, Event)>>,
    scheduled: u64,
    wakes: Vec<Option<Microseconds>>,
    per_engine: Vec<u64>,
    other_zone: u64,
    measured: Measured,
}

fn machines(count: usize) -> Vec<Machine> {
    (0..count)
        .map(|number| Machine {
            name: format!("engine-{number}").as_str().into(),
            address: ([127, 0, 0, 1], 1).into(),
            region: "region".into(),
            zone: zone(number).into(),
            labels: Default::default(),
            state: MachineState::Live,
        })
        .collect()
}

fn zone(number: usize) -> &'static str {
    ZONES[number % ZONES.len()]
}

fn engine_settings() -> EngineSettings {
    EngineSettings {
        // No request is resumed here, and kept generations would take the prefix cache's room.
        kept_for: 1_000_000,
        ..EngineSettings::default()
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}

impl<'a> Fleet<'a> {
    /// A fleet before `requests`.
    pub fn new(kind: PolicyKind, scenario: &Scenario, requests: &'a [Request]) -> Self {
        let machines = machines(scenario.engines);
        let mut engines: Vec<Engine> = (0..scenario.engines)
            .map(|number| Engine::new(engine_settings(), scenario.seed + number as u64))
            .collect();
        if let Some((slow, factor)) = scenario.slow {
            let faults = Faults {
                slow_factor: Some(factor),
                ..Faults::default()
            };
            engines[slow].set_faults(0, faults);
        }
        let gateways = (0..scenario.gateways)
            .map(|number| {
                let locality = Locality {
                    region: "region".into(),
                    zone: zone(number).into(),
                };
                Gateway::new(
                    kind,
                    scenario.seed ^ (number as u64) << 8,
                    locality,
                    &machines,
                )
            })
            .collect();
        let progress = requests.iter().map(|_| Progress::new()).collect();
        Self {
            scenario: scenario.clone(),
            requests,
            progress,
            engines,
            gateways,
            runs: HashMap::new(),
            queue: BinaryHeap::new(),
            scheduled: 0,
            wakes: vec![None; scenario.engines],
            per_engine: vec![0; scenario.engines],
            other_zone: 0,
            measured: Measured {
                first_token: histogram(),
                gap: histogram(),
                hit_blocks: 0,
                blocks: 0,
                refused: 0,
                slow_share: 0.0,
                other_zone_share: 0.0,
            },
        }
    }

    fn schedule(&mut self, at: Microseconds, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> Measured {
        for (number, request) in self.requests.iter().enumerate() {
            self.schedule(request.at, Event::Arrival(number));
        }
        let end = self.requests.last().map_or(0, |request| request.at);
        self.schedule_reports();
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            match event {
                Event::Arrival(request) => self.send(now, request),
                Event::Submit(request) => self.submit(now, request),
                Event::Wake(engine) => self.wake(now, engine),
                Event::Token(request, at) => self.token(now, request, at),
                Event::Completed(request) => self.completed(now, request),
                Event::Report(gateway, engine) if now < end => self.report(now, gateway, engine),
                Event::Report(..) => {}
            }
        }
        self.finish()
    }

    fn schedule_reports(&mut self) {
        let pairs = self.gateways.len() * self.engines.len();
        for gateway in 0..self.gateways.len() {
            for engine in 0..self.engines.len() {
                let place = (engine * self.gateways.len() + gateway) as u64;
                let phase = REPORT_INTERVAL * place / pairs as u64;
                self.schedule(phase, Event::Report(gateway, engine));
            }
        }
    }

    fn report(&mut self, now: Microseconds, gateway: usize, engine: usize) {
        let load = self.engines[engine].lagged_load(now);
        self.gateways[gateway].report(now, engine, &load);
        self.collect(now, engine);
        self.schedule(now + REPORT_INTERVAL, Event::Report(gateway, engine));
    }

    fn distance(&self, request: usize, engine: usize) -> Microseconds {
        if zone(self.requests[request].gateway) == zone(engine) {
            SAME_ZONE
        } else {
            OTHER_ZONE
        }
    }

    fn send(&mut self, now: Microseconds, number: usize) {
        let request = &self.requests[number];
        let progress = &mut self.progress[number];
        let gateway = &mut self.gateways[request.gateway];
        let chosen = (progress.tried.len() < MAXIMUM_ATTEMPTS)
            .then(|| gateway.choose(now, request, &progress.tried))
            .flatten();
        let Some(chosen) = chosen else {
            self.measured.refused += 1;
            return;
        };
        progress.chosen = Some(chosen);
        progress.tried.push(EndpointIndex(chosen.engine as u16));
        let delay = self.distance(number, chosen.engine);
        self.schedule(now + delay, Event::Submit(number));
    }

    fn submit(&mut self, now: Microseconds, number: usize) {
        let request = &self.requests[number];
        let Some(chosen) = self.progress[number].chosen else {
            return;
        };
        let submission = Submission {
            request_id: number.to_string(),
            priority: PRIORITY,
            prompt_tokens: request.prompt_tokens,
            prompt_blocks: request.blocks.clone(),
            maximum_tokens: request.output_tokens,
            ..Submission::default()
        };
        match self.engines[chosen.engine].submit(now, submission) {
            Ok(run) => {
                self.runs.insert((chosen.engine, run), number);
                self.per_engine[chosen.engine] += 1;
                let away = self.distance(number, chosen.engine) == OTHER_ZONE;
                self.other_zone += u64::from(away);
            }
            Err(_) => {
                let gateway = &mut self.gateways[request.gateway];
                gateway.ended(now, &chosen, Outcome::Refused, None);
                let load = self.engines[chosen.engine].fresh_load();
                gateway.report(now, chosen.engine, &load);
                let delay = 2 * self.distance(number, chosen.engine);
                self.schedule(now + delay, Event::Arrival(number));
            }
        }
        self.collect(now, chosen.engine);
    }

    fn wake(&mut self, now: Microseconds, engine: usize) {
        if self.wakes[engine] == Some(now) {
            self.collect(now, engine);
        }
    }

    /// Takes the engine's events and sets its next wake.
    fn collect(&mut self, now: Microseconds, engine: usize) {
        for event in self.engines[engine].step(now) {
            let Some(number) = self.runs.get(&(engine, event.run())).copied() else {
                continue;
            };
            let delay = self.distance(number, engine);
            match event {
                EngineEvent::Token { at, offset, .. } => {
                    if offset == 0 {
                        self.progress[number].header = Some(self.engines[engine].fresh_load());
                    }
                    self.schedule(at.max(now) + delay, Event::Token(number, at));
                }
                EngineEvent::Completed { at, .. } => {
                    self.runs.remove(&(engine, event.run()));
                    self.schedule(at.max(now) + delay, Event::Completed(number));
                }
                _ => {}
            }
        }
        let wake = self.engines[engine].next_wake();
        if wake != self.wakes[engine] {
            self.wakes[engine] = wake;
            if let Some(wake) = wake {
                self.schedule(wake, Event::Wake(engine));
            }
        }
    }

    fn token(&mut self, now: Microseconds, number: usize, _at: Microseconds) {
        let request = &self.requests[number];
        let counts = request.at >= WARM_UP;
        let progress = &mut self.progress[number];
        progress.tokens += 1;
        if progress.first_token.is_none() {
            progress.first_token = Some(now);
            if counts {
                self.measured
                    .first_token
                    .saturating_record(now - request.at);
            }
            let gateway = &mut self.gateways[request.gateway];
            if let Some(chosen) = &mut progress.chosen {
                gateway.first_token(now, chosen);
                if let Some(load) = progress.header.take() {
                    gateway.report(now, chosen.engine, &load);
                }
            }
        } else if counts {
            self.measured
                .gap
                .saturating_record(now - progress.last_token);
        }
        progress.last_token = now;
    }

    fn completed(&mut self, now: Microseconds, number: usize) {
        let request = &self.requests[number];
        let progress = &self.progress[number];
        let first = progress.first_token.unwrap_or(now);
        let gaps = progress.tokens.saturating_sub(1);
        let gap = (gaps > 0).then(|| (progress.last_token - first) as f32 / gaps as f32 / 1_000.0);
        if let Some(chosen) = &progress.chosen {
            let gateway = &mut self.gateways[request.gateway];
            gateway.ended(now, chosen, Outcome::Completed, gap);
        }
    }

    fn finish(mut self) -> Measured {
        for engine in &self.engines {
            let used = engine.prefix_use();
            self.measured.hit_blocks += used.hit_blocks;
            self.measured.blocks += used.blocks;
        }
        let total: u64 = self.per_engine.iter().sum();
        if let Some((slow, _)) = self.scenario.slow {
            self.measured.slow_share = self.per_engine[slow] as f64 / total as f64;
        }
        self.measured.other_zone_share = self.other_zone as f64 / total as f64;
        self.measured
    }
}

impl Progress {
    fn new() -> Self {
        Self {
            chosen: None,
            tried: Vec::new(),
            first_token: None,
            last_token: 0,
            tokens: 0,
            header: None,
        }
    }
}

/// Requests a second that one engine completes when work always waits.
pub fn engine_capacity(requests: &[Request], seed: u64) -> f64 {
    const WAITING: usize = 32;
    let mut engine = Engine::new(engine_settings(), seed);
    let mut now = 0;
    let mut completed = 0;
    let mut next = 0;
    let mut inside = 0;
    while completed < requests.len() - WAITING {
        while inside < WAITING && next < requests.len() {
            let request = &requests[next];
            let submission = Submission {
                request_id: next.to_string(),
                priority: PRIORITY,
                prompt_tokens: request.prompt_tokens,
                prompt_blocks: request.blocks.clone(),
                maximum_tokens: request.output_tokens,
                ..Submission::default()
            };
            if engine.submit(now, submission).is_ok() {
                inside += 1;
            }
            next += 1;
        }
        now = engine.next_wake().unwrap_or(now);
        let ended = engine
            .step(now)
            .iter()
            .filter(|event| event.is_final())
            .count();
        completed += ended;
        inside -= ended;
    }
    completed as f64 / (now as f64 / 1e6)
}
