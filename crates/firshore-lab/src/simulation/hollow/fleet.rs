//! The simulation: events in order of time, driving the nodes and counting what comes of it.

use super::events::{Event, Events, Target};
use super::measure::Traffic;
use super::network::{Datagram, FrameKind, Network, address, place};
use super::node::{HollowNode, ProcessState};
use super::objects::Objects;
use super::outcome::Outcome;
use super::scenario::Scenario;
use super::usage;
use firshore_membership::membership;
use firshore_membership::message::{Envelope, Message, Rumour};
use firshore_membership::timing::TICK_MILLISECONDS as MEMBERSHIP_TICK;
use firshore_protocol::frame;
use firshore_protocol::message::{NOTICE, Request, RequestFrame};
use firshore_types::ids::InstanceId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bytes of the length before a frame.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Places that every node has as seeds: one in each zone.
const SEEDS: usize = 14;

/// Time in which the first nodes start.
const START_SPREAD: u64 = 10_000;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Crash {
    pub(crate) at: u64,
    pub(crate) place: usize,
}

/// A fleet of hollow nodes.
pub struct Simulation {
    pub(crate) scenario: Scenario,
    pub(crate) now: u64,
    pub(crate) events: Events,
    pub(crate) network: Network,
    pub(crate) objects: Objects,
    pub(crate) nodes: Vec<HollowNode>,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) random: ChaCha8Rng,
    pub(crate) crashes: BTreeMap<InstanceId, Crash>,
    pub(crate) resumed: BTreeMap<InstanceId, u64>,
    /// Members declared failed at an incarnation, by the first to do so.
    pub(crate) verdicts: BTreeSet<(InstanceId, u64)>,
    /// When each revision was first in force on a node.
    pub(crate) accepted: Vec<Option<u64>>,
    pub(crate) outcome: Outcome,
}

impl Simulation {
    /// A fleet that has not started yet.
    pub fn new(scenario: Scenario) -> Self {
        let network = Network::new(scenario.nodes, scenario.loss_percent);
        let outcome = Outcome {
            traffic: vec![Traffic::default(); scenario.nodes],
            ..Outcome::default()
        };
        Self {
            now: 0,
            events: Events::default(),
            objects: Objects::default(),
            nodes: Vec::new(),
            seeds: (0..scenario.nodes.min(SEEDS)).map(address).collect(),
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            crashes: BTreeMap::new(),
            resumed: BTreeMap::new(),
            verdicts: BTreeSet::new(),
            accepted: Vec::new(),
            network,
            outcome,
            scenario,
        }
    }

    /// Runs it to its end.
    pub fn run(mut self) -> Outcome {
        let processor = usage::thread_processor_nanoseconds();
        let memory = usage::resident_bytes();
        self.plan();
        let end = self.measured_until() + self.scenario.settle;
        while let Some((at, event)) = self.events.next_before(end) {
            self.now = at;
            self.happen(event);
        }
        self.now = end;
        self.check_end();
        let used = |before: Option<u64>, after: Option<u64>| match (before, after) {
            (Some(before), Some(after)) => after.saturating_sub(before) as f64,
            _ => 0.0,
        };
        let outcome = &mut self.outcome;
        outcome.processor_seconds = used(processor, usage::thread_processor_nanoseconds()) / 1e9;
        outcome.memory_bytes = used(memory, usage::resident_bytes());
        outcome.simulated_seconds = end as f64 / 1_000.0;
        outcome.measured_seconds = self.scenario.duration as f64 / 1_000.0;
        outcome.changes = self.objects.newest();
        outcome.record_bytes = self.objects.mean_record_bytes();
        self.outcome
    }

    pub(crate) fn measured_until(&self) -> u64 {
        self.scenario.warm_up + self.scenario.duration
    }

    pub(crate) fn is_measured(&self) -> bool {
        (self.scenario.warm_up..self.measured_until()).contains(&self.now)
    }

    fn plan(&mut self) {
        for place in 0..self.scenario.nodes {
            let target = Target {
                place,
                generation: 0,
            };
            let locality = self.network.locality(place);
            let mut node = HollowNode::start(0, target, locality, &self.seeds, &mut self.random);
            node.process = ProcessState::Down;
            self.nodes.push(node);
            let at = self.random.random_range(0..START_SPREAD);
            self.events.add(at, Event::Start(place));
        }
        let start = self.scenario.warm_up;
        for first in [
            Event::Change,
            Event::Crash,
            Event::PlannedRestart,
            Event::Pause,
        ] {
            self.events.add(start, first);
        }
        if let Some(span) = self.scenario.object_outage {
            self.events
                .add(start + span.from, Event::ObjectOutage(true));
            self.events.add(start + span.to, Event::ObjectOutage(false));
        }
        if let Some(span) = self.scenario.region_cut {
            self.events.add(start + span.from, Event::RegionCut(true));
            self.events.add(start + span.to, Event::RegionCut(false));
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::MembershipTick(target) => self.membership_tick(target),
            Event::ConfigurationTick(target) => self.configuration_tick(target),
            Event::Arrival(datagram) => self.arrive(datagram),
            Event::ObjectsAnswer(target, answer) => self.objects_answer(target, answer),
            Event::WatchEnd(target, since) => self.end_watch(target, since),
            Event::Change => self.change(),
            Event::Written(target, record) => self.written(target, &record),
            Event::Crash => self.crash(),
            Event::PlannedRestart => self.planned_restart(),
            Event::Stopped(target) => self.stopped(target),
            Event::Start(place) => self.start(place),
            Event::Pause => self.pause(),
            Event::Resume(target) => self.resume(target),
            Event::RegionCut(cut) => {
                let region = (self.network.regions() > 1 && cut).then_some(0);
                self.network.cut(region);
            }
            Event::ObjectOutage(down) => self.object_outage(down),
        }
    }

