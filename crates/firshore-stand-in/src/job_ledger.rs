//! What callers of a soak were promised and shown about jobs, and what broke a promise.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::time::{Duration, Instant};

/// Pause between two rounds of reads.
const ROUND_PAUSE: Duration = Duration::from_millis(50);

/// Place of a result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ResultPlace {
    job: String,
    position: u64,
}

/// A result as it was shown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShownResult<T> {
    /// Item.
    pub item: String,
    /// What it came to.
    pub outcome: T,
}

/// What a read showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadEnd {
    /// So many results from the position on.
    Shown(usize),
    /// The job is gone.
    Gone,
    /// Nobody could tell.
    Refused,
}

/// A job that was not read whole.
struct UnreadJob {
    job: String,
    end: ReadEnd,
}

/// Jobs that were accepted, results that were shown, and what broke a promise.
#[derive(Debug)]
pub struct JobLedger<T> {
    accepted: RefCell<Vec<String>>,
    shown: RefCell<BTreeMap<ResultPlace, ShownResult<T>>>,
    broken: RefCell<BTreeSet<String>>,
    requests: Cell<u64>,
    closed: Cell<bool>,
}

impl<T> Default for JobLedger<T> {
    fn default() -> Self {
        Self {
            accepted: RefCell::default(),
            shown: RefCell::default(),
            broken: RefCell::default(),
            requests: Cell::default(),
            closed: Cell::default(),
        }
    }
}

impl<T: Clone + Debug + PartialEq> JobLedger<T> {
    /// Notes that a job was accepted.
    pub fn accept(&self, job: &str) {
        self.accepted.borrow_mut().push(job.to_owned());
    }

    /// Returns the jobs that were accepted.
    pub fn accepted(&self) -> Vec<String> {
        self.accepted.borrow().clone()
    }

    /// Counts a request.
    pub fn count_request(&self) {
        self.requests.set(self.requests.get() + 1);
    }

    /// Returns how many requests were sent.
    pub fn requests(&self) -> u64 {
        self.requests.get()
    }

    /// Notes a broken promise.
    pub fn report(&self, text: String) {
        self.broken.borrow_mut().insert(text);
    }

    /// Returns what broke a promise.
    pub fn broken(&self) -> Vec<String> {
        self.broken.borrow().iter().cloned().collect()
    }

    /// Lets callers end.
    pub fn close(&self) {
        self.closed.set(true);
    }

    /// Returns whether callers are to end.
    pub fn is_closed(&self) -> bool {
        self.closed.get()
    }

    /// Notes a result, and holds it to what was shown at its place before.
    pub fn note(&self, job: &str, position: u64, found: ShownResult<T>) {
        let place = ResultPlace {
            job: job.to_owned(),
            position,
        };
        let mut shown = self.shown.borrow_mut();
        let before = shown.entry(place.clone()).or_insert_with(|| found.clone());
        if *before != found {
            self.report(format!("{place:?} showed {before:?} and then {found:?}"));
        }
    }

    /// Notes that an accepted job is not there.
    pub fn note_gone(&self, job: &str) {
        self.report(format!("{job} was accepted and is gone"));
    }

    /// Reads everything accepted once more, again and again for as long as `within`; a job that does not show
    /// all its `items` then, each once, breaks its promise.
    pub async fn read_all(
        &self,
        items: usize,
        within: Duration,
        mut read: impl AsyncFnMut(&str) -> ReadEnd,
    ) {
        let begin = Instant::now();
        let accepted = self.accepted();
        let unread = |job: &String| UnreadJob {
            job: job.clone(),
            end: ReadEnd::Refused,
        };
        let mut left: Vec<UnreadJob> = accepted.iter().map(unread).collect();
        while !left.is_empty() && begin.elapsed() < within {
            for one in &mut left {
                if begin.elapsed() < within {
                    // What was shown before doesn't count: it has to be readable now.
                    one.end = read(&one.job).await;
                }
            }
            left.retain(|one| one.end != ReadEnd::Shown(items) && one.end != ReadEnd::Gone);
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
        for UnreadJob { job, end } in left {
            self.report(format!("{job} of {items} items ends with {end:?}"));
        }
        accepted.iter().for_each(|job| self.check_items(job));
    }

    /// Holds a job to listing each of its items once.
    fn check_items(&self, job: &str) {
        let shown = self.shown.borrow();
        let of_job = shown.iter().filter(|(place, _)| place.job == job);
        let items: Vec<&String> = of_job.map(|(_, result)| &result.item).collect();
        let distinct: BTreeSet<&String> = items.iter().copied().collect();
        if distinct.len() != items.len() {
            self.report(format!("{job} listed an item twice: {items:?}"));
        }
    }
}
