//! A replay, without a network: gateways share a fleet of three speeds, of which neighbours slow some down for
//! moments.

use firshore_adapter::backend::{Backend, Pace, ReportedLoad};
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::route::Repetition;
use firshore_gateway::attempts::Attempts;
use firshore_gateway::fleet::{BackendRequirements, Fleet};
use rand::{Rng, RngExt};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

const SPEEDS: [f32; 3] = [0.6, 1.0, 1.6];
const ENGINES: usize = 30;
const SLOTS: usize = 8;
const GATEWAYS: usize = 12;

/// Share of the engines that are slowed down, by how much, and for how many milliseconds.
const NOISE_SHARE: f64 = 0.15;
const NOISE_FACTOR: f32 = 2.5;
const NOISE_LENGTH: u64 = 600;

/// Milliseconds at usual pace until an answer begins and until it has ended, and within which it is to begin.
const FIRST_EVENT: f32 = 80.0;
const SLOT_TIME: f32 = 600.0;
const OBJECTIVE: u64 = 300;

/// Milliseconds between two pictures, and played in all; requests a millisecond: 8 in 10 of what engines can do.
const PICTURE_INTERVAL: u64 = 150;
const LENGTH: u64 = 20_000;
const ARRIVALS: f64 = 0.32;

struct Asked {
    gateway: usize,
    at: u64,
}

#[derive(Default)]
struct Engine {
    line: VecDeque<Asked>,
    /// When those that run end, and whose they are.
    running: Vec<(u64, usize)>,
    taken: usize,
    longest_line: usize,
}

struct World {
    engines: Vec<Engine>,
    paces: Vec<f32>,
    in_time: usize,
    asked: usize,
}

impl World {
    fn new() -> Self {
        Self {
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            paces: vec![1.0; ENGINES],
            in_time: 0,
            asked: 0,
        }
    }

    fn change_paces(&mut self, now: u64, random: &mut impl Rng) {
        for (number, pace) in self.paces.iter_mut().enumerate() {
            // Not all at the same moment.
            if (now + number as u64 * 83).is_multiple_of(NOISE_LENGTH) {
                let slowed = random.random_bool(NOISE_SHARE);
                *pace = SPEEDS[number % 3] * if slowed { NOISE_FACTOR } else { 1.0 };
            }
        }
    }

    fn begin(&mut self, engine: usize, now: u64, asked: &Asked) {
        let pace = self.paces[engine];
        let begins = now + (FIRST_EVENT * pace) as u64;
        self.in_time += usize::from(begins <= asked.at + OBJECTIVE);
        let ends = now + (SLOT_TIME * pace) as u64;
        self.engines[engine].running.push((ends, asked.gateway));
        self.engines[engine].taken += 1;
    }

    /// Ends what is done at an engine, and returns whose it was.
    fn end(&mut self, engine: usize, now: u64) -> Vec<usize> {
        let running = &mut self.engines[engine].running;
        let ended = running.extract_if(.., |(ends, _)| *ends <= now);
        ended.map(|(_, gateway)| gateway).collect()
    }
}

fn arrivals(random: &mut impl Rng) -> impl Iterator<Item = usize> {
    let count = usize::from(random.random_bool(ARRIVALS));
    let gateway = random.random_range(0..GATEWAYS);
    std::iter::repeat_n(gateway, count)
}

/// All wait in one line; whoever is first gets the quickest slot that is free, if it is in time there.
fn ideal(seed: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (mut world, mut line) = (World::new(), VecDeque::new());
    for now in 0..LENGTH {
        world.change_paces(now, &mut random);
        for engine in 0..ENGINES {
            world.end(engine, now);
        }
        for gateway in arrivals(&mut random) {
            world.asked += 1;
            line.push_back(Asked { gateway, at: now });
        }
        while let Some(asked) = line.front() {
            let free = (0..ENGINES).filter(|one| world.engines[*one].running.len() < SLOTS);
            let quick = free.filter(|one| world.paces[*one] * FIRST_EVENT <= OBJECTIVE as f32);
            let best = quick.min_by(|a, b| world.paces[*a].total_cmp(&world.paces[*b]));
            let Some(best) = best else { break };
            world.begin(best, now, asked);
            line.pop_front();
        }
    }
    world
}

fn incarnation(engine: usize) -> Incarnation {
    Incarnation::named(format!("e{engine}").as_str())
}

fn gateway() -> Fleet {
    let mut fleet = Fleet::new("here".into());
    let listed = (0..ENGINES).map(|engine| Backend {
        incarnation: incarnation(engine),
        service: "llm".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "here".into(),
        slots: SLOTS as u32,
        leaving: false,
    });
    fleet.replace(listed.collect());
    fleet.set_view_interval(Duration::from_millis(PICTURE_INTERVAL));
    fleet
}

