//! Tells the nodes of the other replicas what items have produced, so that one that leads next goes
//! on from there.

use super::handover::{DeltaEnd, ProgressDelta, SentProgress};
use super::progress::ItemProgress;
use super::progress_store::Leadership;
use super::{ItemKey, Runner};
use crate::journal::messages::{PeerRequest, PeerResponse};
use firshore_types::ids::NodeName;
use futures_util::future::join_all;
use std::cell::Ref;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Time between two rounds in which other nodes are told what items have produced.
const TELL_INTERVAL: Duration = Duration::from_millis(400);

/// Bytes of events in one message, about.
const TELL_BYTES: usize = 128 * 1024;

/// Messages to one node in a round.
const MOST_TELLS: usize = 8;

/// Longest wait for a node that is told.
const TELL_TIMEOUT: Duration = Duration::from_millis(800);

impl Runner {
    /// Tells the nodes of the other replicas what items have produced, while this node leads.
    pub(super) async fn tell_others(self: Rc<Self>) {
        let mut told: HashMap<NodeName, SentProgress> = HashMap::new();
        let mut kept = SentProgress::default();
        let mut leadership = Leadership::default();
        loop {
            actix_rt::time::sleep(TELL_INTERVAL).await;
            let status = self.replica.status();
            if !status.leads || !self.leading.get() {
                continue;
            }
            let current = Leadership {
                term: status.term,
                turn: self.turn.get(),
            };
            if current != leadership {
                // What was told before may be of other runs.
                leadership = current;
                told.clear();
                kept = SentProgress::default();
            }
            self.keep(leadership, &mut kept);
            let replicas = status.membership.replicas.iter();
            let others = replicas.filter(|(disk, _)| **disk != status.disk);
            let others: Vec<NodeName> = others.map(|(_, replica)| replica.node.clone()).collect();
            told.retain(|node, _| others.contains(node));
            let telling = others.into_iter().map(|node| {
                let told = told.remove(&node).unwrap_or_default();
                self.tell(leadership, node, told)
            });
            told = join_all(telling).await.into_iter().collect();
        }
    }

    /// Keeps what items have produced on this node, for the case that all processes end.
    fn keep(&self, leadership: Leadership, kept: &mut SentProgress) {
        let deltas = self.untold(kept, usize::MAX);
        let sent: Vec<DeltaEnd> = deltas.iter().map(ProgressDelta::end).collect();
        let mut keeper = self.journal.progress.borrow_mut();
        let gaps = keeper.apply(leadership, deltas);
        kept.acknowledge(sent, gaps);
        let progress = self.progress.borrow();
        keeper.keep(|key| progress.contains_key(key));
    }

    /// Tells one node what it does not know yet, in messages of limited size: a node that is told
    /// for the first time lacks everything.
    async fn tell(
        &self,
        leadership: Leadership,
        node: NodeName,
        mut told: SentProgress,
    ) -> (NodeName, SentProgress) {
        for _ in 0..MOST_TELLS {
            let deltas = self.untold(&mut told, TELL_BYTES);
            if deltas.is_empty() {
                break;
            }
            let sent: Vec<DeltaEnd> = deltas.iter().map(ProgressDelta::end).collect();
            let request = PeerRequest::Progress { leadership, deltas };
            let call = self.journal.ask(&node, request);
            match timeout(TELL_TIMEOUT, call).await {
                Ok(Some(PeerResponse::Gaps(gaps))) => told.acknowledge(sent, gaps),
                _ => {
                    // It may hold anything: it is told from the start.
                    told = SentProgress::default();
                    break;
                }
            }
        }
        (node, told)
    }

    /// What has not been told, up to about `bytes` of events.
    fn untold(&self, told: &mut SentProgress, bytes: usize) -> Vec<ProgressDelta> {
        let progress = self.progress.borrow();
        told.keep(|key| progress.contains_key(key));
        let items = progress.iter().map(|(key, one)| (key, one.borrow()));
        let items: Vec<(&ItemKey, Ref<'_, ItemProgress>)> = items.collect();
        let items = items
            .iter()
            .map(|(key, one)| (*key, one.produced(), one.last_event()));
        told.deltas(items, bytes)
    }
}
