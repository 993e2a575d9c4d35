//! `experiment retry-budget`: load on the fleet while a third of the engines fail, in simulated
//! time, with the project's router, retry policy and budget, and without.

use crate::experiment::Experiment;
use crate::report::Report;
use firshore_routing::balance::RequestFeatures;
use firshore_routing::endpoint::{EndpointIndex, Locality, Outcome};
use firshore_routing::retry::{AttemptEnd, AttemptHistory, RetryDecision};
use firshore_routing::retry_budget::{RetryBudget, backoff};
use firshore_routing::router::{Router, SentRequest};
use firshore_types::labels::Selector;
use firshore_types::machine::{Machine, MachineState};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const GATEWAYS: usize = 6;
const ENGINES: usize = 24;
const FAILING: usize = ENGINES / 3;
const REQUESTS_PER_SECOND: u64 = 240;

/// Times in milliseconds.
const END: u64 = 60_000;
const FAILURE: std::ops::Range<u64> = 20_000..40_000;
const WINDOW: u64 = 1_000;
const SERVICE: u64 = 200;

/// Attempts that the baseline makes at each request, without budget or ejection.
const BASELINE_ATTEMPTS: usize = 4;

/// Largest load allowed, as a multiple of the offered load.
const LOAD_LIMIT: f64 = 1.1;

/// How engines fail.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// They refuse every request before running it.
    Refuse,
    /// They take every request and break off.
    BreakOff,
    /// They do not answer at their address, so that nothing reaches them.
    Dead,
}

impl Fault {
    fn name(self) -> &'static str {
        match self {
            Self::Refuse => "refusing",
            Self::BreakOff => "breaking_off",
            Self::Dead => "dead",
        }
    }

    /// How an attempt ends, and after how many milliseconds.
    fn end(self) -> (AttemptEnd, u64) {
        match self {
            Self::Refuse => (AttemptEnd::RefusedUnrun, 1),
            Self::BreakOff => (AttemptEnd::MaybeRun, 20),
            Self::Dead => (AttemptEnd::NotSent, 0),
        }
    }
}

struct Gateway {
    router: Router,
    budget: RetryBudget,
    random: ChaCha8Rng,
}

struct Request {
    gateway: usize,
    attempts: AttemptHistory,
    tried: Vec<EndpointIndex>,
    sent: Option<SentRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Attempt(usize),
    Ended(usize, bool),
}

struct Simulation {
    fault: Fault,
    managed: bool,
    gateways: Vec<Gateway>,
    requests: Vec<Request>,
    queue: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    reached: Vec<u64>,
    failed: u64,
}

struct Measured {
    load: f64,
    worst_window: f64,
    failed_share: f64,
}

fn machines() -> Vec<Machine> {
    let machine = |number: usize| Machine {
        name: format!("engine-{number}").as_str().into(),
        address: ([127, 0, 0, 1], 1).into(),
        region: "region".into(),
        zone: "zone".into(),
        labels: Default::default(),
        state: MachineState::Live,
    };
    (0..ENGINES).map(machine).collect()
}

