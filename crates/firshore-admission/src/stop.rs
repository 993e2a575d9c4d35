//! Decides whether a node that is asked to stop still sends a request. A request that it sends and that has not ended
//! when it stops is cut off, while another node could have served it.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which the length of a run is evidence of the length of later ones.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);

/// Number of recent answers from which on the longest recent run tells the length of others well enough for requests that
/// must not run again.
const ENOUGH_ANSWERS: usize = 10;

/// Number of answers of a route that are remembered: more no longer change an expectation by much.
const MAX_ANSWERS: usize = 50;

/// Start of a run, to be passed to [`RunTimes::end`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunStart {
    at: Instant,
    number: u64,
}

/// Recent runs of one route.
#[derive(Debug, Default)]
struct RouteRuns {
    open: BTreeSet<RunStart>,
    /// When runs ended and how long they took, without those that a later one exceeds: the first is the longest.
    ended: VecDeque<(Instant, Duration)>,
    /// When the last answers arrived, at most [`MAX_ANSWERS`].
    answers: VecDeque<Instant>,
}

impl RouteRuns {
    fn end(&mut self, now: Instant, start: RunStart) {
        self.open.remove(&start);
        let length = now.saturating_duration_since(start.at);
        while self.ended.back().is_some_and(|(_, last)| *last <= length) {
            self.ended.pop_back();
        }
        self.ended.push_back((now, length));
        self.forget_old(now);
    }

    fn forget_old(&mut self, now: Instant) {
        while self
            .ended
            .front()
            .is_some_and(|(at, _)| !is_recent(now, *at))
        {
            self.ended.pop_front();
        }
    }

    fn record_answer(&mut self, now: Instant) {
        if self.answers.len() == MAX_ANSWERS {
            self.answers.pop_front();
        }
        self.answers.push_back(now);
    }

    fn recent_answers(&self, now: Instant) -> usize {
        let recent = self.answers.iter().filter(|at| is_recent(now, **at));
        recent.count()
    }

    fn longest(&self, now: Instant) -> Option<Duration> {
        let mut recent = self.ended.iter().filter(|(at, _)| is_recent(now, *at));
        let ended = recent.next().map(|(_, length)| *length);
        let open = self.open.first();
        let open = open.map(|start| now.saturating_duration_since(start.at));
        ended.max(open)
    }

    fn is_used(&self, now: Instant) -> bool {
        let last_end = self.ended.back();
        !self.open.is_empty() || last_end.is_some_and(|(at, _)| is_recent(now, *at))
    }
}

fn is_recent(now: Instant, at: Instant) -> bool {
    now.saturating_duration_since(at) < EVIDENCE_LIFETIME
}

/// Lengths of this node's recent runs of each route.
#[derive(Debug, Default)]
pub struct RunTimes {
    routes: HashMap<String, RouteRuns>,
    started: u64,
}

impl RunTimes {
    /// Records that a request of the route is sent to a back end.
    pub fn begin(&mut self, now: Instant, route: &str) -> RunStart {
        self.started += 1;
        let start = RunStart {
            at: now,
            number: self.started,
        };
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, runs| runs.is_used(now));
            self.routes.insert(route.to_owned(), RouteRuns::default());
        }
        if let Some(runs) = self.routes.get_mut(route) {
            runs.open.insert(start);
        }
        start
    }

    /// Records that a complete answer to a request of the route has arrived. Without one, the lengths of runs are no
    /// evidence: those that fail are short.
    pub fn record_answer(&mut self, now: Instant, route: &str) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.record_answer(now);
        }
    }

    /// Records that a run has ended, in whatever way.
    pub fn end(&mut self, now: Instant, route: &str, start: RunStart) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.end(now, start);
        }
    }

    /// Returns when a request of the route is expected to end that begins after `begin_delay`; `None` without a recent
    /// answer.
    pub fn expected(
        &self,
        now: Instant,
        route: &str,
        begin_delay: Duration,
    ) -> Option<ExpectedEnd> {
        let runs = self.routes.get(route)?;
        let answers = runs.recent_answers(now);
        let longest = runs.longest(now).filter(|_| answers > 0)?;
        Some(ExpectedEnd {
            within: begin_delay + longest + margin(longest, answers),
            answers,
        })
    }
}

/// Returns the time that is added to the longest recent run, because requests and the load of back ends differ. The more
/// answers there were, the rarer is a run that is longer than all of them.
fn margin(longest: Duration, answers: usize) -> Duration {
    let fraction = ENOUGH_ANSWERS as f64 / answers.max(ENOUGH_ANSWERS) as f64;
    longest.mul_f64(fraction)
}

/// When a request is expected to end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedEnd {
    /// Time from now, wait for a slot included.
    pub within: Duration,
    /// Number of recent answers of its route, up to a limit.
    pub answers: usize,
}

/// A request that a stopping node could send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateRequest {
    /// Time until the node stops.
    pub node_stops_in: Duration,
    /// Time after which it is ended in any case, by its deadline or timeout.
    pub time_left: Duration,
    /// Whether it may run again after it was cut off.
    pub is_repeatable: bool,
    /// When it is expected to end, if known.
    pub expected: Option<ExpectedEnd>,
}

impl LateRequest {
    /// Returns whether it may be sent. One that must not run again needs more than a few answers as evidence: another
    /// node can serve it after a refusal, and none can after a cut.
    pub fn may_be_sent(&self) -> bool {
        self.time_left <= self.node_stops_in || self.expected.is_some_and(|end| self.relies_on(end))
    }

    fn relies_on(&self, end: ExpectedEnd) -> bool {
        let is_in_time = end.within < self.node_stops_in;
        is_in_time && (self.is_repeatable || end.answers >= ENOUGH_ANSWERS)
    }
}
