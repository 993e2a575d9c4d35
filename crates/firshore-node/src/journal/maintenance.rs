//! Maintenance of the replica on this node: registration, founding, placement, retirement of nodes,
//! removal of old jobs.

use super::Journal;
use super::group_manager::{GroupAction, GroupInput, GroupManager};
use super::registry::NodeRecord;
use super::retirement::Retirements;
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

/// Interval between two runs.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time after its submission for which a job with nothing left to run is kept.
const RETENTION: Duration = Duration::from_secs(900);

/// Interval between commands that remove old jobs.
const FORGET_INTERVAL: Duration = Duration::from_secs(60);

/// Dependencies of the maintenance.
pub struct MaintenanceTask {
    /// The journal with the replica.
    pub journal: Rc<Journal>,
    /// Adapter to the environment, for retirement objects.
    pub adapter: Adapter,
    /// This node.
    pub node: NodeName,
    /// What this node registers in the store.
    pub record: NodeRecord,
    /// Nodes to drain.
    pub retirements: Rc<Retirements>,
    /// Decides on the replicas of the group.
    pub manager: RefCell<GroupManager>,
}

/// Runs the maintenance until the node ends.
pub async fn run(task: MaintenanceTask) {
    let mut forget_at = Instant::now() + FORGET_INTERVAL;
    loop {
        task.run_once().await;
        if Instant::now() >= forget_at {
            forget_at = Instant::now() + FORGET_INTERVAL;
            task.forget().await;
        }
        actix_rt::time::sleep(INTERVAL).await;
    }
}

impl MaintenanceTask {
    async fn run_once(&self) {
        let registry = &self.journal.registry;
        let status = self.journal.replica.status();
        self.manager.borrow_mut().observe(Instant::now(), &status);
        if self.needs_listing(&status) || registry.has_pending_write() {
            registry.refresh().await;
        }
        if !registry.is_listed() {
            return;
        }
        registry.register(&self.node, &self.record).await;
        if !status.holds_log {
            self.found_group().await;
        }
        self.maintain_group(&status).await;
        if status.leads {
            self.report().await;
        }
    }

    /// Reports the progress of draining nodes. First a quorum has to confirm that this node leads:
    /// a leader that was suspended and deposed could report a node as drained that the group needs
    /// again.
    async fn report(&self) {
        if !self.retirements.has_unreported() || self.journal.replica.read().await.is_err() {
            return;
        }
        let status = self.journal.replica.status();
        let is_drained = |node: &NodeName| {
            let now = Instant::now();
            let emptied = |manager: &mut GroupManager, input: &GroupInput| {
                manager.is_drained(now, input, node)
            };
            status.leads && self.with_input(&status, true, emptied)
        };
        let log = &self.journal.log;
        self.retirements
            .report(&self.adapter, log, is_drained)
            .await;
    }

    /// Performs the next step for the group's replicas.
    async fn maintain_group(&self, status: &GroupStatus) {
        // Only the leader watches the nodes to drain.
        let followed = status.leads;
        let mut step = self.step(status, followed);
        if step == GroupAction::ListLeaving {
            let log = &self.journal.log;
            if !self.retirements.list(&self.adapter, log).await {
                return;
            }
            step = self.step(status, true);
        }
        let replica = &self.journal.replica;
        match step {
            GroupAction::Idle | GroupAction::ListLeaving => {}
            GroupAction::StepAside(heir) => replica.transfer_leadership(heir).await,
            GroupAction::Record(record) => self.journal.registry.record_voters(&record).await,
            GroupAction::Change(change) => replica.change(change),
            GroupAction::PassOver(disk, backoff) => {
                info!(self.journal.log, "journal: Disk excluded."; "disk" => %disk,
                    "pause_ms" => backoff.as_millis() as u64);
                replica.change(MembershipChange::Remove(disk));
            }
            GroupAction::ContinueWith(survivors) => replica.continue_with(survivors),
            GroupAction::JoinHistory(history) => {
                warn!(self.journal.log, "journal: Joining a later history."; "history" => history,
                    "former" => status.history, "led" => status.leads);
                replica.join_history(history);
            }
            GroupAction::AdoptTerm(term) => {
                warn!(self.journal.log, "journal: Stepping down, the voters were recorded in a later term.";
                    "term" => status.term, "recorded" => term);
                replica.adopt_term(term);
            }
        }
    }

    fn step(&self, status: &GroupStatus, leaving_known: bool) -> GroupAction {
        let now = Instant::now();
        self.with_input(status, leaving_known, |manager, input| {
            manager.step(now, input)
        })
    }

    /// Passes the current state to the manager.
    fn with_input<T>(
        &self,
        status: &GroupStatus,
        leaving_known: bool,
        decide: impl FnOnce(&mut GroupManager, &GroupInput) -> T,
    ) -> T {
        let registry = &self.journal.registry;
        let candidates = registry.candidates();
        let leaving = self.retirements.leaving().filter(|_| leaving_known);
        let recorded = registry.recorded_voters();
        let input = GroupInput {
            node: &self.node,
            status,
            candidates: &candidates,
            leaving: leaving.as_ref(),
            recorded: recorded.as_ref(),
            write_unconfirmed: registry.has_unconfirmed_write(),
            listed_at: registry.last_listing(),
        };
        decide(&mut self.manager.borrow_mut(), &input)
    }

    /// Returns whether the nodes have to be listed again: this node's record is missing or differs,
    /// or a replica knows no leader, which may be on another node or have moved. A node without a
    /// replica is contacted by the leader and needs no listing once founders are named.
    fn needs_listing(&self, status: &GroupStatus) -> bool {
        let registry = &self.journal.registry;
        if status.leads {
            return false;
        }
        if !registry.is_registered(&self.node, &self.record) {
            return true;
        }
        let has_replica = status.holds_log || registry.founding().is_none();
        has_replica && status.leader.is_none()
    }

    /// Takes part in the founding: once there are enough nodes, the first one names the founders.
    async fn found_group(&self) {
        let registry = &self.journal.registry;
        if let Some(founders) = registry.founding() {
            return self.journal.replica.set_founding(founders);
        }
        let candidates = registry.candidates();
        let enough = candidates.len() >= self.journal.policy.target_voters;
        let first = candidates
            .iter()
            .min_by(|one, other| one.node.cmp(&other.node));
        let Some(local) = first.filter(|one| enough && one.node == self.node) else {
            return;
        };
        let policy = &self.journal.policy;
        let (voters, disks) = (policy.target_voters, policy.min_disks);
        let founders = placement::founding_membership(&candidates, local, voters, disks);
        info!(self.journal.log, "journal: Naming founders."; "count" => founders.replicas.len());
        registry.name_founders(&founders).await;
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
