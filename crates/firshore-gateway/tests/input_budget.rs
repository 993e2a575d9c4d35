//! The memory of callers' input: who is granted some, and who is evicted for it.

use firshore_gateway::input_budget::{Denial, Growth, HolderId, InputBudget, InputLimits};
use std::time::{Duration, Instant};

const MEGABYTE: usize = 1024 * 1024;

/// Memory of all requests; large ones may use 12 MB of it.
const MAX_BYTES: usize = 16 * MEGABYTE;

const LIMITS: InputLimits = InputLimits {
    bytes: MAX_BYTES,
    connections: 100,
};

/// Longer than the time without progress after which a request counts as stalled.
const STALL: Duration = Duration::from_millis(1_500);

/// A budget with a clock of its own.
struct Scene {
    budget: InputBudget,
    now: Instant,
}

impl Scene {
    fn new() -> Self {
        Self {
            budget: InputBudget::new(LIMITS),
            now: Instant::now(),
        }
    }

    fn wait(&mut self, time: Duration) {
        self.now += time;
    }

    /// Opens a connection for which no other has to go.
    fn open(&mut self) -> HolderId {
        let opened = self.budget.open(self.now).unwrap();
        assert_eq!(opened.evicted, Vec::new());
        opened.id
    }

    /// Begins a request that asks for `bytes`.
    fn begin(&mut self, bytes: usize) -> (HolderId, Growth) {
        let id = self.open();
        self.budget.begin_reading(self.now, id);
        (id, self.resize(id, bytes))
    }

    /// Begins a request that is granted `bytes`.
    fn granted(&mut self, bytes: usize) -> HolderId {
        let (id, growth) = self.begin(bytes);
        assert_eq!(growth, Growth::Granted);
        id
    }

    fn resize(&mut self, id: HolderId, bytes: usize) -> Growth {
        self.budget.resize(self.now, id, bytes)
    }
}

#[test]
fn a_crowd_of_large_requests_leaves_memory_for_small_ones() {
    let mut scene = Scene::new();
    for _ in 0..3 {
        scene.granted(4 * MEGABYTE);
    }
    let (_, growth) = scene.begin(MEGABYTE);
    assert_eq!(growth, Growth::Denied(Denial::Full));
    for _ in 0..64 {
        scene.granted(60 * 1024);
    }
    assert!(scene.budget.held() <= MAX_BYTES);
}

#[test]
fn stalled_requests_are_evicted_the_largest_and_longest_stalled_first() {
    let mut scene = Scene::new();
    let large = scene.granted(6 * MEGABYTE);
    let medium = scene.granted(3 * MEGABYTE);
    scene.wait(STALL);
    let fresh = scene.granted(3 * MEGABYTE);
    let (asking, growth) = scene.begin(2 * MEGABYTE);
    assert_eq!(growth, Growth::AfterEviction(vec![large]));
    // What the evicted request holds counts until it has let go.
    let again = scene.resize(asking, 2 * MEGABYTE);
    assert_eq!(again, Growth::AfterEviction(Vec::new()));
    assert_eq!(
        scene.resize(large, 6 * MEGABYTE),
        Growth::Denied(Denial::Evicted)
    );
    scene.budget.close(large);
    assert_eq!(scene.resize(asking, 2 * MEGABYTE), Growth::Granted);
    assert_eq!(scene.resize(medium, 3 * MEGABYTE), Growth::Granted);
    assert_eq!(scene.resize(fresh, 3 * MEGABYTE), Growth::Granted);
}

#[test]
fn requests_that_make_progress_are_not_evicted_for_a_large_one() {
    let mut scene = Scene::new();
    let mut held = [6 * MEGABYTE, 5 * MEGABYTE];
    let ids = held.map(|bytes| scene.granted(bytes));
    for _ in 0..20 {
        scene.wait(STALL / 3);
        for (id, bytes) in ids.iter().zip(&mut held) {
            *bytes += 16 * 1024;
            assert_eq!(scene.resize(*id, *bytes), Growth::Granted);
        }
    }
    let (_, growth) = scene.begin(2 * MEGABYTE);
    assert_eq!(growth, Growth::Denied(Denial::Full));
}

