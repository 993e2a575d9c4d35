//! Continuous batching: admission into slots and memory, iterations, preemption.

use super::{Engine, Iteration, Part, QueueKey, Run, blocks_of};
use crate::engine_model::cache::PrefixCache;
use crate::engine_model::kept::KvExport;
use crate::engine_model::request::{Event, Execution, Outcome};
use crate::engine_model::{EngineSettings, Microseconds};
use firshore_types::hash::WORDS_PER_BLOCK;

impl Engine {
    /// Admits what fits and starts an iteration if anything runs.
    pub(super) fn begin(&mut self, at: Microseconds) {
        self.admit(at);
        let mut budget = self.settings.prefill_chunk_tokens;
        let mut decoding = 0;
        let mut context = 0;
        let mut parts = Vec::with_capacity(self.running.len());
        for (key, run) in &self.running {
            let prefilled = run.prefill_left.min(budget);
            budget -= prefilled;
            let emits = prefilled == run.prefill_left;
            if emits && prefilled == 0 {
                decoding += 1;
                context += u64::from(run.context_tokens());
            }
            if emits || prefilled > 0 {
                parts.push(Part {
                    key: *key,
                    prefilled,
                    emits,
                });
            }
        }
        if parts.is_empty() {
            return;
        }
        let prefilled = self.settings.prefill_chunk_tokens - budget;
        let duration = self.settings.iteration(decoding, context, prefilled);
        let slow = self.faults.slow_factor.unwrap_or(1.0).max(0.0);
        self.last_iteration = (duration as f64 * slow) as Microseconds;
        self.iteration = Some(Iteration {
            ends_at: at + self.last_iteration.max(1),
            parts,
        });
    }

    /// Prefills, and emits a token for each run whose prompt is done.
    pub(super) fn finish(&mut self, iteration: Iteration) {
        let at = iteration.ends_at;
        for part in iteration.parts {
            // A run cancelled during the iteration is gone.
            let Some(run) = self.running.get_mut(&part.key) else {
                continue;
            };
            run.prefill_left -= part.prefilled;
            if part.prefilled > 0 && run.prefill_left == 0 {
                Self::store_prompt(&mut self.cache, &self.settings, at, run);
            }
            if part.emits {
                self.emit(at, part.key);
            }
        }
    }

    fn emit(&mut self, at: Microseconds, key: QueueKey) {
        let Some(run) = self.running.get_mut(&key) else {
            return;
        };
        if run.generated < run.submission.maximum_tokens {
            self.events.push(Event::Token {
                run: key.1,
                offset: run.generated,
                at,
            });
            run.generated += 1;
        }
        self.complete_if_done(at, key);
    }

    fn complete_if_done(&mut self, at: Microseconds, key: QueueKey) {
        let done = |run: &Run| run.generated >= run.submission.maximum_tokens;
        if !self.running.get(&key).is_some_and(done) {
            return;
        }
        if let Some(run) = self.running.remove(&key) {
            self.end(at, key, run, Outcome::Completed);
            self.events.push(Event::Completed { run: key.1, at });
        }
    }

    /// The prompt's whole blocks move from the run's own memory into the prefix cache.
    fn store_prompt(
        cache: &mut PrefixCache,
        settings: &EngineSettings,
        at: Microseconds,
        run: &mut Run,
    ) {
        for block in run.submission.prompt_blocks.iter().skip(run.pinned) {
            cache.store(at, *block, settings);
            run.private_blocks = run.private_blocks.saturating_sub(1);
        }
        run.pinned = run.submission.prompt_blocks.len();
    }

    fn admit(&mut self, at: Microseconds) {
        while let Some((key, _)) = self.waiting.first_key_value() {
            let key = *key;
            if self.has_slot() && self.reserve(at, key) {
                continue;
            }
            let online = self.waiting[&key].submission.is_online();
            if !online || !self.preempt_one(at) {
                return;
            }
        }
    }

    fn has_slot(&self) -> bool {
        (self.running.len() as u32) < self.settings.slots
    }

    pub(super) fn memory_used(&self) -> u32 {
        let private: u32 = self.running.values().map(|run| run.private_blocks).sum();
        self.cache.len() + self.kept.blocks() + private
    }

