//! Nodes with a disk, and the founders of the journal, as objects in the store tell.
//!
//! A node writes its own object once. The journal's leader reads them by watching, other nodes by
//! listing when they miss something. The founding object is created
//! once and never changed: who creates it decides.

use crate::list_watch::ObjectUpdate;
use crate::refusals::RefusalLog;
use firshore_adapter::decode::brief;
use firshore_adapter::objects::{Change, Object, ObjectError, ObjectStore, Revision};
use firshore_log::placement::Candidate;
use firshore_replication::types::{DiskId, Membership, Term};
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

/// Kind of the product's own objects.
pub const KIND: &str = "firshore";

const NODE_PREFIX: &str = "node.";
const FOUNDING: &str = "group.0";
const VOTERS: &str = "voters.0";

/// Where nodes listen for peers, shared with the replica's thread.
pub type Addresses = Arc<RwLock<BTreeMap<NodeName, SocketAddr>>>;

/// Revision at which the store lists this node as it is, 0 while that was not seen; shared with the
/// replica's thread.
pub type OwnRevision = Arc<AtomicU64>;

/// A node with a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// Where it listens for peers.
    pub address: SocketAddr,
    /// Zone it stands in.
    pub zone: ZoneName,
    /// Identity of its disk.
    pub disk: DiskId,
}

/// Shortest time between two listings.
const REFRESH_INTERVAL: Duration = Duration::from_millis(1_000);

#[derive(Debug, Default)]
struct Known {
    listed: bool,
    nodes: BTreeMap<NodeName, (Revision, NodeRecord)>,
    /// Nodes whose record cannot be read as it is now, and its revision. They are reached as listed before.
    mangled: BTreeMap<NodeName, Revision>,
    founding: Option<Membership>,
    voters: KnownVoters,
    /// Revision on which a write of the voters was conditional that was not answered.
    doubtful: Option<Revision>,
    /// Nodes that told where they listen themselves, and as of which revision.
    heard: BTreeMap<NodeName, Revision>,
}

/// The voters of the journal, written before any change of them enters the log.
///
/// Voters whose others are gone may go on without a quorum only if each group that may be in force
/// leaves them one that holds everything. The record names these groups; as it changes by
/// compare-and-set, of two that would go on only one can.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterRecord {
    /// Voters.
    pub voters: BTreeSet<DiskId>,
    /// Whether the change that made them voters is known to be committed.
    pub settled: bool,
    /// Term of the one who wrote it. A leader writes it anew before it acts on it, so that what an earlier
    /// one wrote without an answer cannot take effect afterwards.
    #[serde(default)]
    pub term: Term,
    /// While that is not known: the voters that may be in force instead.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub before: Vec<BTreeSet<DiskId>>,
    /// Disks that were gone for good before the newest group that names them became one: they never held
    /// anything that it committed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub gone: BTreeSet<DiskId>,
    /// The disk that the only voter went on without, while nothing was promised since: it may be whole,
    /// and holds everything promised should the voter lose its own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_behind: Option<DiskId>,
    /// History of the group's log in which they are the voters. Who was left behind goes on in the next one:
    /// a replica of an earlier one promises nothing any more, as that needs this record.
    #[serde(default)]
    pub history: u64,
    /// Whether these voters begin that history, and so leave the earlier one for good.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub begins: bool,
}

impl VoterRecord {
    /// Returns whether this disk is to begin the history, as one of its voters.
    pub fn is_begun_by(&self, disk: DiskId) -> bool {
        self.begins && !self.settled && self.voters.contains(&disk)
    }

    /// Returns whether the record says which groups may be in force: one that was written before records
    /// named them does not.
    pub fn tells_groups(&self) -> bool {
        self.settled || self.term > 0
    }

    /// Returns the disks that never held anything these voters committed: they were gone when this group, the
    /// newest one that named them, was recorded.
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

    /// Returns each set of voters that may be in force.
    pub fn possible(&self) -> Vec<BTreeSet<DiskId>> {
        let mut possible = vec![self.voters.clone()];
        if !self.settled {
            possible.extend(self.before.iter().cloned());
        }
        possible
    }
}

