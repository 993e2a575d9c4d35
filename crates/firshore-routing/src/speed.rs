//! How fast a back end serves, learnt from what this node sees of it.
//!
//! The measure is a slowdown: the observed time divided by the time that the model of
//! [`crate::score`] predicts for a back end of nominal speed. An engine at a third of its speed
//! has three times the slowdown of its peers, whatever the nominal figures are, and so is given a
//! third of their work.

/// Weight of one observed time to a first token, which depends on requests that this node does
/// not see.
pub const FIRST_TOKEN_WEIGHT: f32 = 0.05;

/// Weight of one observed mean time between tokens, which hardly does.
pub const TOKEN_GAP_WEIGHT: f32 = 0.2;

/// One observation moves the estimate at most as if it were this many times larger or smaller.
const LARGEST_STEP: f32 = 4.0;

/// Bounds of a slowdown.
const BOUNDS: (f32, f32) = (0.02, 200.0);

/// Milliseconds without observation after which an estimate has gone back to the fleet's mean, so
/// that an engine that was slow once is tried again.
const FORGET_MILLISECONDS: f32 = 30_000.0;

/// One observed time, beside the time predicted for nominal speed.
#[derive(Clone, Copy, Debug)]
pub struct Observation {
    /// Milliseconds observed.
    pub observed: f32,
    /// Milliseconds predicted.
    pub nominal: f32,
    /// Weight from 0 to 1.
    pub weight: f32,
}

/// Slowdown of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    slowdown: f32,
    samples: u32,
    observed_at: u64,
}

impl Speed {
    /// Takes in an observation. The estimate starts from the fleet's mean, so that one unlucky
    /// request does not mark a back end as slow.
    pub fn observe(&mut self, now: u64, fleet_mean: f32, observation: Observation) {
        if observation.nominal <= 0.0 {
            return;
        }
        let ratio = (observation.observed / observation.nominal).clamp(BOUNDS.0, BOUNDS.1);
        let current = self.slowdown(now, fleet_mean);
        let bounded = ratio.clamp(current / LARGEST_STEP, current * LARGEST_STEP);
        self.slowdown = current + observation.weight * (bounded - current);
        self.samples = self.samples.saturating_add(1);
        self.observed_at = now;
    }

    /// The slowdown to count with at `now`, given the fleet's mean.
    pub fn slowdown(&self, now: u64, fleet_mean: f32) -> f32 {
        if self.samples == 0 {
            return fleet_mean;
        }
        let idle = now.saturating_sub(self.observed_at) as f32;
        let trust = (1.0 - idle / FORGET_MILLISECONDS).max(0.0);
        fleet_mean + trust * (self.slowdown - fleet_mean)
    }

    /// Observations taken in.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Running mean over the fleet: of all observations at first, later mostly of the latest.
#[derive(Clone, Copy, Debug)]
pub struct FleetMean {
    value: f32,
    observations: f32,
}

/// Least weight of one observation in a fleet's mean.
const FLEET_WEIGHT: f32 = 0.01;

/// Bound of one observation's effect, as a factor of the mean, where outliers are expected.
const LARGEST_DEVIATION: f32 = 3.0;

impl FleetMean {
    /// A mean that starts at `value` until the first observation.
    pub fn starting_at(value: f32) -> Self {
        Self {
            value,
            observations: 0.0,
        }
    }

    /// Takes in one observation.
    pub fn observe(&mut self, value: f32) {
        self.observations += 1.0;
        let weight = (1.0 / self.observations).max(FLEET_WEIGHT);
        self.value += weight * (value - self.value);
    }

    /// Takes in one observation of which a few may be far off: it counts as at most
    /// `LARGEST_DEVIATION` times larger or smaller than the mean.
    pub fn observe_bounded(&mut self, value: f32) {
        if self.observations > 0.0 {
            let low = self.value / LARGEST_DEVIATION;
            let high = self.value * LARGEST_DEVIATION;
            self.observe(value.clamp(low, high));
        } else {
            self.observe(value);
        }
    }

    /// The mean.
    pub fn value(&self) -> f32 {
        self.value
    }
}
