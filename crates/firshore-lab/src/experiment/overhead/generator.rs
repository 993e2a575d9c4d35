//! Closed-loop callers on threads of their own.

use crate::http::Call;
use crate::load::{expected_answer, prompt};
use serde_json::json;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Threads that send load.
pub(super) const THREADS: usize = 3;

static NEXT_MARKER: AtomicU64 = AtomicU64::new(0);

/// What each request asks for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Shape {
    pub(super) prompt_tokens: usize,
    pub(super) output_tokens: usize,
    pub(super) stream: bool,
}

/// Load of one step.
#[derive(Clone, Debug)]
pub(super) struct Load {
    /// Where requests go, in turn.
    pub(super) targets: Vec<SocketAddr>,
    pub(super) key: String,
    pub(super) model: String,
    pub(super) shape: Shape,
    /// Callers of each thread; each waits for its answer before it asks again.
    pub(super) callers: usize,
    /// Requests a second of all callers together; without one they ask at once.
    pub(super) rate: Option<f64>,
    pub(super) duration: Duration,
}

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Times {
    pub(super) first: Duration,
    pub(super) whole: Duration,
}

/// What a step came to.
#[derive(Clone, Debug, Default)]
pub(super) struct Outcome {
    pub(super) times: Vec<Times>,
    pub(super) failures: Vec<String>,
    pub(super) elapsed: Duration,
}

impl Outcome {
    pub(super) fn per_second(&self) -> f64 {
        self.times.len() as f64 / self.elapsed.as_secs_f64()
    }

    pub(super) fn absorb(&mut self, other: Self) {
        self.times.extend(other.times);
        self.failures.extend(other.failures);
        self.elapsed += other.elapsed;
    }
}

/// Runs a step to its end.
pub(super) fn run(load: &Load) -> Outcome {
    let start = Instant::now();
    let threads: Vec<_> = (0..THREADS)
        .map(|thread| {
            let load = load.clone();
            std::thread::spawn(move || {
                actix_rt::System::new().block_on(run_thread(load, thread, start))
            })
        })
        .collect();
    let mut outcome = Outcome::default();
    for thread in threads {
        if let Ok(part) = thread.join() {
            outcome.absorb(part);
        }
    }
    outcome.elapsed = start.elapsed();
    outcome
}

async fn run_thread(load: Load, thread: usize, start: Instant) -> Outcome {
    let all_callers = THREADS * load.callers;
    let tasks: Vec<_> = (0..load.callers)
        .map(|caller| {
            let number = caller * THREADS + thread;
            actix_rt::spawn(run_caller(load.clone(), number, all_callers, start))
        })
        .collect();
    let mut outcome = Outcome::default();
    for task in tasks {
        if let Ok(part) = task.await {
            outcome.absorb(part);
        }
    }
    outcome
}

async fn run_caller(load: Load, number: usize, all_callers: usize, start: Instant) -> Outcome {
    let until = start + load.duration;
    let pause = load.rate.map(|rate| all_callers as f64 / rate);
    let mut next = match pause {
        Some(pause) => start + Duration::from_secs_f64(pause * number as f64 / all_callers as f64),
        None => start,
    };
    let mut outcome = Outcome::default();
    let target = load.targets[number % load.targets.len()];
    while next < until && Instant::now() < until {
        if let Some(pause) = pause {
            actix_rt::time::sleep_until(next.into()).await;
            next = (next + Duration::from_secs_f64(pause)).max(Instant::now());
        }
        match ask(target, &load).await {
            Ok(times) => outcome.times.push(times),
            Err(reason) => outcome.failures.push(reason),
        }
    }
    outcome
}

async fn ask(target: SocketAddr, load: &Load) -> Result<Times, String> {
    let shape = load.shape;
    let marker = format!("m{}", NEXT_MARKER.fetch_add(1, Ordering::Relaxed));
    let body = json!({"model": load.model, "prompt": prompt(&marker, shape.prompt_tokens),
        "max_tokens": shape.output_tokens, "stream": shape.stream});
    let call = Call::post(target, "/v1/completions", body.to_string())
        .header("engine-request-id", &marker)
        .key(&load.key);
    let start = Instant::now();
    let mut exchange = call.open().await.map_err(|error| error.to_string())?;
    let mut first = None;
    let mut answer = Vec::new();
    while let Some(chunk) = exchange
        .body
        .next()
        .await
        .map_err(|error| error.to_string())?
    {
        first.get_or_insert_with(|| start.elapsed());
        answer.extend_from_slice(&chunk);
    }
    let whole = start.elapsed();
    let text = String::from_utf8_lossy(&answer);
    if !exchange.head.status.is_success() || !is_own(&text, &marker, shape) {
        return Err(format!("{}: {text}", exchange.head.status));
    }
    Ok(Times {
        first: first.unwrap_or(whole),
        whole,
    })
}

fn is_own(text: &str, marker: &str, shape: Shape) -> bool {
    if shape.stream {
        return text.contains(marker) && text.trim_end().ends_with("data: [DONE]");
    }
    text.contains(&expected_answer(
        marker,
        shape.prompt_tokens,
        shape.output_tokens,
    ))
}
