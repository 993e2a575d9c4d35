//! Uploads: jobs being submitted that are not accepted yet.

use crate::command::{Item, Submission};
use crate::item_set::ItemSet;
use crate::item_store::ItemStore;
use serde::{Deserialize, Serialize};

/// A job that is being uploaded.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Upload {
    pub(crate) submission: Submission,
    pub(crate) items: ItemStore,
    pub(crate) non_repeatable: ItemSet,
    next_sequence: u32,
    pub(crate) touched_at: u64,
}

impl Upload {
    pub(crate) fn new(submission: Submission, now: u64) -> Self {
        Self {
            submission,
            items: ItemStore::default(),
            non_repeatable: ItemSet::default(),
            next_sequence: 0,
            touched_at: now,
        }
    }

    /// Adds chunk `sequence`, ignoring one added before. Returns `false` if a chunk is missing.
    pub(crate) fn append(&mut self, sequence: u32, items: &[Item], now: u64) -> bool {
        self.touched_at = now;
        if sequence > self.next_sequence {
            return false;
        }
        if sequence < self.next_sequence {
            return true;
        }
        let start = self.items.total();
        let positions = start..start + items.len() as u32;
        for (index, item) in positions.zip(items) {
            if !item.repeatable {
                self.non_repeatable.insert(index);
            }
        }
        self.items.append(items);
        self.next_sequence += 1;
        true
    }
}