#[test]
fn a_request_that_dribbles_counts_as_stalled() {
    let mut scene = Scene::new();
    let dribbling = scene.granted(11 * MEGABYTE);
    for byte in 1..100 {
        scene.wait(Duration::from_millis(100));
        assert_eq!(
            scene.resize(dribbling, 11 * MEGABYTE + byte),
            Growth::Granted
        );
    }
    let (_, growth) = scene.begin(2 * MEGABYTE);
    assert_eq!(growth, Growth::AfterEviction(vec![dribbling]));
}

#[test]
fn a_complete_request_is_not_evicted() {
    let mut scene = Scene::new();
    let complete = scene.granted(11 * MEGABYTE);
    scene.budget.begin_serving(scene.now, complete);
    scene.wait(STALL);
    let (_, growth) = scene.begin(2 * MEGABYTE);
    assert_eq!(growth, Growth::Denied(Denial::Full));
    scene.budget.become_idle(scene.now, complete);
    scene.granted(2 * MEGABYTE);
}

#[test]
fn a_small_request_goes_before_larger_incomplete_ones() {
    let mut scene = Scene::new();
    scene.granted(12 * MEGABYTE);
    for _ in 0..64 {
        scene.granted(64 * 1024);
    }
    let (_, growth) = scene.begin(2 * 1024);
    assert!(matches!(growth, Growth::AfterEviction(_)), "{growth:?}");
}

#[test]
fn a_request_that_never_fits_is_told_so() {
    let mut scene = Scene::new();
    let max_bytes = scene.budget.max_request_bytes();
    let id = scene.granted(max_bytes);
    let growth = scene.resize(id, max_bytes + 1);
    assert_eq!(growth, Growth::Denied(Denial::TooLarge));
    scene.budget.close(id);
    assert_eq!(scene.budget.held(), 0);
}

#[test]
fn one_request_of_the_largest_size_is_granted_beside_stalled_ones() {
    let mut scene = Scene::new();
    let crowd: Vec<HolderId> = (0..12).map(|_| scene.granted(MEGABYTE)).collect();
    scene.wait(STALL);
    let max_bytes = scene.budget.max_request_bytes();
    let (id, growth) = scene.begin(max_bytes);
    assert_eq!(growth, Growth::AfterEviction(crowd.clone()));
    for evicted in crowd {
        scene.budget.close(evicted);
    }
    assert_eq!(scene.resize(id, max_bytes), Growth::Granted);
}

#[test]
fn connections_that_never_sent_go_first_the_longest_waiting_first() {
    let mut scene = Scene::new();
    let kept = scene.granted(1);
    scene.budget.become_idle(scene.now, kept);
    let first = scene.open();
    scene.wait(Duration::from_millis(200));
    let mut silent: Vec<HolderId> = (2..99).map(|_| scene.open()).collect();
    let serving = scene.granted(1);
    scene.budget.begin_serving(scene.now, serving);
    silent.insert(0, first);
    // All others are too new, or carry a request.
    let opened = scene.budget.open(scene.now).unwrap();
    assert_eq!(opened.evicted, [first, kept]);
    scene.wait(Duration::from_millis(200));
    scene.open();
    let opened = scene.budget.open(scene.now).unwrap();
    assert_eq!(opened.evicted, silent[1..4]);
}

#[test]
fn a_connection_is_refused_while_all_carry_requests() {
    let mut scene = Scene::new();
    for _ in 0..100 {
        let id = scene.granted(1);
        scene.budget.begin_serving(scene.now, id);
    }
    scene.wait(STALL);
    assert_eq!(scene.budget.open(scene.now), None);
}

#[test]
fn a_connection_takes_the_place_of_a_stalled_head() {
    let mut scene = Scene::new();
    let stalled: Vec<HolderId> = (0..100).map(|_| scene.granted(1)).collect();
    assert_eq!(scene.budget.open(scene.now), None);
    scene.wait(STALL);
    let opened = scene.budget.open(scene.now).unwrap();
    assert_eq!(opened.evicted, stalled[..3]);
}
