//! Brings each accepted change to every node: a few readers watch the object API, new changes are
//! pushed along a bounded fan-out, and periodic advertisements find and close what was missed.
//!
//! After the push and pull of rumours and anti-entropy of Demers et al., "Epidemic algorithms for
//! replicated database maintenance", PODC 1987.

mod adoption;
mod anti_entropy;
mod reading;

use crate::history::{History, Record, RecordError};
use crate::message::{Advertisement, Message, Snapshot};
use crate::readers::{Peer, reader_order};
use crate::selection::{Distance, Selection};
use firshore_types::configuration::Configuration;
use firshore_types::ids::{InstanceId, Revision};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Milliseconds between two [`Input::Tick`]s; advertisements are sent on each.
pub const TICK_MILLISECONDS: u64 = 1_000;

/// Peers in the own zone that a node passes news to.
pub const ZONE_FANOUT: usize = 2;

/// Peers in other zones of the own region that a node passes news to.
pub const REGION_FANOUT: usize = 1;

/// Most bytes of news pushed unasked; larger news is advertised, and pulled once by each node.
pub const EAGER_PUSH_BYTES: usize = 4 * 1024;

/// Most bytes of records in one answer to a pull; the rest is pulled next.
pub const RANGE_BYTES: usize = 256 * 1024;

/// Milliseconds after which an unanswered pull is repeated with another peer.
pub const PULL_TIMEOUT_MILLISECONDS: u64 = 1_500;

/// Least milliseconds between two snapshots sent by one node.
pub const SNAPSHOT_INTERVAL_MILLISECONDS: u64 = 250;

/// Failed reads of the object API after which a reader asks the next node to read as well.
pub const FAILED_READS_BEFORE_HANDOVER: u32 = 3;

/// Milliseconds for which a node reads in place of a reader that asked it to.
pub const SUBSTITUTE_MILLISECONDS: u64 = 30_000;

/// Milliseconds between two reads of the object API after a failed one.
pub const READ_RETRY_MILLISECONDS: u64 = 1_000;

/// One in so many ticks of a node that is no reader, an advertisement goes to another region.
const REMOTE_TICKS: u32 = 16;

/// What happened.
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
        message: Message,
    },
    /// The object API answered the latest [`Output::WatchObjects`]: change objects in order of
    /// revision, possibly none, possibly from an old replica.
    ObjectsRead(Vec<Record>),
    /// The object API did not answer the latest [`Output::WatchObjects`].
    ObjectsUnread,
    /// This node wrote a change object, or found one that it looked for.
    Written(Vec<Record>),
    /// The journal's floor.
    Floor(Revision),
    /// A configuration kept on the own disk.
    Restored(Box<Snapshot>),
}

/// What is to be done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer; losing it does no harm.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Content.
        message: Message,
    },
    /// Wait for change objects after a revision, then report by [`Input::ObjectsRead`] or
    /// [`Input::ObjectsUnread`]. At most one such wait is asked for at a time.
    WatchObjects {
        /// Revision in force.
        after: Revision,
    },
    /// A new configuration is in force.
    InForce(Arc<Configuration>),
    /// Something was refused; an operator must hear of it.
    Refused(Refusal),
}

/// A change or snapshot that was not put into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Revision refused.
    pub revision: Revision,
    /// Peer that sent it; `None` for the object API.
    pub from: Option<InstanceId>,
    /// Why.
    pub error: RecordError,
}

#[derive(Clone, Copy, Debug)]
struct Pull {
    from: InstanceId,
    until: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Watch {
    Idle { not_before: u64 },
    Running,
}

/// How news reached the node, which decides how it is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Objects,
    Peer(InstanceId),
    Disk,
}

impl Source {
    fn peer(self) -> Option<InstanceId> {
        match self {
            Self::Peer(peer) => Some(peer),
            Self::Objects | Self::Disk => None,
        }
    }
}

/// The configuration that one node has in force, and how it moves forward.
#[derive(Debug)]
pub struct Dissemination {
    selection: Selection,
    reader_order: Vec<InstanceId>,
    configuration: Arc<Configuration>,
    history: History,
    floor: Revision,
    /// Highest revision that a peer advertised, and that peer.
    ahead: Option<(Revision, InstanceId)>,
    pull: Option<Pull>,
    watch: Watch,
    failed_reads: u32,
    /// Nodes asked to read in this one's place, so far.
    handovers: usize,
    handover_not_before: u64,
    substitute_until: u64,
    snapshot_not_before: u64,
    ticks: u32,
    /// Refusals already reported, by revision.
    reported: BTreeMap<Revision, RecordError>,
}

