//! Distributes the platform's machine list: one node reads it, the others receive its changes from
//! peers.
//!
//! The platform assigns no versions and may return stale lists, so two readers may see different
//! lists. The reader assigns a version to each change; if two nodes read at once, the later version
//! wins, and the next read corrects errors. A machine that disappears from the list without leaving
//! first is kept for [`REMOVAL_HOLD_MILLISECONDS`].

use crate::readers::Peer;
use crate::selection::{Distance, Selection};
use firshore_types::hash::rendezvous_top;
use firshore_types::ids::{InstanceId, MachineName};
use firshore_types::machine::{Machine, MachineState};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Milliseconds between two [`Input::Tick`]s, and between two reads by the reader.
pub const TICK_MILLISECONDS: u64 = 1_000;

/// Milliseconds without a read by any node after which the next node in order reads too.
pub const TAKE_OVER_MILLISECONDS: u64 = 5_000;

/// Maximum number of nodes that read while no read succeeds.
pub const MAX_READERS: usize = 4;

/// Milliseconds for which a machine is kept that was removed from the list without leaving first.
pub const REMOVAL_HOLD_MILLISECONDS: u64 = 30_000;

/// Changes kept for lagging peers; peers further behind pull the whole list.
const CHANGES_KEPT: usize = 256;

/// Peers in the local zone to which a node forwards a change.
const ZONE_FANOUT: usize = 2;

/// Minimum milliseconds between two whole lists sent by one node.
const LIST_INTERVAL_MILLISECONDS: u64 = 250;

/// Mean number of ticks between advertisements to another region.
const REMOTE_TICKS: u32 = 16;

/// Version of the list, ordered by read time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ListVersion {
    /// Unix milliseconds on the reader's clock, raised where needed to exceed the version before.
    pub read_at: u64,
    /// Reader; 0 before the first.
    pub reader: u64,
}

/// Version of a node's list and time of its last check.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListAdvertisement {
    /// Version of the list.
    pub version: ListVersion,
    /// Last read by any node, in Unix milliseconds on that reader's clock.
    pub checked_at: u64,
}

/// Difference between two versions of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// Version it follows.
    pub from: ListVersion,
    /// Version it leads to.
    pub to: ListVersion,
    /// Machines added or changed.
    pub upserts: Vec<Machine>,
    /// Machines removed.
    pub removals: Vec<MachineName>,
}

/// A message between two nodes; the next advertisement compensates for a lost one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MachineListMessage {
    /// Version of the sender's list.
    Advertisement(ListAdvertisement),
    /// Changes, each following the one before.
    Changes(Vec<ListChange>),
    /// Requests the changes after the sender's version.
    Pull(ListVersion),
    /// The whole list.
    List {
        /// Version.
        version: ListVersion,
        /// Machines.
        machines: Vec<Machine>,
    },
}

/// Event that advances the state machine.
#[derive(Clone, Debug)]
pub enum Input {
    /// [`TICK_MILLISECONDS`] have passed.
    Tick,
    /// The nodes that are alive, this one included or not.
    Members(Vec<Peer>),
    /// A peer sent a message.
    FromPeer {
        /// Sender.
        from: InstanceId,
        /// Content.
        message: MachineListMessage,
    },
    /// Result of reading the platform's list.
    Read {
        /// Unix milliseconds on the local clock.
        read_at: u64,
        /// Machines.
        machines: Vec<Machine>,
    },
}

/// Action that the caller must perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer; delivery need not be reliable.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Content.
        message: MachineListMessage,
    },
    /// Read the platform's list and report it by [`Input::Read`], if it can be read.
    ReadList,
    /// The machines to use have changed.
    Changed(Arc<Vec<Machine>>),
}

/// The machine list as one node holds it.
#[derive(Debug)]
pub struct MachineList {
    selection: Selection,
    /// Position in the order of readers; `None` for nodes that may not read.
    rank: Option<usize>,
    current: ListAdvertisement,
    /// Local time of the latest read, or of the report that it took place, in milliseconds.
    checked_locally_at: u64,
    machines: BTreeMap<MachineName, Machine>,
    /// Machines removed from the list that are still used, with the local time of their removal.
    kept: BTreeMap<MachineName, (u64, Machine)>,
    changes: VecDeque<ListChange>,
    list_not_before: u64,
}

impl MachineList {
    /// Creates an empty list; `seed` initializes the random choice of peers.
    pub fn new(local: Peer, seed: u64) -> Self {
        Self {
            selection: Selection::new(local, seed),
            rank: None,
            current: ListAdvertisement::default(),
            checked_locally_at: 0,
            machines: BTreeMap::new(),
            kept: BTreeMap::new(),
            changes: VecDeque::new(),
            list_not_before: 0,
        }
    }

