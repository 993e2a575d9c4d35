//! Records origins of streams at nodes with disks, and queries these and relays for them.
//!
//! The holders of a record are ranked by a hash of the stream and the node (rendezvous hashing, Thaler and Ravishankar
//! 1998), so that every node that sees the same nodes with disks finds them without coordination.

use crate::journal::PeerClient;
use crate::journal::messages::{PeerRequest, PeerResponse};
use crate::journal::registry::Registry;
use crate::relay::ranking;
use firshore_gateway::gateway::{Gateway, OriginStore};
use firshore_gateway::stream_origin::{
    OriginAnswers, OriginKnowledge, OriginQuery, OriginRecord, StreamKey,
};
use firshore_link::client::PeerError;
use firshore_types::ids::{NodeName, ZoneName};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::{FuturesUnordered, StreamExt};
use slog::{Logger, info};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::timeout;
use xxhash_rust::xxh3::xxh3_64;

/// Nodes with disks that hold the record of a stream: one may be lost together with the node that began the stream.
const HOLDERS: usize = 2;

/// Nodes with disks that are queried for a record: one more than hold it, since the nodes listed may differ.
const QUERIED_HOLDERS: usize = 3;

/// Relays that are queried for software versions as well.
const QUERIED_RELAYS: usize = 2;

/// Timeout of a node's confirmation that it holds records.
const RECORD_TIMEOUT: Duration = Duration::from_millis(200);

/// Timeout of a node's answer to a query, for which the node may wait until what it knows is current.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of records in a message.
const MAX_RECORDS: usize = 512;

/// Records and finds origins of streams on behalf of one node.
pub struct OriginExchange {
    node: NodeName,
    zone: ZoneName,
    registry: Rc<Registry>,
    peers: PeerClient,
    log: Logger,
}

/// Returns the nodes with disks in the order in which they hold the record of a stream.
pub fn rank_holders(key: &StreamKey, nodes: impl IntoIterator<Item = NodeName>) -> Vec<NodeName> {
    let rank = |node: &NodeName| xxh3_64(format!("{}/{node}", key.0).as_bytes());
    let mut ranked: Vec<NodeName> = nodes.into_iter().collect();
    ranked.sort_by_cached_key(|node| Reverse(rank(node)));
    ranked
}

impl OriginExchange {
    /// Creates the exchange for `node` in `zone`.
    pub fn new(
        node: NodeName,
        zone: ZoneName,
        registry: Rc<Registry>,
        peers: PeerClient,
        log: Logger,
    ) -> Rc<Self> {
        Rc::new(Self {
            node,
            zone,
            registry,
            peers,
            log,
        })
    }

    fn nodes(&self) -> Vec<NodeName> {
        let candidates = self.registry.candidates().into_iter();
        candidates.map(|candidate| candidate.node).collect()
    }

    async fn call(
        &self,
        node: &NodeName,
        request: PeerRequest,
        limit: Duration,
    ) -> Option<PeerResponse> {
        let address = self.registry.address(node)?;
        let call = self.peers.call(address, request);
        match timeout(limit, call).await {
            Ok(Ok(response)) => Some(response),
            Ok(Err(PeerError::NotSent)) => {
                // The node may have been replaced since the last listing.
                let registry = self.registry.clone();
                actix_rt::spawn(async move { registry.refresh().await });
                None
            }
            _ => None,
        }
    }

    /// Sends records to their holders. Returns whether a holder of the first record confirms it. The other messages are
    /// sent even if nobody waits for the result.
    async fn send_records(self: Rc<Self>, records: Vec<OriginRecord>) -> bool {
        if self.nodes().is_empty() {
            self.registry.refresh().await;
        }
        let nodes = self.nodes();
        let first = records.first().map(|record| record.key);
        let mut by_holder: BTreeMap<NodeName, Vec<OriginRecord>> = BTreeMap::new();
        for record in records {
            let ranked = rank_holders(&record.key, nodes.iter().cloned());
            for holder in ranked.into_iter().take(HOLDERS) {
                by_holder.entry(holder).or_default().push(record.clone());
            }
        }
        let mut calls: FuturesUnordered<_> = by_holder
            .into_iter()
            .map(|(holder, records)| {
                let holds_first = records.first().map(|record| record.key) == first;
                let exchange = self.clone();
                let call = actix_rt::spawn(async move {
                    let request = PeerRequest::RecordOrigins(records);
                    matches!(
                        exchange.call(&holder, request, RECORD_TIMEOUT).await,
                        Some(PeerResponse::Done)
                    )
                });
                async move { call.await.unwrap_or(false) && holds_first }
            })
            .collect();
        while let Some(confirmed) = calls.next().await {
            if confirmed {
                return true;
            }
        }
        false
    }

