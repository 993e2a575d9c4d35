//! `firshore jobs`.

use super::{Failure, client};
use argh::FromArgs;
use awc::http::Method;
use firshore_batch::job::JobSummary;

/// List batch jobs.
#[derive(FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    /// admin address of any node
    #[argh(option)]
    node: String,
}

impl Jobs {
    pub(crate) fn run(self) -> Result<(), Failure> {
        let jobs: Vec<JobSummary> = client::call(&self.node, Method::GET, "/jobs", String::new())?;
        println!(
            "{:<32} {:<20} {:<12} {:>8} {:>8} {:>8}",
            "JOB", "TENANT", "STATUS", "TOTAL", "DONE", "FAILED"
        );
        for job in jobs {
            let counts = job.request_counts;
            let status = format!("{:?}", job.status);
            println!(
                "{:<32} {:<20} {status:<12} {:>8} {:>8} {:>8}",
                job.id.0, job.tenant.0, counts.total, counts.completed, counts.failed
            );
        }
        Ok(())
    }
}
