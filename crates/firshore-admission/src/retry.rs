//! When a refused caller is to come back.
//!
//! A caller comes back once or twice, after at most a part of the time it has left. Told the same short time as
//! everybody, it comes back into the load that it was refused in, in one herd with all others. Each node
//! therefore keeps a calendar of the callers that it has told to come back, and gives each the first moment
//! at which there is room beyond what is likely to be asked then. Other nodes plan alike with their parts of
//! the room, so that no node needs to know the others' calendars.

use crate::demand::BUCKET;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Part of the time it has left for which a caller waits at most before it comes back.
const SPENT_PART: f64 = 1.0 / 3.0;

/// Part of the room that is planned: callers come by chance, and those told to come back find no room in a
/// moment with more of them than usual where all of it is given away.
const PLANNED_PART: f64 = 0.9;

/// Part of what a caller can spend, over the last of which callers are spread that no room is known for: an
/// overload that ends has ended then rather than earlier, in one that lasts it makes no difference.
const LATE_PART: f64 = 0.25;

/// Step of the draws by which a part of a request's room is given away in one bucket and not in another: the
/// golden ratio, whose multiples are spread most evenly.
const DRAW_STEP: f64 = 0.618_033_988_749_895;

/// Longest time that a caller is told.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Shortest time that a caller is told: what led to a refusal is still so within less.
const SHORTEST_WAIT: Duration = Duration::from_millis(50);

/// What a refusal is planned from.
#[derive(Clone, Copy, Debug)]
pub struct RetryRequest {
    /// Time that the caller has left.
    pub time_left: Duration,
    /// Requests a second that this node's part of the service's room can begin; `None`: not known.
    pub capacity: Option<f64>,
}

/// Time after which a caller is to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryTime {
    /// There is room for it then beyond what is likely to be asked.
    Free(Duration),
    /// It takes its chance then together with those who ask anew.
    Contended(Duration),
    /// There is no room for it for longer than it can wait; the time after which there is.
    Beyond(Duration),
}

impl RetryTime {
    /// Returns the time to be told.
    pub fn wait(&self) -> Duration {
        match *self {
            Self::Free(wait) | Self::Contended(wait) | Self::Beyond(wait) => wait,
        }
    }
}

/// What is expected of one bucket of the calendar.
#[derive(Clone, Copy, Debug)]
struct BucketOutlook {
    idx: usize,
    /// Time until it begins.
    begin: Duration,
    /// Whether it has room beyond what is forecast and who was told to come then.
    is_free: bool,
    /// Whether it has none beyond what is forecast, and more than for those who were told to come then.
    is_contended: bool,
}

/// Times that this node has told refused callers of one service.
#[derive(Debug)]
pub struct RetryPlan {
    began_at: Instant,
    /// Callers told to come back, by bucket; the first bucket is the one under way.
    told: VecDeque<u32>,
    /// Number of the bucket under way since the beginning.
    number: u64,
    /// Where its draws begin: elsewhere at each node, so that together they give away what there is, in a
    /// bucket with half a request's room for each as well.
    phase: f64,
}

impl RetryPlan {
    /// Nobody told yet. `phase` is drawn from 0 to 1, another at each node.
    pub fn new(now: Instant, phase: f64) -> Self {
        let len = LONGEST_WAIT.as_nanos() / BUCKET.as_nanos() + 2;
        Self {
            began_at: now,
            told: (0..len).map(|_| 0).collect(),
            number: 0,
            phase,
        }
    }

