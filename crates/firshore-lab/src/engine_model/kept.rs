//! Generations that stay for a resume after their run has ended.

use crate::engine_model::Microseconds;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// KV memory of one generation, to be moved to another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// Request.
    pub request_id: String,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Hashes of the prompt's whole blocks.
    pub prompt_blocks: Vec<u64>,
    /// Tokens generated.
    pub generated: u32,
    /// Blocks that the whole takes.
    pub blocks: u32,
}

pub(crate) struct Kept {
    pub(crate) export: KvExport,
    /// Blocks beyond those in the prefix cache.
    pub(crate) private_blocks: u32,
    pub(crate) until: Microseconds,
    order: u64,
}

#[derive(Default)]
pub(crate) struct KeptGenerations {
    by_request: HashMap<String, Kept>,
    next_order: u64,
    blocks: u32,
}

impl KeptGenerations {
    pub(crate) fn blocks(&self) -> u32 {
        self.blocks
    }

    pub(crate) fn get(&self, request_id: &str) -> Option<&Kept> {
        self.by_request.get(request_id)
    }

    pub(crate) fn insert(&mut self, export: KvExport, private_blocks: u32, until: Microseconds) {
        self.remove(&export.request_id);
        self.next_order += 1;
        self.blocks += private_blocks;
        let kept = Kept {
            private_blocks,
            until,
            order: self.next_order,
            export,
        };
        self.by_request.insert(kept.export.request_id.clone(), kept);
    }

    pub(crate) fn remove(&mut self, request_id: &str) -> Option<Kept> {
        let kept = self.by_request.remove(request_id)?;
        self.blocks -= kept.private_blocks;
        Some(kept)
    }

    /// Drops the oldest generation but `spared`; `false` when there is none.
    pub(crate) fn drop_oldest(&mut self, spared: &str) -> bool {
        let oldest = self
            .by_request
            .iter()
            .filter(|(request_id, _)| *request_id != spared)
            .min_by_key(|(_, kept)| kept.order)
            .map(|(request_id, _)| request_id.clone());
        oldest.is_some_and(|request_id| self.remove(&request_id).is_some())
    }

    pub(crate) fn expire(&mut self, now: Microseconds) {
        let blocks = &mut self.blocks;
        self.by_request.retain(|_, kept| {
            let stays = kept.until > now;
            if !stays {
                *blocks -= kept.private_blocks;
            }
            stays
        });
    }
}
