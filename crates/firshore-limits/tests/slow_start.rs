//! Simulation of permits for cold back ends: gateways that send whenever they may, relays, late messages and changes
//! of the issuing node. In any second, a cold back end gets no more than the platforms' bound allows.

use firshore_adapter::incarnation::BackendName;
use firshore_limits::slow_start::{PermitGrant, PermitIssuer, PermitPool, TAKEOVER_PAUSE};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::Cell;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 80;
const GATEWAYS_PER_RELAY: usize = 10;
const COLD: usize = 5;
const STEP: Duration = Duration::from_millis(5);
const LENGTH: Duration = Duration::from_secs(12);
const SEEDS: u64 = 12;

/// Most that a cold back end may get in a second, as a multiple of its rate, and in addition.
const BOUND: (f64, f64) = (1.5, 5.0);

/// Time for which a leader that was replaced may go on issuing.
const OVERLAP: Duration = Duration::from_secs(1);

/// A message under way.
struct Transfer {
    arrives_at: Instant,
    asked_at: Instant,
    gateway: usize,
    grants: Vec<PermitGrant>,
}

struct World {
    random: ChaCha8Rng,
    now: Instant,
    rate: f64,
    issuers: Vec<(PermitIssuer, PermitPool, Option<Instant>)>,
    relays: Vec<PermitPool>,
    gateways: Vec<PermitPool>,
    transfers: VecDeque<Transfer>,
    sent: Vec<Vec<Instant>>,
}

fn name(backend: usize) -> BackendName {
    BackendName::from(format!("b{backend}"))
}

impl World {
    fn new(seed: u64, rate: f64) -> Self {
        let mut world = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Instant::now(),
            rate,
            issuers: Vec::new(),
            relays: std::iter::repeat_with(PermitPool::default)
                .take(GATEWAYS / GATEWAYS_PER_RELAY)
                .collect(),
            gateways: std::iter::repeat_with(PermitPool::default)
                .take(GATEWAYS)
                .collect(),
            transfers: VecDeque::new(),
            sent: vec![Vec::new(); COLD],
        };
        world.take_over();
        world
    }

    /// Lets a new leader issue; the former one notices a while later.
    fn take_over(&mut self) {
        for (_, _, until) in &mut self.issuers {
            until.get_or_insert(self.now + OVERLAP);
        }
        let mut issuer = PermitIssuer::new(self.now);
        for backend in 0..COLD {
            issuer.add(self.now, name(backend));
        }
        self.issuers.push((issuer, PermitPool::default(), None));
    }

    fn step(&mut self) {
        self.now += STEP;
        let (now, rate) = (self.now, self.rate);
        self.issuers
            .retain(|(_, _, until)| until.is_none_or(|until| now < until));
        // Rounds of the leader are late at times.
        if self.random.random_bool(0.3) {
            for (issuer, pool, _) in &mut self.issuers {
                for permit in issuer.issue(now, |_| Some(rate)) {
                    pool.add(permit);
                }
            }
        }
        self.exchange_with_relays();
        self.exchange_with_gateways();
        self.deliver();
        self.send();
    }

    fn exchange_with_relays(&mut self) {
        for relay in &mut self.relays {
            if self.random.random_bool(0.3) {
                let leader = self.random.random_range(0..self.issuers.len());
                let asked_at = self.now - Duration::from_millis(self.random.random_range(1..80));
                for grant in self.issuers[leader].1.grant(self.now, 4) {
                    relay.add(grant.accept(asked_at));
                }
            }
        }
    }

    fn exchange_with_gateways(&mut self) {
        for gateway in 0..GATEWAYS {
            if !self.random.random_bool(0.05) {
                continue;
            }
            let grants = self.relays[gateway / GATEWAYS_PER_RELAY].grant(self.now, 1);
            let delay = Duration::from_millis(self.random.random_range(1..300));
            self.transfers.push_back(Transfer {
                arrives_at: self.now + delay,
                asked_at: self.now - Duration::from_millis(1),
                gateway,
                grants,
            });
        }
    }

    fn deliver(&mut self) {
        let transfers = std::mem::take(&mut self.transfers);
        for transfer in transfers {
            if transfer.arrives_at > self.now {
                self.transfers.push_back(transfer);
                continue;
            }
            for grant in transfer.grants {
                self.gateways[transfer.gateway].add(grant.accept(transfer.asked_at));
            }
        }
    }

    /// Each gateway has more requests than permits.
    fn send(&mut self) {
        for pool in self.gateways.iter_mut().filter(|pool| !pool.is_empty()) {
            for backend in 0..COLD {
                while pool.take(self.now, &name(backend)) {
                    self.sent[backend].push(self.now);
                }
            }
        }
    }

    /// Returns the most requests that any back end got within a second.
    fn peak(&self) -> usize {
        let second = Duration::from_secs(1);
        let peaks = self.sent.iter().map(|sent| {
            let windows = sent.iter().enumerate().map(|(first, start)| {
                let rest = sent[first..].iter();
                rest.take_while(|at| at.duration_since(*start) < second)
                    .count()
            });
            windows.max().unwrap_or(0)
        });
        peaks.max().unwrap_or(0)
    }
}

