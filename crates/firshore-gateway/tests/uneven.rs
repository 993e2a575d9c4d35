//! Simulation without a network: gateways share engines of three speeds, some of which slow down temporarily.
//! Their choices must come close to those of a single queue with complete information.

use firshore_adapter::backend::{Backend, Pace, ReportedLoad};
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::residency::ResidencyPermit;
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Pace of the three kinds of engines.
const SPEEDS: [f32; 3] = [0.6, 1.0, 1.6];
const ENGINES: usize = 30;
const SLOTS: usize = 8;
const GATEWAYS: usize = 12;

/// Probability that an engine is slowed down, the factor, and the time in milliseconds until it is drawn again.
const SLOWDOWN_PROBABILITY: f64 = 0.15;
const SLOWDOWN_FACTOR: f32 = 2.5;
const SLOWDOWN_MS: u64 = 600;

/// Time at pace 1 to the first event and in the slot, and the objective for the first event, in milliseconds.
const FIRST_EVENT_MS: f32 = 80.0;
const SLOT_TIME_MS: f32 = 600.0;
const OBJECTIVE_MS: u64 = 300;

/// Fraction of the requests served in time by one ideal queue that the gateways must serve in time.
const MIN_OF_IDEAL: f64 = 0.949;

/// Time between two exchanges of loads, and simulated time, in milliseconds.
const VIEW_INTERVAL_MS: u64 = 150;
const LENGTH_MS: u64 = 20_000;

/// Requests per millisecond: 80 % of the engines' capacity.
const ARRIVAL_RATE: f64 = 0.32;

struct Arrival {
    gateway: usize,
    /// Milliseconds since the start.
    at: u64,
}

#[derive(Default)]
struct Engine {
    queue: VecDeque<Arrival>,
    /// End in milliseconds since the start and gateway of each running request.
    running: Vec<(u64, usize)>,
    started: usize,
    longest_queue: usize,
}

struct World {
    engines: Vec<Engine>,
    paces: Vec<f32>,
    in_time: usize,
    arrived: usize,
}

impl World {
    fn new() -> Self {
        Self {
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            paces: vec![1.0; ENGINES],
            in_time: 0,
            arrived: 0,
        }
    }

    fn change_paces(&mut self, now: u64, random: &mut impl Rng) {
        for (number, pace) in self.paces.iter_mut().enumerate() {
            // Staggered, so that not all engines change at the same time.
            if (now + number as u64 * 83).is_multiple_of(SLOWDOWN_MS) {
                let is_slow = random.random_bool(SLOWDOWN_PROBABILITY);
                *pace = SPEEDS[number % 3] * if is_slow { SLOWDOWN_FACTOR } else { 1.0 };
            }
        }
    }

    fn start_run(&mut self, engine: usize, now: u64, arrival: &Arrival) {
        let pace = self.paces[engine];
        let first_event = now + (FIRST_EVENT_MS * pace) as u64;
        self.in_time += usize::from(first_event <= arrival.at + OBJECTIVE_MS);
        let ends = now + (SLOT_TIME_MS * pace) as u64;
        self.engines[engine].running.push((ends, arrival.gateway));
        self.engines[engine].started += 1;
    }

    /// Removes completed runs of an engine; returns their gateways.
    fn end_runs(&mut self, engine: usize, now: u64) -> Vec<usize> {
        let running = &mut self.engines[engine].running;
        let ended = running.extract_if(.., |(ends, _)| *ends <= now);
        ended.map(|(_, gateway)| gateway).collect()
    }
}

fn arrivals(random: &mut impl Rng) -> impl Iterator<Item = usize> {
    let count = usize::from(random.random_bool(ARRIVAL_RATE));
    let gateway = random.random_range(0..GATEWAYS);
    std::iter::repeat_n(gateway, count)
}

/// Simulates one queue before all engines: the first request gets the fastest free slot that meets the objective.
fn simulate_ideal(seed: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut world, mut queue) = (World::new(), VecDeque::new());
    for now in 0..LENGTH_MS {
        world.change_paces(now, &mut random);
        for engine in 0..ENGINES {
            world.end_runs(engine, now);
        }
        for gateway in arrivals(&mut random) {
            world.arrived += 1;
            queue.push_back(Arrival { gateway, at: now });
        }
        while let Some(arrival) = queue.front() {
            let free = (0..ENGINES).filter(|engine| world.engines[*engine].running.len() < SLOTS);
            let fast =
                free.filter(|engine| world.paces[*engine] * FIRST_EVENT_MS <= OBJECTIVE_MS as f32);
            let best = fast.min_by(|a, b| world.paces[*a].total_cmp(&world.paces[*b]));
            let Some(best) = best else { break };
            world.start_run(best, now, arrival);
            queue.pop_front();
        }
    }
    world
}

fn incarnation(engine: usize) -> Incarnation {
    Incarnation::named(format!("e{engine}").as_str())
}

fn new_fleet() -> Fleet {
    let mut fleet = Fleet::new("here".into());
    let listed = (0..ENGINES).map(|engine| Backend {
        incarnation: incarnation(engine),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "here".into(),
        slots: SLOTS as u32,
        leaving: false,
        warm_up: None,
        software: None,
    });
    fleet.replace(Instant::now(), listed.collect());
    fleet.set_view_interval(Duration::from_millis(VIEW_INTERVAL_MS));
    fleet
}

