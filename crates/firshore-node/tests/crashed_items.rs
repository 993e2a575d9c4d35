//! Items under which several back ends crashed, in calm afterwards.
//!
//! Guards against an item that is held back though nothing is wrong with it.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::JobId;
use firshore_adapter::residency::ResidencyPermit;
use firshore_gateway::gateway::JobService;
use firshore_stand_in::adapter::{BACKENDS, PROMPT};
use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place, Play, ScriptedBackend};
use std::time::Duration;

/// Back ends that crash; three are enough for a quarantine.
const CRASHES: usize = 4;

/// Items of the job; three with a common part of their prompts are enough for a quarantine of that part.
const ITEMS: usize = 4;

/// Time between two crashes; those that follow each other closely count as one occasion.
const CRASH_INTERVAL: Duration = Duration::from_millis(500);

/// Submits a job whose items have two parts of their prompts in common.
async fn submit_items(cluster: &Cluster) {
    let mut items = items(ITEMS);
    for (number, item) in items.iter_mut().enumerate() {
        item.headers
            .push((PROMPT.to_owned(), format!("1,2,{number}")));
    }
    let submit = || {
        let (job, permit) = (JobId::of_nobody("job"), ResidencyPermit::default());
        cluster.client.submit(route(), permit, job, items.clone())
    };
    while submit().await.is_err() {
        pause().await;
    }
}

/// Several back ends crash while they run the same items. Nothing is wrong with these.
async fn run_items_under_which_back_ends_crash(cluster: &Cluster) {
    let exits = Cut {
        marking: Marking::Length,
        place: Place::Head,
        closing: Closing::Exit,
        content: Content::Events,
    };
    cluster.configure();
    submit_items(cluster).await;
    for number in 0..CRASHES {
        let name = format!("crashing{number}");
        let crashing =
            ScriptedBackend::start(&name, &[Play::Cut(exits); ITEMS], Play::Events).await;
        cluster.put_backend(&crashing, false);
        while crashing.seen().len() < ITEMS {
            pause().await;
        }
        actix_rt::time::sleep(CRASH_INTERVAL).await;
        cluster.store.remove(BACKENDS, &name);
    }
}

async fn assert_items_are_done(cluster: &Cluster) {
    let sound = ScriptedBackend::start("sound", &[], Play::Events).await;
    cluster.put_backend(&sound, false);
    for (item, outcome) in cluster.results("job", ITEMS).await {
        assert_eq!(outcome, whole(), "{item}");
    }
}

#[test]
fn items_under_which_back_ends_crashed_were_never_placed_again() {
    run(async {
        let cluster = Cluster::start().await;
        run_items_under_which_back_ends_crash(&cluster).await;
        assert_items_are_done(&cluster).await;
    });
}

#[test]
fn items_under_which_back_ends_crashed_were_never_placed_by_the_next_leader() {
    run(async {
        let mut cluster = Cluster::start().await;
        run_items_under_which_back_ends_crash(&cluster).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        assert_items_are_done(&cluster).await;
    });
}
