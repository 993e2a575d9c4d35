//! Sends the events of items to the nodes of the other replicas, so that the next leader resumes the items
//! after their last event.

use super::handover::{DeltaEnd, ProgressDelta, SentProgress};
use super::progress::ItemProgress;
use super::progress_store::Leadership;
use super::{ItemKey, Runner};
use crate::journal::messages::{PeerRequest, PeerResponse};
use firshore_adapter::jobs::caller_id;
use firshore_types::ids::NodeName;
use futures_util::future::join_all;
use slog::info;
use std::cell::Ref;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Interval between two rounds of sending.
const SEND_INTERVAL: Duration = Duration::from_millis(400);

/// Approximate size of the events in one message.
const MESSAGE_BYTES: usize = 128 * 1024;

/// Maximum messages to one node in a round.
const MAX_MESSAGES: usize = 8;

/// Timeout of a node's response.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

impl Runner {
    /// Sends the events of items to the nodes of the other replicas while this node leads.
    pub(super) async fn send_progress(self: Rc<Self>) {
        let mut sent: HashMap<NodeName, SentProgress> = HashMap::new();
        let mut stored = SentProgress::default();
        let mut leadership = Leadership::default();
        loop {
            actix_rt::time::sleep(SEND_INTERVAL).await;
            let status = self.replica.status();
            if !status.leads || !self.leading.get() {
                continue;
            }
            let current = Leadership {
                term: status.term,
                turn: self.turn.get(),
            };
            if current != leadership {
                // Events sent before may be of other runs.
                leadership = current;
                sent.clear();
                stored = SentProgress::default();
            }
            self.store_progress(leadership, &mut stored);
            let replicas = status.membership.replicas.iter();
            let others = replicas.filter(|(disk, _)| **disk != status.disk);
            let others: Vec<NodeName> = others.map(|(_, replica)| replica.node.clone()).collect();
            sent.retain(|node, _| others.contains(node));
            let sending = others.into_iter().map(|node| {
                let sent = sent.remove(&node).unwrap_or_default();
                self.send_to(leadership, node, sent)
            });
            sent = join_all(sending).await.into_iter().collect();
        }
    }

    /// Stores the events of items on this node, for the case that all processes stop.
    fn store_progress(&self, leadership: Leadership, stored: &mut SentProgress) {
        let deltas = self.unsent(stored, usize::MAX);
        let ends: Vec<DeltaEnd> = deltas.iter().map(ProgressDelta::end).collect();
        let mut store = self.journal.progress.borrow_mut();
        let gaps = store.apply(leadership, deltas);
        stored.acknowledge(ends, gaps);
        let progress = self.progress.borrow();
        store.retain(|key| progress.contains_key(key));
    }

    /// Sends one node the events that it lacks, in messages of limited size: a new node lacks all events.
    async fn send_to(
        &self,
        leadership: Leadership,
        node: NodeName,
        mut sent: SentProgress,
    ) -> (NodeName, SentProgress) {
        for _ in 0..MAX_MESSAGES {
            let deltas = self.unsent(&mut sent, MESSAGE_BYTES);
            if deltas.is_empty() {
                break;
            }
            let ends: Vec<DeltaEnd> = deltas.iter().map(ProgressDelta::end).collect();
            let request = PeerRequest::Progress { leadership, deltas };
            let call = self.journal.query(&node, request);
            match timeout(SEND_TIMEOUT, call).await {
                Ok(Some(PeerResponse::Gaps(gaps))) => {
                    self.log_gaps(&node, &gaps);
                    sent.acknowledge(ends, gaps);
                }
                _ => {
                    // It is unknown which events the node holds: sends all of them in the next round.
                    sent = SentProgress::default();
                    break;
                }
            }
        }
        (node, sent)
    }

    /// Logs that a node lacks the beginning of texts, which it gets next.
    fn log_gaps(&self, node: &NodeName, gaps: &[ItemKey]) {
        if let Some((job, index)) = gaps.first() {
            info!(self.gateway.log, "runner: Texts are sent from the start."; "node" => %node,
                "items" => gaps.len(), "first_job" => caller_id(job), "first_item" => index);
        }
    }

    /// Returns the events that were not sent yet, up to about `bytes`.
    fn unsent(&self, sent: &mut SentProgress, bytes: usize) -> Vec<ProgressDelta> {
        let progress = self.progress.borrow();
        sent.retain(|key| progress.contains_key(key));
        let items = progress.iter().map(|(key, item)| (key, item.borrow()));
        let items: Vec<(&ItemKey, Ref<'_, ItemProgress>)> = items.collect();
        let items = items.iter().map(|(key, item)| (*key, item.held()));
        sent.deltas(items, bytes)
    }
}