/// Reports the loads and paces of each gateway to all others.
fn exchange_loads(fleets: &mut [Fleet], at: Instant, random: &mut impl Rng) {
    let mut paces: Vec<_> = fleets
        .iter_mut()
        .map(Fleet::take_unreported_paces)
        .collect();
    for reports in &mut paces {
        reports.sort_by_key(|report| report.backend.clone());
    }
    let in_flight: Vec<HashMap<_, _>> = fleets
        .iter()
        .map(|fleet| fleet.in_flight().collect())
        .collect();
    for (number, fleet) in fleets.iter_mut().enumerate() {
        let mut others = HashMap::new();
        for (_, counts) in in_flight
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number)
        {
            for (name, count) in counts {
                *others.entry(name.clone()).or_default() += count;
            }
        }
        fleet.apply_remote_load(at, &others, random);
        for (_, reports) in paces
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number)
        {
            fleet.apply_remote_paces(at, reports.clone());
        }
    }
}

/// Simulates gateways that choose engines by their views. Engines report their pace if `reports_pace` is set.
fn simulate_gateways(seed: u64, reports_pace: bool) -> World {
    let (mut random, mut choices) = (
        ChaCha8Rng::seed_from_u64(seed),
        ChaCha8Rng::seed_from_u64(!seed),
    );
    let (mut world, start) = (World::new(), Instant::now());
    let mut fleets: Vec<Fleet> = (0..GATEWAYS).map(|_| new_fleet()).collect();
    let (service, attempts) = ("llm".into(), Attempts::new(Repetition::Idempotent, 1));
    let residency = ResidencyPermit::default();
    let requirements = BackendRequirements {
        origin: None,
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        begin_objective: Some(Duration::from_millis(OBJECTIVE_MS)),
        begin_within: None,
        residency: &residency,
    };
    for now in 0..LENGTH_MS {
        let at = start + Duration::from_millis(now);
        world.change_paces(now, &mut random);
        for engine in 0..ENGINES {
            for gateway in world.end_runs(engine, now) {
                fleets[gateway].record_end(at, &incarnation(engine));
                fleets[gateway].record_served(
                    &service,
                    Duration::from_millis(48),
                    Duration::from_millis(600),
                );
            }
            while world.engines[engine].running.len() < SLOTS
                && let Some(arrival) = world.engines[engine].queue.pop_front()
            {
                world.start_run(engine, now, &arrival);
                let pace = Pace::from_hundredths((world.paces[engine] * 100.0) as u32);
                let load = ReportedLoad {
                    running: world.engines[engine].running.len() as u32,
                    waiting: world.engines[engine].queue.len() as u32,
                    slots: SLOTS as u32,
                    pace: pace.filter(|_| reports_pace),
                };
                fleets[arrival.gateway].record_load(at, &incarnation(engine), load);
            }
        }
        if now.is_multiple_of(VIEW_INTERVAL_MS) {
            exchange_loads(&mut fleets, at, &mut choices);
        }
        for gateway in arrivals(&mut random) {
            world.arrived += 1;
            let backend = fleets[gateway]
                .choose(at, &requirements, &mut choices)
                .unwrap();
            fleets[gateway].record_start(at, &backend.incarnation);
            let name = backend.incarnation.name.as_str();
            let engine = &mut world.engines[name[1..].parse::<usize>().unwrap()];
            engine.queue.push_back(Arrival { gateway, at: now });
            engine.longest_queue = engine.longest_queue.max(engine.queue.len());
        }
    }
    world
}

#[test]
fn uneven_engines_serve_nearly_as_one_line_before_them_all() {
    for seed in 1..=3 {
        let (ideal, reported, unreported) = (
            simulate_ideal(seed),
            simulate_gateways(seed, true),
            simulate_gateways(seed, false),
        );
        let fraction = |world: &World| world.in_time as f64 / ideal.in_time as f64;
        let (with_reports, without_reports) = (fraction(&reported), fraction(&unreported));
        let figures =
            format!("seed {seed}: with reports {with_reports:.3}, without {without_reports:.3}");
        println!("{figures}, ideal {} of {}", ideal.in_time, ideal.arrived);
        assert_eq!(ideal.arrived, reported.arrived, "the same requests");
        assert!(with_reports >= MIN_OF_IDEAL, "{figures}");
        assert!(with_reports > without_reports, "{figures}");
        let started = |speed: usize| {
            let engines = reported.engines.iter().skip(speed).step_by(SPEEDS.len());
            engines.map(|engine| engine.started).sum::<usize>() as f32
        };
        for (speed, pace) in SPEEDS.iter().enumerate() {
            // Utilization of the engines of one speed.
            let capacity =
                (ENGINES / SPEEDS.len() * SLOTS) as f32 * LENGTH_MS as f32 / SLOT_TIME_MS / pace;
            let utilization = started(speed) / capacity;
            println!("speed {pace}: {utilization:.2}");
            assert!(
                (0.4..1.0).contains(&utilization),
                "{figures}: utilization {utilization} at speed {pace}"
            );
        }
        let longest = reported
            .engines
            .iter()
            .map(|engine| engine.longest_queue)
            .max();
        println!("longest queue {longest:?}");
        assert!(
            longest <= Some(2 * SLOTS),
            "{figures}: queue of {longest:?} at one engine"
        );
    }
}