    /// Returns the version and check time to advertise.
    pub fn advertisement(&self) -> ListAdvertisement {
        self.current
    }

    /// Returns the machines to use: those on the list and those removed from it recently.
    pub fn machines(&self) -> Vec<Machine> {
        let kept = self.kept.values().map(|(_, machine)| machine);
        self.machines.values().chain(kept).cloned().collect()
    }

    /// Advances the node to `now` (milliseconds on any monotone clock).
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Members(peers) => self.set_members(peers),
            Input::FromPeer { from, message } => self.receive(now, from, message, &mut outputs),
            Input::Read { read_at, machines } => {
                self.record_read(now, read_at, machines, &mut outputs)
            }
        }
        outputs
    }

    fn set_members(&mut self, peers: Vec<Peer>) {
        self.selection.set_peers(peers);
        let alive = self.selection.members().map(|peer| peer.instance.0);
        let order = rendezvous_top("machine-list-readers", alive, MAX_READERS);
        let local = self.selection.local().instance.0;
        self.rank = order.iter().position(|reader| *reader == local);
    }

    /// Returns whether the node reads the platform's list at `now`: the first in order always, each
    /// following one after a further [`TAKE_OVER_MILLISECONDS`] without a read.
    pub fn is_reader(&self, now: u64) -> bool {
        let without_read = now.saturating_sub(self.checked_locally_at);
        self.rank
            .is_some_and(|rank| without_read >= rank as u64 * TAKE_OVER_MILLISECONDS)
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        if self.is_reader(now) {
            outputs.push(Output::ReadList);
        }
        let mut receivers = self.selection.choose(1, Distance::Zone);
        receivers.extend(self.selection.choose(1, Distance::Region));
        if self.rank == Some(0) {
            receivers.extend(self.selection.one_in_each_other_region());
        } else if receivers.is_empty() || self.selection.happens_once_in(REMOTE_TICKS) {
            receivers.extend(self.selection.choose(1, Distance::Remote));
        }
        self.send(
            &receivers,
            &MachineListMessage::Advertisement(self.current),
            outputs,
        );
        self.remove_expired(now, outputs);
    }

    fn remove_expired(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let before = self.kept.len();
        self.kept
            .retain(|_, (since, _)| now.saturating_sub(*since) < REMOVAL_HOLD_MILLISECONDS);
        if self.kept.len() < before {
            outputs.push(Output::Changed(Arc::new(self.machines())));
        }
    }

    fn send(
        &self,
        receivers: &[InstanceId],
        message: &MachineListMessage,
        outputs: &mut Vec<Output>,
    ) {
        for to in receivers {
            let (to, message) = (*to, message.clone());
            outputs.push(Output::Send { to, message });
        }
    }

    fn record_check(&mut self, now: u64, checked_at: u64) {
        if checked_at > self.current.checked_at {
            self.current.checked_at = checked_at;
            self.checked_locally_at = now;
        }
    }

    fn record_read(
        &mut self,
        now: u64,
        read_at: u64,
        machines: Vec<Machine>,
        outputs: &mut Vec<Output>,
    ) {
        self.record_check(now, read_at);
        // A read counts even if the reader's clock lags.
        self.checked_locally_at = now;
        let listed: BTreeMap<MachineName, Machine> = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        let first = self.current.version == ListVersion::default();
        if listed == self.machines && !first {
            return;
        }
        let upserts = listed
            .values()
            .filter(|machine| self.machines.get(&machine.name) != Some(machine));
        let removals = self
            .machines
            .keys()
            .filter(|name| !listed.contains_key(name));
        let to = ListVersion {
            read_at: read_at.max(self.current.version.read_at + 1),
            reader: self.selection.local().instance.0,
        };
        let change = ListChange {
            from: self.current.version,
            to,
            upserts: upserts.cloned().collect(),
            removals: removals.cloned().collect(),
        };
        self.apply(now, change.clone());
        let mut receivers = self.fanout();
        receivers.extend(self.selection.one_in_each_other_region());
        let message = MachineListMessage::Changes(vec![change]);
        self.send(&receivers, &message, outputs);
        outputs.push(Output::Changed(Arc::new(self.machines())));
    }

    fn fanout(&mut self) -> Vec<InstanceId> {
        let mut receivers = self.selection.choose(ZONE_FANOUT, Distance::Zone);
        let region_count = ZONE_FANOUT + 1 - receivers.len();
        receivers.extend(self.selection.choose(region_count, Distance::Region));
        receivers
    }

    fn apply(&mut self, now: u64, change: ListChange) {
        for name in &change.removals {
            if let Some(machine) = self.machines.remove(name) {
                self.keep(now, machine);
            }
        }
        for machine in &change.upserts {
            self.kept.remove(&machine.name);
            self.machines.insert(machine.name.clone(), machine.clone());
        }
        self.current.version = change.to;
        self.changes.push_back(change);
        if self.changes.len() > CHANGES_KEPT {
            self.changes.pop_front();
        }
    }

    fn keep(&mut self, now: u64, machine: Machine) {
        if machine.state == MachineState::Live {
            self.kept.insert(machine.name.clone(), (now, machine));
        }
    }

    fn receive(
        &mut self,
        now: u64,
        from: InstanceId,
        message: MachineListMessage,
        outputs: &mut Vec<Output>,
    ) {
        match message {
            MachineListMessage::Advertisement(theirs) => {
                self.record_check(now, theirs.checked_at);
                let answer = match theirs.version.cmp(&self.current.version) {
                    std::cmp::Ordering::Greater => MachineListMessage::Pull(self.current.version),
                    std::cmp::Ordering::Less => MachineListMessage::Advertisement(self.current),
                    std::cmp::Ordering::Equal => return,
                };
                self.send(&[from], &answer, outputs);
            }
            MachineListMessage::Changes(changes) => self.apply_changes(now, from, changes, outputs),
            MachineListMessage::Pull(version) => self.serve_pull(now, from, version, outputs),
            MachineListMessage::List { version, machines } => {
                self.adopt(now, from, version, machines, outputs);
            }
        }
    }

    fn apply_changes(
        &mut self,
        now: u64,
        from: InstanceId,
        changes: Vec<ListChange>,
        outputs: &mut Vec<Output>,
    ) {
        let before = self.current.version;
        for change in changes {
            if change.to <= self.current.version {
                continue;
            }
            if change.from != self.current.version {
                let pull = MachineListMessage::Pull(self.current.version);
                self.send(&[from], &pull, outputs);
                break;
            }
            self.apply(now, change);
        }
        if self.current.version > before {
            self.forward_changes(from, before, outputs);
        }
    }

    fn forward_changes(
        &mut self,
        from: InstanceId,
        before: ListVersion,
        outputs: &mut Vec<Output>,
    ) {
        let message = match self.changes_after(before) {
            Some(changes) => MachineListMessage::Changes(changes),
            None => MachineListMessage::Advertisement(self.current),
        };
        let mut receivers = self.fanout();
        receivers.retain(|to| *to != from);
        self.send(&receivers, &message, outputs);
        outputs.push(Output::Changed(Arc::new(self.machines())));
    }

    /// Returns the changes from `version` to the current version, if all are kept.
    fn changes_after(&self, version: ListVersion) -> Option<Vec<ListChange>> {
        let start = self
            .changes
            .iter()
            .position(|change| change.from == version)?;
        Some(self.changes.range(start..).cloned().collect())
    }

    fn serve_pull(
        &mut self,
        now: u64,
        to: InstanceId,
        version: ListVersion,
        outputs: &mut Vec<Output>,
    ) {
        if version >= self.current.version {
            return;
        }
        if let Some(changes) = self.changes_after(version) {
            self.send(&[to], &MachineListMessage::Changes(changes), outputs);
            return;
        }
        // Rate limit; a peer without a response pulls again after the next advertisement.
        if now < self.list_not_before {
            return;
        }
        self.list_not_before = now + LIST_INTERVAL_MILLISECONDS;
        let message = MachineListMessage::List {
            version: self.current.version,
            machines: self.machines.values().cloned().collect(),
        };
        self.send(&[to], &message, outputs);
    }

    fn adopt(
        &mut self,
        now: u64,
        from: InstanceId,
        version: ListVersion,
        machines: Vec<Machine>,
        outputs: &mut Vec<Output>,
    ) {
        if version <= self.current.version {
            return;
        }
        let before = self.current.version;
        let listed: BTreeMap<MachineName, Machine> = machines
            .into_iter()
            .map(|machine| (machine.name.clone(), machine))
            .collect();
        let old = std::mem::replace(&mut self.machines, listed);
        for (name, machine) in old {
            if !self.machines.contains_key(&name) {
                self.keep(now, machine);
            }
        }
        self.kept
            .retain(|name, _| !self.machines.contains_key(name));
        self.current.version = version;
        self.changes.clear();
        self.forward_changes(from, before, outputs);
    }
}
