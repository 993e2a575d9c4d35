//! Decides whether a node that is asked to stop still sends a request. A request that it sends and that has not ended
//! when it stops is cut off, while another node could have served it.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Time for which the length of a run is evidence of the length of later ones.
const EVIDENCE_LIFETIME: Duration = Duration::from_secs(60);

/// Expected length of a run, as a multiple of the longest recent one: requests and the load of back ends differ.
const LENGTH_FACTOR: u32 = 2;

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
    last_answer: Option<Instant>,
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

    fn longest(&self, now: Instant) -> Option<Duration> {
        self.last_answer.filter(|at| is_recent(now, *at))?;
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
            runs.last_answer = Some(now);
        }
    }

    /// Records that a run has ended, in whatever way.
    pub fn end(&mut self, now: Instant, route: &str, start: RunStart) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.end(now, start);
        }
    }

    /// Returns the time within which a request of the route is expected to end that begins after `begin_delay`;
    /// `None` without a recent answer.
    pub fn expected(&self, now: Instant, route: &str, begin_delay: Duration) -> Option<Duration> {
        let longest = self.routes.get(route)?.longest(now)?;
        Some(begin_delay + longest * LENGTH_FACTOR)
    }
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
    /// Time within which it is expected to end, if known.
    pub expected: Option<Duration>,
}

impl LateRequest {
    /// Returns whether it may be sent. An expectation is not enough for a request that must not run again: another node
    /// can serve it after a refusal, and none can after a cut.
    pub fn may_be_sent(&self) -> bool {
        let is_expected_in_time = self.expected.is_some_and(|time| time < self.node_stops_in);
        self.time_left <= self.node_stops_in || (self.is_repeatable && is_expected_in_time)
    }
}
