//! Seeded random runs: nodes never revert to an older revision, and converge after faults end.

mod support;

use firshore_config::dissemination::{Dissemination, Input, Output, TICK_MILLISECONDS};
use firshore_config::history::Record;
use firshore_config::message::Message;
use firshore_config::readers::Peer;
use firshore_types::ids::{InstanceId, Revision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use support::{extend, peer};

const NODES: u64 = 36;
const FAULTY_MILLISECONDS: u64 = 60_000;
const CONVERGENCE_MILLISECONDS: u64 = 19_000;
const LOSS_PERCENT: u32 = 10;

enum Event {
    Tick,
    Message { from: InstanceId, message: Message },
    Objects { after: Revision },
}

struct Simulation {
    random: ChaCha8Rng,
    nodes: Vec<Dissemination>,
    heads: Vec<Revision>,
    records: Vec<Record>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::BTreeMap<u64, (usize, Event)>,
    sequence: u64,
}

fn peer_of(instance: u64) -> Peer {
    let region = ["north", "south", "west"][(instance % 3) as usize];
    peer(instance, region, &format!("{region}-{}", instance % 6 / 3))
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut simulation = Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            nodes: (0..NODES)
                .map(|one| Dissemination::new(peer_of(one), seed ^ one))
                .collect(),
            heads: vec![Revision(0); NODES as usize],
            records: Vec::new(),
            queue: BinaryHeap::new(),
            events: Default::default(),
            sequence: 0,
        };
        for index in 0..NODES as usize {
            simulation.join(0, index);
            let first = simulation.random.random_range(0..TICK_MILLISECONDS);
            simulation.schedule(first, index, Event::Tick);
        }
        simulation
    }

    fn join(&mut self, now: u64, index: usize) {
        let members = (0..NODES).map(peer_of).collect();
        let outputs = self.nodes[index].step(now, Input::Members(members));
        self.perform(now, index, outputs);
    }

    fn schedule(&mut self, at: u64, index: usize, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, (index, event));
    }

    fn perform(&mut self, now: u64, index: usize, outputs: Vec<Output>) {
        let from = InstanceId(index as u64);
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    let lost =
                        now < FAULTY_MILLISECONDS && self.random.random_ratio(LOSS_PERCENT, 100);
                    let partitioned = (20_000..35_000).contains(&now)
                        && (peer_of(to.0).region == "west".into())
                            != (peer_of(from.0).region == "west".into());
                    if !lost && !partitioned {
                        let at = now + self.random.random_range(1..60);
                        self.schedule(at, to.0 as usize, Event::Message { from, message });
                    }
                }
                Output::WatchObjects { after } => {
                    let at = now + self.random.random_range(5..500);
                    self.schedule(at, index, Event::Objects { after });
                }
                Output::InForce(configuration) => {
                    assert!(
                        configuration.revision > self.heads[index],
                        "a node reverted to an older revision"
                    );
                    self.heads[index] = configuration.revision;
                }
                Output::Refused(refusal) => panic!("one history only, but {refusal:?}"),
            }
        }
    }

    fn objects(&mut self, now: u64, after: Revision) -> Input {
        if (40_000..55_000).contains(&now) {
            return Input::ObjectsUnread;
        }
        let stale = self.random.random_range(0..3);
        let newest = self.records.len().saturating_sub(stale);
        let start = (after.0 as usize).min(newest);
        Input::ObjectsRead(self.records[start..newest].to_vec())
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((now, sequence))) = self.queue.pop() {
            if now > until {
                self.queue.push(Reverse((now, sequence)));
                return;
            }
            let (index, event) = self.events.remove(&sequence).expect("scheduled once");
            let input = match event {
                Event::Tick => {
                    self.schedule(now + TICK_MILLISECONDS, index, Event::Tick);
                    Input::Tick
                }
                Event::Message { from, message } => Input::FromPeer { from, message },
                Event::Objects { after } => self.objects(now, after),
            };
            if now < FAULTY_MILLISECONDS && self.random.random_ratio(1, 400) {
                self.restart(now, index);
                continue;
            }
            let outputs = self.nodes[index].step(now, input);
            self.perform(now, index, outputs);
        }
    }

    fn restart(&mut self, now: u64, index: usize) {
        let seed = self.random.random();
        self.nodes[index] = Dissemination::new(peer_of(index as u64), seed);
        self.heads[index] = Revision(0);
        self.join(now, index);
    }
}

#[test]
fn nodes_never_revert_and_converge() {
    for seed in 0..8 {
        let mut simulation = Simulation::new(seed);
        let mut now = 0;
        while now < FAULTY_MILLISECONDS {
            now += simulation.random.random_range(100..3_000);
            simulation.run(now);
            let count = simulation.random.random_range(1..4);
            simulation.records = extend(&simulation.records, count, "only");
        }
        simulation.run(now + CONVERGENCE_MILLISECONDS);
        let newest = Revision(simulation.records.len() as u64);
        for (index, node) in simulation.nodes.iter().enumerate() {
            assert_eq!(node.history().head(), newest, "seed {seed}, node {index}");
        }
    }
}
