//! Determines what began a stream that a caller takes up, and keeps the origins of streams. No I/O; the time is passed
//! in.
//!
//! A node records the origin of each stream at other nodes before it passes on the first event, unless only one
//! software version was listed for as long as a stream lasts. Whoever takes up a stream either finds that record, or
//! knows that there was a single version up to the moment at which the stream was taken up, or refuses.

use crate::software_history::SoftwareHistory;
use firshore_adapter::text_origin::TextOrigin;
use firshore_crashes::fingerprint::RequestFingerprint;
use firshore_types::ids::{ServiceName, SoftwareVersion};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

/// Maximum time from the first event of a stream until a caller takes it up for the last time: twice the longest
/// deadline of callers.
pub const STREAM_LIFETIME: Duration = Duration::from_secs(20);

/// Maximum number of origins that a node keeps; about 200 bytes each. The oldest are dropped first.
const MAX_ORIGINS: usize = 32_768;

/// Identifies a stream by the caller, the route and the attempt that brought its first event. A keyed digest, so that
/// callers can't find streams of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(pub RequestFingerprint);

/// Origin of one stream, as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginRecord {
    /// Stream.
    #[serde(rename = "k")]
    pub key: StreamKey,
    /// What produced its first event.
    #[serde(rename = "o")]
    pub origin: TextOrigin,
    /// Time since its first event, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
}

/// Query for what began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginQuery {
    /// Stream; `None` if the caller doesn't state the attempt that began it.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub key: Option<StreamKey>,
    /// Service that would continue it.
    #[serde(rename = "s")]
    pub service: ServiceName,
}

/// What a node knows about the beginning of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginKnowledge {
    /// Record of the stream.
    #[serde(rename = "r", default, skip_serializing_if = "Option::is_none")]
    pub record: Option<OriginRecord>,
    /// Software versions of the service that were listed within [`STREAM_LIFETIME`].
    #[serde(rename = "v", default)]
    pub versions: BTreeSet<SoftwareVersion>,
    /// Whether these are all: the node observed the back ends without a gap, and each entry named a version. In an
    /// answer to a query: up to the moment at which the query arrived.
    #[serde(rename = "c", default)]
    pub complete: bool,
}

impl OriginKnowledge {
    /// Returns what a history shows at `now`, by an observer that had no gap for `observed`; `None` if it doesn't
    /// observe now.
    pub fn of(
        history: &SoftwareHistory,
        now: Instant,
        service: &ServiceName,
        observed: Option<Duration>,
    ) -> Self {
        let recent: Vec<_> = history.recent(now, service).collect();
        let observed_all = observed.is_some_and(|observed| observed >= STREAM_LIFETIME);
        Self {
            record: None,
            complete: observed_all && recent.iter().all(Option::is_some),
            versions: recent.into_iter().flatten().cloned().collect(),
        }
    }

    /// Returns the software version that every stream began at; `None` if there may be several.
    pub fn only_version(&self) -> Option<&SoftwareVersion> {
        let version = self.versions.first()?;
        (self.complete && self.versions.len() == 1).then_some(version)
    }
}

/// Answers of other nodes to a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OriginAnswers {
    /// What the nodes know that answered.
    pub known: Vec<OriginKnowledge>,
    /// Whether there are nodes that keep records.
    pub has_holders: bool,
    /// Whether any of those that would hold the record of this stream answered.
    pub holder_answered: bool,
}

impl OriginAnswers {
    /// Returns that no node answered in time.
    pub fn unanswered() -> Self {
        Self {
            has_holders: true,
            ..Self::default()
        }
    }

    /// Returns whether a record was found.
    pub fn has_record(&self) -> bool {
        self.known.iter().any(|known| known.record.is_some())
    }

    /// Returns whether a node that answered knows that every stream began at the same version.
    pub fn has_only_version(&self) -> bool {
        let mut known = self.known.iter();
        known.any(|known| known.only_version().is_some())
    }
}

/// Where the origin of a stream is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// This node began the stream.
    Local,
    /// A record at another node.
    Record,
    /// Only one version was listed for as long as a stream lasts.
    OnlyVersion,
}

/// What began a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OriginDecision {
    /// The stream may continue at back ends that the origin allows.
    Known {
        /// What produced its first event.
        origin: TextOrigin,
        /// Where that is known from.
        source: OriginSource,
        /// Time since its first event, if known.
        age: Option<Duration>,
    },
    /// No back end may continue it.
    Unknown,
}

