//! Constants of the engine model and the faults that tests set.

use crate::engine_model::Microseconds;
use firshore_types::declaration::EngineRole;
use serde::{Deserialize, Serialize};

/// What one engine can do and how long it takes.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Runs at once.
    pub slots: u32,
    /// Longest waiting queue.
    pub queue_limit: usize,
    /// Blocks of KV memory; a block holds [`firshore_types::hash::WORDS_PER_BLOCK`] tokens.
    pub kv_blocks: u32,
    /// Fixed time of an iteration.
    pub iteration_base: Microseconds,
    /// Time that each decoding run adds to an iteration.
    pub iteration_per_run: Microseconds,
    /// Time that reading 1000 tokens of context adds to an iteration.
    pub iteration_per_thousand_context_tokens: Microseconds,
    /// Time that each prefilled token adds to an iteration.
    pub prefill_per_token: Microseconds,
    /// Most prompt tokens prefilled in one iteration.
    pub prefill_chunk_tokens: u32,
    /// Age of the load report at its youngest.
    pub load_lag: Microseconds,
    /// Time between two load reports.
    pub load_interval: Microseconds,
    /// Delay of cache events.
    pub cache_event_lag: Microseconds,
    /// Share of cache events that is never published.
    pub cache_event_loss: f64,
    /// Cache events that stay readable.
    pub cache_event_limit: usize,
    /// How long a generation stays for a resume after its run has ended.
    pub kept_for: Microseconds,
    /// Time to read or write one block in an export or import of KV memory.
    pub kv_transfer_per_block: Microseconds,
    /// Time to load a model once the weight store has let the load begin.
    pub model_load: Microseconds,
    /// Time to load an adapter.
    pub adapter_load: Microseconds,
    /// Whether a model load waits for [`crate::engine_model::Engine::weights_granted`].
    pub waits_for_weight_store: bool,
    /// Role at the start.
    pub role: EngineRole,
    /// Models at the start; with none the engine takes any model until it is ordered to load one.
    pub models: Vec<String>,
    /// Multiplies every time above; 0.1 makes the engine ten times faster.
    pub time_scale: f64,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 16,
            queue_limit: 64,
            kv_blocks: 4096,
            iteration_base: 8_000,
            iteration_per_run: 200,
            iteration_per_thousand_context_tokens: 30,
            prefill_per_token: 50,
            prefill_chunk_tokens: 256,
            load_lag: 150_000,
            load_interval: 100_000,
            cache_event_lag: 200_000,
            cache_event_loss: 0.01,
            cache_event_limit: 4096,
            kept_for: 60_000_000,
            kv_transfer_per_block: 100,
            model_load: 5_000_000,
            adapter_load: 300_000,
            waits_for_weight_store: false,
            role: EngineRole::Mixed,
            models: Vec::new(),
            time_scale: 1.0,
        }
    }
}

impl EngineSettings {
    /// A duration after scaling.
    pub fn scaled(&self, duration: Microseconds) -> Microseconds {
        (duration as f64 * self.time_scale).round() as Microseconds
    }

    /// Duration of an iteration that decodes for `decoding` runs holding `context` tokens and
    /// prefills `prefilled` tokens.
    pub fn iteration(&self, decoding: u32, context: u64, prefilled: u32) -> Microseconds {
        let attention = self.iteration_per_thousand_context_tokens * context / 1000;
        let decode = self.iteration_per_run * u64::from(decoding);
        let prefill = self.prefill_per_token * u64::from(prefilled);
        self.scaled(self.iteration_base + decode + attention + prefill)
            .max(1)
    }
}

/// Conditions that tests set; absent fields return to normal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Takes nothing new and says so; resumes of kept online generations still run.
    pub draining: bool,
    /// Multiplies the time of iterations.
    pub slow_factor: Option<f64>,
    /// Refuses everything before running it.
    pub refuse: bool,
    /// Breaks a streamed answer off after this many tokens.
    pub break_after_tokens: Option<u32>,
    /// How many streams break off; without a number all do.
    pub break_count: Option<u32>,
    /// Takes requests and never answers nor runs them.
    pub hang: bool,
    /// Runs this many requests to their end and then closes without an answer.
    pub lose_answers: u32,
    /// Load reports stay as they are.
    pub freeze_load: bool,
}
