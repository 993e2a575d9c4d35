//! Upkeep of the replica on this node: registration, founding, placement, retirements, forgetting
//! old jobs.

use super::passed_over::PassedOver;
use super::registry::{NodeRecord, VoterRecord};
use super::retirement::Retirements;
use super::{Journal, SILENCE_SHARE};
use crate::observation::Learned;
use firshore_adapter::Adapter;
use firshore_jobs::command::Action;
use firshore_log::GroupStatus;
use firshore_log::placement::{self, Candidate, GroupView};
use firshore_replication::types::{DiskId, Membership, MembershipChange};
use firshore_types::ids::NodeName;
use slog::info;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between looks.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time that a job with nothing left to run is kept after its submission.
const RETENTION: Duration = Duration::from_secs(900);

/// Time between commands that forget old jobs.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Part of the time in which a new disk has to hold everything after which one of a pair goes on
/// without the other although no other disk could take its place: cuts mostly end sooner, and a
/// lone replica may promise nothing, but lets what is listed be read.
const LONE_SHARE: f64 = 1.0;

/// What upkeep needs beside the journal.
pub struct Upkeep {
    /// The journal.
    pub journal: Rc<Journal>,
    /// The environment.
    pub adapter: Adapter,
    /// This node.
    pub node: NodeName,
    /// What this node registers.
    pub record: NodeRecord,
    /// Nodes that are to be emptied.
    pub retirements: Rc<Retirements>,
    /// Time in which a new disk has to hold everything.
    pub catch_up: Duration,
    /// Disks that were taken in and stayed silent.
    pub passed_over: RefCell<PassedOver>,
    /// Since when no leader is known.
    pub leaderless_since: Cell<Option<Instant>>,
}

fn voters_of(membership: &Membership) -> BTreeSet<DiskId> {
    membership.voters().collect()
}

/// The voters once a change is in force.
fn voters_after(membership: &Membership, change: &MembershipChange) -> BTreeSet<DiskId> {
    let mut voters = voters_of(membership);
    match change {
        MembershipChange::AddLearner(..) => {}
        MembershipChange::Promote(disk) => {
            voters.insert(*disk);
        }
        MembershipChange::Remove(disk) => {
            voters.remove(disk);
        }
    }
    voters
}

