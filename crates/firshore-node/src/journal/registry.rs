//! Nodes with disks and the founders of the journal, as objects in the store.
//!
//! Each node writes its own object. The journal's leader watches the objects; other nodes list them
//! when they need a record. The founding object is created once and never changed, so its creator
//! determines the founders.

use crate::list_watch::ObjectUpdate;
use crate::listing::list_all;
use crate::refusals::RefusalLog;
use firshore_adapter::decode::{brief, log_name};
use firshore_adapter::objects::{Change, Object, ObjectError, ObjectStore, Revision};
use firshore_log::placement::Candidate;
use firshore_replication::types::{DiskId, Membership, Term, quorum_size};
use firshore_types::ids::{NodeName, ZoneName};
use parking_lot::RwLock;
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::time::Instant;

/// Kind of this product's objects.
pub const KIND: &str = "firshore";

const NODE_PREFIX: &str = "node.";
const FOUNDING: &str = "group.0";
const VOTERS: &str = "voters.0";

/// Peer addresses of nodes, shared with the replica's thread.
pub type Addresses = Arc<RwLock<BTreeMap<NodeName, SocketAddr>>>;

/// Revision at which the store lists this node's current record, 0 until that was observed. Shared
/// with the replica's thread.
pub type LocalRevision = Arc<AtomicU64>;

/// Record of a node with a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Peer address.
    pub address: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Identity of its disk.
    pub disk: DiskId,
}

/// Maximum number of nodes in a listing that are logged each: every node lists all of them.
const MAX_LOGGED_NODES: usize = 16;

/// Minimum time between two listings.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Default)]
struct RegistryState {
    listed: bool,
    nodes: BTreeMap<NodeName, (Revision, NodeRecord)>,
    /// Nodes whose current record cannot be decoded, with its revision. They are reached at the
    /// address listed before.
    unreadable: BTreeMap<NodeName, Revision>,
    founding: Option<Membership>,
    voters: VotersState,
    /// Revision that an unconfirmed write of the voters was conditional on.
    unconfirmed_write: Option<Revision>,
    /// Revisions of the addresses that nodes have reported themselves.
    reported: BTreeMap<NodeName, Revision>,
}

/// The voters of the journal, written before any change of them enters the log.
///
/// Voters may continue without a quorum only if they intersect a quorum of each group that may be
/// in force. The record names these groups. As it is changed by compare-and-set, only one of two
/// sets of voters can continue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// The voters.
    pub voters: BTreeSet<DiskId>,
    /// Whether the change to these voters is known to be committed.
    pub settled: bool,
    /// Term of the leader that wrote it; of survivors of a lost quorum, the term after those that
    /// they know. A leader of an earlier term doesn't overwrite it. A leader writes the record again
    /// before it acts on it, so that an unconfirmed write of an earlier leader cannot take effect
    /// afterwards.
    #[serde(default)]
    pub term: Term,
    /// Voters that may be in force instead, while the record is not settled.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<BTreeSet<DiskId>>,
    /// Disks that were lost before the newest group that names them was formed, and so never held
    /// anything that it committed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub gone: BTreeSet<DiskId>,
    /// Sets of disks each of which holds all accepted jobs as long as no recorded group that may
    /// accept something has a quorum without one of them. A set may have some of the voters.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "left_behind")]
    pub left_behind: Vec<BTreeSet<DiskId>>,
    /// History of the log in which these are the voters. A disk that was left behind continues in
    /// the next one; a replica of an earlier history accepts nothing, as that needs this record.
    #[serde(default)]
    pub history: u64,
    /// Whether these voters begin that history, leaving the earlier one for good.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub begins: bool,
    /// Whether survivors of a lost quorum wrote it. They pass over groups before that accepted
    /// nothing, so the last of `before` need not have been in force.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub by_survivors: bool,
    /// Number of disks that each group that may be in force requires for committed entries, or
    /// less. Records of earlier versions don't have it: majorities commit.
    #[serde(default)]
    pub min_disks: usize,
}

/// Format of the sets of disks left behind: a single disk is written as such, as earlier versions do.
mod left_behind {
    use super::DiskId;
    use serde::{Deserialize, Deserializer, Serialize, Serializer};
    use std::collections::BTreeSet;

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Stored {
        One(DiskId),
        Several(Vec<BTreeSet<DiskId>>),
    }

