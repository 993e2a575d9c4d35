//! Limits the batch items that an engine runs besides its online requests, by additive increase
//! and multiplicative decrease (Chiu and Jain, 1989). The input is the latency of online requests
//! relative to their latency on the same engine while no item runs.

/// Minimum interval between adjustments of the allowance, in milliseconds.
pub const STEP_MILLISECONDS: u64 = 200;

/// Time without online requests after which batch items may use all slots, in milliseconds.
pub const QUIET_MILLISECONDS: u64 = 60;

/// Accepted slowdown of online requests, as a fraction of their reference latency.
pub const TOLERANCE: f64 = 0.04;

/// Items added to the allowance at a step with samples within the tolerance.
const INCREASE: f64 = 0.5;

/// Items added to an allowance below one at a step without samples, so that it reaches one and an
/// item can run to produce samples.
const PROBE_INCREASE: f64 = 0.01;

/// Factor applied to the allowance at a step with a slowdown above the tolerance.
const DECREASE: f64 = 0.5;

/// Samples taken while items run that a step needs; the scatter of fewer exceeds the tolerance.
const MIN_SAMPLES: u32 = 5;

/// Weight of a new sample in the reference average.
const REFERENCE_WEIGHT: f64 = 0.1;

/// Number of classes in a reference, by online requests or by the logarithm of prompt length.
const CLASSES: usize = 32;

/// Slots and running requests of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineOccupancy {
    /// Requests that the engine can run at once.
    pub slots: u32,
    /// Online requests running or waiting.
    pub online: u32,
    /// Batch items running.
    pub batch: u32,
}

/// Mean latency without batch items by class, each an exponentially weighted average.
#[derive(Clone, Debug)]
struct References {
    milliseconds: [Option<f64>; CLASSES],
}

impl References {
    fn new() -> Self {
        Self {
            milliseconds: [None; CLASSES],
        }
    }

    fn update(&mut self, class: usize, sample: f64) {
        let reference = &mut self.milliseconds[class.min(CLASSES - 1)];
        *reference = Some(match reference {
            Some(old) => *old + (sample - *old) * REFERENCE_WEIGHT,
            None => sample,
        });
    }

    /// Returns the reference of `class`, or of the nearest lower class that has one.
    fn get(&self, class: usize) -> Option<f64> {
        let candidates = &self.milliseconds[..=class.min(CLASSES - 1)];
        candidates.iter().rev().find_map(|reference| *reference)
    }
}

/// Samples of one kind of latency: references without batch items, and the sum of the ratios of
/// samples with batch items to them.
#[derive(Clone, Debug)]
struct Samples {
    references: References,
    ratio_sum: f64,
    count: u32,
}

impl Samples {
    fn new() -> Self {
        Self {
            references: References::new(),
            ratio_sum: 0.0,
            count: 0,
        }
    }

    fn observe(&mut self, class: usize, batch: u32, milliseconds: f64) {
        if batch == 0 {
            self.references.update(class, milliseconds);
        } else if let Some(reference) = self.references.get(class) {
            self.ratio_sum += milliseconds / reference;
            self.count += 1;
        }
    }

    /// Returns and resets the mean ratio, once there are enough samples.
    fn take_ratio(&mut self) -> Option<f64> {
        if self.count < MIN_SAMPLES {
            return None;
        }
        let ratio = self.ratio_sum / f64::from(self.count);
        self.ratio_sum = 0.0;
        self.count = 0;
        Some(ratio)
    }
}

/// Controls the batch allowance of one engine.
#[derive(Clone, Debug)]
pub struct HeadroomController {
    allowance: f64,
    token_gaps: Samples,
    first_tokens: Samples,
    stepped_at: u64,
    online_at: Option<u64>,
}

impl Default for HeadroomController {
    fn default() -> Self {
        Self {
            allowance: 0.0,
            token_gaps: Samples::new(),
            first_tokens: Samples::new(),
            stepped_at: 0,
            online_at: None,
        }
    }
}

impl HeadroomController {
    /// Records the time between two tokens of online requests, in milliseconds.
    pub fn observe_token_gap(&mut self, occupancy: EngineOccupancy, milliseconds: f64) {
        let class = occupancy.online as usize;
        self.token_gaps
            .observe(class, occupancy.batch, milliseconds);
    }

    /// Records the time to the first token of an online request with a prompt of `prompt_bytes`,
    /// in milliseconds.
    pub fn observe_first_token(
        &mut self,
        occupancy: EngineOccupancy,
        prompt_bytes: usize,
        milliseconds: f64,
    ) {
        let class = prompt_bytes.checked_ilog2().unwrap_or(0) as usize;
        self.first_tokens
            .observe(class, occupancy.batch, milliseconds);
    }

    /// Records that an online request runs on the engine or is being sent to it.
    pub fn online_seen(&mut self, now: u64) {
        self.online_at = Some(self.online_at.map_or(now, |at| at.max(now)));
    }

    /// Returns the number of batch items that the engine may run at `now` (milliseconds).
    pub fn allowed(&mut self, now: u64, occupancy: EngineOccupancy) -> u32 {
        if occupancy.online > 0 {
            self.online_seen(now);
        }
        let free = occupancy.slots.saturating_sub(occupancy.online);
        let quiet = self
            .online_at
            .is_none_or(|at| now.saturating_sub(at) >= QUIET_MILLISECONDS);
        if quiet {
            return free;
        }
        self.step(now, free);
        free.min(self.allowance as u32)
    }

    fn step(&mut self, now: u64, free: u32) {
        if now.saturating_sub(self.stepped_at) < STEP_MILLISECONDS {
            return;
        }
        self.stepped_at = now;
        let ratios = [self.token_gaps.take_ratio(), self.first_tokens.take_ratio()];
        let worst = ratios.into_iter().flatten().reduce(f64::max);
        self.allowance = match worst {
            Some(ratio) if ratio > 1.0 + TOLERANCE => self.allowance * DECREASE,
            Some(_) => self.allowance + INCREASE,
            None if self.allowance < 1.0 => self.allowance + PROBE_INCREASE,
            None => self.allowance,
        };
        self.allowance = self.allowance.min(f64::from(free));
    }
}
