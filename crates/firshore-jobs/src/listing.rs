//! Results as the table lists them: the item at each position, and where its text is stored.
//!
//! Texts stay in the log entries that brought them. The table refers to these entries, so that
//! neither memory nor snapshots hold the texts.

use crate::command::{Action, Command};
use firshore_adapter::jobs::{ItemOutcome, ItemResult, ResultPage};
use firshore_replication::types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Place at which a result is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPlace {
    /// Log entry.
    #[serde(rename = "e")]
    pub entry: LogIndex,
    /// Position among the results of that entry.
    #[serde(rename = "p")]
    pub position: u32,
}

/// A result at its position in the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    /// Identifier of the item.
    pub item: String,
    /// Place at which its outcome is stored.
    pub place: ResultPlace,
    /// Size of its text in bytes.
    pub bytes: u32,
}

/// A page of a job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPage {
    /// Number of the job's items.
    pub total: u64,
    /// Position of the first result on this page.
    pub from: u64,
    /// Results.
    pub results: Vec<ListedResult>,
}

/// Moves a result out of the entry that holds it, as copying texts is expensive.
fn take_outcome(
    commands: &mut BTreeMap<LogIndex, Command>,
    place: ResultPlace,
) -> Option<ItemOutcome> {
    let Action::Complete(completions) = &mut commands.get_mut(&place.entry)?.action else {
        return None;
    };
    let completion = completions.get_mut(place.position as usize)?;
    let taken = std::mem::replace(&mut completion.outcome, ItemOutcome::GivenUp);
    Some(taken)
}

impl ListedPage {
    /// Returns the total size of the results' texts in bytes.
    pub fn bytes(&self) -> usize {
        self.results.iter().map(|one| one.bytes as usize).sum()
    }

    /// Returns the log entries that hold its results.
    pub fn entries(&self) -> BTreeSet<LogIndex> {
        let places = self.results.iter().map(|result| result.place);
        places.map(|place| place.entry).collect()
    }

    /// Returns the page with its outcomes, from the commands of [`Self::entries`]; `None` if one is
    /// missing.
    pub fn into_result_page(self, mut commands: BTreeMap<LogIndex, Command>) -> Option<ResultPage> {
        let results = self.results.into_iter().map(|listed| {
            Some(ItemResult {
                outcome: take_outcome(&mut commands, listed.place)?,
                item: listed.item,
            })
        });
        Some(ResultPage {
            total: self.total,
            from: self.from,
            results: results.collect::<Option<_>>()?,
        })
    }
}
