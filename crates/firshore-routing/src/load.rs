//! What a node believes about a back end's load between two reports of it.
//!
//! A report lags. The estimate adds what this node has sent and had answered since the report was
//! measured, and lets the part that other nodes caused fade towards the fleet's mean as the report
//! ages, so that nodes with the same old report do not all run to the same back end.

/// Width of one bucket of [`RecentCounts`] in milliseconds.
const BUCKET_MILLISECONDS: u64 = 50;

/// Buckets kept; older events count as part of any report.
const BUCKETS: usize = 32;

/// Age in milliseconds at which half of a report's foreign part has faded towards the mean.
const HALF_LIFE_MILLISECONDS: f32 = 1_000.0;

/// Load as a back end reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests running, batch items included.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Requests it can run at once; 0 when it does not say.
    pub slots: u32,
}

impl LoadReport {
    /// Reads the value of the `engine-load` header, `RUNNING/WAITING/SLOTS`.
    pub fn from_header(value: &str) -> Option<Self> {
        let mut parts = value.trim().split('/').map(|part| part.parse().ok());
        let report = Self {
            running: parts.next()??,
            waiting: parts.next()??,
            slots: parts.next()??,
        };
        parts.next().is_none().then_some(report)
    }

    /// Requests running or waiting.
    pub fn total(&self) -> u32 {
        self.running + self.waiting
    }
}

/// Counts of events over the last 1.6 seconds in a ring of buckets.
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

    /// Events after `moment`, which is rounded to the start of its bucket.
    pub fn since(&self, moment: u64) -> u32 {
        let first = moment / BUCKET_MILLISECONDS + 1;
        let oldest = (self.newest + 1).saturating_sub(BUCKETS as u64);
        (first.max(oldest)..=self.newest)
            .map(|bucket| u32::from(self.counts[(bucket % BUCKETS as u64) as usize]))
            .sum()
    }
}

/// Load of one back end as estimated at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Requests running or waiting there.
    pub requests: f32,
    /// Requests of other nodes waiting there for their first token.
    pub foreign_waiting: f32,
    /// Prompt tokens this node has sent there that have not led to a first token.
    pub own_prefill_tokens: f32,
}

/// Reports about one back end and this node's own work there.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadState {
    report: LoadReport,
    foreign: u32,
    measured_at: u64,
    reported: bool,
    own_requests: u32,
    own_prefilling: u32,
    own_prefill_tokens: u64,
    sent: RecentCounts,
    ended: RecentCounts,
}

impl LoadState {
    /// Takes in a report measured at `measured_at`; an older one than that held is dropped.
    /// Returns the requests in it that other nodes caused.
    pub fn take_report(&mut self, measured_at: u64, report: LoadReport) -> Option<u32> {
        if self.reported && measured_at < self.measured_at {
            return None;
        }
        let own_then = (self.own_requests + self.ended.since(measured_at))
            .saturating_sub(self.sent.since(measured_at));
        self.foreign = report.total().saturating_sub(own_then);
        self.report = report;
        self.measured_at = measured_at;
        self.reported = true;
        Some(self.foreign)
    }

    /// The last report.
    pub fn report(&self) -> LoadReport {
        self.report
    }

    /// When the last report was measured, if there is one.
    pub fn measured_at(&self) -> Option<u64> {
        self.reported.then_some(self.measured_at)
    }

    /// Requests of this node running or waiting there.
    pub fn own_requests(&self) -> u32 {
        self.own_requests
    }

    /// Counts a request as sent.
    pub fn sent(&mut self, now: u64, prefill_tokens: u32) {
        self.own_requests += 1;
        self.own_prefilling += 1;
        self.own_prefill_tokens += u64::from(prefill_tokens);
        self.sent.add(now);
    }

    /// Counts a request's prefill as over: its first token came, or it ended without one.
    pub fn prefilled(&mut self, prefill_tokens: u32) {
        self.own_prefilling = self.own_prefilling.saturating_sub(1);
        self.own_prefill_tokens = self
            .own_prefill_tokens
            .saturating_sub(u64::from(prefill_tokens));
    }

    /// Counts a request as ended.
    pub fn ended(&mut self, now: u64) {
        self.own_requests = self.own_requests.saturating_sub(1);
        self.ended.add(now);
    }

    /// The load at `now`, where `mean_foreign` is the fleet's mean of requests that other nodes
    /// caused on one back end.
    pub fn estimate(&self, now: u64, mean_foreign: f32) -> Estimate {
        let age = now.saturating_sub(self.measured_at) as f32;
        let trust = if self.reported {
            HALF_LIFE_MILLISECONDS / (HALF_LIFE_MILLISECONDS + age)
        } else {
            0.0
        };
        let foreign = trust * self.foreign as f32 + (1.0 - trust) * mean_foreign;
        let waiting = self.report.waiting.saturating_sub(self.own_prefilling) as f32;
        Estimate {
            requests: self.own_requests as f32 + foreign,
            foreign_waiting: trust * waiting,
            own_prefill_tokens: self.own_prefill_tokens as f32,
        }
    }
}