    pub fn serialize<S: Serializer>(
        sets: &[BTreeSet<DiskId>],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let single = match sets {
            [set] if set.len() == 1 => set.first(),
            _ => None,
        };
        match single {
            Some(disk) => disk.serialize(serializer),
            None => sets.serialize(serializer),
        }
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<BTreeSet<DiskId>>, D::Error> {
        Ok(match Stored::deserialize(deserializer)? {
            Stored::One(disk) => vec![BTreeSet::from([disk])],
            Stored::Several(sets) => sets,
        })
    }
}

impl VoterRecord {
    /// Returns whether this disk, as one of the voters, is to begin the history.
    pub fn is_begun_by(&self, disk: DiskId) -> bool {
        self.begins && !self.settled && self.voters.contains(&disk)
    }

    /// Returns whether the record names the groups that may be in force. Records of earlier
    /// versions don't.
    pub fn names_groups(&self) -> bool {
        self.settled || self.term > 0
    }

    /// Returns the disks that never held anything these voters committed, because they were lost
    /// when this group was recorded and it is the newest one that names them.
    pub fn never_held(&self, voters: &BTreeSet<DiskId>) -> BTreeSet<DiskId> {
        let newest = match self.voters.is_disjoint(&self.gone) {
            true => self.before.first(),
            false => Some(&self.voters),
        };
        match newest == Some(voters) {
            true => self.gone.clone(),
            false => BTreeSet::new(),
        }
    }

    /// Returns the size of the smallest quorum with which these voters may have committed something.
    pub fn quorum_of(&self, voters: &BTreeSet<DiskId>) -> usize {
        quorum_size(voters.len(), self.min_disks)
    }

