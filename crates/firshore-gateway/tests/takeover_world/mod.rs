//! Gateways, holders of records, back ends and streams in simulated time.

use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::Incarnation;
use firshore_adapter::text_origin::TextOrigin;
use firshore_crashes::fingerprint::{FingerprintInput, FingerprintKey};
use firshore_gateway::software_history::SoftwareHistory;
use firshore_gateway::stream_origin::{
    OriginAnswers, OriginDecision, OriginKnowledge, OriginQuery, OriginRecord, OriginTable,
    StreamKey, decide,
};
use firshore_types::ids::{ServiceName, SoftwareVersion};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

const GATEWAYS: usize = 12;
const HOLDERS: usize = 5;
/// Holders of each record.
const COPIES: usize = 2;
/// Holders that are asked for it.
const ASKED: usize = 3;
const ENGINES: usize = 12;

/// Versions that roll out one after the other.
const VERSIONS: [&str; 4] = ["v1", "v1.1", "v1.2", "v2"];

/// Time between rollouts; longer than the lifetime of streams, so that nodes are certain of one version in between.
const ROLLOUT_EVERY_MS: u64 = 45_000;
/// Time after a start or a cut from which on a node counts as in touch.
const CONTACT_MS: u64 = 3_000;
/// Share of the callers that don't name the attempt that began their stream.
const UNNAMED: f64 = 0.1;

/// How fast back ends are replaced.
#[derive(Clone, Copy, Debug)]
pub struct Rollout {
    /// Time that one rollout takes, in milliseconds.
    pub lasts: u64,
    /// Longest life of a back end, in milliseconds.
    pub longest_life: u64,
}

/// Delay until an observer knows of a change.
const NEWS_MS: std::ops::Range<u64> = 20..1_500;
/// Time for which an observer is cut off, which counts as no gap.
const CUT_MS: std::ops::Range<u64> = 1_500..10_000;
/// Time until the entry of a back end that crashed is removed.
const ENTRY_TTL_MS: std::ops::Range<u64> = 900..1_600;
/// Time until another one starts in its place.
const RESTART_MS: std::ops::Range<u64> = 200..700;
/// Time for which a caller takes to reach another gateway.
const RETURN_MS: std::ops::Range<u64> = 5..400;

/// Probability that a message to a holder or its answer is lost.
const LOSS: f64 = 0.02;

/// Number of streams that begin in each step.
const BEGINS: usize = 2;
const STEP_MS: u64 = 20;

/// What happened.
#[derive(Clone, Debug, Default)]
pub struct TakeoverTally {
    /// Streams whose first event reached a caller.
    pub begun: u64,
    /// Continuations while two back ends of the stream's version lived, at gateways in touch.
    pub eligible: u64,
    /// Those of them that went on.
    pub continued: u64,
    /// Continuations at another version.
    pub joined: u64,
    /// Eligible continuations refused because the version was unknown.
    pub unknown: u64,
}

impl TakeoverTally {
    /// Adds another tally.
    pub fn add(&mut self, other: &Self) {
        self.begun += other.begun;
        self.eligible += other.eligible;
        self.continued += other.continued;
        self.joined += other.joined;
        self.unknown += other.unknown;
    }
}

#[derive(Clone)]
enum News {
    Listed(Backend),
    Removed(Backend),
}

/// A node that observes the back ends, with delay and gaps.
struct Observer {
    history: SoftwareHistory,
    listed: BTreeMap<String, Backend>,
    news: VecDeque<(u64, News)>,
    /// Since when it has had no gap.
    since: u64,
    cut_until: u64,
    origins: OriginTable,
}

struct Engine {
    backend: Backend,
    crashes_at: u64,
}

/// A stream that was interrupted and is about to continue.
struct Interrupted {
    at: u64,
    attempt: String,
    /// Version that truly began it.
    version: SoftwareVersion,
    /// Gateway that continues it itself; `None` if the caller takes it up elsewhere.
    origin_at: Option<(usize, TextOrigin)>,
    times: u32,
}

