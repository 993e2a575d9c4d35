//! The leader had more to do than its processor share allowed, so answers took longer than the half
//! second after which a node asks again. Each try of a submission was written into the log once more,
//! with all its items, and each page of results was read although the node that had asked was gone. So
//! the load grew with the delay: `committing` rose to 15,589,415 bytes while `held` stood at 3,429,773,
//! the log passed its share of the memory, replicas fell behind it, and commits came to a stand.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::JobId;
use firshore_gateway::gateway::JobService;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::timeout;

/// Tries of one submission that are under way at once.
const TRIES: usize = 8;

/// More than any node may hold, in bytes.
const ALL_MEMORY: usize = 1 << 40;

/// Age that the status of an idle replica may reach: it is taken anew several times a second.
const STATUS_AGE: Duration = Duration::from_millis(500);

/// Longest wait for an answer: nodes that ask have long given up by then.
const PATIENCE: Duration = Duration::from_secs(3);

#[test]
fn a_job_that_is_sent_again_while_it_is_committed_is_written_once() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("first", 1).await;
        cluster.whole().await;
        let leader = cluster.nodes[cluster.leader().await].as_ref().unwrap();
        actix_rt::time::sleep(STATUS_AGE).await;
        let before = leader.journal.replica.status().last.index;
        let tries = (0..TRIES).map(|_| {
            let job = JobId::of_nobody("again");
            cluster.client.submit(route(), job, items(20))
        });
        for taken_in in join_all(tries).await {
            taken_in.expect("every try is acknowledged");
        }
        actix_rt::time::sleep(STATUS_AGE).await;
        let written = leader.journal.replica.status().last.index - before;
        assert_eq!(written, 1, "entries of {TRIES} tries");
        assert_eq!(leader.journal.ledger.submissions.held(), 0);
    });
}

#[test]
fn a_read_whose_caller_has_given_up_is_not_carried_out() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("first", 1).await;
        let leader = cluster.nodes[cluster.leader().await].as_ref().unwrap();
        let _held = leader.journal.ledger.results.count(ALL_MEMORY);
        let question = PeerRequest::Results {
            job: JobId::of_nobody("first").journal_key(),
            from: 0,
            wait: 0,
        };
        let answer = timeout(PATIENCE, peers().call(leader.address, question)).await;
        let refused = matches!(answer, Ok(Ok(PeerResponse::Refused(_))));
        assert!(refused, "the read still waits for memory");
    });
}
