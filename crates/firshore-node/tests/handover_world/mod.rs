//! Simulated handover of one item's events between three nodes: runs that break off, go on, or begin anew at the process
//! that ran before; messages and acknowledgements that are late or lost; leaders that are replaced and do not know it
//! yet; nodes that restart with or without their file; a first leader of an earlier version, which names no texts.

use firshore_adapter::backend::Backend;
use firshore_adapter::incarnation::Incarnation;
use firshore_node::runner::ItemKey;
use firshore_node::runner::handover::{
    DeltaEnd, HeldEvents, HeldItems, HeldProgress, ProgressDelta, SentProgress, TextId,
};
use firshore_node::runner::progress::{ItemProgress, RunEnd};
use firshore_node::runner::progress_store::Leadership;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::net::SocketAddr;
use std::time::Instant;

const NODES: usize = 3;

/// Maximum number of leaders at a time: the newest one, and those that do not know that they were replaced.
const MAX_LEADERS: usize = 2;

/// Events of a whole text.
const MAX_EVENTS: u64 = 60;

/// What a play contained.
#[derive(Clone, Copy, Debug, Default)]
pub struct HandoverTally {
    /// Runs from the beginning at the process that had produced held events.
    pub begun_anew: usize,
    /// Takeovers with events.
    pub taken_over: usize,
    /// Messages that arrived after their sender had given them up.
    pub late: usize,
    /// Items that a node asked for from the start.
    pub gaps: usize,
}

impl HandoverTally {
    /// Adds another play.
    pub fn add(&mut self, other: &Self) {
        self.begun_anew += other.begun_anew;
        self.taken_over += other.taken_over;
        self.late += other.late;
        self.gaps += other.gaps;
    }
}

/// A run as its process saw it.
struct EngineRun {
    /// Event that it was requested to go on after.
    after: Option<u64>,
}

#[derive(Default)]
struct Node {
    copies: HeldItems,
    latest: Leadership,
}

impl Node {
    /// Applies deltas as the progress store does.
    fn apply(&mut self, leadership: Leadership, deltas: Vec<ProgressDelta>) -> Vec<ItemKey> {
        if leadership < self.latest {
            return deltas.iter().map(|delta| delta.end().key).collect();
        }
        self.latest = leadership;
        self.copies.apply(deltas)
    }
}

struct Leader {
    node: usize,
    leadership: Leadership,
    /// Whether it is of a version that names no texts.
    is_earlier: bool,
    progress: ItemProgress,
    run: Option<usize>,
    sent: [SentProgress; NODES],
    /// Messages without a response, by node.
    waiting: [Option<usize>; NODES],
}

impl Leader {
    fn held(&self) -> HeldEvents<'_> {
        let held = self.progress.held();
        HeldEvents {
            text: held.text.filter(|_| !self.is_earlier),
            ..held
        }
    }
}

struct Message {
    number: usize,
    leadership: Leadership,
    to: usize,
    deltas: Vec<ProgressDelta>,
}

/// The nodes, and the process that runs the item.
pub struct HandoverWorld {
    random: StdRng,
    now: Instant,
    runs: Vec<EngineRun>,
    nodes: [Node; NODES],
    leaders: Vec<Leader>,
    messages: Vec<Message>,
    numbers: usize,
    pub tally: HandoverTally,
}

fn key() -> ItemKey {
    ("job".to_owned(), 0)
}

/// Returns the process that runs all runs.
fn process() -> Backend {
    Backend {
        incarnation: Incarnation::named("one"),
        service: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: "here".into(),
        slots: 1,
        leaving: false,
        warm_up: None,
        software: Some("v1".into()),
    }
}

impl HandoverWorld {
    /// Creates a world whose first leader is of an earlier version if `is_earlier` is set.
    pub fn new(seed: u64, is_earlier: bool) -> Self {
        let now = Instant::now();
        let mut world = Self {
            random: StdRng::seed_from_u64(seed),
            now,
            runs: Vec::new(),
            nodes: Default::default(),
            leaders: Vec::new(),
            messages: Vec::new(),
            numbers: 0,
            tally: HandoverTally::default(),
        };
        world.lead(0, ItemProgress::new(now), is_earlier);
        world
    }