impl Simulation {
    fn new(fault: Fault, managed: bool, seed: u64) -> Self {
        let machines = machines();
        let gateway = |number: usize| {
            let mut router = Router::new(Locality {
                region: "region".into(),
                zone: "zone".into(),
            });
            router.update(0, &machines);
            Gateway {
                router,
                budget: RetryBudget::default(),
                random: ChaCha8Rng::seed_from_u64(seed + number as u64),
            }
        };
        let mut simulation = Self {
            fault,
            managed,
            gateways: (0..GATEWAYS).map(gateway).collect(),
            requests: Vec::new(),
            queue: BinaryHeap::new(),
            scheduled: 0,
            reached: vec![0; (END / WINDOW) as usize + 2],
            failed: 0,
        };
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        for number in 0..(END * REQUESTS_PER_SECOND / 1_000) as usize {
            simulation.requests.push(Request {
                gateway: random.random_range(0..GATEWAYS),
                attempts: AttemptHistory::new(true),
                tried: Vec::new(),
                sent: None,
            });
            let at = random.random_range(0..END);
            simulation.schedule(at, Event::Attempt(number));
        }
        simulation
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse((at, self.scheduled, event)));
    }

    fn run(mut self) -> Measured {
        while let Some(Reverse((now, _, event))) = self.queue.pop() {
            match event {
                Event::Attempt(request) => self.attempt(now, request),
                Event::Ended(request, failed) => self.ended(now, request, failed),
            }
        }
        let offered_a_window = (REQUESTS_PER_SECOND * WINDOW / 1_000) as f64;
        let windows = FAILURE.start / WINDOW..FAILURE.end / WINDOW;
        let reached = windows.map(|window| self.reached[window as usize]);
        let factors: Vec<f64> = reached
            .map(|reached| reached as f64 / offered_a_window)
            .collect();
        Measured {
            load: factors.iter().sum::<f64>() / factors.len() as f64,
            worst_window: factors.iter().copied().fold(0.0, f64::max),
            failed_share: self.failed as f64 / self.requests.len() as f64,
        }
    }

    fn choose(&mut self, now: u64, number: usize) -> Option<usize> {
        let request = &mut self.requests[number];
        let gateway = &mut self.gateways[request.gateway];
        if !self.managed {
            return Some(gateway.random.random_range(0..ENGINES));
        }
        if request.tried.is_empty() {
            gateway.budget.record_first_attempt();
        }
        let selector = Selector::default();
        let features = RequestFeatures {
            prompt_tokens: 50,
            blocks: &[],
            tried: &request.tried,
        };
        let sent = gateway
            .router
            .choose(now, &[&selector], features, &mut gateway.random)?;
        request.sent = Some(sent);
        Some(usize::from(sent.endpoint.0))
    }

    fn attempt(&mut self, now: u64, number: usize) {
        let Some(engine) = self.choose(now, number) else {
            self.failed += 1;
            return;
        };
        self.requests[number]
            .tried
            .push(EndpointIndex(engine as u16));
        let fails = engine < FAILING && FAILURE.contains(&now);
        let (end, delay) = if fails {
            self.fault.end()
        } else {
            (AttemptEnd::MaybeRun, SERVICE)
        };
        if !fails || end != AttemptEnd::NotSent {
            self.reached[(now / WINDOW) as usize] += 1;
        }
        self.schedule(now + delay, Event::Ended(number, fails));
    }

    fn ended(&mut self, now: u64, number: usize, failed: bool) {
        let end = self.fault.end().0;
        let request = &mut self.requests[number];
        let gateway = &mut self.gateways[request.gateway];
        if let Some(mut sent) = request.sent.take() {
            let outcome = match (failed, end) {
                (false, _) => Outcome::Completed,
                (true, AttemptEnd::RefusedUnrun) => Outcome::Refused,
                (true, _) => Outcome::Failed,
            };
            if !failed {
                gateway.router.record_first_token(now, &mut sent);
            }
            gateway.router.record_end(now, &sent, outcome);
        }
        if !failed {
            return;
        }
        let again = if self.managed {
            match request.attempts.decide_after(end) {
                RetryDecision::Retry => true,
                RetryDecision::RetryWithinBudget => gateway.budget.try_retry(),
                RetryDecision::GiveUp(_) => false,
            }
        } else {
            request.tried.len() < BASELINE_ATTEMPTS
        };
        if !again {
            self.failed += 1;
            return;
        }
        let retry = request.tried.len() as u32;
        let pause = backoff(retry, &mut gateway.random);
        self.schedule(now + pause, Event::Attempt(number));
    }
}

/// Runs it; `Ok(true)` when every limit is kept.
pub fn run(experiment: &Experiment) -> Result<bool, String> {
    let mut report = Report::new("retry-budget", experiment.seed);
    for fault in [Fault::Refuse, Fault::BreakOff, Fault::Dead] {
        let baseline = Simulation::new(fault, false, experiment.seed).run();
        let own = Simulation::new(fault, true, experiment.seed).run();
        let name = |figure: &str| format!("third_{}_{figure}", fault.name());
        let factor = name("load_factor");
        report.at_most(&factor, "ratio", own.load, LOAD_LIMIT, Some(baseline.load));
        let worst = Some(baseline.worst_window);
        report.figure(
            &name("load_factor_worst_second"),
            "ratio",
            own.worst_window,
            worst,
        );
        let failed = Some(baseline.failed_share);
        report.figure(&name("failed_share"), "ratio", own.failed_share, failed);
    }
    report.note("Load factor: attempts that reached an engine, by offered requests, while a third of the engines fail. The baseline chooses at random and makes up to four attempts without budget or ejection.");
    report
        .write(&experiment.out)
        .map_err(|error| error.to_string())
}
