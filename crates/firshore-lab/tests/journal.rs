//! The journal over sockets and disks: what was acknowledged is kept through lost leaders, wiped
//! disks and full ones.

use firshore_batch::command::{Action, Completion, Item, LeaseRequest, LeaseRequestId, Outcome};
use firshore_batch::command::{Submission, UploadId};
use firshore_batch::job::{Governance, ItemResult};
use firshore_journal::claim::{ClaimCommand, ClaimKey, ClaimOutcome, ClaimToken};
use firshore_lab::stand_in::platform::Platform;
use firshore_server::journal::{self, GroupStatus};
use firshore_server::logging;
use firshore_server::node::Node;
use firshore_server::settings::Settings;
use firshore_types::error::{ErrorCode, Execution};
use firshore_types::ids::{InstanceId, JobId, Revision};
use firshore_types::labels::Labels;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);
const ITEMS: u32 = 50;

struct Cluster {
    platform: Platform,
    folder: tempfile::TempDir,
    nodes: Vec<Option<Node>>,
    reserve_bytes: u64,
}

impl Cluster {
    fn start(count: usize) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut cluster = Self {
            platform: Platform::start(any).expect("the platform starts"),
            folder: tempfile::tempdir().expect("a folder"),
            nodes: (0..count).map(|_| None).collect(),
            reserve_bytes: 0,
        };
        for number in 0..count {
            cluster.start_node(number);
        }
        cluster
    }

    fn start_node(&mut self, number: usize) {
        let seeds: Vec<String> = self
            .nodes
            .iter()
            .flatten()
            .map(|node| format!("'{}'", node.peers))
            .collect();
        let text = format!(
            "name = 'node-{number}'\nregion = 'north'\nzone = 'north-{}'\n\
             [listen]\ncallers = '127.0.0.1:0'\npeers = '127.0.0.1:0'\nadmin = '127.0.0.1:0'\n\
             [cluster]\nsecret = 'secret-of-the-journal-test'\nseeds = [{}]\n\
             [platform]\nobject_api = 'http://{platform}'\nmachine_list = 'http://{platform}'\n\
             [storage]\ndata_folder = '{}'\n\
             [journal]\nreplace_after_seconds = 3\nreserve_bytes = {}\n[limits]\nworkers = 1\n",
            number % 3,
            seeds.join(", "),
            self.data_folder(number).display(),
            self.reserve_bytes,
            platform = self.platform.server.address,
        );
        let settings: Settings = toml::from_str(&text).expect("the settings are valid");
        let node = Node::start(settings, logging::silent()).expect("the node starts");
        self.nodes[number] = Some(node);
    }

    fn data_folder(&self, number: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("node-{number}"))
    }

    fn node(&self, number: usize) -> &Node {
        self.nodes[number].as_ref().expect("the node runs")
    }

    fn status(&self, number: usize) -> Arc<GroupStatus> {
        let journal = self.node(number).shared.journal.as_ref();
        journal.expect("it has a disk").groups()[0].status()
    }

    fn running(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.nodes.len()).filter(|number| self.nodes[*number].is_some())
    }

    fn leader(&self) -> Option<usize> {
        self.running().find(|number| self.status(*number).leads)
    }

    /// Ends a node's replica without a word to the others, then the node.
    fn kill(&mut self, number: usize) {
        let node = self.nodes[number].take().expect("the node runs");
        node.shared
            .journal
            .as_ref()
            .expect("it has a disk")
            .groups()[0]
            .stop();
        node.stop();
        node.join();
    }

    async fn until(&self, what: &str, holds: impl Fn(&Self) -> bool) {
        let deadline = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < deadline, "not in time: {what}");
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn until_led(&self) -> usize {
        self.until("a leader", |cluster| cluster.leader().is_some())
            .await;
        self.leader().expect("there is one")
    }

    /// Until three voters on live disks in three zones are in force.
    async fn until_whole(&self) {
        self.until("three live voters", |cluster| {
            let Some(leader) = cluster.leader() else {
                return false;
            };
            let disks: Vec<_> = cluster
                .running()
                .map(|number| cluster.status(number).disk)
                .collect();
            let membership = cluster.status(leader).membership.clone();
            let zones: std::collections::BTreeSet<_> =
                membership.replicas.values().map(|one| &one.zone).collect();
            membership.voters().count() == 3
                && membership.replicas.keys().all(|disk| disks.contains(disk))
                && zones.len() == 3
        })
        .await;
    }

    async fn submit(&self, number: usize, key: &str) -> JobId {
        let shared = &self.node(number).shared;
        let upload = UploadId {
            job: JobId::from(key),
            attempt: 1,
        };
        let submission = Submission {
            job: upload.job.clone(),
            tenant: "grower".into(),
            labels: Labels::default(),
            endpoint: "/v1/completions".to_owned(),
            model: "model".to_owned(),
            deadline_milliseconds: None,
            retention_milliseconds: 3_600_000,
            governance: Governance::default(),
        };
        let items = (0..ITEMS).map(|index| Item {
            custom_id: format!("{key}-{index}"),
            body: "{}".to_owned(),
            repeatable: true,
        });
        let actions = [
            Action::Open {
                upload: upload.clone(),
                submission: Box::new(submission),
            },
            Action::Append {
                upload: upload.clone(),
                sequence: 0,
                items: items.collect(),
            },
            Action::Seal {
                upload: upload.clone(),
                body_digest: "digest".to_owned(),
                total: ITEMS,
            },
        ];
        for action in actions {
            // Proposing twice is as proposing once.
            for _ in 0..2 {
                let outcome = journal::propose(shared, action.clone()).await;
                assert!(outcome.is_ok(), "{outcome:?}");
            }
        }
        upload.job
    }

    async fn complete(&self, number: usize) -> usize {
        let shared = &self.node(number).shared;
        let request = LeaseRequest {
            id: LeaseRequestId {
                holder: InstanceId(7),
                sequence: 1,
            },
            models: vec!["model".to_owned()],
            engine_labels: Labels::default(),
            count: 20,
            duration_milliseconds: 60_000,
        };
        let outcome = journal::propose(shared, Action::Lease(request)).await;
        let Ok(Outcome::Leased(leases)) = outcome else {
            panic!("no leases: {outcome:?}");
        };
        let completions = leases.iter().map(|lease| Completion {
            lease: lease.lease.clone(),
            result: ItemResult {
                status: 200,
                body: format!("{{\"of\":\"{}\"}}", lease.item.custom_id),
            },
        });
        let action = Action::Complete(completions.collect());
        for _ in 0..2 {
            let outcome = journal::propose(shared, action.clone()).await;
            assert!(outcome.is_ok(), "{outcome:?}");
        }
        leases.len()
    }

    async fn check(&self, number: usize, job: &JobId, results: usize) {
        let shared = &self.node(number).shared;
        let summary = journal::summary(shared, job.clone()).await;
        let summary = summary
            .expect("the journal answers")
            .expect("the job is kept");
        assert_eq!(summary.request_counts.total, ITEMS);
        assert_eq!(summary.request_counts.completed as usize, results);
        let read = journal::results(shared, job.clone(), 0, 1000).await;
        let read = read.expect("the journal answers");
        assert_eq!(read.len(), results);
        for result in read {
            assert!(result.result.body.contains(&result.custom_id));
        }
    }

    fn stop(self) {
        for node in self.nodes.iter().flatten() {
            node.stop();
        }
        for node in self.nodes.into_iter().flatten() {
            node.join();
        }
        self.platform.server.stop();
    }
}