    /// Plays random steps; checks all texts after each.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step();
            self.check();
        }
    }

    fn step(&mut self) {
        let leader = self.random.random_range(0..self.leaders.len());
        let node = self.random.random_range(0..NODES);
        match self.random.random_range(0..100) {
            0..20 => self.start_run(leader),
            20..50 => self.produce(leader),
            50..58 => self.break_off(leader),
            58..76 => self.send(leader, node),
            76..91 => self.deliver(),
            91..94 => self.give_up(leader, node),
            94..97 => self.take_over(node),
            _ => self.restart(node),
        }
    }

    fn lead(&mut self, node: usize, progress: ItemProgress, is_earlier: bool) {
        let term = self.leaders.last().map_or(0, |last| last.leadership.term) + 1;
        self.leaders.push(Leader {
            node,
            leadership: Leadership { term, turn: 1 },
            is_earlier,
            progress,
            run: None,
            sent: Default::default(),
            waiting: Default::default(),
        });
        if self.leaders.len() > MAX_LEADERS {
            self.leaders.remove(0);
        }
    }

    fn start_run(&mut self, leader: usize) {
        let text = TextId(self.random.random());
        let begins_anew = self.random.random_bool(0.3);
        let leader = &mut self.leaders[leader];
        if leader.run.is_some() {
            return;
        }
        if begins_anew && leader.progress.last_event().is_some() {
            leader.progress.begin_anew();
            self.tally.begun_anew += 1;
        }
        leader.progress.start_run(self.now, &process(), text);
        leader.run = Some(self.runs.len());
        self.runs.push(EngineRun {
            after: leader.progress.last_event(),
        });
    }

    fn produce(&mut self, leader: usize) {
        let count = self.random.random_range(1..=6);
        let leader = &mut self.leaders[leader];
        let Some(run) = leader.run else {
            return;
        };
        for _ in 0..count {
            let number = leader.progress.last_event().unwrap_or(0) + 1;
            if number > MAX_EVENTS {
                return;
            }
            let event = format!("id: {number}\ndata: {run}.{number}\n\n");
            leader.progress.feed(event.as_bytes()).expect("it follows");
        }
    }

    fn break_off(&mut self, leader: usize) {
        let leader = &mut self.leaders[leader];
        if leader.run.take().is_some() {
            let ended = leader
                .progress
                .end_run(self.now, RunEnd::Broken, 0, u32::MAX);
            assert_eq!(ended, None);
        }
    }

    fn send(&mut self, leader: usize, to: usize) {
        let leader = &mut self.leaders[leader];
        if leader.waiting[to].is_some() {
            return;
        }
        let items = [(&key(), leader.held())];
        let deltas = leader.sent[to].deltas(items.into_iter(), usize::MAX);
        if deltas.is_empty() {
            return;
        }
        self.numbers += 1;
        leader.waiting[to] = Some(self.numbers);
        self.messages.push(Message {
            number: self.numbers,
            leadership: leader.leadership,
            to,
            deltas,
        });
    }

    /// Delivers a message, however late, and its response if the sender still waits for it.
    fn deliver(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.random.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        let ends: Vec<DeltaEnd> = message.deltas.iter().map(ProgressDelta::end).collect();
        let gaps = self.nodes[message.to].apply(message.leadership, message.deltas);
        self.tally.gaps += gaps.len();
        let mut leaders = self.leaders.iter_mut();
        let sender = leaders.find(|leader| leader.leadership == message.leadership);
        match sender {
            Some(sender) if sender.waiting[message.to] == Some(message.number) => {
                sender.waiting[message.to] = None;
                sender.sent[message.to].acknowledge(ends, gaps);
            }
            _ => self.tally.late += 1,
        }
    }

    /// Lets a leader stop waiting for a response: it is unknown what the node holds.
    fn give_up(&mut self, leader: usize, to: usize) {
        let leader = &mut self.leaders[leader];
        if leader.waiting[to].take().is_some() {
            leader.sent[to] = SentProgress::default();
        }
    }

    /// Lets a node lead from what it holds. The former leader may not know of it.
    fn take_over(&mut self, node: usize) {
        let is_known = self.random.random_bool(0.5);
        if self.leaders.last().is_some_and(|last| last.node == node) {
            return;
        }
        let held = self.held(node).unwrap_or_default();
        self.tally.taken_over += usize::from(!held.events.is_empty());
        let text = TextId(self.random.random());
        let progress = ItemProgress::resumed(self.now, held, text);
        self.lead(node, progress, false);
        if is_known {
            self.leaders.drain(..self.leaders.len() - 1);
        }
    }

    fn restart(&mut self, node: usize) {
        let keeps_file = self.random.random_bool(0.7);
        let node = &mut self.nodes[node];
        node.latest = Leadership::default();
        if !keeps_file {
            node.copies = HeldItems::default();
        }
    }

    fn held(&self, node: usize) -> Option<HeldProgress> {
        self.nodes[node].copies.all().remove(&key())
    }

    fn check(&self) {
        for leader in &self.leaders {
            self.check_text(leader.progress.produced());
        }
        for node in 0..NODES {
            if let Some(held) = self.held(node) {
                self.check_text(&held.events);
                assert_eq!(held.last.unwrap_or(0), held.events.len() as u64);
            }
        }
    }

    /// Checks that a text goes on after an event only with a run that was requested to go on after it.
    fn check_text(&self, events: &[String]) {
        let mut former = None;
        for (event, expected) in events.iter().zip(1_u64..) {
            let (run, number) = event.split_once('.').expect("RUN.NUMBER");
            let (run, number): (usize, u64) = (run.parse().unwrap(), number.parse().unwrap());
            assert_eq!(number, expected, "{events:?}");
            if former != Some(run) {
                let after = self.runs[run].after.unwrap_or(0);
                assert_eq!(after, number - 1, "joined at {event}: {events:?}");
            }
            former = Some(run);
        }
    }
}