/// Runs until the node ends.
pub async fn run(upkeep: Upkeep) {
    let mut forget_at = Instant::now() + FORGET_INTERVAL;
    loop {
        upkeep.look().await;
        if Instant::now() >= forget_at {
            forget_at = Instant::now() + FORGET_INTERVAL;
            upkeep.forget().await;
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

impl Upkeep {
    async fn look(&self) {
        let registry = &self.journal.registry;
        let status = self.journal.replica.status();
        self.note_leader(status.leader.is_some());
        if self.misses_nodes(&status) || registry.is_unsettled() {
            registry.refresh().await;
        }
        if !registry.is_listed() {
            return;
        }
        registry.register(&self.node, &self.record).await;
        if !status.holds_log {
            self.found().await;
        } else if status.leader.is_none() && !status.leads {
            self.go_on_alone(&status).await;
        } else if status.leads {
            self.place(&status).await;
            self.retirements
                .report(&self.adapter, &status, &self.journal.log)
                .await;
        }
    }

    /// Whether the nodes are to be listed anew: this one is not listed as it is, or a replica knows no
    /// leader, which may be at another address or on another node. A node without a replica is found by
    /// the leader, and has nothing to look for once founders are named.
    fn misses_nodes(&self, status: &GroupStatus) -> bool {
        let registry = &self.journal.registry;
        if status.leads {
            return false;
        }
        if !registry.is_registered(&self.node, &self.record) {
            return true;
        }
        let holds_part = status.holds_log || registry.founding().is_none();
        holds_part && status.leader.is_none()
    }

    fn note_leader(&self, known: bool) {
        let since = match known {
            true => None,
            false => self.leaderless_since.get().or_else(|| Some(Instant::now())),
        };
        self.leaderless_since.set(since);
    }

    /// Takes part in the founding: the first of enough nodes names the founders.
    async fn found(&self) {
        let registry = &self.journal.registry;
        if let Some(founders) = registry.founding() {
            return self.journal.replica.found(founders);
        }
        let candidates = registry.candidates();
        let enough = candidates.len() >= self.journal.target;
        let first = candidates
            .iter()
            .min_by(|one, other| one.node.cmp(&other.node));
        let Some(own) = first.filter(|one| enough && one.node == self.node) else {
            return;
        };
        let founders = placement::founders(&candidates, own, self.journal.target);
        info!(self.journal.log, "journal: Naming founders."; "count" => founders.replicas.len());
        registry.found(&founders).await;
    }

    /// Keeps as many replicas as are to be, on disks that are there.
    async fn place(&self, status: &Arc<GroupStatus>) {
        let registry = &self.journal.registry;
        let candidates = registry.candidates();
        let leaving = self.retirements.open();
        if leaving.contains(&self.node) {
            // The next leader takes this replica out of the group.
            return self.journal.replica.step_aside().await;
        }
        let now = Instant::now();
        let usable = self.usable(now, status, &candidates, &leaving);
        if !status.membership_committed {
            // Nothing is recorded that might never enter the log.
            return;
        }
        let view = GroupView {
            target: self.journal.target,
            least: self.journal.least,
            own: status.disk,
            membership: status.membership.clone(),
            silent: self.unusable(status, &candidates, &leaving),
            caught_up: status.caught_up.clone(),
        };
        let change = view
            .next_change(&usable)
            .or_else(|| self.without_replacement(status, &view, &leaving));
        let present = voters_of(&status.membership);
        let Some(change) = change else {
            return self.settle(present).await;
        };
        let voters = voters_after(&status.membership, &change);
        if voters != present && !self.is_recorded(&voters, false) {
            let record = VoterRecord {
                voters,
                settled: false,
            };
            return registry.record_voters(&record).await;
        }
        if let MembershipChange::Remove(disk) = &change
            && !present.contains(disk)
        {
            // A learner that never answered: its node is registered, but gone.
            let pause = self.passed_over.borrow_mut().stayed_silent(now, *disk);
            info!(self.journal.log, "journal: Disk passed over."; "disk" => %disk,
                "pause_ms" => pause.as_millis() as u64);
        }
        self.journal.replica.change(change);
    }

    /// Disks on nodes that are to stay, but for those that stayed silent a moment ago.
    fn usable(
        &self,
        now: Instant,
        status: &GroupStatus,
        candidates: &[Candidate],
        leaving: &BTreeSet<NodeName>,
    ) -> Vec<Candidate> {
        let mut passed_over = self.passed_over.borrow_mut();
        passed_over.forget(|disk| status.membership.is_voter(disk));
        let usable = candidates
            .iter()
            .filter(|candidate| !leaving.contains(&candidate.node))
            .filter(|candidate| !passed_over.holds(now, candidate.disk));
        usable.cloned().collect()
    }

    fn is_recorded(&self, voters: &BTreeSet<DiskId>, settled: bool) -> bool {
        let recorded = self.journal.registry.recorded_voters();
        recorded.is_some_and(|record| record.voters == *voters && record.settled == settled)
    }

    /// Records that the change to these voters is committed.
    async fn settle(&self, voters: BTreeSet<DiskId>) {
        let registry = &self.journal.registry;
        if registry.recorded_voters().is_none() || self.is_recorded(&voters, true) {
            return;
        }
        let record = VoterRecord {
            voters,
            settled: true,
        };
        registry.record_voters(&record).await;
    }

    /// Goes on without the only other voter, once that has another disk or has been gone for a
    /// while. Every committed entry needed both, the settled record shows that there was no third,
    /// and of two that try only one can record itself.
    async fn go_on_alone(&self, status: &GroupStatus) {
        let pair = voters_of(&status.membership);
        if pair.len() != 2 || !pair.contains(&status.disk) || !self.is_fellow_gone(status) {
            return;
        }
        if !self.is_leaderless_for(LONE_SHARE) && !self.has_replacement(&pair).await {
            return;
        }
        let alone = BTreeSet::from([status.disk]);
        if self.is_recorded(&alone, false) {
            return self.journal.replica.continue_alone();
        }
        if self.is_recorded(&pair, true) {
            let record = VoterRecord {
                voters: alone,
                settled: false,
            };
            self.journal.registry.record_voters(&record).await;
        }
    }

    /// Whether no leader was known for this part of the time in which a disk has to catch up.
    fn is_leaderless_for(&self, share: f64) -> bool {
        let since = self.leaderless_since.get();
        since.is_some_and(|since| since.elapsed() >= self.catch_up.mul_f64(share))
    }

    /// Whether a disk beyond these, on a node that is to stay, could hold a replica.
    async fn has_replacement(&self, pair: &BTreeSet<DiskId>) -> bool {
        let kind = self.adapter.decoder.retirement_kind();
        match self.adapter.objects.list(kind, None).await {
            // Only the leader follows these, and there is none.
            Ok(page) => {
                let listed = Learned::All(page.objects);
                self.retirements
                    .learn(&self.adapter, &self.journal.log, listed);
            }
            Err(_) => return false,
        }
        let leaving = self.retirements.open();
        let candidates = self.journal.registry.candidates();
        let mut staying = candidates
            .iter()
            .filter(|candidate| !leaving.contains(&candidate.node));
        staying.any(|candidate| !pair.contains(&candidate.disk))
    }

    /// Whether the other voter of a pair has lost its disk, or there was no leader for long.
    fn is_fellow_gone(&self, status: &GroupStatus) -> bool {
        if self.is_leaderless_for(SILENCE_SHARE) {
            return true;
        }
        let candidates = self.journal.registry.candidates();
        let mut others = status.membership.replicas.iter();
        others.any(|(disk, replica)| {
            let present = candidates.iter().find(|one| one.node == replica.node);
            *disk != status.disk && present.is_some_and(|one| one.disk != *disk)
        })
    }

    /// Replicas that are to be replaced: silent ones, those whose node has another disk by now,
    /// and those on nodes that are to be emptied.
    fn unusable(
        &self,
        status: &GroupStatus,
        candidates: &[Candidate],
        leaving: &BTreeSet<NodeName>,
    ) -> BTreeSet<DiskId> {
        let mut unusable = status.silent.clone();
        for (disk, replica) in &status.membership.replicas {
            let present = candidates.iter().find(|one| one.node == replica.node);
            let superseded = present.is_some_and(|one| one.disk != *disk);
            if superseded || leaving.contains(&replica.node) {
                unusable.insert(*disk);
            }
        }
        unusable
    }

    /// A node that is to be emptied goes even if no disk can take its place, as long as the others
    /// hold everything.
    fn without_replacement(
        &self,
        status: &GroupStatus,
        view: &GroupView,
        leaving: &BTreeSet<NodeName>,
    ) -> Option<MembershipChange> {
        if view.has_learner() {
            return None;
        }
        let mut voters = status.membership.replicas.iter();
        let (disk, _) = voters.find(|(_, replica)| leaving.contains(&replica.node))?;
        let others = status.membership.voters().filter(|other| other != disk);
        let held = others
            .filter(|other| *other == status.disk || status.caught_up.contains(other))
            .count();
        if *disk == status.disk || held + 1 < status.membership.voters().count() {
            return None;
        }
        Some(MembershipChange::Remove(*disk))
    }

    async fn forget(&self) {
        if !self.journal.replica.status().leads {
            return;
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let before = now.unwrap_or_default().saturating_sub(RETENTION);
        let forget = Action::Forget {
            before: before.as_millis() as u64,
        };
        let _ = self.journal.replica.propose(forget.into()).await;
    }
}
