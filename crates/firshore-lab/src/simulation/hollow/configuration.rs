//! Dissemination of the configuration between hollow nodes and the simulated object API.

use super::events::{Event, Target};
use super::fleet::{LENGTH_BYTES, Simulation};
use super::network::{Datagram, FrameKind, place};
use super::node::{ProcessState, Watch};
use firshore_config::dissemination::{self, TICK_MILLISECONDS as CONFIGURATION_TICK};
use firshore_config::history::Record;
use firshore_config::message::Message as ConfigurationMessage;
use firshore_protocol::frame;
use firshore_protocol::message::{Request, RequestFrame, Response, ResponseFrame};
use firshore_types::ids::{InstanceId, Revision};
use rand::RngExt;

/// Time after which the object API, when down, is given up.
const OBJECT_TIMEOUT: u64 = 1_000;

/// Time after which a watch ends without news.
const WATCH_TIME: u64 = 2_000;

impl Simulation {
    pub(crate) fn configuration_tick(&mut self, target: Target) {
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

    pub(crate) fn answer_configuration(
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

    pub(crate) fn receive_response(&mut self, datagram: &Datagram) {
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

    pub(crate) fn step_configuration(&mut self, place: usize, input: dissemination::Input) {
        let outputs = self.nodes[place].dissemination.step(self.now, input);
        for output in outputs {
            self.perform(place, output);
        }
    }

    pub(crate) fn perform(&mut self, from: usize, output: dissemination::Output) {
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

    pub(crate) fn send_configuration(
        &mut self,
        from: usize,
        to: InstanceId,
        message: ConfigurationMessage,
    ) {
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

    pub(crate) fn in_force(&mut self, place: usize, revision: Revision) {
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

    pub(crate) fn watch(&mut self, place: usize, after: Revision) {
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

    pub(crate) fn answer_watch(&mut self, place: usize) {
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

    pub(crate) fn end_watch(&mut self, target: Target, since: u64) {
        let node = &self.nodes[target.place];
        let same = node.watch.is_some_and(|watch| watch.since == since);
        if node.target == target && same {
            self.answer_watch(target.place);
        }
    }

    pub(crate) fn objects_answer(&mut self, target: Target, answer: Option<Vec<Record>>) {
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

    pub(crate) fn object_outage(&mut self, down: bool) {
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

    pub(crate) fn change(&mut self) {
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
    pub(crate) fn written(&mut self, target: Target, record: &Record) {
        if !self.running(target) {
            return;
        }
        let held = Revision(self.nodes[target.place].in_force);
        let mut records = self.objects.after(held);
        records.retain(|other| other.revision <= record.revision);
        self.step_configuration(target.place, dissemination::Input::Written(records));
    }
}