    /// Moves a waiting request into a slot if its memory fits, counting what can be reclaimed.
    fn reserve(&mut self, at: Microseconds, key: QueueKey) -> bool {
        let submission = &self.waiting[&key].submission;
        let hits = self.cache.hits(&submission.prompt_blocks);
        let hit_blocks = &submission.prompt_blocks[..hits];
        let needed = Self::blocks_needed(submission) - hits as u32;
        let free = self.settings.kv_blocks - self.memory_used();
        let own_unused = self.cache.unused_among(hit_blocks);
        let evictable = self.cache.evictable() - own_unused;
        if needed > free + evictable + self.kept.blocks() {
            return false;
        }
        let Some(mut run) = self.waiting.remove(&key) else {
            return false;
        };
        for block in &run.submission.prompt_blocks[..hits] {
            self.cache.pin(*block);
        }
        self.prefix_use.hit_blocks += hits as u64;
        self.prefix_use.blocks += run.submission.prompt_blocks.len() as u64;
        run.pinned = hits;
        run.private_blocks = needed;
        run.prefill_left = self.prefill_of(&run, hits);
        self.kept.remove(&run.submission.request_id);
        self.running.insert(key, run);
        self.reclaim(at);
        self.start(at, key);
        true
    }

    /// A kept generation needs no prefill. Else all but the cached blocks, and at least the last
    /// token, which the first answer token is computed from.
    fn prefill_of(&self, run: &Run, hits: usize) -> u32 {
        let resumed_from = run.submission.resume_from.unwrap_or(0);
        let kept = self.kept.get(&run.submission.request_id).is_some();
        if kept && resumed_from > 0 {
            return 0;
        }
        let cached = (hits * WORDS_PER_BLOCK) as u32;
        let context = run.submission.prompt_tokens + resumed_from;
        context.saturating_sub(cached).max(1)
    }

    fn reclaim(&mut self, at: Microseconds) {
        while self.memory_used() > self.settings.kv_blocks {
            let evicted = self.cache.evict(at, &self.settings);
            if !evicted && !self.kept.drop_oldest("") {
                return;
            }
        }
    }

    fn start(&mut self, at: Microseconds, key: QueueKey) {
        let Some(run) = self.running.get_mut(&key) else {
            return;
        };
        run.execution = Some(self.executions.len());
        self.executions.push(Execution {
            request_id: run.submission.request_id.clone(),
            marker: run.submission.marker.clone(),
            priority: run.submission.priority,
            queued: run.queued,
            started: at,
            ended: None,
            outcome: Outcome::Running,
            resumed_from: run.submission.resume_from,
            tokens: run.generated,
        });
        while run.generated < run.replayable.min(run.submission.maximum_tokens) {
            self.events.push(Event::Token {
                run: key.1,
                offset: run.generated,
                at,
            });
            run.generated += 1;
        }
        self.complete_if_done(at, key);
    }

    /// Puts the batch run of the lowest priority, the latest among equals, out of its slot.
    fn preempt_one(&mut self, at: Microseconds) -> bool {
        let last = self.running.last_key_value();
        if last.is_none_or(|(_, run)| run.submission.is_online()) {
            return false;
        }
        let Some((key, run)) = self.running.pop_last() else {
            return false;
        };
        let offset = run.generated;
        self.end(at, key, run, Outcome::Preempted);
        self.events.push(Event::Preempted {
            run: key.1,
            offset,
            at,
        });
        true
    }

    /// Writes a run's end into the log and keeps its generation for a resume.
    pub(super) fn end(&mut self, at: Microseconds, key: QueueKey, run: Run, outcome: Outcome) {
        if let Some(execution) = run
            .execution
            .and_then(|place| self.executions.get_mut(place))
        {
            execution.ended = Some(at);
            execution.outcome = outcome;
            execution.tokens = run.generated;
        }
        let request_id = run.submission.request_id.clone();
        self.forget(&request_id, key);
        self.cache
            .unpin(&run.submission.prompt_blocks[..run.pinned]);
        if run.prefill_left > 0 {
            return;
        }
        let held = blocks_of(run.submission.prompt_tokens + run.generated);
        let export = KvExport {
            request_id,
            prompt_tokens: run.submission.prompt_tokens,
            prompt_blocks: run.submission.prompt_blocks,
            generated: run.generated,
            blocks: held,
        };
        let private = held
            .saturating_sub(run.pinned as u32)
            .min(run.private_blocks);
        let until = at + self.settings.scaled(self.settings.kept_for);
        self.kept.insert(export, private, until);
    }
}