/// The simulated world.
pub struct TakeoverWorld {
    now: u64,
    start: Instant,
    random: StdRng,
    /// Gateways, then holders.
    observers: Vec<Observer>,
    engines: Vec<Engine>,
    starts: Vec<(u64, &'static str)>,
    removals: Vec<(u64, Backend)>,
    interrupted: Vec<Interrupted>,
    count: u64,
    /// What happened so far.
    pub tally: TakeoverTally,
    rollout: Rollout,
}

fn service() -> ServiceName {
    "s".into()
}

fn stream_key(attempt: &str) -> StreamKey {
    StreamKey(
        FingerprintKey::new(b"secret").fingerprint(&FingerprintInput {
            tenant: None,
            host: "a.example",
            method: "stream",
            target: "route",
            body: attempt.as_bytes(),
        }),
    )
}

impl Observer {
    fn new(now: u64, engines: &[Engine], at: Instant) -> Self {
        let mut observer = Self {
            history: SoftwareHistory::default(),
            listed: BTreeMap::new(),
            news: VecDeque::new(),
            since: now,
            cut_until: 0,
            origins: OriginTable::default(),
        };
        for engine in engines {
            observer.apply(at, News::Listed(engine.backend.clone()));
        }
        observer
    }

    fn apply(&mut self, at: Instant, news: News) {
        match news {
            News::Listed(backend) => {
                self.history.list(at, &backend);
                let name = backend.incarnation.name.to_string();
                self.listed.insert(name, backend);
            }
            News::Removed(backend) => {
                self.history.remove(at, &backend.incarnation.name);
                self.listed.remove(backend.incarnation.name.as_str());
            }
        }
    }

    fn is_in_touch(&self, now: u64) -> bool {
        now >= self.since.max(self.cut_until) + CONTACT_MS
    }

    fn knowledge(&self, now: u64, at: Instant) -> OriginKnowledge {
        let is_current = now >= self.cut_until;
        let observed = is_current.then(|| Duration::from_millis(now - self.since));
        OriginKnowledge::of(&self.history, at, &service(), observed)
    }
}

impl TakeoverWorld {
    /// Creates a world with back ends of the first version.
    pub fn new(seed: u64, rollout: Rollout) -> Self {
        let mut world = Self {
            now: 0,
            start: Instant::now(),
            random: StdRng::seed_from_u64(seed),
            observers: Vec::new(),
            engines: Vec::new(),
            starts: Vec::new(),
            removals: Vec::new(),
            interrupted: Vec::new(),
            count: 0,
            tally: TakeoverTally::default(),
            rollout,
        };
        for _ in 0..ENGINES {
            world.start_engine(VERSIONS[0]);
        }
        for _ in 0..GATEWAYS + HOLDERS {
            let observer = Observer::new(0, &world.engines, world.instant());
            world.observers.push(observer);
        }
        world
    }

    fn instant(&self) -> Instant {
        self.start + Duration::from_millis(self.now)
    }

    fn draw(&mut self, range: std::ops::Range<u64>) -> u64 {
        self.random.random_range(range)
    }

    /// Runs until a time, in milliseconds.
    pub fn run(&mut self, until: u64) {
        while self.now < until {
            self.now += STEP_MS;
            self.change_engines();
            self.deliver_news();
            self.disturb_nodes();
            for _ in 0..BEGINS {
                self.begin_stream();
            }
            self.continue_streams();
        }
    }

    fn tell(&mut self, news: &News) {
        for idx in 0..self.observers.len() {
            let delay = self.draw(NEWS_MS);
            let observer = &mut self.observers[idx];
            let last = observer.news.back().map_or(0, |(at, _)| *at);
            // News arrive in order.
            observer
                .news
                .push_back((last.max(self.now + delay), news.clone()));
        }
    }

    fn start_engine(&mut self, version: &'static str) {
        self.count += 1;
        let backend = Backend {
            incarnation: Incarnation::named(format!("i-{}", self.count)),
            service: service(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: "here".into(),
            slots: 8,
            leaving: false,
            warm_up: None,
            software: Some(version.into()),
        };
        let crashes_at = self.now + self.draw(1_000..self.rollout.longest_life);
        self.tell(&News::Listed(backend.clone()));
        self.engines.push(Engine {
            backend,
            crashes_at,
        });
    }

    /// Returns the version that back ends start with: during a rollout, the old or the new one.
    fn version_to_start(&mut self) -> &'static str {
        let rollout = (self.now / ROLLOUT_EVERY_MS) as usize;
        let elapsed = self.now % ROLLOUT_EVERY_MS;
        let newest = rollout.min(VERSIONS.len() - 1);
        let is_old = newest > 0 && elapsed < self.rollout.lasts && self.random.random_bool(0.5);
        VERSIONS[newest - usize::from(is_old)]
    }