    /// Returns each set of voters that may be in force.
    pub fn possible_voters(&self) -> Vec<BTreeSet<DiskId>> {
        let mut possible = vec![self.voters.clone()];
        if !self.settled {
            possible.extend(self.before.iter().cloned());
        }
        possible
    }
}

/// State of the record of voters.
#[derive(Debug, Default)]
enum VotersState {
    /// No record was listed.
    #[default]
    Absent,
    /// The record at a revision.
    Recorded(Revision, VoterRecord),
    /// The record cannot be decoded. It may name any voters, so no decision may rest on an earlier
    /// one, and it must not be overwritten.
    Unreadable,
}

impl VotersState {
    /// Returns the revision of the record, if it could be decoded.
    fn revision(&self) -> Option<Revision> {
        match self {
            Self::Recorded(revision, _) => Some(*revision),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// View of the nodes, founders and voters in the store.
pub struct Registry {
    store: Rc<dyn ObjectStore>,
    log: Logger,
    state: RefCell<RegistryState>,
    addresses: Addresses,
    local_revision: LocalRevision,
    refreshed_at: Cell<Option<Instant>>,
    /// Before this, nothing is listed.
    deferred_until: Cell<Option<Instant>>,
    listed_at: Cell<Option<std::time::Instant>>,
    /// Whether something was written that no listing has shown yet.
    write_pending: Cell<bool>,
    refusals: RefCell<RefusalLog>,
}

impl Registry {
    /// Creates an empty view.
    pub fn new(store: Rc<dyn ObjectStore>, log: Logger) -> Self {
        Self {
            store,
            log,
            state: RefCell::default(),
            addresses: Addresses::default(),
            local_revision: LocalRevision::default(),
            refreshed_at: Cell::new(None),
            deferred_until: Cell::new(None),
            listed_at: Cell::new(None),
            write_pending: Cell::new(false),
            refusals: RefCell::default(),
        }
    }

    /// Lists nothing for a while. For a node that starts together with all others: a listing before the nodes with
    /// disks have registered shows some of them, from which each node would rank other relays.
    pub fn defer_listing(&self, delay: Duration) {
        self.deferred_until.set(Some(Instant::now() + delay));
    }

    /// Returns whether listings are deferred.
    pub fn is_deferred(&self) -> bool {
        let until = self.deferred_until.get();
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Lists the nodes again, unless that was done recently or is deferred. Returns whether they were listed.
    pub async fn refresh(&self) -> bool {
        let now = Instant::now();
        if self.is_deferred() {
            return false;
        }
        let recent = |at: Instant| now.duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.get().is_some_and(recent) {
            return false;
        }
        self.refreshed_at.set(Some(now));
        match list_all(self.store.as_ref(), KIND).await {
            Ok(objects) => {
                self.apply(ObjectUpdate::All(objects));
                // The listing shows at least the state at the time of the request.
                self.listed_at.set(Some(now.into_std()));
                true
            }
            Err(error) => {
                warn!(self.log, "registry: Listing failed."; "reason" => %error);
                false
            }
        }
    }

    /// Returns the peer addresses of nodes, shared with the replica's thread.
    pub fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }

    /// Records the address of a node that has sent a message, as listed in the store at `revision`.
    /// Responses can then reach it even while the store is unreachable, or if it was added or moved
    /// after the last listing. A revision older than the known listing is ignored.
    pub fn update_address(&self, node: &NodeName, address: SocketAddr, revision: Revision) {
        if self.addresses.read().get(node) == Some(&address) {
            return;
        }
        let state = self.state.borrow();
        let listed = state.nodes.get(node).map_or(0, |(listed, _)| *listed);
        let reported = state.reported.get(node).copied().unwrap_or(0);
        drop(state);
        if revision <= listed || revision < reported {
            return;
        }
        info!(self.log, "registry: Node address updated."; "node" => %node, "address" => %address,
            "revision" => revision);
        self.state
            .borrow_mut()
            .reported
            .insert(node.clone(), revision);
        self.addresses.write().insert(node.clone(), address);
    }

    /// Returns the revision at which the store lists this node, shared with the replica's thread.
    pub fn local_revision(&self) -> LocalRevision {
        self.local_revision.clone()
    }

    /// Returns the names of the nodes with disks.
    pub fn names(&self) -> Vec<NodeName> {
        self.state.borrow().nodes.keys().cloned().collect()
    }

    /// Returns the peer address of a node.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        let state = self.state.borrow();
        state.nodes.get(node).map(|(_, record)| record.address)
    }

    /// Returns the founders of the journal, once they are named.
    pub fn founding(&self) -> Option<Membership> {
        self.state.borrow().founding.clone()
    }

    /// Returns the last recorded voters.
    pub fn recorded_voters(&self) -> Option<VoterRecord> {
        match &self.state.borrow().voters {
            VotersState::Recorded(_, record) => Some(record.clone()),
            VotersState::Absent | VotersState::Unreadable => None,
        }
    }

    /// Returns whether an unconfirmed write of the voters by this node may still take effect. Until
    /// the record has changed, no decision may rest on it.
    pub fn has_unconfirmed_write(&self) -> bool {
        let state = self.state.borrow();
        state.unconfirmed_write == Some(state.voters.revision().unwrap_or(0))
    }

    /// Writes the voters, unless the record was changed since it was read. The next listing shows
    /// the outcome.
    pub async fn record_voters(&self, record: &VoterRecord) {
        if self.has_pending_write() {
            return;
        }
        let spec = serde_json::to_value(record).expect("records serialise");
        if matches!(self.state.borrow().voters, VotersState::Unreadable) {
            return;
        }
        let revision = self.state.borrow().voters.revision();
        let written = match revision {
            None => self.store.create(KIND, VOTERS, spec).await,
            Some(revision) => self.store.replace(KIND, VOTERS, revision, spec).await,
        };
        info!(self.log, "registry: Recording voters."; "voters" => ?record.voters,
            "settled" => record.settled);
        if let Err(ObjectError::Unanswered(_)) = &written {
            self.state.borrow_mut().unconfirmed_write = Some(revision.unwrap_or(0));
        }
        self.record_write("Voters recorded.", written);
    }

    /// Returns the disks that could hold a replica.
    pub fn candidates(&self) -> Vec<Candidate> {
        let state = self.state.borrow();
        let nodes = state.nodes.iter();
        let candidates = nodes.map(|(node, (_, record))| Candidate {
            disk: record.disk,
            node: node.clone(),
            zone: record.zone.clone(),
        });
        candidates.collect()
    }

    /// Returns whether the store has been listed.
    pub fn is_listed(&self) -> bool {
        self.state.borrow().listed
    }

    /// Returns when the last listing by this node began.
    pub fn last_listing(&self) -> Option<std::time::Instant> {
        self.listed_at.get()
    }

    /// Returns whether a write awaits the listing that shows its outcome.
    pub fn has_pending_write(&self) -> bool {
        self.write_pending.get()
    }

    /// Applies an observation of the store.
    pub fn apply(&self, observed: ObjectUpdate) {
        self.write_pending.set(false);
        match observed {
            ObjectUpdate::All(objects) => {
                self.state.borrow_mut().unreadable.clear();
                let log_each = objects.len() <= MAX_LOGGED_NODES;
                if !log_each {
                    info!(self.log, "registry: Many nodes listed."; "count" => objects.len());
                }
                for object in &objects {
                    self.apply_object(object, log_each);
                }
                let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
                let mut state = self.state.borrow_mut();
                state.listed = true;
                state
                    .nodes
                    .retain(|node, _| listed.contains(format!("{NODE_PREFIX}{node}").as_str()));
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.apply_object(&object, true),
                        Change::Removed(name) => self.forget(&name),
                    }
                }
            }
        }
        let state = self.state.borrow();
        let nodes = state.nodes.iter();
        *self.addresses.write() = nodes
            .map(|(name, (_, record))| (name.clone(), record.address))
            .collect();
    }

