//! Plans when refused callers retry.
//!
//! A caller retries once or twice, after at most a fraction of the time it has left. If all callers
//! waited equally short, they would all retry into the overload in which they were refused. Each node
//! therefore keeps a calendar of the retries that it has planned, and gives each caller the first
//! time with capacity beyond the forecast demand. Each node plans for its own fraction of the
//! capacity, so that no node needs the others' calendars.

use crate::demand::BUCKET;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Fraction of its time left for which a caller waits at most before it retries.
const SPENT_FRACTION: f64 = 1.0 / 3.0;

/// Fraction of the capacity that is planned: arrivals vary, and where all of it is planned, a retry
/// finds no capacity in a moment with more arrivals than expected.
const PLANNED_FRACTION: f64 = 0.9;

/// Fraction of a caller's maximum wait, at its end, over which callers without known capacity are
/// spread: an overload that ends has more likely ended by then, and in one that lasts it makes no
/// difference.
const LATE_FRACTION: f64 = 0.25;

/// Step of the draws by which a fractional request's capacity is rounded up or down in each bucket:
/// the golden ratio, whose multiples are spread most evenly.
const DRAW_STEP: f64 = 0.618_033_988_749_895;

/// Maximum wait of a caller.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Minimum wait of a caller: what caused a refusal lasts longer.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// A refused request whose retry is planned.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Time that the caller has left.
    pub time_left: Duration,
    /// This node's fraction of the service's capacity in requests per second; `None`: unknown.
    pub capacity: Option<f64>,
}

/// Time after which a caller is to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTime {
    /// There is capacity for it then, beyond the expected demand.
    Free(Duration),
    /// It competes then with new arrivals.
    Contended(Duration),
    /// There is no capacity within the time that it can wait; the time after which there is.
    Beyond(Duration),
}

impl RetryTime {
    /// Returns the wait.
    pub fn wait(&self) -> Duration {
        match *self {
            Self::Free(wait) | Self::Contended(wait) | Self::Beyond(wait) => wait,
        }
    }
}

/// Expected state of one bucket of the calendar.
#[derive(Clone, Copy, Debug)]
struct BucketOutlook {
    idx: usize,
    /// Time until it begins.
    begin: Duration,
    /// Whether it has capacity beyond the forecast demand and the planned retries.
    is_free: bool,
    /// Whether the forecast demand takes all its capacity, and planned retries do not.
    is_contended: bool,
}

/// Retries of one service's refused callers that this node has planned.
#[derive(Debug)]
pub struct RetryPlan {
    began_at: Instant,
    /// Planned retries by bucket; the first bucket is the current one.
    booked: VecDeque<u32>,
    /// Number of the current bucket since the start.
    number: u64,
    /// Start of its draws, different at each node. Together the nodes thus use all capacity, also in
    /// a bucket in which each has capacity for half a request.
    phase: f64,
}

impl RetryPlan {
    /// Returns an empty plan. `phase` is a random number from 0 to 1, different at each node.
    pub fn new(now: Instant, phase: f64) -> Self {
        let len = MAX_WAIT.as_nanos() / BUCKET.as_nanos() + 2;
        Self {
            began_at: now,
            booked: (0..len).map(|_| 0).collect(),
            number: 0,
            phase,
        }
    }

