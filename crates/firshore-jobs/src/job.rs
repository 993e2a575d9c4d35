//! One job with its items and results.

use crate::command::{ItemIndex, JobHeader};
use crate::listing::{ListedPage, ListedResult, ResultPlace};
use firshore_adapter::jobs::{ItemOutcome, JobItem};
use firshore_replication::types::LogIndex;
use firshore_types::payload::Payload;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredItem {
    item: JobItem,
    finished: bool,
    /// Back ends that ran it and failed.
    failures: u32,
    /// Run of the last failure.
    failed_run: Option<u64>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredResult {
    item: ItemIndex,
    place: ResultPlace,
    /// Size of its text in bytes.
    bytes: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Job {
    pub(crate) header: JobHeader,
    pub(crate) submitted_at: u64,
    ended: bool,
    items: Vec<StoredItem>,
    results: Vec<StoredResult>,
}

fn text_bytes(outcome: &ItemOutcome) -> usize {
    match outcome {
        ItemOutcome::Done(events) => events.iter().map(String::len).sum(),
        ItemOutcome::GivenUp => 0,
    }
}

impl Job {
    pub(crate) fn new(header: JobHeader, items: Vec<JobItem>, submitted_at: u64) -> Self {
        let items = items.into_iter().map(|item| StoredItem {
            item,
            finished: false,
            failures: 0,
            failed_run: None,
        });
        Self {
            header,
            submitted_at,
            ended: false,
            items: items.collect(),
            results: Vec::new(),
        }
    }

    /// Returns the approximate memory use in bytes.
    pub(crate) fn held_bytes(&self) -> usize {
        let items = self.items.iter().map(|item| item.item.held_bytes());
        items.sum::<usize>() + self.results.len() * size_of::<StoredResult>()
    }

    pub(crate) fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended
    }

    pub(crate) fn result_count(&self) -> u64 {
        self.results.len() as u64
    }

    /// Returns the log entries that hold results.
    pub(crate) fn referenced(&self) -> impl Iterator<Item = LogIndex> + '_ {
        self.results.iter().map(|result| result.place.entry)
    }

    /// Adds a result that is stored at `place`.
    pub(crate) fn complete(&mut self, index: ItemIndex, outcome: &ItemOutcome, place: ResultPlace) {
        if self.ended {
            return;
        }
        let Some(item) = self.items.get_mut(index as usize) else {
            return;
        };
        if item.finished {
            return;
        }
        item.finished = true;
        // Only the result is needed from now on.
        item.item.body = Vec::new().into();
        item.item.headers = Vec::new();
        item.item.path = String::new();
        self.results.push(StoredResult {
            item: index,
            place,
            bytes: text_bytes(outcome) as u32,
        });
    }

    /// Records that a back end failed on an item.
    pub(crate) fn record_failure(&mut self, index: ItemIndex, run: u64) {
        let Some(item) = self.items.get_mut(index as usize) else {
            return;
        };
        if item.failed_run != Some(run) {
            item.failed_run = Some(run);
            item.failures += 1;
        }
    }

    /// Returns the number of back ends that failed on an item.
    pub(crate) fn failures(&self, index: ItemIndex) -> u32 {
        self.items
            .get(index as usize)
            .map_or(0, |item| item.failures)
    }

    pub(crate) fn end(&mut self) {
        self.ended = true;
        for item in self.items.iter_mut().filter(|item| !item.finished) {
            item.item.body = Vec::new().into();
            item.item.headers = Vec::new();
        }
    }

    pub(crate) fn unfinished(&self) -> impl Iterator<Item = (ItemIndex, &JobItem)> {
        let open = self.is_open();
        let items = self.items.iter().enumerate();
        items
            .filter(move |(_, item)| open && !item.finished)
            .map(|(index, item)| (index as ItemIndex, &item.item))
    }

    /// Returns the tokens of its open items.
    pub(crate) fn unfinished_tokens(&self) -> u64 {
        self.unfinished().map(|(_, item)| item.tokens).sum()
    }

    pub(crate) fn is_unfinished(&self, index: ItemIndex) -> bool {
        let item = self.items.get(index as usize);
        !self.ended && item.is_some_and(|item| !item.finished)
    }

    pub(crate) fn body(&self, id: &str) -> Option<Payload> {
        if self.ended {
            return None;
        }
        let item = self.items.iter().find(|item| item.item.id == id)?;
        (!item.finished).then(|| item.item.body.clone())
    }

    /// Returns the results from a position on, of about `bytes` at most, but at least one if there is
    /// one.
    pub(crate) fn page(&self, from: u64, bytes: usize) -> ListedPage {
        let mut page_bytes = 0;
        let remaining = self.results.iter().skip(from as usize);
        let results = remaining.take_while(|result| {
            let is_first = page_bytes == 0;
            page_bytes += result.bytes as usize + 1;
            is_first || page_bytes <= bytes
        });
        let results = results.map(|result| ListedResult {
            item: self.items[result.item as usize].item.id.clone(),
            place: result.place,
            bytes: result.bytes,
        });
        ListedPage {
            total: self.items.len() as u64,
            from,
            results: results.collect(),
        }
    }
}
