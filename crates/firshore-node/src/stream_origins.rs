//! Origins of streams that this node keeps for others, and the software versions that it has observed as a relay.

use crate::list_watch::ObjectUpdate;
use firshore_adapter::decode::Decoder;
use firshore_adapter::incarnation::BackendName;
use firshore_adapter::objects::{Change, Object};
use firshore_gateway::freshness::Continuity;
use firshore_gateway::software_history::SoftwareHistory;
use firshore_gateway::stream_origin::{OriginKnowledge, OriginQuery, OriginRecord, OriginTable};
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Maximum time for which a query waits until this node's observation is current. A relay checks the store each 0.3 s with
/// a bound of 2 s, 0.6 s with one of 4 s (`budget.rs`).
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Back ends as this node has observed them as a relay.
struct ObservedSoftware {
    history: SoftwareHistory,
    listed: HashSet<BackendName>,
}

/// Knowledge about streams that a node with a disk keeps for other nodes.
pub struct StreamOrigins {
    decoder: Rc<dyn Decoder>,
    table: RefCell<OriginTable>,
    observed: RefCell<ObservedSoftware>,
    continuity: Continuity,
}

impl StreamOrigins {
    /// Creates an empty table. `decoder` decodes the entries of back ends.
    pub fn new(decoder: Rc<dyn Decoder>) -> Rc<Self> {
        Rc::new(Self {
            decoder,
            table: RefCell::default(),
            observed: RefCell::new(ObservedSoftware {
                history: SoftwareHistory::default(),
                listed: HashSet::new(),
            }),
            continuity: Continuity::default(),
        })
    }

    /// Keeps origins of streams.
    pub fn record(&self, now: Instant, records: Vec<OriginRecord>) {
        let mut table = self.table.borrow_mut();
        for record in records {
            let age = Duration::from_millis(record.age);
            let begun_at = now.checked_sub(age).unwrap_or(now);
            table.insert(now, record.key, record.origin, begun_at);
        }
    }

    /// Returns what this node knows about the beginning of a stream. Without a record, and while it knows a single
    /// version, waits until it has observed the back ends as of now: another version may have joined since it last did.
    pub async fn find(&self, query: &OriginQuery) -> OriginKnowledge {
        let arrived = firshore_clock::now();
        let mut known = self.look_up(query);
        if known.record.is_none() && known.only_version().is_some() {
            // At the timeout the answer is not complete.
            let _ = timeout(CONFIRMATION_TIMEOUT, self.continuity.reach(arrived)).await;
            known = self.look_up(query);
        }
        known.complete &= self.continuity.covers(arrived);
        known
    }

    /// Returns what this node knows now, as of its last observation.
    fn look_up(&self, query: &OriginQuery) -> OriginKnowledge {
        let now = Instant::now();
        let unbroken = self.continuity.unbroken_for();
        let observed = self.observed.borrow();
        let knowledge = OriginKnowledge::of(&observed.history, now, &query.service, unbroken);
        let record = query.key.and_then(|key| {
            let (origin, age) = self.table.borrow().find(now, &key)?;
            let is_doubtful = now
                .checked_sub(age)
                .is_some_and(|begun_at| observed.history.is_doubtful(&origin, begun_at));
            let age = age.as_millis() as u64;
            (!is_doubtful).then_some(OriginRecord { key, origin, age })
        });
        OriginKnowledge {
            record,
            ..knowledge
        }
    }

    /// Records that a relay has started to follow a kind of objects: earlier observations are too old.
    pub fn begin(&self, kind: &str) {
        if kind == self.decoder.backend_kind() {
            self.continuity.forget();
        }
    }

    /// Records that a relay's copy of a kind is current as of a moment.
    pub fn confirm(&self, kind: &str, as_of: tokio::time::Instant) {
        if kind == self.decoder.backend_kind() {
            self.continuity.confirm(as_of);
        }
    }

    /// Records what a relay has observed of a kind of objects, current as of a moment.
    pub fn observe(&self, kind: &str, update: Option<&ObjectUpdate>, as_of: tokio::time::Instant) {
        if kind != self.decoder.backend_kind() {
            return;
        }
        let now = Instant::now();
        let mut observed = self.observed.borrow_mut();
        match update {
            None => {}
            Some(ObjectUpdate::All(objects)) => {
                let names = objects.iter();
                let names: HashSet<BackendName> =
                    names.map(|object| object.name.as_str().into()).collect();
                let gone: Vec<BackendName> = observed.listed.difference(&names).cloned().collect();
                for name in gone {
                    observed.remove(now, &name);
                }
                for object in objects {
                    observed.write(now, &*self.decoder, object);
                }
            }
            Some(ObjectUpdate::Changed(changes)) => {
                for change in changes {
                    match change {
                        Change::Written(object) => observed.write(now, &*self.decoder, object),
                        Change::Removed(name) => observed.remove(now, &name.as_str().into()),
                    }
                }
            }
        }
        self.continuity.confirm(as_of);
    }
}

impl ObservedSoftware {
    fn write(&mut self, now: Instant, decoder: &dyn Decoder, object: &Object) {
        let Ok(backend) = decoder.backend(object) else {
            return self.remove(now, &object.name.as_str().into());
        };
        self.listed.insert(backend.incarnation.name.clone());
        self.history.list(now, &backend);
    }

    fn remove(&mut self, now: Instant, name: &BackendName) {
        self.listed.remove(name);
        self.history.remove(now, name);
    }
}