    async fn ask(self: Rc<Self>, node: NodeName, query: OriginQuery) -> Option<OriginKnowledge> {
        let asked_at = Instant::now();
        let request = PeerRequest::FindOrigin(query);
        let Some(PeerResponse::Origin(knowledge)) = self.call(&node, request, ANSWER_TIMEOUT).await
        else {
            return None;
        };
        info!(self.log, "origins: Node answered."; "node" => %node,
            "answered_ms" => asked_at.elapsed().as_millis() as u64,
            "record" => knowledge.record.is_some(), "versions" => knowledge.versions.len(),
            "complete" => knowledge.complete);
        Some(knowledge)
    }

    /// Queries the holders of a record and relays, until one has the record or all have answered.
    async fn ask_all(self: Rc<Self>, query: OriginQuery) -> OriginAnswers {
        if self.nodes().is_empty() {
            self.registry.refresh().await;
        }
        let nodes = self.nodes();
        let mut asked: Vec<NodeName> = match &query.key {
            Some(key) => rank_holders(key, nodes.iter().cloned()),
            None => Vec::new(),
        };
        asked.truncate(QUERIED_HOLDERS);
        let holders = asked.len();
        let relays = ranking::order(&self.registry.candidates(), &self.zone, &self.node);
        let relays = relays.into_iter().take(QUERIED_RELAYS);
        asked.extend(
            relays
                .filter(|relay| !asked[..holders].contains(relay))
                .collect::<Vec<_>>(),
        );
        let calls = asked.into_iter().enumerate().map(|(position, node)| {
            let answer = self.clone().ask(node, query.clone());
            async move { (position < holders, answer.await) }
        });
        let mut calls: FuturesUnordered<_> = calls.collect();
        let mut answers = OriginAnswers {
            has_holders: !nodes.is_empty(),
            ..OriginAnswers::default()
        };
        while let Some((is_holder, answer)) = calls.next().await {
            let Some(knowledge) = answer else {
                continue;
            };
            answers.holder_answered |= is_holder;
            let is_found = knowledge.record.is_some();
            answers.known.push(knowledge);
            if is_found {
                break;
            }
        }
        answers
    }

    /// Reports streams that began while a single software version was listed, once there is another one.
    pub async fn report_when_versions_change(self: Rc<Self>, gateway: Rc<Gateway>) {
        loop {
            gateway.software_changed.notified().await;
            self.clone().report_open_streams(&gateway).await;
        }
    }

    async fn report_open_streams(self: Rc<Self>, gateway: &Gateway) {
        loop {
            let records = gateway
                .origins
                .borrow_mut()
                .take_unreported(Instant::now(), MAX_RECORDS);
            if records.is_empty() {
                return;
            }
            info!(self.log, "origins: Streams recorded."; "count" => records.len(),
                "reason" => "another software version is listed");
            self.clone().send_records(records).await;
        }
    }
}

/// The [`OriginStore`] of a gateway.
pub struct OriginStoreClient(pub Rc<OriginExchange>);

impl OriginStore for OriginStoreClient {
    fn record(&self, records: Vec<OriginRecord>) -> LocalBoxFuture<'_, bool> {
        self.0.clone().send_records(records).boxed_local()
    }

    fn query(&self, query: OriginQuery) -> LocalBoxFuture<'_, OriginAnswers> {
        self.0.clone().ask_all(query).boxed_local()
    }
}
