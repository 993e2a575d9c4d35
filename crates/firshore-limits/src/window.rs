//! Sliding window over a tenant's admitted requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Buckets that the span is divided into; the oldest is dropped as a whole.
const BUCKETS: u32 = 50;

/// Buckets over which the release rate is averaged.
const RELEASE_BUCKETS: usize = 3;

/// Requests admitted in the last span, by time.
#[derive(Debug)]
pub(crate) struct AdmittedWindow {
    /// Length of a bucket.
    bucket_length: Duration,
    /// Requests by bucket, the oldest first: those of the span and the current one.
    buckets: VecDeque<f64>,
    sum: f64,
    /// Start of the current bucket.
    began_at: Instant,
}

impl AdmittedWindow {
    /// Returns a window over `span` with `admitted` requests spread evenly over it.
    pub(crate) fn new(now: Instant, span: Duration, admitted: f64) -> Self {
        let each = admitted / f64::from(BUCKETS);
        let mut buckets: VecDeque<f64> = (0..BUCKETS).map(|_| each).collect();
        buckets.push_back(0.0);
        Self {
            bucket_length: span / BUCKETS,
            buckets,
            sum: admitted,
            began_at: now,
        }
    }

    /// Drops what is older than the span.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began_at);
        let passed = (elapsed.as_nanos() / self.bucket_length.as_nanos().max(1))
            .min(u128::from(BUCKETS) + 1);
        for _ in 0..passed {
            self.buckets.pop_front();
            self.buckets.push_back(0.0);
            self.began_at += self.bucket_length;
        }
        if passed > u128::from(BUCKETS) {
            self.began_at = now;
        }
        if passed > 0 {
            self.sum = self.buckets.iter().sum();
        }
    }

    /// Adds requests, or takes some back.
    pub(crate) fn add(&mut self, admitted: f64) {
        if let Some(last) = self.buckets.back_mut() {
            *last += admitted;
            self.sum += admitted;
        }
    }

    /// Adds requests of which it is only known that they were admitted within the span.
    pub(crate) fn add_spread(&mut self, admitted: f64) {
        let each = admitted / self.buckets.len() as f64;
        for bucket in &mut self.buckets {
            *bucket += each;
        }
        self.sum += admitted;
    }

    pub(crate) fn sum(&self) -> f64 {
        self.sum
    }

    /// Returns the time until at most `max` of these requests are within the span; `None` if that
    /// takes longer than the span.
    pub(crate) fn wait_until_at_most(&self, now: Instant, max: f64) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.began_at);
        let mut sum = self.sum;
        for (before, requests) in self.buckets.iter().enumerate() {
            if sum <= max {
                return Some((self.bucket_length * before as u32).saturating_sub(passed));
            }
            sum -= requests;
        }
        None
    }

    /// Returns the requests per second that are about to leave the span, and so may be admitted
    /// again.
    pub(crate) fn release_rate(&self) -> f64 {
        let requests: f64 = self.buckets.iter().take(RELEASE_BUCKETS).sum();
        (requests / (self.bucket_length.as_secs_f64() * RELEASE_BUCKETS as f64)).max(0.0)
    }
}
