//! Gateways before back ends in simulated time: each has its own picture of all, and decides alone.

use crate::engine::{Engine, SLOTS, Taken};
use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::{BackendName, Incarnation};
use firshore_adapter::route::Repetition;
use firshore_admission::admission::{Admission, AdmissionRequest, ShareStatus, decide};
use firshore_gateway::attempts::{Attempts, Next, SendEnd};
use firshore_gateway::fleet::{BackendOutcome, BackendRequirements, Fleet};
use firshore_types::ids::ServiceName;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 70;
const ENGINES: usize = 90;

/// Time from a slot to the first event of an answer.
const FIRST_EVENT: Duration = Duration::from_millis(40);

/// Shortest and longest time in a slot, in seconds, and the mean of both.
const SLOT_TIME: std::ops::Range<f64> = 0.4..1.08;
const MEAN_SLOT_TIME: f64 = 0.74;

/// Time after which a refused caller comes back, once.
const RETURN: Duration = Duration::from_millis(250);

pub const OBJECTIVE: Duration = Duration::from_millis(300);
pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Requests a second that all back ends can work on.
pub const ROOM: f64 = (ENGINES * SLOTS) as f64 / MEAN_SLOT_TIME;

/// What is played.
pub struct Scene {
    pub seed: u64,
    pub length: Duration,
    /// Requests a second as part of the room, by the time since the beginning.
    pub demand: fn(f64) -> f64,
    /// Part of the gateways that hear no pictures and are in nobody's.
    pub cut_off: f64,
    /// Requests of former gateways at each back end, and callers that are back at the beginning.
    pub left_over: usize,
    pub back_at_once: usize,
    pub first_pictures: Duration,
    /// Shortest and longest time between two pictures of a gateway, in seconds: what they show is as old again.
    pub picture_interval: std::ops::Range<f64>,
}

impl Scene {
    /// Requests that could be served in the time that former ones still take.
    pub fn left_over_requests(&self) -> f64 {
        let begun = self.left_over.min(SLOTS) as f64;
        let waiting = self.left_over as f64 - begun;
        (begun / 2.0 + waiting) * ENGINES as f64
    }
}

/// What became of a try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Open,
    /// Told so after this time.
    Refused(Duration),
    /// Its answer began after this time.
    Began(Duration),
}

pub struct Request {
    /// Time from the beginning of the scene.
    pub arrived: Duration,
    pub fate: Fate,
    pub attempts: Attempts,
    /// Time between two pictures at its gateway.
    pub picture_interval: Duration,
    gateway: usize,
    time_left: Duration,
    /// Last send.
    sent_to: usize,
    sent_at: Instant,
    expected_wait: Duration,
    began_after: Duration,
}

impl Request {
    /// Whether its caller was not refused before.
    pub fn is_new(&self) -> bool {
        self.time_left == TIMEOUT
    }
}

/// Place of a request in the line at its gateway: who was refused before goes before who comes new.
type LinePlace = (bool, usize);

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Return(usize),
    Picture(usize),
    WaitOver(usize),
    AnswerBegins(usize),
    End {
        engine: usize,
        request: Option<usize>,
    },
}

struct Gateway {
    fleet: Fleet,
    waiting: BTreeSet<LinePlace>,
    cut_off: bool,
    picture_interval: Duration,
    /// Requests under way at each back end as others know them.
    told: Vec<u32>,
}

struct World {
    scene: Scene,
    service: ServiceName,
    start: Instant,
    now: Instant,
    random: ChaCha8Rng,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
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
    }
}

fn incarnation(engine: usize) -> Incarnation {
    Incarnation::named(engine.to_string())
}

fn number(name: &BackendName) -> usize {
    name.as_str().parse().unwrap()
}

impl Gateway {
    fn new(number: usize, scene: &Scene, random: &mut impl Rng) -> Self {
        let picture_interval =
            Duration::from_secs_f64(random.random_range(scene.picture_interval.clone()));
        let mut fleet = Fleet::new(format!("z{}", number % 3).as_str().into());
        fleet.replace((0..ENGINES).map(listed).collect());
        fleet.set_view_interval(picture_interval * 2);
        Self {
            fleet,
            waiting: BTreeSet::new(),
            cut_off: (number as f64) < GATEWAYS as f64 * scene.cut_off,
            picture_interval,
            told: vec![0; ENGINES],
        }
    }
}

