//! Estimates a back end's load between two of its load reports.
//!
//! The estimate combines this node's own requests in flight with the requests that other nodes
//! caused according to the last report. As the report ages, the latter number moves towards the
//! fleet's mean, so that nodes with the same stale report do not all choose the same back end.

/// Width of one bucket of [`RecentCounts`] in milliseconds.
const BUCKET_MILLISECONDS: u64 = 50;

/// Number of buckets. Older events are assumed to be included in every report.
const BUCKETS: usize = 32;

/// Age in milliseconds at which a report and the fleet's mean have equal weight.
const HALF_LIFE_MILLISECONDS: f32 = 1_000.0;

/// The load that a back end reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running requests, including batch items.
    pub running: u32,
    /// Waiting requests.
    pub waiting: u32,
    /// Maximum number of running requests; 0 if not reported.
    pub slots: u32,
}

impl LoadReport {
    /// Parses the value of the `engine-load` header, `RUNNING/WAITING/SLOTS`.
    pub fn from_header(value: &str) -> Option<Self> {
        let mut parts = value.trim().split('/').map(|part| part.parse().ok());
        let report = Self {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
        };
        parts.next().is_none().then_some(report)
    }

    /// Returns the number of running and waiting requests.
    pub fn total(&self) -> u32 {
        self.running + self.waiting
    }
}

/// Event counts of the last 1.6 seconds in a ring of buckets.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentCounts {
    counts: [u16; BUCKETS],
    newest: u64,
}

impl RecentCounts {
    fn advance(&mut self, bucket: u64) {
        let steps = bucket.saturating_sub(self.newest).min(BUCKETS as u64);
        for step in 0..steps {
            self.counts[((bucket - step) % BUCKETS as u64) as usize] = 0;
        }
        self.newest = self.newest.max(bucket);
    }

    /// Counts one event at `now` (milliseconds).
    pub fn add(&mut self, now: u64) {
        let bucket = now / BUCKET_MILLISECONDS;
        self.advance(bucket);
        let slot = &mut self.counts[(bucket % BUCKETS as u64) as usize];
        *slot = slot.saturating_add(1);
    }

    /// Returns the number of events in the buckets after that of `moment` (milliseconds).
    pub fn since(&self, moment: u64) -> u32 {
        let first = moment / BUCKET_MILLISECONDS + 1;
        let oldest = (self.newest + 1).saturating_sub(BUCKETS as u64);
        (first.max(oldest)..=self.newest)
            .map(|bucket| u32::from(self.counts[(bucket % BUCKETS as u64) as usize]))
            .sum()
    }
}

/// The estimated load of one back end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadEstimate {
    /// Running and waiting requests.
    pub requests: f32,
    /// Waiting requests of other nodes.
    pub remote_waiting: f32,
    /// Uncached prompt tokens of this node's requests without a first token.
    pub local_prefill_tokens: f32,
}

/// The last load report of one back end and this node's requests there. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    report: LoadReport,
    remote_requests: u32,
    measured_at: u64,
    has_report: bool,
    local_requests: u32,
    local_prefilling: u32,
    local_prefill_tokens: u64,
    sent: RecentCounts,
    ended: RecentCounts,
}

impl LoadState {
    /// Applies a report that was measured at `measured_at` and returns the number of requests in it
    /// that other nodes caused. Ignores the report and returns `None` if it is older than the last
    /// one.
    pub fn apply_report(&mut self, measured_at: u64, report: LoadReport) -> Option<u32> {
        if self.has_report && measured_at < self.measured_at {
            return None;
        }
        let local_at_measurement = (self.local_requests + self.ended.since(measured_at))
            .saturating_sub(self.sent.since(measured_at));
        self.remote_requests = report.total().saturating_sub(local_at_measurement);
        self.report = report;
        self.measured_at = measured_at;
        self.has_report = true;
        Some(self.remote_requests)
    }

    /// Returns the last report, or zeros if there is none.
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// Returns the time at which the last report was measured, if there is one.
    pub fn measured_at(&self) -> Option<u64> {
        self.has_report.then_some(self.measured_at)
    }

    /// Returns the number of this node's requests in flight at the back end.
    pub fn local_requests(&self) -> u32 {
        self.local_requests
    }

    /// Records that this node sent a request with `prefill_tokens` uncached prompt tokens.
    pub fn record_sent(&mut self, now: u64, prefill_tokens: u32) {
        self.local_requests += 1;
        self.local_prefilling += 1;
        self.local_prefill_tokens += u64::from(prefill_tokens);
        self.sent.add(now);
    }

    /// Records that a request's prefill ended: its first token arrived, or it ended without one.
    pub fn record_prefill_end(&mut self, prefill_tokens: u32) {
        self.local_prefilling = self.local_prefilling.saturating_sub(1);
        self.local_prefill_tokens = self
            .local_prefill_tokens
            .saturating_sub(u64::from(prefill_tokens));
    }

    /// Records that a request of this node ended.
    pub fn record_end(&mut self, now: u64) {
        self.local_requests = self.local_requests.saturating_sub(1);
        self.ended.add(now);
    }

    /// Returns the estimated load at `now`, where `mean_remote_requests` is the fleet's mean number
    /// of requests of other nodes per back end.
    pub fn estimate(&self, now: u64, mean_remote_requests: f32) -> LoadEstimate {
        let age = now.saturating_sub(self.measured_at) as f32;
        let report_weight = if self.has_report {
            HALF_LIFE_MILLISECONDS / (HALF_LIFE_MILLISECONDS + age)
        } else {
            0.0
        };
        let remote_requests = report_weight * self.remote_requests as f32
            + (1.0 - report_weight) * mean_remote_requests;
        let waiting = self.report.waiting.saturating_sub(self.local_prefilling) as f32;
        LoadEstimate {
            requests: self.local_requests as f32 + remote_requests,
            remote_waiting: report_weight * waiting,
            local_prefill_tokens: self.local_prefill_tokens as f32,
        }
    }
}
