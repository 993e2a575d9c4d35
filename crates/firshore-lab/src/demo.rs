//! The demonstration: a fleet of today's size under load for a bounded time, a live table, and a
//! verdict on the promises.

use crate::demo_view::{LiveTable, Totals, print_summary};
use crate::fleet::{Fleet, FleetOptions, read_declarations};
use crate::judge::{Allowances, CallOutcome, Evidence, judge};
use crate::load::{Cancellation, Job, SharedTally, Tally, drive};
use crate::topology::Topology;
use argh::FromArgs;
use firshore_types::declaration::Protocol;
use std::future::Future;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Time that running requests get after the load has ended.
const REQUEST_GRACE: Duration = Duration::from_secs(10);

/// Time that jobs get after the load has ended.
const JOB_GRACE: Duration = Duration::from_secs(20);

const REFRESH: Duration = Duration::from_secs(1);

/// Run a whole fleet in this process for a bounded time.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// folder of the topology and its declarations
    #[argh(option, default = "PathBuf::from(\"examples/fieldline\")")]
    topology: PathBuf,
    /// seconds of load
    #[argh(option, default = "10")]
    seconds: u64,
    /// stay up after the load until interrupted
    #[argh(switch)]
    keep: bool,
    /// seed of everything random
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    /// Runs it; `Ok(true)` when no promise was broken and no request failed.
    pub fn run(&self) -> Result<bool, String> {
        let topology = Topology::read(&self.topology)?;
        actix_rt::System::new().block_on(self.run_fleet(&topology))
    }

    async fn run_fleet(&self, topology: &Topology) -> Result<bool, String> {
        let options = FleetOptions {
            seed: self.seed,
            ..FleetOptions::default()
        };
        let fleet = Fleet::start(topology, &options)
            .map_err(|error| format!("The fleet did not start: {error}."))?;
        fleet.apply(read_declarations(&self.topology)?).await?;
        print_addresses(topology, &fleet);
        let tally = SharedTally::default();
        let interrupted = self.load(topology, &fleet, &tally).await;
        let kept = self.verdict(&fleet, &tally).await?;
        if self.keep && !interrupted {
            println!("The fleet stays up until Ctrl-C.");
            let _ = tokio::signal::ctrl_c().await;
        }
        fleet.stop();
        Ok(kept)
    }

    /// Runs callers and jobs to their end; `true` when it was interrupted.
    async fn load(&self, topology: &Topology, fleet: &Fleet, tally: &SharedTally) -> bool {
        let until = Instant::now() + Duration::from_secs(self.seconds);
        let callers = self.callers(topology, fleet, tally, until);
        let jobs = jobs(topology, fleet, tally, until);
        let work = async {
            let calling = tokio::time::timeout_at((until + REQUEST_GRACE).into(), callers);
            let _ = futures_util::future::join(calling, jobs).await;
        };
        let mut table = LiveTable::new(topology, Instant::now());
        let showing = async {
            loop {
                actix_rt::time::sleep(REFRESH).await;
                table.show(&tally.borrow());
            }
        };
        tokio::select! {
            () = work => false,
            () = showing => false,
            _ = tokio::signal::ctrl_c() => true,
        }
    }

    fn callers(
        &self,
        topology: &Topology,
        fleet: &Fleet,
        tally: &SharedTally,
        until: Instant,
    ) -> impl Future<Output = ()> + use<> {
        let mut tasks = Vec::new();
        for (number, caller) in topology.callers.iter().enumerate() {
            let entrance = fleet.nodes[number % fleet.nodes.len()].entrance;
            let seed = self.seed.wrapping_add(number as u64);
            let driving = drive(entrance, caller.clone(), tally.clone(), until, seed);
            tasks.push(actix_rt::spawn(driving));
        }
        async move {
            for task in tasks {
                let _ = task.await;
            }
        }
    }

    /// Judges the run and prints the summary; `true` when no promise was broken.
    async fn verdict(&self, fleet: &Fleet, tally: &SharedTally) -> Result<bool, String> {
        let backends = fleet
            .execution_logs()
            .await
            .map_err(|error| error.to_string())?;
        let tally = tally.take();
        let totals = Totals::of(&tally);
        let failures = failures(&tally);
        let calls = tally.samples.into_iter().map(|sample| sample.record);
        let evidence = Evidence {
            calls: calls.collect(),
            jobs: tally.jobs,
            backends,
        };
        let broken = judge(&evidence, &Allowances::default());
        print_summary(&totals, &evidence, &failures, &broken);
        Ok(broken.is_empty() && failures.is_empty())
    }
}

/// Jobs of the run: one at once and one each interval, and one that is cancelled.
async fn jobs(topology: &Topology, fleet: &Fleet, tally: &SharedTally, until: Instant) {
    let job = |name: String, cancellation| Job {
        name,
        shape: topology.batch.clone(),
        cancellation,
    };
    let entrance = |number: usize| fleet.nodes[number % fleet.nodes.len()].entrance;
    let deadline = until + JOB_GRACE;
    let cancelled = job("cancelled".to_owned(), Cancellation::AfterItems(1));
    let cancelled = cancelled.run(entrance(1), tally.clone(), deadline);
    let mut tasks = vec![actix_rt::spawn(cancelled)];
    let mut number = 0;
    while Instant::now() < until {
        let heap = job(format!("heap-{number}"), Cancellation::Never);
        let running = heap.run(entrance(number), tally.clone(), deadline);
        tasks.push(actix_rt::spawn(running));
        number += 1;
        let next = Duration::from_secs_f64(topology.batch.interval_seconds);
        let next = (Instant::now() + next).min(until);
        actix_rt::time::sleep_until(next.into()).await;
    }
    for task in tasks {
        let _ = task.await;
    }
}

/// Requests and jobs that did not succeed. No promise is broken by them, but with nothing made to
/// fail there should be none.
fn failures(tally: &Tally) -> Vec<String> {
    let mut failures = tally.jobs_refused.clone();
    for sample in &tally.samples {
        let marker = &sample.record.marker;
        match &sample.record.outcome {
            CallOutcome::Whole | CallOutcome::Wrong(_) => {}
            CallOutcome::Refused(reason) => failures.push(format!("{marker} refused: {reason}")),
            CallOutcome::Failed(reason) => failures.push(format!("{marker} failed: {reason}")),
            CallOutcome::Lost(reason) => failures.push(format!("{marker} lost: {reason}")),
        }
    }
    let ended = tally.samples.len() as u64;
    if ended < tally.sent {
        failures.push(format!("{} requests did not end", tally.sent - ended));
    }
    failures
}

fn print_addresses(topology: &Topology, fleet: &Fleet) {
    println!(
        "{}: {} nodes, {} back ends, object API and machine list at http://{}",
        topology.name,
        fleet.nodes.len(),
        fleet.backends.len(),
        fleet.platform.server.address
    );
    for one in &fleet.nodes {
        let (zone, entrance, admin) = (&one.zone, one.entrance, one.node.admin);
        println!("  {zone:<14} callers http://{entrance}  admin http://{admin}");
    }
    let caller = topology.callers.iter().find(|one| {
        let service = topology
            .services
            .iter()
            .find(|service| service.name == one.service);
        service.is_some_and(|service| service.protocol == Protocol::Model)
    });
    if let Some(caller) = caller {
        println!(
            "  curl -N http://{}/v1/completions -H 'Authorization: Bearer {}' -d '{{\"model\":\"{}\",\"prompt\":\"a short question\",\"stream\":true}}'",
            fleet.nodes[0].entrance, caller.key, caller.service
        );
    }
}
