//! Results and returned leases on their way into the journal, many in one command.

use super::Context;
use super::leases::HeldLease;
use crate::journal;
use firshore_batch::command::{Action, Completion, Handback, HandbackReason};
use firshore_batch::job::ItemResult;
use slog::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time in which results gather for one command.
const GATHER: Duration = Duration::from_millis(5);

/// Most results in one command.
const MAXIMUM_AT_ONCE: usize = 256;

/// Bytes of results beyond which a command takes no further one.
const MAXIMUM_BYTES: usize = 1024 * 1024;

const RETRY_PAUSE: Duration = Duration::from_millis(200);

pub(super) enum Report {
    Completed(Rc<HeldLease>, ItemResult),
    HandedBack(Rc<HeldLease>, HandbackReason),
}

/// Where items report their end. Leases stay renewed until the journal has committed it.
pub(crate) struct Settlement {
    reports: UnboundedSender<Report>,
}

impl Settlement {
    pub(super) fn new() -> (Self, UnboundedReceiver<Report>) {
        let (reports, receiver) = unbounded_channel();
        (Self { reports }, receiver)
    }

    pub(super) fn completed(&self, lease: Rc<HeldLease>, result: ItemResult) {
        // The receiver lives as long as the node.
        let _ = self.reports.send(Report::Completed(lease, result));
    }

    pub(super) fn hand_back(&self, lease: Rc<HeldLease>, reason: HandbackReason) {
        let _ = self.reports.send(Report::HandedBack(lease, reason));
    }
}

/// Settles reports until the node ends.
pub(super) async fn run(context: Rc<Context>, mut reports: UnboundedReceiver<Report>) {
    while let Some(first) = reports.recv().await {
        actix_rt::time::sleep(GATHER).await;
        let mut batch = Batch::default();
        batch.add(first);
        while !batch.is_full() {
            let Ok(report) = reports.try_recv() else {
                break;
            };
            batch.add(report);
        }
        batch.settle(&context).await;
    }
}

#[derive(Default)]
struct Batch {
    leases: Vec<Rc<HeldLease>>,
    completions: Vec<Completion>,
    handbacks: Vec<Handback>,
    bytes: usize,
}

impl Batch {
    fn add(&mut self, report: Report) {
        match report {
            Report::Completed(held, result) => {
                self.bytes += result.body.len();
                let lease = held.reference().clone();
                self.completions.push(Completion { lease, result });
                self.leases.push(held);
            }
            Report::HandedBack(held, reason) => {
                let lease = held.reference().clone();
                self.handbacks.push(Handback { lease, reason });
                self.leases.push(held);
            }
        }
    }

    fn is_full(&self) -> bool {
        self.leases.len() >= MAXIMUM_AT_ONCE || self.bytes >= MAXIMUM_BYTES
    }

    async fn settle(self, context: &Context) {
        let completed = self.completions.len() as u64;
        if completed > 0 {
            commit(context, Action::Complete(self.completions)).await;
            context.shared.metrics.batch_items.inc_by(completed);
        }
        if !self.handbacks.is_empty() {
            commit(context, Action::Return(self.handbacks)).await;
        }
        context.leases.settled(&self.leases);
    }
}

/// Proposes until the journal has committed: results count once however often they are proposed.
async fn commit(context: &Context, action: Action) {
    while let Err(error) = journal::propose(&context.shared, action.clone()).await {
        warn!(context.log, "batch: Results wait for the journal."; "reason" => %error);
        actix_rt::time::sleep(RETRY_PAUSE).await;
    }
}