/// Plays a scene. Returns all tries.
pub fn play(scene: Scene) -> Vec<Request> {
    let mut random = ChaCha8Rng::seed_from_u64(scene.seed);
    let start = Instant::now();
    let new_gateway = |number| Gateway::new(number, &scene, &mut random);
    let gateways = (0..GATEWAYS).map(new_gateway).collect();
    let mut world = World {
        scene,
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
    world.begin();
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = at;
        world.step(event);
    }
    world.requests
}

impl World {
    fn begin(&mut self) {
        for gateway in 0..GATEWAYS {
            let offset = self
                .random
                .random_range(0.0..self.scene.picture_interval.end);
            let after = self.scene.first_pictures + Duration::from_secs_f64(offset);
            self.schedule(after, Event::Picture(gateway));
        }
        for engine in 0..ENGINES {
            for _ in 0..self.scene.left_over {
                self.engines[engine].take(None);
            }
            for _ in 0..self.scene.left_over.min(SLOTS) {
                let rest = self.random.random_range(0.0..MEAN_SLOT_TIME);
                let end = Event::End {
                    engine,
                    request: None,
                };
                self.schedule(Duration::from_secs_f64(rest), end);
            }
        }
        for _ in 0..self.scene.back_at_once {
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
            Event::Return(request) => {
                let spent = self.now - self.start - self.requests[request].arrived;
                self.arrive(TIMEOUT - spent);
            }
            Event::Picture(gateway) => self.exchange(gateway),
            Event::WaitOver(request) => {
                self.ask_again(request);
            }
            Event::AnswerBegins(request) => self.answer_begins(request),
            Event::End { engine, request } => self.end(engine, request),
        }
    }

    fn next_arrival(&mut self) {
        let elapsed = self.now - self.start;
        if elapsed > self.scene.length {
            return;
        }
        let rate = (self.scene.demand)(elapsed.as_secs_f64()) * ROOM;
        let gap = -self.random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
        self.schedule(Duration::from_secs_f64(gap), Event::Arrival);
        self.arrive(TIMEOUT);
    }

