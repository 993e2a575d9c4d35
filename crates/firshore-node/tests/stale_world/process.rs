//! A node's process, which may stand still or get a tenth of a core.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// Milliseconds after which a process at a tenth of a core takes an answer in.
const AT_A_TENTH: std::ops::Range<u64> = 20..150;

/// Milliseconds after which a process that goes on takes in what came meanwhile, in half of all cases: its
/// timers have fired by then. In the other half, answers and timers are there together.
const AFTER_TIMERS: std::ops::Range<u64> = 1..40;

/// Whether and how fast a process runs.
pub struct Process {
    runs: watch::Sender<bool>,
    /// Since when it has run.
    since: Cell<Instant>,
    slow: Cell<bool>,
    /// Work that wanted to go on while the process stood still.
    wakers: RefCell<Vec<Waker>>,
    random: RefCell<StdRng>,
}

impl Process {
    /// A process that runs; `seed` decides how late it takes answers in.
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            runs: watch::Sender::new(true),
            since: Cell::new(Instant::now()),
            slow: Cell::new(false),
            wakers: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Stands still from now on.
    pub fn pause(&self) {
        self.runs.send_replace(false);
    }

    /// Goes on.
    pub fn go_on(&self) {
        if !self.runs.send_replace(true) {
            self.since.set(Instant::now());
            self.wakers.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Gets a tenth of a core, or a whole one again.
    pub fn set_slow(&self, slow: bool) {
        self.slow.set(slow);
    }

    /// Whether it has run for so long.
    pub fn has_run_for(&self, span: Duration) -> bool {
        *self.runs.borrow() && self.since.get().elapsed() >= span
    }

    /// Does work as part of the process. While that stands still, nothing is done, and no timer in the
    /// work fires; those whose time is over fire together once it goes on.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|context| {
            if !*self.runs.borrow() {
                self.wakers.borrow_mut().push(context.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(context)
        })
        .await
    }

    fn drawn(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.borrow_mut().random_range(range))
    }

    /// Ends when an answer that is there now is taken in.
    pub async fn takes_in(&self) {
        let mut runs = self.runs.subscribe();
        while !*runs.borrow_and_update() {
            let _ = runs.changed().await;
            if self.random.borrow_mut().random_bool(0.5) {
                sleep(self.drawn(AFTER_TIMERS)).await;
            }
        }
        if self.slow.get() {
            sleep(self.drawn(AT_A_TENTH)).await;
        }
    }
}
