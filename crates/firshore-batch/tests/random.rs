//! Random commands, duplicates and expired leases over many seeds: checks the invariants after
//! each step, also on a replica restored from a snapshot.

mod common;

use common::{Driver, items, submission};
use firshore_batch::command::{Action, HandbackReason, ItemLease, Outcome};
use firshore_batch::job::JobStatus;
use firshore_batch::table::JobTable;
use firshore_types::ids::JobId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const SEEDS: u64 = 100;
const STEPS: u32 = 400;
const ITEMS: u32 = 12;
const JOBS: [&str; 3] = ["one", "two", "three"];

struct RandomRun {
    driver: Driver,
    random: ChaCha8Rng,
    leases: Vec<ItemLease>,
    sent: BTreeMap<(JobId, u32), u32>,
    outputs: BTreeMap<&'static str, Vec<(u32, u16)>>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let mut driver = Driver::default();
        for (number, job) in JOBS.into_iter().enumerate() {
            let mut submission = submission(job, job);
            submission.deadline_milliseconds = (number == 2).then_some(60_000);
            driver.submit(submission, items(ITEMS, number != 1));
        }
        Self {
            driver,
            random: ChaCha8Rng::seed_from_u64(seed),
            leases: Vec::new(),
            sent: BTreeMap::new(),
            outputs: BTreeMap::new(),
        }
    }

    fn random_lease(&mut self) -> Option<ItemLease> {
        let count = self.leases.len();
        (count > 0).then(|| self.leases[self.random.random_range(0..count)].clone())
    }

    fn step(&mut self) {
        match self.random.random_range(0..12) {
            0..=3 => {
                let count = self.random.random_range(1..4);
                let leases = self.driver.lease(count);
                for lease in &leases {
                    let status = self.driver.status(&lease.lease.job.0);
                    assert_eq!(status, JobStatus::InProgress);
                }
                self.leases.extend(leases);
            }
            4 => self.start(),
            5..=6 => {
                if let Some(lease) = self.random_lease() {
                    self.driver.complete(&lease.lease, "text");
                }
            }
            7 => {
                if let Some(lease) = self.random_lease() {
                    let started = !lease.item.repeatable;
                    let reason = match self.random.random_range(0..3) {
                        0 if !started => HandbackReason::NotRun,
                        1 => HandbackReason::Lost,
                        _ => HandbackReason::Interrupted,
                    };
                    self.driver.hand_back(&lease.lease, reason);
                }
            }
            8 => {
                let milliseconds = self.random.random_range(0..8_000);
                self.driver.tick_after(milliseconds);
            }
            9 => {
                let leases = self.leases.iter().map(|one| one.lease.clone()).collect();
                let outcome = self.driver.apply(Action::Renew {
                    leases,
                    duration_milliseconds: common::LEASE,
                });
                assert!(matches!(outcome, Outcome::Renewed { .. }));
            }
            10 if self.random.random_range(0..20) == 0 => {
                let job = JOBS[self.random.random_range(0..JOBS.len())];
                self.driver.apply(Action::Cancel(JobId::from(job)));
            }
            _ => self.restore(),
        }
    }

    /// Starts a random lease and sends its item if it is non-repeatable and the start is allowed.
    fn start(&mut self) {
        let Some(lease) = self.random_lease() else {
            return;
        };
        let position = self
            .leases
            .iter()
            .position(|one| one.lease == lease.lease)
            .expect("the lease is in the list");
        let outcome = self.driver.apply(Action::Start(lease.lease.clone()));
        if outcome != (Outcome::Start { allowed: true }) {
            return;
        }
        let again = self.driver.apply(Action::Start(lease.lease.clone()));
        assert_eq!(again, outcome);
        if !lease.item.repeatable {
            let key = (lease.lease.job.clone(), lease.lease.index);
            *self.sent.entry(key).or_default() += 1;
            // The holder sends once and only reports afterwards.
            let ended = self.leases.remove(position);
            match self.random.random_range(0..3) {
                0 => self.driver.complete(&ended.lease, "text"),
                1 => self.driver.hand_back(&ended.lease, HandbackReason::Lost),
                _ => {}
            }
        }
    }

    fn restore(&mut self) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&self.driver.table, &mut bytes).expect("tables serialise");
        let table: JobTable = ciborium::from_reader(bytes.as_slice()).expect("tables deserialise");
        self.driver.table = table;
    }

    fn check(&mut self) {
        for job in JOBS {
            let summary = self.driver.summary(job);
            let output = self.driver.output(job);
            let distinct: BTreeSet<u32> = output.iter().map(|line| line.0).collect();
            assert_eq!(distinct.len(), output.len(), "one result per item");
            let counts = summary.request_counts;
            assert_eq!(counts.completed + counts.failed, output.len() as u32);
            let before = self.outputs.insert(job, output.clone()).unwrap_or_default();
            assert!(output.starts_with(&before), "results never change");
            if summary.status.is_terminal() {
                assert_eq!((summary.leased, summary.backlog), (0, 0));
            } else if summary.status == JobStatus::InProgress {
                let accounted = summary.backlog + summary.leased + output.len() as u32;
                assert!(accounted >= counts.total, "no item is lost");
            }
            if matches!(summary.status, JobStatus::Completed | JobStatus::Expired) {
                assert_eq!(output.len() as u32, counts.total);
            }
        }
        assert!(self.sent.values().all(|count| *count <= 1), "sent once");
    }
}

#[test]
fn invariants_hold_over_random_commands() {
    for seed in 0..SEEDS {
        let mut run = RandomRun::new(seed);
        for _ in 0..STEPS {
            run.step();
            run.check();
        }
        for job in JOBS {
            run.driver.apply(Action::Cancel(JobId::from(job)));
        }
        run.driver.tick_after(common::LEASE * 2);
        for job in JOBS {
            let status = run.driver.status(job);
            assert!(status.is_terminal(), "seed {seed}: {job} is {status:?}");
        }
        assert!(run.driver.lease(100).is_empty(), "seed {seed}");
    }
}