    fn apply_object(&self, object: &Object, log: bool) {
        let mut state = self.state.borrow_mut();
        if object.name == FOUNDING {
            match Membership::deserialize(&object.spec) {
                Ok(founding) => state.founding = Some(founding),
                Err(error) => self.refuse(object, "Founders unreadable.", &error),
            }
            return;
        }
        if object.name == VOTERS {
            state.voters = match VoterRecord::deserialize(&object.spec) {
                Ok(record) => VotersState::Recorded(object.revision, record),
                Err(error) => {
                    self.refuse(object, "Voters unreadable.", &error);
                    VotersState::Unreadable
                }
            };
            return;
        }
        let Some(name) = object.name.strip_prefix(NODE_PREFIX) else {
            return;
        };
        match NodeRecord::deserialize(&object.spec) {
            Ok(record) => {
                let before = state.nodes.get(&NodeName::from(name));
                if log && before.is_none_or(|(_, before)| *before != record) {
                    info!(self.log, "registry: Node listed."; "node" => name, "disk" => %record.disk,
                        "address" => %record.address, "revision" => object.revision);
                }
                state.unreadable.remove(&NodeName::from(name));
                state.nodes.insert(name.into(), (object.revision, record));
            }
            Err(error) => {
                self.refuse(object, "Node unreadable.", &error);
                state.unreadable.insert(name.into(), object.revision);
            }
        }
    }

    fn refuse(&self, object: &Object, what: &'static str, error: &serde_json::Error) {
        let now = firshore_clock::now();
        let mut refusals = self.refusals.borrow_mut();
        if let Some(suppressed) = refusals.should_log(now, &object.name, object.revision) {
            warn!(self.log, "registry: {}", what; "object" => log_name(&object.name),
                "revision" => object.revision, "reason" => brief(error), "untold" => suppressed);
        }
    }

    fn forget(&self, object: &str) {
        if let Some(name) = object.strip_prefix(NODE_PREFIX) {
            let mut state = self.state.borrow_mut();
            state.nodes.remove(&NodeName::from(name));
            state.unreadable.remove(&NodeName::from(name));
        }
    }

    /// Returns whether the store lists exactly this record.
    pub fn is_registered(&self, node: &NodeName, record: &NodeRecord) -> bool {
        let state = self.state.borrow();
        let listed = state
            .nodes
            .get(node)
            .filter(|_| !state.unreadable.contains_key(node));
        listed.is_some_and(|(_, listed)| listed == record)
    }

    /// Writes a node's own record, unless the store lists it already.
    pub async fn register(&self, node: &NodeName, record: &NodeRecord) {
        if self.has_pending_write() {
            return;
        }
        if self.is_registered(node, record) {
            let state = self.state.borrow();
            let listed = state.nodes.get(node).map_or(0, |(listed, _)| *listed);
            return self.local_revision.store(listed, Ordering::Relaxed);
        }
        let listed = self.listed_at(node);
        self.local_revision.store(0, Ordering::Relaxed);
        let name = format!("{NODE_PREFIX}{node}");
        let spec = serde_json::to_value(record).expect("records serialise");
        let written = match listed {
            None => self.store.create(KIND, &name, spec).await,
            Some(revision) => self.store.replace(KIND, &name, revision, spec).await,
        };
        self.record_write("Node registered.", written);
    }

    /// Returns the revision of a node's record, whether it can be decoded or not. A node whose
    /// record cannot be decoded writes it again.
    fn listed_at(&self, node: &NodeName) -> Option<Revision> {
        let state = self.state.borrow();
        let readable = state.nodes.get(node).map(|(revision, _)| *revision);
        state.unreadable.get(node).copied().or(readable)
    }

    /// Names the founders, unless they are named already.
    pub async fn name_founders(&self, founders: &Membership) {
        if self.has_pending_write() {
            return;
        }
        let spec = serde_json::to_value(founders).expect("memberships serialise");
        let created = self.store.create(KIND, FOUNDING, spec).await;
        self.record_write("Founders named.", created);
    }

    /// Records a write; its outcome is taken from the next listing, not from the response.
    fn record_write(&self, what: &'static str, written: Result<(), ObjectError>) {
        self.write_pending.set(true);
        self.refreshed_at.set(None);
        match written {
            Ok(()) => info!(self.log, "registry: {}", what),
            Err(error) => warn!(self.log, "registry: Write failed."; "what" => what,
                "reason" => %error),
        }
    }
}
