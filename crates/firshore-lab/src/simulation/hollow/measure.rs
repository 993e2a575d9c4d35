//! What is counted while a simulation runs.

use hdrhistogram::Histogram;
use std::collections::BTreeMap;

const MAXIMUM_MILLISECONDS: u64 = 3_600_000;

/// Durations in milliseconds.
#[derive(Clone, Debug)]
pub struct Durations(Histogram<u64>);

impl Default for Durations {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAXIMUM_MILLISECONDS, 3);
        Self(histogram.expect("the bounds are valid"))
    }
}

impl Durations {
    /// Adds one.
    pub fn record(&mut self, milliseconds: u64) {
        self.0.saturating_record(milliseconds.max(1));
    }

    /// Seconds below which a share of them lies.
    pub fn seconds_at(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1_000.0
    }

    /// Longest, in seconds.
    pub fn maximum_seconds(&self) -> f64 {
        self.0.max() as f64 / 1_000.0
    }

    /// How many.
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// Bytes and frames of one place.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes of frames sent.
    pub sent_bytes: u64,
    /// Bytes of frames received.
    pub received_bytes: u64,
    /// Frames sent.
    pub sent_frames: u64,
    /// Frames received.
    pub received_frames: u64,
}

/// Bytes sent, by what they were for.
#[derive(Clone, Debug, Default)]
pub struct BytesByPurpose(pub BTreeMap<&'static str, u64>);

impl BytesByPurpose {
    /// Adds some.
    pub fn add(&mut self, purpose: &'static str, bytes: usize) {
        *self.0.entry(purpose).or_default() += bytes as u64;
    }
}