/// Most refusals remembered so as to report each once.
const REPORTED_REFUSALS: usize = 64;

impl Dissemination {
    /// A node that has nothing in force yet; `seed` drives its choice of peers.
    pub fn new(own: Peer, seed: u64) -> Self {
        Self {
            selection: Selection::new(own, seed),
            reader_order: Vec::new(),
            configuration: Arc::default(),
            history: History::default(),
            floor: Revision(0),
            ahead: None,
            pull: None,
            watch: Watch::Idle { not_before: 0 },
            failed_reads: 0,
            handovers: 0,
            handover_not_before: 0,
            substitute_until: 0,
            snapshot_not_before: 0,
            ticks: 0,
            reported: BTreeMap::new(),
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The chain that led to it.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Highest floor that the node knows of.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// What the node tells peers that it holds.
    pub fn advertisement(&self) -> Advertisement {
        Advertisement {
            revision: self.history.head(),
            digest: self.history.head_digest(),
            floor: self.floor,
        }
    }

    /// The configuration in force and its place in the history.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            digest: self.history.head_digest(),
            configuration: (*self.configuration).clone(),
        }
    }

    /// Advances the node to `now` (milliseconds on any monotone clock).
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Output> {
        let before = self.history.head();
        let mut outputs = Vec::new();
        match input {
            Input::Tick => self.tick(now, &mut outputs),
            Input::Members(peers) => self.set_members(peers),
            Input::FromPeer { from, message } => self.receive(now, from, message, &mut outputs),
            Input::ObjectsRead(records) => self.objects_read(now, &records, &mut outputs),
            Input::ObjectsUnread => self.objects_unread(now, &mut outputs),
            Input::Written(records) => {
                self.offer(now, Source::Objects, &records, &mut outputs);
            }
            Input::Floor(floor) => self.floor = self.floor.max(floor),
            Input::Restored(snapshot) => {
                self.adopt_snapshot(*snapshot, Source::Disk, &mut outputs);
            }
        }
        if self.history.head() > before {
            outputs.push(Output::InForce(self.configuration.clone()));
        }
        self.watch_if_reader(now, &mut outputs);
        outputs
    }

    fn set_members(&mut self, peers: Vec<Peer>) {
        self.selection.set_peers(peers);
        let region = &self.selection.own().region;
        let alive = self.selection.everyone();
        self.reader_order = reader_order("configuration-readers", region, alive);
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.ticks = self.ticks.wrapping_add(1);
        let mut receivers = self.selection.choose(1, Distance::Zone);
        if self.ticks.is_multiple_of(2) || receivers.is_empty() {
            receivers.extend(self.selection.choose(1, Distance::Region));
        }
        let remote_turn = self.selection.happens_once_in(REMOTE_TICKS);
        if remote_turn || self.is_elected_reader() || receivers.is_empty() {
            receivers.extend(self.selection.choose(1, Distance::Remote));
        }
        let message = Message::Advertisement(self.advertisement());
        for to in receivers {
            let message = message.clone();
            outputs.push(Output::Send { to, message });
        }
        self.pull_if_behind(now, outputs);
    }

    fn receive(&mut self, now: u64, from: InstanceId, message: Message, outputs: &mut Vec<Output>) {
        match message {
            Message::Advertisement(advertisement) => {
                self.compare(now, from, advertisement, outputs);
            }
            Message::Chain(records) => {
                self.end_pull(from);
                self.offer(now, Source::Peer(from), &records, outputs);
                self.pull_if_behind(now, outputs);
            }
            Message::Pull { after, digest } => self.serve_pull(now, from, after, digest, outputs),
            Message::Snapshot(snapshot) => {
                self.end_pull(from);
                self.adopt_snapshot(*snapshot, Source::Peer(from), outputs);
                self.pull_if_behind(now, outputs);
            }
            Message::Busy => {
                self.end_pull(from);
                self.ahead = None;
            }
            Message::Divergent { at } => {
                self.end_pull(from);
                self.ahead = None;
                self.refuse(at, Some(from), RecordError::Divergent, outputs);
            }
            Message::TakeOverReading => {
                self.substitute_until = now + SUBSTITUTE_MILLISECONDS;
            }
        }
    }
}