fn exchange(fleets: &mut [Fleet], at: Instant, random: &mut impl Rng) {
    let mut paces: Vec<_> = fleets
        .iter_mut()
        .map(Fleet::take_unreported_paces)
        .collect();
    for told in &mut paces {
        told.sort_by_key(|one| one.backend.clone());
    }
    let own: Vec<HashMap<_, _>> = fleets.iter().map(|one| one.in_flight().collect()).collect();
    for (number, fleet) in fleets.iter_mut().enumerate() {
        let mut others = HashMap::new();
        for (_, counts) in own.iter().enumerate().filter(|(one, _)| *one != number) {
            for (name, count) in counts {
                *others.entry(name.clone()).or_default() += count;
            }
        }
        fleet.apply_remote_load(at, &others, random);
        for (_, told) in paces.iter().enumerate().filter(|(one, _)| *one != number) {
            fleet.apply_remote_paces(at, told.clone());
        }
    }
}

/// Gateways place requests by what they believe; engines tell their pace or don't.
fn gateways(seed: u64, tells: bool) -> World {
    let (mut random, mut choices) = (
        ChaCha8Rng::seed_from_u64(seed),
        ChaCha8Rng::seed_from_u64(!seed),
    );
    let (mut world, start) = (World::new(), Instant::now());
    let mut fleets: Vec<Fleet> = (0..GATEWAYS).map(|_| gateway()).collect();
    let (service, attempts) = ("llm".into(), Attempts::new(Repetition::Idempotent, 1));
    let wanted = BackendRequirements {
        service: &service,
        attempts: &attempts,
        affinity: None,
        load_limit: f32::INFINITY,
        answer_within: Some(Duration::from_millis(OBJECTIVE)),
        begin_within: None,
    };
    for now in 0..LENGTH {
        let at = start + Duration::from_millis(now);
        world.change_paces(now, &mut random);
        for engine in 0..ENGINES {
            for gateway in world.end(engine, now) {
                fleets[gateway].ended(at, &incarnation(engine));
                fleets[gateway].served(
                    &service,
                    Duration::from_millis(48),
                    Duration::from_millis(600),
                );
            }
            while world.engines[engine].running.len() < SLOTS
                && let Some(asked) = world.engines[engine].line.pop_front()
            {
                world.begin(engine, now, &asked);
                let pace = Pace::from_hundredths((world.paces[engine] * 100.0) as u32);
                let load = ReportedLoad {
                    running: world.engines[engine].running.len() as u32,
                    waiting: world.engines[engine].line.len() as u32,
                    slots: SLOTS as u32,
                    pace: pace.filter(|_| tells),
                };
                fleets[asked.gateway].record_load(at, &incarnation(engine), load);
            }
        }
        if now.is_multiple_of(PICTURE_INTERVAL) {
            exchange(&mut fleets, at, &mut choices);
        }
        for gateway in arrivals(&mut random) {
            world.asked += 1;
            let backend = fleets[gateway].choose(at, &wanted, &mut choices).unwrap();
            fleets[gateway].started(at, &backend.incarnation);
            let name = backend.incarnation.name.as_str();
            let engine = &mut world.engines[name[1..].parse::<usize>().unwrap()];
            engine.line.push_back(Asked { gateway, at: now });
            engine.longest_line = engine.longest_line.max(engine.line.len());
        }
    }
    world
}

#[test]
fn uneven_engines_serve_nearly_as_one_line_before_them_all() {
    for seed in 1..=3 {
        let (best, told, untold) = (ideal(seed), gateways(seed, true), gateways(seed, false));
        let part = |world: &World| world.in_time as f64 / best.in_time as f64;
        let (told_part, untold_part) = (part(&told), part(&untold));
        let figures = format!("seed {seed}: told {told_part:.3}, untold {untold_part:.3}");
        println!("{figures}, ideal {} of {}", best.in_time, best.asked);
        assert_eq!(best.asked, told.asked, "the same requests");
        assert!(told_part >= 0.95, "{figures}");
        assert!(told_part > untold_part, "{figures}");
        let taken = |speed: usize| {
            let engines = told.engines.iter().skip(speed).step_by(SPEEDS.len());
            engines.map(|engine| engine.taken).sum::<usize>() as f32
        };
        for (speed, pace) in SPEEDS.iter().enumerate() {
            // Work done by the engines of a speed, as a part of what they could do at most.
            let most = (ENGINES / SPEEDS.len() * SLOTS) as f32 * LENGTH as f32 / SLOT_TIME / pace;
            let part = taken(speed) / most;
            println!("speed {pace}: {part:.2}");
            assert!(
                (0.4..1.0).contains(&part),
                "{figures}: {part} of what speed {pace} can do"
            );
        }
        let longest = told.engines.iter().map(|engine| engine.longest_line).max();
        println!("longest line {longest:?}");
        assert!(
            longest <= Some(2 * SLOTS),
            "{figures}: {longest:?} wait at one engine"
        );
    }
}
