//! How many of a tenant's requests were admitted in the span over which its rate is counted.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Parts that the span is divided into; the oldest is let go as a whole.
const PARTS: u32 = 50;

/// Parts over which it is averaged what becomes free next.
const NEXT_PARTS: usize = 3;

/// Requests of the last span, by when they were admitted.
#[derive(Debug)]
pub(crate) struct AdmittedWindow {
    /// Length of a part.
    part: Duration,
    /// Requests by part, the oldest first; as many parts as the span has and the one that is under way.
    parts: VecDeque<f64>,
    sum: f64,
    /// Beginning of the part that is under way.
    began_at: Instant,
}

impl AdmittedWindow {
    /// A span of this length, over which `admitted` requests are spread evenly.
    pub(crate) fn new(now: Instant, span: Duration, admitted: f64) -> Self {
        let each = admitted / f64::from(PARTS);
        let mut parts: VecDeque<f64> = (0..PARTS).map(|_| each).collect();
        parts.push_back(0.0);
        Self {
            part: span / PARTS,
            parts,
            sum: admitted,
            began_at: now,
        }
    }

    /// Lets go what is older than the span.
    pub(crate) fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began_at);
        let passed = (elapsed.as_nanos() / self.part.as_nanos().max(1)).min(u128::from(PARTS) + 1);
        for _ in 0..passed {
            self.parts.pop_front();
            self.parts.push_back(0.0);
            self.began_at += self.part;
        }
        if passed > u128::from(PARTS) {
            self.began_at = now;
        }
        if passed > 0 {
            self.sum = self.parts.iter().sum();
        }
    }

    /// Takes in requests, or takes some back.
    pub(crate) fn add(&mut self, admitted: f64) {
        if let Some(last) = self.parts.back_mut() {
            *last += admitted;
            self.sum += admitted;
        }
    }

    /// Takes in requests of which it is only known that they were admitted within the span.
    pub(crate) fn add_spread(&mut self, admitted: f64) {
        let each = admitted / self.parts.len() as f64;
        for part in &mut self.parts {
            *part += each;
        }
        self.sum += admitted;
    }

    pub(crate) fn sum(&self) -> f64 {
        self.sum
    }

    /// Time until no more than `most` of these requests are within the span; `None`: that takes longer than the
    /// span.
    pub(crate) fn wait_for(&self, now: Instant, most: f64) -> Option<Duration> {
        let passed = now.saturating_duration_since(self.began_at);
        let mut sum = self.sum;
        for (before, requests) in self.parts.iter().enumerate() {
            if sum <= most {
                return Some((self.part * before as u32).saturating_sub(passed));
            }
            sum -= requests;
        }
        None
    }

    /// Requests a second that are about to leave the span, and so may be admitted anew.
    pub(crate) fn next(&self) -> f64 {
        let next: f64 = self.parts.iter().take(NEXT_PARTS).sum();
        (next / (self.part.as_secs_f64() * NEXT_PARTS as f64)).max(0.0)
    }
}
