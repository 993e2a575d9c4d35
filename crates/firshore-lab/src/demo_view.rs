//! What the demonstration prints: a table each second, and the summary.

use crate::judge::{BrokenPromise, Evidence, JobEnd};
use crate::load::{Sample, Tally};
use crate::topology::Topology;
use hdrhistogram::Histogram;
use std::io::{IsTerminal, Write};
use std::time::{Duration, Instant};

/// Longest time that is told apart, in microseconds.
const MAXIMUM_MICROSECONDS: u64 = 600_000_000;

/// Most lines of failures printed.
const LINES_PRINTED: usize = 10;

/// Quantiles of times, in milliseconds.
pub struct Times(Histogram<u64>);

impl Times {
    /// Of some durations.
    pub fn of(durations: impl Iterator<Item = Duration>) -> Self {
        let mut histogram =
            Histogram::new_with_bounds(1, MAXIMUM_MICROSECONDS, 3).expect("the bounds are valid");
        for duration in durations {
            histogram.saturating_record(duration.as_micros() as u64);
        }
        Self(histogram)
    }

    /// The value below which this share lies, in milliseconds; 0 without any.
    pub fn quantile(&self, share: f64) -> f64 {
        self.0.value_at_quantile(share) as f64 / 1000.0
    }
}

fn first_tokens<'a>(samples: impl Iterator<Item = &'a Sample>) -> Times {
    Times::of(samples.filter_map(|sample| sample.first_token))
}

/// Numbers of the whole run.
pub struct Totals {
    requests: usize,
    tokens: u64,
    first_token_p50: f64,
    first_token_p95: f64,
    items: u64,
}

impl Totals {
    /// Of a tally.
    pub fn of(tally: &Tally) -> Self {
        let times = first_tokens(tally.samples.iter());
        let results = tally.jobs.iter().map(|job| job.results.len() as u64);
        Self {
            requests: tally.samples.len(),
            tokens: tally.tokens,
            first_token_p50: times.quantile(0.5),
            first_token_p95: times.quantile(0.95),
            items: results.sum(),
        }
    }
}

/// The table: redrawn in place on a terminal, one line a second otherwise.
pub struct LiveTable {
    callers: Vec<String>,
    start: Instant,
    terminal: bool,
    drawn_lines: usize,
    samples_before: usize,
    tokens_before: u64,
}

impl LiveTable {
    /// A table of a topology's callers.
    pub fn new(topology: &Topology, start: Instant) -> Self {
        Self {
            callers: topology
                .callers
                .iter()
                .map(|one| one.name.clone())
                .collect(),
            start,
            terminal: std::io::stdout().is_terminal(),
            drawn_lines: 0,
            samples_before: 0,
            tokens_before: 0,
        }
    }

    /// Prints the state now and the rates since the last call.
    pub fn show(&mut self, tally: &Tally) {
        let lines = if self.terminal {
            self.table(tally)
        } else {
            vec![self.line(tally)]
        };
        let mut out = std::io::stdout().lock();
        if self.drawn_lines > 0 {
            let _ = write!(out, "\x1b[{}A\x1b[J", self.drawn_lines);
        }
        for line in &lines {
            let _ = writeln!(out, "{line}");
        }
        let _ = out.flush();
        self.drawn_lines = if self.terminal { lines.len() } else { 0 };
        self.samples_before = tally.samples.len();
        self.tokens_before = tally.tokens;
    }

    fn line(&self, tally: &Tally) -> String {
        let times = first_tokens(tally.samples.iter());
        format!(
            "{:>4} s  requests {} ({}/s)  tokens {} ({}/s)  first token p50 {:.1} ms p95 {:.1} ms  batch items {}/{}",
            self.start.elapsed().as_secs(),
            tally.samples.len(),
            tally.samples.len() - self.samples_before,
            tally.tokens,
            tally.tokens - self.tokens_before,
            times.quantile(0.5),
            times.quantile(0.95),
            tally.items_done,
            tally.items_accepted,
        )
    }

    fn table(&self, tally: &Tally) -> Vec<String> {
        let mut lines = vec![
            self.line(tally),
            format!(
                "  {:<18}{:>9}{:>14}{:>14}{:>14}",
                "caller", "requests", "first p50 ms", "first p95 ms", "whole p95 ms"
            ),
        ];
        for caller in &self.callers {
            let own = || tally.samples.iter().filter(|one| one.caller == *caller);
            let first = first_tokens(own());
            let whole = Times::of(own().map(|one| one.duration));
            lines.push(format!(
                "  {:<18}{:>9}{:>14.1}{:>14.1}{:>14.1}",
                caller,
                own().count(),
                first.quantile(0.5),
                first.quantile(0.95),
                whole.quantile(0.95)
            ));
        }
        lines
    }
}

/// Prints what the run came to.
pub fn print_summary(
    totals: &Totals,
    evidence: &Evidence,
    failures: &[String],
    broken: &[BrokenPromise],
) {
    let cancelled = evidence
        .jobs
        .iter()
        .filter(|job| matches!(job.end, JobEnd::Cancelled { .. }));
    let executions = evidence.backends.iter().map(|backend| backend.lines.len());
    println!("requests {}  tokens {}", totals.requests, totals.tokens);
    println!(
        "first token p50 {:.1} ms  p95 {:.1} ms",
        totals.first_token_p50, totals.first_token_p95
    );
    println!(
        "batch items completed {}  jobs {}  of them cancelled {}",
        totals.items,
        evidence.jobs.len(),
        cancelled.count()
    );
    println!(
        "executions in the back ends' logs {}",
        executions.sum::<usize>()
    );
    println!("failed without a broken promise {}", failures.len());
    print_lines(failures);
    println!("promises broken {}", broken.len());
    print_lines(broken);
}

fn print_lines(lines: &[impl std::fmt::Display]) {
    for line in lines.iter().take(LINES_PRINTED) {
        println!("  {line}");
    }
}
