//! A node's process, which may be suspended or get a tenth of a core.

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

/// Time in milliseconds that a process with a tenth of a core takes to process a response.
const SLOW_DELAY_MS: std::ops::Range<u64> = 20..150;

/// Delay in milliseconds before a resumed process handles responses received meanwhile, in half of all cases: its
/// timers fire first. In the other half, responses and timers are ready together.
const RESUME_DELAY_MS: std::ops::Range<u64> = 1..40;

/// Whether and how fast a process runs.
pub struct Process {
    running: watch::Sender<bool>,
    /// When it last started or was resumed.
    running_since: Cell<Instant>,
    slow: Cell<bool>,
    /// Tasks that became ready while the process was suspended.
    wakers: RefCell<Vec<Waker>>,
    random: RefCell<StdRng>,
}

impl Process {
    /// Returns a running process; `seed` determines its delays.
    pub fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            running: watch::Sender::new(true),
            running_since: Cell::new(Instant::now()),
            slow: Cell::new(false),
            wakers: RefCell::default(),
            random: RefCell::new(StdRng::seed_from_u64(seed)),
        })
    }

    /// Suspends the process.
    pub fn suspend(&self) {
        self.running.send_replace(false);
    }

    /// Resumes the process, with all tasks that became ready meanwhile.
    pub fn resume(&self) {
        if !self.running.send_replace(true) {
            self.running_since.set(Instant::now());
            self.wakers.take().into_iter().for_each(Waker::wake);
        }
    }

    /// Sets whether the process gets only a tenth of a core.
    pub fn set_slow(&self, slow: bool) {
        self.slow.set(slow);
    }

    /// Returns whether the process has run for at least `span`.
    pub fn running_for(&self, span: Duration) -> bool {
        *self.running.borrow() && self.running_since.get().elapsed() >= span
    }

    /// Runs `work` as part of the process. While the process is suspended, `work` is not polled, and its timers
    /// don't fire; those that expired meanwhile fire together after the resumption.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> T {
        let mut work = pin!(work);
        poll_fn(|context| {
            if !*self.running.borrow() {
                self.wakers.borrow_mut().push(context.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(context)
        })
        .await
    }

    fn draw_delay(&self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.borrow_mut().random_range(range))
    }

    /// Waits until the process handles a response that has arrived now.
    pub async fn wait_until_handled(&self) {
        let mut running = self.running.subscribe();
        while !*running.borrow_and_update() {
            let _ = running.changed().await;
            if self.random.borrow_mut().random_bool(0.5) {
                sleep(self.draw_delay(RESUME_DELAY_MS)).await;
            }
        }
        if self.slow.get() {
            sleep(self.draw_delay(SLOW_DELAY_MS)).await;
        }
    }
}