    /// Plans when a caller that is refused now retries, and books it. `forecast` returns the expected
    /// new requests per second at this node after a time; `random` is from 0 to 1.
    pub fn plan(
        &mut self,
        now: Instant,
        request: &RetryRequest,
        mut forecast: impl FnMut(Duration) -> f64,
        random: f64,
    ) -> RetryTime {
        self.advance(now);
        let max_wait = request.time_left.mul_f64(SPENT_FRACTION);
        let max_wait = max_wait.clamp(MIN_WAIT, MAX_WAIT);
        let Some(capacity) = request.capacity else {
            let wait = spread(MIN_WAIT, max_wait, random);
            self.book_wait(now, wait);
            return RetryTime::Contended(wait);
        };
        let outlook = self.outlook(now, capacity, &mut forecast);
        let reachable = outlook.iter().filter(|one| one.begin < max_wait);
        let reachable: Vec<BucketOutlook> = reachable.copied().collect();
        if let Some(free) = reachable.iter().find(|one| one.is_free) {
            let wait = self.book_bucket(free, max_wait, random);
            return RetryTime::Free(wait);
        }
        let contended: Vec<BucketOutlook> = latest_contended(&reachable, max_wait);
        if !contended.is_empty() {
            let drawn = random * contended.len() as f64;
            let bucket = &contended[(drawn as usize).min(contended.len() - 1)];
            let wait = self.book_bucket(bucket, max_wait, drawn.fract());
            return RetryTime::Contended(wait);
        }
        let beyond = outlook.iter().find(|one| one.is_free);
        let wait = beyond.map(|one| spread(one.begin, one.begin + BUCKET, random));
        RetryTime::Beyond(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began_at);
        let number = (elapsed.as_nanos() / BUCKET.as_nanos()) as u64;
        let passed = number.saturating_sub(self.number);
        for _ in 0..passed.min(self.booked.len() as u64) {
            self.booked.pop_front();
            self.booked.push_back(0);
        }
        self.number += passed;
    }

    /// Returns the time from now until a bucket of the calendar begins.
    fn begin(&self, now: Instant, idx: usize) -> Duration {
        let nanos = BUCKET.as_nanos() as u64 * (self.number + idx as u64);
        let at = self.began_at + Duration::from_nanos(nanos);
        at.saturating_duration_since(now).max(MIN_WAIT)
    }

    /// Returns the expected state of each bucket from the next one on.
    fn outlook(
        &self,
        now: Instant,
        capacity: f64,
        mut forecast: impl FnMut(Duration) -> f64,
    ) -> Vec<BucketOutlook> {
        let planned = capacity * PLANNED_FRACTION;
        let buckets = (1..self.booked.len() - 1).map(|idx| {
            let begin = self.begin(now, idx);
            let beyond = (planned - forecast(begin + BUCKET / 2)).max(0.0);
            let booked = self.booked[idx];
            BucketOutlook {
                idx,
                begin,
                is_free: booked < self.bucket_capacity(idx, beyond),
                is_contended: beyond <= 0.0 && booked < self.bucket_capacity(idx, planned),
            }
        });
        buckets.collect()
    }

    /// Returns the number of callers that a bucket has capacity for at a rate per second: a whole
    /// number, rounded up as often as the fraction requires, and the same at each call.
    fn bucket_capacity(&self, idx: usize, rate: f64) -> u32 {
        let number = (self.number + idx as u64) as f64;
        let draw = (self.phase + number * DRAW_STEP).fract();
        (rate * BUCKET.as_secs_f64() + draw) as u32
    }

    /// Books a caller in a bucket and returns its wait, at most `max_wait`.
    fn book_bucket(&mut self, bucket: &BucketOutlook, max_wait: Duration, random: f64) -> Duration {
        self.booked[bucket.idx] += 1;
        let end = (bucket.begin + BUCKET).min(max_wait);
        spread(bucket.begin, end, random)
    }

    /// Books a caller that retries after a wait.
    fn book_wait(&mut self, now: Instant, wait: Duration) {
        let at = (now + wait).saturating_duration_since(self.began_at);
        let number = (at.as_nanos() / BUCKET.as_nanos()) as u64;
        let idx = number.saturating_sub(self.number) as usize;
        self.booked[idx] += 1;
    }
}

/// Returns the contended buckets in the last fraction of a caller's maximum wait.
fn latest_contended(reachable: &[BucketOutlook], max_wait: Duration) -> Vec<BucketOutlook> {
    let contended = reachable.iter().filter(|one| one.is_contended);
    let Some(latest) = contended.clone().next_back() else {
        return Vec::new();
    };
    let from = latest.begin.saturating_sub(max_wait.mul_f64(LATE_FRACTION));
    contended.filter(|one| one.begin >= from).copied().collect()
}

fn spread(from: Duration, to: Duration, random: f64) -> Duration {
    from + to.saturating_sub(from).mul_f64(random)
}