    /// Adds the next event of a kind, with exponential distances, until the quiet time.
    pub(crate) fn again(&mut self, event: Event, interval: u64) {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        let at = self.now + (-draw.ln() * interval as f64).ceil() as u64;
        if at < self.measured_until() {
            self.events.add(at, event);
        }
    }

    pub(crate) fn running(&self, target: Target) -> bool {
        let node = &self.nodes[target.place];
        node.target == target && node.acts()
    }

    fn membership_tick(&mut self, target: Target) {
        if !self.running(target) {
            return;
        }
        self.step_membership(target.place, membership::Input::Tick);
        let next = Event::MembershipTick(target);
        self.events.add(self.now + MEMBERSHIP_TICK, next);
    }

    pub(crate) fn step_membership(&mut self, place: usize, input: membership::Input) {
        let outputs = self.nodes[place].membership.step(self.now, input);
        for output in outputs {
            match output {
                membership::Output::Send { to, envelope } => self.send_gossip(place, to, envelope),
                membership::Output::Changed(change) => self.member_changed(place, &change),
                membership::Output::Stale { .. } => {}
            }
        }
    }

    fn send_gossip(&mut self, from: usize, to: SocketAddr, envelope: Envelope) {
        let Some(to) = place(to) else {
            return;
        };
        let purpose = purpose_of(&envelope.message);
        let rumours: usize = envelope.rumours.iter().map(Rumour::estimated_bytes).sum();
        let frame = RequestFrame {
            correlation: NOTICE,
            request: Request::Gossip(envelope),
        };
        let bytes = frame::encode(&frame).expect("it is short");
        if self.is_measured() {
            let rest = bytes.len().saturating_sub(rumours);
            self.outcome.purposes.add("rumours", bytes.len() - rest);
            self.outcome.purposes.add(purpose, rest);
        }
        self.send(Datagram {
            from,
            to,
            kind: FrameKind::Request,
            bytes,
        });
    }

    pub(crate) fn send(&mut self, datagram: Datagram) {
        if self.is_measured() {
            let traffic = &mut self.outcome.traffic[datagram.from];
            traffic.sent_frames += 1;
            traffic.sent_bytes += datagram.bytes.len() as u64;
        }
        let delay = self
            .network
            .delay(datagram.from, datagram.to, &mut self.random);
        if let Some(delay) = delay {
            self.events.add(self.now + delay, Event::Arrival(datagram));
        }
    }

    fn arrive(&mut self, datagram: Datagram) {
        let place = datagram.to;
        match self.nodes[place].process {
            ProcessState::Down => return,
            ProcessState::Paused => {
                self.nodes[place].keep(datagram);
                return;
            }
            ProcessState::Running | ProcessState::Leaving => {}
        }
        if self.is_measured() {
            let traffic = &mut self.outcome.traffic[place];
            traffic.received_frames += 1;
            traffic.received_bytes += datagram.bytes.len() as u64;
        }
        match datagram.kind {
            FrameKind::Request => self.receive_request(&datagram),
            FrameKind::Response => self.receive_response(&datagram),
        }
    }

    fn receive_request(&mut self, datagram: &Datagram) {
        let frame: RequestFrame = ciborium::from_reader(&datagram.bytes[LENGTH_BYTES..])
            .expect("the simulation sends valid frames");
        match frame.request {
            Request::Gossip(envelope) => {
                self.step_membership(datagram.to, membership::Input::Received(envelope));
            }
            Request::Configuration { from, message } => {
                self.answer_configuration(datagram, frame.correlation, from, message);
            }
            _ => {}
        }
    }

    pub(crate) fn count_purpose(&mut self, purpose: &'static str, bytes: usize) {
        if self.is_measured() {
            self.outcome.purposes.add(purpose, bytes);
        }
    }
}

fn purpose_of(message: &Message) -> &'static str {
    match message {
        Message::Ping(_) | Message::Ack(_) => "probes",
        Message::PingRequest { .. } | Message::WrongInstance(_) => "indirect probes",
        Message::Join(_) | Message::Pull(_) | Message::View { .. } => "joins",
        Message::Summary(_) => "comparison summaries",
        Message::Compare(_) => "comparison checksums",
        Message::Claims { .. } => "comparison claims",
        Message::Want(_) | Message::Records(_) => "records",
        Message::Notice => "announcements",
    }
}
