//! The simulation: events in order of time, driving the nodes and counting what comes of it.

use super::events::{Event, Events, Target};
use super::measure::Traffic;
use super::network::{Datagram, FrameKind, Network, address, place};
use super::node::{HollowNode, ProcessState, Watch};
use super::objects::Objects;
use super::outcome::Outcome;
use super::scenario::Scenario;
use super::usage;
use firshore_config::dissemination::{self, TICK_MILLISECONDS as CONFIGURATION_TICK};
use firshore_config::history::Record;
use firshore_config::message::Message as ConfigurationMessage;
use firshore_membership::member::MemberState;
use firshore_membership::membership::{self, MemberChange};
use firshore_membership::message::{Envelope, Message, Rumour};
use firshore_membership::timing::TICK_MILLISECONDS as MEMBERSHIP_TICK;
use firshore_protocol::frame;
use firshore_protocol::message::{NOTICE, Request, RequestFrame, Response, ResponseFrame};
use firshore_types::ids::{InstanceId, Revision};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Bytes of the length before a frame.
const LENGTH_BYTES: usize = 4;

/// Places that every node has as seeds: one in each zone.
const SEEDS: usize = 14;

/// Time in which the first nodes start.
const START_SPREAD: u64 = 10_000;

/// Time from being told to stop to the end of the process.
const STOP_TIME: u64 = 2_000;

/// Time after a pause in which a failure declared of the paused node is a late one, not a false
/// one.
const PAUSE_AFTERMATH: u64 = 15_000;

/// Time after which the object API, when down, is given up.
const OBJECT_TIMEOUT: u64 = 1_000;

/// Time after which a watch ends without news.
const WATCH_TIME: u64 = 2_000;

/// Time after its return in which a node and the others need not agree yet.
const AGREEMENT_TIME: u64 = 15_000;

/// Share of nodes that may be down or paused at once, as a divisor.
const MOST_AWAY: usize = 5;

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: u64,
    place: usize,
}

/// A fleet of hollow nodes.
pub struct Simulation {
    scenario: Scenario,
    now: u64,
    events: Events,
    network: Network,
    objects: Objects,
    nodes: Vec<HollowNode>,
    seeds: Vec<SocketAddr>,
    random: ChaCha8Rng,
    crashes: BTreeMap<InstanceId, Crash>,
    resumed: BTreeMap<InstanceId, u64>,
    /// Members declared failed at an incarnation, by the first to do so.
    verdicts: BTreeSet<(InstanceId, u64)>,
    /// When each revision was first in force on a node.
    accepted: Vec<Option<u64>>,
    outcome: Outcome,
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

    fn measured_until(&self) -> u64 {
        self.scenario.warm_up + self.scenario.duration
    }