/// What is known of the record of the voters.
#[derive(Debug, Default)]
enum KnownVoters {
    /// None was listed.
    #[default]
    Absent,
    /// As recorded at a revision.
    Recorded(Revision, VoterRecord),
    /// It stands there and cannot be read: it may name anybody, so that nothing may follow from a former one,
    /// and nobody writes over it.
    Unreadable,
}

impl KnownVoters {
    /// Returns the revision of the record, where one can be read.
    fn revision(&self) -> Option<Revision> {
        match self {
            Self::Recorded(revision, _) => Some(*revision),
            Self::Absent | Self::Unreadable => None,
        }
    }
}

/// What the store lists.
pub struct Registry {
    store: Rc<dyn ObjectStore>,
    log: Logger,
    known: RefCell<Known>,
    addresses: Addresses,
    own_revision: OwnRevision,
    refreshed_at: Cell<Option<Instant>>,
    listed_at: Cell<Option<std::time::Instant>>,
    /// Something was written that no listing has shown yet.
    unsettled: Cell<bool>,
    refusals: RefCell<RefusalLog>,
}

impl Registry {
    /// Nothing is known yet.
    pub fn new(store: Rc<dyn ObjectStore>, log: Logger) -> Self {
        Self {
            store,
            log,
            known: RefCell::default(),
            addresses: Addresses::default(),
            own_revision: OwnRevision::default(),
            refreshed_at: Cell::new(None),
            listed_at: Cell::new(None),
            unsettled: Cell::new(false),
            refusals: RefCell::default(),
        }
    }

    /// Lists the nodes anew, unless that was done a moment ago. Returns whether they were listed.
    pub async fn refresh(&self) -> bool {
        let now = Instant::now();
        let recent = |at: Instant| now.duration_since(at) < REFRESH_INTERVAL;
        if self.refreshed_at.get().is_some_and(recent) {
            return false;
        }
        self.refreshed_at.set(Some(now));
        match self.list().await {
            Ok(objects) => {
                self.apply(ObjectUpdate::All(objects));
                // What was listed was there when it was asked for.
                self.listed_at.set(Some(now.into_std()));
                true
            }
            Err(error) => {
                warn!(self.log, "registry: Not listed."; "reason" => %error);
                false
            }
        }
    }

    async fn list(&self) -> Result<Vec<Object>, ObjectError> {
        let mut objects: Vec<Object> = Vec::new();
        let mut after: Option<String> = None;
        loop {
            let page = self.store.list(KIND, after.as_deref()).await?;
            let cursor = page.cursor().map(str::to_owned);
            objects.extend(page.objects);
            if !page.more {
                return Ok(objects);
            }
            if cursor <= after {
                let reason = "more follow, and no name to ask for them after";
                return Err(ObjectError::Unanswered(reason.to_owned()));
            }
            after = cursor;
        }
    }

    /// Where nodes listen.
    pub fn addresses(&self) -> Addresses {
        self.addresses.clone()
    }

    /// Takes in where a node that writes to this one listens, as the store lists it at `revision`. It
    /// is to be answered there, also while the store cannot be asked, or was asked before the node
    /// came to be or moved. What is older than the listing known here is late and says nothing.
    pub fn update_address(&self, node: &NodeName, address: SocketAddr, revision: Revision) {
        if self.addresses.read().get(node) == Some(&address) {
            return;
        }
        let known = self.known.borrow();
        let listed = known.nodes.get(node).map_or(0, |(listed, _)| *listed);
        let heard = known.heard.get(node).copied().unwrap_or(0);
        drop(known);
        if revision <= listed || revision < heard {
            return;
        }
        info!(self.log, "registry: Node heard."; "node" => %node, "address" => %address,
            "revision" => revision);
        self.known.borrow_mut().heard.insert(node.clone(), revision);
        self.addresses.write().insert(node.clone(), address);
    }

    /// Returns the revision at which the store lists this node, shared with the replica's thread.
    pub fn own_revision(&self) -> OwnRevision {
        self.own_revision.clone()
    }

