//! What an engine tells and takes beside requests: load, cache events, KV memory, orders, its log.

use super::Engine;
use crate::engine_model::Microseconds;
use crate::engine_model::cache::CachePage;
use crate::engine_model::kept::KvExport;
use crate::engine_model::load::LoadReport;
use crate::engine_model::order::{Fence, Order, OrderOutcome, StaleFence};
use crate::engine_model::request::Execution;

impl Engine {
    /// Load at this moment, as it rides on answers.
    pub fn fresh_load(&self) -> LoadReport {
        let online = self
            .running
            .values()
            .filter(|run| run.submission.is_online());
        let online_running = online.count() as u32;
        let running = self.running.len() as u32;
        LoadReport {
            running,
            waiting: self.waiting.len() as u32,
            slots: self.settings.slots,
            online_running,
            batch_running: running - online_running,
            kv_blocks_used: self.memory_used(),
            kv_blocks_total: self.settings.kv_blocks,
            role: self.placement.role,
            models: self.placement.models(),
            loading: self.placement.loading(),
            adapters: self.placement.adapters(),
            draining: self.faults.draining,
            step_milliseconds: self.last_iteration as f64 / 1000.0,
            age_milliseconds: 0,
        }
    }

    /// Load as the engine reports it: late, and at fixed intervals.
    pub fn lagged_load(&mut self, now: Microseconds) -> LoadReport {
        self.advance(now);
        let report = self.history.read(now, &self.settings);
        report.unwrap_or_else(|| self.fresh_load())
    }

    pub(super) fn record_load(&mut self, at: Microseconds) {
        if !self.faults.freeze_load {
            let report = self.fresh_load();
            self.history.record(at, report, &self.settings);
        }
    }

    /// Cache events after a position: late, and some never.
    pub fn cache_events(&mut self, now: Microseconds, after: u64) -> CachePage {
        self.advance(now);
        self.cache.events_after(now, after)
    }

    /// KV memory of a kept generation, and how long reading it takes.
    pub fn export_kv(
        &mut self,
        now: Microseconds,
        request_id: &str,
    ) -> Option<(KvExport, Microseconds)> {
        self.advance(now);
        let export = self.kept.get(request_id)?.export.clone();
        let duration = self.transfer_time(&export);
        Some((export, duration))
    }

    /// Takes in the KV memory of another engine's generation. Gives how long writing it takes, or
    /// `None` when it does not fit.
    pub fn import_kv(&mut self, now: Microseconds, export: KvExport) -> Option<Microseconds> {
        self.advance(now);
        let in_use: u32 = self.running.values().map(|run| run.private_blocks).sum();
        let pinned = self.cache.len() - self.cache.evictable();
        if export.blocks > self.settings.kv_blocks.saturating_sub(in_use + pinned) {
            return None;
        }
        let duration = self.transfer_time(&export);
        let until = now + duration + self.settings.scaled(self.settings.kept_for);
        let spared = export.request_id.clone();
        self.kept.insert(export.clone(), export.blocks, until);
        while self.memory_used() > self.settings.kv_blocks {
            let evicted = self.cache.evict(now, &self.settings);
            if !evicted && !self.kept.drop_oldest(&spared) {
                break;
            }
        }
        self.record_load(now);
        Some(duration)
    }

    fn transfer_time(&self, export: &KvExport) -> Microseconds {
        let blocks = u64::from(export.blocks);
        self.settings
            .scaled(self.settings.kv_transfer_per_block * blocks)
    }

    /// Takes an order unless its fence is stale.
    pub fn order(
        &mut self,
        now: Microseconds,
        fence: Fence,
        order: Order,
    ) -> Result<OrderOutcome, StaleFence> {
        self.advance(now);
        let outcome = self.placement.take(now, fence, order, &self.settings)?;
        self.record_load(now);
        Ok(outcome)
    }

    /// Whether a model load waits for the weight store's leave.
    pub fn awaits_weights(&self) -> bool {
        self.placement.awaits_store()
    }

    /// The weight store lets the awaited load begin.
    pub fn weights_granted(&mut self, now: Microseconds) {
        self.placement.weights_granted(now, &self.settings);
    }

    /// Version of a loaded model.
    pub fn model_version(&self, model: &str) -> Option<&str> {
        self.placement.version(model)
    }

    /// The execution log, in order of start or refusal.
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }
}
