//! Estimates the speed of back ends from this node's observations.
//!
//! Speed is expressed as a slowdown: the observed time divided by the time that [`crate::score`]
//! predicts for nominal speed. An engine at a third of its normal speed has three times the
//! slowdown of its peers, whatever the nominal constants are, and gets about a third of their
//! requests.

/// Weight of one observed time to first token. Low, because the time also depends on requests of
/// other nodes.
pub const FIRST_TOKEN_WEIGHT: f32 = 0.05;

/// Weight of one observed mean time between tokens, which depends little on other requests.
pub const TOKEN_GAP_WEIGHT: f32 = 0.2;

/// Factor of the current estimate to which one observation is clamped, upwards and downwards.
const MAX_OBSERVATION_FACTOR: f32 = 4.0;

/// Minimum and maximum slowdown.
const SLOWDOWN_BOUNDS: (f32, f32) = (0.02, 200.0);

/// Time without observations over which an estimate returns to the fleet's mean, in milliseconds, so
/// that an engine that was slow gets requests again.
const EXPIRY_MILLISECONDS: f32 = 30_000.0;

/// An observed time and the time predicted for nominal speed.
#[derive(Clone, Copy, Debug)]
pub struct SpeedObservation {
    /// Observed time in milliseconds.
    pub observed: f32,
    /// Predicted time in milliseconds.
    pub nominal: f32,
    /// Weight of the observation, from 0 to 1.
    pub weight: f32,
}

/// The estimated slowdown of one back end.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    slowdown: f32,
    samples: u32,
    observed_at: u64,
}

impl SpeedEstimate {
    /// Records an observation. The estimate starts from the fleet's mean, so that a single slow
    /// request does not mark a back end as slow.
    pub fn observe(&mut self, now: u64, fleet_mean: f32, observation: SpeedObservation) {
        if observation.nominal <= 0.0 {
            return;
        }
        let ratio = (observation.observed / observation.nominal)
            .clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let current = self.slowdown(now, fleet_mean);
        let bounded = ratio.clamp(
            current / MAX_OBSERVATION_FACTOR,
            current * MAX_OBSERVATION_FACTOR,
        );
        self.slowdown = current + observation.weight * (bounded - current);
        self.samples = self.samples.saturating_add(1);
        self.observed_at = now;
    }

    /// Returns the estimated slowdown at `now`, given the fleet's mean.
    pub fn slowdown(&self, now: u64, fleet_mean: f32) -> f32 {
        if self.samples == 0 {
            return fleet_mean;
        }
        let idle_milliseconds = now.saturating_sub(self.observed_at) as f32;
        let weight = (1.0 - idle_milliseconds / EXPIRY_MILLISECONDS).max(0.0);
        fleet_mean + weight * (self.slowdown - fleet_mean)
    }

    /// Returns the number of recorded observations.
    pub fn samples(&self) -> u32 {
        self.samples
    }
}

/// Running mean over the fleet: the plain mean of the first observations, then an exponential moving
/// average.
#[derive(Clone, Copy, Debug)]
pub struct FleetMean {
    value: f32,
    observations: f32,
}

/// Minimum weight of one observation in a [`FleetMean`].
const MIN_FLEET_WEIGHT: f32 = 0.01;

/// Factor of the mean to which observations with outliers are clamped, upwards and downwards.
const MAX_OUTLIER_FACTOR: f32 = 3.0;

impl FleetMean {
    /// Creates a mean with `value` until the first observation.
    pub fn starting_at(value: f32) -> Self {
        Self {
            value,
            observations: 0.0,
        }
    }

    /// Adds an observation.
    pub fn observe(&mut self, value: f32) {
        self.observations += 1.0;
        let weight = (1.0 / self.observations).max(MIN_FLEET_WEIGHT);
        self.value += weight * (value - self.value);
    }

    /// Adds an observation that may be an outlier: it is clamped to at most `MAX_OUTLIER_FACTOR` times
    /// above or below the mean.
    pub fn observe_bounded(&mut self, value: f32) {
        if self.observations > 0.0 {
            let low = self.value / MAX_OUTLIER_FACTOR;
            let high = self.value * MAX_OUTLIER_FACTOR;
            self.observe(value.clamp(low, high));
        } else {
            self.observe(value);
        }
    }

    /// Returns the mean.
    pub fn value(&self) -> f32 {
        self.value
    }
}
