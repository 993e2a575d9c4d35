//! What is made of the opinions of the nodes about one another.

use super::fleet::{Crash, Simulation};
use super::node::HollowNode;
use firshore_membership::member::MemberState;
use firshore_membership::membership::MemberChange;
use firshore_types::ids::InstanceId;
use std::collections::{BTreeMap, BTreeSet};

/// Time after a pause in which a failure declared of the paused node is a late one, not a false
/// one.
const PAUSE_AFTERMATH: u64 = 15_000;

/// Time after its return in which a node and the others need not agree yet.
const AGREEMENT_TIME: u64 = 15_000;

impl Simulation {
    pub(crate) fn member_changed(&mut self, observer: usize, change: &MemberChange) {
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

    pub(crate) fn detected(&mut self, observer: usize, crash: Crash) {
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
    pub(crate) fn check_end(&mut self) {
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

    pub(crate) fn is_settled(&self, node: &HollowNode) -> bool {
        node.acts() && self.now >= node.available_since + AGREEMENT_TIME
    }
}
