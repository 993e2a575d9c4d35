//! Brings each accepted change to every node: a few readers watch the object API, new changes are
//! pushed along a bounded fan-out, and periodic advertisements find and close what was missed.
//!
//! After the push and pull of rumours and anti-entropy of Demers et al., "Epidemic algorithms for
//! replicated database maintenance", PODC 1987.

use crate::history::{History, HistoryDigest, Record, RecordError};
use crate::message::{Advertisement, Message, Snapshot};
use crate::readers::{Peer, READERS_PER_REGION, reader_order};
use firshore_types::configuration::Configuration;
use firshore_types::ids::{InstanceId, Revision};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
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
    own: Peer,
    random: ChaCha8Rng,
    peers: Vec<Peer>,
    reader_order: Vec<InstanceId>,
    configuration: Arc<Configuration>,
    history: History,
    floor: Revision,
    /// Highest revision that a peer advertised, and that peer.
    ahead: Option<(Revision, InstanceId)>,
    pull: Option<Pull>,
    watch: Watch,
    failed_reads: u32,
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
            own,
            random: ChaCha8Rng::seed_from_u64(seed),
            peers: Vec::new(),
            reader_order: Vec::new(),
            configuration: Arc::default(),
            history: History::default(),
            floor: Revision(0),
            ahead: None,
            pull: None,
            watch: Watch::Idle { not_before: 0 },
            failed_reads: 0,
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

    /// Whether the node should watch the object API at `now` (milliseconds).
    pub fn is_reader(&self, now: u64) -> bool {
        now < self.substitute_until || self.is_elected_reader()
    }

    fn is_elected_reader(&self) -> bool {
        self.reader_order
            .iter()
            .take(READERS_PER_REGION)
            .any(|reader| *reader == self.own.instance)
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

    fn set_members(&mut self, mut peers: Vec<Peer>) {
        let own = self.own.instance;
        peers.retain(|peer| peer.instance != own);
        let alive = peers.iter().chain(std::iter::once(&self.own));
        self.reader_order = reader_order("configuration-readers", &self.own.region, alive);
        self.peers = peers;
    }

    fn tick(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.ticks = self.ticks.wrapping_add(1);
        let mut receivers = self.choose(1, |own, peer| peer.zone == own.zone);
        if self.ticks.is_multiple_of(2) || receivers.is_empty() {
            let near = |own: &Peer, peer: &Peer| peer.region == own.region && peer.zone != own.zone;
            receivers.extend(self.choose(1, near));
        }
        let remote_turn = self.random.random_ratio(1, REMOTE_TICKS);
        if remote_turn || self.is_elected_reader() || receivers.is_empty() {
            receivers.extend(self.choose(1, |own, peer| peer.region != own.region));
        }
        let message = Message::Advertisement(self.advertisement());
        for to in receivers {
            let message = message.clone();
            outputs.push(Output::Send { to, message });
        }
        self.pull_if_behind(now, outputs);
    }

    fn choose(&mut self, count: usize, eligible: impl Fn(&Peer, &Peer) -> bool) -> Vec<InstanceId> {
        let candidates: Vec<InstanceId> = self
            .peers
            .iter()
            .filter(|peer| eligible(&self.own, peer))
            .map(|peer| peer.instance)
            .collect();
        candidates
            .sample(&mut self.random, count)
            .copied()
            .collect()
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

    fn end_pull(&mut self, from: InstanceId) {
        if self.pull.is_some_and(|pull| pull.from == from) {
            self.pull = None;
        }
    }

    /// Compares what a peer holds with the own history.
    fn compare(
        &mut self,
        now: u64,
        from: InstanceId,
        theirs: Advertisement,
        outputs: &mut Vec<Output>,
    ) {
        self.floor = self.floor.max(theirs.floor);
        let head = self.history.head();
        if theirs.revision > head {
            if self.ahead.is_none_or(|(known, _)| theirs.revision > known) {
                self.ahead = Some((theirs.revision, from));
            }
            self.pull_if_behind(now, outputs);
            return;
        }
        let known = self.history.digest_at(theirs.revision);
        if known.is_some_and(|known| known != theirs.digest) {
            self.refuse(theirs.revision, Some(from), RecordError::Divergent, outputs);
            let message = Message::Divergent {
                at: theirs.revision,
            };
            outputs.push(Output::Send { to: from, message });
            return;
        }
        if theirs.revision < head {
            let message = self.news_after(theirs.revision);
            outputs.push(Output::Send { to: from, message });
        } else if theirs.floor < self.floor {
            let message = Message::Advertisement(self.advertisement());
            outputs.push(Output::Send { to: from, message });
        }
    }

    /// The changes after `revision` where they are few, else an advertisement of them.
    fn news_after(&self, revision: Revision) -> Message {
        let records = self.history.after(revision, EAGER_PUSH_BYTES);
        match records {
            Some(records) if is_small_and_whole(&records, self.history.head()) => {
                Message::Chain(records)
            }
            _ => Message::Advertisement(self.advertisement()),
        }
    }

    fn pull_if_behind(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let Some((revision, from)) = self.ahead else {
            return;
        };
        if revision <= self.history.head() {
            self.ahead = None;
            return;
        }
        match self.pull {
            Some(pull) if now < pull.until => return,
            Some(pull) if pull.from == from => {
                // It did not answer; the next advertisement names another.
                self.pull = None;
                self.ahead = None;
                return;
            }
            _ => {}
        }
        self.pull = Some(Pull {
            from,
            until: now + PULL_TIMEOUT_MILLISECONDS,
        });
        let message = Message::Pull {
            after: self.history.head(),
            digest: self.history.head_digest(),
        };
        outputs.push(Output::Send { to: from, message });
    }

    fn serve_pull(
        &mut self,
        now: u64,
        to: InstanceId,
        after: Revision,
        digest: HistoryDigest,
        outputs: &mut Vec<Output>,
    ) {
        if after >= self.history.head() {
            let message = Message::Advertisement(self.advertisement());
            outputs.push(Output::Send { to, message });
            return;
        }
        let known = self.history.digest_at(after);
        if known.is_some_and(|known| known != digest) {
            let message = Message::Divergent { at: after };
            outputs.push(Output::Send { to, message });
            self.refuse(after, Some(to), RecordError::Divergent, outputs);
            return;
        }
        let message = match self.history.after(after, RANGE_BYTES) {
            Some(records) => Message::Chain(records),
            None if now < self.snapshot_not_before => Message::Busy,
            None => {
                self.snapshot_not_before = now + SNAPSHOT_INTERVAL_MILLISECONDS;
                Message::Snapshot(Box::new(self.snapshot()))
            }
        };
        outputs.push(Output::Send { to, message });
    }

    /// Puts into force what directly follows, in order; reports what does not fit.
    fn offer(&mut self, now: u64, source: Source, records: &[Record], outputs: &mut Vec<Output>) {
        let before = self.history.head();
        let mut configuration = None;
        for record in records {
            if record.revision > self.history.head().next() {
                self.note_gap(now, source, record.revision, outputs);
                break;
            }
            let configuration = configuration.get_or_insert_with(|| self.configuration.clone());
            if let Err(error) = self.take(record, configuration) {
                self.refuse(record.revision, source.peer(), error, outputs);
                break;
            }
        }
        if self.history.head() > before {
            self.configuration = configuration.expect("a record was taken");
            self.spread(before, source, outputs);
        }
    }

    fn take(
        &mut self,
        record: &Record,
        configuration: &mut Arc<Configuration>,
    ) -> Result<(), RecordError> {
        if record.revision <= self.history.head() {
            let known = self.history.digest_at(record.revision);
            return match known {
                Some(known) if known != record.digest() => Err(RecordError::Divergent),
                _ => Ok(()),
            };
        }
        if record.previous()? != self.history.head_digest() {
            return Err(RecordError::Divergent);
        }
        let change = record.change()?;
        Arc::make_mut(configuration).apply(&change);
        self.history.append(record.clone());
        Ok(())
    }

    fn note_gap(
        &mut self,
        now: u64,
        source: Source,
        revision: Revision,
        outputs: &mut Vec<Output>,
    ) {
        if let Some(peer) = source.peer() {
            if self.ahead.is_none_or(|(known, _)| revision > known) {
                self.ahead = Some((revision, peer));
            }
            self.pull_if_behind(now, outputs);
        }
    }

    fn adopt_snapshot(&mut self, snapshot: Snapshot, source: Source, outputs: &mut Vec<Output>) {
        let revision = snapshot.configuration.revision;
        let before = self.history.head();
        if revision <= before {
            let known = self.history.digest_at(revision);
            if known.is_some_and(|known| known != snapshot.digest) {
                self.refuse(revision, source.peer(), RecordError::Divergent, outputs);
            }
            return;
        }
        self.configuration = Arc::new(snapshot.configuration);
        self.history = History::starting_at(revision, snapshot.digest);
        if source != Source::Disk {
            self.spread(before, source, outputs);
        }
    }

    /// Tells a bounded number of peers what is new after `before`.
    fn spread(&mut self, before: Revision, source: Source, outputs: &mut Vec<Output>) {
        self.reported
            .retain(|revision, _| *revision > self.history.head());
        let message = self.news_after(before);
        let mut receivers = self.choose(ZONE_FANOUT, |own, peer| peer.zone == own.zone);
        receivers.extend(self.choose(REGION_FANOUT, |own, peer| {
            peer.region == own.region && peer.zone != own.zone
        }));
        if receivers.is_empty() || source == Source::Objects {
            receivers.extend(self.choose(1, |own, peer| peer.region != own.region));
        }
        for to in receivers {
            if Some(to) != source.peer() {
                let message = message.clone();
                outputs.push(Output::Send { to, message });
            }
        }
    }

    fn refuse(
        &mut self,
        revision: Revision,
        from: Option<InstanceId>,
        error: RecordError,
        outputs: &mut Vec<Output>,
    ) {
        if self.reported.get(&revision) == Some(&error) {
            return;
        }
        if self.reported.len() >= REPORTED_REFUSALS {
            self.reported.pop_first();
        }
        self.reported.insert(revision, error.clone());
        outputs.push(Output::Refused(Refusal {
            revision,
            from,
            error,
        }));
    }

    fn objects_read(&mut self, now: u64, records: &[Record], outputs: &mut Vec<Output>) {
        self.failed_reads = 0;
        let before = self.history.head();
        self.offer(now, Source::Objects, records, outputs);
        let stuck = !records.is_empty() && self.history.head() == before;
        let pause = if stuck { READ_RETRY_MILLISECONDS } else { 0 };
        self.watch = Watch::Idle {
            not_before: now + pause,
        };
    }

    fn objects_unread(&mut self, now: u64, outputs: &mut Vec<Output>) {
        self.failed_reads += 1;
        self.watch = Watch::Idle {
            not_before: now + READ_RETRY_MILLISECONDS,
        };
        if self.is_elected_reader()
            && self
                .failed_reads
                .is_multiple_of(FAILED_READS_BEFORE_HANDOVER)
        {
            let turn = (self.failed_reads / FAILED_READS_BEFORE_HANDOVER - 1) as usize;
            let others = self.reader_order.get(READERS_PER_REGION..).unwrap_or(&[]);
            if !others.is_empty() {
                let to = others[turn % others.len()];
                let message = Message::TakeOverReading;
                outputs.push(Output::Send { to, message });
            }
        }
    }

    fn watch_if_reader(&mut self, now: u64, outputs: &mut Vec<Output>) {
        let Watch::Idle { not_before } = self.watch else {
            return;
        };
        if now >= not_before && self.is_reader(now) {
            self.watch = Watch::Running;
            let after = self.history.head();
            outputs.push(Output::WatchObjects { after });
        }
    }
}

fn is_small_and_whole(records: &[Record], head: Revision) -> bool {
    let bytes: usize = records.iter().map(|record| record.text.len()).sum();
    bytes <= EAGER_PUSH_BYTES && records.last().is_some_and(|last| last.revision == head)
}
