//! Accepted changes as a hash chain: each contains the digest of the history before it.
//!
//! Change objects are stored and forwarded byte for byte, so nodes of different versions compute the
//! same digests and preserve fields that they cannot read.

use firshore_types::configuration::Change;
use firshore_types::ids::Revision;
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};
use std::collections::VecDeque;
use std::fmt;

/// Maximum number of records kept for lagging peers.
pub const HISTORY_RECORDS: usize = 4_096;

/// Maximum bytes of record text kept for lagging peers.
pub const HISTORY_BYTES: usize = 2 * 1024 * 1024;

/// Maximum number of digests kept to detect diverging histories; 36 hours at 11,000 changes a day.
pub const HISTORY_DIGESTS: usize = 16_384;

/// Digest of the whole history up to one revision: SHA-256, shortened to 128 bits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct HistoryDigest([u8; 16]);

impl fmt::Display for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for HistoryDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl From<HistoryDigest> for String {
    fn from(digest: HistoryDigest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for HistoryDigest {
    type Error = hex::FromHexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        let mut bytes = [0; 16];
        hex::decode_to_slice(text, &mut bytes)?;
        Ok(Self(bytes))
    }
}

quick_error! {
    /// Reason why a change object is not usable.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum RecordError {
        /// Not a change object, or of a version that this node cannot read.
        Unreadable(reason: String) {
            display("The change cannot be read: {reason}. Upgrade this node, or undo the change with a new one.")
        }
        /// The change does not follow this node's history.
        Divergent {
            display("The change belongs to another history. Was the object API restored from a backup? Keep the nodes running and apply again through one of them; it writes the missing changes back.")
        }
    }
}

/// Content of a change object: the change and the digest of the history before it.
#[derive(Serialize, Deserialize)]
struct ChangeObject {
    revision: Revision,
    previous: HistoryDigest,
    change: Box<RawValue>,
}

/// One accepted change, with its original text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Revision that the change creates.
    pub revision: Revision,
    /// Text of the change object.
    pub text: String,
}

impl Record {
    /// Creates the record of `change` that follows the history with digest `previous`.
    pub fn new(previous: HistoryDigest, change: &Change) -> Self {
        let text = serde_json::to_string(change).expect("changes serialise");
        let object = ChangeObject {
            revision: change.revision,
            previous,
            change: RawValue::from_string(text).expect("the text is JSON"),
        };
        Self {
            revision: change.revision,
            text: serde_json::to_string(&object).expect("change objects serialise"),
        }
    }

    /// Parses the text of a change object, but not the change itself.
    pub fn from_text(text: String) -> Result<Self, RecordError> {
        let object = parse(&text)?;
        let revision = object.revision;
        Ok(Self { revision, text })
    }

    /// Returns the digest of the history up to and including this record.
    pub fn digest(&self) -> HistoryDigest {
        let hash = Sha256::digest(self.text.as_bytes());
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hash[..16]);
        HistoryDigest(bytes)
    }

    /// Returns the digest of the history before this record.
    pub fn previous(&self) -> Result<HistoryDigest, RecordError> {
        Ok(parse(&self.text)?.previous)
    }

    /// Parses the change; unknown fields are an error.
    pub fn change(&self) -> Result<Change, RecordError> {
        let object = parse(&self.text)?;
        let change: Change = serde_json::from_str(object.change.get()).map_err(unreadable)?;
        if change.revision != self.revision || object.revision != self.revision {
            let reason = "its revisions contradict one another".to_owned();
            return Err(RecordError::Unreadable(reason));
        }
        Ok(change)
    }
}

fn parse(text: &str) -> Result<ChangeObject, RecordError> {
    serde_json::from_str(text).map_err(unreadable)
}

fn unreadable(error: serde_json::Error) -> RecordError {
    RecordError::Unreadable(error.to_string())
}

/// Most recent section of a node's chain of changes.
#[derive(Clone, Debug, Default)]
pub struct History {
    head: Revision,
    head_digest: HistoryDigest,
    records: VecDeque<Record>,
    record_bytes: usize,
    /// Digests of the revisions before the head, oldest first, without gaps.
    earlier_digests: VecDeque<HistoryDigest>,
}

impl History {
    /// Creates a history that starts at the given revision and digest, without earlier records.
    pub fn starting_at(head: Revision, head_digest: HistoryDigest) -> Self {
        Self {
            head,
            head_digest,
            ..Self::default()
        }
    }

    /// Returns the newest revision.
    pub fn head(&self) -> Revision {
        self.head
    }

    /// Returns the digest at the newest revision.
    pub fn head_digest(&self) -> HistoryDigest {
        self.head_digest
    }

    /// Returns the digest at `revision`, if it is still kept.
    pub fn digest_at(&self, revision: Revision) -> Option<HistoryDigest> {
        if revision == self.head {
            return Some(self.head_digest);
        }
        let offset = self.head.0.checked_sub(revision.0)? as usize;
        let index = self.earlier_digests.len().checked_sub(offset)?;
        self.earlier_digests.get(index).copied()
    }

    /// Returns the records after `revision`, up to `limit` bytes and at least one, or `None` if some
    /// are no longer kept.
    pub fn after(&self, revision: Revision, limit: usize) -> Option<Vec<Record>> {
        let count = self.head.0.checked_sub(revision.0)? as usize;
        let start = self.records.len().checked_sub(count)?;
        let mut bytes = 0;
        let mut selected = Vec::new();
        for record in self.records.range(start..) {
            bytes += record.text.len();
            if bytes > limit && !selected.is_empty() {
                break;
            }
            selected.push(record.clone());
        }
        Some(selected)
    }

    /// Returns the record of `revision`, if it is still kept.
    pub fn record(&self, revision: Revision) -> Option<&Record> {
        let offset = self.head.0.checked_sub(revision.0)? as usize;
        let index = self.records.len().checked_sub(offset + 1)?;
        self.records.get(index)
    }

    /// Appends a record; the caller must check that it directly follows the head.
    pub fn append(&mut self, record: Record) {
        self.earlier_digests.push_back(self.head_digest);
        self.head = record.revision;
        self.head_digest = record.digest();
        self.record_bytes += record.text.len();
        self.records.push_back(record);
        while self.records.len() > HISTORY_RECORDS
            || (self.record_bytes > HISTORY_BYTES && self.records.len() > 1)
        {
            let oldest = self.records.pop_front().expect("more than one is kept");
            self.record_bytes -= oldest.text.len();
        }
        if self.earlier_digests.len() > HISTORY_DIGESTS {
            self.earlier_digests.pop_front();
        }
    }
}
