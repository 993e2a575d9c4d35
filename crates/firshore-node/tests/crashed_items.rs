//! Items under which several back ends crashed, in calm afterwards.
//!
//! Guards against an item that is held back though nothing is wrong with it.

mod cluster;

use cluster::*;
use firshore_stand_in::adapter::BACKENDS;
use firshore_stand_in::backend::{Closing, Content, Cut, Marking, Place, Play, ScriptedBackend};
use std::time::Duration;

/// Back ends that crash; three are enough for a quarantine.
const CRASHES: usize = 4;

/// Time between two crashes; those that follow each other closely count as one occasion.
const CRASH_INTERVAL: Duration = Duration::from_millis(500);

/// Several back ends crashed while they ran the same item. Nothing is wrong with it, and others have room afterwards.
async fn run_item_under_which_back_ends_crash(cluster: &Cluster) {
    let exits = Cut {
        marking: Marking::Length,
        place: Place::Head,
        closing: Closing::Exit,
        content: Content::Events,
    };
    cluster.configure();
    cluster.submit("job", 1).await;
    for number in 0..CRASHES {
        let name = format!("crashing{number}");
        let crashing = ScriptedBackend::start(&name, &[Play::Cut(exits)], Play::Events).await;
        cluster.put_backend(&crashing, false);
        while crashing.seen().is_empty() {
            pause().await;
        }
        actix_rt::time::sleep(CRASH_INTERVAL).await;
        cluster.store.remove(BACKENDS, &name);
    }
}

async fn assert_item_is_done(cluster: &Cluster) {
    let sound = ScriptedBackend::start("sound", &[], Play::Events).await;
    cluster.put_backend(&sound, false);
    let results = cluster.results("job", 1).await;
    assert_eq!(results[0].1, whole());
}

#[test]
fn item_under_which_back_ends_crashed_was_never_placed_again() {
    run(async {
        let cluster = Cluster::start().await;
        run_item_under_which_back_ends_crash(&cluster).await;
        assert_item_is_done(&cluster).await;
    });
}

#[test]
fn item_under_which_back_ends_crashed_was_never_placed_by_the_next_leader() {
    run(async {
        let mut cluster = Cluster::start().await;
        run_item_under_which_back_ends_crash(&cluster).await;
        let leader = cluster.leader().await;
        cluster.kill(leader);
        assert_item_is_done(&cluster).await;
    });
}
