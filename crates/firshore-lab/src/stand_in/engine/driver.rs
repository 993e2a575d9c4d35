//! Runs the engine model against the clock and hands its events to the answers that wait.

use crate::engine_model::{
    Engine, Event, Execution, Microseconds, Outcome, Refusal, RunNumber, Submission,
};
use crate::stand_in::engine::EngineOptions;
use crate::stand_in::weight_store;
use firshore_server::clock::unix_milliseconds;
use parking_lot::{Mutex, MutexGuard};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Longest sleep when nothing is due.
const IDLE_SLEEP: Duration = Duration::from_secs(1);

/// Shorter waits cannot be left to the timer.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// One line of the execution log as `GET /executions` gives it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ExecutionLine {
    /// Identifier chosen by the sender.
    pub request_id: String,
    /// First word of the prompt.
    pub marker: String,
    /// Priority.
    pub priority: u16,
    /// When it came.
    #[serde(default)]
    pub queued_unix_ms: u64,
    /// When it started to run, or was refused.
    pub started_unix_ms: u64,
    /// When it ended.
    pub ended_unix_ms: Option<u64>,
    /// How it stands or ended.
    pub outcome: Outcome,
    /// Token that a resumed run continued from.
    pub resumed_from: Option<u32>,
    /// Tokens generated.
    pub tokens: u32,
}

/// Engine and the answers that wait for its events.
pub(super) struct Inner {
    pub(super) engine: Engine,
    answers: HashMap<RunNumber, UnboundedSender<Event>>,
    asks_weight_store: bool,
}

/// The engine and its clock.
pub(super) struct Driver {
    pub(super) name: String,
    inner: Mutex<Inner>,
    origin: Instant,
    origin_unix_ms: u64,
    changed: Notify,
    weight_store: Option<SocketAddr>,
    /// Iterations are shorter than the timer can tell: the driver polls the clock while it works.
    is_fast: bool,
}

impl Driver {
    pub(super) fn new(name: &str, options: EngineOptions) -> Self {
        let settings = &options.settings;
        let shortest = Duration::from_micros(settings.scaled(settings.iteration_base));
        let inner = Inner {
            engine: Engine::new(options.settings, options.seed),
            answers: HashMap::new(),
            asks_weight_store: false,
        };
        Self {
            name: name.to_owned(),
            inner: Mutex::new(inner),
            origin: Instant::now(),
            origin_unix_ms: unix_milliseconds(),
            changed: Notify::new(),
            weight_store: options.weight_store,
            is_fast: shortest < TIMER_RESOLUTION,
        }
    }

    pub(super) fn now(&self) -> Microseconds {
        self.origin.elapsed().as_micros() as Microseconds
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock()
    }

    /// Makes the driver look at the engine again.
    pub(super) fn wake(&self) {
        self.changed.notify_one();
    }

    pub(super) fn submit(self: &Arc<Self>, submission: Submission) -> Result<Answer, Refusal> {
        let mut inner = self.lock();
        let run = inner.engine.submit(self.now(), submission)?;
        let (sender, events) = unbounded_channel();
        inner.answers.insert(run, sender);
        drop(inner);
        self.wake();
        Ok(Answer {
            driver: self.clone(),
            run,
            events,
            over: false,
        })
    }

    pub(super) fn cancel(&self, request_id: &str) -> bool {
        let cancelled = self.lock().engine.cancel(self.now(), request_id);
        self.wake();
        cancelled
    }

    pub(super) fn executions(&self) -> Vec<ExecutionLine> {
        let inner = self.lock();
        let lines = inner.engine.executions().iter();
        lines.map(|execution| self.line(execution)).collect()
    }

    fn line(&self, execution: &Execution) -> ExecutionLine {
        let unix = |at: Microseconds| self.origin_unix_ms + at / 1000;
        ExecutionLine {
            request_id: execution.request_id.clone(),
            marker: execution.marker.clone(),
            priority: execution.priority,
            queued_unix_ms: unix(execution.queued),
            started_unix_ms: unix(execution.started),
            ended_unix_ms: execution.ended.map(unix),
            outcome: execution.outcome,
            resumed_from: execution.resumed_from,
            tokens: execution.tokens,
        }
    }

    /// Steps the engine, hands out its events and tells when to come back.
    fn step(&self) -> Option<Microseconds> {
        let mut inner = self.lock();
        for event in inner.engine.step(self.now()) {
            let run = event.run();
            let over = event.is_final();
            if let Some(answer) = inner.answers.get(&run) {
                let _ = answer.send(event);
            }
            if over {
                inner.answers.remove(&run);
            }
        }
        inner.engine.next_wake()
    }

    /// The weight store to ask now, if a load awaits it.
    fn store_to_ask(&self) -> Option<SocketAddr> {
        let mut inner = self.lock();
        let ask = inner.engine.awaits_weights() && !inner.asks_weight_store;
        inner.asks_weight_store |= ask;
        self.weight_store.filter(|_| ask)
    }

    async fn ask_weight_store(&self, store: SocketAddr) {
        weight_store::wait_for_turn(store, &self.name).await;
        let mut inner = self.lock();
        inner.asks_weight_store = false;
        inner.engine.weights_granted(self.now());
        drop(inner);
        self.wake();
    }
}

/// Runs the engine until the server ends.
pub(super) async fn run(driver: Arc<Driver>) {
    loop {
        let wake = driver.step();
        if let Some(store) = driver.store_to_ask() {
            let driver = driver.clone();
            actix_rt::spawn(async move { driver.ask_weight_store(store).await });
        }
        let sleep = match wake {
            Some(at) => Duration::from_micros(at.saturating_sub(driver.now())),
            None => IDLE_SLEEP,
        };
        if sleep < TIMER_RESOLUTION && !sleep.is_zero() && driver.is_fast {
            tokio::task::yield_now().await;
            continue;
        }
        tokio::select! {
            () = driver.changed.notified() => {}
            () = actix_rt::time::sleep(sleep) => {}
        }
    }
}

/// Waits for a duration that the model gave.
pub(super) async fn pause(duration: Microseconds) {
    actix_rt::time::sleep(Duration::from_micros(duration)).await;
}

/// Events of one run. Dropping it before the run's end cancels the run.
pub(super) struct Answer {
    driver: Arc<Driver>,
    run: RunNumber,
    events: UnboundedReceiver<Event>,
    over: bool,
}

impl Answer {
    /// The next event; `None` after the last.
    pub(super) async fn next(&mut self) -> Option<Event> {
        let event = self.events.recv().await;
        self.over |= event.as_ref().is_none_or(Event::is_final);
        event
    }
}

impl Drop for Answer {
    fn drop(&mut self) {
        if self.over {
            return;
        }
        let mut inner = self.driver.lock();
        inner.answers.remove(&self.run);
        let now = self.driver.now();
        inner.engine.cancel_run(now, self.run);
        drop(inner);
        self.driver.wake();
    }
}
