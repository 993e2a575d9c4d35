//! Gateways and back ends in simulated time. Each gateway decides from its own view.

use crate::engine::{Engine, SLOTS, Submission};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Repetition;
use firshore_admission::admission::{
    Admission, AdmissionRequest, CapacityOutlook, ShareStatus, decide,
};
use firshore_gateway::attempts::{Attempts, NextStep, SendEnd};
use firshore_gateway::fleet::{BackendOutcome, BackendRequirements, Fleet};
use firshore_types::ids::ServiceName;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 70;
const ENGINES: usize = 90;

/// Time from getting a slot to the first event of the response.
const FIRST_EVENT: Duration = Duration::from_millis(40);

/// Range of the time in a slot, in seconds, and its mean.
const SLOT_TIME: std::ops::Range<f64> = 0.4..1.08;
const MEAN_SLOT_TIME: f64 = 0.74;

/// Time after which a refused caller retries, once.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval and age up to which a view counts as current.
const CURRENT: Duration = Duration::from_millis(140);

pub const OBJECTIVE: Duration = Duration::from_millis(300);
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Requests per second that all back ends can run.
pub const CAPACITY: f64 = (ENGINES * SLOTS) as f64 / MEAN_SLOT_TIME;

/// Parameters of a simulation.
pub struct Scenario {
    pub seed: u64,
    pub length: Duration,
    /// Demand as a fraction of the capacity, by the time in seconds since the start.
    pub demand: fn(f64) -> f64,
    /// Fraction of the gateways that neither send nor receive reports.
    pub isolated: f64,
    /// Requests of former gateways at each back end at the start.
    pub leftover: usize,
    /// Callers that arrive at the start.
    pub initial_arrivals: usize,
    /// Time before the first exchange of reports.
    pub first_view: Duration,
    /// Range of the gateways' view intervals, in seconds. The reports in a view are up to one more interval old.
    pub view_interval: std::ops::Range<f64>,
}

impl Scenario {
    /// Returns the work that the leftover requests still need, in requests of mean slot time.
    pub fn leftover_work(&self) -> f64 {
        let running = self.leftover.min(SLOTS) as f64;
        let queued = self.leftover as f64 - running;
        (running / 2.0 + queued) * ENGINES as f64
    }
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    Pending,
    /// Refused after this time.
    Refused(Duration),
    /// The response began after this time.
    Began(Duration),
}

pub struct Request {
    /// Time since the start of the simulation.
    pub arrived: Duration,
    pub outcome: Outcome,
    pub attempts: Attempts,
    /// View interval of its gateway.
    pub view_interval: Duration,
    gateway: usize,
    time_left: Duration,
    /// Engine and time of the last send.
    sent_to: usize,
    sent_at: Instant,
    expected_wait: Duration,
    began_after: Duration,
    /// What its gateway knew when the request was sent.
    pub knowledge: Knowledge,
}

/// What a gateway knew when it sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Knowledge {
    /// Not sent.
    Nothing,
    /// It had no request in flight, so it needed no claim.
    NoneInFlight,
    /// A current view.
    CurrentView,
    /// An older view that shows plenty of slots, or none.
    Plenty,
    /// An older view that shows few slots, so it went by its claims.
    Claims,
}

impl Request {
    /// Returns whether this is the caller's first attempt.
    pub fn is_new(&self) -> bool {
        self.time_left == TIMEOUT
    }
}

/// Order of the requests queued at a gateway: retries of refused callers first, then by arrival.
type QueueKey = (bool, usize);

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Retry(usize),
    Exchange(usize),
    WaitOver(usize),
    ResponseBegins(usize),
    End {
        engine: usize,
        request: Option<usize>,
    },
}

struct Gateway {
    fleet: Fleet,
    queue: BTreeSet<QueueKey>,
    isolated: bool,
    view_interval: Duration,
    /// Reported number of in-flight requests at each engine.
    reported: Vec<u32>,
}

