//! Upkeep of the replica on this node: registration, founding, placement, retirements, forgetting
//! old jobs.

use super::Journal;
use super::group_manager::{GroupAction, GroupInput, GroupManager};
use super::registry::NodeRecord;
use super::retirement::Retirements;
use crate::list_watch::ObjectUpdate;
use firshore_adapter::Adapter;
use firshore_jobs::command::Action;
use firshore_log::GroupStatus;
use firshore_log::placement;
use firshore_replication::types::MembershipChange;
use firshore_types::ids::NodeName;
use slog::{info, warn};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time between looks.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time that a job with nothing left to run is kept after its submission.
const RETENTION: Duration = Duration::from_secs(900);

/// Time between commands that forget old jobs.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// What upkeep needs beside the journal.
pub struct MaintenanceTask {
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
    /// Decides on the replicas of the group.
    pub manager: RefCell<GroupManager>,
}

/// Runs until the node ends.
pub async fn run(upkeep: MaintenanceTask) {
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

impl MaintenanceTask {
    async fn look(&self) {
        let registry = &self.journal.registry;
        let status = self.journal.replica.status();
        self.manager.borrow_mut().observe(Instant::now(), &status);
        if self.misses_nodes(&status) || registry.is_unsettled() {
            registry.refresh().await;
        }
        if !registry.is_listed() {
            return;
        }
        registry.register(&self.node, &self.record).await;
        if !status.holds_log {
            self.found().await;
        }
        self.keep_group(&status).await;
        if status.leads {
            self.report().await;
        }
    }

    /// Tells how far the emptying of nodes is. A quorum has to confirm first that this node leads: one that
    /// stood still and was deposed would report a node as empty that the group rests on by now.
    async fn report(&self) {
        if !self.retirements.wants_report() || self.journal.replica.read().await.is_err() {
            return;
        }
        let status = self.journal.replica.status();
        let is_drained = |node: &NodeName| {
            let emptied =
                |keeper: &mut GroupManager, view: &GroupInput| keeper.is_drained(view, node);
            status.leads && self.with_view(&status, true, emptied)
        };
        let log = &self.journal.log;
        self.retirements
            .report(&self.adapter, log, is_drained)
            .await;
    }

    /// Does what the group's replicas need next.
    async fn keep_group(&self, status: &GroupStatus) {
        // Only the leader follows the wishes to empty nodes.
        let followed = status.leads;
        let mut step = self.step(status, followed);
        if step == GroupAction::ListLeaving {
            if !self.list_leaving().await {
                return;
            }
            step = self.step(status, true);
        }
        let replica = &self.journal.replica;
        match step {
            GroupAction::Idle | GroupAction::ListLeaving => {}
            GroupAction::StepAside(heir) => replica.hand_over(heir).await,
            GroupAction::Record(record) => self.journal.registry.record_voters(&record).await,
            GroupAction::Change(change) => replica.change(change),
            GroupAction::PassOver(disk, pause) => {
                info!(self.journal.log, "journal: Disk passed over."; "disk" => %disk,
                    "pause_ms" => pause.as_millis() as u64);
                replica.change(MembershipChange::Remove(disk));
            }
            GroupAction::ContinueWith(survivors) => replica.continue_with(survivors),
            GroupAction::JoinHistory(history) => {
                warn!(self.journal.log, "journal: Joins a later history."; "history" => history,
                    "former" => status.history, "led" => status.leads);
                replica.join_history(history);
            }
        }
    }

    fn step(&self, status: &GroupStatus, knows_leaving: bool) -> GroupAction {
        let now = Instant::now();
        self.with_view(status, knows_leaving, |keeper, view| keeper.step(now, view))
    }

    /// Gives the keeper what is known now.
    fn with_view<T>(
        &self,
        status: &GroupStatus,
        knows_leaving: bool,
        decide: impl FnOnce(&mut GroupManager, &GroupInput) -> T,
    ) -> T {
        let registry = &self.journal.registry;
        let candidates = registry.candidates();
        let leaving = self.retirements.leaving().filter(|_| knows_leaving);
        let recorded = registry.recorded_voters();
        let view = GroupInput {
            node: &self.node,
            status,
            candidates: &candidates,
            leaving: leaving.as_ref(),
            recorded: recorded.as_ref(),
            write_unconfirmed: registry.is_doubtful(),
            listed_at: registry.last_listing(),
        };
        decide(&mut self.manager.borrow_mut(), &view)
    }

    /// Lists the wishes to empty nodes. Returns whether they are known now.
    async fn list_leaving(&self) -> bool {
        let kind = self.adapter.decoder.retirement_kind();
        match self.adapter.objects.list(kind, None).await {
            Ok(page) => {
                let listed = ObjectUpdate::All(page.objects);
                self.retirements
                    .apply(&self.adapter, &self.journal.log, listed);
                true
            }
            Err(error) => {
                warn!(self.journal.log, "retirement: Not listed."; "reason" => %error);
                false
            }
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

    /// Takes part in the founding: the first of enough nodes names the founders.
    async fn found(&self) {
        let registry = &self.journal.registry;
        if let Some(founders) = registry.founding() {
            return self.journal.replica.found(founders);
        }
        let candidates = registry.candidates();
        let enough = candidates.len() >= self.journal.policy.target_voters;
        let first = candidates
            .iter()
            .min_by(|one, other| one.node.cmp(&other.node));
        let Some(own) = first.filter(|one| enough && one.node == self.node) else {
            return;
        };
        let founders = placement::founders(&candidates, own, self.journal.policy.target_voters);
        info!(self.journal.log, "journal: Naming founders."; "count" => founders.replicas.len());
        registry.found(&founders).await;
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