    /// Plans when a caller that is refused now comes back, and takes it into the calendar. `forecast` returns
    /// the new requests a second that are likely to be asked of this node some time ahead, `random` is
    /// from 0 to 1.
    pub fn plan(
        &mut self,
        now: Instant,
        ask: &RetryRequest,
        mut forecast: impl FnMut(Duration) -> f64,
        random: f64,
    ) -> RetryTime {
        self.advance(now);
        let reach = ask.time_left.mul_f64(SPENT_PART);
        let reach = reach.clamp(SHORTEST_WAIT, LONGEST_WAIT);
        let Some(room) = ask.capacity else {
            let wait = spread(SHORTEST_WAIT, reach, random);
            self.book(now, wait);
            return RetryTime::Contended(wait);
        };
        let outlook = self.outlook(now, room, &mut forecast);
        let reachable = outlook.iter().filter(|one| one.begin < reach);
        let reachable: Vec<BucketOutlook> = reachable.copied().collect();
        if let Some(free) = reachable.iter().find(|one| one.is_free) {
            let wait = self.tell(free, reach, random);
            return RetryTime::Free(wait);
        }
        let contended: Vec<BucketOutlook> = latest_contended(&reachable, reach);
        if !contended.is_empty() {
            let drawn = random * contended.len() as f64;
            let bucket = &contended[(drawn as usize).min(contended.len() - 1)];
            let wait = self.tell(bucket, reach, drawn.fract());
            return RetryTime::Contended(wait);
        }
        let beyond = outlook.iter().find(|one| one.is_free);
        let wait = beyond.map(|one| spread(one.begin, one.begin + BUCKET, random));
        RetryTime::Beyond(wait.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT))
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.began_at);
        let number = (elapsed.as_nanos() / BUCKET.as_nanos()) as u64;
        let passed = number.saturating_sub(self.number);
        for _ in 0..passed.min(self.told.len() as u64) {
            self.told.pop_front();
            self.told.push_back(0);
        }
        self.number += passed;
    }

    /// Time from now until a bucket of the calendar begins.
    fn begin(&self, now: Instant, idx: usize) -> Duration {
        let nanos = BUCKET.as_nanos() as u64 * (self.number + idx as u64);
        let at = self.began_at + Duration::from_nanos(nanos);
        at.saturating_duration_since(now).max(SHORTEST_WAIT)
    }

    /// What is expected of each bucket from the next on.
    fn outlook(
        &self,
        now: Instant,
        room: f64,
        mut forecast: impl FnMut(Duration) -> f64,
    ) -> Vec<BucketOutlook> {
        let planned = room * PLANNED_PART;
        let buckets = (1..self.told.len() - 1).map(|idx| {
            let begin = self.begin(now, idx);
            let beyond = (planned - forecast(begin + BUCKET / 2)).max(0.0);
            let told = self.told[idx];
            BucketOutlook {
                idx,
                begin,
                is_free: told < self.places(idx, beyond),
                is_contended: beyond <= 0.0 && told < self.places(idx, planned),
            }
        });
        buckets.collect()
    }

    /// Callers for whom a bucket has room, of so many a second: a whole number, as often the higher one as
    /// the part that is left asks for, and the same one each time it is asked for.
    fn places(&self, idx: usize, rate: f64) -> u32 {
        let number = (self.number + idx as u64) as f64;
        let draw = (self.phase + number * DRAW_STEP).fract();
        (rate * BUCKET.as_secs_f64() + draw) as u32
    }

    /// Tells a caller to come back in a bucket, no later than `longest`.
    fn tell(&mut self, bucket: &BucketOutlook, longest: Duration, random: f64) -> Duration {
        self.told[bucket.idx] += 1;
        let end = (bucket.begin + BUCKET).min(longest);
        spread(bucket.begin, end, random)
    }

    /// Takes a caller that comes back after a time into the calendar.
    fn book(&mut self, now: Instant, wait: Duration) {
        let at = (now + wait).saturating_duration_since(self.began_at);
        let number = (at.as_nanos() / BUCKET.as_nanos()) as u64;
        let idx = number.saturating_sub(self.number) as usize;
        self.told[idx] += 1;
    }
}

/// Buckets in the last part of what a caller can spend before room becomes free, that are not full.
fn latest_contended(reachable: &[BucketOutlook], reach: Duration) -> Vec<BucketOutlook> {
    let contended = reachable.iter().filter(|one| one.is_contended);
    let Some(latest) = contended.clone().next_back() else {
        return Vec::new();
    };
    let from = latest.begin.saturating_sub(reach.mul_f64(LATE_PART));
    contended.filter(|one| one.begin >= from).copied().collect()
}

fn spread(from: Duration, to: Duration, random: f64) -> Duration {
    from + to.saturating_sub(from).mul_f64(random)
}
