//! A job table with helpers to drive it.
#![allow(dead_code, missing_docs)]

use firshore_batch::command::{
    Action, Command, Completion, Handback, HandbackReason, Item, ItemLease, LeaseReference,
    LeaseRequest, LeaseRequestId, Outcome, Submission, UploadId,
};
use firshore_batch::job::{Governance, ItemResult, JobStatus, JobSummary};
use firshore_batch::table::JobTable;
use firshore_types::ids::{InstanceId, JobId};
use firshore_types::labels::Labels;

pub const MODEL: &str = "model";
pub const LEASE: u64 = 10_000;
pub const DAY: u64 = 86_400_000;

#[derive(Default)]
pub struct Driver {
    pub table: JobTable,
    pub now: u64,
    sequence: u64,
}

pub fn submission(job: &str, tenant: &str) -> Submission {
    Submission {
        job: JobId::from(job),
        tenant: tenant.into(),
        labels: Labels::default(),
        endpoint: "/v1/completions".to_owned(),
        model: MODEL.to_owned(),
        deadline_milliseconds: None,
        retention_milliseconds: DAY,
        governance: Governance::default(),
    }
}

pub fn items(count: u32, repeatable: bool) -> Vec<Item> {
    (0..count)
        .map(|number| Item {
            custom_id: format!("item-{number}"),
            body: format!("{{\"prompt\":\"item-{number}\"}}"),
            repeatable,
        })
        .collect()
}

pub fn success(text: &str) -> ItemResult {
    ItemResult {
        status: 200,
        body: format!("\"{text}\""),
    }
}

impl Driver {
    pub fn apply(&mut self, action: Action) -> Outcome {
        let at = self.now;
        self.table.apply(Command { at, action })
    }

    pub fn submit(&mut self, submission: Submission, items: Vec<Item>) -> Outcome {
        let total = items.len() as u32;
        let upload = UploadId {
            job: submission.job.clone(),
            attempt: 1,
        };
        self.apply(Action::Open {
            upload: upload.clone(),
            submission: Box::new(submission),
        });
        for (sequence, chunk) in items.chunks(100).enumerate() {
            self.apply(Action::Append {
                upload: upload.clone(),
                sequence: sequence as u32,
                items: chunk.to_vec(),
            });
        }
        self.apply(Action::Seal {
            upload,
            body_digest: "digest".to_owned(),
            total,
        })
    }

    pub fn request(&mut self, count: u32) -> LeaseRequest {
        self.sequence += 1;
        LeaseRequest {
            id: LeaseRequestId {
                holder: InstanceId(1),
                sequence: self.sequence,
            },
            models: vec![MODEL.to_owned()],
            engine_labels: Labels::from_pairs([("zone", "a")]),
            count,
            duration_milliseconds: LEASE,
        }
    }

    pub fn lease(&mut self, count: u32) -> Vec<ItemLease> {
        let request = self.request(count);
        match self.apply(Action::Lease(request)) {
            Outcome::Leased(leases) => leases,
            other => panic!("unexpected outcome of a lease request: {other:?}"),
        }
    }

    pub fn complete(&mut self, lease: &LeaseReference, text: &str) {
        self.apply(Action::Complete(vec![Completion {
            lease: lease.clone(),
            result: success(text),
        }]));
    }

    pub fn hand_back(&mut self, lease: &LeaseReference, reason: HandbackReason) {
        self.apply(Action::Return(vec![Handback {
            lease: lease.clone(),
            reason,
        }]));
    }

    pub fn tick_after(&mut self, milliseconds: u64) {
        self.now += milliseconds;
        self.apply(Action::Tick);
    }

    pub fn summary(&self, job: &str) -> JobSummary {
        let found = self.table.summary(&JobId::from(job));
        found.expect("the job exists")
    }

    pub fn status(&self, job: &str) -> JobStatus {
        self.summary(job).status
    }

    pub fn output(&self, job: &str) -> Vec<(u32, u16)> {
        let lines = self
            .table
            .output(&JobId::from(job), 0, 1_000_000, usize::MAX);
        let pair = |line: &firshore_batch::job::NamedResult| (line.index, line.result.status);
        lines.iter().map(pair).collect()
    }
}
