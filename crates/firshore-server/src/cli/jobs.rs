//! `firshore jobs`.

use super::{Failure, client};
use argh::FromArgs;
use awc::http::Method;
use firshore_batch::job::{JobStatus, JobSummary};
use std::time::Duration;

/// Cells of a progress bar.
const BAR_CELLS: u64 = 30;

/// Time between two looks at a watched job.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Lines of output asked for at once.
const OUTPUT_LINES: u32 = 10_000;

/// List, show, cancel and read batch jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    #[argh(subcommand)]
    command: Option<JobsCommand>,
    /// admin address of any node
    #[argh(option)]
    node: String,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum JobsCommand {
    List(List),
    Show(Show),
    Cancel(Cancel),
    Output(Output),
}

/// List every job.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
struct List {}

/// Show one job's progress.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
struct Show {
    /// the job
    #[argh(positional)]
    id: String,
    /// show it again every second until it ends
    #[argh(switch)]
    watch: bool,
}

/// Stop a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
struct Cancel {
    /// the job
    #[argh(positional)]
    id: String,
}

/// Print a job's results as JSON lines.
#[derive(FromArgs)]
#[argh(subcommand, name = "output")]
struct Output {
    /// the job
    #[argh(positional)]
    id: String,
    /// position to begin at
    #[argh(option, default = "0")]
    from: u32,
}

/// Progress of a job on one line: bar, share, rate and estimate.
pub fn progress_line(job: &JobSummary, now_milliseconds: u64) -> String {
    let counts = job.request_counts;
    let done = u64::from(counts.completed + counts.failed);
    let total = u64::from(counts.total);
    let share = |whole: u64| (done * whole).checked_div(total).unwrap_or(whole);
    let filled = share(BAR_CELLS) as usize;
    let bar = format!(
        "{}{}",
        "#".repeat(filled),
        ".".repeat(BAR_CELLS as usize - filled)
    );
    let rate = job.items_per_kilosecond as f64 / 1000.0;
    let estimate = job.estimated_end_at.map_or(String::new(), |end| {
        let seconds = end.saturating_sub(now_milliseconds) / 1000;
        format!("  done in {}", readable_seconds(seconds))
    });
    format!(
        "[{bar}] {:>3}%  {done}/{total}  failed {}  {rate:.1} items/s{estimate}",
        share(100),
        counts.failed
    )
}

fn readable_seconds(seconds: u64) -> String {
    match seconds {
        0..=119 => format!("{seconds} s"),
        120..=7199 => format!("{} min", seconds / 60),
        _ => format!("{} h {} min", seconds / 3600, seconds / 60 % 60),
    }
}

fn status_text(job: &JobSummary) -> &'static str {
    if job.status == JobStatus::InProgress && job.governance.paused {
        return "paused";
    }
    job.status.as_str()
}

fn print_job(job: &JobSummary) {
    println!("{}  {}  {}", job.id, job.tenant, status_text(job));
    println!(
        "  model {}  priority {}  waiting {}  running {}",
        job.model, job.governance.priority, job.backlog, job.leased
    );
    println!(
        "  {}",
        progress_line(job, crate::clock::unix_milliseconds())
    );
}

impl Jobs {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let node = &self.node;
        match self.command.unwrap_or(JobsCommand::List(List {})) {
            JobsCommand::List(_) => list(node),
            JobsCommand::Show(show) => show.run(node),
            JobsCommand::Cancel(cancel) => {
                let path = format!("/jobs/{}/cancel", cancel.id);
                let job: JobSummary = client::call(node, Method::POST, &path, String::new())?;
                print_job(&job);
                Ok(())
            }
            JobsCommand::Output(output) => output.run(node),
        }
    }
}

fn list(node: &str) -> Result<(), Failure> {
    let jobs: Vec<JobSummary> = client::call(node, Method::GET, "/jobs", String::new())?;
    println!(
        "{:<38} {:<16} {:<11} {:>4}  PROGRESS",
        "JOB", "TENANT", "STATUS", "PRIO"
    );
    let now = crate::clock::unix_milliseconds();
    for job in jobs {
        println!(
            "{:<38} {:<16} {:<11} {:>4}  {}",
            job.id.as_str(),
            job.tenant.as_str(),
            status_text(&job),
            job.governance.priority,
            progress_line(&job, now)
        );
    }
    Ok(())
}

impl Show {
    fn run(&self, node: &str) -> Result<(), Failure> {
        let path = format!("/jobs/{}", self.id);
        loop {
            let job: JobSummary = client::call(node, Method::GET, &path, String::new())?;
            print_job(&job);
            if !self.watch || job.status.is_terminal() {
                return Ok(());
            }
            std::thread::sleep(WATCH_INTERVAL);
        }
    }
}

impl Output {
    /// Prints whole lines only, and goes on until every committed result has been printed: an
    /// answer that broke off is not told from a whole one by its end.
    fn run(&self, node: &str) -> Result<(), Failure> {
        let mut from = self.from;
        loop {
            let path = format!("/jobs/{}/output?from={from}&limit={OUTPUT_LINES}", self.id);
            let text = client::call_text(node, Method::GET, &path, String::new())?;
            let whole = text.rfind('\n').map_or("", |end| &text[..=end]);
            print!("{whole}");
            let lines = whole.lines().count() as u32;
            from += lines;
            let path = format!("/jobs/{}", self.id);
            let job: JobSummary = client::call(node, Method::GET, &path, String::new())?;
            let committed = job.request_counts.completed + job.request_counts.failed;
            if from >= committed {
                return Ok(());
            }
            if lines == 0 {
                let message = format!("The output broke off; go on with --from {from}.");
                return Err(Failure::Failed(message));
            }
        }
    }
}
