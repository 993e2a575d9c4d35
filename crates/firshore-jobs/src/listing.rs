//! Results as the table lists them: which item stands at which position, and where its text lies.
//!
//! Texts stay in the entries of the log that brought them. The table names the entry, so that
//! neither memory nor snapshots hold them.

use crate::command::{Action, Command};
use firshore_adapter::jobs::{ItemOutcome, ItemResult, ResultPage};
use firshore_replication::types::LogIndex;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where a result lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultPlace {
    /// Entry of the log.
    #[serde(rename = "e")]
    pub entry: LogIndex,
    /// Position among the results of that entry.
    #[serde(rename = "p")]
    pub position: u32,
}

/// A result at its position in the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedResult {
    /// Item.
    pub item: String,
    /// Where what became of it lies.
    pub place: ResultPlace,
    /// Size of its text in bytes.
    pub bytes: u32,
}

/// A part of a job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedPage {
    /// Items of the job.
    pub total: u64,
    /// Position of the first result here.
    pub from: u64,
    /// Results.
    pub results: Vec<ListedResult>,
}

/// Takes a result out of the entry that holds it: texts are long, so they are moved.
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
    /// Size of the texts of its results in bytes.
    pub fn bytes(&self) -> usize {
        self.results.iter().map(|one| one.bytes as usize).sum()
    }

    /// Entries that hold its results.
    pub fn entries(&self) -> BTreeSet<LogIndex> {
        let places = self.results.iter().map(|result| result.place);
        places.map(|place| place.entry).collect()
    }

    /// The page with its results, from the commands of [`Self::entries`]; `None` if one is missing.
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