    /// Names of the nodes with a disk.
    pub fn names(&self) -> Vec<NodeName> {
        self.known.borrow().nodes.keys().cloned().collect()
    }

    /// Where a node listens.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        let known = self.known.borrow();
        known.nodes.get(node).map(|(_, record)| record.address)
    }

    /// The founders of the journal, once they are named.
    pub fn founding(&self) -> Option<Membership> {
        self.known.borrow().founding.clone()
    }

    /// The voters as recorded last.
    pub fn recorded_voters(&self) -> Option<VoterRecord> {
        match &self.known.borrow().voters {
            KnownVoters::Recorded(_, record) => Some(record.clone()),
            KnownVoters::Absent | KnownVoters::Unreadable => None,
        }
    }

    /// Returns whether a write of the voters may still take effect that this node sent and that nobody
    /// answered: until something else was written, nothing may rest on the record.
    pub fn is_doubtful(&self) -> bool {
        let known = self.known.borrow();
        known.doubtful == Some(known.voters.revision().unwrap_or(0))
    }

    /// Records the voters, if nobody else has meanwhile. The next listing tells what was recorded.
    pub async fn record_voters(&self, record: &VoterRecord) {
        if self.is_unsettled() {
            return;
        }
        let spec = serde_json::to_value(record).expect("records serialise");
        if matches!(self.known.borrow().voters, KnownVoters::Unreadable) {
            return;
        }
        let known = self.known.borrow().voters.revision();
        let written = match known {
            None => self.store.create(KIND, VOTERS, spec).await,
            Some(revision) => self.store.replace(KIND, VOTERS, revision, spec).await,
        };
        info!(self.log, "registry: Recording voters."; "voters" => ?record.voters,
            "settled" => record.settled);
        if let Err(ObjectError::Unanswered(_)) = &written {
            self.known.borrow_mut().doubtful = Some(known.unwrap_or(0));
        }
        self.note("Voters recorded.", written);
    }

    /// Disks that could hold a replica.
    pub fn candidates(&self) -> Vec<Candidate> {
        let known = self.known.borrow();
        let nodes = known.nodes.iter();
        let candidates = nodes.map(|(node, (_, record))| Candidate {
            disk: record.disk,
            node: node.clone(),
            zone: record.zone.clone(),
        });
        candidates.collect()
    }

    /// Whether the store has been listed.
    pub fn is_listed(&self) -> bool {
        self.known.borrow().listed
    }

    /// Returns when the last listing that this node asked for began.
    pub fn last_listing(&self) -> Option<std::time::Instant> {
        self.listed_at.get()
    }

    /// Whether a write waits for the listing that shows what became of it.
    pub fn is_unsettled(&self) -> bool {
        self.unsettled.get()
    }

    /// Takes in what was observed.
    pub fn apply(&self, learned: ObjectUpdate) {
        self.unsettled.set(false);
        match learned {
            ObjectUpdate::All(objects) => {
                self.known.borrow_mut().mangled.clear();
                for object in &objects {
                    self.take(object);
                }
                let listed: BTreeSet<&str> = objects.iter().map(|one| one.name.as_str()).collect();
                let mut known = self.known.borrow_mut();
                known.listed = true;
                known
                    .nodes
                    .retain(|node, _| listed.contains(format!("{NODE_PREFIX}{node}").as_str()));
            }
            ObjectUpdate::Changed(changes) => {
                for change in changes {
                    match change {
                        Change::Written(object) => self.take(&object),
                        Change::Removed(name) => self.forget(&name),
                    }
                }
            }
        }
        let known = self.known.borrow();
        let nodes = known.nodes.iter();
        *self.addresses.write() = nodes
            .map(|(name, (_, record))| (name.clone(), record.address))
            .collect();
    }

    fn take(&self, object: &Object) {
        let mut known = self.known.borrow_mut();
        if object.name == FOUNDING {
            match Membership::deserialize(&object.spec) {
                Ok(founding) => known.founding = Some(founding),
                Err(error) => self.refuse(object, "Founders unreadable.", &error),
            }
            return;
        }
        if object.name == VOTERS {
            known.voters = match VoterRecord::deserialize(&object.spec) {
                Ok(record) => KnownVoters::Recorded(object.revision, record),
                Err(error) => {
                    self.refuse(object, "Voters unreadable.", &error);
                    KnownVoters::Unreadable
                }
            };
            return;
        }
        let Some(name) = object.name.strip_prefix(NODE_PREFIX) else {
            return;
        };
        match NodeRecord::deserialize(&object.spec) {
            Ok(record) => {
                let before = known.nodes.get(&NodeName::from(name));
                if before.is_none_or(|(_, before)| *before != record) {
                    info!(self.log, "registry: Node."; "node" => name, "disk" => %record.disk,
                        "address" => %record.address, "revision" => object.revision);
                }
                known.mangled.remove(&NodeName::from(name));
                known.nodes.insert(name.into(), (object.revision, record));
            }
            Err(error) => {
                self.refuse(object, "Node unreadable.", &error);
                known.mangled.insert(name.into(), object.revision);
            }
        }
    }

    fn refuse(&self, object: &Object, what: &'static str, error: &serde_json::Error) {
        let now = firshore_clock::now();
        let mut refusals = self.refusals.borrow_mut();
        if let Some(untold) = refusals.admit(now, &object.name, object.revision) {
            warn!(self.log, "registry: {}", what; "object" => &object.name,
                "revision" => object.revision, "reason" => brief(error), "untold" => untold);
        }
    }

    fn forget(&self, object: &str) {
        if let Some(name) = object.strip_prefix(NODE_PREFIX) {
            let mut known = self.known.borrow_mut();
            known.nodes.remove(&NodeName::from(name));
            known.mangled.remove(&NodeName::from(name));
        }
    }

    /// Whether the store lists this record.
    pub fn is_registered(&self, node: &NodeName, record: &NodeRecord) -> bool {
        let known = self.known.borrow();
        let listed = known
            .nodes
            .get(node)
            .filter(|_| !known.mangled.contains_key(node));
        listed.is_some_and(|(_, listed)| listed == record)
    }

    /// Writes a node's own record, if the store does not list it as it is.
    pub async fn register(&self, node: &NodeName, record: &NodeRecord) {
        if self.is_unsettled() {
            return;
        }
        if self.is_registered(node, record) {
            let known = self.known.borrow();
            let listed = known.nodes.get(node).map_or(0, |(listed, _)| *listed);
            return self.own_revision.store(listed, Ordering::Relaxed);
        }
        let listed = self.listed_at(node);
        self.own_revision.store(0, Ordering::Relaxed);
        let name = format!("{NODE_PREFIX}{node}");
        let spec = serde_json::to_value(record).expect("records serialise");
        let written = match listed {
            None => self.store.create(KIND, &name, spec).await,
            Some(revision) => self.store.replace(KIND, &name, revision, spec).await,
        };
        self.note("Node registered.", written);
    }

    /// Revision at which a node's record stands in the store, whether it can be read or not: a node whose
    /// record somebody else has mangled writes it anew.
    fn listed_at(&self, node: &NodeName) -> Option<Revision> {
        let known = self.known.borrow();
        let readable = known.nodes.get(node).map(|(revision, _)| *revision);
        known.mangled.get(node).copied().or(readable)
    }

    /// Names the founders, unless somebody has.
    pub async fn found(&self, founders: &Membership) {
        if self.is_unsettled() {
            return;
        }
        let spec = serde_json::to_value(founders).expect("memberships serialise");
        let created = self.store.create(KIND, FOUNDING, spec).await;
        self.note("Founders named.", created);
    }

    /// The store's own listing, not the answer, tells what was done.
    fn note(&self, what: &'static str, written: Result<(), ObjectError>) {
        self.unsettled.set(true);
        self.refreshed_at.set(None);
        match written {
            Ok(()) => info!(self.log, "registry: {}", what),
            Err(error) => warn!(self.log, "registry: Not written."; "what" => what,
                "reason" => %error),
        }
    }
}
