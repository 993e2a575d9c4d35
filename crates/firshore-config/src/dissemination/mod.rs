//! Disseminates accepted changes to all nodes: a few readers watch the object API, new changes are
//! pushed with a bounded fan-out, and periodic advertisements repair missed changes.
//!
//! Based on rumor mongering and anti-entropy by Demers et al., "Epidemic algorithms for
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

/// Peers in the local zone to which a node forwards changes.
pub const ZONE_FANOUT: usize = 2;

/// Peers in other zones of the local region to which a node forwards changes.
pub const REGION_FANOUT: usize = 1;

/// Maximum bytes of changes pushed; larger ones are advertised and pulled once by each node.
pub const EAGER_PUSH_BYTES: usize = 4 * 1024;

/// Maximum bytes of records in one response to a pull; further pulls request the rest.
pub const RANGE_BYTES: usize = 256 * 1024;

/// Milliseconds after which an unanswered pull is repeated with another peer.
pub const PULL_TIMEOUT_MILLISECONDS: u64 = 1_500;

/// Minimum milliseconds between two snapshots sent by one node.
pub const SNAPSHOT_INTERVAL_MILLISECONDS: u64 = 250;

/// Consecutive failed reads of the object API after which a reader requests that the
/// next node read as well.
pub const FAILED_READS_BEFORE_HANDOVER: u32 = 3;

/// Milliseconds for which a node reads in place of a failing reader.
pub const SUBSTITUTE_MILLISECONDS: u64 = 30_000;

/// Milliseconds between two reads of the object API after a failed one.
pub const READ_RETRY_MILLISECONDS: u64 = 1_000;

/// Mean number of ticks between advertisements to another region by a node that is no reader.
const REMOTE_TICKS: u32 = 16;

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
    /// A configuration restored from the local disk.
    Restored(Box<Snapshot>),
}

/// Action that the caller must perform.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a message to a peer; delivery need not be reliable.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Content.
        message: Message,
    },
    /// Wait for change objects after a revision, then report by [`Input::ObjectsRead`] or
    /// [`Input::ObjectsUnread`]. At most one such wait runs at a time.
    WatchObjects {
        /// Revision in force.
        after: Revision,
    },
    /// A new configuration is in force.
    InForce(Arc<Configuration>),
    /// A change or snapshot was refused; to be reported to operators.
    Refused(Refusal),
}

/// A change or snapshot that was not put into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Revision refused.
    pub revision: Revision,
    /// Peer that sent it; `None` for the object API.
    pub from: Option<InstanceId>,
    /// Reason.
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

/// Source of a change, which determines to whom it is forwarded.
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

/// State machine that keeps one node's configuration up to date.
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
    /// Number of handovers so far.
    handovers: usize,
    handover_not_before: u64,
    substitute_until: u64,
    snapshot_not_before: u64,
    ticks: u32,
    /// Refusals already reported, by revision.
    reported: BTreeMap<Revision, RecordError>,
}

/// Maximum number of refusals kept to prevent repeated reports.
const MAX_REPORTED_REFUSALS: usize = 64;

impl Dissemination {
    /// Creates a node without a configuration; `seed` initializes the random choice of peers.
    pub fn new(local: Peer, seed: u64) -> Self {
        Self {
            selection: Selection::new(local, seed),
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

    /// Returns the configuration in force.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the history of the configuration in force.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Returns the highest floor received.
    pub fn floor(&self) -> Revision {
        self.floor
    }

    /// Returns the advertisement sent to peers.
    pub fn advertisement(&self) -> Advertisement {
        Advertisement {
            revision: self.history.head(),
            digest: self.history.head_digest(),
            floor: self.floor,
        }
    }

    /// Returns the configuration in force and its position in the history.
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
                self.apply_records(now, Source::Objects, &records, &mut outputs);
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
        let region = &self.selection.local().region;
        let alive = self.selection.members();
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
                self.apply_records(now, Source::Peer(from), &records, outputs);
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