    fn change_engines(&mut self) {
        let now = self.now;
        let crashed: Vec<Engine> = self
            .engines
            .extract_if(.., |engine| engine.crashes_at <= now)
            .collect();
        for engine in crashed {
            let removed_at = now + self.draw(ENTRY_TTL_MS);
            self.removals.push((removed_at, engine.backend));
            let started_at = now + self.draw(RESTART_MS);
            let version = self.version_to_start();
            self.starts.push((started_at, version));
        }
        let removals: Vec<_> = self.removals.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, backend) in removals {
            self.tell(&News::Removed(backend));
        }
        let starts: Vec<_> = self.starts.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, version) in starts {
            self.start_engine(version);
        }
    }

    fn deliver_news(&mut self) {
        let (now, at) = (self.now, self.instant());
        for observer in &mut self.observers {
            if now < observer.cut_until {
                continue;
            }
            while observer.news.front().is_some_and(|(due, _)| *due <= now) {
                let (_, news) = observer.news.pop_front().expect("there is one");
                observer.apply(at, news);
            }
        }
    }

    /// Cuts nodes off, and restarts them without memory.
    fn disturb_nodes(&mut self) {
        let at = self.instant();
        for idx in 0..self.observers.len() {
            if self.random.random_bool(0.000_6) {
                let until = self.now + self.draw(CUT_MS);
                let observer = &mut self.observers[idx];
                observer.cut_until = until;
            }
            if self.random.random_bool(0.000_4) {
                let restarted = Observer::new(self.now, &self.engines, at);
                self.observers[idx] = restarted;
            }
        }
    }

    fn lives(&self, backend: &Backend) -> bool {
        let mut engines = self.engines.iter();
        engines.any(|engine| engine.backend.incarnation == backend.incarnation)
    }

    /// Returns the holders of a record, in order of rank.
    fn holders(key: &StreamKey) -> Vec<usize> {
        let mut ranked: Vec<usize> = (GATEWAYS..GATEWAYS + HOLDERS).collect();
        let key = key.0.to_string();
        ranked.sort_by_key(|holder| xxh3_64(format!("{key}/{holder}").as_bytes()));
        ranked
    }

    /// Returns a living back end of a gateway's view that may run the request; the first of at most three tries.
    fn choose(&mut self, gateway: usize, origin: Option<&TextOrigin>) -> Option<Backend> {
        let listed = self.observers[gateway].listed.values();
        let mut candidates: Vec<Backend> = listed
            .filter(|backend| origin.is_none_or(|origin| origin.allows(backend)))
            .cloned()
            .collect();
        candidates.shuffle(&mut self.random);
        candidates
            .into_iter()
            .take(3)
            .find(|backend| self.lives(backend))
    }

    fn begin_stream(&mut self) {
        let gateway = self.random.random_range(0..GATEWAYS);
        let Some(backend) = self.choose(gateway, None) else {
            return;
        };
        self.count += 1;
        let attempt = format!("r{}", self.count);
        let origin = TextOrigin::at(&backend);
        let at = self.instant();
        let key = stream_key(&attempt);
        let observer = &mut self.observers[gateway];
        observer.origins.insert(at, key, origin.clone(), at);
        let is_certain = observer.knowledge(self.now, at).only_version().is_some();
        // Ends between the steps: before the record, after it, and after the first event.
        let ends_at_step = self.random.random_range(0..40);
        if ends_at_step == 0 {
            return;
        }
        if !is_certain {
            self.record(&[OriginRecord {
                key,
                origin: origin.clone(),
                age: 0,
            }]);
            self.observers[gateway].origins.mark_reported(&key);
        }
        if ends_at_step == 1 {
            return;
        }
        self.tally.begun += 1;
        let is_engine_lost = self.random.random_bool(0.3);
        let at = self.now + self.draw(50..4_000);
        self.interrupted.push(Interrupted {
            at,
            attempt,
            version: backend.software.expect("all have one"),
            origin_at: is_engine_lost.then_some((gateway, origin)),
            times: 0,
        });
    }

    fn record(&mut self, records: &[OriginRecord]) {
        let at = self.instant();
        for record in records {
            for holder in Self::holders(&record.key).into_iter().take(COPIES) {
                if !self.random.random_bool(LOSS) {
                    let table = &mut self.observers[holder].origins;
                    table.insert(at, record.key, record.origin.clone(), at);
                }
            }
        }
    }

    /// Reports streams that began before another version was listed.
    fn report_open_streams(&mut self) {
        let at = self.instant();
        for gateway in 0..GATEWAYS {
            let observer = &mut self.observers[gateway];
            if observer.knowledge(self.now, at).versions.len() > 1 {
                let records = observer.origins.take_unreported(at, usize::MAX);
                self.record(&records);
            }
        }
    }

    fn continue_streams(&mut self) {
        self.report_open_streams();
        let now = self.now;
        let due: Vec<Interrupted> = self
            .interrupted
            .extract_if(.., |stream| stream.at <= now)
            .collect();
        for stream in due {
            self.continue_stream(stream);
        }
    }

    fn continue_stream(&mut self, stream: Interrupted) {
        let same_version = self
            .engines
            .iter()
            .filter(|engine| engine.backend.software.as_ref() == Some(&stream.version));
        let has_two = same_version.count() >= 2;
        let gateway = match &stream.origin_at {
            Some((gateway, _)) => *gateway,
            None => self.random.random_range(0..GATEWAYS),
        };
        let is_named = stream.origin_at.is_some() || !self.random.random_bool(UNNAMED);
        let is_eligible = is_named && has_two && self.observers[gateway].is_in_touch(self.now);
        self.tally.eligible += u64::from(is_eligible);
        let origin = match &stream.origin_at {
            Some((_, origin)) => Some(origin.clone()),
            None => self.find_origin(gateway, is_named.then_some(&*stream.attempt)),
        };
        let Some(origin) = origin else {
            self.tally.unknown += u64::from(is_eligible);
            return;
        };
        let Some(backend) = self.choose(gateway, Some(&origin)) else {
            return;
        };
        if backend.software.as_ref() != Some(&stream.version) {
            self.tally.joined += 1;
            return;
        }
        self.tally.continued += u64::from(is_eligible);
        if stream.times < 2 && self.random.random_bool(0.3) {
            let at = self.now + self.draw(50..2_000) + self.draw(RETURN_MS);
            self.interrupted.push(Interrupted {
                at,
                times: stream.times + 1,
                origin_at: None,
                ..stream
            });
        }
    }

    fn find_origin(&mut self, gateway: usize, attempt: Option<&str>) -> Option<TextOrigin> {
        let at = self.instant();
        let query = OriginQuery {
            key: attempt.map(stream_key),
            service: service(),
        };
        let own = self.observers[gateway].knowledge(self.now, at);
        let mut answers = OriginAnswers {
            has_holders: true,
            ..OriginAnswers::default()
        };
        // A gateway that is cut off reaches no holder.
        let is_cut = self.now < self.observers[gateway].cut_until;
        let holders = query.key.as_ref().map(Self::holders).unwrap_or_default();
        for holder in holders.into_iter().take(ASKED) {
            if is_cut || self.random.random_bool(LOSS) {
                continue;
            }
            let observer = &self.observers[holder];
            let record = query.key.and_then(|key| {
                let (origin, age) = observer.origins.find(at, &key)?;
                let age = age.as_millis() as u64;
                Some(OriginRecord { key, origin, age })
            });
            answers.holder_answered = true;
            answers.known.push(OriginKnowledge {
                record,
                ..observer.knowledge(self.now, at)
            });
        }
        let origins = &self.observers[gateway].origins;
        let local = query.key.and_then(|key| origins.find(at, &key));
        match decide(&query, local, &own, &answers) {
            OriginDecision::Known { origin, .. } => Some(origin),
            OriginDecision::Unknown => None,
        }
    }
}
