//! How many batch items an engine may run beside its online requests: additive increase and
//! multiplicative decrease (Chiu and Jain, 1989) on what online requests experience, compared
//! with what they experienced on the same engine while no item ran.

/// Least time between two steps of a controller, in milliseconds.
pub const STEP_MILLISECONDS: u64 = 200;

/// Time without any online request after which an engine counts as quiet, in milliseconds.
pub const QUIET_MILLISECONDS: u64 = 200;

/// Slowdown of online requests that is accepted, as a share of their undisturbed time.
pub const TOLERANCE: f64 = 0.04;

/// Items added to the allowance at each undisturbed step.
const INCREASE: f64 = 0.5;

/// Factor on the allowance at a step that found online requests slowed down.
const DECREASE: f64 = 0.5;

/// Weight of a new sample in a reference.
const REFERENCE_WEIGHT: f64 = 0.1;

/// Numbers of online requests, and length classes of prompts, told apart in references.
const CLASSES: usize = 32;

/// An engine's load as the controller needs it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineOccupancy {
    /// Requests that the engine can run at once.
    pub slots: u32,
    /// Online requests running or waiting.
    pub online: u32,
    /// Batch items running.
    pub batch: u32,
}

/// Undisturbed times by class, each an exponentially weighted average.
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

    fn learn(&mut self, class: usize, sample: f64) {
        let reference = &mut self.milliseconds[class.min(CLASSES - 1)];
        *reference = Some(match reference {
            Some(old) => *old + (sample - *old) * REFERENCE_WEIGHT,
            None => sample,
        });
    }

    /// The reference of `class`, or of the nearest lower class that has one.
    fn get(&self, class: usize) -> Option<f64> {
        let known = &self.milliseconds[..=class.min(CLASSES - 1)];
        known.iter().rev().find_map(|reference| *reference)
    }
}

/// The controller of one engine.
#[derive(Clone, Debug)]
pub struct HeadroomController {
    allowance: f64,
    token_gaps: References,
    first_tokens: References,
    disturbed: bool,
    stepped_at: u64,
    online_at: Option<u64>,
}

impl Default for HeadroomController {
    fn default() -> Self {
        Self {
            allowance: 0.0,
            token_gaps: References::new(),
            first_tokens: References::new(),
            disturbed: false,
            stepped_at: 0,
            online_at: None,
        }
    }
}

impl HeadroomController {
    /// Takes note of the time between two tokens of online requests, in milliseconds.
    pub fn observe_token_gap(&mut self, occupancy: EngineOccupancy, milliseconds: f64) {
        let class = occupancy.online as usize;
        let references = &mut self.token_gaps;
        let disturbed = observe(references, class, occupancy.batch, milliseconds);
        self.disturbed |= disturbed;
    }

    /// Takes note of the time to the first token of an online request with a prompt of
    /// `prompt_bytes`, in milliseconds.
    pub fn observe_first_token(
        &mut self,
        occupancy: EngineOccupancy,
        prompt_bytes: usize,
        milliseconds: f64,
    ) {
        let class = prompt_bytes.checked_ilog2().unwrap_or(0) as usize;
        let references = &mut self.first_tokens;
        let disturbed = observe(references, class, occupancy.batch, milliseconds);
        self.disturbed |= disturbed;
    }

    /// Notes that an online request is on the engine, or on its way there.
    pub fn online_seen(&mut self, now: u64) {
        self.online_at = Some(self.online_at.map_or(now, |at| at.max(now)));
    }

    /// Items that the engine may run at `now` (milliseconds).
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
        if self.disturbed {
            self.allowance *= DECREASE;
        } else {
            self.allowance = (self.allowance + INCREASE).min(f64::from(free));
        }
        self.disturbed = false;
    }
}

/// Learns from an undisturbed sample; tells whether a disturbed one is over the tolerance.
fn observe(references: &mut References, class: usize, batch: u32, milliseconds: f64) -> bool {
    if batch == 0 {
        references.learn(class, milliseconds);
        return false;
    }
    let reference = references.get(class);
    reference.is_some_and(|reference| milliseconds > reference * (1.0 + TOLERANCE))
}