#[actix_rt::test]
async fn acknowledged_work_survives_lost_leaders_and_wiped_disks() {
    let mut cluster = Cluster::start(3);
    cluster.until_whole().await;
    let job = cluster.submit(0, "job-a").await;
    let done = cluster.complete(1).await;
    assert_eq!(done, 20);
    cluster.check(2, &job, done).await;

    // The leader is lost; the others go on, and it comes back with its disk.
    let lost = cluster.until_led().await;
    cluster.kill(lost);
    let next = cluster.until_led().await;
    assert_ne!(next, lost);
    cluster.check(next, &job, done).await;
    let floor = journal::raise_floor(&cluster.node(next).shared, Revision(4)).await;
    assert_eq!(floor.expect("the floor is raised"), Revision(4));
    cluster.start_node(lost);
    cluster.until_whole().await;
    cluster.check(lost, &job, done).await;

    // A disk is wiped after it acknowledged writes: it comes back as another replica.
    let wiped = cluster.until_led().await;
    let former = cluster.status(wiped).disk;
    cluster.kill(wiped);
    std::fs::remove_dir_all(cluster.data_folder(wiped)).expect("the disk is wiped");
    cluster.start_node(wiped);
    assert_ne!(cluster.status(wiped).disk, former);
    cluster.until_whole().await;
    cluster.check(wiped, &job, done).await;

    // The copies that remained from before are lost too; the replaced one has everything.
    let other = cluster.running().find(|number| *number != wiped);
    let other = other.expect("there are three");
    cluster.kill(other);
    std::fs::remove_dir_all(cluster.data_folder(other)).expect("the disk is wiped");
    cluster.until_led().await;
    cluster.check(wiped, &job, done).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_claim_proposed_again_is_granted_again_and_to_nobody_else() {
    let cluster = Cluster::start(1);
    let shared = &cluster.node(0).shared;
    let key = ClaimKey {
        tenant: "grower".into(),
        key: "bill-1".to_owned(),
    };
    let claim = |proposer| ClaimCommand::Claim {
        key: key.clone(),
        proposer: ClaimToken(proposer),
        digest: "digest".to_owned(),
        at: 0,
    };
    for (proposer, expected) in [
        (1, ClaimOutcome::Granted),
        (1, ClaimOutcome::Granted),
        (2, ClaimOutcome::Held),
    ] {
        let outcome = journal::claim(shared, claim(proposer)).await;
        assert_eq!(outcome.expect("the journal answers"), expected);
    }
    let late = ClaimCommand::Release {
        key: key.clone(),
        proposer: ClaimToken(2),
    };
    journal::claim(shared, late).await.expect("it answers");
    let outcome = journal::claim(shared, claim(3)).await;
    assert_eq!(outcome.expect("the journal answers"), ClaimOutcome::Held);
    cluster.stop();
}

#[actix_rt::test]
async fn a_full_disk_refuses_new_work_and_keeps_the_old() {
    let mut cluster = Cluster::start(1);
    cluster.until_led().await;
    let job = cluster.submit(0, "job-a").await;
    cluster.kill(0);
    cluster.reserve_bytes = u64::from(u32::MAX) * 1_000_000;
    cluster.start_node(0);
    cluster
        .until("the lack of space is seen", |cluster| {
            cluster.leader().is_some() && cluster.status(0).full
        })
        .await;
    let shared = &cluster.node(0).shared;
    let upload = UploadId {
        job: JobId::from("job-b"),
        attempt: 1,
    };
    let seal = Action::Seal {
        upload,
        body_digest: String::new(),
        total: 0,
    };
    let refused = journal::propose(shared, seal).await;
    let error = refused.expect_err("new work is refused");
    assert_eq!(error.code, ErrorCode::StorageFull);
    assert_eq!(error.execution, Execution::None);
    let done = cluster.complete(0).await;
    cluster.check(0, &job, done).await;
    cluster.stop();
}

#[actix_rt::test]
async fn a_planned_stop_hands_leadership_over() {
    let mut cluster = Cluster::start(3);
    cluster.until_whole().await;
    let leader = cluster.until_led().await;
    let node = cluster.nodes[leader].take().expect("the node runs");
    let shared = node.shared.clone();
    let group = &shared.journal.as_ref().expect("it has a disk").groups()[0];
    group.step_down().await;
    assert!(!group.status().leads);
    cluster
        .until("another leads", |cluster| cluster.leader().is_some())
        .await;
    node.stop();
    node.join();
    cluster.stop();
}
