//! What happens to the processes: starts, crashes, planned restarts and pauses.

use super::events::{Event, Target};
use super::fleet::{Crash, Simulation};
use super::node::{HollowNode, ProcessState};
use firshore_config::dissemination::TICK_MILLISECONDS as CONFIGURATION_TICK;
use firshore_membership::membership;
use firshore_membership::timing::TICK_MILLISECONDS as MEMBERSHIP_TICK;
use rand::RngExt;

/// Time from being told to stop to the end of the process.
const STOP_TIME: u64 = 2_000;

/// Share of nodes that may be down or paused at once, as a divisor.
const MOST_AWAY: usize = 5;

impl Simulation {
    pub(crate) fn any_running(&mut self) -> Option<usize> {
        let running: Vec<usize> = (0..self.nodes.len())
            .filter(|place| self.nodes[*place].process == ProcessState::Running)
            .collect();
        if running.is_empty() {
            return None;
        }
        Some(running[self.random.random_range(0..running.len())])
    }

    /// A node to which something may be done, unless too many are away already.
    pub(crate) fn victim(&mut self) -> Option<usize> {
        let running = |node: &&HollowNode| node.process == ProcessState::Running;
        let away = self.nodes.len() - self.nodes.iter().filter(running).count();
        if away > self.nodes.len() / MOST_AWAY {
            return None;
        }
        self.any_running()
    }

    pub(crate) fn crash(&mut self) {
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

    pub(crate) fn stop_process(&mut self, place: usize) {
        let node = &mut self.nodes[place];
        node.process = ProcessState::Down;
        node.watch = None;
        node.kept.clear();
    }

    pub(crate) fn planned_restart(&mut self) {
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

    pub(crate) fn stopped(&mut self, target: Target) {
        self.stop_process(target.place);
        let started = self.now + self.random.random_range(3_000..15_000);
        self.events.add(started, Event::Start(target.place));
    }

    pub(crate) fn start(&mut self, place: usize) {
        let target = Target {
            place,
            generation: self.nodes[place].target.generation + 1,
        };
        let locality = self.network.locality(place);
        let node = HollowNode::start(self.now, target, locality, &self.seeds, &mut self.random);
        self.nodes[place] = node;
        self.schedule_ticks(target);
    }

    pub(crate) fn schedule_ticks(&mut self, target: Target) {
        let phase = self.random.random_range(0..MEMBERSHIP_TICK);
        let tick = Event::MembershipTick(target);
        self.events.add(self.now + phase, tick);
        let phase = self.random.random_range(0..CONFIGURATION_TICK);
        let tick = Event::ConfigurationTick(target);
        self.events.add(self.now + phase, tick);
    }

    pub(crate) fn pause(&mut self) {
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

    pub(crate) fn resume(&mut self, target: Target) {
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
}
