//! Keeps what policies set for running jobs in step with the configuration in force, and lets
//! time pass in the journal. One node at a time does it, chosen by rendezvous hashing; two at
//! once, during a change of members, do no harm.

use crate::journal;
use crate::shared::{ConfigurationView, Shared};
use firshore_batch::command::Action;
use firshore_batch::job::{Governance, JobSummary};
use firshore_types::hash::rendezvous_owner;
use firshore_types::ids::Revision;
use firshore_types::policy;
use std::sync::Arc;
use std::time::Duration;

const TICK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Name under which the nodes choose the one that governs.
const ROLE: &str = "batch-governor";

/// Governs until the node ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut governed = Revision(0);
    loop {
        actix_rt::time::sleep(TICK_INTERVAL).await;
        if !governs(&shared) {
            governed = Revision(0);
            continue;
        }
        // A tick that is not committed is made up for by the next.
        let _ = journal::propose(&shared, Action::Tick).await;
        let view = shared.configuration();
        let revision = view.configuration.revision;
        if revision != governed && govern(&shared, &view).await {
            governed = revision;
        }
    }
}

fn governs(shared: &Shared) -> bool {
    let members = shared.members.lock();
    let alive = members.alive(shared.clock.now());
    let candidates = alive.iter().filter(|member| member.has_disk);
    let owner = rendezvous_owner(ROLE, candidates.map(|member| member.instance.0));
    owner == Some(members.own().instance.0)
}

async fn govern(shared: &Shared, view: &ConfigurationView) -> bool {
    let Ok(jobs) = journal::summaries(shared).await else {
        return false;
    };
    let mut whole = true;
    for job in jobs.iter().filter(|job| !job.status.is_terminal()) {
        let Some(governance) = governance(view, job) else {
            continue;
        };
        let known = &job.governance;
        let unchanged = governance.priority == known.priority
            && governance.paused == known.paused
            && governance.backends == known.backends;
        if unchanged {
            continue;
        }
        let job = job.id.clone();
        let action = Action::Govern { job, governance };
        whole &= journal::propose(shared, action).await.is_ok();
    }
    whole
}

/// What policies set for a job; a job without its tenant or service is paused.
fn governance(view: &ConfigurationView, job: &JobSummary) -> Option<Governance> {
    let revision = view.configuration.revision;
    if revision < job.governance.revision {
        return None;
    }
    let tenant = view.configuration.tenant(job.tenant.as_str());
    let service = view.service_of_model(&job.model);
    let (Some(tenant), Some((service, _))) = (tenant, service) else {
        let paused = Governance {
            revision,
            paused: true,
            ..job.governance.clone()
        };
        return Some(paused);
    };
    let policy = policy::effective(&view.configuration, tenant, service, Some(&job.labels));
    Some(Governance {
        revision,
        priority: policy.priority,
        paused: !policy.batch_allowed,
        backends: policy.backends,
    })
}