    fn is_measured(&self) -> bool {
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
    fn again(&mut self, event: Event, interval: u64) {
        let draw: f64 = self.random.random_range(1e-9..1.0);
        let at = self.now + (-draw.ln() * interval as f64).ceil() as u64;
        if at < self.measured_until() {
            self.events.add(at, event);
        }
    }

    fn running(&self, target: Target) -> bool {
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

    fn configuration_tick(&mut self, target: Target) {
        if !self.running(target) {
            return;
        }
        let node = &mut self.nodes[target.place];
        if std::mem::take(&mut node.members_changed) {
            let peers = node.peers(self.now);
            self.step_configuration(target.place, dissemination::Input::Members(peers));
        }
        self.step_configuration(target.place, dissemination::Input::Tick);
        let next = Event::ConfigurationTick(target);
        self.events.add(self.now + CONFIGURATION_TICK, next);
    }

    fn step_membership(&mut self, place: usize, input: membership::Input) {
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

    fn send(&mut self, datagram: Datagram) {
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

    fn answer_configuration(
        &mut self,
        asked: &Datagram,
        correlation: u64,
        from: InstanceId,
        message: ConfigurationMessage,
    ) {
        let place = asked.to;
        let input = dissemination::Input::FromPeer { from, message };
        let outputs = self.nodes[place].dissemination.step(self.now, input);
        let mut answers = Vec::new();
        for output in outputs {
            match output {
                dissemination::Output::Send { to, message } if to == from => answers.push(message),
                output => self.perform(place, output),
            }
        }
        let frame = ResponseFrame {
            correlation,
            response: Response::Configuration(answers),
        };
        let bytes = frame::encode(&frame).expect("it is within the limit");
        self.count_purpose("configuration answers", bytes.len());
        self.send(Datagram {
            from: place,
            to: asked.from,
            kind: FrameKind::Response,
            bytes,
        });
    }

    fn receive_response(&mut self, datagram: &Datagram) {
        let frame: ResponseFrame = ciborium::from_reader(&datagram.bytes[LENGTH_BYTES..])
            .expect("the simulation sends valid frames");
        let from = self.nodes[datagram.from].instance();
        let Response::Configuration(messages) = frame.response else {
            return;
        };
        for message in messages {
            let input = dissemination::Input::FromPeer { from, message };
            self.step_configuration(datagram.to, input);
        }
    }

    fn step_configuration(&mut self, place: usize, input: dissemination::Input) {
        let outputs = self.nodes[place].dissemination.step(self.now, input);
        for output in outputs {
            self.perform(place, output);
        }
    }

    fn perform(&mut self, from: usize, output: dissemination::Output) {
        match output {
            dissemination::Output::Send { to, message } => {
                self.send_configuration(from, to, message);
            }
            dissemination::Output::WatchObjects { after } => self.watch(from, after),
            dissemination::Output::InForce(configuration) => {
                self.in_force(from, configuration.revision);
            }
            dissemination::Output::Refused(_) => self.outcome.refusals += 1,
        }
    }

    fn send_configuration(&mut self, from: usize, to: InstanceId, message: ConfigurationMessage) {
        let node = &self.nodes[from];
        let Some(to) = node.membership.address_of(to).and_then(place) else {
            return;
        };
        let purpose = match &message {
            ConfigurationMessage::Advertisement(_) => "configuration advertisements",
            ConfigurationMessage::Chain(_) => "configuration changes",
            ConfigurationMessage::Snapshot(_) => "configuration snapshots",
            _ => "configuration pulls",
        };
        let frame = RequestFrame {
            correlation: self.now,
            request: Request::Configuration {
                from: node.instance(),
                message,
            },
        };
        let bytes = frame::encode(&frame).expect("it is within the limit");
        self.count_purpose(purpose, bytes.len());
        self.send(Datagram {
            from,
            to,
            kind: FrameKind::Request,
            bytes,
        });
    }

    fn count_purpose(&mut self, purpose: &'static str, bytes: usize) {
        if self.is_measured() {
            self.outcome.purposes.add(purpose, bytes);
        }
    }

    fn in_force(&mut self, place: usize, revision: Revision) {
        let accepted_digest = self.objects.digest(revision);
        let node = &mut self.nodes[place];
        let before = node.in_force;
        if revision.0 < before {
            self.outcome.reverted_revisions += 1;
        }
        if accepted_digest != Some(node.dissemination.history().head_digest()) {
            self.outcome.divergent_histories += 1;
        }
        node.in_force = revision.0;
        let available_since = node.available_since;
        self.accepted.resize(self.objects.newest() as usize, None);
        for number in before..revision.0 {
            let accepted = *self.accepted[number as usize].get_or_insert(self.now);
            let since = accepted.max(available_since);
            self.outcome.in_force.record(self.now - since);
        }
    }

    fn watch(&mut self, place: usize, after: Revision) {
        let target = self.nodes[place].target;
        if self.objects.down {
            let failed = Event::ObjectsAnswer(target, None);
            self.events.add(self.now + OBJECT_TIMEOUT, failed);
            return;
        }
        let since = self.now;
        self.nodes[place].watch = Some(Watch { after, since });
        let end = Event::WatchEnd(target, since);
        self.events.add(self.now + WATCH_TIME, end);
        if self.is_measured() {
            let watching = self.nodes.iter().filter(|node| node.watch.is_some());
            let watches = watching.count() as u64;
            self.outcome.most_watches = self.outcome.most_watches.max(watches);
        }
        if self.objects.newest() > after.0 {
            self.answer_watch(place);
        }
    }

    fn answer_watch(&mut self, place: usize) {
        let Some(Watch { after, .. }) = self.nodes[place].watch.take() else {
            return;
        };
        let target = self.nodes[place].target;
        let mut records = self.objects.after(after);
        // One answer in ten comes from an old replica.
        if self.random.random_ratio(1, 10) {
            records.pop();
        }
        let delay = self.random.random_range(50..250);
        let answer = Event::ObjectsAnswer(target, Some(records));
        self.events.add(self.now + delay, answer);
    }

    fn end_watch(&mut self, target: Target, since: u64) {
        let node = &self.nodes[target.place];
        let same = node.watch.is_some_and(|watch| watch.since == since);
        if node.target == target && same {
            self.answer_watch(target.place);
        }
    }

    fn objects_answer(&mut self, target: Target, answer: Option<Vec<Record>>) {
        let node = &self.nodes[target.place];
        if node.target == target && node.process == ProcessState::Paused {
            let later = Event::ObjectsAnswer(target, answer);
            self.events.add(self.now + OBJECT_TIMEOUT, later);
            return;
        }
        if !self.running(target) {
            return;
        }
        let input = match answer {
            Some(records) => dissemination::Input::ObjectsRead(records),
            None => dissemination::Input::ObjectsUnread,
        };
        self.step_configuration(target.place, input);
    }

    fn object_outage(&mut self, down: bool) {
        self.objects.down = down;
        if !down {
            return;
        }
        for place in 0..self.nodes.len() {
            if self.nodes[place].watch.take().is_some() {
                let failed = Event::ObjectsAnswer(self.nodes[place].target, None);
                self.events.add(self.now + OBJECT_TIMEOUT, failed);
            }
        }
    }

    fn change(&mut self) {
        self.again(Event::Change, self.scenario.change_interval);
        if self.objects.down {
            return;
        }
        let record = self.objects.commit();
        let lost = self
            .random
            .random_ratio(self.scenario.lost_answer_percent, 100);
        if !lost && let Some(writer) = self.any_running() {
            let delay = self.random.random_range(20..100);
            let event = Event::Written(self.nodes[writer].target, record);
            self.events.add(self.now + delay, event);
        }
        for place in 0..self.nodes.len() {
            if self.nodes[place].watch.is_some() {
                self.answer_watch(place);
            }
        }
    }

    /// The writer has read what came before its change.
    fn written(&mut self, target: Target, record: &Record) {
        if !self.running(target) {
            return;
        }
        let held = Revision(self.nodes[target.place].in_force);
        let mut records = self.objects.after(held);
        records.retain(|other| other.revision <= record.revision);
        self.step_configuration(target.place, dissemination::Input::Written(records));
    }

    fn any_running(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|place| self.nodes[*place].process == ProcessState::Running)
            .collect();
        if running.is_empty() {
            return None;
        }
        Some(running[self.random.random_range(0..running.len())])
    }

    /// A node to which something may be done, unless too many are away already.
    fn victim(&mut self) -> Option<usize> {
        let running = |node: &&HollowNode| node.process == ProcessState::Running;
        let away = self.nodes.len() - self.nodes.iter().filter(running).count();
        if away > self.nodes.len() / MOST_AWAY {
            return None;
        }
        self.any_running()
    }

    fn crash(&mut self) {
        self.again(Event::Crash, self.scenario.crash_interval);
        let Some(place) = self.victim() else {
            return;
        };
        self.outcome.crashes += 1;
        let crash = Crash {
            at: self.now,
            place,
        };
        self.crashes.insert(self.nodes[place].instance(), crash);
        self.stop_process(place);
        let replaced = self.now + self.random.random_range(30_000..90_000);
        self.events.add(replaced, Event::Start(place));
    }

    fn stop_process(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.process = ProcessState::Down;
        node.watch = None;
        node.kept.clear();
    }

    fn planned_restart(&mut self) {
        self.again(Event::PlannedRestart, self.scenario.restart_interval);
        let Some(place) = self.victim() else {
            return;
        };
        self.outcome.restarts += 1;
        self.nodes[place].process = ProcessState::Leaving;
        self.step_membership(place, membership::Input::Leave);
        let stopped = Event::Stopped(self.nodes[place].target);
        self.events.add(self.now + STOP_TIME, stopped);
    }

    fn stopped(&mut self, target: Target) {
        self.stop_process(target.place);
        let started = self.now + self.random.random_range(3_000..15_000);
        self.events.add(started, Event::Start(target.place));
    }

    fn start(&mut self, place: usize) {
        let target = Target {
            place,
            generation: self.nodes[place].target.generation + 1,
        };
        let locality = self.network.locality(place);
        let node = HollowNode::start(self.now, target, locality, &self.seeds, &mut self.random);
        self.nodes[place] = node;
        self.schedule_ticks(target);
    }

    fn schedule_ticks(&mut self, target: Target) {
        let phase = self.random.random_range(0..MEMBERSHIP_TICK);
        let tick = Event::MembershipTick(target);
        self.events.add(self.now + phase, tick);
        let phase = self.random.random_range(0..CONFIGURATION_TICK);
        let tick = Event::ConfigurationTick(target);
        self.events.add(self.now + phase, tick);
    }

    fn pause(&mut self) {
        self.again(Event::Pause, self.scenario.pause_interval);
        let Some(place) = self.victim() else {
            return;
        };
        self.outcome.pauses += 1;
        self.nodes[place].process = ProcessState::Paused;
        let resumed = self.now + self.random.random_range(1_500..40_000);
        let target = self.nodes[place].target;
        self.events.add(resumed, Event::Resume(target));
    }

    fn resume(&mut self, target: Target) {
        let now = self.now;
        let node = &mut self.nodes[target.place];
        node.process = ProcessState::Running;
        node.available_since = now;
        let instance = node.instance();
        let kept = std::mem::take(&mut node.kept);
        self.resumed.insert(instance, now);
        for datagram in kept {
            self.events.add(now, Event::Arrival(datagram));
        }
        self.schedule_ticks(target);
    }

    fn member_changed(&mut self, observer: usize, change: &MemberChange) {
        let has_work = |state| matches!(state, MemberState::Alive | MemberState::Suspect);
        let had_work = change.before.is_some_and(has_work);
        if had_work != has_work(change.member.state) {
            self.nodes[observer].members_changed = true;
        }
        let planned = change.before == Some(MemberState::Leaving);
        if change.member.state != MemberState::Failed || planned {
            return;
        }
        let instance = change.member.instance;
        if let Some(crash) = self.crashes.get(&instance).copied() {
            self.detected(observer, crash);
            return;
        }
        let incarnation = change.member.incarnation;
        if !self.verdicts.insert((instance, incarnation)) {
            return;
        }
        let resumed = self.resumed.get(&instance);
        let woke_lately = resumed.is_some_and(|at| self.now < at + PAUSE_AFTERMATH);
        let runs = self
            .nodes
            .iter()
            .any(|node| node.instance() == instance && node.acts());
        if runs && !woke_lately {
            self.outcome.false_failures += 1;
        }
    }

    fn detected(&mut self, observer: usize, crash: Crash) {
        let since = crash.at.max(self.nodes[observer].available_since);
        let delay = self.now - since;
        let (here, there) = (
            self.network.locality(observer),
            self.network.locality(crash.place),
        );
        if here.region == there.region {
            self.outcome.failure_detection.record(delay);
        } else {
            self.outcome.failure_known_elsewhere.record(delay);
        }
        if here == there {
            self.outcome.failure_detection_in_zone.record(delay);
        }
    }

    /// Compares what nodes hold with what is so; a node that came back only just now has time left.
    fn check_end(&mut self) {
        let newest = self.objects.newest();
        let running: BTreeMap<InstanceId, bool> = self
            .nodes
            .iter()
            .filter(|node| node.acts())
            .map(|node| (node.instance(), self.is_settled(node)))
            .collect();
        let mut behind = 0;
        let mut wrong = 0;
        for node in self.nodes.iter().filter(|node| self.is_settled(node)) {
            behind += u64::from(node.in_force != newest);
            let alive: BTreeSet<InstanceId> = node
                .membership
                .others_alive(self.now)
                .map(|member| member.instance)
                .collect();
            let gone = alive.iter().filter(|one| !running.contains_key(one));
            let missing = running.iter().filter(|(instance, settled)| {
                **settled && **instance != node.instance() && !alive.contains(instance)
            });
            wrong += (gone.count() + missing.count()) as u64;
        }
        self.outcome.behind_at_end = behind;
        self.outcome.wrong_members_at_end = wrong;
    }

    fn is_settled(&self, node: &HollowNode) -> bool {
        node.acts() && self.now >= node.available_since + AGREEMENT_TIME
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