    fn arrive(&mut self, time_left: Duration) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let request = Request {
            arrived: self.now - self.start,
            fate: Fate::Open,
            attempts: Attempts::new(Repetition::Resumable, 2),
            picture_interval: self.gateways[gateway].picture_interval,
            gateway,
            time_left,
            sent_to: 0,
            sent_at: self.now,
            expected_wait: Duration::ZERO,
            began_after: Duration::ZERO,
        };
        self.requests.push(request);
        self.ask(self.requests.len() - 1);
    }

    fn age(&self, request: usize) -> Duration {
        self.now - self.start - self.requests[request].arrived
    }

    fn line_place(&self, request: usize) -> LinePlace {
        (self.requests[request].is_new(), request)
    }

    /// Decides about a request, in the order of the forwarding.
    fn ask(&mut self, request: usize) {
        let place = self.line_place(request);
        let asking = &self.requests[request];
        let gateway = &mut self.gateways[asking.gateway];
        gateway.waiting.remove(&place);
        let ask = AdmissionRequest {
            objective: OBJECTIVE,
            timeout: TIMEOUT,
            time_left: asking.time_left,
            age: self.now - self.start - asking.arrived,
            share_status: ShareStatus::Within,
            behind_others: gateway.waiting.first().is_some_and(|first| *first < place),
            node_is_draining: false,
        };
        let mut wanted = BackendRequirements {
            service: &self.service,
            attempts: &asking.attempts,
            affinity: None,
            load_limit: f32::INFINITY,
            answer_within: None,
            begin_within: None,
        };
        let Some(outlook) = gateway.fleet.outlook(self.now, &wanted, ask.begin_within()) else {
            return self.refuse(request);
        };
        match decide(&ask, &outlook) {
            Admission::Send => {
                wanted.begin_within = Some(ask.begin_within());
                match gateway.fleet.choose(self.now, &wanted, &mut self.random) {
                    Some(backend) => self.send(request, &backend.incarnation),
                    None => self.refuse(request),
                }
            }
            Admission::Wait(wait) => {
                gateway.waiting.insert(place);
                self.schedule(wait, Event::WaitOver(request));
            }
            Admission::Refuse => self.refuse(request),
        }
    }

    /// Asks once more for a request, if it still waits. Returns whether it waits on.
    fn ask_again(&mut self, request: usize) -> bool {
        let place = self.line_place(request);
        let gateway = self.requests[request].gateway;
        if !self.gateways[gateway].waiting.contains(&place) {
            return false;
        }
        self.ask(request);
        self.gateways[gateway].waiting.contains(&place)
    }

    /// What a gateway believes of its room has changed.
    fn ask_waiting(&mut self, gateway: usize) {
        while let Some((_, request)) = self.gateways[gateway].waiting.first().copied() {
            if self.ask_again(request) {
                return;
            }
        }
    }

    fn refuse(&mut self, request: usize) {
        let age = self.age(request);
        let refused = &mut self.requests[request];
        refused.fate = Fate::Refused(age);
        if refused.is_new() {
            self.schedule(RETURN, Event::Return(request));
        }
    }

    fn send(&mut self, request: usize, incarnation: &Incarnation) {
        let engine = number(&incarnation.name);
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
        fleet.started(self.now, incarnation);
        match self.engines[engine].take(Some(request)) {
            Taken::Begun => self.start_run(engine, Some(request)),
            Taken::Waits => {}
            Taken::TurnedAway => self.turned_away(request, engine),
        }
    }

    fn turned_away(&mut self, request: usize, engine: usize) {
        let load = self.engines[engine].load();
        let incarnation = incarnation(engine);
        let sent = &mut self.requests[request];
        let fleet = &mut self.gateways[sent.gateway].fleet;
        fleet.record_load(self.now, &incarnation, load);
        fleet.record_outcome(self.now, &incarnation, BackendOutcome::Full);
        fleet.ended(self.now, &incarnation);
        match sent.attempts.ended(&incarnation, SendEnd::NotRun) {
            Next::SendAgain => self.ask(request),
            _ => self.refuse(request),
        }
    }

    fn start_run(&mut self, engine: usize, request: Option<usize>) {
        let length = Duration::from_secs_f64(self.random.random_range(SLOT_TIME));
        self.schedule(length, Event::End { engine, request });
        if let Some(request) = request {
            self.schedule(FIRST_EVENT, Event::AnswerBegins(request));
        }
    }

    fn answer_begins(&mut self, request: usize) {
        let age = self.age(request);
        let begun = &mut self.requests[request];
        assert_eq!(begun.fate, Fate::Open, "ran after it was refused");
        begun.fate = Fate::Began(age);
        begun.began_after = self.now - begun.sent_at;
        let engine = begun.sent_to;
        let incarnation = incarnation(engine);
        let fleet = &mut self.gateways[begun.gateway].fleet;
        fleet.record_activity(self.now, &incarnation);
        let (expected, began_after) = (begun.expected_wait, begun.began_after);
        fleet.began(self.now, &self.service, expected, began_after);
        fleet.record_load(self.now, &incarnation, self.engines[engine].load());
        fleet.record_outcome(self.now, &incarnation, BackendOutcome::Answered);
    }

    fn end(&mut self, engine: usize, request: Option<usize>) {
        if let Some(next) = self.engines[engine].ended() {
            self.start_run(engine, next);
        }
        let Some(request) = request else {
            return;
        };
        let ended = &self.requests[request];
        let rest = self.now - ended.sent_at - ended.began_after;
        let gateway = ended.gateway;
        let fleet = &mut self.gateways[gateway].fleet;
        fleet.served(&self.service, ended.began_after, rest);
        fleet.ended(self.now, &incarnation(engine));
        self.ask_waiting(gateway);
    }

    /// A gateway tells what it has under way, and learns what others had when they told.
    fn exchange(&mut self, teller: usize) {
        let gateway = &mut self.gateways[teller];
        if gateway.cut_off || self.now - self.start > self.scene.length + TIMEOUT {
            return;
        }
        gateway.told.fill(0);
        for (name, count) in gateway.fleet.in_flight() {
            gateway.told[number(&name)] = count;
        }
        let interval = gateway.picture_interval;
        let others = self.told_by_others(teller);
        let gateway = &mut self.gateways[teller];
        gateway
            .fleet
            .apply_remote_load(self.now, &others, &mut self.random);
        self.schedule(interval, Event::Picture(teller));
        self.ask_waiting(teller);
    }

    fn told_by_others(&self, learner: usize) -> HashMap<BackendName, u32> {
        let mut sums = vec![0; ENGINES];
        for (other, gateway) in self.gateways.iter().enumerate() {
            if other != learner {
                sums.iter_mut()
                    .zip(&gateway.told)
                    .for_each(|(sum, count)| *sum += count);
            }
        }
        let sums = sums.into_iter().enumerate();
        sums.map(|(engine, sum)| (incarnation(engine).name, sum))
            .collect()
    }
}