#[test]
fn cold_back_ends_get_their_rate_over_all_nodes() {
    for seed in 0..SEEDS {
        let rate = [0.5, 5.2, 40.0][seed as usize % 3];
        let mut world = World::new(seed, rate);
        let end = world.now + LENGTH;
        while world.now < end {
            if world.random.random_bool(0.001) {
                world.take_over();
            }
            world.step();
        }
        let bound = rate * BOUND.0 + BOUND.1;
        let peak = world.peak();
        assert!(
            peak as f64 <= bound,
            "seed {seed}: {peak} of {bound} at {rate} per second"
        );
    }
}

#[test]
fn permits_are_used_where_there_are_requests() {
    let mut world = World::new(1, 10.0);
    let end = world.now + LENGTH;
    while world.now < end {
        world.step();
    }
    let issuing = (LENGTH - TAKEOVER_PAUSE).as_secs_f64();
    for sent in &world.sent {
        let fraction = sent.len() as f64 / (10.0 * issuing);
        assert!(fraction > 0.5, "{fraction} of the rate is used");
    }
}

#[test]
fn a_new_issuer_waits_and_a_late_round_issues_one_permit() {
    let start = Instant::now();
    let mut issuer = PermitIssuer::new(start);
    issuer.add(start, name(0));
    let rate = |_: &BackendName| Some(10.0);
    assert!(issuer.issue(start + TAKEOVER_PAUSE / 2, rate).is_empty());
    let late = start + TAKEOVER_PAUSE * 3;
    assert_eq!(issuer.issue(late, rate).len(), 1);
    assert!(
        issuer
            .issue(late + Duration::from_millis(99), rate)
            .is_empty()
    );
    assert_eq!(
        issuer.issue(late + Duration::from_millis(100), rate).len(),
        1
    );
    assert!(
        issuer
            .issue(late + Duration::from_secs(1), |_| None)
            .is_empty(),
        "warm"
    );
    assert!(
        issuer.issue(late + Duration::from_secs(9), rate).is_empty(),
        "forgotten"
    );
}

#[test]
fn a_delayed_grant_is_never_valid_for_longer() {
    let asked_at = Instant::now();
    let grant = PermitGrant {
        backend: "b0".to_owned(),
        remaining_ms: 300,
    };
    let mut pool = PermitPool::default();
    pool.add(grant.accept(asked_at));
    assert!(pool.allows(asked_at + Duration::from_millis(299), &name(0)));
    assert!(!pool.allows(asked_at + Duration::from_millis(300), &name(0)));
    assert!(!pool.take(asked_at + Duration::from_millis(300), &name(0)));
}

#[test]
fn a_huge_rate_issued_permits_without_end() {
    let now = Instant::now();
    for rate in [1e9, 1e10, 1e300, f64::MAX] {
        let mut issuer = PermitIssuer::new(now);
        issuer.add(now, name(0));
        for round in 1..4 {
            let at = now + TAKEOVER_PAUSE + STEP * round;
            // The rate ends after some calls, so that a loop without end fails instead of filling the memory.
            let calls = Cell::new(0);
            let permits = issuer.issue(at, |_| {
                calls.set(calls.get() + 1);
                (calls.get() < 100).then_some(rate)
            });
            assert_eq!(permits.len(), 1, "{rate}, round {round}");
        }
    }
}