struct World {
    scenario: Scenario,
    service: ServiceName,
    start: Instant,
    now: Instant,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    /// Number of scheduled events, to order simultaneous ones.
    scheduled: u64,
}

fn listed(engine: usize) -> Backend {
    Backend {
        incarnation: incarnation(engine),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: format!("z{}", engine % 3).as_str().into(),
        slots: SLOTS as u32,
        leaving: false,
        warm_up: None,
        software: None,
    }
}

fn incarnation(engine: usize) -> Incarnation {
    Incarnation::named(engine.to_string())
}

fn engine_number(name: &BackendName) -> usize {
    name.as_str().parse().unwrap()
}

impl Gateway {
    fn new(number: usize, scenario: &Scenario, random: &mut impl Rng) -> Self {
        let view_interval =
            Duration::from_secs_f64(random.random_range(scenario.view_interval.clone()));
        let mut fleet = Fleet::new(format!("z{}", number % 3).as_str().into());
        fleet.replace(Instant::now(), (0..ENGINES).map(listed).collect());
        fleet.set_view_interval(view_interval * 2);
        Self {
            fleet,
            queue: BTreeSet::new(),
            isolated: (number as f64) < GATEWAYS as f64 * scenario.isolated,
            view_interval,
            reported: vec![0; ENGINES],
        }
    }

    fn knowledge(&self, outlook: &CapacityOutlook) -> Knowledge {
        if self.fleet.in_flight().next().is_none() {
            return Knowledge::NoneInFlight;
        }
        let is_current = |age| age <= CURRENT && self.view_interval * 2 <= CURRENT;
        match outlook.age {
            Some(age) if is_current(age) => Knowledge::CurrentView,
            _ if outlook.is_scarce => Knowledge::Claims,
            _ => Knowledge::Plenty,
        }
    }
}

/// Runs a simulation. Returns all requests.
pub fn simulate(scenario: Scenario) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
    let start = Instant::now();
    let new_gateway = |number| Gateway::new(number, &scenario, &mut random);
    let gateways = (0..GATEWAYS).map(new_gateway).collect();
    let mut world = World {
        scenario,
        service: "llm".into(),
        start,
        now: start,
        random,
        gateways,
        engines: (0..ENGINES).map(|_| Engine::default()).collect(),
        requests: Vec::new(),
        events: BinaryHeap::new(),
        scheduled: 0,
    };
    world.start();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.step(event);
    }
    world.requests
}