/// Determines what began a stream, from the record of this node, what this node knows of the versions, and the answers
/// of others.
pub fn decide(
    query: &OriginQuery,
    local: Option<(TextOrigin, Duration)>,
    own: &OriginKnowledge,
    answers: &OriginAnswers,
) -> OriginDecision {
    if let Some((origin, age)) = local {
        return OriginDecision::Known {
            origin,
            source: OriginSource::Local,
            age: Some(age),
        };
    }
    let mut records = answers
        .known
        .iter()
        .filter_map(|known| known.record.as_ref());
    if let Some(record) = records.next() {
        // Nodes that disagree prove that one attempt began several streams.
        if records.any(|other| other.origin != record.origin) {
            return OriginDecision::Unknown;
        }
        return OriginDecision::Known {
            origin: record.origin.clone(),
            source: OriginSource::Record,
            age: Some(Duration::from_millis(record.age)),
        };
    }
    // A record that no holder could be asked for may exist.
    if query.key.is_some() && answers.has_holders && !answers.holder_answered {
        return OriginDecision::Unknown;
    }
    match only_version(own, answers) {
        Some(version) => OriginDecision::Known {
            origin: TextOrigin::of_version(query.service.clone(), version),
            source: OriginSource::OnlyVersion,
            age: None,
        },
        None => OriginDecision::Unknown,
    }
}

/// Returns the only version that anyone has seen, if someone has seen all.
fn only_version(own: &OriginKnowledge, answers: &OriginAnswers) -> Option<SoftwareVersion> {
    let all = || std::iter::once(own).chain(&answers.known);
    let seen: BTreeSet<&SoftwareVersion> = all().flat_map(|known| &known.versions).collect();
    let version = all().find_map(OriginKnowledge::only_version)?;
    (seen.len() == 1).then(|| version.clone())
}

#[derive(Clone, Debug)]
struct KeptOrigin {
    /// `None` after records with different origins.
    origin: Option<TextOrigin>,
    begun_at: Instant,
    inserted_at: Instant,
    /// Whether other nodes were told.
    reported: bool,
}

/// Origins of streams that began within [`STREAM_LIFETIME`].
#[derive(Debug, Default)]
pub struct OriginTable {
    origins: BTreeMap<StreamKey, KeptOrigin>,
    /// Keys in order of their insertion.
    order: VecDeque<(Instant, StreamKey)>,
}

impl OriginTable {
    /// Records the origin of a stream that began at `begun_at`. A second origin of the same stream makes it unknown.
    pub fn insert(&mut self, now: Instant, key: StreamKey, origin: TextOrigin, begun_at: Instant) {
        self.remove_old(now);
        if let Some(kept) = self.origins.get_mut(&key) {
            if kept.origin.as_ref() != Some(&origin) {
                kept.origin = None;
            }
            return;
        }
        let kept = KeptOrigin {
            origin: Some(origin),
            begun_at,
            inserted_at: now,
            reported: false,
        };
        self.origins.insert(key, kept);
        self.order.push_back((now, key));
    }

    /// Removes a stream that is complete, so that nobody takes it up.
    pub fn remove(&mut self, key: &StreamKey) {
        self.origins.remove(key);
    }

    fn remove_old(&mut self, now: Instant) {
        while let Some((inserted_at, key)) = self.order.front() {
            let is_old = now.saturating_duration_since(*inserted_at) >= STREAM_LIFETIME;
            if !is_old && self.order.len() < MAX_ORIGINS {
                return;
            }
            // The stream may have been removed and inserted again since.
            if let Some(kept) = self.origins.get(key)
                && kept.inserted_at == *inserted_at
            {
                self.origins.remove(key);
            }
            self.order.pop_front();
        }
    }

    /// Returns the origin of a stream and the time since its first event.
    pub fn find(&self, now: Instant, key: &StreamKey) -> Option<(TextOrigin, Duration)> {
        let kept = self.origins.get(key)?;
        let age = now.saturating_duration_since(kept.begun_at);
        (age < STREAM_LIFETIME).then(|| Some((kept.origin.clone()?, age)))?
    }

    /// Returns up to `limit` streams that were not reported to other nodes yet, and marks them as reported.
    pub fn take_unreported(&mut self, now: Instant, limit: usize) -> Vec<OriginRecord> {
        let unreported = self.origins.iter_mut().filter(|(_, kept)| !kept.reported);
        let records = unreported.filter_map(|(key, kept)| {
            kept.reported = true;
            Some(OriginRecord {
                key: *key,
                origin: kept.origin.clone()?,
                age: now.saturating_duration_since(kept.begun_at).as_millis() as u64,
            })
        });
        records.take(limit).collect()
    }

    /// Records that other nodes were told of a stream.
    pub fn mark_reported(&mut self, key: &StreamKey) {
        if let Some(kept) = self.origins.get_mut(key) {
            kept.reported = true;
        }
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.origins.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.origins.is_empty()
    }
}
