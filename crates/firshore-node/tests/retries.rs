//! Guards against a leader whose load grows when it is slow: repeated submissions must not be written to the log again,
//! and reads whose client has given up must not be carried out.

mod cluster;

use cluster::*;
use firshore_adapter::jobs::JobId;
use firshore_adapter::residency::ResidencyPermit;
use firshore_gateway::gateway::JobService;
use firshore_node::journal::messages::{PeerRequest, PeerResponse};
use futures_util::future::join_all;
use std::time::Duration;
use tokio::time::timeout;

/// Concurrent attempts of one submission.
const ATTEMPTS: usize = 8;

/// More bytes than any node's memory budget.
const ALL_MEMORY: usize = 1 << 40;

/// Maximum age of an idle replica's status, which is published several times per second.
const STATUS_AGE: Duration = Duration::from_millis(500);

/// Timeout of the response; longer than clients wait.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

#[test]
fn repeated_submissions_of_a_job_are_written_once() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("first", 1).await;
        cluster.whole().await;
        let leader = cluster.nodes[cluster.leader().await].as_ref().unwrap();
        actix_rt::time::sleep(STATUS_AGE).await;
        let before = leader.journal.replica.status().last.index;
        let attempts = (0..ATTEMPTS).map(|_| {
            let job = JobId::of_nobody("again");
            cluster
                .client
                .submit(route(), ResidencyPermit::default(), job, items(20))
        });
        for accepted in join_all(attempts).await {
            accepted.expect("every attempt is acknowledged");
        }
        actix_rt::time::sleep(STATUS_AGE).await;
        let written = leader.journal.replica.status().last.index - before;
        assert_eq!(written, 1, "entries of {ATTEMPTS} attempts");
        assert_eq!(leader.journal.ledger.submissions.held(), 0);
    });
}

#[test]
fn a_read_whose_client_has_given_up_is_not_carried_out() {
    run(async {
        let cluster = Cluster::start().await;
        cluster.configure();
        cluster.submit("first", 1).await;
        let leader = cluster.nodes[cluster.leader().await].as_ref().unwrap();
        let _held = leader.journal.ledger.results.count(ALL_MEMORY);
        let request = PeerRequest::Results {
            job: JobId::of_nobody("first").journal_key(),
            from: 0,
            wait: 0,
        };
        let response = timeout(RESPONSE_TIMEOUT, peers().call(leader.address, request)).await;
        let refused = matches!(response, Ok(Ok(PeerResponse::Refused(_))));
        assert!(refused, "the read still waits for memory");
    });
}