impl World {
    fn start(&mut self) {
        for gateway in 0..GATEWAYS {
            let offset = self
                .random
                .random_range(0.0..self.scenario.view_interval.end);
            let after = self.scenario.first_view + Duration::from_secs_f64(offset);
            self.schedule(after, Event::Exchange(gateway));
        }
        for engine in 0..ENGINES {
            for _ in 0..self.scenario.leftover {
                self.engines[engine].submit(None);
            }
            for _ in 0..self.scenario.leftover.min(SLOTS) {
                let rest = self.random.random_range(0.0..MEAN_SLOT_TIME);
                let end = Event::End {
                    engine,
                    request: None,
                };
                self.schedule(Duration::from_secs_f64(rest), end);
            }
        }
        for _ in 0..self.scenario.initial_arrivals {
            self.arrive(TIMEOUT);
        }
        self.schedule(Duration::ZERO, Event::Arrival);
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.scheduled += 1;
        let entry = (self.now + after, self.scheduled, event);
        self.events.push(Reverse(entry));
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Arrival => self.next_arrival(),
            Event::Retry(request) => {
                let spent = self.now - self.start - self.requests[request].arrived;
                self.arrive(TIMEOUT - spent);
            }
            Event::Exchange(gateway) => self.exchange(gateway),
            Event::WaitOver(request) => {
                self.decide_again(request);
            }
            Event::ResponseBegins(request) => self.response_begins(request),
            Event::End { engine, request } => self.end(engine, request),
        }
    }

    fn next_arrival(&mut self) {
        let elapsed = self.now - self.start;
        if elapsed > self.scenario.length {
            return;
        }
        let rate = (self.scenario.demand)(elapsed.as_secs_f64()) * CAPACITY;
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        self.arrive(TIMEOUT);
    }

    fn arrive(&mut self, time_left: Duration) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let request = Request {
            arrived: self.now - self.start,
            outcome: Outcome::Pending,
            attempts: Attempts::new(Repetition::Resumable, 2),
            view_interval: self.gateways[gateway].view_interval,
            gateway,
            time_left,
            sent_to: 0,
            sent_at: self.now,
            expected_wait: Duration::ZERO,
            began_after: Duration::ZERO,
            knowledge: Knowledge::Nothing,
        };
        self.requests.push(request);
        self.decide(self.requests.len() - 1);
    }

    fn age(&self, request: usize) -> Duration {
        self.now - self.start - self.requests[request].arrived
    }

    fn queue_key(&self, request: usize) -> QueueKey {
        (self.requests[request].is_new(), request)
    }

    /// Decides about a request, with the same steps as the gateway's forwarding.
    fn decide(&mut self, request: usize) {
        let key = self.queue_key(request);
        let arrived = &self.requests[request];
        let gateway = &mut self.gateways[arrived.gateway];
        gateway.queue.remove(&key);
        let admission = AdmissionRequest {
            objective: OBJECTIVE,
            timeout: TIMEOUT,
            time_left: arrived.time_left,
            age: self.now - self.start - arrived.arrived,
            share_status: ShareStatus::Within,
            behind_others: gateway.queue.first().is_some_and(|first| *first < key),
            node_stops_in: None,
        };
        let residency = ResidencyPermit::default();
        let mut requirements = BackendRequirements {
            origin: None,
            service: &self.service,
            attempts: &arrived.attempts,
            affinity: None,
            load_limit: f32::INFINITY,
            begin_objective: None,
            begin_within: None,
            residency: &residency,
        };
        let Some(outlook) =
            gateway
                .fleet
                .outlook(self.now, &requirements, admission.begin_within())
        else {
            return self.refuse(request);
        };
        match decide(&admission, &outlook) {
            Admission::Send => {
                requirements.begin_within = Some(admission.begin_within());
                let knowledge = gateway.knowledge(&outlook);
                match gateway
                    .fleet
                    .choose(self.now, &requirements, &mut self.random)
                {
                    Some(backend) => {
                        self.requests[request].knowledge = knowledge;
                        self.send(request, &backend.incarnation);
                    }
                    None => self.refuse(request),
                }
            }
            Admission::Wait(wait) => {
                gateway.queue.insert(key);
                self.schedule(wait, Event::WaitOver(request));
            }
            Admission::Refuse => self.refuse(request),
        }
    }

    /// Decides again about a request if it is still queued. Returns whether it stays queued.
    fn decide_again(&mut self, request: usize) -> bool {
        let key = self.queue_key(request);
        let gateway = self.requests[request].gateway;
        if !self.gateways[gateway].queue.contains(&key) {
            return false;
        }
        self.decide(request);
        self.gateways[gateway].queue.contains(&key)
    }

    /// Decides again about queued requests after the gateway's view of the capacity has changed.
    fn decide_queued(&mut self, gateway: usize) {
        while let Some((_, request)) = self.gateways[gateway].queue.first().copied() {
            if self.decide_again(request) {
                return;
            }
        }
    }

    fn refuse(&mut self, request: usize) {
        let age = self.age(request);
        let refused = &mut self.requests[request];
        refused.outcome = Outcome::Refused(age);
        if refused.is_new() {
            self.schedule(RETRY_DELAY, Event::Retry(request));
        }
    }

    fn send(&mut self, request: usize, incarnation: &Incarnation) {
        let engine = engine_number(&incarnation.name);
        let sent = &mut self.requests[request];
        assert!(
            sent.attempts.allows(incarnation),
            "sent beyond its attempts"
        );
        sent.attempts.sending(incarnation);
        sent.sent_to = engine;
        sent.sent_at = self.now;
        let fleet = &mut self.gateways[sent.gateway].fleet;
        sent.expected_wait = fleet.begin_delay(self.now, incarnation);
        fleet.record_start(self.now, incarnation);
        match self.engines[engine].submit(Some(request)) {
            Submission::Started => self.start_run(engine, Some(request)),
            Submission::Queued => {}
            Submission::Refused => self.handle_refusal(request, engine),
        }
    }

    fn handle_refusal(&mut self, request: usize, engine: usize) {
        let load = self.engines[engine].load();
        let incarnation = incarnation(engine);
        let sent = &mut self.requests[request];
        let fleet = &mut self.gateways[sent.gateway].fleet;
        fleet.record_load(self.now, &incarnation, load);
        fleet.record_outcome(self.now, &incarnation, BackendOutcome::Full);
        fleet.record_end(self.now, &incarnation);
        match sent.attempts.ended(&incarnation, SendEnd::NotRun) {
            NextStep::SendAgain => self.decide(request),
            _ => self.refuse(request),
        }
    }

    fn start_run(&mut self, engine: usize, request: Option<usize>) {
        let length = Duration::from_secs_f64(self.random.random_range(SLOT_TIME));
        self.schedule(length, Event::End { engine, request });
        if let Some(request) = request {
            self.schedule(FIRST_EVENT, Event::ResponseBegins(request));
        }
    }

    fn response_begins(&mut self, request: usize) {
        let age = self.age(request);
        let started = &mut self.requests[request];
        assert_eq!(
            started.outcome,
            Outcome::Pending,
            "ran after it was refused"
        );
        started.outcome = Outcome::Began(age);
        started.began_after = self.now - started.sent_at;
        let engine = started.sent_to;
        let incarnation = incarnation(engine);
        let fleet = &mut self.gateways[started.gateway].fleet;
        fleet.record_activity(self.now, &incarnation);
        let (expected, began_after) = (started.expected_wait, started.began_after);
        fleet.record_begin(self.now, &self.service, expected, began_after);
        fleet.record_load(self.now, &incarnation, self.engines[engine].load());
        fleet.record_outcome(self.now, &incarnation, BackendOutcome::Answered);
    }

    fn end(&mut self, engine: usize, request: Option<usize>) {
        if let Some(next) = self.engines[engine].end() {
            self.start_run(engine, next);
        }
        let Some(request) = request else {
            return;
        };
        let ended = &self.requests[request];
        let rest = self.now - ended.sent_at - ended.began_after;
        let gateway = ended.gateway;
        let fleet = &mut self.gateways[gateway].fleet;
        fleet.record_served(&self.service, ended.began_after, rest);
        fleet.record_end(self.now, &incarnation(engine));
        self.decide_queued(gateway);
    }

    /// Reports a gateway's in-flight requests and applies the latest reports of the others.
    fn exchange(&mut self, reporter: usize) {
        let gateway = &mut self.gateways[reporter];
        if gateway.isolated || self.now - self.start > self.scenario.length + TIMEOUT {
            return;
        }
        gateway.reported.fill(0);
        for (name, count) in gateway.fleet.in_flight() {
            gateway.reported[engine_number(&name)] = count;
        }
        let interval = gateway.view_interval;
        let others = self.sum_others(reporter);
        let gateway = &mut self.gateways[reporter];
        gateway
            .fleet
            .apply_remote_load(self.now, &others, &mut self.random);
        self.schedule(interval, Event::Exchange(reporter));
        self.decide_queued(reporter);
    }

    fn sum_others(&self, receiver: usize) -> HashMap<BackendName, u32> {
        let mut sums = vec![0; ENGINES];
        for (other, gateway) in self.gateways.iter().enumerate() {
            if other != receiver {
                sums.iter_mut()
                    .zip(&gateway.reported)
                    .for_each(|(sum, count)| *sum += count);
            }
        }
        let sums = sums.into_iter().enumerate();
        sums.map(|(engine, sum)| (incarnation(engine).name, sum))
            .collect()
    }
}
